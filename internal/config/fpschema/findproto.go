package fpschema

import (
	"strconv"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// findProto returns the value of a field in a binary message, or nil. As in every decoder, the last occurrence wins and
// occurrences of a nested message are merged. A partial message is searched up to its last whole field.
func findProto(msg []byte, partial bool, pat fieldPath) ([]byte, error) {
	var found []byte
	for len(msg) > 0 {
		num, typ, size := protowire.ConsumeTag(msg)
		if size < 0 {
			return endOfMessage(found, partial, size)
		}
		msg = msg[size:]
		size = protowire.ConsumeFieldValue(num, typ, msg)
		if size < 0 {
			return endOfMessage(found, partial, size)
		}
		value := msg[:size]
		msg = msg[size:]
		if num != pat[0].Number() {
			continue
		}
		next, err := valueProto(value, typ, pat)
		if err != nil {
			return nil, err
		}
		if next != nil {
			found = next
		}
	}
	return found, nil
}

// endOfMessage handles a field that cannot be read: the end of a partial message, or a fault of a whole one.
func endOfMessage(found []byte, partial bool, size int) ([]byte, error) {
	if partial && found != nil {
		return found, nil
	}
	return nil, fperror.Wrap(fperror.InvalidRequest, protowire.ParseError(size), "the body is not a valid message")
}

// valueProto decodes one occurrence of the first field of the path.
func valueProto(raw []byte, typ protowire.Type, pat fieldPath) ([]byte, error) {
	if typ != wireType(pat[0].Kind()) {
		return nil, nil // decoders keep a field of another wire type as unknown
	}
	if len(pat) > 1 {
		nested, _ := protowire.ConsumeBytes(raw)
		return findProto(nested, false, pat[1:])
	}
	return scalarProto(raw, pat[0].Kind()), nil
}

func wireType(kin protoreflect.Kind) protowire.Type {
	switch kin {
	case protoreflect.StringKind, protoreflect.BytesKind, protoreflect.MessageKind:
		return protowire.BytesType
	case protoreflect.GroupKind:
		return protowire.StartGroupType
	case protoreflect.Fixed32Kind, protoreflect.Sfixed32Kind:
		return protowire.Fixed32Type
	case protoreflect.Fixed64Kind, protoreflect.Sfixed64Kind:
		return protowire.Fixed64Type
	default:
		return protowire.VarintType
	}
}

// scalarProto returns the bytes of a key: the content of a string or bytes field, or an integer in decimal. Zero is the
// default value of an integer field and counts as absent, because a decoder cannot tell the two apart.
func scalarProto(raw []byte, kin protoreflect.Kind) []byte {
	switch kin {
	case protoreflect.StringKind, protoreflect.BytesKind:
		val, _ := protowire.ConsumeBytes(raw)
		return val
	case protoreflect.Fixed32Kind:
		val, _ := protowire.ConsumeFixed32(raw)
		return decimalUnsigned(uint64(val))
	case protoreflect.Sfixed32Kind:
		val, _ := protowire.ConsumeFixed32(raw)
		return decimal(int64(int32(val)))
	case protoreflect.Fixed64Kind:
		val, _ := protowire.ConsumeFixed64(raw)
		return decimalUnsigned(val)
	case protoreflect.Sfixed64Kind:
		val, _ := protowire.ConsumeFixed64(raw)
		return decimal(int64(val))
	}
	val, _ := protowire.ConsumeVarint(raw)
	return varint(val, kin)
}

func varint(val uint64, kin protoreflect.Kind) []byte {
	switch kin {
	case protoreflect.Sint32Kind:
		return decimal(int64(int32(protowire.DecodeZigZag(val & 0xffffffff))))
	case protoreflect.Sint64Kind:
		return decimal(protowire.DecodeZigZag(val))
	case protoreflect.Int32Kind:
		return decimal(int64(int32(val)))
	case protoreflect.Uint32Kind:
		return decimalUnsigned(uint64(uint32(val)))
	case protoreflect.Uint64Kind:
		return decimalUnsigned(val)
	default:
		return decimal(int64(val))
	}
}

func decimal(val int64) []byte {
	if val == 0 {
		return []byte{}
	}
	return strconv.AppendInt(nil, val, 10)
}

func decimalUnsigned(val uint64) []byte {
	if val == 0 {
		return []byte{}
	}
	return strconv.AppendUint(nil, val, 10)
}

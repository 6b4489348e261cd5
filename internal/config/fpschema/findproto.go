package fpschema

import (
	"strconv"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// findProto returns the value of a field in a binary message, or nil if the field is absent. As in every decoder, the last
// occurrence wins and occurrences of a nested message are merged. A partial message is searched up to its last complete field.
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

// endOfMessage handles a field that cannot be read. At the end of a partial message it returns the value found so far; without
// one, or if the message is complete, it returns an error. Size is the negative result of protowire.
func endOfMessage(found []byte, partial bool, size int) ([]byte, error) {
	if partial && found != nil {
		return found, nil
	}
	return nil, fperror.Wrap(fperror.InvalidRequest, protowire.ParseError(size), "the body is not a valid message")
}

// valueProto returns the value at the path in one occurrence of its first field, or nil.
func valueProto(raw []byte, typ protowire.Type, pat fieldPath) ([]byte, error) {
	if typ != wireType(pat[0].Kind()) {
		return nil, nil // decoders treat a field of another wire type as unknown
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

// scalarProto returns the bytes of a key: the content of a string or bytes field, or an integer in decimal. It returns an empty
// slice for the integer 0, which counts as absent, because decoders do not distinguish an absent field from its default.
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

// varint returns the decimal form of an integer field that is encoded as a varint.
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

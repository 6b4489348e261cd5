package fpschema

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"math/big"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// maxExponent bounds the exponent of a number in a key, because expanding a large one costs memory.
const maxExponent = 32

// findJSON returns the value of a field in a JSON message, or nil. A partial message is searched until it ends.
func findJSON(msg []byte, partial bool, pat fieldPath) ([]byte, error) {
	fin := &finder{
		dec: json.NewDecoder(bytes.NewReader(msg)),
	}
	fin.dec.UseNumber()
	err := fin.object(pat)
	if err == nil && !partial {
		err = fin.end()
	}
	if err == nil || partial && fin.found != nil && isEnd(err) {
		return fin.found, nil
	}
	return nil, fperror.Wrap(fperror.InvalidRequest, err, "the body is not valid JSON for the method")
}

func isEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// finder walks the tokens of a JSON message.
type finder struct {
	dec   *json.Decoder
	found []byte
}

// object reads an object and enters the field that the path names.
func (fin *finder) object(pat fieldPath) error {
	tok, err := fin.dec.Token()
	if err != nil {
		return err
	}
	if tok == nil && fin.found == nil {
		return nil // null stands for an absent message
	}
	if tok != json.Delim('{') {
		return errors.New("an object is expected")
	}
	seen := false
	for fin.dec.More() {
		name, err := fin.dec.Token()
		if err != nil {
			return err
		}
		if !isNamed(name, pat[0]) {
			if err := fin.skip(); err != nil {
				return err
			}
			continue
		}
		if seen {
			return errors.New("a field of the key stands twice")
		}
		seen = true
		if err := fin.field(pat); err != nil {
			return err
		}
	}
	_, err = fin.dec.Token()
	return err
}

// isNamed reports whether a JSON name is one of the two that decoders accept for a field.
func isNamed(name json.Token, fie protoreflect.FieldDescriptor) bool {
	text, ok := name.(string)
	return ok && (text == fie.JSONName() || text == string(fie.Name()))
}

func (fin *finder) field(pat fieldPath) error {
	if len(pat) > 1 {
		return fin.object(pat[1:])
	}
	tok, err := fin.dec.Token()
	if err != nil {
		return err
	}
	fin.found, err = scalarJSON(tok, pat[0].Kind())
	return err
}

// skip passes over one value without keeping it.
func (fin *finder) skip() error {
	depth := 0
	for {
		tok, err := fin.dec.Token()
		if err != nil {
			return err
		}
		switch tok {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// end checks that nothing follows the message.
func (fin *finder) end() error {
	_, err := fin.dec.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	return errors.New("more than one value")
}

// scalarJSON returns the same bytes as scalarProto for the same value.
func scalarJSON(tok json.Token, kin protoreflect.Kind) ([]byte, error) {
	switch val := tok.(type) {
	case nil:
		return nil, nil
	case string:
		return stringJSON(val, kin)
	case json.Number:
		if kin == protoreflect.StringKind || kin == protoreflect.BytesKind {
			return nil, errors.New("the key must be a string")
		}
		return integerJSON(string(val))
	default:
		return nil, errors.New("the key must be a string or a number")
	}
}

func stringJSON(val string, kin protoreflect.Kind) ([]byte, error) {
	switch kin {
	case protoreflect.StringKind:
		return []byte(val), nil
	case protoreflect.BytesKind:
		return base64JSON(val)
	default:
		return integerJSON(val)
	}
}

// base64JSON accepts the standard and the URL alphabet, with and without padding.
func base64JSON(val string) ([]byte, error) {
	enc := base64.RawStdEncoding
	if strings.ContainsAny(val, "-_") {
		enc = base64.RawURLEncoding
	}
	return enc.DecodeString(strings.TrimRight(val, "="))
}

// integerJSON accepts spellings such as 1.0 and 1e3, as decoders do.
func integerJSON(val string) ([]byte, error) {
	if pos := strings.IndexAny(val, "eE"); pos >= 0 {
		exp, ok := new(big.Int).SetString(strings.TrimPrefix(val[pos+1:], "+"), 10)
		if !ok || !exp.IsInt64() || exp.Int64() > maxExponent || exp.Int64() < -maxExponent {
			return nil, errors.New("the key is not an integer")
		}
	}
	rat, ok := new(big.Rat).SetString(val)
	if !ok || !rat.IsInt() || strings.ContainsAny(val, "/_xXbBoOpP") {
		return nil, errors.New("the key is not an integer")
	}
	if rat.Sign() == 0 {
		return []byte{}, nil
	}
	return []byte(rat.Num().String()), nil
}

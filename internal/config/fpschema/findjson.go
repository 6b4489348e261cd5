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

// maxExponent is the largest absolute exponent of a number in a key. Expanding a number with a large exponent costs much memory.
const maxExponent = 32

// findJSON returns the value of a field in a JSON message, or nothing if the field is absent. The end of a partial message is
// not an error if the field was found before it.
func findJSON(msg []byte, partial bool, pat fieldPath) ([]byte, error) {
	fin := &finder{
		dec: json.NewDecoder(bytes.NewReader(msg)),
	}
	fin.dec.UseNumber()
	err := fin.object(pat)
	if err == nil && !partial {
		err = fin.end()
	}
	if err == nil || partial && fin.found != nil && isEndOfInput(err) {
		return fin.found, nil
	}
	return nil, fperror.Wrap(fperror.InvalidRequest, err, "the body is not valid JSON for the method")
}

// isEndOfInput reports whether a decoder failed because the input ended.
func isEndOfInput(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// finder searches the tokens of a JSON message for a field.
type finder struct {
	dec   *json.Decoder
	found []byte
}

// object reads a JSON object and the value at the path in it.
func (fin *finder) object(pat fieldPath) error {
	tok, err := fin.dec.Token()
	if err != nil {
		return err
	}
	if tok == nil && fin.found == nil {
		return nil // null stands for an absent message
	}
	if tok != json.Delim('{') {
		return errors.New("expected a JSON object")
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
			return errors.New("a field on the path of the key occurs twice")
		}
		seen = true
		if err := fin.field(pat); err != nil {
			return err
		}
	}
	_, err = fin.dec.Token()
	return err
}

// isNamed reports whether a JSON name is one of the two names that decoders accept for a field: the JSON name and that in the
// proto file.
func isNamed(name json.Token, fie protoreflect.FieldDescriptor) bool {
	text, ok := name.(string)
	return ok && (text == fie.JSONName() || text == string(fie.Name()))
}

// field reads the value of the first field of the path.
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

// skip reads and discards one value.
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
	return errors.New("more than one JSON value")
}

// scalarJSON returns the bytes of a key from its JSON token. They equal those that scalarProto returns for the same value.
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

// integerJSON returns an integer in decimal, or an empty slice for 0, which counts as absent. Like the decoders of Protocol
// Buffers it accepts spellings such as 1.0 and 1e3.
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

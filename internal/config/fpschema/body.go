package fpschema

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"io"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// MaxExtract is the maximum number of bytes of a decompressed body that are searched for a key. It limits the memory and time
// that a small compressed body can cost.
const MaxExtract = 4 << 20

// envelopeSize is the size in bytes of the prefix of an enveloped message: one byte of flags and a length of four bytes.
const envelopeSize = 5

// compressedFlag is the bit in the first byte of an envelope that marks a compressed message.
const compressedFlag = 1

// Format is the encoding of a message.
type Format uint8

// The formats of messages.
const (
	// Proto is the binary encoding of Protocol Buffers.
	Proto Format = iota
	// JSON is the JSON encoding of Protocol Buffers.
	JSON
)

// Body is a request body from which a key is extracted.
type Body struct {
	// Data is the body or its first bytes.
	Data []byte
	// Partial states that Data holds only the first bytes of the body.
	Partial bool
	// Format is the encoding of the message.
	Format Format
	// Enveloped states that the message has the length prefix of gRPC and of Connect streams.
	Enveloped bool
	// Gzip states that the body is compressed with gzip or, if it is enveloped, that messages with compressedFlag are.
	Gzip bool
}

// Fields are the values that a request carries for routing.
type Fields struct {
	// Key is the value of the key field. Integers are in decimal, because the key must not depend on the format of the body.
	// It is empty for a service that is not keyed.
	Key []byte
	// Home is the value of the home field, or "" for a service without one.
	Home string
}

// Extract returns the key and home of a request. Requests of services that are not keyed have neither. The error is of kind
// InvalidRequest if the body is malformed or lacks a field, or TooLarge if a complete body exceeds MaxExtract when decompressed.
func (met *Method) Extract(bod Body) (Fields, error) {
	if !met.Keyed() {
		return Fields{}, nil
	}
	msg, partial, err := bod.message()
	if err != nil {
		return Fields{}, err
	}
	var fie Fields
	if fie.Key, err = find(bod.Format, msg, partial, met.key); err != nil {
		return Fields{}, err
	}
	if len(fie.Key) == 0 {
		return Fields{}, fperror.New(fperror.InvalidRequest, "the request has no key in the field %s", met.key.last().Name())
	}
	if met.home == nil {
		return fie, nil
	}
	home, err := find(bod.Format, msg, partial, met.home)
	if err != nil {
		return Fields{}, err
	}
	if len(home) == 0 {
		return Fields{}, fperror.New(fperror.InvalidRequest, "the request has no home in the field %s", met.home.last().Name())
	}
	fie.Home = string(home)
	return fie, nil
}

// find returns the value of a field in a message of the given format, or nothing if the field is absent.
func find(form Format, msg []byte, partial bool, pat fieldPath) ([]byte, error) {
	if form == JSON {
		return findJSON(msg, partial, pat)
	}
	return findProto(msg, partial, pat)
}

// message returns the message without envelope and compression. The second result states that only its first bytes are known.
func (bod Body) message() ([]byte, bool, error) {
	data, partial, compressed := bod.Data, bod.Partial, bod.Gzip
	if bod.Enveloped {
		if len(data) < envelopeSize {
			return nil, false, fperror.New(fperror.InvalidRequest, "the body is shorter than the prefix of a message")
		}
		compressed = data[0]&compressedFlag != 0
		if compressed && !bod.Gzip {
			return nil, false, fperror.New(fperror.InvalidRequest, "a message is compressed, but no encoding is declared")
		}
		size := uint64(binary.BigEndian.Uint32(data[1:envelopeSize]))
		data = data[envelopeSize:]
		switch {
		case uint64(len(data)) >= size:
			data, partial = data[:size], false
		case !bod.Partial:
			return nil, false, fperror.New(fperror.InvalidRequest, "the body ends within a message")
		}
	}
	if !compressed {
		return data, partial, nil
	}
	return inflate(data, partial)
}

// inflate decompresses gzip data. Of a partial body it returns at most MaxExtract bytes; a complete one must not be larger. The
// second result states that only the first bytes of the message are known.
func inflate(data []byte, partial bool) ([]byte, bool, error) {
	rea, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, false, fperror.Wrap(fperror.InvalidRequest, err, "the body is not in gzip form")
	}
	plain, err := io.ReadAll(io.LimitReader(rea, MaxExtract+1))
	if err != nil && !partial {
		return nil, false, fperror.Wrap(fperror.InvalidRequest, err, "the body is not in gzip form")
	}
	if len(plain) <= MaxExtract {
		return plain, partial, nil
	}
	if !partial {
		return nil, false, fperror.New(fperror.TooLarge, "the decompressed body is larger than %d bytes", MaxExtract)
	}
	return plain[:MaxExtract], true, nil
}

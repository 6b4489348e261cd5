package fpserve

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
)

// maxSmallBytes bounds the bodies and answers of the small size class, and the part of a bundle that is buffered.
const maxSmallBytes = 1 << 20

// body is the body of a request. Its beginning is buffered, to extract the key and to repeat attempts. The rest, if any,
// can be streamed to one attempt only.
type body struct {
	buffered []byte
	rest     io.Reader // nil if buffered is the whole body
	size     int64     // in bytes, -1 if unknown
	restRead atomic.Bool
}

// readBody buffers a small body completely, and the beginning of any other.
func readBody(req *http.Request, met *fpschema.Method) (*body, error) {
	bod := &body{
		size: req.ContentLength,
	}
	if !met.Bundle() && req.ContentLength > maxSmallBytes {
		return nil, fperror.New(fperror.TooLarge, "the body has %d bytes; the limit is %d", req.ContentLength, maxSmallBytes)
	}
	if met.ClientStream() {
		return bod, bod.readFirstMessage(req.Body)
	}
	more, err := bod.readAhead(req.Body, req.ContentLength)
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidRequest, err, "the body could not be read")
	}
	switch {
	case !more:
		bod.size = int64(len(bod.buffered))
	case met.Bundle():
		bod.rest = req.Body
	default:
		return nil, fperror.New(fperror.TooLarge, "the body has more than %d bytes", maxSmallBytes)
	}
	return bod, nil
}

// readAhead buffers up to maxSmallBytes and reports whether more bytes follow. length is the length of the body in
// bytes, or negative if it is unknown.
func (bod *body) readAhead(rea io.Reader, length int64) (bool, error) {
	if length >= 0 && length <= maxSmallBytes {
		bod.buffered = make([]byte, length)
		_, err := io.ReadFull(rea, bod.buffered)
		return false, err
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, rea, maxSmallBytes+1)
	bod.buffered = buf.Bytes()
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	return err == nil, err
}

// readFirstMessage buffers only the first message of a stream. A caller may wait for answers before it sends more, so
// further messages must be forwarded without delay.
func (bod *body) readFirstMessage(rea io.Reader) error {
	bod.size = -1
	bod.rest = rea
	prefix := make([]byte, envelopePrefixSize)
	if _, err := io.ReadFull(rea, prefix); err != nil {
		return fperror.Wrap(fperror.InvalidRequest, err, "the stream ended before its first message")
	}
	size := binary.BigEndian.Uint32(prefix[1:])
	if size > maxSmallBytes {
		return fperror.New(fperror.TooLarge, "the first message has %d bytes; the limit is %d", size, maxSmallBytes)
	}
	bod.buffered = append(prefix, make([]byte, size)...)
	if _, err := io.ReadFull(rea, bod.buffered[envelopePrefixSize:]); err != nil {
		return fperror.Wrap(fperror.InvalidRequest, err, "the stream ended within its first message")
	}
	return nil
}

// repeatable reports whether the body can be sent with another attempt.
func (bod *body) repeatable() bool { return bod.rest == nil || !bod.restRead.Load() }

// open returns a reader of the whole body for one attempt.
func (bod *body) open() io.ReadCloser {
	if bod.rest == nil {
		return io.NopCloser(bytes.NewReader(bod.buffered))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(bod.buffered), &restReader{bod: bod}))
}

// restReader reads the rest of a body and records that reading has begun.
type restReader struct {
	bod *body
}

// Read implements io.Reader.
func (res *restReader) Read(buf []byte) (int, error) {
	res.bod.restRead.Store(true)
	return res.bod.rest.Read(buf)
}

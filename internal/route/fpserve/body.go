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

// maxSmall bounds the bodies and answers of the small size class, and the part of a bundle that is read ahead.
const maxSmall = 1 << 20

// body is the body of a request. The beginning is read ahead, to find the key and to repeat attempts. The rest, if any, is
// streamed to one attempt only.
type body struct {
	ahead []byte
	rest  io.Reader // nil when ahead is the whole body
	size  int64     // -1 when unknown
	used  atomic.Bool
}

// readBody reads a small body whole, and the beginning of any other.
func readBody(req *http.Request, met *fpschema.Method) (*body, error) {
	bod := &body{
		size: req.ContentLength,
	}
	if !met.Bundle() && req.ContentLength > maxSmall {
		return nil, fperror.New(fperror.TooLarge, "the body has %d bytes, more than %d", req.ContentLength, maxSmall)
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
		bod.size = int64(len(bod.ahead))
	case met.Bundle():
		bod.rest = req.Body
	default:
		return nil, fperror.New(fperror.TooLarge, "the body has more than %d bytes", maxSmall)
	}
	return bod, nil
}

// readAhead reads up to maxSmall bytes and reports whether more follow.
func (bod *body) readAhead(rea io.Reader, length int64) (bool, error) {
	if length >= 0 && length <= maxSmall {
		bod.ahead = make([]byte, length)
		_, err := io.ReadFull(rea, bod.ahead)
		return false, err
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, rea, maxSmall+1)
	bod.ahead = buf.Bytes()
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	return err == nil, err
}

// readFirstMessage reads one message of a stream, so that a stream whose caller waits for answers in between is forwarded
// without delay.
func (bod *body) readFirstMessage(rea io.Reader) error {
	bod.size = -1
	bod.rest = rea
	prefix := make([]byte, envelopeSize)
	if _, err := io.ReadFull(rea, prefix); err != nil {
		return fperror.Wrap(fperror.InvalidRequest, err, "the stream has no message")
	}
	size := binary.BigEndian.Uint32(prefix[1:])
	if size > maxSmall {
		return fperror.New(fperror.TooLarge, "the first message has %d bytes, more than %d", size, maxSmall)
	}
	bod.ahead = append(prefix, make([]byte, size)...)
	if _, err := io.ReadFull(rea, bod.ahead[envelopeSize:]); err != nil {
		return fperror.Wrap(fperror.InvalidRequest, err, "the stream ends within a message")
	}
	return nil
}

// repeatable reports whether another attempt can send the body.
func (bod *body) repeatable() bool { return bod.rest == nil || !bod.used.Load() }

// open returns the body for one attempt.
func (bod *body) open() io.ReadCloser {
	if bod.rest == nil {
		return io.NopCloser(bytes.NewReader(bod.ahead))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(bod.ahead), &restReader{bod: bod}))
}

// restReader reads the rest of a body and notes that it was read.
type restReader struct {
	bod *body
}

// Read reads from the caller.
func (res *restReader) Read(buf []byte) (int, error) {
	res.bod.used.Store(true)
	return res.bod.rest.Read(buf)
}

package fpserve

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// chunkSize is the number of bytes of a streamed answer that are held in memory at once.
const chunkSize = 32 << 10

var chunkPool = sync.Pool{
	New: func() any { return new([chunkSize]byte) },
}

// errWriteToCaller marks a failure to write to the caller.
var errWriteToCaller = errors.New("the caller no longer accepts the answer")

// stream sends the answer to the caller as it arrives, in constant memory, beginning with head, which has been read
// already.
func (ans *answer) stream(head []byte) error {
	exc := ans.att.exc
	exc.answerStarted = true
	copyHeader(exc.wri.Header(), ans.res.Header)
	framed := !ans.enveloped() && ans.res.ContentLength >= 0
	if framed {
		exc.wri.Header()["Content-Length"] = []string{strconv.FormatInt(ans.res.ContentLength, 10)}
	}
	exc.setOutcome(ans)
	// A caller that does not read must not hold the upstream's permit beyond its deadline.
	_ = http.NewResponseController(exc.wri).SetWriteDeadline(exc.cal.deadline)
	// Over HTTP/1.0 the end of the connection ends an answer without a length, unless it is a reset.
	endsWithConn := !framed && !exc.req.ProtoAtLeast(1, 1)
	if endsWithConn {
		setResetOnClose(exc.req, true)
	}
	exc.wri.WriteHeader(ans.res.StatusCode)
	if err := ans.write(head); err != nil {
		return err
	}
	if err := ans.flush(); err != nil {
		return err
	}
	if ans.buf != nil {
		ans.releaseBuffer()
	}
	if err := ans.copyBody(); err != nil {
		return err
	}
	if err := ans.checkComplete(); err != nil || !endsWithConn {
		return err
	}
	if err := ans.flush(); err != nil {
		return err
	}
	setResetOnClose(exc.req, false)
	return nil
}

func (ans *answer) copyBody() error {
	chunk := chunkPool.Get().(*[chunkSize]byte)
	defer chunkPool.Put(chunk)
	flushEach := ans.att.exc.cal.method.ServerStream()
	for {
		num, err := ans.res.Body.Read(chunk[:])
		if writeErr := ans.write(chunk[:num]); writeErr != nil {
			return writeErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fperror.Wrap(fperror.AnswerTruncated, err, "the answer ended after %d bytes", ans.size)
		}
		if !flushEach {
			continue
		}
		if err := ans.flush(); err != nil {
			return err
		}
	}
}

// write sends data to the caller, and parses and records it.
func (ans *answer) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	ans.size += int64(len(data))
	if ans.enveloped() {
		ans.env.write(data)
	}
	if ans.size <= maxRecordedBytes && ans.att.exc.claim.held {
		ans.recorded = append(ans.recorded, data...)
	}
	if _, err := ans.att.exc.wri.Write(data); err != nil {
		return fperror.Wrap(fperror.CallerCanceled, errors.Join(errWriteToCaller, err), "write to the caller")
	}
	return nil
}

func (ans *answer) flush() error {
	err := http.NewResponseController(ans.att.exc.wri).Flush()
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fperror.Wrap(fperror.CallerCanceled, errors.Join(errWriteToCaller, err), "write to the caller")
	}
	return nil
}

package fpserve

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// chunkSize is the part of a streamed answer that is held at once.
const chunkSize = 32 << 10

var chunks = sync.Pool{
	New: func() any { return new([chunkSize]byte) },
}

// errCaller marks a failure to write to the caller.
var errCaller = errors.New("the caller takes no more of the answer")

// stream passes the answer on as it arrives, in constant memory. The part that was read already goes first.
func (ans *answer) stream(head []byte) error {
	exc := ans.att.exc
	exc.started = true
	copyHeader(exc.wri.Header(), ans.res.Header)
	if !ans.enveloped() && ans.res.ContentLength >= 0 {
		exc.wri.Header()["Content-Length"] = []string{strconv.FormatInt(ans.res.ContentLength, 10)}
	}
	exc.setOutcome(ans)
	// A caller that does not read must not hold the upstream's place beyond its deadline.
	_ = http.NewResponseController(exc.wri).SetWriteDeadline(exc.cal.deadline)
	exc.wri.WriteHeader(ans.res.StatusCode)
	if err := ans.pass(head); err != nil {
		return err
	}
	if err := ans.flush(); err != nil {
		return err
	}
	if ans.buf != nil {
		ans.free()
	}
	if err := ans.copyBody(); err != nil {
		return err
	}
	return ans.checkEnd()
}

func (ans *answer) copyBody() error {
	chunk := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(chunk)
	flushes := ans.att.exc.cal.method.ServerStream()
	for {
		num, err := ans.res.Body.Read(chunk[:])
		if passErr := ans.pass(chunk[:num]); passErr != nil {
			return passErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fperror.Wrap(fperror.AnswerTruncated, err, "the answer ended after %d bytes", ans.size)
		}
		if !flushes {
			continue
		}
		if err := ans.flush(); err != nil {
			return err
		}
	}
}

// pass writes a part to the caller.
func (ans *answer) pass(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	ans.size += int64(len(part))
	if ans.enveloped() {
		ans.env.write(part)
	}
	if ans.size <= maxRecorded && ans.att.exc.claim.held {
		ans.kept = append(ans.kept, part...)
	}
	if _, err := ans.att.exc.wri.Write(part); err != nil {
		return fperror.Wrap(fperror.CallerCanceled, errors.Join(errCaller, err), "write to the caller")
	}
	return nil
}

func (ans *answer) flush() error {
	err := http.NewResponseController(ans.att.exc.wri).Flush()
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fperror.Wrap(fperror.CallerCanceled, errors.Join(errCaller, err), "write to the caller")
	}
	return nil
}

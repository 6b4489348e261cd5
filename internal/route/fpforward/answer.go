package fpforward

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// maxBufferedAnswer is the number of bytes of an answer that are buffered before any of it is sent to the caller. An
	// answer that breaks off within them can be replaced by that of another attempt.
	maxBufferedAnswer = 1 << 20
	// smallAnswerSize is the number of bytes up to which an answer uses the memory for small answers. Long answers can't use that up.
	smallAnswerSize = 64 << 10
	// maxUnsizedAnswer is the maximum number of bytes of an answer without a Content-Length. A longer one is taken for an
	// endless stream. Bundles are not limited.
	maxUnsizedAnswer = 4 << 20
)

// errAnswerTooLong marks an answer whose header or body exceeds its size limit.
var errAnswerTooLong = errors.New("the answer exceeds its size limit")

// readAnswer buffers the start of an answer's body and checks whether the caller may get the answer. The errors are those
// of checkAnswer, OutcomeUnknown if the time ran out, and AnswerTruncated.
func (exc *exchange) readAnswer(ctx context.Context, mem *member, con link, res *http.Response, rep *reply) error {
	from := exc.answerBody(ctx, res)
	err := exc.bufferAnswer(from, res.ContentLength, rep)
	if err != nil {
		con.Close()
		if ctx.Err() != nil || fperror.Is(err, fperror.DeadlineExceeded) {
			return fperror.Wrap(fperror.OutcomeUnknown, err, "the answer of upstream %s did not end in time", mem.upstream.GetId())
		}
		return fperror.Wrap(fperror.AnswerTruncated, err, "the answer of upstream %s was truncated after %d bytes", mem.upstream.GetId(), len(rep.body))
	}
	strays, _ := con.Skipped()
	finish := func(complete bool) {
		if complete && !res.Close && strays == 0 {
			con.pool.Put(con.ExclusiveConn, rep.answer.IdleTimeout)
			return
		}
		con.Close()
	}
	if rep.rest != nil {
		rep.finish = finish
	} else {
		// The body has been read to its end, so that closing it cannot fail.
		_ = res.Body.Close()
		finish(true)
	}
	err = checkAnswer(mem, rep)
	if err != nil && rep.finish != nil {
		rep.finish(false)
	}
	return err
}

// answerBody returns the reader of an answer's body, limited in size unless its length is known or it is a bundle, and
// paced for bundles on a slow link.
func (exc *exchange) answerBody(ctx context.Context, res *http.Response) io.Reader {
	var from io.Reader = res.Body
	if res.ContentLength < 0 && !exc.isBundle() {
		from = &answerLimiter{
			from:      from,
			remaining: maxUnsizedAnswer,
		}
	}
	if exc.isPaced() {
		from = &pacedReader{
			ctx:     ctx,
			from:    from,
			limiter: exc.fwd.pacers.in,
		}
	}
	return from
}

// bufferAnswer reads the start of a body into rep.body and leaves what follows in rep.rest. Nothing is buffered without memory for it.
func (exc *exchange) bufferAnswer(from io.Reader, length int64, rep *reply) error {
	if exc.isPaced() {
		return bufferUpTo(from, maxBufferedSlowAnswer, rep)
	}
	if length <= smallAnswerSize {
		size := length
		if size < 0 {
			size = smallAnswerSize
		}
		if !exc.holdAnswer(exc.fwd.smallAnswerMemory, size) {
			exc.fwd.counters.add("smallAnswerMemorySpent")
			rep.rest, rep.scarce = from, true
			return nil
		}
		if err := bufferUpTo(from, smallAnswerSize, rep); err != nil || rep.rest == nil {
			return err
		}
	}
	if !exc.holdAnswer(exc.fwd.answerMemory, maxBufferedAnswer) {
		exc.fwd.counters.add("answerMemorySpent")
		rep.rest = from
		return nil
	}
	return bufferUpTo(from, maxBufferedAnswer, rep)
}

// bufferUpTo reads up to size bytes of a body into rep.body. If more follows, rep.rest is set to read it, and rep.body
// holds one byte more than size.
func bufferUpTo(from io.Reader, size int, rep *reply) error {
	rep.rest = nil
	more, err := io.ReadAll(io.LimitReader(from, int64(size-len(rep.body)+1)))
	rep.body = append(rep.body, more...)
	if len(rep.body) > size {
		rep.rest = from
	}
	return err
}

// answerLimiter is a reader that fails with errAnswerTooLong once it has passed on the remaining number of bytes or more.
type answerLimiter struct {
	from      io.Reader
	remaining int64
}

// Read implements io.Reader.
func (lim *answerLimiter) Read(buf []byte) (int, error) {
	if lim.remaining <= 0 {
		return 0, errAnswerTooLong
	}
	num, err := lim.from.Read(buf)
	lim.remaining -= int64(num)
	return num, err
}

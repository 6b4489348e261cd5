package fpforward

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
)

const (
	// keptAnswer is the size in bytes up to which an answer is read to its end before the caller gets any of it, so that
	// a broken one can be replaced.
	maxBufferedAnswer = 1 << 20
	// smallAnswer is the size in bytes up to which that takes no part of the memory for answers.
	smallAnswerSize = 64 << 10
	// maxUnsized is the size in bytes of an answer without a length from which it is taken for bytes without end. Bundles
	// may be longer.
	maxUnsizedAnswer = 4 << 20
)

// errEndless marks an answer that goes on beyond what an answer can be.
var errAnswerTooLong = errors.New("the bytes do not end")

// read reads the body of an answer, as far as it is kept, and judges the answer.
func (exc *exchange) readAnswer(ctx context.Context, mem *member, lin *fpconn.Line, res *http.Response, rep *reply) error {
	from := exc.answerBody(ctx, res)
	err := exc.bufferAnswer(ctx, from, res.ContentLength, rep)
	if err != nil {
		lin.Close()
		if ctx.Err() != nil || fperror.Is(err, fperror.DeadlineExceeded) {
			return fperror.Wrap(fperror.OutcomeUnknown, err, "the answer of upstream %s did not end in time", mem.upstream.GetId())
		}
		return fperror.Wrap(fperror.AnswerTruncated, err, "the answer of upstream %s broke off after %d bytes", mem.upstream.GetId(), len(rep.body))
	}
	finish := func(complete bool) {
		if complete && !res.Close {
			mem.connections.Put(lin, rep.answer.Idle)
			return
		}
		lin.Close()
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

// answerBody returns the body of an answer as it is to be read.
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

// keepAnswer reads the part of a body that is kept into the reply, and leaves the rest to it. A long one is kept only as long as
// there is memory for it.
func (exc *exchange) bufferAnswer(ctx context.Context, from io.Reader, length int64, rep *reply) error {
	if exc.isPaced() {
		return bufferUpTo(from, maxBufferedSlowAnswer, rep)
	}
	if length <= smallAnswerSize {
		if err := bufferUpTo(from, smallAnswerSize, rep); err != nil || rep.rest == nil {
			return err
		}
	}
	if !exc.fwd.answerMemory.TryAcquire(maxBufferedAnswer) {
		exc.fwd.counters.add("answerMemorySpent")
		rep.rest = from
		return nil
	}
	context.AfterFunc(ctx, func() { exc.fwd.answerMemory.Release(maxBufferedAnswer) })
	return bufferUpTo(from, maxBufferedAnswer, rep)
}

// keepUpTo reads a body into the reply up to a size, and leaves what follows to it.
func bufferUpTo(from io.Reader, size int, rep *reply) error {
	rep.rest = nil
	more, err := io.ReadAll(io.LimitReader(from, int64(size-len(rep.body)+1)))
	rep.body = append(rep.body, more...)
	if len(rep.body) > size {
		rep.rest = from
	}
	return err
}

// endlessGuard ends a body that is longer than it can be.
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

package fpserve

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// exchange is the work on one call. It is used by one goroutine.
type exchange struct {
	ser *Server
	ctx context.Context
	cal *Call
	wri http.ResponseWriter
	req *http.Request

	claim   claim
	maybe   error // first error of an attempt that was sent and may have run
	final   bool  // no further attempt may be made
	started bool  // the answer has begun to go to the caller
	answer  *answer
}

// serve runs the attempts and answers the caller.
func (exc *exchange) serve() {
	err := exc.attempts()
	if err != nil {
		err = exc.worst(err)
		exc.settleError()
	}
	switch {
	case err == nil:
		exc.finish()
	case exc.started:
		exc.abort(err)
	default:
		exc.ser.refuse(exc.wri, exc.req, err)
	}
}

// attempts repeats the attempt while the policy allows it. It returns nil when a whole answer is there.
func (exc *exchange) attempts() error {
	for {
		pushBack, err := exc.attempt()
		if err == nil {
			exc.succeeded()
			return nil
		}
		if !exc.mayRetry(err) {
			return err
		}
		delay, ok := exc.ser.cfg.Retry(exc.cal, err, pushBack)
		if !ok || !exc.pause(delay) {
			return err
		}
		exc.ser.cfg.Count("retried")
	}
}

// succeeded tells of a whole answer of an upstream. A recorded answer earns no budget for retries.
func (exc *exchange) succeeded() {
	if exc.answer != nil {
		exc.ser.cfg.Succeeded(exc.cal)
	}
}

// mayRetry reports whether another attempt is safe: the error proves that the request did not run, or the request may run
// more than once. Whether it is wise is decided by Config.Retry.
func (exc *exchange) mayRetry(err error) bool {
	if exc.started || exc.final || exc.ctx.Err() != nil || !exc.cal.body.repeatable() {
		return false
	}
	kin := fperror.KindOf(err)
	if kin.Answer().Elsewhere() {
		return true
	}
	// A slot that began to move between the lookup and the forward has a new owner soon.
	if errors.Is(err, errMoved) {
		return true
	}
	lost := kin == fperror.UpstreamLost || kin == fperror.AnswerTruncated
	return lost && exc.cal.method.Idempotent()
}

// pause waits before the next attempt and reports whether the call is still wanted then.
func (exc *exchange) pause(delay time.Duration) bool {
	if delay <= 0 {
		return exc.ctx.Err() == nil
	}
	if time.Now().Add(delay).After(exc.cal.deadline) {
		return false
	}
	tim := time.NewTimer(delay)
	defer tim.Stop()
	select {
	case <-tim.C:
		return true
	case <-exc.ctx.Done():
		return false
	}
}

// worst returns the error to answer. Once an attempt may have run, the caller is never told that the request did not run,
// whatever happened to later attempts.
func (exc *exchange) worst(err error) error {
	if exc.maybe == nil || fperror.KindOf(err).Answer().Outcome() != fperror.NotRun {
		return err
	}
	return exc.maybe
}

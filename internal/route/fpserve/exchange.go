package fpserve

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// exchange handles one call. It is used by one goroutine.
type exchange struct {
	ser *Server
	ctx context.Context // ends also when doubted has been answered
	cal *Call
	wri http.ResponseWriter
	req *http.Request

	claim          claim
	uncertainErr   error // first error of an attempt that may have run, or nil
	noMoreAttempts bool  // another attempt is not allowed
	// provenFrom is the time since which a connection must have received data to take another attempt, because an earlier one went silent.
	provenFrom    time.Time
	answerStarted bool // the header of the answer has been sent to the caller
	answer        *answer
	doubted       *doubtedAttempt
}

// serve makes the attempts and sends an answer or an error to the caller.
func (exc *exchange) serve() {
	err := exc.runAttempts()
	if err != nil {
		err = exc.finalError(err)
		exc.settleFailure()
	}
	switch {
	case err == nil:
		exc.sendAnswer()
	case exc.answerStarted:
		exc.abort(err)
	default:
		exc.ser.refuse(exc.wri, exc.req, err)
	}
}

// runAttempts makes attempts as long as they are safe and Config.Retry allows them, and then waits for the answer to the doubted one. It
// returns nil once there is a complete answer.
func (exc *exchange) runAttempts() error {
	for {
		pushBack, err := exc.runAttempt()
		if err != nil && exc.prepareRetry(err, pushBack) {
			exc.ser.cfg.Count("retried")
			continue
		}
		if err != nil && exc.doubted != nil {
			err = exc.awaitDoubted(err)
		}
		if err == nil {
			exc.endDoubted()
			exc.reportSuccess()
		}
		return err
	}
}

// prepareRetry waits until another attempt may be made, and returns false if there is to be none.
func (exc *exchange) prepareRetry(err error, pushBack time.Duration) bool {
	if !exc.mayRetry(err) {
		return false
	}
	delay, ok := exc.ser.cfg.Retry(exc.cal, err, pushBack)
	return ok && exc.sleep(delay)
}

// reportSuccess reports a complete answer of an upstream to Config.ReportSuccess. A recorded answer does not add to the
// retry budget.
func (exc *exchange) reportSuccess() {
	if exc.answer != nil {
		exc.ser.cfg.ReportSuccess(exc.cal)
	}
}

// mayRetry reports whether another attempt is safe: either the error proves that the request did not run, or the method
// is idempotent. Config.Retry decides whether the attempt is made.
func (exc *exchange) mayRetry(err error) bool {
	if exc.answerStarted || exc.noMoreAttempts || exc.ctx.Err() != nil || !exc.cal.body.repeatable() {
		return false
	}
	kin := fperror.KindOf(err)
	if kin.Answer().RetryElsewhere() {
		return true
	}
	// A slot that began to move between the lookup and the forwarding will have a new owner soon.
	if errors.Is(err, ErrStaleTarget) {
		return true
	}
	lost := kin == fperror.UpstreamLost || kin == fperror.UpstreamStopped || kin == fperror.AnswerTruncated
	return lost && exc.cal.method.Idempotent()
}

// sleep waits for a delay before the next attempt or poll. It returns false if the call ends before.
func (exc *exchange) sleep(delay time.Duration) bool {
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

// finalError returns the error for the caller. If any attempt may have run, the caller must not be told that the request
// did not run, even if later attempts certainly did not.
func (exc *exchange) finalError(err error) error {
	if exc.uncertainErr == nil || fperror.KindOf(err).Answer().Outcome() != fperror.NotRun {
		return err
	}
	return exc.uncertainErr
}

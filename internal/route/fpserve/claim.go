package fpserve

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// settleTimeout bounds the wait for the commit of an outcome. The commit may end after the caller's deadline, because
// the outcome of any resend would be unknown if the claim were not settled.
const settleTimeout = time.Second

// Bounds of the interval at which the outcome of a claim is polled while another attempt holds it.
const (
	minClaimPollInterval = 10 * time.Millisecond
	maxClaimPollInterval = 200 * time.Millisecond
)

// maxRecordedBytes is the size of the largest answer body that is recorded with a claim.
const maxRecordedBytes = 16 << 10

// claim is the state of a call's claim on this VM.
type claim struct {
	attempt uint64
	held    bool
}

// errClaimPending means that another attempt holds the claim.
var errClaimPending = errors.New("an earlier request with the same idempotency key is still running")

// acquireClaim commits the claim of a non-idempotent call before its first attempt. It returns errClaimPending if
// another attempt holds the claim. If an earlier request with the same key has been answered, it sends the recorded
// answer. Then, and after any other error, no more attempts may be made.
func (exc *exchange) acquireClaim() error {
	if exc.cal.method.Idempotent() || exc.claim.held {
		return nil
	}
	if exc.claim.attempt == 0 {
		exc.claim.attempt = rand.Uint64()
	}
	res, err := exc.ser.cfg.Claim(exc.ctx, exc.cal, exc.claimMessage())
	if err != nil {
		exc.noMoreAttempts = true
		return exc.handleClaimError(err)
	}
	switch res.GetState() {
	case fpwire.ClaimState_CLAIM_STATE_GRANTED:
		exc.claim.held = true
		return nil
	case fpwire.ClaimState_CLAIM_STATE_PENDING:
		return errClaimPending
	case fpwire.ClaimState_CLAIM_STATE_SETTLED:
		exc.noMoreAttempts = true
		return exc.replay(res.GetAnswer())
	default:
		exc.noMoreAttempts = true
		return fperror.New(fperror.OutcomeUnknown, "the request may have run and will not be run again")
	}
}

// awaitClaim polls until no other attempt holds the claim or the deadline of the call is reached. The call must hold no
// permit of an upstream while it waits. If the other attempt released the claim because its request did not run, the
// call acquires it and makes its attempt.
func (exc *exchange) awaitClaim() (time.Duration, error) {
	for interval := minClaimPollInterval; ; interval = min(2*interval, maxClaimPollInterval) {
		if !exc.sleep(interval) {
			exc.noMoreAttempts = true
			return 0, fperror.Wrap(fperror.OutcomeUnknown, errClaimPending, "the outcome is not known yet")
		}
		err := exc.acquireClaim()
		switch {
		case errors.Is(err, errClaimPending):
		case err != nil || exc.noMoreAttempts:
			return 0, err
		default:
			return exc.runAttempt()
		}
	}
}

func (exc *exchange) claimMessage() *fpwire.Claim {
	return &fpwire.Claim{
		IdempotencyKey: exc.cal.idempotencyKey,
		Service:        exc.cal.method.Service().Name(),
		Method:         exc.cal.method.Name(),
		Digest:         exc.cal.Digest(),
		Attempt:        exc.claim.attempt,
		DeadlineMs:     exc.cal.deadline.UnixMilli(),
	}
}

// handleClaimError releases a claim whose commit is uncertain, in the background. The request will not be forwarded, so
// it does not run, but the claim may have been committed.
func (exc *exchange) handleClaimError(err error) error {
	switch fperror.KindOf(err) {
	case fperror.CommitUnknown, fperror.Internal:
	default:
		return err
	}
	exc.ser.background.Go(func() {
		_ = exc.settle(&fpwire.Settle{
			Outcome: fpwire.Outcome_OUTCOME_NOT_RUN,
		})
	})
	return fperror.Wrap(fperror.ClaimUnavailable, err, "the claim could not be committed")
}

// settle commits the outcome of the call to its claim.
func (exc *exchange) settle(set *fpwire.Settle) error {
	set.IdempotencyKey = exc.cal.idempotencyKey
	set.Service = exc.cal.method.Service().Name()
	set.Method = exc.cal.method.Name()
	set.Attempt = exc.claim.attempt
	ctx, cancel := context.WithTimeout(context.WithoutCancel(exc.ctx), settleTimeout)
	defer cancel()
	err := exc.ser.cfg.Settle(ctx, exc.cal, set)
	if err != nil {
		exc.ser.cfg.Count("settleFailed")
	}
	return err
}

// settleFailure settles a held claim after the call has failed. If the request was never sent, or an upstream stated
// that it did not run, this releases the claim.
func (exc *exchange) settleFailure() {
	if !exc.claim.held {
		return
	}
	out := fpwire.Outcome_OUTCOME_UNKNOWN
	if exc.uncertainErr == nil {
		out = fpwire.Outcome_OUTCOME_NOT_RUN
	}
	_ = exc.settle(&fpwire.Settle{
		Outcome: out,
	})
}

// settleAnswer settles a held claim with a complete answer before the end of the answer is sent to the caller, so that a
// resend of an answered request always finds the recorded outcome.
func (exc *exchange) settleAnswer(record func() *fpwire.Answer) {
	if !exc.claim.held {
		return
	}
	_ = exc.settle(&fpwire.Settle{
		Outcome: fpwire.Outcome_OUTCOME_RAN,
		Answer:  record(),
	})
}

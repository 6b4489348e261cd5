package fpserve

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// settleTimeout bounds the wait for the commit of an outcome. It may pass the caller's deadline, because a claim that is
// not settled makes every resend an unknown outcome.
const settleTimeout = time.Second

// Pauses between two questions for the outcome of a claim that another attempt holds.
const (
	minClaimPause = 10 * time.Millisecond
	maxClaimPause = 200 * time.Millisecond
)

// maxRecorded is the largest answer body that is recorded with a claim.
const maxRecorded = 16 << 10

// claim is the state of the call's claim on this VM.
type claim struct {
	attempt uint64
	held    bool
}

// errPending states that another attempt holds the claim.
var errPending = errors.New("an earlier request with the same key is still running")

// claimOnce commits the claim of a non-idempotent call before its first attempt. A call that ended before gets its
// recorded answer, and exc.final is then set.
func (exc *exchange) claimOnce() error {
	if exc.cal.method.Idempotent() || exc.claim.held {
		return nil
	}
	if exc.claim.attempt == 0 {
		exc.claim.attempt = rand.Uint64()
	}
	res, err := exc.ser.cfg.Claim(exc.ctx, exc.cal, exc.claimMessage())
	if err != nil {
		exc.final = true
		return exc.claimError(err)
	}
	switch res.GetState() {
	case fpwire.ClaimState_CLAIM_STATE_GRANTED:
		exc.claim.held = true
		return nil
	case fpwire.ClaimState_CLAIM_STATE_PENDING:
		return errPending
	case fpwire.ClaimState_CLAIM_STATE_SETTLED:
		exc.final = true
		return exc.replay(res.GetAnswer())
	default:
		exc.final = true
		return fperror.New(fperror.OutcomeUnknown, "the request may have run and will not be run again")
	}
}

// awaitClaim asks until the claim is no longer held by another attempt, or the caller's time is over. The call holds no
// place on an upstream meanwhile. When the other attempt gave up its claim without a run, the call starts over with its own.
func (exc *exchange) awaitClaim() (time.Duration, error) {
	for pause := minClaimPause; ; pause = min(2*pause, maxClaimPause) {
		if !exc.pause(pause) {
			exc.final = true
			return 0, fperror.Wrap(fperror.OutcomeUnknown, errPending, "the outcome is not known yet")
		}
		err := exc.claimOnce()
		switch {
		case errors.Is(err, errPending):
		case err != nil || exc.final:
			return 0, err
		default:
			return exc.attempt()
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

// claimError handles a claim whose commit is not known. This request is not forwarded, so it did not run; the claim may
// have been committed nevertheless, so it is released.
func (exc *exchange) claimError(err error) error {
	switch fperror.KindOf(err) {
	case fperror.CommitUnknown, fperror.Internal:
	default:
		return err
	}
	exc.ser.leftover.Go(func() {
		_ = exc.settle(&fpwire.Settle{
			Outcome: fpwire.Outcome_OUTCOME_NOT_RUN,
		})
	})
	return fperror.Wrap(fperror.ClaimUnavailable, err, "the claim could not be committed")
}

// settle commits how the call ended.
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

// settleError settles a held claim after a call that failed. A request that was never sent, or was refused by the
// upstream, releases its claim.
func (exc *exchange) settleError() {
	if !exc.claim.held {
		return
	}
	out := fpwire.Outcome_OUTCOME_UNKNOWN
	if exc.maybe == nil {
		out = fpwire.Outcome_OUTCOME_NOT_RUN
	}
	_ = exc.settle(&fpwire.Settle{
		Outcome: out,
	})
}

// settleAnswer settles a held claim with a whole answer, before the end of the answer goes to the caller. A resend of an
// answered request therefore finds the outcome recorded.
func (exc *exchange) settleAnswer(record func() *fpwire.Answer) {
	if !exc.claim.held {
		return
	}
	_ = exc.settle(&fpwire.Settle{
		Outcome: fpwire.Outcome_OUTCOME_RAN,
		Answer:  record(),
	})
}

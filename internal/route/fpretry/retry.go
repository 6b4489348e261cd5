// Package fpretry decides what follows a failed attempt.
package fpretry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// DefaultShare is the part of the successes that may be spent on retries.
	DefaultShare = 0.1
	// DefaultMaxTries bounds the attempts of one request.
	DefaultMaxTries = 4
	// DefaultBackoff is the mean pause before the first retry; it doubles with each retry.
	DefaultBackoff = 5 * time.Millisecond
	// DefaultMaxBackoff bounds the mean pause.
	DefaultMaxBackoff = 500 * time.Millisecond
	// maxLosses is the number of connections that one request may lose. A request that was in flight on two upstreams
	// when they broke may have crashed both.
	maxLosses = 2
)

// Config configures a Retrier. The zero value of each field stands for the default.
type Config struct {
	Share      float64
	MaxTries   int
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Rand jitters the backoff. Unset: a source with seed 1.
	Rand *rand.Rand
}

// Failure describes a failed attempt.
type Failure struct {
	Kind fperror.Kind
	// Idempotent states that the method may run more than once.
	Idempotent bool
	// Tries is the number of attempts so far, at least 1.
	Tries int
	// Losses is the number of attempts that ended with a broken connection after the request was sent.
	Losses int
	// Answered states that a part of the answer has gone to the caller.
	Answered bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Expected is the expected time of one attempt, or 0 when it is unknown.
	Expected time.Duration
	// PushBack is the time for which the upstream asked to be left alone, or 0.
	PushBack time.Duration
}

// Reason says why a request is tried again or not.
type Reason uint8

// The reasons.
const (
	Retried Reason = iota
	MayHaveRun
	Final
	TriesSpent
	DeadlineTooNear
	BudgetSpent
	reasonCount
)

// reasons are the names in counters.
var reasons = [reasonCount]string{
	Retried:         "retried",
	MayHaveRun:      "mayHaveRun",
	Final:           "final",
	TriesSpent:      "triesSpent",
	DeadlineTooNear: "deadlineTooNear",
	BudgetSpent:     "budgetSpent",
}

// String returns the name of the reason.
func (rea Reason) String() string {
	if rea >= reasonCount {
		return "unknown"
	}
	return reasons[rea]
}

// Decision says what follows a failed attempt.
type Decision struct {
	reason    Reason
	after     time.Duration
	elsewhere bool
}

// Retry reports whether the request is tried again.
func (dec Decision) Retry() bool { return dec.reason == Retried }

// After returns the pause before the next attempt.
func (dec Decision) After() time.Duration { return dec.after }

// Elsewhere reports whether the next attempt should go to an upstream that was not tried, where the call has a choice.
func (dec Decision) Elsewhere() bool { return dec.elsewhere }

// Reason returns the reason of the decision.
func (dec Decision) Reason() Reason { return dec.reason }

// Retrier decides for the requests of one service on one VM. It is safe for concurrent use.
type Retrier struct {
	mut    sync.Mutex
	cfg    Config
	budget budget
}

// New returns a retrier with an empty budget.
func New(cfg Config) *Retrier {
	if cfg.Share <= 0 {
		cfg.Share = DefaultShare
	}
	if cfg.MaxTries <= 0 {
		cfg.MaxTries = DefaultMaxTries
	}
	if cfg.Backoff <= 0 {
		cfg.Backoff = DefaultBackoff
	}
	if cfg.MaxBackoff <= 0 {
		cfg.MaxBackoff = DefaultMaxBackoff
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return &Retrier{
		cfg: cfg,
		budget: budget{
			share: cfg.Share,
		},
	}
}

// Success counts an answered request, which earns a part of a retry.
func (ret *Retrier) Success(now time.Time) {
	ret.mut.Lock()
	defer ret.mut.Unlock()
	ret.budget.earn(now)
}

// Decide returns what follows a failed attempt. A retry is paid from the budget at once.
func (ret *Retrier) Decide(now time.Time, fai Failure) Decision {
	ret.mut.Lock()
	defer ret.mut.Unlock()
	if reason := ret.forbidden(fai); reason != Retried {
		return Decision{
			reason: reason,
		}
	}
	after := ret.backoff(fai)
	if now.Add(after + fai.Expected).After(fai.Deadline) {
		return Decision{
			reason: DeadlineTooNear,
		}
	}
	if !ret.budget.spend(now) {
		return Decision{
			reason: BudgetSpent,
		}
	}
	return Decision{
		reason:    Retried,
		after:     after,
		elsewhere: true,
	}
}

// forbidden returns the reason why a request must not be tried again, or Retried. Of the failures that prove no run, only
// those that the table marks for another upstream came from an attempt; the others are decisions of this VM, which a
// retry would only repeat. Of the failures that may follow a run, only lost connections and truncated answers can go
// better on another upstream.
func (ret *Retrier) forbidden(fai Failure) Reason {
	ans := fai.Kind.Answer()
	switch {
	case fai.Answered:
		return Final
	case ans.Outcome() == fperror.NotRun && ans.Elsewhere():
	case fai.Kind == fperror.UpstreamLost || fai.Kind == fperror.AnswerTruncated:
		if !fai.Idempotent {
			return MayHaveRun
		}
		if fai.Losses >= maxLosses {
			return TriesSpent
		}
	default:
		return Final
	}
	if fai.Tries >= ret.cfg.MaxTries {
		return TriesSpent
	}
	return Retried
}

// backoff returns a random pause. The push-back of the upstream is a lower bound, spread so that the requests it refused
// do not come back together.
func (ret *Retrier) backoff(fai Failure) time.Duration {
	mean := float64(ret.cfg.Backoff) * math.Exp2(float64(max(0, fai.Tries-1)))
	mean = min(mean, float64(ret.cfg.MaxBackoff))
	jittered := time.Duration((0.5 + ret.cfg.Rand.Float64()) * mean)
	return fai.PushBack + jittered
}

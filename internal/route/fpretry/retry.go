// Package fpretry decides whether and when a request is retried after a failed attempt.
package fpretry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// DefaultRetryRatio is the default ratio of retries to successes.
	DefaultRetryRatio = 0.1
	// DefaultMaxAttempts is the default bound of the attempts of one request.
	DefaultMaxAttempts = 4
	// DefaultBackoff is the default mean backoff before the first retry. It doubles with each retry.
	DefaultBackoff = 5 * time.Millisecond
	// DefaultMaxBackoff is the default bound of the mean backoff.
	DefaultMaxBackoff = 500 * time.Millisecond
	// maxLostConnections is the number of lost connections after which a request is not retried. A request that was in flight
	// at two upstreams when their connections broke may have crashed both.
	maxLostConnections = 2
)

// Config configures a Retrier. The zero value of each field stands for the default.
type Config struct {
	// RetryRatio is the ratio of retries to successes.
	RetryRatio  float64
	MaxAttempts int
	Backoff     time.Duration
	MaxBackoff  time.Duration
	// Rand is the source of the backoff's jitter. If nil, a source with seed 1 is used.
	Rand *rand.Rand
}

// Failure describes a failed attempt.
type Failure struct {
	Kind fperror.Kind
	// Idempotent states that the request may run more than once.
	Idempotent bool
	// Attempts is the number of attempts so far, at least 1.
	Attempts int
	// LostConnections is the number of attempts that ended with a broken connection after the request was sent.
	LostConnections int
	// Answered states that a part of the answer has been sent to the caller.
	Answered bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Expected is the expected time of one attempt, or 0 when it is unknown.
	Expected time.Duration
	// PushBack is the delay that the upstream asked for before the next attempt, or 0.
	PushBack time.Duration
}

// Reason is the reason why a request is retried or not.
type Reason uint8

// The reasons.
const (
	// Retried means that the request is retried.
	Retried Reason = iota
	// MayHaveRun means that the request may have run and is not idempotent.
	MayHaveRun
	// Final means that another attempt would not help, or that a part of the answer has been sent.
	Final
	// TriesSpent means that the request has had its last attempt, or has lost too many connections.
	TriesSpent
	// DeadlineTooNear means that a retry would not end before the deadline.
	DeadlineTooNear
	// BudgetSpent means that the retry budget is spent.
	BudgetSpent
	reasonCount
)

// reasonNames are the names of the reasons in counters.
var reasonNames = [reasonCount]string{
	Retried:         "retried",
	MayHaveRun:      "mayHaveRun",
	Final:           "final",
	TriesSpent:      "triesSpent",
	DeadlineTooNear: "deadlineTooNear",
	BudgetSpent:     "budgetSpent",
}

// String returns the name of the reason, or "unknown".
func (rea Reason) String() string {
	if rea >= reasonCount {
		return "unknown"
	}
	return reasonNames[rea]
}

// Decision states whether and when a request is retried. The zero value means a retry at once.
type Decision struct {
	reason    Reason
	after     time.Duration
	elsewhere bool
}

// Retry reports whether the request is retried.
func (dec Decision) Retry() bool { return dec.reason == Retried }

// After returns the backoff before the next attempt.
func (dec Decision) After() time.Duration { return dec.after }

// Elsewhere reports whether the next attempt should go to an upstream that has had none, if the call may go to several
// upstreams.
func (dec Decision) Elsewhere() bool { return dec.elsewhere }

// Reason returns the reason of the decision.
func (dec Decision) Reason() Reason { return dec.reason }

// Retrier decides on the retries of one service on one VM. Use New to create one. It is safe for concurrent use.
type Retrier struct {
	mutex  sync.Mutex
	cfg    Config
	budget budget
}

// New returns a retrier with an empty retry budget.
func New(cfg Config) *Retrier {
	if cfg.RetryRatio <= 0 {
		cfg.RetryRatio = DefaultRetryRatio
	}
	if cfg.MaxAttempts <= 0 {
		cfg.MaxAttempts = DefaultMaxAttempts
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
			ratio: cfg.RetryRatio,
		},
	}
}

// Success counts an answered request, which earns a fraction of a retry.
func (ret *Retrier) Success(now time.Time) {
	ret.mutex.Lock()
	defer ret.mutex.Unlock()
	ret.budget.earn(now)
}

// Decide returns whether and when to retry after a failed attempt. It takes a retry from the budget at once.
func (ret *Retrier) Decide(now time.Time, fai Failure) Decision {
	ret.mutex.Lock()
	defer ret.mutex.Unlock()
	if reason := ret.checkRetry(fai); reason != Retried {
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

// checkRetry returns the reason why a request must not be retried, or Retried. If the request did not run, it is retried
// only if the kind of the failure allows another upstream (Answer.RetryElsewhere of fperror). The other kinds are decisions
// of this VM, which a retry would only repeat. Of the failures after which the request may have run, only lost connections
// and truncated answers are retried, because another upstream may succeed.
func (ret *Retrier) checkRetry(fai Failure) Reason {
	ans := fai.Kind.Answer()
	switch {
	case fai.Answered:
		return Final
	case ans.Outcome() == fperror.NotRun && ans.RetryElsewhere():
	case fai.Kind == fperror.UpstreamLost || fai.Kind == fperror.AnswerTruncated:
		if !fai.Idempotent {
			return MayHaveRun
		}
		if fai.LostConnections >= maxLostConnections {
			return TriesSpent
		}
	default:
		return Final
	}
	if fai.Attempts >= ret.cfg.MaxAttempts {
		return TriesSpent
	}
	return Retried
}

// backoff returns the random backoff before the next attempt. It is added to the delay that the upstream asked for, so that
// the requests that it refused are not retried together.
func (ret *Retrier) backoff(fai Failure) time.Duration {
	mean := float64(ret.cfg.Backoff) * math.Exp2(float64(max(0, fai.Attempts-1)))
	mean = min(mean, float64(ret.cfg.MaxBackoff))
	jittered := time.Duration((0.5 + ret.cfg.Rand.Float64()) * mean)
	return fai.PushBack + jittered
}

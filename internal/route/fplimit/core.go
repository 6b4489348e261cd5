package fplimit

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// DefaultQueueSize is the number of requests that may wait for one upstream.
	DefaultQueueSize = 64
	// DefaultMaxWait bounds the expected wait in the queue. It is far below 5 s, the time within which the p99 latency
	// has to be normal again after a surge.
	DefaultMaxWait = 250 * time.Millisecond
	// DefaultMaxLimit bounds the concurrency limit of an upstream that announced none.
	DefaultMaxLimit = 64
	// soleCallerFraction is the fraction of the queue places of a priority class that a caller may fill while no other
	// caller is active. The rest is kept for a second caller. Queued requests are not evicted in its favour, because an
	// evicted request would get its refusal too late, more than 10 ms after its arrival.
	soleCallerFraction = 0.75
)

// CoreConfig configures a Core. A zero field stands for its default.
type CoreConfig struct {
	// Concurrency is the number of requests that the upstream announced to run at once. It is the upper bound of the
	// concurrency limit. 0 or less: DefaultMaxLimit.
	Concurrency int
	// QueueSize is the number of requests that may wait. 0 or less: DefaultQueueSize.
	QueueSize int
	// MaxWait bounds the expected wait in the queue. 0 or less: DefaultMaxWait.
	MaxWait time.Duration
	// Rand is the source of jitter. Nil: a source with a fixed seed.
	Rand *rand.Rand
}

// Core decides on the admission of requests to one upstream. It is not safe for concurrent use; Limiter is.
type Core struct {
	estimator      estimator
	accounts       accountSet
	queue          queue
	queueSize      int
	maxWait        time.Duration
	running        int
	runningBundles int
	lastTicket     uint64
}

// Verdict is the result of Core.Offer for a new request.
type Verdict uint8

// The verdicts.
const (
	// Refuse means that the request must not be forwarded. The error of Offer states why.
	Refuse Verdict = iota
	// Start means that the request may go to the upstream now.
	Start
	// Wait means that the request waits until Done or Tick returns a Decision with its ticket.
	Wait
)

// Decision states whether a request that waited may go to the upstream.
type Decision struct {
	ticket uint64
	err    error
}

// Ticket returns the ticket that Offer returned for the request.
func (dec Decision) Ticket() uint64 { return dec.ticket }

// Err returns nil if the request may go to the upstream, or an error of kind DeadlineUnreachable.
func (dec Decision) Err() error { return dec.err }

// NewCore returns a Core for an upstream that has not answered a request yet.
func NewCore(cfg CoreConfig) *Core {
	maxLimit := cfg.Concurrency
	if maxLimit <= 0 {
		maxLimit = DefaultMaxLimit
	}
	ran := cfg.Rand
	if ran == nil {
		ran = rand.New(rand.NewPCG(1, 1))
	}
	cor := &Core{
		estimator: estimator{
			ran:      ran,
			limit:    float64(min(initialLimit, maxLimit)),
			maxLimit: float64(maxLimit),
		},
		accounts: accountSet{
			byCaller: map[string]*account{},
		},
		queueSize: cfg.QueueSize,
		maxWait:   cfg.MaxWait,
	}
	if cor.queueSize <= 0 {
		cor.queueSize = DefaultQueueSize
	}
	if cor.maxWait <= 0 {
		cor.maxWait = DefaultMaxWait
	}
	return cor
}

// Concurrency returns the number of permits. Each request that runs on the upstream holds one.
func (cor *Core) Concurrency() int { return cor.estimator.concurrency() }

// Running returns the number of requests that run on the upstream.
func (cor *Core) Running() int { return cor.running }

// Waiting returns the number of requests in the queue.
func (cor *Core) Waiting() int { return len(cor.queue.waiters) }

// ServiceTime returns the expected duration of one attempt, or 0 if it is unknown.
func (cor *Core) ServiceTime(now time.Time) time.Duration { return cor.estimator.serviceTime(now) }

// bundleConcurrency returns the number of bundles that may run at once. One permit is kept free of bundles. If there is
// only one, a bundle may take it, because it could never run otherwise; package fpbalance then keeps bundles off some
// upstreams.
func (cor *Core) bundleConcurrency() int {
	return max(1, cor.estimator.concurrency()-1)
}

// Offer decides whether a new request starts, waits or is refused. The ticket identifies a request that waits and is 0
// otherwise. The error is of kind Overloaded or DeadlineUnreachable, and nil unless the request is refused.
func (cor *Core) Offer(now time.Time, cal Call) (Verdict, uint64, error) {
	remaining := cal.Deadline.Sub(now)
	if remaining <= 0 {
		return Refuse, 0, fperror.New(fperror.DeadlineUnreachable, "the deadline passed %v before admission", -remaining)
	}
	acc := cor.accounts.get(now, cal.Caller)
	if len(cor.queue.waiters) == 0 && cor.canStart(now, cal.Bundle) {
		cor.start(cal, acc)
		return Start, 0, nil
	}
	acc.waiting++ // makes the caller active, as checkQueue requires
	wai := &waiter{
		call:    cal,
		account: acc,
		arrival: now,
	}
	if err := cor.checkQueue(now, wai, remaining); err != nil {
		acc.waiting--
		return Refuse, 0, err
	}
	cor.lastTicket++
	wai.ticket = cor.lastTicket
	cor.queue.waiters = append(cor.queue.waiters, wai)
	return Wait, cor.lastTicket, nil
}

// checkQueue returns an error of kind Overloaded or DeadlineUnreachable if a request may not wait. The caller's account
// already counts the request as waiting.
func (cor *Core) checkQueue(now time.Time, wai *waiter, remaining time.Duration) error {
	cal, acc := wai.call, wai.account
	waiting := len(cor.queue.waiters)
	if waiting >= cor.queueSize {
		return fperror.New(fperror.Overloaded, "the queue is full: %d requests wait for the upstream", waiting)
	}
	if cor.queue.countUpTo(cal.Priority) >= cor.classQueueLimit(cal.Priority) {
		return fperror.New(fperror.Overloaded, "the queue is full for requests of priority class %d", cal.Priority)
	}
	if acc.waiting > cor.callerQueueLimit(now, cal.Priority) {
		return fperror.New(fperror.Overloaded, "the caller already has %d of the %d requests in the queue", acc.waiting-1, waiting)
	}
	wait := cor.expectedWait(now, wai)
	if wait > cor.maxWait {
		return fperror.New(fperror.Overloaded, "expected wait %v is above %v", wait, cor.maxWait)
	}
	if need := wait + cor.estimator.serviceTime(now); need > remaining {
		return fperror.New(fperror.DeadlineUnreachable, "expected wait and service time %v is above the remaining %v", need, remaining)
	}
	return nil
}

// classQueueLimit returns the number of queue places that a priority class and the classes below it may fill together.
func (cor *Core) classQueueLimit(pri Priority) int {
	switch {
	case pri < Normal:
		return max(1, cor.queueSize/2)
	case pri == Normal:
		return max(1, cor.queueSize*3/4)
	default:
		return cor.queueSize
	}
}

// callerQueueLimit returns the number of queue places that one caller may fill when it adds a request of a priority class.
func (cor *Core) callerQueueLimit(now time.Time, pri Priority) int {
	limit := cor.classQueueLimit(pri)
	active, _ := cor.accounts.active(now)
	if active <= 1 {
		return max(1, int(soleCallerFraction*float64(limit)))
	}
	return max(1, limit/active)
}

// expectedWait estimates the time that a new request would spend in the queue. It counts only the waiters that are served
// before the request. Therefore the backlog of a caller above its share does not cause refusals of other callers.
func (cor *Core) expectedWait(now time.Time, wai *waiter) time.Duration {
	_, meanBusy := cor.accounts.active(now)
	wait := cor.estimator.waitPerRequest(now) * time.Duration(cor.queue.countAhead(now, meanBusy, cor.estimator.serviceTime(now), wai)+1)
	if pause := cor.estimator.pausedUntil.Sub(now); pause > 0 {
		wait += pause
	}
	return wait
}

// canStart reports whether a permit is free for a request and no pause is in force.
func (cor *Core) canStart(now time.Time, bundle bool) bool {
	if cor.running >= cor.estimator.concurrency() || now.Before(cor.estimator.pausedUntil) {
		return false
	}
	return !bundle || cor.runningBundles < cor.bundleConcurrency()
}

// start takes a permit for a request.
func (cor *Core) start(cal Call, acc *account) {
	cor.running++
	acc.running++
	if cal.Bundle {
		cor.runningBundles++
	}
}

// Done returns the permit of a request whose attempt ended after the given duration, adapts the concurrency limit to the
// result, and returns the decisions about waiting requests.
func (cor *Core) Done(now time.Time, cal Call, took time.Duration, res Result) []Decision {
	atLimit := cor.running >= cor.estimator.concurrency()
	acc := cor.accounts.get(now, cal.Caller)
	cor.running--
	acc.running = max(0, acc.running-1)
	acc.charge(now, took)
	if cal.Bundle {
		cor.runningBundles--
	}
	kin, failed := res.kind()
	switch {
	case failed:
		cor.estimator.recordFailure(now, kin, res.PushBack)
	case !cal.Bundle:
		longQueue := cor.estimator.waitPerRequest(now)*time.Duration(len(cor.queue.waiters)) > cor.maxWait/2
		cor.estimator.recordAnswer(now, took, atLimit, longQueue)
	}
	if !failed {
		cor.estimator.recordInterval(now, len(cor.queue.waiters) > 0)
	}
	cor.estimator.pauseAfterAttempt(now)
	return cor.Tick(now)
}

// Cancel removes a waiting request and reports whether it was still waiting. If not, a Decision about it was returned
// before.
func (cor *Core) Cancel(ticket uint64) bool {
	pos := cor.queue.index(ticket)
	if pos < 0 {
		return false
	}
	cor.queue.remove(pos).account.waiting--
	return true
}

// Tick returns the decisions about waiting requests that cannot be answered before their deadline any more, or for which a permit
// is free now.
func (cor *Core) Tick(now time.Time) []Decision {
	var decisions []Decision
	work := cor.estimator.serviceTime(now)
	for pos := cor.queue.nextUnreachable(now, work); pos >= 0; pos = cor.queue.nextUnreachable(now, work) {
		dec := cor.decide(pos)
		dec.err = fperror.New(fperror.DeadlineUnreachable, "the time until the deadline in the queue fell below the service time %v", work)
		decisions = append(decisions, dec)
	}
	for {
		_, meanBusy := cor.accounts.active(now)
		pos := cor.queue.next(now, meanBusy, work, cor.runningBundles < cor.bundleConcurrency())
		if pos < 0 || !cor.canStart(now, cor.queue.waiters[pos].call.Bundle) {
			return decisions
		}
		wai := cor.queue.waiters[pos]
		decisions = append(decisions, cor.decide(pos))
		cor.start(wai.call, wai.account)
	}
}

// decide removes the waiter at a position and returns the decision that it starts.
func (cor *Core) decide(pos int) Decision {
	wai := cor.queue.remove(pos)
	wai.account.waiting--
	return Decision{
		ticket: wai.ticket,
	}
}

// NextTick returns when Tick has to be called next, or the zero time if Tick need not be called before the next Done.
func (cor *Core) NextTick(now time.Time) time.Time {
	if len(cor.queue.waiters) == 0 || !now.Before(cor.estimator.pausedUntil) {
		return time.Time{}
	}
	return cor.estimator.pausedUntil
}

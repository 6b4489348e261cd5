package fplimit

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// DefaultQueue is the number of requests that may wait for one upstream.
	DefaultQueue = 64
	// DefaultMaxWait bounds the expected wait in the queue. It is far below the 5 s in which the p99 latency has to be
	// normal again after a surge.
	DefaultMaxWait = 250 * time.Millisecond
	// DefaultCeiling bounds the learned limit of an upstream that announced no concurrency.
	DefaultCeiling = 64
	// soleCallerShare is the part of its class's places that one caller may fill while no other caller is active. The rest
	// lets a second caller in without an eviction; an evicted request would get its refusal later than 10 ms.
	soleCallerShare = 0.75
)

// CoreConfig configures a Core. The zero value of each field stands for the default.
type CoreConfig struct {
	// Concurrency is the number of requests that the upstream announced to run at once. It bounds the learned limit.
	Concurrency int
	// Queue is the number of requests that may wait.
	Queue int
	// MaxWait bounds the expected wait in the queue.
	MaxWait time.Duration
	// Rand jitters pauses. Unset: a source with seed 1.
	Rand *rand.Rand
}

// Core decides admission to one upstream. It is not safe for concurrent use; Limiter is.
type Core struct {
	learn   learner
	shares  shares
	queue   queue
	bound   int
	maxWait time.Duration
	running int
	bundles int
	serial  uint64
}

// Verdict is the decision about a new request.
type Verdict uint8

// The verdicts.
const (
	// Refuse means that the request does not run; the error says why.
	Refuse Verdict = iota
	// Start means that the request may go to the upstream now.
	Start
	// Wait means that the request waits until Core names its ticket.
	Wait
)

// Decision is what becomes of a waiting request.
type Decision struct {
	ticket uint64
	err    error
}

// Ticket returns the ticket that Offer returned.
func (dec Decision) Ticket() uint64 { return dec.ticket }

// Err returns nil if the request may go to the upstream, or the reason of the refusal.
func (dec Decision) Err() error { return dec.err }

// NewCore returns the state of an upstream that has given no answer yet.
func NewCore(cfg CoreConfig) *Core {
	ceiling := cfg.Concurrency
	if ceiling <= 0 {
		ceiling = DefaultCeiling
	}
	ran := cfg.Rand
	if ran == nil {
		ran = rand.New(rand.NewPCG(1, 1))
	}
	cor := &Core{
		learn: learner{
			ran:     ran,
			limit:   float64(min(initialLimit, ceiling)),
			ceiling: float64(ceiling),
		},
		shares: shares{
			accounts: map[string]*account{},
		},
		bound:   cfg.Queue,
		maxWait: cfg.MaxWait,
	}
	if cor.bound <= 0 {
		cor.bound = DefaultQueue
	}
	if cor.maxWait <= 0 {
		cor.maxWait = DefaultMaxWait
	}
	return cor
}

// Units returns the number of requests that may run at once.
func (cor *Core) Units() int { return cor.learn.units() }

// Running returns the number of requests that run.
func (cor *Core) Running() int { return cor.running }

// Waiting returns the number of requests in the queue.
func (cor *Core) Waiting() int { return len(cor.queue.waiters) }

// ServiceTime returns the expected time of one attempt, or 0 when it is unknown.
func (cor *Core) ServiceTime(now time.Time) time.Duration { return cor.learn.serviceTime(now) }

// bundleUnits returns the number of bundles that may run at once: all units but one. With a single unit a bundle may
// take it, because it could never run otherwise; fpbalance then keeps bundles off some upstreams.
func (cor *Core) bundleUnits() int {
	return max(1, cor.learn.units()-1)
}

// Offer decides about a new request. The ticket identifies a waiting request; the error is of kind Overloaded or
// DeadlineUnreachable.
func (cor *Core) Offer(now time.Time, cal Call) (Verdict, uint64, error) {
	left := cal.Deadline.Sub(now)
	if left <= 0 {
		return Refuse, 0, fperror.New(fperror.DeadlineUnreachable, "deadline passed %v before admission", -left)
	}
	acc := cor.shares.account(now, cal.Caller)
	if len(cor.queue.waiters) == 0 && cor.free(now, cal.Bundle) {
		cor.start(cal, acc)
		return Start, 0, nil
	}
	acc.waiting++ // the caller counts as active from here on
	if err := cor.refuse(now, cal, acc, left); err != nil {
		acc.waiting--
		return Refuse, 0, err
	}
	cor.serial++
	cor.queue.waiters = append(cor.queue.waiters, &waiter{
		ticket:  cor.serial,
		call:    cal,
		account: acc,
	})
	return Wait, cor.serial, nil
}

// refuse returns the reason why a request may not wait, or nil.
func (cor *Core) refuse(now time.Time, cal Call, acc *account, left time.Duration) error {
	waiting := len(cor.queue.waiters)
	if waiting >= cor.bound {
		return fperror.New(fperror.Overloaded, "%d requests wait for the upstream", waiting)
	}
	if cor.queue.class(cal.Priority) >= cor.classBound(cal.Priority) {
		return fperror.New(fperror.Overloaded, "the queue has no place for priority class %d", cal.Priority)
	}
	if acc.waiting > cor.callerBound(now, cal.Priority) {
		return fperror.New(fperror.Overloaded, "caller has %d of %d requests in the queue", acc.waiting-1, waiting)
	}
	wait := cor.expectedWait(now, cal, acc)
	if wait > cor.maxWait {
		return fperror.New(fperror.Overloaded, "expected wait %v is above %v", wait, cor.maxWait)
	}
	if need := wait + cor.learn.serviceTime(now); need > left {
		return fperror.New(fperror.DeadlineUnreachable, "expected time %v is above the remaining %v", need, left)
	}
	return nil
}

// classBound returns the part of the queue that a class and the classes below it may fill.
func (cor *Core) classBound(pri Priority) int {
	switch {
	case pri < Normal:
		return max(1, cor.bound/2)
	case pri == Normal:
		return max(1, cor.bound*3/4)
	default:
		return cor.bound
	}
}

// callerBound returns the part of the queue that a caller may fill with requests of a class.
func (cor *Core) callerBound(now time.Time, pri Priority) int {
	places := cor.classBound(pri)
	active, _ := cor.shares.active(now)
	if active <= 1 {
		return max(1, int(soleCallerShare*float64(places)))
	}
	return max(1, places/active)
}

// expectedWait estimates the time in the queue of a new request. Only the waiters that precede it count, so the backlog
// of a caller above its share does not refuse the requests of others.
func (cor *Core) expectedWait(now time.Time, cal Call, acc *account) time.Duration {
	_, meanUse := cor.shares.active(now)
	wait := cor.learn.waitEach(now) * time.Duration(cor.queue.ahead(now, meanUse, cal, acc)+1)
	if pause := cor.learn.paused.Sub(now); pause > 0 {
		wait += pause
	}
	return wait
}

// free reports whether a unit is free for a request.
func (cor *Core) free(now time.Time, bundle bool) bool {
	if cor.running >= cor.learn.units() || now.Before(cor.learn.paused) {
		return false
	}
	return !bundle || cor.bundles < cor.bundleUnits()
}

// start occupies a unit.
func (cor *Core) start(cal Call, acc *account) {
	cor.running++
	acc.running++
	if cal.Bundle {
		cor.bundles++
	}
}

// Done learns from the end of an attempt that took the given time, and returns the decisions about waiting requests.
func (cor *Core) Done(now time.Time, cal Call, took time.Duration, res Result) []Decision {
	full := cor.running >= cor.learn.units()
	acc := cor.shares.account(now, cal.Caller)
	cor.running--
	acc.running = max(0, acc.running-1)
	acc.charge(now, took)
	if cal.Bundle {
		cor.bundles--
	}
	kin, failed := res.kind()
	switch {
	case failed:
		cor.learn.failed(now, kin, res.PushBack)
	case !cal.Bundle:
		deep := cor.learn.waitEach(now)*time.Duration(len(cor.queue.waiters)) > cor.maxWait/2
		cor.learn.answered(now, took, full, deep)
	}
	if !failed {
		cor.learn.drained(now, len(cor.queue.waiters) > 0)
	}
	cor.learn.passed(now)
	return cor.Tick(now)
}

// Leave removes a waiting request whose caller is gone and reports whether it was still waiting.
func (cor *Core) Leave(ticket uint64) bool {
	pos := cor.queue.find(ticket)
	if pos < 0 {
		return false
	}
	cor.queue.remove(pos).account.waiting--
	return true
}

// Tick returns the decisions about waiting requests that the passage of time brings.
func (cor *Core) Tick(now time.Time) []Decision {
	var out []Decision
	for len(cor.queue.waiters) > 0 {
		_, meanUse := cor.shares.active(now)
		pos := cor.queue.best(now, meanUse, cor.bundles < cor.bundleUnits())
		if pos < 0 {
			break
		}
		expired := !cor.queue.waiters[pos].call.Deadline.After(now)
		if !expired && !cor.free(now, cor.queue.waiters[pos].call.Bundle) {
			break
		}
		wai := cor.queue.remove(pos)
		wai.account.waiting--
		dec := Decision{
			ticket: wai.ticket,
		}
		if expired {
			dec.err = fperror.New(fperror.DeadlineUnreachable, "deadline passed in the queue")
		} else {
			cor.start(wai.call, wai.account)
		}
		out = append(out, dec)
	}
	return out
}

// Wake returns when Tick has to be called next, or the zero time when the next Done suffices.
func (cor *Core) Wake(now time.Time) time.Time {
	if len(cor.queue.waiters) == 0 || !now.Before(cor.learn.paused) {
		return time.Time{}
	}
	return cor.learn.paused
}

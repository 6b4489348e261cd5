package fplimit

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// defaultDeadline is how long a call without a deadline may take.
const defaultDeadline = 5 * time.Second

// Limiter limits the concurrent requests to one upstream and blocks requests until they are admitted. It is safe for
// concurrent use. Use New to create one.
type Limiter struct {
	mut     sync.Mutex
	core    *Core
	waiting map[uint64]chan error
	timer   *time.Timer
}

// New returns a Limiter for one upstream.
func New(cfg CoreConfig) *Limiter {
	return &Limiter{
		core:    NewCore(cfg),
		waiting: map[uint64]chan error{},
	}
}

// Admit blocks until the request may go to the upstream. The caller must call done with the result of the attempt; further
// calls of done have no effect. After an error, done is nil and the request must not be forwarded. The error is of kind
// Overloaded or DeadlineUnreachable if the limiter refused the request. If ctx ended first, it is of kind
// DeadlineUnreachable after the deadline of ctx and CallerCanceled otherwise.
func (lim *Limiter) Admit(ctx context.Context, cal Call) (done func(Result), err error) {
	now := time.Now()
	if cal.Deadline.IsZero() {
		cal.Deadline = deadlineOf(ctx, now)
	}
	lim.mut.Lock()
	verdict, ticket, err := lim.core.Offer(now, cal)
	var decision chan error
	if verdict == Wait {
		decision = make(chan error, 1)
		lim.waiting[ticket] = decision
		lim.schedule(now)
	}
	lim.mut.Unlock()
	switch verdict {
	case Start:
		return lim.doneFunc(cal, now), nil
	case Wait:
		return lim.awaitDecision(ctx, cal, ticket, decision)
	default:
		return nil, err
	}
}

// awaitDecision blocks until the core has decided about a ticket or ctx has ended.
func (lim *Limiter) awaitDecision(ctx context.Context, cal Call, ticket uint64, decision chan error) (func(Result), error) {
	select {
	case err := <-decision:
		if err != nil {
			return nil, err
		}
		return lim.doneFunc(cal, time.Now()), nil
	case <-ctx.Done():
	}
	lim.mut.Lock()
	canceled := lim.core.Cancel(ticket)
	delete(lim.waiting, ticket)
	lim.mut.Unlock()
	if !canceled {
		// The core decided before the ticket could be canceled. If it admitted the request, the permit has to be returned.
		if err := <-decision; err == nil {
			lim.finish(cal, 0, Result{
				Err: ctx.Err(),
			})
		}
	}
	if ctx.Err() == context.DeadlineExceeded {
		return nil, fperror.Wrap(fperror.DeadlineUnreachable, ctx.Err(), "the deadline passed in the queue")
	}
	return nil, fperror.Wrap(fperror.CallerCanceled, ctx.Err(), "the request was canceled in the queue")
}

// doneFunc returns the function that ends an attempt. Only its first call has an effect.
func (lim *Limiter) doneFunc(cal Call, started time.Time) func(Result) {
	var once sync.Once
	return func(res Result) {
		once.Do(func() {
			lim.finish(cal, time.Since(started), res)
		})
	}
}

// finish reports the end of an attempt to the core and wakes the requests that it decides about.
func (lim *Limiter) finish(cal Call, took time.Duration, res Result) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	now := time.Now()
	lim.deliver(lim.core.Done(now, cal, took, res))
	lim.schedule(now)
}

// tick is called by the timer, at the time that Core.NextTick returned, and lets the core decide about waiting requests.
func (lim *Limiter) tick() {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	now := time.Now()
	lim.deliver(lim.core.Tick(now))
	lim.schedule(now)
}

// deliver wakes the requests that the core has decided about. Their channels are buffered, so it never blocks. The caller
// holds the mutex.
func (lim *Limiter) deliver(decisions []Decision) {
	for _, dec := range decisions {
		if decision, ok := lim.waiting[dec.ticket]; ok {
			decision <- dec.err
			delete(lim.waiting, dec.ticket)
		}
	}
}

// schedule sets the timer for the next call of tick, if the core needs one. The caller holds the mutex.
func (lim *Limiter) schedule(now time.Time) {
	next := lim.core.NextTick(now)
	if next.IsZero() {
		return
	}
	if lim.timer == nil {
		lim.timer = time.AfterFunc(next.Sub(now), lim.tick)
		return
	}
	lim.timer.Reset(next.Sub(now))
}

// State is a snapshot of a Limiter for counters and dumps.
type State struct {
	limit       float64
	concurrency int
	running     int
	waiting     int
}

// Limit returns the concurrency limit. A limit below 1 means one request at a time with pauses in between.
func (sta State) Limit() float64 { return sta.limit }

// Concurrency returns the number of requests that may run at once.
func (sta State) Concurrency() int { return sta.concurrency }

// Running returns the number of requests that run on the upstream.
func (sta State) Running() int { return sta.running }

// Waiting returns the number of requests in the queue.
func (sta State) Waiting() int { return sta.waiting }

// State returns a snapshot of the limiter.
func (lim *Limiter) State() State {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	return State{
		limit:       lim.core.estimator.limit,
		concurrency: lim.core.Concurrency(),
		running:     lim.core.Running(),
		waiting:     lim.core.Waiting(),
	}
}

// deadlineOf returns the deadline of ctx, or the default deadline if it has none.
func deadlineOf(ctx context.Context, now time.Time) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return now.Add(defaultDeadline)
}

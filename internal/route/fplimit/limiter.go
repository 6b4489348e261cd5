package fplimit

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// defaultDeadline applies to a call without any deadline.
const defaultDeadline = 5 * time.Second

// Limiter lets requests wait for the decisions of a Core. It is safe for concurrent use.
type Limiter struct {
	mut     sync.Mutex
	core    *Core
	waiting map[uint64]chan error
	timer   *time.Timer
}

// New returns a limiter for one upstream.
func New(cfg CoreConfig) *Limiter {
	return &Limiter{
		core:    NewCore(cfg),
		waiting: map[uint64]chan error{},
	}
}

// Admit returns once the request may go to the upstream, and the function that has to be called once with the end of the
// attempt. The error is of kind Overloaded or DeadlineUnreachable when the limiter refused, and of kind CallerCanceled
// or DeadlineUnreachable when ctx ended first. A request that Admit refused did not run.
func (lim *Limiter) Admit(ctx context.Context, cal Call) (done func(Result), err error) {
	now := time.Now()
	if cal.Deadline.IsZero() {
		cal.Deadline = deadlineOf(ctx, now)
	}
	lim.mut.Lock()
	verdict, ticket, err := lim.core.Offer(now, cal)
	var decided chan error
	if verdict == Wait {
		decided = make(chan error, 1)
		lim.waiting[ticket] = decided
		lim.schedule(now)
	}
	lim.mut.Unlock()
	switch verdict {
	case Start:
		return lim.doneFunc(cal, now), nil
	case Wait:
		return lim.wait(ctx, cal, ticket, decided)
	default:
		return nil, err
	}
}

// wait returns when the core has decided about a ticket or ctx has ended.
func (lim *Limiter) wait(ctx context.Context, cal Call, ticket uint64, decided chan error) (func(Result), error) {
	select {
	case err := <-decided:
		if err != nil {
			return nil, err
		}
		return lim.doneFunc(cal, time.Now()), nil
	case <-ctx.Done():
	}
	lim.mut.Lock()
	left := lim.core.Leave(ticket)
	delete(lim.waiting, ticket)
	lim.mut.Unlock()
	if !left {
		// The core decided at the same moment. A unit that it gave has to be returned.
		if err := <-decided; err == nil {
			lim.finish(cal, 0, Result{
				Err: ctx.Err(),
			})
		}
	}
	if ctx.Err() == context.DeadlineExceeded {
		return nil, fperror.Wrap(fperror.DeadlineUnreachable, ctx.Err(), "wait for the upstream")
	}
	return nil, fperror.Wrap(fperror.CallerCanceled, ctx.Err(), "wait for the upstream")
}

// doneFunc returns the function that ends an attempt; only its first call counts.
func (lim *Limiter) doneFunc(cal Call, started time.Time) func(Result) {
	var once sync.Once
	return func(res Result) {
		once.Do(func() {
			lim.finish(cal, time.Since(started), res)
		})
	}
}

// finish hands the end of an attempt to the core.
func (lim *Limiter) finish(cal Call, took time.Duration, res Result) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	now := time.Now()
	lim.deliver(lim.core.Done(now, cal, took, res))
	lim.schedule(now)
}

// tick hands the passage of time to the core.
func (lim *Limiter) tick() {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	now := time.Now()
	lim.deliver(lim.core.Tick(now))
	lim.schedule(now)
}

// deliver wakes the requests that the core has decided about. Their channels have room, so it never blocks.
func (lim *Limiter) deliver(decisions []Decision) {
	for _, dec := range decisions {
		if decided, ok := lim.waiting[dec.ticket]; ok {
			decided <- dec.err
			delete(lim.waiting, dec.ticket)
		}
	}
}

// schedule sets the timer for the core's next wake-up.
func (lim *Limiter) schedule(now time.Time) {
	wake := lim.core.Wake(now)
	if wake.IsZero() {
		return
	}
	if lim.timer == nil {
		lim.timer = time.AfterFunc(wake.Sub(now), lim.tick)
		return
	}
	lim.timer.Reset(wake.Sub(now))
}

// State is a snapshot of a limiter for counters and dumps.
type State struct {
	limit   float64
	units   int
	running int
	waiting int
}

// Limit returns the learned limit; a limit below 1 is one request at a time with pauses between.
func (sta State) Limit() float64 { return sta.limit }

// Units returns the number of requests that may run at once.
func (sta State) Units() int { return sta.units }

// Running returns the number of requests that run.
func (sta State) Running() int { return sta.running }

// Waiting returns the number of requests in the queue.
func (sta State) Waiting() int { return sta.waiting }

// State returns a snapshot.
func (lim *Limiter) State() State {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	return State{
		limit:   lim.core.learn.limit,
		units:   lim.core.Units(),
		running: lim.core.Running(),
		waiting: lim.core.Waiting(),
	}
}

// deadlineOf returns the deadline of ctx, or the default.
func deadlineOf(ctx context.Context, now time.Time) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return now.Add(defaultDeadline)
}

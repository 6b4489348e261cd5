package fpforward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// stopFactor is the multiple of the longest measured time of an answer that must be left when an idempotent request is sent
	// early in a stop, and stopFactorOnce that for all other requests, whose callers may not repeat them if the answer is cut off.
	stopFactor     = 2
	stopFactorOnce = 8
	// answerTimePeriod is the time after which the longest time of an answer is forgotten.
	answerTimePeriod = 30 * time.Second
)

// stop is the planned stop of a VM.
type stop struct {
	// times are nil before the stop.
	times atomic.Pointer[stopTimes]
	// halfPassed is closed at half of the stop.
	halfPassed chan struct{}
	// ended ends when the requests in flight are ended.
	ended  context.Context
	cancel context.CancelFunc
}

// stopTimes are the times of a planned stop.
type stopTimes struct {
	// begun is when the stop has begun, half when half of the time between the stop signal and the kill has passed, and end when the
	// requests in flight are ended.
	begun, half, end time.Time
}

func (sto *stop) init() {
	sto.halfPassed = make(chan struct{})
	sto.ended, sto.cancel = context.WithCancel(context.Background())
}

// begun reports whether the VM is stopping.
func (sto *stop) begun() bool { return sto.times.Load() != nil }

// untilHalf returns a channel that is closed at half of the stop, or nil if that has passed.
func (sto *stop) untilHalf() <-chan struct{} {
	select {
	case <-sto.halfPassed:
		return nil
	default:
		return sto.halfPassed
	}
}

// fields returns the fields of a log line that tell how long the VM has been stopping, or none.
func (sto *stop) fields(now time.Time) []zap.Field {
	times := sto.times.Load()
	if times == nil {
		return nil
	}
	return []zap.Field{zap.Int64("stoppingMs", now.Sub(times.begun).Milliseconds())}
}

// Stop begins the planned stop of the VM. Answers ask callers to close their connections, and requests that may not be answered before
// the given time are refused as not run. Requests that are still in flight at that time are answered with an error.
func (fwd *Forwarder) Stop(end time.Time) {
	now := time.Now()
	times := &stopTimes{
		begun: now,
		half:  now.Add(fwd.cfg.Promises.Stop / 2),
		end:   end,
	}
	if fwd.stop.times.CompareAndSwap(nil, times) {
		time.AfterFunc(time.Until(times.half), func() { close(fwd.stop.halfPassed) })
		time.AfterFunc(time.Until(end), fwd.stop.cancel)
	}
}

// withDeadline returns a context for a request that ends at its deadline, and at the end of the stop.
func (fwd *Forwarder) withDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(parent, deadline)
	release := context.AfterFunc(fwd.stop.ended, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}

// checkStop returns an error of kind Draining if this VM is stopping and an upstream in the given state may not answer the request
// before the end. A refusal costs the caller one attempt at another VM, and an answer that is cut off leaves the outcome unknown.
func (exc *exchange) checkStop(now time.Time, sta memberState) error {
	times := exc.fwd.stop.times.Load()
	if times == nil {
		return nil
	}
	needed := exc.deadline.Sub(now)
	if exc.mayExceedStop(now, times) {
		if longest := exc.fwd.answerTimes.longest(now, exc.route.GetName()); longest > 0 {
			factor := time.Duration(stopFactorOnce)
			if exc.repeatable() {
				factor = stopFactor
			}
			needed = min(needed, factor*max(longest, sta.expectedTime()))
		}
	}
	if left := times.end.Sub(now); needed > left {
		exc.fwd.counters.add("stopRefused")
		return fperror.New(fperror.Draining, "this VM stops in %v, and the request may need %v", left, needed)
	}
	return nil
}

// mayExceedStop reports whether the request may be sent although its deadline is after the end of the stop, if earlier answers took
// little time. Later ones may take longer, so this holds only while most of the stop is left and callers still arrive, or if an earlier
// attempt may have run, as a refusal would then leave the outcome unknown, too. The time that a long body takes to arrive is not known.
func (exc *exchange) mayExceedStop(now time.Time, times *stopTimes) bool {
	return !exc.isLarge() && !exc.hasLongBody() && (now.Before(times.half) || exc.runs > 0)
}

// answerTimes holds the longest time of an answer for each route. The zero value is empty.
type answerTimes struct {
	mutex  sync.Mutex
	routes map[string]*longestWait
}

// observe records the time of an answer.
func (ant *answerTimes) observe(now time.Time, route string, took time.Duration) {
	ant.mutex.Lock()
	defer ant.mutex.Unlock()
	if ant.routes == nil {
		ant.routes = map[string]*longestWait{}
	}
	lon := ant.routes[route]
	if lon == nil {
		lon = &longestWait{
			started: now,
		}
		ant.routes[route] = lon
	}
	lon.add(now, took, answerTimePeriod)
}

// longest returns the longest time of an answer within the last one or two periods, or 0 if there was none.
func (ant *answerTimes) longest(now time.Time, route string) time.Duration {
	ant.mutex.Lock()
	defer ant.mutex.Unlock()
	lon := ant.routes[route]
	if lon == nil {
		return 0
	}
	lon.add(now, 0, answerTimePeriod)
	return max(lon.current, lon.before)
}

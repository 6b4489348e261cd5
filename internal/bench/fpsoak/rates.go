package fpsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpworker"
)

const (
	// rateLength is how long a worker names a request rate.
	rateLength = 6 * time.Second
	// rateWindow is the time in which the requests to a worker that names a rate are counted. It may get rateFactor times what
	// it takes in that time, and rateExtra more, from the VMs that passed on an answer with the rate more than rateDelay ago.
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateExtra  = 5
	rateDelay  = 500 * time.Millisecond
)

// rateSpan is the time during which a worker named a request rate for all VMs together.
type rateSpan struct {
	worker    *fpworker.Worker
	perSecond float64
	from, to  time.Time
}

// nameRates makes one worker after the other name a request rate for some time, until ctx ends.
func (fle *fleet) nameRates(ctx context.Context) {
	ran := rand.New(rand.NewPCG(fle.cfg.Seed, 1<<32))
	for ctx.Err() == nil {
		fle.mutex.Lock()
		wor := fle.workers[ran.IntN(len(fle.workers))].worker
		fle.mutex.Unlock()
		spa := rateSpan{
			worker:    wor,
			perSecond: []float64{0.5, 3.7, 14.3}[ran.IntN(3)],
			from:      time.Now(),
		}
		wor.NameRate(fmt.Sprint(spa.perSecond))
		wait(ctx, rateLength)
		spa.to = time.Now()
		wor.StopNamingRate()
		fle.record.mutex.Lock()
		fle.record.rateSpans = append(fle.record.rateSpans, spa)
		fle.record.mutex.Unlock()
		wait(ctx, time.Second)
	}
}

// checkRates adds a violation for each worker that got more requests than the rate that it named allows. started holds the
// starts of each entry VM: one that has started again does not count until it passes on an answer.
func (rec *record) checkRates(started map[string][]time.Time) {
	rec.mutex.Lock()
	spans := rec.rateSpans
	attempts := map[string]attempt{}
	for _, att := range rec.attempts {
		attempts[att.id] = att
	}
	rec.mutex.Unlock()
	for _, spa := range spans {
		var counted []time.Time
		arrivals := spa.worker.ArrivalList()
		for _, arr := range arrivals {
			entry := attempts[arr.Attempt].entry
			if arr.At.Before(spa.to) && passedOn(spa, entry, lastBefore(started[entry], arr.At), arr.At, arrivals, attempts) {
				counted = append(counted, arr.At)
			}
		}
		allowed := int(rateFactor*spa.perSecond*rateWindow.Seconds()) + rateExtra
		for pos := allowed; pos < len(counted); pos++ {
			if counted[pos].Sub(counted[pos-allowed]) <= rateWindow {
				rec.addViolation("worker %s, which named %g requests a second, got more than %d in %v from VMs that had passed on its rate",
					spa.worker.Upstream().GetId(), spa.perSecond, allowed, rateWindow)
				break
			}
		}
	}
}

// passedOn reports whether an entry VM, running since a time, had passed on an answer of the worker with its rate more than
// rateDelay before at.
func passedOn(spa rateSpan, entry string, since, at time.Time, arrivals []fpworker.Arrival, attempts map[string]attempt) bool {
	return entry != "" && slices.ContainsFunc(arrivals, func(arr fpworker.Arrival) bool {
		att := attempts[arr.Attempt]
		return att.entry == entry && att.status != 0 && arr.At.After(spa.from) && arr.At.After(since) && att.ended.Add(rateDelay).Before(at)
	})
}

// lastBefore returns the last of the times before at, or the zero time.
func lastBefore(times []time.Time, at time.Time) time.Time {
	var last time.Time
	for _, one := range times {
		if one.Before(at) && one.After(last) {
			last = one
		}
	}
	return last
}

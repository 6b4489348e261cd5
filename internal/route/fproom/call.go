package fproom

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpurgency"
)

// Call is a call by which an entry VM reports its uses to the leader.
type Call struct {
	SentAt time.Time
	Uses   []Use
	// needed states that the call is to be made although there may be no uses.
	needed bool
	// waiters are the requests that the call names as waiting.
	waiters map[Incarnation][]*waiter
	full    []Incarnation
}

// Empty reports whether the call is not needed, because there were no requests lately.
func (cal *Call) Empty() bool { return !cal.needed }

// NewCall returns the next call, with all uses of the VM.
func (lim *Limiter) NewCall(now time.Time) *Call {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	cal := &Call{
		SentAt:  now,
		waiters: map[Incarnation][]*waiter{},
	}
	for inc, ups := range lim.upstreams {
		lim.expired += int64(ups.dropExpired(now))
		use := Use{
			Incarnation: inc,
			InFlight:    ups.inFlight + ups.countLingering(now),
			Unused:      len(ups.stock),
			Full:        ups.full,
			LoadAge:     -1,
			Mean:        ups.mean,
			Objective:   ups.objective,
		}
		if !ups.loadAt.IsZero() {
			use.Load, use.LoadAge = ups.load, max(0, now.Sub(ups.loadAt))
		}
		for _, wai := range ups.queue {
			use.Waiting[wai.class]++
		}
		if use.InFlight+use.Unused+len(ups.queue) == 0 && !use.Full {
			if !ups.limited && now.Sub(ups.usedAt) > reportedAfterUse {
				delete(lim.upstreams, inc)
			}
			continue
		}
		cal.Uses = append(cal.Uses, use)
		cal.waiters[inc] = slices.Clone(ups.queue)
		if ups.full {
			cal.full = append(cal.full, inc)
			ups.full = false
		}
		ups.objective = 0
		for _, wai := range ups.queue {
			if obj := wai.request.Objective; obj > 0 && (ups.objective == 0 || obj < ups.objective) {
				ups.objective = obj
			}
		}
	}
	cal.needed = len(cal.Uses) > 0 || !lim.closed || now.Sub(lim.usedAt) < reportedAfterUse
	lim.closed = len(cal.Uses) == 0
	if cal.needed {
		lim.calls++
	}
	return cal
}

// Fail records that the leader did not answer a call, so that the next one repeats what may not have arrived.
func (lim *Limiter) Fail(cal *Call) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	for _, inc := range cal.full {
		if ups := lim.upstreams[inc]; ups != nil {
			ups.full = true
		}
	}
	if len(cal.Uses) == 0 {
		lim.closed = false
	}
}

// Finish applies the leader's answer to a call.
func (lim *Limiter) Finish(cal *Call, now time.Time, grants []Grant) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	if cal.SentAt.Sub(lim.contactAt) > mentionInterval {
		// The leader may be a new one that does not know all uses yet, so the limits hold on until it can mention them.
		for _, ups := range lim.upstreams {
			ups.mentionedAt, ups.nextShareAt = cal.SentAt, time.Time{}
		}
	}
	lim.contactAt, lim.contacted = cal.SentAt, true
	mentioned := map[Incarnation]bool{}
	for _, gra := range grants {
		mentioned[gra.Incarnation] = true
		lim.receive(cal, now, gra)
	}
	for inc, ups := range lim.upstreams {
		if mentioned[inc] {
			continue
		}
		if !ups.limited {
			ups.settleNamed(cal.waiters[inc])
			continue
		}
		// The leader answers for each upstream at which requests wait, and mentions others from time to time.
		if len(cal.waiters[inc]) > 0 || cal.SentAt.Sub(ups.mentionedAt) > mentionTimeout {
			lim.free(inc, ups)
		}
	}
}

// settleNamed admits the requests that a call named as waiting, because the upstream is not limited.
func (ups *upstream) settleNamed(named []*waiter) {
	later := slices.DeleteFunc(slices.Clone(ups.queue), func(wai *waiter) bool { return slices.Contains(named, wai) })
	ups.queue = slices.DeleteFunc(ups.queue, func(wai *waiter) bool { return !slices.Contains(named, wai) })
	ups.settle(len(ups.queue), true)
	ups.queue = later
}

// refuse ends the wait of the requests that got no place, which are the first ones of the queue, but for the most urgent class if a place
// is expected soon.
func (lim *Limiter) refuse(now time.Time, ups *upstream, lacking []*waiter, wait time.Duration) {
	if len(lacking) == 0 {
		return
	}
	first := lacking[0].class
	kept := slices.DeleteFunc(slices.Clone(lacking), func(wai *waiter) bool {
		return wai.class != first || now.Sub(wai.since)+wait > maxPlaceWait
	})
	refused := slices.DeleteFunc(slices.Clone(lacking), func(wai *waiter) bool { return slices.Contains(kept, wai) })
	later := slices.Clone(ups.queue[len(lacking):])
	ups.queue = refused
	ups.settle(len(refused), false)
	ups.queue = append(kept, later...)
	if len(ups.queue) > 0 {
		lim.signal()
	}
}

// receive applies what the leader says of a limited upstream: the most urgent of the requests that the call named get the places, and
// the others are refused.
func (lim *Limiter) receive(cal *Call, now time.Time, gra Grant) {
	ups := lim.upstream(gra.Incarnation)
	if !ups.limited {
		lim.limit(cal.SentAt, gra.Incarnation, ups)
	}
	ups.mentionedAt = cal.SentAt
	ups.wait, ups.waitAt = gra.Wait, now
	ups.nextShareAt, ups.pausedUntil = time.Time{}, time.Time{}
	count := 0
	for _, granted := range gra.Granted {
		count += max(0, granted)
	}
	lim.granted += int64(count)
	named := slices.DeleteFunc(cal.waiters[gra.Incarnation], func(wai *waiter) bool { return !slices.Contains(ups.queue, wai) })
	slices.SortStableFunc(named, func(first, second *waiter) int {
		return fpurgency.Compare(now, first.request, second.request)
	})
	later := slices.DeleteFunc(ups.queue, func(wai *waiter) bool { return slices.Contains(named, wai) })
	ups.queue = append(slices.Clone(named), later...)
	served := min(count, len(named))
	ups.settle(served, true)
	lim.refuse(now, ups, named[served:], gra.Wait)
	for range count - served {
		ups.stock = append(ups.stock, place{
			expires: now.Add(placeLifetime),
		})
	}
	// Places that no named request takes, because it was given up, serve those that came since.
	for len(ups.queue) > 0 && len(ups.stock) > 0 {
		ups.stock = ups.stock[1:]
		ups.settle(1, true)
	}
}

// free ends the limit of an upstream. Its waiting requests are admitted.
func (lim *Limiter) free(inc Incarnation, ups *upstream) {
	ups.limited, ups.wait = false, 0
	ups.nextShareAt, ups.pausedUntil = time.Time{}, time.Time{}
	ups.stock = nil
	ups.settle(len(ups.queue), true)
	if lim.cfg.Changed != nil {
		lim.cfg.Changed(inc, false)
	}
}

// WriteMetrics writes all metrics as lines with a name and a value. Errors of the writer are ignored.
func (lim *Limiter) WriteMetrics(out io.Writer) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	var limited, inFlight, unused, waiting int
	for _, ups := range lim.upstreams {
		inFlight += ups.inFlight
		unused += len(ups.stock)
		waiting += len(ups.queue)
		if ups.limited {
			limited++
		}
	}
	fmt.Fprintf(out, "upstreams{state=\"limited\"} %d\n", limited)
	fmt.Fprintf(out, "placesInUse %d\nplacesUnused %d\nplacesWaiting %d\n", inFlight, unused, waiting)
	fmt.Fprintf(out, "placesGranted %d\nplacesExpired %d\nplacesRefused %d\nplacesWaits %d\nplacesAlone %d\nplacesCalls %d\n",
		lim.granted, lim.expired, lim.refused, lim.waits, lim.alone, lim.calls)
}

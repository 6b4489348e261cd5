package fprate

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// The bound of a cold upstream is one and a half times its rate and 8 requests in any second, over all VMs. Tokens that the leader has
// granted within a bucket's burst, their lifetime and the time to open a connection may be used in the same second: at 3.7 a second,
// 2.85 + 2.35 s * 3.7 = 11.5 of 13.55 requests. What remains is for VMs without contact.

const (
	// turnShare is the fraction of its equal share that a VM without contact uses of a cold upstream, and turnLength how long the
	// turn of one of its requests lasts. Turns are independent, so that a few more than the mean may coincide: at the whole share, 3.7
	// requests a second become more than 13 in one of 40,000 seconds, and at half of it in one of a million.
	turnShare  = 0.5
	turnLength = 500 * time.Millisecond
	// gapPerEntryCold is the time before an early call of a VM for a cold upstream, for each entry VM, and minCallGapCold the shortest
	// one. They bound the calls that many cold upstreams cause to 833 per second.
	gapPerEntryCold = 1200 * time.Microsecond
	minCallGapCold  = 100 * time.Millisecond
	// maxDue is the time within which the next call must begin so that a request waits for a token. Above, it is refused at once.
	maxDue = 60 * time.Millisecond
	// assumedTime is how long a leader keeps a bucket for a cold upstream of which only entry VMs know, after they have last asked.
	assumedTime = 3 * time.Second
	// termQuietTime is the time at the begin of a term in which the leader grants no tokens for cold upstreams. Other control VMs tell
	// it within this time how many entry VMs there are.
	termQuietTime = 1500 * time.Millisecond
)

// CallGapCold returns the shortest time after a call before one of a number of entry VMs calls early because of cold upstreams.
func CallGapCold(entries uint32) time.Duration {
	return max(minCallGapCold, time.Duration(entries)*gapPerEntryCold)
}

// coldLimit is the part of a limit that only those of cold upstreams have.
type coldLimit struct {
	set bool
	// assumedUntil is until when this VM treats the upstream as cold without a statement, with the rate assumedRate.
	assumedUntil time.Time
	assumedRate  float64
	// heard states that this VM has made the statement from an answer, so that the leader may not know it.
	heard bool
	// turnAt is when the next turn of this VM begins while it has no contact.
	turnAt time.Time
	// urgentMissed and otherMissed count the requests since the last call that found no token and did not wait, by class.
	urgentMissed, otherMissed int
}

// miss counts a request that found no token.
func (col *coldLimit) miss(urgent bool) {
	if urgent {
		col.urgentMissed++
	} else {
		col.otherMissed++
	}
}

// Assume limits requests to an upstream that may be cold, until a time or the next statement about it. An assumption is not passed on.
func (lim *Limiter) Assume(inc Incarnation, perSecond float64, until time.Time) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	now := time.Now()
	one := lim.limits[inc]
	if one == nil {
		one = lim.add(inc)
	}
	if !one.inForce(now) {
		one.stock, one.alone, one.emptyUntil = nil, false, time.Time{}
	}
	// Statements made before the assumption do not end it.
	one.statement.At = later(one.statement.At, now)
	one.cold.assumedUntil, one.cold.assumedRate = until, perSecond
}

func later(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}

// ObserveCold records that an upstream has said in the answer to a request sent at the given time that it is cold for some more time,
// or, with 0, that it is not.
func (lim *Limiter) ObserveCold(inc Incarnation, sent time.Time, perSecond float64, left time.Duration) {
	if left <= 0 && lim.known.Load() == 0 {
		return
	}
	lim.merge(inc, Statement{
		Limited:   left > 0,
		PerSecond: perSecond,
		At:        sent,
		Until:     time.Now().Add(left),
	})
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	if one := lim.limits[inc]; one != nil && one.statement.At.Equal(sent) {
		one.cold.heard = true
	}
}

// Limits reports whether any limit is known, for a fast path.
func (lim *Limiter) Limits() bool { return lim.known.Load() > 0 }

// Has reports whether a request to an upstream needs no token or would get one now. Unlike Ready, it acquires none for later requests.
func (lim *Limiter) Has(now time.Time, inc Incarnation, urgent bool) bool {
	if lim.known.Load() == 0 {
		return true
	}
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	one := lim.limits[inc]
	if one == nil || !one.inForce(now) {
		return true
	}
	if lim.accrue(now, one) {
		return one.share >= 1
	}
	return one.has(now, urgent)
}

// addCold adds to a call what concerns a cold upstream, and removes limits that ended long ago. The caller holds the mutex.
func (lim *Limiter) addCold(cal *Call, inc Incarnation, one *limit) {
	now := cal.SentAt
	if !one.inForce(now) && now.Sub(one.statement.At) > endedRetention && now.Sub(one.statement.Until) > endedRetention {
		delete(lim.limits, inc)
		lim.known.Add(-1)
		return
	}
	if one.cold.heard && (!one.statement.sameLimit(one.reported) || now.Sub(one.reportedAt) > statementInterval) {
		cal.Statements[inc] = one.statement
	}
	if !one.inForce(now) {
		return
	}
	cal.contact = true
	most := 1 + int(one.rate(now))
	ask := one.ask(now, inc)
	ask.Urgent = min(most, max(ask.Urgent, one.cold.urgentMissed))
	ask.Other = min(most, max(ask.Other, one.cold.otherMissed))
	one.cold.urgentMissed, one.cold.otherMissed = 0, 0
	if ask.Urgent+ask.Other > 0 {
		cal.Asks = append(cal.Asks, ask)
	}
}

// callIsDue reports whether a request waits for the next call, which begins soon. Requests for rates that upstreams name always do.
func (lim *Limiter) callIsDue(now time.Time, one *limit) bool {
	return !one.cold.set || lim.untilCall(now) <= maxDue
}

// untilCall returns the time until an early call for a cold upstream may begin.
func (lim *Limiter) untilCall(now time.Time) time.Duration {
	return max(0, CallGapCold(lim.cfg.Entries())-now.Sub(lim.calledAt))
}

// signalCold asks for a call of the leader once CallGapCold has passed since the last one. The caller holds the mutex.
func (lim *Limiter) signalCold() {
	wait := lim.untilCall(time.Now())
	if wait == 0 {
		lim.signalNow()
		return
	}
	if lim.signalling {
		return
	}
	lim.signalling = true
	time.AfterFunc(wait, func() {
		lim.mutex.Lock()
		defer lim.mutex.Unlock()
		lim.signalling = false
		lim.signalNow()
	})
}

// accrueTurn sets whether it is the turn of a request of this VM at a cold upstream, while the VM has no contact to the leader. A turn
// that no request uses is lost, so that VMs do not save them for the same moment. A VM that has never had contact has none. The caller
// holds the mutex.
func (lim *Limiter) accrueTurn(now time.Time, one *limit) {
	period := lim.turnPeriod(now, one)
	if !one.alone {
		one.alone = true
		one.stock = nil
		one.cold.turnAt = now.Add(time.Duration(rand.Float64() * float64(period)))
	}
	if late := now.Sub(one.cold.turnAt) - min(turnLength, period/2); late >= 0 {
		one.cold.turnAt = one.cold.turnAt.Add((late/period + 1) * period)
	}
	one.share = 0
	if !lim.contactAt.IsZero() && !now.Before(one.cold.turnAt) {
		one.share = 1
	}
}

// turnPeriod returns the time between two turns of this VM.
func (lim *Limiter) turnPeriod(now time.Time, one *limit) time.Duration {
	return time.Duration(float64(lim.peakEntries(now)) / (turnShare * one.rate(now)) * float64(time.Second))
}

// peakEntries returns the highest number of entry VMs in about reserveTime. A control VM that has restarted states a lower one for some
// seconds.
func (lim *Limiter) peakEntries(now time.Time) uint32 {
	if entries := max(1, lim.cfg.Entries()); entries >= lim.peak || now.Sub(lim.peakAt) > reserveTime {
		lim.peak, lim.peakAt = entries, now
	}
	return lim.peak
}

// writeColdMetrics writes the limit of a cold upstream as lines with a name and a value.
func (one *limit) writeColdMetrics(out io.Writer, inc Incarnation) {
	now := time.Now()
	left := 0.0
	if one.inForce(now) {
		left = later(one.statement.Until, one.cold.assumedUntil).Sub(now).Seconds()
	}
	fmt.Fprintf(out, "coldLeft{upstream=%q} %.3f\ncoldSent{upstream=%q} %d\ncoldRefused{upstream=%q} %d\n",
		inc.ID, left, inc.ID, one.sent, inc.ID, one.refused)
}

// MergeCold is Merge for a statement of an upstream that a control VM has received in an announcement. One that ends a limit is kept
// also if none is known, because entry VMs may assume one.
func (poo *Pool) MergeCold(now time.Time, inc Incarnation, sta Statement) (changed bool) {
	return poo.merge(now, inc, sta, true)
}

// Stated reports whether a statement limits requests to an upstream, and not only an assumption.
func (poo *Pool) Stated(now time.Time, inc Incarnation) bool {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	buc := poo.buckets[inc]
	return buc != nil && buc.statement.inForce(now)
}

// CountCold returns the number of cold upstreams.
func (poo *Pool) CountCold(now time.Time) int {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	count := 0
	for inc, buc := range poo.buckets {
		if inc.Cold && buc.inForce(now) {
			count++
		}
	}
	return count
}

// Assume keeps a bucket for a cold upstream of which there is no statement, because an entry VM has asked for its tokens.
func (poo *Pool) Assume(now time.Time, inc Incarnation, perSecond float64) {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	buc := poo.buckets[inc]
	if buc == nil {
		buc = poo.add(now, inc)
	}
	if !buc.inForce(now) {
		buc.empty(now)
	}
	buc.assumedUntil, buc.assumedRate = now.Add(assumedTime), perSecond
}

// Reserve records the number of entry VMs for which shares are reserved.
func (poo *Pool) Reserve(now time.Time, entries uint32) {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	poo.reserve(now, entries)
}

// coldFraction returns the fraction of the rates of cold upstreams that accrues, given that of the entry VMs in contact.
func (poo *Pool) coldFraction(now time.Time, fraction float64) float64 {
	if now.Sub(poo.termAt) < termQuietTime {
		return 0
	}
	return fraction
}

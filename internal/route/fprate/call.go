package fprate

import (
	"fmt"
	"io"
	"math"
	"time"
)

// Call is a call by which an entry VM reports statements to the leader and acquires tokens.
type Call struct {
	SentAt     time.Time
	Statements map[Incarnation]Statement
	Asks       []Ask
	// contact states that the call is needed without statements and asks, because the VM knows a limit and loses the contact to
	// the leader otherwise.
	contact bool
}

// Empty reports whether the VM knows no limit, so that the call is not needed.
func (cal *Call) Empty() bool { return len(cal.Statements)+len(cal.Asks) == 0 && !cal.contact }

// NewCall returns the next call: the statements that the leader may not know, and for each limited upstream the tokens for the
// requests that wait and those that are expected soon.
func (lim *Limiter) NewCall(now time.Time) *Call {
	cal := &Call{
		SentAt:     now,
		Statements: map[Incarnation]Statement{},
	}
	if lim.known.Load() == 0 {
		return cal
	}
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	lim.calledAt = now
	for inc, one := range lim.limits {
		if inc.Cold {
			lim.addCold(cal, inc, one)
			continue
		}
		if !one.statement.Limited && now.Sub(one.statement.At) > endedRetention {
			delete(lim.limits, inc)
			lim.known.Add(-1)
			continue
		}
		if !one.statement.sameRate(one.reported) || now.Sub(one.reportedAt) > statementInterval {
			cal.Statements[inc] = one.statement
		}
		if one.statement.Limited {
			cal.Asks = append(cal.Asks, one.ask(now, inc))
		}
	}
	return cal
}

// ask returns the tokens that are needed beyond the stock.
func (one *limit) ask(now time.Time, inc Incarnation) Ask {
	one.decayDemand(now)
	ownStock, otherStock := one.available(now)
	ahead := func(demand float64) float64 {
		return demand * math.Ln2 * float64(acquireAhead) / float64(demandHalfLife)
	}
	urgent := len(one.urgentQueue) + int(ahead(one.urgentDemand)) - ownStock
	other := len(one.otherQueue) + int(ahead(one.otherDemand)) - otherStock
	return Ask{
		Incarnation: inc,
		Urgent:      max(0, urgent),
		Other:       max(0, other),
	}
}

// Learn applies statements that a control VM knows.
func (lim *Limiter) Learn(statements map[Incarnation]Statement) {
	for inc, sta := range statements {
		lim.merge(inc, sta)
	}
}

// Finish applies the leader's answer to a call: its grants, and the statements that it knows, as of the time of this VM.
func (lim *Limiter) Finish(cal *Call, now time.Time, grants []Grant, statements map[Incarnation]Statement) {
	lim.Learn(statements)
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	lim.contactAt = cal.SentAt
	for inc, sta := range cal.Statements {
		if one := lim.limits[inc]; one != nil {
			one.reported, one.reportedAt = sta, now
		}
	}
	for _, gra := range grants {
		if one := lim.limits[gra.Incarnation]; one != nil && one.inForce(now) {
			one.receive(cal, now, gra)
		}
	}
}

// receive distributes tokens to the waiting requests, the urgent ones first, and keeps the rest. Requests that get none are
// refused.
func (one *limit) receive(cal *Call, now time.Time, gra Grant) {
	if gra.Urgent+gra.Other > 0 {
		one.stock = append(one.stock, tokens{
			urgent:  gra.Urgent,
			other:   gra.Other,
			expires: cal.SentAt.Add(TokenLifetime),
		})
	}
	for _, queue := range []struct {
		waiters []*waiter
		urgent  bool
	}{
		{
			waiters: one.urgentQueue,
			urgent:  true,
		},
		{
			waiters: one.otherQueue,
			urgent:  false,
		},
	} {
		for _, wai := range queue.waiters {
			wai.granted = one.take(now, queue.urgent)
		}
	}
	one.settle(func(*waiter) {})
	one.wait = gra.Wait
	one.emptyUntil = time.Time{}
	if gra.Wait > 0 {
		one.emptyUntil = now.Add(min(emptyPause, gra.Wait))
	}
}

// WriteMetrics writes the limits of all upstreams as lines with a name and a value. Errors of the writer are ignored.
func (lim *Limiter) WriteMetrics(out io.Writer) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	fmt.Fprintf(out, "rateInvalid %d\n", lim.invalid.Load())
	for inc, one := range lim.limits {
		if inc.Cold {
			one.writeColdMetrics(out, inc)
			continue
		}
		if one.statement.Limited {
			fmt.Fprintf(out, "rate{upstream=%q} %g\n", inc.ID, one.statement.PerSecond)
		}
		alone := 0
		if one.alone {
			alone = 1
		}
		fmt.Fprintf(out, "rateSent{upstream=%q} %d\nrateRefused{upstream=%q} %d\nrateAlone{upstream=%q} %d\n",
			inc.ID, one.sent, inc.ID, one.refused, inc.ID, alone)
	}
}

package fprate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestParseRate guards against an invalid rate that stops requests or ends a limit.
func TestParseRate(t *testing.T) {
	for text, want := range map[string]float64{
		"14.3": 14.3, " 3.7 ": 3.7, "0": 0, "-0": 0, "1e1": 10, "1e300": maxRate, "": -1, "-1": -1, "NaN": -1, "Inf": -1, "+Inf": -1, "1e999": -1,
		"0x10": -1, "1_0": -1, "5, 6": -1, "00000000000000000000000000000000001": -1,
	} {
		got, ok := Parse(text)
		if ok != (want >= 0) || ok && got != want {
			t.Errorf("%q: got %g and %t, want %g", text, got, ok, want)
		}
	}
}

// newContact returns a limiter of one of two VMs that is in contact with the leader.
func newContact() *Limiter {
	lim := NewLimiter(LimiterConfig{
		Entries: func() uint32 { return 2 },
	})
	lim.Finish(lim.NewCall(time.Now()), time.Now(), nil, nil)
	return lim
}

// limited reports whether a request is refused.
func limited(lim *Limiter) bool {
	ok, _ := lim.Take(context.Background(), upstreamKey, true, false)
	return !ok
}

// TestLateAnswers guards against an old answer that arrives late and revives, ends or replaces the rate of a newer one.
func TestLateAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := newContact()
		old := time.Now()
		time.Sleep(time.Second)
		lim.Finish(lim.NewCall(time.Now()), time.Now(), nil, nil)
		lim.Observe(upstreamKey, time.Now(), "5")
		lim.ObserveNone(upstreamKey, old)
		if !limited(lim) {
			t.Error("a late answer without a rate has ended the limit")
		}
		lim.Observe(upstreamKey, old, "1000")
		if got := lim.limits[upstreamKey].statement.PerSecond; got != 5 {
			t.Errorf("rate %g after a late answer that names 1000, want 5", got)
		}
		lim.Observe(upstreamKey, time.Now().Add(time.Millisecond), "")
		if !limited(lim) {
			t.Error("an invalid rate has ended the limit")
		}
		time.Sleep(time.Second)
		lim.ObserveNone(upstreamKey, time.Now())
		lim.Observe(upstreamKey, old, "5")
		if limited(lim) {
			t.Error("a late answer has revived the limit")
		}
		lim.Observe(upstreamKey, time.Now().Add(time.Millisecond), "5")
		lim.Forget(upstreamKey)
		if limited(lim) {
			t.Error("the limit applies to the next incarnation of the upstream")
		}
	})
}

// TestUrgentRequestsFirst guards against less urgent requests that get tokens for which urgent ones wait, and against callers
// that are held although the leader has no tokens.
func TestUrgentRequestsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim, poo := newContact(), NewPool()
		lim.Observe(upstreamKey, time.Now(), "2")
		poo.Merge(time.Now(), upstreamKey, lim.limits[upstreamKey].statement)
		results := make(chan bool, 4)
		for _, urgent := range []bool{false, false, true, true} {
			go func() {
				began := time.Now()
				ok, wait := lim.Take(t.Context(), upstreamKey, urgent, true)
				if !ok && (wait < 500*time.Millisecond || wait > maxRetryAfter) {
					t.Errorf("a refused request is to be retried after %v, the rate is 2 a second", wait)
				}
				if took := time.Since(began); took > 100*time.Millisecond {
					t.Errorf("a request was held for %v", took)
				}
				results <- ok == urgent
			}()
		}
		synctest.Wait()
		now := time.Now()
		poo.buckets[upstreamKey].tokens = 2
		cal := lim.NewCall(now)
		lim.Finish(cal, now, poo.Acquire(now, "vm", 1, cal.Asks), nil)
		for range 4 {
			if !<-results {
				t.Error("a token went to a less urgent request, or an urgent one got none")
			}
		}
	})
}

// TestReservedShares guards against a sum above the rate when entry VMs are cut off from the leader and use equal shares: the
// leader leaves them theirs, also when it no longer counts them as entry VMs.
func TestReservedShares(t *testing.T) {
	poo := NewPool()
	now := time.Now()
	poo.Merge(now, upstreamKey, Statement{
		Limited:   true,
		PerSecond: 100,
		At:        now,
	})
	asks := []Ask{{
		Incarnation: upstreamKey,
		Urgent:      1000,
	}}
	granted := 0
	for step := range 100 {
		entries := uint32(4)
		if step > 20 {
			entries = 1
		}
		for _, gra := range poo.Acquire(now.Add(time.Duration(step)*100*time.Millisecond), "vm", entries, asks) {
			granted += gra.Urgent
		}
	}
	if granted > 255 || granted < 245 {
		t.Errorf("one of 4 VMs in contact got %d tokens in 10 s, want a quarter of 1000", granted)
	}
}

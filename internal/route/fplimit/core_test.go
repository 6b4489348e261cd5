package fplimit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fplimit"
)

var start = time.Unix(1000, 0)

// shed is the result of a request that the upstream refused.
var shed = fplimit.Result{
	Err: fperror.New(fperror.UpstreamShed, "shed"),
}

// TestQueueOrder guards against a start out of the order of class and deadline, against more starts than units, and
// against bundles in every unit.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		units := rapid.IntRange(1, 4).Draw(t, "units")
		cor := fplimit.NewCore(fplimit.CoreConfig{
			Concurrency: units,
			MaxWait:     time.Hour,
		})
		waiting := map[uint64]fplimit.Call{}
		var running []fplimit.Call
		now := start
		begin := func(cal fplimit.Call) {
			bundles := 0
			running = append(running, cal)
			for _, other := range running {
				if other.Bundle {
					bundles++
				}
			}
			if len(running) > units || bundles > max(1, units-1) {
				t.Fatalf("%d requests with %d bundles run on %d units", len(running), bundles, units)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				cal := fplimit.Call{
					Caller:   "one",
					Priority: fplimit.Priority(rapid.IntRange(-1, 1).Draw(t, "priority")),
					Bundle:   rapid.Bool().Draw(t, "bundle"),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "deadline")) * time.Minute),
				}
				switch verdict, ticket, _ := cor.Offer(now, cal); verdict {
				case fplimit.Start:
					begin(cal)
				case fplimit.Wait:
					waiting[ticket] = cal
				}
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				now = now.Add(time.Millisecond)
				cal := running[0]
				running = running[1:]
				for _, dec := range cor.Done(now, cal, time.Millisecond, fplimit.Result{}) {
					next := waiting[dec.Ticket()]
					delete(waiting, dec.Ticket())
					for _, other := range waiting {
						if other.Bundle == next.Bundle && earlier(other, next) {
							t.Fatalf("%+v started before %+v", next, other)
						}
					}
					begin(next)
				}
			},
		})
	})
}

// earlier reports whether the order of the queue puts one call before another.
func earlier(one, two fplimit.Call) bool {
	if one.Priority != two.Priority {
		return one.Priority > two.Priority
	}
	return one.Deadline.Before(two.Deadline)
}

// busyCore returns a core with one unit that is taken, and a known service time of 10 ms.
func busyCore(t *testing.T) (*fplimit.Core, time.Time, fplimit.Call) {
	t.Helper()
	cor := fplimit.NewCore(fplimit.CoreConfig{
		Concurrency: 1,
	})
	now := start
	cal := fplimit.Call{
		Caller:   "flood",
		Deadline: now.Add(time.Minute),
	}
	for range 20 {
		if verdict, _, err := cor.Offer(now, cal); verdict != fplimit.Start {
			t.Fatalf("an idle core did not start a request: %v", err)
		}
		now = now.Add(10 * time.Millisecond)
		cor.Done(now, cal, 10*time.Millisecond, fplimit.Result{})
	}
	cor.Offer(now, cal)
	return cor, now, cal
}

// TestEarlyRefusal guards against waiting requests that can not meet their deadline.
func TestEarlyRefusal(t *testing.T) {
	cor, now, cal := busyCore(t)
	cal.Deadline = now.Add(15 * time.Millisecond)
	if _, _, err := cor.Offer(now, cal); !fperror.Is(err, fperror.DeadlineUnreachable) {
		t.Errorf("a request that needs 20 ms and has 15 ms: %v", err)
	}
	cal.Deadline = now.Add(25 * time.Millisecond)
	if verdict, _, err := cor.Offer(now, cal); verdict != fplimit.Wait {
		t.Errorf("a request that needs 20 ms and has 25 ms: %v", err)
	}
}

// TestFairShares guards against a caller that fills the queue and thereby shuts out another caller or delays it behind
// its own backlog.
func TestFairShares(t *testing.T) {
	cor, now, cal := busyCore(t)
	for range 1000 {
		cor.Offer(now, cal)
	}
	light := fplimit.Call{
		Caller:   "light",
		Deadline: now.Add(time.Hour), // later than the flood's, so that the deadline alone would put it last
	}
	verdict, ticket, err := cor.Offer(now, light)
	if verdict != fplimit.Wait {
		t.Fatalf("the second caller found no place: %v", err)
	}
	out := cor.Done(now.Add(10*time.Millisecond), cal, 10*time.Millisecond, fplimit.Result{})
	if len(out) != 1 || out[0].Ticket() != ticket {
		t.Errorf("the next unit went to %v, not to the second caller", out)
	}
}

// TestSoleCallerLeavesPlaces guards against a caller that, while alone, fills all places of its class, so that the first
// request of a second caller is refused.
func TestSoleCallerLeavesPlaces(t *testing.T) {
	cor := fplimit.NewCore(fplimit.CoreConfig{
		Concurrency: 1,
		MaxWait:     time.Hour,
	})
	cal := fplimit.Call{
		Caller:   "flood",
		Deadline: start.Add(time.Hour),
	}
	for range 1000 {
		cor.Offer(start, cal)
	}
	cal.Caller = "light"
	if verdict, _, err := cor.Offer(start, cal); verdict != fplimit.Wait {
		t.Errorf("the second caller found no place: %v", err)
	}
}

// TestHighPriorityFindsPlace guards against a queue that lower classes fill completely.
func TestHighPriorityFindsPlace(t *testing.T) {
	cor, now, cal := busyCore(t)
	for i := range 1000 {
		cal.Caller = fmt.Sprint("caller", i)
		cor.Offer(now, cal)
	}
	cal.Priority = fplimit.High
	if verdict, _, err := cor.Offer(now, cal); verdict != fplimit.Wait {
		t.Errorf("no place for the high class: %v", err)
	}
}

// TestLimitFollowsSheds guards against a limit that stays up while the upstream sheds, falls below 1, or stays down after
// the upstream has recovered.
func TestLimitFollowsSheds(t *testing.T) {
	cor := fplimit.NewCore(fplimit.CoreConfig{
		Concurrency: 8,
	})
	now := start
	round := func(res fplimit.Result) {
		cal := fplimit.Call{
			Deadline: now.Add(time.Minute),
		}
		started := 0
		for range 8 {
			if verdict, ticket, _ := cor.Offer(now, cal); verdict == fplimit.Start {
				started++
			} else {
				cor.Leave(ticket)
			}
		}
		now = now.Add(250 * time.Millisecond) // beyond any pause
		for range started {
			cor.Done(now, cal, 10*time.Millisecond, res)
		}
	}
	for range 100 {
		round(shed)
	}
	if cor.Units() != 1 {
		t.Errorf("limit %d after 100 rounds of sheds", cor.Units())
	}
	for range 100 {
		round(fplimit.Result{})
	}
	if cor.Units() != 8 {
		t.Errorf("limit %d after 100 rounds of answers", cor.Units())
	}
}

// TestPushBack guards against requests during the time for which the upstream asked to be left alone, and against
// waiting requests that nothing wakes afterwards.
func TestPushBack(t *testing.T) {
	cor, now, cal := busyCore(t)
	res := shed
	res.PushBack = 100 * time.Millisecond
	cor.Done(now, cal, time.Millisecond, res)
	verdict, ticket, err := cor.Offer(now.Add(50*time.Millisecond), cal)
	if verdict != fplimit.Wait {
		t.Fatalf("verdict %v, %v during the push-back", verdict, err)
	}
	wake := cor.Wake(now.Add(50 * time.Millisecond))
	if want := now.Add(100 * time.Millisecond); !wake.Equal(want) {
		t.Fatalf("wake at %v, want %v", wake, want)
	}
	if out := cor.Tick(wake); len(out) != 1 || out[0].Ticket() != ticket || out[0].Err() != nil {
		t.Errorf("decisions after the push-back: %v", out)
	}
}

// TestLinkBudget guards against more bytes across the link than its rate and burst allow, and against a later class that
// leaves nothing for an earlier one.
func TestLinkBudget(t *testing.T) {
	const rate = 3_750_000 // 30 Mbit/s
	rapid.Check(t, func(t *rapid.T) {
		lin := fplimit.NewLink(fplimit.LinkConfig{
			Rate: rate,
		})
		now := start
		granted := int64(0)
		steps := rapid.IntRange(1, 200).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			tra := fplimit.Traffic(rapid.IntRange(0, 2).Draw(t, "class"))
			bytes := rapid.Int64Range(1, rate).Draw(t, "bytes")
			if lin.Take(now, tra, bytes) {
				granted += bytes
			}
			if most := rate * (now.Sub(start).Seconds() + 1); float64(granted) > most+1 {
				t.Fatalf("%d bytes granted, the budget is %.0f", granted, most)
			}
		}
	})
	lin := fplimit.NewLink(fplimit.LinkConfig{
		Rate: rate,
	})
	for lin.Take(start, fplimit.Bundle, rate/100) {
	}
	if !lin.Take(start, fplimit.Small, rate/2) || !lin.Take(start, fplimit.Control, rate/5) {
		t.Error("bundles used the budget of classes before them")
	}
}

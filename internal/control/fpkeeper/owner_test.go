package fpkeeper

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// worldStep is the resolution of the simulated time.
	worldStep = 20 * time.Millisecond
	// worldTime is the simulated time of one world: several times the longest hold time and the longest delay.
	worldTime = 45 * time.Second
	// slowClock is the rate of the slowest clock of an upstream; see PROOFS.md.
	slowClock = 0.98
)

// holding is a range that a simulated upstream holds.
type holding struct {
	first, last uint32
	fence       uint64
	until       time.Time
}

// holder is a simulated upstream with a clock of its own.
type holder struct {
	ups      *fpstate.Upstream
	rate     float64
	seen     []holding // the fences that it has seen
	holdings []holding
	work     []holding // work that goes on after a release, with the end of the hold that it had
	reach    bool      // the leader reaches it
}

// longestWork is the longest time for which work goes on after a release.
const longestWork = 2 * time.Second

// delayed is a call that takes effect later. Its time counts from its arrival.
type delayed struct {
	at      time.Time
	arrival time.Time
	holder  *holder
	born    uint64
	order   Order
}

// reply is the end of an order that the keeper is told later.
type reply struct {
	at     time.Time
	order  Order
	result Result
}

// world plays leaders, upstreams and the network between them.
type world struct {
	t         *testing.T
	ran       *rand.Rand
	now       time.Time
	keeper    *Keeper
	ranges    []*fpstate.Range
	fence     uint64
	holders   []*holder
	delayed   []delayed
	replies   []reply
	served    int
	lostShare float64 // of the calls, during disturbances
	// delay bounds the time of a message; without any, the hold of an upstream ends as late as it can.
	delay time.Duration
}

func newWorld(t *testing.T, seed uint64) *world {
	wor := &world{
		t:   t,
		ran: rand.New(rand.NewPCG(seed, 1)),
		now: time.Unix(1000, 0),
	}
	if seed%2 == 0 {
		wor.delay = 100 * time.Millisecond
	}
	for num := range 3 + wor.ran.IntN(3) {
		name := fmt.Sprintf("upstream-%d", num)
		wor.holders = append(wor.holders, &holder{
			ups: &fpstate.Upstream{
				Id:          name,
				Born:        1,
				Service:     "counters",
				Address:     name,
				Concurrency: 3,
			},
			rate:  slowClock + float64(wor.ran.IntN(2))*(1-slowClock),
			reach: true,
		})
	}
	wor.keeper = New(wor.now, 0, Config{})
	return wor
}

func (wor *world) lookup(id string) *fpstate.Upstream {
	for _, hol := range wor.holders {
		if hol.ups.GetId() == id {
			return hol.ups
		}
	}
	return nil
}

func (wor *world) view() View {
	vie := View{
		Service:     "counters",
		Ranges:      wor.ranges,
		Lookup:      wor.lookup,
		LongestWork: longestWork,

		AtAddress: func(address string) *fpstate.Upstream {
			return wor.lookup(address)
		},
	}
	vie.Heard = func(ups *fpstate.Upstream) time.Time {
		for _, hol := range wor.holders {
			if hol.ups.GetId() == ups.GetId() && hol.reach {
				return wor.now
			}
		}
		return time.Time{}
	}
	for _, hol := range wor.holders {
		vie.Upstreams = append(vie.Upstreams, hol.ups)
	}
	return vie
}

// step plays one step of the time.
func (wor *world) step() {
	wor.now = wor.now.Add(worldStep)
	wor.deliver()
	wor.disturb()
	orders, cha := wor.keeper.Plan(wor.now, wor.view())
	for _, ste := range cha.Steps() {
		if ste.Range.GetFence() == 0 {
			wor.fence++
			ste.Range.Fence = wor.fence
		}
		wor.ranges = fpdirectory.Replace(wor.ranges, ste.Range)
	}
	for _, ord := range orders {
		wor.send(ord)
	}
	wor.check()
}

// send plays the way of an order: it may be lost, take effect late, or lose its answer.
func (wor *world) send(ord Order) {
	var hol *holder
	for _, one := range wor.holders {
		if one.ups.GetId() == ord.Upstream.GetId() {
			hol = one
		}
	}
	arrival := wor.now.Add(wor.someDelay())
	answer := arrival.Add(wor.someDelay())
	timeout := wor.now.Add(1200 * time.Millisecond)
	rep := reply{
		at:    timeout,
		order: ord,
	}
	switch {
	case !hol.reach && wor.ran.IntN(2) == 0:
		rep.at = wor.now.Add(300 * time.Millisecond)
		rep.result.NotSent = true
	case !hol.reach:
	case wor.ran.Float64() < wor.lostShare:
		// The order is carried out late and gets no answer.
		wor.delayed = append(wor.delayed, delayed{
			at:      arrival.Add(2*time.Second + time.Duration(wor.ran.IntN(10000))*time.Millisecond),
			arrival: arrival,
			holder:  hol,
			born:    ord.Upstream.GetBorn(),
			order:   ord,
		})
	default:
		wor.delayed = append(wor.delayed, delayed{
			at:      arrival,
			arrival: arrival,
			holder:  hol,
			born:    ord.Upstream.GetBorn(),
			order:   ord,
		})
		if ord.Action == Release {
			answer = later(answer, wor.startWork(hol, ord))
		}
		switch {
		case wor.ran.Float64() >= wor.lostShare/2:
			rep.at = answer
			rep.result.Answered = true
		case wor.ran.IntN(2) == 0:
			// The connection breaks at once.
			rep.at = wor.now.Add(worldStep)
		}
	}
	wor.replies = append(wor.replies, rep)
}

// startWork plays work that is under way at a holder when a release of its keys arrives, and returns when the holder answers: at
// the end of that work, or at once if it does not hold the keys any more.
func (wor *world) startWork(hol *holder, ord Order) time.Time {
	for _, one := range hol.holdings {
		if one.first <= ord.Range.GetLast() && one.last >= ord.Range.GetFirst() && one.until.After(wor.now) {
			end := wor.now.Add(time.Duration(wor.ran.Float64() * float64(longestWork)))
			// The answer waits for older work on the keys, too.
			for _, old := range hol.work {
				if old.first <= ord.Range.GetLast() && old.last >= ord.Range.GetFirst() {
					end = later(end, old.until)
				}
			}
			hol.work = append(hol.work, holding{
				first: ord.Range.GetFirst(),
				last:  ord.Range.GetLast(),
				until: earlier(end, one.until),
			})
			return end
		}
	}
	return wor.now
}

func earlier(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}

func (wor *world) someDelay() time.Duration {
	return time.Duration(wor.ran.Float64() * float64(wor.delay))
}

// deliver plays the calls and answers that are due.
func (wor *world) deliver() {
	calls := wor.delayed
	wor.delayed = nil
	for _, del := range calls {
		if del.at.After(wor.now) {
			wor.delayed = append(wor.delayed, del)
			continue
		}
		if del.holder.ups.GetBorn() != del.born {
			continue // the life that got the call has ended
		}
		del.holder.take(del)
	}
	replies := wor.replies
	wor.replies = nil
	for _, rep := range replies {
		if rep.at.After(wor.now) {
			wor.replies = append(wor.replies, rep)
			continue
		}
		wor.keeper.Ended(wor.now, rep.order, rep.result)
	}
}

// take carries out an order at an upstream.
func (hol *holder) take(del delayed) {
	first, last, fence := del.order.Range.GetFirst(), del.order.Range.GetLast(), del.order.Range.GetFence()
	if del.order.Action == Release {
		hol.holdings = cut(hol.holdings, first, last)
		return
	}
	for _, one := range hol.seen {
		if one.first <= last && one.last >= first && one.fence > fence {
			return
		}
	}
	one := holding{
		first: first,
		last:  last,
		fence: fence,
		until: del.arrival.Add(time.Duration(float64(del.order.Hold) / hol.rate)),
	}
	hol.seen = append(hol.seen, one)
	for _, old := range hol.holdings {
		if old.first <= last && old.last >= first && old.until.After(one.until) {
			return // a later renewal has been carried out before
		}
	}
	hol.holdings = append(cut(hol.holdings, first, last), one)
}

// cut removes keys from holdings.
func cut(holdings []holding, first, last uint32) []holding {
	var left []holding
	for _, one := range holdings {
		if one.first < first {
			part := one
			part.last = min(part.last, first-1)
			left = append(left, part)
		}
		if one.last > last {
			part := one
			part.first = max(part.first, last+1)
			left = append(left, part)
		}
	}
	return left
}

// disturb plays what happens to upstreams, links and leaders.
func (wor *world) disturb() {
	hol := wor.holders[wor.ran.IntN(len(wor.holders))]
	const perSecond = int(time.Second / worldStep)
	switch wor.ran.IntN(12 * perSecond) {
	case 0:
		hol.reach = !hol.reach
	case 1:
		wor.restart(hol)
	case 2, 3:
		wor.lostShare = 0.5 * wor.ran.Float64()
	case 4:
		wor.lostShare = 0
	case 5:
		next := hol.ups
		hol.ups = &fpstate.Upstream{
			Id:          next.GetId(),
			Born:        next.GetBorn(),
			Service:     next.GetService(),
			Address:     next.GetAddress(),
			Concurrency: next.GetConcurrency(),
			Leaving:     !next.GetLeaving(),
		}
	case 6:
		// A new leader takes over. It learns nothing of the calls in flight.
		wor.keeper = New(wor.now, wor.fence, Config{})
		wor.replies = nil
	}
	if wor.ran.IntN(4) == 0 {
		key := uint32(wor.ran.IntN(4000)) + uint32(int(wor.now.Unix()/10)%10)*5000
		wor.keeper.Load("counters").Count(wor.now, key, 3)
	}
}

// restart plays the end of a life and the start of the next one.
func (wor *world) restart(hol *holder) {
	hol.ups = &fpstate.Upstream{
		Id:          hol.ups.GetId(),
		Born:        hol.ups.GetBorn() + 1,
		Service:     hol.ups.GetService(),
		Address:     hol.ups.GetAddress(),
		Concurrency: hol.ups.GetConcurrency(),
	}
	hol.holdings = nil
	hol.work = nil
	hol.seen = nil
}

// check fails the test when two upstreams hold a key.
func (wor *world) check() {
	for num, one := range wor.holders {
		for _, mine := range one.holdings {
			if !mine.until.After(wor.now) {
				continue
			}
			wor.served++
			wor.checkWork(one, mine)
			for _, other := range wor.holders[:num] {
				for _, his := range other.holdings {
					if his.until.After(wor.now) && his.first <= mine.last && his.last >= mine.first {
						wor.t.Fatalf("at %v upstream %s holds %d to %d with fence %d until %v, and %s holds %d to %d with fence %d until %v",
							wor.now.Sub(time.Unix(1000, 0)), one.ups.GetId(), mine.first, mine.last, mine.fence, mine.until.Sub(wor.now),
							other.ups.GetId(), his.first, his.last, his.fence, his.until.Sub(wor.now))
					}
				}
			}
		}
	}
}

// checkWork fails the test when an upstream holds a key on which another is at work within its hold.
func (wor *world) checkWork(hol *holder, mine holding) {
	for _, other := range wor.holders {
		if other == hol {
			continue
		}
		for _, wrk := range other.work {
			if wrk.until.After(wor.now) && wrk.first <= mine.last && wrk.last >= mine.first {
				wor.t.Fatalf("at %v upstream %s holds %d to %d with fence %d, and %s works on %d to %d for another %v", wor.now.Sub(time.Unix(1000, 0)),
					hol.ups.GetId(), mine.first, mine.last, mine.fence, other.ups.GetId(), wrk.first, wrk.last, wrk.until.Sub(wor.now))
			}
		}
	}
}

// TestOneOwner guards against two upstreams that hold a key at the same time, for orders that are lost, carried out late or
// left unanswered, slow clocks, restarts, cuts, leaving upstreams and changes of the leader in any order. Seed 28 failed when
// a range whose bound had passed was given away while a renewal was in flight, and seed 26 when the confirmed release of a range
// that was kept counted for its next move.
func TestOneOwner(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			wor := newWorld(t, seed)
			for end := wor.now.Add(worldTime); wor.now.Before(end); {
				wor.step()
			}
			if wor.served == 0 {
				t.Error("no upstream ever held a key")
			}
		})
	}
}

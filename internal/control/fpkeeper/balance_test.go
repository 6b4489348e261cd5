package fpkeeper

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// load plays a second of requests: rates holds the requests per second for each key.
func (rig *rig) load(rates map[uint32]float64) {
	const steps = 10
	for step := range uint32(steps) {
		for key, rate := range rates {
			// The requests of a second for a key come in one of its steps.
			if key%steps == step {
				rig.keeper.Load("counters").Count(rig.now, key, uint32(math.Round(rate)))
			}
		}
		rig.now = rig.now.Add(time.Second / steps)
		for _, ord := range rig.plan() {
			rig.end(ord, Result{
				Answered: true,
			})
		}
	}
}

// uses returns the use of the upstreams.
func (rig *rig) uses() map[string]float64 {
	uses := map[string]float64{}
	for _, sta := range rig.keeper.standings(rig.now, View{
		Service:   "counters",
		Ranges:    rig.ranges,
		Upstreams: rig.upstreams,
	}) {
		uses[sta.ups.GetId()] = sta.use()
	}
	return uses
}

func names(count int) []string {
	var all []string
	for num := range count {
		all = append(all, fmt.Sprintf("upstream-%03d", num))
	}
	return all
}

// TestNeighbouringHotKeys answers the pattern of busy keys that are close to one another. It guards against a load that is
// many times what one upstream can take and is passed on from one to the next.
func TestNeighbouringHotKeys(t *testing.T) {
	rig := newRig(t, names(40)...)
	rig.settle()
	// 40 upstreams can take 1,600 requests a second; 800 of them are for 200 neighbouring keys of the first upstream.
	rates := map[uint32]float64{}
	for key := range uint32(200) {
		rates[100+key] = 4
	}
	for range 4 {
		rig.load(rates)
	}
	worst := 0.0
	for _, use := range rig.uses() {
		worst = max(worst, use)
	}
	if worst > 1.2 {
		t.Errorf("after 4 s the busiest of 40 upstreams has %g of what it can take, where all together have 0.5", worst)
	}
}

// TestHotKey answers the pattern of one key with more requests than an upstream can take. It guards against a key that goes
// from one upstream to the next, and against others that wait behind it.
func TestHotKey(t *testing.T) {
	rig := newRig(t, names(8)...)
	rig.settle()
	rates := map[uint32]float64{
		1000: 60,
		1001: 5,
		900:  5,
	}
	for range 4 {
		rig.load(rates)
	}
	owner := rig.owner(1000)
	if rig.owner(1001) == owner || rig.owner(900) == owner {
		t.Error("another busy key is still with the owner of the hot key")
	}
	moves := 0
	for range 6 {
		rig.load(rates)
		if next := rig.owner(1000); next != owner {
			owner = next
			moves++
		}
	}
	if moves > 1 {
		t.Errorf("the hot key moved %d times in 6 s though no upstream can take it", moves)
	}
}

func (rig *rig) owner(key uint32) string {
	for _, ran := range rig.ranges {
		if ran.GetFirst() <= key && key <= ran.GetLast() {
			return ran.GetUpstream()
		}
	}
	return ""
}

// TestJoinedUpstreams answers the pattern of a scale-out. It guards against an upstream that joins and gets no keys.
func TestJoinedUpstreams(t *testing.T) {
	rig := newRig(t, names(6)...)
	rig.settle()
	rates := map[uint32]float64{}
	for key := uint32(0); key < MaxKey; key += 256 {
		rates[key] = 1
	}
	rig.load(rates)
	for num := range 3 {
		name := fmt.Sprintf("joined-%d", num)
		rig.upstreams = append(rig.upstreams, &fpstate.Upstream{
			Id:          name,
			Born:        1,
			Service:     "counters",
			Address:     name,
			Concurrency: 4,
		})
	}
	for range 2 {
		rig.load(rates)
	}
	held := map[string]bool{}
	for _, ran := range rig.ranges {
		held[ran.GetUpstream()] = true
	}
	for num := range 3 {
		if name := fmt.Sprintf("joined-%d", num); !held[name] {
			t.Errorf("%s has no keys 2 s after it joined", name)
		}
	}
}

// TestCallsAtRest guards against calls of the leader that grow faster than the number of upstreams. Each holds one range when
// nothing has moved, and each range is renewed once in a renewal interval.
func TestCallsAtRest(t *testing.T) {
	for _, count := range []int{16, 23, 168, 231} {
		rig := newRig(t, names(count)...)
		rig.settle()
		const seconds = 15
		calls := 0
		for range 10 * seconds {
			rig.now = rig.now.Add(100 * time.Millisecond)
			for _, ord := range rig.plan() {
				calls++
				rig.end(ord, Result{
					Answered: true,
				})
			}
		}
		rate := float64(calls) / seconds
		t.Logf("%d upstreams: %.0f calls a second", count, rate)
		if most := 1.1 * float64(count) / DefaultRenewal.Seconds(); rate > most {
			t.Errorf("%d upstreams: %g calls a second, want at most %g", count, rate, most)
		}
	}
}

// TestUnequalSpeeds answers the pattern of upstreams of different speeds, each with an equal part of the keys at first. It
// guards against slow ones that stay too busy for long, and against one upstream with a hot key that keeps them from being
// relieved, because it has left a grant unanswered and its keys cannot be moved.
func TestUnequalSpeeds(t *testing.T) {
	for _, hot := range []float64{0, 300} {
		const count = 100
		rig := newRig(t, names(count)...)
		rig.settle()
		// Mean use is 0.75. A quarter of the upstreams takes twice as long, and a quarter two thirds as long.
		factors := []float64{2, 1, 1, 0.667}
		const work = 330 * time.Millisecond
		for num, ups := range rig.upstreams {
			rig.keeper.Load("counters").Answered(ups.GetId(), time.Duration(factors[num%len(factors)]*float64(work)))
		}
		const keysEach = 65536 / count
		rates := map[uint32]float64{}
		for key := uint32(0); key < MaxKey; key += keysEach / 9 {
			rates[key] = 1
		}
		if hot > 0 {
			rates[3*keysEach+300] = hot
			for _, ran := range rig.ranges {
				if ran.GetUpstream() == rig.owner(3*keysEach+300) {
					rig.keeper.lease(rig.now, ran).doubt = rig.now.Add(DefaultHold)
				}
			}
		}
		for range 4 {
			rig.load(rates)
		}
		busy := 0
		for _, use := range rig.uses() {
			if use > 1 {
				busy++
			}
		}
		if most := 2; busy > most {
			t.Errorf("hot key with %g requests a second: after 4 s %d of %d upstreams have more requests than they can take, want %d at most",
				hot, busy, count, most)
		}
	}
}

// TestRangesStayFew answers the pattern of busy keys that change every few seconds. It guards against moves that leave ever more
// ranges behind, each of which is renewed by calls of its own, until the leader does nothing else.
func TestRangesStayFew(t *testing.T) {
	const count = 40
	rig := newRig(t, names(count)...)
	rig.settle()
	for turn := range uint32(8) {
		rates := map[uint32]float64{}
		for key := uint32(0); key < MaxKey; key += 256 {
			rates[key] = 1
		}
		for key := range uint32(200) {
			rates[(turn*7919+key)%MaxKey] = 4
		}
		for range 4 {
			rig.load(rates)
		}
	}
	rest := map[uint32]float64{}
	for range 12 {
		rig.load(rest)
	}
	if most := 3 * count; len(rig.ranges) > most {
		t.Errorf("%d ranges of %d upstreams, want %d at most", len(rig.ranges), count, most)
	}
}

// TestFirstPartition answers the pattern of upstreams that announce themselves one after the other when a deployment starts. It
// guards against a first partition among a few of them, after which all others have to be given keys by moves.
func TestFirstPartition(t *testing.T) {
	all := names(60)
	rig := newRig(t)
	for _, name := range all {
		rig.upstreams = append(rig.upstreams, newRig(t, name).upstreams...)
		rig.now = rig.now.Add(50 * time.Millisecond)
		rig.plan()
	}
	rig.settle()
	if len(rig.ranges) != len(all) {
		t.Errorf("%d ranges for %d upstreams", len(rig.ranges), len(all))
	}
}

// TestUnknownSpeed answers the pattern of a new leader, to which only some of the upstreams have been reported. It guards against
// keys that move to the others because these are taken for fast ones.
func TestUnknownSpeed(t *testing.T) {
	const count = 40
	rig := newRig(t, names(count)...)
	rig.settle()
	for num, ups := range rig.upstreams {
		if num%2 == 0 {
			rig.keeper.Load("counters").Answered(ups.GetId(), 330*time.Millisecond)
		}
	}
	rates := map[uint32]float64{}
	for key := uint32(0); key < MaxKey; key += 65536 / count / 11 {
		rates[key] = 1
	}
	owners := map[uint32]string{}
	for key := range rates {
		owners[key] = rig.owner(key)
	}
	for range 15 {
		rig.load(rates)
	}
	moved := 0
	for key, owner := range owners {
		if rig.owner(key) != owner {
			moved++
		}
	}
	if most := len(rates) / 50; moved > most {
		t.Errorf("%d of %d keys of equally busy upstreams moved, want %d at most", moved, len(rates), most)
	}
}

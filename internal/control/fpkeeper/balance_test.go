package fpkeeper

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// applyLoad simulates one second of requests and answers all orders. rates holds the requests per second by key.
func (har *harness) applyLoad(rates map[uint32]float64) {
	const steps = 10
	for step := range uint32(steps) {
		for key, rate := range rates {
			// All requests of the second for a key arrive in one step.
			if key%steps == step {
				har.keeper.Load("counters").Count(har.now, key, uint32(math.Round(rate)))
			}
		}
		har.now = har.now.Add(time.Second / steps)
		for _, ord := range har.plan() {
			har.finish(ord, Result{
				Answered: true,
			})
		}
	}
}

// utilizations returns the utilization of each upstream by id.
func (har *harness) utilizations() map[string]float64 {
	utilizations := map[string]float64{}
	for _, usg := range har.keeper.usages(har.now, View{
		Service:   "counters",
		Ranges:    har.ranges,
		Upstreams: har.upstreams,
	}) {
		utilizations[usg.ups.GetId()] = usg.utilization()
	}
	return utilizations
}

func names(count int) []string {
	var all []string
	for num := range count {
		all = append(all, fmt.Sprintf("upstream-%03d", num))
	}
	return all
}

// TestAdjacentHotKeysAreSpread guards against the load of adjacent hot keys, which is many times the capacity of one upstream,
// being moved as a whole from one upstream to the next.
func TestAdjacentHotKeysAreSpread(t *testing.T) {
	har := newHarness(t, names(40)...)
	har.serveAll()
	// The 40 upstreams have a capacity of 1,600 requests per second. 800 requests per second are for 200 adjacent keys of the
	// first upstream.
	rates := map[uint32]float64{}
	for key := range uint32(200) {
		rates[100+key] = 4
	}
	for range 4 {
		har.applyLoad(rates)
	}
	highest := 0.0
	for _, utilization := range har.utilizations() {
		highest = max(highest, utilization)
	}
	if highest > 1.2 {
		t.Errorf("after 4 s the busiest of 40 upstreams has utilization %g, while the mean is 0.5", highest)
	}
}

// TestHotKeyDoesNotBounce guards against a key with more requests than an upstream can take that moves from one upstream to the
// next, and against requests for other busy keys that wait behind it.
func TestHotKeyDoesNotBounce(t *testing.T) {
	har := newHarness(t, names(8)...)
	har.serveAll()
	rates := map[uint32]float64{
		1000: 60,
		1001: 5,
		900:  5,
	}
	for range 4 {
		har.applyLoad(rates)
	}
	owner := har.ownerOf(1000)
	if har.ownerOf(1001) == owner || har.ownerOf(900) == owner {
		t.Error("another busy key is still held by the owner of the hot key")
	}
	moves := 0
	for range 6 {
		har.applyLoad(rates)
		if next := har.ownerOf(1000); next != owner {
			owner = next
			moves++
		}
	}
	if moves > 1 {
		t.Errorf("the hot key moved %d times in 6 s though no upstream can take it", moves)
	}
}

func (har *harness) ownerOf(key uint32) string {
	for _, ran := range har.ranges {
		if ran.GetFirst() <= key && key <= ran.GetLast() {
			return ran.GetUpstream()
		}
	}
	return ""
}

// TestJoinedUpstreamsGetKeys guards against upstreams that join in a scale-out and get no keys.
func TestJoinedUpstreamsGetKeys(t *testing.T) {
	har := newHarness(t, names(6)...)
	har.serveAll()
	rates := map[uint32]float64{}
	for key := uint32(0); key < MaxKey; key += 256 {
		rates[key] = 1
	}
	har.applyLoad(rates)
	for num := range 3 {
		name := fmt.Sprintf("joined-%d", num)
		har.upstreams = append(har.upstreams, &fpstate.Upstream{
			Id:          name,
			Born:        1,
			Service:     "counters",
			Address:     name,
			Concurrency: 4,
		})
	}
	for range 2 {
		har.applyLoad(rates)
	}
	held := map[string]bool{}
	for _, ran := range har.ranges {
		held[ran.GetUpstream()] = true
	}
	for num := range 3 {
		if name := fmt.Sprintf("joined-%d", num); !held[name] {
			t.Errorf("%s has no keys 2 s after it joined", name)
		}
	}
}

// TestRenewalRateWithoutMoves guards against calls of the leader that grow faster than the number of upstreams. Without moves,
// each upstream holds one range, which is renewed once per renewal interval.
func TestRenewalRateWithoutMoves(t *testing.T) {
	for _, count := range []int{16, 23, 168, 231} {
		har := newHarness(t, names(count)...)
		har.serveAll()
		const seconds = 15
		calls := 0
		for range 10 * seconds {
			har.now = har.now.Add(100 * time.Millisecond)
			for _, ord := range har.plan() {
				calls++
				har.finish(ord, Result{
					Answered: true,
				})
			}
		}
		rate := float64(calls) / seconds
		t.Logf("%d upstreams: %.0f calls per second", count, rate)
		if limit := 1.1 * float64(count) / DefaultRenewal.Seconds(); rate > limit {
			t.Errorf("%d upstreams: %g calls per second, want at most %g", count, rate, limit)
		}
	}
}

// TestRebalanceUnequalSpeeds guards against slow upstreams that stay overloaded when upstreams of different speeds start with
// equal shares of the keys. It also guards against one upstream that blocks all moves: it has a hot key, and its keys cannot be
// moved because a grant to it got no answer.
func TestRebalanceUnequalSpeeds(t *testing.T) {
	for _, hot := range []float64{0, 300} {
		const count = 100
		har := newHarness(t, names(count)...)
		har.serveAll()
		// The mean utilization is 0.75. A quarter of the upstreams takes twice as long, and a quarter two thirds as long.
		factors := []float64{2, 1, 1, 0.667}
		const responseTime = 330 * time.Millisecond
		for num, ups := range har.upstreams {
			har.keeper.Load("counters").ObserveResponseTime(ups.GetId(), time.Duration(factors[num%len(factors)]*float64(responseTime)))
		}
		const keysEach = 65536 / count
		rates := map[uint32]float64{}
		for key := uint32(0); key < MaxKey; key += keysEach / 9 {
			rates[key] = 1
		}
		if hot > 0 {
			rates[3*keysEach+300] = hot
			for _, ran := range har.ranges {
				if ran.GetUpstream() == har.ownerOf(3*keysEach+300) {
					har.keeper.lease(har.now, ran).uncertainUntil = har.now.Add(DefaultHold)
				}
			}
		}
		for range 4 {
			har.applyLoad(rates)
		}
		busy := 0
		for _, utilization := range har.utilizations() {
			if utilization > 1 {
				busy++
			}
		}
		if limit := 2; busy > limit {
			t.Errorf("hot key with %g requests per second: after 4 s %d of %d upstreams are overloaded, want %d at most",
				hot, busy, count, limit)
		}
	}
}

// TestRangeCountStaysBounded guards against moves that leave ever more ranges behind when the busy keys change every few seconds.
// Each range needs renewals of its own, which would finally keep the leader from all other work.
func TestRangeCountStaysBounded(t *testing.T) {
	const count = 40
	har := newHarness(t, names(count)...)
	har.serveAll()
	for round := range uint32(8) {
		rates := map[uint32]float64{}
		for key := uint32(0); key < MaxKey; key += 256 {
			rates[key] = 1
		}
		for key := range uint32(200) {
			rates[(round*7919+key)%MaxKey] = 4
		}
		for range 4 {
			har.applyLoad(rates)
		}
	}
	idle := map[uint32]float64{}
	for range 12 {
		har.applyLoad(idle)
	}
	if limit := 3 * count; len(har.ranges) > limit {
		t.Errorf("%d ranges of %d upstreams, want %d at most", len(har.ranges), count, limit)
	}
}

// TestFirstPartitionWaitsForUpstreams guards against a first partition among only some of the upstreams that announce themselves
// one after the other when a deployment starts. The others could then only get keys by moves.
func TestFirstPartitionWaitsForUpstreams(t *testing.T) {
	all := names(60)
	har := newHarness(t)
	for _, name := range all {
		har.upstreams = append(har.upstreams, newHarness(t, name).upstreams...)
		har.now = har.now.Add(50 * time.Millisecond)
		har.plan()
	}
	har.serveAll()
	if len(har.ranges) != len(all) {
		t.Errorf("%d ranges for %d upstreams", len(har.ranges), len(all))
	}
}

// TestUnknownSpeedMovesNoKeys guards against moves to upstreams whose response time is unknown, because they are taken for fast
// ones. A new leader has received reports about only some of the upstreams.
func TestUnknownSpeedMovesNoKeys(t *testing.T) {
	const count = 40
	har := newHarness(t, names(count)...)
	har.serveAll()
	for num, ups := range har.upstreams {
		if num%2 == 0 {
			har.keeper.Load("counters").ObserveResponseTime(ups.GetId(), 330*time.Millisecond)
		}
	}
	rates := map[uint32]float64{}
	for key := uint32(0); key < MaxKey; key += 65536 / count / 11 {
		rates[key] = 1
	}
	owners := map[uint32]string{}
	for key := range rates {
		owners[key] = har.ownerOf(key)
	}
	for range 15 {
		har.applyLoad(rates)
	}
	moved := 0
	for key, owner := range owners {
		if har.ownerOf(key) != owner {
			moved++
		}
	}
	if limit := len(rates) / 50; moved > limit {
		t.Errorf("%d of %d keys of equally busy upstreams moved, want %d at most", moved, len(rates), limit)
	}
}

package fpkeeper

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// busyUtilization is the utilization of an upstream from which a move is beneficial; below it, requests hardly wait.
	busyUtilization = 0.6
	// fullUtilization is the utilization of an upstream from which the waiting time of requests keeps growing.
	fullUtilization = 1
	// minSideRate is the minimum rate, in requests per second, of the keys on one side of a hot key for a move of them.
	minSideRate = 1
	// minUtilizationGap is the minimum difference in utilization between the upstreams of a move.
	minUtilizationGap = 0.2
	// minUtilizationGain is the minimum by which a move has to reduce the utilization of the busier upstream.
	minUtilizationGain = 0.07
	// fragmentCost is the cost of one more range, which needs renewals of its own. Like the cost of moved keys, it is a
	// fraction of the keys of an average upstream.
	fragmentCost = 0.3
	// maxTargetOverMean bounds the utilization to which a move may bring its target, as a multiple of the mean utilization
	// of all upstreams.
	maxTargetOverMean = 1.1
	// minMoveLimit and moveLimitFraction bound the moves that one search starts because of the load: the limit is
	// moveLimitFraction of the number of upstreams, but at least minMoveLimit.
	minMoveLimit      = 8
	moveLimitFraction = 0.15
	// rebalanceInterval is the minimum time between two searches for moves of one service, each of which adds up the counts
	// of all keys.
	rebalanceInterval = 300 * time.Millisecond
	// minSignificantRate is the rate, in requests per second, below which the load of an upstream is no basis for a move.
	minSignificantRate = 5
)

// rebalancer searches for moves of the keys of one service at one point in time.
type rebalancer struct {
	kee        *Keeper
	now        time.Time
	vie        View
	loa        *Load
	candidates []*usage          // the upstreams that can take keys
	byID       map[string]*usage // candidates by upstream id
}

// move is a move of adjacent keys from one upstream to another.
type move struct {
	ran      *fpstate.Range
	from, to *usage
	rate     float64 // requests per second for the moved keys
	// cost is a fraction of the keys of an average upstream.
	cost float64
}

// rebalance returns moves of keys from busy upstreams to less busy ones and to those without keys, and moves that reduce the
// number of ranges. It returns nil within rebalanceInterval of the last search.
func (kee *Keeper) rebalance(now time.Time, vie View) []*fpstate.Range {
	if now.Sub(kee.lastRebalance[vie.Service]) < rebalanceInterval {
		return nil
	}
	kee.lastRebalance[vie.Service] = now
	reb := &rebalancer{
		kee:  kee,
		now:  now,
		vie:  vie,
		loa:  kee.Load(vie.Service),
		byID: map[string]*usage{},
	}
	for _, usg := range kee.usages(now, vie) {
		if kee.likelihood(now, vie, usg) == expected {
			reb.candidates = append(reb.candidates, usg)
			reb.byID[usg.ups.GetId()] = usg
		}
	}
	moved := reb.relieveBusiest()
	return append(moved, reb.defragment(moved)...)
}

// relieveBusiest returns moves from the busiest upstreams to the least busy ones.
func (reb *rebalancer) relieveBusiest() []*fpstate.Range {
	var moved []*fpstate.Range
	for limit := max(minMoveLimit, int(moveLimitFraction*float64(len(reb.candidates)))); len(moved) < limit; {
		from, to := busiest(reb.candidates), leastBusy(reb.candidates)
		if from == nil || to == nil || from == to || !shouldMove(from, to) {
			break
		}
		best := reb.cheapestMove(from, to)
		if best == nil {
			// A single key that no upstream can take must not prevent moves from the other upstreams.
			from.unrelievable = true
			continue
		}
		moved = append(moved, reb.startMove(best))
	}
	return moved
}

// startMove counts the load of a move at its target instead of its source, and returns the moved range, to be committed: in the
// releasing phase, or with a new fence at its holder if a grant without an answer of its own may still take effect.
func (reb *rebalancer) startMove(mve *move) *fpstate.Range {
	mve.from.rate -= mve.rate
	mve.from.ranges = subtractRange(mve.from.ranges, mve.ran)
	mve.to.rate += mve.rate
	mve.to.incoming++
	if reb.now.Before(reb.kee.lease(reb.now, mve.ran).unprovenUntil) {
		return reb.kee.prepareMove(reb.vie.Service, mve.ran, mve.to.ups.GetId())
	}
	sub := reb.kee.release(reb.vie.Service, mve.ran)
	reb.kee.targets[rangeIDOf(reb.vie.Service, sub)] = mve.to.ups.GetId()
	return sub
}

// busiest returns the upstream with the highest utilization of those that serve keys and can be relieved, or nil.
func busiest(all []*usage) *usage {
	var highest *usage
	for _, usg := range all {
		if !usg.unrelievable && len(usg.ranges) > 0 && (highest == nil || usg.utilization() > highest.utilization()) {
			highest = usg
		}
	}
	return highest
}

// leastBusy returns the upstream with the lowest utilization, or nil if there are no upstreams. Those without keys come
// first.
func leastBusy(all []*usage) *usage {
	var lowest *usage
	for _, usg := range all {
		if lowest == nil || usg.empty() && !lowest.empty() || usg.empty() == lowest.empty() && usg.utilization() < lowest.utilization() {
			lowest = usg
		}
	}
	return lowest
}

// shouldMove reports whether moves between two upstreams are worth their cost. The lower confidence bound of the load has to
// be above busyUtilization, so that random variation of few requests starts no moves.
func shouldMove(from, to *usage) bool {
	if to.empty() {
		return true
	}
	lower := lowerConfidenceBound(from.rate*effectiveWindow(slowHalfLife)) / effectiveWindow(slowHalfLife) / from.capacity
	return lower >= busyUtilization && from.utilization()-to.utilization() >= minUtilizationGap && from.rate >= minSignificantRate
}

// cheapestMove returns the cheapest move that reduces the utilization of the busier of two upstreams, or nil. Keys at either
// end of a range may also go to the upstream that serves the adjacent keys, which adds no range.
func (reb *rebalancer) cheapestMove(from, to *usage) *move {
	var best *move
	consider := func(sub *fpstate.Range, target *usage, fragments int) {
		if sub == nil {
			return
		}
		mve := reb.newMove(sub, from, target, fragments)
		after := max((from.rate-mve.rate)/from.capacity, (target.rate+mve.rate)/target.capacity)
		if !target.empty() && after >= from.utilization()-minUtilizationGain {
			return
		}
		if best == nil || mve.cost < best.cost {
			best = mve
		}
	}
	if to.empty() && from.rate < minSignificantRate {
		return reb.withinCold(reb.halfOfLargest(from, to))
	}
	wanted := rateToMove(reb.candidates, from, to)
	if to.cold && to.empty() {
		wanted = coldShare(to)
	}
	for _, ran := range from.ranges {
		if !reb.kee.movable(reb.now, reb.vie.Service, ran) {
			continue
		}
		if len(from.ranges) > 1 && fits(reb.loa.rangeRate(ran.GetFirst(), ran.GetLast()), wanted) {
			consider(proto.CloneOf(ran), to, 0)
		}
		consider(prefixOf(reb.loa, ran, wanted), to, 1)
		consider(suffixOf(reb.loa, ran, wanted), to, 1)
		consider(narrowestSubrange(reb.loa, ran, wanted), to, 2)
		before, after := reb.neighbourUpstreams(ran)
		if before != nil && before != from && shouldMove(from, before) {
			consider(prefixOf(reb.loa, ran, rateToMove(reb.candidates, from, before)), before, 0)
		}
		if after != nil && after != from && shouldMove(from, after) {
			consider(suffixOf(reb.loa, ran, rateToMove(reb.candidates, from, after)), after, 0)
		}
	}
	switch {
	case best != nil:
		return best
	case to.empty():
		return reb.withinCold(reb.halfOfLargest(from, to))
	case from.utilization() >= fullUtilization:
		return reb.moveAroundHottest(from, to)
	}
	return nil
}

// newMove returns a move of a range with its rate and cost. fragments is the number of ranges that the move adds.
func (reb *rebalancer) newMove(sub *fpstate.Range, from, to *usage, fragments int) *move {
	perUpstream := float64(MaxKey+1) / float64(len(reb.candidates))
	return &move{
		ran:  sub,
		from: from,
		to:   to,
		rate: reb.loa.rangeRate(sub.GetFirst(), sub.GetLast()),
		cost: float64(sub.GetLast()-sub.GetFirst()+1)/perUpstream + fragmentCost*float64(fragments),
	}
}

// neighbourUpstreams returns the upstreams that serve the keys before and after a range. Either is nil if there is none or it
// can take no keys.
func (reb *rebalancer) neighbourUpstreams(ran *fpstate.Range) (before, after *usage) {
	if ran.GetFirst() > 0 {
		before = reb.servingUpstream(ran.GetFirst() - 1)
	}
	if ran.GetLast() < MaxKey {
		after = reb.servingUpstream(ran.GetLast() + 1)
	}
	return before, after
}

// servingUpstream returns the upstream that serves a key, or nil if there is none or it can take no keys.
func (reb *rebalancer) servingUpstream(key uint32) *usage {
	ran := fpdirectory.FindRange(reb.vie.Ranges, key)
	if ran == nil || ran.GetPhase() != fpstate.Phase_PHASE_SERVING {
		return nil
	}
	return reb.byID[ran.GetUpstream()]
}

// moveAroundHottest returns a move of the keys on one side of the hottest key of a range, or nil. When a single key keeps
// its upstream busy, moving it doesn't help, but requests for the other keys need not wait behind it.
func (reb *rebalancer) moveAroundHottest(from, to *usage) *move {
	var best *move
	for _, ran := range from.ranges {
		if !reb.kee.movable(reb.now, reb.vie.Service, ran) {
			continue
		}
		for _, sub := range aroundHottest(reb.loa, ran) {
			mve := reb.newMove(sub, from, to, 1)
			if mve.rate >= minSideRate && (best == nil || mve.rate > best.rate) && (to.rate+mve.rate)/to.capacity < fullUtilization {
				best = mve
			}
		}
	}
	return best
}

// halfOfLargest returns a move of half of the largest range of an upstream to one without keys, or nil if that range can't be
// moved now. It is used when the load gives no better choice.
func (reb *rebalancer) halfOfLargest(from, to *usage) *move {
	largest := slices.MaxFunc(from.ranges, func(one, other *fpstate.Range) int {
		return int(one.GetLast()-one.GetFirst()) - int(other.GetLast()-other.GetFirst())
	})
	if largest.GetLast() == largest.GetFirst() || !reb.kee.movable(reb.now, reb.vie.Service, largest) {
		return nil
	}
	half := proto.CloneOf(largest)
	half.First += (half.GetLast() - half.GetFirst() + 1) / 2
	return reb.newMove(half, from, to, 1)
}

// rateToMove returns the rate to move, in requests per second: what makes the utilization of both upstreams equal, but no
// more than brings the target to maxTargetOverMean or busyUtilization. An upstream with many times its capacity then moves
// its load to many others at once, instead of half of it to a single one, which would have to move it on.
func rateToMove(all []*usage, from, to *usage) float64 {
	var sum, capacity float64
	for _, usg := range all {
		sum += usg.rate
		capacity += usg.capacity
	}
	equal := (from.rate*to.capacity - to.rate*from.capacity) / (from.capacity + to.capacity)
	goal := max(busyUtilization, maxTargetOverMean*sum/capacity)
	return min(equal, goal*to.capacity-to.rate)
}

// subtractRange returns the ranges without the keys of one range.
func subtractRange(ranges []*fpstate.Range, sub *fpstate.Range) []*fpstate.Range {
	return slices.DeleteFunc(fpdirectory.ReplaceRange(ranges, sub), func(ran *fpstate.Range) bool { return ran == sub })
}

// fits reports whether a rate is between 0.7 and 1.6 times the wanted one.
func fits(rate, wanted float64) bool {
	const minRatio, maxRatio = 0.7, 1.6
	return wanted > 0 && rate >= minRatio*wanted && rate <= maxRatio*wanted
}

// prefixOf returns the shortest proper prefix of a range whose rate fits the wanted one, or nil.
func prefixOf(loa *Load, ran *fpstate.Range, wanted float64) *fpstate.Range {
	sum := 0.0
	for key := ran.GetFirst(); key < ran.GetLast(); key++ {
		if sum += loa.keyRate(key); fits(sum, wanted) {
			sub := proto.CloneOf(ran)
			sub.Last = key
			return sub
		}
	}
	return nil
}

// suffixOf returns the shortest proper suffix of a range whose rate fits the wanted one, or nil.
func suffixOf(loa *Load, ran *fpstate.Range, wanted float64) *fpstate.Range {
	sum := 0.0
	for key := ran.GetLast(); key > ran.GetFirst(); key-- {
		if sum += loa.keyRate(key); fits(sum, wanted) {
			sub := proto.CloneOf(ran)
			sub.First = key
			return sub
		}
	}
	return nil
}

// movable reports whether a served range can be released now. A call that may still take effect would delay its next holder,
// the answer after a lost release would be no proof, and an expired range is reassigned anyway.
func (kee *Keeper) movable(now time.Time, service string, ran *fpstate.Range) bool {
	lea := kee.lease(now, ran)
	return !now.Before(lea.unansweredEnd()) && !lea.expired(now) && !kee.mayHaveLostRelease(now, service, ran) &&
		kee.preparedMoveOf(service, ran) == nil
}

// aroundHottest returns the nonempty subranges on both sides of the hottest key of a range.
func aroundHottest(loa *Load, ran *fpstate.Range) []*fpstate.Range {
	hottest := ran.GetFirst()
	for key := ran.GetFirst(); key <= ran.GetLast(); key++ {
		if loa.keyRate(key) > loa.keyRate(hottest) {
			hottest = key
		}
	}
	var subranges []*fpstate.Range
	if hottest > ran.GetFirst() {
		left := proto.CloneOf(ran)
		left.Last = hottest - 1
		subranges = append(subranges, left)
	}
	if hottest < ran.GetLast() {
		right := proto.CloneOf(ran)
		right.First = hottest + 1
		subranges = append(subranges, right)
	}
	return subranges
}

// narrowestSubrange returns the shortest subrange of a range whose rate fits the wanted one, or nil.
func narrowestSubrange(loa *Load, ran *fpstate.Range, wanted float64) *fpstate.Range {
	const minRatio = 0.7
	if wanted <= 0 {
		return nil
	}
	var best *fpstate.Range
	sum, first := 0.0, ran.GetFirst()
	for last := ran.GetFirst(); last <= ran.GetLast(); last++ {
		sum += loa.keyRate(last)
		for first < last && sum-loa.keyRate(first) >= minRatio*wanted {
			sum -= loa.keyRate(first)
			first++
		}
		if !fits(sum, wanted) {
			continue
		}
		if best == nil || last-first < best.GetLast()-best.GetFirst() {
			best = proto.CloneOf(ran)
			best.First, best.Last = first, last
		}
	}
	return best
}

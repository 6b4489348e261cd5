package fpkeeper

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// busyUse is the part of an upstream's capacity from which a move pays off; below it, requests hardly wait.
	busyUse = 0.6
	// fullUse is the part of an upstream's capacity from which requests wait longer and longer.
	fullUse = 1
	// leastRate is the rate per second of the keys beside a hot one that are worth a move.
	leastRate = 1
	// gapUse is the least difference in use between the upstreams of a move.
	gapUse = 0.2
	// gainUse is how much less busy the busier upstream of a move has to be after it.
	gainUse = 0.07
	// fragmentCost is the cost of one more range, which is renewed by calls of its own, as a share of the keys of an upstream
	// that move.
	fragmentCost = 0.3
	// meanFactor is how far above the mean use of all upstreams a move may bring its target.
	meanFactor = 1.1
	// leastMoves and movesShare bound the moves that start together: a number, or a share of the upstreams.
	leastMoves = 8
	movesShare = 0.15
	// balancePause is the time between looks at the load of one service, each of which adds up the counts of all keys.
	balancePause = 300 * time.Millisecond
	// fewRequests is the rate per second below which load says nothing.
	fewRequests = 5
)

// mover searches for moves of the keys of one service at one moment.
type mover struct {
	kee  *Keeper
	now  time.Time
	vie  View
	loa  *Load
	all  []*standing // the upstreams that may take keys
	byID map[string]*standing
}

// move is a move of neighbouring keys from one upstream to another.
type move struct {
	part     *fpstate.Range
	from, to *standing
	rate     float64
	// cost is in keys of an average upstream.
	cost float64
}

// rebalance starts moves of keys from busy upstreams to others and to those that have none, and moves that save ranges.
func (kee *Keeper) rebalance(now time.Time, vie View) []*fpstate.Range {
	if now.Sub(kee.looked[vie.Service]) < balancePause {
		return nil
	}
	kee.looked[vie.Service] = now
	mov := &mover{
		kee:  kee,
		now:  now,
		vie:  vie,
		loa:  kee.Load(vie.Service),
		byID: map[string]*standing{},
	}
	for _, sta := range kee.standings(now, vie) {
		if kee.takesKeys(now, sta) {
			mov.all = append(mov.all, sta)
			mov.byID[sta.ups.GetId()] = sta
		}
	}
	parts := mov.relieve()
	return append(parts, mov.tidy(parts)...)
}

// relieve returns the moves from the busiest upstreams.
func (mov *mover) relieve() []*fpstate.Range {
	var parts []*fpstate.Range
	for most := max(leastMoves, int(movesShare*float64(len(mov.all)))); len(parts) < most; {
		from, to := busiest(mov.all), idlest(mov.all)
		if from == nil || to == nil || from == to || !pays(from, to) {
			break
		}
		best := mov.next(from, to)
		if best == nil {
			// A single key that no upstream can take must not keep the others from being relieved.
			from.stuck = true
			continue
		}
		parts = append(parts, mov.start(best))
	}
	return parts
}

// start counts the keys of a move at their target, and returns them as they are to be committed.
func (mov *mover) start(mve *move) *fpstate.Range {
	mve.from.rate -= mve.rate
	mve.from.ranges = without(mve.from.ranges, mve.part)
	mve.to.rate += mve.rate
	mve.to.incoming++
	part := mov.kee.release(mov.vie.Service, mve.part)
	mov.kee.targets[placeOf(mov.vie.Service, part)] = mve.to.ups.GetId()
	return part
}

// busiest returns the upstream with the highest use of those that can be relieved, or nil.
func busiest(all []*standing) *standing {
	var most *standing
	for _, sta := range all {
		if !sta.stuck && len(sta.ranges) > 0 && (most == nil || sta.use() > most.use()) {
			most = sta
		}
	}
	return most
}

// idlest returns the upstream with the lowest use; those without keys come first.
func idlest(all []*standing) *standing {
	var least *standing
	for _, sta := range all {
		if least == nil || sta.empty() && !least.empty() || sta.empty() == least.empty() && sta.use() < least.use() {
			least = sta
		}
	}
	return least
}

// pays reports whether moves between two upstreams are worth their cost. The busier one has to be so beyond chance.
func pays(from, to *standing) bool {
	if to.empty() {
		return true
	}
	sure := surely(from.rate*window(slowHalfLife)) / window(slowHalfLife) / from.capacity
	return sure >= busyUse && from.use()-to.use() >= gapUse && from.rate >= fewRequests
}

// next returns the cheapest move that makes the busier of two upstreams less busy, or nil. Keys at the end of a range may also
// go to the upstream that holds their neighbours, which takes no further range.
func (mov *mover) next(from, to *standing) *move {
	var best *move
	consider := func(part *fpstate.Range, target *standing, fragments int) {
		if part == nil {
			return
		}
		mve := mov.price(part, from, target, fragments)
		after := max((from.rate-mve.rate)/from.capacity, (target.rate+mve.rate)/target.capacity)
		if !target.empty() && after >= from.use()-gainUse {
			return
		}
		if best == nil || mve.cost < best.cost {
			best = mve
		}
	}
	if to.empty() && from.rate < fewRequests {
		return mov.half(from, to)
	}
	wanted := wantedRate(mov.all, from, to)
	for _, ran := range from.ranges {
		if !mov.kee.movable(mov.now, ran) {
			continue
		}
		if len(from.ranges) > 1 && fits(mov.loa.rate(ran.GetFirst(), ran.GetLast()), wanted) {
			consider(proto.CloneOf(ran), to, 0)
		}
		consider(startOf(mov.loa, ran, wanted), to, 1)
		consider(endOf(mov.loa, ran, wanted), to, 1)
		consider(narrowestIn(mov.loa, ran, wanted), to, 2)
		before, after := mov.neighbours(ran)
		if before != nil && before != from && pays(from, before) {
			consider(startOf(mov.loa, ran, wantedRate(mov.all, from, before)), before, 0)
		}
		if after != nil && after != from && pays(from, after) {
			consider(endOf(mov.loa, ran, wantedRate(mov.all, from, after)), after, 0)
		}
	}
	switch {
	case best != nil:
		return best
	case to.empty():
		return mov.half(from, to)
	case from.use() >= fullUse:
		return mov.beside(from, to)
	}
	return nil
}

// price returns a move with its rate and cost.
func (mov *mover) price(part *fpstate.Range, from, to *standing, fragments int) *move {
	perUpstream := float64(MaxKey+1) / float64(len(mov.all))
	return &move{
		part: part,
		from: from,
		to:   to,
		rate: mov.loa.rate(part.GetFirst(), part.GetLast()),
		cost: float64(part.GetLast()-part.GetFirst()+1)/perUpstream + fragmentCost*float64(fragments),
	}
}

// neighbours returns the upstreams that serve the keys before and after a range, or nil where they take no keys.
func (mov *mover) neighbours(ran *fpstate.Range) (before, after *standing) {
	if ran.GetFirst() > 0 {
		before = mov.serverOf(ran.GetFirst() - 1)
	}
	if ran.GetLast() < MaxKey {
		after = mov.serverOf(ran.GetLast() + 1)
	}
	return before, after
}

func (mov *mover) serverOf(key uint32) *standing {
	ran := fpdirectory.Find(mov.vie.Ranges, key)
	if ran == nil || ran.GetPhase() != fpstate.Phase_PHASE_SERVING {
		return nil
	}
	return mov.byID[ran.GetUpstream()]
}

// beside returns the move of what lies on one side of the hottest key of an upstream, or nil. When that key alone keeps its
// upstream busy, no move of it helps, but the others need not wait behind it.
func (mov *mover) beside(from, to *standing) *move {
	var best *move
	for _, ran := range from.ranges {
		if !mov.kee.movable(mov.now, ran) {
			continue
		}
		for _, part := range besideHottest(mov.loa, ran) {
			mve := mov.price(part, from, to, 1)
			if mve.rate >= leastRate && (best == nil || mve.rate > best.rate) && (to.rate+mve.rate)/to.capacity < fullUse {
				best = mve
			}
		}
	}
	return best
}

// half returns the move of half of the largest range of an upstream to one that has no keys, when there is no load to go by.
func (mov *mover) half(from, to *standing) *move {
	largest := slices.MaxFunc(from.ranges, func(one, other *fpstate.Range) int {
		return int(one.GetLast()-one.GetFirst()) - int(other.GetLast()-other.GetFirst())
	})
	if largest.GetLast() == largest.GetFirst() || !mov.kee.movable(mov.now, largest) {
		return nil
	}
	half := proto.CloneOf(largest)
	half.First += (half.GetLast() - half.GetFirst() + 1) / 2
	return mov.price(half, from, to, 1)
}

// wantedRate returns the rate to move: what makes the use of both upstreams the same, but no more than brings the target a
// little above the mean use of all. An upstream that is many times too busy then sheds its load to many others at once,
// instead of half of it to a single one, which would have to move it on.
func wantedRate(all []*standing, most, least *standing) float64 {
	var sum, capacity float64
	for _, sta := range all {
		sum += sta.rate
		capacity += sta.capacity
	}
	equal := (most.rate*least.capacity - least.rate*most.capacity) / (most.capacity + least.capacity)
	goal := max(busyUse, meanFactor*sum/capacity)
	return min(equal, goal*least.capacity-least.rate)
}

// without returns ranges with a part of one of them cut out.
func without(ranges []*fpstate.Range, part *fpstate.Range) []*fpstate.Range {
	return slices.DeleteFunc(fpdirectory.Replace(ranges, part), func(ran *fpstate.Range) bool { return ran == part })
}

// fits reports whether a rate reaches most of the wanted one and is not far above it.
func fits(rate, wanted float64) bool {
	const enough, tooMuch = 0.7, 1.6
	return wanted > 0 && rate >= enough*wanted && rate <= tooMuch*wanted
}

// startOf returns the first keys of a range whose rate fits the wanted one, or nil.
func startOf(loa *Load, ran *fpstate.Range, wanted float64) *fpstate.Range {
	sum := 0.0
	for key := ran.GetFirst(); key < ran.GetLast(); key++ {
		if sum += loa.key(key); fits(sum, wanted) {
			part := proto.CloneOf(ran)
			part.Last = key
			return part
		}
	}
	return nil
}

// endOf returns the last keys of a range whose rate fits the wanted one, or nil.
func endOf(loa *Load, ran *fpstate.Range, wanted float64) *fpstate.Range {
	sum := 0.0
	for key := ran.GetLast(); key > ran.GetFirst(); key-- {
		if sum += loa.key(key); fits(sum, wanted) {
			part := proto.CloneOf(ran)
			part.First = key
			return part
		}
	}
	return nil
}

// movable reports whether a served range can be released now: a call that may still take effect would hold up its next owner,
// and one whose hold has passed is assigned anew.
func (kee *Keeper) movable(now time.Time, ran *fpstate.Range) bool {
	lea := kee.lease(now, ran)
	return !now.Before(lea.doubtEnd()) && !lea.over(now)
}

// besideHottest returns what lies on both sides of the hottest key of a range. When one key alone keeps its upstream busy,
// the others are better off elsewhere.
func besideHottest(loa *Load, ran *fpstate.Range) []*fpstate.Range {
	hottest := ran.GetFirst()
	for key := ran.GetFirst(); key <= ran.GetLast(); key++ {
		if loa.key(key) > loa.key(hottest) {
			hottest = key
		}
	}
	var parts []*fpstate.Range
	if hottest > ran.GetFirst() {
		left := proto.CloneOf(ran)
		left.Last = hottest - 1
		parts = append(parts, left)
	}
	if hottest < ran.GetLast() {
		right := proto.CloneOf(ran)
		right.First = hottest + 1
		parts = append(parts, right)
	}
	return parts
}

// narrowestIn finds the shortest run of keys of a range whose rate reaches most of the wanted one and is not far above it.
func narrowestIn(loa *Load, ran *fpstate.Range, wanted float64) *fpstate.Range {
	const enough = 0.7
	if wanted <= 0 {
		return nil
	}
	var best *fpstate.Range
	sum, first := 0.0, ran.GetFirst()
	for last := ran.GetFirst(); last <= ran.GetLast(); last++ {
		sum += loa.key(last)
		for first < last && sum-loa.key(first) >= enough*wanted {
			sum -= loa.key(first)
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

package fpkeeper

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// busyUse is the part of an upstream's capacity from which a move pays off; below it, requests hardly wait.
	busyUse = 0.6
	// gapUse is the least difference in use between the upstreams of a move.
	gapUse = 0.2
	// gainUse is how much less busy the busier upstream of a move has to be after it.
	gainUse = 0.07
	// meanFactor is how far above the mean use of all upstreams a move may bring its target.
	meanFactor = 1.1
	// leastMoves and movesShare bound the moves that start together: a number, or a share of the upstreams.
	leastMoves = 8
	movesShare = 0.15
	// balancePause is the time between looks at the load of one service, each of which adds up the counts of all keys.
	balancePause = 300 * time.Millisecond
	// fewRequests is the rate per second below which load says nothing.
	fewRequests = 5
	// pieces is the number of upstreams that share the keys of a lost one.
	pieces = 3
	// defaultTime is the time of an answer in seconds of an upstream that has given none.
	defaultTime = 0.1
)

// partition gives all keys to the upstreams of a service that has had none.
func (kee *Keeper) partition(now time.Time, vie View) []Change {
	var able []*fpstate.Upstream
	units := 0
	for _, ups := range vie.Upstreams {
		if !ups.GetLeaving() {
			able = append(able, ups)
			units += weight(ups)
		}
	}
	if len(able) == 0 {
		return nil
	}
	since, ok := kee.first[vie.Service]
	if !ok {
		kee.first[vie.Service] = now
		return nil
	}
	if now.Sub(since) < settleTime {
		return nil
	}
	var ranges []*fpstate.Range
	passed, first := 0, uint32(0)
	for _, ups := range able {
		passed += weight(ups)
		end := uint32((MaxKey + 1) * passed / units)
		if end <= first {
			continue
		}
		ranges = append(ranges, holdBy(&fpstate.Range{
			First: first,
			Last:  end - 1,
		}, ups, ""))
		first = end
	}
	return appendChange(nil, vie.Service, ranges, "first partition")
}

func weight(ups *fpstate.Upstream) int { return max(1, int(ups.GetConcurrency())) }

// holdBy returns a range for a new holder; its fence is given when the change is applied.
func holdBy(ran *fpstate.Range, ups *fpstate.Upstream, handover string) *fpstate.Range {
	return &fpstate.Range{
		First:    ran.GetFirst(),
		Last:     ran.GetLast(),
		Upstream: ups.GetId(),
		Born:     ups.GetBorn(),
		Phase:    fpstate.Phase_PHASE_GRANTING,
		Handover: handover,
	}
}

// standing is the load of one upstream.
type standing struct {
	ups      *fpstate.Upstream
	rate     float64 // requests per second
	capacity float64 // requests per second
	ranges   []*fpstate.Range
	incoming int // ranges that are to move to the upstream
}

// empty reports whether an upstream has no keys and gets none.
func (sta *standing) empty() bool { return len(sta.ranges) == 0 && sta.incoming == 0 }

func (sta *standing) use() float64 { return sta.rate / sta.capacity }

// standings returns the load of all upstreams of a service that may take keys, or that hold some.
func (kee *Keeper) standings(now time.Time, vie View) []*standing {
	loa := kee.Load(vie.Service)
	loa.age(now)
	byName := map[string]*standing{}
	var all []*standing
	for _, ups := range vie.Upstreams {
		seconds := loa.times[ups.GetId()]
		if seconds <= 0 {
			seconds = defaultTime
		}
		sta := &standing{
			ups:      ups,
			capacity: float64(weight(ups)) / seconds,
		}
		byName[ups.GetId()] = sta
		all = append(all, sta)
	}
	for _, ran := range vie.Ranges {
		if sta := byName[ran.GetUpstream()]; sta != nil && sta.ups.GetBorn() == ran.GetBorn() {
			sta.rate += perSecond(loa.sum(ran.GetFirst(), ran.GetLast()))
			sta.ranges = append(sta.ranges, ran)
		}
	}
	return all
}

// assign gives a free range to other upstreams than its last holder, if there are any.
func (kee *Keeper) assign(now time.Time, vie View, ran *fpstate.Range, handover string) []*fpstate.Range {
	all := slices.DeleteFunc(kee.standings(now, vie), func(sta *standing) bool {
		same := sta.ups.GetId() == ran.GetUpstream() && sta.ups.GetBorn() == ran.GetBorn()
		return sta.ups.GetLeaving() || same || kee.silent(now, sta)
	})
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(one, other *standing) int { return cmp.Compare(one.use(), other.use()) })
	if target := kee.targets[placeOf(vie.Service, ran)]; target != "" {
		for _, sta := range all {
			if sta.ups.GetId() == target {
				return []*fpstate.Range{holdBy(ran, sta.ups, handover)}
			}
		}
	}
	for _, sta := range all {
		// A new life of the holder, or an upstream that has joined, is to get keys before the others.
		if sta.ups.GetId() == ran.GetUpstream() && len(sta.ranges) == 0 {
			return []*fpstate.Range{holdBy(ran, sta.ups, handover)}
		}
	}
	var out []*fpstate.Range
	for pos, part := range kee.split(vie.Service, ran, min(pieces, len(all))) {
		out = append(out, holdBy(part, all[pos].ups, handover))
	}
	return out
}

// silent reports whether the grants of an upstream that holds ranges are all about to lapse.
func (kee *Keeper) silent(now time.Time, sta *standing) bool {
	if len(sta.ranges) == 0 {
		return false
	}
	for _, ran := range sta.ranges {
		if kee.lease(now, ran.GetFence()).bound.Sub(now) > kee.cfg.Hold-2*kee.cfg.Renewal {
			return false
		}
	}
	return true
}

// split cuts a range into parts of about the same load.
func (kee *Keeper) split(service string, ran *fpstate.Range, count int) []*fpstate.Range {
	const few = 64 // keys that are not worth a grant of their own unless they are hot
	loa := kee.Load(service)
	total := loa.sum(ran.GetFirst(), ran.GetLast())
	size := ran.GetLast() - ran.GetFirst() + 1
	if count < 2 || size < few*uint32(count) {
		return []*fpstate.Range{ran}
	}
	each := (total + 1) / float64(count)
	perKey := 1 / float64(size)
	var parts []*fpstate.Range
	first, sum := ran.GetFirst(), 0.0
	for key := ran.GetFirst(); key <= ran.GetLast(); key++ {
		sum += loa.counts[key] + perKey
		if sum < each && key != ran.GetLast() || len(parts) == count-1 && key != ran.GetLast() {
			continue
		}
		part := proto.CloneOf(ran)
		part.First, part.Last = first, key
		parts = append(parts, part)
		first, sum = key+1, 0
	}
	return parts
}

// rebalance starts moves of keys from busy upstreams to others, and to those that have none.
func (kee *Keeper) rebalance(now time.Time, vie View) []*fpstate.Range {
	if now.Sub(kee.looked[vie.Service]) < balancePause {
		return nil
	}
	kee.looked[vie.Service] = now
	all := slices.DeleteFunc(kee.standings(now, vie), func(sta *standing) bool {
		return sta.ups.GetLeaving() || kee.silent(now, sta)
	})
	var moves []*fpstate.Range
	for range max(leastMoves, int(movesShare*float64(len(all)))) {
		part := kee.nextMove(now, vie.Service, all)
		if part == nil {
			break
		}
		moves = append(moves, part)
	}
	return moves
}

// nextMove returns the keys that gain the most by a move, and counts them at their target.
func (kee *Keeper) nextMove(now time.Time, service string, all []*standing) *fpstate.Range {
	var most, least *standing
	for _, sta := range all {
		if sta.settled() && (most == nil || sta.use() > most.use()) {
			most = sta
		}
		if least == nil || sta.empty() && !least.empty() || sta.empty() == least.empty() && sta.use() < least.use() {
			least = sta
		}
	}
	if most == nil || most == least || len(most.ranges) == 0 {
		return nil
	}
	newcomer := least.empty()
	if !newcomer && (most.use() < busyUse || most.use()-least.use() < gapUse || most.rate < fewRequests) {
		return nil
	}
	part := kee.narrowest(now, service, most, least, wantedRate(all, most, least))
	if part == nil && newcomer {
		part = kee.half(now, most)
	}
	if part == nil {
		return nil
	}
	moved := perSecond(kee.Load(service).sum(part.GetFirst(), part.GetLast()))
	most.rate -= moved
	most.ranges = without(most.ranges, part)
	least.rate += moved
	least.incoming++
	part.Phase = fpstate.Phase_PHASE_RELEASING
	kee.targets[placeOf(service, part)] = least.ups.GetId()
	return part
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

// settled reports whether none of an upstream's ranges is on its way to or from it.
func (sta *standing) settled() bool {
	return !slices.ContainsFunc(sta.ranges, func(ran *fpstate.Range) bool {
		return ran.GetPhase() != fpstate.Phase_PHASE_SERVING
	})
}

// narrowest returns the fewest neighbouring keys of an upstream whose move makes the busier of both upstreams less busy,
// or nil. A move costs by the number of keys and not by their load.
func (kee *Keeper) narrowest(now time.Time, service string, most, least *standing, wanted float64) *fpstate.Range {
	loa := kee.Load(service)
	var best *fpstate.Range
	consider := func(part *fpstate.Range) {
		if part == nil || best != nil && part.GetLast()-part.GetFirst() >= best.GetLast()-best.GetFirst() {
			return
		}
		moved := perSecond(loa.sum(part.GetFirst(), part.GetLast()))
		after := max((most.rate-moved)/most.capacity, (least.rate+moved)/least.capacity)
		if least.empty() || after < most.use()-gainUse {
			best = part
		}
	}
	for _, ran := range most.ranges {
		if now.Before(kee.lease(now, ran.GetFence()).doubt) {
			continue
		}
		consider(narrowestIn(loa, ran, wanted))
		for _, part := range besideHottest(loa, ran) {
			if best == nil {
				consider(part)
			}
		}
	}
	return best
}

// besideHottest returns what lies on both sides of the hottest key of a range. When one key alone keeps its upstream busy,
// the others are better off elsewhere.
func besideHottest(loa *Load, ran *fpstate.Range) []*fpstate.Range {
	hottest := ran.GetFirst()
	for key := ran.GetFirst(); key <= ran.GetLast(); key++ {
		if loa.counts[key] > loa.counts[hottest] {
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

// half returns half of the largest range of an upstream, for one that has none when there is no load to go by.
func (kee *Keeper) half(now time.Time, sta *standing) *fpstate.Range {
	largest := slices.MaxFunc(sta.ranges, func(one, other *fpstate.Range) int {
		return int(one.GetLast()-one.GetFirst()) - int(other.GetLast()-other.GetFirst())
	})
	if largest.GetLast() == largest.GetFirst() || now.Before(kee.lease(now, largest.GetFence()).doubt) {
		return nil
	}
	half := proto.CloneOf(largest)
	half.First += (half.GetLast() - half.GetFirst() + 1) / 2
	return half
}

// narrowestIn finds the shortest run of keys of a range whose rate reaches most of the wanted one and is not far above it.
func narrowestIn(loa *Load, ran *fpstate.Range, wanted float64) *fpstate.Range {
	const enough, tooMuch = 0.7, 1.6
	if wanted <= 0 {
		return nil
	}
	var best *fpstate.Range
	sum, first := 0.0, ran.GetFirst()
	for last := ran.GetFirst(); last <= ran.GetLast(); last++ {
		sum += perSecond(loa.counts[last])
		for first < last && sum-perSecond(loa.counts[first]) >= enough*wanted {
			sum -= perSecond(loa.counts[first])
			first++
		}
		if sum < enough*wanted || sum > tooMuch*wanted {
			continue
		}
		if best == nil || last-first < best.GetLast()-best.GetFirst() {
			best = proto.CloneOf(ran)
			best.First, best.Last = first, last
		}
	}
	return best
}

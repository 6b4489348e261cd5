package fpkeeper

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// refenceInterval is the minimum time between two searches for ranges of a service that need a new fence.
	refenceInterval = time.Second
	// defragRangesPerUpstream is the mean number of ranges per upstream from which ranges are moved to reduce their number.
	defragRangesPerUpstream = 1.3
	// maxDefragMoves bounds the moves of one search that reduce the number of ranges.
	maxDefragMoves = 6
	// minHoldBeforeDefrag is how long the keeper must have known the fence of a range before it moves the range to reduce
	// the number of ranges, because the range may just have been moved for its load.
	minHoldBeforeDefrag = 4 * time.Second
)

// defragment returns moves of small ranges to upstreams that serve adjacent keys, while there are many more ranges than
// upstreams. It excludes ranges that overlap the given moves or are adjacent to them.
func (reb *rebalancer) defragment(moves []*fpstate.Range) []*fpstate.Range {
	if float64(len(reb.vie.Ranges)) < defragRangesPerUpstream*float64(len(reb.candidates)) {
		return nil
	}
	var small []*fpstate.Range
	for _, usg := range reb.candidates {
		if len(usg.ranges) > 1 {
			small = append(small, usg.ranges...)
		}
	}
	slices.SortFunc(small, func(one, other *fpstate.Range) int {
		return cmp.Compare(one.GetLast()-one.GetFirst(), other.GetLast()-other.GetFirst())
	})
	var moved []*fpstate.Range
	for _, ran := range small {
		from := reb.byID[ran.GetUpstream()]
		if len(moved) == maxDefragMoves {
			break
		}
		recent := reb.now.Sub(reb.kee.lease(reb.now, ran).firstSeen) < minHoldBeforeDefrag
		if len(from.ranges) < 2 || recent || !reb.kee.movable(reb.now, reb.vie.Service, ran) || touchesAny(moves, ran) || touchesAny(moved, ran) {
			continue
		}
		to, after := reb.neighbourUpstreams(ran)
		if to == nil || after != nil && after.utilization() < to.utilization() {
			to = after
		}
		if to == nil || to == from {
			continue
		}
		mve := reb.newMove(proto.CloneOf(ran), from, to, 0)
		if (to.rate+mve.rate)/to.capacity < max(busyUtilization, from.utilization()) {
			moved = append(moved, reb.startMove(mve))
		}
	}
	return moved
}

// rangesToRefence returns ranges that stay at their holder under a new fence. Adjacent ranges of one holder are merged, which
// limits the number of ranges that moves leave behind. Uncertain ranges can be moved once a grant under the new fence is
// answered. Ranges that overlap the given moves or are adjacent to them are excluded.
func (kee *Keeper) rangesToRefence(now time.Time, vie View, moves []*fpstate.Range) []*fpstate.Range {
	if now.Sub(kee.lastRefence[vie.Service]) < refenceInterval {
		return nil
	}
	kee.lastRefence[vie.Service] = now
	var out []*fpstate.Range
	var merged *fpstate.Range
	count, uncertain := 0, false
	flush := func() {
		if count > 1 || uncertain {
			out = append(out, merged)
		}
		merged, count, uncertain = nil, 0, false
	}
	for _, ran := range vie.Ranges {
		if ran.GetPhase() != fpstate.Phase_PHASE_SERVING || !kee.canRefence(now, vie, ran) || touchesAny(moves, ran) {
			flush()
			continue
		}
		if merged != nil && (merged.GetUpstream() != ran.GetUpstream() || merged.GetBorn() != ran.GetBorn()) {
			flush()
		}
		if merged == nil {
			merged = proto.CloneOf(ran)
			merged.Fence, merged.Handover = 0, ""
		}
		merged.Last = ran.GetLast()
		count++
		uncertain = uncertain || kee.hasUncertainGrant(now, ran)
	}
	flush()
	return out
}

// hasUncertainGrant reports whether a grant under the fence of a range that got no answer may still take effect, while no
// calls under earlier fences may.
func (kee *Keeper) hasUncertainGrant(now time.Time, ran *fpstate.Range) bool {
	lea := kee.lease(now, ran)
	return now.Before(lea.uncertainUntil) && lea.inheritedUntil.IsZero()
}

// canRefence reports whether a served range can get a new fence: its holder isn't leaving, its lease has not expired, no grant
// is in flight, a grant under its newest fence has been answered, and no move of it is prepared.
func (kee *Keeper) canRefence(now time.Time, vie View, ran *fpstate.Range) bool {
	holder := vie.Lookup(ran.GetUpstream())
	lea := kee.lease(now, ran)
	held := holder != nil && holder.GetBorn() == ran.GetBorn() && !holder.GetLeaving() && !holder.GetGone()
	return held && lea.grantsInFlight == 0 && lea.inheritedUntil.IsZero() && !lea.expired(now) &&
		kee.preparedMoveOf(vie.Service, ran) == nil
}

// touchesAny reports whether a range overlaps one of the others or is adjacent to one.
func touchesAny(others []*fpstate.Range, one *fpstate.Range) bool {
	return slices.ContainsFunc(others, func(ran *fpstate.Range) bool {
		return ran.GetFirst() <= one.GetLast()+1 && ran.GetLast()+1 >= one.GetFirst()
	})
}

package fpkeeper

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// mergePause is the time between looks for ranges to merge.
	mergePause = 2 * time.Second
	// tidyRanges is the number of ranges for each upstream above which moves save ranges.
	tidyRanges = 1.3
	// tidyMoves bounds the moves that save ranges and start together.
	tidyMoves = 6
)

// tidy returns moves of small ranges to the upstreams that hold their neighbours, as long as there are many more ranges than
// upstreams. It leaves alone the ranges that the given moves touch.
func (mov *mover) tidy(moves []*fpstate.Range) []*fpstate.Range {
	if float64(len(mov.vie.Ranges)) < tidyRanges*float64(len(mov.all)) {
		return nil
	}
	var small []*fpstate.Range
	for _, sta := range mov.all {
		if len(sta.ranges) > 1 {
			small = append(small, sta.ranges...)
		}
	}
	slices.SortFunc(small, func(one, other *fpstate.Range) int {
		return cmp.Compare(one.GetLast()-one.GetFirst(), other.GetLast()-other.GetFirst())
	})
	var parts []*fpstate.Range
	for _, ran := range small {
		from := mov.byID[ran.GetUpstream()]
		if len(parts) == tidyMoves {
			break
		}
		if len(from.ranges) < 2 || !mov.kee.movable(mov.now, ran) || besideAny(moves, ran) || besideAny(parts, ran) {
			continue
		}
		to, after := mov.neighbours(ran)
		if to == nil || after != nil && after.use() < to.use() {
			to = after
		}
		if to == nil || to == from {
			continue
		}
		mve := mov.price(proto.CloneOf(ran), from, to, 0)
		if (to.rate+mve.rate)/to.capacity < max(busyUse, from.use()) {
			parts = append(parts, mov.start(mve))
		}
	}
	return parts
}

// merged returns ranges that take the place of neighbouring ones of the same upstream, each under a new fence, so that moves
// leave no more ranges behind than needed. Ranges that are to move are left alone.
func (kee *Keeper) merged(now time.Time, vie View, moves []*fpstate.Range) []*fpstate.Range {
	if now.Sub(kee.merges[vie.Service]) < mergePause {
		return nil
	}
	kee.merges[vie.Service] = now
	var out []*fpstate.Range
	var run *fpstate.Range
	joined := 0
	flush := func() {
		if joined > 1 {
			out = append(out, run)
		}
		run, joined = nil, 0
	}
	for _, ran := range vie.Ranges {
		if ran.GetPhase() != fpstate.Phase_PHASE_SERVING || !kee.quiet(now, vie, ran) || besideAny(moves, ran) {
			flush()
			continue
		}
		if run != nil && (run.GetUpstream() != ran.GetUpstream() || run.GetBorn() != ran.GetBorn()) {
			flush()
		}
		if run == nil {
			run = proto.CloneOf(ran)
			run.Fence, run.Handover = 0, ""
		}
		run.Last = ran.GetLast()
		joined++
	}
	flush()
	return out
}

// quiet reports whether a served range can get another fence: its holder stays, and no call that names its old fence may still
// take effect.
func (kee *Keeper) quiet(now time.Time, vie View, ran *fpstate.Range) bool {
	holder := vie.Lookup(ran.GetUpstream())
	stays := holder != nil && holder.GetBorn() == ran.GetBorn() && !holder.GetLeaving() && !holder.GetGone()
	return stays && kee.movable(now, ran) && kee.lease(now, ran).grants == 0
}

// besideAny reports whether a range overlaps one of others or is next to it.
func besideAny(others []*fpstate.Range, one *fpstate.Range) bool {
	return slices.ContainsFunc(others, func(ran *fpstate.Range) bool {
		return ran.GetFirst() <= one.GetLast()+1 && ran.GetLast()+1 >= one.GetFirst()
	})
}

package fpkeeper

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// refencePause is the time between looks for ranges that need another fence.
	refencePause = time.Second
	// tidyRanges is the number of ranges for each upstream above which moves save ranges.
	tidyRanges = 1.3
	// tidyMoves bounds the moves that save ranges and start together.
	tidyMoves = 6
	// tidyAfter is how long a range has to be held before it is moved to save a range. It may have been moved for its load.
	tidyAfter = 4 * time.Second
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
		young := mov.now.Sub(mov.kee.lease(mov.now, ran).since) < tidyAfter
		if len(from.ranges) < 2 || young || !mov.kee.movable(mov.now, ran) || besideAny(moves, ran) || besideAny(parts, ran) {
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

// refenced returns ranges that stay at their holder under another fence: neighbouring ones of one holder become one, so that moves
// leave no more ranges behind than needed, and those in doubt can be moved once a grant under the new fence is answered. Ranges
// that are to move are left alone.
func (kee *Keeper) refenced(now time.Time, vie View, moves []*fpstate.Range) []*fpstate.Range {
	if now.Sub(kee.refences[vie.Service]) < refencePause {
		return nil
	}
	kee.refences[vie.Service] = now
	var out []*fpstate.Range
	var run *fpstate.Range
	joined, doubted := 0, false
	flush := func() {
		if joined > 1 || doubted {
			out = append(out, run)
		}
		run, joined, doubted = nil, 0, false
	}
	for _, ran := range vie.Ranges {
		if ran.GetPhase() != fpstate.Phase_PHASE_SERVING || !kee.stays(now, vie, ran) || besideAny(moves, ran) {
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
		doubted = doubted || kee.doubted(now, ran)
	}
	flush()
	return out
}

// doubted reports whether calls under the fence of a range may still take effect, which no answer has ended yet.
func (kee *Keeper) doubted(now time.Time, ran *fpstate.Range) bool {
	lea := kee.lease(now, ran)
	return now.Before(lea.doubt) && lea.inherited.IsZero()
}

// stays reports whether the holder of a served range keeps it, with no grant in flight and none that waits for an answer under its
// newest fence.
func (kee *Keeper) stays(now time.Time, vie View, ran *fpstate.Range) bool {
	holder := vie.Lookup(ran.GetUpstream())
	lea := kee.lease(now, ran)
	here := holder != nil && holder.GetBorn() == ran.GetBorn() && !holder.GetLeaving() && !holder.GetGone()
	return here && lea.grants == 0 && lea.inherited.IsZero() && !lea.over(now)
}

// besideAny reports whether a range overlaps one of others or is next to it.
func besideAny(others []*fpstate.Range, one *fpstate.Range) bool {
	return slices.ContainsFunc(others, func(ran *fpstate.Range) bool {
		return ran.GetFirst() <= one.GetLast()+1 && ran.GetLast()+1 >= one.GetFirst()
	})
}

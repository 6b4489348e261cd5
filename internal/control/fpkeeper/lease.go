package fpkeeper

import (
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// driftPercent is the bound on how slow the clock of an upstream runs (2%), with a margin.
	driftPercent = 3
	// arrivalSlack covers bytes that are still under way when a call is given up.
	arrivalSlack = 500 * time.Millisecond
)

// lease is what the keeper knows of the grants under one fence.
type lease struct {
	since time.Time // when the keeper has learnt of the fence
	bound time.Time
	doubt time.Time
	// sent states that a grant may have reached the holder.
	sent bool
	// inherited is the doubt about calls under earlier fences, of ranges that this one replaces at their holder. It ends with
	// the first answer to a grant, because the holder then refuses lower fences.
	inherited time.Time
	// grants is the number of grants in flight. A release waits for them, because a renewal of a range that was split
	// since would give the released part back.
	grants int
}

// doubtEnd returns until when a call that got no answer may take effect.
func (lea *lease) doubtEnd() time.Time { return later(lea.doubt, lea.inherited) }

// over reports whether the holder can hold nothing any more. A grant in flight may still arrive.
func (lea *lease) over(now time.Time) bool { return lea.grants == 0 && now.After(lea.bound) }

// holdEnd returns until when an upstream may hold a range if the last call to it ended at a moment.
func (kee *Keeper) holdEnd(end time.Time) time.Time {
	return end.Add(kee.cfg.Hold + kee.cfg.Hold*driftPercent/100 + arrivalSlack)
}

// lease returns the record of the fence of a range.
func (kee *Keeper) lease(now time.Time, ran *fpstate.Range) *lease {
	fence := ran.GetFence()
	lea := kee.leases[fence]
	if lea != nil {
		return lea
	}
	lea = &lease{
		since: now,
		bound: kee.holdEnd(now),
	}
	if ran.GetPhase() == fpstate.Phase_PHASE_SERVING {
		// The holder has its keys under the fences of the ranges that this one replaces.
		lea.sent = true
		lea.inherited = lea.bound
	}
	if fence <= kee.oldFence {
		lea.bound = kee.holdEnd(kee.start)
		lea.doubt = lea.bound
		lea.sent = true
		lea.inherited = time.Time{}
	}
	kee.leases[fence] = lea
	return lea
}

package fpkeeper

import (
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// driftPercent is the allowance for a slow clock of an upstream: clocks run at most 2% slow, and 1% is margin.
	driftPercent = 3
	// arrivalSlack is the allowance for bytes that are still in transit when a call is abandoned.
	arrivalSlack = 500 * time.Millisecond
)

// lease is what the keeper knows about the grants under one fence.
type lease struct {
	firstSeen time.Time // when the keeper first saw the fence
	// expiry is the latest time until which the holder may hold its keys.
	expiry time.Time
	// uncertainUntil is the latest time until which a grant under this fence that got no answer may take effect, or zero.
	uncertainUntil time.Time
	// unprovenUntil is the latest time until which a grant under this fence may take effect whose answer may have been that to an
	// earlier order, or zero. Such a range gets a new fence before it is released.
	unprovenUntil time.Time
	// mayHaveArrived states that a grant may have reached the holder.
	mayHaveArrived bool
	// inheritedUntil is the latest time until which calls under earlier fences of the same holder or its earlier incarnations,
	// whose ranges this fence replaces, may take effect. It becomes zero with the first answer to a grant, because the holder
	// then refuses lower fences; if the answer may have been that to an earlier order, unprovenUntil lasts as long.
	inheritedUntil time.Time
	// grantsInFlight is the number of grants in flight. A release waits until it is 0: a renewal of the whole range that
	// arrives after the range was split would give the released subrange back to the holder.
	grantsInFlight int
}

// uncertaintyEnd returns the latest time until which a call may take effect that got no answer of its own for certain.
func (lea *lease) uncertaintyEnd() time.Time {
	return later(lea.unansweredEnd(), lea.unprovenUntil)
}

// unansweredEnd returns the latest time until which a call that got no answer may take effect.
func (lea *lease) unansweredEnd() time.Time { return later(lea.uncertainUntil, lea.inheritedUntil) }

// expired reports whether the holder can no longer hold any keys under this fence. It is false while a grant is in flight,
// because that may still arrive.
func (lea *lease) expired(now time.Time) bool {
	return lea.grantsInFlight == 0 && now.After(lea.expiry)
}

// latestExpiry returns the latest time until which an upstream may hold a range if the last call to it ended at the given
// time.
func (kee *Keeper) latestExpiry(end time.Time) time.Time {
	return end.Add(kee.cfg.Hold + kee.cfg.Hold*driftPercent/100 + arrivalSlack)
}

// lease returns the lease of the fence of a range, and creates it when the keeper sees the fence for the first time.
func (kee *Keeper) lease(now time.Time, ran *fpstate.Range) *lease {
	fence := ran.GetFence()
	lea := kee.leases[fence]
	if lea != nil {
		return lea
	}
	lea = &lease{
		firstSeen: now,
		expiry:    kee.latestExpiry(now),
	}
	if ran.GetPhase() != fpstate.Phase_PHASE_GRANTING {
		// The holder still holds its keys under the fences of the ranges that this one replaces.
		lea.mayHaveArrived = true
		lea.inheritedUntil = lea.expiry
	}
	if until := kee.heldBefore(now, ran); !until.IsZero() {
		lea.mayHaveArrived = true
		lea.inheritedUntil = later(lea.inheritedUntil, until)
	}
	if fence <= kee.previousMaxFence {
		lea.expiry = kee.latestExpiry(kee.start)
		lea.uncertainUntil = lea.expiry
		lea.mayHaveArrived = true
		lea.inheritedUntil = time.Time{}
	}
	kee.leases[fence] = lea
	return lea
}

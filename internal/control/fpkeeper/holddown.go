package fpkeeper

import (
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// minHoldDown and maxHoldDown bound how long an upstream gets no keys after it lost some because it answered no grants.
	// The minimum is the hold time, which is how long the keys of the next attempt have no owner if that fails, too.
	minHoldDown = DefaultHold
	maxHoldDown = 4 * DefaultHold
)

// holdDown is the period in which an upstream gets no keys because it answered no grants and lost its keys.
type holdDown struct {
	until        time.Time
	nextDuration time.Duration // of the next hold-down
}

// startHoldDown starts a hold-down of the upstream that holds a range. Each one is twice as long as the one before, up to
// maxHoldDown.
func (kee *Keeper) startHoldDown(now time.Time, ran *fpstate.Range) {
	inc := incarnationOf(ran)
	hod := kee.holdDowns[inc]
	if hod == nil {
		hod = &holdDown{
			nextDuration: minHoldDown,
		}
		kee.holdDowns[inc] = hod
	}
	if now.Before(hod.until) {
		return // the upstream lost several ranges at once
	}
	hod.until = now.Add(hod.nextDuration)
	hod.nextDuration = min(maxHoldDown, 2*hod.nextDuration)
}

// canTakeKeys reports whether an upstream may get keys: it is not leaving, allLeasesExpiring is false for it, and it is not
// in a hold-down.
func (kee *Keeper) canTakeKeys(now time.Time, usg *usage) bool {
	if usg.ups.GetLeaving() || kee.allLeasesExpiring(now, usg) {
		return false
	}
	return !kee.inHoldDown(now, incarnation{
		id:   usg.ups.GetId(),
		born: usg.ups.GetBorn(),
	})
}

func (kee *Keeper) inHoldDown(now time.Time, inc incarnation) bool {
	hod := kee.holdDowns[inc]
	return hod != nil && now.Before(hod.until)
}

package fpkeeper

import (
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// pendingChange is the last change of a service, of which it is not known yet whether the view shows it.
type pendingChange struct {
	since time.Time // when Plan returned the change
	steps []pendingStep
	// leases are those of the fences that the change replaces at the same holder, or that its earlier incarnations had.
	leases []*lease
	// known states that the outcome is known.
	known bool
	// retryAt is when the service may be planned again after the change was not committed.
	retryAt time.Time
}

// pendingStep is the change of one range.
type pendingStep struct {
	first, last uint32
	keepsHolder bool
	keepsFence  bool
	replaced    []uint64 // fences of the ranges that it replaces
}

// settled reports whether the service may be planned again: the outcome of the change is known, and no grant under a fence that
// it replaces is in flight. Such a grant could arrive after the view shows the new fence, whose lease begins with the view.
func (pen *pendingChange) settled(now time.Time) bool {
	if !pen.known || now.Before(pen.retryAt) {
		return false
	}
	for _, lea := range pen.leases {
		if lea.grantsInFlight > 0 {
			return false
		}
	}
	return true
}

// permits reports whether an order for a range may be sent: the change does not touch the range, or the order renews the grant of
// a holder that stays the same. If that one gets a new fence, its renewals wait for up to renewal, because those in flight would
// delay the next change. A view that shows the new fence before the outcome is known permits none: the lease of the new fence
// has to begin after the end of these renewals.
func (pen *pendingChange) permits(now time.Time, act Action, ran *fpstate.Range, renewal time.Duration) bool {
	for _, ste := range pen.steps {
		if ran.GetFirst() > ste.last || ran.GetLast() < ste.first {
			continue
		}
		early := !ste.keepsFence && now.Sub(pen.since) < renewal
		if pen.known || act != Grant || !ste.keepsHolder || early || !slices.Contains(ste.replaced, ran.GetFence()) {
			return false
		}
	}
	return true
}

// startPending records a change that Plan returns.
func (kee *Keeper) startPending(now time.Time, vie View, cha Change) {
	pen := &pendingChange{
		since: now,
	}
	for _, ste := range cha.steps {
		keepsID, keepsHolder, keepsFence := true, true, ste.Range.GetFence() != 0
		var leases []*lease
		var fences []uint64
		for _, ran := range vie.Ranges {
			if ran.GetFirst() > ste.Range.GetLast() || ran.GetLast() < ste.Range.GetFirst() {
				continue
			}
			keepsID = keepsID && ran.GetUpstream() == ste.Range.GetUpstream()
			keepsHolder = keepsHolder && keepsID && ran.GetBorn() == ste.Range.GetBorn()
			leases = append(leases, kee.lease(now, ran))
			fences = append(fences, ran.GetFence())
		}
		if keepsID && !keepsFence {
			pen.leases = append(pen.leases, leases...)
		}
		pen.steps = append(pen.steps, pendingStep{
			first:       ste.Range.GetFirst(),
			last:        ste.Range.GetLast(),
			keepsHolder: keepsHolder,
			keepsFence:  keepsFence,
			replaced:    fences,
		})
	}
	kee.pending[vie.Service] = pen
}

// HandleCommit records the outcome of the last change of a service that Plan returned: the ranges of the next view show it, or
// it will never be committed. While the outcome is open, it must not be called.
func (kee *Keeper) HandleCommit(now time.Time, service string, committed bool) {
	pen := kee.pending[service]
	if pen == nil {
		return
	}
	pen.known = true
	if !committed {
		pen.retryAt = now.Add(retryBackoff)
	}
}

// planOrders returns the orders that are due while a change of the service is pending: renewals, first grants and releases
// that the change permits.
func (kee *Keeper) planOrders(now time.Time, vie View, pen *pendingChange) []Order {
	var orders []Order
	var renewals []dueGrant
	for _, ran := range vie.Ranges {
		holder := kee.holder(vie, ran)
		act := Grant
		if ran.GetPhase() == fpstate.Phase_PHASE_RELEASING {
			act = Release
		}
		ended := kee.addressTaken(vie, ran, holder) || canSucceed(vie.Service, successorOf(vie, ran, holder))
		if holder == nil || ended || !pen.permits(now, act, ran, kee.cfg.Renewal) {
			continue
		}
		tas := kee.task(now, vie.Service, ran)
		switch {
		case act == Release:
			if !kee.shouldCancelMove(now, vie, ran, holder) {
				orders = kee.releaseOrder(now, vie.Service, ran, tas, holder, orders)
			}
		case kee.lostHolder(now, vie.Service, ran, tas) || holder.GetLeaving() || holder.GetGone() || kee.withholds(now, vie, ran, holder):
		default:
			renewals = kee.appendRenewal(now, vie, ran, tas, holder, renewals)
		}
	}
	return kee.grantOrders(now, vie, renewals, orders)
}

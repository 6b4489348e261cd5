package fpkeeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// An excluded upstream runs and answers orders, but must hold no keys: its region is not one of those for the keys of the service, or
// its data centre is evacuated. Its ranges are released with a handover as ranges that are moved for their load are, all at once.
// While there is no upstream that is not excluded, released ranges stay without a holder.

// excludes reports whether an upstream, which may be nil, must hold no keys.
func (vie View) excludes(ups *fpstate.Upstream) bool {
	return vie.Excluded != nil && ups != nil && vie.Excluded(ups)
}

// available reports whether an upstream may get keys as far as the view tells.
func (vie View) available(ups *fpstate.Upstream) bool { return !ups.GetLeaving() && !vie.excludes(ups) }

// anyAvailable reports whether any upstream may get keys.
func (vie View) anyAvailable() bool { return slices.ContainsFunc(vie.Upstreams, vie.available) }

// evict returns ranges to be committed for a range whose holder is excluded: none if nothing can be done now. A range that the holder
// can't have got is assigned to others. One that it serves is released, or gets a new fence first if a grant without an answer of its own
// may still take effect. A holder that has not answered under the newest fence gets no other one, which would only delay the end of its
// hold.
func (kee *Keeper) evict(now time.Time, vie View, ran *fpstate.Range) []*fpstate.Range {
	lea := kee.lease(now, ran)
	switch {
	case kee.neverHeld(now, vie.Service, ran) || lea.expired(now):
		return kee.assign(now, vie, ran, "")
	case ran.GetPhase() != fpstate.Phase_PHASE_SERVING || kee.preparedMoveOf(vie.Service, ran) != nil || kee.mayHaveLostRelease(now, vie.Service, ran):
		return nil
	case !now.Before(lea.uncertaintyEnd()):
		return []*fpstate.Range{kee.release(vie.Service, ran)}
	case !now.Before(lea.unansweredEnd()) || kee.canRefence(now, vie, ran):
		return []*fpstate.Range{kee.prepareMove(vie.Service, ran, "")}
	default:
		return nil
	}
}

// withholds reports whether the holder of a range gets no grants of it because it is excluded and doesn't hold the range.
func (kee *Keeper) withholds(now time.Time, vie View, ran *fpstate.Range, holder *fpstate.Upstream) bool {
	return vie.excludes(holder) && (kee.neverHeld(now, vie.Service, ran) || kee.lease(now, ran).expired(now))
}

// neverHeld reports whether no grant of a range can have reached its holder, and it doesn't work on the keys from before.
func (kee *Keeper) neverHeld(now time.Time, service string, ran *fpstate.Range) bool {
	lea := kee.lease(now, ran)
	return !lea.mayHaveArrived && lea.grantsInFlight == 0 && !kee.mayHaveLostRelease(now, service, ran)
}

// assignment holds the usages of the upstreams for the assignments of one plan, so that each one counts for the next. It is used if
// upstreams can be excluded, because many ranges are then assigned at once.
type assignment struct {
	usages []*usage
}

// assignableUsages returns the usages on which an assignment is based.
func (kee *Keeper) assignableUsages(now time.Time, vie View) []*usage {
	if vie.Excluded == nil {
		return kee.usages(now, vie)
	}
	if kee.assignment.usages == nil {
		kee.assignment.usages = kee.usages(now, vie)
	}
	return slices.Clone(kee.assignment.usages)
}

// recordAssigned counts the load of assigned ranges at their new holders for the other assignments of the same plan.
func (kee *Keeper) recordAssigned(service string, assigned []*fpstate.Range) {
	for _, usg := range kee.assignment.usages {
		for _, ran := range assigned {
			if ran.GetUpstream() == usg.ups.GetId() {
				usg.rate += kee.Load(service).rangeRate(ran.GetFirst(), ran.GetLast())
				usg.incoming++
			}
		}
	}
}

// compareUsage orders upstreams by their utilization. If upstreams can be excluded, those without load are ordered by their ranges.
func compareUsage(vie View, one, other *usage) int {
	order := cmp.Compare(one.utilization(), other.utilization())
	if order == 0 && vie.Excluded != nil {
		return cmp.Compare(len(one.ranges)+one.incoming, len(other.ranges)+other.incoming)
	}
	return order
}

package fpkeeper

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// incarnation identifies one incarnation of an upstream.
type incarnation struct {
	id   string
	born uint64 // Unix time in milliseconds at which the process started
}

// incarnationOf returns the holder of a range.
func incarnationOf(ran *fpstate.Range) incarnation {
	return incarnation{
		id:   ran.GetUpstream(),
		born: ran.GetBorn(),
	}
}

// succession is a range that went to the next incarnation of its holder, with the lease under which that one may hold it already.
type succession struct {
	ran *fpstate.Range
	lea *lease
}

// holder returns the incarnation that holds a range as it was last announced, or nil if it is unknown, and remembers it. If a later one is
// known under its id, the result is marked as gone, because it gets no more grants.
func (kee *Keeper) holder(vie View, ran *fpstate.Range) *fpstate.Upstream {
	inc := incarnationOf(ran)
	newest := vie.Lookup(ran.GetUpstream())
	if newest != nil && newest.GetBorn() == ran.GetBorn() {
		kee.holders[inc] = newest
		return newest
	}
	last := kee.holders[inc]
	if last == nil || last.GetGone() {
		return last
	}
	last = proto.CloneOf(last)
	last.Gone = true
	kee.holders[inc] = last
	return last
}

// RecordEnded records that an incarnation has ended, because another upstream answers at its address.
func (kee *Keeper) RecordEnded(ups *fpstate.Upstream) {
	kee.misdirected[incarnation{
		id:   ups.GetId(),
		born: ups.GetBorn(),
	}] = true
}

// addressTaken reports whether the incarnation that holds a range has ended because a later one has its address under another id, and
// has answered there for itself. holder is the result of Keeper.holder. The later one holds none of the keys, because it refuses all
// orders for another id.
func (kee *Keeper) addressTaken(vie View, ran *fpstate.Range, holder *fpstate.Upstream) bool {
	if holder == nil || !kee.misdirected[incarnationOf(ran)] {
		return false
	}
	other := vie.AtAddress(holder.GetAddress())
	return other != nil && other.GetId() != ran.GetUpstream() && other.GetBorn() > ran.GetBorn()
}

// successorOf returns a later incarnation that has the id and the address of the one that holds a range, which has therefore ended, or nil.
// The later one may hold the keys, too: grants that were sent before it was known may have reached it. A later incarnation at
// another address proves nothing, because both may run. holder is the result of Keeper.holder.
func successorOf(vie View, ran *fpstate.Range, holder *fpstate.Upstream) *fpstate.Upstream {
	newest := vie.Lookup(ran.GetUpstream())
	if holder == nil || newest.GetBorn() <= ran.GetBorn() || newest.GetAddress() != holder.GetAddress() {
		return nil
	}
	return newest
}

// canSucceed reports whether an incarnation, which may be nil, can take keys of a service from the one that it succeeds.
func canSucceed(service string, successor *fpstate.Upstream) bool {
	return successor != nil && successor.GetService() == service && !successor.GetLeaving() && !successor.GetGone()
}

// InheritHolder makes known an incarnation that may hold ranges and under whose id a later one is known.
func (kee *Keeper) InheritHolder(former *fpstate.Upstream) {
	last := proto.CloneOf(former)
	last.Gone = true
	kee.holders[incarnation{
		id:   last.GetId(),
		born: last.GetBorn(),
	}] = last
}

// recordSuccession records that a range, whose task is given, goes to the next incarnation of its holder. An order in flight may reach that
// one.
func (kee *Keeper) recordSuccession(now time.Time, service string, ran *fpstate.Range, tas *task) {
	if tas.inFlight && ran.GetPhase() == fpstate.Phase_PHASE_RELEASING {
		kee.recordLostRelease(now, now, service, ran)
	}
	lea := kee.lease(now, ran)
	left := slices.DeleteFunc(kee.successions[ran.GetUpstream()], func(one succession) bool { return one.lea.expired(now) })
	kee.successions[ran.GetUpstream()] = append(left, succession{
		ran: ran,
		lea: lea,
	})
}

// heldBefore returns until when the holder of a range may hold its keys under fences that were granted to its earlier incarnations, or
// the zero time.
func (kee *Keeper) heldBefore(now time.Time, ran *fpstate.Range) time.Time {
	var until time.Time
	for _, one := range kee.successions[ran.GetUpstream()] {
		overlaps := one.ran.GetFirst() <= ran.GetLast() && one.ran.GetLast() >= ran.GetFirst()
		if overlaps && one.lea.mayHaveArrived && !one.lea.expired(now) {
			until = later(until, one.lea.expiry)
		}
	}
	return until
}

package fpkeeper

import (
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// silentAfter is the time without a sign of life after which an upstream counts as silent. An announcement, of which there is one
	// each second, may take another second through another control VM, and one or two of them may get lost.
	silentAfter = 4 * time.Second
	// searchInterval is the minimum time between two searches for another holder of a range after none was likelier to serve it.
	searchInterval = rebalanceInterval
)

// likelihood ranks upstreams by how likely it is that they will serve keys that they get. A higher one is likelier.
type likelihood int

const (
	// heldDownSilent and heldDown are the likelihoods of upstreams for which canTakeKeys is false, without and with a sign of life.
	heldDownSilent likelihood = iota
	heldDown
	// silent is the likelihood of an upstream that can take keys as far as is known, but gives no sign of life.
	silent
	expected
)

// recordUpstreams records which incarnations a view shows. One that is new, or that a new leader doesn't know yet, is not silent at once,
// because its announcements may still be on their way through another control VM.
func (kee *Keeper) recordUpstreams(now time.Time, vie View) {
	for _, ups := range vie.Upstreams {
		inc := incarnation{
			id:   ups.GetId(),
			born: ups.GetBorn(),
		}
		if kee.signsOfLife[inc].IsZero() {
			kee.signsOfLife[inc] = now
		}
	}
}

// isSilent reports whether an upstream has neither announced itself nor answered an order for silentAfter. It is false where the view
// doesn't tell who has announced itself.
func (kee *Keeper) isSilent(now time.Time, vie View, ups *fpstate.Upstream) bool {
	if vie.LastSeen == nil {
		return false
	}
	answered := kee.signsOfLife[incarnation{
		id:   ups.GetId(),
		born: ups.GetBorn(),
	}]
	return now.Sub(later(answered, vie.LastSeen(ups))) >= silentAfter
}

func (kee *Keeper) likelihood(now time.Time, vie View, usg *usage) likelihood {
	takes, quiet := kee.canTakeKeys(now, usg) && !vie.excludes(usg.ups), kee.isSilent(now, vie, usg.ups)
	switch {
	case takes && !quiet:
		return expected
	case takes:
		return silent
	case !quiet:
		return heldDown
	}
	return heldDownSilent
}

// likeliestHolders returns the upstreams other than the holder of a range that are likeliest to serve it, with their likelihood. When none
// can take keys, for example because none answers grants, any of them is better than no holder.
func (kee *Keeper) likeliestHolders(now time.Time, vie View, ran *fpstate.Range) ([]*usage, likelihood) {
	if !vie.anyAvailable() {
		return nil, heldDownSilent
	}
	all := slices.DeleteFunc(kee.assignableUsages(now, vie), func(usg *usage) bool {
		return !vie.available(usg.ups) || usg.ups.GetId() == ran.GetUpstream() && usg.ups.GetBorn() == ran.GetBorn()
	})
	best := heldDownSilent
	for _, usg := range all {
		best = max(best, kee.likelihood(now, vie, usg))
	}
	return slices.DeleteFunc(all, func(usg *usage) bool { return kee.likelihood(now, vie, usg) < best }), best
}

// giveUpHolder begins a hold-down of the holder that lost a range, which may be nil, and reports whether the range goes to another upstream.
// While none is likelier to serve it, the range would only go round among upstreams that have ended. It then stays, and its holder gets
// grants again as soon as it is back.
func (kee *Keeper) giveUpHolder(now time.Time, vie View, ran *fpstate.Range, tas *task, holder *fpstate.Upstream) bool {
	kee.startHoldDown(now, ran)
	if holder == nil || holder.GetLeaving() || holder.GetGone() || vie.excludes(holder) {
		return true
	}
	if now.Before(tas.nextSearch) {
		return false
	}
	own := heldDown
	if kee.isSilent(now, vie, holder) {
		own = heldDownSilent
	}
	_, best := kee.likeliestHolders(now, vie, ran)
	if best <= own {
		tas.nextSearch = now.Add(searchInterval)
	}
	return best > own
}

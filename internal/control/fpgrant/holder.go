package fpgrant

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
)

// holder is what the leader knows of one upstream name. The fields down to lastAnnounced describe the name, the others its
// newest incarnation.
type holder struct {
	name string
	// leaseEnd is the time after which no incarnation of the name holds a lease from this or an earlier term.
	leaseEnd time.Time
	// otherLeaseEnd is the time after which no other incarnation holds a lease. Until then the newest one gets none, unless
	// proven is set.
	otherLeaseEnd time.Time
	leaseGranted  bool    // in this term
	load          float64 // sum of the weights of the owned slots and of those that undecided proposals assign
	lastAnnounced time.Time

	upstream       *fpcontract.Upstream // nil until announced
	published      *fpcontract.Upstream // as in the list that entry VMs get; nil: not in the list
	returnedAt     time.Time            // of the last restart or return after a silence; the hold-down begins then
	hasReturned    bool                 // returnedAt is set
	lastAnswer     time.Time
	lastGrant      time.Time
	awaitingAnswer bool   // to the last grant
	sentVersion    uint64 // of the set in the last grant with a lease
	token          uint64 // the latest from an answer to a grant; 0: none
	tokenReceived  time.Time
	proven         bool // reported a lease that an earlier leader had granted
	// hasStale states that the name may have stale slots, which an earlier incarnation may still serve. staleUnfenced states
	// that one of the earlier incarnations checks no fences.
	hasStale      bool
	staleUnfenced bool
	// ownershipUncertain states that another incarnation may hold slots of the name by a grant of an earlier leader.
	// The first answer to a grant decides.
	ownershipUncertain bool
	// ownsStale states that stale slots may still be in the state owned.
	ownsStale bool

	setVersion       uint64 // of the set of slots that the upstream is to serve
	confirmedVersion uint64 // of the set that the upstream confirmed; 0: unknown
	// setLog holds the changes of the set from setLogBase to setVersion, one for each version.
	setLog     []setChange
	setLogBase uint64
	// releases are the cells at stageOwner, with the first version of the set that lacks them.
	releases []release
}

// setChange is the addition or removal of a cell in a set of slots.
type setChange struct {
	ref   uint32
	added bool
}

// release is a cell that waits for its old owner to confirm a version of the set that lacks it.
type release struct {
	ref     uint32
	version uint64
}

// firstVersion returns the version of the empty set of the term. The upper 32 bits of a version are the term, so that a
// version granted by an earlier leader is never taken for one of this term.
func (kee *Keeper) firstVersion() uint64 { return kee.cfg.Term<<32 | 1 }

// ofThisTerm reports whether a set version was granted in this term.
func (kee *Keeper) ofThisTerm(version uint64) bool {
	return version>>32 == kee.cfg.Term&(1<<32-1) && version != 0
}

// holder returns the record of a name, which it creates if needed. An earlier leader may have granted the name a lease until
// the election of this one, so a new record counts a full lease from the election.
func (kee *Keeper) holder(name string) *holder {
	if hol := kee.holders[name]; hol != nil {
		return hol
	}
	end := kee.cfg.Elected.Add(kee.withDrift(kee.cfg.Lease))
	hol := &holder{
		name:          name,
		leaseEnd:      end,
		otherLeaseEnd: end,
		setVersion:    kee.firstVersion(),
		setLogBase:    kee.firstVersion(),
	}
	kee.holders[name] = hol
	kee.order = append(kee.order, hol)
	return hol
}

// Announce records an upstream's announcement and reports whether a tick is useful now. An announcement of an older
// incarnation than the newest known one is ignored. Its token is not used: a lease is granted only on a token from an answer
// to a Grant, which shows that grants reach the upstream.
func (kee *Keeper) Announce(now time.Time, ann *fpcontract.AnnounceRequest) bool {
	kee.syncTable()
	ups := ann.GetUpstream()
	hol := kee.holder(ups.GetName())
	if hol.upstream == nil {
		hol.lastAnnounced = now
		hol.upstream = ups
		hol.ownershipUncertain = !ups.GetChecksFence() && kee.cfg.Table.CountOwned(hol.name) > 0
		hol.staleUnfenced = hol.ownershipUncertain
		kee.publish(hol)
		return true
	}
	switch {
	case ups.GetIncarnation() < hol.upstream.GetIncarnation():
		return false
	case ups.GetIncarnation() > hol.upstream.GetIncarnation():
		hol.lastAnnounced = now
		kee.replaceIncarnation(now, hol, ups)
		return true
	}
	hol.lastAnnounced = now
	if hol.published != nil && proto.Equal(ups, hol.upstream) {
		return false
	}
	hol.upstream = ups
	kee.publish(hol)
	return true
}

// replaceIncarnation sets a newer incarnation of a holder. The slots of the earlier one become stale: they go through a whole
// move back to the same name, so that requests that still run on the earlier process end before the new one serves them. If
// the earlier incarnation was neither granted a lease nor answered in this term, it may not be the one that held the slots;
// then the first answer of the new one decides.
func (kee *Keeper) replaceIncarnation(now time.Time, hol *holder, ups *fpcontract.Upstream) {
	contacted := hol.leaseGranted || !hol.lastAnswer.IsZero()
	*hol = holder{
		name:          hol.name,
		leaseEnd:      hol.leaseEnd,
		otherLeaseEnd: hol.leaseEnd,
		leaseGranted:  hol.leaseGranted,
		load:          hol.load,
		lastAnnounced: now,
		upstream:      ups,
		published:     hol.published,
		returnedAt:    now,
		hasReturned:   true,
		hasStale:      hol.hasStale,
		staleUnfenced: hol.staleUnfenced || !hol.upstream.GetChecksFence(),
		setVersion:    hol.setVersion + 1,
		setLogBase:    hol.setVersion + 1,
		releases:      hol.releases,
	}
	if contacted {
		kee.markStale(hol)
	} else {
		hol.ownershipUncertain = kee.cfg.Table.CountOwned(hol.name) > 0
	}
	if hol.ownershipUncertain && hol.staleUnfenced && hol.published != nil {
		hol.published = nil
		kee.registryVersion++
	}
	kee.publish(hol)
}

// markStale marks the slots of a name as held by an earlier incarnation.
func (kee *Keeper) markStale(hol *holder) {
	kee.cfg.Table.eachOwned(hol.name, func(ref uint32) { kee.stages[ref] |= flagStale })
	hol.hasStale = true
	hol.ownsStale = true
}

// publish updates the upstream in the list for entry VMs. After a restart of an upstream that checks no fence, entry VMs get
// the new address only once no request can run on the earlier incarnation, because they would send requests for its slots
// to the new address.
func (kee *Keeper) publish(hol *holder) {
	if hol.published == hol.upstream || hol.ownershipUncertain && hol.staleUnfenced {
		return
	}
	if hol.staleUnfenced && kee.staleInUse(hol) {
		if !hol.proven {
			return
		}
	} else {
		hol.staleUnfenced = false
	}
	hol.published = hol.upstream
	kee.registryVersion++
}

// staleInUse reports whether requests may still run on an earlier incarnation for a stale slot.
func (kee *Keeper) staleInUse(hol *holder) bool {
	found := false
	kee.cfg.Table.eachOwned(hol.name, func(ref uint32) {
		sta := kee.stages[ref]
		found = found || sta&flagStale != 0 && sta.step() != stageReady
	})
	return found
}

// recordChange records that a cell enters or leaves the set that the upstream is to serve, and returns the new version.
func (hol *holder) recordChange(ref uint32, added bool) uint64 {
	hol.setVersion++
	hol.setLog = append(hol.setLog, setChange{
		ref:   ref,
		added: added,
	})
	if len(hol.setLog) > maxSetLog {
		hol.resetLog()
	}
	return hol.setVersion
}

// resetLog drops the log of changes, so that the next grant carries the whole set.
func (hol *holder) resetLog() {
	hol.setLog = nil
	hol.setLogBase = hol.setVersion
	hol.confirmedVersion = 0
}

// GrantAnswer records the answer to a Grant, or the error of the call, and reports whether a tick is useful now. The name is
// that of the upstream in GrantCall. An error only ends the wait for the answer. An answer of another incarnation or term
// is ignored.
func (kee *Keeper) GrantAnswer(now time.Time, name string, res *fpcontract.GrantResponse, err error) bool {
	kee.syncTable()
	hol := kee.holders[name]
	if hol == nil || hol.upstream == nil {
		return false
	}
	if err != nil {
		hol.awaitingAnswer = false
		return false
	}
	if res.GetIncarnation() != hol.upstream.GetIncarnation() || res.GetTerm() != kee.cfg.Term {
		return false
	}
	first := hol.lastAnswer.IsZero()
	hol.awaitingAnswer = false
	if !first && now.Sub(hol.lastAnswer) > kee.cfg.Lease {
		hol.returnedAt, hol.hasReturned = now, true
	}
	hol.lastAnswer = now
	if res.GetToken() != 0 {
		hol.token, hol.tokenReceived = res.GetToken(), now
	}
	switch {
	case kee.ofThisTerm(res.GetVersion()):
		kee.confirmVersion(hol, res.GetVersion())
	case res.GetVersion() != 0 && !hol.leaseGranted:
		// The upstream reports a version only while its lease lasts. The lease is from an earlier leader, which granted it
		// only after the leases of all other incarnations had ended.
		hol.proven = true
		hol.confirmedVersion = 0
	default:
		hol.confirmedVersion = 0
	}
	kee.resolveOwnership(hol)
	return first || hol.sentVersion != hol.setVersion || len(hol.releases) > 0
}

// resolveOwnership decides at the first answer of an upstream whether this incarnation holds the slots of its name. If it
// did not report a lease from an earlier leader, its slots are stale and go through a whole move back to the same name.
func (kee *Keeper) resolveOwnership(hol *holder) {
	if !hol.ownershipUncertain {
		return
	}
	hol.ownershipUncertain = false
	if !hol.proven {
		kee.markStale(hol)
	}
	kee.publish(hol)
}

// confirmVersion records the version of the set that the upstream confirmed and drops the changes up to it from the log. A
// version that the log does not cover counts as unknown.
func (kee *Keeper) confirmVersion(hol *holder, version uint64) {
	if version > hol.setVersion || version < hol.setLogBase {
		hol.confirmedVersion = 0
		return
	}
	if version > hol.confirmedVersion {
		hol.confirmedVersion = version
	}
	hol.setLog = hol.setLog[hol.confirmedVersion-hol.setLogBase:]
	hol.setLogBase = hol.confirmedVersion
}

// alive reports whether the upstream answered a grant of this term within the last lease duration.
func (kee *Keeper) alive(now time.Time, hol *holder) bool {
	return hol.upstream != nil && !hol.lastAnswer.IsZero() && now.Sub(hol.lastAnswer) <= kee.cfg.Lease
}

// leaving reports whether the upstream is to get no new slots and to release those that it owns: it drains, an operator
// drains it, or its service is no longer in the configuration. The last case lets the group give up the slots of the service.
func (kee *Keeper) leaving(hol *holder) bool {
	removed := kee.configuration != nil && kee.services[hol.upstream.GetService()] == nil
	return hol.upstream.GetDraining() || kee.drained[hol.name] || removed
}

// available reports whether the upstream is alive, serves the service and is not leaving.
func (kee *Keeper) available(now time.Time, hol *holder, service string) bool {
	return kee.alive(now, hol) && hol.upstream.GetService() == service && !kee.leaving(hol)
}

// eligible reports whether the upstream may get slots of the service now. It must be available and its newest incarnation
// published, because an entry VM that learns of the new owner must get its address in the same answer.
func (kee *Keeper) eligible(now time.Time, hol *holder, service string) bool {
	return kee.available(now, hol, service) && hol.published == hol.upstream
}

// heldDown reports whether the upstream came back too recently for slots to be rebalanced to or from it.
func (kee *Keeper) heldDown(now time.Time, hol *holder) bool {
	return hol.hasReturned && now.Sub(hol.returnedAt) < kee.holdDown(hol.upstream.GetService())
}

// dueGrants returns the grants that are due and lowers next to the time of the next one. A grant is due every quarter of a
// lease, and at once for a changed set, unless an answer is outstanding.
func (kee *Keeper) dueGrants(now time.Time, next *time.Time) []GrantCall {
	var out []GrantCall
	for _, hol := range kee.order {
		if hol.upstream == nil || !kee.keyed(hol.upstream.GetService()) {
			continue
		}
		due := hol.lastGrant.Add(kee.cfg.Lease / 4)
		urgent := hol.sentVersion != hol.setVersion && !hol.awaitingAnswer && kee.mayLease(now, hol)
		if now.Before(due) && !urgent {
			setEarlier(next, due)
			continue
		}
		out = append(out, GrantCall{
			Upstream: hol.upstream,
			Request:  kee.newGrant(now, hol),
		})
		hol.lastGrant = now
		hol.awaitingAnswer = true
		setEarlier(next, now.Add(kee.cfg.Lease/4))
	}
	return out
}

// mayLease reports whether a lease may be granted. This takes a recent token and requires that no lease of another
// incarnation or of an earlier term is in force. An upstream with stale slots in the state owned gets no lease before these
// are releasing, because a lease proves to the next leader that the upstream holds all slots owned by its name.
func (kee *Keeper) mayLease(now time.Time, hol *holder) bool {
	return hol.token != 0 && now.Sub(hol.tokenReceived) < kee.cfg.Lease && !hol.ownershipUncertain && !hol.ownsStale && (hol.proven || now.After(hol.otherLeaseEnd))
}

// newGrant returns the grant for a holder and records its lease. If no lease may be granted, the grant only asks for a token.
func (kee *Keeper) newGrant(now time.Time, hol *holder) *fpcontract.GrantRequest {
	req := &fpcontract.GrantRequest{
		Group:       kee.cfg.Group,
		Term:        kee.cfg.Term,
		Incarnation: hol.upstream.GetIncarnation(),
	}
	if !kee.mayLease(now, hol) {
		return req
	}
	req.Echo = hol.token
	req.Lease = durationpb.New(kee.cfg.Lease)
	req.Version = hol.setVersion
	if hol.confirmedVersion < hol.setLogBase {
		req.Added = kee.fullSet(hol)
	} else {
		req.Base = hol.confirmedVersion
		req.Added, req.Removed = kee.setDelta(hol)
	}
	hol.leaseGranted = true
	hol.sentVersion = hol.setVersion
	if end := hol.tokenReceived.Add(kee.withDrift(kee.cfg.Lease)); end.After(hol.leaseEnd) {
		hol.leaseEnd = end
	}
	return req
}

// mayServe reports whether a cell is in the set that its owner is to serve.
func (kee *Keeper) mayServe(ref uint32) bool {
	sta := kee.stages[ref]
	return sta&flagStale == 0 && sta.step() <= stageVMs
}

// fullSet returns the slots that the holder is to serve.
func (kee *Keeper) fullSet(hol *holder) []*fpcontract.Slot {
	out := make([]*fpcontract.Slot, 0, kee.cfg.Table.ownerOf(hol.name).count)
	kee.cfg.Table.eachOwned(hol.name, func(ref uint32) {
		if kee.mayServe(ref) {
			out = append(out, kee.wireSlot(ref))
		}
	})
	return out
}

// setDelta returns the difference between the confirmed set and the current one. A slot that changed more than once is
// returned once, by its current state.
func (kee *Keeper) setDelta(hol *holder) (added, removed []*fpcontract.Slot) {
	changes := hol.setLog[hol.confirmedVersion-hol.setLogBase:]
	if len(changes) == 0 {
		return nil, nil
	}
	id := kee.cfg.Table.ownerIDs[hol.name]
	done := make(map[uint32]bool, len(changes))
	for _, cha := range changes {
		if done[cha.ref] {
			continue
		}
		done[cha.ref] = true
		if kee.cfg.Table.forgotten(cha.ref) {
			continue
		}
		if id != 0 && kee.cfg.Table.cells[cha.ref].owner == id && kee.mayServe(cha.ref) {
			added = append(added, kee.wireSlot(cha.ref))
		} else {
			removed = append(removed, kee.wireSlot(cha.ref))
		}
	}
	return added, removed
}

func (kee *Keeper) wireSlot(ref uint32) *fpcontract.Slot {
	nam := kee.cfg.Table.name(ref)
	slo := &fpcontract.Slot{
		Service: kee.cfg.Table.services[nam.service].name,
		Number:  nam.number,
		Epoch:   kee.cfg.Table.cells[ref].epoch,
	}
	if nam.key != "" {
		slo.SplitKey = []byte(nam.key)
	}
	return slo
}

// removeSilent removes upstreams that neither announce themselves nor answer from the list for entry VMs. It drops their
// records once they own nothing and have been silent for silentRetention.
func (kee *Keeper) removeSilent(now time.Time) {
	kept := kee.order[:0]
	for _, hol := range kee.order {
		silent := now.Sub(hol.lastAnnounced) > announceTimeout && !kee.alive(now, hol) && now.After(hol.leaseEnd)
		if silent && hol.published != nil {
			hol.published = nil
			kee.registryVersion++
		}
		if silent && now.Sub(hol.lastAnnounced) > silentRetention && len(hol.releases) == 0 && kee.cfg.Table.CountOwned(hol.name) == 0 {
			delete(kee.holders, hol.name)
			continue
		}
		kept = append(kept, hol)
	}
	clear(kee.order[len(kept):])
	kee.order = kept
}

package fpgrant

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// batch holds the cells of one service that one owner began to release with one log entry and that still wait for entry
// VMs.
type batch struct {
	from     string // the owner
	service  string
	released Position // of the log entry
	refs     map[uint32]bool
	// confirmations holds, for each VM that confirmed the release, the cells for which it still has requests in flight, with
	// the latest deadline of these requests. A cell that a VM once reported without requests never gets new ones from it.
	confirmations map[vmKey]map[uint32]time.Time
}

// startMove adds a cell that became releasing to the batch of its owner, service and log entry.
func (kee *Keeper) startMove(ref uint32) {
	tab := kee.cfg.Table
	from := tab.owners[tab.cells[ref].owner].name
	hol := kee.holder(from)
	hol.load -= float64(kee.weight(ref))
	service := kee.serviceOf(ref)
	kee.moving[service]++
	released := tab.position(ref)
	for i := len(kee.batches) - 1; i >= 0; i-- {
		bat := kee.batches[i]
		if bat.from == from && bat.service == service && bat.released == released {
			bat.refs[ref] = true
			return
		}
	}
	kee.batches = append(kee.batches, &batch{
		from:     from,
		service:  service,
		released: released,
		refs: map[uint32]bool{
			ref: true,
		},
		confirmations: map[vmKey]map[uint32]time.Time{},
	})
}

// confirmBatches records what a poll reports on releasing cells: the version of the VM's table, which confirms the releases
// up to it, and the cells that are still busy. It reports whether a tick is useful now.
func (kee *Keeper) confirmBatches(now time.Time, key vmKey, table Position, busy []*fpwire.BusySlot) bool {
	if len(kee.batches) == 0 {
		return false
	}
	ends := make(map[uint32]time.Time, len(busy))
	for _, bus := range busy {
		if ref, ok := kee.cfg.Table.find(bus.GetService(), bus.GetNumber(), string(bus.GetSplitKey())); ok {
			ends[ref] = now.Add(kee.withDrift(bus.GetRemaining().AsDuration()))
		}
	}
	useful := false
	for _, bat := range kee.batches {
		if table.Less(bat.released) {
			continue
		}
		known, confirmed := bat.confirmations[key]
		if !confirmed {
			known = map[uint32]time.Time{}
			for ref, end := range ends {
				if bat.refs[ref] {
					known[ref] = end
				}
			}
			bat.confirmations[key] = known
			useful = true
			continue
		}
		for ref := range known {
			if end, still := ends[ref]; still {
				known[ref] = end
			} else {
				delete(known, ref)
				useful = true
			}
		}
	}
	return useful
}

// hasConfirmed reports whether a VM has confirmed any batch.
func (kee *Keeper) hasConfirmed(key vmKey) bool {
	for _, bat := range kee.batches {
		if _, ok := bat.confirmations[key]; ok {
			return true
		}
	}
	return false
}

// checksFence reports whether the owner refuses requests outside its lease, including earlier incarnations that may still
// hold slots. It returns false for an owner that was not announced in this term.
func (kee *Keeper) checksFence(name string) bool {
	hol := kee.holders[name]
	return hol != nil && hol.upstream.GetChecksFence() && !hol.staleUnfenced
}

// forwardingEnded reports whether no entry VM forwards requests for the batch to the old owner any more. It adds to blocked
// the cells for which requests that were forwarded earlier may still run.
func (kee *Keeper) forwardingEnded(now time.Time, bat *batch, blocked map[uint32]bool) bool {
	ended := func(validEnd time.Time) bool {
		if kee.checksFence(bat.from) {
			return now.After(validEnd)
		}
		return now.After(validEnd.Add(kee.withDrift(kee.maxDeadline(bat.service))))
	}
	if !ended(kee.unknownVMsEnd()) {
		return false
	}
	// An upstream that checks fences stops all requests when its lease ends. A request in flight then blocks nothing, even
	// if the VM cannot learn of its end because the upstream is dead.
	stopped := kee.checksFence(bat.from) && now.After(kee.holder(bat.from).leaseEnd)
	for key, vst := range kee.vms {
		known, confirmed := bat.confirmations[key]
		if !confirmed && !ended(vst.validEnd) {
			return false
		}
		expired := now.After(vst.validEnd)
		for ref, end := range known {
			if stopped || expired && (kee.checksFence(bat.from) || now.After(end)) {
				continue
			}
			blocked[ref] = true
		}
	}
	return true
}

// advanceMoves advances the cells whose wait for the entry VMs or for the old owner has ended. It also forgets old entry VMs
// and publishes the upstreams that may be published now.
func (kee *Keeper) advanceMoves(now time.Time) {
	kept := kee.batches[:0]
	for _, bat := range kee.batches {
		kee.advanceBatch(now, bat)
		if len(bat.refs) > 0 {
			kept = append(kept, bat)
		}
	}
	clear(kee.batches[len(kept):])
	kee.batches = kept
	kee.forgetVMs(now)
	for _, hol := range kee.order {
		if len(hol.releases) > 0 {
			kee.advanceReleases(now, hol)
		}
		if hol.published != hol.upstream && (hol.published != nil || kee.alive(now, hol)) {
			kee.publish(hol)
		}
	}
}

func (kee *Keeper) advanceBatch(now time.Time, bat *batch) {
	for ref := range bat.refs {
		if kee.stages[ref].step() != stageVMs {
			delete(bat.refs, ref)
		}
	}
	blocked := map[uint32]bool{}
	if len(bat.refs) == 0 || !kee.forwardingEnded(now, bat, blocked) {
		return
	}
	hol := kee.holder(bat.from)
	for _, ref := range slices.Sorted(maps.Keys(bat.refs)) {
		if blocked[ref] {
			continue
		}
		kee.stages[ref] = kee.stages[ref]&^stageMask | stageOwner
		hol.releases = append(hol.releases, release{
			ref:     ref,
			version: hol.recordChange(ref, false),
		})
		delete(bat.refs, ref)
	}
}

// advanceReleases makes those cells ready that the old owner has confirmed to have released, or whose lease has expired.
func (kee *Keeper) advanceReleases(now time.Time, hol *holder) {
	kept := hol.releases[:0]
	for _, rel := range hol.releases {
		sta := kee.stages[rel.ref]
		if sta.step() != stageOwner {
			continue
		}
		confirmed := hol.confirmedVersion >= rel.version
		expired := now.After(hol.leaseEnd) || sta&flagStale != 0 && now.After(hol.otherLeaseEnd)
		if !confirmed && !expired {
			kept = append(kept, rel)
			continue
		}
		kee.stages[rel.ref] = sta&^stageMask | stageReady
		kee.ready = append(kee.ready, rel.ref)
	}
	hol.releases = kept
}

// releaseUnavailable begins to move the slots of upstreams whose lease has expired, that restarted, or that are leaving.
func (kee *Keeper) releaseUnavailable(now time.Time) {
	for _, hol := range kee.order {
		lost := now.After(hol.leaseEnd) && !kee.alive(now, hol) && kee.discoveryEnded(now, hol)
		leaving := hol.upstream != nil && kee.leaving(hol)
		if !lost && !leaving && !hol.hasStale || kee.proposalsFull() {
			continue
		}
		hadStale, ownedStale := hol.hasStale, hol.ownsStale
		hol.hasStale, hol.ownsStale = false, false
		kee.cfg.Table.eachOwned(hol.name, func(ref uint32) {
			if kee.proposalsFull() {
				hol.hasStale, hol.ownsStale = hadStale, ownedStale
				return
			}
			sta := kee.stages[ref]
			stale := sta&flagStale != 0
			hol.hasStale = hol.hasStale || stale
			hol.ownsStale = hol.ownsStale || stale && kee.cfg.Table.cells[ref].state == stateOwned
			switch {
			case kee.cfg.Table.cells[ref].state != stateOwned || sta&flagPending != 0:
			case stale:
				kee.proposeRelease(ref, hol.name)
			case lost || leaving:
				kee.proposeRelease(ref, "")
			}
		})
	}
}

// discoveryEnded reports whether the upstream was announced or has had the time to be, if this VM began to receive
// announcements only recently.
func (kee *Keeper) discoveryEnded(now time.Time, hol *holder) bool {
	return hol.upstream != nil || now.Sub(kee.cfg.AnnouncementsSince) > discoveryWindow
}

// proposeRelease proposes the state releasing for an owned cell and reports whether the proposal was accepted. The target is
// the next owner, or "" if undecided.
func (kee *Keeper) proposeRelease(ref uint32, target string) bool {
	ent := kee.cfg.Table.entry(ref)
	ent.State = fpwire.SlotState_SLOT_STATE_RELEASING
	ent.Target = target
	return kee.propose(ref, ent)
}

// propose adds an update of a cell to the next command. It returns false if too many cells are in undecided proposals.
func (kee *Keeper) propose(ref uint32, ent *fpwire.SlotEntry) bool {
	if kee.proposalsFull() {
		return false
	}
	last := len(kee.proposals) - 1
	if last < 0 || !kee.proposals[last].sentAt.IsZero() || kee.proposals[last].sealed || len(kee.proposals[last].refs) >= updatesPerCommand {
		kee.proposals = append(kee.proposals, proposal{
			upd: &fpwire.UpdateSlots{},
		})
		last++
	}
	pro := &kee.proposals[last]
	pro.refs = append(pro.refs, ref)
	pro.upd.Updates = append(pro.upd.Updates, kee.update(ref, ent))
	kee.stages[ref] |= flagPending
	kee.pending++
	if ent.GetState() == fpwire.SlotState_SLOT_STATE_OWNED {
		kee.addIncoming(ref, ent.GetOwner())
	}
	return true
}

// proposalsFull reports whether the maximum number of cells is in undecided proposals.
func (kee *Keeper) proposalsFull() bool { return kee.pending >= maxPending }

// addIncoming counts a cell's weight for its future owner while the proposal is undecided.
func (kee *Keeper) addIncoming(ref uint32, name string) {
	kee.incoming[ref] = name
	if hol := kee.holders[name]; hol != nil {
		hol.load += float64(kee.weight(ref))
	}
}

// clearPending ends the wait for a proposal about a cell.
func (kee *Keeper) clearPending(ref uint32) {
	if kee.stages[ref]&flagPending == 0 {
		return
	}
	kee.stages[ref] &^= flagPending
	kee.pending--
	if name, ok := kee.incoming[ref]; ok {
		delete(kee.incoming, ref)
		if hol := kee.holders[name]; hol != nil {
			hol.load -= float64(kee.weight(ref))
		}
	}
}

// retryCells lets the cells of a proposal that was not committed be proposed again.
func (kee *Keeper) retryCells(pro *proposal) {
	for _, ref := range pro.refs {
		if kee.stages[ref]&flagPending == 0 {
			continue
		}
		kee.clearPending(ref)
		switch {
		case kee.cfg.Table.cells[ref].state == stateOwned:
			kee.hot.cancel(ref)
		case kee.stages[ref].step() == stageReady:
			kee.ready = append(kee.ready, ref)
		case kee.cfg.Table.cells[ref].state == stateFree:
			kee.addFree(ref)
		}
	}
}

// expireProposals drops proposals that have been undecided for longer than proposalTimeout and lets their cells be proposed
// again.
func (kee *Keeper) expireProposals(now time.Time) {
	done := 0
	for done < len(kee.proposals) && !kee.proposals[done].sentAt.IsZero() &&
		now.Sub(kee.proposals[done].sentAt) > proposalTimeout {
		kee.retryCells(&kee.proposals[done])
		done++
	}
	kee.proposals = kee.proposals[done:]
}

// takeProposals returns the commands created since the last tick and drops the proposals that are decided.
func (kee *Keeper) takeProposals(now time.Time) []*fpwire.UpdateSlots {
	var out []*fpwire.UpdateSlots
	kept := kee.proposals[:0]
	for _, pro := range kee.proposals {
		if pro.sentAt.IsZero() {
			pro.sentAt = now
			out = append(out, pro.upd)
		}
		if kee.isUndecided(&pro) {
			kept = append(kept, pro)
		}
	}
	clear(kee.proposals[len(kept):])
	kee.proposals = kept
	return out
}

// isUndecided reports whether any cell of the proposal is still undecided.
func (kee *Keeper) isUndecided(pro *proposal) bool {
	for _, ref := range pro.refs {
		if kee.stages[ref]&flagPending != 0 {
			return true
		}
	}
	return false
}

// ProposalFailed tells the Keeper that a proposal from Actions was refused or will not be committed. It need not be called
// for a proposal with an unknown outcome.
func (kee *Keeper) ProposalFailed(upd *fpwire.UpdateSlots) {
	kee.syncTable()
	for i := range kee.proposals {
		if kee.proposals[i].upd == upd {
			kee.retryCells(&kee.proposals[i])
			kee.proposals = append(kee.proposals[:i:i], kee.proposals[i+1:]...)
			return
		}
	}
}

// MoveSlots begins to move slots to an upstream at an operator's request and returns their number. Slots that are not owned,
// already move or belong to the upstream are skipped. The error has the kind NoUpstream if the upstream cannot take slots of
// the service, or InvalidRequest if a slot is not homed in the group; the moves of the slots before it have then begun.
func (kee *Keeper) MoveSlots(now time.Time, service string, numbers []uint32, name string) (int, error) {
	kee.syncTable()
	hol := kee.holders[name]
	if hol == nil || !kee.eligible(now, hol, service) {
		return 0, fperror.New(fperror.NoUpstream, "upstream %q is not eligible for slots of service %s", name, service)
	}
	count := 0
	for _, num := range numbers {
		ref, ok := kee.cfg.Table.find(service, num, "")
		if !ok {
			return count, fperror.New(fperror.InvalidRequest, "slot %d of service %s is not homed in group %s", num, service,
				kee.cfg.Group)
		}
		cel := &kee.cfg.Table.cells[ref]
		if cel.state != stateOwned || kee.stages[ref] != stageNone || kee.cfg.Table.owners[cel.owner].name == name {
			continue
		}
		if kee.proposeRelease(ref, name) {
			count++
		}
	}
	return count, nil
}

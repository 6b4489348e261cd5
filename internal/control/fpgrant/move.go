package fpgrant

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// batch is the cells that one owner began to release with one log entry and that still wait for entry VMs.
type batch struct {
	from     string
	service  string
	released Position
	refs     map[uint32]bool
	// busy holds, for each VM that confirmed the release, the cells with requests in flight and the time at which the
	// latest of these ends. A cell that a VM once reported as idle never becomes busy again.
	busy map[viewerKey]map[uint32]time.Time
}

// startMove puts a cell that became releasing into the batch of its owner and log entry.
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
		busy: map[viewerKey]map[uint32]time.Time{},
	})
}

// clearBatches takes what a poll says about releasing cells.
func (kee *Keeper) clearBatches(now time.Time, key viewerKey, table Position, busy []*fpwire.BusySlot) bool {
	if len(kee.batches) == 0 {
		return false
	}
	ends := make(map[uint32]time.Time, len(busy))
	for _, bus := range busy {
		if ref, ok := kee.cfg.Table.find(bus.GetService(), bus.GetNumber(), string(bus.GetSplitKey())); ok {
			ends[ref] = now.Add(kee.stretch(bus.GetRemaining().AsDuration()))
		}
	}
	useful := false
	for _, bat := range kee.batches {
		if table.Less(bat.released) {
			continue
		}
		known, again := bat.busy[key]
		if !again {
			known = map[uint32]time.Time{}
			for ref, end := range ends {
				if bat.refs[ref] {
					known[ref] = end
				}
			}
			bat.busy[key] = known
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

func (kee *Keeper) inBatches(key viewerKey) bool {
	for _, bat := range kee.batches {
		if _, ok := bat.busy[key]; ok {
			return true
		}
	}
	return false
}

// checks reports whether the owner refuses requests outside its lease. An owner that was never announced in this term is
// taken for one that does not.
func (kee *Keeper) checks(name string) bool {
	hol := kee.holders[name]
	return hol != nil && hol.upstream.GetChecksFence() && !hol.unchecked
}

// viewersDone reports whether no entry VM forwards requests for the batch to the old owner any more, apart from the
// cells that it adds to blocked.
func (kee *Keeper) viewersDone(now time.Time, bat *batch, blocked map[uint32]bool) bool {
	over := func(validEnd time.Time) bool {
		if kee.checks(bat.from) {
			return now.After(validEnd)
		}
		return now.After(validEnd.Add(kee.stretch(kee.maxDeadline(bat.service))))
	}
	if !over(kee.strangersEnd()) {
		return false
	}
	// An upstream that checks fences has stopped every request when its lease ended, so a request in flight on it, whose
	// end the VM cannot learn from a dead upstream, blocks nothing.
	stopped := kee.checks(bat.from) && now.After(kee.holder(bat.from).leaseEnd)
	for key, vie := range kee.viewers {
		known, confirmed := bat.busy[key]
		if !confirmed && !over(vie.validEnd) {
			return false
		}
		silent := now.After(vie.validEnd)
		for ref, end := range known {
			if stopped || silent && (kee.checks(bat.from) || now.After(end)) {
				continue
			}
			blocked[ref] = true
		}
	}
	return true
}

// advanceMoves takes moving cells through steps 2 and 3 of section 7.
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
	kee.forgetViewers(now)
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
		if kee.stages[ref].step() != stageViewers {
			delete(bat.refs, ref)
		}
	}
	blocked := map[uint32]bool{}
	if len(bat.refs) == 0 || !kee.viewersDone(now, bat, blocked) {
		return
	}
	hol := kee.holder(bat.from)
	for _, ref := range slices.Sorted(maps.Keys(bat.refs)) {
		if blocked[ref] {
			continue
		}
		kee.stages[ref] = kee.stages[ref]&^stageMask | stageHolder
		hol.releases = append(hol.releases, release{
			ref:     ref,
			version: hol.change(ref, false),
		})
		delete(bat.refs, ref)
	}
}

// advanceReleases makes cells ready that the old owner has confirmed to have released, or whose lease has expired.
func (kee *Keeper) advanceReleases(now time.Time, hol *holder) {
	kept := hol.releases[:0]
	for _, rel := range hol.releases {
		sta := kee.stages[rel.ref]
		if sta.step() != stageHolder {
			continue
		}
		confirmed := hol.base >= rel.version
		expired := now.After(hol.leaseEnd) || sta&flagForfeit != 0 && now.After(hol.blocked)
		if !confirmed && !expired {
			kept = append(kept, rel)
			continue
		}
		kee.stages[rel.ref] = sta&^stageMask | stageReady
		kee.ready = append(kee.ready, rel.ref)
	}
	hol.releases = kept
}

// releaseLost begins to move the slots of upstreams whose lease has expired, that restarted, or that are leaving.
func (kee *Keeper) releaseLost(now time.Time) {
	for _, hol := range kee.order {
		lost := now.After(hol.leaseEnd) && !kee.alive(now, hol) && kee.relearned(now, hol)
		leaving := hol.upstream != nil && kee.leaving(hol)
		if !lost && !leaving && !hol.forfeited || kee.full() {
			continue
		}
		wasForfeited, wasOwing := hol.forfeited, hol.owing
		hol.forfeited, hol.owing = false, false
		kee.cfg.Table.held(hol.name, func(ref uint32) {
			if kee.full() {
				hol.forfeited, hol.owing = wasForfeited, wasOwing
				return
			}
			sta := kee.stages[ref]
			forfeit := sta&flagForfeit != 0
			hol.forfeited = hol.forfeited || forfeit
			hol.owing = hol.owing || forfeit && kee.cfg.Table.cells[ref].state == stateOwned
			switch {
			case kee.cfg.Table.cells[ref].state != stateOwned || sta&flagPending != 0:
			case forfeit:
				kee.release(ref, hol.name)
			case lost || leaving:
				kee.release(ref, "")
			}
		})
	}
}

// relearned reports whether the upstream has had the time to be heard by a VM that just started.
func (kee *Keeper) relearned(now time.Time, hol *holder) bool {
	return hol.upstream != nil || now.Sub(kee.cfg.HearsSince) > relearn
}

// release proposes the state releasing for an owned cell and reports whether the proposal was taken.
func (kee *Keeper) release(ref uint32, target string) bool {
	ent := kee.cfg.Table.entry(ref)
	ent.State = fpwire.SlotState_SLOT_STATE_RELEASING
	ent.Target = target
	return kee.propose(ref, ent)
}

// propose adds an update to the next commands, unless too many are undecided.
func (kee *Keeper) propose(ref uint32, ent *fpwire.SlotEntry) bool {
	if kee.full() {
		return false
	}
	last := len(kee.requests) - 1
	if last < 0 || !kee.requests[last].at.IsZero() || kee.requests[last].full || len(kee.requests[last].refs) >= updatesPerCommand {
		kee.requests = append(kee.requests, proposal{
			upd: &fpwire.UpdateSlots{},
		})
		last++
	}
	req := &kee.requests[last]
	req.refs = append(req.refs, ref)
	req.upd.Updates = append(req.upd.Updates, kee.update(ref, ent))
	kee.stages[ref] |= flagPending
	kee.pending++
	if ent.GetState() == fpwire.SlotState_SLOT_STATE_OWNED {
		kee.expect(ref, ent.GetOwner())
	}
	return true
}

// full reports whether as many slots are in undecided proposals as may be.
func (kee *Keeper) full() bool { return kee.pending >= maxPending }

// expect counts a cell's weight for its future owner while the proposal is undecided.
func (kee *Keeper) expect(ref uint32, name string) {
	kee.incoming[ref] = name
	if hol := kee.holders[name]; hol != nil {
		hol.load += float64(kee.weight(ref))
	}
}

// settle ends the wait for a proposal about a cell.
func (kee *Keeper) settle(ref uint32) {
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

// retry lets the cells of a proposal that was not committed be proposed again.
func (kee *Keeper) retry(pro *proposal) {
	for _, ref := range pro.refs {
		if kee.stages[ref]&flagPending == 0 {
			continue
		}
		kee.settle(ref)
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

// expireProposals gives up proposals whose outcome is unknown for too long.
func (kee *Keeper) expireProposals(now time.Time) {
	done := 0
	for done < len(kee.requests) && !kee.requests[done].at.IsZero() &&
		now.Sub(kee.requests[done].at) > proposalTimeout {
		kee.retry(&kee.requests[done])
		done++
	}
	kee.requests = kee.requests[done:]
}

// takeProposals returns the commands made since the last tick.
func (kee *Keeper) takeProposals(now time.Time) []*fpwire.UpdateSlots {
	var out []*fpwire.UpdateSlots
	kept := kee.requests[:0]
	for _, req := range kee.requests {
		if req.at.IsZero() {
			req.at = now
			out = append(out, req.upd)
		}
		if kee.open(&req) {
			kept = append(kept, req)
		}
	}
	clear(kee.requests[len(kept):])
	kee.requests = kept
	return out
}

// open reports whether any cell of the proposal is still undecided.
func (kee *Keeper) open(req *proposal) bool {
	for _, ref := range req.refs {
		if kee.stages[ref]&flagPending != 0 {
			return true
		}
	}
	return false
}

// ProposalFailed tells the Keeper that a proposal from Actions was refused or certainly not committed. Proposals with an
// unknown outcome need no call.
func (kee *Keeper) ProposalFailed(upd *fpwire.UpdateSlots) {
	kee.follow()
	for i := range kee.requests {
		if kee.requests[i].upd == upd {
			kee.retry(&kee.requests[i])
			kee.requests = append(kee.requests[:i:i], kee.requests[i+1:]...)
			return
		}
	}
}

// MoveSlots begins to move slots to an upstream, as an operator asked, and returns their number. Slots that move already
// or belong to the upstream are left out. The error has the kind InvalidRequest or NoUpstream.
func (kee *Keeper) MoveSlots(now time.Time, service string, numbers []uint32, name string) (int, error) {
	kee.follow()
	hol := kee.holders[name]
	if hol == nil || !kee.eligible(now, hol, service) {
		return 0, fperror.New(fperror.NoUpstream, "upstream %q cannot take slots of %s", name, service)
	}
	count := 0
	for _, num := range numbers {
		ref, ok := kee.cfg.Table.find(service, num, "")
		if !ok {
			return count, fperror.New(fperror.InvalidRequest, "slot %d of %s is not homed in group %s", num, service,
				kee.cfg.Group)
		}
		cel := &kee.cfg.Table.cells[ref]
		if cel.state != stateOwned || kee.stages[ref] != stageStill || kee.cfg.Table.owners[cel.owner].name == name {
			continue
		}
		if kee.release(ref, name) {
			count++
		}
	}
	return count, nil
}

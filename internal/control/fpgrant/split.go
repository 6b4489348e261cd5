package fpgrant

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

const (
	// splitRatio is the load of a hot key, relative to the mean load of an upstream, from which the key is split out of its
	// slot.
	splitRatio = 0.2
	// mergeRatio is the load, relative to the mean load of an upstream, below which a split key is merged back into its slot.
	// The distance to splitRatio is the hysteresis.
	mergeRatio = 0.02
	// splitRounds and mergeRounds are the numbers of successive measurement rounds that must agree on a split or merge. With
	// rounds of 5 s they last 10 s and 60 s.
	splitRounds = 2
	mergeRounds = 12
	// maxHotCandidates bounds the slots with a hot key that are considered in one round.
	maxHotCandidates = 4096
)

// hotKeys holds the reports of entry VMs on hot keys, and the splits and merges in progress. A split or merge takes its slot
// through a move back to the same owner. While no upstream serves the slot, the key gets its own cell or loses it.
type hotKeys struct {
	candidates map[uint32]*hotKey
	splits     map[uint32]string // slots that are released to split out the key
	merges     map[uint32]uint32 // slots that are released to merge the split cell
	mergeSlots map[uint32]uint32 // split cells that are released for a merge, with their slots
	coldRounds map[uint32]int    // successive rounds in which the load of a split cell was below mergeRatio
}

// hotKey is the key with the most requests of a slot, by the reports of entry VMs.
type hotKey struct {
	key         string
	requests    float64 // for the slot, halved in each round
	hotRequests float64 // for the key less those for other reported keys, halved in each round
	rounds      int     // successive rounds above splitRatio; negative: below
}

func newHotKeys() hotKeys {
	return hotKeys{
		candidates: map[uint32]*hotKey{},
		splits:     map[uint32]string{},
		merges:     map[uint32]uint32{},
		mergeSlots: map[uint32]uint32{},
		coldRounds: map[uint32]int{},
	}
}

// add counts one VM's report on a slot. A report on another key than the current one counts against the current one and
// replaces it once it outweighs it.
func (hot *hotKeys) add(ref uint32, loa *fpwire.SlotLoad) {
	hok := hot.candidates[ref]
	if hok == nil {
		if len(hot.candidates) >= maxHotCandidates {
			return
		}
		hok = &hotKey{}
		hot.candidates[ref] = hok
	}
	hok.requests += float64(loa.GetRequests())
	if hok.key == string(loa.GetHotKey()) {
		hok.hotRequests += float64(loa.GetHotRequests())
		return
	}
	hok.hotRequests -= float64(loa.GetHotRequests())
	if hok.hotRequests < 0 {
		hok.key = string(loa.GetHotKey())
		hok.hotRequests = -hok.hotRequests
		hok.rounds = 0
	}
}

// inProgress reports whether a cell is released for a split or a merge.
func (hot *hotKeys) inProgress(ref uint32) bool {
	_, split := hot.splits[ref]
	_, merge := hot.merges[ref]
	_, merged := hot.mergeSlots[ref]
	return split || merge || merged
}

// finish ends the split or merge of a slot.
func (hot *hotKeys) finish(slot uint32) {
	delete(hot.splits, slot)
	if spl, ok := hot.merges[slot]; ok {
		delete(hot.mergeSlots, spl)
	}
	delete(hot.merges, slot)
}

// cancel ends the split or merge of a slot or split cell.
func (hot *hotKeys) cancel(ref uint32) {
	if slot, ok := hot.mergeSlots[ref]; ok {
		ref = slot
	}
	hot.finish(ref)
}

// splitAndMerge begins to split hot keys out of a service's slots and to merge cold ones, given the service's total load. It
// does nothing with fewer than two eligible upstreams.
func (kee *Keeper) splitAndMerge(now time.Time, id uint32, total float64) {
	service := kee.cfg.Table.services[id].name
	count := 0
	for _, hol := range kee.order {
		if kee.eligible(now, hol, service) {
			count++
		}
	}
	if count < 2 || total <= 0 {
		return
	}
	mean := total / float64(count)
	for _, ref := range kee.hotSlots(id) {
		kee.considerSplit(ref, mean)
	}
	for _, ref := range kee.splitCells(id) {
		kee.considerMerge(ref, mean)
	}
}

// hotSlots returns the cells of a service with a reported hot key, by falling load.
func (kee *Keeper) hotSlots(id uint32) []uint32 {
	var refs []uint32
	for ref := range kee.hot.candidates {
		if kee.cfg.Table.name(ref).service == id {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(kee.loads[b], kee.loads[a]), cmp.Compare(a, b))
	})
	return refs
}

func (kee *Keeper) splitCells(id uint32) []uint32 {
	var refs []uint32
	for nam, ref := range kee.cfg.Table.splits {
		if nam.service == id {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	return refs
}

// considerSplit ends a round for a cell with a reported hot key and begins a split if it is due. The load of an upstream has
// the given mean.
func (kee *Keeper) considerSplit(ref uint32, mean float64) {
	hok := kee.hot.candidates[ref]
	ratio := 0.0
	if hok.requests > 0 {
		ratio = max(hok.hotRequests/hok.requests, 0)
	}
	hok.requests, hok.hotRequests = hok.requests/2, hok.hotRequests/2
	nam := kee.cfg.Table.name(ref)
	if nam.key != "" || kee.isSplit(nam, hok.key) || float64(kee.loads[ref])*ratio < splitRatio*mean {
		hok.rounds--
		if hok.rounds < -splitRounds {
			delete(kee.hot.candidates, ref)
		}
		return
	}
	hok.rounds = max(hok.rounds, 0) + 1
	if hok.rounds < splitRounds || len(kee.cfg.Table.splits)+len(kee.hot.splits) >= MaxSplitKeys || !kee.stable(ref) {
		return
	}
	kee.hot.splits[ref] = hok.key
	delete(kee.hot.candidates, ref)
	kee.proposeRelease(ref, kee.ownerName(ref))
}

// isSplit reports whether the key of a slot is split out already. Entry VMs report such a key until they learn of the split.
func (kee *Keeper) isSplit(slot cellName, key string) bool {
	slot.key = key
	_, found := kee.cfg.Table.splits[slot]
	return found
}

// stable reports whether a cell is owned and does not move.
func (kee *Keeper) stable(ref uint32) bool {
	return kee.cfg.Table.cells[ref].state == stateOwned && kee.stages[ref] == stageNone && !kee.hot.inProgress(ref)
}

// considerMerge ends a round for a split cell and begins a merge if it is due. The load of an upstream has the given mean.
func (kee *Keeper) considerMerge(ref uint32, mean float64) {
	if float64(kee.loads[ref]) >= mergeRatio*mean {
		delete(kee.hot.coldRounds, ref)
		return
	}
	kee.hot.coldRounds[ref]++
	nam := kee.cfg.Table.name(ref)
	slot, ok := kee.cfg.Table.findSlot(nam.service, nam.number)
	if kee.hot.coldRounds[ref] < mergeRounds || !ok || !kee.stable(ref) || !kee.stable(slot) {
		return
	}
	delete(kee.hot.coldRounds, ref)
	kee.hot.merges[slot] = ref
	kee.hot.mergeSlots[ref] = slot
	kee.proposeRelease(ref, kee.ownerName(ref))
	kee.proposeRelease(slot, kee.ownerName(slot))
}

func (kee *Keeper) ownerName(ref uint32) string {
	return kee.cfg.Table.owners[kee.cfg.Table.cells[ref].owner].name
}

// finishSplit proposes the end of a split or merge once its cells are ready, and reports whether the proposal was accepted.
// It is called for each ready cell of the split or merge; the call for the slot proposes for all.
func (kee *Keeper) finishSplit(now time.Time, ref uint32, queue func(string) *loadHeap) bool {
	if slot, ok := kee.hot.mergeSlots[ref]; ok {
		if sta := kee.stages[slot]; sta.step() == stageNone && sta&flagPending == 0 {
			kee.hot.finish(slot)
		}
		return false // the call for the slot proposes for both
	}
	cells := []uint32{ref}
	top := kee.cfg.Table.cells[ref].epoch
	if spl, ok := kee.hot.merges[ref]; ok {
		sta := kee.stages[spl]
		if sta.step() == stageNone && sta&flagPending == 0 {
			kee.hot.finish(ref)
		}
		if sta.step() != stageReady {
			return false
		}
		top = max(top, kee.cfg.Table.cells[spl].epoch)
		cells = append(cells, spl)
	}
	ent := kee.cfg.Table.entry(ref)
	if hol := kee.holders[ent.GetOwner()]; hol == nil || !kee.eligible(now, hol, ent.GetService()) {
		ent.Owner = queue(ent.GetService()).takeLeastLoaded(kee.weight(ref))
	}
	if ent.GetOwner() == "" {
		kee.hot.finish(ref)
		return false
	}
	ent.State = fpwire.SlotState_SLOT_STATE_OWNED
	ent.Epoch = top + 1
	ent.Target = ""
	return kee.proposeSplit(ref, cells, ent)
}

// proposeSplit proposes one command for a slot and the key that is split out of it or merged into it. The slot is the first
// of the cells, followed by the split cell of a merge.
func (kee *Keeper) proposeSplit(ref uint32, cells []uint32, ent *fpwire.SlotEntry) bool {
	if kee.proposalsFull() {
		return false
	}
	upd := &fpwire.UpdateSlots{
		Updates: []*fpwire.SlotUpdate{kee.update(ref, ent)},
	}
	for _, spl := range cells[1:] {
		old := kee.cfg.Table.entry(spl)
		upd.Updates = append(upd.Updates, kee.update(spl, &fpwire.SlotEntry{
			Service:  old.GetService(),
			Number:   old.GetNumber(),
			SplitKey: old.GetSplitKey(),
			Epoch:    old.GetEpoch(),
			Removed:  true,
		}))
	}
	if key, ok := kee.hot.splits[ref]; ok {
		upd.Updates = append(upd.Updates, &fpwire.SlotUpdate{
			Entry: &fpwire.SlotEntry{
				Service:  ent.GetService(),
				Number:   ent.GetNumber(),
				SplitKey: []byte(key),
				Owner:    ent.GetOwner(),
				Epoch:    ent.GetEpoch(),
				State:    ent.GetState(),
			},
		})
	}
	for _, cel := range cells {
		kee.stages[cel] |= flagPending
		kee.pending++
	}
	kee.addIncoming(ref, ent.GetOwner())
	kee.proposals = append(kee.proposals, proposal{
		refs:   cells,
		upd:    upd,
		sealed: true,
	})
	return true
}

// update returns the update of a cell to the given entry. It is refused unless the cell's epoch and state are as now.
func (kee *Keeper) update(ref uint32, ent *fpwire.SlotEntry) *fpwire.SlotUpdate {
	cel := &kee.cfg.Table.cells[ref]
	return &fpwire.SlotUpdate{
		Entry:         ent,
		ExpectedEpoch: cel.epoch,
		ExpectedState: fpwire.SlotState(cel.state),
	}
}

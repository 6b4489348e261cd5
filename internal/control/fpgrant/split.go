package fpgrant

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

const (
	// splitShare is the load of a hot key, as a share of the mean load of an upstream, from which the key is split out.
	splitShare = 0.2
	// mergeShare is the load below which a split key is merged back. The distance to splitShare is the hysteresis.
	mergeShare = 0.02
	// splitRounds and mergeRounds are the successive rounds of measurement that must agree: 10 s and 60 s.
	splitRounds = 2
	mergeRounds = 12
	// hotCandidates bounds the slots with a hot key that are considered in one round.
	hotCandidates = 4096
)

// hotKeys holds what entry VMs report about hot keys, and the splits and merges under way. A split or merge takes its
// slot through a move back to the same owner: while nobody serves the slot, the key changes between slot and entry.
type hotKeys struct {
	seen   map[uint32]*hotKey
	splits map[uint32]string // slots that release in order to split out the key
	merges map[uint32]uint32 // slots that release in order to merge the split cell
	joined map[uint32]uint32 // split cells of merges, with their slots
	cold   map[uint32]int    // rounds for which a split key was cold
}

type hotKey struct {
	key      string
	requests float64
	hot      float64
	rounds   int
}

func newHotKeys() hotKeys {
	return hotKeys{
		seen:   map[uint32]*hotKey{},
		splits: map[uint32]string{},
		merges: map[uint32]uint32{},
		joined: map[uint32]uint32{},
		cold:   map[uint32]int{},
	}
}

// add counts one VM's report on a slot. Reports on another key than the one that leads count against it.
func (hot *hotKeys) add(ref uint32, loa *fpwire.SlotLoad) {
	one := hot.seen[ref]
	if one == nil {
		if len(hot.seen) >= hotCandidates {
			return
		}
		one = &hotKey{}
		hot.seen[ref] = one
	}
	one.requests += float64(loa.GetRequests())
	if one.key == string(loa.GetHotKey()) {
		one.hot += float64(loa.GetHotRequests())
		return
	}
	one.hot -= float64(loa.GetHotRequests())
	if one.hot < 0 {
		one.key = string(loa.GetHotKey())
		one.hot = -one.hot
		one.rounds = 0
	}
}

// active reports whether a cell releases for a split or a merge.
func (hot *hotKeys) active(ref uint32) bool {
	_, split := hot.splits[ref]
	_, merge := hot.merges[ref]
	_, join := hot.joined[ref]
	return split || merge || join
}

func (hot *hotKeys) end(slot uint32) {
	delete(hot.splits, slot)
	if spl, ok := hot.merges[slot]; ok {
		delete(hot.joined, spl)
	}
	delete(hot.merges, slot)
}

// cancel ends the split or merge of a slot or split cell.
func (hot *hotKeys) cancel(ref uint32) {
	if slot, ok := hot.joined[ref]; ok {
		ref = slot
	}
	hot.end(ref)
}

// splitAndMerge begins splits of hot and merges of cold keys of a service, given the service's total load.
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

func (kee *Keeper) hotSlots(id uint32) []uint32 {
	var refs []uint32
	for ref := range kee.hot.seen {
		if kee.cfg.Table.name(ref).service == id {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(kee.weights[b], kee.weights[a]), cmp.Compare(a, b))
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

func (kee *Keeper) considerSplit(ref uint32, mean float64) {
	one := kee.hot.seen[ref]
	share := 0.0
	if one.requests > 0 {
		share = max(one.hot/one.requests, 0)
	}
	one.requests, one.hot = one.requests/2, one.hot/2
	nam := kee.cfg.Table.name(ref)
	if nam.key != "" || kee.isSplit(nam, one.key) || float64(kee.weights[ref])*share < splitShare*mean {
		one.rounds--
		if one.rounds < -splitRounds {
			delete(kee.hot.seen, ref)
		}
		return
	}
	one.rounds = max(one.rounds, 0) + 1
	if one.rounds < splitRounds || len(kee.cfg.Table.splits)+len(kee.hot.splits) >= MaxSplitKeys || !kee.calm(ref) {
		return
	}
	kee.hot.splits[ref] = one.key
	delete(kee.hot.seen, ref)
	kee.release(ref, kee.ownerName(ref))
}

// isSplit reports whether the key of a slot is split out already. Entry VMs report such a key until they know the split.
func (kee *Keeper) isSplit(slot splitName, key string) bool {
	slot.key = key
	_, found := kee.cfg.Table.splits[slot]
	return found
}

// calm reports whether a cell is owned and does not move.
func (kee *Keeper) calm(ref uint32) bool {
	return kee.cfg.Table.cells[ref].state == stateOwned && kee.stages[ref] == stageStill && !kee.hot.active(ref)
}

func (kee *Keeper) considerMerge(ref uint32, mean float64) {
	if float64(kee.weights[ref]) >= mergeShare*mean {
		delete(kee.hot.cold, ref)
		return
	}
	kee.hot.cold[ref]++
	nam := kee.cfg.Table.name(ref)
	slot, ok := kee.cfg.Table.findSlot(nam.service, nam.number)
	if kee.hot.cold[ref] < mergeRounds || !ok || !kee.calm(ref) || !kee.calm(slot) {
		return
	}
	delete(kee.hot.cold, ref)
	kee.hot.merges[slot] = ref
	kee.hot.joined[ref] = slot
	kee.release(ref, kee.ownerName(ref))
	kee.release(slot, kee.ownerName(slot))
}

func (kee *Keeper) ownerName(ref uint32) string {
	return kee.cfg.Table.owners[kee.cfg.Table.cells[ref].owner].name
}

// placeSplit proposes the end of a split or merge once nobody serves the cells, and reports whether the cell needs no
// further attention.
func (kee *Keeper) placeSplit(now time.Time, ref uint32, queue func(string) *loadHeap) bool {
	if slot, ok := kee.hot.joined[ref]; ok {
		if sta := kee.stages[slot]; sta.step() == stageStill && sta&flagPending == 0 {
			kee.hot.end(slot)
		}
		return false // the slot's turn proposes for both
	}
	cells := []uint32{ref}
	top := kee.cfg.Table.cells[ref].epoch
	if spl, ok := kee.hot.merges[ref]; ok {
		sta := kee.stages[spl]
		if sta.step() == stageStill && sta&flagPending == 0 {
			kee.hot.end(ref)
		}
		if sta.step() != stageReady {
			return false
		}
		top = max(top, kee.cfg.Table.cells[spl].epoch)
		cells = append(cells, spl)
	}
	ent := kee.cfg.Table.entry(ref)
	if hol := kee.holders[ent.GetOwner()]; hol == nil || !kee.eligible(now, hol, ent.GetService()) {
		ent.Owner = queue(ent.GetService()).take(kee.weight(ref))
	}
	if ent.GetOwner() == "" {
		kee.hot.end(ref)
		return false
	}
	ent.State = fpwire.SlotState_SLOT_STATE_OWNED
	ent.Epoch = top + 1
	ent.Target = ""
	return kee.proposeSplit(ref, cells, ent)
}

// proposeSplit proposes one command for a slot and the key that is split from it or merged into it.
func (kee *Keeper) proposeSplit(ref uint32, cells []uint32, ent *fpwire.SlotEntry) bool {
	if kee.full() {
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
	kee.expect(ref, ent.GetOwner())
	kee.requests = append(kee.requests, proposal{
		refs: cells,
		upd:  upd,
		full: true,
	})
	return true
}

func (kee *Keeper) update(ref uint32, ent *fpwire.SlotEntry) *fpwire.SlotUpdate {
	cel := &kee.cfg.Table.cells[ref]
	return &fpwire.SlotUpdate{
		Entry:         ent,
		ExpectedEpoch: cel.epoch,
		ExpectedState: fpwire.SlotState(cel.state),
	}
}

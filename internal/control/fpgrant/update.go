package fpgrant

import (
	"slices"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// checkUpdates verifies every update and stores the index of its cell in refs, which is 0 for a new split key. It marks the
// other cells.
func (tab *Table) checkUpdates(upd *fpwire.UpdateSlots, refs []uint32) error {
	added := 0
	for i, slu := range upd.GetUpdates() {
		ent := slu.GetEntry()
		ref, err := tab.checkUpdate(slu, upd)
		if err != nil {
			return err
		}
		if ref == 0 {
			added++
			if duplicateSplit(upd, i) {
				return conflict("the command updates split key %q of slot %d of service %s twice", ent.GetSplitKey(),
					ent.GetNumber(), ent.GetService())
			}
			continue
		}
		if tab.cells[ref].marked {
			return conflict("the command updates slot %d of service %s, or one of its split keys, twice", ent.GetNumber(),
				ent.GetService())
		}
		tab.mark(ref, true)
		refs[i] = ref
	}
	if len(tab.splits)+added > MaxSplitKeys {
		return conflict("the command adds too many split keys to the group, which has %d of at most %d", len(tab.splits),
			MaxSplitKeys)
	}
	return nil
}

// duplicateSplit reports whether an earlier update of the command names the same split key as the one at the given index.
func duplicateSplit(upd *fpwire.UpdateSlots, at int) bool {
	ent := upd.GetUpdates()[at].GetEntry()
	for _, other := range upd.GetUpdates()[:at] {
		oth := other.GetEntry()
		if oth.GetNumber() == ent.GetNumber() && oth.GetService() == ent.GetService() &&
			string(oth.GetSplitKey()) == string(ent.GetSplitKey()) {
			return true
		}
	}
	return false
}

// checkUpdate verifies one update of a command and returns the index of its cell, which is 0 for a new split key.
func (tab *Table) checkUpdate(slu *fpwire.SlotUpdate, upd *fpwire.UpdateSlots) (uint32, error) {
	ent := slu.GetEntry()
	key := string(ent.GetSplitKey())
	slotRef, ok := tab.find(ent.GetService(), ent.GetNumber(), "")
	if !ok {
		return 0, conflict("slot %d of service %s is not homed in this group", ent.GetNumber(), ent.GetService())
	}
	ref, exists := slotRef, true
	if key != "" {
		ref, exists = tab.find(ent.GetService(), ent.GetNumber(), key)
	}
	cur := cell{}
	if exists {
		cur = tab.cells[ref]
	}
	if cur.epoch != slu.GetExpectedEpoch() || cur.state != uint8(slu.GetExpectedState()) {
		return 0, conflict("slot %d of service %s has epoch %d and state %v, expected epoch %d and state %v", ent.GetNumber(),
			ent.GetService(), cur.epoch, fpwire.SlotState(cur.state), slu.GetExpectedEpoch(), slu.GetExpectedState())
	}
	if key != "" && (!exists || ent.GetRemoved()) {
		return ref, tab.checkSplit(ent, cur, tab.cells[slotRef], upd)
	}
	if !isLegalStep(&cur, tab.owners[cur.owner].name, ent) {
		return 0, conflict("slot %d of service %s cannot change from state %v, epoch %d to state %v, epoch %d", ent.GetNumber(),
			ent.GetService(), fpwire.SlotState(cur.state), cur.epoch, ent.GetState(), ent.GetEpoch())
	}
	return ref, nil
}

// isLegalStep reports whether a cell may change from cur, owned by name, to ent. An owned cell may only become releasing, a
// releasing one may become free or owned, and a free one owned. A new owner needs a higher epoch; the other steps keep the
// epoch. A releasing cell may also change its target.
func isLegalStep(cur *cell, name string, ent *fpwire.SlotEntry) bool {
	if ent.GetRemoved() {
		return false
	}
	switch uint8(ent.GetState()) {
	case stateOwned:
		return cur.state != stateOwned && ent.GetEpoch() > cur.epoch && ent.GetOwner() != ""
	case stateReleasing:
		return (cur.state == stateOwned || cur.state == stateReleasing) && ent.GetEpoch() == cur.epoch &&
			ent.GetOwner() == name
	case stateFree:
		return cur.state == stateReleasing && ent.GetEpoch() == cur.epoch && ent.GetOwner() == ""
	}
	return false
}

// checkSplit verifies that a key is split or merged only while no owner may serve its slot and, for a merge, the key. A
// split gives the key a higher epoch than the slot has, and a merge gives the slot a higher epoch than the key had. So the
// epoch under which a key is served only increases.
func (tab *Table) checkSplit(ent *fpwire.SlotEntry, cur, slot cell, upd *fpwire.UpdateSlots) error {
	if slot.state == stateOwned {
		return conflict("slot %d of service %s is owned, so no key can be split or merged", ent.GetNumber(),
			ent.GetService())
	}
	if !ent.GetRemoved() {
		if uint8(ent.GetState()) != stateOwned || ent.GetOwner() == "" || ent.GetEpoch() <= slot.epoch {
			return conflict("a new split key of slot %d of service %s needs an owner and an epoch above %d", ent.GetNumber(),
				ent.GetService(), slot.epoch)
		}
		return nil
	}
	if cur.state != stateReleasing && cur.state != stateFree {
		return conflict("a split key of slot %d of service %s is owned or absent, so it cannot be merged",
			ent.GetNumber(), ent.GetService())
	}
	for _, other := range upd.GetUpdates() {
		oth := other.GetEntry()
		if len(oth.GetSplitKey()) == 0 && oth.GetNumber() == ent.GetNumber() &&
			oth.GetService() == ent.GetService() && oth.GetEpoch() > cur.epoch {
			return nil
		}
	}
	return conflict("the merge of a split key must raise slot %d of service %s above epoch %d", ent.GetNumber(),
		ent.GetService(), cur.epoch)
}

// store sets the state of a cell to a checked entry. A ref of 0 adds a split key.
func (tab *Table) store(ref uint32, ent *fpwire.SlotEntry, pos Position) {
	if ref == 0 {
		ref = tab.addSplit(ent)
	}
	cel := &tab.cells[ref]
	tab.unlinkOwner(ref)
	cel.epoch = ent.GetEpoch()
	cel.state = uint8(ent.GetState())
	if ent.GetRemoved() {
		cel.state = stateAbsent
		delete(tab.splits, tab.splitNames[ref])
		tab.tombstones = append(tab.tombstones, ref)
	} else if ent.GetOwner() != "" {
		tab.linkOwner(ref, ent.GetOwner())
	}
	if cel.state == stateReleasing && ent.GetTarget() != "" {
		tab.targets[ref] = ent.GetTarget()
	} else {
		delete(tab.targets, ref)
	}
	tab.unlinkChange(ref)
	tab.linkChange(ref, pos)
}

// addSplit adds a cell for a new split key.
func (tab *Table) addSplit(ent *fpwire.SlotEntry) uint32 {
	nam := cellName{
		service: tab.byName[ent.GetService()],
		number:  ent.GetNumber(),
		key:     string(ent.GetSplitKey()),
	}
	tab.dropTombstone(nam)
	ref := uint32(len(tab.cells))
	tab.cells = append(tab.cells, cell{})
	tab.splits[nam] = ref
	tab.splitNames[ref] = nam
	return ref
}

// dropTombstone drops the tombstone of a key that is split again, because a delta must name each key once.
func (tab *Table) dropTombstone(nam cellName) {
	at := slices.IndexFunc(tab.tombstones, func(ref uint32) bool { return tab.splitNames[ref] == nam })
	if at < 0 {
		return
	}
	ref := tab.tombstones[at]
	tab.tombstones = slices.Delete(tab.tombstones, at, at+1)
	delete(tab.splitNames, ref)
	tab.unlinkChange(ref)
}

// prune drops the oldest tombstones beyond maxTombstones.
func (tab *Table) prune() {
	for len(tab.tombstones) > maxTombstones {
		ref := tab.tombstones[0]
		tab.tombstones = tab.tombstones[1:]
		tab.floor = tab.position(ref)
		tab.unlinkChange(ref)
		delete(tab.splitNames, ref)
	}
}

// linkChange makes a cell the newest in the list of changed cells.
func (tab *Table) linkChange(ref uint32, pos Position) {
	cel := &tab.cells[ref]
	cel.changed = pos.Index
	cel.older = tab.newest
	cel.newer = 0
	if tab.newest != 0 {
		tab.cells[tab.newest].newer = ref
	}
	tab.newest = ref
}

func (tab *Table) unlinkChange(ref uint32) {
	cel := &tab.cells[ref]
	if cel.newer != 0 {
		tab.cells[cel.newer].older = cel.older
	} else if tab.newest == ref {
		tab.newest = cel.older
	}
	if cel.older != 0 {
		tab.cells[cel.older].newer = cel.newer
	}
	cel.older, cel.newer = 0, 0
}

// linkOwner adds a cell without an owner to the cells of an upstream.
func (tab *Table) linkOwner(ref uint32, name string) {
	id, ok := tab.ownerIDs[name]
	if !ok {
		id = tab.newOwner(name)
	}
	own := &tab.owners[id]
	cel := &tab.cells[ref]
	cel.owner = id
	cel.prev = 0
	cel.next = own.head
	if own.head != 0 {
		tab.cells[own.head].prev = ref
	}
	own.head = ref
	own.count++
}

func (tab *Table) newOwner(name string) uint32 {
	id := uint32(len(tab.owners))
	if last := len(tab.freeIDs) - 1; last >= 0 {
		id = tab.freeIDs[last]
		tab.freeIDs = tab.freeIDs[:last]
	} else {
		tab.owners = append(tab.owners, owner{})
	}
	tab.owners[id] = owner{
		name: name,
	}
	tab.ownerIDs[name] = id
	return id
}

func (tab *Table) unlinkOwner(ref uint32) {
	cel := &tab.cells[ref]
	if cel.owner == 0 {
		return
	}
	own := &tab.owners[cel.owner]
	if cel.prev != 0 {
		tab.cells[cel.prev].next = cel.next
	} else {
		own.head = cel.next
	}
	if cel.next != 0 {
		tab.cells[cel.next].prev = cel.prev
	}
	own.count--
	if own.count == 0 {
		delete(tab.ownerIDs, own.name)
		tab.freeIDs = append(tab.freeIDs, cel.owner)
		own.name = ""
	}
	cel.owner, cel.prev, cel.next = 0, 0, 0
}

// ownerOf returns the owner with the given name, or the zero owner if it owns nothing.
func (tab *Table) ownerOf(name string) owner {
	if id, ok := tab.ownerIDs[name]; ok {
		return tab.owners[id]
	}
	return owner{}
}

// eachOwned calls fn for each cell of the owner. fn must not change the table.
func (tab *Table) eachOwned(name string, fn func(ref uint32)) {
	for ref := tab.ownerOf(name).head; ref != 0; ref = tab.cells[ref].next {
		fn(ref)
	}
}

package fpgrant

import (
	"slices"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// check verifies every update and stores the cell of each in refs. The cell of a new split key is 0.
func (tab *Table) check(upd *fpwire.UpdateSlots, refs []uint32) error {
	added := 0
	for i, one := range upd.GetUpdates() {
		ent := one.GetEntry()
		ref, err := tab.checkOne(one, upd)
		if err != nil {
			return err
		}
		if ref == 0 {
			added++
			if duplicateSplit(upd, i) {
				return conflict("split key %q of slot %d of %s is named twice", ent.GetSplitKey(), ent.GetNumber(),
					ent.GetService())
			}
			continue
		}
		if tab.cells[ref].marked {
			return conflict("slot %d of %s is named twice", ent.GetNumber(), ent.GetService())
		}
		tab.mark(ref, true)
		refs[i] = ref
	}
	if len(tab.splits)+added > MaxSplitKeys {
		return conflict("the group has %d split keys already, at most %d", len(tab.splits), MaxSplitKeys)
	}
	return nil
}

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

func (tab *Table) checkOne(one *fpwire.SlotUpdate, upd *fpwire.UpdateSlots) (uint32, error) {
	ent := one.GetEntry()
	key := string(ent.GetSplitKey())
	slotRef, ok := tab.find(ent.GetService(), ent.GetNumber(), "")
	if !ok {
		return 0, conflict("slot %d of %s is not homed here", ent.GetNumber(), ent.GetService())
	}
	ref, exists := slotRef, true
	if key != "" {
		ref, exists = tab.find(ent.GetService(), ent.GetNumber(), key)
	}
	cur := cell{}
	if exists {
		cur = tab.cells[ref]
	}
	if cur.epoch != one.GetExpectedEpoch() || cur.state != uint8(one.GetExpectedState()) {
		return 0, conflict("slot %d of %s has epoch %d and state %v, expected epoch %d and state %v", ent.GetNumber(),
			ent.GetService(), cur.epoch, fpwire.SlotState(cur.state), one.GetExpectedEpoch(), one.GetExpectedState())
	}
	if key != "" && (!exists || ent.GetRemoved()) {
		return ref, tab.checkSplit(ent, cur, tab.cells[slotRef], upd)
	}
	if !legal(&cur, tab.owners[cur.owner].name, ent) {
		return 0, conflict("slot %d of %s cannot go from state %v, epoch %d to state %v, epoch %d", ent.GetNumber(),
			ent.GetService(), fpwire.SlotState(cur.state), cur.epoch, ent.GetState(), ent.GetEpoch())
	}
	return ref, nil
}

// legal reports whether a change is a step of section 7. An owner changes only through the state releasing or free and
// only with a higher epoch.
func legal(cur *cell, name string, ent *fpwire.SlotEntry) bool {
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

// checkSplit verifies that a key is split or merged only while no owner may serve its slot and, for a merge, the key.
// The epochs of the key and of the slot never fall below each other, so a key's epoch only increases.
func (tab *Table) checkSplit(ent *fpwire.SlotEntry, cur, slot cell, upd *fpwire.UpdateSlots) error {
	if slot.state == stateOwned {
		return conflict("slot %d of %s is owned, so no key can be split or merged", ent.GetNumber(), ent.GetService())
	}
	if !ent.GetRemoved() {
		if uint8(ent.GetState()) != stateOwned || ent.GetOwner() == "" || ent.GetEpoch() <= slot.epoch {
			return conflict("split key of slot %d of %s needs an owner and an epoch above %d", ent.GetNumber(),
				ent.GetService(), slot.epoch)
		}
		return nil
	}
	if cur.state != stateReleasing && cur.state != stateFree {
		return conflict("split key of slot %d of %s is owned or absent", ent.GetNumber(), ent.GetService())
	}
	for _, other := range upd.GetUpdates() {
		oth := other.GetEntry()
		if len(oth.GetSplitKey()) == 0 && oth.GetNumber() == ent.GetNumber() &&
			oth.GetService() == ent.GetService() && oth.GetEpoch() > cur.epoch {
			return nil
		}
	}
	return conflict("the merge of a split key must raise slot %d of %s above epoch %d", ent.GetNumber(),
		ent.GetService(), cur.epoch)
}

// put stores a checked entry.
func (tab *Table) put(ref uint32, ent *fpwire.SlotEntry, pos Position) {
	if ref == 0 {
		ref = tab.addSplit(ent)
	}
	cel := &tab.cells[ref]
	tab.unlinkOwner(ref)
	cel.epoch = ent.GetEpoch()
	cel.state = uint8(ent.GetState())
	if ent.GetRemoved() {
		cel.state = stateAbsent
		delete(tab.splits, tab.names[ref])
		tab.dead = append(tab.dead, ref)
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

func (tab *Table) addSplit(ent *fpwire.SlotEntry) uint32 {
	nam := splitName{
		service: tab.byName[ent.GetService()],
		number:  ent.GetNumber(),
		key:     string(ent.GetSplitKey()),
	}
	tab.forget(nam)
	ref := uint32(len(tab.cells))
	tab.cells = append(tab.cells, cell{})
	tab.splits[nam] = ref
	tab.names[ref] = nam
	return ref
}

// forget drops the tombstone of a key that is split again, since a delta must name each key once.
func (tab *Table) forget(nam splitName) {
	at := slices.IndexFunc(tab.dead, func(ref uint32) bool { return tab.names[ref] == nam })
	if at < 0 {
		return
	}
	ref := tab.dead[at]
	tab.dead = slices.Delete(tab.dead, at, at+1)
	delete(tab.names, ref)
	tab.unlinkChange(ref)
}

// prune forgets the oldest removed split keys beyond maxTombstones.
func (tab *Table) prune() {
	for len(tab.dead) > maxTombstones {
		ref := tab.dead[0]
		tab.dead = tab.dead[1:]
		tab.floor = tab.position(ref)
		tab.unlinkChange(ref)
		delete(tab.names, ref)
	}
}

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

func (tab *Table) ownerOf(name string) owner {
	if id, ok := tab.ownerIDs[name]; ok {
		return tab.owners[id]
	}
	return owner{}
}

// held calls fn for each cell of the owner. fn must not change the table.
func (tab *Table) held(name string, fn func(ref uint32)) {
	for ref := tab.ownerOf(name).head; ref != 0; ref = tab.cells[ref].next {
		fn(ref)
	}
}

// Package fpgrant decides which upstream owns which slot. Table is the state that the members of a group replicate. Keeper
// is the state that the leader of the group holds in memory during its term.
package fpgrant

import (
	"slices"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// MaxSplitKeys is the maximum number of split keys in one group.
const MaxSplitKeys = 512

// maxTombstones bounds the removed split keys that are remembered for deltas. An entry VM with a table from before the
// oldest one gets the whole table.
const maxTombstones = 1024

// cell is the state of one slot or split key. Cells are addressed by their index in Table.cells. Index 0 is not used, so
// that it can mark the end of a list.
type cell struct {
	epoch   uint64
	changed uint64 // index of the log entry of the last change; its term is looked up in Table.terms
	older   uint32 // in the list of changed cells, ordered by last change
	newer   uint32
	prev    uint32 // in the list of the owner's cells
	next    uint32
	owner   uint32
	state   uint8
	marked  bool // set while a command is checked, to find cells that it updates twice
}

// Values of cell.state, which are stored in snapshots. A cell with stateAbsent is not in use or is a tombstone.
const (
	stateAbsent    = uint8(fpwire.SlotState_SLOT_STATE_UNSPECIFIED)
	stateFree      = uint8(fpwire.SlotState_SLOT_STATE_FREE)
	stateOwned     = uint8(fpwire.SlotState_SLOT_STATE_OWNED)
	stateReleasing = uint8(fpwire.SlotState_SLOT_STATE_RELEASING)
)

// span is the range of slots first to last, both included, of one service. Their cells are adjacent and begin at base.
type span struct {
	service uint32
	first   uint32
	last    uint32
	base    uint32
}

// homedService is a service with slots that are or were homed in this group.
type homedService struct {
	name  string
	slots uint32 // of the whole service, in all groups
	spans []span // ordered by first
	// lastEpoch is the highest epoch of any slot that was removed from the group. Added slots begin with it, so that no
	// epoch of a slot is used twice.
	lastEpoch uint64
}

// cellName identifies a slot or, if key is not empty, a split key of the slot. The service is an index in Table.services.
type cellName struct {
	service uint32
	number  uint32
	key     string
}

// owner is an upstream that owns cells.
type owner struct {
	name  string
	head  uint32 // of the list of its cells
	count uint32 // of its cells
}

// termStart is the first log index of a term at which the table was changed.
type termStart struct {
	term  uint64
	index uint64
}

// Table is the replicated table of the slots and split keys of one group. The zero value is an empty table. It is not
// safe for concurrent use.
type Table struct {
	version    Position    // of the last change
	floor      Position    // no delta can be built from a version before floor
	terms      []termStart // ordered by term
	cells      []cell
	newest     uint32 // head of the list of changed cells
	services   []homedService
	byName     map[string]uint32   // indexes in services
	spans      []span              // all spans, ordered by base
	splits     map[cellName]uint32 // split cells
	splitNames map[uint32]cellName // names of split cells and tombstones
	tombstones []uint32            // removed split cells, oldest first
	targets    map[uint32]string   // targets of releasing cells
	owners     []owner             // owners[0] stands for no owner
	ownerIDs   map[string]uint32   // indexes in owners
	freeIDs    []uint32            // unused indexes in owners
	slotCount  int
}

// Slot is the state of one slot or split key. Owner and Target are "" if there is none.
type Slot struct {
	Service  string
	Number   uint32
	SplitKey string
	Owner    string
	Epoch    uint64
	State    fpwire.SlotState
	Target   string
	Changed  Position
}

// Version returns the position of the last change. It is the zero Position if there was none.
func (tab *Table) Version() Position { return tab.version }

// Len returns the number of slots homed in the group, without split keys.
func (tab *Table) Len() int { return tab.slotCount }

// Splits returns the number of split keys.
func (tab *Table) Splits() int { return len(tab.splits) }

// Services returns the names of the services with slots in the group, ordered by name.
func (tab *Table) Services() []string {
	var names []string
	for _, hom := range tab.services {
		if len(hom.spans) > 0 {
			names = append(names, hom.name)
		}
	}
	slices.Sort(names)
	return names
}

// Homed reports whether the slot is homed in the group.
func (tab *Table) Homed(service string, number uint32) bool {
	_, ok := tab.find(service, number, "")
	return ok
}

// Slot returns the state of a slot or, if splitKey is not empty, of that split key. It returns false if the slot is not homed
// in the group or the key is not split.
func (tab *Table) Slot(service string, number uint32, splitKey string) (Slot, bool) {
	ref, ok := tab.find(service, number, splitKey)
	if !ok {
		return Slot{}, false
	}
	return tab.slot(ref), true
}

// CountOwned returns the number of slots and split keys with the given owner, including releasing ones.
func (tab *Table) CountOwned(name string) int {
	return int(tab.ownerOf(name).count)
}

// AdvanceVersion sets the version to pos without a change of slots. Entry VMs that confirm this version thereby confirm
// what else the log entry at pos changed.
func (tab *Table) AdvanceVersion(pos Position) { tab.advance(pos) }

// Apply changes slots and split keys. It changes nothing and returns an error of kind VersionConflict unless each of them is
// homed in the group, is named once, has the expected epoch and state, and changes by a legal step. The command must also
// keep the group within MaxSplitKeys.
func (tab *Table) Apply(pos Position, upd *fpwire.UpdateSlots) error {
	refs := make([]uint32, len(upd.GetUpdates()))
	err := tab.checkUpdates(upd, refs)
	for _, ref := range refs {
		tab.mark(ref, false)
	}
	if err != nil {
		return err
	}
	tab.advance(pos)
	for i, slu := range upd.GetUpdates() {
		tab.store(refs[i], slu.GetEntry(), pos)
	}
	tab.prune()
	return nil
}

// advance sets the version and records the first index of a new term.
func (tab *Table) advance(pos Position) {
	if len(tab.cells) == 0 {
		tab.init()
	}
	tab.version = pos
	if last := len(tab.terms) - 1; last < 0 || tab.terms[last].term < pos.Term {
		tab.terms = append(tab.terms, termStart{
			term:  pos.Term,
			index: pos.Index,
		})
	}
}

func (tab *Table) init() {
	tab.cells = make([]cell, 1)
	tab.owners = make([]owner, 1)
	tab.byName = map[string]uint32{}
	tab.splits = map[cellName]uint32{}
	tab.splitNames = map[uint32]cellName{}
	tab.targets = map[uint32]string{}
	tab.ownerIDs = map[string]uint32{}
}

func (tab *Table) mark(ref uint32, on bool) {
	if ref != 0 {
		tab.cells[ref].marked = on
	}
}

// find returns the cell of a slot or, if key is not empty, of a split key.
func (tab *Table) find(service string, number uint32, key string) (uint32, bool) {
	id, ok := tab.byName[service]
	if !ok {
		return 0, false
	}
	if key != "" {
		ref, found := tab.splits[cellName{
			service: id,
			number:  number,
			key:     key,
		}]
		return ref, found
	}
	return tab.findSlot(id, number)
}

func (tab *Table) findSlot(id, number uint32) (uint32, bool) {
	spans := tab.services[id].spans
	at, exact := slices.BinarySearchFunc(spans, number, func(spa span, num uint32) int {
		switch {
		case spa.first < num:
			return -1
		case spa.first > num:
			return 1
		}
		return 0
	})
	if !exact {
		at--
	}
	if at < 0 || number > spans[at].last {
		return 0, false
	}
	return spans[at].base + number - spans[at].first, true
}

// name returns the service, number and split key of a cell, including a removed split key that is still remembered.
func (tab *Table) name(ref uint32) cellName {
	if nam, ok := tab.splitNames[ref]; ok {
		return nam
	}
	at, exact := slices.BinarySearchFunc(tab.spans, ref, func(spa span, want uint32) int {
		switch {
		case spa.base < want:
			return -1
		case spa.base > want:
			return 1
		}
		return 0
	})
	if !exact {
		at--
	}
	if at < 0 {
		return cellName{}
	}
	spa := tab.spans[at]
	return cellName{
		service: spa.service,
		number:  spa.first + ref - spa.base,
	}
}

// forgotten reports whether a cell has no name any more: it was a split key whose tombstone was dropped, or a slot that was
// removed from the group.
func (tab *Table) forgotten(ref uint32) bool {
	if _, ok := tab.splitNames[ref]; ok {
		return false
	}
	nam := tab.name(ref)
	at, ok := tab.findSlot(nam.service, nam.number)
	return !ok || at != ref
}

// position returns the position of the last change of a cell.
func (tab *Table) position(ref uint32) Position {
	index := tab.cells[ref].changed
	at, exact := slices.BinarySearchFunc(tab.terms, index, func(sta termStart, want uint64) int {
		switch {
		case sta.index < want:
			return -1
		case sta.index > want:
			return 1
		}
		return 0
	})
	if !exact {
		at--
	}
	if at < 0 {
		return Position{}
	}
	return Position{
		Term:  tab.terms[at].term,
		Index: index,
	}
}

func (tab *Table) slot(ref uint32) Slot {
	nam := tab.name(ref)
	cel := &tab.cells[ref]
	return Slot{
		Service:  tab.services[nam.service].name,
		Number:   nam.number,
		SplitKey: nam.key,
		Owner:    tab.owners[cel.owner].name,
		Epoch:    cel.epoch,
		State:    fpwire.SlotState(cel.state),
		Target:   tab.targets[ref],
		Changed:  tab.position(ref),
	}
}

func (tab *Table) entry(ref uint32) *fpwire.SlotEntry {
	nam := tab.name(ref)
	cel := &tab.cells[ref]
	ent := &fpwire.SlotEntry{
		Service: tab.services[nam.service].name,
		Number:  nam.number,
		Owner:   tab.owners[cel.owner].name,
		Epoch:   cel.epoch,
		State:   fpwire.SlotState(cel.state),
		Removed: cel.state == stateAbsent,
	}
	if len(tab.targets) > 0 {
		ent.Target = tab.targets[ref]
	}
	if nam.key != "" {
		ent.SplitKey = []byte(nam.key)
	}
	return ent
}

// Delta returns the entries that changed after since. If since is zero, too old or newer than the table, full is true and
// the entries are the whole table without the slots that never had an owner.
func (tab *Table) Delta(since Position) (entries []*fpwire.SlotEntry, full bool) {
	if since == (Position{}) || since.Less(tab.floor) || tab.version.Less(since) {
		return tab.fullTable(), true
	}
	for ref := tab.newest; ref != 0 && since.Less(tab.position(ref)); ref = tab.cells[ref].older {
		entries = append(entries, tab.entry(ref))
	}
	return entries, false
}

// fullTable returns the entries of all cells that ever changed, without removed split keys.
func (tab *Table) fullTable() []*fpwire.SlotEntry {
	var entries []*fpwire.SlotEntry
	for ref := tab.newest; ref != 0; ref = tab.cells[ref].older {
		if tab.cells[ref].state != stateAbsent {
			entries = append(entries, tab.entry(ref))
		}
	}
	return entries
}

// conflict returns the error of a refused command.
func conflict(format string, args ...any) error {
	return fperror.New(fperror.VersionConflict, format, args...)
}

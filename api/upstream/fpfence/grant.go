package fpfence

import (
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
)

// grant is what one group has granted.
type grant struct {
	term uint64
	// version is that of the set in force; 0 when the lease has ended and the set was dropped.
	version uint64
	// highest is the newest version of the term that was taken.
	highest uint64
	slots   map[slot]uint64 // epochs
	fences  map[fence]int   // number of granted slots and split keys for each fence
	lease   lease
}

// slot identifies a granted slot, or one split key in it.
type slot struct {
	service string
	number  uint32
	key     string
}

// fence is what the headers of a request name. They do not name a split key, but its epoch differs from that of its slot.
type fence struct {
	number uint32
	epoch  uint64
}

func slotOf(msg *fpcontract.Slot) slot {
	return slot{
		service: msg.GetService(),
		number:  msg.GetNumber(),
		key:     string(msg.GetSplitKey()),
	}
}

// fence returns what a request for the slot names.
func (slo slot) fence(epoch uint64) fence {
	return fence{
		number: slo.number,
		epoch:  epoch,
	}
}

func newGrant() *grant {
	return &grant{
		slots:  map[slot]uint64{},
		fences: map[fence]int{},
	}
}

func (gra *grant) add(slo slot, epoch uint64) {
	gra.remove(slo)
	gra.slots[slo] = epoch
	gra.fences[slo.fence(epoch)]++
}

func (gra *grant) remove(slo slot) {
	epoch, ok := gra.slots[slo]
	if !ok {
		return
	}
	delete(gra.slots, slo)
	fen := slo.fence(epoch)
	gra.fences[fen]--
	if gra.fences[fen] == 0 {
		delete(gra.fences, fen)
	}
}

// serves reports whether a request with the fence may run.
func (gra *grant) serves(fen fence) bool { return gra.fences[fen] > 0 }

// change applies the slots of a request and leaves the version as it is. A request without base replaces the whole set.
func (gra *grant) change(req *fpcontract.GrantRequest) {
	if req.GetBase() == 0 {
		gra.slots = map[slot]uint64{}
		gra.fences = map[fence]int{}
	}
	for _, msg := range req.GetRemoved() {
		gra.remove(slotOf(msg))
	}
	for _, msg := range req.GetAdded() {
		gra.add(slotOf(msg), msg.GetEpoch())
	}
}

// accepts reports whether a request fits the grant in force. A lower term comes from a leader that was replaced. Within a
// term, no version may be older than the newest that was taken, and a change must be against the set in force.
func (gra *grant) accepts(req *fpcontract.GrantRequest) bool {
	if req.GetTerm() < gra.term {
		return false
	}
	if req.GetTerm() == gra.term && req.GetVersion() < gra.highest {
		return false
	}
	return req.GetBase() == 0 || req.GetBase() == gra.version
}

// enter takes the term of a leader. Versions count anew in each term.
func (gra *grant) enter(term uint64) {
	if term > gra.term {
		gra.term = term
		gra.highest = 0
	}
}

// drop forgets the set after its lease has ended. The version 0 tells a new leader that the upstream holds nothing, which it
// must not be renewed on, because the slots may have other owners by then.
func (gra *grant) drop() {
	gra.version = 0
	gra.slots = map[slot]uint64{}
	gra.fences = map[fence]int{}
}

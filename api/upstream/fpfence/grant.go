package fpfence

import (
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
)

// grant is the set of slots that one group has granted, with its lease.
type grant struct {
	// term is the highest term of a leader of the group that was seen.
	term uint64
	// version is the version of the set in force. 0: the lease has ended and the set was cleared.
	version uint64
	// highest is the highest version accepted in this term.
	highest    uint64
	slots      map[slot]uint64   // epoch of each granted slot
	slotEpochs map[slotEpoch]int // number of granted slots and split keys with this number and epoch
	lease      lease
}

// slot identifies a granted slot, or one split key in it.
type slot struct {
	service string
	number  uint32
	key     string
}

// slotEpoch holds the slot number and epoch in the header of a request. The header does not name a split key, but the epoch of
// a split key differs from that of its slot.
type slotEpoch struct {
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

// withEpoch returns the slot number and epoch that a request for the slot must have in its header.
func (slo slot) withEpoch(epoch uint64) slotEpoch {
	return slotEpoch{
		number: slo.number,
		epoch:  epoch,
	}
}

func newGrant() *grant {
	return &grant{
		slots:      map[slot]uint64{},
		slotEpochs: map[slotEpoch]int{},
	}
}

func (gra *grant) add(slo slot, epoch uint64) {
	gra.remove(slo)
	gra.slots[slo] = epoch
	gra.slotEpochs[slo.withEpoch(epoch)]++
}

func (gra *grant) remove(slo slot) {
	epoch, ok := gra.slots[slo]
	if !ok {
		return
	}
	delete(gra.slots, slo)
	sle := slo.withEpoch(epoch)
	gra.slotEpochs[sle]--
	if gra.slotEpochs[sle] == 0 {
		delete(gra.slotEpochs, sle)
	}
}

// covers reports whether the slot and epoch of a request are granted.
func (gra *grant) covers(sle slotEpoch) bool { return gra.slotEpochs[sle] > 0 }

// apply changes the set as the request says and leaves the version unchanged. A request with base 0 replaces the whole set.
func (gra *grant) apply(req *fpcontract.GrantRequest) {
	if req.GetBase() == 0 {
		gra.slots = map[slot]uint64{}
		gra.slotEpochs = map[slotEpoch]int{}
	}
	for _, msg := range req.GetRemoved() {
		gra.remove(slotOf(msg))
	}
	for _, msg := range req.GetAdded() {
		gra.add(slotOf(msg), msg.GetEpoch())
	}
}

// accepts reports whether a request can be applied. A request with a lower term comes from a replaced leader. Within a term,
// a request with a version below the highest accepted one is outdated. The base of a change must be the version in force.
func (gra *grant) accepts(req *fpcontract.GrantRequest) bool {
	if req.GetTerm() < gra.term {
		return false
	}
	if req.GetTerm() == gra.term && req.GetVersion() < gra.highest {
		return false
	}
	return req.GetBase() == 0 || req.GetBase() == gra.version
}

// adoptTerm records the term of a leader if it is a higher one. Versions start again in each term.
func (gra *grant) adoptTerm(term uint64) {
	if term > gra.term {
		gra.term = term
		gra.highest = 0
	}
}

// clear removes all slots after the lease has ended. Version 0 in the next response tells a new leader that the upstream holds
// no slots. The leader must not extend the old set, because its slots may have other owners by then.
func (gra *grant) clear() {
	gra.version = 0
	gra.slots = map[slot]uint64{}
	gra.slotEpochs = map[slotEpoch]int{}
}

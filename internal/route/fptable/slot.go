package fptable

import (
	"bytes"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fpclock"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// slot is the state of one slot, or of one split key, on this VM.
type slot struct {
	mutex   sync.Mutex
	owner   string
	epoch   uint64
	state   fpwire.SlotState
	flights *Flight       // list of the requests in flight, of this and of earlier epochs
	changed chan struct{} // closed at the next change; nil while nobody waits
	load    load
	splits  map[string]*slot
}

// slotName identifies a slot in messages.
type slotName struct {
	service string
	number  uint32
	key     []byte
}

// set takes a new state and wakes the requests that wait for it.
func (slo *slot) set(ent *fpwire.SlotEntry) {
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	slo.owner = ent.GetOwner()
	slo.epoch = ent.GetEpoch()
	slo.state = ent.GetState()
	slo.wake()
}

// wake ends the wait of requests. The caller holds the mutex.
func (slo *slot) wake() {
	if slo.changed != nil {
		close(slo.changed)
		slo.changed = nil
	}
}

func (slo *slot) currentEpoch() uint64 {
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	return slo.epoch
}

// split returns the entry of a split key. A new entry begins with the owner of the slot and takes over the key's requests in
// flight. Requests that wait on the slot look again.
func (slo *slot) split(key []byte) *slot {
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	slo.wake()
	if spl := slo.splits[string(key)]; spl != nil {
		return spl
	}
	spl := &slot{
		owner: slo.owner,
		epoch: slo.epoch,
		state: slo.state,
	}
	slo.handOver(spl, func(fli *Flight) bool { return bytes.Equal(fli.key, key) })
	if slo.splits == nil {
		slo.splits = map[string]*slot{}
	}
	slo.splits[string(key)] = spl
	return spl
}

// merge forgets the entry of a split key and returns it.
func (slo *slot) merge(key []byte) *slot {
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	return slo.dropSplit(string(key))
}

// handOver moves requests in flight to the list of another slot. The caller holds the mutex.
func (slo *slot) handOver(to *slot, moves func(fli *Flight) bool) {
	to.mutex.Lock()
	defer to.mutex.Unlock()
	for fli := slo.flights; fli != nil; {
		next := fli.next
		if moves(fli) {
			slo.unlink(fli)
			to.link(fli)
		}
		fli = next
	}
}

// dropSplit wakes and forgets a split key, and takes over its requests in flight. The caller holds the mutex.
func (slo *slot) dropSplit(key string) *slot {
	old := slo.splits[key]
	if old == nil {
		return nil
	}
	delete(slo.splits, key)
	old.mutex.Lock()
	defer old.mutex.Unlock()
	old.state = fpwire.SlotState_SLOT_STATE_FREE
	old.wake()
	for old.flights != nil {
		fli := old.flights
		old.unlink(fli)
		slo.link(fli)
	}
	return old
}

// unsplit forgets split keys that a whole table does not list.
func (slo *slot) unsplit(listed []*fpwire.SlotEntry, service string, number uint32) {
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	if len(slo.splits) == 0 {
		return
	}
	keep := map[string]bool{}
	for _, ent := range listed {
		if ent.GetService() == service && ent.GetNumber() == number {
			keep[string(ent.GetSplitKey())] = true
		}
	}
	for key := range slo.splits {
		if !keep[key] {
			slo.dropSplit(key)
		}
	}
}

// lockFor locks and returns the entry that governs a key: its split entry, or the slot itself. The slot stays locked until
// the split entry is, so that a flight is not listed under an entry that was dropped meanwhile.
func (slo *slot) lockFor(key []byte) *slot {
	slo.mutex.Lock()
	spl := slo.splits[string(key)]
	if spl == nil {
		return slo
	}
	spl.mutex.Lock()
	slo.mutex.Unlock()
	return spl
}

// entries returns the slot and its split keys for a dump.
func (slo *slot) entries(service string, number uint32) []*fpwire.SlotEntry {
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	all := []*fpwire.SlotEntry{{
		Service: service,
		Number:  number,
		Owner:   slo.owner,
		Epoch:   slo.epoch,
		State:   slo.state,
	}}
	for key, spl := range slo.splits {
		one := spl.entries(service, number)[0]
		one.SplitKey = []byte(key)
		all = append(all, one)
	}
	return all
}

// busy lists releasing slots with requests in flight. The caller holds the mutex.
func (gro *group) busy(now fpclock.Moment) []*fpwire.BusySlot {
	var all []*fpwire.BusySlot
	for slo, name := range gro.releasing {
		rest, ok := slo.remaining(now)
		if !ok {
			continue
		}
		all = append(all, &fpwire.BusySlot{
			Service:   name.service,
			Number:    name.number,
			SplitKey:  bytes.Clone(name.key),
			Remaining: durationpb.New(rest),
		})
	}
	return all
}

// remaining returns the time until the latest deadline of the requests in flight, and whether there are any.
func (slo *slot) remaining(now fpclock.Moment) (time.Duration, bool) {
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	var latest time.Time
	for fli := slo.flights; fli != nil; fli = fli.next {
		if fli.deadline.After(latest) {
			latest = fli.deadline
		}
	}
	return max(0, latest.Sub(now.Wall())), slo.flights != nil
}

// link adds a flight to the list. The caller holds the mutex.
func (slo *slot) link(fli *Flight) {
	fli.slot.Store(slo)
	fli.prev, fli.next = nil, slo.flights
	if fli.next != nil {
		fli.next.prev = fli
	}
	slo.flights = fli
}

// unlink removes a flight from the list. The caller holds the mutex.
func (slo *slot) unlink(fli *Flight) {
	if fli.prev == nil {
		slo.flights = fli.next
	} else {
		fli.prev.next = fli.next
	}
	if fli.next != nil {
		fli.next.prev = fli.prev
	}
	fli.prev, fli.next = nil, nil
}

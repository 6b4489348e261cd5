package fptable

import (
	"bytes"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fpclock"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// slot is this VM's state of one slot, or of one key that was split out of its slot.
type slot struct {
	mutex    sync.Mutex
	owner    string
	epoch    uint64
	state    fpwire.SlotState
	inFlight *InFlightRequest // list of the requests in flight, of the current and of earlier epochs
	changed  chan struct{}    // closed at the next change; nil while nobody waits
	load     load
	splits   map[string]*slot // entries of split keys; nil in such an entry
}

// slotID identifies a slot, or a split key, in messages.
type slotID struct {
	service string
	number  uint32
	key     []byte
}

// update sets a new state and wakes the requests that wait for a change.
func (slo *slot) update(ent *fpwire.SlotEntry) {
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	slo.owner = ent.GetOwner()
	slo.epoch = ent.GetEpoch()
	slo.state = ent.GetState()
	slo.wake()
}

// wake wakes the requests that wait for a change. The caller holds the mutex.
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

// ensureSplit returns the entry of a split key. A new entry starts with the owner of the slot and takes over the key's
// requests in flight. Requests that wait on the slot are woken, because their key may now be split out of it.
func (slo *slot) ensureSplit(key []byte) *slot {
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
	slo.moveInFlight(spl, func(ifr *InFlightRequest) bool { return bytes.Equal(ifr.key, key) })
	if slo.splits == nil {
		slo.splits = map[string]*slot{}
	}
	slo.splits[string(key)] = spl
	return spl
}

// mergeSplit merges a split key back into the slot and returns its entry, or nil if the key is not split.
func (slo *slot) mergeSplit(key []byte) *slot {
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	return slo.removeSplit(string(key))
}

// moveInFlight moves the requests in flight for which match is true to another slot's list. The caller holds the mutex.
func (slo *slot) moveInFlight(to *slot, match func(ifr *InFlightRequest) bool) {
	to.mutex.Lock()
	defer to.mutex.Unlock()
	for ifr := slo.inFlight; ifr != nil; {
		next := ifr.next
		if match(ifr) {
			slo.unlink(ifr)
			to.link(ifr)
		}
		ifr = next
	}
}

// removeSplit removes the entry of a split key, wakes the requests that wait on it and takes over its requests in
// flight. It returns the entry, or nil if the key is not split. The caller holds the mutex.
func (slo *slot) removeSplit(key string) *slot {
	old := slo.splits[key]
	if old == nil {
		return nil
	}
	delete(slo.splits, key)
	old.mutex.Lock()
	defer old.mutex.Unlock()
	old.state = fpwire.SlotState_SLOT_STATE_FREE
	old.wake()
	for old.inFlight != nil {
		ifr := old.inFlight
		old.unlink(ifr)
		slo.link(ifr)
	}
	return old
}

// removeUnlistedSplits removes the split keys that a full table does not list.
func (slo *slot) removeUnlistedSplits(listed []*fpwire.SlotEntry, service string, number uint32) {
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	if len(slo.splits) == 0 {
		return
	}
	isListed := map[string]bool{}
	for _, ent := range listed {
		if ent.GetService() == service && ent.GetNumber() == number {
			isListed[string(ent.GetSplitKey())] = true
		}
	}
	for key := range slo.splits {
		if !isListed[key] {
			slo.removeSplit(key)
		}
	}
}

// lockFor locks and returns the entry that governs a key: the entry of the split key, or else the slot itself. The slot
// stays locked until the split entry is locked, so that no request is added to an entry that was removed in the
// meantime.
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

// busySlots returns the releasing slots that have requests in flight. The caller holds the mutex.
func (gro *group) busySlots(now fpclock.Moment) []*fpwire.BusySlot {
	var all []*fpwire.BusySlot
	for slo, id := range gro.releasing {
		remaining, ok := slo.remaining(now)
		if !ok {
			continue
		}
		all = append(all, &fpwire.BusySlot{
			Service:   id.service,
			Number:    id.number,
			SplitKey:  bytes.Clone(id.key),
			Remaining: durationpb.New(remaining),
		})
	}
	return all
}

// remaining returns the time until the latest deadline of the requests in flight, and whether there are any.
func (slo *slot) remaining(now fpclock.Moment) (time.Duration, bool) {
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	var latest time.Time
	for ifr := slo.inFlight; ifr != nil; ifr = ifr.next {
		if ifr.deadline.After(latest) {
			latest = ifr.deadline
		}
	}
	return max(0, latest.Sub(now.Wall())), slo.inFlight != nil
}

// link adds a request to the list. The caller holds the mutex.
func (slo *slot) link(ifr *InFlightRequest) {
	ifr.slot.Store(slo)
	ifr.prev, ifr.next = nil, slo.inFlight
	if ifr.next != nil {
		ifr.next.prev = ifr
	}
	slo.inFlight = ifr
}

// unlink removes a request from the list. The caller holds the mutex.
func (slo *slot) unlink(ifr *InFlightRequest) {
	if ifr.prev == nil {
		slo.inFlight = ifr.next
	} else {
		ifr.prev.next = ifr.next
	}
	if ifr.next != nil {
		ifr.next.prev = ifr.prev
	}
	ifr.prev, ifr.next = nil, nil
}

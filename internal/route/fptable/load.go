package fptable

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fpclock"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// sketchSize is the number of keys in a slot's sketch. The sketch always contains every key with more than 1/8 of the
// slot's requests; a hot key has more than half of them.
const sketchSize = 8

// maxSketchKeyBytes is the maximum length of a key in a sketch. Longer keys are not split out of their slots.
const maxSketchKeyBytes = 256

// load is the load of one slot since its last report.
type load struct {
	requests uint64
	busy     time.Duration
	sketch   []counter
}

// counter is one entry of a space-saving sketch. The true count lies between count-excess and count.
type counter struct {
	key    []byte
	count  uint64
	excess uint64
}

func (loa *load) add(key []byte, busy time.Duration) {
	loa.requests++
	loa.busy += busy
	if len(key) <= maxSketchKeyBytes {
		loa.countKey(key)
	}
}

// countKey counts a key. When the sketch is full, the key replaces the one with the lowest count.
func (loa *load) countKey(key []byte) {
	lowest := -1
	for pos := range loa.sketch {
		if bytes.Equal(loa.sketch[pos].key, key) {
			loa.sketch[pos].count++
			return
		}
		if lowest < 0 || loa.sketch[pos].count < loa.sketch[lowest].count {
			lowest = pos
		}
	}
	if len(loa.sketch) < sketchSize {
		loa.sketch = append(loa.sketch, counter{
			key:   bytes.Clone(key),
			count: 1,
		})
		return
	}
	cou := &loa.sketch[lowest]
	cou.key = append(cou.key[:0], key...)
	cou.excess = cou.count
	cou.count++
}

// hotKey returns the key that is certain to have had more than half of the requests and the lower bound of its count,
// or nil and 0 if there is none.
func (loa *load) hotKey() ([]byte, uint64) {
	for _, cou := range loa.sketch {
		if minCount := cou.count - cou.excess; minCount*2 > loa.requests {
			return bytes.Clone(cou.key), minCount
		}
	}
	return nil, 0
}

// reset clears the load and keeps the sketch's memory for reuse.
func (loa *load) reset() {
	loa.requests = 0
	loa.busy = 0
	loa.sketch = loa.sketch[:0]
}

// takeLoads returns and resets the loads of the group's busiest slots, or returns nil before the next report is due.
// The loads of all other slots continue to accumulate, so that none is lost. The caller holds the group's mutex.
func (tab *Table) takeLoads(gro *group, now fpclock.Moment) []*fpwire.SlotLoad {
	if !gro.lastLoadReport.IsZero() && gro.lastLoadReport.Elapsed(now) < tab.cfg.LoadInterval {
		return nil
	}
	gro.lastLoadReport = now
	busiest := tab.busiestSlots(gro)
	all := make([]*fpwire.SlotLoad, 0, len(busiest))
	for _, los := range busiest {
		all = append(all, los.takeLoad())
	}
	return all
}

// loadedSlot is a slot and its busy time as of the selection of the busiest slots.
type loadedSlot struct {
	slot *slot
	id   slotID
	busy time.Duration
}

// busiestSlots returns the slots of a group with the longest busy times, at most Config.MaxLoads, in descending order.
func (tab *Table) busiestSlots(gro *group) []loadedSlot {
	var all []loadedSlot
	for name, ser := range *tab.services.Load() {
		for num, slo := range ser.slots {
			if ser.groups[num] == gro {
				all = slo.appendLoaded(all, slotID{
					service: name,
					number:  uint32(num),
				})
			}
		}
	}
	slices.SortFunc(all, func(one, two loadedSlot) int {
		return cmp.Compare(two.busy, one.busy)
	})
	return all[:min(len(all), tab.cfg.MaxLoads)]
}

// appendLoaded appends the slot and each of its split keys if it had requests since its last report.
func (slo *slot) appendLoaded(all []loadedSlot, id slotID) []loadedSlot {
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	if slo.load.requests > 0 {
		all = append(all, loadedSlot{
			slot: slo,
			id:   id,
			busy: slo.load.busy,
		})
	}
	for key, spl := range slo.splits {
		id.key = []byte(key)
		all = spl.appendLoaded(all, id)
	}
	return all
}

// takeLoad returns the load of a slot and resets it.
func (los loadedSlot) takeLoad() *fpwire.SlotLoad {
	slo := los.slot
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	msg := &fpwire.SlotLoad{
		Service:  los.id.service,
		Number:   los.id.number,
		SplitKey: los.id.key,
		Busy:     durationpb.New(slo.load.busy),
		Requests: slo.load.requests,
	}
	if los.id.key == nil {
		msg.HotKey, msg.HotRequests = slo.load.hotKey()
	}
	slo.load.reset()
	return msg
}

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

// sketchSize is the number of keys in a slot's sketch. A key with more than 1/8 of the requests is never missed; a hot key
// has more than a half.
const sketchSize = 8

// maxSketchKey bounds the bytes of a key in a sketch. Longer keys are not split out of their slots.
const maxSketchKey = 256

// load is the load of one slot since it was last reported.
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
	if len(key) <= maxSketchKey {
		loa.observe(key)
	}
}

// observe counts a key, in the place of the rarest key when the sketch is full.
func (loa *load) observe(key []byte) {
	rarest := -1
	for pos := range loa.sketch {
		if bytes.Equal(loa.sketch[pos].key, key) {
			loa.sketch[pos].count++
			return
		}
		if rarest < 0 || loa.sketch[pos].count < loa.sketch[rarest].count {
			rarest = pos
		}
	}
	if len(loa.sketch) < sketchSize {
		loa.sketch = append(loa.sketch, counter{
			key:   bytes.Clone(key),
			count: 1,
		})
		return
	}
	cou := &loa.sketch[rarest]
	cou.key = append(cou.key[:0], key...)
	cou.excess = cou.count
	cou.count++
}

// hottest returns the key that certainly had more than half of the requests, or nil.
func (loa *load) hottest() ([]byte, uint64) {
	for _, cou := range loa.sketch {
		if least := cou.count - cou.excess; least*2 > loa.requests {
			return bytes.Clone(cou.key), least
		}
	}
	return nil, 0
}

// reset empties the load and keeps the memory of the sketch.
func (loa *load) reset() {
	loa.requests = 0
	loa.busy = 0
	loa.sketch = loa.sketch[:0]
}

// loads takes the loads of the group's busiest slots. The loads of all others keep adding up, so that none is lost. The
// caller holds the group's mutex.
func (tab *Table) loads(gro *group, now fpclock.Moment) []*fpwire.SlotLoad {
	if !gro.reported.IsZero() && gro.reported.Elapsed(now) < tab.cfg.LoadInterval {
		return nil
	}
	gro.reported = now
	busiest := tab.busiest(gro)
	all := make([]*fpwire.SlotLoad, 0, len(busiest))
	for _, one := range busiest {
		all = append(all, one.take())
	}
	return all
}

// measured is a slot with the load it had when the slots were compared.
type measured struct {
	slot *slot
	name slotName
	busy time.Duration
}

func (tab *Table) busiest(gro *group) []measured {
	var all []measured
	for name, ser := range *tab.services.Load() {
		for num, slo := range ser.slots {
			if ser.groups[num] == gro {
				all = slo.measure(all, slotName{
					service: name,
					number:  uint32(num),
				})
			}
		}
	}
	slices.SortFunc(all, func(one, two measured) int {
		return cmp.Compare(two.busy, one.busy)
	})
	return all[:min(len(all), tab.cfg.MaxLoads)]
}

// measure appends the slot and its split keys when they had requests.
func (slo *slot) measure(all []measured, name slotName) []measured {
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	if slo.load.requests > 0 {
		all = append(all, measured{
			slot: slo,
			name: name,
			busy: slo.load.busy,
		})
	}
	for key, spl := range slo.splits {
		name.key = []byte(key)
		all = spl.measure(all, name)
	}
	return all
}

// take returns the load of a slot and resets it.
func (mea measured) take() *fpwire.SlotLoad {
	slo := mea.slot
	slo.mutex.Lock()
	defer slo.mutex.Unlock()
	msg := &fpwire.SlotLoad{
		Service:  mea.name.service,
		Number:   mea.name.number,
		SplitKey: mea.name.key,
		Busy:     durationpb.New(slo.load.busy),
		Requests: slo.load.requests,
	}
	if mea.name.key == nil {
		msg.HotKey, msg.HotRequests = slo.load.hottest()
	}
	slo.load.reset()
	return msg
}

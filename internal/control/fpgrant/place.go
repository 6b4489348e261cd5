package fpgrant

import (
	"container/heap"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// place gives ready and free cells to upstreams.
func (kee *Keeper) place(now time.Time) {
	queues := map[string]*loadHeap{}
	queue := func(service string) *loadHeap {
		if queues[service] == nil {
			queues[service] = kee.queue(now, service)
		}
		return queues[service]
	}
	ready := kee.ready
	kee.ready = nil
	for i, ref := range ready {
		if kee.full() {
			kee.ready = append(kee.ready, ready[i:]...)
			return
		}
		if kee.stages[ref].step() != stageReady || kee.stages[ref]&flagPending != 0 {
			continue
		}
		if !kee.placeReady(now, ref, queue) {
			kee.ready = append(kee.ready, ref)
		}
	}
	for id := range kee.cfg.Table.services {
		if len(kee.free[uint32(id)]) > 0 {
			kee.placeFree(now, uint32(id), queue)
		}
	}
}

// placeReady proposes the new owner of a cell that nobody serves, and reports whether the proposal was taken.
func (kee *Keeper) placeReady(now time.Time, ref uint32, queue func(string) *loadHeap) bool {
	if kee.hot.active(ref) {
		return kee.placeSplit(now, ref, queue)
	}
	ent := kee.cfg.Table.entry(ref)
	name := ent.GetTarget()
	if hol := kee.holders[name]; hol == nil || !kee.willing(now, hol, ent.GetService()) {
		name = queue(ent.GetService()).take(kee.weight(ref))
	} else if !kee.eligible(now, hol, ent.GetService()) {
		return false
	}
	ent.Target = ""
	ent.Owner = name
	if name == "" {
		ent.State = fpwire.SlotState_SLOT_STATE_FREE
		return kee.propose(ref, ent)
	}
	ent.State = fpwire.SlotState_SLOT_STATE_OWNED
	ent.Epoch++
	return kee.propose(ref, ent)
}

// placeFree proposes owners for the free cells of a service.
func (kee *Keeper) placeFree(now time.Time, id uint32, queue func(string) *loadHeap) {
	service := kee.cfg.Table.services[id].name
	if !kee.keyed(service) || queue(service).Len() == 0 {
		return
	}
	refs := kee.free[id]
	if kee.cfg.Table.cells[refs[0]].epoch == 0 && !kee.settled(now, service) {
		return
	}
	delete(kee.free, id)
	for i, ref := range refs {
		if kee.full() {
			kee.free[id] = append(kee.free[id], refs[i:]...)
			return
		}
		cel := &kee.cfg.Table.cells[ref]
		if cel.state != stateFree || kee.stages[ref]&flagPending != 0 {
			continue
		}
		ent := kee.cfg.Table.entry(ref)
		ent.State = fpwire.SlotState_SLOT_STATE_OWNED
		ent.Epoch++
		ent.Owner = queue(service).take(kee.weight(ref))
		kee.propose(ref, ent)
	}
}

// settled reports whether a service that has no owner yet has waited for more upstreams. Without the wait, the first
// upstream would get every slot and lose most of them again within seconds.
func (kee *Keeper) settled(now time.Time, service string) bool {
	first, ok := kee.firstUp[service]
	if !ok {
		kee.firstUp[service] = now
		return false
	}
	return now.Sub(first) >= kee.cfg.Settle
}

// queue returns the eligible upstreams of a service by load. Upstreams under hold-down are used only when there are no
// others.
func (kee *Keeper) queue(now time.Time, service string) *loadHeap {
	all, fresh := &loadHeap{}, &loadHeap{}
	for _, hol := range kee.order {
		if !kee.eligible(now, hol, service) {
			continue
		}
		one := loaded{
			name:     hol.name,
			load:     hol.load / capacity(hol),
			capacity: capacity(hol),
		}
		*all = append(*all, one)
		if !kee.heldDown(now, hol) {
			*fresh = append(*fresh, one)
		}
	}
	if len(*fresh) > 0 {
		all = fresh
	}
	heap.Init(all)
	return all
}

// capacity is the weight of an upstream among the upstreams of its service.
func capacity(hol *holder) float64 {
	return max(float64(hol.upstream.GetConcurrency()), 1)
}

// loaded is an upstream with its load per unit of concurrency.
type loaded struct {
	name     string
	load     float64
	capacity float64
}

// loadHeap orders upstreams by load, then by name.
type loadHeap []loaded

func (hea loadHeap) Len() int { return len(hea) }

func (hea loadHeap) Less(i, j int) bool {
	if hea[i].load != hea[j].load {
		return hea[i].load < hea[j].load
	}
	return hea[i].name < hea[j].name
}

func (hea loadHeap) Swap(i, j int) { hea[i], hea[j] = hea[j], hea[i] }

// Push adds an element; it serves container/heap.
func (hea *loadHeap) Push(one any) { *hea = append(*hea, one.(loaded)) }

// Pop removes the last element; it serves container/heap.
func (hea *loadHeap) Pop() any {
	last := len(*hea) - 1
	one := (*hea)[last]
	*hea = (*hea)[:last]
	return one
}

// take returns the least loaded upstream and adds the weight to it, or returns "".
func (hea *loadHeap) take(weight float32) string {
	if len(*hea) == 0 {
		return ""
	}
	top := &(*hea)[0]
	name := top.name
	top.load += float64(weight) / top.capacity
	heap.Fix(hea, 0)
	return name
}

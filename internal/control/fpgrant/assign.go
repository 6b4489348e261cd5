package fpgrant

import (
	"container/heap"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// assignSlots proposes owners for the cells that a move has made ready and for the free ones.
func (kee *Keeper) assignSlots(now time.Time) {
	queues := map[string]*loadHeap{}
	queue := func(service string) *loadHeap {
		if queues[service] == nil {
			queues[service] = kee.candidateQueue(now, service)
		}
		return queues[service]
	}
	ready := kee.ready
	kee.ready = nil
	for i, ref := range ready {
		if kee.proposalsFull() {
			kee.ready = append(kee.ready, ready[i:]...)
			return
		}
		if kee.stages[ref].step() != stageReady || kee.stages[ref]&flagPending != 0 {
			continue
		}
		if !kee.assignReady(now, ref, queue) {
			kee.ready = append(kee.ready, ref)
		}
	}
	for id := range kee.cfg.Table.services {
		if len(kee.free[uint32(id)]) > 0 {
			kee.assignFree(now, uint32(id), queue)
		}
	}
}

// assignReady proposes the new owner of a released cell, or the state free if no upstream is eligible, and reports whether
// the proposal was accepted. A target that is available but not published yet is waited for.
func (kee *Keeper) assignReady(now time.Time, ref uint32, queue func(string) *loadHeap) bool {
	if kee.hot.inProgress(ref) {
		return kee.finishSplit(now, ref, queue)
	}
	ent := kee.cfg.Table.entry(ref)
	name := ent.GetTarget()
	if hol := kee.holders[name]; hol == nil || !kee.available(now, hol, ent.GetService()) {
		name = queue(ent.GetService()).takeLeastLoaded(kee.weight(ref))
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

// assignFree proposes owners for the free cells of a service.
func (kee *Keeper) assignFree(now time.Time, id uint32, queue func(string) *loadHeap) {
	service := kee.cfg.Table.services[id].name
	if !kee.keyed(service) || queue(service).Len() == 0 {
		return
	}
	refs := kee.free[id]
	if kee.cfg.Table.cells[refs[0]].epoch == 0 && !kee.firstAssignmentDue(now, service) {
		return
	}
	delete(kee.free, id)
	for i, ref := range refs {
		if kee.proposalsFull() {
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
		ent.Owner = queue(service).takeLeastLoaded(kee.weight(ref))
		kee.propose(ref, ent)
	}
}

// firstAssignmentDue reports whether a service whose slots never had an owner has waited long enough for more upstreams.
// Without the wait, the first upstream would get all slots and lose most of them again within seconds.
func (kee *Keeper) firstAssignmentDue(now time.Time, service string) bool {
	first, ok := kee.firstEligible[service]
	if !ok {
		kee.firstEligible[service] = now
		return false
	}
	return now.Sub(first) >= kee.cfg.FirstAssignmentDelay
}

// candidateQueue returns the eligible upstreams of a service by load. It contains upstreams under hold-down only if there
// are no others.
func (kee *Keeper) candidateQueue(now time.Time, service string) *loadHeap {
	all, notHeldDown := &loadHeap{}, &loadHeap{}
	for _, hol := range kee.order {
		if !kee.eligible(now, hol, service) {
			continue
		}
		que := queuedUpstream{
			name:     hol.name,
			load:     hol.load / capacity(hol),
			capacity: capacity(hol),
		}
		*all = append(*all, que)
		if !kee.heldDown(now, hol) {
			*notHeldDown = append(*notHeldDown, que)
		}
	}
	if len(*notHeldDown) > 0 {
		all = notHeldDown
	}
	heap.Init(all)
	return all
}

// capacity returns the number of requests that an upstream runs at once, at least 1. Upstreams get load in proportion to it.
func capacity(hol *holder) float64 {
	return max(float64(hol.upstream.GetConcurrency()), 1)
}

// queuedUpstream is an upstream with its load per unit of concurrency.
type queuedUpstream struct {
	name     string
	load     float64
	capacity float64
}

// loadHeap orders upstreams by load, then by name.
type loadHeap []queuedUpstream

func (hea loadHeap) Len() int { return len(hea) }

func (hea loadHeap) Less(i, j int) bool {
	if hea[i].load != hea[j].load {
		return hea[i].load < hea[j].load
	}
	return hea[i].name < hea[j].name
}

func (hea loadHeap) Swap(i, j int) { hea[i], hea[j] = hea[j], hea[i] }

// Push adds an element. It implements heap.Interface.
func (hea *loadHeap) Push(elem any) { *hea = append(*hea, elem.(queuedUpstream)) }

// Pop removes the last element. It implements heap.Interface.
func (hea *loadHeap) Pop() any {
	last := len(*hea) - 1
	elem := (*hea)[last]
	*hea = (*hea)[:last]
	return elem
}

// takeLeastLoaded returns the name of the least loaded upstream and adds the weight to its load. It returns "" if there is
// none.
func (hea *loadHeap) takeLeastLoaded(weight float32) string {
	if len(*hea) == 0 {
		return ""
	}
	top := &(*hea)[0]
	name := top.name
	top.load += float64(weight) / top.capacity
	heap.Fix(hea, 0)
	return name
}

package fpgrant

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

const (
	// smoothingFactor is the weight of the newest measurement round in the moving average of a slot's load. With rounds of
	// 5 s, the average reflects half of a change of load after about 10 s.
	smoothingFactor = 0.3
	// baseFraction is the weight of a slot without load, as a fraction of the mean load of a slot. It makes rebalancing
	// spread idle slots, too.
	baseFraction = 0.1
	// trustedRequests is the number of requests above which a slot's weight depends more on its measured load than on the
	// mean load.
	trustedRequests = 10
	// movedFraction bounds the slots that one round of rebalancing moves, as a fraction of the service's slots. The bound is
	// at least minMoves and at most maxMoves.
	movedFraction = 1.0 / 16
	minMoves      = 16
	maxMoves      = updatesPerCommand
)

// addLoad adds the slot loads that an entry VM measured since its last poll. Unknown slots are ignored.
func (kee *Keeper) addLoad(loads []*fpwire.SlotLoad) {
	for _, loa := range loads {
		ref, ok := kee.cfg.Table.find(loa.GetService(), loa.GetNumber(), string(loa.GetSplitKey()))
		if !ok {
			continue
		}
		kee.serviceLoad(kee.cfg.Table.name(ref).service).newRequests += loa.GetRequests()
		kee.busySeconds[ref] += float32(loa.GetBusy().AsDuration().Seconds())
		if len(loa.GetHotKey()) > 0 && loa.GetRequests() > 0 {
			kee.hot.add(ref, loa)
		}
	}
}

// serviceLoad holds the load statistics of a service, which turn the measured load of a slot into its weight. A load is
// given in seconds that upstreams were busy with requests, per second.
type serviceLoad struct {
	baseWeight        float64 // added to the weight of every slot
	meanLoad          float64 // of a slot
	requestsPerLoad   float64 // requests within the period that the moving average covers, per unit of load
	requestsPerSecond float64
	newRequests       uint64 // since the last round
}

// slotWeight returns the weight of a slot with the given load. A load that was measured with few requests is drawn towards
// the mean, because its value is mostly chance, and moves that follow it would be churn without gain.
func (sld *serviceLoad) slotWeight(load float32) float64 {
	count := max(float64(load), sld.meanLoad) * sld.requestsPerLoad
	trust := count / (count + trustedRequests)
	return sld.baseWeight + sld.meanLoad + trust*(float64(load)-sld.meanLoad)
}

// weight returns the weight of a cell, from its load and the statistics of its service.
func (kee *Keeper) weight(ref uint32) float32 {
	return float32(kee.serviceLoad(kee.cfg.Table.name(ref).service).slotWeight(kee.loads[ref]))
}

// serviceLoad returns the statistics of a service, which it creates if needed.
func (kee *Keeper) serviceLoad(id uint32) *serviceLoad {
	sld := kee.serviceLoads[id]
	if sld == nil {
		sld = &serviceLoad{
			baseWeight: 1,
		}
		kee.serviceLoads[id] = sld
	}
	return sld
}

// endMeasurement ends a measurement round that is due: it updates the loads and begins splits, merges and moves that
// improve the balance.
func (kee *Keeper) endMeasurement(now time.Time) {
	if now.Before(kee.nextMeasurement) {
		return
	}
	seconds := float32(now.Sub(kee.lastMeasurement).Seconds())
	kee.lastMeasurement = now
	kee.nextMeasurement = now.Add(kee.cfg.RebalanceEvery)
	if seconds <= 0 {
		return
	}
	totals := kee.smoothLoads(seconds)
	kee.sumLoads()
	for id := range kee.cfg.Table.services {
		service := kee.cfg.Table.services[id].name
		if !kee.keyed(service) {
			continue
		}
		kee.splitAndMerge(now, uint32(id), totals[uint32(id)])
		if kee.moving[service] == 0 && kee.pending == 0 {
			kee.rebalance(now, service)
		}
	}
}

// smoothLoads adds the loads of a round with the given duration to the moving averages and returns the total load of each
// service.
func (kee *Keeper) smoothLoads(seconds float32) map[uint32]float64 {
	totals := map[uint32]float64{}
	counts := map[uint32]int{}
	update := func(ref uint32) float64 {
		kee.loads[ref] += smoothingFactor * (kee.busySeconds[ref]/seconds - kee.loads[ref])
		kee.busySeconds[ref] = 0
		return float64(kee.loads[ref])
	}
	for _, spa := range kee.cfg.Table.spans {
		sum := 0.0
		for ref := spa.base; ref <= spa.base+spa.last-spa.first; ref++ {
			sum += update(ref)
		}
		totals[spa.service] += sum
		counts[spa.service] += int(spa.last - spa.first + 1)
	}
	for nam, ref := range kee.cfg.Table.splits {
		totals[nam.service] += update(ref)
	}
	for id, count := range counts {
		sld := kee.serviceLoad(id)
		sld.requestsPerSecond += smoothingFactor * (float64(sld.newRequests)/float64(seconds) - sld.requestsPerSecond)
		sld.newRequests = 0
		sld.meanLoad = totals[id] / float64(count)
		sld.baseWeight = baseFraction * sld.meanLoad
		if sld.meanLoad < 1e-9 {
			*sld = serviceLoad{
				baseWeight: 1,
			}
			continue
		}
		sld.requestsPerLoad = sld.requestsPerSecond / totals[id] * float64(seconds) * (2 - smoothingFactor) / smoothingFactor
	}
	return totals
}

// sumLoads computes the load of every upstream: the weights of the cells that it owns and of those that undecided
// proposals assign to it.
func (kee *Keeper) sumLoads() {
	tab := kee.cfg.Table
	sums := make([]float64, len(tab.owners))
	for _, spa := range tab.spans {
		sld := kee.serviceLoad(spa.service)
		for ref := spa.base; ref <= spa.base+spa.last-spa.first; ref++ {
			if tab.cells[ref].state == stateOwned {
				sums[tab.cells[ref].owner] += sld.slotWeight(kee.loads[ref])
			}
		}
	}
	for _, ref := range tab.splits {
		if tab.cells[ref].state == stateOwned {
			sums[tab.cells[ref].owner] += float64(kee.weight(ref))
		}
	}
	for _, hol := range kee.order {
		hol.load = sums[tab.ownerIDs[hol.name]]
		if tab.ownerIDs[hol.name] == 0 {
			hol.load = 0
		}
	}
	for ref, name := range kee.incoming {
		if hol := kee.holders[name]; hol != nil {
			hol.load += float64(kee.weight(ref))
		}
	}
}

// candidate is an upstream that may give or take slots in one round of rebalancing.
type candidate struct {
	hol       *holder
	load      float64 // per unit of concurrency
	capacity  float64
	refs      []uint32 // movable cells by falling weight, without those already considered
	listed    bool     // refs is set
	exhausted bool     // no further move from this upstream has enough gain
}

// rebalance moves slots from the busiest to the least busy upstream, heaviest first, as long as that reduces the load of
// the busiest one by at least the service's minimum gain. Upstreams under hold-down take no part.
func (kee *Keeper) rebalance(now time.Time, service string) {
	var candidates []*candidate
	slots := 0
	for _, hol := range kee.order {
		if !kee.eligible(now, hol, service) || kee.heldDown(now, hol) {
			continue
		}
		slots += int(kee.cfg.Table.ownerOf(hol.name).count)
		candidates = append(candidates, &candidate{
			hol:      hol,
			load:     hol.load / capacity(hol),
			capacity: capacity(hol),
		})
	}
	if len(candidates) < 2 {
		return
	}
	gain := kee.minGain(service)
	budget := min(max(int(float64(slots)*movedFraction), minMoves), maxMoves)
	for budget > 0 {
		src, dst := extremes(candidates)
		if src == nil || src == dst || src.load <= 0 {
			return
		}
		gap := src.load - dst.load
		if gap/2 < gain*src.load {
			return
		}
		ref, ok := kee.pickSlot(src, dst, gap, gain)
		if !ok {
			src.exhausted = true
			continue
		}
		wei := float64(kee.weight(ref))
		src.load -= wei / src.capacity
		dst.load += wei / dst.capacity
		kee.proposeRelease(ref, dst.hol.name)
		budget--
	}
}

// extremes returns the busiest upstream that is not exhausted, or nil, and the least busy upstream.
func extremes(candidates []*candidate) (src, dst *candidate) {
	for _, can := range candidates {
		if !can.exhausted && (src == nil || can.load > src.load) {
			src = can
		}
		if dst == nil || can.load < dst.load {
			dst = can
		}
	}
	return src, dst
}

// pickSlot returns the heaviest slot of src whose move to dst does not make dst busier than src. It returns false if all
// such slots together weigh less than the minimum gain, as when a single hot key causes the load.
func (kee *Keeper) pickSlot(src, dst *candidate, gap, gain float64) (uint32, bool) {
	if !src.listed {
		src.listed = true
		src.refs = kee.movable(src.hol)
	}
	skip := 0
	for skip < len(src.refs) {
		wei := float64(kee.weight(src.refs[skip]))
		if wei/src.capacity+wei/dst.capacity <= gap {
			break
		}
		skip++
	}
	src.refs = src.refs[skip:]
	if len(src.refs) == 0 {
		return 0, false
	}
	rest := 0.0
	for _, ref := range src.refs {
		rest += float64(kee.weight(ref)) / src.capacity
		if rest >= gain*src.load {
			first := src.refs[0]
			src.refs = src.refs[1:]
			return first, true
		}
	}
	return 0, false
}

// movable returns the owned cells of an upstream that are not moving yet, by falling weight.
func (kee *Keeper) movable(hol *holder) []uint32 {
	var refs []uint32
	kee.cfg.Table.eachOwned(hol.name, func(ref uint32) {
		if kee.cfg.Table.cells[ref].state == stateOwned && kee.stages[ref] == stageNone {
			refs = append(refs, ref)
		}
	})
	slices.SortFunc(refs, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(kee.loads[b], kee.loads[a]), cmp.Compare(a, b))
	})
	return refs
}

// Imbalance returns the load per unit of concurrency of a service's busiest eligible upstream, divided by the mean of its
// eligible upstreams. It returns 0 if there is no load.
func (kee *Keeper) Imbalance(now time.Time, service string) float64 {
	sum, most, units := 0.0, 0.0, 0.0
	for _, hol := range kee.order {
		if kee.eligible(now, hol, service) {
			sum += hol.load
			units += capacity(hol)
			most = math.Max(most, hol.load/capacity(hol))
		}
	}
	if sum <= 0 {
		return 0
	}
	return most / (sum / units)
}

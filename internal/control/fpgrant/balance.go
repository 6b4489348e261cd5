package fpgrant

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

const (
	// smoothing is the share of the newest round in a slot's measured load. With rounds of 5 s, a change of load counts
	// by half after about 10 s.
	smoothing = 0.3
	// baseShare is the weight of a slot without load, as a share of the mean load of a slot. It spreads idle slots, too.
	baseShare = 0.1
	// trustedRequests is the number of requests from which the measured load of a slot counts for more than the mean.
	trustedRequests = 10
	// movesPerRound bounds the slots that one round of rebalancing moves, as a share of the service's slots.
	movesPerRound = 1.0 / 16
	minMoves      = 16
	maxMoves      = updatesPerCommand
)

// addLoad adds the load that an entry VM measured since its last poll.
func (kee *Keeper) addLoad(loads []*fpwire.SlotLoad) {
	for _, loa := range loads {
		ref, ok := kee.cfg.Table.find(loa.GetService(), loa.GetNumber(), string(loa.GetSplitKey()))
		if !ok {
			continue
		}
		kee.scale(kee.cfg.Table.name(ref).service).counted += loa.GetRequests()
		kee.measured[ref] += float32(loa.GetBusy().AsDuration().Seconds())
		if len(loa.GetHotKey()) > 0 && loa.GetRequests() > 0 {
			kee.hot.add(ref, loa)
		}
	}
}

// scale is what turns the measured load of a slot into its weight.
type scale struct {
	base     float64
	mean     float64 // load of a slot
	requests float64 // per busy second, within the time that smoothing covers
	rate     float64 // requests per second
	counted  uint64  // requests since the last round
}

// weigh returns the weight of a load. A load that rests on few requests is drawn towards the mean, because its measured
// value is mostly chance, and moves that follow it would be churn without gain.
func (sca *scale) weigh(load float32) float64 {
	count := max(float64(load), sca.mean) * sca.requests
	trust := count / (count + trustedRequests)
	return sca.base + sca.mean + trust*(float64(load)-sca.mean)
}

// weight is a cell's load with the base of its service.
func (kee *Keeper) weight(ref uint32) float32 {
	return float32(kee.scale(kee.cfg.Table.name(ref).service).weigh(kee.weights[ref]))
}

func (kee *Keeper) scale(id uint32) *scale {
	sca := kee.scales[id]
	if sca == nil {
		sca = &scale{
			base: 1,
		}
		kee.scales[id] = sca
	}
	return sca
}

// measure ends a round of measurement, sums the loads anew and begins moves that improve the balance.
func (kee *Keeper) measure(now time.Time) {
	if now.Before(kee.nextLoad) {
		return
	}
	seconds := float32(now.Sub(kee.lastLoad).Seconds())
	kee.lastLoad = now
	kee.nextLoad = now.Add(kee.cfg.RebalanceEvery)
	if seconds <= 0 {
		return
	}
	totals := kee.smooth(seconds)
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

// smooth takes the measured loads into the weights and returns the total of each service.
func (kee *Keeper) smooth(seconds float32) map[uint32]float64 {
	totals := map[uint32]float64{}
	counts := map[uint32]int{}
	update := func(ref uint32) float64 {
		kee.weights[ref] += smoothing * (kee.measured[ref]/seconds - kee.weights[ref])
		kee.measured[ref] = 0
		return float64(kee.weights[ref])
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
		sca := kee.scale(id)
		sca.rate += smoothing * (float64(sca.counted)/float64(seconds) - sca.rate)
		sca.counted = 0
		sca.mean = totals[id] / float64(count)
		sca.base = baseShare * sca.mean
		if sca.mean < 1e-9 {
			*sca = scale{
				base: 1,
			}
			continue
		}
		sca.requests = sca.rate / totals[id] * float64(seconds) * (2 - smoothing) / smoothing
	}
	return totals
}

// sumLoads computes the load of every upstream from the weights of its cells and of those on their way to it.
func (kee *Keeper) sumLoads() {
	tab := kee.cfg.Table
	sums := make([]float64, len(tab.owners))
	for _, spa := range tab.spans {
		sca := kee.scale(spa.service)
		for ref := spa.base; ref <= spa.base+spa.last-spa.first; ref++ {
			if tab.cells[ref].state == stateOwned {
				sums[tab.cells[ref].owner] += sca.weigh(kee.weights[ref])
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

// side is an upstream in the plan of one round.
type side struct {
	hol      *holder
	load     float64 // per unit of concurrency
	capacity float64
	refs     []uint32 // slots by falling weight, those already considered removed
	listed   bool
	spent    bool // no more slots can leave with a gain
}

// rebalance moves slots from the busiest to the least busy upstream, largest first, as long as the load of the source
// falls by at least the service's minimum gain. Both ends must be free of hold-down.
func (kee *Keeper) rebalance(now time.Time, service string) {
	var sides []*side
	slots := 0
	for _, hol := range kee.order {
		if !kee.eligible(now, hol, service) || kee.heldDown(now, hol) {
			continue
		}
		slots += int(kee.cfg.Table.ownerOf(hol.name).count)
		sides = append(sides, &side{
			hol:      hol,
			load:     hol.load / capacity(hol),
			capacity: capacity(hol),
		})
	}
	if len(sides) < 2 {
		return
	}
	gain := kee.minGain(service)
	budget := min(max(int(float64(slots)*movesPerRound), minMoves), maxMoves)
	for budget > 0 {
		src, dst := extremes(sides)
		if src == nil || src == dst || src.load <= 0 {
			return
		}
		gap := src.load - dst.load
		if gap/2 < gain*src.load {
			return
		}
		ref, ok := kee.pick(src, dst, gap, gain)
		if !ok {
			src.spent = true
			continue
		}
		wei := float64(kee.weight(ref))
		src.load -= wei / src.capacity
		dst.load += wei / dst.capacity
		kee.release(ref, dst.hol.name)
		budget--
	}
}

func extremes(sides []*side) (src, dst *side) {
	for _, sid := range sides {
		if !sid.spent && (src == nil || sid.load > src.load) {
			src = sid
		}
		if dst == nil || sid.load < dst.load {
			dst = sid
		}
	}
	return src, dst
}

// pick returns the heaviest slot of src whose move to dst does not make dst busier than src. It returns false when all
// such slots together weigh less than the minimum gain, as when a single hot key makes the load.
func (kee *Keeper) pick(src, dst *side, gap, gain float64) (uint32, bool) {
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

// movable returns the cells of an upstream that may move, by falling weight.
func (kee *Keeper) movable(hol *holder) []uint32 {
	var refs []uint32
	kee.cfg.Table.held(hol.name, func(ref uint32) {
		if kee.cfg.Table.cells[ref].state == stateOwned && kee.stages[ref] == stageStill {
			refs = append(refs, ref)
		}
	})
	slices.SortFunc(refs, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(kee.weights[b], kee.weights[a]), cmp.Compare(a, b))
	})
	return refs
}

// Imbalance returns the load of the busiest eligible upstream of a service divided by the mean load, per unit of
// concurrency, or 0 without load.
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

package fpkeeper

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// maxSuccessors is the maximum number of upstreams among which a range without a holder is divided.
	maxSuccessors = 3
	// defaultResponseSeconds is the response time in seconds that is assumed while no upstream's response time is known.
	defaultResponseSeconds = 0.1
	// minSpeedFactor and maxSpeedFactor bound the factor by which the capacity of an upstream is scaled because it answers
	// more slowly or faster than the mean.
	minSpeedFactor = 0.6
	maxSpeedFactor = 1.25
)

// firstPartition tracks the upstreams of a service that has no ranges yet.
type firstPartition struct {
	since, changed time.Time // when the first upstream was seen, and when their number last changed
	upstreams      int       // number of upstreams that may get keys
}

// firstRanges returns ranges that divide all keys among the upstreams of a service without ranges, in proportion to their
// concurrency. It returns nil while there is no upstream. It also returns nil while their number has changed within
// firstPartitionDelay, but at most until maxFirstPartitionDelay after the first one was seen.
func (kee *Keeper) firstRanges(now time.Time, vie View) []*fpstate.Range {
	var available []*fpstate.Upstream
	totalWeight := 0
	for _, ups := range vie.Upstreams {
		if vie.available(ups) {
			available = append(available, ups)
			totalWeight += weight(ups)
		}
	}
	if len(available) == 0 {
		return nil
	}
	fip := kee.firstPartitions[vie.Service]
	if fip == nil {
		fip = &firstPartition{
			since: now,
		}
		kee.firstPartitions[vie.Service] = fip
	}
	if len(available) != fip.upstreams {
		fip.upstreams = len(available)
		fip.changed = now
	}
	if now.Sub(fip.changed) < firstPartitionDelay && now.Sub(fip.since) < maxFirstPartitionDelay {
		return nil
	}
	var ranges []*fpstate.Range
	cumulative, first := 0, uint32(0)
	for _, ups := range available {
		cumulative += weight(ups)
		end := uint32((MaxKey + 1) * cumulative / totalWeight)
		if end <= first {
			continue
		}
		ranges = append(ranges, assignedTo(&fpstate.Range{
			First: first,
			Last:  end - 1,
		}, ups, ""))
		first = end
	}
	return ranges
}

// weight returns the number of requests that an upstream can process at once, at least 1.
func weight(ups *fpstate.Upstream) int { return max(1, int(ups.GetConcurrency())) }

// assignedTo returns a range that is granted to a new holder. Its fence is 0 and is set when the change is applied.
func assignedTo(ran *fpstate.Range, ups *fpstate.Upstream, handover string) *fpstate.Range {
	return &fpstate.Range{
		First:    ran.GetFirst(),
		Last:     ran.GetLast(),
		Upstream: ups.GetId(),
		Born:     ups.GetBorn(),
		Phase:    fpstate.Phase_PHASE_GRANTING,
		Handover: handover,
	}
}

// usage is the load and capacity of one upstream.
type usage struct {
	ups      *fpstate.Upstream
	rate     float64          // requests per second
	capacity float64          // requests per second
	cold     bool             // the capacity is that of a cold upstream
	ranges   []*fpstate.Range // ranges in the serving phase
	incoming int              // number of ranges that are moving to the upstream or not confirmed by it yet
	// unrelievable states that the current search has found no move that takes load from the upstream.
	unrelievable bool
}

// empty reports whether an upstream holds no keys and none are moving to it.
func (usg *usage) empty() bool { return len(usg.ranges) == 0 && usg.incoming == 0 }

// utilization returns the load as a fraction of the capacity; 1 means full.
func (usg *usage) utilization() float64 { return usg.rate / usg.capacity }

// usages returns the usage of all upstreams of a service. Ranges that are being released to a known target, or will be, count there.
func (kee *Keeper) usages(now time.Time, vie View) []*usage {
	loa := kee.Load(vie.Service)
	loa.decay(now)
	byID := map[string]*usage{}
	var all []*usage
	meanSeconds := loa.meanResponseSeconds(vie.Upstreams)
	for _, ups := range vie.Upstreams {
		seconds := loa.responseSeconds[ups.GetId()]
		if seconds <= 0 {
			seconds = meanSeconds
		}
		// A slow upstream answers late even when no request waits there, so it gets less load than it could process.
		speedFactor := min(maxSpeedFactor, max(minSpeedFactor, math.Sqrt(meanSeconds/seconds)))
		usg := &usage{
			ups:      ups,
			capacity: speedFactor * float64(weight(ups)) / seconds,
		}
		if vie.NamedRate != nil {
			if perSecond, limited := vie.NamedRate(ups); limited {
				usg.capacity = min(usg.capacity, perSecond)
			}
		}
		usg.cold = vie.Cold != nil && vie.Cold(ups)
		byID[ups.GetId()] = usg
		all = append(all, usg)
	}
	for _, ran := range vie.Ranges {
		holder := byID[ran.GetUpstream()]
		if holder != nil && holder.ups.GetBorn() != ran.GetBorn() {
			holder = nil
		}
		load := loa.rangeRate(ran.GetFirst(), ran.GetLast())
		target := byID[kee.targets[rangeIDOf(vie.Service, ran)]]
		mve := kee.preparedMoveOf(vie.Service, ran)
		if mve != nil {
			target = byID[mve.target]
		}
		switch {
		case (ran.GetPhase() == fpstate.Phase_PHASE_RELEASING || mve != nil) && target != nil:
			target.rate += load
			target.incoming++
		case holder == nil:
		case ran.GetPhase() == fpstate.Phase_PHASE_SERVING:
			holder.rate += load
			holder.ranges = append(holder.ranges, ran)
		default:
			holder.rate += load
			holder.incoming++
		}
	}
	return all
}

// assign returns a range without a holder as ranges of those of the other upstreams than its last holder that are likeliest to serve it:
// of the target of its move, else of a new incarnation of the last holder without keys, else of the least utilized ones. It
// returns nil if there is no other upstream.
func (kee *Keeper) assign(now time.Time, vie View, ran *fpstate.Range, handover string) []*fpstate.Range {
	assigned := kee.assignTo(now, vie, ran, handover)
	kee.recordAssigned(vie.Service, assigned)
	return assigned
}

func (kee *Keeper) assignTo(now time.Time, vie View, ran *fpstate.Range, handover string) []*fpstate.Range {
	all, best := kee.likeliestHolders(now, vie, ran)
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(one, other *usage) int { return compareUsage(vie, one, other) })
	if target := kee.targets[rangeIDOf(vie.Service, ran)]; target != "" {
		for _, usg := range all {
			if usg.ups.GetId() == target {
				return []*fpstate.Range{assignedTo(ran, usg.ups, handover)}
			}
		}
	}
	count := min(maxSuccessors, len(all))
	if best < expected {
		count = 1 // a division among upstreams that hardly serve would only add ranges
	}
	all = withoutFullCold(all, kee.Load(vie.Service).rangeRate(ran.GetFirst(), ran.GetLast())/float64(count))
	count = min(count, len(all))
	for _, usg := range all {
		// A new incarnation of the last holder that serves no keys yet goes first.
		if usg.ups.GetId() == ran.GetUpstream() && len(usg.ranges) == 0 {
			return []*fpstate.Range{assignedTo(ran, usg.ups, handover)}
		}
	}
	var out []*fpstate.Range
	for pos, sub := range kee.splitByLoad(vie.Service, ran, count) {
		out = append(out, assignedTo(sub, all[pos].ups, handover))
	}
	return out
}

// allLeasesExpiring reports whether an upstream serves ranges and the leases of all of them will expire unless grants arrive
// again: for more than two renewal intervals, no grant for any of them has ended that may have arrived.
func (kee *Keeper) allLeasesExpiring(now time.Time, usg *usage) bool {
	if len(usg.ranges) == 0 {
		return false
	}
	for _, ran := range usg.ranges {
		if kee.lease(now, ran).expiry.Sub(now) > kee.cfg.Hold-2*kee.cfg.Renewal {
			return false
		}
	}
	return true
}

// splitByLoad divides a range into at most count subranges of about the same load. A small range stays whole.
func (kee *Keeper) splitByLoad(service string, ran *fpstate.Range, count int) []*fpstate.Range {
	const minKeysPerGrant = 64 // fewer keys are not worth a grant of their own unless they are hot
	loa := kee.Load(service)
	total := loa.rangeRate(ran.GetFirst(), ran.GetLast())
	size := ran.GetLast() - ran.GetFirst() + 1
	if count < 2 || size < minKeysPerGrant*uint32(count) {
		return []*fpstate.Range{ran}
	}
	loadPerSubrange := (total + 1) / float64(count)
	perKey := 1 / float64(size)
	var subranges []*fpstate.Range
	first, sum := ran.GetFirst(), 0.0
	for key := ran.GetFirst(); key <= ran.GetLast(); key++ {
		sum += loa.keyRate(key) + perKey
		if sum < loadPerSubrange && key != ran.GetLast() || len(subranges) == count-1 && key != ran.GetLast() {
			continue
		}
		sub := proto.CloneOf(ran)
		sub.First, sub.Last = first, key
		subranges = append(subranges, sub)
		first, sum = key+1, 0
	}
	return subranges
}

package fpbalance

import (
	"slices"
	"time"
)

// maxDraws is the number of random draws after which the list is scanned for an upstream that may be chosen.
const maxDraws = 8

// allowed reports whether an upstream may be chosen for a call.
func allowed(mem *member, cal Call) bool {
	if !mem.usable || (cal.Bundle && !mem.takesBundles) {
		return false
	}
	// A new upstream gets one request at a time until its first answer.
	if mem.answers == 0 && mem.inFlight > 0 {
		return false
	}
	return !slices.Contains(cal.Excluded, mem.up.Name)
}

// choose applies the policy to one tier. It returns nil if no upstream may be chosen.
func (bal *Balancer) choose(now time.Time, dis tier, cal Call) *member {
	list := bal.tiers[dis]
	if len(list) == 0 {
		return nil
	}
	switch bal.cfg.Policy {
	case Random:
		return bal.drawRandom(list, cal, nil)
	case RoundRobin:
		return bal.nextInTurn(list, cal)
	case LeastInFlight:
		return bal.leastInFlight(list, cal)
	case PowerOfTwoLocal:
		return bal.betterOfTwo(list, cal, func(mem *member) float64 {
			return float64(mem.inFlight) / mem.concurrency()
		})
	default:
		return bal.betterOfTwo(list, cal, func(mem *member) float64 {
			return bal.score(now, mem)
		})
	}
}

// drawRandom returns a random upstream other than the excluded one, which may be nil. It returns nil if there is none.
// Upstreams that ramp up are drawn in proportion to their weight.
func (bal *Balancer) drawRandom(list []*member, cal Call, excluded *member) *member {
	for range maxDraws {
		mem := list[bal.cfg.Rand.IntN(len(list))]
		if mem != excluded && allowed(mem, cal) && bal.passesRamp(mem) {
			return mem
		}
	}
	return bal.scan(list, cal, excluded)
}

// scan returns the first allowed upstream from a random position on, or nil. It prefers upstreams that pass their ramp.
func (bal *Balancer) scan(list []*member, cal Call, excluded *member) *member {
	var found *member
	start := bal.cfg.Rand.IntN(len(list))
	for i := range list {
		mem := list[(start+i)%len(list)]
		if mem == excluded || !allowed(mem, cal) {
			continue
		}
		if bal.passesRamp(mem) {
			return mem
		}
		if found == nil {
			found = mem
		}
	}
	return found
}

// passesRamp decides at random whether an upstream that ramps up is considered. Its weight counts relative to the highest
// one, so the ramp has no effect if all upstreams are new.
func (bal *Balancer) passesRamp(mem *member) bool {
	weight := mem.weight()
	return weight >= bal.maxWeight || bal.cfg.Rand.Float64() < weight/bal.maxWeight
}

// nextInTurn returns the next upstream in turn, or nil.
func (bal *Balancer) nextInTurn(list []*member, cal Call) *member {
	var found *member
	for range list {
		bal.lastPosition++
		mem := list[bal.lastPosition%len(list)]
		if !allowed(mem, cal) {
			continue
		}
		if bal.passesRamp(mem) {
			return mem
		}
		if found == nil {
			found = mem
		}
	}
	return found
}

// leastInFlight returns the upstream with the fewest requests in flight per unit of concurrency, a random one of equals, or
// nil.
func (bal *Balancer) leastInFlight(list []*member, cal Call) *member {
	var found, rampingUp *member
	equal := 0
	for _, mem := range list {
		if !allowed(mem, cal) {
			continue
		}
		if !bal.passesRamp(mem) {
			rampingUp = mem
			continue
		}
		switch {
		case found == nil || inFlightPerUnit(mem) < inFlightPerUnit(found):
			found = mem
			equal = 1
		case inFlightPerUnit(mem) == inFlightPerUnit(found):
			equal++
			if bal.cfg.Rand.IntN(equal) == 0 {
				found = mem
			}
		}
	}
	if found == nil {
		return rampingUp
	}
	return found
}

// inFlightPerUnit returns the requests of this VM in flight per unit of concurrency.
func inFlightPerUnit(mem *member) float64 {
	return float64(mem.inFlight) / mem.concurrency()
}

// betterOfTwo draws two upstreams and returns the one with the lower score, or nil if there is none.
func (bal *Balancer) betterOfTwo(list []*member, cal Call, score func(*member) float64) *member {
	one := bal.drawRandom(list, cal, nil)
	if one == nil || len(list) == 1 {
		return one
	}
	two := bal.drawRandom(list, cal, one)
	if two == nil || score(one) <= score(two) {
		return one
	}
	return two
}

// load estimates the requests at an upstream per unit of concurrency: those of this VM, those of other VMs, and the load
// estimated from shed requests. The load of other VMs is the mean of the report, weighted by its trust, and of the mean over
// all upstreams, so that an untrusted report makes an upstream neither more nor less attractive.
func (bal *Balancer) load(now time.Time, mem *member) float64 {
	trust := mem.reportTrust(now, bal.halfLife())
	others := trust*mem.otherLoad/mem.concurrency() + (1-trust)*bal.meanOtherLoad
	return inFlightPerUnit(mem) + others + mem.shedPressureNow(now, shedHalfLives*bal.typicalLatency)
}

// score returns the load including the new request, multiplied by the slowness factor. The latency is measured by this VM, so
// an upstream cannot misreport it.
func (bal *Balancer) score(now time.Time, mem *member) float64 {
	return (bal.load(now, mem) + 1/mem.concurrency()) * mem.slownessFactor(now, bal.lowestLatency[mem.distance])
}

// halfLife returns the half-life of load reports, which depends on the typical latency.
func (bal *Balancer) halfLife() time.Duration {
	return min(maxReportHalfLife, max(minReportHalfLife, reportHalfLives*bal.typicalLatency))
}

// refreshMeans computes the means over all usable upstreams, at most once in maxMeansAge.
func (bal *Balancer) refreshMeans(now time.Time) {
	if !bal.meansAt.IsZero() && now.Sub(bal.meansAt) < maxMeansAge {
		return
	}
	bal.meansAt = now
	bal.maxWeight = 0
	bal.lowestLatency = [tierCount]float64{}
	others, trusts := 0.0, 0.0
	for _, mem := range bal.members {
		if !mem.usable {
			continue
		}
		bal.maxWeight = max(bal.maxWeight, mem.weight())
		trust := mem.reportTrust(now, bal.halfLife())
		others += trust * mem.otherLoad / mem.concurrency()
		trusts += trust
		if low := &bal.lowestLatency[mem.distance]; mem.latency > 0 && (*low == 0 || mem.latency < *low) {
			*low = mem.latency
		}
	}
	bal.meanOtherLoad = 0
	if trusts > 0 {
		bal.meanOtherLoad = others / trusts
	}
	bal.refreshTypicalLatency()
}

// refreshTypicalLatency sets the typical latency to the lowest one of all tiers. It thus excludes the network latency of
// farther tiers.
func (bal *Balancer) refreshTypicalLatency() {
	lowest := 0.0
	for _, low := range bal.lowestLatency {
		if low > 0 && (lowest == 0 || low < lowest) {
			lowest = low
		}
	}
	if lowest > 0 {
		bal.typicalLatency = time.Duration(lowest * float64(time.Second))
	}
}

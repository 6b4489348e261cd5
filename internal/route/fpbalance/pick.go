package fpbalance

import (
	"slices"
	"time"
)

// drawTries bounds the random draws that hit excluded upstreams before the list is scanned.
const drawTries = 8

// allowed reports whether an upstream may be chosen for a call.
func allowed(mem *member, cal Call) bool {
	if !mem.usable || (cal.Bundle && !mem.bundles) {
		return false
	}
	// A newcomer proves itself with one request at a time until its first answer.
	if mem.answers == 0 && mem.inFlight > 0 {
		return false
	}
	return !slices.Contains(cal.Tried, mem.up.Name)
}

// pick applies the policy to one tier and returns nil when no upstream may be chosen.
func (bal *Balancer) pick(now time.Time, dis tier, cal Call) *member {
	list := bal.tiers[dis]
	if len(list) == 0 {
		return nil
	}
	switch bal.cfg.Policy {
	case Random:
		return bal.draw(list, cal, nil)
	case RoundRobin:
		return bal.next(list, cal)
	case LeastInFlight:
		return bal.least(list, cal)
	case PowerOfTwoLocal:
		return bal.better(list, cal, func(mem *member) float64 {
			return float64(mem.inFlight) / mem.units()
		})
	default:
		return bal.better(list, cal, func(mem *member) float64 {
			return bal.score(now, mem)
		})
	}
}

// draw returns a random upstream other than one, or nil. A newcomer is passed over with the part of its share that it
// has not yet reached.
func (bal *Balancer) draw(list []*member, cal Call, other *member) *member {
	for range drawTries {
		mem := list[bal.cfg.Rand.IntN(len(list))]
		if mem != other && allowed(mem, cal) && bal.ramped(mem) {
			return mem
		}
	}
	return bal.scan(list, cal, other)
}

// scan returns the first allowed upstream from a random place on, preferring those that are past the ramp.
func (bal *Balancer) scan(list []*member, cal Call, other *member) *member {
	var found *member
	start := bal.cfg.Rand.IntN(len(list))
	for i := range list {
		mem := list[(start+i)%len(list)]
		if mem == other || !allowed(mem, cal) {
			continue
		}
		if bal.ramped(mem) {
			return mem
		}
		if found == nil {
			found = mem
		}
	}
	return found
}

// ramped draws whether a newcomer may be considered. Its weight counts relative to the best one, so that the ramp has no
// effect when all upstreams are newcomers.
func (bal *Balancer) ramped(mem *member) bool {
	weight := mem.weight()
	return weight >= bal.topWeight || bal.cfg.Rand.Float64() < weight/bal.topWeight
}

// next returns the next upstream in turn.
func (bal *Balancer) next(list []*member, cal Call) *member {
	var found *member
	for range list {
		bal.turn++
		mem := list[bal.turn%len(list)]
		if !allowed(mem, cal) {
			continue
		}
		if bal.ramped(mem) {
			return mem
		}
		if found == nil {
			found = mem
		}
	}
	return found
}

// least returns the upstream with the fewest requests in flight per unit; a random one among equals.
func (bal *Balancer) least(list []*member, cal Call) *member {
	var found, passed *member
	equal := 0
	for _, mem := range list {
		if !allowed(mem, cal) {
			continue
		}
		if !bal.ramped(mem) {
			passed = mem
			continue
		}
		switch {
		case found == nil || perUnit(mem) < perUnit(found):
			found = mem
			equal = 1
		case perUnit(mem) == perUnit(found):
			equal++
			if bal.cfg.Rand.IntN(equal) == 0 {
				found = mem
			}
		}
	}
	if found == nil {
		return passed
	}
	return found
}

// perUnit returns the requests in flight of this VM per unit of concurrency.
func perUnit(mem *member) float64 {
	return float64(mem.inFlight) / mem.units()
}

// better draws two upstreams and returns the one with the lower score.
func (bal *Balancer) better(list []*member, cal Call, score func(*member) float64) *member {
	one := bal.draw(list, cal, nil)
	if one == nil || len(list) == 1 {
		return one
	}
	two := bal.draw(list, cal, one)
	if two == nil || score(one) <= score(two) {
		return one
	}
	return two
}

// load estimates the requests on an upstream per unit of concurrency: those of this VM, plus those of other VMs, plus
// what sheds prove. The report of the others counts by its trust, and the mean over all upstreams fills the rest, because
// a report that is not believed must make an upstream neither more nor less attractive.
func (bal *Balancer) load(now time.Time, mem *member) float64 {
	trust := mem.trust(now, bal.halfLife())
	others := trust*mem.others/mem.units() + (1-trust)*bal.meanOthers
	return perUnit(mem) + others + mem.pressureNow(now, shedHalfLives*bal.typical)
}

// score is the load including the new request, scaled by how slow the upstream answers. Latency is measured here and
// cannot be misreported.
func (bal *Balancer) score(now time.Time, mem *member) float64 {
	return (bal.load(now, mem) + 1/mem.units()) * mem.slowness(now, bal.lowest[mem.distance])
}

// halfLife returns the half-life of load reports.
func (bal *Balancer) halfLife() time.Duration {
	return min(longestHalfLife, max(shortestHalfLife, reportHalfLives*bal.typical))
}

// refreshMeans computes the means over all usable upstreams, at most once per meanAge.
func (bal *Balancer) refreshMeans(now time.Time) {
	if !bal.meansAt.IsZero() && now.Sub(bal.meansAt) < meanAge {
		return
	}
	bal.meansAt = now
	bal.topWeight = 0
	bal.lowest = [tierCount]float64{}
	others, trusts := 0.0, 0.0
	for _, mem := range bal.members {
		if !mem.usable {
			continue
		}
		bal.topWeight = max(bal.topWeight, mem.weight())
		trust := mem.trust(now, bal.halfLife())
		others += trust * mem.others / mem.units()
		trusts += trust
		if low := &bal.lowest[mem.distance]; mem.latency > 0 && (*low == 0 || mem.latency < *low) {
			*low = mem.latency
		}
	}
	bal.meanOthers = 0
	if trusts > 0 {
		bal.meanOthers = others / trusts
	}
	bal.refreshTypical()
}

// refreshTypical sets the typical latency, which the network of farther tiers does not inflate.
func (bal *Balancer) refreshTypical() {
	lowest := 0.0
	for _, low := range bal.lowest {
		if low > 0 && (lowest == 0 || low < lowest) {
			lowest = low
		}
	}
	if lowest > 0 {
		bal.typical = time.Duration(lowest * float64(time.Second))
	}
}

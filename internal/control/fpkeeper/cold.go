package fpkeeper

import "slices"

// coldShare returns the rate, in requests per second, of the keys that a cold upstream without keys gets. The rate that would make the
// utilization equal to that of warm upstreams is often below the rate of a single key.
func coldShare(to *usage) float64 { return busyUtilization * to.capacity }

// withinCold returns a move, or nil if its target is cold and cannot serve the load.
func (*rebalancer) withinCold(mve *move) *move {
	if mve != nil && mve.to.cold && mve.to.rate+mve.rate > coldShare(mve.to) {
		return nil
	}
	return mve
}

// withoutFullCold returns the upstreams without the cold ones that cannot serve a further rate, in requests per second, or all if
// there are no others.
func withoutFullCold(all []*usage, rate float64) []*usage {
	rest := slices.DeleteFunc(slices.Clone(all), func(usg *usage) bool { return usg.cold && usg.rate+rate > usg.capacity })
	if len(rest) == 0 {
		return all
	}
	return rest
}

// Package fpbalance balances the load of calls without a key over upstreams. A choice is based on what one entry VM knows:
// its own requests in flight, the load that upstreams report, and the answers that it received.
package fpbalance

// Policy is an algorithm that chooses among the upstreams of one tier: those in the own data centre, in the rest of the own
// region, or in other regions.
type Policy uint8

// The policies. The zero value is PowerOfTwo.
const (
	// PowerOfTwo draws two upstreams and takes the one with the lower score, which combines the requests in flight of this
	// VM, the reported load and the latency.
	PowerOfTwo Policy = iota
	// Random draws one upstream.
	Random
	// RoundRobin takes the upstreams in turn.
	RoundRobin
	// LeastInFlight takes the upstream with the fewest requests in flight of this VM.
	LeastInFlight
	// PowerOfTwoLocal draws two upstreams and takes the one with fewer requests in flight of this VM.
	PowerOfTwoLocal
	policyCount
)

// policyNames are the names of the policies in configuration and results.
var policyNames = [policyCount]string{
	PowerOfTwo:      "powerOfTwo",
	Random:          "random",
	RoundRobin:      "roundRobin",
	LeastInFlight:   "leastInFlight",
	PowerOfTwoLocal: "powerOfTwoLocal",
}

// String returns the name of the policy. An unknown policy has the name of PowerOfTwo.
func (pol Policy) String() string {
	if pol >= policyCount {
		return policyNames[PowerOfTwo]
	}
	return policyNames[pol]
}

// ParsePolicy returns the policy with the given name, and false for an unknown name.
func ParsePolicy(name string) (Policy, bool) {
	for pol := range policyCount {
		if policyNames[pol] == name {
			return pol, true
		}
	}
	return PowerOfTwo, false
}

// Policies returns all policies.
func Policies() []Policy {
	all := make([]Policy, 0, policyCount)
	for pol := range policyCount {
		all = append(all, pol)
	}
	return all
}

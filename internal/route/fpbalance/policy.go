// Package fpbalance chooses an upstream for a call without a key. It makes its choice from what one entry VM knows: its
// own requests in flight, the load that upstreams report, and the answers it has seen.
package fpbalance

// Policy is an algorithm that chooses among the upstreams of one location.
type Policy uint8

// The policies. The zero value is PowerOfTwo.
const (
	// PowerOfTwo draws two upstreams and takes the one with the lower load, which blends the requests in flight of this
	// VM with the reported load.
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

// names are the policies' names in configuration and results.
var names = [policyCount]string{
	PowerOfTwo:      "powerOfTwo",
	Random:          "random",
	RoundRobin:      "roundRobin",
	LeastInFlight:   "leastInFlight",
	PowerOfTwoLocal: "powerOfTwoLocal",
}

// String returns the name of the policy.
func (pol Policy) String() string {
	if pol >= policyCount {
		return names[PowerOfTwo]
	}
	return names[pol]
}

// Parse returns the policy with the given name.
func Parse(name string) (Policy, bool) {
	for pol := range policyCount {
		if names[pol] == name {
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

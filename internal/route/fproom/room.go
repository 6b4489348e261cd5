// Package fproom bounds the requests that all entry VMs together have at an upstream, so that VMs which each send it a few do not
// fill it. A place is the permission to have one request there. Entry VMs count their requests (Limiter) and report them to the leader
// of the control VMs, which sums them up (Ledger). While an upstream is nearly full, each request there needs a place from the leader.
package fproom

import (
	"math"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpurgency"
)

const (
	// limitFactor is the number of places in use, as a multiple of the slots, from which an upstream is limited. It is also the least
	// target of a limited one, and maxTargetFactor the largest. Upstreams with 6 slots and 24 waiting places were seen; with 3.5, a third
	// of these is left for requests that are not counted yet.
	limitFactor     = 1.5
	maxTargetFactor = 3.5
	// processingFactor is the processing time, as a multiple of its mean, that the objective must leave beside the wait.
	processingFactor = 1.3
	// freeTime is how long the places in use must be below the slots until an upstream is no longer limited.
	freeTime = time.Second
	// silenceTimeout is how long after its last report a VM holds no more places, and how long without an answer of the leader a VM
	// uses its equal share.
	silenceTimeout = 1500 * time.Millisecond
	// limitRetention is how long after its last contact with the leader a VM keeps the limits.
	limitRetention = 10 * time.Second
	// minCallGap is the shortest time between two calls of a VM, and gapPerEntry the time for each entry VM if that is longer.
	minCallGap  = 100 * time.Millisecond
	gapPerEntry = 1200 * time.Microsecond
	// maxRetryAfter bounds the time after which a refused request is to be retried.
	maxRetryAfter = 5 * time.Second
	// defaultMean is the mean processing time of an upstream of which none is known.
	defaultMean = 500 * time.Millisecond
	// classes is the number of classes of urgency.
	classes = fpurgency.Classes
)

// Incarnation identifies one run of an upstream's process.
type Incarnation struct {
	ID   string
	Born uint64
}

// Use is what a VM uses and needs at an upstream.
type Use struct {
	Incarnation Incarnation
	// InFlight is the number of requests there, and Unused that of granted places without a request.
	InFlight, Unused int
	// Waiting is the number of requests that wait for a place, by class.
	Waiting [classes]int
	// Load is the number of requests there by the newest load report, and LoadAge its age, or negative without one.
	Load    int
	LoadAge time.Duration
	// Full states that the upstream had no room for a request since the last report.
	Full bool
	// Mean is the mean processing time, and Objective the shortest objective of the requests. 0: not known.
	Mean, Objective time.Duration
}

// Grant states that an upstream is limited, and how many places the VM gets, by class. Wait is the time until the leader expects to
// have a place for the most urgent request that got none.
type Grant struct {
	Incarnation Incarnation
	Granted     [classes]int
	Wait        time.Duration
}

// CallGap returns the shortest time between the calls of one of a number of entry VMs.
func CallGap(entries uint32) time.Duration {
	return max(minCallGap, time.Duration(entries)*gapPerEntry)
}

// Target returns the number of places of a limited upstream: that with which a request which gets the last one is answered within the
// objective.
func Target(slots int, mean, objective time.Duration) int {
	if slots <= 0 {
		return 0
	}
	if mean <= 0 {
		mean = defaultMean
	}
	target := maxTargetFactor * float64(slots)
	if objective > 0 {
		spare := float64(objective) - processingFactor*float64(mean)
		target = min(target, float64(slots)*(1+spare/float64(mean)))
	}
	return int(math.Floor(max(target, limitFactor*float64(slots))))
}

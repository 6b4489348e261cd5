package fpkeeper

import (
	"math"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// slowHalfLife is the half-life of the slow request counts. With a shorter one, the counts of upstreams with a few
	// requests per second vary so much that keys are moved without need.
	slowHalfLife = 6 * time.Second
	// fastHalfLife is the half-life of the fast request counts, which show hot keys within a second or two.
	fastHalfLife = 1500 * time.Millisecond
	// minCount is the count below which a decayed count becomes 0.
	minCount = 0.01
	// minDecayInterval is the minimum time between two decays of all counts.
	minDecayInterval = 200 * time.Millisecond
	// responseTimeSmoothing is the weight of the newest report in the moving average of an upstream's response time.
	responseTimeSmoothing = 0.3
)

// Load holds the decaying request counts of the keys of a service and the response times of its upstreams, as entry VMs
// report them.
type Load struct {
	slow, fast [MaxKey + 1]float64 // requests by key, decaying with slowHalfLife and fastHalfLife
	decayedAt  time.Time
	// responseSeconds is the moving average of the response time of each upstream in seconds, by id.
	responseSeconds map[string]float64
}

func newLoad() *Load {
	return &Load{
		responseSeconds: map[string]float64{},
	}
}

// decay reduces all counts by the time since the last decay, unless that is shorter than minDecayInterval.
func (loa *Load) decay(now time.Time) {
	elapsed := now.Sub(loa.decayedAt)
	if elapsed < minDecayInterval {
		return
	}
	loa.decayedAt = now
	decayCounts(loa.slow[:], elapsed, slowHalfLife)
	decayCounts(loa.fast[:], elapsed, fastHalfLife)
}

func decayCounts(counts []float64, elapsed, halfLife time.Duration) {
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	for key, num := range counts {
		if num == 0 {
			continue
		}
		if num *= factor; num < minCount {
			num = 0
		}
		counts[key] = num
	}
}

// Count adds requests for a key. Keys above MaxKey are ignored.
func (loa *Load) Count(now time.Time, key, count uint32) {
	if key > MaxKey {
		return
	}
	loa.decay(now)
	loa.slow[key] += float64(count)
	loa.fast[key] += float64(count)
}

// ObserveResponseTime updates the response time of an upstream with the mean response time of one report.
func (loa *Load) ObserveResponseTime(upstream string, mean time.Duration) {
	old, ok := loa.responseSeconds[upstream]
	if !ok {
		loa.responseSeconds[upstream] = mean.Seconds()
		return
	}
	loa.responseSeconds[upstream] = old + responseTimeSmoothing*(mean.Seconds()-old)
}

// meanResponseSeconds returns the mean of the known response times of upstreams in seconds, or defaultResponseSeconds if
// none is known.
func (loa *Load) meanResponseSeconds(upstreams []*fpstate.Upstream) float64 {
	sum, count := 0.0, 0.0
	for _, ups := range upstreams {
		if seconds := loa.responseSeconds[ups.GetId()]; seconds > 0 {
			sum += seconds
			count++
		}
	}
	if count == 0 {
		return defaultResponseSeconds
	}
	return sum / count
}

// effectiveWindow returns the effective window of a decaying count in seconds: at a steady rate, the count is the rate
// times the window.
func effectiveWindow(halfLife time.Duration) float64 { return halfLife.Seconds() / math.Ln2 }

// lowerConfidenceBound returns a lower bound of the expected value of a Poisson count: the count less two standard
// deviations.
func lowerConfidenceBound(count float64) float64 { return max(0, count-2*math.Sqrt(count)) }

// keyRate returns the requests per second for a key: the rate of the slow count, or the lower confidence bound of the rate
// of the fast count if that is higher.
func (loa *Load) keyRate(key uint32) float64 {
	return max(loa.slow[key]/effectiveWindow(slowHalfLife), lowerConfidenceBound(loa.fast[key])/effectiveWindow(fastHalfLife))
}

// rangeRate returns the requests per second for the keys from first to last.
func (loa *Load) rangeRate(first, last uint32) float64 {
	sum := 0.0
	for key := first; key <= last; key++ {
		if loa.slow[key] > 0 {
			sum += loa.keyRate(key)
		}
	}
	return sum
}

package fpkeeper

import (
	"math"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// slowHalfLife is the time in which a count of requests loses half of its weight. With a shorter one, the counts of
	// upstreams with a few requests a second vary so much that keys are moved for no reason.
	slowHalfLife = 6 * time.Second
	// fastHalfLife is that of the counts that show hot keys, within a second or two.
	fastHalfLife = 1500 * time.Millisecond
	// leastCount is the count below which an old one is dropped.
	leastCount = 0.01
	// ageStep is the least time between two agings of all counts.
	ageStep = 200 * time.Millisecond
	// speedShare is the weight of one report in the mean time of an upstream's answers.
	speedShare = 0.3
)

// Load is the number of requests for each key of a service, and the speed of its upstreams, as entry VMs report them.
type Load struct {
	slow, fast [MaxKey + 1]float64
	aged       time.Time
	// times is the mean time of an answer of each upstream in seconds.
	times map[string]float64
}

func newLoad() *Load {
	return &Load{
		times: map[string]float64{},
	}
}

// age lets older counts fade.
func (loa *Load) age(now time.Time) {
	passed := now.Sub(loa.aged)
	if passed < ageStep {
		return
	}
	loa.aged = now
	fade(loa.slow[:], passed, slowHalfLife)
	fade(loa.fast[:], passed, fastHalfLife)
}

func fade(counts []float64, passed, halfLife time.Duration) {
	factor := math.Exp2(-float64(passed) / float64(halfLife))
	for key, num := range counts {
		if num == 0 {
			continue
		}
		if num *= factor; num < leastCount {
			num = 0
		}
		counts[key] = num
	}
}

// Count adds requests for a key.
func (loa *Load) Count(now time.Time, key, count uint32) {
	if key > MaxKey {
		return
	}
	loa.age(now)
	loa.slow[key] += float64(count)
	loa.fast[key] += float64(count)
}

// Answered adds answers of an upstream that took the given time on average.
func (loa *Load) Answered(upstream string, mean time.Duration) {
	old, ok := loa.times[upstream]
	if !ok {
		loa.times[upstream] = mean.Seconds()
		return
	}
	loa.times[upstream] = old + speedShare*(mean.Seconds()-old)
}

// usualTime returns the mean time of an answer in seconds of those upstreams that have given any.
func (loa *Load) usualTime(upstreams []*fpstate.Upstream) float64 {
	sum, count := 0.0, 0.0
	for _, ups := range upstreams {
		if seconds := loa.times[ups.GetId()]; seconds > 0 {
			sum += seconds
			count++
		}
	}
	if count == 0 {
		return defaultTime
	}
	return sum / count
}

// window returns the time over which a fading count sums up: a steady rate r adds up to r times the window.
func window(halfLife time.Duration) float64 { return halfLife.Seconds() / math.Ln2 }

// surely returns what a count is above but for chance: two standard deviations below it.
func surely(count float64) float64 { return max(0, count-2*math.Sqrt(count)) }

// key returns the requests per second for a key: those of the last seconds, or those of the last second if they are more beyond
// chance.
func (loa *Load) key(key uint32) float64 {
	return max(loa.slow[key]/window(slowHalfLife), surely(loa.fast[key])/window(fastHalfLife))
}

// rate returns the requests per second for a range of keys.
func (loa *Load) rate(first, last uint32) float64 {
	sum := 0.0
	for key := first; key <= last; key++ {
		if loa.slow[key] > 0 {
			sum += loa.key(key)
		}
	}
	return sum
}

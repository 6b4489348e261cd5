package fpkeeper

import (
	"math"
	"time"
)

const (
	// loadHalfLife is the time in which a count of requests loses half of its weight. Hot keys move within seconds.
	loadHalfLife = 2 * time.Second
	// speedShare is the weight of one report in the mean time of an upstream's answers.
	speedShare = 0.3
)

// Load is the number of requests for each key of a service, and the speed of its upstreams, as entry VMs report them.
type Load struct {
	counts [MaxKey + 1]float64
	total  float64
	aged   time.Time
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
	const step = 200 * time.Millisecond
	passed := now.Sub(loa.aged)
	if passed < step {
		return
	}
	factor := math.Exp2(-float64(passed) / float64(loadHalfLife))
	loa.aged = now
	loa.total = 0
	for key, num := range loa.counts {
		if num == 0 {
			continue
		}
		const least = 0.01
		num *= factor
		if num < least {
			num = 0
		}
		loa.counts[key] = num
		loa.total += num
	}
}

// Count adds requests for a key.
func (loa *Load) Count(now time.Time, key, count uint32) {
	if key > MaxKey {
		return
	}
	loa.age(now)
	loa.counts[key] += float64(count)
	loa.total += float64(count)
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

// perSecond converts a count to requests per second: counts fade, so a steady rate r adds up to r * halfLife / ln 2.
func perSecond(count float64) float64 { return count * math.Ln2 / loadHalfLife.Seconds() }

// sum returns the count of a range of keys.
func (loa *Load) sum(first, last uint32) float64 {
	sum := 0.0
	for key := first; key <= last; key++ {
		sum += loa.counts[key]
	}
	return sum
}

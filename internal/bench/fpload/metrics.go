package fpload

import (
	"math"
	"time"
)

// Imbalance is how unevenly load spreads across upstreams.
type Imbalance struct {
	// MaxToMean is the ratio of the highest load to the mean; 1 is perfect.
	MaxToMean float64 `json:"maxToMean"`
	// Variation is the coefficient of variation: the standard deviation divided by the mean; 0 is perfect.
	Variation float64 `json:"variation"`
}

// ImbalanceOf computes the imbalance of loads. Upstreams without load have to be listed with 0.
func ImbalanceOf(loads []float64) Imbalance {
	if len(loads) == 0 {
		return Imbalance{}
	}
	sum, highest := 0.0, 0.0
	for _, load := range loads {
		sum += load
		highest = max(highest, load)
	}
	mean := sum / float64(len(loads))
	if mean == 0 {
		return Imbalance{}
	}
	squares := 0.0
	for _, load := range loads {
		squares += (load - mean) * (load - mean)
	}
	return Imbalance{
		MaxToMean: highest / mean,
		Variation: math.Sqrt(squares/float64(len(loads))) / mean,
	}
}

// Imbalance returns the imbalance of the answers over the named upstreams.
func (res *Result) Imbalance(names []string) Imbalance {
	loads := make([]float64, 0, len(names))
	for _, name := range names {
		loads = append(loads, float64(res.upstreams[name]))
	}
	return ImbalanceOf(loads)
}

// Churn returns the number of keys, or slots, whose owner differs between two tables. A key without an owner before has
// not changed its owner.
func Churn(before, after map[string]string) int {
	count := 0
	for key, owner := range before {
		if next, ok := after[key]; ok && owner != "" && next != owner {
			count++
		}
	}
	return count
}

// outage is the state of one key.
type outage struct {
	served time.Duration // arrival of the last answered request
	failed bool          // a request after it was not answered
	since  time.Duration // arrival of the first one that was not
	total  time.Duration
	worst  time.Duration
}

// outages measures the time for which the requests of each key were not served.
type outages struct {
	keys map[string]*outage
}

// record adds the end of a request. Ends come nearly in the order of arrivals; one that arrived before the last served
// one changes nothing.
func (out *outages) record(key string, at, _ time.Duration, sta Status) {
	cur := out.keys[key]
	if cur == nil {
		cur = &outage{}
		out.keys[key] = cur
	}
	switch {
	case sta != Answered:
		if !cur.failed && at >= cur.served {
			cur.failed = true
			cur.since = at
		}
	case cur.failed && at > cur.since:
		cur.total += at - cur.since
		cur.worst = max(cur.worst, at-cur.since)
		cur.failed = false
		cur.served = at
	default:
		cur.served = max(cur.served, at)
	}
}

// Unavailable is the time for which requests were not served.
type Unavailable struct {
	// Total is the sum over all keys.
	Total time.Duration `json:"total"`
	// Worst is the longest single outage of a key.
	Worst time.Duration `json:"worst"`
	// Keys is the number of keys with an outage.
	Keys int `json:"keys"`
}

// Unavailable returns the unavailable time: for each key, the time from the arrival of a request that was not answered to
// the arrival of the next one that was. A load without keys counts as one key.
func (res *Result) Unavailable() Unavailable {
	var una Unavailable
	for _, cur := range res.outages.keys {
		total, worst := cur.total, cur.worst
		if cur.failed {
			open := res.cfg.Duration - cur.since
			total += open
			worst = max(worst, open)
		}
		if total > 0 {
			una.Keys++
		}
		una.Total += total
		una.Worst = max(una.Worst, worst)
	}
	return una
}

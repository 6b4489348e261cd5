package fpload

import (
	"math"
	"time"
)

// Imbalance describes how unevenly load is distributed across upstreams.
type Imbalance struct {
	// MaxToMean is the ratio of the highest load to the mean. 1: all loads are equal. 0: there is no load.
	MaxToMean float64 `json:"maxToMean"`
	// Variation is the coefficient of variation: the standard deviation divided by the mean. 0: all loads are equal.
	Variation float64 `json:"variation"`
}

// ImbalanceOf computes the imbalance of the loads of upstreams. Upstreams without load must be included with 0. The result
// is the zero value without loads or if all loads are 0.
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

// Imbalance returns the imbalance of the numbers of answers of the named upstreams.
func (res *Result) Imbalance(names []string) Imbalance {
	loads := make([]float64, 0, len(names))
	for _, name := range names {
		loads = append(loads, float64(res.upstreams[name]))
	}
	return ImbalanceOf(loads)
}

// Churn returns the number of keys, or slots, whose owner differs between two tables from key to owner. Keys that have no
// owner before, or are in one table only, do not count.
func Churn(before, after map[string]string) int {
	count := 0
	for key, owner := range before {
		if next, ok := after[key]; ok && owner != "" && next != owner {
			count++
		}
	}
	return count
}

// outage records the outages of one key. Its durations, except total and worst, are times since the start of the run.
type outage struct {
	lastServed   time.Duration // arrival of the last answered request
	failing      bool          // an outage is in progress
	failingSince time.Duration // arrival of the first request of the outage in progress
	total        time.Duration
	worst        time.Duration
}

// outages measures for each key the time during which its requests were not answered.
type outages struct {
	keys map[string]*outage
}

// record adds the end of a request. Requests end nearly in the order of their arrivals; the failure of a request that
// arrived before the last answered one is ignored.
func (ots *outages) record(key string, arrival, _ time.Duration, sta Status) {
	cur := ots.keys[key]
	if cur == nil {
		cur = &outage{}
		ots.keys[key] = cur
	}
	switch {
	case sta != Answered:
		if !cur.failing && arrival >= cur.lastServed {
			cur.failing = true
			cur.failingSince = arrival
		}
	case cur.failing && arrival > cur.failingSince:
		cur.total += arrival - cur.failingSince
		cur.worst = max(cur.worst, arrival-cur.failingSince)
		cur.failing = false
		cur.lastServed = arrival
	default:
		cur.lastServed = max(cur.lastServed, arrival)
	}
}

// Unavailability is the time during which requests were not answered.
type Unavailability struct {
	// Total is the sum over all keys.
	Total time.Duration `json:"total"`
	// Worst is the longest single outage of a key.
	Worst time.Duration `json:"worst"`
	// Keys is the number of keys with an outage.
	Keys int `json:"keys"`
}

// Unavailability returns the time during which requests were not answered: for each key, the time from the arrival of a
// request that was not answered to the arrival of the next one that was, or to the end of the arrivals. A load without keys
// counts as one key.
func (res *Result) Unavailability() Unavailability {
	var una Unavailability
	for _, cur := range res.outages.keys {
		total, worst := cur.total, cur.worst
		if cur.failing {
			ongoing := res.cfg.Duration - cur.failingSince
			total += ongoing
			worst = max(worst, ongoing)
		}
		if total > 0 {
			una.Keys++
		}
		una.Total += total
		una.Worst = max(una.Worst, worst)
	}
	return una
}

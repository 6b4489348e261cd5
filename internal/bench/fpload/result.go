package fpload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowestLatency and highestLatency bound the histograms, in microseconds.
	lowestLatency  = 1
	highestLatency = 120_000_000
	// latencyDigits is the precision of the histograms in significant digits.
	latencyDigits = 3
)

// newHistogram returns an empty histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

// Slice is what happened to the requests that arrived in one slice of time.
type Slice struct {
	counts  [statusCount]int
	dropped int
	latency *hdrhistogram.Histogram // of answers
}

// Count returns the number of requests with a status.
func (sli *Slice) Count(sta Status) int { return sli.counts[sta] }

// P99 returns the 99th percentile of the latency of answers, or 0 without answers.
func (sli *Slice) P99() time.Duration {
	if sli.latency == nil {
		return 0
	}
	return quantile(sli.latency, 99)
}

// quantile returns a percentile of a histogram of microseconds.
func quantile(his *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(his.ValueAtQuantile(percent)) * time.Microsecond
}

// Result is what came of a run. It is safe for concurrent use while the run records.
type Result struct {
	mut       sync.Mutex
	cfg       Config
	slices    []*Slice
	latency   [statusCount]*hdrhistogram.Histogram
	bundles   *hdrhistogram.Histogram // answers to bundles, which latency leaves out
	callers   map[string]*[statusCount]int
	upstreams map[string]int
	kinds     map[string]int
	outages   outages
	dropped   int
}

// newResult returns an empty result.
func newResult(cfg Config) *Result {
	res := &Result{
		cfg:       cfg,
		bundles:   newHistogram(),
		callers:   map[string]*[statusCount]int{},
		upstreams: map[string]int{},
		kinds:     map[string]int{},
		outages: outages{
			keys: map[string]*outage{},
		},
	}
	for sta := range statusCount {
		res.latency[sta] = newHistogram()
	}
	return res
}

// slice returns the slice of an arrival.
func (res *Result) slice(at time.Duration) *Slice {
	pos := int(at / res.cfg.Slice)
	for len(res.slices) <= pos {
		res.slices = append(res.slices, &Slice{})
	}
	return res.slices[pos]
}

// drop counts a request that the generator could not send.
func (res *Result) drop(at time.Duration) {
	res.mut.Lock()
	defer res.mut.Unlock()
	res.dropped++
	res.slice(at).dropped++
}

// record counts the end of a request.
func (res *Result) record(req Request, ans Answer, at, took time.Duration) {
	res.mut.Lock()
	defer res.mut.Unlock()
	sli := res.slice(at)
	sli.counts[ans.Status]++
	micros := min(max(took.Microseconds(), lowestLatency), highestLatency)
	if req.Bundle && ans.Status == Answered {
		res.bundles.RecordValue(micros)
	} else {
		res.latency[ans.Status].RecordValue(micros)
	}
	if ans.Status == Answered && !req.Bundle {
		if sli.latency == nil {
			sli.latency = newHistogram()
		}
		sli.latency.RecordValue(micros)
	}
	if res.callers[req.Caller] == nil {
		res.callers[req.Caller] = &[statusCount]int{}
	}
	res.callers[req.Caller][ans.Status]++
	if ans.Upstream != "" && ans.Status == Answered {
		res.upstreams[ans.Upstream]++
	}
	if ans.Kind != "" {
		res.kinds[ans.Kind]++
	}
	res.outages.record(req.Key, at, took, ans.Status)
}

// Name returns the name of the run.
func (res *Result) Name() string { return res.cfg.Name }

// Count returns the number of requests with a status.
func (res *Result) Count(sta Status) int {
	sum := 0
	for _, sli := range res.slices {
		sum += sli.counts[sta]
	}
	return sum
}

// Dropped returns the number of requests that the generator could not send.
func (res *Result) Dropped() int { return res.dropped }

// Latency returns a percentile of the latency of small calls with a status.
func (res *Result) Latency(sta Status, percent float64) time.Duration {
	return quantile(res.latency[sta], percent)
}

// BundleLatency returns a percentile of the latency of bundles.
func (res *Result) BundleLatency(percent float64) time.Duration {
	return quantile(res.bundles, percent)
}

// Bundles returns the number of answered bundles.
func (res *Result) Bundles() int { return int(res.bundles.TotalCount()) }

// Caller returns the number of a caller's requests with a status.
func (res *Result) Caller(name string, sta Status) int {
	if counts := res.callers[name]; counts != nil {
		return counts[sta]
	}
	return 0
}

// Kind returns the number of errors of a kind.
func (res *Result) Kind(name string) int { return res.kinds[name] }

// Upstreams returns the number of answers per upstream.
func (res *Result) Upstreams() map[string]int { return res.upstreams }

// Slices returns the time series; the first slice begins with the run.
func (res *Result) Slices() []*Slice { return res.slices }

// Goodput returns the answers per second to requests that arrived between two times.
func (res *Result) Goodput(from, until time.Duration) float64 {
	count := 0
	for i, sli := range res.slices {
		if at := time.Duration(i) * res.cfg.Slice; at >= from && at < until {
			count += sli.counts[Answered]
		}
	}
	return float64(count) / (until - from).Seconds()
}

// P99Between returns the 99th percentile of the latency of answers to requests that arrived between two times.
func (res *Result) P99Between(from, until time.Duration) time.Duration {
	sum := newHistogram()
	for i, sli := range res.slices {
		if at := time.Duration(i) * res.cfg.Slice; at >= from && at < until && sli.latency != nil {
			sum.Merge(sli.latency)
		}
	}
	return quantile(sum, 99)
}

// RecoveryTime returns the time from a moment, such as the end of a surge, until the p99 latency of a second of arrivals
// stays at or below a bound and no request fails. It returns false when that does not happen within the run.
func (res *Result) RecoveryTime(from time.Duration, bound time.Duration) (time.Duration, bool) {
	const window = time.Second
	last := from
	for at := from; at+window <= res.cfg.Duration; at += res.cfg.Slice {
		if res.P99Between(at, at+window) > bound || res.failedBetween(at, at+window) > 0 {
			last = at + res.cfg.Slice
		}
	}
	return last - from, last+window+res.cfg.Slice <= res.cfg.Duration
}

// failedBetween returns the number of failed requests that arrived between two times.
func (res *Result) failedBetween(from, until time.Duration) int {
	count := 0
	for i, sli := range res.slices {
		if at := time.Duration(i) * res.cfg.Slice; at >= from && at < until {
			count += sli.counts[Failed]
		}
	}
	return count
}

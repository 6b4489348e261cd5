package fpload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minLatencyMicros and maxLatencyMicros bound the histograms. Latencies outside are recorded as the bound.
	minLatencyMicros = 1
	maxLatencyMicros = 120_000_000
	// histogramDigits is the precision of the histograms in significant decimal digits.
	histogramDigits = 3
)

// newHistogram returns an empty histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, histogramDigits)
}

// Interval counts the requests that arrived in one interval of the time series.
type Interval struct {
	counts  [statusCount]int
	dropped int
	latency *hdrhistogram.Histogram // of answers to small calls; nil without any
}

// Count returns the number of requests with a status.
func (ivl *Interval) Count(sta Status) int { return ivl.counts[sta] }

// P99 returns the 99th percentile of the latency of answers to small calls, or 0 without any.
func (ivl *Interval) P99() time.Duration {
	if ivl.latency == nil {
		return 0
	}
	return percentile(ivl.latency, 99)
}

// percentile returns a percentile, from 0 to 100, of a histogram of microseconds.
func percentile(his *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(his.ValueAtQuantile(percent)) * time.Microsecond
}

// Result holds the measurements of a run. Requests are recorded concurrently; its exported methods must only be used after
// the run.
type Result struct {
	mut           sync.Mutex
	cfg           Config
	intervals     []*Interval
	latency       [statusCount]*hdrhistogram.Histogram
	bundleLatency *hdrhistogram.Histogram // of answers to bundles, which latency does not include
	callers       map[string]*[statusCount]int
	upstreams     map[string]int
	kinds         map[string]int
	outages       outages
	dropped       int
}

// newResult returns an empty result.
func newResult(cfg Config) *Result {
	res := &Result{
		cfg:           cfg,
		bundleLatency: newHistogram(),
		callers:       map[string]*[statusCount]int{},
		upstreams:     map[string]int{},
		kinds:         map[string]int{},
		outages: outages{
			keys: map[string]*outage{},
		},
	}
	for sta := range statusCount {
		res.latency[sta] = newHistogram()
	}
	return res
}

// intervalOf returns the interval of an arrival, and adds the missing ones before it. The caller holds mut.
func (res *Result) intervalOf(arrival time.Duration) *Interval {
	pos := int(arrival / res.cfg.Interval)
	for len(res.intervals) <= pos {
		res.intervals = append(res.intervals, &Interval{})
	}
	return res.intervals[pos]
}

// drop counts a request that was not sent because MaxInFlight requests were in flight.
func (res *Result) drop(arrival time.Duration) {
	res.mut.Lock()
	defer res.mut.Unlock()
	res.dropped++
	res.intervalOf(arrival).dropped++
}

// record adds the end of a request to the measurements.
func (res *Result) record(req Request, ans Answer, arrival, latency time.Duration) {
	res.mut.Lock()
	defer res.mut.Unlock()
	ivl := res.intervalOf(arrival)
	ivl.counts[ans.Status]++
	micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	if req.Bundle && ans.Status == Answered {
		res.bundleLatency.RecordValue(micros)
	} else {
		res.latency[ans.Status].RecordValue(micros)
	}
	if ans.Status == Answered && !req.Bundle {
		if ivl.latency == nil {
			ivl.latency = newHistogram()
		}
		ivl.latency.RecordValue(micros)
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
	res.outages.record(req.Key, arrival, latency, ans.Status)
}

// Name returns the name of the run.
func (res *Result) Name() string { return res.cfg.Name }

// Count returns the number of requests with a status.
func (res *Result) Count(sta Status) int {
	sum := 0
	for _, ivl := range res.intervals {
		sum += ivl.counts[sta]
	}
	return sum
}

// Dropped returns the number of requests that were not sent because MaxInFlight requests were in flight.
func (res *Result) Dropped() int { return res.dropped }

// Latency returns a percentile, from 0 to 100, of the latency of requests with a status. It does not include answered
// bundles.
func (res *Result) Latency(sta Status, percent float64) time.Duration {
	return percentile(res.latency[sta], percent)
}

// BundleLatency returns a percentile, from 0 to 100, of the latency of answered bundles.
func (res *Result) BundleLatency(percent float64) time.Duration {
	return percentile(res.bundleLatency, percent)
}

// BundleCount returns the number of answered bundles.
func (res *Result) BundleCount() int { return int(res.bundleLatency.TotalCount()) }

// CallerCount returns the number of a caller's requests with a status.
func (res *Result) CallerCount(name string, sta Status) int {
	if counts := res.callers[name]; counts != nil {
		return counts[sta]
	}
	return 0
}

// KindCount returns the number of errors of a kind, by the name of the kind.
func (res *Result) KindCount(name string) int { return res.kinds[name] }

// Upstreams returns the number of answers by the name of the upstream.
func (res *Result) Upstreams() map[string]int { return res.upstreams }

// Intervals returns the time series. The first interval begins at the start of the run; its width is Config.Interval.
func (res *Result) Intervals() []*Interval { return res.intervals }

// Goodput returns the answers per second to requests that arrived between two times since the start.
func (res *Result) Goodput(from, until time.Duration) float64 {
	count := 0
	for i, ivl := range res.intervals {
		if at := time.Duration(i) * res.cfg.Interval; at >= from && at < until {
			count += ivl.counts[Answered]
		}
	}
	return float64(count) / (until - from).Seconds()
}

// P99Between returns the 99th percentile of the latency of answers to small calls that arrived between two times since the
// start.
func (res *Result) P99Between(from, until time.Duration) time.Duration {
	sum := newHistogram()
	for i, ivl := range res.intervals {
		if at := time.Duration(i) * res.cfg.Interval; at >= from && at < until && ivl.latency != nil {
			sum.Merge(ivl.latency)
		}
	}
	return percentile(sum, 99)
}

// RecoveryTime returns the time from a point of the run, such as the end of a surge, until the p99 latency of each second of
// arrivals stays at or below a bound and no request fails. It returns false if that does not happen within the run.
func (res *Result) RecoveryTime(from time.Duration, bound time.Duration) (time.Duration, bool) {
	const window = time.Second
	last := from
	for at := from; at+window <= res.cfg.Duration; at += res.cfg.Interval {
		if res.P99Between(at, at+window) > bound || res.failedBetween(at, at+window) > 0 {
			last = at + res.cfg.Interval
		}
	}
	return last - from, last+window+res.cfg.Interval <= res.cfg.Duration
}

// failedBetween returns the number of failed requests that arrived between two times since the start.
func (res *Result) failedBetween(from, until time.Duration) int {
	count := 0
	for i, ivl := range res.intervals {
		if at := time.Duration(i) * res.cfg.Interval; at >= from && at < until {
			count += ivl.counts[Failed]
		}
	}
	return count
}

package fpsystem_test

import (
	"fmt"
	"sort"
	"sync"
	"testing"
	"time"
)

// sample is a request of an open-loop load with its answer.
type sample struct {
	request request
	sent    time.Time
	took    time.Duration // time from sending the request to its answer
	reply   reply
}

// end returns the time of the answer.
func (sam sample) end() time.Time { return sam.sent.Add(sam.took) }

// load is an open-loop load: it sends requests at a fixed rate until it is stopped, without waiting for earlier answers.
type load struct {
	stop    chan struct{}
	ended   chan struct{} // closed when all requests are answered after stop
	mutex   sync.Mutex
	samples []sample
}

// startLoad starts a load that sends one request every interval. The function next returns request number num, from 0.
func (sys *system) startLoad(interval time.Duration, next func(num int) request) *load {
	loa := &load{
		stop:  make(chan struct{}),
		ended: make(chan struct{}),
	}
	go func() {
		defer close(loa.ended)
		var wgr sync.WaitGroup
		defer wgr.Wait()
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for num := 0; ; num++ {
			select {
			case <-loa.stop:
				return
			case <-tick.C:
			}
			req := next(num)
			wgr.Go(func() { loa.send(sys, req) })
		}
	}()
	return loa
}

// send sends a request and records its sample.
func (loa *load) send(sys *system, req request) {
	sam := sample{
		request: req,
		sent:    time.Now(),
	}
	sam.reply = sys.do(req)
	sam.took = time.Since(sam.sent)
	loa.mutex.Lock()
	defer loa.mutex.Unlock()
	loa.samples = append(loa.samples, sam)
}

// stopAndCollect stops the load, waits for all answers and returns the samples in the order in which they were sent.
func (loa *load) stopAndCollect() []sample {
	close(loa.stop)
	<-loa.ended
	sort.Slice(loa.samples, func(first, second int) bool { return loa.samples[first].sent.Before(loa.samples[second].sent) })
	return loa.samples
}

// firstServed returns the time from since to the first answer with status 200 to a request that was sent after since, and
// false if there is none. Only samples for which accepts returns true count; nil accepts all.
func (loa *load) firstServed(since time.Time, accepts func(sam sample) bool) (time.Duration, bool) {
	loa.mutex.Lock()
	defer loa.mutex.Unlock()
	var first time.Time
	for _, sam := range loa.samples {
		if sam.sent.Before(since) || !sam.reply.ok() || accepts != nil && !accepts(sam) {
			continue
		}
		if first.IsZero() || sam.end().Before(first) {
			first = sam.end()
		}
	}
	return first.Sub(since), !first.IsZero()
}

// awaitFirstServed waits until firstServed returns true, and returns its time.
func (sys *system) awaitFirstServed(loa *load, since time.Time, accepts func(sam sample) bool) time.Duration {
	sys.t.Helper()
	var took time.Duration
	sys.eventually("a request of the load is served", func() bool {
		var ok bool
		took, ok = loa.firstServed(since, accepts)
		return ok
	})
	return took
}

// sentThrough returns a filter for firstServed that accepts the requests sent through a VM.
func sentThrough(vm string) func(sam sample) bool {
	return func(sam sample) bool { return sam.request.vm == vm }
}

// keyedRequests returns a function for startLoad that makes idempotent calls for one key, through the VMs in turn.
func keyedRequests(key string, vms ...string) func(num int) request {
	return func(num int) request {
		return request{
			vm:       vms[num%len(vms)],
			path:     planGet,
			key:      key,
			deadline: 5 * time.Second,
		}
	}
}

// summarize returns the number of durations and their quantiles as text.
func summarize(durations []time.Duration) string {
	if len(durations) == 0 {
		return "no values"
	}
	sorted := append([]time.Duration{}, durations...)
	sort.Slice(sorted, func(first, second int) bool { return sorted[first] < sorted[second] })
	quantile := func(numerator, denominator int) time.Duration {
		return sorted[min(len(sorted)-1, len(sorted)*numerator/denominator)].Round(time.Millisecond)
	}
	return fmt.Sprintf("n %d, min %v, p50 %v, p90 %v, p99 %v, max %v", len(sorted), quantile(0, 1), quantile(1, 2), quantile(9, 10), quantile(99, 100),
		sorted[len(sorted)-1].Round(time.Millisecond))
}

// reportDuration logs a duration and whether it is within its target. It does not fail the test, because a busy machine can
// delay every step.
func reportDuration(t *testing.T, what string, took, target time.Duration) {
	t.Helper()
	verdict := "within"
	if took > target {
		verdict = "ABOVE"
	}
	t.Logf("%s: %v, %s the target of %v", what, took.Round(time.Millisecond), verdict, target)
}

// Targets of the design page.
const (
	// recoveryTarget is the target for the time from a fault until requests are served again.
	recoveryTarget = 2 * time.Second
	// configurationTarget is the target for the time from a change until it is in force on all VMs.
	configurationTarget = 6 * time.Second
)

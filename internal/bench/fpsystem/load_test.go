package fpsystem_test

import (
	"fmt"
	"sort"
	"sync"
	"testing"
	"time"
)

// sample is one request of an open-loop load with its answer.
type sample struct {
	request request
	sent    time.Time
	took    time.Duration
	reply   reply
}

// end is when the answer came.
func (sam sample) end() time.Time { return sam.sent.Add(sam.took) }

// load sends requests at a fixed rate until it is stopped, whether earlier ones are answered or not.
type load struct {
	stop    chan struct{}
	ended   chan struct{}
	mutex   sync.Mutex
	samples []sample
}

// startLoad sends one request every interval; next makes the request with the given number.
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

// results stops the load, waits for all answers and returns the requests in the order in which they were sent.
func (loa *load) results() []sample {
	close(loa.stop)
	<-loa.ended
	sort.Slice(loa.samples, func(one, two int) bool { return loa.samples[one].sent.Before(loa.samples[two].sent) })
	return loa.samples
}

// firstServed returns the time from a moment to the first answer to a request that was sent after it, and false if there
// is none. Only requests that want accepts are counted; nil accepts all.
func (loa *load) firstServed(since time.Time, want func(sam sample) bool) (time.Duration, bool) {
	loa.mutex.Lock()
	defer loa.mutex.Unlock()
	var first time.Time
	for _, sam := range loa.samples {
		if sam.sent.Before(since) || !sam.reply.ok() || want != nil && !want(sam) {
			continue
		}
		if first.IsZero() || sam.end().Before(first) {
			first = sam.end()
		}
	}
	return first.Sub(since), !first.IsZero()
}

// awaitFirst waits for firstServed.
func (sys *system) awaitFirst(loa *load, since time.Time, want func(sam sample) bool) time.Duration {
	sys.t.Helper()
	var took time.Duration
	sys.eventually("a request is answered after the loss", func() bool {
		var ok bool
		took, ok = loa.firstServed(since, want)
		return ok
	})
	return took
}

// through accepts the requests to one VM.
func through(vm string) func(sam sample) bool {
	return func(sam sample) bool { return sam.request.vm == vm }
}

// keyedLoad returns the requests of a load of idempotent calls with one key, through VMs in turn.
func keyedLoad(key string, vms ...string) func(num int) request {
	return func(num int) request {
		return request{
			vm:       vms[num%len(vms)],
			path:     planGet,
			key:      key,
			deadline: 5 * time.Second,
		}
	}
}

// distribution describes durations by their quantiles.
func distribution(all []time.Duration) string {
	if len(all) == 0 {
		return "no values"
	}
	sorted := append([]time.Duration{}, all...)
	sort.Slice(sorted, func(one, two int) bool { return sorted[one] < sorted[two] })
	at := func(num, den int) time.Duration {
		return sorted[min(len(sorted)-1, len(sorted)*num/den)].Round(time.Millisecond)
	}
	return fmt.Sprintf("n %d, min %v, p50 %v, p90 %v, p99 %v, max %v", len(sorted), at(0, 1), at(1, 2), at(9, 10), at(99, 100),
		sorted[len(sorted)-1].Round(time.Millisecond))
}

// compare prints a measured time with its target. It fails no test, since a busy machine can delay every step.
func compare(t *testing.T, what string, took, target time.Duration) {
	t.Helper()
	verdict := "within"
	if took > target {
		verdict = "ABOVE"
	}
	t.Logf("%s: %v, %s the target of %v", what, took.Round(time.Millisecond), verdict, target)
}

// Targets of the design page.
const (
	recoveryTarget      = 2 * time.Second
	configurationTarget = 6 * time.Second
)

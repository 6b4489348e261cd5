package fpsystem_test

import (
	"testing"
	"time"
)

// warmUp sends requests through every VM until its retry budgets for the services allow one retry each.
func (sys *system) warmUp(key string, paths ...string) {
	sys.t.Helper()
	// Ten successes add one retry to the budget. Twice as many allow for retries during the warm-up.
	const successes = 20
	for _, vm := range sys.vmNames() {
		for _, path := range paths {
			for range successes {
				sys.awaitServed(request{
					vm:   vm,
					path: path,
					key:  key,
				})
			}
		}
	}
}

// TestSilenceInFlight guards against idempotent requests that fail when their connections go silent while they run. One request
// of each service is in flight through each VM, as the retry budget always allows one retry.
func TestSilenceInFlight(t *testing.T) {
	t.Parallel()
	const (
		key   = "harbour"
		sleep = 500 * time.Millisecond
	)
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(4)
	sys.addUnkeyedUpstreams(2)
	paths := []string{planGet, switchRead}
	sys.warmUp(key, paths...)
	var inFlight []request
	for _, vm := range sys.vmNames() {
		for _, path := range paths {
			inFlight = append(inFlight, request{
				vm:       vm,
				path:     path,
				key:      key,
				id:       newRequestID(t),
				sleep:    sleep,
				deadline: 5 * time.Second,
			})
		}
	}
	replies := make([]reply, len(inFlight))
	ends := make([]time.Time, len(inFlight))
	done := make(chan struct{})
	for num, req := range inFlight {
		go func() {
			replies[num] = sys.do(req)
			ends[num] = time.Now()
			done <- struct{}{}
		}()
	}
	sys.eventually("the requests have started", func() bool {
		starts := sys.startCounts()
		for _, req := range inFlight {
			if starts[req.id] == 0 {
				return false
			}
		}
		return true
	})
	silencedAt := time.Now()
	t.Logf("%d connections went silent", sys.network.silence())
	for range inFlight {
		<-done
	}
	for num, rep := range replies {
		req := inFlight[num]
		t.Logf("%s through %s was answered %v after the connections went silent, with %d starts", req.path, req.vm,
			ends[num].Sub(silencedAt).Round(time.Millisecond), sys.startCounts()[req.id])
		if !rep.ok() {
			t.Errorf("%s, in flight through %s when the connections went silent, was answered with %v", req.path, req.vm, rep)
		}
	}
	sys.checkExclusiveOwnership()
}

// TestSilence guards, under load, against VMs that keep using silent connections, and against a key with two owners after the
// renewals of a lease were lost on a silent connection.
func TestSilence(t *testing.T) {
	t.Parallel()
	const (
		key    = "harbour"
		rounds = 2
	)
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(4)
	sys.addUnkeyedUpstreams(2)
	vms := sys.vmNames()
	paths := []string{planGet, switchRead}
	sys.warmUp(key, paths...)
	for round := range rounds {
		loa := sys.startLoad(20*time.Millisecond, func(num int) request {
			return request{
				vm:       vms[num%len(vms)],
				path:     paths[num/len(vms)%len(paths)],
				key:      key,
				deadline: 5 * time.Second,
			}
		})
		time.Sleep(300 * time.Millisecond)
		silencedAt := time.Now()
		t.Logf("round %d: %d connections went silent", round, sys.network.silence())
		for _, vm := range vms {
			for _, path := range paths {
				took := sys.awaitFirstServed(loa, silencedAt, func(sam sample) bool {
					return sam.request.vm == vm && sam.request.path == path
				})
				reportDuration(t, path+" answered again through "+vm, took, recoveryTarget)
			}
		}
		sys.reportLongestGap(loa.stopAndCollect(), silencedAt, recoveryTarget)
	}
	sys.checkExclusiveOwnership()
}

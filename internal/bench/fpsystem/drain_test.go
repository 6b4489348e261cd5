package fpsystem_test

import (
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpupstream"
)

// drainTarget is the target for the time from the acceptance of a drain until the upstream gets no new requests.
const drainTarget = 2 * time.Second

// drain drains an upstream through a VM and returns the time of the answer.
func (sys *system) drain(vm, upstream string) time.Time {
	sys.t.Helper()
	_, err := sys.operatorClient(vm).Drain(sys.t.Context(), connect.NewRequest(&fpoperator.DrainRequest{
		RequestId: newRequestID(sys.t),
		Upstream:  upstream,
	}))
	if err != nil {
		sys.t.Fatalf("drain of %s through %s: %v", upstream, vm, err)
	}
	return time.Now()
}

// startTimesOn returns the times at which requests started on an upstream, in the order of the run log.
func (sys *system) startTimesOn(upstream string) []time.Time {
	sys.t.Helper()
	var all []time.Time
	for _, run := range sys.runs() {
		if run.Upstream == upstream && run.Event == "start" {
			all = append(all, time.Unix(0, run.At))
		}
	}
	return all
}

// TestDrain guards against requests that start on a drained upstream, and against requests that fail because of a drain.
func TestDrain(t *testing.T) {
	t.Parallel()
	const (
		keyCount = 40
		interval = 5 * time.Millisecond
		// minStarts is the number of requests that have started on an upstream when it is drained.
		minStarts = 20
		// loadAfterDrain is the time for which the load continues after the drain.
		loadAfterDrain = 5 * time.Second
	)
	drained := []string{"plan-1", "switch-1"}
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(4)
	sys.addUnkeyedUpstreams(4)
	vms := sys.vmNames()
	for _, vm := range vms {
		for _, path := range []string{planGet, switchRead} {
			sys.awaitServed(request{
				vm:   vm,
				path: path,
				key:  "harbour",
			})
		}
	}
	paths := []string{planGet, switchRead, planSet, switchOn}
	loa := sys.startLoad(interval, func(num int) request {
		return request{
			vm:       vms[num%len(vms)],
			path:     paths[num/len(vms)%len(paths)],
			key:      fmt.Sprintf("key-%d", num%keyCount),
			id:       newRequestID(t),
			sleep:    20 * time.Millisecond,
			deadline: 5 * time.Second,
		}
	})
	sys.eventually("enough requests have started on the upstreams that will be drained", func() bool {
		return len(sys.startTimesOn(drained[0])) >= minStarts && len(sys.startTimesOn(drained[1])) >= minStarts
	})
	accepted := map[string]time.Time{}
	for num, name := range drained {
		accepted[name] = sys.drain(vms[num], name)
	}
	time.Sleep(loadAfterDrain)
	samples := loa.stopAndCollect()
	for _, name := range drained {
		sys.checkDrained(name, accepted[name])
	}
	failed := 0
	for _, sam := range samples {
		if !sam.reply.ok() {
			failed++
			t.Errorf("%s through %s, sent %v after the drain, failed: %v", sam.request.path, sam.request.vm,
				sam.sent.Sub(accepted[drained[0]]), sam.reply)
		}
	}
	t.Logf("%d requests, %d failed", len(samples), failed)
	for _, ups := range sys.status(vms[0]).GetUpstreams() {
		if ups.GetName() == drained[0] && ups.GetSlots() != 0 {
			t.Errorf("the drained upstream %s has %d slots", ups.GetName(), ups.GetSlots())
		}
	}
	sys.checkExclusiveOwnership()
}

// checkDrained fails the test if requests started on an upstream later than drainTarget after its drain was accepted.
func (sys *system) checkDrained(name string, accepted time.Time) {
	sys.t.Helper()
	var last time.Duration
	late, before := 0, 0
	for _, at := range sys.startTimesOn(name) {
		since := at.Sub(accepted)
		if since < 0 {
			before++
		}
		if since > drainTarget {
			late++
		}
		last = max(last, since)
	}
	sys.t.Logf("%s started %d requests before its drain was accepted, and its last request %v after that", name, before, last.Round(time.Millisecond))
	if late > 0 {
		sys.t.Errorf("%d requests started on %s more than %v after its drain was accepted; the last one after %v", late, name, drainTarget, last)
	}
	for _, run := range sys.runs() {
		if run.Upstream == name && run.Event == fpupstream.RefusedEvent {
			sys.t.Logf("%s refused a request %v after its drain was accepted", name, time.Unix(0, run.At).Sub(accepted))
		}
	}
}

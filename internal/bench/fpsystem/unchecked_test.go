package fpsystem_test

import (
	"testing"
	"time"
)

// TestUncheckedOwnerFrozen guards against a slot that is given away while its old owner, which checks no fence, may still
// run a request of it: the owner freezes with a request in flight and returns before the deadline of that request.
//
// The freeze is not noted as a halt, so that checkOwners counts the request as running until the upstream itself ends it.
func TestUncheckedOwnerFrozen(t *testing.T) {
	t.Parallel()
	const (
		key = "harbour"
		// deadline is that of the request in flight, whose run takes as long as its deadline allows.
		deadline = 4 * time.Second
		sleep    = 3500 * time.Millisecond
		// frozen is longer than a lease and a table's validity and ends before the deadline.
		frozen = 2500 * time.Millisecond
		after  = 4 * time.Second
	)
	sys := newSystem(t, oneRegion())
	sys.addPlans(4, "--ignore-fence")
	vms := sys.vms()
	owner := sys.owner(vms[0], key)
	sys.warmUp(key, planGet)
	flight := request{
		vm:       vms[0],
		path:     planGet,
		key:      key,
		id:       newID(t),
		sleep:    sleep,
		deadline: deadline,
	}
	answered := make(chan reply, 1)
	sent := time.Now()
	go func() { answered <- sys.do(flight) }()
	sys.eventually("the request runs", func() bool { return sys.starts()[flight.id] == 1 })
	sys.upstreams[owner].running.freeze()
	froze := time.Now()
	loa := sys.startLoad(20*time.Millisecond, keyedLoad(key, vms...))
	time.Sleep(frozen)
	sys.upstreams[owner].running.thaw()
	thawed := time.Now()
	if !thawed.Before(sent.Add(deadline)) {
		t.Errorf("the upstream returned %v after the deadline, so this run did not test its return", thawed.Sub(sent.Add(deadline)))
	}
	t.Logf("the request in flight, sent %v before the freeze, was answered %v", froze.Sub(sent).Round(time.Millisecond), <-answered)
	time.Sleep(time.Until(thawed.Add(after)))
	samples := loa.results()
	sys.checkGaps(samples, froze, recoveryTarget)
	for _, run := range sys.runs() {
		if run.Request == flight.id {
			t.Logf("the request in flight: %s on %s at epoch %s, %v after the freeze", run.Event, run.Upstream, run.Epoch,
				time.Unix(0, run.At).Sub(froze).Round(time.Millisecond))
		}
	}
	if now := sys.owner(vms[1], key); now == owner {
		t.Errorf("the frozen upstream %s kept the key, so this run tested no move", owner)
	}
	sys.checkOwners()
}

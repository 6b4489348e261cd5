package fpsystem_test

import (
	"testing"
	"time"
)

// TestOwnerWithoutFenceChecksFrozen guards against a slot that is granted to a new owner while the previous one may still run
// a request of it. The owner does not check the fence, freezes with a request in flight, and is thawed before the deadline of
// that request.
//
// The freeze is not recorded as a halt, so checkExclusiveOwnership counts the request as running until the upstream ends it.
func TestOwnerWithoutFenceChecksFrozen(t *testing.T) {
	t.Parallel()
	const (
		key = "harbour"
		// deadline is the deadline of the request in flight. Its sleep takes most of that time.
		deadline = 4 * time.Second
		sleep    = 3500 * time.Millisecond
		// frozenFor is longer than a lease and the validity of a table. The freeze ends before the deadline.
		frozenFor     = 2500 * time.Millisecond
		loadAfterThaw = 4 * time.Second
	)
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(4, "--ignore-fence")
	vms := sys.vmNames()
	owner := sys.owner(vms[0], key)
	sys.warmUp(key, planGet)
	inFlight := request{
		vm:       vms[0],
		path:     planGet,
		key:      key,
		id:       newRequestID(t),
		sleep:    sleep,
		deadline: deadline,
	}
	answered := make(chan reply, 1)
	sent := time.Now()
	go func() { answered <- sys.do(inFlight) }()
	sys.eventually("the request has started", func() bool { return sys.startCounts()[inFlight.id] == 1 })
	sys.upstreams[owner].process.freeze()
	frozenAt := time.Now()
	loa := sys.startLoad(20*time.Millisecond, keyedRequests(key, vms...))
	time.Sleep(frozenFor)
	sys.upstreams[owner].process.thaw()
	thawedAt := time.Now()
	if !thawedAt.Before(sent.Add(deadline)) {
		t.Errorf("the upstream was thawed %v after the deadline of the request, too late for this test", thawedAt.Sub(sent.Add(deadline)))
	}
	t.Logf("the request in flight, sent %v before the freeze, was answered with %v", frozenAt.Sub(sent).Round(time.Millisecond), <-answered)
	time.Sleep(time.Until(thawedAt.Add(loadAfterThaw)))
	samples := loa.stopAndCollect()
	sys.reportLongestGap(samples, frozenAt, recoveryTarget)
	for _, run := range sys.runs() {
		if run.Request == inFlight.id {
			t.Logf("the request in flight: event %s on %s in epoch %s, %v after the freeze", run.Event, run.Upstream, run.Epoch,
				time.Unix(0, run.At).Sub(frozenAt).Round(time.Millisecond))
		}
	}
	if newOwner := sys.owner(vms[1], key); newOwner == owner {
		t.Errorf("the frozen upstream %s still owns the key, so its slot did not move", owner)
	}
	sys.checkExclusiveOwnership()
}

package fpforward

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpcut"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// TestSilenceEndsNoAttempt guards against a failure in place of an upstream's answer because the VM heard nothing for a while, when the
// upstream was at work and no other attempt was possible or answered.
func TestSilenceEndsNoAttempt(t *testing.T) {
	for name, adjust := range map[string]func(par *relayPair){
		"no other way": func(*relayPair) {},
		"another upstream, as silent": func(par *relayPair) {
			par.addWorker("work", nil)
		},
		"no retry in the budget": func(par *relayPair) {
			par.addWorker("work", nil)
			for par.forward.retryBudget("work").tryTake(time.Now(), 1, 0) {
				continue
			}
		},
		"a peer that stops": func(par *relayPair) {
			par.askHelper()
			par.helper.forward.Stop(time.Now().Add(5 * time.Second))
		},
		"a peer that hears nothing": func(par *relayPair) {
			par.askHelper()
			par.helperPaths.Cut(fpcut.Hangs, nil)
			time.AfterFunc(silentTime, par.helperPaths.Heal)
		},
		"a peer that ends": func(par *relayPair) {
			par.askHelper()
			time.AfterFunc(silentTime/2, par.relay.CloseClientConnections)
		},
	} {
		for _, keyed := range []bool{false, true} {
			for _, stopping := range []bool{false, true} {
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					checkSilence(t, adjust, keyed, stopping)
				})
			}
		}
	}
}

// silentTime is how long a VM hears nothing. After a third of it, paths count as lost.
const silentTime = 1200 * time.Millisecond

// askHelper makes the other VM of the pair the only one that is asked for relays.
func (par *relayPair) askHelper() {
	par.forward.SetRelays([]*fpstate.EntryVM{{
		Vm:         "helper",
		Address:    par.relay.Listener.Addr().String(),
		DataCentre: "east-1",
		Region:     "east",
	}}, 2)
}

// checkSilence sends a request and delivers nothing to its VM for a while.
func checkSilence(t *testing.T, adjust func(par *relayPair), keyed, stopping bool) {
	par := newRelayPair(t)
	par.workTime = 300 * time.Millisecond
	par.forward.SetRelays(nil, 1)
	path, info := "/safe/", platform.Request{
		Attempt: "silent",
	}
	service := "work"
	if keyed {
		path, service = "/keyed/", "keys"
		info.Key, info.Keyed = 1, true
	}
	wor := par.addWorker(service, nil)
	par.update(&fpstate.State{
		KeySpaces: []*fpstate.KeySpace{{
			Service: "keys",
			Ranges: []*fpstate.Range{{
				First:    0,
				Last:     65535,
				Upstream: wor.Upstream().GetId(),
				Born:     wor.Upstream().GetBorn(),
				Fence:    1,
				Phase:    fpstate.Phase_PHASE_SERVING,
			}},
		}},
	})
	if got := par.call(path, platform.Request{
		Key:   info.Key,
		Keyed: info.Keyed,
	}); got.status != http.StatusOK {
		t.Fatalf("before the silence: status %d, error %v", got.status, got.err)
	}
	adjust(par)
	par.forward.paths.meanGap.Store(int64(time.Millisecond))
	if stopping {
		par.forward.Stop(time.Now().Add(5 * time.Second))
	}
	time.AfterFunc(100*time.Millisecond, func() { par.paths.Cut(fpcut.Hangs, nil) })
	time.AfterFunc(100*time.Millisecond+silentTime, par.paths.Heal)
	began := time.Now()
	got := par.call(path, info)
	if got.status != http.StatusOK || got.body != "the whole answer" {
		t.Errorf("keyed %t, stopping %t: status %d, body %q, error %v after %v; the upstream was at work", keyed, stopping, got.status, got.body, got.err, time.Since(began))
	}
	runs := 0
	for _, one := range par.workers {
		for _, run := range one.Runs() {
			if run.Attempt == info.Attempt {
				runs++
			}
		}
	}
	if runs < 1 || runs > 2 {
		t.Errorf("the request ran %d times, want 1 or 2", runs)
	}
}

// newSilentPair returns a pair of which neither VM has a pause between answers, so that silence counts soon, and whose routes allow three
// attempts. Only the other VM relays.
func newSilentPair(t *testing.T) *relayPair {
	par := newRelayPair(t)
	cfg := proto.CloneOf(par.forward.Configuration())
	cfg.Revision++
	for _, rou := range cfg.GetRoutes() {
		rou.MaxAttempts = 3
	}
	par.update(&fpstate.State{
		Configuration:         cfg,
		ConfigurationModified: par.index + 1,
	})
	par.forward.paths.meanGap.Store(int64(time.Millisecond))
	par.helper.forward.paths.meanGap.Store(int64(time.Millisecond))
	return par
}

// TestLateAttemptThroughPeer guards against a request that waits until its deadline for a peer whose path hangs.
func TestLateAttemptThroughPeer(t *testing.T) {
	par := newSilentPair(t)
	par.workTime = silentTime / 4
	par.addWorker("work", nil)
	par.addWorker("work", nil)
	par.paths.Cut(fpcut.Refused, nil)
	time.AfterFunc(silentTime/12, func() { par.helperPaths.Cut(fpcut.Hangs, nil) })
	time.AfterFunc(silentTime/4, par.paths.Heal)
	if got := par.call("/safe/", platform.Request{}); got.status != http.StatusOK {
		t.Errorf("status %d, error %v; the VM's own paths were well", got.status, got.err)
	}
}

// TestWayThatComesLater guards against a request that waits for a lost path although another upstream can be reached by then.
func TestWayThatComesLater(t *testing.T) {
	par := newSilentPair(t)
	par.forward.SetRelays(nil, 2)
	par.workTime = silentTime / 4
	lost := par.addWorker("work", nil).Upstream().GetAddress()
	time.AfterFunc(silentTime/12, func() {
		par.addWorker("work", nil)
		par.paths.Cut(fpcut.Hangs, nil)
	})
	// The next probe of the other path comes later.
	time.AfterFunc(silentTime*5/8, func() {
		par.paths.Cut(fpcut.Hangs, func(address string) bool { return address == lost })
	})
	if got := par.call("/safe/", platform.Request{}); got.status != http.StatusOK {
		t.Errorf("status %d, error %v; another upstream was well", got.status, got.err)
	}
}

// TestReplacedAttemptFails guards against a third run of a request because the first attempt fails while the second is at work.
func TestReplacedAttemptFails(t *testing.T) {
	par := newSilentPair(t)
	par.workTime = silentTime
	for range 3 {
		par.addWorker("work", nil)
	}
	for _, mem := range par.forward.view.Load().active {
		mem.recordAnswer(time.Now(), platform.Answer{}, par.workTime, false)
	}
	time.AfterFunc(silentTime/12, func() { par.paths.Cut(fpcut.Hangs, nil) })
	time.AfterFunc(silentTime*3/4, func() { par.paths.Cut(fpcut.Reset, nil) })
	got := par.call("/safe/", platform.Request{})
	if runs := par.totalRuns(); got.status != http.StatusOK || runs != 2 {
		t.Errorf("status %d, error %v, %d runs, want 2", got.status, got.err, runs)
	}
}

// TestSilenceOfVMIsNotTimeOfUpstream guards against upstreams that count as slow because their VM heard nothing for a while.
func TestSilenceOfVMIsNotTimeOfUpstream(t *testing.T) {
	par := newSilentPair(t)
	par.forward.SetRelays(nil, 2)
	par.workTime = silentTime / 4
	wor := par.addWorker("work", nil)
	for range 3 {
		par.call("/safe/", platform.Request{})
	}
	mem := par.forward.view.Load().active[incarnation{
		id:   wor.Upstream().GetId(),
		born: wor.Upstream().GetBorn(),
	}]
	before := mem.state(time.Now()).mean
	par.forward.paths.meanGap.Store(int64(time.Millisecond))
	time.AfterFunc(silentTime/12, func() { par.paths.Cut(fpcut.Hangs, nil) })
	time.AfterFunc(silentTime, par.paths.Heal)
	var wgr sync.WaitGroup
	for range 4 {
		wgr.Go(func() { par.call("/safe/", platform.Request{}) })
	}
	wgr.Wait()
	if after := mem.state(time.Now()).mean; after > 3*before/2 {
		t.Errorf("the mean time of the upstream went from %v to %v", before, after)
	}
}

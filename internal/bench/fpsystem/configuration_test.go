package fpsystem_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"google.golang.org/protobuf/proto"
)

// replaceConfiguration applies the configuration in force with another number through a VM, and fails the test if that is
// refused. The answer comes when the new configuration is in force on all VMs, or after wait.
func (sys *system) replaceConfiguration(vm, id string, num int, wait time.Duration) *fpoperator.ApplyConfigurationResponse {
	sys.t.Helper()
	current := sys.configuration(vm)
	res, err := sys.applyUntilDecided(change{
		vm:       vm,
		id:       id,
		expected: current.GetVersion(),
		next:     numbered(current.GetConfiguration(), num),
		wait:     wait,
	})
	if err != nil {
		sys.t.Fatalf("change %s: %v", id, err)
	}
	return res
}

// versionWatch polls the version in force on every VM until it is closed, and fails the test if a version is older than the
// one before.
type versionWatch struct {
	stop  chan struct{}
	ended chan struct{}
}

// watchVersions starts a versionWatch.
func (sys *system) watchVersions() *versionWatch {
	wat := &versionWatch{
		stop:  make(chan struct{}),
		ended: make(chan struct{}),
	}
	go func() {
		defer close(wat.ended)
		last := map[string]*fpoperator.Version{}
		for {
			for _, vm := range sys.vmNames() {
				current := sys.configuration(vm).GetVersion()
				if current == nil {
					continue // the VM did not answer
				}
				if isOlder(current, last[vm]) {
					sys.t.Errorf("the configuration on VM %s went back from version %v to %v", vm, last[vm], current)
				}
				last[vm] = current
			}
			select {
			case <-wat.stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return wat
}

// close ends the polling and waits for the last poll.
func (wat *versionWatch) close() {
	close(wat.stop)
	<-wat.ended
}

// awaitVersion waits until the configuration in force on a VM has the given version or a newer one.
func (sys *system) awaitVersion(vm string, version *fpoperator.Version) {
	sys.t.Helper()
	sys.eventually(fmt.Sprintf("VM %s has configuration %v or a newer one", vm, version), func() bool {
		current := sys.configuration(vm).GetVersion()
		return current != nil && !isOlder(current, version)
	})
}

// TestConfigurationInForce guards against an answer that reports a configuration as in force while a VM still has an older
// one. It compares the slowest change with the target.
func TestConfigurationInForce(t *testing.T) {
	const changeCount = 100
	sys := newSystem(t, oneRegion())
	vms := sys.vmNames()
	wat := sys.watchVersions()
	var durations []time.Duration
	for num := range changeCount {
		vm := vms[num%len(vms)]
		start := time.Now()
		res := sys.replaceConfiguration(vm, fmt.Sprintf("change-%d", num), num+1, stateTimeout)
		durations = append(durations, time.Since(start))
		if !res.GetInForce() {
			t.Errorf("change %d is unconfirmed on %v", num, res.GetUnconfirmed())
		}
		for _, other := range vms {
			if current := sys.configuration(other); numberOf(current.GetConfiguration()) != num+1 {
				t.Errorf("change %d was answered as in force, but VM %s has the configuration with number %d", num, other, numberOf(current.GetConfiguration()))
			}
		}
	}
	wat.close()
	t.Logf("time from the request until the change is in force on every VM: %s", summarize(durations))
	reportDuration(t, "slowest change", slices.Max(durations), configurationTarget)
}

// TestRestartAfterChanges guards against a VM that keeps an old configuration after it was down during many changes, and
// against an answer that does not list a VM that is down as unconfirmed.
func TestRestartAfterChanges(t *testing.T) {
	t.Parallel()
	const changeCount = 300
	sys := newSystem(t, oneRegion())
	first := sys.replaceConfiguration("a1", "before", 1, stateTimeout)
	sys.awaitVersion("b1", first.GetAccepted())
	sys.machines["b1"].process.kill()
	wat := sys.watchVersions()
	down := sys.replaceConfiguration("a1", "down", 2, time.Second)
	if down.GetInForce() || !slices.Equal(down.GetUnconfirmed(), []string{"b1"}) {
		t.Errorf("with b1 down, a change was answered with in force %t and unconfirmed %v, want false and b1", down.GetInForce(), down.GetUnconfirmed())
	}
	var last *fpoperator.ApplyConfigurationResponse
	for num := range changeCount {
		last = sys.replaceConfiguration("a1", fmt.Sprintf("missed-%d", num), num+3, 0)
		sys.awaitVersion("a1", last.GetAccepted())
	}
	start := time.Now()
	sys.startVM("b1")
	sys.awaitVersion("b1", last.GetAccepted())
	t.Logf("b1 caught up with %d changes %v after its start", changeCount, time.Since(start))
	sys.awaitHealthy("b1")
	wat.close()
	again := sys.replaceConfiguration("b1", "after", changeCount+4, stateTimeout)
	if !again.GetInForce() {
		t.Errorf("after the restart of b1 a change is unconfirmed on %v", again.GetUnconfirmed())
	}
}

// TestAllVMsKilled guards against the loss of acknowledged state when all VMs are killed at the same time: the configuration,
// the answers to non-idempotent requests, and the decision on a configuration change.
func TestAllVMsKilled(t *testing.T) {
	t.Parallel()
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(4)
	accepted := sys.replaceConfiguration("a1", "before", 7, stateTimeout)
	sent := sys.sendNonIdempotent(20, sys.vmNames()...)
	before := sys.configuration("a1")
	for _, vm := range sys.vmNames() {
		sys.machines[vm].process.kill()
	}
	for _, vm := range sys.vmNames() {
		sys.startVM(vm)
	}
	for _, vm := range sys.vmNames() {
		sys.awaitHealthy(vm)
		sys.awaitVersion(vm, accepted.GetAccepted())
		if current := sys.configuration(vm); !proto.Equal(current, before) {
			t.Errorf("VM %s has configuration %v with number %d", vm, current.GetVersion(), numberOf(current.GetConfiguration()))
		}
	}
	sys.checkResends(sent)
	res, err := sys.applyUntilDecided(change{
		vm:       "b1",
		id:       "before",
		expected: &fpoperator.Version{},
		next:     before.GetConfiguration(),
		wait:     0,
	})
	if err != nil || !proto.Equal(res.GetAccepted(), accepted.GetAccepted()) {
		t.Errorf("the resent change was answered %v, %v instead of %v", res, err, accepted.GetAccepted())
	}
	sys.checkExclusiveOwnership()
}

// answeredRequest is a non-idempotent request with its answer.
type answeredRequest struct {
	request request
	reply   reply
}

// sendNonIdempotent sends count non-idempotent keyed requests through the VMs in turn and returns them with their answers. A
// request that fails is replaced by a new one with a new idempotency key.
func (sys *system) sendNonIdempotent(count int, vms ...string) []answeredRequest {
	sys.t.Helper()
	var answered []answeredRequest
	for num := range count {
		sys.eventually("a non-idempotent request is answered", func() bool {
			req := request{
				vm:       vms[num%len(vms)],
				path:     planSet,
				key:      fmt.Sprintf("key-%d", num),
				id:       newRequestID(sys.t),
				deadline: 5 * time.Second,
			}
			rep := sys.do(req)
			if rep.ok() {
				answered = append(answered, answeredRequest{
					request: req,
					reply:   rep,
				})
			}
			return rep.ok()
		})
	}
	return answered
}

// checkResends sends answered requests again, through the VMs in turn. Each must get its recorded answer and must not run
// again.
func (sys *system) checkResends(answered []answeredRequest) {
	sys.t.Helper()
	for num, ans := range answered {
		vms := sys.vmNames()
		req := ans.request
		req.vm = vms[(num+1)%len(vms)]
		var rep reply
		sys.eventually("a resent request gets an answer", func() bool {
			rep = sys.do(req)
			return rep.err == nil && rep.outcome != "notRun"
		})
		if !rep.ok() || rep.body != ans.reply.body {
			sys.t.Errorf("the resent request %s got %v instead of %v", req.id, rep, ans.reply)
		}
	}
	starts := sys.startCounts()
	for _, ans := range answered {
		if starts[ans.request.id] != 1 {
			sys.t.Errorf("request %s started %d times", ans.request.id, starts[ans.request.id])
		}
	}
}

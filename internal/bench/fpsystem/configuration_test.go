package fpsystem_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"google.golang.org/protobuf/proto"
)

// replace applies a numbered configuration through a VM and fails the test when it is refused.
func (sys *system) replace(vm, id string, num int, wait time.Duration) *fpoperator.ApplyConfigurationResponse {
	sys.t.Helper()
	now := sys.configuration(vm)
	res, err := sys.settle(change{
		vm:       vm,
		id:       id,
		expected: now.GetVersion(),
		next:     numbered(now.GetConfiguration(), num),
		wait:     wait,
	})
	if err != nil {
		sys.t.Fatalf("change %s: %v", id, err)
	}
	return res
}

// versionWatch reads the versions in force on all VMs until it is stopped, and reports a version that goes back.
type versionWatch struct {
	stop  chan struct{}
	ended chan struct{}
}

func (sys *system) watchVersions() *versionWatch {
	wat := &versionWatch{
		stop:  make(chan struct{}),
		ended: make(chan struct{}),
	}
	go func() {
		defer close(wat.ended)
		last := map[string]*fpoperator.Version{}
		for {
			for _, vm := range sys.vms() {
				now := sys.configuration(vm).GetVersion()
				if now == nil {
					continue // the VM does not answer
				}
				if older(now, last[vm]) {
					sys.t.Errorf("VM %s went back from configuration %v to %v", vm, last[vm], now)
				}
				last[vm] = now
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

func (wat *versionWatch) end() {
	close(wat.stop)
	<-wat.ended
}

// awaitVersion waits until a VM has a configuration at least as new as a version in force.
func (sys *system) awaitVersion(vm string, version *fpoperator.Version) {
	sys.t.Helper()
	sys.eventually(fmt.Sprintf("VM %s has configuration %v", vm, version), func() bool {
		now := sys.configuration(vm).GetVersion()
		return now != nil && !older(now, version)
	})
}

// TestConfigurationInForce guards against an accepted configuration that is late or missing on a VM, and against an answer
// that claims otherwise.
func TestConfigurationInForce(t *testing.T) {
	const changes = 100
	sys := newSystem(t, oneRegion())
	vms := sys.vms()
	wat := sys.watchVersions()
	var times []time.Duration
	for num := range changes {
		vm := vms[num%len(vms)]
		began := time.Now()
		res := sys.replace(vm, fmt.Sprintf("change-%d", num), num+1, patience)
		times = append(times, time.Since(began))
		if !res.GetInForce() {
			t.Errorf("change %d is not in force on %v", num, res.GetUnconfirmed())
		}
		for _, other := range vms {
			if now := sys.configuration(other); numberOf(now.GetConfiguration()) != num+1 {
				t.Errorf("change %d was answered as in force, but VM %s has number %d", num, other, numberOf(now.GetConfiguration()))
			}
		}
	}
	wat.end()
	t.Logf("from the request to in force on every VM: %s", distribution(times))
	compare(t, "slowest change", slices.Max(times), configurationTarget)
}

// TestRestartAfterChanges guards against a VM that serves an old configuration after it missed many changes, and against an
// answer that hides the VMs that are down.
func TestRestartAfterChanges(t *testing.T) {
	t.Parallel()
	const changes = 300
	sys := newSystem(t, oneRegion())
	first := sys.replace("a1", "before", 1, patience)
	sys.awaitVersion("b1", first.GetAccepted())
	sys.machines["b1"].running.kill()
	wat := sys.watchVersions()
	down := sys.replace("a1", "down", 2, time.Second)
	if down.GetInForce() || !slices.Equal(down.GetUnconfirmed(), []string{"b1"}) {
		t.Errorf("with b1 down, in force is %t and unconfirmed are %v", down.GetInForce(), down.GetUnconfirmed())
	}
	var last *fpoperator.ApplyConfigurationResponse
	for num := range changes {
		last = sys.replace("a1", fmt.Sprintf("missed-%d", num), num+3, 0)
		sys.awaitVersion("a1", last.GetAccepted())
	}
	began := time.Now()
	sys.startVM("b1")
	sys.awaitVersion("b1", last.GetAccepted())
	t.Logf("b1 caught up with %d changes %v after its start", changes, time.Since(began))
	sys.awaitHealthy("b1")
	wat.end()
	again := sys.replace("b1", "after", changes+4, patience)
	if !again.GetInForce() {
		t.Errorf("after the return of b1 a change is not in force on %v", again.GetUnconfirmed())
	}
}

// TestAllKilled guards against the loss of what was acknowledged when all VMs die at once.
func TestAllKilled(t *testing.T) {
	t.Parallel()
	sys := newSystem(t, oneRegion())
	sys.addPlans(4)
	accepted := sys.replace("a1", "before", 7, patience)
	sent := sys.sendSets(20, sys.vms()...)
	before := sys.configuration("a1")
	for _, vm := range sys.vms() {
		sys.machines[vm].running.kill()
	}
	for _, vm := range sys.vms() {
		sys.startVM(vm)
	}
	for _, vm := range sys.vms() {
		sys.awaitHealthy(vm)
		sys.awaitVersion(vm, accepted.GetAccepted())
		if now := sys.configuration(vm); !proto.Equal(now, before) {
			t.Errorf("VM %s has configuration %v with number %d", vm, now.GetVersion(), numberOf(now.GetConfiguration()))
		}
	}
	sys.checkResends(sent)
	res, err := sys.settle(change{
		vm:       "b1",
		id:       "before",
		expected: &fpoperator.Version{},
		next:     before.GetConfiguration(),
		wait:     0,
	})
	if err != nil || !proto.Equal(res.GetAccepted(), accepted.GetAccepted()) {
		t.Errorf("the resent change was answered %v, %v instead of %v", res, err, accepted.GetAccepted())
	}
	sys.checkOwners()
}

// sent is an answered non-idempotent request.
type sent struct {
	request request
	reply   reply
}

// sendSets has non-idempotent keyed requests answered through VMs in turn. Refused and lost requests are replaced by new
// ones.
func (sys *system) sendSets(count int, vms ...string) []sent {
	sys.t.Helper()
	var all []sent
	for num := range count {
		sys.eventually("a non-idempotent request is answered", func() bool {
			req := request{
				vm:       vms[num%len(vms)],
				path:     planSet,
				key:      fmt.Sprintf("key-%d", num),
				id:       newID(sys.t),
				deadline: 5 * time.Second,
			}
			rep := sys.do(req)
			if rep.ok() {
				all = append(all, sent{
					request: req,
					reply:   rep,
				})
			}
			return rep.ok()
		})
	}
	return all
}

// checkResends sends answered requests again through every VM. They must get the recorded answer and must not run again.
func (sys *system) checkResends(all []sent) {
	sys.t.Helper()
	for num, one := range all {
		vms := sys.vms()
		req := one.request
		req.vm = vms[(num+1)%len(vms)]
		var rep reply
		sys.eventually("a resent request gets an answer", func() bool {
			rep = sys.do(req)
			return rep.err == nil && rep.outcome != "notRun"
		})
		if !rep.ok() || rep.body != one.reply.body {
			sys.t.Errorf("the resent request %s got %v instead of %v", req.id, rep, one.reply)
		}
	}
	starts := sys.starts()
	for _, one := range all {
		if starts[one.request.id] != 1 {
			sys.t.Errorf("request %s started %d times", one.request.id, starts[one.request.id])
		}
	}
}

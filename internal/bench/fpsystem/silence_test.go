package fpsystem_test

import (
	"testing"
	"time"
)

// warmUp has requests answered through every VM, so that the budget of each VM and service allows one retry.
func (sys *system) warmUp(key string, paths ...string) {
	sys.t.Helper()
	// A retry is earned by ten successes; twice as many leave room for retries during the warm-up.
	const successes = 20
	for _, vm := range sys.vms() {
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

// TestSilenceInFlight guards against idempotent requests that are lost when their connections go silent while they run. One
// request of each service is in flight through each VM, which is what the budget for retries always allows.
func TestSilenceInFlight(t *testing.T) {
	t.Parallel()
	const (
		key   = "harbour"
		sleep = 500 * time.Millisecond
	)
	sys := newSystem(t, oneRegion())
	sys.addPlans(4)
	sys.addSwitches(2)
	paths := []string{planGet, switchRead}
	sys.warmUp(key, paths...)
	var flights []request
	for _, vm := range sys.vms() {
		for _, path := range paths {
			flights = append(flights, request{
				vm:       vm,
				path:     path,
				key:      key,
				id:       newID(t),
				sleep:    sleep,
				deadline: 5 * time.Second,
			})
		}
	}
	replies := make([]reply, len(flights))
	ends := make([]time.Time, len(flights))
	done := make(chan struct{})
	for num, req := range flights {
		go func() {
			replies[num] = sys.do(req)
			ends[num] = time.Now()
			done <- struct{}{}
		}()
	}
	sys.eventually("the requests run", func() bool {
		starts := sys.starts()
		for _, req := range flights {
			if starts[req.id] == 0 {
				return false
			}
		}
		return true
	})
	silenced := time.Now()
	t.Logf("%d connections went silent", sys.network.silence())
	for range flights {
		<-done
	}
	for num, rep := range replies {
		req := flights[num]
		t.Logf("%s through %s ended %v after the silence, with %d starts", req.path, req.vm,
			ends[num].Sub(silenced).Round(time.Millisecond), sys.starts()[req.id])
		if !rep.ok() {
			t.Errorf("%s in flight through %s when the connections went silent: %v", req.path, req.vm, rep)
		}
	}
	sys.checkOwners()
}

// TestSilence guards, under load, against VMs that go on to use silent connections, and against a key that gets a second
// owner because the renewals of its lease went silent.
func TestSilence(t *testing.T) {
	t.Parallel()
	const (
		key    = "harbour"
		rounds = 2
	)
	sys := newSystem(t, oneRegion())
	sys.addPlans(4)
	sys.addSwitches(2)
	vms := sys.vms()
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
		silenced := time.Now()
		t.Logf("round %d: %d connections went silent", round, sys.network.silence())
		for _, vm := range vms {
			for _, path := range paths {
				took := sys.awaitFirst(loa, silenced, func(sam sample) bool {
					return sam.request.vm == vm && sam.request.path == path
				})
				compare(t, path+" answered again through "+vm, took, recoveryTarget)
			}
		}
		sys.checkGaps(loa.results(), silenced, recoveryTarget)
	}
	sys.checkOwners()
}

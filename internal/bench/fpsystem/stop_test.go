package fpsystem_test

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestStop guards against a planned stop that cuts off a request in flight, against a second signal that does, against a VM
// that does not exit, and against failures of requests through the other VMs meanwhile.
func TestStop(t *testing.T) {
	t.Parallel()
	const (
		leaving = "a1"
		sleep   = 1500 * time.Millisecond
	)
	sys := newSystem(t, oneRegion())
	sys.addPlans(4)
	sys.addSwitches(2)
	rest := sys.others(leaving)
	for _, vm := range sys.vms() {
		for _, path := range []string{planGet, switchRead} {
			sys.awaitServed(request{
				vm:   vm,
				path: path,
				key:  "harbour",
			})
		}
	}
	loa := sys.startLoad(20*time.Millisecond, keyedLoad("harbour", rest...))
	var flights []request
	for _, path := range []string{planGet, planSet, switchRead, switchOn} {
		flights = append(flights, request{
			vm:       leaving,
			path:     path,
			key:      "flight" + path,
			id:       newID(t),
			sleep:    sleep,
			deadline: 5 * time.Second,
		})
	}
	replies := make([]reply, len(flights))
	took := make([]time.Duration, len(flights))
	done := make(chan struct{})
	for num, req := range flights {
		go func() {
			began := time.Now()
			replies[num] = sys.do(req)
			took[num] = time.Since(began)
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
	vm := sys.machines[leaving].running
	signalled := time.Now()
	vm.terminate()
	time.Sleep(400 * time.Millisecond)
	vm.terminate()
	for range flights {
		<-done
	}
	for num, rep := range replies {
		t.Logf("%s was answered after %v", flights[num].path, took[num].Round(time.Millisecond))
		if !rep.ok() || !strings.Contains(rep.body, flights[num].key) {
			t.Errorf("%s in flight through the stopping VM was answered %v", flights[num].path, rep)
		}
		if took[num] < sleep {
			t.Errorf("%s was answered after %v, before the signals could reach it in flight", flights[num].path, took[num])
		}
	}
	if !vm.ended(patience) {
		t.Fatalf("VM %s runs %v after the signal", leaving, time.Since(signalled))
	}
	t.Logf("VM %s exited %v after the signal", leaving, vm.end.Sub(signalled).Round(time.Millisecond))
	if code := vm.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("VM %s exited with code %d", leaving, code)
	}
	sys.checkSignalLogged(vm)
	time.Sleep(time.Second)
	for _, sam := range loa.results() {
		if !sam.reply.ok() {
			t.Errorf("a request through %s, sent %v after the signal, was answered %v", sam.request.vm, sam.sent.Sub(signalled), sam.reply)
		}
	}
	for num, req := range flights {
		if starts := sys.starts()[req.id]; starts != 1 {
			t.Errorf("%s started %d times", req.path, starts)
		}
		if req.path != planSet && req.path != switchOn {
			continue
		}
		req.vm = rest[0]
		if rep := sys.do(req); !rep.ok() || rep.body != replies[num].body {
			t.Errorf("%s, sent again through %s, was answered %v instead of %v", req.path, rest[0], rep, replies[num])
		}
		if starts := sys.starts()[req.id]; starts != 1 {
			t.Errorf("%s, sent again, started %d times", req.path, starts)
		}
	}
	sys.checkOwners()
}

// checkSignalLogged fails the test if the second signal left no line with the number of requests in flight.
func (sys *system) checkSignalLogged(pro *process) {
	sys.t.Helper()
	data, err := os.ReadFile(pro.log)
	if err != nil {
		sys.t.Fatal(err)
	}
	if count := strings.Count(string(data), `"inFlight":`); count < 2 {
		sys.t.Errorf("%d lines of %s state the requests in flight, for two signals", count, pro.log)
	}
}

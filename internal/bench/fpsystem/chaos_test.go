package fpsystem_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
)

var (
	chaosDuration = flag.Duration("chaos.duration", 12*time.Second, "time for which TestChaos injects faults")
	chaosSeed     = flag.Uint64("chaos.seed", 7, "seed of the faults and the calls of TestChaos")
)

// callerCount is the number of concurrent callers of TestChaos. With the sleeps of their requests it is high enough for
// upstreams to have requests in flight when they are killed.
const callerCount = 12

// chaos is a run with random calls and faults. Each of its goroutines draws from a random source of its own, so that the
// seed determines its draws.
type chaos struct {
	sys  *system
	stop chan struct{} // closed at the end of the run
	wgr  sync.WaitGroup

	mutex   sync.Mutex
	calls   []chaosCall
	changes []porcupine.Operation // history of the configuration changes
	faults  map[string]int        // number of injected faults by kind
}

// chaosCall is a request with the answers to all attempts, which may have been sent through different VMs.
type chaosCall struct {
	request request
	replies []reply
}

// TestChaos checks the invariants of the design page under random faults, while callers send calls of all kinds and resend
// those that failed, and operators change the configuration. The faults are kills and freezes of VMs and upstreams, cuts of
// VMs in one or both directions, and silent connections.
func TestChaos(t *testing.T) {
	t.Parallel()
	t.Logf("seed %d, duration %v", *chaosSeed, *chaosDuration)
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(4)
	for _, centre := range sys.dataCentres() {
		sys.addUpstream(location{
			name:       "switch-" + centre,
			dataCentre: centre,
		}, switchService)
	}
	cha := &chaos{
		sys:    sys,
		stop:   make(chan struct{}),
		faults: map[string]int{},
	}
	wat := sys.watchVersions()
	first := sys.configuration("a1").GetVersion()
	for num := range callerCount {
		cha.repeat(uint64(num), func(rnd *rand.Rand) { cha.sendCall(rnd, num) })
	}
	for num := range 2 {
		cha.repeat(100+uint64(num), func(rnd *rand.Rand) { cha.changeConfiguration(rnd, num) })
	}
	cha.repeat(200, cha.injectVMFault)
	cha.repeat(201, cha.injectUpstreamFault)
	cha.repeat(202, cha.injectNetworkFault)
	time.Sleep(*chaosDuration)
	close(cha.stop)
	cha.wgr.Wait()
	sys.awaitLeasesAndOwners()
	wat.close()
	t.Logf("faults: %v", cha.faults)
	cha.checkCalls()
	cha.checkChanges(formatVersion(first))
	cha.checkConverged()
	sys.checkExclusiveOwnership()
}

// repeat calls fn in a goroutine until the run ends, with a random source for the stream.
func (cha *chaos) repeat(stream uint64, fn func(rnd *rand.Rand)) {
	rnd := rand.New(rand.NewPCG(*chaosSeed, stream))
	cha.wgr.Go(func() {
		for !cha.stopped() {
			fn(rnd)
		}
	})
}

// stopped reports whether the run has ended.
func (cha *chaos) stopped() bool {
	select {
	case <-cha.stop:
		return true
	default:
		return false
	}
}

// sleep waits for a random duration below limit, or until the run ends.
func (cha *chaos) sleep(rnd *rand.Rand, limit time.Duration) {
	select {
	case <-cha.stop:
	case <-time.After(time.Duration(rnd.Int64N(int64(limit)))):
	}
}

// recordFault counts an injected fault.
func (cha *chaos) recordFault(fault string) {
	cha.mutex.Lock()
	defer cha.mutex.Unlock()
	cha.faults[fault]++
}

// injectVMFault kills or freezes a random VM and restarts or thaws it after up to 3 seconds.
func (cha *chaos) injectVMFault(rnd *rand.Rand) {
	cha.sleep(rnd, 2*time.Second)
	vms := cha.sys.vmNames()
	vm := vms[rnd.IntN(len(vms))]
	if rnd.IntN(2) == 0 {
		cha.recordFault("VM killed")
		cha.sys.machines[vm].process.kill()
		cha.sleep(rnd, 3*time.Second)
		cha.sys.startVM(vm)
		return
	}
	cha.recordFault("VM frozen")
	cha.sys.machines[vm].process.freeze()
	cha.sleep(rnd, 3*time.Second)
	cha.sys.machines[vm].process.thaw()
}

// injectUpstreamFault kills or freezes a random upstream and restarts or thaws it after up to 3 seconds.
func (cha *chaos) injectUpstreamFault(rnd *rand.Rand) {
	cha.sleep(rnd, 2*time.Second)
	names := []string{"plan-1", "plan-2", "plan-3", "plan-4", "switch-a", "switch-b"}
	name := names[rnd.IntN(len(names))]
	if rnd.IntN(2) == 0 {
		cha.recordFault("upstream killed")
		cha.sys.upstreams[name].process.kill()
		cha.sleep(rnd, 2*time.Second)
		cha.sys.startUpstream(name)
		return
	}
	cha.recordFault("upstream frozen")
	cha.sys.freezeUpstream(name)
	cha.sleep(rnd, 3*time.Second)
	cha.sys.upstreams[name].process.thaw()
}

// injectNetworkFault cuts a random VM off from some of the other processes, in one or both directions, or silences all open
// connections. It heals the network after up to 3 seconds.
func (cha *chaos) injectNetworkFault(rnd *rand.Rand) {
	cha.sleep(rnd, 2*time.Second)
	vms := cha.sys.vmNames()
	vm := []string{vms[rnd.IntN(len(vms))]}
	others := cha.sys.otherVMs(vm[0])
	for name := range cha.sys.upstreams {
		others = append(others, name)
	}
	// The iteration order of the map differs from run to run. Sorting makes the choice depend on the seed only.
	var cut []string
	for _, name := range slices.Sorted(slices.Values(others)) {
		if rnd.IntN(3) > 0 {
			cut = append(cut, name)
		}
	}
	switch rnd.IntN(4) {
	case 0:
		cha.recordFault("connections silenced")
		cha.sys.network.silence()
	case 1:
		cha.recordFault("one-way cut from a VM")
		cha.sys.network.cutOneWay(vm, cut)
	case 2:
		cha.recordFault("one-way cut to a VM")
		cha.sys.network.cutOneWay(cut, vm)
	default:
		cha.recordFault("cut")
		cha.sys.network.cut(vm, cut)
	}
	cha.sleep(rnd, 3*time.Second)
	cha.sys.network.heal()
}

// sendCall sends a call of a random kind through random VMs until it is answered with status 200, in at most five attempts.
func (cha *chaos) sendCall(rnd *rand.Rand, caller int) {
	vms := cha.sys.vmNames()
	paths := []string{planGet, planSet, switchRead, switchOn}
	req := request{
		path:     paths[rnd.IntN(len(paths))],
		id:       newRequestID(cha.sys.t),
		sleep:    time.Duration(rnd.IntN(150)) * time.Millisecond,
		deadline: time.Duration(300+rnd.IntN(1700)) * time.Millisecond,
	}
	req.key = fmt.Sprintf("caller-%d-%s", caller, req.id)
	cal := chaosCall{
		request: req,
	}
	for range 5 {
		req.vm = vms[rnd.IntN(len(vms))]
		rep := cha.sys.do(req)
		cal.replies = append(cal.replies, rep)
		if rep.ok() {
			break
		}
		cha.sleep(rnd, 100*time.Millisecond)
	}
	cha.mutex.Lock()
	cha.calls = append(cha.calls, cal)
	cha.mutex.Unlock()
	cha.sleep(rnd, 20*time.Millisecond)
}

// checkCalls checks the answers against the run log: non-idempotent requests started at most once, answered requests got
// their own answer and started, and requests of which all attempts were answered notRun never started.
func (cha *chaos) checkCalls() {
	cha.sys.t.Helper()
	starts := cha.sys.startCounts()
	answered, notExecuted, uncertain := 0, 0, 0
	for _, cal := range cha.calls {
		req, last := cal.request, cal.replies[len(cal.replies)-1]
		nonIdempotent := req.path == planSet || req.path == switchOn
		if nonIdempotent && starts[req.id] > 1 {
			cha.sys.t.Errorf("non-idempotent request %s started %d times; replies %v", req.id, starts[req.id], cal.replies)
		}
		switch {
		case last.ok():
			answered++
			if !strings.Contains(last.body, req.key) {
				cha.sys.t.Errorf("request %s for key %s got the answer %v", req.id, req.key, last)
			}
			if starts[req.id] < 1 {
				cha.sys.t.Errorf("request %s was answered %v but never started", req.id, last)
			}
		case allNotRun(cal.replies):
			notExecuted++
			if starts[req.id] != 0 {
				cha.sys.t.Errorf("request %s %s was answered notRun but started %d times; replies %v", req.path, req.id, starts[req.id], cal.replies)
			}
		default:
			uncertain++
		}
	}
	cha.sys.t.Logf("%d calls: %d answered, %d not run, %d without an answer or of unknown outcome", len(cha.calls), answered, notExecuted, uncertain)
}

// allNotRun reports whether the answers to all attempts of a request have the outcome notRun.
func allNotRun(replies []reply) bool {
	for _, rep := range replies {
		if rep.err != nil || rep.outcome != "notRun" {
			return false
		}
	}
	return true
}

// changeInput is the input of a configuration change in the history: the version that the change replaces.
type changeInput struct{ expected string }

// changeOutput is the outcome of a configuration change in the history.
type changeOutput struct {
	accepted  string // version of the accepted configuration; empty if the change was refused
	uncertain bool   // no answer told whether the change was accepted
}

// formatVersion returns a version as TERM/INDEX.
func formatVersion(ver interface {
	GetTerm() uint64
	GetIndex() uint64
},
) string {
	return fmt.Sprintf("%d/%d", ver.GetTerm(), ver.GetIndex())
}

// changeConfiguration makes a configuration change that replaces the version in force on a random VM.
func (cha *chaos) changeConfiguration(rnd *rand.Rand, operator int) {
	vms := cha.sys.vmNames()
	cha.sleep(rnd, 300*time.Millisecond)
	current := cha.sys.configuration(vms[rnd.IntN(len(vms))])
	if current.GetVersion() == nil {
		return
	}
	start := time.Now()
	res, err := cha.sys.applyUntilDecided(change{
		vm:       vms[rnd.IntN(len(vms))],
		id:       newRequestID(cha.sys.t),
		expected: current.GetVersion(),
		next:     numbered(current.GetConfiguration(), rnd.IntN(1_000_000)),
	})
	out := changeOutput{
		uncertain: isUndecided(err),
	}
	if err == nil {
		out.accepted = formatVersion(res.GetAccepted())
	}
	cha.mutex.Lock()
	defer cha.mutex.Unlock()
	cha.changes = append(cha.changes, porcupine.Operation{
		ClientId: operator,
		Input: changeInput{
			expected: formatVersion(current.GetVersion()),
		},
		Call:   start.UnixNano(),
		Output: out,
		Return: time.Now().UnixNano(),
	})
}

// configurationModel returns the sequential model of the configuration: a register with compare-and-swap, whose value is the
// version.
func configurationModel(initial string) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return initial },
		Step: func(state, input, output any) (bool, any) {
			matches := state.(string) == input.(changeInput).expected
			out := output.(changeOutput)
			if out.accepted == "" {
				return !matches, state
			}
			return matches, out.accepted
		},
	}
}

// checkChanges checks that the history of configuration changes is linearizable.
func (cha *chaos) checkChanges(initial string) {
	cha.sys.t.Helper()
	accepted := 0
	for _, ope := range cha.changes {
		out := ope.Output.(changeOutput)
		if out.uncertain {
			cha.sys.t.Fatalf("the outcome of a configuration change is still unknown after %v", stateTimeout)
		}
		if out.accepted != "" {
			accepted++
		}
	}
	cha.sys.t.Logf("%d configuration changes, %d accepted", len(cha.changes), accepted)
	if got := porcupine.CheckOperationsTimeout(configurationModel(initial), cha.changes, stateTimeout); got != porcupine.Ok {
		cha.sys.t.Errorf("the check that the history of configuration changes is linearizable returned %s", got)
	}
}

// checkConverged waits until all VMs have the same configuration.
func (cha *chaos) checkConverged() {
	cha.sys.t.Helper()
	cha.sys.eventually("all VMs have the same configuration", func() bool {
		want := cha.sys.configuration("a1")
		for _, vm := range cha.sys.vmNames() {
			if want.GetVersion() == nil || !proto.Equal(want, cha.sys.configuration(vm)) {
				return false
			}
		}
		return true
	})
}

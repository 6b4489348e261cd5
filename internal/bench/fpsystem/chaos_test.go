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
	chaosDuration = flag.Duration("chaos.duration", 12*time.Second, "how long TestChaos injects faults")
	chaosSeed     = flag.Uint64("chaos.seed", 7, "seed of the faults and the calls of TestChaos")
)

// callers is the number of callers of TestChaos. Together with the times of their requests it lets a killed upstream have
// requests in flight.
const callers = 12

// chaos is a randomized run. Each of its goroutines draws from a source of its own.
type chaos struct {
	sys  *system
	stop chan struct{}
	wgr  sync.WaitGroup

	mutex   sync.Mutex
	calls   []chaosCall
	changes []porcupine.Operation
	faults  map[string]int
}

// chaosCall is a request with all answers that it got, through one VM after the other.
type chaosCall struct {
	request request
	replies []reply
}

// TestChaos guards the invariants of the design page under random faults: kills, freezes, cuts and one-way cuts of VMs, kills
// and freezes of upstreams, while callers send calls of all kinds and resend those that were lost.
func TestChaos(t *testing.T) {
	t.Parallel()
	t.Logf("seed %d, duration %v", *chaosSeed, *chaosDuration)
	sys := newSystem(t, oneRegion())
	sys.addPlans(4)
	for _, centre := range sys.dataCentres() {
		sys.addUpstream(place{
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
	for num := range callers {
		cha.start(uint64(num), func(rnd *rand.Rand) { cha.call(rnd, num) })
	}
	for num := range 2 {
		cha.start(100+uint64(num), func(rnd *rand.Rand) { cha.operate(rnd, num) })
	}
	cha.start(200, cha.breakVM)
	cha.start(201, cha.breakUpstream)
	cha.start(202, cha.breakNetwork)
	time.Sleep(*chaosDuration)
	close(cha.stop)
	cha.wgr.Wait()
	sys.awaitSettled()
	wat.end()
	t.Logf("faults: %v", cha.faults)
	cha.checkCalls()
	cha.checkChanges(versionText(first))
	cha.checkConverged()
	sys.checkOwners()
}

// start repeats fn until the run ends.
func (cha *chaos) start(stream uint64, fn func(rnd *rand.Rand)) {
	rnd := rand.New(rand.NewPCG(*chaosSeed, stream))
	cha.wgr.Go(func() {
		for !cha.over() {
			fn(rnd)
		}
	})
}

func (cha *chaos) over() bool {
	select {
	case <-cha.stop:
		return true
	default:
		return false
	}
}

// sleep waits for a random time of at most limit, or until the run ends.
func (cha *chaos) sleep(rnd *rand.Rand, limit time.Duration) {
	select {
	case <-cha.stop:
	case <-time.After(time.Duration(rnd.Int64N(int64(limit)))):
	}
}

func (cha *chaos) note(fault string) {
	cha.mutex.Lock()
	defer cha.mutex.Unlock()
	cha.faults[fault]++
}

// breakVM kills or freezes one VM for a while.
func (cha *chaos) breakVM(rnd *rand.Rand) {
	cha.sleep(rnd, 2*time.Second)
	vms := cha.sys.vms()
	vm := vms[rnd.IntN(len(vms))]
	if rnd.IntN(2) == 0 {
		cha.note("VM killed")
		cha.sys.machines[vm].running.kill()
		cha.sleep(rnd, 3*time.Second)
		cha.sys.startVM(vm)
		return
	}
	cha.note("VM frozen")
	cha.sys.machines[vm].running.freeze()
	cha.sleep(rnd, 3*time.Second)
	cha.sys.machines[vm].running.thaw()
}

// breakUpstream kills or freezes one upstream for a while.
func (cha *chaos) breakUpstream(rnd *rand.Rand) {
	cha.sleep(rnd, 2*time.Second)
	names := []string{"plan-1", "plan-2", "plan-3", "plan-4", "switch-a", "switch-b"}
	name := names[rnd.IntN(len(names))]
	if rnd.IntN(2) == 0 {
		cha.note("upstream killed")
		cha.sys.upstreams[name].running.kill()
		cha.sleep(rnd, 2*time.Second)
		cha.sys.startUpstream(name)
		return
	}
	cha.note("upstream frozen")
	cha.sys.freezeUpstream(name)
	cha.sleep(rnd, 3*time.Second)
	cha.sys.upstreams[name].running.thaw()
}

// breakNetwork cuts one VM from some of the other processes, in both directions or one, or silences all connections.
func (cha *chaos) breakNetwork(rnd *rand.Rand) {
	cha.sleep(rnd, 2*time.Second)
	vms := cha.sys.vms()
	vm := []string{vms[rnd.IntN(len(vms))]}
	others := cha.sys.others(vm[0])
	for name := range cha.sys.upstreams {
		others = append(others, name)
	}
	// The order of a map is random in each run, so the choice is made by the sorted names.
	var cut []string
	for _, name := range slices.Sorted(slices.Values(others)) {
		if rnd.IntN(3) > 0 {
			cut = append(cut, name)
		}
	}
	switch rnd.IntN(4) {
	case 0:
		cha.note("connections silenced")
		cha.sys.network.silence()
	case 1:
		cha.note("one-way cut from a VM")
		cha.sys.network.cutOneWay(vm, cut)
	case 2:
		cha.note("one-way cut to a VM")
		cha.sys.network.cutOneWay(cut, vm)
	default:
		cha.note("cut")
		cha.sys.network.cut(vm, cut)
	}
	cha.sleep(rnd, 3*time.Second)
	cha.sys.network.heal()
}

// call sends one call of a random kind, and sends it again through random VMs until it is answered, at most five times.
func (cha *chaos) call(rnd *rand.Rand, caller int) {
	vms := cha.sys.vms()
	paths := []string{planGet, planSet, switchRead, switchOn}
	req := request{
		path:     paths[rnd.IntN(len(paths))],
		id:       newID(cha.sys.t),
		sleep:    time.Duration(rnd.IntN(150)) * time.Millisecond,
		deadline: time.Duration(300+rnd.IntN(1700)) * time.Millisecond,
	}
	req.key = fmt.Sprintf("caller-%d-%s", caller, req.id)
	one := chaosCall{
		request: req,
	}
	for range 5 {
		req.vm = vms[rnd.IntN(len(vms))]
		rep := cha.sys.do(req)
		one.replies = append(one.replies, rep)
		if rep.ok() {
			break
		}
		cha.sleep(rnd, 100*time.Millisecond)
	}
	cha.mutex.Lock()
	cha.calls = append(cha.calls, one)
	cha.mutex.Unlock()
	cha.sleep(rnd, 20*time.Millisecond)
}

// checkCalls checks the answers against the log of runs.
func (cha *chaos) checkCalls() {
	cha.sys.t.Helper()
	starts := cha.sys.starts()
	answered, refused, open := 0, 0, 0
	for _, one := range cha.calls {
		req, last := one.request, one.replies[len(one.replies)-1]
		once := req.path == planSet || req.path == switchOn
		if once && starts[req.id] > 1 {
			cha.sys.t.Errorf("non-idempotent request %s started %d times; replies %v", req.id, starts[req.id], one.replies)
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
		case notRun(one.replies):
			refused++
			if starts[req.id] != 0 {
				cha.sys.t.Errorf("request %s %s was answered notRun but started %d times; replies %v", req.path, req.id, starts[req.id], one.replies)
			}
		default:
			open++
		}
	}
	cha.sys.t.Logf("%d calls: %d answered, %d not run, %d lost or unknown", len(cha.calls), answered, refused, open)
}

// notRun reports whether all answers to a request say that it did not run.
func notRun(replies []reply) bool {
	for _, rep := range replies {
		if rep.err != nil || rep.outcome != "notRun" {
			return false
		}
	}
	return true
}

// changeInput and changeOutput are one configuration change of the history.
type changeInput struct{ expected string }

type changeOutput struct {
	accepted string // empty when the change was a conflict
	unknown  bool
}

// versionText is a version as a value that can be compared.
func versionText(ver interface {
	GetTerm() uint64
	GetIndex() uint64
},
) string {
	return fmt.Sprintf("%d/%d", ver.GetTerm(), ver.GetIndex())
}

// operate makes one configuration change, based on the version that a random VM has in force.
func (cha *chaos) operate(rnd *rand.Rand, operator int) {
	vms := cha.sys.vms()
	cha.sleep(rnd, 300*time.Millisecond)
	now := cha.sys.configuration(vms[rnd.IntN(len(vms))])
	if now.GetVersion() == nil {
		return
	}
	began := time.Now()
	res, err := cha.sys.settle(change{
		vm:       vms[rnd.IntN(len(vms))],
		id:       newID(cha.sys.t),
		expected: now.GetVersion(),
		next:     numbered(now.GetConfiguration(), rnd.IntN(1_000_000)),
	})
	out := changeOutput{
		unknown: isUnsettled(err),
	}
	if err == nil {
		out.accepted = versionText(res.GetAccepted())
	}
	cha.mutex.Lock()
	defer cha.mutex.Unlock()
	cha.changes = append(cha.changes, porcupine.Operation{
		ClientId: operator,
		Input: changeInput{
			expected: versionText(now.GetVersion()),
		},
		Call:   began.UnixNano(),
		Output: out,
		Return: time.Now().UnixNano(),
	})
}

// configurationModel is a register that is replaced only by a change that expects its value.
func configurationModel(first string) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return first },
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

// checkChanges checks that the changes can be put in one order that agrees with their answers and their times.
func (cha *chaos) checkChanges(first string) {
	cha.sys.t.Helper()
	accepted := 0
	for _, ope := range cha.changes {
		out := ope.Output.(changeOutput)
		if out.unknown {
			cha.sys.t.Fatalf("a configuration change was not settled within %v", patience)
		}
		if out.accepted != "" {
			accepted++
		}
	}
	cha.sys.t.Logf("%d configuration changes, %d accepted", len(cha.changes), accepted)
	if got := porcupine.CheckOperationsTimeout(configurationModel(first), cha.changes, patience); got != porcupine.Ok {
		cha.sys.t.Errorf("the history of configuration changes is %s", got)
	}
}

// checkConverged waits until all VMs have the same configuration.
func (cha *chaos) checkConverged() {
	cha.sys.t.Helper()
	cha.sys.eventually("all VMs have the same configuration", func() bool {
		want := cha.sys.configuration("a1")
		for _, vm := range cha.sys.vms() {
			if want.GetVersion() == nil || !proto.Equal(want, cha.sys.configuration(vm)) {
				return false
			}
		}
		return true
	})
}

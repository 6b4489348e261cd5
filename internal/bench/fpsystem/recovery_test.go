package fpsystem_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
)

// laterAnswer is the wait of one more request when the load has ended, which shows a key that is lost once more.
const laterAnswer = "answer to a request after the load"

var recoveryLosses = flag.Int("recovery.losses", 4, "number of owners that TestRecovery kills")

// TestRecovery measures the time from the loss of a key's owner to the first answer to a request that was sent after the
// loss, under a light open-loop load through three VMs. It guards against a key that is never served again and against two
// owners; the times are compared with the target and fail nothing.
func TestRecovery(t *testing.T) {
	sys := newSystem(t, oneRegion())
	sys.addPlans(4)
	vms := sys.vms()
	parts := map[string][]time.Duration{}
	for loss := range *recoveryLosses {
		key := fmt.Sprintf("key-%d", loss)
		loa := sys.startLoad(5*time.Millisecond, keyedLoad(key, vms...))
		owner := sys.owner(vms[0], key)
		time.Sleep(100 * time.Millisecond)
		lost := time.Now()
		sys.upstreams[owner].running.kill()
		parts["first answer"] = append(parts["first answer"], sys.awaitFirst(loa, lost, nil))
		for _, vm := range vms {
			parts["first answer through each VM"] = append(parts["first answer through each VM"], sys.awaitFirst(loa, lost, through(vm)))
		}
		loa.results()
		parts[laterAnswer] = append(parts[laterAnswer], sys.awaitServed(request{
			vm:   vms[0],
			path: planGet,
			key:  key,
		}))
		if first, ok := sys.firstRun(lost, owner); ok {
			parts["first run on the new owner"] = append(parts["first run on the new owner"], first)
		}
		if now := sys.owner(vms[0], key); now == owner {
			t.Errorf("loss %d: the killed upstream %s still owns the key", loss, owner)
		}
		sys.startUpstream(owner)
		sys.awaitSettled()
	}
	for _, name := range []string{"first answer", "first answer through each VM", "first run on the new owner"} {
		t.Logf("%s after the loss: %s", name, distribution(parts[name]))
	}
	t.Logf("%s: %s", laterAnswer, distribution(parts[laterAnswer]))
	for _, took := range parts["first answer"] {
		if took > recoveryTarget {
			t.Logf("a loss took %v, ABOVE the target of %v", took, recoveryTarget)
		}
	}
	sys.checkOwners()
}

// firstRun returns the time from a loss to the first run of a keyed request on another upstream than the lost one.
func (sys *system) firstRun(lost time.Time, owner string) (time.Duration, bool) {
	for _, run := range sys.runs() {
		at := time.Unix(0, run.At)
		if run.Event == "start" && run.Upstream != owner && run.Slot != "" && at.After(lost) && run.Request == "" {
			return at.Sub(lost), true
		}
	}
	return 0, false
}

// awaitSettled waits until all slots are owned and all keyed upstreams hold a lease. Hot keys that are split out of their
// slots count as slots of their own, so there may be more.
func (sys *system) awaitSettled() {
	sys.t.Helper()
	var last *fpoperator.StatusResponse
	defer func() {
		if sys.t.Failed() {
			sys.t.Logf("last status: %v", last)
		}
	}()
	sys.eventually("all keyed upstreams hold leases and all slots have owners", func() bool {
		leased, owned := 0, 0
		last = sys.status(sys.layout.vms[0].name)
		for _, one := range last.GetUpstreams() {
			if one.GetService() == planService {
				leased += count(one)
				owned += int(one.GetSlots())
			}
		}
		return leased == sys.plans() && owned >= slots
	})
}

// count returns 1 for an upstream with a lease.
func count(one *fpoperator.UpstreamStatus) int {
	if one.GetLease().AsDuration() > 0 {
		return 1
	}
	return 0
}

func (sys *system) plans() int {
	num := 0
	for _, ups := range sys.upstreams {
		if ups.service == planService {
			num++
		}
	}
	return num
}

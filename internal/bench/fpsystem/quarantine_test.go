package fpsystem_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
)

// endedUpstreams returns the number of upstream processes that have ended.
func (sys *system) endedUpstreams() int {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	count := 0
	for _, pro := range sys.upstreamProcesses {
		if pro.hasEnded() {
			count++
		}
	}
	return count
}

// TestQuarantine guards against a request that crashes one upstream after another when its caller resends it, against a
// quarantine that is not enforced by all entry VMs, and against one that cannot be released.
func TestQuarantine(t *testing.T) {
	t.Parallel()
	const (
		key       = "crash"
		sendCount = 6
		// maxEnded is the number of upstreams that a request may crash, as the second crash quarantines it.
		maxEnded = 2
	)
	// The requests of the warm-up fill the retry budget of each VM. In the unkeyed case the budget lets one VM retry the
	// request on a second upstream, and the other VMs have to learn of both crashes. In the keyed case there is no budget for
	// a retry, and each crash is seen by another VM; a keyed call needs no budget to wait for a new owner.
	for path, warmUpRequests := range map[string]int{
		planGet:    1,
		switchRead: 60,
	} {
		t.Run(path[strings.LastIndex(path, "/")+1:], func(t *testing.T) {
			t.Parallel()
			sys := newSystem(t, oneRegion())
			if path == planGet {
				sys.addKeyedUpstreams(4)
			} else {
				sys.addUnkeyedUpstreams(4)
			}
			vms := sys.vmNames()
			for _, vm := range vms {
				for range warmUpRequests {
					sys.awaitServed(request{
						vm:   vm,
						path: path,
						key:  "harbour",
					})
				}
			}
			var replies []reply
			for num := range sendCount {
				start := time.Now()
				rep := sys.do(request{
					vm:       vms[num%len(vms)],
					path:     path,
					key:      key,
					crash:    true,
					deadline: 5 * time.Second,
				})
				replies = append(replies, rep)
				t.Logf("request %d, through %s: %d upstreams have ended, answered after %v: %v", num+1, vms[num%len(vms)], sys.endedUpstreams(),
					time.Since(start).Round(time.Millisecond), rep)
			}
			if ended := sys.endedUpstreams(); ended != maxEnded {
				t.Errorf("%d upstreams ended, want %d", ended, maxEnded)
			}
			for num, rep := range replies[maxEnded:] {
				if rep.errorKind != "quarantined" || rep.outcome != "notRun" {
					t.Errorf("request %d was answered with %v, want kind quarantined and outcome notRun", num+maxEnded+1, rep)
				}
			}
			sys.checkReleased(path, key)
			sys.checkExclusiveOwnership()
		})
	}
}

// addUnkeyedUpstreams starts upstreams of the unkeyed service, switch-1 and so on, in the data centres in turn. It waits until
// the status of the first VM lists them all.
func (sys *system) addUnkeyedUpstreams(count int) {
	sys.t.Helper()
	centres := sys.dataCentres()
	for num := range count {
		sys.addUpstream(location{
			name:       fmt.Sprintf("switch-%d", num+1),
			dataCentre: centres[num%len(centres)],
		}, switchService)
	}
	sys.eventually("all upstreams of the unkeyed service are known", func() bool {
		known := 0
		for _, ups := range sys.status(sys.vmNames()[0]).GetUpstreams() {
			if ups.GetService() == switchService {
				known++
			}
		}
		return known == count
	})
}

// checkReleased checks that all VMs list the same single quarantined request, releases it, and checks that a request with the
// same path and key is served through every VM.
func (sys *system) checkReleased(path, key string) {
	sys.t.Helper()
	digests := sys.status("a1").GetQuarantined()
	if len(digests) != 1 {
		sys.t.Fatalf("the status of a1 lists the quarantined requests %v, want one", digests)
	}
	for _, vm := range sys.vmNames() {
		if got := sys.status(vm).GetQuarantined(); !slices.Equal(got, digests) {
			sys.t.Errorf("the status of %s lists the quarantined requests %v, that of a1 %v", vm, got, digests)
		}
	}
	_, err := sys.operatorClient("b1").ReleaseQuarantine(sys.t.Context(), connect.NewRequest(&fpoperator.ReleaseQuarantineRequest{
		Group:  "r",
		Digest: digests[0],
	}))
	if err != nil {
		sys.t.Fatalf("cannot release the quarantined request %s: %v", digests[0], err)
	}
	for _, vm := range sys.vmNames() {
		took := sys.awaitServed(request{
			vm:   vm,
			path: path,
			key:  key,
		})
		sys.t.Logf("the released request was served through %s after %v", vm, took.Round(time.Millisecond))
	}
	if left := sys.status("a1").GetQuarantined(); len(left) != 0 {
		sys.t.Errorf("the status of a1 lists the quarantined requests %v after the release", left)
	}
}

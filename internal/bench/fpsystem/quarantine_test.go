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

// endedUpstreams counts the upstream processes that have ended.
func (sys *system) endedUpstreams() int {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	count := 0
	for _, pro := range sys.ups {
		if pro.hasEnded() {
			count++
		}
	}
	return count
}

// TestQuarantine guards against a request that ends one upstream after the other while its caller sends it again, against a
// quarantine that other entry VMs do not know, and against one that cannot be lifted.
func TestQuarantine(t *testing.T) {
	t.Parallel()
	const (
		key   = "crash"
		sends = 6
		// mostEnded is the number of upstreams that a request may end: it is quarantined at the second crash.
		mostEnded = 2
	)
	// The requests that are answered first fill a VM's budget for retries. With the budget, the VM itself sends the unkeyed
	// request to a second upstream, and the other VMs learn of both crashes. Without it, each crash of the keyed request is
	// seen by another VM, and a keyed call needs no budget to wait for a new owner.
	for path, warm := range map[string]int{
		planGet:    1,
		switchRead: 60,
	} {
		t.Run(path[strings.LastIndex(path, "/")+1:], func(t *testing.T) {
			t.Parallel()
			sys := newSystem(t, oneRegion())
			if path == planGet {
				sys.addPlans(4)
			} else {
				sys.addSwitches(4)
			}
			vms := sys.vms()
			for _, vm := range vms {
				for range warm {
					sys.awaitServed(request{
						vm:   vm,
						path: path,
						key:  "harbour",
					})
				}
			}
			var replies []reply
			for num := range sends {
				began := time.Now()
				rep := sys.do(request{
					vm:       vms[num%len(vms)],
					path:     path,
					key:      key,
					crash:    true,
					deadline: 5 * time.Second,
				})
				replies = append(replies, rep)
				t.Logf("send %d through %s: %d upstreams ended, answered after %v: %v", num+1, vms[num%len(vms)], sys.endedUpstreams(),
					time.Since(began).Round(time.Millisecond), rep)
			}
			if ended := sys.endedUpstreams(); ended != mostEnded {
				t.Errorf("%d upstreams ended instead of %d", ended, mostEnded)
			}
			for num, rep := range replies[mostEnded:] {
				if rep.kind != "quarantined" || rep.outcome != "notRun" {
					t.Errorf("send %d was answered %v", num+mostEnded+1, rep)
				}
			}
			sys.checkReleased(path, key)
			sys.checkOwners()
		})
	}
}

// addSwitches starts unkeyed upstreams in the data centres in turn and waits until every VM reaches them.
func (sys *system) addSwitches(count int) {
	sys.t.Helper()
	centres := sys.dataCentres()
	for num := range count {
		sys.addUpstream(place{
			name:       fmt.Sprintf("switch-%d", num+1),
			dataCentre: centres[num%len(centres)],
		}, switchService)
	}
	sys.eventually("all upstreams of the unkeyed service are known", func() bool {
		known := 0
		for _, ups := range sys.status(sys.vms()[0]).GetUpstreams() {
			if ups.GetService() == switchService {
				known++
			}
		}
		return known == count
	})
}

// checkReleased releases the one quarantined request and checks that it runs again through every VM.
func (sys *system) checkReleased(path, key string) {
	sys.t.Helper()
	digests := sys.status("a1").GetQuarantined()
	if len(digests) != 1 {
		sys.t.Fatalf("status lists the quarantined requests %v", digests)
	}
	for _, vm := range sys.vms() {
		if got := sys.status(vm).GetQuarantined(); !slices.Equal(got, digests) {
			sys.t.Errorf("status of %s lists %v, that of a1 %v", vm, got, digests)
		}
	}
	_, err := sys.operators("b1").ReleaseQuarantine(sys.t.Context(), connect.NewRequest(&fpoperator.ReleaseQuarantineRequest{
		Group:  "r",
		Digest: digests[0],
	}))
	if err != nil {
		sys.t.Fatalf("release of %s: %v", digests[0], err)
	}
	for _, vm := range sys.vms() {
		took := sys.awaitServed(request{
			vm:   vm,
			path: path,
			key:  key,
		})
		sys.t.Logf("the released request ran through %s after %v", vm, took.Round(time.Millisecond))
	}
	if left := sys.status("a1").GetQuarantined(); len(left) != 0 {
		sys.t.Errorf("status lists %v after the release", left)
	}
}

package fpsystem_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestRateOfCallsHoldsForAllVMs guards against an upstream of a service with a schema that gets more calls than the rate that it
// names for all VMs together. The bound is that of rule LIMIT: in any 4 s, one and a half times the rate and 5 calls.
func TestRateOfCallsHoldsForAllVMs(t *testing.T) {
	const perSecond = 8
	for _, one := range []struct {
		path, service string
	}{
		{
			path:    switchRead,
			service: switchService,
		},
		{
			path:    planGet,
			service: planService,
		},
	} {
		t.Run(one.service, func(t *testing.T) {
			t.Parallel()
			sys := newSystem(t, oneRegion())
			sys.addUpstream(location{
				name:       "limited-1",
				dataCentre: sys.dataCentres()[0],
			}, one.service, "--rate", fmt.Sprint(perSecond))
			vms := sys.vmNames()
			sys.awaitServed(request{
				vm:   vms[0],
				path: one.path,
				key:  "first",
			})
			loa := sys.startLoad(10*time.Millisecond, func(num int) request {
				return request{
					vm:   vms[num%len(vms)],
					path: one.path,
					key:  fmt.Sprint("key-", num),
				}
			})
			time.Sleep(time.Second) // each VM gets an answer that names the rate
			since := time.Now()
			time.Sleep(8 * time.Second)
			served, refused := 0, 0
			for _, sam := range loa.stopAndCollect() {
				if sam.reply.ok() {
					served++
				} else if sam.reply.errorKind == "overloaded" {
					refused++
				}
			}
			var starts []time.Time
			for _, run := range sys.runs() {
				if at := time.Unix(0, run.At); run.Event == "start" && at.After(since) {
					starts = append(starts, at)
				}
			}
			slices.SortFunc(starts, time.Time.Compare)
			const bound = 6*perSecond + 5
			for pos := bound; pos < len(starts); pos++ {
				if took := starts[pos].Sub(starts[pos-bound]); took <= 4*time.Second {
					t.Fatalf("%d calls in %v, want at most %d in 4 s at %d a second; %d served, %d refused", bound+1, took, bound, perSecond, served, refused)
				}
			}
			if want := 8 * perSecond / 2; len(starts) < want || refused == 0 {
				t.Errorf("%d calls in 8 s at %d a second, want at least %d, and %d refused, want some", len(starts), perSecond, want, refused)
			}
		})
	}
}

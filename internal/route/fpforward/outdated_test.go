package fpforward

import (
	"net/http"
	"testing"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpworker"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// TestOutdatedStateRunsRequestsOnce guards against a request that runs twice because this VM has started with an older configuration, in
// which its route is idempotent, and against requests that still run only once when the VM has heard of the newest state.
func TestOutdatedStateRunsRequestsOnce(t *testing.T) {
	for name, test := range map[string]struct {
		contact bool
		runs    int
		status  int
	}{
		"outdated": {runs: 1, status: http.StatusBadGateway},
		"current":  {contact: true, runs: 2, status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			for range 2 {
				har.addWorker("work", alwaysFault(fpworker.Truncate))
			}
			har.forward.RecordOutdated()
			if test.contact {
				har.forward.RecordContact()
			}
			got := har.call("/safe/1", platform.Request{})
			if runs := har.totalRuns(); runs != test.runs || got.status != test.status {
				t.Errorf("the request ran %d times, want %d; status %d", runs, test.runs, got.status)
			}
		})
	}
}

package fpforward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// TestStartWaitsForConfiguration guards against refusals by an entry VM that has just started and gets its configuration in a
// moment, and against a long wait for a configuration that does not come. After a power failure of all VMs, such a refusal
// uses up the last attempt of a caller.
func TestStartWaitsForConfiguration(t *testing.T) {
	const wait = 3 * time.Second
	for name, test := range map[string]struct {
		after time.Duration // until the configuration; 0: it does not come
		want  time.Duration // until the answer
	}{
		"it comes":         {after: 600 * time.Millisecond, want: 600 * time.Millisecond},
		"it does not come": {want: wait * startWaitPercent / 100},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fwd := New(Config{
					Region: func(string) string { return "" },
					Log:    zap.NewNop(),
				})
				if test.after > 0 {
					time.AfterFunc(test.after, func() {
						fwd.Update(&fpstate.State{
							Configuration: &fpstate.Configuration{
								Revision: 1,
							},
						}, 1, 1)
					})
				}
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				defer cancel()
				req := httptest.NewRequestWithContext(ctx, http.MethodGet, "/safe/1", nil)
				platform.EncodeRequest(req.Header, platform.Request{
					Attempt: "one",
					Timeout: wait,
				})
				rec := httptest.NewRecorder()
				began := time.Now()
				fwd.ServeHTTP(rec, req)
				if took := time.Since(began); took != test.want {
					t.Errorf("got status %d after %v, want it after %v", rec.Code, took, test.want)
				}
				if known := rec.Code == http.StatusNotFound; known != (test.after > 0) {
					t.Errorf("got status %d; the configuration, which has no route, came: %t", rec.Code, test.after > 0)
				}
			})
		})
	}
}

// TestOlderStateIsIgnored guards against an older state, from a control VM that has restarted with outdated storage, that
// brings back an upstream that had left, a range at its former holder, or an older configuration.
func TestOlderStateIsIgnored(t *testing.T) {
	fwd := New(Config{
		Region: func(string) string { return "" },
		Log:    zap.NewNop(),
	})
	state := func(index, revision uint64, leaving bool, holder string) *fpstate.State {
		return &fpstate.State{
			Configuration: &fpstate.Configuration{
				Revision: revision,
			},
			Upstreams: []*fpstate.Upstream{
				{
					Id:       "one",
					Born:     1,
					Leaving:  leaving,
					Modified: index,
				},
				{
					Id:       "two",
					Born:     1,
					Modified: 1,
				},
			},
			KeySpaces: []*fpstate.KeySpace{{
				Service:  "keys",
				Modified: index,
				Ranges: []*fpstate.Range{{
					Last:     10,
					Upstream: holder,
					Modified: index,
				}},
			}},
		}
	}
	fwd.Update(state(5, 3, false, "one"), 5, 1)
	fwd.Update(state(9, 4, true, "two"), 9, 1)
	fwd.Update(state(5, 3, false, "one"), 5, 1)
	vie := fwd.view.Load()
	if got := fwd.Configuration().GetRevision(); got != 4 {
		t.Errorf("revision %d is in force again", got)
	}
	if !vie.upstreams["one"].GetLeaving() || vie.active[incarnation{
		id:   "one",
		born: 1,
	}] != nil {
		t.Error("the upstream that had left is in use again")
	}
	if got := vie.keySpaces["keys"].GetRanges()[0].GetUpstream(); got != "two" {
		t.Errorf("the key is at %q again", got)
	}
	if fwd.Index() != 9 {
		t.Errorf("the position went back to %d", fwd.Index())
	}
}

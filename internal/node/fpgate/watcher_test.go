package fpgate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpforward"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
)

// controlVM is a fake control VM that answers polls at once, or never if it is frozen.
type controlVM struct {
	fpstateconnect.UnimplementedStateServiceHandler
	index  uint64
	frozen bool
}

// Watch answers a poll.
func (con *controlVM) Watch(ctx context.Context, _ *connect.Request[fpstate.WatchRequest]) (*connect.Response[fpstate.WatchResponse], error) {
	if con.frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return connect.NewResponse(&fpstate.WatchResponse{
		State: &fpstate.State{},
		Index: con.index,
	}), nil
}

func (con *controlVM) serve(t *testing.T) string {
	mux := http.NewServeMux()
	mux.Handle(fpstateconnect.NewStateServiceHandler(con))
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// TestFrozenControlVM guards against an entry VM that learns too late that an upstream is leaving, because the control VM
// that it polls is frozen. The poll margin is at its maximum, as on a slow link.
func TestFrozenControlVM(t *testing.T) {
	const updatedWithin = 1500 * time.Millisecond // of the 2.5 s after which an upstream that leaves gets no request
	frozen := &controlVM{
		frozen: true,
	}
	working := &controlVM{
		index: 7,
	}
	fwd := fpforward.New(fpforward.Config{
		Region: func(string) string { return "" },
		Log:    zap.NewNop(),
	})
	wat := newWatcher(&fpgateway.Settings{}, zap.NewNop(), fwd)
	frozenAddress := frozen.serve(t)
	wat.setSeeds([]string{frozenAddress, working.serve(t)})
	wat.pollMargin = maxPollMargin
	ctx, cancel := context.WithTimeout(t.Context(), updatedWithin)
	defer cancel()
	began := time.Now()
	wat.poll(ctx, frozenAddress)
	if fwd.Index() != working.index {
		t.Errorf("after %v the VM has the state up to index %d, want %d as the working control VM has", time.Since(began), fwd.Index(), working.index)
	}
	if next := wat.choose(time.Now(), ""); next == frozenAddress {
		t.Error("the frozen control VM is chosen for the next poll")
	}
}

// TestStaleControlVMIsNoContact guards against requests for keys that a VM sends to an evacuated data centre, because it takes answers of a
// control VM that is cut off from the others for contact, and learns of the evacuation long after its start.
func TestStaleControlVMIsNoContact(t *testing.T) {
	for _, stale := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			core, logs := observer.New(zap.InfoLevel)
			fwd := fpforward.New(fpforward.Config{
				Region: func(string) string { return "" },
				Promises: fpgateway.Promises{
					Evacuate: 5 * time.Second,
				},
				Log: zap.New(core),
			})
			wat := newWatcher(&fpgateway.Settings{}, zap.NewNop(), fwd)
			answer := func(stale bool, index uint64, evacuations ...*fpstate.Evacuation) {
				time.Sleep(700 * time.Millisecond)
				wat.apply(t.Context(), &pollResult{
					res: &fpstate.WatchResponse{
						State: &fpstate.State{
							Evacuations: evacuations,
						},
						Index: index,
						Stale: stale,
					},
				})
			}
			answer(false, 1)
			answer(stale, 1)
			answer(false, 2, &fpstate.Evacuation{
				DataCentre: "east-1",
				Active:     true,
				Modified:   2,
			})
			want := 2500 * time.Millisecond
			if stale {
				want = 0
			}
			found := logs.FilterMessage("evacuation of a data centre changed").All()
			if len(found) != 1 || found[0].ContextMap()["keyedFor"] != want {
				t.Errorf("stale %t: got %v, want one line with keyedFor %v", stale, found, want)
			}
		})
	}
}

// TestLimitsApplyWithConfiguration guards against limits for callers that come into force later than the configuration that sets them.
func TestLimitsApplyWithConfiguration(t *testing.T) {
	fwd := fpforward.New(fpforward.Config{
		Region: func(string) string { return "" },
		Log:    zap.NewNop(),
	})
	wat := newWatcher(&fpgateway.Settings{}, zap.NewNop(), fwd)
	var applied []uint64
	wat.configured = func(cfg *fpstate.Configuration) { applied = append(applied, cfg.GetLimits().GetMaxHeaderBytes()) }
	for num, revision := range []uint64{1, 2, 2} {
		wat.apply(t.Context(), &pollResult{
			res: &fpstate.WatchResponse{
				State: &fpstate.State{
					Configuration: &fpstate.Configuration{
						Revision: revision,
						Limits:   headerLimit(1024 * revision),
					},
				},
				Index: uint64(num + 1),
			},
		})
		if want := []uint64{1024, 2048}[:revision]; !slices.Equal(applied, want) {
			t.Errorf("after revision %d the limits were %v, want %v", revision, applied, want)
		}
	}
}

package fpgate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpforward"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
)

// restartedVM is a fake control VM after a restart of all, which knows no leader.
type restartedVM struct {
	fpstateconnect.UnimplementedStateServiceHandler
	committed uint64
	members   []string
	taken     chan struct{} // closed when the state is asked for
}

// Watch returns the position, or an empty state.
func (vmd *restartedVM) Watch(_ context.Context, req *connect.Request[fpstate.WatchRequest]) (*connect.Response[fpstate.WatchResponse], error) {
	res := &fpstate.WatchResponse{
		State:   &fpstate.State{},
		Index:   vmd.committed,
		Members: vmd.members,
		Stale:   true,
	}
	if req.Msg.GetPositionOnly() {
		res.Committed = vmd.committed
	} else {
		close(vmd.taken)
	}
	return connect.NewResponse(res), nil
}

// TestFirstStateIsTheNewest guards against an entry VM that starts after a restart of all VMs with the state of a control VM that was down
// for long, and against one that waits for long: while the others answer, and while one does not.
func TestFirstStateIsTheNewest(t *testing.T) {
	const bound = time.Second // without a lost service for longer than an election takes
	for name, missing := range map[string]string{
		"all answer":      "",
		"the newest last": "",
		"one is not up":   "127.0.0.1:1",
		"one is frozen":   (&controlVM{frozen: true}).serve(t),
	} {
		t.Run(name, func(t *testing.T) {
			var seeds []string
			var vms []*restartedVM
			for _, committed := range []uint64{24, 30, 29} {
				vmd := &restartedVM{
					committed: committed,
					taken:     make(chan struct{}),
				}
				mux := http.NewServeMux()
				mux.Handle(fpstateconnect.NewStateServiceHandler(vmd))
				srv := httptest.NewServer(mux)
				t.Cleanup(srv.Close)
				seeds = append(seeds, strings.TrimPrefix(srv.URL, "http://"))
				vms = append(vms, vmd)
			}
			if missing != "" {
				seeds = append(seeds, missing)
			}
			if name == "the newest last" {
				slices.Reverse(seeds)
			}
			for _, vmd := range vms {
				vmd.members = seeds
			}
			fwd := fpforward.New(fpforward.Config{
				Region: func(string) string { return "" },
				Log:    zap.NewNop(),
			})
			wat := newWatcher(&fpgateway.Settings{}, zap.NewNop(), fwd)
			wat.setSeeds(seeds)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			began := time.Now()
			wat.begin(ctx)
			took := time.Since(began)
			if fwd.Index() != 30 || missing != "" && took < startPatience || took > bound {
				t.Errorf("got the state up to index %d after %v, want 30", fwd.Index(), took)
			}
			select {
			case <-vms[0].taken:
				t.Error("the state of the control VM that was down was taken")
			default:
			}
		})
	}
}

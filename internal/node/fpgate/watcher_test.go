package fpgate

import (
	"context"
	"net/http"
	"net/http/httptest"
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

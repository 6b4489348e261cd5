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

// controlVM is a control VM that answers polls, or leaves them without an answer.
type controlVM struct {
	fpstateconnect.UnimplementedStateServiceHandler
	index  uint64
	frozen bool
}

// Watch answers a poll at once.
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

// TestFrozenControlVM guards against an entry VM on a thin link, whose polls may take long, that does not hear of an upstream's
// leaving in time because the control VM that it asks is frozen.
func TestFrozenControlVM(t *testing.T) {
	const heardWithin = 1500 * time.Millisecond // of the 2.5 s after which an upstream that leaves gets no request
	frozen := &controlVM{
		frozen: true,
	}
	sound := &controlVM{
		index: 7,
	}
	fwd := fpforward.New(fpforward.Config{
		Region: func(string) string { return "" },
		Log:    zap.NewNop(),
	})
	wat := newWatcher(&fpgateway.Settings{}, zap.NewNop(), fwd)
	silent := frozen.serve(t)
	wat.reseed([]string{silent, sound.serve(t)})
	wat.margin = mostMargin
	ctx, cancel := context.WithTimeout(t.Context(), heardWithin)
	defer cancel()
	began := time.Now()
	wat.poll(ctx, silent)
	if fwd.Index() != sound.index {
		t.Errorf("after %v the VM knows the state up to entry %d, the sound control VM up to %d", time.Since(began), fwd.Index(), sound.index)
	}
	if next := wat.choose(time.Now(), ""); next == silent {
		t.Error("the frozen control VM is asked first again")
	}
}

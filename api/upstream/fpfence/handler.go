package fpfence

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
)

// The paths of the health and load endpoints.
const (
	healthPath = "/foxtailpulley/health"
	loadPath   = "/foxtailpulley/load"
)

// Handler returns a handler that passes on to next only requests inside the grant and its lease. It answers health and
// load itself. The context of a request ends when the request is cancelled or its lease ends; next must then stop before
// it changes any more state.
func (fen *Fence) Handler(next http.Handler) http.Handler {
	refusals := connect.NewErrorWriter()
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case healthPath:
			writeJSON(wri, fen.health())
			return
		case loadPath:
			writeJSON(wri, fen.load())
			return
		}
		ctx, cancel := context.WithCancel(req.Context())
		defer cancel()
		one, err := fen.begin(req.Header, cancel)
		if err != nil {
			wri.Header().Set("Foxtailpulley-Refused", "fence")
			_ = refusals.Write(wri, req, connect.NewError(connect.CodeUnavailable, err))
			return
		}
		defer fen.end(one)
		next.ServeHTTP(wri, req.WithContext(ctx))
	})
}

// begin admits a request. The check and the entry in the list of running requests are one step, so a request is either
// refused or cancelled when the grant changes.
func (fen *Fence) begin(hea http.Header, cancel context.CancelFunc) (*run, error) {
	one := &run{
		id:     hea.Get("Foxtailpulley-Request"),
		group:  hea.Get("Foxtailpulley-Group"),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	if fen.work.cancelled.has(one.id) {
		return nil, errors.New("the request was cancelled before it came")
	}
	if fen.cfg.Keyed {
		if err := fen.check(one, hea); err != nil {
			return nil, err
		}
	}
	if one.id == "" {
		one.id = "local-" + strconv.FormatUint(fen.work.next(), 10)
	}
	if fen.work.running[one.id] != nil {
		return nil, errors.New("a request with the same id runs already")
	}
	fen.work.running[one.id] = one
	return one, nil
}

// check compares the fence of a request with the grant. The caller holds the mutex.
func (fen *Fence) check(one *run, hea http.Header) error {
	number, err := strconv.ParseUint(hea.Get("Foxtailpulley-Slot"), 10, 32)
	if err != nil {
		return errors.New("the request has no slot")
	}
	epoch, err := strconv.ParseUint(hea.Get("Foxtailpulley-Epoch"), 10, 64)
	if err != nil {
		return errors.New("the request has no epoch")
	}
	one.fence = fence{
		number: uint32(number),
		epoch:  epoch,
	}
	gra := fen.groups[one.group]
	if gra == nil || !fen.leased(gra, fen.cfg.now()) {
		return errors.New("the upstream has no lease")
	}
	if !gra.serves(one.fence) {
		return errors.New("the upstream was not granted the slot with this epoch")
	}
	return nil
}

func (fen *Fence) end(one *run) {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	delete(fen.work.running, one.id)
	fen.work.ended.add(one.id)
	close(one.done)
}

func (fen *Fence) health() *fpcontract.Health {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	return &fpcontract.Health{
		Ready:    !fen.draining,
		Draining: fen.draining,
	}
}

func (fen *Fence) load() *fpcontract.Load {
	running := uint32(fen.Running())
	return &fpcontract.Load{
		Running:     running,
		Queued:      running - min(running, fen.cfg.Concurrency),
		Concurrency: fen.cfg.Concurrency,
	}
}

func writeJSON(wri http.ResponseWriter, msg proto.Message) {
	raw, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(msg)
	if err != nil {
		wri.WriteHeader(http.StatusInternalServerError)
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	_, _ = wri.Write(raw)
}

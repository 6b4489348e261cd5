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

// Handler returns a handler that passes to next only requests whose slot is granted and whose lease is in force. It refuses
// others with the code Unavailable and the header Foxtailpulley-Refused: fence. If Config.Keyed is false it does not check
// slots. It answers the health and load paths itself. Answers repeat the header Foxtailpulley-Request, by which the router tells over
// HTTP/1.1 which request they answer.
//
// The context of a request ends when the request is cancelled, its lease ends or its slot is taken away. Next must then stop before it
// changes any more state. Unless the request was cancelled, an answer that begins after that has the header Foxtailpulley-Stopped: 1.
func (fen *Fence) Handler(next http.Handler) http.Handler {
	refusals := connect.NewErrorWriter()
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if id, ok := req.Header["Foxtailpulley-Request"]; ok {
			wri.Header()["Foxtailpulley-Request"] = id
		}
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
		act, err := fen.begin(req.Header, cancel)
		if err != nil {
			fen.nameState(wri.Header())
			wri.Header().Set("Foxtailpulley-Refused", "fence")
			_ = refusals.Write(wri, req, connect.NewError(connect.CodeUnavailable, err))
			return
		}
		defer fen.end(act)
		fen.nameState(wri.Header())
		out := &stoppableWriter{
			ResponseWriter: wri,
			stopped:        &act.stopped,
		}
		next.ServeHTTP(out, req.WithContext(ctx))
		out.begin()
	})
}

// begin admits a request or returns why it is refused. It checks and registers the request under one lock, so that a change of
// the grant at the same time leads to a refusal or a cancellation.
func (fen *Fence) begin(hea http.Header, cancel context.CancelFunc) (*activeRequest, error) {
	act := &activeRequest{
		id:     hea.Get("Foxtailpulley-Request"),
		group:  hea.Get("Foxtailpulley-Group"),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	if fen.tracker.cancelled.has(act.id) {
		return nil, errors.New("the request was cancelled before it arrived")
	}
	if fen.cfg.Keyed {
		if err := fen.checkSlot(act, hea); err != nil {
			return nil, err
		}
	}
	if act.id == "" {
		act.id = "local-" + strconv.FormatUint(fen.tracker.nextLocalID(), 10)
	}
	if fen.tracker.running[act.id] != nil {
		return nil, errors.New("a request with the same id is already running")
	}
	fen.tracker.running[act.id] = act
	return act, nil
}

// checkSlot reads the slot and epoch from the header of a request and checks that they are granted. The caller holds the mutex.
func (fen *Fence) checkSlot(act *activeRequest, hea http.Header) error {
	number, err := strconv.ParseUint(hea.Get("Foxtailpulley-Slot"), 10, 32)
	if err != nil {
		return errors.New("the request has no valid Foxtailpulley-Slot header")
	}
	epoch, err := strconv.ParseUint(hea.Get("Foxtailpulley-Epoch"), 10, 64)
	if err != nil {
		return errors.New("the request has no valid Foxtailpulley-Epoch header")
	}
	act.slotEpoch = slotEpoch{
		number: uint32(number),
		epoch:  epoch,
	}
	gra := fen.groups[act.group]
	if gra == nil || !fen.hasLease(gra, fen.cfg.now()) {
		return errors.New("the upstream has no lease of the group")
	}
	if !gra.covers(act.slotEpoch) {
		return errors.New("the slot is not granted to the upstream with this epoch")
	}
	return nil
}

func (fen *Fence) end(act *activeRequest) {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	delete(fen.tracker.running, act.id)
	fen.tracker.ended.add(act.id)
	close(act.done)
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

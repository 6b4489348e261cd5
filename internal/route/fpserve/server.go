package fpserve

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"
)

// Server is the http.Handler that serves callers. Use New to create one.
type Server struct {
	cfg        Config
	errors     *connect.ErrorWriter
	idPrefix   string // random, so that request ids differ between VMs and starts
	idCounter  atomic.Uint64
	running    atomic.Int64
	ctx        context.Context // ends the canceling of requests on upstreams
	cancel     context.CancelFunc
	background sync.WaitGroup // work that outlives its request: canceling on upstreams and releasing claims
}

// New returns a Server.
func New(cfg Config) *Server {
	cfg.setDefaults()
	var random [8]byte
	_, _ = rand.Read(random[:])
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		cfg:      cfg,
		errors:   connect.NewErrorWriter(),
		idPrefix: hex.EncodeToString(random[:]) + "-",
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Running returns the number of calls in flight.
func (ser *Server) Running() int64 { return ser.running.Load() }

// Close stops the canceling of lost requests on upstreams and waits for all background work. It does not end calls in
// flight.
func (ser *Server) Close() {
	ser.cancel()
	ser.background.Wait()
}

// ServeHTTP serves one call.
func (ser *Server) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	ser.running.Add(1)
	defer ser.running.Add(-1)
	cal, err := ser.accept(wri, req)
	if err != nil {
		ser.refuse(wri, req, err)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), cal.deadline)
	defer cancel()
	exc := &exchange{
		ser: ser,
		ctx: ctx,
		cal: cal,
		wri: wri,
		req: req,
	}
	exc.serve()
}

// newRequestID returns the id of an attempt, by which it can be canceled on the upstream.
func (ser *Server) newRequestID() string {
	return ser.idPrefix + strconv.FormatUint(ser.idCounter.Add(1), 36)
}

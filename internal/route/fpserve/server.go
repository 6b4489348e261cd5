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
	cfg      Config
	errors   *connect.ErrorWriter
	prefix   string // makes the ids of requests distinct between VMs and starts
	number   atomic.Uint64
	running  atomic.Int64
	ctx      context.Context // ends the work that outlives its request
	stop     context.CancelFunc
	leftover sync.WaitGroup // goroutines that cancel requests on upstreams
}

// New returns a server.
func New(cfg Config) *Server {
	cfg.setDefaults()
	var random [8]byte
	_, _ = rand.Read(random[:])
	ctx, stop := context.WithCancel(context.Background())
	return &Server{
		cfg:    cfg,
		errors: connect.NewErrorWriter(),
		prefix: hex.EncodeToString(random[:]) + "-",
		ctx:    ctx,
		stop:   stop,
	}
}

// Running returns the number of calls in flight.
func (ser *Server) Running() int64 { return ser.running.Load() }

// Close ends the cancellation of abandoned requests and waits for it. It cuts off no call in flight.
func (ser *Server) Close() {
	ser.stop()
	ser.leftover.Wait()
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

// newRequestID returns the id by which an attempt can be cancelled.
func (ser *Server) newRequestID() string {
	return ser.prefix + strconv.FormatUint(ser.number.Add(1), 36)
}

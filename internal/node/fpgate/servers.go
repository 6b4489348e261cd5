package fpgate

import (
	"context"
	"io"
	"log"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpforward"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// idleCheckInterval is the time between checks for idle connections during shutdown.
	idleCheckInterval = 20 * time.Millisecond
	// acceptGrace is how long a shutdown still accepts connections that the kernel has queued for the listener.
	acceptGrace = 50 * time.Millisecond
)

// Timeouts of the http.Server. Its limits cannot change while it runs, so that a callerConn applies the newest ones instead. It tells
// from the distance of a read deadline for which of both the server waits; neither is ever reached.
const (
	serverHeaderTimeout = 876_000 * time.Hour
	serverIdleTimeout   = serverHeaderTimeout / 2
)

// servers serves one listener with the limits of the newest configuration, which apply to open connections, too.
type servers struct {
	listener net.Listener
	// beginPipelined begins a request before its turn on the connection of ctx, or returns nil if the request has to wait
	// for its turn. Nil: no request is begun early.
	beginPipelined func(ctx context.Context, req *http.Request, arrived time.Time) *fpforward.PipelinedRequest

	// onRefusedHeader is called when the header of a request was larger than the limit. It is set before serve.
	onRefusedHeader func()

	// readBuffer is the size in bytes of the receive buffer of connections, or 0 for the system's default. It is set before serve.
	readBuffer int

	stopping atomic.Bool

	queue *queueListener // listener of the http.Server
	conns connSet

	mutex  sync.RWMutex
	limits limits
}

// connSet holds the open connections of callers.
type connSet struct {
	mutex sync.Mutex
	all   map[*callerConn]bool
}

func (cos *connSet) add(con *callerConn) {
	cos.mutex.Lock()
	defer cos.mutex.Unlock()
	cos.all[con] = true
}

func (cos *connSet) remove(con *callerConn) {
	cos.mutex.Lock()
	defer cos.mutex.Unlock()
	delete(cos.all, con)
}

func (cos *connSet) list() []*callerConn {
	cos.mutex.Lock()
	defer cos.mutex.Unlock()
	return slices.Collect(maps.Keys(cos.all))
}

// newServers returns servers for a listener, with default limits. Nothing is accepted before serve.
func newServers(lis net.Listener, han http.Handler) *servers {
	srv := &servers{
		listener: lis,
		queue:    newQueueListener(lis.Addr()),
		conns: connSet{
			all: map[*callerConn]bool{},
		},
		limits: newLimits(nil),

		onRefusedHeader: func() {},
	}
	server := &http.Server{
		Handler:           han,
		MaxHeaderBytes:    math.MaxInt32,
		ReadHeaderTimeout: serverHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext:       srv.connContext,
		ConnState:         srv.connState,
		// The library would answer OPTIONS * itself with a success that no upstream has given.
		DisableGeneralOptionsHandler: true,
	}
	// Serve ends when its listener is stopped, and returns no other error.
	go func() { _ = server.Serve(srv.queue) }()
	return srv
}

// setLimits applies the limits of a configuration to all connections; 0 means the default.
func (srv *servers) setLimits(lim *fpstate.Limits) {
	next := newLimits(lim)
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	if next == srv.limits {
		return
	}
	srv.limits = next
	for _, con := range srv.conns.list() {
		con.setLimits(next)
	}
}

// serve accepts connections until the listener is closed, and returns the error with which that ended.
func (srv *servers) serve() error {
	for {
		con, err := srv.listener.Accept()
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() && !srv.stopping.Load() {
				continue
			}
			return err
		}
		srv.enqueue(con)
	}
}

// enqueue passes a connection to the http.Server.
func (srv *servers) enqueue(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok && srv.readBuffer > 0 {
		_ = tcp.SetReadBuffer(srv.readBuffer) // with the default, more of a refused body passes the link
	}
	caller := newCallerConn(con)
	caller.onClose = func() { srv.conns.remove(caller) }
	caller.onRefusedHeader = srv.onRefusedHeader
	srv.mutex.RLock()
	defer srv.mutex.RUnlock()
	caller.setLimits(srv.limits)
	srv.conns.add(caller)
	srv.queue.conns <- caller
}

// connState records the state of a connection, which says whether a request is in progress.
func (srv *servers) connState(con net.Conn, sta http.ConnState) {
	if caller, ok := con.(*callerConn); ok {
		caller.setState(time.Now(), sta)
	}
}

// connContext returns the context of a connection's requests. It ends when the caller disconnects.
func (srv *servers) connContext(ctx context.Context, con net.Conn) context.Context {
	caller, ok := con.(*callerConn)
	if !ok {
		return ctx
	}
	ctx, caller.cancel = context.WithCancel(ctx)
	if srv.beginPipelined != nil {
		caller.beginPipelined = func(req *http.Request, arrived time.Time) *fpforward.PipelinedRequest {
			return srv.beginPipelined(ctx, req, arrived)
		}
	}
	return fpforward.WithTurns(ctx, caller.takeTurn)
}

// shutdown closes the listener and then each connection that has no request in progress; the handler asks callers to leave
// their connections. A request that is being read is served, whereas http.Server.Shutdown would drop it. Connections that
// are still open when ctx ends are closed, and the error of kind Draining gives their number.
func (srv *servers) shutdown(ctx context.Context) error {
	srv.closeListener()
	defer func() {
		srv.mutex.Lock()
		defer srv.mutex.Unlock()
		srv.queue.stop()
	}()
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		open := srv.conns.list()
		if len(open) == 0 {
			return nil
		}
		for _, con := range open {
			con.closeIfIdle(time.Now())
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			for _, con := range open {
				_ = con.Conn.Close() // the error below reports the connection
			}
			return fperror.New(fperror.Draining, "%d connections of callers were still open at the stop deadline", len(open))
		}
	}
}

// closeListener closes the listener after it has accepted the connections that the kernel has queued for it. Closing it at
// once would reset them.
func (srv *servers) closeListener() {
	srv.stopping.Store(true)
	if tcp, ok := srv.listener.(*net.TCPListener); ok && tcp.SetDeadline(time.Now().Add(acceptGrace)) == nil {
		time.Sleep(acceptGrace)
	}
	_ = srv.listener.Close() // serve returns the error
}

// queueListener is the listener of an http.Server. Its connections come from servers.enqueue.
type queueListener struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
}

// maxQueuedConns is the number of accepted connections that may wait for their server to take them.
const maxQueuedConns = 64

func newQueueListener(address net.Addr) *queueListener {
	return &queueListener{
		address: address,
		conns:   make(chan net.Conn, maxQueuedConns),
	}
}

// stop ends Accept once the queued connections are taken. No connection may be queued afterwards.
func (qul *queueListener) stop() { qul.once.Do(func() { close(qul.conns) }) }

// Accept returns the next connection, or net.ErrClosed after stop.
func (qul *queueListener) Accept() (net.Conn, error) {
	if con, ok := <-qul.conns; ok {
		return con, nil
	}
	return nil, net.ErrClosed
}

// Close does nothing; the owner calls stop.
func (qul *queueListener) Close() error { return nil }

// Addr returns the address of the listener that accepted the connections.
func (qul *queueListener) Addr() net.Addr { return qul.address }

package fpgate

import (
	"context"
	"io"
	"log"
	"maps"
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
	// endInterval is the time between looks at the connections while they end.
	endInterval = 20 * time.Millisecond
	// lastAccepts is how long connections are accepted that have come before the end of the listener.
	lastAccepts = 50 * time.Millisecond
)

// defaultMaxHeader is the size in bytes of a request's header that is accepted until a configuration sets another one.
const defaultMaxHeader = 64 << 10

// servers serves one listener with the limits of the newest configuration. A server's limits cannot change while it runs,
// so each change starts another server for the connections to come. One without connections leaves nothing behind.
type servers struct {
	listener net.Listener
	handler  http.Handler
	// early begins a request before its turn on the connection of ctx, or returns nil if that has to wait. Nil: none is begun.
	early func(ctx context.Context, req *http.Request, arrived time.Time) *fpforward.Early

	ending atomic.Bool

	mutex  sync.RWMutex
	limits limits
	queue  *queue // connections for the newest server
	conns  connSet
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

// limits bound what a caller may send and how long it may take.
type limits struct {
	header        int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

func newServers(lis net.Listener, han http.Handler) *servers {
	srv := &servers{
		listener: lis,
		handler:  han,
		conns: connSet{
			all: map[*callerConn]bool{},
		},
	}
	srv.start(limits{
		header:        defaultMaxHeader,
		headerTimeout: defaultHeaderTimeout,
		idleTimeout:   defaultIdleTimeout,
	})
	return srv
}

// start makes a server with other limits take the connections to come. The caller holds the mutex, or is alone.
func (srv *servers) start(lim limits) {
	srv.limits = lim
	if srv.queue != nil {
		srv.queue.end()
	}
	srv.queue = newQueue(srv.listener.Addr())
	one := &http.Server{
		Handler:           srv.handler,
		MaxHeaderBytes:    lim.header,
		ReadHeaderTimeout: lim.headerTimeout,
		IdleTimeout:       lim.idleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext:       srv.connContext,
		ConnState:         srv.connState,
		// The library would answer OPTIONS * itself with a success that no upstream has given.
		DisableGeneralOptionsHandler: true,
	}
	next := srv.queue
	// Serve ends with its queue, and reports nothing but that.
	go func() { _ = one.Serve(next) }()
}

// limit takes the limits of a configuration.
func (srv *servers) limit(lim *fpstate.Limits) {
	next := limits{
		header:        int(lim.GetMaxHeaderBytes()),
		headerTimeout: lim.GetHeaderTimeout().AsDuration(),
		idleTimeout:   lim.GetIdleTimeout().AsDuration(),
	}
	if next.header <= 0 {
		next.header = defaultMaxHeader
	}
	if next.headerTimeout <= 0 {
		next.headerTimeout = defaultHeaderTimeout
	}
	if next.idleTimeout <= 0 {
		next.idleTimeout = defaultIdleTimeout
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	if next != srv.limits {
		srv.start(next)
	}
}

// serve accepts connections until the listener is closed.
func (srv *servers) serve() error {
	for {
		con, err := srv.listener.Accept()
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() && !srv.ending.Load() {
				continue
			}
			return err
		}
		srv.take(con)
	}
}

// take passes a connection to the newest server.
func (srv *servers) take(con net.Conn) {
	caller := newCallerConn(con)
	caller.closed = func() { srv.conns.remove(caller) }
	srv.conns.add(caller)
	srv.mutex.RLock()
	defer srv.mutex.RUnlock()
	srv.queue.conns <- caller
}

// connState notes whether a request is in progress on a connection.
func (srv *servers) connState(con net.Conn, sta http.ConnState) {
	if caller, ok := con.(*callerConn); ok {
		caller.setState(time.Now(), sta)
	}
}

// connContext returns the context of the requests of a connection, which ends when the caller leaves.
func (srv *servers) connContext(ctx context.Context, con net.Conn) context.Context {
	caller, ok := con.(*callerConn)
	if !ok {
		return ctx
	}
	ctx, caller.left = context.WithCancel(ctx)
	if srv.early != nil {
		caller.early = func(req *http.Request, arrived time.Time) *fpforward.Early {
			return srv.early(ctx, req, arrived)
		}
	}
	return fpforward.WithTurns(ctx, caller.turn)
}

// shutdown ends the listener and, as their requests end, all connections; the handler asks callers to leave them. A request
// that is being read is served, other than with the shutdown of the library's server, which would drop it. Connections that
// are still open when ctx ends are broken.
func (srv *servers) shutdown(ctx context.Context) error {
	srv.endListener()
	defer func() {
		srv.mutex.Lock()
		defer srv.mutex.Unlock()
		srv.queue.end()
	}()
	tick := time.NewTicker(endInterval)
	defer tick.Stop()
	for {
		open := srv.conns.list()
		if len(open) == 0 {
			return nil
		}
		for _, con := range open {
			con.endIdle(time.Now())
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			for _, con := range open {
				_ = con.Conn.Close() // its end is reported below
			}
			return fperror.New(fperror.Draining, "%d connections were open at the end", len(open))
		}
	}
}

// endListener closes the listener once the connections that the system has taken for it are accepted: to close it at once would
// reset those.
func (srv *servers) endListener() {
	srv.ending.Store(true)
	if tcp, ok := srv.listener.(*net.TCPListener); ok && tcp.SetDeadline(time.Now().Add(lastAccepts)) == nil {
		time.Sleep(lastAccepts)
	}
	_ = srv.listener.Close() // serve reports why it ended
}

// queue is the listener of one server. Connections come from servers.serve.
type queue struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
}

// queuedConns is the number of accepted connections that may wait for their server to take them.
const queuedConns = 64

func newQueue(address net.Addr) *queue {
	return &queue{
		address: address,
		conns:   make(chan net.Conn, queuedConns),
	}
}

// end lets the server take what is queued and ends Accept. Nothing may be queued afterwards.
func (que *queue) end() { que.once.Do(func() { close(que.conns) }) }

// Accept returns the next connection.
func (que *queue) Accept() (net.Conn, error) {
	if con, ok := <-que.conns; ok {
		return con, nil
	}
	return nil, net.ErrClosed
}

// Close does nothing: its owner ends the queue.
func (que *queue) Close() error { return nil }

// Addr returns the address of the real listener.
func (que *queue) Addr() net.Addr { return que.address }

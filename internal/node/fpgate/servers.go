package fpgate

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpforward"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// defaultMaxHeader is the size in bytes of a request's header that is accepted until a configuration sets another one.
const defaultMaxHeader = 64 << 10

// servers serves one listener with the limits of the newest configuration. A server's limits cannot change while it runs,
// so each change starts another server for the connections to come.
type servers struct {
	listener net.Listener
	handler  http.Handler

	mutex  sync.Mutex
	limits limits
	all    []*http.Server
	queue  *queue // connections for the newest server
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
	srv.queue = newQueue(srv.listener.Addr())
	one := &http.Server{
		Handler:           srv.handler,
		MaxHeaderBytes:    lim.header,
		ReadHeaderTimeout: lim.headerTimeout,
		IdleTimeout:       lim.idleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext:       connContext,
		// The library would answer OPTIONS * itself with a success that no upstream has given.
		DisableGeneralOptionsHandler: true,
	}
	srv.all = append(srv.all, one)
	next := srv.queue
	// Serve ends when its queue is closed, and reports nothing but that.
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
			if errors.As(err, &timeout) && timeout.Timeout() {
				continue
			}
			return err
		}
		srv.mutex.Lock()
		que := srv.queue
		srv.mutex.Unlock()
		que.add(newCallerConn(con))
	}
}

// connContext returns the context of the requests of a connection, which ends when the caller leaves.
func connContext(ctx context.Context, con net.Conn) context.Context {
	caller, ok := con.(*callerConn)
	if !ok {
		return ctx
	}
	ctx, caller.left = context.WithCancel(ctx)
	return fpforward.WithArrival(ctx, caller.arrived)
}

// shutdown closes the listener and idle connections, and waits for the requests in flight until ctx ends.
func (srv *servers) shutdown(ctx context.Context) error {
	srv.mutex.Lock()
	all := srv.all
	srv.mutex.Unlock()
	_ = srv.listener.Close() // serve reports why it ended
	var ended sync.WaitGroup
	errs := make([]error, len(all))
	for num, one := range all {
		ended.Go(func() { errs[num] = one.Shutdown(ctx) })
	}
	ended.Wait()
	return errors.Join(errs...)
}

// queue is the listener of one server. Connections come from servers.serve.
type queue struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// queuedConns is the number of accepted connections that may wait for their server to take them.
const queuedConns = 64

func newQueue(address net.Addr) *queue {
	return &queue{
		address: address,
		conns:   make(chan net.Conn, queuedConns),
		closed:  make(chan struct{}),
	}
}

func (que *queue) add(con net.Conn) {
	select {
	case que.conns <- con:
	case <-que.closed:
		_ = con.Close() // no request was read on it
	}
}

// Accept returns the next connection.
func (que *queue) Accept() (net.Conn, error) {
	select {
	case con := <-que.conns:
		return con, nil
	case <-que.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (que *queue) Close() error {
	que.once.Do(func() { close(que.closed) })
	return nil
}

// Addr returns the address of the real listener.
func (que *queue) Addr() net.Addr { return que.address }

package fpserve

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// CallerServer is the server of a listener for callers. Use NewCallerServer to create one. Its Listener has to be served.
type CallerServer struct {
	*http.Server
	limits   Limits
	leaving  atomic.Bool // callers are asked to leave
	stopping atomic.Bool // calls are refused
	// ended is closed when http.Server.Shutdown has begun.
	ended chan struct{}

	mutex    sync.Mutex
	listener net.Listener
	conns    map[*callerConn]bool
}

// AskToLeave makes answers ask callers to leave their connections: with Connection: close, or GOAWAY over HTTP/2.
func (cas *CallerServer) AskToLeave() { cas.leaving.Store(true) }

// serve passes requests to the handler, or refuses them once the shutdown has begun.
func (cas *CallerServer) serve(next http.Handler) http.Handler {
	errors := connect.NewErrorWriter()
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		wri = &leavingWriter{
			ResponseWriter: wri,
			leaving:        &cas.leaving,
		}
		if cas.stopping.Load() {
			writeRefusal(errors, wri, req, fperror.New(fperror.Draining, "this VM stops; another one can take the request at once"))
			return
		}
		next.ServeHTTP(wri, req)
	})
}

// leavingWriter asks the caller to leave in the header of an answer that begins after AskToLeave.
type leavingWriter struct {
	http.ResponseWriter
	leaving *atomic.Bool
	begun   bool
}

// Unwrap returns the writer for http.ResponseController.
func (lew *leavingWriter) Unwrap() http.ResponseWriter { return lew.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (lew *leavingWriter) WriteHeader(status int) {
	if lew.leaving.Load() {
		lew.Header()["Connection"] = []string{"close"}
	}
	lew.begun = lew.begun || status >= http.StatusOK
	lew.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (lew *leavingWriter) Write(data []byte) (int, error) {
	if !lew.begun {
		lew.WriteHeader(http.StatusOK)
	}
	return lew.ResponseWriter.Write(data)
}

const (
	// closeCheckInterval is the time between checks for open connections during a shutdown.
	closeCheckInterval = 20 * time.Millisecond
	// unusedCloseDelay is how long a shutdown keeps a connection on which nothing has arrived.
	unusedCloseDelay = 500 * time.Millisecond
)

// Shutdown closes the listener and waits for the calls in flight, until ctx ends. Calls that arrive later are refused as not run, also
// one of which a part has been read, which http.Server.Shutdown alone would drop. Connections of HTTP/2 end with GOAWAY, which names the
// last call that may have run. All connections are closed when Shutdown returns.
func (cas *CallerServer) Shutdown(ctx context.Context) error {
	cas.AskToLeave()
	cas.stopping.Store(true)
	cas.mutex.Lock()
	lis := cas.listener
	cas.mutex.Unlock()
	if lis != nil {
		_ = lis.Close() // fails only if it is closed already
	}
	cas.closeHTTP1(ctx)
	err := cas.Server.Shutdown(ctx)
	for _, con := range cas.open() {
		_ = con.Close() // fails only if it is closed already
	}
	return err
}

// closeHTTP1 closes the connections of HTTP/1.1 as they become idle, until none is open or ctx ends.
func (cas *CallerServer) closeHTTP1(ctx context.Context) {
	begun := time.Now()
	tic := time.NewTicker(closeCheckInterval)
	defer tic.Stop()
	for {
		waiting := false
		for _, con := range cas.open() {
			waiting = !con.closeIfIdle(time.Since(begun) > unusedCloseDelay) || waiting
		}
		if !waiting {
			return
		}
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// open returns the open connections.
func (cas *CallerServer) open() []*callerConn {
	cas.mutex.Lock()
	defer cas.mutex.Unlock()
	return slices.Collect(maps.Keys(cas.conns))
}

// Listener returns the listener to serve, which accepts from lis and keeps at most Limits.MaxConnections open.
func (cas *CallerServer) Listener(lis *net.TCPListener) net.Listener {
	cli := &callerListener{
		TCPListener: lis,
		server:      cas,
		closed:      make(chan struct{}),
	}
	if cas.limits.MaxConnections > 0 {
		cli.places = make(chan struct{}, cas.limits.MaxConnections)
	}
	cas.mutex.Lock()
	defer cas.mutex.Unlock()
	cas.listener = cli
	return cli
}

type callerListener struct {
	*net.TCPListener
	server *CallerServer
	places chan struct{} // holds one value for each open connection. Nil: not bounded
	closed chan struct{}
	once   sync.Once
}

// Accept waits until fewer connections are open than the limit, and returns the next one. In a shutdown it returns its error only once
// http.Server.Shutdown has begun, so that Serve returns http.ErrServerClosed.
func (cli *callerListener) Accept() (net.Conn, error) {
	con, err := cli.accept()
	if err != nil && cli.server.stopping.Load() {
		<-cli.server.ended
	}
	return con, err
}

func (cli *callerListener) accept() (net.Conn, error) {
	if cli.places != nil {
		select {
		case cli.places <- struct{}{}:
		case <-cli.closed:
			return nil, net.ErrClosed
		}
	}
	tcp, err := cli.AcceptTCP()
	if err != nil {
		cli.release()
		return nil, err
	}
	con := &callerConn{
		TCPConn:  tcp,
		listener: cli,
	}
	cli.server.mutex.Lock()
	defer cli.server.mutex.Unlock()
	cli.server.conns[con] = true
	return con, nil
}

func (cli *callerListener) release() {
	if cli.places != nil {
		<-cli.places
	}
}

// Close closes the listener. Only the first call has an effect.
func (cli *callerListener) Close() error {
	err := error(nil)
	cli.once.Do(func() {
		close(cli.closed)
		err = cli.TCPListener.Close()
	})
	return err
}

// callerConn is a connection of a caller. Unlike those of golang.org/x/net/netutil, it gives access to the TCP connection.
type callerConn struct {
	*net.TCPConn
	listener *callerListener
	once     sync.Once

	mutex   sync.Mutex
	state   http.ConnState // known for HTTP/1.1 only
	preface int            // bytes of prefaceStart that the connection began with, or -1
	arrived int            // bytes that were read of a call whose turn has not come
	closed  bool           // nothing more is read
}

// prefaceStart is the start of the first bytes on a connection of HTTP/2. No method of HTTP/1.1 begins with it.
const prefaceStart = "PRI "

// Read reads from the connection. Bytes that arrive after Close are not returned, so that no call of an idle connection begins after it.
func (con *callerConn) Read(buf []byte) (int, error) {
	num, err := con.TCPConn.Read(buf)
	con.mutex.Lock()
	defer con.mutex.Unlock()
	if con.closed {
		return 0, net.ErrClosed
	}
	for pos := 0; pos < num && con.preface >= 0 && con.preface < len(prefaceStart); pos++ {
		if buf[pos] == prefaceStart[con.preface] {
			con.preface++
		} else {
			con.preface = -1
		}
	}
	// While a call is in progress, net/http reads a single byte of the next one, and more of the body.
	if con.state != http.StateActive || len(buf) == 1 {
		con.arrived += num
	}
	return num, err
}

// setConnState records the state of a connection.
func setConnState(con net.Conn, sta http.ConnState) {
	cal, ok := con.(*callerConn)
	if !ok {
		return
	}
	cal.mutex.Lock()
	defer cal.mutex.Unlock()
	cal.state = sta
	if sta == http.StateActive {
		cal.arrived = 0
	}
}

// minStartLength is the number of bytes of a next call from which on net/http bounds the time for its header.
const minStartLength = 4

// closeIfIdle closes a connection of HTTP/1.1 on which nothing of a next call was read. late states that this includes connections on
// which no call was read at all, or fewer bytes of a next call than minStartLength, for which net/http would wait until the idle timeout.
// It returns false for a connection of HTTP/1.1 that stays open.
func (con *callerConn) closeIfIdle(late bool) bool {
	con.mutex.Lock()
	http2 := con.preface == len(prefaceStart)
	idle := con.state == http.StateIdle && (con.arrived == 0 || late && con.arrived < minStartLength) ||
		con.state == http.StateNew && late && con.arrived == 0
	con.closed = con.closed || idle && !http2
	closed := con.closed
	con.mutex.Unlock()
	if closed {
		_ = con.Close() // fails only if it is closed already
	}
	return closed || http2
}

// Close closes the connection.
func (con *callerConn) Close() error {
	con.mutex.Lock()
	con.closed = true
	con.mutex.Unlock()
	con.once.Do(func() {
		cas := con.listener.server
		cas.mutex.Lock()
		delete(cas.conns, con)
		cas.mutex.Unlock()
		con.listener.release()
	})
	return con.TCPConn.Close()
}

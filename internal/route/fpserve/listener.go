package fpserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Defaults of Limits.
const (
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultMaxHeaderBytes = 32 << 10
	defaultMaxStreams     = 250
)

// callerPingTimeout is both the silence after which a connection to a caller is pinged and the wait for the answer. A
// silent connection is therefore found after 30 s. That may be later than on connections to upstreams, because only the
// connection's own requests wait for it, and they have deadlines.
const callerPingTimeout = 15 * time.Second

// Limits bounds the connections of callers. A zero field stands for its default.
type Limits struct {
	// ReadHeaderTimeout bounds the time in which the header of a request must arrive. 0: 5 s.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept open. 0: 2 min.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the size of a request header. 0: 32 KiB.
	MaxHeaderBytes int
	// MaxStreams bounds the requests in flight on one HTTP/2 connection. 0: 250.
	MaxStreams int
	// MaxConnections bounds the open connections. Further ones wait until one is closed. 0: not bounded.
	MaxConnections int
}

// NewCallerServer returns a server for callers that speaks HTTP/1.1 and HTTP/2 without TLS. Both are served by net/http
// itself, so that Shutdown waits for the requests of both. It would not wait for connections that a separate HTTP/2
// handler has taken over.
func NewCallerServer(handler http.Handler, lim Limits) *CallerServer {
	setDefault(&lim.ReadHeaderTimeout, defaultHeaderTimeout)
	setDefault(&lim.IdleTimeout, defaultIdleTimeout)
	setDefault(&lim.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&lim.MaxStreams, defaultMaxStreams)
	var pro http.Protocols
	pro.SetHTTP1(true)
	pro.SetUnencryptedHTTP2(true)
	cas := &CallerServer{
		limits: lim,
		ended:  make(chan struct{}),
		conns:  map[*callerConn]bool{},
	}
	cas.Server = &http.Server{
		Handler:           cas.serve(handler),
		Protocols:         &pro,
		ReadHeaderTimeout: lim.ReadHeaderTimeout,
		IdleTimeout:       lim.IdleTimeout,
		MaxHeaderBytes:    lim.MaxHeaderBytes,
		ConnContext:       func(ctx context.Context, con net.Conn) context.Context { return context.WithValue(ctx, connKey{}, con) },
		ConnState:         setConnState,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: lim.MaxStreams,
			SendPingTimeout:      callerPingTimeout,
			PingTimeout:          callerPingTimeout,
		},
	}
	cas.RegisterOnShutdown(sync.OnceFunc(func() { close(cas.ended) }))
	return cas
}

// connKey is the key of the caller's connection in the context of a request.
type connKey struct{}

// setResetOnClose sets whether the caller's connection is reset when it ends, whatever ends it. Data that has not been sent is lost
// then.
func setResetOnClose(req *http.Request, reset bool) {
	con, ok := req.Context().Value(connKey{}).(interface{ SetLinger(sec int) error })
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	_ = con.SetLinger(seconds) // fails only on a connection that has ended
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

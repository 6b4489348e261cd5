package fpserve

import (
	"net/http"
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
}

// NewHTTPServer returns a server for callers that speaks HTTP/1.1 and HTTP/2 without TLS. Both are served by net/http
// itself, so that Shutdown waits for the requests of both. It would not wait for connections that a separate HTTP/2
// handler has taken over.
func NewHTTPServer(handler http.Handler, lim Limits) *http.Server {
	setDefault(&lim.ReadHeaderTimeout, defaultHeaderTimeout)
	setDefault(&lim.IdleTimeout, defaultIdleTimeout)
	setDefault(&lim.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&lim.MaxStreams, defaultMaxStreams)
	var pro http.Protocols
	pro.SetHTTP1(true)
	pro.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         &pro,
		ReadHeaderTimeout: lim.ReadHeaderTimeout,
		IdleTimeout:       lim.IdleTimeout,
		MaxHeaderBytes:    lim.MaxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: lim.MaxStreams,
			SendPingTimeout:      callerPingTimeout,
			PingTimeout:          callerPingTimeout,
		},
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

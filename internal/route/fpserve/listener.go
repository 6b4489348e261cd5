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

// A connection to a caller that has gone silent is found after 15 + 15 s. Nothing waits for it but its own requests, which
// have deadlines, so it may take longer than on connections to upstreams.
const callerPing = 15 * time.Second

// Limits bound the connections of callers. The zero value is useful.
type Limits struct {
	// ReadHeaderTimeout bounds the time in which the header of a request arrives. 0: 5 s.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept. 0: 2 min.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the header of a request. 0: 32 KiB.
	MaxHeaderBytes int
	// MaxStreams bounds the requests in flight on one connection of HTTP/2. 0: 250.
	MaxStreams int
}

// NewHTTPServer returns a server for callers that speaks HTTP/1.1 and HTTP/2 without TLS. The protocols are those of
// net/http itself, so that Shutdown lets the requests of both end; it does not wait for connections that a handler for HTTP/2
// has taken over.
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
			SendPingTimeout:      callerPing,
			PingTimeout:          callerPing,
		},
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

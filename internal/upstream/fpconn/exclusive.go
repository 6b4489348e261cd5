package fpconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// defaultIdleTimeout is how long an unused connection is kept when the upstream does not state its own idle
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// reuseFraction is the fraction of the upstream's idle timeout during which a connection is reused. The remainder
	// makes it unlikely that a request is sent while the upstream closes the connection, which would leave unknown
	// whether it ran.
	reuseFraction = 0.6
)

// ExclusiveConfig configures Exclusive.
type ExclusiveConfig struct {
	// Upstream is the name of the upstream in error messages.
	Upstream string
	// Address is the IP address and port of the upstream.
	Address string
	// ConnectTimeout bounds the opening of a connection. 0: 1 s.
	ConnectTimeout time.Duration
	// ReadBuffer is the size in bytes of the socket's receive buffer, which bounds the data in transit when answers are
	// read slowly. 0: the operating system's default.
	ReadBuffer int
	// MaxIdle is the maximum number of idle connections that are kept for reuse. 0: none are kept.
	MaxIdle int
}

// Exclusive is a pool of HTTP/1.1 connections to one upstream. Each connection carries one request at a time.
// Connections are opened on demand and without a probe, because every request to such an upstream, a probe included,
// takes up one of its places for requests. It is safe for concurrent use.
type Exclusive struct {
	cfg ExclusiveConfig

	mutex  sync.Mutex
	idle   []*Line // the most recently used connection is last
	closed bool
}

// NewExclusive returns a pool without connections.
func NewExclusive(cfg ExclusiveConfig) *Exclusive {
	setDefault(&cfg.ConnectTimeout, defaultConnectTimeout)
	return &Exclusive{
		cfg: cfg,
	}
}

// Line is one connection of an Exclusive. It is used by one request at a time.
type Line struct {
	client        *http.ClientConn
	socket        *socket
	reusableUntil time.Time
	used          bool
}

// Used reports whether the connection has carried a request before.
func (lin *Line) Used() bool { return lin.used }

// Crashed reports whether the upstream itself ended the connection, by closing or resetting it.
func (lin *Line) Crashed() bool { return lin.socket.endedByPeer.Load() }

// Received returns the number of bytes that the upstream has sent on the connection.
func (lin *Line) Received() int64 { return lin.socket.received.Load() }

// RoundTrip sends one request. An error does not tell whether the upstream ran the request. The request is never sent
// again.
func (lin *Line) RoundTrip(req *http.Request) (*http.Response, error) {
	return lin.client.RoundTrip(req)
}

// Settle waits for the given duration or until ctx ends, and then reports whether the connection is still open. An
// upstream without capacity for another connection accepts it and then closes it, and a request that was sent in the
// meantime may have run.
func (lin *Line) Settle(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return lin.client.Err() == nil && !lin.Crashed()
}

// Close closes the connection.
func (lin *Line) Close() {
	// The connection is not used again, so an error of Close does not matter.
	_ = lin.client.Close()
}

// Idle removes a reusable idle connection from the pool and returns it, or returns nil if there is none.
func (exc *Exclusive) Idle(now time.Time) *Line {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	for len(exc.idle) > 0 {
		lin := exc.idle[len(exc.idle)-1]
		exc.idle = exc.idle[:len(exc.idle)-1]
		if now.Before(lin.reusableUntil) && lin.client.Err() == nil && lin.client.Available() > 0 {
			return lin
		}
		go lin.Close()
	}
	return nil
}

// Open opens a connection. The error is of kind ConnectFailed; nothing was sent.
func (exc *Exclusive) Open(ctx context.Context) (*Line, error) {
	ctx, cancel := context.WithTimeout(ctx, exc.cfg.ConnectTimeout)
	defer cancel()
	var soc atomic.Pointer[socket]
	cli, err := newTransport(&Config{}, dialInto(&soc), true).NewClientConn(ctx, "http", exc.cfg.Address)
	if err != nil {
		return nil, fperror.Wrap(fperror.ConnectFailed, err, "connect to %s", exc.cfg.Upstream)
	}
	lin := &Line{
		client: cli,
		socket: soc.Load(),
	}
	if tcp, ok := lin.socket.Conn.(*net.TCPConn); ok && exc.cfg.ReadBuffer > 0 {
		if err := tcp.SetReadBuffer(exc.cfg.ReadBuffer); err != nil {
			lin.Close()
			return nil, fperror.Wrap(fperror.ConnectFailed, err, "connect to %s", exc.cfg.Upstream)
		}
	}
	return lin, nil
}

// Put returns a connection to the pool after its answer was read to the end. idleTimeout is how long the upstream keeps
// an idle connection open; 0 means that the upstream did not state it.
func (exc *Exclusive) Put(lin *Line, idleTimeout time.Duration) {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	lin.used = true
	lin.reusableUntil = time.Now().Add(time.Duration(float64(idleTimeout) * reuseFraction))
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	if exc.closed || len(exc.idle) >= exc.cfg.MaxIdle || lin.client.Err() != nil {
		go lin.Close()
		return
	}
	exc.idle = append(exc.idle, lin)
}

// Trim closes the idle connections that are broken or may no longer be reused.
func (exc *Exclusive) Trim(now time.Time) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	kept := exc.idle[:0]
	for _, lin := range exc.idle {
		if now.Before(lin.reusableUntil) && lin.client.Err() == nil {
			kept = append(kept, lin)
			continue
		}
		go lin.Close()
	}
	clear(exc.idle[len(kept):])
	exc.idle = kept
}

// Close closes all idle connections. Connections in use are closed when they are put back.
func (exc *Exclusive) Close() {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	exc.closed = true
	for _, lin := range exc.idle {
		go lin.Close()
	}
	exc.idle = nil
}

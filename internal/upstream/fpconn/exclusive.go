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
	// defaultIdle is how long an unused connection is kept when the upstream does not say for how long it keeps one.
	defaultIdle = 4 * time.Second
	// idleShare is the part of the upstream's idle time for which a connection is used again. The rest keeps a request
	// from crossing the close of its connection, after which nobody knows whether it ran.
	idleShare = 0.6
)

// ExclusiveConfig configures Exclusive.
type ExclusiveConfig struct {
	// Upstream is the name of the upstream in errors.
	Upstream string
	// Address is the IP number and port of the upstream.
	Address string
	// ConnectTimeout bounds the opening of a connection. 0: 1 s.
	ConnectTimeout time.Duration
	// ReadBuffer is the size in bytes of the system's buffer for what the upstream sends, which bounds what is under way
	// when answers are read slowly. 0: the system's default.
	ReadBuffer int
	// MaxIdle bounds the connections that are kept for later use.
	MaxIdle int
}

// Exclusive holds connections of HTTP/1.1 to an upstream, each of which carries one request at a time. Connections are
// opened on demand and without a probe, because every request to such an upstream takes a place of its own there.
type Exclusive struct {
	cfg ExclusiveConfig

	mutex  sync.Mutex
	idle   []*Line // the one that was used last is at the end
	closed bool
}

// NewExclusive returns a pool without connections.
func NewExclusive(cfg ExclusiveConfig) *Exclusive {
	setDefault(&cfg.ConnectTimeout, defaultConnectTimeout)
	return &Exclusive{
		cfg: cfg,
	}
}

// Line is one connection of an Exclusive.
type Line struct {
	client *http.ClientConn
	socket *socket
	until  time.Time
	used   bool
}

// Used reports whether the connection has carried a request before.
func (lin *Line) Used() bool { return lin.used }

// Crashed reports whether the upstream itself ended the connection.
func (lin *Line) Crashed() bool { return lin.socket.endedThere.Load() }

// Received returns the number of bytes that the upstream has sent on the connection.
func (lin *Line) Received() int64 { return lin.socket.received.Load() }

// RoundTrip sends one request. An error does not tell whether it ran. The request is never sent again.
func (lin *Line) RoundTrip(req *http.Request) (*http.Response, error) {
	return lin.client.RoundTrip(req)
}

// Settle waits and reports whether the connection is still open then. An upstream that has no room for a connection ends it once it
// is open, and a request that has been sent by then may have run.
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
	// The connection is of no more use, whether or not its end is reported.
	_ = lin.client.Close()
}

// Idle returns a kept connection, or nil.
func (exc *Exclusive) Idle(now time.Time) *Line {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	for len(exc.idle) > 0 {
		lin := exc.idle[len(exc.idle)-1]
		exc.idle = exc.idle[:len(exc.idle)-1]
		if now.Before(lin.until) && lin.client.Err() == nil && lin.client.Available() > 0 {
			return lin
		}
		go lin.Close()
	}
	return nil
}

// Open opens a connection. The error is of kind ConnectFailed, and nothing was sent.
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

// Put keeps a connection whose answer has been read to its end. The upstream closes it after it was idle for the given
// time; 0 means that it did not say.
func (exc *Exclusive) Put(lin *Line, idle time.Duration) {
	if idle == 0 {
		idle = defaultIdle
	}
	lin.used = true
	lin.until = time.Now().Add(time.Duration(float64(idle) * idleShare))
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	if exc.closed || len(exc.idle) >= exc.cfg.MaxIdle || lin.client.Err() != nil {
		go lin.Close()
		return
	}
	exc.idle = append(exc.idle, lin)
}

// Trim closes the idle connections that are not used again.
func (exc *Exclusive) Trim(now time.Time) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	kept := exc.idle[:0]
	for _, lin := range exc.idle {
		if now.Before(lin.until) && lin.client.Err() == nil {
			kept = append(kept, lin)
			continue
		}
		go lin.Close()
	}
	clear(exc.idle[len(kept):])
	exc.idle = kept
}

// Close closes all idle connections; those in use are closed when they are put back.
func (exc *Exclusive) Close() {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	exc.closed = true
	for _, lin := range exc.idle {
		go lin.Close()
	}
	exc.idle = nil
}

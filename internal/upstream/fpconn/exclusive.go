package fpconn

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// defaultIdleTimeout is how long an unused connection is kept when the upstream does not state its own idle
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// reuseFraction is the fraction of the upstream's idle timeout during which a connection is reused, and minReuseMargin the least
	// time that is left of it then: a request takes some time to arrive, and the upstream measures from when it wrote its answer.
	reuseFraction  = 0.8
	minReuseMargin = 400 * time.Millisecond
	// onceReuseFraction is that fraction for requests that may run only once. If the upstream closes the connection while such a
	// request is on its way, nobody can say whether it ran, and the caller gets a failure; another request is sent again. The
	// timeouts of upstreams are approximate, and some close earlier when they are busy.
	onceReuseFraction = 0.6
)

// ExclusivePoolConfig configures an ExclusivePool.
type ExclusivePoolConfig struct {
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
	// ExpectContinue is how long the body of a request with the header Expect waits for the permission to be sent. 0: not at all.
	ExpectContinue time.Duration
	// ID returns the id by which the header of a request or of an answer names the request, or "". Nil: answers name no requests, and
	// none is skipped as a stray one.
	ID func(hea http.Header) string
	// Dial opens connections. Nil: Dial of this package. Tests replace it to simulate lost paths.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// ExclusivePool is a pool of HTTP/1.1 connections to one upstream. Each connection carries one request at a time.
// Connections are opened on demand and without a probe, because every request to such an upstream, a probe included,
// takes up one of its places for requests. It is safe for concurrent use.
type ExclusivePool struct {
	cfg ExclusivePoolConfig

	mutex  sync.Mutex
	idle   []*ExclusiveConn // the most recently used connection is last
	closed bool
	// idleTimeout is the last one that the upstream has stated, or 0.
	idleTimeout time.Duration
}

// NewExclusivePool returns a pool without connections.
func NewExclusivePool(cfg ExclusivePoolConfig) *ExclusivePool {
	setDefault(&cfg.ConnectTimeout, defaultConnectTimeout)
	if cfg.Dial == nil {
		cfg.Dial = Dial
	}
	return &ExclusivePool{
		cfg: cfg,
	}
}

// ExclusiveConn is one connection of an ExclusivePool. It is used by one request at a time.
type ExclusiveConn struct {
	client *http.ClientConn
	socket *socket
	// reusableUntil is until when the connection is reused, and onceUntil until when by requests that may run only once.
	reusableUntil, onceUntil time.Time
	used                     bool
	// refused are the requests that were refused on the connection as not run, with the time until which each may be sent again.
	refused map[string]time.Time
	// id is that of the pool's configuration, and earlier are the ids of the last requests on the connection.
	id      func(hea http.Header) string
	earlier []string
}

// Used reports whether the connection was in the pool before, so that the upstream has accepted it.
func (con *ExclusiveConn) Used() bool { return con.used }

// Crashed reports whether the upstream itself ended the connection, by closing or resetting it.
func (con *ExclusiveConn) Crashed() bool { return con.socket.endedByPeer.Load() }

// Received returns the number of bytes that the upstream has sent on the connection.
func (con *ExclusiveConn) Received() int64 { return con.socket.received.Load() }

// RoundTrip sends one request. An error does not tell whether the upstream ran the request. The request is never sent
// again. An answer with an invalid status and a long series of informational answers are errors. Stray answers are skipped.
func (con *ExclusiveConn) RoundTrip(req *http.Request) (*http.Response, error) {
	con.await(req)
	res, err := con.client.RoundTrip(boundInformational(req))
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(res); err != nil {
		con.Close()
		return nil, err
	}
	return res, nil
}

// StaysOpen waits for the given duration or until ctx ends, and then reports whether the connection is still open. An
// upstream without capacity for another connection accepts it and then closes it, and a request that was sent in the
// meantime may have run.
func (con *ExclusiveConn) StaysOpen(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return con.client.Err() == nil && !con.Crashed()
}

// Close closes the connection.
func (con *ExclusiveConn) Close() {
	// The connection is not used again, so an error of Close does not matter.
	_ = con.client.Close()
}

// RecordRefusal records that a request was refused on the connection as not run. Until the given time, Get does not return the
// connection for it: a faulty upstream may send the refusal once more, and answers name only the request.
func (con *ExclusiveConn) RecordRefusal(now time.Time, id string, until time.Time) {
	if con.refused == nil {
		con.refused = map[string]time.Time{}
	}
	maps.DeleteFunc(con.refused, func(_ string, end time.Time) bool { return now.After(end) })
	con.refused[id] = until
}

// mayCarry reports whether no refusal of an earlier send of the request may follow on the connection.
func (con *ExclusiveConn) mayCarry(id string) bool {
	_, refused := con.refused[id]
	return !refused
}

// Get removes a reusable idle connection from the pool and returns it, or returns nil if there is none for the request with the
// given id. once states that the request may run only once.
func (exc *ExclusivePool) Get(now time.Time, id string, once bool) *ExclusiveConn {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	for pos := len(exc.idle) - 1; pos >= 0; pos-- {
		con := exc.idle[pos]
		if !con.mayCarry(id) || once && !now.Before(con.onceUntil) && now.Before(con.reusableUntil) {
			continue
		}
		exc.idle = slices.Delete(exc.idle, pos, pos+1)
		if now.Before(con.reusableUntil) && con.client.Err() == nil && con.client.Available() > 0 {
			return con
		}
		go con.Close()
	}
	return nil
}

// Open opens a connection. The error is of kind ConnectFailed; nothing was sent.
func (exc *ExclusivePool) Open(ctx context.Context) (*ExclusiveConn, error) {
	ctx, cancel := context.WithTimeout(ctx, exc.cfg.ConnectTimeout)
	defer cancel()
	var soc atomic.Pointer[socket]
	tra := newTransport(&Config{}, dialInto(&soc, exc.cfg.Dial), true)
	tra.ExpectContinueTimeout = exc.cfg.ExpectContinue
	cli, err := tra.NewClientConn(ctx, "http", exc.cfg.Address)
	if err != nil {
		return nil, fperror.Wrap(fperror.ConnectFailed, err, "connect to %s", exc.cfg.Upstream)
	}
	con := &ExclusiveConn{
		client: cli,
		socket: soc.Load(),
		id:     exc.cfg.ID,
	}
	if tcp, ok := con.socket.Conn.(*net.TCPConn); ok && exc.cfg.ReadBuffer > 0 {
		if err := tcp.SetReadBuffer(exc.cfg.ReadBuffer); err != nil {
			con.Close()
			return nil, fperror.Wrap(fperror.ConnectFailed, err, "connect to %s", exc.cfg.Upstream)
		}
	}
	return con, nil
}

// Put returns a connection to the pool after its answer was read to the end. idleTimeout is how long the upstream keeps
// an idle connection open; 0 means that the upstream did not state it.
func (exc *ExclusivePool) Put(con *ExclusiveConn, idleTimeout time.Duration) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	if idleTimeout > 0 {
		exc.idleTimeout = idleTimeout
	} else {
		idleTimeout = defaultIdleTimeout
	}
	con.setReuse(time.Now(), idleTimeout)
	exc.put(con)
}

// PutUnused puts a connection into the pool that has carried no request since it was opened or taken from the pool. A new one is
// kept for as long as the upstream has last stated for others; another one no longer than before, because the upstream measures
// from its last answer.
func (exc *ExclusivePool) PutUnused(con *ExclusiveConn) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	if con.reusableUntil.IsZero() {
		con.setReuse(time.Now(), cmp.Or(exc.idleTimeout, defaultIdleTimeout))
	}
	exc.put(con)
}

// setReuse sets until when a connection is reused that the upstream closes after it has been idle for a time.
func (con *ExclusiveConn) setReuse(now time.Time, idleTimeout time.Duration) {
	con.reusableUntil = now.Add(reuseTime(idleTimeout, reuseFraction))
	con.onceUntil = now.Add(reuseTime(idleTimeout, onceReuseFraction))
}

// put adds a connection to the idle ones. The caller holds the mutex.
func (exc *ExclusivePool) put(con *ExclusiveConn) {
	con.used = true
	if exc.closed || len(exc.idle) >= exc.cfg.MaxIdle || con.client.Err() != nil {
		go con.Close()
		return
	}
	exc.idle = append(exc.idle, con)
}

// reuseTime returns how long an idle connection is reused if the upstream closes it after a timeout.
func reuseTime(idleTimeout time.Duration, fraction float64) time.Duration {
	return max(0, min(time.Duration(float64(idleTimeout)*fraction), idleTimeout-minReuseMargin))
}

// CloseExpired closes the idle connections that are broken or may no longer be reused.
func (exc *ExclusivePool) CloseExpired(now time.Time) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	kept := exc.idle[:0]
	for _, con := range exc.idle {
		if now.Before(con.reusableUntil) && con.client.Err() == nil {
			kept = append(kept, con)
			continue
		}
		go con.Close()
	}
	clear(exc.idle[len(kept):])
	exc.idle = kept
}

// Close closes all idle connections. Connections in use are closed when they are put back.
func (exc *ExclusivePool) Close() {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	exc.closed = true
	for _, con := range exc.idle {
		go con.Close()
	}
	exc.idle = nil
}

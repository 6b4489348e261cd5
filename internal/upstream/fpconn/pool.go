package fpconn

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// dialRetryDelay is the wait after a failed attempt to open a connection ahead of demand. It limits the rate of
// attempts to reach an unreachable upstream, and is short compared with the 2 s within which a silent connection must
// be replaced.
const dialRetryDelay = 100 * time.Millisecond

// Pool holds the connections to one incarnation of an upstream. It is safe for concurrent use.
type Pool struct {
	cfg        *Config
	upstream   *fpcontract.Upstream
	http1      atomic.Bool
	retired    atomic.Bool
	probes     atomic.Uint64 // health requests, by which they are named
	waiting    atomic.Int32  // callers that wait for a connection
	cancel     context.CancelFunc
	wake       chan struct{}  // triggers the next run of maintainOnce
	goroutines sync.WaitGroup // maintain, attempts to open connections, and probes

	mutex        sync.Mutex
	conns        []*Conn
	maxConns     int
	opening      int   // attempts to connect in progress
	dialErr      error // error of the latest attempt to connect, nil after a success
	dialFailedAt time.Time
	changed      chan struct{} // closed and replaced when waiting callers must check again
}

func newPool(cfg *Config, ups *fpcontract.Upstream) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	pl := &Pool{
		cfg:      cfg,
		upstream: ups,
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		maxConns: cfg.Limit(ups),
		changed:  make(chan struct{}),
	}
	pl.goroutines.Go(func() { pl.maintain(ctx) })
	return pl
}

// matches reports whether the pool belongs to the upstream's incarnation and address.
func (pl *Pool) matches(ups *fpcontract.Upstream) bool {
	return pl.upstream.GetIncarnation() == ups.GetIncarnation() && pl.upstream.GetAddress() == ups.GetAddress()
}

func (pl *Pool) setMaxConns(num int) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.maxConns = num
}

// Len returns the number of open connections.
func (pl *Pool) Len() int {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	return len(pl.conns)
}

func (pl *Pool) status() Status {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	sta := Status{
		Upstream: pl.upstream.GetName(),
		Open:     len(pl.conns),
		Opening:  pl.opening,
		HTTP1:    pl.http1.Load(),
	}
	for _, con := range pl.conns {
		sta.InFlight += con.client.InFlight()
	}
	if pl.dialErr != nil {
		sta.Failure = pl.dialErr.Error()
	}
	return sta
}

// Reserve returns a connection with a reservation for one request. When all connections are full it opens another one,
// up to the limit, or waits for a free one until ctx ends or the channel that abort returns is closed. abort is called
// only when the request has to wait; it may be nil. The error is of kind ConnectFailed; nothing was sent.
func (pl *Pool) Reserve(ctx context.Context, abort func() <-chan struct{}) (*Conn, error) {
	con, _, err := pl.tryReserve(ctx)
	if con != nil || err != nil {
		return con, err
	}
	pl.waiting.Add(1)
	defer pl.waiting.Add(-1)
	var aborted <-chan struct{}
	if abort != nil {
		aborted = abort()
	}
	for {
		// The pool is checked again after this caller is counted as waiting, so that no change is missed.
		con, changed, err := pl.tryReserve(ctx)
		if con != nil || err != nil {
			return con, err
		}
		select {
		case <-changed:
		case <-aborted:
			return nil, fperror.New(fperror.ConnectFailed, "no connection to %s before the wait was aborted", pl.upstream.GetName())
		case <-ctx.Done():
			return nil, fperror.Wrap(fperror.ConnectFailed, ctx.Err(), "no connection to %s in time", pl.upstream.GetName())
		}
	}
}

// tryReserve makes a reservation on the least used connection. If none is free it returns a channel that is closed at
// the next change of the pool. When no connection is open and the latest attempt to connect failed, it returns that
// error at once, while maintain retries in the background.
func (pl *Pool) tryReserve(ctx context.Context) (*Conn, <-chan struct{}, error) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	if pl.retired.Load() {
		return nil, nil, fperror.New(fperror.ConnectFailed, "the connection pool of %s is closed", pl.upstream.GetName())
	}
	if con := pl.reserveLeastUsed(); con != nil {
		return con, nil, nil
	}
	if len(pl.conns) == 0 && pl.dialErr != nil {
		return nil, nil, pl.dialErr
	}
	if pl.startOpening(pl.connLimit()) {
		pl.goroutines.Go(func() { pl.open(context.WithoutCancel(ctx)) })
	}
	return nil, pl.changed, nil
}

// reserveLeastUsed makes a reservation on the connection with the fewest requests in flight, or returns nil when no
// connection is free. The caller holds the mutex.
func (pl *Pool) reserveLeastUsed() *Conn {
	var best *Conn
	fewest := maxStreams
	for _, con := range pl.conns {
		num := con.client.InFlight()
		if num < fewest && con.available() {
			best, fewest = con, num
		}
	}
	if best == nil || !best.reserve() {
		return nil
	}
	return best
}

// connLimit returns the maximum number of connections. HTTP/1.1 needs a connection for every request in flight, while a
// few HTTP/2 connections carry them all. The caller holds the mutex.
func (pl *Pool) connLimit() int {
	if pl.http1.Load() {
		return pl.maxConns
	}
	return min(pl.maxConns, maxHTTP2Conns)
}

// startOpening counts one more connection as being opened and returns true, unless there are limit connections already.
// The caller holds the mutex.
func (pl *Pool) startOpening(limit int) bool {
	if len(pl.conns)+pl.opening >= limit {
		return false
	}
	pl.opening++
	return true
}

// retire closes idle connections at once, and the others when their requests have ended. The pool gives out no more
// connections.
func (pl *Pool) retire() {
	pl.cancel()
	pl.retired.Store(true)
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	for _, con := range pl.conns {
		con.closeIfIdle()
	}
	pl.conns = nil
	pl.notifyWaiting()
}

// notifyWaiting wakes all callers that wait for a connection. The caller holds the mutex.
func (pl *Pool) notifyWaiting() {
	close(pl.changed)
	pl.changed = make(chan struct{})
}

// onStateChange is called when a connection has capacity again or breaks. Some calls of the connection that are made
// under the mutex invoke it, so it takes no lock.
func (pl *Pool) onStateChange(con *Conn) {
	if pl.retired.Load() || con.draining.Load() || con.isSilent() {
		con.closeIfIdle()
		return
	}
	if con.Broken() || pl.waiting.Load() > 0 {
		pl.wakeMaintain()
	}
}

// wakeMaintain makes maintain run again soon. It does not block.
func (pl *Pool) wakeMaintain() {
	select {
	case pl.wake <- struct{}{}:
	default:
	}
}

// closeIfIdle closes the connection in the background if no request is in flight on it.
func (con *Conn) closeIfIdle() {
	if con.client.InFlight() == 0 {
		go func(cli *http.ClientConn) { _ = cli.Close() }(con.client)
	}
}

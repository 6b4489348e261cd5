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

// dialPause is the wait after a failed attempt to open a connection ahead of need. It keeps an unreachable upstream from
// causing a stream of attempts, and is short against the 2 s within which a silent connection must be replaced.
const dialPause = 100 * time.Millisecond

// Pool holds the connections to one incarnation of an upstream.
type Pool struct {
	cfg      *Config
	upstream *fpcontract.Upstream
	http1    atomic.Bool
	retired  atomic.Bool
	waiting  atomic.Int32 // callers that wait for a connection
	cancel   context.CancelFunc
	wake     chan struct{}  // tells keep to look at the connections
	ended    sync.WaitGroup // keep and the attempts to open connections

	mutex   sync.Mutex
	conns   []*Conn
	limit   int
	opening int
	failure error // error of the latest failed attempt, nil after a success
	failed  time.Time
	changed chan struct{} // closed and replaced when waiting callers must look again
}

func newPool(cfg *Config, ups *fpcontract.Upstream) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	pl := &Pool{
		cfg:      cfg,
		upstream: ups,
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		limit:    cfg.Limit(ups),
		changed:  make(chan struct{}),
	}
	pl.ended.Go(func() { pl.keep(ctx) })
	return pl
}

// serves reports whether the pool is that of the upstream's incarnation and address.
func (pl *Pool) serves(ups *fpcontract.Upstream) bool {
	return pl.upstream.GetIncarnation() == ups.GetIncarnation() && pl.upstream.GetAddress() == ups.GetAddress()
}

func (pl *Pool) resize(limit int) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.limit = limit
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
	if pl.failure != nil {
		sta.Failure = pl.failure.Error()
	}
	return sta
}

// Reserve returns a connection with a reservation for one request. When all connections are full it opens another one,
// up to the limit, and otherwise waits until ctx ends or the channel that giveUp returns is closed. giveUp is called only
// when the request has to wait; it may be nil. The error is of the kind ConnectFailed: nothing was sent.
func (pl *Pool) Reserve(ctx context.Context, giveUp func() <-chan struct{}) (*Conn, error) {
	con, _, err := pl.take(ctx)
	if con != nil || err != nil {
		return con, err
	}
	pl.waiting.Add(1)
	defer pl.waiting.Add(-1)
	var over <-chan struct{}
	if giveUp != nil {
		over = giveUp()
	}
	for {
		// The pool is looked at again after the caller is counted as waiting, so that no change is missed.
		con, changed, err := pl.take(ctx)
		if con != nil || err != nil {
			return con, err
		}
		select {
		case <-changed:
		case <-over:
			return nil, fperror.New(fperror.ConnectFailed, "no connection to %s before the request was given up", pl.upstream.GetName())
		case <-ctx.Done():
			return nil, fperror.Wrap(fperror.ConnectFailed, ctx.Err(), "no connection to %s in time", pl.upstream.GetName())
		}
	}
}

// take reserves a place on the least used connection. Without one it returns a channel to wait on. When no connection is
// open and the latest attempt failed, it returns that failure at once, while keep goes on trying.
func (pl *Pool) take(ctx context.Context) (*Conn, <-chan struct{}, error) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	if pl.retired.Load() {
		return nil, nil, fperror.New(fperror.ConnectFailed, "%s has gone", pl.upstream.GetName())
	}
	if con := pl.leastUsed(); con != nil {
		return con, nil, nil
	}
	if len(pl.conns) == 0 && pl.failure != nil {
		return nil, nil, pl.failure
	}
	if pl.begin(pl.most()) {
		pl.ended.Go(func() { pl.add(context.WithoutCancel(ctx)) })
	}
	return nil, pl.changed, nil
}

// leastUsed reserves a place on the connection with the fewest requests in flight. The caller holds the mutex.
func (pl *Pool) leastUsed() *Conn {
	var best *Conn
	fewest := maxStreams
	for _, con := range pl.conns {
		num := con.client.InFlight()
		if num < fewest && con.client.Available() > 0 {
			best, fewest = con, num
		}
	}
	if best == nil || best.client.Reserve() != nil {
		return nil
	}
	return best
}

// most returns the largest number of connections. HTTP/1.1 takes a connection for every request in flight, while a few
// connections of HTTP/2 carry them all. The caller holds the mutex.
func (pl *Pool) most() int {
	if pl.http1.Load() {
		return pl.limit
	}
	return min(pl.limit, maxHTTP2)
}

// begin counts one more connection as being opened when there are fewer than most. The caller holds the mutex.
func (pl *Pool) begin(most int) bool {
	if len(pl.conns)+pl.opening >= most {
		return false
	}
	pl.opening++
	return true
}

// retire closes idle connections at once, and all others when their requests have ended.
func (pl *Pool) retire() {
	pl.cancel()
	pl.retired.Store(true)
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	for _, con := range pl.conns {
		con.closeIfIdle()
	}
	pl.conns = nil
	pl.announce()
}

// announce wakes all callers that wait for a connection. The caller holds the mutex.
func (pl *Pool) announce() {
	close(pl.changed)
	pl.changed = make(chan struct{})
}

// onChange runs when a connection has room again or breaks. It may run within calls of the connection that are made under
// the mutex, so it takes no lock.
func (pl *Pool) onChange(con *Conn) {
	if pl.retired.Load() || con.leaving.Load() {
		con.closeIfIdle()
		return
	}
	if con.Broken() || pl.waiting.Load() > 0 {
		pl.rouse()
	}
}

func (pl *Pool) rouse() {
	select {
	case pl.wake <- struct{}{}:
	default:
	}
}

func (con *Conn) closeIfIdle() {
	if con.client.InFlight() == 0 {
		go func(cli *http.ClientConn) { _ = cli.Close() }(con.client)
	}
}

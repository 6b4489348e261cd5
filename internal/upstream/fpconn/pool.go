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
	poo := &Pool{
		cfg:      cfg,
		upstream: ups,
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		limit:    cfg.Limit(ups),
		changed:  make(chan struct{}),
	}
	poo.ended.Go(func() { poo.keep(ctx) })
	return poo
}

// serves reports whether the pool is that of the upstream's incarnation and address.
func (poo *Pool) serves(ups *fpcontract.Upstream) bool {
	return poo.upstream.GetIncarnation() == ups.GetIncarnation() && poo.upstream.GetAddress() == ups.GetAddress()
}

func (poo *Pool) resize(limit int) {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	poo.limit = limit
}

// Len returns the number of open connections.
func (poo *Pool) Len() int {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	return len(poo.conns)
}

// Reserve returns a connection with a reservation for one request. When all connections are full it opens another one,
// up to the limit, and otherwise waits until ctx ends or the channel that giveUp returns is closed. giveUp is called only
// when the request has to wait; it may be nil. The error is of the kind ConnectFailed: nothing was sent.
func (poo *Pool) Reserve(ctx context.Context, giveUp func() <-chan struct{}) (*Conn, error) {
	con, _, err := poo.take(ctx)
	if con != nil || err != nil {
		return con, err
	}
	poo.waiting.Add(1)
	defer poo.waiting.Add(-1)
	var over <-chan struct{}
	if giveUp != nil {
		over = giveUp()
	}
	for {
		// The pool is looked at again after the caller is counted as waiting, so that no change is missed.
		con, changed, err := poo.take(ctx)
		if con != nil || err != nil {
			return con, err
		}
		select {
		case <-changed:
		case <-over:
			return nil, fperror.New(fperror.ConnectFailed, "no connection to %s before the request was given up", poo.upstream.GetName())
		case <-ctx.Done():
			return nil, fperror.Wrap(fperror.ConnectFailed, ctx.Err(), "no connection to %s in time", poo.upstream.GetName())
		}
	}
}

// take reserves a place on the least used connection. Without one it returns a channel to wait on. When no connection is
// open and the latest attempt failed, it returns that failure at once, while keep goes on trying.
func (poo *Pool) take(ctx context.Context) (*Conn, <-chan struct{}, error) {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	if poo.retired.Load() {
		return nil, nil, fperror.New(fperror.ConnectFailed, "%s has gone", poo.upstream.GetName())
	}
	if con := poo.leastUsed(); con != nil {
		return con, nil, nil
	}
	if len(poo.conns) == 0 && poo.failure != nil {
		return nil, nil, poo.failure
	}
	if poo.begin(poo.most()) {
		poo.ended.Go(func() { poo.add(context.WithoutCancel(ctx)) })
	}
	return nil, poo.changed, nil
}

// leastUsed reserves a place on the connection with the fewest requests in flight. The caller holds the mutex.
func (poo *Pool) leastUsed() *Conn {
	var best *Conn
	fewest := maxStreams
	for _, con := range poo.conns {
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
func (poo *Pool) most() int {
	if poo.http1.Load() {
		return poo.limit
	}
	return min(poo.limit, maxHTTP2)
}

// begin counts one more connection as being opened when there are fewer than most. The caller holds the mutex.
func (poo *Pool) begin(most int) bool {
	if len(poo.conns)+poo.opening >= most {
		return false
	}
	poo.opening++
	return true
}

// retire closes idle connections at once, and all others when their requests have ended.
func (poo *Pool) retire() {
	poo.cancel()
	poo.retired.Store(true)
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	for _, con := range poo.conns {
		con.closeIfIdle()
	}
	poo.conns = nil
	poo.announce()
}

// announce wakes all callers that wait for a connection. The caller holds the mutex.
func (poo *Pool) announce() {
	close(poo.changed)
	poo.changed = make(chan struct{})
}

// onChange runs when a connection has room again or breaks. It may run within calls of the connection that are made under
// the mutex, so it takes no lock.
func (poo *Pool) onChange(con *Conn) {
	if poo.retired.Load() {
		con.closeIfIdle()
		return
	}
	if con.Broken() || poo.waiting.Load() > 0 {
		poo.rouse()
	}
}

func (poo *Pool) rouse() {
	select {
	case poo.wake <- struct{}{}:
	default:
	}
}

func (con *Conn) closeIfIdle() {
	if con.client.InFlight() == 0 {
		go func(cli *http.ClientConn) { _ = cli.Close() }(con.client)
	}
}

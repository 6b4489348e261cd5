// Package fpfence helps an upstream to serve only what the router granted to it. A Fence keeps the grant and its lease,
// refuses requests outside of them, cancels running requests when the lease ends, and announces the upstream.
package fpfence

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fpclock"
)

const (
	// margin is how long before the end of the lease requests are cancelled, so that they have stopped when it ends.
	margin = 100 * time.Millisecond
	// tick is the interval at which leases are checked; it is below margin.
	tick = 50 * time.Millisecond
	// pauseLimit is the gap between two ticks that counts as a pause of the process.
	pauseLimit = 500 * time.Millisecond
)

// Config describes an upstream.
type Config struct {
	// Name identifies the upstream; it is kept across restarts.
	Name string
	// Incarnation grows with every start. 0: the time of New in nanoseconds.
	Incarnation uint64
	// Service is the full name of the service in the schema.
	Service string
	// Keyed states that the service is keyed, so that every request needs a fence.
	Keyed bool
	// Unchecked states that requests do not pass through Handler. The router then moves a slot only after the largest
	// deadline of the service.
	Unchecked bool
	// DataCentre holds the upstream.
	DataCentre string
	// Address is the IP number and port at which the router reaches the upstream.
	Address string
	// Concurrency is the number of requests that the upstream runs at once.
	Concurrency uint32
	// MaxConnections is the number of connections that the upstream accepts from all VMs together.
	MaxConnections uint32
	// Routers are the base URLs of entry VMs, such as http://127.0.0.1:8080. Announcements go to one that answers.
	Routers []string
	// Client sends announcements. Nil: http.DefaultClient.
	Client connect.HTTPClient

	now func() fpclock.Moment // replaced by tests
}

// Fence decides which requests may run. Use New to create one.
type Fence struct {
	cfg Config

	mutex    sync.Mutex
	groups   map[string]*grant
	tokens   tokens
	draining bool
	ticked   fpclock.Moment // latest check of the leases
	work     work
}

// New returns a fence that has no grant, so it refuses all keyed requests.
func New(cfg Config) *Fence {
	if cfg.now == nil {
		cfg.now = fpclock.Now
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	return &Fence{
		cfg:    cfg,
		groups: map[string]*grant{},
		work: work{
			running: map[string]*run{},
		},
	}
}

// Run announces the upstream and watches its leases until ctx ends. It reports its end on done.
func (fen *Fence) Run(ctx context.Context) (done <-chan error) {
	ended := make(chan error, 1)
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		fen.announceLoop(ctx)
	}()
	go func() {
		fen.watchLoop(ctx)
		<-announced
		ended <- ctx.Err()
	}()
	return ended
}

// Upstream returns the description that announcements carry.
func (fen *Fence) Upstream() *fpcontract.Upstream {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	return &fpcontract.Upstream{
		Name:           fen.cfg.Name,
		Incarnation:    fen.cfg.Incarnation,
		Service:        fen.cfg.Service,
		DataCentre:     fen.cfg.DataCentre,
		Address:        fen.cfg.Address,
		ChecksFence:    !fen.cfg.Unchecked,
		Concurrency:    fen.cfg.Concurrency,
		MaxConnections: fen.cfg.MaxConnections,
		Draining:       fen.draining,
	}
}

// Drain announces that the upstream is leaving and wants no new work. It goes on to serve the slots that it still owns.
func (fen *Fence) Drain() {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	fen.draining = true
}

// Running returns the number of requests that run.
func (fen *Fence) Running() int {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	return len(fen.work.running)
}

// Slots returns the number of slots that the upstream may serve at this moment.
func (fen *Fence) Slots() int {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	now := fen.cfg.now()
	num := 0
	for _, gra := range fen.groups {
		if fen.leased(gra, now) {
			num += len(gra.slots)
		}
	}
	return num
}

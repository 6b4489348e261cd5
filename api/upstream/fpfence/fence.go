// Package fpfence is the client library with which an upstream serves only the slots that the router granted to it. A Fence
// stores the granted slots and their lease, refuses requests outside of them, cancels running requests when the lease ends,
// and announces the upstream to the router.
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
	// cancelMargin is how long before the end of a lease its requests are cancelled, so that they can stop before it ends.
	cancelMargin = 100 * time.Millisecond
	// checkInterval is the interval at which leases are checked. It must be shorter than cancelMargin.
	checkInterval = 50 * time.Millisecond
	// pauseLimit is the time without a check of the leases after which the process counts as paused and all leases end.
	pauseLimit = 500 * time.Millisecond
)

// Config describes an upstream.
type Config struct {
	// Name identifies the upstream. It must stay the same across restarts.
	Name string
	// Incarnation must grow with every start of the upstream. 0: the Unix time of New in nanoseconds.
	Incarnation uint64
	// Service is the full name of the service in the schema.
	Service string
	// Keyed states that the service is keyed. Handler then admits only requests whose header names a granted slot and its
	// epoch.
	Keyed bool
	// Unchecked states that requests do not pass through Handler. The router then waits for the largest deadline of the
	// service before it moves a slot away from the upstream.
	Unchecked bool
	// DataCentre is the name of the data centre that the upstream runs in.
	DataCentre string
	// Address is the IP number and port at which the router reaches the upstream.
	Address string
	// Concurrency is the number of requests that the upstream runs at once.
	Concurrency uint32
	// MaxConnections is the number of connections that the upstream accepts from all VMs together.
	MaxConnections uint32
	// Routers are the base URLs of entry VMs, such as http://127.0.0.1:8080. Announcements go to one of them at a time; after
	// a failure the next one is used. Empty: the upstream is not announced.
	Routers []string
	// Client sends announcements. Nil: http.DefaultClient.
	Client connect.HTTPClient

	now func() fpclock.Moment // replaced by tests
}

// Fence decides which requests may run. Use New to create one. It is safe for concurrent use.
type Fence struct {
	cfg Config

	mutex     sync.Mutex
	groups    map[string]*grant
	tokens    tokens
	draining  bool
	rate      string         // request rate that answers name, or empty
	lastCheck fpclock.Moment // latest check of the leases
	tracker   tracker
}

// New returns a fence without granted slots. It refuses all requests of a keyed service until Service receives a grant.
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
		tracker: tracker{
			running: map[string]*activeRequest{},
		},
	}
}

// Run starts to announce the upstream and to check its leases, and returns at once. When ctx ends and both have stopped,
// done receives ctx.Err().
func (fen *Fence) Run(ctx context.Context) (done <-chan error) {
	ended := make(chan error, 1)
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		fen.announceLoop(ctx)
	}()
	go func() {
		fen.checkLoop(ctx)
		<-announced
		ended <- ctx.Err()
	}()
	return ended
}

// Upstream returns the description of the upstream that announcements carry.
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

// Drain marks the upstream as leaving, in the next announcement and in all answers of Handler, so that it gets no new slots and no more
// calls without a key. The upstream continues to serve the slots that it still owns.
func (fen *Fence) Drain() {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	fen.draining = true
}

// Running returns the number of requests that are running.
func (fen *Fence) Running() int {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	return len(fen.tracker.running)
}

// Slots returns the number of slots and split keys that the upstream may serve now.
func (fen *Fence) Slots() int {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	now := fen.cfg.now()
	num := 0
	for _, gra := range fen.groups {
		if fen.hasLease(gra, now) {
			num += len(gra.slots)
		}
	}
	return num
}

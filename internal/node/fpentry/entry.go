// Package fpentry combines the components of an entry VM: slot tables and lists of upstreams, which it polls from the
// leaders of groups, and load balancing, concurrency limits, health and retries on the forwarding path.
package fpentry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgrant"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fplimit"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprate"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpserve"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fptable"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fphealth"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpregistry"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Config configures an Entry.
type Config struct {
	// VM is the name of the VM. Incarnation is higher after each start of it.
	VM          string
	Incarnation uint64
	// DataCentre and Region say where the VM runs.
	DataCentre string
	Region     string
	// RegionOf returns the region of a data centre, or "" if it is unknown.
	RegionOf func(dataCentre string) string
	// EntryVMs is the number of VMs that forward requests.
	EntryVMs int
	// Groups names the groups to poll.
	Groups []string
	// PollHold is how long a leader may hold a poll that has no updates.
	PollHold time.Duration
	// ReadIdle is the time without received data after which a connection to an upstream is pinged, and PingTimeout the wait
	// for the answer to a ping before the connection counts as silent. 0: the defaults of fpconn.
	ReadIdle    time.Duration
	PingTimeout time.Duration
	// ForwardsRequests states that the VM forwards requests. A VM without the role entry only follows the configuration.
	ForwardsRequests bool
	// Poll sends a poll to the leader of its group.
	Poll func(ctx context.Context, req *fpwire.PollRequest) (*fpwire.PollResponse, error)
	// Submit commits a command in a group.
	Submit func(ctx context.Context, group string, cmd *fpwire.Command) (*fpwire.CommandResult, error)
	// Configuration returns the configuration in force, or nil, and its version. Configure puts a newer one in force.
	Configuration func() (fpgrant.Position, *fpoperator.Configuration)
	Configure     func(version *fpoperator.Version, cfg *fpoperator.Configuration)
	// Schema returns the schema in force, or nil.
	Schema func() *fpschema.Schema
	// Count increments a counter. Nil: counters are not kept.
	Count func(name string)
	Log   *zap.Logger
}

// Entry is the state of an entry VM. Use New to create one.
type Entry struct {
	cfg        Config
	table      *fptable.Table
	registry   *fpregistry.Registry
	quarantine *fpquarantine.List
	// rates admits calls to upstreams that have named a request rate. It has no leader to call, so that each VM uses an equal
	// share.
	rates      *fprate.Limiter
	pools      *fpconn.Pools
	server     *fpserve.Server
	prober     *fphealth.Prober
	link       atomic.Pointer[fplimit.Link]
	tableMutex sync.RWMutex // held while table and registry are updated together
	probeCount int          // upstreams probed so far; only the goroutine of watchHealth uses it

	mutex    sync.Mutex
	services map[string]*service
	limiters map[string]*upstreamLimiter
}

// New returns an entry VM without tables. It serves once Run has fetched them.
func New(cfg Config) *Entry {
	ent := &Entry{
		cfg:        cfg,
		table:      fptable.New(fptable.Config{}),
		registry:   &fpregistry.Registry{},
		quarantine: fpquarantine.New(fpquarantine.Config{}),
		rates: fprate.NewLimiter(fprate.LimiterConfig{
			Entries: func() uint32 { return uint32(cfg.EntryVMs) },
			Changed: func(inc fprate.Incarnation, sta fprate.Statement) {
				cfg.Log.Info("request rate of an upstream changed", zap.String("upstream", inc.ID), zap.Uint64("incarnation", inc.Born),
					zap.Bool("limited", sta.Limited), zap.Float64("perSecond", sta.PerSecond))
			},
		}),
		pools: fpconn.New(fpconn.Config{
			ReadIdle:    cfg.ReadIdle,
			PingTimeout: cfg.PingTimeout,
			Count:       cfg.Count,
		}),
		prober:   fphealth.NewProber(fphealth.ProberConfig{}),
		services: map[string]*service{},
		limiters: map[string]*upstreamLimiter{},
	}
	ent.link.Store(fplimit.NewLink(fplimit.LinkConfig{}))
	ent.server = fpserve.New(fpserve.Config{
		Pools:       ent.pools,
		Schema:      cfg.Schema,
		MaxDeadline: ent.maxDeadline,
		Route:       ent.route,
		Choose:      ent.choose,
		Admit:       ent.admit,
		ObserveRate: ent.observeRate,

		ObserveLeaving: ent.observeLeaving,
		Retry:          ent.retry,
		ReportSuccess:  ent.recordSuccess,
		Claim:          ent.claim,
		Settle:         ent.settle,
		ReportCrash:    ent.reportCrash,
		IsQuarantined:  ent.isQuarantined,
		Count:          cfg.Count,
	})
	return ent
}

// Run polls all groups until ctx ends. done receives nil when all goroutines have ended.
func (ent *Entry) Run(ctx context.Context) (done <-chan error) {
	end := make(chan error, 1)
	var wgr sync.WaitGroup
	for _, group := range ent.cfg.Groups {
		wgr.Go(func() { ent.poll(ctx, group) })
	}
	if ent.cfg.ForwardsRequests {
		wgr.Go(func() { ent.watchHealth(ctx) })
	}
	go func() {
		wgr.Wait()
		end <- nil
	}()
	return end
}

// Close waits for the cancellation of abandoned requests and closes the connections to upstreams.
func (ent *Entry) Close() {
	ent.server.Close()
	ent.pools.Close()
}

// Handler returns the handler of callers' requests.
func (ent *Entry) Handler() http.Handler { return ent.server }

// Running returns the number of calls in flight.
func (ent *Entry) Running() int64 { return ent.server.Running() }

// PollsGroup reports whether this VM polls a group.
func (ent *Entry) PollsGroup(group string) bool { return slices.Contains(ent.cfg.Groups, group) }

// Table returns this VM's copy of the slot tables.
func (ent *Entry) Table() *fptable.Table { return ent.table }

// Registry returns the upstreams that the leaders have listed.
func (ent *Entry) Registry() *fpregistry.Registry { return ent.registry }

// Quarantine returns the quarantined requests.
func (ent *Entry) Quarantine() *fpquarantine.List { return ent.quarantine }

func (ent *Entry) count(name string) {
	if ent.cfg.Count != nil {
		ent.cfg.Count(name)
	}
}

// Reconfigure applies a configuration to the forwarding path.
func (ent *Entry) Reconfigure(cfg *fpoperator.Configuration) {
	ent.table.Configure(cfg.GetServices())
	ent.link.Store(fplimit.NewLink(fplimit.LinkConfig{
		Rate: int64(cfg.GetLinkRate()),
	}))
	ent.mutex.Lock()
	defer ent.mutex.Unlock()
	for _, ser := range ent.services {
		ser.drained = drainedSet(cfg)
	}
	ent.updateServices(cfg)
}

func drainedSet(cfg *fpoperator.Configuration) map[string]bool {
	set := map[string]bool{}
	for _, name := range cfg.GetDrainedUpstreams() {
		set[name] = true
	}
	return set
}

// updateUpstreams applies a changed list of upstreams to the connection pools and services.
func (ent *Entry) updateUpstreams() {
	_, cfg := ent.cfg.Configuration()
	ent.pools.Update(ent.registry.All())
	ent.mutex.Lock()
	defer ent.mutex.Unlock()
	ent.updateServices(cfg)
}

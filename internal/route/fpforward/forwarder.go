// Package fpforward serves requests of HTTP routes: it finds the route, chooses an upstream, sends the request there, and
// sends it to another upstream where that is safe.
//
// Each attempt of a caller has an id of its own, and a request that must run at most once is sent again only after proof
// that it did not run. No claim is committed for it as for calls with an idempotency key: a resend of the caller is a new
// request there, and the caller resends only what was refused as not run.
package fpforward

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fproute"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// Config configures a Forwarder.
type Config struct {
	DataCentre string
	// Region returns the region of a data centre.
	Region func(dataCentre string) string
	// Promises hold the limits on retries.
	Promises fpgateway.Promises
	// Link is the rate of the VM's link in bytes per second; 0 means that it is not known.
	Link float64
	// Memory is that of the process in bytes; 0 means that it is not limited.
	Memory int64
	// Settle is how long, beyond the time to open it, a new connection to an upstream that may be full is watched for a reset.
	// 0: 3 ms.
	ResetWait time.Duration
	Log       *zap.Logger
}

// Forwarder is an http.Handler. Use New to create one.
type Forwarder struct {
	cfg        Config
	region     string
	started    time.Time
	view       atomic.Pointer[view]
	counters   counters
	load       loadCounts
	priorities priorityTracker
	waits      waitTracker
	// bundles holds a place for each bundle that may be in flight.
	bundleSlots chan struct{}
	// bodies and answers are the memory for kept bodies of requests and for long kept answers, in bytes.
	bodyMemory, answerMemory *semaphore.Weighted
	pacers                   pacers
	// quarantine holds the requests that crash upstreams.
	quarantine *fpquarantine.List
	crashes    crashReports
	stopping   atomic.Bool
	// entries is the number of entry VMs that share the budget for retries.
	entries atomic.Uint32

	mutex    sync.Mutex
	changed  chan struct{} // closed and replaced with each view
	members  map[incarnation]*member
	budgets  map[string]*retryBudget
	splits   map[string]*splitter
	rng      *rand.Rand
	rngMutex sync.Mutex
}

// life is one life of an upstream.
type incarnation struct {
	id   string
	born uint64
}

// view is the state as this VM knows it. It is never changed.
type view struct {
	index     uint64
	table     *fproute.Table
	services  map[string][]*member
	upstreams map[string]*fpstate.Upstream
	keySpaces map[string]*fpstate.KeySpace
	active    map[incarnation]*member
	// quarantines are the requests that are or were refused, by digest.
	quarantines map[string]*fpstate.Quarantine
	updatedAt   time.Time
	// dataCentres is the number of data centres with upstreams.
	dataCentres int
}

// New returns a forwarder that knows no configuration.
func New(cfg Config) *Forwarder {
	cfg.ResetWait = cmp.Or(cfg.ResetWait, defaultResetWait)
	fwd := &Forwarder{
		cfg:          cfg,
		region:       cfg.Region(cfg.DataCentre),
		started:      time.Now(),
		changed:      make(chan struct{}),
		bundleSlots:  make(chan struct{}, bundleLimit(cfg.Link)),
		bodyMemory:   semaphore.NewWeighted(bodyMemory(cfg.Memory)),
		answerMemory: semaphore.NewWeighted(bodyMemory(cfg.Memory)),
		pacers:       newPacers(cfg.Link),
		quarantine: fpquarantine.New(fpquarantine.Config{
			Remember: suspectRetention,
		}),
		members: map[incarnation]*member{},
		budgets: map[string]*retryBudget{},
		splits:  map[string]*splitter{},
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	fwd.counters.init()
	fwd.entries.Store(1)
	fwd.view.Store(&view{
		upstreams:   map[string]*fpstate.Upstream{},
		keySpaces:   map[string]*fpstate.KeySpace{},
		quarantines: map[string]*fpstate.Quarantine{},
	})
	return fwd
}

// Update takes changes of the state up to an index. Only one goroutine may call it.
func (fwd *Forwarder) Update(sta *fpstate.State, index uint64, entries uint32) {
	if entries > 0 {
		fwd.entries.Store(entries)
	}
	old := fwd.view.Load()
	if fpdirectory.Empty(sta) {
		if index > old.index {
			next := *old
			next.index = index
			next.updatedAt = time.Now()
			fwd.view.Store(&next)
		}
		return
	}
	next := &view{
		index:     max(index, old.index),
		table:     old.table,
		upstreams: maps.Clone(old.upstreams),
		keySpaces: maps.Clone(old.keySpaces),
		updatedAt: time.Now(),
	}
	if cfg := sta.GetConfiguration(); cfg != nil && (old.table == nil || cfg.GetRevision() > old.table.Configuration().GetRevision()) {
		next.table = fproute.NewTable(cfg)
	}
	for _, ups := range sta.GetUpstreams() {
		if known := next.upstreams[ups.GetId()]; known.GetModified() < ups.GetModified() {
			next.upstreams[ups.GetId()] = ups
		}
	}
	for _, spa := range sta.GetKeySpaces() {
		if known := next.keySpaces[spa.GetService()]; known.GetModified() < spa.GetModified() {
			next.keySpaces[spa.GetService()] = fpdirectory.Merge(known, spa)
		}
	}
	next.quarantines = old.quarantines
	if len(sta.GetQuarantines()) > 0 {
		next.quarantines = maps.Clone(old.quarantines)
		for _, qua := range sta.GetQuarantines() {
			if known := next.quarantines[qua.GetDigest()]; known.GetModified() < qua.GetModified() {
				next.quarantines[qua.GetDigest()] = qua
			}
		}
		fwd.setQuarantine(next.quarantines)
	}
	fwd.install(next)
}

// refuse makes the requests that are quarantined the ones that this VM refuses.
func (fwd *Forwarder) setQuarantine(quarantines map[string]*fpstate.Quarantine) {
	var digests []string
	for digest, qua := range quarantines {
		if !qua.GetLifted() {
			digests = append(digests, digest)
		}
	}
	fwd.quarantine.Replace(controlGroup, digests)
}

// controlGroup is the name under which the quarantine of the control VMs is held.
const controlGroup = "control"

// adopt puts a view into force.
func (fwd *Forwarder) install(next *view) {
	fwd.mutex.Lock()
	defer fwd.mutex.Unlock()
	next.services = map[string][]*member{}
	next.active = map[incarnation]*member{}
	dataCentres := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(next.upstreams)) {
		ups := next.upstreams[id]
		inc := incarnation{
			id:   id,
			born: ups.GetBorn(),
		}
		if ups.GetGone() || ups.GetLeaving() {
			if mem := fwd.members[inc]; mem != nil && ups.GetGone() {
				mem.connections.Close()
				delete(fwd.members, inc)
			}
			continue
		}
		mem := fwd.members[inc]
		if mem == nil {
			mem = fwd.newMember(ups)
			fwd.members[inc] = mem
		}
		next.active[inc] = mem
		dataCentres[ups.GetDataCentre()] = true
		next.services[ups.GetService()] = append(next.services[ups.GetService()], mem)
	}
	for inc, mem := range fwd.members {
		if ups := next.upstreams[inc.id]; ups.GetBorn() != inc.born {
			fwd.recordCrash(mem, time.Now())
			mem.connections.Close()
			delete(fwd.members, inc)
		}
	}
	next.dataCentres = len(dataCentres)
	fwd.view.Store(next)
	close(fwd.changed)
	fwd.changed = make(chan struct{})
}

// next returns a channel that is closed when the view changes.
func (fwd *Forwarder) viewChanged() <-chan struct{} {
	fwd.mutex.Lock()
	defer fwd.mutex.Unlock()
	return fwd.changed
}

// Index returns the position of the state that is in force.
func (fwd *Forwarder) Index() uint64 { return fwd.view.Load().index }

// Configuration returns the configuration in force, or nil.
func (fwd *Forwarder) Configuration() *fpstate.Configuration {
	if tab := fwd.view.Load().table; tab != nil {
		return tab.Configuration()
	}
	return nil
}

// Ready reports whether requests can be served: a configuration and at least one upstream are known.
func (fwd *Forwarder) Ready() bool {
	vie := fwd.view.Load()
	return vie.table != nil && len(vie.active) > 0
}

// Stop makes the forwarder ask callers to leave their connections.
func (fwd *Forwarder) Stop() { fwd.stopping.Store(true) }

// Trim closes connections that are not used again.
func (fwd *Forwarder) Trim(now time.Time) {
	for _, mem := range fwd.view.Load().active {
		mem.connections.Trim(now)
	}
}

// random returns a number from 0 up to 1.
func (fwd *Forwarder) random() float64 {
	fwd.rngMutex.Lock()
	defer fwd.rngMutex.Unlock()
	return fwd.rng.Float64()
}

func (fwd *Forwarder) retryBudget(service string) *retryBudget {
	fwd.mutex.Lock()
	defer fwd.mutex.Unlock()
	bud := fwd.budgets[service]
	if bud == nil {
		bud = &retryBudget{
			ratio:  fwd.cfg.Promises.RetryShare,
			extra:  fwd.cfg.Promises.RetryExtra,
			window: fwd.cfg.Promises.RetryWindow,
		}
		fwd.budgets[service] = bud
	}
	return bud
}

// target chooses one of the services of a route, in the proportions of their weights.
func (fwd *Forwarder) chooseService(rou *fpstate.Route) string {
	if len(rou.GetTargets()) == 1 {
		return rou.GetTargets()[0].GetService()
	}
	fwd.mutex.Lock()
	defer fwd.mutex.Unlock()
	spl := fwd.splits[rou.GetName()]
	if spl == nil {
		spl = &splitter{}
		fwd.splits[rou.GetName()] = spl
	}
	return spl.next(rou.GetTargets())
}

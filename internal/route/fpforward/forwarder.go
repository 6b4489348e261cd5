// Package fpforward serves requests of HTTP routes: it finds the route, chooses an upstream, forwards the request, and
// retries it at another upstream where that is safe.
//
// Each attempt of a caller has its own id. A request that must run at most once is sent again only after proof that it did
// not run. Unlike for calls with an idempotency key, no claim is committed for it: a resend by the caller is a new request,
// and callers resend only requests that were refused as not run.
package fpforward

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fproute"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprate"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprelay"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fproom"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// Config configures a Forwarder.
type Config struct {
	// VM is the name of this VM.
	VM string
	// DataCentre is that of this VM.
	DataCentre string
	// Region returns the region of a data centre.
	Region func(dataCentre string) string
	// Promises hold the limits of retries.
	Promises fpgateway.Promises
	// LinkRate is the rate of the VM's network link in bytes per second; 0 means that it is not known.
	LinkRate float64
	// MemoryLimit is the memory limit of the process in bytes; 0 means that there is none.
	MemoryLimit int64
	// SharedPlaces states that this VM accounts the places of upstreams with the other entry VMs, through the leader.
	SharedPlaces bool
	// ResetWait is how long, beyond the time to open it, a new connection to an upstream that may be full is watched for a
	// reset before a request is sent. 0 means 3 ms.
	ResetWait time.Duration
	// Dial opens connections to upstreams. Nil: fpconn.Dial. Tests replace it to simulate lost paths.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  *zap.Logger
}

// Forwarder is an http.Handler that forwards requests to upstreams. Use New to create one. It is safe for concurrent use.
type Forwarder struct {
	cfg        Config
	region     string
	started    time.Time
	view       atomic.Pointer[view]
	counters   counters
	load       loadCounts
	priorities priorityTracker
	waits      waitTracker
	// bundlePermits is a semaphore with a permit for each bundle that may be in flight.
	bundlePermits chan struct{}
	// bodyMemory, answerMemory and smallAnswerMemory are the memory for buffered bodies of requests, for long buffered answers and for
	// answers of up to smallAnswerSize, in bytes.
	bodyMemory, answerMemory, smallAnswerMemory *semaphore.Weighted
	pacers                                      pacers
	// quarantine holds the requests that are refused or suspected because upstreams crashed while they ran them.
	quarantine *fpquarantine.List
	crashes    crashReports
	// rates admits requests to upstreams that have named a request rate for all entry VMs together.
	rates *fprate.Limiter
	// room counts the requests at upstreams, and admits those to upstreams that are nearly full.
	room *fproom.Limiter
	// evacuations are the evacuations that Update has received, by data centre.
	evacuations map[string]*fpstate.Evacuation
	// paths tracks the losses of this VM's own paths to upstreams. peers are the entry VMs that may relay requests instead,
	// peerPools the connections to them, and relayRoom bounds what this VM relays for others.
	paths     pathTracker
	peers     *fprelay.Peers
	peerPools peerPools
	relayRoom relayRoom
	// link measures the use of this VM's network link.
	link linkMeter
	// uploads admits uploads to it.
	uploads uploadLink
	// probeLimiter bounds the probes of lost paths.
	probeLimiter *rate.Limiter
	stop         stop
	answerTimes  answerTimes
	// entries is the number of entry VMs that share the budget for retries.
	entries atomic.Uint32
	// contactAt is when RecordContact was last called. Only the goroutine of Update uses it.
	contactAt time.Time
	// outdated states that the state may be older than one that was in force before this VM has started.
	outdated atomic.Bool

	mutex    sync.Mutex
	changed  chan struct{} // closed and replaced with each view
	members  map[incarnation]*member
	budgets  map[string]*retryBudget
	splits   map[string]*splitter
	rng      *rand.Rand
	rngMutex sync.Mutex
}

// incarnation identifies one run of an upstream's process.
type incarnation struct {
	id   string
	born uint64
}

// view is the replicated state as known to this VM, with tables for lookups. It is immutable.
type view struct {
	index uint64
	// table is nil without a configuration.
	table *fproute.Table
	// services are the active upstreams by service, upstreams all known ones by id, and keySpaces the ranges by service.
	services  map[string][]*member
	upstreams map[string]*fpstate.Upstream
	keySpaces map[string]*fpstate.KeySpace
	// active are the upstreams that are neither gone nor leaving.
	active map[incarnation]*member
	// quarantines are the requests that are or were refused, by digest.
	quarantines map[string]*fpstate.Quarantine
	updatedAt   time.Time
	// dataCentres is the number of data centres with active upstreams.
	dataCentres int
	// preferred are the upstreams that this VM prefers, or nil if it prefers all, as chosen for a number of entry VMs.
	preferred    map[*member]bool
	preferredFor uint32
	// evacuations are by data centre, with those that have ended, and evacuating states that any is active.
	evacuations map[string]evacuation
	evacuating  bool
}

// New returns a forwarder without a configuration. Update sets one.
func New(cfg Config) *Forwarder {
	cfg.ResetWait = cmp.Or(cfg.ResetWait, defaultResetWait)
	fwd := &Forwarder{
		cfg:               cfg,
		region:            cfg.Region(cfg.DataCentre),
		started:           time.Now(),
		changed:           make(chan struct{}),
		bundlePermits:     make(chan struct{}, bundleLimit(cfg.LinkRate)),
		bodyMemory:        semaphore.NewWeighted(bodyMemory(cfg.MemoryLimit)),
		answerMemory:      semaphore.NewWeighted(bodyMemory(cfg.MemoryLimit)),
		smallAnswerMemory: semaphore.NewWeighted(bodyMemory(cfg.MemoryLimit)),
		pacers:            newPacers(cfg.LinkRate),
		quarantine: fpquarantine.New(fpquarantine.Config{
			Retention: suspectRetention,
		}),
		members: map[incarnation]*member{},
		budgets: map[string]*retryBudget{},
		splits:  map[string]*splitter{},
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	fwd.rates = fprate.NewLimiter(fprate.LimiterConfig{
		Entries: fwd.entries.Load,
		Changed: fwd.logRate,
	})
	fwd.room = fwd.newRoom()
	fwd.link.rate = slowRate(cfg.LinkRate)
	fwd.uploads.init(fwd.link.rate)
	fwd.probeLimiter = rate.NewLimiter(probesPerSecond, probeBurst)
	fwd.peers = fprelay.NewPeers(&fpstate.EntryVM{
		Vm:         cfg.VM,
		DataCentre: cfg.DataCentre,
		Region:     fwd.region,
	})
	fwd.counters.init()
	fwd.stop.init()
	fwd.entries.Store(1)
	fwd.view.Store(&view{
		upstreams:   map[string]*fpstate.Upstream{},
		keySpaces:   map[string]*fpstate.KeySpace{},
		quarantines: map[string]*fpstate.Quarantine{},
	})
	return fwd
}

// Update applies the changes of the state up to an index and sets the number of entry VMs; 0 leaves the number as it is.
// Changes that are older than the known state have no effect. Only one goroutine may call it.
func (fwd *Forwarder) Update(sta *fpstate.State, index uint64, entries uint32) {
	if entries > 0 {
		fwd.entries.Store(entries)
	}
	old := fwd.view.Load()
	fwd.observeEvacuations(old, sta.GetEvacuations())
	if fpdirectory.IsEmpty(sta) {
		if index > old.index {
			next := *old
			next.index = index
			next.updatedAt = time.Now()
			if entries > 0 && entries != next.preferredFor {
				fwd.setPreferred(&next, entries)
			}
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
			next.keySpaces[spa.GetService()] = fpdirectory.MergeKeySpace(known, spa)
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
	next.setEvacuations(fwd.mergeEvacuations(old.evacuations, sta.GetEvacuations(), old.index == 0))
	fwd.install(next)
}

// setQuarantine replaces the requests that this VM refuses on decision of the control VMs, and those that were refused and whose
// crashes still count.
func (fwd *Forwarder) setQuarantine(quarantines map[string]*fpstate.Quarantine) {
	var refused, released []string
	for digest, qua := range quarantines {
		switch {
		case !qua.GetLifted():
			refused = append(refused, digest)
		case len(qua.GetCrashes()) > 0:
			released = append(released, digest)
		}
	}
	fwd.quarantine.Replace(controlGroup, refused)
	fwd.quarantine.Release(time.Now(), released)
}

// controlGroup is the name of the group of control VMs in the quarantine.
const controlGroup = "control"

// install completes a view and puts it into use. It creates members for new incarnations of upstreams and closes those of
// incarnations that are gone or have a successor.
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
				fwd.remove(inc, mem)
			}
			continue
		}
		mem := fwd.members[inc]
		if mem == nil {
			mem = fwd.newMember(ups)
			fwd.members[inc] = mem
			fwd.assumeColdStart(next, mem)
		}
		next.active[inc] = mem
		dataCentres[ups.GetDataCentre()] = true
		next.services[ups.GetService()] = append(next.services[ups.GetService()], mem)
	}
	for inc, mem := range fwd.members {
		if ups := next.upstreams[inc.id]; ups.GetBorn() != inc.born {
			fwd.recordCrash(mem, time.Now())
			fwd.remove(inc, mem)
		}
	}
	next.dataCentres = len(dataCentres)
	fwd.setPreferred(next, fwd.entries.Load())
	fwd.view.Store(next)
	close(fwd.changed)
	fwd.changed = make(chan struct{})
}

// remove removes a member that is no longer used. The caller holds the mutex.
func (fwd *Forwarder) remove(inc incarnation, mem *member) {
	mem.connections.Close()
	fwd.rates.Forget(mem.rateKey())
	fwd.room.Forget(mem.roomKey())
	fwd.rates.Forget(mem.coldKey())
	delete(fwd.members, inc)
}

// viewChanged returns a channel that is closed when the view changes. Get it before reading the view, so that no change is
// missed.
func (fwd *Forwarder) viewChanged() <-chan struct{} {
	fwd.mutex.Lock()
	defer fwd.mutex.Unlock()
	return fwd.changed
}

// Index returns the index of the state that is in force, or 0 if none is.
func (fwd *Forwarder) Index() uint64 { return fwd.view.Load().index }

// Configuration returns the configuration in force, or nil if none is.
func (fwd *Forwarder) Configuration() *fpstate.Configuration {
	if tab := fwd.view.Load().table; tab != nil {
		return tab.Configuration()
	}
	return nil
}

// Entries returns the number of entry VMs.
func (fwd *Forwarder) Entries() uint32 { return fwd.entries.Load() }

// Rates returns the limiter of requests to upstreams that have named a request rate.
func (fwd *Forwarder) Rates() *fprate.Limiter { return fwd.rates }

// Ready reports whether requests can be served: a configuration and at least one upstream are known.
func (fwd *Forwarder) Ready() bool {
	vie := fwd.view.Load()
	return vie.table != nil && len(vie.active) > 0
}

// CloseExpired closes the idle connections to upstreams that have ended or been idle too long.
func (fwd *Forwarder) CloseExpired(now time.Time) {
	for _, mem := range fwd.view.Load().active {
		mem.connections.CloseExpired(now)
	}
	fwd.peerPools.closeExpired(now)
	if !fwd.relayRoom.helping(now) {
		fwd.pacers.setFraction(fwd.cfg.LinkRate, pacedFraction)
	}
}

// random returns a random number in [0, 1).
func (fwd *Forwarder) random() float64 {
	fwd.rngMutex.Lock()
	defer fwd.rngMutex.Unlock()
	return fwd.rng.Float64()
}

// retryBudget returns the budget of a service.
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

// chooseService returns one of the services of a route. Requests are spread in proportion to the services' weights.
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

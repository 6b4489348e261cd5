package fpbalance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// spillLoad is the load per unit of concurrency from which an upstream counts as saturated and farther ones are
	// considered.
	spillLoad = 1.0
	// reservedFraction is the fraction of the upstreams of a region that get no bundles. Entry VMs do not see each other's
	// bundles, so no limit on one VM can keep the bundles of all VMs from filling an upstream. An upstream to which no VM
	// sends bundles cannot be filled by them.
	reservedFraction = 1.0 / 3
	// maxMeansAge is how long the means over all upstreams are reused.
	maxMeansAge = 10 * time.Millisecond
	// initialTypicalLatency is the typical latency until there is an answer.
	initialTypicalLatency = 10 * time.Millisecond
)

// Upstream describes an upstream that has announced itself.
type Upstream struct {
	Name        string
	Incarnation uint64
	DataCentre  string
	Region      string
	// Concurrency is the number of requests that the upstream runs at once.
	Concurrency int
}

// Report is the load that an upstream reports: the numbers of requests that it runs and that wait in its queue.
type Report struct {
	Running uint32
	Queued  uint32
}

// Call describes a request.
type Call struct {
	// Bundle states that the method has the size class of bundles, whose answers are large.
	Bundle bool
	// Bytes is the expected number of bytes to and from the upstream. They are taken from the budget of the link between
	// regions if the call crosses it.
	Bytes int64
	// Excluded are the names of upstreams that must not be chosen.
	Excluded []string
}

// Config configures a Balancer.
type Config struct {
	Policy Policy
	// SubsetSize bounds the number of upstreams of the service that this VM uses. 0 means all.
	SubsetSize int
	// VM is the name of the entry VM; it determines the subset.
	VM string
	// DataCentre and Region are the location of the entry VM.
	DataCentre string
	Region     string
	// TakeLinkBytes takes bytes from the budget of the link between regions and reports whether the budget had enough. If
	// nil, no call crosses the link.
	TakeLinkBytes func(now time.Time, bundle bool, bytes int64) bool
	// Rand is the source of random choices. If nil, a source with seed 1 is used.
	Rand *rand.Rand
}

// Balancer chooses upstreams of one service. Use New to create one. It is safe for concurrent use.
type Balancer struct {
	mutex        sync.Mutex
	cfg          Config
	members      map[string]*member
	tiers        [tierCount][]*member
	lastPosition int

	meansAt        time.Time
	meanOtherLoad  float64            // mean of the reported load of other VMs, per unit of concurrency
	lowestLatency  [tierCount]float64 // lowest mean latency of each tier in seconds, or 0
	typicalLatency time.Duration      // lowest mean latency of all tiers
	maxWeight      float64
}

// New returns a balancer without upstreams.
func New(cfg Config) *Balancer {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return &Balancer{
		cfg:            cfg,
		members:        map[string]*member{},
		typicalLatency: initialTypicalLatency,
	}
}

// Update replaces the list of upstreams. A new incarnation of an upstream starts with a low weight, which ramps up with its
// answers. Upstreams of the first list start with full weight, because then this VM is new and not the upstreams. If all of
// them had to ramp up, the first one to answer would get the load of all others.
func (bal *Balancer) Update(ups []Upstream) {
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	first := len(bal.members) == 0
	kept := map[string]*member{}
	for _, up := range bal.subset(ups) {
		mem, ok := bal.members[up.Name]
		if !ok || mem.up.Incarnation != up.Incarnation {
			mem = &member{
				usable: true,
			}
			if first {
				mem.answers = rampPerUnit * max(1, up.Concurrency)
			}
		}
		mem.up = up
		mem.distance = bal.distance(up)
		kept[up.Name] = mem
	}
	bal.members = kept
	bal.markBundleUpstreams(ups)
	bal.fillTiers()
	bal.meansAt = time.Time{}
}

// subset returns the upstreams that this VM uses: those with the highest rendezvous hash of VM and upstream. A change of the
// list then changes few members of the subset.
func (bal *Balancer) subset(ups []Upstream) []Upstream {
	if bal.cfg.SubsetSize <= 0 || len(ups) <= bal.cfg.SubsetSize {
		return ups
	}
	sorted := slices.Clone(ups)
	slices.SortFunc(sorted, func(one, two Upstream) int {
		return cmp.Compare(rendezvous(bal.cfg.VM, two.Name), rendezvous(bal.cfg.VM, one.Name))
	})
	return sorted[:bal.cfg.SubsetSize]
}

// rendezvous returns the rendezvous hash of a pair of names.
func rendezvous(one, two string) uint64 {
	return xxhash.Sum64String(one + "\x00" + two)
}

// distance returns the tier of an upstream.
func (bal *Balancer) distance(up Upstream) tier {
	switch {
	case up.DataCentre == bal.cfg.DataCentre:
		return sameDataCentre
	case up.Region == bal.cfg.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// markBundleUpstreams determines which upstreams may get bundles. All VMs get the same result, because it depends only on
// the names in each region.
func (bal *Balancer) markBundleUpstreams(ups []Upstream) {
	regions := map[string][]string{}
	for _, up := range ups {
		regions[up.Region] = append(regions[up.Region], up.Name)
	}
	for _, list := range regions {
		slices.SortFunc(list, func(one, two string) int {
			return cmp.Compare(rendezvous("bundle", one), rendezvous("bundle", two))
		})
		reserved := 0
		if len(list) > 1 {
			reserved = int(math.Ceil(reservedFraction * float64(len(list))))
		}
		for i, name := range list {
			if mem, ok := bal.members[name]; ok {
				mem.takesBundles = i >= reserved
			}
		}
	}
}

// fillTiers sets the members of each tier, ordered by name.
func (bal *Balancer) fillTiers() {
	bal.tiers = [tierCount][]*member{}
	for _, mem := range bal.members {
		bal.tiers[mem.distance] = append(bal.tiers[mem.distance], mem)
	}
	for _, list := range bal.tiers {
		slices.SortFunc(list, func(one, two *member) int { return cmp.Compare(one.up.Name, two.up.Name) })
	}
}

// SetUsable sets whether an upstream may be chosen. Ejected and draining upstreams may not. An unknown name has no effect.
func (bal *Balancer) SetUsable(name string, usable bool) {
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	if mem, ok := bal.members[name]; ok {
		mem.usable = usable
	}
}

// Readmit makes an ejected upstream usable again. It ramps up like a new one. An unknown name has no effect.
func (bal *Balancer) Readmit(name string) {
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	if mem, ok := bal.members[name]; ok {
		mem.usable = true
		mem.answers = 0
		mem.latency = 0
	}
}

// Report records the reported load of an upstream. An unknown name has no effect.
func (bal *Balancer) Report(now time.Time, name string, rep Report) {
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	if mem, ok := bal.members[name]; ok {
		mem.recordReport(now, rep)
	}
}

// Choose returns the name of the upstream for a call and counts the call as in flight there until Done. The error is of
// kind NoUpstream, or Overloaded if only upstreams in other regions can be chosen and the budget of the link is spent.
func (bal *Balancer) Choose(now time.Time, cal Call) (string, error) {
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	bal.refreshMeans(now)
	best := bal.chooseInRegion(now, cal)
	if best == nil || bal.load(now, best) >= spillLoad {
		far := bal.choose(now, otherRegion, cal)
		if far != nil && (best == nil || bal.load(now, far) < spillLoad) {
			switch {
			case bal.takeLink(now, cal):
				best = far
			case best == nil:
				return "", fperror.New(fperror.Overloaded, "the byte budget of the link between regions is spent")
			}
		}
	}
	if best == nil {
		return "", fperror.New(fperror.NoUpstream, "none of %d upstreams can be chosen", len(bal.members))
	}
	best.inFlight++
	return best.up.Name, nil
}

// chooseInRegion returns the choice in the own region, or nil if there is none. The own data centre is preferred unless its
// choice is saturated and that of the other data centres has a lower load.
func (bal *Balancer) chooseInRegion(now time.Time, cal Call) *member {
	local := bal.choose(now, sameDataCentre, cal)
	if local != nil && bal.load(now, local) < spillLoad {
		return local
	}
	sibling := bal.choose(now, sameRegion, cal)
	switch {
	case sibling == nil:
		return local
	case local == nil:
		return sibling
	case bal.load(now, sibling) < bal.load(now, local):
		return sibling
	default:
		return local
	}
}

// takeLink takes the bytes of a call from the budget of the link and reports whether the call may cross it.
func (bal *Balancer) takeLink(now time.Time, cal Call) bool {
	return bal.cfg.TakeLinkBytes != nil && bal.cfg.TakeLinkBytes(now, cal.Bundle, cal.Bytes)
}

// Done records the end of a call for which Choose returned the name. A nil error means a complete answer after the time
// took. Errors are of fperror kinds. An unknown name has no effect.
func (bal *Balancer) Done(now time.Time, name string, err error, took time.Duration) {
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	mem, ok := bal.members[name]
	if !ok {
		return
	}
	mem.inFlight = max(0, mem.inFlight-1)
	switch {
	case err == nil:
		mem.answers++
		mem.answersSinceReport++
		mem.recordLatency(now, took)
	case fperror.Is(err, fperror.UpstreamShed):
		mem.recordShed(now, shedHalfLives*bal.typicalLatency)
	}
}

// InFlight returns the number of requests of this VM in flight at an upstream, or 0 for an unknown name.
func (bal *Balancer) InFlight(name string) int {
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	if mem, ok := bal.members[name]; ok {
		return mem.inFlight
	}
	return 0
}

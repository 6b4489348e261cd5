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
	// spillLoad is the load per unit of concurrency from which an upstream counts as saturated, so that a farther one is
	// considered.
	spillLoad = 1.0
	// reservedPart is the part of the upstreams of a region that take no bundles. Entry VMs do not see each other's
	// bundles, so no limit on one VM can keep the bundles of all VMs from filling an upstream; an upstream that every VM
	// keeps free of bundles can not be filled by them.
	reservedPart = 1.0 / 3
	// meanAge is how long the means over all upstreams are reused.
	meanAge = 10 * time.Millisecond
	// typicalUnknown stands for the typical latency before the first answer.
	typicalUnknown = 10 * time.Millisecond
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

// Report is what an upstream says about its load.
type Report struct {
	Running uint32
	Queued  uint32
}

// Call describes a request.
type Call struct {
	// Bundle states that the method is of the size class for bundles.
	Bundle bool
	// Bytes is the expected number of bytes to and from the upstream, charged when the call crosses the link.
	Bytes int64
	// Tried names the upstreams that are left out.
	Tried []string
}

// Config configures a Balancer.
type Config struct {
	Policy Policy
	// Subset bounds the number of upstreams of the service that this VM uses. 0: all.
	Subset int
	// VM is the name of the entry VM; it determines the subset.
	VM string
	// DataCentre and Region are the location of the entry VM.
	DataCentre string
	Region     string
	// TakeLink spends bytes of the budget of the link between regions and reports whether the budget has them. Unset:
	// no call crosses the link.
	TakeLink func(now time.Time, bundle bool, bytes int64) bool
	// Rand makes the draws. Unset: a source with seed 1.
	Rand *rand.Rand
}

// Balancer chooses upstreams of one service. It is safe for concurrent use.
type Balancer struct {
	mut     sync.Mutex
	cfg     Config
	members map[string]*member
	tiers   [tierCount][]*member
	turn    int

	meansAt    time.Time
	meanOthers float64            // reported load of other VMs per unit
	lowest     [tierCount]float64 // lowest mean latency, seconds
	typical    time.Duration      // lowest mean latency of all tiers
	topWeight  float64
}

// New returns a balancer without upstreams.
func New(cfg Config) *Balancer {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return &Balancer{
		cfg:     cfg,
		members: map[string]*member{},
		typical: typicalUnknown,
	}
}

// Update replaces the list of upstreams. An upstream with a new incarnation starts as a newcomer. Those of the first list
// do not, because then it is the VM that is new; if all of them had to prove themselves, the first to answer would draw
// the load of all others.
func (bal *Balancer) Update(ups []Upstream) {
	bal.mut.Lock()
	defer bal.mut.Unlock()
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
	bal.markBundles(ups)
	bal.fillTiers()
	bal.meansAt = time.Time{}
}

// subset returns the upstreams that this VM uses: those with the highest rendezvous hash of VM and upstream, so that a
// change of the list changes few members of the subset.
func (bal *Balancer) subset(ups []Upstream) []Upstream {
	if bal.cfg.Subset <= 0 || len(ups) <= bal.cfg.Subset {
		return ups
	}
	sorted := slices.Clone(ups)
	slices.SortFunc(sorted, func(one, two Upstream) int {
		return cmp.Compare(rendezvous(bal.cfg.VM, two.Name), rendezvous(bal.cfg.VM, one.Name))
	})
	return sorted[:bal.cfg.Subset]
}

// rendezvous returns the hash of a pair of names.
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

// markBundles determines which upstreams may get bundles. All VMs come to the same result because it depends only on the
// names in each region.
func (bal *Balancer) markBundles(ups []Upstream) {
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
			reserved = int(math.Ceil(reservedPart * float64(len(list))))
		}
		for i, name := range list {
			if mem, ok := bal.members[name]; ok {
				mem.bundles = i >= reserved
			}
		}
	}
}

// fillTiers sorts the members by distance.
func (bal *Balancer) fillTiers() {
	bal.tiers = [tierCount][]*member{}
	for _, mem := range bal.members {
		bal.tiers[mem.distance] = append(bal.tiers[mem.distance], mem)
	}
	for _, list := range bal.tiers {
		slices.SortFunc(list, func(one, two *member) int { return cmp.Compare(one.up.Name, two.up.Name) })
	}
}

// SetUsable states whether an upstream may be chosen; ejected and draining ones may not.
func (bal *Balancer) SetUsable(name string, usable bool) {
	bal.mut.Lock()
	defer bal.mut.Unlock()
	if mem, ok := bal.members[name]; ok {
		mem.usable = usable
	}
}

// Readmit lets an ejected upstream be chosen again, with the share of a newcomer.
func (bal *Balancer) Readmit(name string) {
	bal.mut.Lock()
	defer bal.mut.Unlock()
	if mem, ok := bal.members[name]; ok {
		mem.usable = true
		mem.answers = 0
		mem.latency = 0
	}
}

// Report stores the reported load of an upstream.
func (bal *Balancer) Report(now time.Time, name string, rep Report) {
	bal.mut.Lock()
	defer bal.mut.Unlock()
	if mem, ok := bal.members[name]; ok {
		mem.report(now, rep)
	}
}

// Choose returns the name of the upstream for a call and counts the call as in flight there until Done. The error is of
// kind NoUpstream, or Overloaded when only the budget of the link forbids the call.
func (bal *Balancer) Choose(now time.Time, cal Call) (string, error) {
	bal.mut.Lock()
	defer bal.mut.Unlock()
	bal.refreshMeans(now)
	best := bal.near(now, cal)
	if best == nil || bal.load(now, best) >= spillLoad {
		far := bal.pick(now, otherRegion, cal)
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

// near returns the choice in the own region, or nil. The own data centre is preferred until its choice is saturated and
// the other data centre has a better one.
func (bal *Balancer) near(now time.Time, cal Call) *member {
	local := bal.pick(now, sameDataCentre, cal)
	if local != nil && bal.load(now, local) < spillLoad {
		return local
	}
	sibling := bal.pick(now, sameRegion, cal)
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

// takeLink spends the call's bytes.
func (bal *Balancer) takeLink(now time.Time, cal Call) bool {
	return bal.cfg.TakeLink != nil && bal.cfg.TakeLink(now, cal.Bundle, cal.Bytes)
}

// Done counts the end of a call that Choose placed. A nil error is a complete answer, and took is then the time of the
// attempt; other errors are of fperror kinds.
func (bal *Balancer) Done(now time.Time, name string, err error, took time.Duration) {
	bal.mut.Lock()
	defer bal.mut.Unlock()
	mem, ok := bal.members[name]
	if !ok {
		return
	}
	mem.inFlight = max(0, mem.inFlight-1)
	switch {
	case err == nil:
		mem.answers++
		mem.since++
		mem.observe(now, took)
	case fperror.Is(err, fperror.UpstreamShed):
		mem.shed(now, shedHalfLives*bal.typical)
	}
}

// InFlight returns the number of requests of this VM in flight on an upstream.
func (bal *Balancer) InFlight(name string) int {
	bal.mut.Lock()
	defer bal.mut.Unlock()
	if mem, ok := bal.members[name]; ok {
		return mem.inFlight
	}
	return 0
}

package fproom

import (
	"fmt"
	"io"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpurgency"
)

const (
	// learnTime is how long a new leader gives no places, because it does not know all uses yet.
	learnTime = 600 * time.Millisecond
	// demandRetention is how long places are kept for more urgent requests of other VMs that got none.
	demandRetention = 500 * time.Millisecond
	// forgetTime is how long a part of the target is reserved for a silent VM. It is above limitRetention.
	forgetTime = 12 * time.Second
	// mentionInterval is the time after which a VM is told of the limited upstreams that it does not use.
	mentionInterval = 600 * time.Millisecond
	// sweepInterval is the time between searches for silent VMs and for limits that end.
	sweepInterval = 50 * time.Millisecond
	// objectiveRetention is how long the shortest objective holds.
	objectiveRetention = 2 * time.Second
	// meanWeight is the weight of one reported mean in their moving mean.
	meanWeight = 0.1
	// maxLoadAge is the age up to which a load report counts.
	maxLoadAge = 300 * time.Millisecond
	// headroomDivisor is the part of the slots that less urgent requests leave free, and seenRetention how long they do so.
	headroomDivisor = 2
	seenRetention   = 2 * time.Second
	// ceilingStep is the time after which the target of an upstream that was full rises by one place.
	ceilingStep = 2 * time.Second
)

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	// Slots returns the number of requests that an upstream runs at once, or 0 if it is not known.
	Slots func(inc Incarnation) int
	// Changed is called when an upstream becomes limited or free, with its places in use. Nil: changes are not reported. It must not
	// call the ledger.
	Changed func(inc Incarnation, limited bool, inUse, target int)
}

// Ledger sums up the places in use while its VM leads, and gives places of limited upstreams to entry VMs. Use NewLedger to create one.
// It is safe for concurrent use.
type Ledger struct {
	cfg LedgerConfig

	mutex     sync.Mutex
	term      uint64
	termAt    time.Time
	sweptAt   time.Time
	entries   uint32
	users     map[string]*user
	silent    int // users without places because they are silent
	upstreams map[Incarnation]*account

	reports, granted, missing, limits int64
}

// user is an entry VM that takes part in the accounting.
type user struct {
	heardAt time.Time
	silent  bool
	// mentionedAt is when it was told of all limited upstreams.
	mentionedAt time.Time
	held        map[Incarnation]int
}

// account holds the places of one upstream.
type account struct {
	slots int
	// held is the number of places that VMs use or have been granted.
	held            int
	mean, objective time.Duration
	objectiveAt     time.Time
	load            int
	loadAt          time.Time
	limited         bool
	limitedAt       time.Time
	// busyAt is when the places in use were last at the slots or above, or the upstream was full.
	busyAt time.Time
	// ceiling bounds the target as of ceilingAt, because the upstream was full below it. 0: none.
	ceiling   int
	ceilingAt time.Time
	// demands are the requests of VMs that got no place.
	demands map[string]demand
	// seenAt is when a request of each priority last needed a place.
	seenAt [classes/fpurgency.ClassesPerPriority + 1]time.Time
}

// demand is the number of requests without a place, by class.
type demand struct {
	at      time.Time
	missing [classes]int
}

// NewLedger returns a ledger that knows no uses.
func NewLedger(cfg LedgerConfig) *Ledger {
	return &Ledger{
		cfg:       cfg,
		users:     map[string]*user{},
		upstreams: map[Incarnation]*account{},
	}
}

// Report replaces the uses of a VM, and returns the limited upstreams that it has to know, with the places that it gets. term is the
// term of leadership, and entries the number of entry VMs. A new term begins with an empty ledger.
func (led *Ledger) Report(now time.Time, term uint64, vm string, entries uint32, uses []Use) []Grant {
	led.mutex.Lock()
	defer led.mutex.Unlock()
	if term != led.term {
		led.term, led.termAt, led.silent = term, now, 0
		clear(led.users)
		clear(led.upstreams)
	}
	led.entries = max(1, entries)
	led.reports++
	led.sweep(now)
	usr := led.users[vm]
	if usr == nil {
		usr = &user{}
		led.users[vm] = usr
	}
	previous := usr.heardAt
	if usr.silent {
		usr.silent = false
		led.silent--
	}
	usr.heardAt = now
	led.replace(now, vm, usr, uses)
	return led.answer(now, vm, usr, previous, uses)
}

// replace replaces the places that a VM holds by those that it reports.
func (led *Ledger) replace(now time.Time, vm string, usr *user, uses []Use) {
	led.release(usr)
	usr.held = make(map[Incarnation]int, len(uses))
	for _, use := range uses {
		acc := led.account(use.Incarnation)
		if acc == nil {
			continue
		}
		held := max(0, use.InFlight) + max(0, use.Unused)
		usr.held[use.Incarnation] += held
		acc.held += held
		acc.observe(now, use)
		delete(acc.demands, vm)
		waiting := 0
		for _, count := range use.Waiting {
			waiting += max(0, count)
		}
		led.update(now, use.Incarnation, acc, waiting, use.Full)
	}
}

// release takes back all places of a VM.
func (led *Ledger) release(usr *user) {
	for inc, held := range usr.held {
		if acc := led.upstreams[inc]; acc != nil {
			acc.held -= held
		}
	}
	usr.held = nil
}

// account returns the account of an upstream, or nil if it is not known.
func (led *Ledger) account(inc Incarnation) *account {
	slots := led.cfg.Slots(inc)
	if slots <= 0 {
		return nil
	}
	acc := led.upstreams[inc]
	if acc == nil {
		acc = &account{
			demands: map[string]demand{},
		}
		led.upstreams[inc] = acc
	}
	acc.slots = slots
	return acc
}

// observe records the times and the load that a VM reports.
func (acc *account) observe(now time.Time, use Use) {
	if use.Mean > 0 {
		if acc.mean == 0 {
			acc.mean = use.Mean
		}
		acc.mean += time.Duration(meanWeight * float64(use.Mean-acc.mean))
	}
	if use.Objective > 0 && (acc.objective == 0 || use.Objective <= acc.objective || now.Sub(acc.objectiveAt) > objectiveRetention) {
		acc.objective, acc.objectiveAt = use.Objective, now
	}
	if at := now.Add(-use.LoadAge); use.LoadAge >= 0 && at.After(acc.loadAt) {
		acc.load, acc.loadAt = use.Load, at
	}
}

// inUse returns the places in use: those of the VMs that report, or the requests by a fresh load report of the upstream, which shows
// also those of other VMs.
func (acc *account) inUse(now time.Time) int {
	if now.Sub(acc.loadAt) <= maxLoadAge {
		return max(acc.held, acc.load)
	}
	return acc.held
}

// target returns the number of places that may be in use.
func (acc *account) target(now time.Time) int {
	target := Target(acc.slots, acc.mean, acc.objective)
	if acc.ceiling > 0 {
		target = min(target, acc.ceiling+int(now.Sub(acc.ceilingAt)/ceilingStep))
	}
	return target
}

// update decides whether an upstream is limited. waiting is the number of requests of a VM that wait for places there, and full states
// that it had no room for a request.
func (led *Ledger) update(now time.Time, inc Incarnation, acc *account, waiting int, full bool) {
	used := acc.inUse(now)
	if full {
		if target := acc.target(now); used < target {
			acc.ceiling, acc.ceilingAt = max(int(limitFactor*float64(acc.slots)), min(used, target-1)), now
		}
	}
	if full || used >= acc.slots {
		acc.busyAt = now
	}
	switch limit := full || float64(used+waiting) >= limitFactor*float64(acc.slots); {
	case limit && !acc.limited:
		acc.limited, acc.limitedAt = true, now
		led.limits++
	case acc.limited && now.Sub(acc.busyAt) > freeTime:
		acc.limited = false
		clear(acc.demands)
	default:
		return
	}
	if led.cfg.Changed != nil {
		led.cfg.Changed(inc, acc.limited, used, acc.target(now))
	}
}

// sweep takes back the places of silent VMs, ends limits, and forgets upstreams that are not used.
func (led *Ledger) sweep(now time.Time) {
	if now.Sub(led.sweptAt) < sweepInterval {
		return
	}
	led.sweptAt = now
	for vm, usr := range led.users {
		age := now.Sub(usr.heardAt)
		if age > silenceTimeout && !usr.silent {
			led.release(usr)
			usr.silent = true
			led.silent++
		}
		if age > forgetTime {
			delete(led.users, vm)
			led.silent--
		}
	}
	for inc, acc := range led.upstreams {
		led.update(now, inc, acc, 0, false)
	}
	maps.DeleteFunc(led.upstreams, func(inc Incarnation, acc *account) bool {
		gone := led.cfg.Slots(inc) <= 0
		if gone && acc.limited && led.cfg.Changed != nil {
			led.cfg.Changed(inc, false, 0, 0)
		}
		return gone || !acc.limited && acc.held == 0 && now.Sub(acc.busyAt) > forgetTime
	})
}

// answer returns what a VM has to know. previous is when it has reported before.
func (led *Ledger) answer(now time.Time, vm string, usr *user, previous time.Time, uses []Use) []Grant {
	var grants []Grant
	named := map[Incarnation]bool{}
	learning := now.Sub(led.termAt) < learnTime
	for _, use := range uses {
		acc := led.upstreams[use.Incarnation]
		if acc == nil || named[use.Incarnation] {
			continue
		}
		named[use.Incarnation] = true
		waits := use.Waiting != [classes]int{}
		switch {
		case learning && waits:
			// Under the last leader the upstream was limited, and its uses are not all known yet.
			grants = append(grants, Grant{
				Incarnation: use.Incarnation,
				Wait:        learnTime - now.Sub(led.termAt),
			})
		case acc.limited && !learning:
			gra := led.grant(now, vm, acc, use)
			for _, count := range gra.Granted {
				usr.held[use.Incarnation] += count
			}
			grants = append(grants, gra)
		case acc.limited:
			grants = append(grants, Grant{
				Incarnation: use.Incarnation,
				Wait:        acc.wait(acc.available(now, led.reserve(acc, now))),
			})
		}
	}
	all := now.Sub(usr.mentionedAt) >= mentionInterval
	if all {
		usr.mentionedAt = now
	}
	for inc, acc := range led.upstreams {
		if acc.limited && !named[inc] && (all || !acc.limitedAt.Before(previous)) {
			grants = append(grants, Grant{
				Incarnation: inc,
				Wait:        acc.wait(acc.available(now, led.reserve(acc, now))),
			})
		}
	}
	return grants
}

// reserve returns the part of the target that silent VMs may use as their equal share.
func (led *Ledger) reserve(acc *account, now time.Time) int {
	return int(math.Ceil(float64(acc.target(now)) * float64(led.silent) / float64(max(led.entries, uint32(len(led.users))))))
}

// available returns the number of free places.
func (acc *account) available(now time.Time, reserve int) int {
	return acc.target(now) - reserve - acc.inUse(now)
}

// grant gives a VM places as far as there are any, to its more urgent requests first. Places are left for the more urgent requests of
// other VMs that got none lately.
func (led *Ledger) grant(now time.Time, vm string, acc *account, use Use) Grant {
	gra := Grant{
		Incarnation: use.Incarnation,
	}
	available := acc.available(now, led.reserve(acc, now))
	maps.DeleteFunc(acc.demands, func(_ string, dem demand) bool { return now.Sub(dem.at) > demandRetention })
	var others [classes]int
	for _, dem := range acc.demands {
		for class, count := range dem.missing {
			others[class] += count
		}
	}
	missing := demand{
		at: now,
	}
	ahead, lacking := 0, 0
	wait := time.Duration(-1)
	for class, waiting := range use.Waiting {
		waiting = max(0, waiting)
		usable := available - ahead - acc.headroom(now, class)
		got := min(waiting, max(0, usable))
		available -= got
		if got < waiting && wait < 0 {
			wait = acc.wait(usable - got)
		}
		acc.held += got
		led.granted += int64(got)
		gra.Granted[class] = got
		missing.missing[class] = waiting - got
		lacking += waiting - got
		ahead += others[class]
		if waiting > 0 {
			acc.seenAt[priorityOf(class)] = now
		}
	}
	led.missing += int64(lacking)
	if lacking > 0 {
		acc.demands[vm] = missing
	}
	if gra.Wait = wait; wait < 0 {
		gra.Wait = acc.wait(available - ahead)
	}
	return gra
}

// headroom returns the number of places that requests of a class leave free, because there have been requests of a more urgent priority
// lately, which shall not wait for a place.
func (acc *account) headroom(now time.Time, class int) int {
	for _, at := range acc.seenAt[:priorityOf(class)] {
		if now.Sub(at) <= seenRetention {
			return max(1, acc.slots/headroomDivisor)
		}
	}
	return 0
}

// priorityOf returns the priority of a class.
func priorityOf(class int) int { return class / fpurgency.ClassesPerPriority }

// wait returns the time until there is a place, given the number of free places less that of requests without one.
func (acc *account) wait(free int) time.Duration {
	if free > 0 {
		return 0
	}
	mean := acc.mean
	if mean <= 0 {
		mean = defaultMean
	}
	return min(maxRetryAfter, time.Duration(float64(1-free)*float64(mean)/float64(max(1, acc.slots))))
}

// InUse returns the places of an upstream that VMs hold, and whether it is limited.
func (led *Ledger) InUse(inc Incarnation) (held int, limited bool) {
	led.mutex.Lock()
	defer led.mutex.Unlock()
	acc := led.upstreams[inc]
	if acc == nil {
		return 0, false
	}
	return acc.held, acc.limited
}

// WriteMetrics writes all metrics as lines with a name and a value. Errors of the writer are ignored.
func (led *Ledger) WriteMetrics(out io.Writer) {
	led.mutex.Lock()
	defer led.mutex.Unlock()
	limited, held := 0, 0
	for _, acc := range led.upstreams {
		held += acc.held
		if acc.limited {
			limited++
		}
	}
	fmt.Fprintf(out, "placesInUse %d\nplacesLimitedUpstreams %d\nplacesVMs %d\nplacesSilentVMs %d\n", held, limited, len(led.users), led.silent)
	fmt.Fprintf(out, "placesReports %d\nplacesGranted %d\nplacesMissing %d\nplacesLimits %d\n", led.reports, led.granted, led.missing, led.limits)
}

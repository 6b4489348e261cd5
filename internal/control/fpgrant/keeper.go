package fpgrant

import (
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Defaults of KeeperConfig and of the services of a configuration.
const (
	DefaultLease          = time.Second
	DefaultDrift          = 0.01
	DefaultTableValidity  = time.Second
	DefaultSettle         = time.Second
	DefaultRebalanceEvery = 5 * time.Second
	DefaultHoldDown       = 30 * time.Second
	DefaultMaxDeadline    = 30 * time.Second
	// DefaultMinGain lets a new upstream fill up to nine tenths of the busiest one.
	DefaultMinGain = 0.05
)

const (
	// announceSilence is how long an upstream may be silent before it leaves the list. It announces itself every second.
	announceSilence = 5 * time.Second
	// memory is how long a silent upstream that owns nothing is remembered, so that its return is known to be one.
	memory = 10 * time.Minute
	// maxSetLog bounds the changes of one upstream's set that are kept to build a delta.
	maxSetLog = 65536
	// relearn is how long a VM that just began to hear announcements waits for one of each owner: two announcement
	// intervals and the time to answer a grant.
	relearn = 2500 * time.Millisecond
	// proposalTimeout is how long a proposal may be undecided before it is made again. A repeated proposal is harmless,
	// because the table refuses it unless epoch and state are still the expected ones.
	proposalTimeout = time.Second
	// updatesPerCommand bounds one UpdateSlots command to about 300 KB.
	updatesPerCommand = 4096
	// maxPending bounds the slots in undecided proposals.
	maxPending = 16 * updatesPerCommand
	// moveCheck is the interval of ticks while slots move and a wait may end by time alone.
	moveCheck = 20 * time.Millisecond
)

// KeeperConfig is the input of NewKeeper. Zero durations mean the defaults.
type KeeperConfig struct {
	Group string
	// Term and Elected are the leader's term and the time of its election. The Table must have applied every entry of
	// earlier terms.
	Term    uint64
	Elected time.Time
	// HearsSince is when this VM began to hear announcements. Zero: long before the election.
	HearsSince time.Time
	// Lease is the lease of upstreams and Drift the bound of the clocks' relative error.
	Lease         time.Duration
	Drift         float64
	TableValidity time.Duration
	Table         *Table
	// Keyed reports whether the schema declares a key for the service. Nil: every service is keyed.
	Keyed func(service string) bool
	// Quarantined returns the group's quarantined requests. Nil: none.
	Quarantined func() []string
	// Settle is how long a service that never had an owner waits for more upstreams before its first assignment.
	Settle         time.Duration
	RebalanceEvery time.Duration
}

// SendGrant asks the caller to send a Grant to the upstream and to hand the answer to GrantAnswer.
type SendGrant struct {
	Upstream *fpcontract.Upstream
	Request  *fpcontract.GrantRequest
}

// Actions is what the leader has to do after a tick.
type Actions struct {
	Grants    []SendGrant
	Proposals []*fpwire.UpdateSlots
	// Next is the time of the next tick at the latest.
	Next time.Time
}

// Keeper decides as a group's leader during one term. The leader calls NewKeeper, Configure and Announcements.Replay after
// its election. From then on it passes each announcement, answer to a grant and poll to the Keeper, and ticks: it sends
// the grants and proposes the updates of the Actions, and answers polls with PollAnswer. An upstream must meet four rules
// for one owner to hold: it refuses a lower term, and within a term a version below the highest one it had; it reports
// version 0 once its lease has ended; it confirms a removed slot only when no request for it runs any more.
//
// A Keeper is not safe for concurrent use, and it reads the Table in every
// method, so the caller must not change the Table at the same time. A Keeper must be dropped when its term ends.
type Keeper struct {
	cfg     KeeperConfig
	started time.Time

	configuration *fpoperator.Configuration
	configVersion Position
	services      map[string]*fpoperator.Service
	drained       map[string]bool

	holders  map[string]*holder
	order    []*holder // in order of first contact, so that decisions are deterministic
	registry uint64

	viewers map[viewerKey]*viewer

	followed Position
	scanned  uint32 // cells below this index have been looked at
	stages   []stage
	weights  []float32 // busy seconds per second
	measured []float32 // busy seconds since the last round
	scales   map[uint32]*scale
	free     map[uint32][]uint32 // free cells by service; entries may be outdated
	firstUp  map[string]time.Time
	batches  []*batch
	moving   map[string]int // moving slots by service
	ready    []uint32       // cells at stageReady without a proposal
	requests []proposal
	pending  int
	incoming map[uint32]string // future owner of cells in undecided proposals
	hot      hotKeys
	nextLoad time.Time
	lastLoad time.Time
}

// stage is the progress of a cell's move, with flags.
type stage uint8

const (
	// stageStill is a cell that does not move.
	stageStill stage = iota
	// stageViewers waits for the entry VMs, step 2 of a move.
	stageViewers
	// stageHolder waits for the old owner, step 3 of a move.
	stageHolder
	// stageReady may get a new owner.
	stageReady

	stageMask stage = 0x0f
	// flagPending marks a cell in an undecided proposal.
	flagPending stage = 0x10
	// flagForfeit marks a cell whose owner restarted: the new incarnation never held it.
	flagForfeit stage = 0x20
)

func (sta stage) step() stage { return sta & stageMask }

type proposal struct {
	at   time.Time
	refs []uint32
	upd  *fpwire.UpdateSlots
	full bool // no further updates belong into the command
}

// NewKeeper returns the Keeper of a leader that was just elected.
func NewKeeper(cfg KeeperConfig) *Keeper {
	setDefault(&cfg.Lease, DefaultLease)
	setDefault(&cfg.TableValidity, DefaultTableValidity)
	setDefault(&cfg.Settle, DefaultSettle)
	setDefault(&cfg.RebalanceEvery, DefaultRebalanceEvery)
	if cfg.Drift == 0 {
		cfg.Drift = DefaultDrift
	}
	kee := &Keeper{
		cfg:      cfg,
		services: map[string]*fpoperator.Service{},
		drained:  map[string]bool{},
		holders:  map[string]*holder{},
		viewers:  map[viewerKey]*viewer{},
		scales:   map[uint32]*scale{},
		free:     map[uint32][]uint32{},
		firstUp:  map[string]time.Time{},
		moving:   map[string]int{},
		incoming: map[uint32]string{},
		scanned:  1,
		nextLoad: cfg.Elected.Add(cfg.RebalanceEvery),
		lastLoad: cfg.Elected,
		hot:      newHotKeys(),
	}
	for id := 1; id < len(cfg.Table.owners); id++ {
		if own := cfg.Table.owners[id]; own.count > 0 {
			kee.holder(own.name)
		}
	}
	kee.follow()
	for _, hol := range kee.order {
		hol.version = kee.firstVersion()
		hol.forgetLog()
	}
	// A slot that the earlier leader began to move is granted to nobody until the move ends: its owner may have restarted.
	for ref := range kee.stages {
		if kee.stages[ref].step() == stageViewers {
			kee.stages[ref] |= flagForfeit
		}
	}
	return kee
}

func setDefault(dur *time.Duration, def time.Duration) {
	if *dur == 0 {
		*dur = def
	}
}

// stretch returns a duration lengthened by the drift bound, for waits on another machine's clock.
func (kee *Keeper) stretch(dur time.Duration) time.Duration {
	return dur + time.Duration(float64(dur)*kee.cfg.Drift)
}

// Configure sets the configuration in force. An older version than the one set changes nothing.
func (kee *Keeper) Configure(version Position, cfg *fpoperator.Configuration) {
	if version.Less(kee.configVersion) {
		return
	}
	kee.configVersion = version
	kee.configuration = cfg
	kee.services = map[string]*fpoperator.Service{}
	for _, ser := range cfg.GetServices() {
		kee.services[ser.GetName()] = ser
	}
	kee.drained = map[string]bool{}
	for _, name := range cfg.GetDrainedUpstreams() {
		kee.drained[name] = true
	}
}

func (kee *Keeper) keyed(service string) bool {
	return kee.cfg.Keyed == nil || kee.cfg.Keyed(service)
}

func (kee *Keeper) maxDeadline(service string) time.Duration {
	if dur := kee.services[service].GetMaxDeadline(); dur != nil {
		return dur.AsDuration()
	}
	return DefaultMaxDeadline
}

func (kee *Keeper) holdDown(service string) time.Duration {
	if dur := kee.services[service].GetHoldDown(); dur != nil {
		return dur.AsDuration()
	}
	return DefaultHoldDown
}

func (kee *Keeper) minGain(service string) float64 {
	if gain := kee.services[service].GetMinGain(); gain > 0 {
		return gain
	}
	return DefaultMinGain
}

// Tick makes all decisions that are due. The caller ticks at Actions.Next at the latest, and soon after Announce, Poll or
// GrantAnswer returned true and after every change of the Table.
func (kee *Keeper) Tick(now time.Time) Actions {
	kee.follow()
	act := Actions{
		Next: now.Add(kee.cfg.Lease / 4),
	}
	kee.expireProposals(now)
	kee.forgetSilent(now)
	kee.releaseLost(now)
	kee.advanceMoves(now)
	kee.measure(now)
	kee.place(now)
	act.Proposals = kee.takeProposals(now)
	act.Grants = kee.grants(now, &act.Next)
	if len(kee.moving) > 0 || len(act.Proposals) > 0 {
		earlier(&act.Next, now.Add(moveCheck))
	}
	earlier(&act.Next, kee.nextLoad)
	return act
}

func earlier(at *time.Time, other time.Time) {
	if other.Before(*at) {
		*at = other
	}
}

// follow takes over the changes of the table since the last call.
func (kee *Keeper) follow() {
	tab := kee.cfg.Table
	size := uint32(len(tab.cells))
	kee.stages = append(kee.stages, make([]stage, size-min(size, uint32(len(kee.stages))))...)
	kee.weights = append(kee.weights, make([]float32, size-min(size, uint32(len(kee.weights))))...)
	kee.measured = append(kee.measured, make([]float32, size-min(size, uint32(len(kee.measured))))...)
	if kee.followed != tab.version {
		for ref := tab.newest; ref != 0 && kee.followed.Less(tab.position(ref)); ref = tab.cells[ref].older {
			kee.changed(ref)
		}
		kee.followed = tab.version
	}
	for ; kee.scanned < size; kee.scanned++ {
		if cel := &tab.cells[kee.scanned]; cel.state == stateFree && cel.changed == 0 {
			kee.addFree(kee.scanned)
		}
	}
}

// changed takes over the new state of one cell.
func (kee *Keeper) changed(ref uint32) {
	tab := kee.cfg.Table
	cel := &tab.cells[ref]
	kee.settle(ref)
	old := kee.stages[ref]
	switch cel.state {
	case stateOwned:
		kee.stop(ref)
		kee.stages[ref] = stageStill
		kee.hot.end(ref)
		hol := kee.holder(tab.owners[cel.owner].name)
		hol.load += float64(kee.weight(ref))
		if hol.upstream != nil && hol.published != hol.upstream {
			// Entry VMs send the slot's requests to the process that they were told, which is an earlier one.
			kee.stages[ref] = flagForfeit
			hol.forfeited, hol.owing = true, true
			return
		}
		hol.change(ref, true)
	case stateReleasing:
		if old.step() == stageStill {
			kee.stages[ref] = old&flagForfeit | stageViewers
			kee.startMove(ref)
		}
	case stateFree:
		kee.stop(ref)
		kee.stages[ref] = stageStill
		kee.addFree(ref)
	default:
		kee.stop(ref)
		kee.stages[ref] = stageStill
	}
}

// stop counts a cell as no longer moving.
func (kee *Keeper) stop(ref uint32) {
	if kee.stages[ref].step() == stageStill {
		return
	}
	name := kee.serviceOf(ref)
	kee.moving[name]--
	if kee.moving[name] == 0 {
		delete(kee.moving, name)
	}
}

func (kee *Keeper) serviceOf(ref uint32) string {
	return kee.cfg.Table.services[kee.cfg.Table.name(ref).service].name
}

func (kee *Keeper) addFree(ref uint32) {
	id := kee.cfg.Table.name(ref).service
	kee.free[id] = append(kee.free[id], ref)
}

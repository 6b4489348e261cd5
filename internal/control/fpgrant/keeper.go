package fpgrant

import (
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Defaults of KeeperConfig and of the services in a configuration.
const (
	DefaultLease                = time.Second
	DefaultMaxClockDrift        = 0.01
	DefaultTableValidity        = time.Second
	DefaultFirstAssignmentDelay = time.Second
	DefaultRebalanceEvery       = 5 * time.Second
	DefaultHoldDown             = 30 * time.Second
	DefaultMaxDeadline          = 30 * time.Second
	// DefaultMinGain is a fraction of the load of the busiest upstream. With it, rebalancing fills a new upstream up to
	// nine tenths of that load.
	DefaultMinGain = 0.05
)

const (
	// announceTimeout is the time without announcements, which come every second, after which an upstream may be removed
	// from the list for entry VMs.
	announceTimeout = 5 * time.Second
	// silentRetention is how long a silent upstream that owns nothing is remembered, so that its return is recognized.
	silentRetention = 10 * time.Minute
	// maxSetLog bounds the changes of one upstream's set that are kept to build deltas.
	maxSetLog = 65536
	// discoveryWindow is how long a VM that just began to receive announcements waits for one from each owner: two
	// announcement intervals and the time to answer a grant.
	discoveryWindow = 2500 * time.Millisecond
	// proposalTimeout is how long a proposal may be undecided before it is repeated. That is safe, because the table refuses
	// an update unless epoch and state are the expected ones.
	proposalTimeout = time.Second
	// updatesPerCommand bounds one UpdateSlots command to about 300 KB.
	updatesPerCommand = 4096
	// maxPending bounds the slots and split keys in undecided proposals.
	maxPending = 16 * updatesPerCommand
	// moveTickInterval is the interval between ticks while slots move, because a step of a move may end by a timeout.
	moveTickInterval = 20 * time.Millisecond
)

// KeeperConfig is the input of NewKeeper. Durations and MaxClockDrift have defaults, which apply if they are zero.
type KeeperConfig struct {
	Group string
	// Term and Elected are the leader's term and the time of its election. The Table must have applied all log entries of
	// earlier terms.
	Term    uint64
	Elected time.Time
	// AnnouncementsSince is when this VM began to receive announcements. Zero: long before the election.
	AnnouncementsSince time.Time
	// Lease is the duration of a lease that is granted to an upstream.
	Lease time.Duration
	// MaxClockDrift bounds the relative error between the clocks of two machines, for example 0.01 for 1 %.
	MaxClockDrift float64
	// TableValidity is how long after sending a poll an entry VM may use the table that the answer confirms.
	TableValidity time.Duration
	// Table is the replicated table of the group. It is required.
	Table *Table
	// Keyed reports whether the schema declares a key for the service. Nil: every service is keyed.
	Keyed func(service string) bool
	// Quarantined returns the digests of the group's quarantined requests. Nil: none.
	Quarantined func() []string
	// FirstAssignmentDelay is how long a service whose slots never had an owner waits for more upstreams, from its first
	// eligible upstream to the assignment of the slots.
	FirstAssignmentDelay time.Duration
	// RebalanceEvery is the duration of a load measurement round, at whose end slots are rebalanced.
	RebalanceEvery time.Duration
}

// GrantCall is a Grant that the caller must send to the upstream. The caller passes the answer to Keeper.GrantAnswer.
type GrantCall struct {
	Upstream *fpcontract.Upstream
	Request  *fpcontract.GrantRequest
}

// Actions is what the leader must do after a tick: send the grants and propose the updates.
type Actions struct {
	Grants    []GrantCall
	Proposals []*fpwire.UpdateSlots
	// Next is the latest time of the next tick.
	Next time.Time
}

// Keeper makes the decisions of a group's leader during one term. After its election the leader calls NewKeeper, Configure
// and Announcements.Replay. From then on it passes announcements, answers to grants and polls to the Keeper, answers polls
// with PollAnswer, and calls Tick, whose Actions it carries out.
//
// No slot has two owners at a time as long as each upstream follows four rules: it refuses a term below the highest it has
// confirmed; it refuses, within a term, a version below the highest it had; it reports version 0 once its lease has ended;
// and it confirms a removed slot only when no request for it runs any more.
//
// A Keeper is not safe for concurrent use. Every method reads the Table, so the caller must not change the Table meanwhile.
// A Keeper must not be used after its term.
type Keeper struct {
	cfg     KeeperConfig
	started time.Time

	configuration *fpoperator.Configuration
	configVersion Position
	services      map[string]*fpoperator.Service
	drained       map[string]bool

	holders         map[string]*holder
	order           []*holder // in order of first contact, so that decisions are deterministic
	registryVersion uint64    // of the list of upstreams for entry VMs

	vms map[vmKey]*vmState

	syncedVersion   Position
	scanned         uint32                  // cells below this index have been added to free, if they are free and never changed
	stages          []stage                 // by cell
	loads           []float32               // by cell; moving average in busy seconds per second
	busySeconds     []float32               // by cell; since the last round
	serviceLoads    map[uint32]*serviceLoad // by index in Table.services
	free            map[uint32][]uint32     // free cells by service; entries may be outdated
	firstEligible   map[string]time.Time    // when a service first had an eligible upstream
	batches         []*batch                // with cells at stageVMs
	moving          map[string]int          // moving slots by service
	ready           []uint32                // cells at stageReady without a proposal
	proposals       []proposal
	pending         int               // cells with flagPending
	incoming        map[uint32]string // future owner of cells in undecided proposals
	hot             hotKeys
	nextMeasurement time.Time // end of the current round
	lastMeasurement time.Time // end of the previous round
}

// stage is the progress of a cell's move, combined with flags. A move has these steps: a log entry with the state releasing
// begins it. All entry VMs confirm that they send the old owner no more requests for the cell. The old owner confirms that
// no request for the cell runs, or its lease expires. A log entry then sets the new owner with a higher epoch.
type stage uint8

const (
	// stageNone is a cell that does not move.
	stageNone stage = iota
	// stageVMs waits for the entry VMs.
	stageVMs
	// stageOwner waits for the old owner.
	stageOwner
	// stageReady may get a new owner.
	stageReady

	stageMask stage = 0x0f
	// flagPending marks a cell in an undecided proposal.
	flagPending stage = 0x10
	// flagStale marks a cell that an earlier incarnation of its owner held or may have held. It is not granted to the
	// current incarnation before it has been released.
	flagStale stage = 0x20
)

func (sta stage) step() stage { return sta & stageMask }

// proposal is a command that changes cells. It is kept until all its cells are decided.
type proposal struct {
	sentAt time.Time // zero until a tick returned the command
	refs   []uint32
	upd    *fpwire.UpdateSlots
	sealed bool // no further updates may be added to the command
}

// NewKeeper returns a Keeper for a leader that was just elected.
func NewKeeper(cfg KeeperConfig) *Keeper {
	setDefault(&cfg.Lease, DefaultLease)
	setDefault(&cfg.TableValidity, DefaultTableValidity)
	setDefault(&cfg.FirstAssignmentDelay, DefaultFirstAssignmentDelay)
	setDefault(&cfg.RebalanceEvery, DefaultRebalanceEvery)
	if cfg.MaxClockDrift == 0 {
		cfg.MaxClockDrift = DefaultMaxClockDrift
	}
	kee := &Keeper{
		cfg:             cfg,
		services:        map[string]*fpoperator.Service{},
		drained:         map[string]bool{},
		holders:         map[string]*holder{},
		vms:             map[vmKey]*vmState{},
		serviceLoads:    map[uint32]*serviceLoad{},
		free:            map[uint32][]uint32{},
		firstEligible:   map[string]time.Time{},
		moving:          map[string]int{},
		incoming:        map[uint32]string{},
		scanned:         1,
		nextMeasurement: cfg.Elected.Add(cfg.RebalanceEvery),
		lastMeasurement: cfg.Elected,
		hot:             newHotKeys(),
	}
	for id := 1; id < len(cfg.Table.owners); id++ {
		if own := cfg.Table.owners[id]; own.count > 0 {
			kee.holder(own.name)
		}
	}
	kee.syncTable()
	for _, hol := range kee.order {
		hol.setVersion = kee.firstVersion()
		hol.resetLog()
	}
	// A slot that an earlier leader began to move is granted to no upstream until the move ends, because its owner may have
	// restarted.
	for ref := range kee.stages {
		if kee.stages[ref].step() == stageVMs {
			kee.stages[ref] |= flagStale
		}
	}
	return kee
}

func setDefault(dur *time.Duration, def time.Duration) {
	if *dur == 0 {
		*dur = def
	}
}

// withDrift returns a duration lengthened by the drift bound, for waits until that time has passed on another machine's
// clock.
func (kee *Keeper) withDrift(dur time.Duration) time.Duration {
	return dur + time.Duration(float64(dur)*kee.cfg.MaxClockDrift)
}

// Configure sets the configuration in force. A version older than the current one is ignored.
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

// Tick makes all decisions that are due. The caller must call it again by Actions.Next, and should call it soon after
// Announce, Poll or GrantAnswer returned true and after every change of the Table.
func (kee *Keeper) Tick(now time.Time) Actions {
	kee.syncTable()
	act := Actions{
		Next: now.Add(kee.cfg.Lease / 4),
	}
	kee.expireProposals(now)
	kee.removeSilent(now)
	kee.releaseUnavailable(now)
	kee.advanceMoves(now)
	kee.endMeasurement(now)
	kee.assignSlots(now)
	act.Proposals = kee.takeProposals(now)
	act.Grants = kee.dueGrants(now, &act.Next)
	if len(kee.moving) > 0 || len(act.Proposals) > 0 {
		setEarlier(&act.Next, now.Add(moveTickInterval))
	}
	setEarlier(&act.Next, kee.nextMeasurement)
	return act
}

// setEarlier sets at to other if other is earlier.
func setEarlier(at *time.Time, other time.Time) {
	if other.Before(*at) {
		*at = other
	}
}

// syncTable applies the changes of the table since the last call to the Keeper's state.
func (kee *Keeper) syncTable() {
	tab := kee.cfg.Table
	size := uint32(len(tab.cells))
	kee.stages = append(kee.stages, make([]stage, size-min(size, uint32(len(kee.stages))))...)
	kee.loads = append(kee.loads, make([]float32, size-min(size, uint32(len(kee.loads))))...)
	kee.busySeconds = append(kee.busySeconds, make([]float32, size-min(size, uint32(len(kee.busySeconds))))...)
	if kee.syncedVersion != tab.version {
		for ref := tab.newest; ref != 0 && kee.syncedVersion.Less(tab.position(ref)); ref = tab.cells[ref].older {
			kee.syncCell(ref)
		}
		kee.syncedVersion = tab.version
	}
	for ; kee.scanned < size; kee.scanned++ {
		if cel := &tab.cells[kee.scanned]; cel.state == stateFree && cel.changed == 0 {
			kee.addFree(kee.scanned)
		}
	}
}

// syncCell applies the new state of one cell.
func (kee *Keeper) syncCell(ref uint32) {
	tab := kee.cfg.Table
	cel := &tab.cells[ref]
	kee.clearPending(ref)
	old := kee.stages[ref]
	switch cel.state {
	case stateOwned:
		kee.endMove(ref)
		kee.stages[ref] = stageNone
		kee.hot.finish(ref)
		hol := kee.holder(tab.owners[cel.owner].name)
		hol.load += float64(kee.weight(ref))
		if hol.upstream != nil && hol.published != hol.upstream {
			// Entry VMs send the slot's requests to the published incarnation, which is an earlier one.
			kee.stages[ref] = flagStale
			hol.hasStale, hol.ownsStale = true, true
			return
		}
		hol.recordChange(ref, true)
	case stateReleasing:
		if old.step() == stageNone {
			kee.stages[ref] = old&flagStale | stageVMs
			kee.startMove(ref)
		}
	case stateFree:
		kee.endMove(ref)
		kee.stages[ref] = stageNone
		kee.addFree(ref)
	default:
		kee.endMove(ref)
		kee.stages[ref] = stageNone
	}
}

// endMove counts a cell as no longer moving.
func (kee *Keeper) endMove(ref uint32) {
	if kee.stages[ref].step() == stageNone {
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

// Package fpkeeper decides which upstream holds each contiguous range of keys, and when a range may go to another upstream.
//
// A Keeper is a state machine without I/O for the leader of the control VMs. Its inputs are the replicated ranges, the
// results of orders and the current time; its outputs are orders to upstreams and changes of the ranges.
//
// # When a range may go to another upstream
//
// An upstream holds a range until the hold time has passed since a grant or renewal arrived there, measured by its own
// clock, which may run slow. The keeper knows only that a call arrived before it was answered or abandoned. An abandoned
// call may take effect later, even after a release, but its hold time still counts from its arrival. The keeper therefore
// records for each fence
//
//   - the expiry, which is the latest time until which the holder may hold its keys: the hold time, an allowance for
//     clock drift and a slack for bytes in transit after the end of the last call;
//   - the end of uncertainty, which is the same time for the last call without an answer. An uncertain range gets a new
//     fence at the same holder. The uncertainty ends when a grant under the new fence is answered, because the holder then
//     refuses lower fences. An answer on a connection that has carried an earlier order may be that to the earlier one, sent once
//     more; it confirms the grant, but the range gets a new fence, too, before it is released, and a grant under it is answered on
//     a new connection (Order.Proof).
//
// A range may go to another upstream after its expiry, after the first release was answered and its uncertainty has ended,
// or when a later incarnation is known at the holder's address under another id, and has answered there for itself
// (Result.Misdirected, RecordEnded). The announcement alone proves nothing, because anyone may send it; the holder is then asked for a release.
// A later incarnation at that address under the same id accepts the orders, so the range goes to this incarnation. One at another
// address doesn't prove that the holder has ended. While a release without an answer may still take effect, the answer to
// another one of the same keys is no proof. A grant is sent only after the change of its range is committed.
//
// A new leader knows nothing of the calls of its predecessor, whose leader lease has ended by then. It restarts all expiries and
// uncertainties when it takes over, gives all ranges a new fence, and counts with lost releases where releases have ended
// (InheritRelease).
package fpkeeper

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// DefaultHold is the hold time of a grant. It is longer than an election (at most 1.6 s) with the renewals before and
	// after it, and bounds how long the keys of a lost upstream have no owner.
	DefaultHold = 7 * time.Second
	// DefaultRenewal is the time between renewals, about a quarter of the hold time.
	DefaultRenewal = 1500 * time.Millisecond
	// retryBackoff is the time between attempts of a failed order. For grants, it doubles with each connection that could
	// not be opened, up to the renewal interval.
	retryBackoff = 150 * time.Millisecond
	// maxConnectFailures is how often opening a connection for the first grant of a range may fail before another upstream
	// is chosen.
	maxConnectFailures = 1
	// maxUnansweredGrants is how many grants for a range are sent without an answer before the next one waits for an
	// announcement of the upstream.
	maxUnansweredGrants = 2
	// maxUncertainWait is how long a move waits for the uncertainty of its range to end. If it takes longer, the move is
	// cancelled.
	maxUncertainWait = 500 * time.Millisecond
	// firstPartitionDelay is how long the first partition waits after the number of upstreams last changed, so that all of
	// them get their share of the keys and no moves are needed right after. Upstreams announce themselves within one
	// announcement interval. maxFirstPartitionDelay bounds the wait since the first upstream was seen.
	firstPartitionDelay    = 1200 * time.Millisecond
	maxFirstPartitionDelay = 5 * time.Second
	// MaxKey is the highest key.
	MaxKey = 65535
)

// Action is what an order tells an upstream to do.
type Action uint8

// The actions of an order: Grant gives a range to an upstream or renews it, and Release takes it back.
const (
	Grant Action = iota
	Release
)

// Order is a call to an upstream that grants or releases a range of keys.
type Order struct {
	Service  string
	Action   Action
	Upstream *fpstate.Upstream
	Range    *fpstate.Range
	// Hold is how long the upstream holds the range after a grant arrives.
	Hold time.Duration
	// Proof states that the answer to a grant has to be its own for certain, and not that to an earlier order, sent once more.
	Proof bool
}

// Result is the outcome of an order.
type Result struct {
	// Answered states that the upstream confirmed the order.
	Answered bool
	// Fenced states that the upstream has seen a higher fence, and the order had no effect.
	Fenced bool
	// NotSent states that no connection could be opened, and the order had no effect.
	NotSent bool
	// Misdirected states that another upstream answers at the address, and the order did not reach its own.
	Misdirected bool
	// Withheld states that the order was not sent because the leader could not confirm its leader lease. It says nothing
	// about the upstream.
	Withheld bool
	// Uncertain states that an earlier attempt of the order got no answer and may still take effect later.
	Uncertain bool
	// Unproven states that the answer may be that to an earlier order, sent once more: the order may take effect later.
	Unproven bool
	// Handover is what the upstream returned for the next holder.
	Handover string
}

// Change is a list of changes of ranges of one service that have to be committed together and in this order. The zero
// value changes nothing.
type Change struct {
	steps []Step
}

// Step is the change of one range.
type Step struct {
	// Range replaces all ranges that it overlaps. A fence of 0 stands for the next fence.
	Range *fpstate.Range
	// Reason is for the log.
	Reason string
}

// Steps returns the changes of single ranges in their order.
func (cha *Change) Steps() []Step { return cha.steps }

// add appends ranges that change for one reason.
func (cha *Change) add(reason string, ranges []*fpstate.Range) {
	for _, ran := range ranges {
		cha.steps = append(cha.steps, Step{
			Range:  ran,
			Reason: reason,
		})
	}
}

// View is the replicated state of one service, with what the leader knows about its upstreams.
type View struct {
	Service string
	// Ranges are ordered by their first keys.
	Ranges []*fpstate.Range
	// Upstreams are those of the service that have not left.
	Upstreams []*fpstate.Upstream
	// Lookup returns the newest known incarnation of an upstream, which may have left, or nil if the id is unknown.
	Lookup func(id string) *fpstate.Upstream
	// LastSeen returns when an upstream last announced itself, or the zero time if that is unknown. Nil means that it is unknown
	// for all upstreams.
	LastSeen func(ups *fpstate.Upstream) time.Time
	// AtAddress returns the upstream of any service with this address that has not left, or nil.
	AtAddress func(address string) *fpstate.Upstream
	// NamedRate returns the requests per second that an upstream takes from all VMs together, and false if it has named no
	// rate. Nil means that none has.
	NamedRate func(ups *fpstate.Upstream) (perSecond float64, limited bool)
	// Excluded reports whether an upstream must hold no keys although it neither leaves nor has left. Nil means that none is excluded.
	Excluded func(ups *fpstate.Upstream) bool
	// Cold reports whether an upstream is cold, so that it gets keys only as far as NamedRate suffices for their load. Nil: none is.
	Cold func(ups *fpstate.Upstream) bool
}

// rangeID identifies a range by its first key, fence and phase.
type rangeID struct {
	service string
	first   uint32
	fence   uint64
	phase   fpstate.Phase
}

// task is the state of the orders for one range in one phase.
type task struct {
	inFlight bool
	// connectFailures counts the connections that could not be opened.
	connectFailures int
	// unansweredGrants counts the grants since the last answered one, and lastGrantEnd is when the last grant that was not
	// withheld ended.
	unansweredGrants int
	lastGrantEnd     time.Time
	nextAttempt      time.Time // when the next order may be sent
	nextSearch       time.Time // when another holder may be searched for after none was better
	// confirmed states that the upstream confirmed an order of this phase.
	confirmed bool
	// proofFailed states that a grant before a release was sent and not confirmed.
	proofFailed bool
	// releaseLost states that a release of the keys, perhaps in an earlier phase, got no answer. The upstream may answer the next
	// one at once, although work on the keys goes on.
	releaseLost bool
	// handover is what the holder returned for the next holder.
	handover string
}

// Config configures a Keeper. Zero fields stand for the defaults.
type Config struct {
	// Hold is the hold time of a grant; 0 means DefaultHold.
	Hold time.Duration
	// Renewal is the time between renewals of a grant; 0 means DefaultRenewal.
	Renewal time.Duration
}

// Keeper plans the placement of keys for one term of leadership. Use New to create one. It is not safe for concurrent use.
type Keeper struct {
	cfg   Config
	start time.Time // when the leadership started
	// previousMaxFence is the highest fence that an earlier leader may have granted.
	previousMaxFence uint64
	leases           map[uint64]*lease // by fence
	tasks            map[rangeID]*task
	// targets holds the ids of the upstreams to which ranges in the releasing phase are to move.
	targets map[rangeID]string
	// decidedReleases holds the releases of fences of an earlier leader that this keeper has decided.
	decidedReleases map[rangeID]bool
	// The following maps are by service.
	preparedMoves   map[string][]preparedMove
	firstPartitions map[string]*firstPartition
	loads           map[string]*Load
	lastRebalance   map[string]time.Time // when moves were last searched for
	lastRefence     map[string]time.Time // when ranges that need a new fence were last searched for
	grantLimiters   map[string]*rate.Limiter
	// grantsInFlight is by the id of the upstream.
	grantsInFlight map[string]int
	// holdDowns holds the upstreams that lost keys because they answered no grants.
	holdDowns map[incarnation]*holdDown
	// signsOfLife holds when the incarnations last answered an order, or else when a view first showed them.
	signsOfLife  map[incarnation]time.Time
	lostReleases map[serviceHolder][]lostRelease
	// successions is by the id of the upstream.
	successions map[string][]succession
	// holders holds the last announcements of the incarnations that hold ranges, or have held some.
	holders map[incarnation]*fpstate.Upstream
	// misdirected holds the incarnations at whose address another upstream has answered.
	misdirected map[incarnation]bool
	// pending holds the last change of each service until its outcome is known.
	pending map[string]*pendingChange
	audit   holdAudit
	// assignment is that of the current call of Plan.
	assignment assignment
}

// New returns the keeper of a leadership that starts now. lastFence is the highest fence that may have been granted before.
func New(now time.Time, lastFence uint64, cfg Config) *Keeper {
	if cfg.Hold == 0 {
		cfg.Hold = DefaultHold
	}
	if cfg.Renewal == 0 {
		cfg.Renewal = DefaultRenewal
	}
	return &Keeper{
		cfg:              cfg,
		start:            now,
		previousMaxFence: lastFence,
		leases:           map[uint64]*lease{},
		tasks:            map[rangeID]*task{},
		targets:          map[rangeID]string{},
		decidedReleases:  map[rangeID]bool{},
		preparedMoves:    map[string][]preparedMove{},
		firstPartitions:  map[string]*firstPartition{},
		loads:            map[string]*Load{},
		lostReleases:     map[serviceHolder][]lostRelease{},
		successions:      map[string][]succession{},
		lastRebalance:    map[string]time.Time{},
		lastRefence:      map[string]time.Time{},
		grantLimiters:    map[string]*rate.Limiter{},
		grantsInFlight:   map[string]int{},
		holdDowns:        map[incarnation]*holdDown{},
		signsOfLife:      map[incarnation]time.Time{},
		holders:          map[incarnation]*fpstate.Upstream{},
		misdirected:      map[incarnation]bool{},
		pending:          map[string]*pendingChange{},
		audit: holdAudit{
			holds: map[string][]hold{},
			ends:  map[incarnation]time.Time{},
		},
	}
}

// Load returns the load of a service, which starts empty.
func (kee *Keeper) Load(service string) *Load {
	loa := kee.loads[service]
	if loa == nil {
		loa = newLoad()
		kee.loads[service] = loa
	}
	return loa
}

// HandleResult processes the result of an order that Plan returned.
func (kee *Keeper) HandleResult(now time.Time, ord Order, res Result) {
	tas := kee.tasks[rangeIDOf(ord.Service, ord.Range)]
	if tas != nil {
		tas.inFlight = false
	}
	if res.Answered {
		kee.signsOfLife[incarnationOf(ord.Range)] = now
	}
	if res.Misdirected {
		kee.misdirected[incarnationOf(ord.Range)] = true
		res.NotSent = !res.Uncertain // its upstream did not get it
	}
	if ord.Action == Grant {
		kee.handleGrantResult(now, ord, res, tas)
		return
	}
	if res.Answered {
		kee.audit.released(ord.Service, ord.Range)
	}
	lost := !res.NotSent && !res.Withheld && (!res.Answered || res.Uncertain)
	if lost {
		kee.recordLostRelease(now, now, ord.Service, ord.Range)
	}
	if tas == nil {
		return
	}
	tas.nextAttempt = now.Add(retryBackoff)
	tas.releaseLost = tas.releaseLost || lost
	if res.Answered {
		tas.confirmed = true
		tas.handover = res.Handover
	}
}

func (kee *Keeper) handleGrantResult(now time.Time, ord Order, res Result, tas *task) {
	lea := kee.lease(now, ord.Range)
	lea.grantsInFlight--
	kee.grantsInFlight[ord.Upstream.GetId()]--
	if !res.Fenced && !res.NotSent && !res.Withheld {
		lea.mayHaveArrived = true
		lea.expiry = later(lea.expiry, kee.latestExpiry(now))
		kee.audit.granted(now, ord, res.Answered, kee.latestExpiry(now))
		if res.Answered && res.Unproven {
			lea.unprovenUntil = kee.latestExpiry(now)
		}
		if res.Answered {
			lea.inheritedUntil = time.Time{}
		}
		if !res.Answered || res.Uncertain {
			lea.uncertainUntil = later(lea.uncertainUntil, kee.latestExpiry(now))
		}
	}
	if tas == nil {
		return
	}
	tas.nextAttempt = now.Add(min(kee.cfg.Renewal, retryBackoff<<min(tas.connectFailures, 8)))
	if res.Withheld {
		return
	}
	tas.lastGrantEnd = now
	switch {
	case ord.Range.GetPhase() == fpstate.Phase_PHASE_RELEASING && !res.NotSent:
		tas.proofFailed = !res.Answered
		tas.nextAttempt = now // the release
	case res.Answered:
		tas.confirmed = true
		tas.unansweredGrants = 0
		tas.nextAttempt = now.Add(kee.cfg.Renewal)
	case res.NotSent:
		tas.connectFailures++
	default:
		tas.unansweredGrants++
	}
}

// pausesRenewal reports whether no renewals are sent to an upstream that does not answer. Each grant may arrive even without
// an answer and then delays when the keys can go to another upstream, so the next one waits for an announcement of the
// upstream.
func pausesRenewal(vie View, tas *task, ups *fpstate.Upstream) bool {
	if tas.unansweredGrants < maxUnansweredGrants {
		return false
	}
	return vie.LastSeen == nil || !vie.LastSeen(ups).After(tas.lastGrantEnd)
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

func rangeIDOf(service string, ran *fpstate.Range) rangeID {
	return rangeID{
		service: service,
		first:   ran.GetFirst(),
		fence:   ran.GetFence(),
		phase:   ran.GetPhase(),
	}
}

// Plan returns the orders that are due and the change of ranges to commit. After a change, Plan returns none for the service until
// HandleCommit was called with its outcome; the view may show the change before.
func (kee *Keeper) Plan(now time.Time, vie View) ([]Order, Change) {
	if pen := kee.pending[vie.Service]; pen != nil {
		if !pen.settled(now) {
			return kee.planOrders(now, vie, pen), Change{}
		}
		delete(kee.pending, vie.Service)
	}
	orders, cha := kee.planChange(now, vie)
	if len(cha.steps) > 0 {
		kee.startPending(now, vie, cha)
	}
	return orders, cha
}

// planChange does what Plan does while no change of the service is pending.
func (kee *Keeper) planChange(now time.Time, vie View) ([]Order, Change) {
	var cha Change
	if len(vie.Ranges) == 0 {
		cha.add("first partition", kee.firstRanges(now, vie))
		return nil, cha
	}
	kee.assignment = assignment{}
	kee.dropPreparedMoves(now, vie)
	kee.recordUpstreams(now, vie)
	var orders []Order
	var renewals []dueGrant
	var granted, leaving, assigned, kept, prepared, evicted []*fpstate.Range
	for _, ran := range vie.Ranges {
		tas := kee.task(now, vie.Service, ran)
		holder := kee.holder(vie, ran)
		successor := successorOf(vie, ran, holder)
		switch {
		case ran.GetUpstream() == "" || kee.addressTaken(vie, ran, holder):
			kee.audit.ended(now, vie.Service, ran, kee.latestExpiry(now))
			assigned = append(assigned, kee.assign(now, vie, ran, "")...)
		case canSucceed(vie.Service, successor):
			kee.recordSuccession(now, vie.Service, ran, tas)
			assigned = append(assigned, assignedTo(ran, successor, ""))
		case ran.GetPhase() == fpstate.Phase_PHASE_RELEASING && !tas.inFlight && kee.shouldCancelMove(now, vie, ran, holder):
			kept = append(kept, withPhase(ran, fpstate.Phase_PHASE_GRANTING))
		case ran.GetPhase() == fpstate.Phase_PHASE_RELEASING:
			orders, assigned = kee.continueRelease(now, vie, ran, tas, holder, orders, assigned)
		case kee.lostHolder(now, vie.Service, ran, tas) && !noOtherUpstream(vie, ran) && kee.giveUpHolder(now, vie, ran, tas, holder):
			assigned = append(assigned, kee.assign(now, vie, ran, "")...)
		case (holder.GetLeaving() || holder.GetGone()) && !kee.lostHolder(now, vie.Service, ran, tas):
			leaving = append(leaving, kee.releaseOfLeaving(now, vie.Service, ran))
		case holder == nil || holder.GetLeaving() || holder.GetGone():
		case kee.moveIsReady(now, vie.Service, ran):
			prepared = append(prepared, kee.startPreparedMove(vie.Service, ran))
		case kee.withholds(now, vie, ran, holder):
			evicted = append(evicted, kee.evict(now, vie, ran)...)
		default:
			if vie.excludes(holder) {
				if moved := kee.evict(now, vie, ran); len(moved) > 0 {
					evicted = append(evicted, moved...)
					continue
				}
			}
			if ran.GetPhase() == fpstate.Phase_PHASE_GRANTING && tas.confirmed {
				granted = append(granted, withPhase(ran, fpstate.Phase_PHASE_SERVING))
			}
			renewals = kee.appendRenewal(now, vie, ran, tas, holder, renewals)
		}
	}
	orders = kee.grantOrders(now, vie, renewals, orders)
	cha.add("granted", granted)
	cha.add("leaving", leaving)
	cha.add("assigned", assigned)
	cha.add("kept", kept)
	cha.add("prepared", prepared)
	cha.add("excluded", evicted)
	// Moves only concern ranges that stay in the serving phase, so they don't conflict with the changes above.
	moves := kee.rebalance(now, vie)
	cha.add("balance", moves)
	cha.add("refenced", kee.rangesToRefence(now, vie, slices.Concat(moves, evicted)))
	return orders, cha
}

// lostHolder reports whether a range goes to another upstream because its holder can't hold it any more, or because no
// connection for its first grant could be opened, or the holder is in a hold-down, and it doesn't work on the keys from before.
func (kee *Keeper) lostHolder(now time.Time, service string, ran *fpstate.Range, tas *task) bool {
	lea := kee.lease(now, ran)
	return lea.expired(now) || kee.neverHeld(now, service, ran) && (tas.connectFailures > maxConnectFailures || kee.inHoldDown(now, incarnationOf(ran)))
}

// appendRenewal appends a grant or renewal of a range if it is due.
func (kee *Keeper) appendRenewal(now time.Time, vie View, ran *fpstate.Range, tas *task, holder *fpstate.Upstream, renewals []dueGrant) []dueGrant {
	if pausesRenewal(vie, tas, holder) || !tas.due(now) {
		return renewals
	}
	return append(renewals, dueGrant{
		ran:    ran,
		tas:    tas,
		holder: holder,
	})
}

// noOtherUpstream reports whether no upstream but the incarnation that holds a range may take it, so that the range stays with a
// holder that does not answer.
func noOtherUpstream(vie View, ran *fpstate.Range) bool {
	for _, ups := range vie.Upstreams {
		if vie.available(ups) && (ups.GetId() != ran.GetUpstream() || ups.GetBorn() != ran.GetBorn()) {
			return false
		}
	}
	return true
}

// release returns a range in the releasing phase, in which its holder is asked to give it back.
func (kee *Keeper) release(service string, ran *fpstate.Range) *fpstate.Range {
	next := withPhase(ran, fpstate.Phase_PHASE_RELEASING)
	kee.decidedReleases[rangeIDOf(service, next)] = true
	return next
}

func withPhase(ran *fpstate.Range, phase fpstate.Phase) *fpstate.Range {
	next := proto.CloneOf(ran)
	next.Phase = phase
	return next
}

// task returns the task of a range in its phase and deletes those of its other phases, so that a range that returns to a
// phase, for example after a cancelled move, starts with a new task.
func (kee *Keeper) task(now time.Time, service string, ran *fpstate.Range) *task {
	rid := rangeIDOf(service, ran)
	for other := range fpstate.Phase_name {
		if phase := fpstate.Phase(other); phase != rid.phase {
			delete(kee.tasks, rangeID{
				service: rid.service,
				first:   rid.first,
				fence:   rid.fence,
				phase:   phase,
			})
		}
	}
	tas := kee.tasks[rid]
	if tas == nil {
		if rid.phase == fpstate.Phase_PHASE_RELEASING && rid.fence <= kee.previousMaxFence && !kee.decidedReleases[rid] {
			// An earlier leader may have sent a release and not received its answer.
			kee.recordLostRelease(now, kee.start, service, ran)
		}
		tas = &task{
			releaseLost: kee.mayHaveLostRelease(now, service, ran),
		}
		kee.tasks[rid] = tas
	}
	return tas
}

// appendOrder appends an order for a range if its task is due and the upstream is known.
func (kee *Keeper) appendOrder(now time.Time, service string, act Action, ran *fpstate.Range, tas *task, ups *fpstate.Upstream, orders []Order) []Order {
	if !tas.due(now) || ups == nil {
		return orders
	}
	tas.inFlight = true
	if act == Grant {
		kee.lease(now, ran).grantsInFlight++
		kee.grantsInFlight[ups.GetId()]++
	}
	return append(orders, Order{
		Service:  service,
		Action:   act,
		Upstream: ups,
		Range:    ran,
		Hold:     kee.cfg.Hold,
		Proof:    act == Grant && (ran.GetPhase() == fpstate.Phase_PHASE_RELEASING || kee.preparedMoveOf(service, ran) != nil),
	})
}

// shouldCancelMove reports whether a range that is being released stays with its holder under the same fence. That is so
// when a call without an answer, for example of an earlier leader, may still take effect there for long: the range would be
// without an owner until then. An excluded holder keeps the range only if another upstream can get it afterwards.
func (kee *Keeper) shouldCancelMove(now time.Time, vie View, ran *fpstate.Range, holder *fpstate.Upstream) bool {
	if holder == nil || holder.GetLeaving() || holder.GetGone() || vie.excludes(holder) && !vie.anyAvailable() {
		return false
	}
	return kee.lease(now, ran).uncertaintyEnd().Sub(now) > maxUncertainWait
}

// continueRelease sends the release of a range if it is due, or assigns the range once its holder can't hold it any more.
func (kee *Keeper) continueRelease(now time.Time, vie View, ran *fpstate.Range, tas *task, holder *fpstate.Upstream, orders []Order, assigned []*fpstate.Range) ([]Order, []*fpstate.Range) {
	lea := kee.lease(now, ran)
	switch {
	case lea.expired(now) && holder != nil && vie.available(holder) && !holder.GetGone() && noOtherUpstream(vie, ran):
		return orders, append(assigned, assignedTo(ran, holder, tas.handover))
	case lea.expired(now):
		return orders, append(assigned, kee.assign(now, vie, ran, tas.handover)...)
	case !tas.confirmed || !now.After(lea.uncertaintyEnd()):
	case !tas.releaseLost:
		return orders, append(assigned, kee.assign(now, vie, ran, tas.handover)...)
	case vie.available(holder) && !holder.GetGone() && holder.GetBorn() == ran.GetBorn():
		// Work on the keys ends at the latest with their hold. They go back to their holder, which serves them until then.
		return orders, append(assigned, assignedTo(ran, holder, tas.handover))
	}
	return kee.releaseOrder(now, vie.Service, ran, tas, holder, orders), assigned
}

// releaseOrder appends the release of a range if it is due. It waits until no grant of the range is in flight. If calls under earlier
// fences may take effect later, a grant goes first, after which the holder refuses them.
func (kee *Keeper) releaseOrder(now time.Time, service string, ran *fpstate.Range, tas *task, holder *fpstate.Upstream, orders []Order) []Order {
	lea := kee.lease(now, ran)
	if tas.confirmed || lea.grantsInFlight > 0 || lea.expired(now) {
		return orders
	}
	if now.Before(lea.inheritedUntil) && !now.Before(lea.uncertainUntil) && !tas.proofFailed && !tas.releaseLost {
		return kee.appendOrder(now, service, Grant, ran, tas, holder, orders)
	}
	return kee.appendOrder(now, service, Release, ran, tas, holder, orders)
}

// Package fpkeeper decides who holds which contiguous range of keys, and when a range may go to another upstream.
//
// A Keeper is a plain state machine for the leader of the control VMs: the replicated ranges, the answers to orders and the
// time go in, and orders to upstreams and changes of the ranges come out.
//
// # When a range is free
//
// An upstream holds a range until the hold time has passed since a grant or a renewal arrived there, measured by its own
// clock, which may run slow. The keeper knows only that a call arrived before it was answered or given up. A call that was
// given up may take effect later, even after a release, but its time still counts from its arrival. Therefore
//
//   - the bound of a fence is the latest moment until which the holder may hold its keys: hold time, drift and slack after
//     the end of the last call;
//   - its doubt is the same for the last call without an answer. A range in doubt gets another fence at its holder, and the doubt
//     ends when a grant under it is answered, because the holder then refuses lower fences.
//
// A range may go to another upstream after its bound has passed, after the first release was answered and its doubt has passed, or
// when a later life of the holder is known, because a new life holds nothing. Every grant follows the commit of its range.
// A leader that takes over knows nothing of the calls of the one before, whose lease has ended by then, so all bounds and
// doubts start anew at that moment, and all ranges get another fence.
package fpkeeper

import (
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// DefaultHold is the hold time of a grant. It outlasts an election (at most 1.6 s) with the renewals before and after
	// it, and bounds how long the keys of a lost upstream wait.
	DefaultHold = 7 * time.Second
	// DefaultRenewal is the time between renewals, a quarter of the hold time.
	DefaultRenewal = 1500 * time.Millisecond
	// retryPause is the time between tries of an order that failed.
	retryPause = 150 * time.Millisecond
	// maxRefused is how often a connection for the first grant of a range may fail before another upstream is chosen.
	maxRefused = 1
	// maxUnanswered is how many grants without an answer are sent to an upstream that gives no other sign of life.
	maxUnanswered = 2
	// longestDoubt is how long a move waits for a doubt to pass rather than being given up.
	longestDoubt = 500 * time.Millisecond
	// settleTime is how long the first partition waits after the last upstream has announced itself, so that all of them get
	// their part of the keys and it need not be changed at once. Upstreams announce themselves within one interval of their
	// announcements. mostSettleTime bounds the wait.
	settleTime     = 1200 * time.Millisecond
	mostSettleTime = 5 * time.Second
	// MaxKey is the highest key.
	MaxKey = 65535
)

// Action is what an order tells an upstream.
type Action uint8

// The actions.
const (
	Grant Action = iota
	Release
)

// Order is a call to an upstream.
type Order struct {
	Service  string
	Action   Action
	Upstream *fpstate.Upstream
	Range    *fpstate.Range
	Hold     time.Duration
}

// Result is how an order ended.
type Result struct {
	// Answered states that the upstream confirmed the order.
	Answered bool
	// Fenced states that the upstream has seen a higher fence, so that the order had no effect.
	Fenced bool
	// NotSent states that no connection could be opened, so that the order had no effect.
	NotSent bool
	// Withheld states that the leader could not be sure to lead, so that it did not send the order. It says nothing of the
	// upstream.
	Withheld bool
	// Doubtful states that an earlier try of the order got no answer, so that it may take effect again later.
	Doubtful bool
	// Handover is what the upstream returned for the next holder.
	Handover string
}

// Change is a change of ranges of one service that has to be committed as a whole, in its order. The zero value changes
// nothing.
type Change struct {
	steps []Step
}

// Step is the change of one range.
type Step struct {
	Range *fpstate.Range
	// Reason is for the log.
	Reason string
}

// Steps returns the changes of single ranges.
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

// View is the replicated state of one service.
type View struct {
	Service   string
	Ranges    []*fpstate.Range
	Upstreams []*fpstate.Upstream
	// Lookup returns the newest life that is known under an id, which may have left, or nil.
	Lookup func(id string) *fpstate.Upstream
	// Heard returns when an upstream last announced itself. Nil: unknown.
	Heard func(ups *fpstate.Upstream) time.Time
	// LongestWork is how long a request of the service may be at work at an upstream.
	LongestWork time.Duration
	// AtAddress returns the upstream of any service that has an address, or nil.
	AtAddress func(address string) *fpstate.Upstream
}

// place identifies a range in one state of the ranges.
type place struct {
	service string
	first   uint32
	fence   uint64
	phase   fpstate.Phase
}

// task is the work on one range.
type task struct {
	inFlight bool
	// refused counts the connections that could not be opened.
	refused int
	// unanswered counts the grants without an answer since the last one with an answer, and ended is the end of the last.
	unanswered int
	ended      time.Time
	next       time.Time
	// confirmed states that the order was confirmed.
	confirmed bool
	// lost is when a release last ended without an answer. The upstream answers the next one at once, although work on the
	// keys may go on.
	lost     time.Time
	handover string
}

// Config configures a Keeper. Zero fields stand for the defaults.
type Config struct {
	Hold    time.Duration
	Renewal time.Duration
}

// Keeper decides for one leadership. Use New to create one. It is not safe for concurrent use.
type Keeper struct {
	cfg   Config
	start time.Time
	// oldFence is the highest fence that an earlier leader may have granted.
	oldFence uint64
	leases   map[uint64]*lease
	tasks    map[place]*task
	targets  map[place]string
	released map[place]bool // the releases that this keeper has decided
	first    map[string]*firstPartition
	loads    map[string]*Load
	looked   map[string]time.Time // when the load of a service was last looked at for moves
	refences map[string]time.Time // when the ranges of a service were last looked at for other fences
	paces    map[string]*rate.Limiter
	grants   map[string]int // grants in flight to each upstream
	shunned  map[life]*shun
}

// New returns the keeper of a leadership that starts now. No fence above lastFence has been granted before.
func New(now time.Time, lastFence uint64, cfg Config) *Keeper {
	if cfg.Hold == 0 {
		cfg.Hold = DefaultHold
	}
	if cfg.Renewal == 0 {
		cfg.Renewal = DefaultRenewal
	}
	return &Keeper{
		cfg:      cfg,
		start:    now,
		oldFence: lastFence,
		leases:   map[uint64]*lease{},
		tasks:    map[place]*task{},
		targets:  map[place]string{},
		released: map[place]bool{},
		first:    map[string]*firstPartition{},
		loads:    map[string]*Load{},
		looked:   map[string]time.Time{},
		refences: map[string]time.Time{},
		paces:    map[string]*rate.Limiter{},
		grants:   map[string]int{},
		shunned:  map[life]*shun{},
	}
}

// Load returns the load of a service.
func (kee *Keeper) Load(service string) *Load {
	loa := kee.loads[service]
	if loa == nil {
		loa = newLoad()
		kee.loads[service] = loa
	}
	return loa
}

// Ended takes the end of an order.
func (kee *Keeper) Ended(now time.Time, ord Order, res Result) {
	tas := kee.tasks[placeOf(ord.Service, ord.Range)]
	if tas != nil {
		tas.inFlight = false
	}
	if ord.Action == Grant {
		kee.grantEnded(now, ord, res, tas)
		return
	}
	if tas == nil {
		return
	}
	tas.next = now.Add(retryPause)
	tried := !res.NotSent && !res.Withheld
	if tried && (!res.Answered || res.Doubtful) {
		tas.lost = now
	}
	if res.Answered {
		tas.confirmed = true
		tas.handover = res.Handover
	}
}

func (kee *Keeper) grantEnded(now time.Time, ord Order, res Result, tas *task) {
	lea := kee.lease(now, ord.Range)
	lea.grants--
	kee.grants[ord.Upstream.GetId()]--
	if !res.Fenced && !res.NotSent && !res.Withheld {
		lea.sent = true
		lea.bound = later(lea.bound, kee.holdEnd(now))
		if res.Answered {
			lea.inherited = time.Time{}
		}
		if !res.Answered || res.Doubtful {
			lea.doubt = later(lea.doubt, kee.holdEnd(now))
		}
	}
	if tas == nil {
		return
	}
	tas.next = now.Add(min(kee.cfg.Renewal, retryPause<<min(tas.refused, 8)))
	if res.Withheld {
		return
	}
	tas.ended = now
	switch {
	case res.Answered:
		tas.confirmed = true
		tas.unanswered = 0
		tas.next = now.Add(kee.cfg.Renewal)
	case res.NotSent:
		tas.refused++
	default:
		tas.unanswered++
	}
}

// pausesRenewal reports whether an upstream that does not answer is left alone. Each grant that is sent to it may arrive
// and extends the time until its keys can go elsewhere, so the next one waits for a sign of life.
func pausesRenewal(vie View, tas *task, ups *fpstate.Upstream) bool {
	if tas.unanswered < maxUnanswered {
		return false
	}
	return vie.Heard == nil || !vie.Heard(ups).After(tas.ended)
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

func placeOf(service string, ran *fpstate.Range) place {
	return place{
		service: service,
		first:   ran.GetFirst(),
		fence:   ran.GetFence(),
		phase:   ran.GetPhase(),
	}
}

// Plan returns the orders that are due and the change that has to be committed before the next call.
func (kee *Keeper) Plan(now time.Time, vie View) ([]Order, Change) {
	var cha Change
	if len(vie.Ranges) == 0 {
		cha.add("first partition", kee.partition(now, vie))
		return nil, cha
	}
	var orders []Order
	var renewals []grant
	var granted, moving, taken, kept []*fpstate.Range
	for _, ran := range vie.Ranges {
		tas := kee.task(vie.Service, ran)
		holder := vie.Lookup(ran.GetUpstream())
		switch {
		case ran.GetUpstream() == "" || dead(vie, ran, holder):
			taken = append(taken, kee.assign(now, vie, ran, "")...)
		case ran.GetPhase() == fpstate.Phase_PHASE_RELEASING && !tas.inFlight && kee.keeps(now, ran, holder):
			kept = append(kept, withPhase(ran, fpstate.Phase_PHASE_GRANTING))
		case ran.GetPhase() == fpstate.Phase_PHASE_RELEASING:
			orders, taken = kee.releasing(now, vie, ran, tas, holder, orders, taken)
		case kee.lease(now, ran).over(now) || tas.refused > maxRefused && !kee.lease(now, ran).sent:
			if !staysPut(vie, ran, holder) {
				kee.shun(now, ran)
				taken = append(taken, kee.assign(now, vie, ran, "")...)
			}
		case holder.GetLeaving() || holder.GetGone():
			moving = append(moving, kee.release(vie.Service, ran))
		default:
			if ran.GetPhase() == fpstate.Phase_PHASE_GRANTING && tas.confirmed {
				granted = append(granted, withPhase(ran, fpstate.Phase_PHASE_SERVING))
			}
			if !pausesRenewal(vie, tas, holder) && tas.due(now) {
				renewals = append(renewals, grant{
					ran:    ran,
					tas:    tas,
					holder: holder,
				})
			}
		}
	}
	orders = kee.paced(now, vie, renewals, orders)
	cha.add("granted", granted)
	cha.add("leaving", moving)
	cha.add("assigned", taken)
	cha.add("kept", kept)
	// Moves touch only ranges that are served and stay so, so they do not meet the changes above.
	moves := kee.rebalance(now, vie)
	cha.add("balance", moves)
	cha.add("refenced", kee.refenced(now, vie, moves))
	return orders, cha
}

// staysPut reports whether a range whose holder is silent stays where it is because there is no other upstream.
func staysPut(vie View, ran *fpstate.Range, holder *fpstate.Upstream) bool {
	for _, ups := range vie.Upstreams {
		if !ups.GetLeaving() && (ups.GetId() != ran.GetUpstream() || holder == nil) {
			return false
		}
	}
	return true
}

// release returns a range whose holder is to give it back.
func (kee *Keeper) release(service string, ran *fpstate.Range) *fpstate.Range {
	next := withPhase(ran, fpstate.Phase_PHASE_RELEASING)
	kee.released[placeOf(service, next)] = true
	return next
}

func withPhase(ran *fpstate.Range, phase fpstate.Phase) *fpstate.Range {
	next := proto.CloneOf(ran)
	next.Phase = phase
	return next
}

// task returns the work on a range in its phase. What was done in the phases before is forgotten: a range that comes back to
// a phase, as one that was to move and was kept, starts it anew.
func (kee *Keeper) task(service string, ran *fpstate.Range) *task {
	pla := placeOf(service, ran)
	for other := range fpstate.Phase_name {
		if phase := fpstate.Phase(other); phase != pla.phase {
			delete(kee.tasks, place{
				service: pla.service,
				first:   pla.first,
				fence:   pla.fence,
				phase:   phase,
			})
		}
	}
	tas := kee.tasks[pla]
	if tas == nil {
		tas = &task{}
		if pla.phase == fpstate.Phase_PHASE_RELEASING && !kee.released[pla] {
			// An earlier leader may have sent a release whose answer nobody got.
			tas.lost = kee.start
		}
		kee.tasks[pla] = tas
	}
	return tas
}

// dead reports whether the life of a holder has certainly ended: a later one is known under its id or at its address.
func dead(vie View, ran *fpstate.Range, holder *fpstate.Upstream) bool {
	if holder == nil {
		// The directory forgets upstreams long after they have left; the bound decides.
		return false
	}
	if holder.GetBorn() > ran.GetBorn() {
		return true
	}
	other := vie.AtAddress(holder.GetAddress())
	return other != nil && other.GetId() != holder.GetId() && other.GetBorn() > holder.GetBorn()
}

// order adds an order if one is due.
func (kee *Keeper) order(now time.Time, service string, act Action, ran *fpstate.Range, tas *task, ups *fpstate.Upstream, orders []Order) []Order {
	if !tas.due(now) || ups == nil {
		return orders
	}
	tas.inFlight = true
	if act == Grant {
		kee.lease(now, ran).grants++
		kee.grants[ups.GetId()]++
	}
	return append(orders, Order{
		Service:  service,
		Action:   act,
		Upstream: ups,
		Range:    ran,
		Hold:     kee.cfg.Hold,
	})
}

// keeps reports whether a range that was to move stays with its holder, under the same fence: a call of an earlier leader
// may still take effect there, so that the range would be without an owner until the doubt of its fence has passed.
func (kee *Keeper) keeps(now time.Time, ran *fpstate.Range, holder *fpstate.Upstream) bool {
	if holder.GetLeaving() || holder.GetGone() {
		return false
	}
	return kee.lease(now, ran).doubtEnd().Sub(now) > longestDoubt
}

// releasing continues the release of a range.
func (kee *Keeper) releasing(now time.Time, vie View, ran *fpstate.Range, tas *task, holder *fpstate.Upstream, orders []Order, taken []*fpstate.Range) ([]Order, []*fpstate.Range) {
	lea := kee.lease(now, ran)
	leaves := holder.GetLeaving() || holder.GetGone()
	switch {
	case lea.over(now):
		return orders, append(taken, kee.assign(now, vie, ran, tas.handover)...)
	case !tas.confirmed || !now.After(lea.doubtEnd()):
	case tas.lost.IsZero() || leaves && now.After(tas.lost.Add(vie.LongestWork)):
		return orders, append(taken, kee.assign(now, vie, ran, tas.handover)...)
	case !leaves && holder.GetBorn() == ran.GetBorn():
		// Nobody knows when the work on the keys ends, so they go back to their holder.
		return orders, append(taken, holdBy(ran, holder, tas.handover))
	}
	if tas.confirmed || lea.grants > 0 {
		return orders, taken
	}
	return kee.order(now, vie.Service, Release, ran, tas, holder, orders), taken
}

package fproom

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpurgency"
)

const (
	// maxPlaceWait bounds the wait of a request for the leader's answer.
	maxPlaceWait = 250 * time.Millisecond
	// placeLifetime is how long a granted place may stay unused.
	placeLifetime = 500 * time.Millisecond
	// mentionTimeout is how long a limit holds that the leader no longer mentions. It is above mentionInterval and the time between
	// two reports.
	mentionTimeout = 1200 * time.Millisecond
	// reportedAfterUse is how long after its last request a VM reports its uses. It learns of limited upstreams meanwhile.
	reportedAfterUse = 5 * time.Second
	// lateContact is the time without an answer of the leader after which a VM expects no news of other upstreams. A VM calls every
	// 300 ms, and an answer takes up to 60 ms and the time between two calls.
	lateContact = 500 * time.Millisecond
	// busyRetention is how long after an upstream was limited new uses of others are reported early.
	busyRetention = 3 * time.Second
	// refusalPause is how long after the wait of a request has ended without an answer later ones do not wait.
	refusalPause = 250 * time.Millisecond
)

// LimiterConfig configures a Limiter.
type LimiterConfig struct {
	// Entries returns the number of entry VMs.
	Entries func() uint32
	// Changed is called when an upstream becomes limited or free. Nil: changes are not reported. It must not call the limiter.
	Changed func(inc Incarnation, limited bool)
}

// Limiter counts the requests of one entry VM at upstreams, and admits those to limited ones. Use NewLimiter to create one. It is safe
// for concurrent use.
type Limiter struct {
	cfg LimiterConfig
	// wanted gets a value when the next call is needed before the regular one.
	wanted chan struct{}

	mutex     sync.Mutex
	started   time.Time
	upstreams map[Incarnation]*upstream
	// contactAt is when the last call that the leader has answered was sent, or when the limiter was created.
	contactAt time.Time
	// contacted states that the leader has answered a call.
	contacted bool
	// usedAt is when there was last a request, and closed states that no uses have been reported since the last one.
	usedAt time.Time
	closed bool

	refused, waits, alone, granted, expired, calls int64
}

// upstream is what a VM knows of one upstream.
type upstream struct {
	inFlight int
	// lingering are the ends of the times for which requests that the VM has given up count as in flight.
	lingering []time.Time
	// stock holds the unused places, the oldest first.
	stock []place
	queue []*waiter
	// limited states that requests need places. mentionedAt is when the call was sent whose answer said so last.
	limited     bool
	mentionedAt time.Time
	// wait is the time from waitAt until the leader expects to have a place.
	wait   time.Duration
	waitAt time.Time
	// pausedUntil is until when requests without a place are refused at once, because the leader did not answer in time.
	pausedUntil time.Time
	// nextShareAt is when the VM may start its next request while it uses its equal share, or zero while it does not.
	nextShareAt time.Time
	full        bool
	slots       int
	group       string
	mean        time.Duration
	// objective is the shortest one of the requests since the last call.
	objective time.Duration
	load      int
	loadAt    time.Time
	usedAt    time.Time
}

// place is a granted place that may be used until a time.
type place struct {
	expires time.Time
}

// waiter is a request that waits for a place.
type waiter struct {
	request fpurgency.Request
	class   int
	since   time.Time
	done    chan struct{} // closed when granted is set or the request is refused
	granted bool
}

// Demand describes a request that needs a place.
type Demand struct {
	Request fpurgency.Request
	// Slots is the number of requests that the upstream runs at once, and Mean the mean processing time, or 0 if it is not known.
	Slots int
	Mean  time.Duration
	// Group names the upstreams that can take the request. Empty: there is only one.
	Group string
	// Ask states that the leader is asked also if the upstream is not limited, because many VMs may choose it at the same time.
	Ask bool
}

// NewLimiter returns a limiter that knows no limited upstreams.
func NewLimiter(cfg LimiterConfig) *Limiter {
	return &Limiter{
		cfg:       cfg,
		wanted:    make(chan struct{}, 1),
		upstreams: map[Incarnation]*upstream{},
		contactAt: time.Now(),
		started:   time.Now(),
		closed:    true,
	}
}

// Wanted returns a channel that gets a value when a call is needed before the next regular one.
func (lim *Limiter) Wanted() <-chan struct{} { return lim.wanted }

// signal asks for an early call. The caller holds the mutex.
func (lim *Limiter) signal() {
	select {
	case lim.wanted <- struct{}{}:
	default:
	}
}

func (lim *Limiter) upstream(inc Incarnation) *upstream {
	ups := lim.upstreams[inc]
	if ups == nil {
		ups = &upstream{}
		lim.upstreams[inc] = ups
	}
	return ups
}

// Take takes a place for a request to an upstream and counts the request as in flight until End or Return. At a limited upstream it may
// wait for the leader. Without a place, it returns false and the time after which the caller should retry.
func (lim *Limiter) Take(ctx context.Context, inc Incarnation, dem Demand) (ok bool, retryAfter time.Duration) {
	now := time.Now()
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	ups := lim.upstream(inc)
	ups.observe(dem)
	lim.usedAt = now
	lim.expire(now, inc, ups)
	waited := false
	switch {
	case !ups.limited && lim.mustShare(now, dem):
		ok = lim.takeShare(now, ups)
	case !ups.limited && dem.Ask && !lim.isAlone(now):
		waited = true
		ok = lim.await(ctx, inc, ups, dem)
	case !ups.limited:
		if ups.inFlight > 0 || lim.groupBusy(now, dem.Group) {
			// The leader should know of growing use before the next regular call. A first request each would let nearly all VMs of a
			// keyed service call as often as they may.
			lim.signal()
		}
		ok = true
	case lim.isAlone(now):
		ok = lim.takeShare(now, ups)
	case ups.takeStock(now):
		ok = true
	case now.Before(ups.pausedUntil):
	default:
		waited = true
		ok = lim.await(ctx, inc, ups, dem)
	}
	if !ok {
		lim.refused++
		return false, ups.retryAfter(time.Now())
	}
	if !waited {
		ups.inFlight++
	}
	ups.usedAt = time.Now()
	return true, 0
}

// observe records what a request tells of the upstream.
func (ups *upstream) observe(dem Demand) {
	ups.slots, ups.group = max(1, dem.Slots), dem.Group
	if dem.Mean > 0 {
		ups.mean = dem.Mean
	}
	if obj := dem.Request.Objective; obj > 0 && (ups.objective == 0 || obj < ups.objective) {
		ups.objective = obj
	}
}

// takeStock takes an unused place.
func (ups *upstream) takeStock(now time.Time) bool {
	ups.dropExpired(now)
	if len(ups.stock) == 0 {
		return false
	}
	ups.stock = ups.stock[1:]
	return true
}

// dropExpired removes the places that have not been used in time, and returns their number.
func (ups *upstream) dropExpired(now time.Time) int {
	before := len(ups.stock)
	ups.stock = slices.DeleteFunc(ups.stock, func(pla place) bool { return now.After(pla.expires) })
	return before - len(ups.stock)
}

// isAlone reports whether the leader has not answered for so long that the VM uses its equal share.
func (lim *Limiter) isAlone(now time.Time) bool { return now.Sub(lim.contactAt) > silenceTimeout }

// groupBusy reports whether upstreams of a group have been limited lately, or the VM has just started and does not know it, so that other
// VMs may choose the remaining ones at the same time.
func (lim *Limiter) groupBusy(now time.Time, group string) bool {
	if group == "" {
		return false
	}
	if now.Sub(lim.started) < busyRetention {
		return true
	}
	for _, ups := range lim.upstreams {
		if ups.group == group && now.Sub(ups.mentionedAt) < busyRetention {
			return true
		}
	}
	return false
}

// mustShare reports whether a request without fresh contact to the leader keeps to the equal share of an upstream that is not limited: others of
// its group are, so that all VMs would send theirs to the remaining ones.
func (lim *Limiter) mustShare(now time.Time, dem Demand) bool {
	if age := now.Sub(lim.contactAt); !lim.contacted || age <= lateContact || age > limitRetention {
		return false
	}
	if dem.Group != "" {
		for _, ups := range lim.upstreams {
			if ups.limited && ups.group == dem.Group {
				return true
			}
		}
	}
	return false
}

// expire ends the limit if the leader has not answered for long.
func (lim *Limiter) expire(now time.Time, inc Incarnation, ups *upstream) {
	if ups.limited && now.Sub(lim.contactAt) > limitRetention {
		lim.free(inc, ups)
	}
}

// takeShare takes the next request of the equal share: one request at a time, which all VMs together start at the rate at which the
// upstream answers them.
func (lim *Limiter) takeShare(now time.Time, ups *upstream) bool {
	period := ups.sharePeriod(lim.cfg.Entries())
	if ups.nextShareAt.IsZero() {
		// The VMs lose the leader together and must not begin together.
		ups.nextShareAt = now.Add(rand.N(period))
		ups.stock = nil
	}
	if now.Before(ups.nextShareAt) || ups.inFlight+ups.countLingering(now) > 0 {
		return false
	}
	ups.nextShareAt = now.Add(period)
	lim.alone++
	return true
}

// sharePeriod returns the time between requests of the equal share of one of a number of VMs.
func (ups *upstream) sharePeriod(entries uint32) time.Duration {
	mean := ups.mean
	if mean <= 0 {
		mean = defaultMean
	}
	return max(time.Millisecond, mean*time.Duration(max(1, entries))/time.Duration(max(1, ups.slots)))
}

// await waits until the leader has answered and reports whether the request got a place. It releases the mutex meanwhile.
func (lim *Limiter) await(ctx context.Context, inc Incarnation, ups *upstream, dem Demand) bool {
	wai := &waiter{
		request: dem.Request,
		class:   fpurgency.Class(time.Now(), dem.Request),
		since:   time.Now(),
		done:    make(chan struct{}),
	}
	ups.queue = append(ups.queue, wai)
	lim.waits++
	lim.signal()
	lim.mutex.Unlock()
	timer := time.NewTimer(maxPlaceWait)
	defer timer.Stop()
	select {
	case <-wai.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	lim.mutex.Lock()
	select {
	case <-wai.done:
	default:
		ups.queue = slices.DeleteFunc(ups.queue, func(other *waiter) bool { return other == wai })
		switch {
		case ctx.Err() != nil:
		case ups.limited:
			ups.pausedUntil = time.Now().Add(refusalPause)
		case !lim.mustShare(time.Now(), dem) || lim.takeShare(time.Now(), ups):
			ups.inFlight++
			wai.granted = true
		}
	}
	if wai.granted && lim.upstreams[inc] != ups {
		return false // the upstream was forgotten meanwhile
	}
	return wai.granted
}

// retryAfter returns the time after which a refused request may get a place.
func (ups *upstream) retryAfter(now time.Time) time.Duration {
	wait := ups.waitAt.Add(ups.wait).Sub(now)
	if !ups.nextShareAt.IsZero() {
		wait = ups.nextShareAt.Sub(now)
	}
	return min(maxRetryAfter, max(0, wait))
}

// Return ends a request that was not sent. Its place is free at once.
func (lim *Limiter) Return(inc Incarnation) { lim.End(inc, 0) }

// End ends a request. linger is for how much longer it takes up its place, because the VM has given it up before its answer, and the
// upstream may not know that.
func (lim *Limiter) End(inc Incarnation, linger time.Duration) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	ups := lim.upstreams[inc]
	if ups == nil || ups.inFlight == 0 {
		return
	}
	ups.inFlight--
	if linger > 0 {
		ups.lingering = append(ups.lingering, time.Now().Add(linger))
	}
}

// countLingering returns the number of requests that the VM has given up and that may still take up places.
func (ups *upstream) countLingering(now time.Time) int {
	ups.lingering = slices.DeleteFunc(ups.lingering, func(until time.Time) bool { return !now.Before(until) })
	return len(ups.lingering)
}

// ObserveLoad records the number of requests at an upstream by a load report.
func (lim *Limiter) ObserveLoad(inc Incarnation, at time.Time, load int) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	ups := lim.upstream(inc)
	ups.load, ups.loadAt = load, at
}

// ObserveFull records that an upstream had no room for a request. Without contact to the leader, this VM limits itself.
func (lim *Limiter) ObserveFull(inc Incarnation) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	ups := lim.upstream(inc)
	ups.full = true
	if now := time.Now(); !ups.limited && lim.isAlone(now) && now.Sub(lim.contactAt) <= limitRetention {
		lim.limit(now, inc, ups)
	}
	lim.signal()
}

// limit begins the limit of an upstream.
func (lim *Limiter) limit(now time.Time, inc Incarnation, ups *upstream) {
	ups.limited, ups.mentionedAt, ups.stock = true, now, nil
	if lim.cfg.Changed != nil {
		lim.cfg.Changed(inc, true)
	}
}

// State is what a VM knows of the places of an upstream.
type State struct {
	// Limited states that requests need a place, and Ready that the VM has one.
	Limited, Ready bool
	// Wait is the time until the leader expects to have a place.
	Wait time.Duration
}

// State returns what the VM knows of the places of an upstream.
func (lim *Limiter) State(now time.Time, inc Incarnation) State {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	ups := lim.upstreams[inc]
	if ups == nil {
		return State{}
	}
	lim.expire(now, inc, ups)
	if !ups.limited {
		return State{}
	}
	ups.dropExpired(now)
	sta := State{
		Limited: true,
		Ready:   len(ups.stock) > 0,
		Wait:    ups.retryAfter(now),
	}
	if lim.isAlone(now) {
		sta.Ready = !ups.nextShareAt.IsZero() && !now.Before(ups.nextShareAt) && ups.inFlight+ups.countLingering(now) == 0
	}
	return sta
}

// Forget removes what is known of an upstream. Its waiting requests are refused.
func (lim *Limiter) Forget(inc Incarnation) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	if ups := lim.upstreams[inc]; ups != nil {
		ups.settle(len(ups.queue), false)
		delete(lim.upstreams, inc)
	}
}

// settle ends the wait of a number of requests, the first ones of the queue. Those that are granted count as in flight at once, so that
// no call between now and their start misses them.
func (ups *upstream) settle(count int, granted bool) {
	if granted {
		ups.inFlight += count
	}
	for _, wai := range ups.queue[:count] {
		wai.granted = granted
		close(wai.done)
	}
	ups.queue = ups.queue[count:]
}

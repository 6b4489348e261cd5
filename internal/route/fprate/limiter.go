package fprate

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// TokenLifetime is how long after the call that acquired it a token may be used.
	TokenLifetime = time.Second
	// contactTimeout is the time after the last call that the leader has answered from which a VM uses an equal share. It is
	// longer than heardTimeout, after which the leader reserves this share, by more than a call takes.
	contactTimeout = 1500 * time.Millisecond
	// maxTokenWait bounds the wait of a request for the leader's answer. The longest round trip takes 60 ms.
	maxTokenWait = 120 * time.Millisecond
	// emptyPause bounds how long requests are refused at once after the leader had no tokens left.
	emptyPause = 300 * time.Millisecond
	// demandHalfLife is the half-life of the mean by which tokens are acquired ahead of requests, and acquireAhead the time
	// for which they are.
	demandHalfLife = 500 * time.Millisecond
	acquireAhead   = 300 * time.Millisecond
	// maxIdleAccrual bounds the time without requests for which an equal share accrues, so that idle VMs do not save it.
	maxIdleAccrual = time.Second
	// statementInterval is how often an unchanged statement is reported again.
	statementInterval = 2 * time.Second
	// endedRetention is how long a limit that has ended is kept, so that late answers do not revive it.
	endedRetention = 30 * time.Second
)

// LimiterConfig configures a Limiter.
type LimiterConfig struct {
	// Entries returns the number of entry VMs.
	Entries func() uint32
	// Changed is called when an upstream names another rate or ends its limit. Nil: changes are not reported. It must not
	// call the limiter.
	Changed func(inc Incarnation, sta Statement)
}

// Limiter admits requests of one entry VM to upstreams that have named a rate. Use NewLimiter to create one. It is safe for
// concurrent use.
type Limiter struct {
	cfg LimiterConfig
	// wanted gets a value when tokens are to be acquired before the next periodic call.
	wanted chan struct{}
	// known is the number of limits, for a fast path without the mutex.
	known   atomic.Int64
	invalid atomic.Int64

	mutex  sync.Mutex
	limits map[Incarnation]*limit
	// contactAt is when the last call that the leader has answered was sent.
	contactAt time.Time
	// calledAt is when the last call was made, and signalling states that a request for the next one is pending.
	calledAt   time.Time
	signalling bool
	// peak is the highest number of entry VMs lately, as of peakAt.
	peak   uint32
	peakAt time.Time
}

// tokens are permits for requests, by class, that may be used until a time.
type tokens struct {
	urgent, other int
	expires       time.Time
}

// limit is what a VM knows of an upstream that has named a rate, or of one that is cold.
type limit struct {
	statement Statement
	// cold is set for an upstream that is cold.
	cold coldLimit
	// reported is the statement as last reported to the leader, and reportedAt when that was.
	reported   Statement
	reportedAt time.Time

	// stock holds the unused tokens of each call, the oldest first.
	stock []tokens
	// demand is the decaying number of requests as of demandAt, by class.
	urgentDemand, otherDemand float64
	demandAt                  time.Time
	urgentQueue, otherQueue   []*waiter
	// emptyUntil is until when requests without a token are refused at once, and wait the time in which the leader expects to
	// have tokens for them.
	emptyUntil time.Time
	wait       time.Duration
	// share is the accrued part of a token of the equal share as of shareAt, from 0 to 1. It is used while alone is set.
	alone   bool
	share   float64
	shareAt time.Time

	sent, refused int64
}

// waiter is a request that waits for a token.
type waiter struct {
	done    chan struct{} // closed when granted is set
	granted bool
}

// NewLimiter returns a limiter without limits.
func NewLimiter(cfg LimiterConfig) *Limiter {
	return &Limiter{
		cfg:    cfg,
		wanted: make(chan struct{}, 1),
		limits: map[Incarnation]*limit{},
	}
}

// Wanted returns a channel that gets a value when a request waits for tokens.
func (lim *Limiter) Wanted() <-chan struct{} { return lim.wanted }

// Observe records the text of the rate that an upstream has named in the answer to a request sent at the given time.
func (lim *Limiter) Observe(inc Incarnation, sent time.Time, text string) {
	perSecond, ok := Parse(text)
	if !ok {
		lim.invalid.Add(1)
		return
	}
	lim.merge(inc, Statement{
		Limited:   true,
		PerSecond: perSecond,
		At:        sent,
	})
}

// ObserveNone records that an upstream has named no rate in the answer to a request sent at the given time.
func (lim *Limiter) ObserveNone(inc Incarnation, sent time.Time) {
	if lim.known.Load() > 0 {
		lim.merge(inc, Statement{
			At: sent,
		})
	}
}

// merge puts a statement in force if it is newer than the known one.
func (lim *Limiter) merge(inc Incarnation, sta Statement) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	one := lim.limits[inc]
	switch {
	case one == nil && !sta.Limited:
		return
	case one == nil:
		one = lim.add(inc)
	case !sta.At.After(one.statement.At):
		return
	}
	before := one.statement
	one.statement = sta
	if inc.Cold {
		one.cold.assumedUntil = time.Time{}
		if !before.inForce(time.Now()) {
			before.Limited = false
		}
	}
	if !sta.Limited {
		one.settle(func(wai *waiter) { wai.granted = true })
	}
	if sta.sameRate(before) {
		return
	}
	if lim.cfg.Changed != nil {
		lim.cfg.Changed(inc, sta)
	}
	if !before.Limited || sta.rate() < before.rate() {
		one.stock = nil
	}
	if !before.Limited {
		one.emptyUntil = time.Time{}
		one.alone = false
	}
}

// add adds a limit without a statement. The caller holds the mutex.
func (lim *Limiter) add(inc Incarnation) *limit {
	one := &limit{
		cold: coldLimit{
			set: inc.Cold,
		},
	}
	lim.limits[inc] = one
	lim.known.Add(1)
	lim.signal(one)
	return one
}

// inForce reports whether requests need tokens.
func (one *limit) inForce(now time.Time) bool {
	return one.statement.inForce(now) || now.Before(one.cold.assumedUntil)
}

// rate returns the rate to keep in requests per second.
func (one *limit) rate(now time.Time) float64 {
	if one.statement.inForce(now) || !one.cold.set {
		return one.statement.rate()
	}
	return max(minRate, one.cold.assumedRate)
}

// Rate returns the rate in requests per second that an upstream names, and false if it names none.
func (lim *Limiter) Rate(inc Incarnation) (perSecond float64, limited bool) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	one := lim.limits[inc]
	if one == nil || !one.inForce(time.Now()) {
		return 0, false
	}
	return one.statement.PerSecond, true
}

// Forget removes what is known of an upstream.
func (lim *Limiter) Forget(inc Incarnation) {
	if lim.known.Load() == 0 {
		return
	}
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	if one := lim.limits[inc]; one != nil {
		one.settle(func(*waiter) {})
		delete(lim.limits, inc)
		lim.known.Add(-1)
	}
}

// settle ends the wait of all requests. finish sets their results.
func (one *limit) settle(finish func(wai *waiter)) {
	for _, wai := range append(one.urgentQueue, one.otherQueue...) {
		finish(wai)
		close(wai.done)
	}
	one.urgentQueue, one.otherQueue = nil, nil
}

// Ready reports whether a request to an upstream needs no token or would get one now. If not, tokens are acquired for later
// requests.
func (lim *Limiter) Ready(now time.Time, inc Incarnation, urgent bool) bool {
	if lim.known.Load() == 0 {
		return true
	}
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	one := lim.limits[inc]
	if one == nil || !one.inForce(now) {
		return true
	}
	if lim.accrue(now, one) {
		return one.share >= 1
	}
	if one.has(now, urgent) {
		return true
	}
	one.count(now, urgent)
	one.cold.miss(urgent)
	if !now.Before(one.emptyUntil) && !inc.Cold {
		lim.signal(one)
	}
	return false
}

// Exhausted reports whether requests to an upstream are refused at once, because the leader had no tokens lately.
func (lim *Limiter) Exhausted(now time.Time, inc Incarnation, urgent bool) bool {
	if lim.known.Load() == 0 {
		return false
	}
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	one := lim.limits[inc]
	return one != nil && one.inForce(now) && now.Before(one.emptyUntil) && !one.has(now, urgent)
}

// Take takes a token for a request to an upstream, or reports that it needs none. If there is no token and mayWait is set, it
// waits for the leader's answer. Otherwise, and without a token in time, it returns false and the time after which the caller
// should retry.
func (lim *Limiter) Take(ctx context.Context, inc Incarnation, urgent, mayWait bool) (ok bool, retryAfter time.Duration) {
	if lim.known.Load() == 0 {
		return true, 0
	}
	now := time.Now()
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	one := lim.limits[inc]
	if one == nil || !one.inForce(now) {
		return true, 0
	}
	one.count(now, urgent)
	switch {
	case lim.accrue(now, one):
		ok = lim.takeShare(now, one)
	case one.take(now, urgent):
		ok = true
	case mayWait && !now.Before(one.emptyUntil) && lim.callIsDue(now, one):
		ok = lim.await(ctx, one, urgent)
	default:
		one.cold.miss(urgent)
	}
	if ok {
		one.sent++
		return true, 0
	}
	one.refused++
	return false, lim.retryAfter(time.Now(), one)
}

// Return gives back the token of a request that was not sent.
func (lim *Limiter) Return(inc Incarnation, urgent bool) {
	if lim.known.Load() == 0 {
		return
	}
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	one := lim.limits[inc]
	if one == nil || !one.inForce(time.Now()) {
		return
	}
	one.sent--
	switch {
	case inc.Cold:
		// The token is not used again: all VMs together would otherwise save tokens while the upstream cannot be reached.
	case one.alone:
		one.share = min(1, one.share+1)
	case urgent:
		one.stock = append(one.stock, tokens{
			urgent:  1,
			expires: time.Now().Add(acquireAhead),
		})
	default:
		one.stock = append(one.stock, tokens{
			other:   1,
			expires: time.Now().Add(acquireAhead),
		})
	}
}

// await waits until the leader has answered and reports whether the request got a token. It releases the mutex meanwhile.
func (lim *Limiter) await(ctx context.Context, one *limit, urgent bool) bool {
	wai := &waiter{
		done: make(chan struct{}),
	}
	if urgent {
		one.urgentQueue = append(one.urgentQueue, wai)
	} else {
		one.otherQueue = append(one.otherQueue, wai)
	}
	lim.signal(one)
	lim.mutex.Unlock()
	timer := time.NewTimer(maxTokenWait)
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
		one.urgentQueue = without(one.urgentQueue, wai)
		one.otherQueue = without(one.otherQueue, wai)
		if ctx.Err() == nil {
			// The leader does not answer, so that later requests need not wait for it.
			one.emptyUntil = time.Now().Add(emptyPause)
		}
	}
	return wai.granted
}

func without(queue []*waiter, wai *waiter) []*waiter {
	for pos, other := range queue {
		if other == wai {
			return append(queue[:pos:pos], queue[pos+1:]...)
		}
	}
	return queue
}

// signal asks for a call of the leader. The caller holds the mutex.
func (lim *Limiter) signal(one *limit) {
	if one.cold.set {
		lim.signalCold()
		return
	}
	lim.signalNow()
}

// signalNow asks for a call of the leader now.
func (lim *Limiter) signalNow() {
	select {
	case lim.wanted <- struct{}{}:
	default:
	}
}

// count adds a request to the demand.
func (one *limit) count(now time.Time, urgent bool) {
	one.decayDemand(now)
	if urgent {
		one.urgentDemand++
	} else {
		one.otherDemand++
	}
}

func (one *limit) decayDemand(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(one.demandAt)) / float64(demandHalfLife))
	one.urgentDemand *= factor
	one.otherDemand *= factor
	one.demandAt = now
}

// available returns the number of tokens in stock, by class.
func (one *limit) available(now time.Time) (urgent, other int) {
	one.stock = slices.DeleteFunc(one.stock, func(tok tokens) bool { return now.After(tok.expires) })
	for _, tok := range one.stock {
		urgent += tok.urgent
		other += tok.other
	}
	return urgent, other
}

// has reports whether there is a token for the class. Urgent requests may use the tokens of the others.
func (one *limit) has(now time.Time, urgent bool) bool {
	own, other := one.available(now)
	return other > 0 || urgent && own > 0
}

// take takes a token for the class from the stock, if there is one.
func (one *limit) take(now time.Time, urgent bool) bool {
	if !one.has(now, urgent) {
		return false
	}
	for pos := range one.stock {
		if tok := &one.stock[pos]; urgent && tok.urgent > 0 {
			tok.urgent--
			return true
		}
	}
	for pos := range one.stock {
		if tok := &one.stock[pos]; tok.other > 0 {
			tok.other--
			return true
		}
	}
	return false
}

// accrue reports whether this VM uses its equal share of the rate, because it has no contact with the leader, and adds what
// has accrued since the last request. The share begins with a random part, so that the VMs' tokens do not coincide.
func (lim *Limiter) accrue(now time.Time, one *limit) bool {
	if now.Sub(lim.contactAt) <= lim.contactLimit() {
		one.alone = false
		return false
	}
	if one.cold.set {
		lim.accrueTurn(now, one)
		return true
	}
	if !one.alone {
		one.alone = true
		one.share = rand.Float64()
		one.shareAt = now
		one.stock = nil
	}
	elapsed := min(maxIdleAccrual, now.Sub(one.shareAt))
	one.share = min(1, one.share+elapsed.Seconds()*lim.equalShare(one))
	one.shareAt = now
	return true
}

// contactLimit returns the time without an answer of the leader after which a VM uses its equal share.
func (lim *Limiter) contactLimit() time.Duration { return contactTimeout + CallGap(lim.cfg.Entries()) }

// equalShare returns the equal share of an upstream's rate in requests per second.
func (lim *Limiter) equalShare(one *limit) float64 {
	return one.statement.rate() / float64(max(1, lim.cfg.Entries()))
}

// takeShare takes the token of the equal share, if there is one.
func (lim *Limiter) takeShare(now time.Time, one *limit) bool {
	if one.share < 1 {
		return false
	}
	one.share = 0
	if one.cold.set {
		one.cold.turnAt = one.cold.turnAt.Add(lim.turnPeriod(now, one))
	}
	return true
}

// retryAfter returns the time after which a refused request may get a token.
func (lim *Limiter) retryAfter(now time.Time, one *limit) time.Duration {
	if one.alone && one.cold.set {
		return min(maxRetryAfter, max(0, one.cold.turnAt.Sub(now)))
	}
	if one.alone {
		return min(maxRetryAfter, time.Duration((1-one.share)/lim.equalShare(one)*float64(time.Second)))
	}
	return max(one.wait, time.Duration(float64(time.Second)/one.rate(now)))
}

package fprate

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// heardTimeout is how long after its last call a VM counts as in contact with the leader.
	heardTimeout = time.Second
	// reserveTime is how long the share of a VM that is no longer counted stays reserved.
	reserveTime = 5 * time.Minute
	// fractionInterval is the time between counts of the VMs in contact.
	fractionInterval = 100 * time.Millisecond
	// burstTime is the time for which unused tokens accrue, beside one token.
	burstTime = 500 * time.Millisecond
	// urgentReserve is the fraction of the burst that is left for urgent requests.
	urgentReserve = 0.5
	// maxRetryAfter bounds the time after which a refused request is to be retried.
	maxRetryAfter = 5 * time.Second
	// gapPerEntry is the time before an early call of a VM, for each entry VM, and minCallGap the shortest one. They bound the
	// calls beside the regular reports, whose number they do not change.
	gapPerEntry = 250 * time.Microsecond
	minCallGap  = 30 * time.Millisecond
	// backlogHalfLife is the half-life of the number of requests for which there was no token.
	backlogHalfLife = time.Second
)

// CallGap returns the shortest time after a call before one of a number of entry VMs calls early to acquire tokens.
func CallGap(entries uint32) time.Duration {
	return max(minCallGap, time.Duration(entries)*gapPerEntry)
}

// Ask is the number of tokens that a VM needs for an upstream, by class.
type Ask struct {
	Incarnation   Incarnation
	Urgent, Other int
}

// Grant is the number of tokens that a VM gets for an upstream, by class. Wait is the time until the leader expects to have
// tokens for requests that got none.
type Grant struct {
	Incarnation   Incarnation
	Urgent, Other int
	Wait          time.Duration
}

// Pool holds the token buckets of all limited upstreams while its VM leads, and the newest statements otherwise. Use NewPool
// to create one. It is safe for concurrent use.
type Pool struct {
	mutex   sync.Mutex
	buckets map[Incarnation]*bucket
	// term is the last term in which this VM led.
	term uint64
	// heard holds when each VM last called this VM as the leader.
	heard map[string]time.Time
	// reserved is the number of entry VMs for which equal shares of the rates are reserved, as of reservedAt, and fraction that
	// of them that were in contact at fractionAt.
	reserved   uint32
	reservedAt time.Time
	fraction   float64
	fractionAt time.Time
	// termAt is when this VM has first acted as the leader in its last term.
	termAt time.Time
}

// bucket is the token bucket of one upstream.
type bucket struct {
	statement Statement
	// assumedUntil is until when entry VMs have asked for tokens of a cold upstream of which there is no statement, with the rate
	// assumedRate.
	assumedUntil time.Time
	assumedRate  float64
	tokens       float64
	filledAt     time.Time
	// backlog is the decaying number of requests without a token as of filledAt.
	backlog float64
}

// NewPool returns a pool without statements.
func NewPool() *Pool {
	return &Pool{
		buckets: map[Incarnation]*bucket{},
		heard:   map[string]time.Time{},
	}
}

// StartTerm empties all buckets if a term of leadership has begun, because an earlier leader may have given out their tokens.
func (poo *Pool) StartTerm(now time.Time, term uint64) {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	if term == poo.term {
		return
	}
	poo.term, poo.termAt = term, now
	clear(poo.heard)
	poo.fractionAt = time.Time{}
	for _, buc := range poo.buckets {
		buc.empty(now)
	}
}

// Merge puts a statement in force if it is newer than the known one, and reports whether it states another limit.
func (poo *Pool) Merge(now time.Time, inc Incarnation, sta Statement) (changed bool) {
	return poo.merge(now, inc, sta, sta.Limited)
}

// merge is Merge. A statement about an upstream of which nothing is known has an effect only if keep is set.
func (poo *Pool) merge(now time.Time, inc Incarnation, sta Statement, keep bool) (changed bool) {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	buc := poo.buckets[inc]
	switch {
	case buc == nil && !keep:
		return false
	case buc == nil:
		buc = poo.add(now, inc)
	case !sta.At.After(buc.statement.At):
		return false
	}
	if !buc.inForce(now) {
		buc.empty(now)
	}
	before := buc.statement
	buc.statement = sta
	return !sta.sameLimit(before) || sta.inForce(now) != before.inForce(now)
}

// add adds an empty bucket. The caller holds the mutex.
func (poo *Pool) add(now time.Time, inc Incarnation) *bucket {
	buc := &bucket{
		filledAt: now,
	}
	poo.buckets[inc] = buc
	return buc
}

// empty removes all tokens.
func (buc *bucket) empty(now time.Time) { buc.tokens, buc.backlog, buc.filledAt = 0, 0, now }

// inForce reports whether requests to the upstream need tokens.
func (buc *bucket) inForce(now time.Time) bool {
	return buc.statement.inForce(now) || now.Before(buc.assumedUntil)
}

// rate returns the rate to keep in requests per second.
func (buc *bucket) rate(now time.Time) float64 {
	if !buc.statement.inForce(now) && now.Before(buc.assumedUntil) {
		return max(minRate, buc.assumedRate)
	}
	return buc.statement.rate()
}

// Prune removes upstreams that are not known any more, and limits that ended long ago.
func (poo *Pool) Prune(now time.Time, known func(inc Incarnation) bool) {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	maps.DeleteFunc(poo.buckets, func(inc Incarnation, buc *bucket) bool {
		return !known(inc) || !buc.inForce(now) && now.Sub(buc.statement.At) > endedRetention && now.Sub(buc.statement.Until) > endedRetention
	})
}

// Statements returns the newest statements of all upstreams.
func (poo *Pool) Statements() map[Incarnation]Statement {
	return poo.statements(func(Incarnation) bool { return true })
}

// StatementsOf returns the newest statements about cold upstreams, or those about rates that upstreams name.
func (poo *Pool) StatementsOf(cold bool) map[Incarnation]Statement {
	return poo.statements(func(inc Incarnation) bool { return inc.Cold == cold })
}

func (poo *Pool) statements(include func(inc Incarnation) bool) map[Incarnation]Statement {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	all := map[Incarnation]Statement{}
	for inc, buc := range poo.buckets {
		if include(inc) && !buc.statement.At.IsZero() {
			all[inc] = buc.statement
		}
	}
	return all
}

// Rate returns the rate of an upstream in requests per second, and false if it is not limited.
func (poo *Pool) Rate(inc Incarnation) (perSecond float64, limited bool) {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	buc, now := poo.buckets[inc], time.Now()
	if buc == nil || !buc.inForce(now) {
		return 0, false
	}
	return buc.rate(now), true
}

// Acquire gives a VM the tokens that it needs, as far as there are any. entries is the number of entry VMs.
func (poo *Pool) Acquire(now time.Time, vm string, entries uint32, asks []Ask) []Grant {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	poo.heard[vm] = now
	poo.reserve(now, entries)
	if len(asks) == 0 {
		return nil
	}
	fraction := poo.heardFraction(now)
	coldFraction := poo.coldFraction(now, fraction)
	var grants []Grant
	for _, ask := range asks {
		buc := poo.buckets[ask.Incarnation]
		if buc == nil || !buc.inForce(now) {
			continue
		}
		if ask.Incarnation.Cold {
			buc.fill(now, coldFraction)
		} else {
			buc.fill(now, fraction)
		}
		grants = append(grants, buc.grant(now, ask))
	}
	return grants
}

// reserve sets the number of entry VMs for which shares are reserved. VMs that are no longer counted may be cut off, and use
// their shares for some time.
func (poo *Pool) reserve(now time.Time, entries uint32) {
	if entries >= poo.reserved || now.Sub(poo.reservedAt) > reserveTime {
		poo.reserved, poo.reservedAt = entries, now
	}
}

// heardFraction returns the fraction of the entry VMs that are in contact. The others may use their equal shares of the rates.
func (poo *Pool) heardFraction(now time.Time) float64 {
	if now.Sub(poo.fractionAt) < fractionInterval {
		return poo.fraction
	}
	limit := heardTimeout + CallGap(poo.reserved)
	maps.DeleteFunc(poo.heard, func(_ string, at time.Time) bool { return now.Sub(at) > limit })
	poo.fraction = min(1, float64(len(poo.heard))/float64(max(1, poo.reserved)))
	poo.fractionAt = now
	return poo.fraction
}

// fill adds the tokens that have accrued. Only the given fraction of the rate accrues.
func (buc *bucket) fill(now time.Time, fraction float64) {
	elapsed := max(0, now.Sub(buc.filledAt))
	buc.tokens = min(buc.burst(now), buc.tokens+elapsed.Seconds()*buc.rate(now)*fraction)
	buc.backlog *= math.Exp2(-float64(elapsed) / float64(backlogHalfLife))
	buc.filledAt = now
}

// burst returns the largest number of tokens in the bucket.
func (buc *bucket) burst(now time.Time) float64 { return 1 + burstTime.Seconds()*buc.rate(now) }

// grant takes tokens for a VM. The last ones are left for urgent requests.
func (buc *bucket) grant(now time.Time, ask Ask) Grant {
	gra := Grant{
		Incarnation: ask.Incarnation,
		Urgent:      min(max(0, ask.Urgent), int(buc.tokens)),
	}
	buc.tokens -= float64(gra.Urgent)
	reserve := urgentReserve * (buc.burst(now) - 1)
	gra.Other = min(max(0, ask.Other), int(max(0, buc.tokens-reserve)))
	buc.tokens -= float64(gra.Other)
	missing := float64(max(0, ask.Urgent)+max(0, ask.Other)) - float64(gra.Urgent+gra.Other)
	if missing > 0 {
		buc.backlog += missing
		seconds := (1 + buc.backlog - buc.tokens) / buc.rate(now)
		gra.Wait = min(maxRetryAfter, time.Duration(max(0, seconds)*float64(time.Second)))
	}
	return gra
}

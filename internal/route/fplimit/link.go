package fplimit

import (
	"sync"
	"time"
)

// Traffic is a priority class of the traffic on the link between regions.
type Traffic uint8

// The classes of traffic, from the highest to the lowest priority.
const (
	Control Traffic = iota
	Small
	Bundle
	trafficCount
)

// linkBurst is the time over which an idle class accumulates its budget.
const linkBurst = time.Second

// LinkConfig configures a Link.
type LinkConfig struct {
	// Rate is the budget of all classes together, in bytes per second. 0: no traffic may cross the link.
	Rate int64
	// Shares holds the fractions of the rate for Control, Small and Bundle, in this order. All zero: 0.2, 0.5 and 0.3.
	Shares [3]float64
}

// Link is the byte budget of the link between regions. Each class of traffic has a token bucket of its own. A class whose
// bucket is empty takes bytes from the classes after it, never from those before it. Control traffic therefore has
// priority over small calls, and these over bundles. Link is safe for concurrent use. Use NewLink to create one.
type Link struct {
	mut     sync.Mutex
	rates   [trafficCount]float64 // bytes per second
	levels  [trafficCount]float64 // bytes
	updated time.Time
}

// NewLink returns a Link whose buckets are full.
func NewLink(cfg LinkConfig) *Link {
	shares := cfg.Shares
	if shares == [3]float64{} {
		shares = [3]float64{0.2, 0.5, 0.3}
	}
	lin := &Link{}
	for tra := range trafficCount {
		lin.rates[tra] = shares[tra] * float64(cfg.Rate)
		lin.levels[tra] = lin.rates[tra] * linkBurst.Seconds()
	}
	return lin
}

// Take spends bytes from the budget of a class and the classes after it. It spends nothing and returns false if they do not
// have enough.
func (lin *Link) Take(now time.Time, tra Traffic, bytes int64) bool {
	lin.mut.Lock()
	defer lin.mut.Unlock()
	lin.refill(now)
	if lin.available(tra) < float64(bytes) {
		return false
	}
	lin.spend(tra, float64(bytes))
	return true
}

// Charge spends bytes that crossed the link without a call of Take, such as the rest of a body of unknown length. The
// budget of the class may become negative, which reduces what Take and WaitFor allow the class until it is refilled.
func (lin *Link) Charge(now time.Time, tra Traffic, bytes int64) {
	lin.mut.Lock()
	defer lin.mut.Unlock()
	lin.refill(now)
	lin.spend(tra, float64(bytes))
}

// WaitFor returns how long it takes until Take succeeds if nothing else is spent in the meantime. It returns false if the
// buckets of the class and the classes after it can never hold so many bytes.
func (lin *Link) WaitFor(now time.Time, tra Traffic, bytes int64) (time.Duration, bool) {
	lin.mut.Lock()
	defer lin.mut.Unlock()
	lin.refill(now)
	rate := 0.0
	for cla := tra; cla < trafficCount; cla++ {
		rate += lin.rates[cla]
	}
	if rate <= 0 || float64(bytes) > rate*linkBurst.Seconds() {
		return 0, false
	}
	missing := float64(bytes) - lin.available(tra)
	if missing <= 0 {
		return 0, true
	}
	return time.Duration(missing / rate * float64(time.Second)), true
}

// available returns the bytes that a class may spend now. A negative budget of a later class does not reduce them.
func (lin *Link) available(tra Traffic) float64 {
	sum := lin.levels[tra]
	for cla := tra + 1; cla < trafficCount; cla++ {
		sum += max(0, lin.levels[cla])
	}
	return sum
}

// spend takes bytes from the budget of a class and then from those of the classes after it. What they do not have makes
// the budget of the class negative.
func (lin *Link) spend(tra Traffic, bytes float64) {
	for cla := tra; cla < trafficCount && bytes > 0; cla++ {
		taken := min(bytes, max(0, lin.levels[cla]))
		lin.levels[cla] -= taken
		bytes -= taken
	}
	lin.levels[tra] -= bytes
}

// refill adds the budget for the time since the latest refill.
func (lin *Link) refill(now time.Time) {
	elapsed := now.Sub(lin.updated).Seconds()
	if lin.updated.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	if lin.updated.IsZero() || now.After(lin.updated) {
		lin.updated = now
	}
	for tra := range trafficCount {
		lin.levels[tra] = min(lin.rates[tra]*linkBurst.Seconds(), lin.levels[tra]+elapsed*lin.rates[tra])
	}
}

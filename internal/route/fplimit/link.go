package fplimit

import (
	"sync"
	"time"
)

// Traffic is a class of traffic on the link between regions.
type Traffic uint8

// The classes, the first served first.
const (
	Control Traffic = iota
	Small
	Bundle
	trafficCount
)

// linkBurst is the time for which an idle class accumulates its budget.
const linkBurst = time.Second

// LinkConfig configures a Link.
type LinkConfig struct {
	// Rate is the budget of all classes together, in bytes per second. 0: no traffic crosses the link.
	Rate int64
	// Shares are the parts of the rate of Control, Small and Bundle. Unset: 0.2, 0.5 and 0.3.
	Shares [3]float64
}

// Link is the byte budget of the link between regions. Each class has a token bucket of its own. A class whose bucket is
// empty borrows from the classes after it, never from those before it, so control traffic goes first and bundles last.
// It is safe for concurrent use.
type Link struct {
	mut    sync.Mutex
	rates  [trafficCount]float64 // bytes per second
	levels [trafficCount]float64 // bytes
	at     time.Time
}

// NewLink returns a budget whose buckets are full.
func NewLink(cfg LinkConfig) *Link {
	parts := cfg.Shares
	if parts == [3]float64{} {
		parts = [3]float64{0.2, 0.5, 0.3}
	}
	lin := &Link{}
	for tra := range trafficCount {
		lin.rates[tra] = parts[tra] * float64(cfg.Rate)
		lin.levels[tra] = lin.rates[tra] * linkBurst.Seconds()
	}
	return lin
}

// Take spends bytes of a class if it or the classes after it have them, and reports whether it did.
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

// Charge spends bytes that crossed the link without asking, such as the rest of a body of unknown length. The class may
// go into debt, and then nothing of it crosses until the debt is paid.
func (lin *Link) Charge(now time.Time, tra Traffic, bytes int64) {
	lin.mut.Lock()
	defer lin.mut.Unlock()
	lin.refill(now)
	lin.spend(tra, float64(bytes))
}

// WaitFor returns how long it takes until Take grants the bytes if nothing else is spent. It returns false when the
// bytes exceed what the buckets can hold.
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

// available returns the bytes that a class may spend now. Debt of a later class does not reduce it.
func (lin *Link) available(tra Traffic) float64 {
	sum := lin.levels[tra]
	for cla := tra + 1; cla < trafficCount; cla++ {
		sum += max(0, lin.levels[cla])
	}
	return sum
}

// spend takes bytes from a class and then from those after it; the rest becomes debt of the class.
func (lin *Link) spend(tra Traffic, bytes float64) {
	for cla := tra; cla < trafficCount && bytes > 0; cla++ {
		part := min(bytes, max(0, lin.levels[cla]))
		lin.levels[cla] -= part
		bytes -= part
	}
	lin.levels[tra] -= bytes
}

// refill adds the budget of the time that has passed.
func (lin *Link) refill(now time.Time) {
	passed := now.Sub(lin.at).Seconds()
	if lin.at.IsZero() || passed < 0 {
		passed = 0
	}
	if lin.at.IsZero() || now.After(lin.at) {
		lin.at = now
	}
	for tra := range trafficCount {
		lin.levels[tra] = min(lin.rates[tra]*linkBurst.Seconds(), lin.levels[tra]+passed*lin.rates[tra])
	}
}

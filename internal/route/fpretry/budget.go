package fpretry

import "time"

// budgetSpan is the time for which successes earn retries. A longer span would let a failure of all upstreams spend what
// minutes of health have earned, and the amplification in the first second would be far above the bound.
const budgetSpan = time.Second

// budget holds the retries that recent successes have earned. It starts empty: nothing is spent before it is earned.
type budget struct {
	share    float64
	tokens   float64
	start    time.Time
	current  float64 // tokens earned in this span
	previous float64 // tokens earned in the span before
}

// earn adds the part of a retry that one success pays for.
func (bud *budget) earn(now time.Time) {
	bud.turn(now)
	bud.current += bud.share
	bud.tokens += bud.share
	bud.bound()
}

// spend takes one retry and reports whether there was one.
func (bud *budget) spend(now time.Time) bool {
	bud.turn(now)
	bud.bound()
	if bud.tokens < 1 {
		return false
	}
	bud.tokens--
	return true
}

// bound keeps no more than the better of the last two spans has earned, but lets a single retry accumulate at low rates.
func (bud *budget) bound() {
	bud.tokens = min(bud.tokens, max(1, bud.current, bud.previous))
}

// turn starts a new span when the current one is over.
func (bud *budget) turn(now time.Time) {
	if bud.start.IsZero() {
		bud.start = now
		return
	}
	age := now.Sub(bud.start)
	if age < budgetSpan {
		return
	}
	bud.previous = bud.current
	if age >= 2*budgetSpan {
		bud.previous = 0
	}
	bud.current = 0
	bud.start = now
}

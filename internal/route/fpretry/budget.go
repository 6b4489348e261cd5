package fpretry

import "time"

// budgetWindow is the time for which earned retries can be spent. With a longer window, a failure of all upstreams could
// spend the retries earned in minutes of normal operation, and the ratio of attempts to requests in the first second would be
// far above the bound.
const budgetWindow = time.Second

// budget is a token bucket: recent successes earn tokens, and each retry spends one. It starts empty.
type budget struct {
	ratio    float64
	tokens   float64
	start    time.Time
	current  float64 // tokens earned in this window
	previous float64 // tokens earned in the window before
}

// earn adds the tokens that one success earns.
func (bud *budget) earn(now time.Time) {
	bud.rotate(now)
	bud.current += bud.ratio
	bud.tokens += bud.ratio
	bud.capTokens()
}

// spend takes one token if there is one, and reports whether there was.
func (bud *budget) spend(now time.Time) bool {
	bud.rotate(now)
	bud.capTokens()
	if bud.tokens < 1 {
		return false
	}
	bud.tokens--
	return true
}

// capTokens limits the tokens to the larger of what the current and the previous window have earned, but to no less than 1, so
// that at low rates a single retry can accumulate.
func (bud *budget) capTokens() {
	bud.tokens = min(bud.tokens, max(1, bud.current, bud.previous))
}

// rotate starts a new window when the current one is over.
func (bud *budget) rotate(now time.Time) {
	if bud.start.IsZero() {
		bud.start = now
		return
	}
	age := now.Sub(bud.start)
	if age < budgetWindow {
		return
	}
	bud.previous = bud.current
	if age >= 2*budgetWindow {
		bud.previous = 0
	}
	bud.current = 0
	bud.start = now
}

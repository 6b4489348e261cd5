// Package fprate keeps the request rates that upstreams name for all entry VMs together.
//
// The leader of the control VMs has a Pool with a token bucket for each limited upstream, and each entry VM has a Limiter,
// which lets a request pass only with a token. Tokens expire soon, so that a VM that has got too many does not save them for
// a burst. A VM that cannot reach the leader uses an equal share of the rate, which the leader withholds from the others.
package fprate

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// maxRateText is the length in bytes above which a named rate is invalid.
	maxRateText = 32
	// maxRate bounds a valid rate in requests per second. Higher ones count as this one.
	maxRate = 1e6
	// minRate is the rate in requests per second at which an upstream that names a lower one is tried. An upstream without
	// requests could not state that its limit has changed.
	minRate = 0.25
)

// Incarnation identifies a limit of one run of an upstream's process: that of the rate which it names, or, with Cold, that which
// holds while it is cold. Both are independent, and a request needs a token of each that is in force.
type Incarnation struct {
	ID   string
	Born uint64
	Cold bool
}

// Statement is what an upstream has last said about its rate.
type Statement struct {
	// Limited states that the upstream has named a rate. Without it, the upstream has ended its limit.
	Limited bool
	// PerSecond is the named rate in requests per second.
	PerSecond float64
	// At is when the request was sent whose answer made the statement. A later statement replaces an earlier one, so that an
	// old answer that arrives late has no effect.
	At time.Time
	// Until is when the limit ends by itself. The zero time means that it does not. Limits of cold upstreams have an end.
	Until time.Time
}

// inForce reports whether the statement limits requests.
func (sta Statement) inForce(now time.Time) bool {
	return sta.Limited && (sta.Until.IsZero() || now.Before(sta.Until))
}

// untilTolerance is the difference between two ends of a limit below which they count as the same. The ends in successive
// announcements differ by the time that these take.
const untilTolerance = 700 * time.Millisecond

// sameLimit reports whether two statements state the same rate until about the same time.
func (sta Statement) sameLimit(other Statement) bool {
	return sta.sameRate(other) && sta.Until.Sub(other.Until).Abs() < untilTolerance
}

// rate returns the rate to keep in requests per second.
func (sta Statement) rate() float64 { return max(minRate, sta.PerSecond) }

// sameRate reports whether two statements state the same rate.
func (sta Statement) sameRate(other Statement) bool {
	return sta.Limited == other.Limited && sta.PerSecond == other.PerSecond
}

// Parse returns the rate in requests per second that an upstream has named, a decimal number, or false if it is invalid:
// empty, negative, infinite, no number, or too long. An answer with an invalid rate states nothing.
func Parse(text string) (perSecond float64, ok bool) {
	text = strings.TrimSpace(text)
	if len(text) > maxRateText || strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, false
	}
	num, err := strconv.ParseFloat(text, 64)
	if err != nil || num < 0 || math.IsNaN(num) {
		return 0, false
	}
	return min(num, maxRate), true
}

package fpforward

import (
	"sync"
	"time"
)

// rankAge is how long a route counts as used after its last request.
const priorityWindow = 2 * time.Second

// ranks notes which ranks of routes have requests for each service, so that only routes that compete give way.
type priorityTracker struct {
	mutex    sync.Mutex
	lastSeen map[string]map[uint32]time.Time
}

// lower notes a request and reports whether a more urgent rank, which is a lower number, has had requests lately.
func (trk *priorityTracker) observe(now time.Time, service string, priority uint32) bool {
	trk.mutex.Lock()
	defer trk.mutex.Unlock()
	if trk.lastSeen == nil {
		trk.lastSeen = map[string]map[uint32]time.Time{}
	}
	seen := trk.lastSeen[service]
	if seen == nil {
		seen = map[uint32]time.Time{}
		trk.lastSeen[service] = seen
	}
	seen[priority] = now
	for other, at := range seen {
		if other < priority && now.Sub(at) < priorityWindow {
			return true
		}
	}
	return false
}

// waits notes the longest wait that callers of a route have stated lately, which is that of a first attempt. A caller that
// comes back after a refusal states less.
type waitTracker struct {
	mutex   sync.Mutex
	longest map[string]*longestWait
}

// longestWait holds the longest wait of the current period and of the one before.
type longestWait struct {
	current, before time.Duration
	started         time.Time
}

const (
	// waitPeriod is the time after which an older longest wait is forgotten.
	waitPeriod = 5 * time.Second
	// returnShare is the part of the longest wait below which a caller has come back. A refusal and the way to another
	// VM take a tenth of the shortest wait or more.
	callerRetryFraction = 0.93
)

// returned notes what a caller says and reports whether it has come back after a refusal.
func (trk *waitTracker) observe(now time.Time, route string, wait time.Duration) bool {
	if wait <= 0 {
		return false
	}
	trk.mutex.Lock()
	defer trk.mutex.Unlock()
	if trk.longest == nil {
		trk.longest = map[string]*longestWait{}
	}
	lon := trk.longest[route]
	if lon == nil {
		lon = &longestWait{
			started: now,
		}
		trk.longest[route] = lon
	}
	if now.Sub(lon.started) > waitPeriod {
		lon.before, lon.current, lon.started = lon.current, 0, now
	}
	lon.current = max(lon.current, wait)
	return float64(wait) < callerRetryFraction*float64(max(lon.current, lon.before))
}

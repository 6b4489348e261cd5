package fpforward

import (
	"slices"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpurgency"
)

// priorityWindow is how long a priority counts as in use after its last request.
const priorityWindow = 2 * time.Second

// priorityTracker records which priorities of routes have requests for each service, so that routes of low priority give way
// only while others compete with them. The zero value is empty.
type priorityTracker struct {
	mutex    sync.Mutex
	services map[string][]usedPriority
}

// usedPriority is a priority that has had requests, the last one at a time.
type usedPriority struct {
	fpurgency.Use
	lastSeen time.Time
}

// observe records a request and returns the priorities that have had requests for the service within priorityWindow, including this
// one.
func (trk *priorityTracker) observe(now time.Time, service string, priority uint32, objective time.Duration) []fpurgency.Use {
	trk.mutex.Lock()
	defer trk.mutex.Unlock()
	if trk.services == nil {
		trk.services = map[string][]usedPriority{}
	}
	used := slices.DeleteFunc(trk.services[service], func(use usedPriority) bool { return now.Sub(use.lastSeen) >= priorityWindow })
	pos := slices.IndexFunc(used, func(use usedPriority) bool { return use.Priority == priority })
	if pos < 0 {
		pos = len(used)
		used = append(used, usedPriority{
			Use: fpurgency.Use{
				Priority:  priority,
				Objective: objective,
			},
		})
	}
	used[pos].lastSeen = now
	if objective > 0 && (used[pos].Objective <= 0 || objective < used[pos].Objective) {
		used[pos].Objective = objective
	}
	trk.services[service] = used
	uses := make([]fpurgency.Use, len(used))
	for pos, use := range used {
		uses[pos] = use.Use
	}
	return uses
}

// waitTracker detects retries of callers by the wait that they state. It records the longest wait for each route, which is
// that of a first attempt. A caller that retries after a refusal has less time left. The zero value is empty.
type waitTracker struct {
	mutex   sync.Mutex
	longest map[string]*longestWait
}

// longestWait holds the longest wait of the current period and of the one before.
type longestWait struct {
	current, before time.Duration
	started         time.Time
}

// add records a wait. A new period begins if the current one is over.
func (lon *longestWait) add(now time.Time, wait, period time.Duration) {
	switch since := now.Sub(lon.started); {
	case since > 2*period:
		lon.before, lon.current, lon.started = 0, 0, now
	case since > period:
		lon.before, lon.current, lon.started = lon.current, 0, now
	}
	lon.current = max(lon.current, wait)
}

const (
	// waitPeriod is the time after which an older longest wait is forgotten.
	waitPeriod = 5 * time.Second
	// callerRetryFraction is the fraction of the longest wait below which a request counts as a retry. A refusal and the way
	// to another VM take a tenth of the shortest wait or more.
	callerRetryFraction = 0.93
)

// observe records the wait that a caller states, and reports whether the request counts as a retry after a refusal. A wait
// of 0 means that the caller stated none.
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
	lon.add(now, wait, waitPeriod)
	return float64(wait) < callerRetryFraction*float64(max(lon.current, lon.before))
}

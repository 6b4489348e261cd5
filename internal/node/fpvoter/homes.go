package fpvoter

import (
	"context"
	"sync"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// homeChanges proposes changes of the home ranges of services until they are committed. A change replaces an earlier one of its service
// that is not committed yet, and a service has one proposal at a time, so that an earlier change is not committed after a later one.
// It is safe for concurrent use.
type homeChanges struct {
	// propose proposes a change and waits for the outcome.
	propose func(set *fpwire.SetHomes) error

	mutex sync.Mutex
	// last holds the last change of each service whose changes are being proposed.
	last map[string]*fpwire.SetHomes
}

// add records a change. It reports whether the caller has to call run for the service, because no call is running.
func (cha *homeChanges) add(set *fpwire.SetHomes) bool {
	cha.mutex.Lock()
	defer cha.mutex.Unlock()
	_, running := cha.last[set.GetService()]
	cha.last[set.GetService()] = set
	return !running
}

// run proposes the last change of a service until it is committed or ctx ends.
func (cha *homeChanges) run(ctx context.Context, service string) {
	for ctx.Err() == nil {
		cha.mutex.Lock()
		set := cha.last[service]
		cha.mutex.Unlock()
		if err := cha.propose(set); err != nil {
			pause(ctx, watchInterval)
			continue
		}
		if cha.finish(set) {
			return
		}
	}
}

// finish ends the changes of a service after one was committed, and reports true, unless there is a later one.
func (cha *homeChanges) finish(set *fpwire.SetHomes) bool {
	cha.mutex.Lock()
	defer cha.mutex.Unlock()
	if cha.last[set.GetService()] != set {
		return false
	}
	delete(cha.last, set.GetService())
	return true
}

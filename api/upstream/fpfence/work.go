package fpfence

import (
	"context"
	"slices"
	"sync/atomic"
)

// maxRecentIDs is the number of latest ids that a recentIDs set always holds. It holds fewer than twice as many.
const maxRecentIDs = 4096

// tracker records running requests and the ids of ended and cancelled ones. The mutex of its Fence guards it.
type tracker struct {
	// running holds the running requests by id.
	running map[string]*activeRequest
	ended   recentIDs
	// cancelled holds the ids of requests that were cancelled before they arrived.
	cancelled   recentIDs
	lastLocalID uint64
}

// nextLocalID returns a number for a request without a Foxtailpulley-Request header.
func (tra *tracker) nextLocalID() uint64 {
	tra.lastLocalID++
	return tra.lastLocalID
}

// activeRequest is a running request. Its channel done is closed when it has ended.
type activeRequest struct {
	id        string
	group     string
	slotEpoch slotEpoch
	// stopped states that the fence stopped the request because it may no longer run, not at the wish of its sender.
	stopped atomic.Bool
	cancel  context.CancelFunc
	done    chan struct{}
}

// stopAll stops the running requests that match and returns them.
func (tra *tracker) stopAll(match func(act *activeRequest) bool) []*activeRequest {
	var all []*activeRequest
	for _, act := range tra.running {
		if match(act) {
			act.stopped.Store(true)
			act.cancel()
			all = append(all, act)
		}
	}
	return all
}

// waitStopped waits until all requests have ended. It returns ctx.Err() if ctx ends first.
func waitStopped(ctx context.Context, requests []*activeRequest) error {
	for _, act := range requests {
		select {
		case <-act.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// recentIDs is a bounded set of ids. It drops the oldest ids first.
type recentIDs struct {
	ids   map[string]bool
	order []string
}

func (rec *recentIDs) add(id string) {
	if rec.ids == nil {
		rec.ids = map[string]bool{}
	}
	if rec.ids[id] {
		return
	}
	rec.ids[id] = true
	rec.order = append(rec.order, id)
	if len(rec.order) < 2*maxRecentIDs {
		return
	}
	for _, old := range rec.order[:maxRecentIDs] {
		delete(rec.ids, old)
	}
	rec.order = slices.Clone(rec.order[maxRecentIDs:])
}

func (rec *recentIDs) has(id string) bool { return rec.ids[id] }

package fpfence

import (
	"context"
	"slices"
)

// maxRemembered bounds the ids of requests that have ended, and those of requests that were cancelled before they came.
const maxRemembered = 4096

// work holds the requests that run and remembers others that were cancelled or have ended. The mutex of its Fence guards
// it.
type work struct {
	running   map[string]*run
	ended     memory
	cancelled memory
	local     uint64
}

// next numbers requests without an id of the router.
func (wor *work) next() uint64 {
	wor.local++
	return wor.local
}

// run is a request that runs.
type run struct {
	id     string
	group  string
	fence  fence
	cancel context.CancelFunc
	done   chan struct{}
}

// cancelAll cancels the requests that match and returns them.
func (wor *work) cancelAll(match func(run *run) bool) []*run {
	var all []*run
	for _, one := range wor.running {
		if match(one) {
			one.cancel()
			all = append(all, one)
		}
	}
	return all
}

// wait returns when the requests no longer run, or when ctx ends.
func wait(ctx context.Context, runs []*run) error {
	for _, one := range runs {
		select {
		case <-one.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// memory is a bounded set of ids that forgets the oldest first.
type memory struct {
	ids   map[string]bool
	order []string
}

func (mem *memory) add(id string) {
	if mem.ids == nil {
		mem.ids = map[string]bool{}
	}
	if mem.ids[id] {
		return
	}
	mem.ids[id] = true
	mem.order = append(mem.order, id)
	if len(mem.order) < 2*maxRemembered {
		return
	}
	for _, old := range mem.order[:maxRemembered] {
		delete(mem.ids, old)
	}
	mem.order = slices.Clone(mem.order[maxRemembered:])
}

func (mem *memory) has(id string) bool { return mem.ids[id] }

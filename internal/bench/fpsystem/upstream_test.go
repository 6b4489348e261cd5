package fpsystem_test

import (
	"testing"
	"time"
)

// TestOwnerKilled guards against a key that stays unserved after its owner was lost.
func TestOwnerKilled(t *testing.T) {
	sys := newSystem(t, oneRegion())
	sys.addPlans(4)
	owner := sys.owner("a1", "harbour")
	sys.upstreams[owner].running.kill()
	for _, vm := range []string{"a1", "a2", "b1"} {
		took := sys.awaitServed(request{
			vm:   vm,
			path: planGet,
			key:  "harbour",
		})
		t.Logf("served again through %s after %v", vm, took)
	}
	if now := sys.owner("b1", "harbour"); now == owner {
		t.Errorf("the killed upstream %s still owns the key", owner)
	}
	sys.checkOwners()
}

// TestOwnerFrozen guards against two owners of a key when an upstream freezes and returns believing that it owns the key.
func TestOwnerFrozen(t *testing.T) {
	t.Parallel()
	sys := newSystem(t, oneRegion())
	sys.addPlans(4)
	owner := sys.owner("a1", "harbour")
	frozen := sys.upstreams[owner].running
	sys.freezeUpstream(owner)
	sys.awaitServed(request{
		vm:   "b1",
		path: planGet,
		key:  "harbour",
	})
	next := sys.owner("b1", "harbour")
	if next == owner {
		t.Fatalf("the frozen upstream %s answered", owner)
	}
	frozen.thaw()
	end := time.Now().Add(2 * time.Second)
	for time.Now().Before(end) {
		rep := sys.do(request{
			vm:   "a1",
			path: planGet,
			key:  "harbour",
		})
		if rep.ok() && rep.upstream == owner {
			t.Fatalf("%s served the key after it lost it", owner)
		}
	}
	sys.checkOwners()
}

package fpsystem_test

import (
	"testing"
	"time"
)

// TestOwnerKilled guards against a key that is no longer served after its owner is killed.
func TestOwnerKilled(t *testing.T) {
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(4)
	owner := sys.owner("a1", "harbour")
	sys.upstreams[owner].process.kill()
	for _, vm := range []string{"a1", "a2", "b1"} {
		took := sys.awaitServed(request{
			vm:   vm,
			path: planGet,
			key:  "harbour",
		})
		t.Logf("served again through %s after %v", vm, took)
	}
	if newOwner := sys.owner("b1", "harbour"); newOwner == owner {
		t.Errorf("the killed upstream %s still owns the key", owner)
	}
	sys.checkExclusiveOwnership()
}

// TestOwnerFrozen guards against two owners of a key after its owner is frozen until the key has another owner, and is then
// thawed.
func TestOwnerFrozen(t *testing.T) {
	t.Parallel()
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(4)
	owner := sys.owner("a1", "harbour")
	pro := sys.upstreams[owner].process
	sys.freezeUpstream(owner)
	sys.awaitServed(request{
		vm:   "b1",
		path: planGet,
		key:  "harbour",
	})
	newOwner := sys.owner("b1", "harbour")
	if newOwner == owner {
		t.Fatalf("the frozen upstream %s still owns the key", owner)
	}
	pro.thaw()
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) {
		rep := sys.do(request{
			vm:   "a1",
			path: planGet,
			key:  "harbour",
		})
		if rep.ok() && rep.upstream == owner {
			t.Fatalf("%s served the key after the key had moved", owner)
		}
	}
	sys.checkExclusiveOwnership()
}

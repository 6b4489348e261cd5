package fpsystem_test

import (
	"slices"
	"testing"
	"time"
)

// TestLeaderKilled guards against keys that stay unserved, or get two owners, after the leader was lost.
func TestLeaderKilled(t *testing.T) {
	sys := newSystem(t, oneRegion())
	sys.addPlans(4)
	old := sys.awaitLeader("a1", "r")
	rest := sys.others(old.vm)
	loa := sys.startLoad(20*time.Millisecond, keyedLoad("harbour", rest...))
	lost := time.Now()
	sys.machines[old.vm].running.kill()
	next := sys.awaitLeader(rest[0], "r", old.vm)
	t.Logf("%s leads after %s, seen after %v", next.vm, old.vm, time.Since(lost))
	for _, vm := range rest {
		compare(t, "served through "+vm, sys.awaitFirst(loa, lost, through(vm)), recoveryTarget)
	}
	// The claims of non-idempotent calls need the new leader.
	set := sys.awaitServed(request{
		vm:   rest[0],
		path: planSet,
		key:  "harbour",
		id:   newID(t),
	})
	compare(t, "non-idempotent call answered after the new leader was seen", set, recoveryTarget)
	sys.checkGaps(loa.results(), lost, recoveryTarget)
	sys.checkOwners()
}

// TestLeaderAndOwnerKilled guards against a key that stays unserved when the VM that must move it is lost together with
// its owner.
func TestLeaderAndOwnerKilled(t *testing.T) {
	sys := newSystem(t, oneRegion())
	sys.addPlans(4)
	owner := sys.owner("a1", "harbour")
	old := sys.awaitLeader("a1", "r")
	rest := sys.others(old.vm)
	loa := sys.startLoad(20*time.Millisecond, keyedLoad("harbour", rest...))
	time.Sleep(200 * time.Millisecond)
	lost := time.Now()
	sys.upstreams[owner].running.kill()
	sys.machines[old.vm].running.kill()
	for _, vm := range rest {
		compare(t, "served through "+vm, sys.awaitFirst(loa, lost, through(vm)), recoveryTarget)
	}
	if now := sys.owner(rest[0], "harbour"); now == owner {
		t.Errorf("the killed upstream %s still owns the key", owner)
	}
	sys.checkGaps(loa.results(), lost, recoveryTarget)
	sys.checkOwners()
}

// TestLeaderFrozen guards against a leader that acts on its old authority when it returns from a pause: it must not grant
// what another leader has moved, and must not forward what waited in its sockets to an old owner.
func TestLeaderFrozen(t *testing.T) {
	t.Run("owner stays", func(t *testing.T) { testLeaderFrozen(t, false) })
	t.Run("owner lost", func(t *testing.T) { testLeaderFrozen(t, true) })
}

func testLeaderFrozen(t *testing.T, loseOwner bool) {
	const frozen = 3 * time.Second
	sys := newSystem(t, oneRegion())
	sys.addPlans(4)
	owner := sys.owner("a1", "harbour")
	old := sys.awaitLeader("a1", "r")
	rest := sys.others(old.vm)
	loa := sys.startLoad(20*time.Millisecond, keyedLoad("harbour", rest...))
	past := sys.startLoad(50*time.Millisecond, keyedLoad("harbour", old.vm))
	time.Sleep(200 * time.Millisecond)
	lost := time.Now()
	sys.machines[old.vm].running.freeze()
	if loseOwner {
		sys.upstreams[owner].running.kill()
	}
	for _, vm := range rest {
		compare(t, "served through "+vm, sys.awaitFirst(loa, lost, through(vm)), recoveryTarget)
	}
	time.Sleep(time.Until(lost.Add(frozen)))
	next := sys.awaitLeader(rest[0], "r", old.vm)
	if loseOwner {
		sys.startUpstream(owner) // the old owner returns at the same address
	}
	thawed := time.Now()
	sys.machines[old.vm].running.thaw()
	compare(t, "served through the thawed VM", sys.awaitFirst(past, thawed, nil), recoveryTarget)
	time.Sleep(2 * time.Second)
	if now := sys.awaitLeader(rest[0], "r"); now != next {
		t.Errorf("%s led in term %d before the frozen VM was thawed, and %s in term %d after it", next.vm, next.term, now.vm, now.term)
	}
	sys.checkGaps(loa.results(), lost, recoveryTarget)
	// The answers to requests before the freeze may be read a little later.
	still := lost.Add(200 * time.Millisecond)
	if answered := slices.ContainsFunc(past.results(), func(sam sample) bool {
		return sam.reply.ok() && sam.end().After(still) && sam.end().Before(thawed)
	}); answered {
		t.Error("the frozen VM answered")
	}
	sys.checkOwners()
}

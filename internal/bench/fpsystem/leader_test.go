package fpsystem_test

import (
	"slices"
	"testing"
	"time"
)

// TestLeaderKilled guards against a key that is no longer served, or has two owners, after the leader of its group is killed.
func TestLeaderKilled(t *testing.T) {
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(4)
	oldLeader := sys.awaitLeader("a1", "r")
	others := sys.otherVMs(oldLeader.vm)
	loa := sys.startLoad(20*time.Millisecond, keyedRequests("harbour", others...))
	lostAt := time.Now()
	sys.machines[oldLeader.vm].process.kill()
	newLeader := sys.awaitLeader(others[0], "r", oldLeader.vm)
	t.Logf("%s leads after %s, seen %v after the kill", newLeader.vm, oldLeader.vm, time.Since(lostAt))
	for _, vm := range others {
		reportDuration(t, "served through "+vm, sys.awaitFirstServed(loa, lostAt, sentThrough(vm)), recoveryTarget)
	}
	// Non-idempotent calls need a leader, which records their claims.
	took := sys.awaitServed(request{
		vm:   others[0],
		path: planSet,
		key:  "harbour",
		id:   newRequestID(t),
	})
	reportDuration(t, "non-idempotent call answered after the new leader was seen", took, recoveryTarget)
	sys.reportLongestGap(loa.stopAndCollect(), lostAt, recoveryTarget)
	sys.checkExclusiveOwnership()
}

// TestLeaderAndOwnerKilled guards against a key that is no longer served after its owner and the leader, which would move the
// key, are killed at the same time.
func TestLeaderAndOwnerKilled(t *testing.T) {
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(4)
	owner := sys.owner("a1", "harbour")
	oldLeader := sys.awaitLeader("a1", "r")
	others := sys.otherVMs(oldLeader.vm)
	loa := sys.startLoad(20*time.Millisecond, keyedRequests("harbour", others...))
	time.Sleep(200 * time.Millisecond)
	lostAt := time.Now()
	sys.upstreams[owner].process.kill()
	sys.machines[oldLeader.vm].process.kill()
	for _, vm := range others {
		reportDuration(t, "served through "+vm, sys.awaitFirstServed(loa, lostAt, sentThrough(vm)), recoveryTarget)
	}
	if newOwner := sys.owner(others[0], "harbour"); newOwner == owner {
		t.Errorf("the killed upstream %s still owns the key", owner)
	}
	sys.reportLongestGap(loa.stopAndCollect(), lostAt, recoveryTarget)
	sys.checkExclusiveOwnership()
}

// TestLeaderFrozen guards against a leader that acts on an expired lease after it was frozen. It must not grant keys that the
// new leader has moved, and must not forward requests that waited in its sockets to a previous owner.
func TestLeaderFrozen(t *testing.T) {
	t.Run("owner stays", func(t *testing.T) { testLeaderFrozen(t, false) })
	t.Run("owner lost", func(t *testing.T) { testLeaderFrozen(t, true) })
}

// testLeaderFrozen freezes the leader of a group for some time. With loseOwner it also kills the owner of a key, and restarts
// it before the leader is thawed.
func testLeaderFrozen(t *testing.T, loseOwner bool) {
	const frozenFor = 3 * time.Second
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(4)
	owner := sys.owner("a1", "harbour")
	oldLeader := sys.awaitLeader("a1", "r")
	others := sys.otherVMs(oldLeader.vm)
	loa := sys.startLoad(20*time.Millisecond, keyedRequests("harbour", others...))
	frozenLoad := sys.startLoad(50*time.Millisecond, keyedRequests("harbour", oldLeader.vm))
	time.Sleep(200 * time.Millisecond)
	lostAt := time.Now()
	sys.machines[oldLeader.vm].process.freeze()
	if loseOwner {
		sys.upstreams[owner].process.kill()
	}
	for _, vm := range others {
		reportDuration(t, "served through "+vm, sys.awaitFirstServed(loa, lostAt, sentThrough(vm)), recoveryTarget)
	}
	time.Sleep(time.Until(lostAt.Add(frozenFor)))
	newLeader := sys.awaitLeader(others[0], "r", oldLeader.vm)
	if loseOwner {
		sys.startUpstream(owner) // at the same address
	}
	thawedAt := time.Now()
	sys.machines[oldLeader.vm].process.thaw()
	reportDuration(t, "served through the thawed VM", sys.awaitFirstServed(frozenLoad, thawedAt, nil), recoveryTarget)
	time.Sleep(2 * time.Second)
	if current := sys.awaitLeader(others[0], "r"); current != newLeader {
		t.Errorf("%s led in term %d before the frozen VM was thawed, and %s in term %d after it", newLeader.vm, newLeader.term, current.vm, current.term)
	}
	sys.reportLongestGap(loa.stopAndCollect(), lostAt, recoveryTarget)
	// Answers that were sent before the freeze may be read a little later.
	noAnswersFrom := lostAt.Add(200 * time.Millisecond)
	if answered := slices.ContainsFunc(frozenLoad.stopAndCollect(), func(sam sample) bool {
		return sam.reply.ok() && sam.end().After(noAnswersFrom) && sam.end().Before(thawedAt)
	}); answered {
		t.Error("the VM served a request while it was frozen")
	}
	sys.checkExclusiveOwnership()
}

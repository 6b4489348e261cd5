package fpkeeper

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// startAgain announces the next incarnation of the first upstream, which has the id and the address of the arguments.
func (har *harness) startAgain(id, address string) {
	next := proto.CloneOf(har.upstreams[0])
	next.Id, next.Address = id, address
	next.Born++
	if id == har.upstreams[0].GetId() {
		har.upstreams[0] = next
		return
	}
	har.upstreams[0] = proto.CloneOf(har.upstreams[0])
	har.upstreams[0].Gone = true
	har.upstreams = append(har.upstreams, next)
}

// heldByFirst reports whether the first incarnation of upstream one holds keys.
func (har *harness) heldByFirst() bool {
	for _, ran := range har.ranges {
		if ran.GetUpstream() == "one" && ran.GetBorn() == 1 {
			return true
		}
	}
	return false
}

// TestIncarnationEndedAtItsAddress guards against keys that wait for the end of a hold though a later incarnation at the address of
// their holder, under its id or another one, proves that the holder has ended: one under another id refuses an order for the holder.
func TestIncarnationEndedAtItsAddress(t *testing.T) {
	for _, id := range []string{"one", "three"} {
		har := newHarness(t, "one", "two")
		har.serveAll()
		har.startAgain(id, "one")
		for range 2 {
			for _, ord := range har.plan() {
				har.finish(ord, Result{
					Answered:    ord.Upstream.GetAddress() != "one",
					Misdirected: ord.Upstream.GetAddress() == "one" && ord.Upstream.GetId() != id,
				})
			}
		}
		har.plan()
		if har.heldByFirst() {
			t.Errorf("the keys stay with an incarnation whose address upstream %s has", id)
		}
	}
}

// TestAnnouncementAtAddressOfHolder guards against a second holder: an announcement of another writer names the address of an upstream
// that holds keys, and they go on although it still answers there, or although nothing is known of it.
func TestAnnouncementAtAddressOfHolder(t *testing.T) {
	for _, answers := range []bool{true, false} {
		har := newHarness(t, "one", "two")
		har.serveAll()
		granted := har.now
		har.startAgain("three", "one")
		released := false
		for har.now.Before(granted.Add(DefaultHold)) {
			for _, ord := range har.plan() {
				ofHolder := ord.Upstream.GetId() == "one"
				released = released || ofHolder && answers && ord.Action == Release
				har.finish(ord, Result{
					Answered: !ofHolder || answers,
				})
			}
			if !released && !har.heldByFirst() {
				t.Fatalf("answers %t: the keys went on %v after the last grant, and without a release", answers, har.now.Sub(granted))
			}
			har.now = har.now.Add(100 * time.Millisecond)
		}
		if answers && har.heldByFirst() {
			t.Error("the keys stay with an upstream that has given them back")
		}
	}
}

// TestIncarnationStartedElsewhere guards against a second holder: an upstream that is paused or cut off was started again under its id
// at another address, and the keys of its first incarnation go on at once, or a grant for them goes to the second one under their
// fence.
func TestIncarnationStartedElsewhere(t *testing.T) {
	har := newHarness(t, "one", "two")
	har.serveAll()
	granted := har.now
	har.startAgain("one", "elsewhere")
	for har.now.Before(granted.Add(DefaultHold)) {
		for _, ord := range har.plan() {
			if ord.Range.GetBorn() != ord.Upstream.GetBorn() {
				t.Fatalf("an order for keys %d to %d went to the second incarnation", ord.Range.GetFirst(), ord.Range.GetLast())
			}
			har.finish(ord, Result{
				Answered: ord.Upstream.GetAddress() != "one",
			})
		}
		if !har.heldByFirst() {
			t.Fatalf("the keys of the first incarnation went on %v after its last grant", har.now.Sub(granted))
		}
		har.now = har.now.Add(100 * time.Millisecond)
	}
	for range 20 {
		for _, ord := range har.plan() {
			har.finish(ord, Result{
				Answered: ord.Upstream.GetAddress() != "one",
			})
		}
		har.now = har.now.Add(100 * time.Millisecond)
	}
	if har.heldByFirst() {
		t.Errorf("the first incarnation still holds keys %v after its last grant", har.now.Sub(granted))
	}
}

// TestIncarnationStartedElsewhereReleases guards against keys that wait for the end of a hold though their holder, which was started
// again under its id at another address, answers a release.
func TestIncarnationStartedElsewhereReleases(t *testing.T) {
	har := newHarness(t, "one", "two")
	har.serveAll()
	har.startAgain("one", "elsewhere")
	for range 10 {
		for _, ord := range har.plan() {
			if ord.Action == Grant && ord.Upstream.GetAddress() == "one" {
				t.Error("a grant was sent to the first incarnation")
			}
			har.finish(ord, Result{
				Answered: true,
			})
		}
		har.now = har.now.Add(100 * time.Millisecond)
	}
	if har.heldByFirst() {
		t.Error("the first incarnation still holds keys 1 s after the second one is known")
	}
}

// TestOnlyUpstreamStartedElsewhere guards against keys that stay forever with an incarnation that has ended, because the only
// upstream has its id.
func TestOnlyUpstreamStartedElsewhere(t *testing.T) {
	har := newHarness(t, "one")
	har.serveAll()
	har.startAgain("one", "elsewhere")
	for range 100 {
		for _, ord := range har.plan() {
			har.finish(ord, Result{
				Answered: ord.Upstream.GetAddress() == "elsewhere",
				NotSent:  ord.Upstream.GetAddress() == "one",
			})
		}
		har.now = har.now.Add(100 * time.Millisecond)
	}
	for _, ran := range har.ranges {
		if ran.GetBorn() != 2 || ran.GetPhase() != fpstate.Phase_PHASE_SERVING {
			t.Errorf("keys %d to %d are in phase %v at incarnation %d after 10 s", ran.GetFirst(), ran.GetLast(), ran.GetPhase(), ran.GetBorn())
		}
	}
}

// TestLeaderWithoutFormerAddress guards against a second holder after a change of the leader: the new one knows only the later
// incarnation of a holder, and not whether it has the address of the earlier one.
func TestLeaderWithoutFormerAddress(t *testing.T) {
	har := newHarness(t, "one", "two")
	har.serveAll()
	har.startAgain("one", "elsewhere")
	har.keeper = New(har.now, har.fence, Config{})
	began := har.now
	for har.now.Before(began.Add(DefaultHold)) {
		for _, ord := range har.plan() {
			if ord.Range.GetBorn() != ord.Upstream.GetBorn() {
				t.Fatalf("an order for keys %d to %d went to the second incarnation", ord.Range.GetFirst(), ord.Range.GetLast())
			}
			har.finish(ord, Result{
				Answered: true,
			})
		}
		if !har.heldByFirst() {
			t.Fatalf("the keys of the first incarnation went on %v after the change of the leader", har.now.Sub(began))
		}
		har.now = har.now.Add(100 * time.Millisecond)
	}
}

// TestSuccessorHoldsKeysOfMove guards against a second holder: the next incarnation of an upstream, at its address and under its id, took
// a renewal before it was known, and the keys, which were to move, go to the target of the move.
func TestSuccessorHoldsKeysOfMove(t *testing.T) {
	har := newHarness(t, "one", "two")
	har.serveAll()
	granted := har.now
	har.startMoveOfFirst()
	har.keeper.targets[rangeIDOf("counters", har.ranges[0])] = "two"
	har.startAgain("one", "one")
	har.checkUntilExpiry(granted, func(ord Order) Result {
		return Result{
			Answered: ord.Action == Grant,
		}
	})
}

// TestSuccessorHoldsKeysWithoutConnection guards against a second holder: the next incarnation of an upstream took a renewal before it
// was known, and no connection for the first grant to it can be opened.
func TestSuccessorHoldsKeysWithoutConnection(t *testing.T) {
	har := newHarness(t, "one", "two")
	har.serveAll()
	granted := har.now
	har.startAgain("one", "one")
	har.checkUntilExpiry(granted, func(ord Order) Result {
		return Result{
			Answered: ord.Upstream.GetId() != "one",
			NotSent:  ord.Upstream.GetId() == "one",
		}
	})
}

// TestLeavingSuccessorReleases guards against keys that go to another upstream, or that wait for the end of a hold, while the next
// incarnation of their holder leaves: it may hold them, and gives them back.
func TestLeavingSuccessorReleases(t *testing.T) {
	har := newHarness(t, "one", "two")
	har.serveAll()
	har.startAgain("one", "one")
	har.upstreams[0].Leaving = true
	released := false
	for range 10 {
		for _, ord := range har.plan() {
			released = released || ord.Action == Release && ord.Upstream.GetAddress() == "one"
			har.finish(ord, Result{
				Answered: true,
			})
		}
		if !released && !har.heldByFirst() {
			t.Fatal("the keys went on without a release")
		}
		har.now = har.now.Add(100 * time.Millisecond)
	}
	if har.heldByFirst() {
		t.Error("the keys are still held by the incarnation that has ended")
	}
}

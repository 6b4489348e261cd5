package fpcontrol

import (
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// TestNewcomerIsNotSilent guards against an upstream that joins late in a leadership, announces itself at another control VM,
// and is removed because the leader has not heard of it yet.
func TestNewcomerIsNotSilent(t *testing.T) {
	start := time.Now()
	heard := map[string]time.Time{}
	heardOf := func(ups *fpstate.Upstream) (time.Time, bool) {
		at, ok := heard[ups.GetId()]
		return at, ok
	}
	old := &fpstate.Upstream{
		Id:   "old",
		Born: 1,
	}
	newcomer := &fpstate.Upstream{
		Id:   "newcomer",
		Born: 30,
	}
	var sil silences
	for passed := time.Duration(0); passed < time.Minute; passed += forgetInterval {
		now := start.Add(passed)
		heard["old"] = now
		all := []*fpstate.Upstream{old}
		joined := 2 * forgetAfter
		if passed >= joined {
			all = append(all, newcomer)
		}
		late := sil.overdue(now, all, heardOf)
		if _, ok := late[old]; ok {
			t.Fatalf("after %v: an upstream that announces itself is taken for silent", passed)
		}
		if _, ok := late[newcomer]; ok != (passed >= joined+forgetAfter) {
			t.Fatalf("after %v: the newcomer of %v, which was never heard of, is taken for silent: %t", passed, joined, ok)
		}
	}
}

// TestSilenceCountsFromTheLastAnnouncement guards against an upstream that falls silent and is never removed, and against one
// that has started again under its id and inherits the silence of its former life.
func TestSilenceCountsFromTheLastAnnouncement(t *testing.T) {
	start := time.Now()
	one := &fpstate.Upstream{
		Id:   "one",
		Born: 1,
	}
	var sil silences
	last := start.Add(10 * time.Second)
	heardOf := func(ups *fpstate.Upstream) (time.Time, bool) { return last, ups.GetBorn() == 1 }
	at := func(passed time.Duration, ups *fpstate.Upstream) bool {
		return len(sil.overdue(start.Add(passed), []*fpstate.Upstream{ups}, heardOf)) > 0
	}
	if at(0, one) || at(10*time.Second, one) || at(29*time.Second, one) {
		t.Error("an upstream was taken for silent before its time")
	}
	if !at(30*time.Second, one) {
		t.Errorf("an upstream that was last heard of %v ago is not taken for silent", forgetAfter)
	}
	again := &fpstate.Upstream{
		Id:   "one",
		Born: 2,
	}
	if at(31*time.Second, again) {
		t.Error("a new life was taken for silent at once")
	}
}

// TestRelayIsRepeated guards against an announcement that never reaches the leader because the message with it was lost.
func TestRelayIsRepeated(t *testing.T) {
	bts := newBeats()
	bts.note(&fpstate.Upstream{
		Id:   "one",
		Born: 1,
	}, 1)
	first := bts.unrelayed()
	if len(first) != 1 {
		t.Fatalf("got %d announcements, want 1", len(first))
	}
	if again := bts.unrelayed(); len(again) != 1 {
		t.Errorf("got %d announcements after a lost message, want 1", len(again))
	}
	bts.note(&fpstate.Upstream{
		Id:   "one",
		Born: 1,
	}, 2)
	bts.relayed(first)
	if newer := bts.unrelayed(); len(newer) != 1 || newer[0].GetSequence() != 2 {
		t.Errorf("got %v, want the newer announcement alone", newer)
	}
	bts.relayed(bts.unrelayed())
	if rest := bts.unrelayed(); len(rest) != 0 {
		t.Errorf("got %d announcements after an answer, want none", len(rest))
	}
}

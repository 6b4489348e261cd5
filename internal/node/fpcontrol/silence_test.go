package fpcontrol

import (
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// TestNewUpstreamIsNotSilent guards against an upstream that joins late in a leadership, announces itself at another control VM,
// and is removed because the leader has not received its announcement yet.
func TestNewUpstreamIsNotSilent(t *testing.T) {
	start := time.Now()
	lastAnnounced := map[string]time.Time{}
	lastSeen := func(ups *fpstate.Upstream) (time.Time, bool) {
		at, ok := lastAnnounced[ups.GetId()]
		return at, ok
	}
	old := &fpstate.Upstream{
		Id:   "old",
		Born: 1,
	}
	added := &fpstate.Upstream{
		Id:   "added",
		Born: 30,
	}
	var det silenceDetector
	for passed := time.Duration(0); passed < time.Minute; passed += silenceCheckInterval {
		now := start.Add(passed)
		lastAnnounced["old"] = now
		all := []*fpstate.Upstream{old}
		joined := 2 * removeSilentAfter
		if passed >= joined {
			all = append(all, added)
		}
		silent := det.overdue(now, all, lastSeen)
		if _, ok := silent[old]; ok {
			t.Fatalf("after %v: an upstream that announces itself counts as silent", passed)
		}
		if _, ok := silent[added]; ok != (passed >= joined+removeSilentAfter) {
			t.Fatalf("after %v: the upstream that joined after %v and never announced itself here counts as silent: %t", passed, joined, ok)
		}
	}
}

// TestSilenceCountsFromLastAnnouncement guards against a silent upstream that is never removed, and against one that has
// restarted under its id and inherits the silence of its earlier incarnation.
func TestSilenceCountsFromLastAnnouncement(t *testing.T) {
	start := time.Now()
	one := &fpstate.Upstream{
		Id:   "one",
		Born: 1,
	}
	var det silenceDetector
	last := start.Add(10 * time.Second)
	lastSeen := func(ups *fpstate.Upstream) (time.Time, bool) { return last, ups.GetBorn() == 1 }
	isSilent := func(passed time.Duration, ups *fpstate.Upstream) bool {
		return len(det.overdue(start.Add(passed), []*fpstate.Upstream{ups}, lastSeen)) > 0
	}
	if isSilent(0, one) || isSilent(10*time.Second, one) || isSilent(29*time.Second, one) {
		t.Error("an upstream counts as silent too early")
	}
	if !isSilent(30*time.Second, one) {
		t.Errorf("an upstream whose last announcement was %v ago does not count as silent", removeSilentAfter)
	}
	again := &fpstate.Upstream{
		Id:   "one",
		Born: 2,
	}
	if isSilent(31*time.Second, again) {
		t.Error("a new incarnation counts as silent at once")
	}
}

// TestLostRelayIsRepeated guards against an announcement that never reaches the leader because the call that relayed it failed.
func TestLostRelayIsRepeated(t *testing.T) {
	anc := newAnnouncements()
	anc.record(&fpstate.Upstream{
		Id:   "one",
		Born: 1,
	}, 1)
	first := anc.unrelayed()
	if len(first) != 1 {
		t.Fatalf("got %d announcements, want 1", len(first))
	}
	if again := anc.unrelayed(); len(again) != 1 {
		t.Errorf("got %d announcements after a lost message, want 1", len(again))
	}
	anc.record(&fpstate.Upstream{
		Id:   "one",
		Born: 1,
	}, 2)
	anc.markRelayed(first)
	if newer := anc.unrelayed(); len(newer) != 1 || newer[0].GetSequence() != 2 {
		t.Errorf("got %v, want the newer announcement alone", newer)
	}
	anc.markRelayed(anc.unrelayed())
	if rest := anc.unrelayed(); len(rest) != 0 {
		t.Errorf("got %d announcements after an answer, want none", len(rest))
	}
}

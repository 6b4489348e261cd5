package fpcontrol

import (
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// TestQuarantineCountsCrashesOfAllVMs guards against a request that crashes upstreams and is never refused, because it reaches
// another entry VM each time and none of them sees two crashes. It also guards against a request that stays refused after an
// upstream has answered it or after a change of the leader.
func TestQuarantineCountsCrashesOfAllVMs(t *testing.T) {
	now := time.Now()
	crash := func(upstream string) []*fpstate.Crash {
		return []*fpstate.Crash{{
			Digest:   "bad",
			Upstream: upstream,
			Born:     1,
		}}
	}
	var qua quarantine
	qua.startLeadership(now, nil)
	qua.report(now, crash("one"), nil)
	if due := qua.takeDue(now); len(due) != 0 {
		t.Errorf("got %v after one crash, want no change", due)
	}
	qua.report(now, crash("two"), nil)
	if due := qua.takeDue(now); len(due) != 1 || due[0].GetLifted() {
		t.Errorf("got %v after two crashes, want a quarantine", due)
	}
	qua.report(now, nil, []string{"bad"})
	if due := qua.takeDue(now); len(due) != 1 || !due[0].GetLifted() {
		t.Errorf("got %v after an answer, want a lifted quarantine", due)
	}
	qua.startLeadership(now, []string{"bad"})
	if due := qua.takeDue(now.Add(time.Second)); len(due) != 0 {
		t.Errorf("got %v from a new leader after 1 s, want no change", due)
	}
	if due := qua.takeDue(now.Add(time.Minute)); len(due) != 1 || !due[0].GetLifted() {
		t.Errorf("got %v from a new leader after 1 min, want a lifted quarantine", due)
	}
}

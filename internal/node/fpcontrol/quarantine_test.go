package fpcontrol

import (
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// TestQuarantineMeets guards against a request that crashes upstreams and comes to another VM each time, so that none of them sees
// it twice; and against one that stays refused because the leader has changed or an upstream has answered it.
func TestQuarantineMeets(t *testing.T) {
	now := time.Now()
	crash := func(upstream string) []*fpstate.Crash {
		return []*fpstate.Crash{{
			Digest:   "bad",
			Upstream: upstream,
			Born:     1,
		}}
	}
	var qua quarantine
	qua.lead(now, nil)
	qua.report(now, crash("one"), nil)
	if due := qua.take(now); len(due) != 0 {
		t.Errorf("refused after one crash: %v", due)
	}
	qua.report(now, crash("two"), nil)
	if due := qua.take(now); len(due) != 1 || due[0].GetLifted() {
		t.Errorf("got %v after crashes that two VMs reported", due)
	}
	qua.report(now, nil, []string{"bad"})
	if due := qua.take(now); len(due) != 1 || !due[0].GetLifted() {
		t.Errorf("got %v after an answer", due)
	}
	qua.lead(now, []string{"bad"})
	if due := qua.take(now.Add(time.Second)); len(due) != 0 {
		t.Errorf("a new leader lifts at once: %v", due)
	}
	if due := qua.take(now.Add(time.Minute)); len(due) != 1 || !due[0].GetLifted() {
		t.Errorf("a new leader never lifts: %v", due)
	}
}

package fpcontrol

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpport"
)

// catchUp is the time after the start of the successor of a lost control VM from which the deployment has to bear the next loss.
const catchUp = 4 * time.Second

// TestLostDiskAfterReplacement guards against a group that stays without a leader for good when a VM loses its disk after another
// one was replaced for good.
func TestLostDiskAfterReplacement(t *testing.T) {
	for _, tes := range []struct {
		name string
		// leaderLost states that the VM that is replaced leads, and leaderWiped that the one that loses its disk does.
		leaderLost, leaderWiped bool
	}{
		{
			name:        "leader lost, next leader wiped",
			leaderLost:  true,
			leaderWiped: true,
		},
		{
			name:       "leader lost, follower wiped",
			leaderLost: true,
		},
		{
			name:        "follower lost, leader wiped",
			leaderWiped: true,
		},
	} {
		t.Run(tes.name, func(t *testing.T) {
			t.Parallel()
			clu := newCluster(t, 4)
			clu.waitForVoters(3)
			clu.put(5)
			learner := clu.findLearner()
			clu.stop(clu.voter(tes.leaderLost, learner))
			successor, err := fpport.Free()
			if err != nil {
				t.Fatal(err)
			}
			clu.start(successor, false)
			time.Sleep(catchUp)
			clu.put(6)
			wiped := clu.voter(tes.leaderWiped, learner, successor)
			clu.stop(wiped)
			if err := os.RemoveAll(clu.dataFolder(wiped)); err != nil {
				t.Fatal(err)
			}
			clu.waitForRevision(6)
			clu.start(wiped, false)
			clu.put(7)
			clu.waitForVoters(3)
			clu.waitForRevision(7)
		})
	}
}

// voter returns a running voter that leads, or one that doesn't, and that is none of the others.
func (clu *cluster) voter(leads bool, others ...string) string {
	clu.t.Helper()
	found := ""
	clu.waitFor("a voter is found", func() bool {
		for vm, run := range clu.vms {
			sta := run.control.group.Status()
			if run.control.leads(clu.t.Context()) == leads && (leads || sta.Leader != "" && !slices.Contains(others, vm)) {
				found = vm
				return true
			}
		}
		return false
	})
	return found
}

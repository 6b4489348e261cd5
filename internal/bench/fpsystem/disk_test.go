package fpsystem_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
)

// repairVoter asks a VM to repair a voter of a group and retries until that succeeds. It fails the test after stateTimeout.
func (sys *system) repairVoter(from, group, vm string) {
	sys.t.Helper()
	var last error
	deadline := time.Now().Add(stateTimeout)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
		_, last = sys.operatorClient(from).ChangeVoter(ctx, connect.NewRequest(&fpoperator.ChangeVoterRequest{
			Group:  group,
			Vm:     vm,
			Change: fpoperator.VoterChange_VOTER_CHANGE_REPAIR,
		}))
		cancel()
		if last == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	sys.t.Fatalf("cannot repair voter %s of group %s: %v", vm, group, last)
}

// voterStatus returns the text for a voter in the status of a group, as a VM sees it: its name, or for example
// "b1 (disk lost)". It returns "" if the VM is no voter of the group.
func (sys *system) voterStatus(from, group, vm string) string {
	for _, gro := range sys.status(from).GetGroups() {
		if gro.GetName() != group {
			continue
		}
		for _, name := range gro.GetVoters() {
			if name == vm || strings.HasPrefix(name, vm+" ") {
				return name
			}
		}
	}
	return ""
}

// noMajorityNumber is the number of the configuration that is proposed while there is no majority; see numbered.
const noMajorityNumber = 99

// TestDiskLost guards against a VM that votes after it lost its disk, and against the loss of acknowledged state when a second
// VM loses its disk right after the first one was reported as repaired.
func TestDiskLost(t *testing.T) {
	t.Parallel()
	const key = "harbour"
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(4)
	sys.replaceConfiguration("a1", "before", 7, stateTimeout)
	answered := sys.sendNonIdempotent(20, sys.vmNames()...)

	sys.loseDisk("b1")
	sys.startVM("b1")
	for _, group := range []string{"root", "r"} {
		sys.eventually("b1 is shown with its disk lost in group "+group, func() bool {
			return sys.voterStatus("a1", group, "b1") == "b1 (disk lost)"
		})
	}
	accepted := sys.checkNoVoteWithoutDisk("b1", "a2")

	answered = append(answered, sys.sendNonIdempotent(5, sys.vmNames()...)...)
	owner := sys.owner("a1", key)
	for _, group := range []string{"root", "r"} {
		start := time.Now()
		sys.repairVoter("a1", group, "b1")
		t.Logf("repair of b1 in %s took %v", group, time.Since(start))
	}
	// While a2 is frozen, acknowledged state is only on the disks of a1 and b1, so b1 must still have it when a1 loses its
	// disk.
	sys.machines["a2"].process.freeze()
	answered = append(answered, sys.sendNonIdempotent(5, "a1", "b1")...)
	sys.loseDisk("a1")
	sys.machines["a2"].process.thaw()
	newLeader := sys.awaitLeader("a2", "r", "a1")
	t.Logf("%s leads group r after the second disk was lost", newLeader.vm)
	for _, vm := range []string{"a2", "b1"} {
		sys.awaitVersion(vm, accepted)
		if current := sys.configuration(vm); !proto.Equal(current.GetVersion(), accepted) || numberOf(current.GetConfiguration()) != noMajorityNumber {
			t.Errorf("VM %s has configuration %v with number %d", vm, current.GetVersion(), numberOf(current.GetConfiguration()))
		}
	}
	if newOwner := sys.owner("b1", key); newOwner != owner {
		t.Errorf("the key moved from %s to %s, though its owner was alive", owner, newOwner)
	}
	sys.startVM("a1")
	sys.awaitHealthy("a1")
	sys.checkResends(answered)
	sys.checkExclusiveOwnership()
}

// checkNoVoteWithoutDisk freezes the VM other, so that a1 has a majority only with the VM lost, which lost its disk. It checks
// that no change is accepted and that a1 wins no pre-vote. Then it thaws the VM, applies the change again and returns the
// accepted version.
func (sys *system) checkNoVoteWithoutDisk(lost, other string) *fpoperator.Version {
	sys.t.Helper()
	logSize := sys.machines["a1"].process.logSize()
	sys.machines[other].process.freeze()
	// This is long enough for three elections.
	thawAt := time.Now().Add(2 * time.Second)
	current := sys.configuration("a1")
	res, err := sys.applyConfiguration(change{
		vm:       "a1",
		id:       "without a majority",
		expected: current.GetVersion(),
		next:     numbered(current.GetConfiguration(), noMajorityNumber),
		wait:     0,
	})
	if err == nil {
		sys.t.Errorf("a change was accepted with only a1 and %s, which lost its disk: %v", lost, res)
	}
	sys.t.Logf("a change without a majority of voters with disks was answered: %v", err)
	time.Sleep(time.Until(thawAt))
	// The status shows a leader only while it holds a lease, so the log is searched for candidates instead.
	if strings.Contains(sys.machines["a1"].process.logSince(logSize), `"role":"candidate"`) {
		sys.t.Errorf("a1 won a pre-vote with the vote of %s, which lost its disk", lost)
	}
	sys.machines[other].process.thaw()
	// The first attempt may still be accepted now. Sending the same request again tells its outcome.
	sys.awaitLeader("a1", "root")
	decided, err := sys.applyUntilDecided(change{
		vm:       "a1",
		id:       "without a majority",
		expected: current.GetVersion(),
		next:     numbered(current.GetConfiguration(), noMajorityNumber),
		wait:     0,
	})
	if err != nil {
		sys.t.Fatalf("after %s was thawed the change was answered: %v", other, err)
	}
	sys.awaitVersion("a1", decided.GetAccepted())
	return decided.GetAccepted()
}

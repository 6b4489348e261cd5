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

// repair asks a VM to repair a voter of a group and repeats that until it is done.
func (sys *system) repair(from, group, vm string) {
	sys.t.Helper()
	var last error
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		_, last = sys.operators(from).ChangeVoter(ctx, connect.NewRequest(&fpoperator.ChangeVoterRequest{
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
	sys.t.Fatalf("repair of %s in group %s: %v", vm, group, last)
}

// voter returns how the status of a group names a voter, for example with its disk lost.
func (sys *system) voter(from, group, vm string) string {
	for _, one := range sys.status(from).GetGroups() {
		if one.GetName() != group {
			continue
		}
		for _, name := range one.GetVoters() {
			if name == vm || strings.HasPrefix(name, vm+" ") {
				return name
			}
		}
	}
	return ""
}

// unvoted is the number of the configuration that is proposed while there is no majority.
const unvoted = 99

// TestDiskLost guards against a VM that votes after it lost its disk, and against the loss of what was acknowledged when a
// second disk is lost right after a repair was reported done.
func TestDiskLost(t *testing.T) {
	t.Parallel()
	const key = "harbour"
	sys := newSystem(t, oneRegion())
	sys.addPlans(4)
	sys.replace("a1", "before", 7, patience)
	answered := sys.sendSets(20, sys.vms()...)

	sys.loseDisk("b1")
	sys.startVM("b1")
	for _, group := range []string{"root", "r"} {
		sys.eventually("b1 is shown without its disk in "+group, func() bool {
			return sys.voter("a1", group, "b1") == "b1 (disk lost)"
		})
	}
	accepted := sys.checkNoVote("b1", "a2")

	answered = append(answered, sys.sendSets(5, sys.vms()...)...)
	owner := sys.owner("a1", key)
	for _, group := range []string{"root", "r"} {
		began := time.Now()
		sys.repair("a1", group, "b1")
		t.Logf("repair of b1 in %s took %v", group, time.Since(began))
	}
	// What is acknowledged now is only on the disks of a1 and b1, so the repaired b1 must keep it when a1 is lost.
	sys.machines["a2"].running.freeze()
	answered = append(answered, sys.sendSets(5, "a1", "b1")...)
	sys.loseDisk("a1")
	sys.machines["a2"].running.thaw()
	next := sys.awaitLeader("a2", "r", "a1")
	t.Logf("%s leads after the second loss", next.vm)
	for _, vm := range []string{"a2", "b1"} {
		sys.awaitVersion(vm, accepted)
		if now := sys.configuration(vm); !proto.Equal(now.GetVersion(), accepted) || numberOf(now.GetConfiguration()) != unvoted {
			t.Errorf("VM %s has configuration %v with number %d", vm, now.GetVersion(), numberOf(now.GetConfiguration()))
		}
	}
	if now := sys.owner("b1", key); now != owner {
		t.Errorf("the key moved from %s to %s, though its owner was alive", owner, now)
	}
	sys.startVM("a1")
	sys.awaitHealthy("a1")
	sys.checkResends(answered)
	sys.checkOwners()
}

// checkNoVote stops the only other voter with its disk, so that the leader needs the vote of the VM that lost its disk,
// and checks that nothing is acknowledged meanwhile. It returns the version of the change that is accepted afterwards.
func (sys *system) checkNoVote(lost, other string) *fpoperator.Version {
	sys.t.Helper()
	logged := sys.machines["a1"].running.logSize()
	sys.machines[other].running.freeze()
	// Three elections fit into this time.
	thaw := time.Now().Add(2 * time.Second)
	now := sys.configuration("a1")
	res, err := sys.apply(change{
		vm:       "a1",
		id:       "without a majority",
		expected: now.GetVersion(),
		next:     numbered(now.GetConfiguration(), unvoted),
		wait:     0,
	})
	if err == nil {
		sys.t.Errorf("with only a1 and %s, which lost its disk, a change was accepted: %v", lost, res)
	}
	sys.t.Logf("a change without a majority of disks was answered %v", err)
	time.Sleep(time.Until(thaw))
	// The log is read rather than the status, which shows a leader only while it holds a lease.
	if strings.Contains(sys.machines["a1"].running.logSince(logged), `"role":"candidate"`) {
		sys.t.Errorf("a1 won a pre-vote by the vote of %s, which lost its disk", lost)
	}
	sys.machines[other].running.thaw()
	// The change may still be accepted now; replacing it settles that.
	sys.awaitLeader("a1", "root")
	settled, err := sys.settle(change{
		vm:       "a1",
		id:       "without a majority",
		expected: now.GetVersion(),
		next:     numbered(now.GetConfiguration(), unvoted),
		wait:     0,
	})
	if err != nil {
		sys.t.Fatalf("after the return of %s the change was answered %v", other, err)
	}
	sys.awaitVersion("a1", settled.GetAccepted())
	return settled.GetAccepted()
}

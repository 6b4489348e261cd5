package fpcontrol

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// joinInterval is the time between two attempts to join the group.
	joinInterval = 500 * time.Millisecond
	// memberCheckInterval is the time between two checks of the membership.
	memberCheckInterval = 300 * time.Millisecond
	// removeAfter is the silence after which a member is removed, if enough voters remain. It joins again when it is back.
	removeAfter = 8 * time.Second
	// changeTimeout bounds one change of the membership. The next check continues a change that timed out.
	changeTimeout = 4 * time.Second
	// replaceVoterAfter is the silence of a voter after which a learner gets a vote in its place.
	replaceVoterAfter = 4 * time.Second
	// maxMembers bounds the number of members when there are more control VMs than the configured losses require, because
	// each log entry goes to all members. Further VMs join when a member is lost.
	maxMembers = 7
	// joinRequestTimeout is how long a request to join stays pending.
	joinRequestTimeout = 2 * time.Second
)

// join asks the other control VMs to add this VM to the group whenever it is not a member or knows no leader, until ctx ends.
func (con *Control) join(ctx context.Context) {
	for sleep(ctx, joinInterval) {
		sta := con.group.Status()
		if isMember(sta, con.cfg.VM) && sta.Leader != "" {
			continue
		}
		for _, vm := range con.otherVMs(sta) {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			res, err := con.peer(vm).Join(call, connect.NewRequest(&fpstate.JoinRequest{
				Vm:    con.cfg.VM,
				Level: con.level,
			}))
			cancel()
			if err == nil && res.Msg.GetLeader() == vm {
				break
			}
		}
	}
}

func isMember(sta fpgroup.Status, vm string) bool {
	return slices.ContainsFunc(sta.Members, func(mst fpgroup.MemberStatus) bool { return mst.VM == vm })
}

// wantedVoters returns the number of voters that tolerate the configured losses. It is odd, so that one side of any network
// partition in two has a quorum, and a commit waits for no more VMs than needed. Further control VMs are learners.
func (con *Control) wantedVoters() int { return 2*con.cfg.Losses + 1 }

// otherVMs returns the control VMs that this one knows, without itself: the leader first, then the members and the seeds.
func (con *Control) otherVMs(sta fpgroup.Status) []string {
	var all []string
	add := func(vm string) {
		if vm != "" && vm != con.cfg.VM && !slices.Contains(all, vm) {
			all = append(all, vm)
		}
	}
	add(sta.Leader)
	for _, mst := range sta.Members {
		add(mst.VM)
	}
	con.mutex.Lock()
	defer con.mutex.Unlock()
	for _, seed := range con.seeds {
		add(seed)
	}
	return all
}

// maintainMembers changes the membership of the group as needed while this VM leads, one change at a time, until ctx ends.
func (con *Control) maintainMembers(ctx context.Context) {
	for sleep(ctx, memberCheckInterval) {
		if !con.leads(ctx) {
			continue
		}
		what, vm, change := con.nextChange()
		if change == nil {
			continue
		}
		call, cancel := context.WithTimeout(ctx, changeTimeout)
		err := change(call, vm)
		cancel()
		con.cfg.Log.Info("membership changed", zap.String("change", what), zap.String("peer", vm), zap.Error(err))
	}
}

// nextChange returns the most urgent change of the membership: its name for the log, the VM that it concerns and the function
// that makes it, which is nil if no change is due.
func (con *Control) nextChange() (string, string, func(context.Context, string) error) {
	sta := con.group.Status()
	live := con.liveVoters(sta, replaceVoterAfter)
	for _, mst := range sta.Members {
		diskLost := mst.Incarnation != 0 && mst.Heard != 0 && mst.Heard != mst.Incarnation
		if diskLost && !mst.Learner {
			return "repair", mst.VM, con.group.Repair
		}
		if mst.Learner && live < con.wantedVoters() && !con.silent(mst.VM, silentAfter) {
			return "vote", mst.VM, con.group.AddVoter
		}
	}
	if vm := con.pendingJoin(sta); vm != "" {
		if live < con.wantedVoters() {
			return "add", vm, con.group.AddVoter
		}
		return "follow", vm, con.group.AddLearner
	}
	if vm := con.removableMember(sta); vm != "" {
		return "remove", vm, con.group.RemoveVoter
	}
	if vm := con.surplusVoter(sta); vm != "" {
		return "demote", vm, con.group.Demote
	}
	return "", "", nil
}

// surplusVoter returns a voter that is not needed, or "". There is one when a lost voter has come back after a learner got a
// vote in its place.
func (con *Control) surplusVoter(sta fpgroup.Status) string {
	last, live := "", 0
	for _, mst := range sta.Members {
		switch {
		case mst.Learner:
		case mst.VM != con.cfg.VM && con.silent(mst.VM, silentAfter):
			return "" // it is not known yet which voters remain
		default:
			live++
			if mst.VM != con.cfg.VM {
				last = mst.VM
			}
		}
	}
	if live <= con.wantedVoters() {
		return ""
	}
	return last
}

// liveVoters returns the number of voters that are not silent for longer than a duration, with this VM if it is a voter.
func (con *Control) liveVoters(sta fpgroup.Status, within time.Duration) int {
	live := 0
	for _, mst := range sta.Members {
		if !mst.Learner && (mst.VM == con.cfg.VM || !con.silent(mst.VM, within)) {
			live++
		}
	}
	return live
}

// pendingJoin returns a VM that asked to join and is not a member, or "" if there is none or the group has enough members.
func (con *Control) pendingJoin(sta fpgroup.Status) string {
	live := 0
	for _, mst := range sta.Members {
		if mst.VM == con.cfg.VM || !con.silent(mst.VM, silentAfter) {
			live++
		}
	}
	if live >= max(maxMembers, con.wantedVoters()) {
		return ""
	}
	con.mutex.Lock()
	defer con.mutex.Unlock()
	for vm, at := range con.joinRequests {
		if time.Since(at) > joinRequestTimeout {
			delete(con.joinRequests, vm)
			continue
		}
		if !isMember(sta, vm) {
			return vm
		}
	}
	return ""
}

// removableMember returns a member that has been silent for removeAfter, or "". A voter is returned only if enough live voters
// for the configured losses remain.
func (con *Control) removableMember(sta fpgroup.Status) string {
	for _, mst := range sta.Members {
		removable := mst.Learner || con.liveVoters(sta, silentAfter) >= con.wantedVoters()
		if removable && mst.VM != con.cfg.VM && con.silent(mst.VM, removeAfter) {
			return mst.VM
		}
	}
	return ""
}

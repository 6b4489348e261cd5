package fpcontrol

import (
	"context"
	"slices"
	"sync"
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
	// nextChangeDelay is the time between a change and the check for the next one. Until a replacement is complete, the voters
	// tolerate fewer losses. The status of the group, which tells what is due, may be a few milliseconds old.
	nextChangeDelay = 20 * time.Millisecond
	// removeAfter is the silence after which a learner is removed. It joins again when it is back.
	removeAfter = 8 * time.Second
	// changeTimeout bounds one change of the membership, which waits for the VM that it concerns. The next check continues it,
	// unless another one has become more urgent.
	changeTimeout = time.Second
	// maxMembers bounds the number of members when there are more control VMs than the configured losses require, because
	// each log entry goes to all members. Further VMs join when a member is lost.
	maxMembers = 7
	// joinRequestTimeout is how long a request to join stays pending.
	joinRequestTimeout = 2 * time.Second
	// leaveTimeout bounds how long a VM that stops waits until a learner has its vote.
	leaveTimeout = time.Second
	// leaveInterval is the time between two requests of a VM that stops.
	leaveInterval = 100 * time.Millisecond
	// leaveRequestTimeout is how long the leader takes a VM that stops for lost although it takes messages.
	leaveRequestTimeout = 2 * time.Second
	// leaveSilenceTimeout is how long a VM that stops counts as lost as soon as it takes no messages. Afterwards it has been silent for
	// long enough.
	leaveSilenceTimeout = 2*stopTimeout + maxSilentAfter
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

// handOver gives the leadership and the vote of this VM, which stops, to other VMs, so that no election has to wait for the lease to
// expire and the deployment tolerates no loss less. It takes at most stopTimeout.
func (con *Control) handOver() {
	ctx, cancelAll := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelAll()
	con.announceLeave(ctx)
	con.handOverLeadership(ctx)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for {
		sta := con.group.Status()
		switch {
		case sta.Role == fpgroup.Leader && con.nextLeader(sta) == "":
			return
		case sta.Role == fpgroup.Leader:
			// The transfer failed, or another VM that stops has transferred the leadership to this one.
			con.handOverLeadership(ctx)
		case !isVoter(sta, con.cfg.VM) || countLearners(sta) == 0:
			return
		case sta.Leader != "":
			con.requestLeave(ctx, sta.Leader)
		}
		if !sleep(ctx, leaveInterval) {
			con.cfg.Log.Warn("no learner got the vote of this VM", zap.Duration("within", leaveTimeout))
			return
		}
	}
}

// announceLeave tells all other members that this VM is about to stop, because each of them may be the next leader.
func (con *Control) announceLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, mst := range con.group.Status().Members {
		if mst.VM != con.cfg.VM {
			calls.Go(func() { con.requestLeave(ctx, mst.VM) })
		}
	}
	calls.Wait()
}

// requestLeave tells another control VM that this one is about to stop.
func (con *Control) requestLeave(ctx context.Context, vm string) {
	_, err := con.peer(vm).Join(ctx, connect.NewRequest(&fpstate.JoinRequest{
		Vm:      con.cfg.VM,
		Level:   con.level,
		Leaving: true,
	}))
	if err != nil {
		con.cfg.Log.Warn("control VM was not told that this one stops", zap.String("peer", vm), zap.Error(err))
	}
}

// handOverLeadership transfers the leadership to the voter that has synced most of the log and does not stop, if this VM leads.
func (con *Control) handOverLeadership(ctx context.Context) {
	sta := con.group.Status()
	if sta.Role != fpgroup.Leader {
		return
	}
	if err := con.group.TransferLeadership(ctx, con.nextLeader(sta)); err != nil {
		con.cfg.Log.Warn("transfer of the leadership failed", zap.Error(err))
	}
}

// nextLeader returns the other voter that has synced most of the log, or "" if none is reached.
func (con *Control) nextLeader(sta fpgroup.Status) string {
	vm, match := "", uint64(0)
	for _, mst := range sta.Members {
		if !mst.Learner && mst.VM != con.cfg.VM && con.absence(mst.VM) == 0 && (vm == "" || mst.Match > match) {
			vm, match = mst.VM, mst.Match
		}
	}
	return vm
}

func isVoter(sta fpgroup.Status, vm string) bool {
	return slices.ContainsFunc(sta.Members, func(mst fpgroup.MemberStatus) bool { return mst.VM == vm && !mst.Learner })
}

func countLearners(sta fpgroup.Status) int {
	count := 0
	for _, mst := range sta.Members {
		if mst.Learner {
			count++
		}
	}
	return count
}

// recordJoin records that a control VM asks to become a member.
func (con *Control) recordJoin(vm string) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.joinRequests[vm] = time.Now()
	delete(con.leaveRequests, vm)
}

// recordLeave records that a control VM is about to stop.
func (con *Control) recordLeave(vm string) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.leaveRequests[vm] = time.Now()
}

// absence returns for how long a control VM has taken no message. A VM that is about to stop counts as lost already.
func (con *Control) absence(vm string) time.Duration {
	silence := con.silence(vm)
	con.mutex.Lock()
	defer con.mutex.Unlock()
	at, leaves := con.leaveRequests[vm]
	if !leaves {
		return silence
	}
	since := time.Since(at)
	if since > leaveSilenceTimeout {
		delete(con.leaveRequests, vm)
	}
	if since > leaveSilenceTimeout || since > leaveRequestTimeout && silence == 0 {
		return silence
	}
	return max(silence, con.silentAfter()+since+1)
}

// absent reports whether a control VM counts as lost for the distribution of the votes.
func (con *Control) absent(vm string) bool { return con.absence(vm) > con.silentAfter() }

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

// memberChange is a change of the membership.
type memberChange struct {
	// name is the name for the log.
	name string
	// vm is the VM that the change concerns.
	vm string
	// apply makes the change. It is nil if no change is due.
	apply func(ctx context.Context, vm string) error
}

// maintainMembers changes the membership of the group as needed while this VM leads, one change at a time, until ctx ends.
func (con *Control) maintainMembers(ctx context.Context) {
	pause := memberCheckInterval
	for sleep(ctx, pause) {
		pause = memberCheckInterval
		if con.changeMembers(ctx) {
			pause = nextChangeDelay
		}
	}
}

// changeMembers makes the most urgent change of the membership if this VM leads and one is due. It reports whether it made one.
func (con *Control) changeMembers(ctx context.Context) bool {
	if !con.leads(ctx) {
		return false
	}
	cha := con.nextChange(con.group.Status())
	if cha.apply == nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := cha.apply(call, cha.vm)
	con.cfg.Log.Info("membership changed", zap.String("change", cha.name), zap.String("peer", cha.vm), zap.Error(err))
	return err == nil
}

// nextChange returns the most urgent change of the membership.
func (con *Control) nextChange(sta fpgroup.Status) memberChange {
	live := con.liveVoters(sta)
	if vm := lostDisk(sta); vm != "" {
		return memberChange{
			name:  "repair",
			vm:    vm,
			apply: con.group.Repair,
		}
	}
	if vm := con.surplusVoter(sta); vm != "" {
		return memberChange{
			name:  "demote",
			vm:    vm,
			apply: con.group.Demote,
		}
	}
	if vm := con.nextVoter(sta); vm != "" && live < con.wantedVoters() {
		return memberChange{
			name:  "vote",
			vm:    vm,
			apply: con.group.AddVoter,
		}
	}
	if vm := con.pendingJoin(sta); vm != "" {
		if live < con.wantedVoters() {
			return memberChange{
				name:  "add",
				vm:    vm,
				apply: con.group.AddVoter,
			}
		}
		return memberChange{
			name:  "follow",
			vm:    vm,
			apply: con.group.AddLearner,
		}
	}
	if vm := con.removableMember(sta); vm != "" {
		return memberChange{
			name:  "remove",
			vm:    vm,
			apply: con.group.RemoveVoter,
		}
	}
	return memberChange{}
}

// lostDisk returns a voter that has lost its disk and runs again, or "".
func lostDisk(sta fpgroup.Status) string {
	for _, mst := range sta.Members {
		if !mst.Learner && mst.Incarnation != 0 && mst.Heard != 0 && mst.Heard != mst.Incarnation {
			return mst.VM
		}
	}
	return ""
}

// nextVoter returns the learner that has synced most of the log, or "" if none is reached. A change waits for its VM in vain if that
// one has just been lost.
func (con *Control) nextVoter(sta fpgroup.Status) string {
	vm, match := "", uint64(0)
	for _, mst := range sta.Members {
		if mst.Learner && con.absence(mst.VM) == 0 && (vm == "" || mst.Match > match) {
			vm, match = mst.VM, mst.Match
		}
	}
	return vm
}

// surplusVoter returns the voter other than this VM that has been absent for longest if there are more voters than needed, and ""
// otherwise. After a learner got a vote in place of a silent voter, the silent one still raises the quorum, so that no further loss
// is tolerated until it is demoted.
func (con *Control) surplusVoter(sta fpgroup.Status) string {
	voters, surplus, longest := 0, "", time.Duration(0)
	for _, mst := range sta.Members {
		if mst.Learner {
			continue
		}
		voters++
		if absence := con.absence(mst.VM); mst.VM != con.cfg.VM && absence >= longest {
			surplus, longest = mst.VM, absence
		}
	}
	if voters <= con.wantedVoters() {
		return ""
	}
	return surplus
}

// liveVoters returns the number of voters that are not absent, with this VM if it is a voter.
func (con *Control) liveVoters(sta fpgroup.Status) int {
	live := 0
	for _, mst := range sta.Members {
		if !mst.Learner && (mst.VM == con.cfg.VM || !con.absent(mst.VM)) {
			live++
		}
	}
	return live
}

// pendingJoin returns a VM that asked to join and is not a member, or "" if there is none or the group has enough members.
func (con *Control) pendingJoin(sta fpgroup.Status) string {
	live := 0
	for _, mst := range sta.Members {
		if mst.VM == con.cfg.VM || !con.absent(mst.VM) {
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

// removableMember returns a learner that has been silent for removeAfter, or "". A voter loses its vote to a learner before.
func (con *Control) removableMember(sta fpgroup.Status) string {
	for _, mst := range sta.Members {
		if mst.Learner && mst.VM != con.cfg.VM && con.silent(mst.VM, removeAfter) {
			return mst.VM
		}
	}
	return ""
}

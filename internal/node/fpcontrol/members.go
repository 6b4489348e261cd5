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
	// joinInterval is the time between requests to join.
	joinInterval = 500 * time.Millisecond
	// memberInterval is the time between looks at the membership.
	memberInterval = 300 * time.Millisecond
	// silentAfter is the silence after which a control VM counts as lost; a restart takes about a second.
	silentAfter = 2 * time.Second
	// removeAfter is the silence after which a voter is removed, if enough others remain. It joins again when it is back.
	removeAfter = 8 * time.Second
	// changeTimeout bounds one change of the membership; the next look continues it.
	changeTimeout = 4 * time.Second
	// spareAfter is the silence of a voter after which a learner gets a vote in its place.
	spareAfter = 4 * time.Second
	// maxMembers bounds the members when there are more control VMs than the promised losses need: each entry goes to all of
	// them. The others wait until one is lost.
	maxMembers = 7
	// joinAge is how long a request to join counts.
	joinAge = 2 * time.Second
)

// join asks to become a member until this VM is one.
func (con *Control) join(ctx context.Context) {
	for sleep(ctx, joinInterval) {
		sta := con.group.Status()
		if isMember(sta, con.cfg.VM) && sta.Leader != "" {
			continue
		}
		for _, vm := range con.others(sta) {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			res, err := con.peer(vm).Join(call, connect.NewRequest(&fpstate.JoinRequest{
				Vm: con.cfg.VM,
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

// wantedVoters returns the number of voters that bear the promised losses. It is odd, so that a cut in two leaves one half with a
// quorum, and a commit waits for no more VMs than needed. Further control VMs are learners.
func (con *Control) wantedVoters() int { return 2*con.cfg.Losses + 1 }

// others returns the control VMs that this one knows, the leader first.
func (con *Control) others(sta fpgroup.Status) []string {
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

// keepMembers repairs the group while this VM leads it, one change at a time.
func (con *Control) keepMembers(ctx context.Context) {
	for sleep(ctx, memberInterval) {
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

// nextChange returns the change of the membership that is due first.
func (con *Control) nextChange() (string, string, func(context.Context, string) error) {
	sta := con.group.Status()
	live := con.liveVoters(sta, spareAfter)
	for _, mst := range sta.Members {
		lost := mst.Incarnation != 0 && mst.Heard != 0 && mst.Heard != mst.Incarnation
		if lost && !mst.Learner {
			return "repair", mst.VM, con.group.Repair
		}
		if mst.Learner && live < con.wantedVoters() && !con.silent(mst.VM, silentAfter) {
			return "vote", mst.VM, con.group.AddVoter
		}
	}
	if vm := con.joiner(sta); vm != "" {
		if live < con.wantedVoters() {
			return "add", vm, con.group.AddVoter
		}
		return "follow", vm, con.group.AddLearner
	}
	if vm := con.removable(sta); vm != "" {
		return "remove", vm, con.group.RemoveVoter
	}
	if vm := con.surplus(sta); vm != "" {
		return "demote", vm, con.group.Demote
	}
	return "", "", nil
}

// surplus returns a voter that is not needed, because a lost one has come back after a learner got a vote in its place.
func (con *Control) surplus(sta fpgroup.Status) string {
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

// liveVoters returns the number of voters that have taken a message within a time.
func (con *Control) liveVoters(sta fpgroup.Status, within time.Duration) int {
	live := 0
	for _, mst := range sta.Members {
		if !mst.Learner && (mst.VM == con.cfg.VM || !con.silent(mst.VM, within)) {
			live++
		}
	}
	return live
}

// joiner returns a VM that asked to join and is no member, unless the group has enough members.
func (con *Control) joiner(sta fpgroup.Status) string {
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
	for vm, at := range con.joins {
		if time.Since(at) > joinAge {
			delete(con.joins, vm)
			continue
		}
		if !isMember(sta, vm) {
			return vm
		}
	}
	return ""
}

// removable returns a member that has been silent for long, if it is a learner or enough voters for the promised losses remain.
func (con *Control) removable(sta fpgroup.Status) string {
	for _, mst := range sta.Members {
		spare := mst.Learner || con.liveVoters(sta, silentAfter) >= con.wantedVoters()
		if spare && mst.VM != con.cfg.VM && con.silent(mst.VM, removeAfter) {
			return mst.VM
		}
	}
	return ""
}

// silent reports whether a control VM has taken no message for some time.
func (con *Control) silent(vm string, length time.Duration) bool {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	last, ok := con.heard[vm]
	return ok && time.Since(last) > length
}

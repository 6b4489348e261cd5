package fpgroup

import (
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// changeKind is a kind of membership change. The methods of Group with similar names start the changes.
type changeKind uint8

const (
	addVoter changeKind = iota
	removeVoter
	repairVoter
	addLearner
	demoteVoter
)

// change is the running membership change. Its progress depends only on the membership and on what the peers have
// acknowledged, so a new leader or a repeated request continues where the previous one stopped.
type change struct {
	kind changeKind
	vm   string
	// round is the first broadcast after the request. Only responses to it, or to later ones, show that the VM has not lost
	// its disk before the request.
	round uint64
	// promoted states that this change has made its VM a voter.
	promoted bool
	// abandoned is set when the caller no longer waits.
	abandoned atomic.Bool
	// done is called at most once, with the result.
	done func(err error)
}

// startChange starts a membership change, unless another one or a transfer runs. An abandoned change is replaced.
func (cor *core) startChange(cha *change) {
	if cor.role != Leader || cor.transfer != nil {
		cha.done(fperror.New(fperror.NotLeader, "VM %s does not lead group %s", cor.cfg.VM, cor.cfg.Name))
		return
	}
	if cor.change != nil && !cor.change.abandoned.Load() {
		cha.done(fperror.New(fperror.VersionConflict, "the membership change of VM %s in group %s is still running", cor.change.vm, cor.cfg.Name))
		return
	}
	cha.round = cor.lead.round + 1
	cor.change = cha
	cor.advanceChange()
}

// finishChange ends the running change with a result.
func (cor *core) finishChange(err error) {
	cha := cor.change
	cor.change = nil
	cha.done(err)
}

// advanceChange takes the next step of the running change, if there is one. A step waits until the current membership and
// an entry of the leader's own term are committed, so that two changes never overlap.
func (cor *core) advanceChange() {
	cha := cor.change
	if cha != nil && cha.abandoned.Load() {
		// Its entries stay in the log, and a repeated request continues from there.
		cor.change = nil
		return
	}
	committed := cor.role == Leader && cor.commit >= cor.lead.firstIndex && cor.commit >= cor.log.membership().index
	if cha == nil || !committed {
		return
	}
	member := findMember(cor.members(), cha.vm)
	switch {
	case cha.kind == removeVoter:
		cor.advanceRemoval(member)
	case cha.kind == demoteVoter:
		cor.advanceDemotion(member)
	case member != nil && cha.kind == addLearner:
		cor.finishChange(nil)
	case member == nil && cha.kind == repairVoter:
		cor.finishChange(fperror.New(fperror.InvalidRequest, "VM %s is not a member of group %s", cha.vm, cor.cfg.Name))
	case member == nil:
		cor.proposeMember(&fpwire.Member{
			Vm:      cha.vm,
			Learner: true,
		})
	case member.GetLearner():
		cor.advanceLearner()
	default:
		cor.advanceVoter()
	}
}

// advanceRemoval removes a member, unless the rest of the group would have no voter or no quorum.
func (cor *core) advanceRemoval(member *fpwire.Member) {
	switch {
	case member == nil:
		cor.finishChange(nil)
	case !member.GetLearner() && len(votersOf(cor.members())) == 1:
		cor.finishChange(fperror.New(fperror.InvalidRequest, "VM %s is the last voter of group %s", member.GetVm(), cor.cfg.Name))
	case !cor.hasActiveQuorum(withoutMember(cor.members(), member.GetVm())):
		cor.finishChange(fperror.New(fperror.NoQuorum, "without VM %s, group %s has no quorum of voters that respond", member.GetVm(), cor.cfg.Name))
	default:
		cor.proposeMembership(withoutMember(cor.members(), member.GetVm()))
	}
}

// advanceDemotion makes a voter a learner, unless it leads or the other voters have no quorum.
func (cor *core) advanceDemotion(member *fpwire.Member) {
	switch {
	case member == nil || member.GetLearner():
		cor.finishChange(nil)
	case member.GetVm() == cor.cfg.VM:
		cor.finishChange(fperror.New(fperror.InvalidRequest, "VM %s leads group %s and cannot demote itself", member.GetVm(), cor.cfg.Name))
	case !cor.hasActiveQuorum(withoutMember(cor.members(), member.GetVm())):
		cor.finishChange(fperror.New(fperror.NoQuorum, "without VM %s, group %s has no quorum of voters that respond", member.GetVm(), cor.cfg.Name))
	default:
		cor.proposeMember(&fpwire.Member{
			Vm:      member.GetVm(),
			Learner: true,
		})
	}
}

// hasActiveQuorum reports whether a quorum of the given membership has responded within the last Lease. A membership
// without one could never be committed, and the group would stay without a quorum.
func (cor *core) hasActiveQuorum(mem *fpwire.Membership) bool {
	count := 0
	for _, voter := range votersOf(mem) {
		pee := cor.lead.peers[voter.GetVm()]
		if voter.GetVm() == cor.cfg.VM || pee != nil && pee.acked && cor.now.mono-pee.ackAt < cor.cfg.Lease {
			count++
		}
	}
	return count >= quorumOf(mem)
}

// advanceLearner makes the learner a voter once it has synced every committed entry. It must have acknowledged a round
// that was sent after the request and after its incarnation was bound, because an older acknowledgement may come from a disk
// that was lost since.
func (cor *core) advanceLearner() {
	pee := cor.lead.peers[cor.change.vm]
	current := pee != nil && pee.incarnation != 0 && pee.ackRound >= max(pee.boundRound, cor.change.round)
	if !current || pee.match < cor.commit {
		return
	}
	cor.change.promoted = true
	cor.proposeMember(&fpwire.Member{
		Vm:          pee.vm,
		Incarnation: pee.incarnation,
	})
}

// advanceVoter ends the change when the voter has synced every committed entry. A repair first demotes a voter that has not
// responded for Lease, also one that lost its disk, whose responses do not count.
func (cor *core) advanceVoter() {
	cha := cor.change
	pee := cor.lead.peers[cha.vm]
	if pee == nil {
		// The VM is the leader, which needs no repair.
		cor.finishChange(nil)
		return
	}
	if pee.ackRound >= cha.round {
		if pee.match >= cor.commit {
			cor.finishChange(nil)
		}
		return
	}
	unresponsive := cor.now.mono-pee.ackAt >= cor.cfg.Lease
	if !unresponsive || cha.kind != repairVoter || cha.promoted {
		return
	}
	cor.proposeMember(&fpwire.Member{
		Vm:      cha.vm,
		Learner: true,
	})
}

// proposeMember proposes the current membership with one member added or replaced.
func (cor *core) proposeMember(member *fpwire.Member) {
	cor.proposeMembership(withMember(cor.members(), member))
}

// proposeMembership appends a membership to the log, unless it has no voter.
func (cor *core) proposeMembership(mem *fpwire.Membership) {
	if len(votersOf(mem)) == 0 {
		cor.finishChange(fperror.New(fperror.InvalidRequest, "group %s would have no voter left", cor.cfg.Name))
		return
	}
	cor.appendEntry(&fpwire.Entry{
		Members: mem,
	})
	cor.replicate()
}

// stepDownIfRemoved makes the leader step down once the membership in which it is no voter is committed.
func (cor *core) stepDownIfRemoved() {
	if cor.isVoter() || cor.commit < cor.log.membership().index {
		return
	}
	// The remaining members learn the commit index from their next leader.
	if cha := cor.change; cha != nil && cha.vm == cor.cfg.VM {
		cor.finishChange(nil)
	}
	cor.becomeFollower(cor.hard.Term)
}

// transfer is the running transfer of leadership.
type transfer struct {
	// target is the voter that becomes the leader. startTransfer chooses one if it is empty.
	target string
	// frozen states that the lease is no longer renewed and proposals are refused.
	frozen bool
	// sent states that the target was asked to start an election. This VM must not hold a lease in this term again.
	sent bool
	// deadline is the end of the transfer on the monotonic clock.
	deadline time.Duration
	// done is called once with the result.
	done func(err error)
}

func (cor *core) transferSent() bool { return cor.transfer != nil && cor.transfer.sent }

// startTransfer starts a transfer of leadership to the given voter, or to the most advanced one if target is empty.
func (cor *core) startTransfer(tra *transfer) {
	if cor.role != Leader {
		tra.done(fperror.New(fperror.NotLeader, "VM %s does not lead group %s", cor.cfg.VM, cor.cfg.Name))
		return
	}
	if cor.transfer != nil || cor.change != nil {
		tra.done(fperror.New(fperror.VersionConflict, "another membership change or transfer of leadership of group %s is still running", cor.cfg.Name))
		return
	}
	if tra.target == "" {
		tra.target = cor.mostAdvancedVoter()
	}
	member := findMember(cor.members(), tra.target)
	if member == nil || member.GetLearner() || tra.target == cor.cfg.VM {
		tra.done(fperror.New(fperror.InvalidRequest, "%q is not a voter of group %s other than its leader", tra.target, cor.cfg.Name))
		return
	}
	tra.deadline = cor.now.mono + 2*cor.cfg.MaxElectionTimeout
	cor.transfer = tra
	cor.tickTransfer()
}

// mostAdvancedVoter returns the other voter with the highest synced index, or an empty name if none has responded.
func (cor *core) mostAdvancedVoter() string {
	var best *peer
	for _, voter := range votersOf(cor.members()) {
		pee := cor.lead.peers[voter.GetVm()]
		if pee != nil && pee.acked && (best == nil || pee.match > best.match) {
			best = pee
		}
	}
	if best == nil {
		return ""
	}
	return best.vm
}

// tickTransfer takes the next step of the running transfer. It freezes the leadership when the target has synced every
// committed entry, waits until the lease has ended and the target has the whole log, asks the target to start an election,
// and aborts the transfer at its deadline.
func (cor *core) tickTransfer() {
	tra := cor.transfer
	if tra == nil {
		return
	}
	if cor.now.mono >= tra.deadline {
		cor.abandonTransfer()
		return
	}
	if cor.role != Leader || tra.sent {
		return
	}
	pee := cor.lead.peers[tra.target]
	if pee == nil {
		return
	}
	if pee.match >= cor.commit {
		tra.frozen = true
	}
	leaseEnded := !cor.lead.leased || cor.now.mono >= cor.lead.leaseStart.mono+cor.cfg.Lease
	if !tra.frozen || !leaseEnded || pee.match < cor.log.last().Index {
		return
	}
	tra.sent = true
	tra.deadline = cor.now.mono + cor.cfg.MaxElectionTimeout
	msg := cor.message(tra.target)
	msg.Body = &fpwire.GroupMessage_TransferRequest{
		TransferRequest: &fpwire.TransferRequest{},
	}
	cor.messages = append(cor.messages, msg)
}

// abandonTransfer ends the running transfer without success. If the target was asked, it may start its election at any later
// time, so this VM steps down instead of renewing its lease.
func (cor *core) abandonTransfer() {
	tra := cor.transfer
	if cor.role == Leader && tra.sent {
		cor.becomeFollower(cor.hard.Term)
	}
	cor.transfer = nil
	tra.done(fperror.New(fperror.NoQuorum, "VM %s did not take over group %s in time", tra.target, cor.cfg.Name))
}

// finishTransfer ends a transfer whose target was asked, when a leader of the new term is known.
func (cor *core) finishTransfer() {
	tra := cor.transfer
	if tra == nil || !tra.sent {
		return
	}
	cor.transfer = nil
	if cor.leader.vm == tra.target {
		tra.done(nil)
		return
	}
	tra.done(fperror.New(fperror.VersionConflict, "VM %s took over group %s instead of %s", cor.leader.vm, cor.cfg.Name, tra.target))
}

// handleTransferRequest starts an election at once, without pre-votes, if the known leader asks for it.
func (cor *core) handleTransferRequest(msg *fpwire.GroupMessage) {
	from := peerID{
		vm:          msg.GetFrom(),
		incarnation: msg.GetFromIncarnation(),
	}
	if cor.role != Follower || cor.leader != from || !cor.isVoter() || cor.justStarted() || cor.stalled {
		return
	}
	cor.startElection(true)
}

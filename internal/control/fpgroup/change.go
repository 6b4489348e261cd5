package fpgroup

import (
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// changeKind is a kind of membership change.
type changeKind uint8

const (
	addVoter changeKind = iota
	removeVoter
	repairVoter
	addLearner
	demoteVoter
)

// change is the one membership change that runs. Its progress follows from the membership and from what the peers have
// acknowledged, so a new leader or a resent request continues where the old one stopped.
type change struct {
	kind changeKind
	vm   string
	// round is the first broadcast after the request. Only answers to it, or to later ones, show that the VM has not lost
	// its disk before the request.
	round uint64
	// promoted states that this change has made its VM a voter.
	promoted bool
	// abandoned is set when the caller has gone.
	abandoned atomic.Bool
	done      func(err error)
}

// startChange begins a membership change; done is called once with its end.
func (cor *core) startChange(cha *change) {
	if cor.role != Leader || cor.transfer != nil {
		cha.done(fperror.New(fperror.NotLeader, "VM %s does not lead group %s", cor.cfg.VM, cor.cfg.Name))
		return
	}
	if cor.change != nil && !cor.change.abandoned.Load() {
		cha.done(fperror.New(fperror.VersionConflict, "the membership change of VM %s in group %s is not finished", cor.change.vm, cor.cfg.Name))
		return
	}
	cha.round = cor.lead.round + 1
	cor.change = cha
	cor.advanceChange()
}

func (cor *core) finishChange(err error) {
	cha := cor.change
	cor.change = nil
	cha.done(err)
}

// advanceChange takes the next step of the running change, if it is due.
func (cor *core) advanceChange() {
	cha := cor.change
	if cha != nil && cha.abandoned.Load() {
		// What is in the log stays; a resent request continues from there.
		cor.change = nil
		return
	}
	settled := cor.role == Leader && cor.commit >= cor.lead.firstIndex && cor.commit >= cor.log.membership().index
	if cha == nil || !settled {
		return
	}
	one := findMember(cor.members(), cha.vm)
	switch {
	case cha.kind == removeVoter:
		cor.advanceRemoval(one)
	case cha.kind == demoteVoter:
		cor.advanceDemotion(one)
	case one != nil && cha.kind == addLearner:
		cor.finishChange(nil)
	case one == nil && cha.kind == repairVoter:
		cor.finishChange(fperror.New(fperror.InvalidRequest, "VM %s is not a member of group %s", cha.vm, cor.cfg.Name))
	case one == nil:
		cor.proposeMember(&fpwire.Member{
			Vm:      cha.vm,
			Learner: true,
		})
	case one.GetLearner():
		cor.advanceLearner()
	default:
		cor.advanceVoter()
	}
}

func (cor *core) advanceRemoval(one *fpwire.Member) {
	switch {
	case one == nil:
		cor.finishChange(nil)
	case !one.GetLearner() && len(votersOf(cor.members())) == 1:
		cor.finishChange(fperror.New(fperror.InvalidRequest, "VM %s is the last voter of group %s", one.GetVm(), cor.cfg.Name))
	case !cor.answers(withoutMember(cor.members(), one.GetVm())):
		cor.finishChange(fperror.New(fperror.NoQuorum, "without VM %s, too few voters of group %s answer", one.GetVm(), cor.cfg.Name))
	default:
		cor.proposeMembership(withoutMember(cor.members(), one.GetVm()))
	}
}

func (cor *core) advanceDemotion(one *fpwire.Member) {
	switch {
	case one == nil || one.GetLearner():
		cor.finishChange(nil)
	case one.GetVm() == cor.cfg.VM:
		cor.finishChange(fperror.New(fperror.InvalidRequest, "VM %s leads group %s", one.GetVm(), cor.cfg.Name))
	case !cor.answers(withoutMember(cor.members(), one.GetVm())):
		cor.finishChange(fperror.New(fperror.NoQuorum, "without VM %s, too few voters of group %s answer", one.GetVm(), cor.cfg.Name))
	default:
		cor.proposeMember(&fpwire.Member{
			Vm:      one.GetVm(),
			Learner: true,
		})
	}
}

// answers reports whether a quorum of the given membership has answered within the last Lease. Otherwise the removal of a
// voter could never be committed, and the group would stay without a quorum.
func (cor *core) answers(mem *fpwire.Membership) bool {
	count := 0
	for _, one := range votersOf(mem) {
		pee := cor.lead.peers[one.GetVm()]
		if one.GetVm() == cor.cfg.VM || pee != nil && pee.acked && cor.now.mono-pee.ackAt < cor.cfg.Lease {
			count++
		}
	}
	return count >= quorumOf(mem)
}

// advanceLearner makes the learner a voter once it holds every committed entry. It must have answered a round that was
// sent after the request and after its incarnation was learnt, because an older answer may come from a disk that was
// lost since.
func (cor *core) advanceLearner() {
	pee := cor.lead.peers[cor.change.vm]
	fresh := pee != nil && pee.incarnation != 0 && pee.ackRound >= max(pee.boundRound, cor.change.round)
	if !fresh || pee.match < cor.commit {
		return
	}
	cor.change.promoted = true
	cor.proposeMember(&fpwire.Member{
		Vm:          pee.vm,
		Incarnation: pee.incarnation,
	})
}

// advanceVoter ends the change when the voter has synced every committed entry. A repair turns a voter that is silent, or
// that lost its disk, into a learner first.
func (cor *core) advanceVoter() {
	cha := cor.change
	pee := cor.lead.peers[cha.vm]
	if pee == nil {
		// The leader itself needs no repair.
		cor.finishChange(nil)
		return
	}
	if pee.ackRound >= cha.round {
		if pee.match >= cor.commit {
			cor.finishChange(nil)
		}
		return
	}
	silent := cor.now.mono-pee.ackAt >= cor.cfg.Lease
	if !silent || cha.kind != repairVoter || cha.promoted {
		return
	}
	cor.proposeMember(&fpwire.Member{
		Vm:      cha.vm,
		Learner: true,
	})
}

func (cor *core) proposeMember(one *fpwire.Member) {
	cor.proposeMembership(withMember(cor.members(), one))
}

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

// leaveIfRemoved steps down once the removal of this VM is committed.
func (cor *core) leaveIfRemoved() {
	if cor.isVoter() || cor.commit < cor.log.membership().index {
		return
	}
	// The new members learn the commit index from their next leader.
	if cha := cor.change; cha != nil && cha.vm == cor.cfg.VM {
		cor.finishChange(nil)
	}
	cor.becomeFollower(cor.hard.Term)
}

// transfer is a transfer of leadership that runs.
type transfer struct {
	target string
	// frozen states that the lease is no longer renewed and proposals are refused.
	frozen bool
	// sent states that the target was asked to stand; this VM must not hold a lease in the term any more.
	sent     bool
	deadline time.Duration
	done     func(err error)
}

func (cor *core) transferSent() bool { return cor.transfer != nil && cor.transfer.sent }

// startTransfer hands the leadership to the given voter, or to the most advanced one when target is empty.
func (cor *core) startTransfer(tra *transfer) {
	if cor.role != Leader {
		tra.done(fperror.New(fperror.NotLeader, "VM %s does not lead group %s", cor.cfg.VM, cor.cfg.Name))
		return
	}
	if cor.transfer != nil || cor.change != nil {
		tra.done(fperror.New(fperror.VersionConflict, "another change of group %s is not finished", cor.cfg.Name))
		return
	}
	if tra.target == "" {
		tra.target = cor.bestTarget()
	}
	one := findMember(cor.members(), tra.target)
	if one == nil || one.GetLearner() || tra.target == cor.cfg.VM {
		tra.done(fperror.New(fperror.InvalidRequest, "%q is not another voter of group %s", tra.target, cor.cfg.Name))
		return
	}
	tra.deadline = cor.now.mono + 2*cor.cfg.MaxElection
	cor.transfer = tra
	cor.tickTransfer()
}

func (cor *core) bestTarget() string {
	var best *peer
	for _, one := range votersOf(cor.members()) {
		pee := cor.lead.peers[one.GetVm()]
		if pee != nil && pee.acked && (best == nil || pee.match > best.match) {
			best = pee
		}
	}
	if best == nil {
		return ""
	}
	return best.vm
}

// tickTransfer takes the next step of a transfer: freeze when the target is close, wait for the end of the lease, ask the
// target to stand, and give up at the deadline.
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
	ended := !cor.lead.leased || cor.now.mono >= cor.lead.leaseAt.mono+cor.cfg.Lease
	if !tra.frozen || !ended || pee.match < cor.log.last().Index {
		return
	}
	tra.sent = true
	tra.deadline = cor.now.mono + cor.cfg.MaxElection
	msg := cor.message(tra.target)
	msg.Body = &fpwire.GroupMessage_TransferRequest{
		TransferRequest: &fpwire.TransferRequest{},
	}
	cor.messages = append(cor.messages, msg)
}

// abandonTransfer ends a transfer without success. After the request was sent, the target may stand at any later time, so
// this VM steps down instead of taking a lease again.
func (cor *core) abandonTransfer() {
	tra := cor.transfer
	if cor.role == Leader && tra.sent {
		cor.becomeFollower(cor.hard.Term)
	}
	cor.transfer = nil
	tra.done(fperror.New(fperror.NoQuorum, "VM %s did not take over group %s in time", tra.target, cor.cfg.Name))
}

// finishTransfer ends a transfer when another leader is known.
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

// handleTransferRequest stands for election at once, because the leader asks for it.
func (cor *core) handleTransferRequest(msg *fpwire.GroupMessage) {
	from := peerID{
		vm:          msg.GetFrom(),
		incarnation: msg.GetFromIncarnation(),
	}
	if cor.role != Follower || cor.leader != from || !cor.isVoter() || cor.justStarted() || cor.stalled {
		return
	}
	cor.askVotes(true)
}

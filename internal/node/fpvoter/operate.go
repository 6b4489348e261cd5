package fpvoter

import (
	"context"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgrant"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
)

// errNotLeader returns the error of kind NotLeader with which a VM that does not lead refuses a request.
func (vot *Voter) errNotLeader() error {
	return fperror.New(fperror.NotLeader, "this VM does not lead group %s", vot.cfg.Group)
}

// MoveSlots begins to move slots of a service to an upstream and returns the number of slots that move. The error kinds are
// NotLeader, InvalidRequest and NoUpstream.
func (vot *Voter) MoveSlots(service string, slots []uint32, upstream string) (int, error) {
	lea := vot.leader()
	if lea == nil || !lea.holdsLease() {
		return 0, vot.errNotLeader()
	}
	var count int
	var err error
	lea.withKeeper(func(kee *fpgrant.Keeper) { count, err = kee.MoveSlots(time.Now(), service, slots, upstream) })
	lea.requestTick()
	return count, err
}

// ChangeVoter adds, repairs or removes a voter and returns once the change is committed. The error is of kind NotLeader on a
// VM that does not lead, and of kind InvalidRequest for an unknown change; other kinds are those of fpgroup.
func (vot *Voter) ChangeVoter(ctx context.Context, change fpoperator.VoterChange, vm string) error {
	if vot.leader() == nil {
		return vot.errNotLeader()
	}
	switch change {
	case fpoperator.VoterChange_VOTER_CHANGE_ADD:
		return vot.group.AddVoter(ctx, vm)
	case fpoperator.VoterChange_VOTER_CHANGE_REPAIR:
		return vot.group.Repair(ctx, vm)
	case fpoperator.VoterChange_VOTER_CHANGE_REMOVE:
		return vot.group.RemoveVoter(ctx, vm)
	default:
		return fperror.New(fperror.InvalidRequest, "unknown kind of voter change")
	}
}

// Status returns what the leader knows of the group, its upstreams and the VMs that poll it, or an error of kind NotLeader.
func (vot *Voter) Status() (*fpoperator.StatusResponse, error) {
	lea := vot.leader()
	if lea == nil || !lea.holdsLease() {
		return nil, vot.errNotLeader()
	}
	now := time.Now()
	res := &fpoperator.StatusResponse{
		Groups:      []*fpoperator.GroupStatus{vot.groupStatus()},
		Quarantined: vot.machine.Quarantined(),
	}
	lea.withKeeper(func(kee *fpgrant.Keeper) {
		res.Upstreams = kee.Upstreams(now)
		res.Vms = kee.VMs(now)
	})
	return res, nil
}

// groupStatus returns the state of the consensus group as this VM knows it.
func (vot *Voter) groupStatus() *fpoperator.GroupStatus {
	sta := vot.group.Status()
	out := &fpoperator.GroupStatus{
		Name:    vot.cfg.Group,
		Leader:  sta.Leader,
		Term:    sta.Term,
		Commit:  sta.Commit,
		Applied: sta.Applied.Index,
	}
	for _, mem := range sta.Members {
		out.Voters = append(out.Voters, voterName(mem))
	}
	return out
}

// voterName returns the name of a member. A suffix marks a member that has no vote and one that has lost its disk, which
// needs a repair.
func voterName(mem fpgroup.MemberStatus) string {
	switch {
	case mem.Learner:
		return mem.VM + " (learner)"
	case mem.Heard != 0 && mem.Heard != mem.Incarnation:
		return mem.VM + " (disk lost)"
	default:
		return mem.VM
	}
}

// Dump is the state of a voter for the dump of its VM. Leading is nil unless the VM leads.
type Dump struct {
	Group       string         `json:"group"`
	Consensus   fpgroup.Status `json:"consensus"`
	Claims      int            `json:"claims"`
	AnswerBytes int            `json:"answerBytes"`
	Quarantined []string       `json:"quarantined"`
	Leading     *fpgrant.Dump  `json:"leading,omitempty"`
}

// Dump returns the complete state of the voter.
func (vot *Voter) Dump() Dump {
	out := Dump{
		Group:       vot.cfg.Group,
		Consensus:   vot.group.Status(),
		Quarantined: vot.machine.Quarantined(),
	}
	out.Claims, out.AnswerBytes = vot.machine.Claims()
	if lea := vot.leader(); lea != nil {
		lea.withKeeper(func(kee *fpgrant.Keeper) {
			one := kee.Dump(time.Now())
			out.Leading = &one
		})
	}
	return out
}

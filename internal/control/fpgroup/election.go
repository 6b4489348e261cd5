package fpgroup

import (
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// canCampaign reports whether this VM may start an election. A candidate votes for itself, so the rules for votes apply.
func (cor *core) canCampaign() bool {
	return cor.isVoter() && !cor.stalled && !cor.justStarted() && cor.now.mono >= cor.promisedUntil
}

// startPreVote asks all voters whether they would vote for this VM in the next term. The term of this VM stays the same.
func (cor *core) startPreVote() {
	cor.becomeFollower(cor.hard.Term)
	cor.role = PreCandidate
	cor.votes = map[string]uint64{
		cor.cfg.VM: cor.incarnation,
	}
	for _, voter := range votersOf(cor.members()) {
		if voter.GetVm() != cor.cfg.VM {
			msg := cor.voteRequest(voter.GetVm(), true, false)
			msg.Term++
			cor.messages = append(cor.messages, msg)
		}
	}
	cor.countVotes()
}

// startElection starts a new term and asks all voters for their votes. This VM's own vote counts once it is durable.
// transferred states that the leader asked for the election.
func (cor *core) startElection(transferred bool) {
	cor.becomeFollower(cor.hard.Term)
	cor.role = Candidate
	cor.counters.Elections++
	cor.votes = map[string]uint64{}
	cor.hard = fplog.HardState{
		Term:            cor.hard.Term + 1,
		Vote:            cor.cfg.VM,
		VoteIncarnation: cor.incarnation,
	}
	cor.resetElectionTimeout()
	for _, voter := range votersOf(cor.members()) {
		if voter.GetVm() != cor.cfg.VM {
			cor.sendAfterSync(cor.voteRequest(voter.GetVm(), false, transferred))
		}
	}
	cor.sendAfterSync(voteResponse(cor.message(cor.cfg.VM), false, true))
}

func (cor *core) voteRequest(to string, pre, transferred bool) *fpwire.GroupMessage {
	msg := cor.message(to)
	last := cor.log.last()
	msg.Body = &fpwire.GroupMessage_VoteRequest{
		VoteRequest: &fpwire.VoteRequest{
			Pre:       pre,
			LastTerm:  last.Term,
			LastIndex: last.Index,
			Transfer:  transferred,
		},
	}
	return msg
}

func voteResponse(msg *fpwire.GroupMessage, pre, granted bool) *fpwire.GroupMessage {
	msg.Body = &fpwire.GroupMessage_VoteResponse{
		VoteResponse: &fpwire.VoteResponse{
			Pre:     pre,
			Granted: granted,
		},
	}
	return msg
}

// handleVoteRequest responds to a request for a vote or a pre-vote. It does not compare the candidate's incarnation with the
// membership, because the membership of this VM may be older. The candidate counts the votes by its own membership, and its
// log must be up to date.
func (cor *core) handleVoteRequest(msg *fpwire.GroupMessage, req *fpwire.VoteRequest) {
	if msg.GetTerm() < cor.hard.Term || cor.mustRejectVote(req) {
		cor.respond(voteResponse(cor.replyTo(msg), req.GetPre(), false))
		return
	}
	upToDate := cor.log.last().Compare(Position{
		Term:  req.GetLastTerm(),
		Index: req.GetLastIndex(),
	}) <= 0
	if req.GetPre() {
		granted := upToDate && msg.GetTerm() > cor.hard.Term
		res := voteResponse(cor.replyTo(msg), true, granted)
		if granted {
			res.Term = msg.GetTerm()
		}
		cor.respond(res)
		return
	}
	if msg.GetTerm() > cor.hard.Term {
		cor.becomeFollower(msg.GetTerm())
	}
	candidate := peerID{
		vm:          msg.GetFrom(),
		incarnation: msg.GetFromIncarnation(),
	}
	granted := upToDate && cor.leader == peerID{} && cor.canVoteFor(candidate)
	if granted {
		cor.hard.Vote = candidate.vm
		cor.hard.VoteIncarnation = candidate.incarnation
		cor.resetElectionTimeout()
	}
	cor.respond(voteResponse(cor.replyTo(msg), false, granted))
}

// mustRejectVote reports whether this VM must not vote for any candidate now. A transfer overrides the promise to the leader
// that asked for it, whose lease has ended. It does not override the wait after a start, in which a promise to another leader
// may still be in force.
func (cor *core) mustRejectVote(req *fpwire.VoteRequest) bool {
	if cor.justStarted() || cor.stalled {
		return true
	}
	if req.GetTransfer() {
		return cor.role == Leader && !cor.transferSent()
	}
	return cor.role == Leader || cor.now.mono < cor.promisedUntil
}

// canVoteFor reports whether the vote of the current term is free, or was already given to this candidate.
func (cor *core) canVoteFor(candidate peerID) bool {
	if cor.hard.Vote == "" {
		return true
	}
	return cor.hard.Vote == candidate.vm && cor.hard.VoteIncarnation == candidate.incarnation
}

// handleVoteResponse counts a granted vote or pre-vote, unless it belongs to an earlier election.
func (cor *core) handleVoteResponse(msg *fpwire.GroupMessage, res *fpwire.VoteResponse) {
	expected := cor.role == Candidate && !res.GetPre() && msg.GetTerm() == cor.hard.Term ||
		cor.role == PreCandidate && res.GetPre() && msg.GetTerm() == cor.hard.Term+1
	if !expected || !res.GetGranted() {
		return
	}
	cor.votes[msg.GetFrom()] = msg.GetFromIncarnation()
	cor.countVotes()
}

// countVotes starts the election after a quorum of pre-votes, and the leadership after a quorum of votes. A vote counts only
// if it comes from the incarnation in the membership.
func (cor *core) countVotes() {
	count := 0
	for _, voter := range votersOf(cor.members()) {
		inc, ok := cor.votes[voter.GetVm()]
		if ok && (voter.GetIncarnation() == 0 || voter.GetIncarnation() == inc) {
			count++
		}
	}
	if count < quorumOf(cor.members()) {
		return
	}
	if cor.role == PreCandidate {
		cor.startElection(false)
		return
	}
	cor.becomeLeader()
}

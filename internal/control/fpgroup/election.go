package fpgroup

import (
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// mayStand reports whether this VM may stand for election, which includes a vote for itself.
func (cor *core) mayStand() bool {
	return cor.isVoter() && !cor.stalled && !cor.justStarted() && cor.now.mono >= cor.promisedUntil
}

// askPreVotes asks all voters whether they would vote for this VM.
func (cor *core) askPreVotes() {
	cor.becomeFollower(cor.hard.Term)
	cor.role = PreCandidate
	cor.votes = map[string]uint64{
		cor.cfg.VM: cor.incarnation,
	}
	for _, one := range votersOf(cor.members()) {
		if one.GetVm() != cor.cfg.VM {
			msg := cor.voteRequest(one.GetVm(), true, false)
			msg.Term++
			cor.messages = append(cor.messages, msg)
		}
	}
	cor.countVotes()
}

// askVotes starts a new term and asks all voters for their votes. The own vote counts once it is durable.
func (cor *core) askVotes(transferred bool) {
	cor.becomeFollower(cor.hard.Term)
	cor.role = Candidate
	cor.counters.Elections++
	cor.votes = map[string]uint64{}
	cor.hard = fplog.HardState{
		Term:            cor.hard.Term + 1,
		Vote:            cor.cfg.VM,
		VoteIncarnation: cor.incarnation,
	}
	cor.resetElection()
	for _, one := range votersOf(cor.members()) {
		if one.GetVm() != cor.cfg.VM {
			cor.afterSync(cor.voteRequest(one.GetVm(), false, transferred))
		}
	}
	cor.afterSync(voteResponse(cor.message(cor.cfg.VM), false, true))
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

// handleVoteRequest answers a vote or a pre-vote. The incarnation of the asker is not compared with the membership,
// because this VM's membership may be older; the asker counts votes, and its log must be up to date.
func (cor *core) handleVoteRequest(msg *fpwire.GroupMessage, req *fpwire.VoteRequest) {
	if msg.GetTerm() < cor.hard.Term || cor.mustRefuse(req) {
		cor.respond(voteResponse(cor.reply(msg), req.GetPre(), false))
		return
	}
	upToDate := cor.log.last().Compare(Position{
		Term:  req.GetLastTerm(),
		Index: req.GetLastIndex(),
	}) <= 0
	if req.GetPre() {
		granted := upToDate && msg.GetTerm() > cor.hard.Term
		res := voteResponse(cor.reply(msg), true, granted)
		if granted {
			res.Term = msg.GetTerm()
		}
		cor.respond(res)
		return
	}
	if msg.GetTerm() > cor.hard.Term {
		cor.becomeFollower(msg.GetTerm())
	}
	asker := peerID{
		vm:          msg.GetFrom(),
		incarnation: msg.GetFromIncarnation(),
	}
	granted := upToDate && cor.leader == peerID{} && cor.canVoteFor(asker)
	if granted {
		cor.hard.Vote = asker.vm
		cor.hard.VoteIncarnation = asker.incarnation
		cor.resetElection()
	}
	cor.respond(voteResponse(cor.reply(msg), false, granted))
}

// mustRefuse reports whether this VM may not vote at all now. A transfer overrides the promise to the leader, which has
// given up its lease, but not the time after a start, in which this VM may have forgotten a promise to another leader.
func (cor *core) mustRefuse(req *fpwire.VoteRequest) bool {
	if cor.justStarted() || cor.stalled {
		return true
	}
	if req.GetTransfer() {
		return cor.role == Leader && !cor.transferSent()
	}
	return cor.role == Leader || cor.now.mono < cor.promisedUntil
}

func (cor *core) canVoteFor(asker peerID) bool {
	if cor.hard.Vote == "" {
		return true
	}
	return cor.hard.Vote == asker.vm && cor.hard.VoteIncarnation == asker.incarnation
}

// handleVoteResponse counts a vote or a pre-vote.
func (cor *core) handleVoteResponse(msg *fpwire.GroupMessage, res *fpwire.VoteResponse) {
	wanted := cor.role == Candidate && !res.GetPre() && msg.GetTerm() == cor.hard.Term ||
		cor.role == PreCandidate && res.GetPre() && msg.GetTerm() == cor.hard.Term+1
	if !wanted || !res.GetGranted() {
		return
	}
	cor.votes[msg.GetFrom()] = msg.GetFromIncarnation()
	cor.countVotes()
}

// countVotes goes on when a quorum has voted. A vote counts only from the incarnation in the membership.
func (cor *core) countVotes() {
	count := 0
	for _, one := range votersOf(cor.members()) {
		inc, ok := cor.votes[one.GetVm()]
		if ok && (one.GetIncarnation() == 0 || one.GetIncarnation() == inc) {
			count++
		}
	}
	if count < quorumOf(cor.members()) {
		return
	}
	if cor.role == PreCandidate {
		cor.askVotes(false)
		return
	}
	cor.becomeLeader()
}

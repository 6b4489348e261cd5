package fpgroup

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// leaderState is the state that only a leader has.
type leaderState struct {
	// since is when this VM won its election.
	since instant
	// firstIndex is the index of the first entry of the leader's term.
	firstIndex uint64
	// peers holds the other members by VM.
	peers map[string]*peer
	// heartbeatAt is the time of the next broadcast on the monotonic clock.
	heartbeatAt time.Duration
	// round is the number of the last broadcast, rounds the last broadcasts with their times, oldest first.
	round  uint64
	rounds []sentRound
	// leaseStart is the time of the newest round that a quorum has acknowledged; leased is false before the first one.
	leaseStart instant
	leased     bool
	// outgoing is the snapshot that is being sent to peers, or nil. needsSnapshot asks for it to be loaded, loadingSnapshot
	// states that the snapshot goroutine loads it.
	outgoing        *fplog.Snapshot
	needsSnapshot   bool
	loadingSnapshot bool
}

// sentRound is a broadcast and the time that was read before it was sent.
type sentRound struct {
	round uint64
	at    instant
}

// peer is what the leader knows about another member.
type peer struct {
	vm string
	// incarnation is the one whose responses count; 0 for a learner that has not responded yet.
	incarnation uint64
	// boundRound is the first round sent after the incarnation of a learner was bound.
	boundRound uint64
	// seenIncarnation is the incarnation of the last response, whether it counted or not; 0 before the first one.
	seenIncarnation uint64
	// match is the highest index that the peer is known to have synced, next the index of the next entry to send.
	match uint64
	next  uint64
	// probing states that the leader searches for the last common entry of the two logs, with one empty message at a time.
	probing bool
	// inflight holds the last index of each message with entries that is not acknowledged yet.
	inflight []uint64
	// ackRound is the newest round that the peer has acknowledged.
	ackRound uint64
	// ackAt is the time of the last response; before the first one, of the creation of the peer. acked states that there was
	// a response.
	ackAt time.Duration
	acked bool
	// sendingSnapshot states that the peer gets a snapshot instead of entries.
	sendingSnapshot bool
	// chunkSentAt is when the last chunk was sent. It belongs to the snapshot at snapshotIndex and starts at the byte
	// snapshotOffset of its data.
	chunkSentAt    time.Duration
	snapshotIndex  uint64
	snapshotOffset uint64
}

// becomeLeader starts the leadership of the current term with an entry whose commit also commits the entries of earlier
// terms. If the incarnation of a voter is not known, this entry is a membership with the incarnations that voted.
func (cor *core) becomeLeader() {
	cor.role = Leader
	cor.leader = peerID{
		vm:          cor.cfg.VM,
		incarnation: cor.incarnation,
	}
	cor.lead = &leaderState{
		since: cor.now,
		peers: map[string]*peer{},
	}
	ent := &fpwire.Entry{}
	if !isBound(cor.members()) {
		ent.Members = proto.CloneOf(cor.members())
		for _, voter := range votersOf(ent.Members) {
			voter.Incarnation = cor.votes[voter.GetVm()]
		}
	}
	cor.votes = nil
	cor.lead.firstIndex = cor.log.last().Index + 1
	cor.updatePeers()
	cor.appendEntry(ent)
	cor.broadcast()
}

// appendEntry appends an entry to the log and to the next batch, and returns its index. It sets the entry's term and index.
func (cor *core) appendEntry(ent *fpwire.Entry) uint64 {
	ent.Term = cor.hard.Term
	ent.Index = cor.log.last().Index + 1
	cor.log.append([]*fpwire.Entry{ent})
	cor.next.entries = append(cor.next.entries, ent)
	cor.next.size += entrySize(ent)
	if ent.GetMembers() != nil {
		cor.updatePeers()
	}
	return ent.Index
}

// updatePeers adds and removes peers, so that they are the other members of the membership in force.
func (cor *core) updatePeers() {
	old := cor.lead.peers
	cor.lead.peers = map[string]*peer{}
	for _, member := range cor.members().GetMembers() {
		if member.GetVm() == cor.cfg.VM {
			continue
		}
		pee := old[member.GetVm()]
		// A voter that becomes a learner keeps its peer. If its disk was lost, another incarnation will respond; if it was
		// only unreachable, it still has what it acknowledged.
		if pee == nil || member.GetIncarnation() != 0 && pee.incarnation != member.GetIncarnation() {
			pee = cor.newPeer(member)
		}
		cor.lead.peers[member.GetVm()] = pee
	}
}

// newPeer returns a peer of which nothing is known yet.
func (cor *core) newPeer(member *fpwire.Member) *peer {
	return &peer{
		vm:          member.GetVm(),
		incarnation: member.GetIncarnation(),
		next:        cor.log.last().Index + 1,
		probing:     true,
		ackAt:       cor.now.mono,
	}
}

// propose appends commands to the log and returns the position of the first one. On an error it appends none.
func (cor *core) propose(commands [][]byte) (Position, error) {
	if err := cor.checkPropose(); err != nil {
		return Position{}, err
	}
	first := Position{
		Term:  cor.hard.Term,
		Index: cor.log.last().Index + 1,
	}
	for _, cmd := range commands {
		cor.appendEntry(&fpwire.Entry{
			Command: cmd,
		})
	}
	cor.replicate()
	return first, nil
}

// checkPropose returns an error if this VM accepts no proposals now: of kind NotLeader if it does not lead or transfers the
// leadership, NoQuorum if it has no lease and did not win its election just now, Overloaded if too much is uncommitted or
// unwritten.
func (cor *core) checkPropose() error {
	if cor.role != Leader || cor.transfer != nil && cor.transfer.frozen {
		return fperror.New(fperror.NotLeader, "VM %s does not lead group %s; the leader is %q", cor.cfg.VM, cor.cfg.Name, cor.leader.vm)
	}
	if !cor.hasLease() && cor.now.mono-cor.lead.since.mono > cor.cfg.leaseLength() {
		return fperror.New(fperror.NoQuorum, "group %s has no quorum", cor.cfg.Name)
	}
	if cor.log.last().Index-cor.commit > uint64(cor.cfg.maxUncommitted) || cor.next.size > cor.cfg.maxBatchBytes {
		return fperror.New(fperror.Overloaded, "group %s has too many proposals in flight", cor.cfg.Name)
	}
	return nil
}

// tickLeader sends heartbeats that are due. It steps down if no quorum has responded for Lease, or if a write to disk takes
// longer than MaxElectionTimeout.
func (cor *core) tickLeader() {
	if cor.quorumAckAt()+cor.cfg.Lease <= cor.now.mono {
		cor.becomeFollower(cor.hard.Term)
		return
	}
	if cor.writing != nil && cor.now.mono-cor.writingSince > cor.cfg.MaxElectionTimeout {
		cor.becomeFollower(cor.hard.Term)
		return
	}
	if cor.now.mono >= cor.lead.heartbeatAt {
		cor.broadcast()
	}
	cor.resendChunks()
	cor.advanceChange()
}

// quorumAckAt returns the latest time since which every voter of a quorum has responded. This VM itself always counts as
// having responded now.
func (cor *core) quorumAckAt() time.Duration {
	return quorumValue(cor, cor.now.mono, func(pee *peer) time.Duration { return pee.ackAt })
}

// quorumValue returns the highest value that a quorum of the voters has reached: own for this VM, value for the other voters,
// 0 for a voter without a peer.
func quorumValue[T ~uint64 | ~int64](cor *core, own T, value func(pee *peer) T) T {
	var values []T
	for _, voter := range votersOf(cor.members()) {
		switch pee := cor.lead.peers[voter.GetVm()]; {
		case voter.GetVm() == cor.cfg.VM && cor.isVoter():
			values = append(values, own)
		case pee != nil:
			values = append(values, value(pee))
		default:
			values = append(values, 0)
		}
	}
	slices.Sort(values)
	quorum := quorumOf(cor.members())
	if quorum == 0 || quorum > len(values) {
		return 0
	}
	return values[len(values)-quorum]
}

// broadcast starts a new round and sends it to all peers: a heartbeat, and the entries that they lack. The recorded time
// of the round was read before any of its messages is sent.
func (cor *core) broadcast() {
	lds := cor.lead
	lds.round++
	lds.rounds = append(lds.rounds, sentRound{
		round: lds.round,
		at:    cor.now,
	})
	// Older rounds are outside the lease anyway.
	const maxRounds = 32
	if len(lds.rounds) > maxRounds {
		lds.rounds = lds.rounds[len(lds.rounds)-maxRounds:]
	}
	lds.heartbeatAt = cor.now.mono + cor.cfg.Heartbeat
	for _, pee := range lds.peers {
		cor.sendHeartbeat(pee)
	}
	cor.replicate()
	cor.renewLease()
}

// sendHeartbeat sends the current round without entries.
func (cor *core) sendHeartbeat(pee *peer) {
	prev := pee.next - 1
	if _, ok := cor.log.term(prev); !ok {
		// The peer needs a snapshot. Its response acknowledges the round even if it rejects the position.
		prev = cor.log.last().Index
	}
	cor.sendAppend(pee, prev, nil)
}

// sendAppend sends the current round, with entries that follow the one at index prev.
func (cor *core) sendAppend(pee *peer, prev uint64, entries []*fpwire.Entry) {
	term, _ := cor.log.term(prev)
	msg := cor.message(pee.vm)
	msg.Body = &fpwire.GroupMessage_AppendRequest{
		AppendRequest: &fpwire.AppendRequest{
			PrevTerm:  term,
			PrevIndex: prev,
			Entries:   entries,
			Commit:    cor.commit,
			Round:     cor.lead.round,
		},
	}
	cor.messages = append(cor.messages, msg)
}

// replicate sends to each peer the entries that it lacks, up to the limit of messages in flight.
func (cor *core) replicate() {
	for _, pee := range cor.lead.peers {
		cor.replicateTo(pee)
	}
}

// replicateTo does what replicate does for one peer. If the log no longer holds the next entry, it starts to send a snapshot.
func (cor *core) replicateTo(pee *peer) {
	if pee.sendingSnapshot {
		return
	}
	if _, ok := cor.log.term(pee.next - 1); !ok {
		cor.startSendingSnapshot(pee)
		return
	}
	for !pee.probing && len(pee.inflight) < cor.cfg.maxInflight {
		entries := cor.log.slice(pee.next, cor.log.last().Index, cor.cfg.maxMessageBytes)
		if len(entries) == 0 {
			return
		}
		cor.sendAppend(pee, pee.next-1, entries)
		last := entries[len(entries)-1].GetIndex()
		pee.next = last + 1
		pee.inflight = append(pee.inflight, last)
	}
}

// respondingPeer returns the peer that sent a response, or nil if the response must not count because its sender is not a
// member or has another incarnation. A learner without a known incarnation is bound to the one that responds.
func (cor *core) respondingPeer(msg *fpwire.GroupMessage) *peer {
	if cor.role != Leader {
		return nil
	}
	pee := cor.lead.peers[msg.GetFrom()]
	member := findMember(cor.members(), msg.GetFrom())
	if pee == nil || member == nil {
		cor.counters.ForeignMessages++
		return nil
	}
	inc := msg.GetFromIncarnation()
	pee.seenIncarnation = inc
	if inc == pee.incarnation {
		return pee
	}
	if !member.GetLearner() || member.GetIncarnation() != 0 {
		cor.counters.ForeignMessages++
		return nil
	}
	bound := cor.newPeer(member)
	bound.incarnation = inc
	bound.seenIncarnation = inc
	bound.boundRound = cor.lead.round + 1
	cor.lead.peers[msg.GetFrom()] = bound
	return bound
}

// handleAppendResponse records the entries that a peer has synced and the round that it acknowledges.
func (cor *core) handleAppendResponse(pee *peer, res *fpwire.AppendResponse) {
	pee.ackAt = cor.now.mono
	pee.acked = true
	pee.ackRound = max(pee.ackRound, res.GetRound())
	cor.renewLease()
	if res.GetAccepted() {
		cor.handleAccepted(pee, res.GetMatch())
	} else {
		cor.handleRejected(pee, res.GetMatch())
	}
	if cor.role == Leader {
		cor.advanceChange()
	}
}

// handleAccepted records that the peer has synced the entries up to match, and sends it the next ones.
func (cor *core) handleAccepted(pee *peer, match uint64) {
	if match > cor.log.last().Index {
		cor.fail("VM %s acknowledges entry %d, but the log of its leader ends at %d", pee.vm, match, cor.log.last().Index)
		return
	}
	pee.match = max(pee.match, match)
	pee.next = max(pee.next, pee.match+1)
	pee.inflight = slices.DeleteFunc(pee.inflight, func(last uint64) bool { return last <= pee.match })
	pee.probing = false
	cor.advanceCommit()
	if cor.role == Leader {
		cor.replicateTo(pee)
	}
}

// handleRejected continues the search for the last common entry at the index that the peer names. Late responses to earlier
// probes are ignored.
func (cor *core) handleRejected(pee *peer, hint uint64) {
	next := max(hint, pee.match) + 1
	if pee.sendingSnapshot || next >= pee.next {
		return
	}
	pee.next = next
	pee.inflight = nil
	pee.probing = true
	if _, ok := cor.log.term(pee.next - 1); ok {
		cor.sendHeartbeat(pee)
	} else {
		cor.startSendingSnapshot(pee)
	}
}

// advanceCommit commits the entries that a quorum of the voters has synced. Entries of earlier terms are committed only with
// an entry of the leader's own term, because a quorum for them alone does not prevent another leader from replacing them.
func (cor *core) advanceCommit() {
	index := quorumValue(cor, cor.stable, func(pee *peer) uint64 { return pee.match })
	term, ok := cor.log.term(index)
	if !ok || index <= cor.commit || term != cor.hard.Term {
		return
	}
	cor.commit = index
	// Followers apply entries when they learn the commit index. The next round is sent one tick later instead of a whole
	// heartbeat, so that a burst of commits needs only one round.
	if cor.lead != nil {
		cor.lead.heartbeatAt = min(cor.lead.heartbeatAt, cor.now.mono+cor.cfg.Heartbeat/ticksPerHeartbeat)
	}
	cor.stepDownIfRemoved()
}

// renewLease starts the lease anew at the newest round that a quorum has acknowledged, unless a transfer has frozen it.
func (cor *core) renewLease() {
	lds := cor.lead
	if cor.transfer != nil && cor.transfer.frozen {
		return
	}
	round := quorumValue(cor, lds.round, func(pee *peer) uint64 { return pee.ackRound })
	for _, sent := range lds.rounds {
		if sent.round == round && (!lds.leased || sent.at.mono > lds.leaseStart.mono) {
			lds.leaseStart = sent.at
			lds.leased = true
		}
	}
}

// hasLease reports whether this VM leads and its lease has not ended on either clock.
func (cor *core) hasLease() bool {
	if cor.role != Leader || !cor.lead.leased {
		return false
	}
	elapsed := max(cor.now.mono-cor.lead.leaseStart.mono, cor.now.wall-cor.lead.leaseStart.wall)
	return elapsed < cor.cfg.leaseLength()
}

// failPendingChanges ends the running membership change with an error, and the running transfer unless its target was already
// asked to start an election.
func (cor *core) failPendingChanges(cause error) {
	if cha := cor.change; cha != nil {
		cor.change = nil
		cha.done(cause)
	}
	if tra := cor.transfer; tra != nil && !tra.sent {
		cor.transfer = nil
		tra.done(cause)
	}
}

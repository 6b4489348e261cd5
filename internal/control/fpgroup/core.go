package fpgroup

import (
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// instant is one point in time, read on both clocks.
type instant struct {
	// mono is the time since the group was created, on the monotonic clock.
	mono time.Duration
	// wall is the time since the group was created, on the wall clock, which may jump.
	wall time.Duration
	// at is the same point in time for callers outside the package.
	at time.Time
}

// batch is what the storage goroutine makes durable in one step, and the messages that may be sent only after it.
type batch struct {
	snapshot *fplog.Snapshot
	entries  []*fpwire.Entry
	hard     fplog.HardState
	commit   uint64
	messages []*fpwire.GroupMessage
	size     int
}

// task is what the apply goroutine does in one step: it restores the snapshot, if there is one, and applies the entries.
type task struct {
	snapshot *fplog.Snapshot
	entries  []*fpwire.Entry
}

// core is the consensus state machine of one VM. Its methods are called from one goroutine. The caller sets now before
// each input, to a time that was read after the input had been received; otherwise a promise could end too early.
//
// Times are on the monotonic clock of instant, unless they are instants.
type core struct {
	cfg         *Config
	incarnation uint64
	// random returns a random duration from 0 up to, but not including, limit.
	random func(limit time.Duration) time.Duration
	now    instant

	log *entryLog
	// hard is the hard state that the core has decided, durable the one that is synced to disk.
	hard    fplog.HardState
	durable fplog.HardState
	role    Role
	// leader is the leader of the current term, or the zero value if it is not known.
	leader peerID
	// commit is the highest index that is known to be committed and in the log. known is the highest one that is known to be
	// committed, in the log or not, and recorded the highest one that the log on disk records.
	commit   uint64
	known    uint64
	recorded uint64
	// recordAt is when the commit index may next be written without anything else to write. It is later than the last write, because
	// proposals often follow each other, and a write that has begun holds up the next one.
	recordAt time.Duration
	// dispatched is the highest index handed to the apply goroutine, applied the highest that it has finished.
	dispatched uint64
	applied    uint64
	// stable is the highest index known to be synced on this VM.
	stable uint64

	startedAt time.Duration
	// promisedUntil is the end of this VM's promise to a leader to vote for no other VM.
	promisedUntil time.Duration
	// electionAt is when this VM starts an election if it receives no message from a leader before.
	electionAt time.Duration
	// votes holds the VMs that granted a vote or pre-vote in the running election, with their incarnations.
	votes map[string]uint64

	// lead is nil unless this VM leads.
	lead *leaderState
	// change and transfer are the running membership change and transfer of leadership, or nil.
	change   *change
	transfer *transfer
	// incoming is the snapshot that is being received, or nil.
	incoming *incomingSnapshot
	// pendingRestore is an installed snapshot that was not handed to the apply goroutine yet, or nil.
	pendingRestore *fplog.Snapshot

	// messages can be sent at once. next collects the batch that the storage goroutine writes next, writing is the one that
	// it writes now, or nil.
	messages []*fpwire.GroupMessage
	next     batch
	writing  *batch
	// writingSince is when writing was handed to the storage goroutine.
	writingSince time.Duration
	// stalled states that the last write failed and is being retried.
	stalled bool
	// applying states that the apply goroutine runs a task.
	applying bool
	counters Counters
	// failure is the error with which the group stops, or nil.
	failure error
}

// peerID names one data folder of a VM. The zero value names none.
type peerID struct {
	vm          string
	incarnation uint64
}

// newCore returns a follower with the state in the storage. The error is that of fplog.Log.Entries.
func newCore(cfg *Config, random func(time.Duration) time.Duration) (*core, error) {
	sto := cfg.Storage
	first := sto.FirstIndex()
	entries, err := sto.Entries(first, sto.LastIndex()+1)
	if err != nil {
		return nil, err
	}
	term, _ := sto.Term(first - 1)
	base := Position{
		Term:  term,
		Index: first - 1,
	}
	snp := sto.Snapshot()
	mem := initialMembership(cfg.Voters)
	if snp.Index > 0 {
		mem = snp.Members
	}
	// The log records a commit index only together with the entries up to it.
	commit := max(snp.Index, min(sto.Commit(), sto.LastIndex()))
	cor := &core{
		cfg:         cfg,
		incarnation: cfg.Incarnation,
		random:      random,
		log:         newEntryLog(base, mem, nil),
		hard:        sto.HardState(),
		durable:     sto.HardState(),
		commit:      commit,
		known:       commit,
		recorded:    commit,
		dispatched:  snp.Index,
		applied:     snp.Index,
		stable:      sto.LastIndex(),
	}
	cor.log.append(entries)
	// The snapshot holds the membership in force at its index, so the entries up to it must not add older ones.
	cor.log.memberships = slices.DeleteFunc(cor.log.memberships, func(mat membershipAt) bool {
		return mat.index > base.Index && mat.index <= snp.Index
	})
	return cor, nil
}

// start starts the election timeout, and the time in which justStarted forbids votes.
func (cor *core) start() {
	cor.startedAt = cor.now.mono
	cor.resetElectionTimeout()
}

// resetElectionTimeout draws a new random election timeout that starts now.
func (cor *core) resetElectionTimeout() {
	cor.electionAt = cor.now.mono + cor.cfg.MinElectionTimeout + cor.random(cor.cfg.MaxElectionTimeout-cor.cfg.MinElectionTimeout)
}

// justStarted reports whether a promise that this VM made before it started may still be in force. Promises are not stored.
func (cor *core) justStarted() bool { return cor.now.mono < cor.startedAt+cor.cfg.Lease }

// members returns the membership in force.
func (cor *core) members() *fpwire.Membership { return cor.log.membership().members }

// isVoter reports whether this VM, with the incarnation of its data folder, has a vote in the membership in force.
func (cor *core) isVoter() bool {
	self := findMember(cor.members(), cor.cfg.VM)
	if self == nil || self.GetLearner() {
		return false
	}
	return self.GetIncarnation() == 0 || self.GetIncarnation() == cor.incarnation
}

// tick handles timeouts. It is called several times per heartbeat.
func (cor *core) tick() {
	cor.tickTransfer()
	if cor.role == Leader {
		cor.tickLeader()
		return
	}
	if cor.now.mono < cor.electionAt {
		return
	}
	cor.resetElectionTimeout()
	switch {
	case cor.canCampaign():
		cor.startPreVote()
	case !cor.isVoter():
		// A learner that receives no messages from its leader must not report that leader forever.
		cor.becomeFollower(cor.hard.Term)
	}
}

// step handles one received message.
func (cor *core) step(msg *fpwire.GroupMessage) {
	if msg.GetTo() != cor.cfg.VM || msg.GetGroup() != cor.cfg.Name {
		cor.counters.ForeignMessages++
		return
	}
	if req := msg.GetVoteRequest(); req != nil {
		// The term of a vote request is adopted only if no promise forbids the vote.
		cor.handleVoteRequest(msg, req)
		return
	}
	if msg.GetTerm() > cor.hard.Term && !isPreVoteGrant(msg) {
		cor.becomeFollower(msg.GetTerm())
	}
	if msg.GetTerm() < cor.hard.Term {
		cor.respondToOldTerm(msg)
		return
	}
	switch body := msg.GetBody().(type) {
	case *fpwire.GroupMessage_VoteResponse:
		cor.handleVoteResponse(msg, body.VoteResponse)
	case *fpwire.GroupMessage_AppendRequest:
		cor.known = max(cor.known, body.AppendRequest.GetCommit())
		if cor.observeLeader(msg) {
			cor.handleAppend(msg, body.AppendRequest)
		}
	case *fpwire.GroupMessage_SnapshotRequest:
		if cor.observeLeader(msg) {
			cor.handleSnapshot(msg, body.SnapshotRequest)
		}
	case *fpwire.GroupMessage_AppendResponse:
		if pee := cor.respondingPeer(msg); pee != nil {
			cor.handleAppendResponse(pee, body.AppendResponse)
		}
	case *fpwire.GroupMessage_SnapshotResponse:
		if pee := cor.respondingPeer(msg); pee != nil {
			cor.handleSnapshotResponse(pee, body.SnapshotResponse)
		}
	case *fpwire.GroupMessage_TransferRequest:
		cor.handleTransferRequest(msg)
	}
}

func isPreVoteGrant(msg *fpwire.GroupMessage) bool {
	res := msg.GetVoteResponse()
	return res.GetPre() && res.GetGranted()
}

// respondToOldTerm tells the leader of an older term about the current one. Other messages of older terms are dropped.
func (cor *core) respondToOldTerm(msg *fpwire.GroupMessage) {
	if msg.GetAppendRequest() == nil && msg.GetSnapshotRequest() == nil {
		return
	}
	cor.respond(appendResponse(cor.replyTo(msg), &fpwire.AppendResponse{}))
}

// message returns a message to a VM in the current term, without a body.
func (cor *core) message(to string) *fpwire.GroupMessage {
	return &fpwire.GroupMessage{
		Group:           cor.cfg.Name,
		From:            cor.cfg.VM,
		FromIncarnation: cor.incarnation,
		To:              to,
		Term:            cor.hard.Term,
	}
}

// replyTo returns a message to the sender of msg, without a body.
func (cor *core) replyTo(msg *fpwire.GroupMessage) *fpwire.GroupMessage {
	return cor.message(msg.GetFrom())
}

// respond sends a response once the hard state on which it relies is durable.
func (cor *core) respond(msg *fpwire.GroupMessage) {
	if cor.durable == cor.hard {
		cor.messages = append(cor.messages, msg)
		return
	}
	cor.sendAfterSync(msg)
}

// sendAfterSync sends a message once everything that the core has decided so far is durable.
func (cor *core) sendAfterSync(msg *fpwire.GroupMessage) {
	cor.next.messages = append(cor.next.messages, msg)
}

// needsWrite reports whether the core has decided anything that is not yet handed to the storage goroutine.
func (cor *core) needsWrite() bool {
	return cor.next.snapshot != nil || len(cor.next.entries) > 0 || cor.durable != cor.hard
}

// needsRecord reports whether the commit index is due to be written without anything else.
func (cor *core) needsRecord() bool {
	return cor.commit > cor.recorded && cor.now.mono >= cor.recordAt
}

// takeBatch returns the next batch for the storage goroutine, or nil if one is being written or nothing needs to be
// written. In the latter case it releases the messages that wait for a sync.
func (cor *core) takeBatch() *batch {
	if cor.writing != nil {
		return nil
	}
	if !cor.needsWrite() && !cor.needsRecord() {
		messages := cor.next.messages
		cor.next = batch{}
		cor.releaseMessages(messages)
		return nil
	}
	cor.recordAt = cor.now.mono + cor.cfg.Heartbeat/2
	bat := cor.next
	bat.hard = cor.hard
	// All entries of the log are on disk or in this batch.
	bat.commit = cor.commit
	cor.next = batch{}
	cor.writing = &bat
	cor.writingSince = cor.now.mono
	cor.counters.Batches++
	return &bat
}

// handleWritten records that the batch from takeBatch is durable.
func (cor *core) handleWritten() {
	bat := cor.writing
	cor.writing = nil
	cor.stalled = false
	cor.durable = bat.hard
	cor.recorded = max(cor.recorded, bat.commit)
	if bat.snapshot != nil && cor.log.base.Index >= bat.snapshot.Index {
		cor.stable = max(cor.stable, bat.snapshot.Index)
	}
	if count := len(bat.entries); count > 0 {
		// The entries may have been replaced since the batch was taken.
		last := bat.entries[count-1]
		if term, ok := cor.log.term(last.GetIndex()); ok && term == last.GetTerm() {
			cor.stable = max(cor.stable, last.GetIndex())
		}
	}
	cor.releaseMessages(bat.messages)
	if cor.role == Leader {
		cor.advanceCommit()
	}
}

// releaseMessages sends messages that waited for a sync. Those to this VM itself are handled at once.
func (cor *core) releaseMessages(messages []*fpwire.GroupMessage) {
	for _, msg := range messages {
		if msg.GetTo() == cor.cfg.VM {
			cor.step(msg)
		} else {
			cor.messages = append(cor.messages, msg)
		}
	}
}

// handleStalled records that the batch from takeBatch could not be written yet. Until it is written, the VM neither leads
// nor acknowledges.
func (cor *core) handleStalled() {
	cor.stalled = true
	if cor.role != Follower {
		cor.becomeFollower(cor.hard.Term)
	}
}

// takeTask returns the next task for the apply goroutine, or nil if one runs or there is none. Only entries that this VM
// has synced are applied, so that a snapshot of the machine is never newer than the log on disk.
func (cor *core) takeTask() *task {
	if cor.applying {
		return nil
	}
	until := min(cor.commit, cor.stable)
	if snp := cor.pendingRestore; snp != nil {
		if until < snp.Index {
			return nil
		}
		cor.pendingRestore = nil
		cor.dispatched = snp.Index
		cor.applying = true
		return &task{
			snapshot: snp,
		}
	}
	entries := cor.log.slice(cor.dispatched+1, until, cor.cfg.maxApplyBytes)
	if len(entries) == 0 {
		return nil
	}
	cor.dispatched = entries[len(entries)-1].GetIndex()
	cor.applying = true
	return &task{
		entries: entries,
	}
}

// handleApplied records that the task from takeTask is finished, up to the given index.
func (cor *core) handleApplied(index uint64) {
	cor.applying = false
	cor.applied = max(cor.applied, index)
	if cor.role == Leader {
		cor.advanceChange()
	}
}

// handleSnapshotSaved removes the entries up to keepAfter, which a stored snapshot includes, except those after the
// snapshot that is being sent to peers.
func (cor *core) handleSnapshotSaved(keepAfter uint64) {
	cor.counters.Snapshots++
	if cor.lead != nil && cor.lead.outgoing != nil {
		keepAfter = min(keepAfter, cor.lead.outgoing.Index)
	}
	cor.log.compact(min(keepAfter, cor.dispatched))
}

// becomeFollower makes this VM a follower without a known leader, and adopts the term if it is newer.
func (cor *core) becomeFollower(term uint64) {
	if cor.role == Leader {
		cor.counters.StepDowns++
		// The owner of the group may act as the leader until the lease ends, so this VM must not vote before.
		cor.promisedUntil = max(cor.promisedUntil, cor.lead.leaseStart.mono+cor.cfg.Lease)
		cor.failPendingChanges(fperror.New(fperror.CommitUnknown, "VM %s lost the leadership of group %s", cor.cfg.VM, cor.cfg.Name))
		cor.resetElectionTimeout()
	}
	cor.role = Follower
	cor.lead = nil
	cor.leader = peerID{}
	cor.votes = nil
	if term > cor.hard.Term {
		cor.hard = fplog.HardState{
			Term: term,
		}
	}
}

// fail makes the group stop because its state violates a guarantee of the protocol. The first error is kept.
func (cor *core) fail(format string, args ...any) {
	if cor.failure == nil {
		cor.failure = fperror.New(fperror.Internal, format, args...)
	}
}

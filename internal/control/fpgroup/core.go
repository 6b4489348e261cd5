package fpgroup

import (
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// instant is one moment on both clocks.
type instant struct {
	// mono is the time since the group was created on the monotonic clock.
	mono time.Duration
	// wall is the same on the wall clock, which may jump.
	wall time.Duration
	// at is the moment as the owner of the group sees it.
	at time.Time
}

// batch is what the storage goroutine writes with one fsync, and the messages that may leave only after it.
type batch struct {
	snapshot *fplog.Snapshot
	entries  []*fpwire.Entry
	hard     fplog.HardState
	messages []*fpwire.GroupMessage
	size     int
}

// task is what the apply goroutine does next: it restores the snapshot, if any, and then applies the entries.
type task struct {
	snapshot *fplog.Snapshot
	entries  []*fpwire.Entry
}

// core is the consensus state machine of one VM. Its methods are called from one goroutine. The caller sets now before
// each input, to a time that was read after the input had been received; otherwise a promise could end too early.
type core struct {
	cfg         *Config
	incarnation uint64
	random      func(limit time.Duration) time.Duration
	now         instant

	log     *entryLog
	hard    fplog.HardState
	durable fplog.HardState
	role    Role
	leader  peerID
	commit  uint64
	// handed is the highest index given to the apply goroutine, applied the highest that it has finished.
	handed  uint64
	applied uint64
	// stable is the highest index known to be synced on this VM.
	stable uint64

	startedAt     time.Duration
	promisedUntil time.Duration
	electionAt    time.Duration
	votes         map[string]uint64

	lead     *leading
	change   *change
	transfer *transfer
	incoming *incoming
	// pending is an installed snapshot that the apply goroutine has not restored yet.
	pending *fplog.Snapshot

	// messages may leave at once. next collects what the storage goroutine writes next.
	messages []*fpwire.GroupMessage
	next     batch
	writing  *batch
	// writingSince is when writing was handed over.
	writingSince time.Duration
	stalled      bool
	applying     bool
	counters     Counters
	failure      error
}

// peerID names one data folder of a VM.
type peerID struct {
	vm          string
	incarnation uint64
}

// newCore returns a follower with the state that is in the storage.
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
	cor := &core{
		cfg:         cfg,
		incarnation: cfg.Incarnation,
		random:      random,
		log:         newEntryLog(base, mem, nil),
		hard:        sto.HardState(),
		durable:     sto.HardState(),
		commit:      snp.Index,
		handed:      snp.Index,
		applied:     snp.Index,
		stable:      sto.LastIndex(),
	}
	cor.log.append(entries)
	// Memberships up to the snapshot are in it already, and one between base and snapshot must not come before it.
	cor.log.memberships = slices.DeleteFunc(cor.log.memberships, func(mat membershipAt) bool {
		return mat.index > base.Index && mat.index <= snp.Index
	})
	return cor, nil
}

// start begins the waiting times. A VM that has just started may have forgotten a promise to a leader.
func (cor *core) start() {
	cor.startedAt = cor.now.mono
	cor.resetElection()
}

func (cor *core) resetElection() {
	cor.electionAt = cor.now.mono + cor.cfg.MinElection + cor.random(cor.cfg.MaxElection-cor.cfg.MinElection)
}

// justStarted reports whether the VM may have forgotten a promise that it made before it started.
func (cor *core) justStarted() bool { return cor.now.mono < cor.startedAt+cor.cfg.Lease }

// members returns the membership in force.
func (cor *core) members() *fpwire.Membership { return cor.log.membership().members }

// isVoter reports whether this data folder has a vote in the membership in force.
func (cor *core) isVoter() bool {
	one := findMember(cor.members(), cor.cfg.VM)
	if one == nil || one.GetLearner() {
		return false
	}
	return one.GetIncarnation() == 0 || one.GetIncarnation() == cor.incarnation
}

// tick acts on the passing of time.
func (cor *core) tick() {
	cor.tickTransfer()
	if cor.role == Leader {
		cor.tickLeader()
		return
	}
	if cor.now.mono < cor.electionAt {
		return
	}
	cor.resetElection()
	switch {
	case cor.mayStand():
		cor.askPreVotes()
	case !cor.isVoter():
		// A learner that is cut off must not name a leader forever.
		cor.becomeFollower(cor.hard.Term)
	}
}

// step handles one message.
func (cor *core) step(msg *fpwire.GroupMessage) {
	if msg.GetTo() != cor.cfg.VM || msg.GetGroup() != cor.cfg.Name {
		cor.counters.ForeignMessages++
		return
	}
	if req := msg.GetVoteRequest(); req != nil {
		// Terms of vote requests are adopted only when no promise forbids the vote.
		cor.handleVoteRequest(msg, req)
		return
	}
	if msg.GetTerm() > cor.hard.Term && !isPreVoteGrant(msg) {
		cor.becomeFollower(msg.GetTerm())
	}
	if msg.GetTerm() < cor.hard.Term {
		cor.answerOldTerm(msg)
		return
	}
	switch body := msg.GetBody().(type) {
	case *fpwire.GroupMessage_VoteResponse:
		cor.handleVoteResponse(msg, body.VoteResponse)
	case *fpwire.GroupMessage_AppendRequest:
		if cor.follow(msg) {
			cor.handleAppend(msg, body.AppendRequest)
		}
	case *fpwire.GroupMessage_SnapshotRequest:
		if cor.follow(msg) {
			cor.handleSnapshot(msg, body.SnapshotRequest)
		}
	case *fpwire.GroupMessage_AppendResponse:
		if pee := cor.answeringPeer(msg); pee != nil {
			cor.handleAppendResponse(pee, body.AppendResponse)
		}
	case *fpwire.GroupMessage_SnapshotResponse:
		if pee := cor.answeringPeer(msg); pee != nil {
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

// answerOldTerm tells the leader of an older term about the newer one. Other old messages are dropped.
func (cor *core) answerOldTerm(msg *fpwire.GroupMessage) {
	if msg.GetAppendRequest() == nil && msg.GetSnapshotRequest() == nil {
		return
	}
	cor.respond(appendResponse(cor.reply(msg), &fpwire.AppendResponse{}))
}

// message returns a message to a VM in the current term.
func (cor *core) message(to string) *fpwire.GroupMessage {
	return &fpwire.GroupMessage{
		Group:           cor.cfg.Name,
		From:            cor.cfg.VM,
		FromIncarnation: cor.incarnation,
		To:              to,
		Term:            cor.hard.Term,
	}
}

func (cor *core) reply(msg *fpwire.GroupMessage) *fpwire.GroupMessage {
	return cor.message(msg.GetFrom())
}

// respond sends an answer once the hard state on which it relies is durable.
func (cor *core) respond(msg *fpwire.GroupMessage) {
	if cor.durable == cor.hard {
		cor.messages = append(cor.messages, msg)
		return
	}
	cor.afterSync(msg)
}

// afterSync sends a message once everything that the core has so far decided is durable.
func (cor *core) afterSync(msg *fpwire.GroupMessage) {
	cor.next.messages = append(cor.next.messages, msg)
}

// mustWrite reports whether the core has decided anything that is not yet handed to the disk.
func (cor *core) mustWrite() bool {
	return cor.next.snapshot != nil || len(cor.next.entries) > 0 || cor.durable != cor.hard
}

// takeBatch returns the next batch for the disk, or nil when one is being written or there is nothing to write.
func (cor *core) takeBatch() *batch {
	if cor.writing != nil {
		return nil
	}
	if !cor.mustWrite() {
		messages := cor.next.messages
		cor.next = batch{}
		cor.release(messages)
		return nil
	}
	taken := cor.next
	taken.hard = cor.hard
	cor.next = batch{}
	cor.writing = &taken
	cor.writingSince = cor.now.mono
	cor.counters.Batches++
	return &taken
}

// handleWritten takes note that the batch from takeBatch is durable.
func (cor *core) handleWritten() {
	bat := cor.writing
	cor.writing = nil
	cor.stalled = false
	cor.durable = bat.hard
	if bat.snapshot != nil && cor.log.base.Index >= bat.snapshot.Index {
		cor.stable = max(cor.stable, bat.snapshot.Index)
	}
	if count := len(bat.entries); count > 0 {
		// Entries that were replaced in the meantime do not count.
		last := bat.entries[count-1]
		if term, ok := cor.log.term(last.GetIndex()); ok && term == last.GetTerm() {
			cor.stable = max(cor.stable, last.GetIndex())
		}
	}
	cor.release(bat.messages)
	if cor.role == Leader {
		cor.advanceCommit()
	}
}

// release sends messages that waited for a sync. Those to this VM itself are handled at once.
func (cor *core) release(messages []*fpwire.GroupMessage) {
	for _, msg := range messages {
		if msg.GetTo() == cor.cfg.VM {
			cor.step(msg)
		} else {
			cor.messages = append(cor.messages, msg)
		}
	}
}

// handleStalled takes note that the disk refuses the batch for now. The VM then neither leads nor acknowledges.
func (cor *core) handleStalled() {
	cor.stalled = true
	if cor.role != Follower {
		cor.becomeFollower(cor.hard.Term)
	}
}

// takeTask returns the next task for the apply goroutine, or nil when one runs or there is none. Only entries that this
// VM has synced are applied, so that a snapshot of the machine never runs ahead of the log on disk.
func (cor *core) takeTask() *task {
	if cor.applying {
		return nil
	}
	until := min(cor.commit, cor.stable)
	if snp := cor.pending; snp != nil {
		if until < snp.Index {
			return nil
		}
		cor.pending = nil
		cor.handed = snp.Index
		cor.applying = true
		return &task{
			snapshot: snp,
		}
	}
	entries := cor.log.slice(cor.handed+1, until, cor.cfg.applySize)
	if len(entries) == 0 {
		return nil
	}
	cor.handed = entries[len(entries)-1].GetIndex()
	cor.applying = true
	return &task{
		entries: entries,
	}
}

// handleApplied takes note that the task from takeTask is finished.
func (cor *core) handleApplied(index uint64) {
	cor.applying = false
	cor.applied = max(cor.applied, index)
	if cor.role == Leader {
		cor.advanceChange()
	}
}

// handleSaved forgets entries that a stored snapshot covers, except those that peers may still need.
func (cor *core) handleSaved(keepAfter uint64) {
	cor.counters.Snapshots++
	if cor.lead != nil && cor.lead.outgoing != nil {
		keepAfter = min(keepAfter, cor.lead.outgoing.Index)
	}
	cor.log.compact(min(keepAfter, cor.handed))
}

// becomeFollower leaves any other role, and adopts the term if it is newer.
func (cor *core) becomeFollower(term uint64) {
	if cor.role == Leader {
		cor.counters.StepDowns++
		// The owner may act until the lease ends, so this VM's own vote must wait as well.
		cor.promisedUntil = max(cor.promisedUntil, cor.lead.leaseAt.mono+cor.cfg.Lease)
		cor.endLeading(fperror.New(fperror.CommitUnknown, "VM %s lost the leadership of group %s", cor.cfg.VM, cor.cfg.Name))
		cor.resetElection()
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

// fail stops the group because its state contradicts what the protocol guarantees.
func (cor *core) fail(format string, args ...any) {
	if cor.failure == nil {
		cor.failure = fperror.New(fperror.Internal, format, args...)
	}
}

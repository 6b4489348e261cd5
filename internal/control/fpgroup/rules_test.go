package fpgroup

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Incarnations of the VMs b and c in tests of the core of VM a.
const (
	incB = 2
	incC = 3
)

// coreHarness drives the core of VM a step by step, without the goroutines of a Group.
type coreHarness struct {
	*core
	t *testing.T
}

// newCoreHarness returns the core of VM a in a group of a, b and c, at the time of its start. With bound, the incarnations
// of the voters are known.
func newCoreHarness(t *testing.T, bound bool) *coreHarness {
	sto, err := fplog.Open(t.TempDir(), fplog.Config{
		Sync: func(*os.File) error { return nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = sto.Close() })
	cfg := &Config{
		Name:    "g",
		VM:      "a",
		Storage: sto,
		Voters:  []Member{{VM: "a"}, {VM: "b"}, {VM: "c"}},
	}
	cfg.setDefaults()
	if bound {
		cfg.Voters = []Member{{VM: "a", Incarnation: cfg.Incarnation}, {VM: "b", Incarnation: incB}, {VM: "c", Incarnation: incC}}
	}
	cor, err := newCore(cfg, func(time.Duration) time.Duration { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	cor.start()
	return &coreHarness{
		core: cor,
		t:    t,
	}
}

// setTime sets both clocks, in milliseconds since the start.
func (har *coreHarness) setTime(millis int) *coreHarness {
	length := time.Duration(millis) * time.Millisecond
	har.now = instant{
		mono: length,
		wall: length,
		at:   time.Unix(0, 0).Add(length),
	}
	return har
}

// takeSent returns the messages sent since its last call.
func (har *coreHarness) takeSent() []*fpwire.GroupMessage {
	msgs := har.messages
	har.messages = nil
	return msgs
}

// syncAll completes all writes to disk and all tasks of the apply goroutine.
func (har *coreHarness) syncAll() *coreHarness {
	for har.takeBatch() != nil {
		har.handleWritten()
	}
	for tas := har.takeTask(); tas != nil; tas = har.takeTask() {
		har.handleApplied(har.dispatched)
	}
	return har
}

// receive passes a message from the given VM, incarnation and term to the core.
func (har *coreHarness) receive(vm string, inc, term uint64, body any) *coreHarness {
	msg := &fpwire.GroupMessage{
		Group:           "g",
		From:            vm,
		FromIncarnation: inc,
		To:              "a",
		Term:            term,
	}
	switch bod := body.(type) {
	case *fpwire.VoteRequest:
		msg.Body = &fpwire.GroupMessage_VoteRequest{VoteRequest: bod}
	case *fpwire.VoteResponse:
		msg.Body = &fpwire.GroupMessage_VoteResponse{VoteResponse: bod}
	case *fpwire.AppendRequest:
		msg.Body = &fpwire.GroupMessage_AppendRequest{AppendRequest: bod}
	case *fpwire.AppendResponse:
		msg.Body = &fpwire.GroupMessage_AppendResponse{AppendResponse: bod}
	case *fpwire.SnapshotRequest:
		msg.Body = &fpwire.GroupMessage_SnapshotRequest{SnapshotRequest: bod}
	case *fpwire.TransferRequest:
		msg.Body = &fpwire.GroupMessage_TransferRequest{TransferRequest: bod}
	}
	har.step(msg)
	return har
}

// ack passes an acknowledgement of the current round and of the entries up to match to the core.
func (har *coreHarness) ack(vm string, inc, match uint64) *coreHarness {
	return har.receive(vm, inc, har.hard.Term, &fpwire.AppendResponse{Accepted: true, Match: match, Round: har.lead.round})
}

// elect makes VM a the leader at the given time in milliseconds, by the vote of b.
func (har *coreHarness) elect(millis int) *coreHarness {
	har.setTime(millis).tick()
	har.receive("b", incB, har.hard.Term+1, &fpwire.VoteResponse{Pre: true, Granted: true})
	har.syncAll().receive("b", incB, har.hard.Term, &fpwire.VoteResponse{Granted: true})
	if har.role != Leader {
		har.t.Fatalf("a did not become the leader but %s", har.role)
	}
	return har
}

// sentVote reports whether a vote was sent since the last call of takeSent. It takes the sent messages.
func (har *coreHarness) sentVote() bool {
	for _, msg := range har.takeSent() {
		if msg.GetVoteResponse().GetGranted() && !msg.GetVoteResponse().GetPre() && msg.GetTo() != "a" {
			return true
		}
	}
	return false
}

// expect reports a violated rule unless ok is true.
func (har *coreHarness) expect(ok bool, rule string) {
	har.t.Helper()
	if !ok {
		har.t.Errorf("violated rule: %s", rule)
	}
}

// TestVoteWaitsAfterStart guards against a voter that votes after a restart while its promise to a leader, which is not
// stored, is still in force.
func TestVoteWaitsAfterStart(t *testing.T) {
	har := newCoreHarness(t, true)
	har.setTime(299).receive("b", incB, 1, &fpwire.VoteRequest{}).syncAll()
	har.expect(!har.sentVote(), "no vote within 300 ms of the start")
	har.setTime(299).receive("b", incB, 1, &fpwire.VoteRequest{Transfer: true}).syncAll()
	har.expect(!har.sentVote(), "no vote for a transfer within 300 ms of the start")
	har.setTime(300).receive("b", incB, 1, &fpwire.VoteRequest{}).syncAll()
	har.expect(har.sentVote(), "a vote 300 ms after the start")
}

// TestVoteWaitsForLeader guards against the election of a second leader during the lease of the first.
func TestVoteWaitsForLeader(t *testing.T) {
	har := newCoreHarness(t, true)
	har.setTime(1000).receive("b", incB, 1, &fpwire.AppendRequest{}).syncAll()
	har.setTime(1299).receive("c", incC, 2, &fpwire.VoteRequest{}).syncAll()
	har.expect(!har.sentVote() && har.hard.Term == 1, "no vote within 300 ms of a message from the leader")
	har.setTime(1300).receive("c", incC, 2, &fpwire.VoteRequest{}).syncAll()
	har.expect(har.sentVote(), "a vote 300 ms after the last message")
	har.receive("b", incB, 2, &fpwire.VoteRequest{}).syncAll()
	har.expect(!har.sentVote(), "one vote in each term")
}

// TestVoteNamesIncarnation guards against a second vote in one term for a VM that has lost its disk.
func TestVoteNamesIncarnation(t *testing.T) {
	har := newCoreHarness(t, false)
	har.setTime(1000).receive("b", incB, 1, &fpwire.VoteRequest{}).syncAll()
	har.expect(har.sentVote(), "a vote for b")
	har.receive("b", 22, 1, &fpwire.VoteRequest{}).syncAll()
	har.expect(!har.sentVote(), "no vote for another incarnation of b in the same term")
}

// TestVoteNeedsUpToDateLog guards against a leader that lacks acknowledged entries.
func TestVoteNeedsUpToDateLog(t *testing.T) {
	har := newCoreHarness(t, true)
	har.setTime(1000).receive("b", incB, 2, &fpwire.AppendRequest{Entries: []*fpwire.Entry{{Term: 2, Index: 1, Command: []byte("x")}}}).syncAll()
	har.setTime(2000).receive("c", incC, 3, &fpwire.VoteRequest{LastTerm: 1, LastIndex: 9}).syncAll()
	har.expect(!har.sentVote(), "no vote for a log of a lower term, however long")
	har.receive("c", incC, 4, &fpwire.VoteRequest{LastTerm: 2, LastIndex: 1}).syncAll()
	har.expect(har.sentVote(), "a vote for an equal log")
}

// TestSyncBeforeAnswer guards against votes and acknowledgements that are sent before they are durable, and lost in a crash.
func TestSyncBeforeAnswer(t *testing.T) {
	har := newCoreHarness(t, true)
	har.setTime(1000).receive("b", incB, 1, &fpwire.VoteRequest{})
	har.expect(!har.sentVote(), "no vote before the sync")
	har.syncAll()
	har.expect(har.sentVote(), "a vote after the sync")
	har.receive("b", incB, 1, &fpwire.AppendRequest{Entries: []*fpwire.Entry{{Term: 1, Index: 1, Command: []byte("x")}}, Commit: 1})
	for _, msg := range har.takeSent() {
		har.expect(msg.GetAppendResponse().GetMatch() == 0, "no acknowledgement before the sync")
	}
	har.expect(har.takeTask() == nil, "no entry is applied before the sync")
	har.receive("b", incB, 1, &fpwire.AppendRequest{PrevTerm: 1, PrevIndex: 1, Commit: 1})
	for _, msg := range har.takeSent() {
		har.expect(msg.GetAppendResponse().GetMatch() == 0, "no acknowledgement in the response to a heartbeat before the sync")
	}
	har.syncAll()
	match := uint64(0)
	for _, msg := range har.takeSent() {
		match = max(match, msg.GetAppendResponse().GetMatch())
	}
	har.expect(match == 1, "an acknowledgement after the sync")
}

// TestCandidateVotesForItselfAfterSync guards against a candidate that wins with its own vote before that vote is durable,
// and votes for another one in the same term after a crash.
func TestCandidateVotesForItselfAfterSync(t *testing.T) {
	har := newCoreHarness(t, true)
	har.setTime(300).tick()
	har.receive("b", incB, 1, &fpwire.VoteResponse{Pre: true, Granted: true})
	har.takeSent()
	har.receive("b", incB, 1, &fpwire.VoteResponse{Granted: true})
	har.expect(har.role == Candidate, "the candidate's own vote does not count before the sync")
	har.syncAll()
	har.expect(har.role == Leader, "the candidate's own vote counts after the sync")
}

// TestLeaderCountsItselfAfterSync guards against an entry that is committed while one voter less than a majority has synced
// it.
func TestLeaderCountsItselfAfterSync(t *testing.T) {
	har := newCoreHarness(t, true).elect(300).ack("b", incB, 1)
	har.expect(har.commit == 0, "the leader's own log does not count before the sync")
	har.syncAll()
	har.expect(har.commit == 1, "the leader's own log counts after the sync")
}

// TestAppendNeedsMatchingLog guards against logs that differ before an acknowledged entry.
func TestAppendNeedsMatchingLog(t *testing.T) {
	har := newCoreHarness(t, true)
	har.setTime(1000).receive("b", incB, 1, &fpwire.AppendRequest{Entries: []*fpwire.Entry{{Term: 1, Index: 1, Command: []byte("x")}}}).syncAll()
	har.takeSent()
	next := []*fpwire.Entry{{Term: 2, Index: 2, Command: []byte("y")}}
	har.receive("c", incC, 2, &fpwire.AppendRequest{PrevTerm: 2, PrevIndex: 1, Entries: next}).syncAll()
	har.expect(har.log.last().Index == 1, "no entry after one of another term")
	har.receive("c", incC, 2, &fpwire.AppendRequest{PrevTerm: 1, PrevIndex: 1, Entries: next}).syncAll()
	har.expect(har.log.last().Index == 2, "an entry after an equal one")
}

// TestSnapshotOfOneSender guards against a snapshot that is assembled from chunks of two different snapshots.
func TestSnapshotOfOneSender(t *testing.T) {
	har := newCoreHarness(t, true)
	chunk := func(vm string, inc, term, offset uint64, done bool) {
		har.receive(vm, inc, term, &fpwire.SnapshotRequest{
			LastTerm:  1,
			LastIndex: 9,
			Members:   har.members(),
			Offset:    offset,
			Data:      []byte(vm),
			Done:      done,
		})
	}
	har.setTime(1000)
	chunk("b", incB, 1, 0, false)
	chunk("c", incC, 2, 1, true)
	har.expect(har.commit == 0, "chunks of two senders make no snapshot")
	chunk("c", incC, 2, 0, false)
	chunk("c", incC, 2, 1, true)
	har.expect(har.commit == 9 && string(har.pendingRestore.Data) == "cc", "chunks of one sender make a snapshot")
}

// TestLostDiskHasNoVote guards against counting the votes and acknowledgements of a voter that has lost its disk.
func TestLostDiskHasNoVote(t *testing.T) {
	har := newCoreHarness(t, true)
	har.setTime(300).tick()
	har.receive("b", 22, 1, &fpwire.VoteResponse{Pre: true, Granted: true})
	har.expect(har.role == PreCandidate, "a pre-vote of another incarnation does not count")
	har = newCoreHarness(t, true).elect(300).syncAll()
	har.receive("b", 22, 1, &fpwire.AppendResponse{Accepted: true, Match: 1, Round: 1})
	har.expect(har.commit == 0, "an acknowledgement of another incarnation does not count")
	har.expect(!har.hasLease(), "a round acknowledged by another incarnation does not count")
	har.ack("b", incB, 1)
	har.expect(har.commit == 1 && har.hasLease(), "an acknowledgement of the voter counts")
}

// TestFirstElectionIsUnanimous guards against a group that is formed twice because a disk is lost during its first start.
func TestFirstElectionIsUnanimous(t *testing.T) {
	har := newCoreHarness(t, false)
	har.setTime(300).tick()
	har.receive("b", incB, 1, &fpwire.VoteResponse{Pre: true, Granted: true})
	har.expect(har.role == PreCandidate, "a majority does not elect the first leader")
	har.receive("c", incC, 1, &fpwire.VoteResponse{Pre: true, Granted: true})
	har.syncAll().receive("b", incB, 1, &fpwire.VoteResponse{Granted: true})
	har.expect(har.role == Candidate, "a majority does not elect the first leader")
	har.receive("c", incC, 1, &fpwire.VoteResponse{Granted: true})
	har.expect(har.role == Leader, "all voters elect the first leader")
	har.expect(findMember(har.members(), "c").GetIncarnation() == incC, "the first entry binds the incarnations")
}

// TestCommitNeedsOwnTerm guards against the commit of an entry of an earlier term that another leader can still replace.
func TestCommitNeedsOwnTerm(t *testing.T) {
	har := newCoreHarness(t, true)
	har.setTime(1000).receive("c", incC, 1, &fpwire.AppendRequest{Entries: []*fpwire.Entry{{Term: 1, Index: 1, Command: []byte("x")}}}).syncAll()
	har.elect(2000).syncAll().ack("b", incB, 1)
	har.expect(har.commit == 0, "an entry of an earlier term is not committed by counting")
	har.ack("b", incB, 2)
	har.expect(har.commit == 2, "an entry of an earlier term is committed with the first entry of the leader's term")
}

// TestLeaseCountsFromSending guards against a lease that outlives the promises of the voters.
func TestLeaseCountsFromSending(t *testing.T) {
	har := newCoreHarness(t, true).elect(300).syncAll()
	har.setTime(500).ack("b", incB, 1).syncAll()
	har.expect(har.setTime(596).hasLease(), "the lease lasts 297 ms")
	har.expect(!har.setTime(597).hasLease(), "the lease ends 297 ms after the round was sent, 1% before the promise")
	har.now.mono = 400 * time.Millisecond
	har.now.wall = 700 * time.Millisecond
	har.expect(!har.hasLease(), "the lease ends when the wall clock says so")
	har.now.mono, har.now.wall = har.now.wall, har.now.mono
	har.expect(!har.hasLease(), "the lease ends when the monotonic clock says so")
}

// TestLeaderStepsDown guards against a leader that keeps its role without a quorum, and against one that votes during its
// own lease.
func TestLeaderStepsDown(t *testing.T) {
	har := newCoreHarness(t, true).elect(300).syncAll()
	har.setTime(450).tick()
	har.ack("b", incB, 1)
	har.setTime(749).tick()
	har.expect(har.role == Leader, "a leader keeps its role for 300 ms without a response")
	har.setTime(749).receive("c", incC, 2, &fpwire.VoteRequest{LastTerm: 9}).syncAll()
	har.expect(har.role == Leader && har.hard.Term == 1, "a leader ignores candidates")
	har.setTime(750).tick()
	har.expect(har.role == Follower, "a leader steps down after 300 ms without a quorum")
	har = newCoreHarness(t, true).elect(300).syncAll().ack("b", incB, 1).setTime(310)
	har.becomeFollower(1)
	har.receive("c", incC, 2, &fpwire.VoteRequest{LastTerm: 9}).syncAll()
	har.expect(!har.sentVote(), "a former leader does not vote before its lease ends")
}

// TestTransferWaitsForLease guards against two leaders with a lease during a transfer of leadership and after a failed one.
func TestTransferWaitsForLease(t *testing.T) {
	har := newCoreHarness(t, true).elect(300).syncAll().ack("b", incB, 1).setTime(310)
	var result error
	har.startTransfer(&transfer{
		target: "b",
		done:   func(err error) { result = err },
	})
	sent := func() (found bool) {
		for _, msg := range har.takeSent() {
			found = found || msg.GetTransferRequest() != nil
		}
		return found
	}
	_, err := har.propose([][]byte{[]byte("x")})
	har.expect(fperror.Is(err, fperror.NotLeader), "no proposals during a transfer")
	har.setTime(400).tick()
	har.ack("b", incB, 1).setTime(599).tick()
	har.expect(!sent(), "the target is not asked before the lease ends")
	har.receive("b", incB, 2, &fpwire.VoteRequest{LastTerm: 1, LastIndex: 1, Transfer: true}).syncAll()
	har.expect(!har.sentVote(), "a leader grants no vote for a transfer before it has asked the target")
	har.setTime(600).tick()
	har.expect(sent(), "the target is asked when the lease ends")
	har.ack("b", incB, 1)
	har.expect(!har.hasLease(), "no lease after the target was asked")
	for millis := 610; millis < 1300; millis += 50 {
		har.setTime(millis).tick()
		if har.role == Leader {
			har.ack("b", incB, 1)
		}
	}
	har.expect(har.role != Leader && result != nil, "a leader whose transfer fails steps down")
}

// TestOneChangeAtATime guards against two membership changes at a time, after which majorities need not overlap.
func TestOneChangeAtATime(t *testing.T) {
	har := newCoreHarness(t, true).elect(300).syncAll()
	results := map[string]error{}
	begin := func(vm string) {
		har.startChange(&change{
			kind: removeVoter,
			vm:   vm,
			done: func(err error) { results[vm] = err },
		})
	}
	begin("a")
	har.ack("b", incB, 0)
	begin("b")
	har.expect(results["b"] != nil, "no change while another one is running")
	delete(results, "b")
	har.change.abandoned.Store(true)
	begin("c")
	har.expect(findMember(har.members(), "c") != nil, "no change before an entry of the leader's own term is committed")
	har.ack("b", incB, 1)
	har.expect(findMember(har.members(), "c") == nil, "the change starts when an entry of the leader's own term is committed")
	har.change.abandoned.Store(true)
	begin("b")
	har.expect(findMember(har.members(), "b") != nil, "no change before the previous one is committed, even if its caller no longer waits")
	har.syncAll().ack("b", incB, 2)
	har.expect(results["b"] == nil && findMember(har.members(), "b") == nil, "the next change starts when the previous one is committed")
	har = newCoreHarness(t, true).elect(300).syncAll().ack("b", incB, 1)
	begin("b")
	har.expect(results["b"] != nil && findMember(har.members(), "b") != nil, "no removal that leaves the group without a quorum")
}

// TestRepairNeedsFreshAnswers guards against a repair that is reported as done before the new disk has every acknowledged
// entry.
func TestRepairNeedsFreshAnswers(t *testing.T) {
	har := newCoreHarness(t, true).elect(300).syncAll().ack("b", incB, 1).ack("c", incC, 1).setTime(310)
	done := false
	har.startChange(&change{
		kind: repairVoter,
		vm:   "c",
		done: func(err error) { done = err == nil },
	})
	har.expect(!done, "responses from before the request do not count")
	for millis := 400; millis < 700; millis += 50 {
		har.setTime(millis).tick()
		har.ack("b", incB, 1).receive("c", 33, 1, &fpwire.AppendResponse{Accepted: true, Match: 1, Round: har.lead.round})
	}
	har.expect(findMember(har.members(), "c").GetLearner(), "a voter with a lost disk becomes a learner")
	har.syncAll().ack("b", incB, 2)
	har.ack("c", incC, 2)
	har.ack("c", 33, 1)
	har.setTime(800).tick()
	har.ack("b", incB, 2).ack("c", 33, 1)
	har.expect(findMember(har.members(), "c").GetLearner(), "a learner that lacks an entry gets no vote")
	har.ack("c", 33, 2)
	har.expect(findMember(har.members(), "c").GetIncarnation() == 33, "a learner that holds all entries gets a vote")
	har.syncAll()
	har.setTime(900).tick()
	har.ack("c", 33, 2)
	har.expect(!done, "a repair is not reported before the membership is committed")
	har.ack("b", incB, 3)
	har.expect(har.commit == 3 && !done, "a repair is not reported before the voter holds all entries")
	har.ack("c", 33, 3)
	har.expect(done, "the repair is reported when the voter holds all entries")
}

// TestStalledDisk guards against a VM that acknowledges or leads while its disk is full.
func TestStalledDisk(t *testing.T) {
	har := newCoreHarness(t, true).elect(300).syncAll().ack("b", incB, 1)
	_, _ = har.propose([][]byte{[]byte("x")})
	har.takeBatch()
	har.handleStalled()
	har.expect(har.role == Follower, "a leader with a full disk steps down")
	har.takeSent()
	har.setTime(1000).receive("b", incB, 2, &fpwire.AppendRequest{})
	har.setTime(2000).tick()
	har.expect(len(har.takeSent()) == 0 && har.role == Follower, "a VM with a full disk neither responds nor starts an election")
	har.handleWritten()
	har.syncAll().setTime(2010).receive("b", incB, 2, &fpwire.AppendRequest{Round: 2}).syncAll()
	har.expect(len(har.takeSent()) > 0, "a VM responds again when the disk has space")
	har.receive("b", incB, 2, &fpwire.AppendRequest{PrevTerm: 1, PrevIndex: 2, Entries: []*fpwire.Entry{{Term: 2, Index: 3}}})
	har.takeBatch()
	har.handleStalled()
	har.takeSent()
	har.receive("b", incB, 2, &fpwire.AppendRequest{Round: 3})
	har.expect(len(har.takeSent()) == 0, "a VM with a full disk does not respond to heartbeats")
}

// TestPromiseCountsFromReceipt guards against a promise that ends too early because the clock was read, then the process was
// paused, and only then the leader's message was received.
func TestPromiseCountsFromReceipt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, 3)
		leader := sim.waitForLeader()
		var nod *node
		for _, name := range sim.names {
			if name != leader.name {
				nod = sim.nodes[name]
			}
		}
		sim.isolate(nod.name, true)
		for _, name := range sim.names {
			if name != nod.name {
				sim.nodes[name].stop()
			}
		}
		gro := nod.group()
		term := gro.Status().Term
		calls := 0
		inner := gro.clock
		var offered time.Time
		ready := make(chan struct{})
		// The clock is replaced on the core goroutine, which is the only one that reads it here.
		gro.coreCalls.Offer(func(*core) {
			gro.clock = func() instant {
				now := inner()
				calls++
				if calls == 1 {
					time.Sleep(200 * time.Millisecond)
					offered = time.Now()
					gro.Step(&fpwire.GroupMessage{
						Group:           "g",
						From:            leader.name,
						FromIncarnation: leader.log.Incarnation(),
						To:              nod.name,
						Term:            term,
						Body:            &fpwire.GroupMessage_AppendRequest{AppendRequest: &fpwire.AppendRequest{}},
					})
					close(ready)
				}
				return now
			}
		})
		<-ready
		time.Sleep(50 * time.Millisecond)
		promise := make(chan time.Duration, 1)
		_ = gro.coreCalls.Put(context.Background(), func(cor *core) { promise <- cor.promisedUntil })
		if until := nod.base.Add(<-promise); until.Before(offered.Add(300 * time.Millisecond)) {
			t.Errorf("the promise ends %s after the message was received", until.Sub(offered))
		}
		nod.stop()
	})
}

// TestRejoinKeepsLeader guards against a VM that returns from a network partition and makes the leader step down.
func TestRejoinKeepsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, 3)
		leader := sim.waitForLeader()
		term := leader.group().Status().Term
		for _, name := range sim.names {
			if name != leader.name {
				sim.isolate(name, true)
				time.Sleep(3 * time.Second)
				sim.isolate(name, false)
				break
			}
		}
		time.Sleep(3 * time.Second)
		if now := leader.group().Status(); now.Term != term || now.Role != Leader {
			t.Errorf("term %d became %d", term, now.Term)
		}
		sim.stopAndCheck()
	})
}

// TestLeadAfterFirstEntry guards against stale reads from a new leader that has not yet applied all entries that earlier
// leaders acknowledged.
func TestLeadAfterFirstEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, 3)
		nod := sim.waitForLeader()
		first := make(chan uint64, 1)
		_ = nod.group().coreCalls.Put(context.Background(), func(cor *core) {
			first <- cor.lead.firstIndex
			cor.applied = 0
		})
		<-first
		time.Sleep(20 * time.Millisecond)
		if _, err := nod.group().Leadership(context.Background()); !fperror.Is(err, fperror.NotLeader) {
			t.Errorf("Leadership of a leader that has not applied its first entry returns %v, want NotLeader", err)
		}
		sim.stopAndCheck()
	})
}

// TestCommittedEntryStays guards against replicas that diverge unnoticed: a leader that replaces a committed entry, or a
// second leader in one term, must stop the group.
func TestCommittedEntryStays(t *testing.T) {
	har := newCoreHarness(t, true)
	har.setTime(1000).receive("b", incB, 1, &fpwire.AppendRequest{Entries: []*fpwire.Entry{{Term: 1, Index: 1, Command: []byte("x")}}, Commit: 1}).syncAll()
	har.receive("c", incC, 2, &fpwire.AppendRequest{Entries: []*fpwire.Entry{{Term: 2, Index: 1, Command: []byte("y")}}}).syncAll()
	har.expect(har.failure != nil, "a committed entry is not replaced")
	har = newCoreHarness(t, true)
	har.setTime(1000).receive("b", incB, 1, &fpwire.AppendRequest{}).receive("c", incC, 1, &fpwire.AppendRequest{})
	har.expect(har.failure != nil, "a second leader in one term stops the group")
}

// TestSuspendedLeader guards against a leader that still has a lease after a pause that was longer than the lease, also if
// its monotonic clock stood still during the pause.
func TestSuspendedLeader(t *testing.T) {
	for _, suspend := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t, 1, 3)
			nod := sim.waitForLeader()
			gro := nod.group()
			nod.pause(400*time.Millisecond, suspend)
			if lea, err := gro.Leadership(context.Background()); err == nil {
				t.Errorf("suspend %t: a paused leader has the lease %+v", suspend, lea)
			}
			sim.stopAndCheck()
		})
	}
}

// TestBlockedSend guards against a leader that is blocked because sending to one peer never returns.
func TestBlockedSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, 3)
		leader := sim.waitForLeader()
		term := leader.group().Status().Term
		sim.mu.Lock()
		sim.blockedVM = sim.names[(slices.Index(sim.names, leader.name)+1)%3]
		sim.mu.Unlock()
		for num := range 3000 {
			if err := sim.propose(leader, 0, fmt.Sprint(num)); err != nil {
				t.Fatalf("proposal %d: %v", num, err)
			}
		}
		if sta := leader.group().Status(); sta.Term != term || sta.Counters.StepDowns > 0 {
			t.Errorf("a blocked send to one peer ended the leadership of term %d: %+v", term, sta)
		}
		for _, name := range sim.names {
			sim.nodes[name].stop()
		}
	})
}

// TestRestartKeepsTerm guards against a voter that loses its term and vote in a restart.
func TestRestartKeepsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, 3)
		nod := sim.waitForLeader()
		sta := nod.group().Status()
		time.Sleep(100 * time.Millisecond)
		want := nod.log.HardState()
		sim.stopAndCheck()
		nod.start()
		if got := nod.log.HardState(); got != want || got.Term != sta.Term || got.Vote != nod.name {
			t.Errorf("hard state %+v became %+v in term %d", want, got, sta.Term)
		}
		nod.stop()
	})
}

// TestSecondLossAfterRepair guards against a repair that is reported too early, so that the loss of the next disk loses
// entries. One random disk after the other is lost, each right after the previous repair.
func TestSecondLossAfterRepair(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t, seed, 3)
			for round := range 6 {
				leader := sim.waitForLeader()
				for num := range 60 {
					_ = sim.propose(leader, 0, fmt.Sprintf("%d-%d", round, num))
				}
				lost := sim.nodes[sim.names[sim.randomIntN(3)]]
				lost.loseDisk()
				sim.repair(lost.name)
			}
			sim.heal()
			sim.stopAndCheck()
			for _, text := range sim.problems {
				t.Errorf("seed %d: %s", seed, text)
			}
		})
	}
}

// TestMembershipChanges guards against membership changes that lose commands or leave the group without a leader. The group
// grows from three to five voters, then shrinks to three, and each removed voter is the leader.
func TestMembershipChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, 3)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		change := func(fn func(gro *Group) error) {
			leader := sim.waitForLeader()
			if err := fn(leader.group()); err != nil {
				t.Errorf("%+v", err)
			}
			leader = sim.waitForLeader()
			for num := range 50 {
				_ = sim.propose(leader, 0, fmt.Sprintf("%d-%d", sim.opClock.Load(), num))
			}
		}
		for _, name := range []string{"vm-3", "vm-4"} {
			sim.addNode(name).start()
			change(func(gro *Group) error { return gro.AddVoter(ctx, name) })
			change(func(gro *Group) error { return gro.AddVoter(ctx, name) })
		}
		for range 2 {
			leader := sim.waitForLeader()
			change(func(gro *Group) error { return gro.RemoveVoter(ctx, leader.name) })
			leader.stop()
			sim.names = slices.DeleteFunc(sim.names, func(name string) bool { return name == leader.name })
		}
		if sta := sim.waitForLeader().group().Status(); len(sta.Members) != 3 {
			t.Errorf("members %+v", sta.Members)
		}
		sim.heal()
		sim.stopAndCheck()
		for _, text := range sim.problems {
			t.Error(text)
		}
	})
}

// TestLearner guards against a learner that does not receive the log, that counts for a quorum, or that still reports a
// leader after a minute without messages from it.
func TestLearner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, 3)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		learner := sim.addNode("vm-3")
		learner.start()
		leader := sim.waitForLeader()
		for range 2 {
			if err := leader.group().AddLearner(ctx, "vm-3"); err != nil {
				t.Errorf("%+v", err)
			}
		}
		if err := sim.propose(leader, 0, "first"); err != nil {
			t.Errorf("%+v", err)
		}
		time.Sleep(time.Second)
		sta := learner.group().Status()
		if sta.Applied.Index != leader.group().Status().Applied.Index || sta.Leader != leader.name {
			t.Errorf("the learner follows %q and has applied %v, the leader %v", sta.Leader, sta.Applied, leader.group().Status().Applied)
		}
		for range 2 {
			if err := leader.group().AddVoter(ctx, "vm-3"); err != nil {
				t.Errorf("%+v", err)
			}
			if err := leader.group().Demote(ctx, "vm-3"); err != nil {
				t.Errorf("%+v", err)
			}
		}
		if err := leader.group().Demote(ctx, leader.name); err == nil {
			t.Error("the leader has demoted itself")
		}
		sim.isolate("vm-3", true)
		time.Sleep(time.Minute)
		if sta := learner.group().Status(); sta.Leader != "" || sta.Role != Follower {
			t.Errorf("a learner that is cut off is %v and names leader %q", sta.Role, sta.Leader)
		}
		sim.isolate("vm-3", false)
		// The leader and the learner are left: two of four VMs, but only one of three voters.
		for _, name := range sim.names {
			if name != leader.name && name != "vm-3" {
				sim.isolate(name, true)
			}
		}
		if err := sim.propose(leader, 0, "second"); err == nil {
			t.Error("a command was committed with the vote of a learner")
		}
		sim.heal()
		sim.stopAndCheck()
		for _, text := range sim.problems {
			t.Error(text)
		}
	})
}

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

// Incarnations of the VMs b and c in the tests of the core of VM a.
const (
	incB = 2
	incC = 3
)

// lab drives the core of VM a by hand.
type lab struct {
	*core
	t *testing.T
}

// newLab returns the core of VM a in a group of a, b and c at the time of its start. Unless bound, no incarnation is known.
func newLab(t *testing.T, bound bool) *lab {
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
	return &lab{
		core: cor,
		t:    t,
	}
}

// at sets both clocks, in milliseconds.
func (lab *lab) at(millis int) *lab {
	length := time.Duration(millis) * time.Millisecond
	lab.now = instant{
		mono: length,
		wall: length,
		at:   time.Unix(0, 0).Add(length),
	}
	return lab
}

// sent returns the messages that have left.
func (lab *lab) sent() []*fpwire.GroupMessage {
	all := lab.messages
	lab.messages = nil
	return all
}

// sync writes all batches and applies all tasks.
func (lab *lab) sync() *lab {
	for lab.takeBatch() != nil {
		lab.handleWritten()
	}
	for tas := lab.takeTask(); tas != nil; tas = lab.takeTask() {
		lab.handleApplied(lab.handed)
	}
	return lab
}

// from hands the core a message of b (incB) or c (incC), or of another incarnation.
func (lab *lab) from(vm string, inc, term uint64, body any) *lab {
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
	lab.step(msg)
	return lab
}

func (lab *lab) ack(vm string, inc, match uint64) *lab {
	return lab.from(vm, inc, lab.hard.Term, &fpwire.AppendResponse{Accepted: true, Match: match, Round: lab.lead.round})
}

// elect makes a the leader at the given time, by the vote of b.
func (lab *lab) elect(millis int) *lab {
	lab.at(millis).tick()
	lab.from("b", incB, lab.hard.Term+1, &fpwire.VoteResponse{Pre: true, Granted: true})
	lab.sync().from("b", incB, lab.hard.Term, &fpwire.VoteResponse{Granted: true})
	if lab.role != Leader {
		lab.t.Fatalf("a did not become the leader but %s", lab.role)
	}
	return lab
}

// voted reports whether a vote for the last asker has left.
func (lab *lab) voted() bool {
	for _, msg := range lab.sent() {
		if msg.GetVoteResponse().GetGranted() && !msg.GetVoteResponse().GetPre() && msg.GetTo() != "a" {
			return true
		}
	}
	return false
}

func (lab *lab) want(ok bool, rule string) {
	lab.t.Helper()
	if !ok {
		lab.t.Errorf("broken rule: %s", rule)
	}
}

// TestVoteWaitsAfterStart guards against a voter that has forgotten its promise to a leader.
func TestVoteWaitsAfterStart(t *testing.T) {
	lab := newLab(t, true)
	lab.at(299).from("b", incB, 1, &fpwire.VoteRequest{}).sync()
	lab.want(!lab.voted(), "no vote within 300 ms of the start")
	lab.at(299).from("b", incB, 1, &fpwire.VoteRequest{Transfer: true}).sync()
	lab.want(!lab.voted(), "no vote for a transfer within 300 ms of the start")
	lab.at(300).from("b", incB, 1, &fpwire.VoteRequest{}).sync()
	lab.want(lab.voted(), "a vote 300 ms after the start")
}

// TestVoteWaitsForLeader guards against the election of a second leader within the lease of the first.
func TestVoteWaitsForLeader(t *testing.T) {
	lab := newLab(t, true)
	lab.at(1000).from("b", incB, 1, &fpwire.AppendRequest{}).sync()
	lab.at(1299).from("c", incC, 2, &fpwire.VoteRequest{}).sync()
	lab.want(!lab.voted() && lab.hard.Term == 1, "no vote within 300 ms of a message from the leader")
	lab.at(1300).from("c", incC, 2, &fpwire.VoteRequest{}).sync()
	lab.want(lab.voted(), "a vote 300 ms after the last message")
	lab.from("b", incB, 2, &fpwire.VoteRequest{}).sync()
	lab.want(!lab.voted(), "one vote in each term")
}

// TestVoteNamesIncarnation guards against a second vote in one term for a VM that has lost its disk.
func TestVoteNamesIncarnation(t *testing.T) {
	lab := newLab(t, false)
	lab.at(1000).from("b", incB, 1, &fpwire.VoteRequest{}).sync()
	lab.want(lab.voted(), "a vote for b")
	lab.from("b", 22, 1, &fpwire.VoteRequest{}).sync()
	lab.want(!lab.voted(), "no vote for another incarnation of b in the same term")
}

// TestVoteNeedsLog guards against a leader without acknowledged entries.
func TestVoteNeedsLog(t *testing.T) {
	lab := newLab(t, true)
	lab.at(1000).from("b", incB, 2, &fpwire.AppendRequest{Entries: []*fpwire.Entry{{Term: 2, Index: 1, Command: []byte("x")}}}).sync()
	lab.at(2000).from("c", incC, 3, &fpwire.VoteRequest{LastTerm: 1, LastIndex: 9}).sync()
	lab.want(!lab.voted(), "no vote for a log of a lower term, however long")
	lab.from("c", incC, 4, &fpwire.VoteRequest{LastTerm: 2, LastIndex: 1}).sync()
	lab.want(lab.voted(), "a vote for an equal log")
}

// TestSyncBeforeAnswer guards against votes and acknowledgements that a crash takes back.
func TestSyncBeforeAnswer(t *testing.T) {
	lab := newLab(t, true)
	lab.at(1000).from("b", incB, 1, &fpwire.VoteRequest{})
	lab.want(!lab.voted(), "no vote before the sync")
	lab.sync()
	lab.want(lab.voted(), "a vote after the sync")
	lab.from("b", incB, 1, &fpwire.AppendRequest{Entries: []*fpwire.Entry{{Term: 1, Index: 1, Command: []byte("x")}}, Commit: 1})
	for _, msg := range lab.sent() {
		lab.want(msg.GetAppendResponse().GetMatch() == 0, "no acknowledgement before the sync")
	}
	lab.want(lab.takeTask() == nil, "no entry is applied before the sync")
	lab.from("b", incB, 1, &fpwire.AppendRequest{PrevTerm: 1, PrevIndex: 1, Commit: 1})
	for _, msg := range lab.sent() {
		lab.want(msg.GetAppendResponse().GetMatch() == 0, "no acknowledgement by the answer to a heartbeat before the sync")
	}
	lab.sync()
	match := uint64(0)
	for _, msg := range lab.sent() {
		match = max(match, msg.GetAppendResponse().GetMatch())
	}
	lab.want(match == 1, "an acknowledgement after the sync")
}

// TestStandAfterSync guards against a candidate that forgets its vote for itself.
func TestStandAfterSync(t *testing.T) {
	lab := newLab(t, true)
	lab.at(300).tick()
	lab.from("b", incB, 1, &fpwire.VoteResponse{Pre: true, Granted: true})
	lab.sent()
	lab.from("b", incB, 1, &fpwire.VoteResponse{Granted: true})
	lab.want(lab.role == Candidate, "the own vote counts only after the sync")
	lab.sync()
	lab.want(lab.role == Leader, "the own vote counts after the sync")
}

// TestLeaderCountsItselfAfterSync guards against an acknowledgement that rests on one disk less than a majority.
func TestLeaderCountsItselfAfterSync(t *testing.T) {
	lab := newLab(t, true).elect(300).ack("b", incB, 1)
	lab.want(lab.commit == 0, "the leader's own log counts only after the sync")
	lab.sync()
	lab.want(lab.commit == 1, "it counts after the sync")
}

// TestAppendNeedsSameLog guards against logs that differ before an acknowledged entry.
func TestAppendNeedsSameLog(t *testing.T) {
	lab := newLab(t, true)
	lab.at(1000).from("b", incB, 1, &fpwire.AppendRequest{Entries: []*fpwire.Entry{{Term: 1, Index: 1, Command: []byte("x")}}}).sync()
	lab.sent()
	next := []*fpwire.Entry{{Term: 2, Index: 2, Command: []byte("y")}}
	lab.from("c", incC, 2, &fpwire.AppendRequest{PrevTerm: 2, PrevIndex: 1, Entries: next}).sync()
	lab.want(lab.log.last().Index == 1, "no entry after one of another term")
	lab.from("c", incC, 2, &fpwire.AppendRequest{PrevTerm: 1, PrevIndex: 1, Entries: next}).sync()
	lab.want(lab.log.last().Index == 2, "an entry after an equal one")
}

// TestSnapshotOfOneSender guards against a snapshot that is put together from two different ones.
func TestSnapshotOfOneSender(t *testing.T) {
	lab := newLab(t, true)
	chunk := func(vm string, inc, term, offset uint64, done bool) {
		lab.from(vm, inc, term, &fpwire.SnapshotRequest{
			LastTerm:  1,
			LastIndex: 9,
			Members:   lab.members(),
			Offset:    offset,
			Data:      []byte(vm),
			Done:      done,
		})
	}
	lab.at(1000)
	chunk("b", incB, 1, 0, false)
	chunk("c", incC, 2, 1, true)
	lab.want(lab.commit == 0, "chunks of two senders make no snapshot")
	chunk("c", incC, 2, 0, false)
	chunk("c", incC, 2, 1, true)
	lab.want(lab.commit == 9 && string(lab.pending.Data) == "cc", "chunks of one sender make a snapshot")
}

// TestLostDiskHasNoVote guards against votes and acknowledgements of a voter that has lost its disk.
func TestLostDiskHasNoVote(t *testing.T) {
	lab := newLab(t, true)
	lab.at(300).tick()
	lab.from("b", 22, 1, &fpwire.VoteResponse{Pre: true, Granted: true})
	lab.want(lab.role == PreCandidate, "a pre-vote of another incarnation does not count")
	lab = newLab(t, true).elect(300).sync()
	lab.from("b", 22, 1, &fpwire.AppendResponse{Accepted: true, Match: 1, Round: 1})
	lab.want(lab.commit == 0, "an acknowledgement of another incarnation does not count")
	lab.want(!lab.hasLease(), "a round acknowledged by another incarnation does not count")
	lab.ack("b", incB, 1)
	lab.want(lab.commit == 1 && lab.hasLease(), "an acknowledgement of the voter counts")
}

// TestFirstElectionIsUnanimous guards against a group that forms twice when a disk is lost during its first start.
func TestFirstElectionIsUnanimous(t *testing.T) {
	lab := newLab(t, false)
	lab.at(300).tick()
	lab.from("b", incB, 1, &fpwire.VoteResponse{Pre: true, Granted: true})
	lab.want(lab.role == PreCandidate, "a majority does not elect the first leader")
	lab.from("c", incC, 1, &fpwire.VoteResponse{Pre: true, Granted: true})
	lab.sync().from("b", incB, 1, &fpwire.VoteResponse{Granted: true})
	lab.want(lab.role == Candidate, "a majority does not elect the first leader")
	lab.from("c", incC, 1, &fpwire.VoteResponse{Granted: true})
	lab.want(lab.role == Leader, "all voters elect the first leader")
	lab.want(findMember(lab.members(), "c").GetIncarnation() == incC, "the first entry binds the incarnations")
}

// TestCommitNeedsOwnTerm guards against an acknowledged entry of an earlier term that another leader then replaces.
func TestCommitNeedsOwnTerm(t *testing.T) {
	lab := newLab(t, true)
	lab.at(1000).from("c", incC, 1, &fpwire.AppendRequest{Entries: []*fpwire.Entry{{Term: 1, Index: 1, Command: []byte("x")}}}).sync()
	lab.elect(2000).sync().ack("b", incB, 1)
	lab.want(lab.commit == 0, "an entry of an earlier term is not committed by counting")
	lab.ack("b", incB, 2)
	lab.want(lab.commit == 2, "it is committed with the first entry of the term")
}

// TestLeaseCountsFromSending guards against a lease that outlives the promises of the voters.
func TestLeaseCountsFromSending(t *testing.T) {
	lab := newLab(t, true).elect(300).sync()
	lab.at(500).ack("b", incB, 1).sync()
	lab.want(lab.at(596).hasLease(), "the lease lasts 297 ms")
	lab.want(!lab.at(597).hasLease(), "the lease ends 297 ms after the round was sent, 1% before the promise")
	lab.now.mono = 400 * time.Millisecond
	lab.now.wall = 700 * time.Millisecond
	lab.want(!lab.hasLease(), "the lease ends when the wall clock says so")
	lab.now.mono, lab.now.wall = lab.now.wall, lab.now.mono
	lab.want(!lab.hasLease(), "the lease ends when the monotonic clock says so")
}

// TestLeaderStepsDown guards against a leader that holds on without a quorum, and one that votes within its own lease.
func TestLeaderStepsDown(t *testing.T) {
	lab := newLab(t, true).elect(300).sync()
	lab.at(450).tick()
	lab.ack("b", incB, 1)
	lab.at(749).tick()
	lab.want(lab.role == Leader, "a leader stays for 300 ms without an answer")
	lab.at(749).from("c", incC, 2, &fpwire.VoteRequest{LastTerm: 9}).sync()
	lab.want(lab.role == Leader && lab.hard.Term == 1, "a leader ignores candidates")
	lab.at(750).tick()
	lab.want(lab.role == Follower, "a leader steps down after 300 ms without a quorum")
	lab = newLab(t, true).elect(300).sync().ack("b", incB, 1).at(310)
	lab.becomeFollower(1)
	lab.from("c", incC, 2, &fpwire.VoteRequest{LastTerm: 9}).sync()
	lab.want(!lab.voted(), "a former leader does not vote before its lease ends")
}

// TestTransferWaitsForLease guards against two leaders during a transfer and after one that failed.
func TestTransferWaitsForLease(t *testing.T) {
	lab := newLab(t, true).elect(300).sync().ack("b", incB, 1).at(310)
	var result error
	lab.startTransfer(&transfer{
		target: "b",
		done:   func(err error) { result = err },
	})
	sent := func() (found bool) {
		for _, msg := range lab.sent() {
			found = found || msg.GetTransferRequest() != nil
		}
		return found
	}
	_, err := lab.propose([][]byte{[]byte("x")})
	lab.want(fperror.Is(err, fperror.NotLeader), "no proposals during a transfer")
	lab.at(400).tick()
	lab.ack("b", incB, 1).at(599).tick()
	lab.want(!sent(), "the target is not asked before the lease ends")
	lab.from("b", incB, 2, &fpwire.VoteRequest{LastTerm: 1, LastIndex: 1, Transfer: true}).sync()
	lab.want(!lab.voted(), "a leader grants no transfer that it has not asked for")
	lab.at(600).tick()
	lab.want(sent(), "the target is asked when the lease ends")
	lab.ack("b", incB, 1)
	lab.want(!lab.hasLease(), "no lease after the target was asked")
	for millis := 610; millis < 1300; millis += 50 {
		lab.at(millis).tick()
		if lab.role == Leader {
			lab.ack("b", incB, 1)
		}
	}
	lab.want(lab.role != Leader && result != nil, "a leader whose transfer fails steps down")
}

// TestOneChangeAtATime guards against majorities that do not overlap.
func TestOneChangeAtATime(t *testing.T) {
	lab := newLab(t, true).elect(300).sync()
	results := map[string]error{}
	begin := func(vm string) {
		lab.startChange(&change{
			kind: removeVoter,
			vm:   vm,
			done: func(err error) { results[vm] = err },
		})
	}
	begin("a")
	lab.ack("b", incB, 0)
	begin("b")
	lab.want(results["b"] != nil, "no change beside another one")
	delete(results, "b")
	lab.change.abandoned.Store(true)
	begin("c")
	lab.want(findMember(lab.members(), "c") != nil, "no change before an entry of the own term is committed")
	lab.ack("b", incB, 1)
	lab.want(findMember(lab.members(), "c") == nil, "the change starts then")
	lab.change.abandoned.Store(true)
	begin("b")
	lab.want(findMember(lab.members(), "b") != nil, "no change before the one before it is committed, even if its caller has gone")
	lab.sync().ack("b", incB, 2)
	lab.want(results["b"] == nil && findMember(lab.members(), "b") == nil, "the next change starts then")
	lab = newLab(t, true).elect(300).sync().ack("b", incB, 1)
	begin("b")
	lab.want(results["b"] != nil && findMember(lab.members(), "b") != nil, "no removal that leaves the group without a quorum")
}

// TestRepairNeedsFreshAnswers guards against a repair that is reported before the new disk holds every acknowledged entry.
func TestRepairNeedsFreshAnswers(t *testing.T) {
	lab := newLab(t, true).elect(300).sync().ack("b", incB, 1).ack("c", incC, 1).at(310)
	done := false
	lab.startChange(&change{
		kind: repairVoter,
		vm:   "c",
		done: func(err error) { done = err == nil },
	})
	lab.want(!done, "answers from before the request do not count")
	for millis := 400; millis < 700; millis += 50 {
		lab.at(millis).tick()
		lab.ack("b", incB, 1).from("c", 33, 1, &fpwire.AppendResponse{Accepted: true, Match: 1, Round: lab.lead.round})
	}
	lab.want(findMember(lab.members(), "c").GetLearner(), "a voter with a lost disk becomes a learner")
	lab.sync().ack("b", incB, 2)
	lab.ack("c", incC, 2)
	lab.ack("c", 33, 1)
	lab.at(800).tick()
	lab.ack("b", incB, 2).ack("c", 33, 1)
	lab.want(findMember(lab.members(), "c").GetLearner(), "a learner that lacks an entry gets no vote")
	lab.ack("c", 33, 2)
	lab.want(findMember(lab.members(), "c").GetIncarnation() == 33, "a learner that holds all entries gets a vote")
	lab.sync()
	lab.at(900).tick()
	lab.ack("c", 33, 2)
	lab.want(!done, "a repair is not reported before the membership is committed")
	lab.ack("b", incB, 3)
	lab.want(lab.commit == 3 && !done, "a repair is not reported before the voter holds all entries")
	lab.ack("c", 33, 3)
	lab.want(done, "the repair is reported")
}

// TestStalledDisk guards against acknowledgements and leadership of a VM whose disk is full.
func TestStalledDisk(t *testing.T) {
	lab := newLab(t, true).elect(300).sync().ack("b", incB, 1)
	_, _ = lab.propose([][]byte{[]byte("x")})
	lab.takeBatch()
	lab.handleStalled()
	lab.want(lab.role == Follower, "a leader with a full disk steps down")
	lab.sent()
	lab.at(1000).from("b", incB, 2, &fpwire.AppendRequest{})
	lab.at(2000).tick()
	lab.want(len(lab.sent()) == 0 && lab.role == Follower, "a VM with a full disk neither answers nor stands")
	lab.handleWritten()
	lab.sync().at(2010).from("b", incB, 2, &fpwire.AppendRequest{Round: 2}).sync()
	lab.want(len(lab.sent()) > 0, "it answers again when there is room")
	lab.from("b", incB, 2, &fpwire.AppendRequest{PrevTerm: 1, PrevIndex: 2, Entries: []*fpwire.Entry{{Term: 2, Index: 3}}})
	lab.takeBatch()
	lab.handleStalled()
	lab.sent()
	lab.from("b", incB, 2, &fpwire.AppendRequest{Round: 3})
	lab.want(len(lab.sent()) == 0, "a VM with a full disk does not answer heartbeats")
}

// TestReceiptTime guards against a promise that counts from before a pause between the reading of the clock and the
// receipt of the leader's message.
func TestReceiptTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wor := newWorld(t, 1, 3)
		led := wor.leader()
		var nod *node
		for _, name := range wor.names {
			if name != led.name {
				nod = wor.nodes[name]
			}
		}
		wor.isolate(nod.name, true)
		for _, name := range wor.names {
			if name != nod.name {
				wor.nodes[name].stop()
			}
		}
		gro := nod.group()
		term := gro.Status().Term
		calls := 0
		inner := gro.clock
		var offered time.Time
		ready := make(chan struct{})
		// The clock is replaced on the core goroutine, which is the only one that reads it here.
		gro.control.Offer(func(*core) {
			gro.clock = func() instant {
				now := inner()
				calls++
				if calls == 1 {
					time.Sleep(200 * time.Millisecond)
					offered = time.Now()
					gro.Step(&fpwire.GroupMessage{
						Group:           "g",
						From:            led.name,
						FromIncarnation: led.log.Incarnation(),
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
		_ = gro.control.Put(context.Background(), func(cor *core) { promise <- cor.promisedUntil })
		if until := nod.base.Add(<-promise); until.Before(offered.Add(300 * time.Millisecond)) {
			t.Errorf("the promise ends %s after the message was received", until.Sub(offered))
		}
		nod.stop()
	})
}

// TestRejoinKeepsLeader guards against a VM that disturbs the group when it returns from a partition.
func TestRejoinKeepsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wor := newWorld(t, 1, 3)
		led := wor.leader()
		term := led.group().Status().Term
		for _, name := range wor.names {
			if name != led.name {
				wor.isolate(name, true)
				time.Sleep(3 * time.Second)
				wor.isolate(name, false)
				break
			}
		}
		time.Sleep(3 * time.Second)
		if now := led.group().Status(); now.Term != term || now.Role != Leader {
			t.Errorf("term %d became %d", term, now.Term)
		}
		wor.stopAll()
	})
}

// TestLeadAfterFirstEntry guards against a new leader that answers before it has applied what was acknowledged earlier.
func TestLeadAfterFirstEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wor := newWorld(t, 1, 3)
		nod := wor.leader()
		first := make(chan uint64, 1)
		_ = nod.group().control.Put(context.Background(), func(cor *core) {
			first <- cor.lead.firstIndex
			cor.applied = 0
		})
		<-first
		time.Sleep(20 * time.Millisecond)
		if _, err := nod.group().Lead(context.Background()); !fperror.Is(err, fperror.NotLeader) {
			t.Errorf("a leader that has not applied its first entry leads: %v", err)
		}
		wor.stopAll()
	})
}

// TestCommittedEntryStays guards against silent divergence: a leader that replaces a committed entry stops the group.
func TestCommittedEntryStays(t *testing.T) {
	lab := newLab(t, true)
	lab.at(1000).from("b", incB, 1, &fpwire.AppendRequest{Entries: []*fpwire.Entry{{Term: 1, Index: 1, Command: []byte("x")}}, Commit: 1}).sync()
	lab.from("c", incC, 2, &fpwire.AppendRequest{Entries: []*fpwire.Entry{{Term: 2, Index: 1, Command: []byte("y")}}}).sync()
	lab.want(lab.failure != nil, "a committed entry is not replaced")
	lab = newLab(t, true)
	lab.at(1000).from("b", incB, 1, &fpwire.AppendRequest{}).from("c", incC, 1, &fpwire.AppendRequest{})
	lab.want(lab.failure != nil, "a second leader in one term stops the group")
}

// TestSuspendedLeader guards against a process that acts on an old lease after a pause, also one during which its
// monotonic clock stood still.
func TestSuspendedLeader(t *testing.T) {
	for _, suspend := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			wor := newWorld(t, 1, 3)
			nod := wor.leader()
			gro := nod.group()
			nod.pause(400*time.Millisecond, suspend)
			if lea, err := gro.Lead(context.Background()); err == nil {
				t.Errorf("suspend %t: a paused leader has the lease %+v", suspend, lea)
			}
			wor.stopAll()
		})
	}
}

// TestBlockedSend guards against a peer that holds up the core: sending to it never returns.
func TestBlockedSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wor := newWorld(t, 1, 3)
		led := wor.leader()
		term := led.group().Status().Term
		wor.mutex.Lock()
		wor.blocked = wor.names[(slices.Index(wor.names, led.name)+1)%3]
		wor.mutex.Unlock()
		for num := range 3000 {
			if err := wor.propose(led, 0, fmt.Sprint(num)); err != nil {
				t.Fatalf("proposal %d: %v", num, err)
			}
		}
		if sta := led.group().Status(); sta.Term != term || sta.Counters.StepDowns > 0 {
			t.Errorf("in term %d before the send was blocked; now %+v", term, sta)
		}
		for _, name := range wor.names {
			wor.nodes[name].stop()
		}
	})
}

// TestRestartKeepsTerm guards against a voter that forgets its term and vote.
func TestRestartKeepsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wor := newWorld(t, 1, 3)
		nod := wor.leader()
		sta := nod.group().Status()
		time.Sleep(100 * time.Millisecond)
		want := nod.log.HardState()
		wor.stopAll()
		nod.start()
		if got := nod.log.HardState(); got != want || got.Term != sta.Term || got.Vote != nod.name {
			t.Errorf("hard state %+v became %+v in term %d", want, got, sta.Term)
		}
		nod.stop()
	})
}

// TestSecondLossAfterRepair guards against a repair that is reported too early: one disk after the other is lost, each
// right after the repair of the one before, until none of the first disks is left.
func TestSecondLossAfterRepair(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			wor := newWorld(t, seed, 3)
			for round := range 6 {
				led := wor.leader()
				for num := range 60 {
					_ = wor.propose(led, 0, fmt.Sprintf("%d-%d", round, num))
				}
				lost := wor.nodes[wor.names[wor.draw(3)]]
				lost.loseDisk()
				wor.repair(lost.name)
			}
			wor.heal()
			wor.stopAll()
			for _, text := range wor.problems {
				t.Errorf("seed %d: %s", seed, text)
			}
		})
	}
}

// TestMembership guards against changes of the membership that lose commands or leave the group without a leader: it
// grows from three to five voters and shrinks to other three, and each leader removes itself.
func TestMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wor := newWorld(t, 1, 3)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		change := func(what func(gro *Group) error) {
			led := wor.leader()
			if err := what(led.group()); err != nil {
				t.Errorf("%+v", err)
			}
			led = wor.leader()
			for num := range 50 {
				_ = wor.propose(led, 0, fmt.Sprintf("%d-%d", wor.clock.Load(), num))
			}
		}
		for _, name := range []string{"vm-3", "vm-4"} {
			wor.add(name).start()
			change(func(gro *Group) error { return gro.AddVoter(ctx, name) })
			change(func(gro *Group) error { return gro.AddVoter(ctx, name) })
		}
		for range 2 {
			led := wor.leader()
			change(func(gro *Group) error { return gro.RemoveVoter(ctx, led.name) })
			led.stop()
			wor.names = slices.DeleteFunc(wor.names, func(name string) bool { return name == led.name })
		}
		if sta := wor.leader().group().Status(); len(sta.Members) != 3 {
			t.Errorf("members %+v", sta.Members)
		}
		wor.heal()
		wor.stopAll()
		for _, text := range wor.problems {
			t.Error(text)
		}
	})
}

// TestLearner guards against a VM without a vote that does not follow the log, that counts for a quorum, or that names a leader of
// which it has not heard for long.
func TestLearner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wor := newWorld(t, 1, 3)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		lea := wor.add("vm-3")
		lea.start()
		led := wor.leader()
		for range 2 {
			if err := led.group().AddLearner(ctx, "vm-3"); err != nil {
				t.Errorf("%+v", err)
			}
		}
		if err := wor.propose(led, 0, "first"); err != nil {
			t.Errorf("%+v", err)
		}
		time.Sleep(time.Second)
		sta := lea.group().Status()
		if sta.Applied.Index != led.group().Status().Applied.Index || sta.Leader != led.name {
			t.Errorf("the learner follows %q and has applied %v, the leader %v", sta.Leader, sta.Applied, led.group().Status().Applied)
		}
		for range 2 {
			if err := led.group().AddVoter(ctx, "vm-3"); err != nil {
				t.Errorf("%+v", err)
			}
			if err := led.group().Demote(ctx, "vm-3"); err != nil {
				t.Errorf("%+v", err)
			}
		}
		if err := led.group().Demote(ctx, led.name); err == nil {
			t.Error("the leader has demoted itself")
		}
		wor.isolate("vm-3", true)
		time.Sleep(time.Minute)
		if sta := lea.group().Status(); sta.Leader != "" || sta.Role != Follower {
			t.Errorf("a learner that is cut off is %v and names leader %q", sta.Role, sta.Leader)
		}
		wor.isolate("vm-3", false)
		// With the learner, two of four VMs remain, and one of three votes.
		for _, name := range wor.names {
			if name != led.name && name != "vm-3" {
				wor.isolate(name, true)
			}
		}
		if err := wor.propose(led, 0, "second"); err == nil {
			t.Error("a command was committed with the vote of a learner")
		}
		wor.heal()
		wor.stopAll()
		for _, text := range wor.problems {
			t.Error(text)
		}
	})
}

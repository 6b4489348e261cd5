package fpgrant

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// statelessOwners returns the owner of every slot by a placement that depends only on the slot and the upstreams.
func statelessOwners(slots uint32, names []string, owner func(slot uint32, names []string) string) map[uint32]string {
	out := map[uint32]string{}
	for num := range slots {
		out[num] = owner(num, names)
	}
	return out
}

func modulo(slot uint32, names []string) string { return names[int(slot)%len(names)] }

func rendezvous(slot uint32, names []string) string {
	best, top := "", uint64(0)
	for _, name := range names {
		if sum := xxhash.Sum64String(fmt.Sprint(slot, name)); sum >= top {
			best, top = name, sum
		}
	}
	return best
}

// TestChurn guards against unnecessary moves of slots when an upstream joins or leaves. It logs the numbers of moves
// beside those of stateless placements.
func TestChurn(t *testing.T) {
	for _, count := range []int{8, 16, 23} {
		const slots = 4096
		old, all := upstreamNames(count), upstreamNames(count+1)
		har := newHarness(slots, old...)
		start := har.owners()
		har.join(all[count], 1)
		har.run(60 * time.Second)
		joined := har.owners()
		imbalance := har.kee.Imbalance(har.now, testService)
		owned := har.tab.CountOwned(old[0])
		delete(har.processes, old[0])
		har.run(10 * time.Second)
		left := har.owners()
		least := slots / (count + 1)
		t.Logf("%d upstreams, 4096 slots: join moves %d (even share %d, modulo %d, rendezvous %d), imbalance after %.3f; "+
			"leave moves %d (owned %d, modulo %d, rendezvous %d)", count, countMoved(start, joined), least,
			countMoved(statelessOwners(slots, old, modulo), statelessOwners(slots, all, modulo)),
			countMoved(statelessOwners(slots, old, rendezvous), statelessOwners(slots, all, rendezvous)), imbalance,
			countMoved(joined, left), owned, countMoved(statelessOwners(slots, all, modulo), statelessOwners(slots, all[1:], modulo)),
			countMoved(statelessOwners(slots, all, rendezvous), statelessOwners(slots, all[1:], rendezvous)))
		if got := countMoved(start, joined); got > least || got < least*8/10 {
			t.Errorf("the join moved %d slots, want 80 %% to 100 %% of the even share of %d", got, least)
		}
		if got := countMoved(joined, left); got != owned || len(left) != slots {
			t.Errorf("the leave moved %d slots, want the %d of the upstream; %d slots are served, want 4096", got, owned, len(left))
		}
		if imbalance > 1.1 {
			t.Errorf("imbalance %.3f after a join, at most 1.1", imbalance)
		}
	}
}

// TestRecovery checks that the slots of a lost owner are granted to others within 2 s, and not before its lease has expired on
// its clock. The leader waits for the lease lengthened by the drift bound.
func TestRecovery(t *testing.T) {
	har := newHarness(512, upstreamNames(8)...)
	lost := har.processes["u0000"]
	delete(har.processes, "u0000")
	begin := har.now
	elapsed := time.Duration(0)
	for har.tab.CountOwned("u0000") > 0 && elapsed < 3*time.Second {
		har.step()
		elapsed = har.now.Sub(begin)
	}
	har.step()
	granted := 0
	for _, pro := range har.processes {
		granted += len(pro.granted)
	}
	t.Logf("owned again after %v", elapsed)
	if elapsed > 1900*time.Millisecond || granted != 512 {
		t.Errorf("slots had other owners after %v, %d are granted", elapsed, granted)
	}
	lost.sim.now = har.now
	if early := lost.leaseEnd - lost.clock(); early > 0 {
		t.Errorf("the slots moved %v before the lease ended", early)
	}
}

// TestRequestOnLostOwner guards against a slot that waits for the deadline of a request on a dead upstream. The upstream checks
// fences, so the request cannot run after the lease has expired, although no entry VM learns of its end.
func TestRequestOnLostOwner(t *testing.T) {
	har := newHarness(16, upstreamNames(4)...)
	delete(har.processes, "u0000")
	for num := range uint32(16) {
		har.inFlight = append(har.inFlight, &fpwire.BusySlot{
			Service:   testService,
			Number:    num,
			Remaining: durationpb.New(30 * time.Second),
		})
	}
	har.run(1900 * time.Millisecond)
	if left := har.tab.CountOwned("u0000"); left > 0 {
		t.Errorf("%d slots still wait for requests on the lost owner", left)
	}
}

// TestNewLeader guards against moves by a new leader while all owners are alive, however long the group had no leader. After a
// gap shorter than the lease, all leases must be renewed within 100 ms.
func TestNewLeader(t *testing.T) {
	for _, gap := range []time.Duration{0, 600 * time.Millisecond, 10 * time.Second} {
		har := newHarness(512, upstreamNames(8)...)
		before := har.owners()
		har.now = har.now.Add(gap)
		har.elect()
		har.run(100 * time.Millisecond)
		for name, pro := range har.processes {
			if renewed := pro.version>>32 == har.term; gap < DefaultLease && !renewed {
				t.Errorf("%s is not renewed 100 ms after the election", name)
			}
		}
		har.run(5 * time.Second)
		if got := countMoved(before, har.owners()); got != 0 {
			t.Errorf("%d slots moved after %v without a leader", got, gap)
		}
	}
}

// TestHoldDown checks that slots are rebalanced to an upstream that came back only after its hold-down of 30 s.
func TestHoldDown(t *testing.T) {
	har := newHarness(512, upstreamNames(4)...)
	delete(har.processes, "u0000")
	har.run(5 * time.Second)
	har.join("u0000", 2)
	har.run(29 * time.Second)
	if got := har.tab.CountOwned("u0000"); got != 0 {
		t.Errorf("the returned upstream owns %d slots after 29 s, want 0", got)
	}
	har.run(60 * time.Second)
	if got := har.tab.CountOwned("u0000"); got < 100 {
		t.Errorf("the returned upstream owns %d slots after 89 s, want about 128", got)
	}
}

// TestDrain checks that a draining upstream owns nothing after 2 s and that all slots are served.
func TestDrain(t *testing.T) {
	har := newHarness(512, upstreamNames(4)...)
	ups := har.processes["u0000"].ups
	har.processes["u0000"].ups = &fpcontract.Upstream{
		Name:        ups.GetName(),
		Incarnation: ups.GetIncarnation(),
		Service:     ups.GetService(),
		ChecksFence: true,
		Draining:    true,
	}
	har.announce(har.processes["u0000"])
	har.run(2 * time.Second)
	if got, all := har.tab.CountOwned("u0000"), len(har.owners()); got != 0 || all != 512 {
		t.Errorf("the draining upstream owns %d slots, want 0; %d slots are served, want 512", got, all)
	}
}

// TestRemovedService checks that a group can give up the slots of a service that was removed from the configuration. It fails
// if the owners of the slots do not release them.
func TestRemovedService(t *testing.T) {
	har := newHarness(8, upstreamNames(2)...)
	har.kee.Configure(Position{Term: 1, Index: 2}, &fpoperator.Configuration{})
	har.run(2 * time.Second)
	har.index++
	if err := har.tab.SetHomes(Position{Term: 1, Index: har.index}, &fpwire.SetHomes{
		Service: testService,
		Slots:   8,
	}); err != nil || har.tab.Len() != 0 {
		t.Errorf("%d slots left, %v", har.tab.Len(), err)
	}
}

// TestRestart checks that the slots of a restarted upstream return to the same name with higher epochs, and that the new
// process gets no lease before that of the earlier one has expired.
func TestRestart(t *testing.T) {
	har := newHarness(64, upstreamNames(4)...)
	before := har.owners()
	old := har.processes["u0001"]
	har.join("u0001", 2)
	for range 100 {
		har.step()
		old.sim.now = har.now
		if fresh := har.processes["u0001"]; fresh.leaseEnd > fresh.clock() && old.leaseEnd > old.clock() {
			t.Fatal("both processes hold a lease")
		}
	}
	if got := countMoved(before, har.owners()); got != 0 {
		t.Errorf("%d slots moved", got)
	}
	for num, name := range before {
		slo, _ := har.tab.Slot(testService, num, "")
		if name == "u0001" && slo.Epoch < 2 {
			t.Errorf("slot %d has epoch %d after the restart", num, slo.Epoch)
		}
	}
}

// TestHotKey checks that a hot key is split and, once cold, merged, also if its owner restarts during the merge. The epoch
// after the merge must be above those of the slot and of the key.
func TestHotKey(t *testing.T) {
	for _, restart := range []bool{false, true} {
		testHotKey(t, restart)
	}
}

func testHotKey(t *testing.T, restart bool) {
	t.Helper()
	har := newHarness(64, upstreamNames(4)...)
	hot := true
	har.loads = func() []*fpwire.SlotLoad {
		load := func(num uint32, key string, busy time.Duration, hotRequests uint64) *fpwire.SlotLoad {
			loa := &fpwire.SlotLoad{
				Service:  testService,
				Number:   num,
				Busy:     durationpb.New(busy),
				Requests: 100,
			}
			if key != "" {
				loa.HotKey, loa.HotRequests = []byte(key), hotRequests
			}
			return loa
		}
		var out []*fpwire.SlotLoad
		for num := range uint32(64) {
			out = append(out, load(num, "", moveTickInterval/20, 0))
		}
		if _, split := har.tab.Slot(testService, 7, "k"); split && hot {
			key := load(7, "", moveTickInterval, 0)
			key.SplitKey = []byte("k")
			out = append(out, key)
		} else if hot {
			out[7] = load(7, "k", moveTickInterval, 95)
		}
		return out
	}
	har.run(40 * time.Second)
	key, ok := har.tab.Slot(testService, 7, "k")
	slo, _ := har.tab.Slot(testService, 7, "")
	if !ok || key.State != fpwire.SlotState_SLOT_STATE_OWNED || slo.State != fpwire.SlotState_SLOT_STATE_OWNED {
		t.Fatalf("no split: %+v, %+v, imbalance %.2f", key, slo, har.kee.Imbalance(har.now, testService))
	}
	hot = false
	top := max(key.Epoch, slo.Epoch)
	end := har.now.Add(120 * time.Second)
	for restart && har.now.Before(end) && key.State == fpwire.SlotState_SLOT_STATE_OWNED {
		har.step()
		key, _ = har.tab.Slot(testService, 7, "k")
	}
	if restart {
		har.join(key.Owner, 2)
	}
	har.run(end.Sub(har.now))
	if _, still := har.tab.Slot(testService, 7, "k"); still {
		t.Error("the cold key was not merged")
	}
	if slo, _ = har.tab.Slot(testService, 7, ""); slo.Epoch <= top || len(har.owners()) != 64 {
		t.Errorf("after the merge: %+v, epoch must be above %d; %d slots served", slo, top, len(har.owners()))
	}
}

// TestMinGain guards against moves whose gain is below the minimum.
func TestMinGain(t *testing.T) {
	har := newHarness(512, upstreamNames(4)...)
	before := har.owners()
	har.loads = func() []*fpwire.SlotLoad {
		var out []*fpwire.SlotLoad
		for num, name := range before {
			busy := moveTickInterval
			if name == "u0000" {
				busy = moveTickInterval * 107 / 100
			}
			out = append(out, &fpwire.SlotLoad{
				Service:  testService,
				Number:   num,
				Busy:     durationpb.New(busy),
				Requests: 1,
			})
		}
		return out
	}
	har.run(60 * time.Second)
	if got := countMoved(before, har.owners()); got != 0 {
		t.Errorf("%d slots moved for a gain below 5%%", got)
	}
}

// TestRepeatedToken checks that a second grant with the same token does not extend the lease.
func TestRepeatedToken(t *testing.T) {
	har := newHarness(8, upstreamNames(2)...)
	hol := har.kee.holders["u0000"]
	har.kee.Tick(har.now.Add(300 * time.Millisecond))
	end := hol.leaseEnd
	for ms := 600; ms < 900; ms += 100 {
		har.kee.Tick(har.now.Add(time.Duration(ms) * time.Millisecond))
	}
	if hol.leaseEnd != end || hol.leaseEnd != hol.tokenReceived.Add(1010*time.Millisecond) {
		t.Errorf("the lease ends at %v, want %v", hol.leaseEnd, hol.tokenReceived.Add(1010*time.Millisecond))
	}
}

// TestUnconfirmed checks the lists of entry VMs that have not confirmed a table or configuration version. Quarantine and
// changes of the configuration wait for these VMs.
func TestUnconfirmed(t *testing.T) {
	har := newHarness(8, upstreamNames(2)...)
	har.tab.AdvanceVersion(Position{Term: 1, Index: 1000})
	if vms, known := har.kee.Unconfirmed(har.now, har.tab.Version()); len(vms) != 1 || !known {
		t.Errorf("unconfirmed %v, known %v", vms, known)
	}
	if vms := har.kee.UnconfirmedConfiguration(Position{Term: 1, Index: 1}); len(vms) != 1 {
		t.Errorf("unconfirmed configuration: %v", vms)
	}
	if vms, _ := har.kee.Unconfirmed(har.now.Add(1011*time.Millisecond), har.tab.Version()); len(vms) != 0 {
		t.Errorf("VMs without a valid table are listed as unconfirmed: %v", vms)
	}
	har.poll()
	har.poll()
	if vms, _ := har.kee.Unconfirmed(har.now, har.tab.Version()); len(vms) != 0 {
		t.Errorf("unconfirmed %v after the poll", vms)
	}
}

// TestNoLeaseBeforeRelease guards against a lease for a restarted upstream while slots of the earlier process are still in the
// state owned. The next leader would take the lease as proof that the new process holds these slots.
func TestNoLeaseBeforeRelease(t *testing.T) {
	har := newHarness(8, upstreamNames(2)...)
	delete(har.processes, "u0000")
	har.run(900 * time.Millisecond)
	har.join("u0000", 2)
	fresh := har.processes["u0000"]
	for range 40 {
		har.now = har.now.Add(moveTickInterval)
		act := har.kee.Tick(har.now)
		for _, gra := range act.Grants {
			pro := har.processes[gra.Upstream.GetName()]
			if pro == fresh && gra.Request.GetEcho() != 0 {
				t.Fatalf("lease granted at %v, before the release was committed", har.now)
			}
			pro.sim.now = har.now
			har.kee.GrantAnswer(har.now, gra.Upstream.GetName(), pro.grant(gra.Request), nil)
		}
	}
	har.run(5 * time.Second)
	if got := har.tab.CountOwned("u0000"); got != 4 || len(fresh.granted) != 4 {
		t.Errorf("%d slots, %d granted after the restart, want 4", got, len(fresh.granted))
	}
}

// TestUnknownVMs checks how long a new leader waits for entry VMs that have not polled it: until their tables have expired and,
// if the owner checks no fence, for the largest deadline of the service in addition.
func TestUnknownVMs(t *testing.T) {
	for _, checks := range []bool{true, false} {
		har := newHarness(8, upstreamNames(2)...)
		har.processes["u0000"].ups.ChecksFence = checks
		har.announce(har.processes["u0000"])
		har.elect()
		elected := har.now
		delete(har.processes, "u0000")
		for har.tab.CountOwned("u0000") > 0 && har.now.Sub(elected) < time.Minute {
			har.step()
		}
		least := 1010 * time.Millisecond
		if !checks {
			least += 30300 * time.Millisecond
		}
		if got := har.now.Sub(elected); got <= least || got > least+500*time.Millisecond {
			t.Errorf("checks %v: moved %v after the election, want just above %v", checks, got, least)
		}
	}
}

// TestMoveOfEarlierTerm checks that a new leader does not grant a slot whose move an earlier leader began, because its owner
// may have restarted. It also checks that answers of another term are ignored.
func TestMoveOfEarlierTerm(t *testing.T) {
	har := newHarness(8, upstreamNames(2)...)
	slo, _ := har.tab.Slot(testService, 3, "")
	har.index++
	if err := har.tab.Apply(Position{Term: 1, Index: har.index}, &fpwire.UpdateSlots{
		Updates: []*fpwire.SlotUpdate{{
			Entry: &fpwire.SlotEntry{
				Service: testService,
				Number:  3,
				Owner:   slo.Owner,
				Epoch:   slo.Epoch,
				State:   releasing,
			},
			ExpectedEpoch: slo.Epoch,
			ExpectedState: owned,
		}},
	}); err != nil {
		t.Fatal(err)
	}
	har.elect()
	for range 10 {
		har.now = har.now.Add(moveTickInterval)
		for _, gra := range har.kee.Tick(har.now).Grants {
			for _, add := range gra.Request.GetAdded() {
				if add.GetNumber() == 3 {
					t.Fatal("slot 3 was granted while it moves")
				}
			}
			pro := har.processes[gra.Upstream.GetName()]
			pro.sim.now = har.now
			res := pro.grant(gra.Request)
			har.kee.GrantAnswer(har.now, gra.Upstream.GetName(), res, nil)
			token := har.kee.holders[gra.Upstream.GetName()].token
			res.Term, res.Token = 1, 1<<60
			har.kee.GrantAnswer(har.now, gra.Upstream.GetName(), res, nil)
			if got := har.kee.holders[gra.Upstream.GetName()].token; got != token {
				t.Fatal("the token of an answer of another term was used")
			}
		}
	}
}

// TestLeaderWithoutAnnouncements guards against an empty list of upstreams for entry VMs from a leader that began to receive
// announcements at its election. The VMs must keep their table and list for 2.5 s.
func TestLeaderWithoutAnnouncements(t *testing.T) {
	har := newHarness(8, upstreamNames(2)...)
	kee := NewKeeper(KeeperConfig{
		Term:               2,
		Elected:            har.now,
		AnnouncementsSince: har.now,
		Table:              har.tab,
	})
	req := &fpwire.PollRequest{
		Vm:           "v",
		Table:        (Position{Term: 1, Index: 1}).Version(),
		Registry:     3,
		RegistryTerm: 1,
	}
	kee.Poll(har.now, req)
	res := kee.PollAnswer(har.now, req)
	if res.GetUpstreamsChanged() || len(res.GetEntries()) > 0 || PositionOf(res.GetTable()).Index != 1 ||
		res.GetValidity() == nil || kee.HasUpdates(har.now, req) {
		t.Errorf("poll answer at the election: %v, want no upstreams and no newer table", res)
	}
	if late := har.now.Add(3 * time.Second); !kee.HasUpdates(late, req) || !kee.PollAnswer(late, req).GetUpstreamsChanged() {
		t.Error("poll answer 3 s after the election has no list of upstreams")
	}
}

// TestRebalanceNoise guards against moves that follow random variations of the load of slots with few requests, and against a
// lasting imbalance if the load of slots differs.
func TestRebalanceNoise(t *testing.T) {
	const slots = 4096
	for _, tst := range []struct {
		skew      float64
		perSecond float64
		most      int
	}{{0, 200, 40}, {0, 20000, 40}, {0.8, 200, 160}, {0.8, 20000, 40}} {
		har := newHarness(slots, upstreamNames(23)...)
		rnd := rand.New(rand.NewPCG(1, 2))
		shares, sum := make([]float64, slots), 0.0
		for i, num := range rnd.Perm(slots) {
			shares[num] = math.Pow(float64(i+1), -tst.skew)
			sum += shares[num]
		}
		har.loads = func() []*fpwire.SlotLoad {
			var out []*fpwire.SlotLoad
			if har.now.UnixMilli()%500 != 0 {
				return nil
			}
			for num := range shares {
				mean := shares[num] / sum * tst.perSecond / 2
				count := max(mean+rnd.NormFloat64()*math.Sqrt(mean), 0)
				if mean < 10 {
					count = poisson(rnd, mean)
				}
				if count > 0 {
					out = append(out, &fpwire.SlotLoad{
						Service:  testService,
						Number:   uint32(num),
						Busy:     durationpb.New(time.Duration(count * float64(3*time.Millisecond))),
						Requests: uint64(count),
					})
				}
			}
			return out
		}
		har.run(60 * time.Second)
		before := har.owners()
		har.run(300 * time.Second)
		got, imbalance := countMoved(before, har.owners()), har.kee.Imbalance(har.now, testService)
		t.Logf("skew %.1f, %.0f requests/s: %d of %d slots moved in 300 s, imbalance %.3f", tst.skew, tst.perSecond, got, slots,
			imbalance)
		if got > tst.most || imbalance > 1.12 {
			t.Errorf("%d slots moved, at most %d; imbalance %.3f, at most 1.12", got, tst.most, imbalance)
		}
	}
}

func poisson(rnd *rand.Rand, mean float64) float64 {
	count, least := 0.0, math.Exp(-mean)
	for left := rnd.Float64(); left > least; left *= rnd.Float64() {
		count++
	}
	return count
}

// TestMoveSlots checks that an operator can move slots to an eligible upstream, and that an unknown upstream or slot is refused.
func TestMoveSlots(t *testing.T) {
	har := newHarness(8, upstreamNames(2)...)
	before := har.owners()
	count, err := har.kee.MoveSlots(har.now, testService, []uint32{0, 1, 2, 3, 4, 5, 6, 7}, "u0001")
	if err != nil || count != 4 {
		t.Errorf("%d slots begin to move, %v; want 4", count, err)
	}
	har.run(500 * time.Millisecond)
	if got := har.tab.CountOwned("u0001"); got != 8 || countMoved(before, har.owners()) != 4 {
		t.Errorf("the upstream has %d slots, want 8; %d moved, want 4", got, countMoved(before, har.owners()))
	}
	if _, err := har.kee.MoveSlots(har.now, testService, []uint32{1}, "u0009"); !fperror.Is(err, fperror.NoUpstream) {
		t.Errorf("unknown upstream: %v", err)
	}
	if _, err := har.kee.MoveSlots(har.now, testService, []uint32{8}, "u0000"); !fperror.Is(err, fperror.InvalidRequest) {
		t.Errorf("slot that is not homed in the group: %v", err)
	}
}

// TestAssignmentBeforeRestart checks that a slot is released if its assignment to an upstream is committed after the upstream
// has restarted. Entry VMs send its requests to the earlier process until they get the new address, so two processes could
// serve it otherwise.
func TestAssignmentBeforeRestart(t *testing.T) {
	har := newHarness(8, upstreamNames(2)...)
	ups := proto.Clone(har.processes["u0000"].ups).(*fpcontract.Upstream)
	ups.ChecksFence = false
	har.processes["u0000"].ups = ups
	har.announce(har.processes["u0000"])
	var number uint32
	for num, name := range har.owners() {
		if name == "u0001" {
			number = num
		}
	}
	if count, err := har.kee.MoveSlots(har.now, testService, []uint32{number}, "u0000"); count != 1 || err != nil {
		t.Fatal(count, err)
	}
	var late *fpwire.UpdateSlots
	har.accept = func(upd *fpwire.UpdateSlots) bool {
		if ent := upd.GetUpdates()[0].GetEntry(); late == nil && ent.GetState() == owned {
			late = upd
			return false
		}
		return true
	}
	for late == nil {
		har.step()
	}
	har.join("u0000", 2)
	har.processes["u0000"].ups.ChecksFence = false
	har.index++
	if err := har.tab.Apply(Position{Term: har.term, Index: har.index}, late); err != nil {
		t.Fatal(err)
	}
	before, _ := har.tab.Slot(testService, number, "")
	har.run(40 * time.Second) // without a checked fence the leader waits 30 s after its election for unknown VMs
	if after, _ := har.tab.Slot(testService, number, ""); after.Owner != "u0000" || after.Epoch <= before.Epoch {
		t.Errorf("the slot was not released by the restart: %+v", after)
	}
}

package fpkeeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// rig drives a keeper by hand, in place of the leader.
type rig struct {
	test      *testing.T
	keeper    *Keeper
	now       time.Time
	ranges    []*fpstate.Range
	upstreams []*fpstate.Upstream
	fence     uint64
}

func newRig(t *testing.T, names ...string) *rig {
	start := time.Unix(1000, 0)
	rig := &rig{
		test:   t,
		keeper: New(start, 0, Config{}),
		now:    start,
	}
	for _, name := range names {
		rig.upstreams = append(rig.upstreams, &fpstate.Upstream{
			Id:          name,
			Born:        1,
			Service:     "counters",
			Address:     name,
			Concurrency: 4,
		})
	}
	return rig
}

func (rig *rig) lookup(id string) *fpstate.Upstream {
	for _, ups := range rig.upstreams {
		if ups.GetId() == id {
			return ups
		}
	}
	return nil
}

func (rig *rig) atAddress(address string) *fpstate.Upstream {
	for _, ups := range rig.upstreams {
		if ups.GetAddress() == address && !ups.GetGone() {
			return ups
		}
	}
	return nil
}

// plan commits the changes and returns the orders.
func (rig *rig) plan() []Order {
	orders, cha := rig.keeper.Plan(rig.now, View{
		Service:   "counters",
		Ranges:    rig.ranges,
		Upstreams: rig.upstreams,
		Lookup:    rig.lookup,
		AtAddress: rig.atAddress,
	})
	for _, ste := range cha.Steps() {
		if ste.Range.GetFence() == 0 {
			rig.fence++
			ste.Range.Fence = rig.fence
		}
		rig.ranges = fpdirectory.Replace(rig.ranges, ste.Range)
	}
	return orders
}

func (rig *rig) end(ord Order, res Result) { rig.keeper.Ended(rig.now, ord, res) }

// settle answers all orders until every range is served.
func (rig *rig) settle() {
	for range 100 {
		for _, ord := range rig.plan() {
			rig.end(ord, Result{
				Answered: true,
			})
		}
		rig.now = rig.now.Add(100 * time.Millisecond)
		served := len(rig.ranges) > 0
		for _, ran := range rig.ranges {
			served = served && ran.GetPhase() == fpstate.Phase_PHASE_SERVING
		}
		if served {
			return
		}
	}
	rig.test.Fatal("the ranges are not served after 10 s")
}

// TestReleaseWaitsForRenewal guards against a second holder: a renewal of a whole range that is in flight while a part of it
// is released would give that part back to the old holder.
func TestReleaseWaitsForRenewal(t *testing.T) {
	rig := newRig(t, "one", "two")
	rig.settle()
	rig.now = rig.now.Add(DefaultRenewal)
	var renewals []Order
	for _, ord := range rig.plan() {
		if ord.Upstream.GetId() == "one" {
			renewals = append(renewals, ord)
		}
	}
	if len(renewals) != 1 {
		t.Fatalf("got %d renewals for upstream one, want 1", len(renewals))
	}
	// Upstream one becomes busy with a few keys, and a part of its range is to move.
	for range 50 {
		rig.keeper.Load("counters").Count(rig.now, 100, 2)
		rig.keeper.Load("counters").Count(rig.now, 110, 2)
	}
	for range 20 {
		rig.now = rig.now.Add(50 * time.Millisecond)
		for _, ord := range rig.plan() {
			if ord.Action == Release {
				t.Fatal("a release was sent while the renewal of the whole range was in flight")
			}
			rig.end(ord, Result{
				Answered: true,
			})
		}
	}
	rig.end(renewals[0], Result{
		Answered: true,
	})
	released := false
	for _, ord := range rig.plan() {
		released = released || ord.Action == Release
	}
	if !released {
		t.Fatal("no release was sent after the renewal had ended")
	}
}

// TestFrozenHolder guards against keys that stay with an upstream forever that accepts connections and answers nothing: each
// renewal that is sent to it may arrive, and so extends its hold.
func TestFrozenHolder(t *testing.T) {
	rig := newRig(t, "one", "two")
	rig.settle()
	frozen := rig.now
	const bound = 3*DefaultRenewal + DefaultHold + DefaultHold*driftPercent/100 + arrivalSlack + 2*time.Second
	for rig.now.Sub(frozen) < bound {
		rig.now = rig.now.Add(100 * time.Millisecond)
		for _, ord := range rig.plan() {
			rig.end(ord, Result{
				Answered: ord.Upstream.GetId() != "one",
			})
		}
	}
	for _, ran := range rig.ranges {
		if ran.GetUpstream() == "one" {
			t.Errorf("keys %d to %d are still with the frozen upstream after %v", ran.GetFirst(), ran.GetLast(), bound)
		}
	}
}

// TestMoveAtLeaderChange guards against keys that nobody serves for the time of a whole hold, because the leader changed
// while they were on their way to another upstream.
func TestMoveAtLeaderChange(t *testing.T) {
	rig := newRig(t, "one", "two")
	rig.settle()
	moving := withPhase(rig.ranges[0], fpstate.Phase_PHASE_RELEASING)
	rig.ranges = fpdirectory.Replace(rig.ranges, moving)
	rig.keeper = New(rig.now, rig.fence, Config{})
	began := rig.now
	rig.settle()
	if took := rig.now.Sub(began); took > time.Second {
		t.Errorf("the keys were served again after %v, want 1s", took)
	}
	if got := rig.ranges[0].GetUpstream(); got != moving.GetUpstream() {
		t.Errorf("upstream %s holds the keys, though a call to %s may still take effect", got, moving.GetUpstream())
	}
}

// TestWithheldGrants guards against an upstream that loses its keys because the leader was not sure to lead, and so sent it
// nothing.
func TestWithheldGrants(t *testing.T) {
	rig := newRig(t, "one", "two")
	for len(rig.ranges) == 0 {
		rig.now = rig.now.Add(100 * time.Millisecond)
		rig.plan()
	}
	before := rig.ranges[0].GetUpstream()
	const withheld = 2 * time.Second
	for end := rig.now.Add(withheld); rig.now.Before(end); rig.now = rig.now.Add(50 * time.Millisecond) {
		for _, ord := range rig.plan() {
			rig.end(ord, Result{
				Withheld: true,
			})
		}
	}
	if got := rig.ranges[0].GetUpstream(); got != before {
		t.Errorf("the keys went from %s to %s although no order was sent", before, got)
	}
	rig.settle()
}

// TestRenewalsAfterLeaderChange guards against a leader that is kept busy by the renewals of all ranges, which are due
// together when it takes over, so that it loses its lease; and against renewals that are spread over so long that ranges lapse.
func TestRenewalsAfterLeaderChange(t *testing.T) {
	var names []string
	for num := range 231 {
		names = append(names, fmt.Sprintf("upstream-%03d", num))
	}
	rig := newRig(t, names...)
	rig.settle()
	rig.keeper = New(rig.now, rig.fence, Config{})
	const step = 20 * time.Millisecond
	renewed := map[uint64]bool{}
	took := time.Duration(0)
	for len(renewed) < len(rig.ranges) && took < DefaultRenewal {
		orders := rig.plan()
		steady := 231 * step.Seconds() / DefaultRenewal.Seconds()
		if most := paceBurst + int(paceFactor*(steady+1)); len(orders) > most {
			t.Fatalf("%d orders at once, want %d at most", len(orders), most)
		}
		for _, ord := range orders {
			renewed[ord.Range.GetFence()] = true
			rig.end(ord, Result{
				Answered: true,
			})
		}
		rig.now = rig.now.Add(step)
		took += step
	}
	if len(renewed) < len(rig.ranges) {
		t.Errorf("%d of %d ranges were renewed within %v", len(renewed), len(rig.ranges), took)
	}
}

package fptable_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fpclock"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fptable"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// clocks are a monotonic clock and a wall clock that can be advanced independently.
type clocks struct {
	mono time.Duration
	wall time.Time
}

func (clo *clocks) now() fpclock.Moment { return fpclock.At(clo.mono, clo.wall) }

func (clo *clocks) advance(dur time.Duration) {
	clo.mono += dur
	clo.wall = clo.wall.Add(dur)
}

// newTable returns a table with one service of eight slots, all of them in the group oslo.
func newTable(cfg fptable.Config) (*fptable.Table, *clocks) {
	clo := &clocks{wall: time.Unix(1_800_000_000, 0)}
	cfg.Now = clo.now
	tab := fptable.New(cfg)
	tab.Configure([]*fpoperator.Service{{
		Name:  "demo.Stock",
		Slots: 8,
		Homes: []*fpoperator.Home{{Group: "oslo", FirstSlot: 0, LastSlot: 7}},
	}})
	return tab, clo
}

func owned(number uint32, owner string, epoch uint64) *fpwire.SlotEntry {
	return &fpwire.SlotEntry{
		Service: "demo.Stock",
		Number:  number,
		Owner:   owner,
		Epoch:   epoch,
		State:   fpwire.SlotState_SLOT_STATE_OWNED,
	}
}

func releasing(ent *fpwire.SlotEntry) *fpwire.SlotEntry {
	ent.State = fpwire.SlotState_SLOT_STATE_RELEASING
	return ent
}

func answer(index uint64, full bool, entries ...*fpwire.SlotEntry) *fpwire.PollResponse {
	return &fpwire.PollResponse{
		Term:     1,
		Table:    &fpoperator.Version{Term: 1, Index: index},
		Full:     full,
		Entries:  entries,
		Validity: durationpb.New(time.Second),
	}
}

// fullTable returns an answer with the full table, in which one upstream owns all slots.
func fullTable(index uint64, owner string) *fpwire.PollResponse {
	var all []*fpwire.SlotEntry
	for num := range uint32(8) {
		all = append(all, owned(num, owner, 1))
	}
	return answer(index, true, all...)
}

func apply(t *testing.T, tab *fptable.Table, res *fpwire.PollResponse) {
	t.Helper()
	if _, err := tab.Apply(tab.Poll("oslo"), res); err != nil {
		t.Fatal(err)
	}
}

func route(tab *fptable.Table, clo *clocks, key string) (*fptable.InFlightRequest, error) {
	return tab.Route(context.Background(), "demo.Stock", []byte(key), "", clo.wall.Add(5*time.Second))
}

// TestTableValidity guards against a keyed request that is routed by an expired table. The validity counts from the
// time when the poll was sent, by the clock that shows more elapsed time.
func TestTableValidity(t *testing.T) {
	tab, clo := newTable(fptable.Config{})
	if _, err := route(tab, clo, "a"); !fperror.Is(err, fperror.TableExpired) {
		t.Errorf("Route without a table: got error %v, want kind tableExpired", err)
	}
	pol := tab.Poll("oslo")
	clo.advance(600 * time.Millisecond) // the answer is slow
	if _, err := tab.Apply(pol, fullTable(1, "one")); err != nil {
		t.Fatal(err)
	}
	ifr, err := route(tab, clo, "a")
	if err != nil || ifr.Owner() != "one" || ifr.Epoch() != 1 || ifr.Check() != nil {
		t.Fatalf("got %v, %v", ifr, err)
	}
	clo.wall = clo.wall.Add(500 * time.Millisecond) // the monotonic clock may stop while the VM is paused
	if err := ifr.Check(); !fperror.Is(err, fperror.TableExpired) {
		t.Errorf("Check with an expired table: got error %v, want kind tableExpired", err)
	}
	if _, err := route(tab, clo, "a"); !fperror.Is(err, fperror.TableExpired) {
		t.Errorf("Route with an expired table: got error %v, want kind tableExpired", err)
	}
}

// TestOlderTablesRefused guards against a late answer that restores an older table, and against an incremental change
// that is applied to another table than the one it was made for.
func TestOlderTablesRefused(t *testing.T) {
	tab, clo := newTable(fptable.Config{})
	first := tab.Poll("oslo")
	if _, err := tab.Apply(first, answer(1, false, owned(0, "one", 1))); err == nil {
		t.Error("an incremental change was applied without a table")
	}
	late := tab.Poll("oslo")
	apply(t, tab, fullTable(5, "two"))
	for name, res := range map[string]*fpwire.PollResponse{
		"older index":  fullTable(4, "one"),
		"other base":   answer(6, false, owned(0, "one", 2)),
		"no version":   {Term: 1, Validity: durationpb.New(time.Second)},
		"other leader": {Leader: "vm-2"},
	} {
		if _, err := tab.Apply(late, res); err == nil {
			t.Errorf("%s: the answer was applied", name)
		}
	}
	older := fullTable(9, "one")
	older.Term = 0
	if _, err := tab.Apply(late, older); err == nil {
		t.Error("the answer of an older term was applied")
	}
	ifr, err := route(tab, clo, "a")
	if err != nil || ifr.Owner() != "two" {
		t.Errorf("got %v, %v", ifr, err)
	}
}

// TestMoveWithRequestInFlight guards against a slot that moves while requests for it are in flight: a releasing slot
// admits no requests, and those admitted before are reported until they are done.
func TestMoveWithRequestInFlight(t *testing.T) {
	tab, clo := newTable(fptable.Config{MoveWait: time.Nanosecond})
	apply(t, tab, fullTable(1, "one"))
	ifr, err := route(tab, clo, "a")
	if err != nil {
		t.Fatal(err)
	}
	num := ifr.Location().Slot
	apply(t, tab, answer(2, false, releasing(owned(num, "one", 1))))
	if _, err := route(tab, clo, "a"); !fperror.Is(err, fperror.NoOwner) {
		t.Errorf("Route to a releasing slot: got error %v, want kind noOwner", err)
	}
	if err := ifr.Check(); !fperror.Is(err, fperror.NoOwner) {
		t.Errorf("Check for a releasing slot: got error %v, want kind noOwner", err)
	}
	clo.advance(100 * time.Millisecond)
	busy := tab.Poll("oslo").Request().GetBusy()
	if len(busy) != 1 || busy[0].GetNumber() != num || busy[0].GetRemaining().AsDuration() != 4900*time.Millisecond {
		t.Fatalf("the poll reports %v", busy)
	}
	ifr.Done(0)
	ifr.Done(0)
	if busy := tab.Poll("oslo").Request().GetBusy(); len(busy) != 0 {
		t.Errorf("the poll reports %v after the end of the request", busy)
	}
}

// TestMoveWait guards against a request that is refused during a planned move, against a wait that does not end with
// the move, and against more waiting requests than allowed.
func TestMoveWait(t *testing.T) {
	tab, clo := newTable(fptable.Config{MaxWaiting: 1})
	apply(t, tab, fullTable(1, "one"))
	loc, _ := tab.Locate("demo.Stock", []byte("a"), "")
	apply(t, tab, answer(2, false, releasing(owned(loc.Slot, "one", 1))))
	owner := make(chan string, 1)
	go func() {
		ifr, err := route(tab, clo, "a")
		if err != nil {
			owner <- err.Error()
			return
		}
		owner <- ifr.Owner()
	}()
	time.Sleep(20 * time.Millisecond)
	if _, err := route(tab, clo, "a"); !fperror.Is(err, fperror.NoOwner) {
		t.Errorf("Route while as many requests wait as allowed: got error %v, want kind noOwner", err)
	}
	apply(t, tab, answer(3, false, owned(loc.Slot, "two", 2)))
	if got := <-owner; got != "two" {
		t.Errorf("the waiting request got %s, want owner two", got)
	}
}

// TestSplitMovesRequestsInFlight guards against a split key that moves while requests are in flight that began before
// the split, when the key belonged to its slot.
func TestSplitMovesRequestsInFlight(t *testing.T) {
	tab, clo := newTable(fptable.Config{MoveWait: time.Nanosecond})
	apply(t, tab, fullTable(1, "one"))
	ifr, _ := route(tab, clo, "a")
	other, _ := route(tab, clo, "b")
	split := releasing(owned(ifr.Location().Slot, "one", 2))
	split.SplitKey = []byte("a")
	apply(t, tab, answer(2, false, split))
	if busy := tab.Poll("oslo").Request().GetBusy(); len(busy) != 1 || string(busy[0].GetSplitKey()) != "a" {
		t.Fatalf("the poll reports %v", busy)
	}
	if other.Check() != nil {
		t.Error("Check failed for a key that was not split")
	}
	split.Removed = true
	apply(t, tab, answer(3, false, split))
	apply(t, tab, answer(4, false, releasing(owned(ifr.Location().Slot, "one", 3))))
	if busy := tab.Poll("oslo").Request().GetBusy(); len(busy) != 1 {
		t.Errorf("the poll reports %v after the merge", busy)
	}
	ifr.Done(0)
	if busy := tab.Poll("oslo").Request().GetBusy(); len(busy) != 0 && ifr.Location().Slot != other.Location().Slot {
		t.Errorf("the poll reports %v after the end of the request", busy)
	}
}

// TestHotKey guards against a hot key that is not reported, or is reported with more requests than it had.
func TestHotKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab, clo := newTable(fptable.Config{})
		pol := tab.Poll("oslo")
		if _, err := tab.Apply(pol, fullTable(1, "one")); err != nil {
			t.Fatal(err)
		}
		counts, total := map[string]uint64{}, map[uint32]uint64{}
		slots := map[string]uint32{}
		for _, key := range rapid.SliceOfN(rapid.SampledFrom(keys()), 1, 200).Draw(t, "keys") {
			ifr, err := route(tab, clo, key)
			if err != nil {
				t.Fatal(err)
			}
			ifr.Done(time.Millisecond)
			counts[key]++
			total[ifr.Location().Slot]++
			slots[key] = ifr.Location().Slot
		}
		clo.advance(3 * time.Second)
		hot := map[uint32]string{}
		for _, loa := range tab.Poll("oslo").Request().GetLoad() {
			if loa.GetRequests() != total[loa.GetNumber()] || loa.GetBusy().AsDuration() != time.Duration(loa.GetRequests())*time.Millisecond {
				t.Fatalf("slot %d reports %v", loa.GetNumber(), loa)
			}
			hot[loa.GetNumber()] = string(loa.GetHotKey())
			if loa.GetHotRequests() > counts[string(loa.GetHotKey())] {
				t.Fatalf("the hot key %s had %d requests, but %d are reported", loa.GetHotKey(), counts[string(loa.GetHotKey())], loa.GetHotRequests())
			}
		}
		for key, num := range counts {
			if num*3 > total[slots[key]]*2 && hot[slots[key]] != key {
				t.Fatalf("%s had %d of %d requests, but the reported hot key is %q", key, num, total[slots[key]], hot[slots[key]])
			}
		}
	})
}

func keys() []string {
	all := make([]string, 0, 60)
	for num := range 50 {
		all = append(all, fmt.Sprintf("key-%d", num))
	}
	for range 10 {
		all = append(all, "hot")
	}
	return all
}

func ExampleTable_Locate() {
	tab := fptable.New(fptable.Config{})
	tab.Configure([]*fpoperator.Service{{
		Name:  "demo.Stock",
		Homes: []*fpoperator.Home{{Group: "oslo", LastSlot: 4095}},
	}})
	loc, err := tab.Locate("demo.Stock", []byte("a"), "")
	fmt.Println(loc.Group, loc.Slot, err)
	// Output: oslo 3675 <nil>
}

// TestNewServiceKeepsTable guards against a new service that interrupts the existing ones, and against slots of the new
// service that stay without an owner because their entries arrived before its configuration.
func TestNewServiceKeepsTable(t *testing.T) {
	tab, clo := newTable(fptable.Config{})
	apply(t, tab, fullTable(1, "one"))
	early := owned(0, "three", 1)
	early.Service = "demo.Late"
	apply(t, tab, answer(2, false, early))
	homes := []*fpoperator.Home{{Group: "oslo", LastSlot: 7}}
	tab.Configure([]*fpoperator.Service{
		{Name: "demo.Stock", Slots: 8, Homes: homes},
		{Name: "demo.Late", Slots: 1, Homes: homes},
	})
	if _, err := route(tab, clo, "a"); err != nil {
		t.Errorf("the existing service was interrupted: %v", err)
	}
	pol := tab.Poll("oslo")
	if pol.Request().GetTable() != nil {
		t.Error("the poll does not ask for the full table")
	}
	res := fullTable(2, "one")
	res.Entries = append(res.Entries, early)
	if _, err := tab.Apply(pol, res); err != nil {
		t.Fatal(err)
	}
	ifr, err := tab.Route(context.Background(), "demo.Late", []byte("a"), "", clo.wall.Add(time.Second))
	if err != nil || ifr.Owner() != "three" {
		t.Errorf("got %v, %v", ifr, err)
	}
	if tab.Poll("oslo").Request().GetTable().GetIndex() != 2 {
		t.Error("the poll asks for the full table again")
	}
}

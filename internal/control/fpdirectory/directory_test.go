package fpdirectory

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// applier applies commands to a directory at successive indexes of term 1.
type applier struct {
	test  rapid.TB
	dir   *Directory
	index uint64
}

func (app *applier) run(com *fpstate.Command) {
	app.index++
	buf, err := proto.Marshal(com)
	if err != nil {
		app.test.Fatal(err)
	}
	app.dir.Apply(fpgroup.Position{
		Term:  1,
		Index: app.index,
	}, buf)
}

func (app *applier) announce(id string, born uint64, address string, leaving bool) {
	app.run(&fpstate.Command{
		Body: &fpstate.Command_Announce{
			Announce: &fpstate.Upstream{
				Id:      id,
				Born:    born,
				Service: "counters",
				Address: address,
				Leaving: leaving,
			},
		},
	})
}

func (app *applier) depart(id string, born uint64) {
	app.run(&fpstate.Command{
		Body: &fpstate.Command_Depart{
			Depart: &fpstate.Departure{
				Id:   id,
				Born: born,
			},
		},
	})
}

// TestLateAnnouncements guards against late announcements that bring back an earlier incarnation, undo that an upstream is
// leaving or bring back one that has left, and against a late departure that removes a later incarnation.
func TestLateAnnouncements(t *testing.T) {
	app := &applier{
		test: t,
		dir:  New(),
	}
	app.announce("one", 10, "a", false)
	app.announce("two", 20, "a", false) // a later upstream at the same address
	app.announce("one", 10, "a", false) // late
	if got := app.dir.AtAddress("a").GetId(); got != "two" {
		t.Errorf("upstream %q has the address, want two", got)
	}
	app.announce("two", 20, "a", true)
	app.announce("two", 20, "a", false) // late
	if !app.dir.Upstream("two").GetLeaving() {
		t.Error("a late announcement undid that the upstream is leaving")
	}
	app.depart("two", 20)
	app.announce("two", 20, "a", false) // late
	if !app.dir.Upstream("two").GetGone() {
		t.Error("a late announcement brought back an upstream that had left")
	}
	app.announce("two", 30, "a", false) // a new incarnation under the same id
	app.depart("two", 20)               // late
	if app.dir.Upstream("two").GetGone() {
		t.Error("the late departure of an earlier incarnation removed the current one")
	}
}

// TestRepeatedAnnouncementOfEarlierIncarnation guards against an earlier incarnation that comes back: its announcement had no known
// outcome and is applied, or repeated, after the next incarnation has announced itself, left, or lost its address.
func TestRepeatedAnnouncementOfEarlierIncarnation(t *testing.T) {
	app := &applier{
		test: t,
		dir:  New(),
	}
	check := func(when string, born uint64, gone bool) {
		t.Helper()
		if got := app.dir.Upstream("one"); got.GetBorn() != born || got.GetGone() != gone {
			t.Errorf("%s: got incarnation %d, gone %t, want %d, %t", when, got.GetBorn(), got.GetGone(), born, gone)
		}
	}
	app.announce("one", 10, "a", false)
	app.announce("one", 20, "a", false)
	app.announce("one", 10, "a", true)
	check("at the same address", 20, false)
	app.announce("one", 10, "b", false)
	check("at another address", 20, false)
	app.depart("one", 20)
	app.announce("one", 10, "a", false)
	check("after the departure", 20, true)
	app.announce("one", 30, "a", false)
	app.announce("two", 40, "a", false)
	app.announce("one", 20, "a", false)
	app.announce("one", 30, "a", true)
	check("after another upstream has its address", 30, true)
}

// TestConfigurationRevisions guards against a configuration that replaces one with a higher or the same revision.
func TestConfigurationRevisions(t *testing.T) {
	app := &applier{
		test: t,
		dir:  New(),
	}
	for _, one := range []struct {
		revision uint64
		document string
	}{
		{revision: 5, document: "first"},
		{revision: 5, document: "other"},
		{revision: 3, document: "older"},
	} {
		app.run(&fpstate.Command{
			Body: &fpstate.Command_Put{
				Put: &fpstate.Configuration{
					Revision: one.revision,
					Document: []byte(one.document),
				},
			},
		})
	}
	if got := string(app.dir.Configuration().GetDocument()); got != "first" {
		t.Errorf("got document %q, want first", got)
	}
}

// TestRangeChangeOfOtherTerm guards against a second holder of a key. A leader that was paused for seconds decides on a
// range from outdated knowledge, and its change reaches the log through the next leader, which has given the range back in
// the meantime.
func TestRangeChangeOfOtherTerm(t *testing.T) {
	app := &applier{
		test: t,
		dir:  New(),
	}
	for _, one := range []struct {
		term   uint64
		holder string
	}{
		{term: 1, holder: "one"},
		{term: 0, holder: "none"},
		{term: 2, holder: "two"},
	} {
		app.run(&fpstate.Command{
			Body: &fpstate.Command_Change{
				Change: &fpstate.RangeChange{
					Service: "counters",
					Term:    one.term,
					Ranges: []*fpstate.Range{{
						Last:     9,
						Upstream: one.holder,
					}},
				},
			},
		})
	}
	if got := FindRange(app.dir.Ranges("counters"), 5).GetUpstream(); got != "one" {
		t.Errorf("the keys are held by %q, want one", got)
	}
}

// TestMergeMatchesDirectory guards against an entry VM whose ranges differ from those of the control VMs after it has merged
// changes since any positions, and against a snapshot that loses state.
func TestMergeMatchesDirectory(t *testing.T) {
	rapid.Check(t, func(rap *rapid.T) {
		app := &applier{
			test: rap,
			dir:  New(),
		}
		var merged *fpstate.KeySpace
		known := uint64(0)
		for range rapid.IntRange(1, 30).Draw(rap, "changes") {
			first := rapid.Uint32Range(0, 40).Draw(rap, "first")
			app.run(&fpstate.Command{
				Body: &fpstate.Command_Change{
					Change: &fpstate.RangeChange{
						Service: "counters",
						Term:    1,
						Ranges: []*fpstate.Range{{
							First:    first,
							Last:     first + rapid.Uint32Range(0, 20).Draw(rap, "size"),
							Upstream: rapid.SampledFrom([]string{"one", "two", "three"}).Draw(rap, "upstream"),
						}},
					},
				},
			})
			if !rapid.Bool().Draw(rap, "merge") {
				continue
			}
			sta, index := app.dir.Since(known)
			for _, spa := range sta.GetKeySpaces() {
				merged = MergeKeySpace(merged, spa)
			}
			known = index
			all, _ := app.dir.Since(0)
			for key := uint32(0); key <= 61; key++ {
				want, got := FindRange(all.GetKeySpaces()[0].GetRanges(), key), FindRange(merged.GetRanges(), key)
				if want.GetUpstream() != got.GetUpstream() || want.GetFence() != got.GetFence() {
					rap.Fatalf("key %d: got holder %q with fence %d, want %q with %d", key,
						got.GetUpstream(), got.GetFence(), want.GetUpstream(), want.GetFence())
				}
			}
		}
		buf, err := app.dir.Snapshot()
		if err != nil {
			rap.Fatal(err)
		}
		restored := New()
		if err := restored.Restore(buf); err != nil {
			rap.Fatal(err)
		}
		want, _ := app.dir.Since(0)
		got, index := restored.Since(0)
		if index != app.index || !proto.Equal(want.GetKeySpaces()[0], got.GetKeySpaces()[0]) || want.GetLastFence() != got.GetLastFence() {
			rap.Fatal("the restored state differs")
		}
	})
}

// TestUnknownDeparture guards against an upstream that comes back because its first announcement is applied after, or between, the entries
// of its departure, and against an unbounded number of tombstones.
func TestUnknownDeparture(t *testing.T) {
	for at := range 3 {
		app := &applier{
			test: t,
			dir:  New(),
		}
		app.announce("one", 10, "a", false)
		for pos, com := range UnknownDeparture(&fpstate.Departure{
			Id:   "one",
			Born: 20,
		}) {
			if at == pos {
				app.announce("one", 20, "b", false)
			}
			app.run(com)
		}
		app.announce("one", 20, "b", false)
		app.announce("one", 10, "a", false)
		if got := app.dir.Upstream("one"); got.GetBorn() != 20 || !got.GetGone() {
			t.Errorf("an announcement before entry %d: got %v", at, got)
		}
		app.announce("one", 30, "b", false)
		if got := app.dir.AtAddress("b"); got.GetBorn() != 30 {
			t.Errorf("the next incarnation is %v", got)
		}
	}
	app := &applier{
		test: t,
		dir:  New(),
	}
	for num := range 2 * maxTombstones {
		for _, com := range UnknownDeparture(&fpstate.Departure{
			Id:   fmt.Sprint(num),
			Born: 1,
		}) {
			app.run(com)
		}
	}
	if sta, _ := app.dir.Since(0); len(sta.GetUpstreams()) != maxTombstones {
		t.Errorf("got %d tombstones, want %d", len(sta.GetUpstreams()), maxTombstones)
	}
}

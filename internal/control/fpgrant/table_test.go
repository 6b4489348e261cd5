package fpgrant

import (
	"bytes"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// tableService has a name of usual length, because every entry carries it and benchmarks measure sizes of entries.
const tableService = "timeplan.v1.Timeplan"

const (
	absent    = fpwire.SlotState_SLOT_STATE_UNSPECIFIED
	free      = fpwire.SlotState_SLOT_STATE_FREE
	owned     = fpwire.SlotState_SLOT_STATE_OWNED
	releasing = fpwire.SlotState_SLOT_STATE_RELEASING
)

func slotUpdate(num uint32, key, owner string, epoch uint64, state fpwire.SlotState, wasEpoch uint64, wasState fpwire.SlotState) *fpwire.SlotUpdate {
	return &fpwire.SlotUpdate{
		Entry: &fpwire.SlotEntry{
			Service:  tableService,
			Number:   num,
			SplitKey: []byte(key),
			Owner:    owner,
			Epoch:    epoch,
			State:    state,
			Removed:  state == absent,
		},
		ExpectedEpoch: wasEpoch,
		ExpectedState: wasState,
	}
}

func homes(first, last uint32) *fpwire.SetHomes {
	return &fpwire.SetHomes{
		Service: tableService,
		Slots:   1 << 20,
		Homes: []*fpoperator.Home{{
			FirstSlot: first,
			LastSlot:  last,
		}},
	}
}

func apply(tab *Table, index uint64, upd ...*fpwire.SlotUpdate) error {
	return tab.Apply(Position{Term: 1, Index: index}, &fpwire.UpdateSlots{Updates: upd})
}

// TestRefusedUpdates checks the rules that the table enforces whatever a leader proposes: no new owner without a release, no
// epoch used twice, no key split from or merged into an owned slot, and no change by a refused command.
func TestRefusedUpdates(t *testing.T) {
	tab := &Table{}
	if err := tab.SetHomes(Position{Term: 1, Index: 1}, homes(0, 9)); err != nil {
		t.Fatal(err)
	}
	for i, upd := range []*fpwire.SlotUpdate{
		slotUpdate(0, "", "a", 1, owned, 0, free),
		slotUpdate(1, "", "a", 1, owned, 0, free),
		slotUpdate(1, "", "a", 1, releasing, 1, owned),
		slotUpdate(2, "", "a", 5, owned, 0, free),
		slotUpdate(2, "", "a", 5, releasing, 5, owned),
		slotUpdate(2, "k", "a", 7, owned, 0, absent),
		slotUpdate(2, "k", "a", 7, releasing, 7, owned),
		slotUpdate(3, "", "a", 5, owned, 0, free),
		slotUpdate(3, "", "a", 5, releasing, 5, owned),
		slotUpdate(3, "k", "a", 6, owned, 0, absent),
		slotUpdate(3, "", "a", 6, owned, 5, releasing),
	} {
		if err := apply(tab, uint64(i+2), upd); err != nil {
			t.Fatal(err)
		}
	}
	before, _ := tab.Snapshot()
	for name, upd := range map[string][]*fpwire.SlotUpdate{
		"owner without release":         {slotUpdate(0, "", "b", 2, owned, 1, owned)},
		"free without release":          {slotUpdate(0, "", "", 1, free, 1, owned)},
		"same epoch":                    {slotUpdate(1, "", "b", 1, owned, 1, releasing)},
		"lower epoch":                   {slotUpdate(1, "", "b", 0, owned, 1, releasing)},
		"releasing names another owner": {slotUpdate(0, "", "b", 1, releasing, 1, owned)},
		"releasing with another epoch":  {slotUpdate(0, "", "a", 2, releasing, 1, owned)},
		"unexpected epoch":              {slotUpdate(1, "", "b", 3, owned, 0, releasing)},
		"unexpected state":              {slotUpdate(1, "", "b", 3, owned, 1, owned)},
		"no owner":                      {slotUpdate(1, "", "", 2, owned, 1, releasing)},
		"not homed":                     {slotUpdate(10, "", "a", 1, owned, 0, free)},
		"twice":                         {slotUpdate(1, "", "a", 2, owned, 1, releasing), slotUpdate(1, "", "b", 3, owned, 1, releasing)},
		"second update is refused":      {slotUpdate(4, "", "a", 1, owned, 0, free), slotUpdate(0, "", "b", 2, owned, 1, owned)},
		"split of a served slot":        {slotUpdate(0, "k", "a", 2, owned, 0, absent)},
		"split below the slot's epoch":  {slotUpdate(1, "k", "a", 1, owned, 0, absent)},
		"merge below the key's epoch":   {slotUpdate(2, "k", "", 7, absent, 7, releasing), slotUpdate(2, "", "a", 6, owned, 5, releasing)},
		"merge without the slot":        {slotUpdate(2, "k", "", 7, absent, 7, releasing)},
		"merge of a served key":         {slotUpdate(3, "k", "", 6, absent, 6, owned), slotUpdate(3, "", "a", 7, owned, 6, owned)},
		"split twice":                   {slotUpdate(1, "k", "a", 2, owned, 0, absent), slotUpdate(1, "k", "b", 2, owned, 0, absent)},
	} {
		if err := apply(tab, 90, upd...); !fperror.Is(err, fperror.VersionConflict) {
			t.Errorf("%s: error %v, want the kind versionConflict", name, err)
		}
		if after, _ := tab.Snapshot(); !bytes.Equal(before, after) {
			t.Errorf("%s: the refused command changed the table", name)
		}
	}
	if err := tab.SetHomes(Position{Term: 1, Index: 91}, homes(1, 9)); !fperror.Is(err, fperror.VersionConflict) {
		t.Errorf("a slot with an owner left the group: %v", err)
	}
}

// TestHomesKeepEpochs guards against an epoch that is used twice if a slot is removed from the group and added again.
func TestHomesKeepEpochs(t *testing.T) {
	tab := &Table{}
	for i, set := range []*fpwire.SetHomes{homes(0, 9), homes(0, 3), homes(0, 9)} {
		if err := tab.SetHomes(Position{Term: 1, Index: uint64(10 * (i + 1))}, set); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			if err := apply(tab, 11, slotUpdate(7, "", "a", 4, owned, 0, free)); err != nil {
				t.Fatal(err)
			}
			_ = apply(tab, 12, slotUpdate(7, "", "a", 4, releasing, 4, owned))
			if err := apply(tab, 13, slotUpdate(7, "", "", 4, free, 4, releasing)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if slo, ok := tab.Slot(tableService, 7, ""); !ok || slo.Epoch < 4 || tab.Len() != 10 {
		t.Errorf("slot %+v, want epoch 4 or higher; %d slots, want 10", slo, tab.Len())
	}
	if _, full := tab.Delta(Position{Term: 1, Index: 12}); !full {
		t.Error("got a delta from a version before the change of homes, want the whole table")
	}
}

// TestDeltas checks that deltas bring a copy of the table from any version to the newest one, also after the table was restored
// from a snapshot.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab := &Table{}
		pos := Position{Term: 1, Index: 1}
		_ = tab.SetHomes(pos, homes(0, 5))
		copies := []map[string]string{{}}
		versions := []Position{{}}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			pos.Index += rapid.Uint64Range(1, 3).Draw(rt, "gap")
			pos.Term += rapid.Uint64Range(0, 1).Draw(rt, "term")
			num := rapid.Uint32Range(0, 5).Draw(rt, "slot")
			key := rapid.SampledFrom([]string{"", "", "k", "l"}).Draw(rt, "key")
			slo, _ := tab.Slot(tableService, num, key)
			plain, _ := tab.Slot(tableService, num, "")
			owner := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "owner")
			top := max(slo.Epoch, plain.Epoch) + 1
			upd := []*fpwire.SlotUpdate{slotUpdate(num, key, owner, top, owned, slo.Epoch, slo.State)}
			if slo.State == owned {
				upd[0] = slotUpdate(num, key, slo.Owner, slo.Epoch, releasing, slo.Epoch, owned)
			} else if key != "" && slo.State == releasing && rapid.Bool().Draw(rt, "merge") {
				upd = []*fpwire.SlotUpdate{
					slotUpdate(num, key, "", slo.Epoch, absent, slo.Epoch, slo.State),
					slotUpdate(num, "", owner, top, owned, plain.Epoch, plain.State),
				}
			}
			_ = tab.Apply(pos, &fpwire.UpdateSlots{Updates: upd})
			if rapid.IntRange(0, 9).Draw(rt, "restore") == 0 {
				data, _ := tab.Snapshot()
				tab = &Table{}
				if err := tab.Restore(data); err != nil {
					rt.Fatal(err)
				}
			}
			at := rapid.IntRange(0, len(copies)-1).Draw(rt, "copy")
			entries, full := tab.Delta(versions[at])
			next := maps.Clone(copies[at])
			if full {
				clear(next)
			}
			for _, ent := range entries {
				name := fmt.Sprint(ent.GetNumber(), string(ent.GetSplitKey()))
				next[name] = ent.String()
				if ent.GetRemoved() {
					delete(next, name)
				}
			}
			want := map[string]string{}
			whole, _ := tab.Delta(Position{})
			for _, ent := range whole {
				want[fmt.Sprint(ent.GetNumber(), string(ent.GetSplitKey()))] = ent.String()
			}
			if !maps.Equal(next, want) {
				rt.Fatalf("copy %v\nwant %v", next, want)
			}
			copies, versions = append(copies, next), append(versions, tab.Version())
		}
	})
}

// bigTable returns a table whose slots are spread over the upstreams, and a Keeper to which all of them were announced.
func bigTable(b *testing.B, slots uint32, upstreams int) (*Table, *Keeper, time.Time) {
	b.Helper()
	tab := &Table{}
	if err := tab.SetHomes(Position{Term: 1, Index: 1}, homes(0, slots-1)); err != nil {
		b.Fatal(err)
	}
	all := upstreamNames(upstreams)
	upd := make([]*fpwire.SlotUpdate, 0, updatesPerCommand)
	for num := range slots {
		upd = append(upd, slotUpdate(num, "", all[int(num)%upstreams], 1, owned, 0, free))
		if len(upd) == updatesPerCommand || num == slots-1 {
			if err := apply(tab, uint64(num)+2, upd...); err != nil {
				b.Fatal(err)
			}
			upd = upd[:0]
		}
	}
	now := time.Unix(1_700_000_000, 0)
	kee := NewKeeper(KeeperConfig{
		Term:    2,
		Elected: now,
		Table:   tab,
	})
	for _, name := range all {
		kee.Announce(now, &fpcontract.AnnounceRequest{
			Upstream: &fpcontract.Upstream{
				Name:        name,
				Incarnation: 1,
				Service:     tableService,
				ChecksFence: true,
			},
		})
	}
	return tab, kee, now
}

func answerAll(kee *Keeper, now time.Time, act Actions) {
	for _, gra := range act.Grants {
		ver := gra.Request.GetVersion()
		if ver == 0 {
			ver = 1
		}
		kee.GrantAnswer(now, gra.Upstream.GetName(), &fpcontract.GrantResponse{
			Accepted:    true,
			Token:       uint64(now.UnixNano()),
			Version:     ver,
			Term:        2,
			Incarnation: 1,
		}, nil)
	}
}

// BenchmarkKeeper measures a tick with nothing due, a tick that renews the lease of every upstream, and a measurement round with
// rebalancing.
func BenchmarkKeeper(b *testing.B) {
	for _, upstreams := range []int{10, 100, 1000} {
		for _, slots := range []uint32{1 << 10, 1 << 16, 1 << 20} {
			b.Run(fmt.Sprintf("upstreams=%d/slots=%d", upstreams, slots), func(b *testing.B) {
				_, kee, now := bigTable(b, slots, upstreams)
				answerAll(kee, now, kee.Tick(now))
				answerAll(kee, now, kee.Tick(now))
				var idle, renew, round time.Duration
				count := 0
				for b.Loop() {
					begin := time.Now()
					kee.Tick(now.Add(time.Millisecond))
					idle += time.Since(begin)
					now = now.Add(250 * time.Millisecond)
					begin = time.Now()
					answerAll(kee, now, kee.Tick(now))
					renew += time.Since(begin)
					begin = time.Now()
					kee.nextMeasurement = now
					kee.endMeasurement(now)
					round += time.Since(begin)
					count++
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(idle.Nanoseconds())/float64(count), "ns/idle-tick")
				b.ReportMetric(float64(renew.Nanoseconds())/float64(count)/float64(upstreams), "ns/renewal")
				b.ReportMetric(float64(round.Nanoseconds())/float64(count), "ns/round")
			})
		}
	}
}

// BenchmarkTable measures the sizes of the table in memory, of its snapshot, of a poll answer with the whole table, and of one
// with the moves of a lost upstream.
func BenchmarkTable(b *testing.B) {
	for _, slots := range []uint32{1 << 10, 1 << 16, 1 << 20} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			tab, _, _ := bigTable(b, slots, 100)
			runtime.GC()
			runtime.ReadMemStats(&after)
			data, _ := tab.Snapshot()
			whole, _ := tab.Delta(Position{})
			since := tab.Version()
			var upd []*fpwire.SlotUpdate
			tab.eachOwned("u0007", func(ref uint32) {
				upd = append(upd, slotUpdate(tab.name(ref).number, "", "u0007", 1, releasing, 1, owned))
			})
			if err := apply(tab, since.Index+1, upd...); err != nil {
				b.Fatal(err)
			}
			delta, _ := tab.Delta(since)
			for b.Loop() {
				tab.Delta(since)
			}
			size := func(entries []*fpwire.SlotEntry) float64 {
				return float64(proto.Size(&fpwire.PollResponse{Entries: entries}))
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(slots), "B/slot")
			b.ReportMetric(float64(len(data))/float64(slots), "snapshot-B/slot")
			b.ReportMetric(size(whole)/float64(slots), "full-B/slot")
			b.ReportMetric(size(delta)/float64(len(upd)), "delta-B/change")
		})
	}
}

// BenchmarkLoss measures the ticks that move the slots of a quarter of the upstreams, as after the loss of a data centre.
func BenchmarkLoss(b *testing.B) {
	for _, slots := range []uint32{1 << 16, 1 << 20} {
		b.Run(fmt.Sprintf("upstreams=1000/slots=%d", slots), func(b *testing.B) {
			var longest, sum, moving time.Duration
			for b.Loop() {
				tab, kee, now := bigTable(b, slots, 1000)
				index := tab.Version().Index
				step := func(now time.Time, lost bool) time.Duration {
					kee.Poll(now, &fpwire.PollRequest{
						Vm:    "v",
						Table: tab.Version().Version(),
					})
					begin := time.Now()
					act := kee.Tick(now)
					took := time.Since(begin)
					for _, upd := range act.Proposals {
						index++
						if err := tab.Apply(Position{Term: 2, Index: index}, upd); err != nil {
							b.Fatal(err)
						}
					}
					if lost {
						act.Grants = slices.DeleteFunc(act.Grants, func(gra GrantCall) bool {
							return gra.Upstream.GetName() < "u0250"
						})
					}
					answerAll(kee, now, act)
					return took
				}
				for range 60 {
					now = now.Add(moveTickInterval)
					step(now, false)
				}
				begin := now
				for now.Sub(begin) < time.Minute && (now == begin || len(kee.moving) > 0 || tab.CountOwned("u0007") > 0) {
					now = now.Add(moveTickInterval)
					took := step(now, true)
					longest, sum = max(longest, took), sum+took
				}
				moving += now.Sub(begin)
			}
			b.ReportMetric(float64(longest.Milliseconds()), "ms/longest-tick")
			b.ReportMetric(float64(sum.Milliseconds())/float64(b.N), "ms/all-ticks")
			b.ReportMetric(float64(moving.Milliseconds())/float64(b.N), "simulated-ms-until-owned")
		})
	}
}

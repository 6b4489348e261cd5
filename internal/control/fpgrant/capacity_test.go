package fpgrant

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpmeter"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

func laterOf(at, other time.Time) time.Time {
	if at.After(other) {
		return at
	}
	return other
}

// BenchmarkRenewals measures the Keeper's CPU time for one second of lease renewals and announcements. The renewals are spread
// evenly over a quarter of a lease, as they are when upstreams start independently. A tick handles all that fall due within
// TickPause.
func BenchmarkRenewals(b *testing.B) {
	for _, upstreams := range []int{10, 100, 450, 1000, 2000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			_, kee, now := bigTable(b, 1<<16, upstreams)
			for num, hol := range kee.order {
				hol.lastGrant = now.Add(time.Duration(num) * DefaultLease / 4 / time.Duration(upstreams))
			}
			ticks, grants := 0, 0
			before := fpmeter.CPUTime()
			for b.Loop() {
				end := now.Add(time.Second)
				for now.Before(end) {
					act := kee.Tick(now)
					ticks++
					grants += len(act.Grants)
					answerAll(kee, now, act)
					now = laterOf(act.Next, now.Add(TickPause))
				}
				for _, hol := range kee.order {
					kee.Announce(now, &fpcontract.AnnounceRequest{
						Upstream: hol.upstream,
						Token:    uint64(now.UnixNano()),
					})
				}
			}
			used := fpmeter.CPUTime() - before
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(ticks)/float64(b.N), "ticks/s")
			b.ReportMetric(float64(grants)/float64(b.N), "renewals/s")
			b.ReportMetric(used.Seconds()/float64(b.N)*100, "%core")
		})
	}
}

// BenchmarkPolls measures the Keeper's CPU time for a poll without changes, and for one whose answer carries one changed slot.
func BenchmarkPolls(b *testing.B) {
	for _, vms := range []int{10, 100, 400, 1000} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			tab, kee, now := bigTable(b, 1<<16, 450)
			answerAll(kee, now, kee.Tick(now))
			requests := make([]*fpwire.PollRequest, vms)
			for num := range requests {
				requests[num] = &fpwire.PollRequest{
					Vm:           fmt.Sprintf("entry-%04d", num),
					Incarnation:  1,
					Table:        tab.Version().Version(),
					Registry:     kee.registryVersion,
					RegistryTerm: 2,
				}
			}
			poll := func() time.Duration {
				before := fpmeter.CPUTime()
				for _, req := range requests {
					kee.Poll(now, req)
					kee.HasUpdates(now, req)
					kee.PollAnswer(now, req)
				}
				return fpmeter.CPUTime() - before
			}
			var idle, changed time.Duration
			index := tab.Version().Index
			epoch, moving := uint64(1), false
			for b.Loop() {
				idle += poll()
				for _, req := range requests {
					req.Table = tab.Version().Version()
				}
				index++
				upd := slotUpdate(5, "", "u0005", epoch, releasing, epoch, owned)
				if moving {
					upd = slotUpdate(5, "", "u0005", epoch+1, owned, epoch, releasing)
					epoch++
				}
				if err := apply(tab, index, upd); err != nil {
					b.Fatal(err)
				}
				moving = !moving
				changed += poll()
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(idle.Nanoseconds())/float64(b.N*vms), "ns/idle-poll")
			b.ReportMetric(float64(changed.Nanoseconds())/float64(b.N*vms), "ns/news-poll")
		})
	}
}

// BenchmarkStore measures the CPU time to encode a table's snapshot, to restore it, and to encode a poll answer with the whole
// table.
func BenchmarkStore(b *testing.B) {
	for _, slots := range []uint32{1 << 10, 1 << 16, 1 << 20} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			tab, _, _ := bigTable(b, slots, 450)
			var write, read, whole time.Duration
			for b.Loop() {
				start := fpmeter.CPUTime()
				data, err := tab.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				written := fpmeter.CPUTime()
				if err := (&Table{}).Restore(data); err != nil {
					b.Fatal(err)
				}
				restored := fpmeter.CPUTime()
				entries, _ := tab.Delta(Position{})
				if _, err := proto.Marshal(&fpwire.PollResponse{Entries: entries}); err != nil {
					b.Fatal(err)
				}
				write += written - start
				read += restored - written
				whole += fpmeter.CPUTime() - restored
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(write.Microseconds())/1e3/float64(b.N), "snapshot-ms")
			b.ReportMetric(float64(read.Microseconds())/1e3/float64(b.N), "restore-ms")
			b.ReportMetric(float64(whole.Microseconds())/1e3/float64(b.N), "full-answer-ms")
		})
	}
}

// BenchmarkConfigurationAnswer measures the leader's CPU time to build and encode the answers that carry a configuration.
func BenchmarkConfigurationAnswer(b *testing.B) {
	for _, size := range []int{4 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			tab, kee, now := bigTable(b, 1<<10, 10)
			kee.Configure(Position{Term: 2, Index: 9}, &fpoperator.Configuration{
				Schema: string(make([]byte, size)),
			})
			req := &fpwire.PollRequest{
				Vm:           "entry-0001",
				Table:        tab.Version().Version(),
				Registry:     kee.registryVersion,
				RegistryTerm: 2,
			}
			for b.Loop() {
				kee.Poll(now, req)
				data, err := proto.Marshal(kee.PollAnswer(now, req))
				if err != nil {
					b.Fatal(err)
				}
				b.SetBytes(int64(len(data)))
			}
		})
	}
}

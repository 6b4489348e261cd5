package fpentry

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpmeter"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgrant"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

const (
	benchService = "timeplan.v1.Timeplan"
	benchGroup   = "bergen-a"
)

// benchEntry returns an entry VM without tables, and the answer to a poll of a group with the given numbers of slots and
// upstreams.
func benchEntry(slots uint32, upstreams int) (*Entry, *fpwire.PollResponse) {
	cfg := &fpoperator.Configuration{
		Services: []*fpoperator.Service{{
			Name:  benchService,
			Slots: slots,
			Homes: []*fpoperator.Home{{
				Group:     benchGroup,
				FirstSlot: 0,
				LastSlot:  slots - 1,
			}},
		}},
	}
	res := &fpwire.PollResponse{
		Term:             1,
		Full:             true,
		UpstreamsChanged: true,
		Registry:         1,
		Table: &fpoperator.Version{
			Term:  1,
			Index: 1,
		},
	}
	for num := range slots {
		res.Entries = append(res.Entries, &fpwire.SlotEntry{
			Service: benchService,
			Number:  num,
			Owner:   fmt.Sprintf("timeplan-%04d", int(num)%upstreams),
			Epoch:   1,
			State:   fpwire.SlotState_SLOT_STATE_OWNED,
		})
	}
	for num := range upstreams {
		res.Upstreams = append(res.Upstreams, &fpcontract.Upstream{
			Name:           fmt.Sprintf("timeplan-%04d", num),
			Incarnation:    1,
			Service:        benchService,
			DataCentre:     "bergen-a",
			Address:        "127.0.0.1:9",
			ChecksFence:    true,
			Concurrency:    3,
			MaxConnections: 110,
		})
	}
	ent := New(Config{
		VM:         "entry",
		DataCentre: "bergen-a",
		Region:     "vestland",
		RegionOf:   func(string) string { return "vestland" },
		Groups:     []string{benchGroup},
		Configuration: func() (fpgrant.Position, *fpoperator.Configuration) {
			return fpgrant.Position{Term: 1, Index: 1}, cfg
		},
		Schema: func() *fpschema.Schema { return nil },
		Log:    zap.NewNop(),
	})
	ent.Reconfigure(cfg)
	return ent, res
}

// applyAnswer applies the answer to a poll as pollOnce does, but opens no connections to upstreams; the benchmarks of fpconn
// cover those.
func applyAnswer(b *testing.B, ent *Entry, res *fpwire.PollResponse) {
	if _, err := ent.table.Apply(ent.table.Poll(benchGroup), res); err != nil {
		b.Fatal(err)
	}
	if !ent.registry.Apply(benchGroup, res) {
		b.Fatal("the list of upstreams did not change")
	}
	_, cfg := ent.cfg.Configuration()
	ent.mutex.Lock()
	defer ent.mutex.Unlock()
	ent.updateServices(cfg)
}

// BenchmarkMemory measures the heap and stack memory of an entry VM's tables, registry, balancers, health state and
// limiters, in MiB.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct {
		slots     uint32
		upstreams int
	}{{1 << 10, 10}, {1 << 10, 1000}, {1 << 10, 4000}, {1 << 16, 1000}, {1 << 16, 4000}, {1 << 20, 4000}} {
		b.Run(fmt.Sprintf("slots=%d/upstreams=%d", size.slots, size.upstreams), func(b *testing.B) {
			var used float64
			for b.Loop() {
				before := heap()
				ent, res := benchEntry(size.slots, size.upstreams)
				applyAnswer(b, ent, res)
				for _, ups := range ent.registry.All() {
					ent.limiter(ups)
				}
				res.Entries = nil
				used = heap() - before
				ent.Close()
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(used/(1<<20), "MiB")
		})
	}
}

// heap returns the bytes of heap and stack memory in use after a garbage collection.
func heap() float64 {
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	return float64(mem.HeapAlloc) + float64(mem.StackInuse)
}

// BenchmarkUpstreamList measures the CPU time that an entry VM needs to apply one changed list of upstreams, as after the
// restart of an upstream.
func BenchmarkUpstreamList(b *testing.B) {
	for _, upstreams := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			ent, res := benchEntry(1<<10, upstreams)
			defer ent.Close()
			applyAnswer(b, ent, res)
			res.Full, res.Entries = false, nil
			before := fpmeter.CPUTime()
			for b.Loop() {
				res.Registry++
				res.Upstreams[rand.IntN(upstreams)].Incarnation++
				applyAnswer(b, ent, res)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64((fpmeter.CPUTime()-before).Microseconds())/float64(b.N), "cpu-µs/list")
		})
	}
}

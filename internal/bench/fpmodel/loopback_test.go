package fpmodel_test

import (
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpload"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpmodel"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpstandin"
)

// BenchmarkLoopbackSurge measures the surge to 10 times saturation in real time, with stand-ins on loopback in one process.
// Its results depend on the machine, so it checks no bounds; TestSurge checks them in simulated time.
func BenchmarkLoopbackSurge(b *testing.B) {
	dep := fpmodel.Haugland()
	sur := surge{
		before: 3 * time.Second,
		during: 3 * time.Second,
		after:  8 * time.Second,
	}
	for _, vrt := range variants(dep) {
		b.Run(vrt.name, func(b *testing.B) {
			for b.Loop() {
				sur.loopback(b, dep, vrt)
			}
		})
	}
}

// loopback runs one surge in real time and reports its results.
func (sur surge) loopback(b *testing.B, dep fpmodel.Deployment, vrt variant) {
	clu, err := fpmodel.NewCluster(b.Context(), fpmodel.ClusterConfig{
		Deployment: dep,
		Options:    vrt.options,
		Worker: fpstandin.WorkerConfig{
			Queue:        vrt.queue,
			Distribution: fpstandin.Exponential,
			ShedCost:     100 * time.Microsecond,
		},
		Seed:     *seed,
		Loopback: true,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer clu.Close()
	res, err := fpload.Run(b.Context(), fpload.Config{
		Name:     vrt.name,
		Seed:     *seed,
		Duration: sur.before + sur.during + sur.after,
		Schedule: fpload.Schedule{
			Rate:     0.7 * dep.SaturationRate(),
			Factor:   10 / 0.7,
			SurgeAt:  sur.before,
			SurgeFor: sur.during,
		},
		Keys: fpload.KeysConfig{
			Keys: vrt.keys,
		},
		MaxInFlight: 1_000_000,
		Send:        clu.Send,
	})
	if err != nil {
		b.Fatal(err)
	}
	begin, end := sur.before, sur.before+sur.during
	normal := res.P99Between(time.Second, begin)
	recovery, recovered := res.RecoveryTime(end, 3*normal/2)
	b.Logf("| %s | %.0f | %.2f | %.2f | %.1f | %.1f | %.1f | %v, %v | %.2f | %d |", vrt.name,
		res.Goodput(begin+time.Second, end), millis(res.Latency(fpload.Refused, 50)), millis(res.Latency(fpload.Refused, 99)),
		millis(res.Latency(fpload.Refused, 100)), millis(normal), millis(res.P99Between(begin+time.Second, end)),
		recovery, recovered, float64(clu.Attempts())/float64(res.Count(fpload.Answered)), res.Count(fpload.Failed))
	b.ReportMetric(res.Goodput(begin+time.Second, end), "answers/s")
	b.ReportMetric(millis(res.Latency(fpload.Refused, 99)), "refusal-p99-ms")
}

package fpmodel_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpload"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpmodel"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpstandin"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpbalance"
)

// variant is a combination of options of the VMs and of the behaviour of the workers.
type variant struct {
	name    string
	options fpmodel.Options
	queue   int    // of each worker
	keys    uint64 // number of keys; 0 for requests without a key
}

// variants returns the variants of the surge experiment: two of the router, then two baselines.
func variants(dep fpmodel.Deployment) []variant {
	naive := fpmodel.Options{
		Policy:   fpbalance.Random,
		Retries:  fpmodel.NaiveRetries,
		NoLimits: true,
		NoHealth: true,
	}
	return []variant{
		{
			name:  "router",
			queue: dep.Concurrency,
		},
		{
			name:  "router, keyed",
			queue: dep.Concurrency,
			keys:  100_000,
		},
		{
			name:    "baseline: unlimited queues, naive retries",
			options: naive,
			queue:   1 << 30,
		},
		{
			name:    "baseline: shedding upstreams, naive retries",
			options: naive,
			queue:   dep.Concurrency,
		},
	}
}

// surge holds the durations of the phases of the surge experiment.
type surge struct {
	before, during, after time.Duration
}

// run sends a load to a variant. Its rate is 70% of saturation and 10 times saturation during the surge.
func (sur surge) run(t *testing.T, dep fpmodel.Deployment, vrt variant) (res *fpload.Result, attempts int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clu, err := fpmodel.NewCluster(t.Context(), fpmodel.ClusterConfig{
			Deployment: dep,
			Options:    vrt.options,
			Worker: fpstandin.WorkerConfig{
				Queue:        vrt.queue,
				Distribution: fpstandin.Exponential,
				ShedCost:     100 * time.Microsecond,
			},
			Seed: *seed,
		})
		if err != nil {
			t.Fatal(err)
		}
		defer clu.Close()
		res, err = fpload.Run(t.Context(), fpload.Config{
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
			t.Fatal(err)
		}
		attempts = clu.Attempts()
	})
	return res, attempts
}

// goodputAtSaturation returns the goodput of a variant with an offered load equal to saturation.
func goodputAtSaturation(t *testing.T, dep fpmodel.Deployment, vrt variant) float64 {
	t.Helper()
	var goodput float64
	synctest.Test(t, func(t *testing.T) {
		clu, err := fpmodel.NewCluster(t.Context(), fpmodel.ClusterConfig{
			Deployment: dep,
			Options:    vrt.options,
			Worker: fpstandin.WorkerConfig{
				Queue:        vrt.queue,
				Distribution: fpstandin.Exponential,
				ShedCost:     100 * time.Microsecond,
			},
			Seed: *seed,
		})
		if err != nil {
			t.Fatal(err)
		}
		defer clu.Close()
		res, err := fpload.Run(t.Context(), fpload.Config{
			Seed:     *seed,
			Duration: 5 * time.Second,
			Schedule: fpload.Schedule{
				Rate: dep.SaturationRate(),
			},
			Keys: fpload.KeysConfig{
				Keys: vrt.keys,
			},
			Send: clu.Send,
		})
		if err != nil {
			t.Fatal(err)
		}
		goodput = res.Goodput(time.Second, 5*time.Second)
	})
	return goodput
}

// TestSurge measures a surge to 10 times saturation in simulated time. It guards the bounds of section 9: goodput within
// 10% of saturation, refusals within 10 ms and marked as not run, p99 latency back to normal within 5 s.
func TestSurge(t *testing.T) {
	dep := fpmodel.Haugland()
	sur := surge{
		before: 2 * time.Second,
		during: 2 * time.Second,
		after:  7 * time.Second,
	}
	compared := variants(dep)[:2]
	if *full {
		sur.during = 5 * time.Second
		sur.after = 20 * time.Second
		compared = variants(dep)
	}
	t.Logf("seed %d, simulated time, saturation %.0f/s", *seed, dep.SaturationRate())
	var results []*fpload.Result
	for i, vrt := range compared {
		res, attempts := sur.run(t, dep, vrt)
		results = append(results, res)
		saturation := dep.SaturationRate()
		saturationGoodput := goodputAtSaturation(t, dep, vrt)
		begin, end := sur.before, sur.before+sur.during
		goodput := res.Goodput(begin+time.Second, end)
		normal := res.P99Between(0, begin)
		recovery, recovered := res.RecoveryTime(end, 3*normal/2)
		refusalP99 := res.Latency(fpload.Refused, 99)
		t.Logf("| %s | %.0f | %.0f | %.2f | %.2f | %.2f | %.1f | %.1f | %.1f | %v, %v | %.2f%% | %.2f | %d |",
			vrt.name, saturationGoodput, goodput, goodput/saturation, millis(res.Latency(fpload.Refused, 50)), millis(refusalP99),
			millis(res.Latency(fpload.Refused, 100)), millis(normal), millis(res.P99Between(begin+time.Second, end)),
			recovery, recovered, refusedPercentage(res, end+time.Second, end+5*time.Second), float64(attempts)/float64(res.Count(fpload.Answered)), res.Count(fpload.Failed))
		if i >= 2 {
			continue // a baseline has no bound
		}
		if goodput < 0.9*saturation {
			t.Errorf("%s: goodput %.0f/s in the surge, want 0.9 of the saturation rate of %.0f/s", vrt.name, goodput, saturation)
		}
		if refusalP99 > 10*time.Millisecond {
			t.Errorf("%s: p99 latency of refusals %v, want at most 10 ms", vrt.name, refusalP99)
		}
		if !recovered || recovery > 5*time.Second {
			t.Errorf("%s: p99 latency back to normal after %v, within the run: %v; want at most 5 s", vrt.name, recovery, recovered)
		}
		if failed := res.Count(fpload.Failed); failed > 0 {
			t.Errorf("%s: %d requests got neither an answer nor an error that states that they did not run", vrt.name, failed)
		}
	}
	writePlot(t, "surge.svg", results)
}

// writePlot writes a plot of the results into the folder of the flag out, if it is set.
func writePlot(t *testing.T, name string, results []*fpload.Result) {
	t.Helper()
	if *out == "" {
		return
	}
	var buf bytes.Buffer
	if err := fpload.WriteSVG(&buf, "Surge to 10 times saturation, simulated time", results...); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(*out, name), buf.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

// refusedPercentage returns the percentage of refusals among the requests that arrived between two times since the start.
func refusedPercentage(res *fpload.Result, from, until time.Duration) float64 {
	refused, all := 0, 0
	for i, ivl := range res.Intervals() {
		if at := time.Duration(i) * 100 * time.Millisecond; at >= from && at < until {
			refused += ivl.Count(fpload.Refused)
			all += ivl.Count(fpload.Refused) + ivl.Count(fpload.Answered) + ivl.Count(fpload.Failed)
		}
	}
	return 100 * float64(refused) / float64(all)
}

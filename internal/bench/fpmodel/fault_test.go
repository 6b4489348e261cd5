package fpmodel_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpload"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpmodel"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpstandin"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpbalance"
)

// experiment is a load on a cluster with a fault that begins after one third of the duration.
type experiment struct {
	options fpmodel.Options
	worker  fpstandin.WorkerConfig
	load    fpload.Config
	// fault changes the cluster. end is called after two thirds of the duration to change it back. Nil: the fault stays.
	fault func(clu *fpmodel.Cluster)
	end   func(clu *fpmodel.Cluster)
}

// outcome holds the measurements of an experiment.
type outcome struct {
	res *fpload.Result
	// attempts and requests are their numbers in the second third of the experiment.
	attempts int
	requests int
	// maxEjected is the highest number of upstreams that one VM had ejected at once.
	maxEjected int
	// changes counts the samples, one each 50 ms, in which the number of ejected upstreams, summed over all VMs, differs from
	// the sample before.
	changes int
}

// run runs an experiment in simulated time.
func (exp experiment) run(t *testing.T, dep fpmodel.Deployment) outcome {
	t.Helper()
	var out outcome
	synctest.Test(t, func(t *testing.T) {
		wor := exp.worker
		wor.Queue = dep.Concurrency
		wor.Distribution = fpstandin.Exponential
		clu, err := fpmodel.NewCluster(t.Context(), fpmodel.ClusterConfig{
			Deployment: dep,
			Options:    exp.options,
			Worker:     wor,
			Seed:       *seed,
		})
		if err != nil {
			t.Fatal(err)
		}
		defer clu.Close()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			out.watchEjections(ctx, clu)
		}()
		third := exp.load.Duration / 3
		attemptsBefore, attemptsAfter := 0, 0
		faultTimer := time.AfterFunc(third, func() {
			attemptsBefore = clu.Attempts()
			exp.fault(clu)
		})
		endTimer := time.AfterFunc(2*third, func() {
			attemptsAfter = clu.Attempts()
			if exp.end != nil {
				exp.end(clu)
			}
		})
		load := exp.load
		load.Seed = *seed
		load.Send = clu.Send
		out.res, err = fpload.Run(t.Context(), load)
		faultTimer.Stop()
		endTimer.Stop()
		cancel()
		<-done
		if err != nil {
			t.Fatal(err)
		}
		out.attempts = attemptsAfter - attemptsBefore
		out.requests = requestsBetween(out.res, third, 2*third)
	})
	return out
}

// watchEjections samples the ejected upstreams every 50 ms until ctx ends.
func (out *outcome) watchEjections(ctx context.Context, clu *fpmodel.Cluster) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	last := 0
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		sum := 0
		for _, vma := range clu.VMs() {
			count := vma.Health().EjectedCount()
			sum += count
			out.maxEjected = max(out.maxEjected, count)
		}
		if sum != last {
			out.changes++
		}
		last = sum
	}
}

// requestsBetween returns the number of requests that arrived between two times since the start.
func requestsBetween(res *fpload.Result, from, until time.Duration) int {
	count := 0
	for i, ivl := range res.Intervals() {
		if at := time.Duration(i) * 100 * time.Millisecond; at >= from && at < until {
			count += ivl.Count(fpload.Answered) + ivl.Count(fpload.Refused) + ivl.Count(fpload.Failed)
		}
	}
	return count
}

// experimentDuration returns long with the flag full, or else short.
func experimentDuration(short, long time.Duration) time.Duration {
	if *full {
		return long
	}
	return short
}

// failAll returns a fault in which all upstreams fail a fraction of their requests with an error of a kind.
func failAll(kin fperror.Kind, fraction float64) func(*fpmodel.Cluster) {
	return func(clu *fpmodel.Cluster) {
		for _, name := range clu.Names() {
			clu.Worker(name).Fail(fperror.New(kin, "failed by the experiment"), fraction)
		}
	}
}

// clearFailures ends the failures of all upstreams.
func clearFailures(clu *fpmodel.Cluster) {
	for _, name := range clu.Names() {
		clu.Worker(name).Fail(nil, 0)
	}
}

// TestAmplification measures the attempts while all upstreams fail. It guards the bound of section 9: at most 1.1 attempts
// per request.
func TestAmplification(t *testing.T) {
	dep := fpmodel.Haugland()
	t.Logf("seed %d, simulated time", *seed)
	for _, kin := range []fperror.Kind{fperror.UpstreamLost, fperror.ConnectFailed, fperror.UpstreamShed} {
		for _, vrt := range []variant{
			{name: "router"},
			{
				name: "baseline: naive retries",
				options: fpmodel.Options{
					Retries:  fpmodel.NaiveRetries,
					NoLimits: true,
					NoHealth: true,
				},
			},
		} {
			out := experiment{
				options: vrt.options,
				load: fpload.Config{
					Duration: experimentDuration(6*time.Second, 15*time.Second),
					Schedule: fpload.Schedule{
						Rate: 0.5 * dep.SaturationRate(),
					},
					Deadline: time.Second,
				},
				fault: failAll(kin, 1),
				end:   clearFailures,
			}.run(t, dep)
			amplification := float64(out.attempts) / float64(out.requests)
			third := experimentDuration(2*time.Second, 5*time.Second)
			t.Logf("| %v | %s | %d | %d | %.3f | %.0f | %d |", kin, vrt.name, out.requests, out.attempts, amplification,
				out.res.Goodput(2*third+time.Second, 3*third), out.maxEjected)
			if vrt.name == "router" && amplification > 1.1 {
				t.Errorf("%v: %.3f attempts per request, want at most 1.1", kin, amplification)
			}
		}
	}
}

// TestEjection measures the effect of ejection with one faulty upstream, and with failures at all upstreams. It guards the
// bound of section 9, at most a third of the upstreams ejected, and that ejection loses at most 10% more requests than no
// ejection.
func TestEjection(t *testing.T) {
	dep := fpmodel.Haugland()
	t.Logf("seed %d, simulated time", *seed)
	for _, flt := range []struct {
		name  string
		apply func(*fpmodel.Cluster)
	}{
		{
			name: "one of 8 loses all requests at once",
			apply: func(clu *fpmodel.Cluster) {
				clu.Worker(clu.Names()[0]).Fail(fperror.New(fperror.UpstreamLost, "lost"), 1)
			},
		},
		{
			name: "one of 8 hangs while its endpoints answer",
			apply: func(clu *fpmodel.Cluster) {
				clu.Worker(clu.Names()[0]).SetServiceTime(time.Hour)
			},
		},
		{
			name:  "all lose half of the requests",
			apply: failAll(fperror.UpstreamLost, 0.5),
		},
		{
			name:  "all lose 9 in 10 requests",
			apply: failAll(fperror.UpstreamLost, 0.9),
		},
	} {
		lost := map[bool]int{}
		for _, disabled := range []bool{false, true} {
			out := experiment{
				options: fpmodel.Options{
					NoHealth: disabled,
				},
				load: fpload.Config{
					Duration: experimentDuration(6*time.Second, 30*time.Second),
					Schedule: fpload.Schedule{
						Rate: 0.6 * dep.SaturationRate(),
					},
					Deadline: time.Second,
				},
				fault: flt.apply,
				end: func(clu *fpmodel.Cluster) {
					clearFailures(clu)
					clu.Worker(clu.Names()[0]).SetServiceTime(dep.ServiceTime)
				},
			}.run(t, dep)
			third := experimentDuration(2*time.Second, 10*time.Second)
			lost[disabled] = out.res.Count(fpload.Failed) + out.res.Count(fpload.Refused)
			t.Logf("| %s | %v | %d | %d | %.0f | %.0f | %d | %d |", flt.name, !disabled, out.res.Count(fpload.Answered), lost[disabled],
				out.res.Goodput(third, 2*third), out.res.Goodput(2*third+time.Second, 3*third), out.maxEjected, out.changes)
			if out.maxEjected > dep.Workers/3 {
				t.Errorf("%s: %d of %d upstreams ejected, want at most a third", flt.name, out.maxEjected, dep.Workers)
			}
		}
		if lost[false] > lost[true]+lost[true]/10 {
			t.Errorf("%s: %d requests lost with ejection and %d without", flt.name, lost[false], lost[true])
		}
	}
}

// TestBundles measures small calls beside bundles whose rate alone would saturate all upstreams. It guards against bundles
// that occupy all concurrency: at least 99 in 100 small calls must be answered.
func TestBundles(t *testing.T) {
	dep := fpmodel.Haugland()
	t.Logf("seed %d, simulated time; bundles take 20 times as long as small calls", *seed)
	for _, disabled := range []bool{false, true} {
		out := experiment{
			options: fpmodel.Options{
				NoBundleRules: disabled,
			},
			load: fpload.Config{
				Duration: experimentDuration(6*time.Second, 30*time.Second),
				Schedule: fpload.Schedule{
					Rate: 720, // 600 small calls, a quarter of saturation, and 120 bundles, 100% of it
				},
				Callers: []fpload.Caller{
					{
						Name:   "small",
						Weight: 600,
					},
					{
						Name:           "bundles",
						Weight:         120,
						BundleFraction: 1,
					},
				},
				Deadline: 2 * time.Second,
			},
			fault: func(*fpmodel.Cluster) {},
		}.run(t, dep)
		answered := out.res.CallerCount("small", fpload.Answered)
		lost := out.res.CallerCount("small", fpload.Refused) + out.res.CallerCount("small", fpload.Failed)
		t.Logf("| %v | %d | %d | %.1f | %.1f | %d | %d | %.0f |", !disabled, answered, lost,
			millis(out.res.Latency(fpload.Answered, 50)), millis(out.res.Latency(fpload.Answered, 99)),
			out.res.BundleCount(), out.res.CallerCount("bundles", fpload.Refused)+out.res.CallerCount("bundles", fpload.Failed),
			millis(out.res.BundleLatency(99)))
		if !disabled && 100*lost > answered+lost {
			t.Errorf("%d of %d small calls lost beside bundles", lost, answered+lost)
		}
	}
}

// TestColdRestartRamp measures the restart of an upstream whose first 60 requests take 20 times as long, with and without a
// gradual increase (ramp) of its share of the requests. It guards against the loss of more than 1 in 100 requests with the
// ramp.
func TestColdRestartRamp(t *testing.T) {
	dep := fpmodel.Haugland()
	t.Logf("seed %d, simulated time", *seed)
	for _, pol := range []fpbalance.Policy{fpbalance.PowerOfTwo, fpbalance.RoundRobin} {
		for _, ramp := range []bool{true, false} {
			out := experiment{
				options: fpmodel.Options{
					Policy: pol,
				},
				worker: fpstandin.WorkerConfig{
					ColdFactor: 20,
				},
				load: fpload.Config{
					Duration: experimentDuration(6*time.Second, 15*time.Second),
					Schedule: fpload.Schedule{
						Rate: 0.6 * dep.SaturationRate(),
					},
					Deadline: 500 * time.Millisecond,
				},
				fault: restartCold(dep, ramp),
			}.run(t, dep)
			third := experimentDuration(2*time.Second, 5*time.Second)
			answered := out.res.Count(fpload.Answered)
			lost := out.res.Count(fpload.Failed) + out.res.Count(fpload.Refused)
			t.Logf("| %v | %v | %d | %d | %.1f | %.1f | %d |", pol, ramp, answered, lost, millis(out.res.P99Between(0, third)),
				millis(out.res.P99Between(third, third+2*time.Second)), out.res.Upstreams()["bergen-a-0"])
			if ramp && 100*lost > answered+lost {
				t.Errorf("%v: %d of %d requests lost to a cold upstream", pol, lost, answered+lost)
			}
		}
	}
}

// restartCold returns a fault in which the first upstream restarts cold. Only with ramp, the VMs are told its new
// incarnation, for which the balancer ramps up its share.
func restartCold(dep fpmodel.Deployment, ramp bool) func(*fpmodel.Cluster) {
	return func(clu *fpmodel.Cluster) {
		clu.Worker(clu.Names()[0]).Restart(60)
		if !ramp {
			return
		}
		ups := dep.Upstreams()
		ups[0].Incarnation++
		for _, vma := range clu.VMs() {
			vma.SetUpstreams(ups)
		}
	}
}

// answeredFractions runs a caller with a rate of a tenth of saturation beside one with 5 times saturation, and returns the
// fractions of their requests that are answered.
func answeredFractions(t *testing.T) (light, flood float64) {
	t.Helper()
	dep := fpmodel.Haugland()
	t.Logf("seed %d, simulated time", *seed)
	out := experiment{
		load: fpload.Config{
			Duration: experimentDuration(3*time.Second, 15*time.Second),
			Schedule: fpload.Schedule{
				Rate: 5.1 * dep.SaturationRate(),
			},
			Callers: []fpload.Caller{
				{
					Name:   "light",
					Weight: 0.1,
				},
				{
					Name:   "flood",
					Weight: 5,
				},
			},
			Deadline: time.Second,
		},
		fault: func(*fpmodel.Cluster) {},
	}.run(t, dep)
	fraction := func(name string) float64 {
		answered := out.res.CallerCount(name, fpload.Answered)
		refused, failed := out.res.CallerCount(name, fpload.Refused), out.res.CallerCount(name, fpload.Failed)
		t.Logf("| %s | %d | %d | %d |", name, answered, refused, failed)
		return float64(answered) / float64(answered+refused+failed)
	}
	return fraction("light"), fraction("flood")
}

// TestCallerShares guards against limiters without shares of callers, with which the same fraction of each caller's requests
// would be answered.
func TestCallerShares(t *testing.T) {
	light, flood := answeredFractions(t)
	if light <= 2*flood {
		t.Errorf("%.2f of the requests of the light caller were answered, and %.2f of those of the flood; want more than twice that fraction", light, flood)
	}
}

// TestFairShare guards against a flood that takes capacity from a caller whose rate is below its fair share. All requests of
// such a caller should be answered; 1 in 10 may be refused because queues are full.
func TestFairShare(t *testing.T) {
	light, _ := answeredFractions(t)
	if light < 0.9 {
		t.Errorf("%.2f of the requests of the light caller were answered, want at least 0.9", light)
	}
}

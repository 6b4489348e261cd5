package fpmodel_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpload"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpmodel"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpstandin"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpbalance"
)

var (
	seed = flag.Uint64("seed", 1, "seed of the experiments")
	out  = flag.String("out", "", "folder for plots")
	vms  = flag.Int("vms", 10, "number of entry VMs in the comparison of policies")
	full = flag.Bool("full", false, "run the experiments at full length, with all policies, deployments and baselines")
)

// fault changes one worker of a cluster.
type fault struct {
	name  string
	apply func(wor *fpstandin.Worker, dep fpmodel.Deployment)
}

// faults returns the faults with which the policies are compared.
func faults() []fault {
	return []fault{
		{
			name:  "none",
			apply: func(*fpstandin.Worker, fpmodel.Deployment) {},
		},
		{
			name: "stuckAt0",
			apply: func(wor *fpstandin.Worker, _ fpmodel.Deployment) {
				wor.SetLoadFault(fpstandin.LoadFault{
					Fixed: &fpcontract.Load{},
				})
			},
		},
		{
			name: "stuckFull",
			apply: func(wor *fpstandin.Worker, dep fpmodel.Deployment) {
				wor.SetLoadFault(fpstandin.LoadFault{
					Fixed: &fpcontract.Load{
						Running: uint32(dep.Concurrency),
						Queued:  uint32(dep.Concurrency),
					},
				})
			},
		},
		{
			name: "late5s",
			apply: func(wor *fpstandin.Worker, _ fpmodel.Deployment) {
				wor.SetLoadFault(fpstandin.LoadFault{
					Lag: 5 * time.Second,
				})
			},
		},
		{
			name: "slow4x",
			apply: func(wor *fpstandin.Worker, dep fpmodel.Deployment) {
				wor.SetServiceTime(4 * dep.ServiceTime)
			},
		},
	}
}

// policy is a policy under comparison.
type policy struct {
	name    string
	options fpmodel.Options
}

// policies returns the policies to compare.
func policies() []policy {
	var out []policy
	for _, pol := range fpbalance.Policies() {
		out = append(out, policy{
			name: pol.String(),
			options: fpmodel.Options{
				Policy: pol,
			},
		})
	}
	return append(out, policy{
		name: "powerOfTwo subset 4",
		options: fpmodel.Options{
			SubsetSize: 4,
		},
	})
}

// runPolicy runs one policy with one fault and a load of 70% of saturation. It returns the result of the load, the number of
// attempts that workers shed, and the imbalance of answers over all workers.
func runPolicy(t *testing.T, dep fpmodel.Deployment, pol policy, flt fault, length time.Duration) (res *fpload.Result, sheds int, imb fpload.Imbalance) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clu, err := fpmodel.NewCluster(t.Context(), fpmodel.ClusterConfig{
			Deployment: dep,
			Options:    pol.options,
			Worker: fpstandin.WorkerConfig{
				Queue:        dep.Concurrency,
				Distribution: fpstandin.Exponential,
			},
			Seed: *seed,
		})
		if err != nil {
			t.Fatal(err)
		}
		defer clu.Close()
		flt.apply(clu.Worker(clu.Names()[0]), dep)
		res, err = fpload.Run(t.Context(), fpload.Config{
			Seed:     *seed,
			Duration: length,
			Schedule: fpload.Schedule{
				Rate: 0.7 * dep.SaturationRate(),
			},
			Deadline: time.Second,
			Send:     clu.Send,
		})
		if err != nil {
			t.Fatal(err)
		}
		sheds = clu.Sheds()
		imb = res.Imbalance(clu.Names())
	})
	return res, sheds, imb
}

// TestChoicePolicies compares the policies in simulated time. It guards against a powerOfTwo policy that loses more than 1
// in 100 requests with one faulty upstream, or more than the random baseline over all faults.
func TestChoicePolicies(t *testing.T) {
	deployments := []fpmodel.Deployment{fpmodel.Haugland()}
	length := 5 * time.Second
	compared := policies()[:2]
	if *full {
		deployments = append(deployments, fpmodel.Cwtsh())
		length = 20 * time.Second
		compared = policies()
	}
	t.Logf("seed %d, simulated time", *seed)
	for _, dep := range deployments {
		dep.VMs = *vms
		lost := map[string]int{}
		for _, flt := range faults() {
			for _, pol := range compared {
				res, sheds, imb := runPolicy(t, dep, pol, flt, length)
				answered := res.Count(fpload.Answered)
				unanswered := res.Count(fpload.Refused) + res.Count(fpload.Failed)
				lost[pol.name] += unanswered
				t.Logf("| %s | %s | %s | %d | %d | %d | %.1f | %.1f | %.2f | %.2f |",
					dep.Name, flt.name, pol.name, answered, unanswered, sheds,
					millis(res.Latency(fpload.Answered, 50)), millis(res.Latency(fpload.Answered, 99)),
					imb.MaxToMean, imb.Variation)
				if pol.name == "powerOfTwo" && 100*unanswered > answered+unanswered {
					t.Errorf("%s, %s: powerOfTwo lost %d of %d requests", dep.Name, flt.name, unanswered, answered+unanswered)
				}
			}
		}
		if lost["powerOfTwo"] > lost["random"] {
			t.Errorf("%s: powerOfTwo lost %d requests and random %d", dep.Name, lost["powerOfTwo"], lost["random"])
		}
	}
}

// millis returns a duration in milliseconds.
func millis(length time.Duration) float64 {
	return float64(length) / float64(time.Millisecond)
}

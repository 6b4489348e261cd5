package fpmodel

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpload"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpstandin"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpbalance"
)

// ClusterConfig configures a Cluster.
type ClusterConfig struct {
	Deployment Deployment
	// Options are the options of every VM.
	Options Options
	// Worker is the configuration of every worker. Its concurrency and service time are replaced by those of the deployment,
	// its seed by one that follows from Seed.
	Worker fpstandin.WorkerConfig
	// Seed seeds the random numbers of all VMs and workers.
	Seed uint64
	// Loopback makes the VMs reach the workers as stand-ins on loopback, in real time and without the latencies between
	// locations.
	Loopback bool
}

// Cluster is a set of entry VMs and workers in one process. The VMs do not exchange messages. Use NewCluster to create one.
type Cluster struct {
	cfg       ClusterConfig
	names     []string
	locations map[string]Location
	workers   map[string]*fpstandin.Worker
	standins  map[string]*fpstandin.Standin // empty without Loopback
	vms       []*VM
	attempts  atomic.Int64
	nextVM    atomic.Uint64
	cancel    context.CancelFunc
	pollsDone []<-chan struct{}
}

// NewCluster returns a cluster whose VMs poll the workers until Close or until ctx ends. It fails if a stand-in can't start.
func NewCluster(ctx context.Context, cfg ClusterConfig) (*Cluster, error) {
	clu := &Cluster{
		cfg:       cfg,
		locations: map[string]Location{},
		workers:   map[string]*fpstandin.Worker{},
		standins:  map[string]*fpstandin.Standin{},
	}
	ctx, clu.cancel = context.WithCancel(ctx)
	for i, up := range cfg.Deployment.Upstreams() {
		if err := clu.addWorker(ctx, up, uint64(i)); err != nil {
			clu.Close()
			return nil, err
		}
	}
	for i := range cfg.Deployment.VMs {
		vma := clu.newVM(i)
		clu.vms = append(clu.vms, vma)
		clu.pollsDone = append(clu.pollsDone, vma.StartPolling(ctx))
	}
	return clu, nil
}

// addWorker adds the worker of an upstream, with a number that changes its seed, and starts its stand-in with Loopback.
func (clu *Cluster) addWorker(ctx context.Context, up fpbalance.Upstream, number uint64) error {
	dep := clu.cfg.Deployment
	wor := clu.cfg.Worker
	wor.Concurrency = dep.Concurrency
	wor.ServiceTime = dep.ServiceTime
	wor.Seed = clu.cfg.Seed + number
	clu.names = append(clu.names, up.Name)
	clu.locations[up.Name] = Location{
		DataCentre: up.DataCentre,
		Region:     up.Region,
	}
	if !clu.cfg.Loopback {
		clu.workers[up.Name] = fpstandin.NewWorker(wor)
		return nil
	}
	sta := fpstandin.New(fpstandin.Config{
		Worker:         wor,
		MaxConnections: dep.MaxConnections,
		AcceptDelay:    dep.ConnectTime,
	})
	clu.standins[up.Name] = sta
	clu.workers[up.Name] = sta.Worker()
	return sta.Start(ctx)
}

// newVM returns the entry VM with a number, from 0. The VMs are distributed evenly over the locations.
func (clu *Cluster) newVM(number int) *VM {
	dep := clu.cfg.Deployment
	loc := dep.Locations[number%len(dep.Locations)]
	cfg := VMConfig{
		Name:      fmt.Sprintf("vm-%d", number),
		Location:  loc,
		Upstreams: dep.Upstreams(),
		Options:   clu.cfg.Options,
		LinkRate:  linkBytesPerSecond / int64(dep.VMs),
		Seed:      clu.cfg.Seed*1000 + uint64(number),
		Attempt: func(ctx context.Context, upstream string, req fpload.Request) error {
			return clu.serveAttempt(ctx, loc, upstream, req)
		},
		ReadLoad: func(_ context.Context, upstream string) (*fpcontract.Load, error) {
			time.Sleep(2 * latency(loc, clu.locations[upstream]))
			return clu.workers[upstream].Load(), nil
		},
	}
	if clu.cfg.Loopback {
		lop := newLoopback(clu)
		cfg.Attempt = lop.attempt
		cfg.ReadLoad = lop.readLoad
	}
	return NewVM(cfg)
}

// serveAttempt runs a request on a worker, with the latency between the locations in both directions.
func (clu *Cluster) serveAttempt(ctx context.Context, from Location, upstream string, req fpload.Request) error {
	clu.attempts.Add(1)
	delay := latency(from, clu.locations[upstream])
	time.Sleep(delay)
	err := clu.workers[upstream].Serve(ctx, fpstandin.Job{
		Bundle: req.Bundle,
	})
	time.Sleep(delay)
	if err == nil && ctx.Err() != nil {
		return fperror.Wrap(fperror.DeadlineExceeded, ctx.Err(), "answer of %s arrived after the deadline", upstream)
	}
	return err
}

// Send sends a request through the next entry VM, in round-robin order like a load balancer.
func (clu *Cluster) Send(ctx context.Context, req fpload.Request) fpload.Answer {
	return clu.vms[clu.nextVM.Add(1)%uint64(len(clu.vms))].Send(ctx, req)
}

// Names returns the names of the workers in the order of Deployment.Upstreams.
func (clu *Cluster) Names() []string { return clu.names }

// Worker returns the worker with a name, or nil if there is none.
func (clu *Cluster) Worker(name string) *fpstandin.Worker { return clu.workers[name] }

// VMs returns the entry VMs.
func (clu *Cluster) VMs() []*VM { return clu.vms }

// Attempts returns the number of attempts that were sent to workers.
func (clu *Cluster) Attempts() int { return int(clu.attempts.Load()) }

// Sheds returns the number of attempts that workers shed.
func (clu *Cluster) Sheds() int {
	sum := 0
	for _, wor := range clu.workers {
		_, sheds := wor.Totals()
		sum += sheds
	}
	return sum
}

// Close stops the polls and the stand-ins and waits for their end.
func (clu *Cluster) Close() {
	clu.cancel()
	for _, done := range clu.pollsDone {
		<-done
	}
	for _, sta := range clu.standins {
		sta.Crash()
	}
}

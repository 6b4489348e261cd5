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
	Options    Options
	// Worker is the configuration of every worker; concurrency and service time come from the deployment.
	Worker fpstandin.WorkerConfig
	Seed   uint64
	// Loopback serves the workers as stand-ins on loopback, in real time and without the latencies between places.
	Loopback bool
}

// Cluster is a set of entry VMs and workers in one process. The VMs see nothing of each other.
type Cluster struct {
	cfg      ClusterConfig
	names    []string
	places   map[string]Place
	workers  map[string]*fpstandin.Worker
	standins map[string]*fpstandin.Standin // with Loopback
	vms      []*VM
	attempts atomic.Int64
	turn     atomic.Uint64
	cancel   context.CancelFunc
	polls    []<-chan struct{}
}

// NewCluster returns a cluster whose VMs poll until Close.
func NewCluster(ctx context.Context, cfg ClusterConfig) (*Cluster, error) {
	clu := &Cluster{
		cfg:      cfg,
		places:   map[string]Place{},
		workers:  map[string]*fpstandin.Worker{},
		standins: map[string]*fpstandin.Standin{},
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
		clu.polls = append(clu.polls, vma.Poll(ctx))
	}
	return clu, nil
}

// addWorker adds the worker of an upstream.
func (clu *Cluster) addWorker(ctx context.Context, up fpbalance.Upstream, number uint64) error {
	dep := clu.cfg.Deployment
	wor := clu.cfg.Worker
	wor.Concurrency = dep.Concurrency
	wor.Service = dep.Service
	wor.Seed = clu.cfg.Seed + number
	clu.names = append(clu.names, up.Name)
	clu.places[up.Name] = Place{
		DataCentre: up.DataCentre,
		Region:     up.Region,
	}
	if !clu.cfg.Loopback {
		clu.workers[up.Name] = fpstandin.NewWorker(wor)
		return nil
	}
	sta := fpstandin.New(fpstandin.Config{
		Worker:      wor,
		Connections: dep.Connections,
		ConnectCost: dep.ConnectCost,
	})
	clu.standins[up.Name] = sta
	clu.workers[up.Name] = sta.Worker()
	return sta.Start(ctx)
}

// newVM returns the entry VM with a number.
func (clu *Cluster) newVM(number int) *VM {
	dep := clu.cfg.Deployment
	pla := dep.Places[number%len(dep.Places)]
	cfg := VMConfig{
		Name:      fmt.Sprintf("vm-%d", number),
		Place:     pla,
		Upstreams: dep.Upstreams(),
		Options:   clu.cfg.Options,
		LinkRate:  linkRate / int64(dep.VMs),
		Seed:      clu.cfg.Seed*1000 + uint64(number),
		Attempt: func(ctx context.Context, upstream string, req fpload.Request) error {
			return clu.serve(ctx, pla, upstream, req)
		},
		Read: func(_ context.Context, upstream string) (*fpcontract.Load, error) {
			time.Sleep(2 * latency(pla, clu.places[upstream]))
			return clu.workers[upstream].Load(), nil
		},
	}
	if clu.cfg.Loopback {
		lop := newLoopback(clu)
		cfg.Attempt = lop.attempt
		cfg.Read = lop.read
	}
	return NewVM(cfg)
}

// serve carries a request to a worker and back.
func (clu *Cluster) serve(ctx context.Context, from Place, upstream string, req fpload.Request) error {
	clu.attempts.Add(1)
	way := latency(from, clu.places[upstream])
	time.Sleep(way)
	err := clu.workers[upstream].Serve(ctx, fpstandin.Work{
		Bundle: req.Bundle,
	})
	time.Sleep(way)
	if err == nil && ctx.Err() != nil {
		return fperror.Wrap(fperror.DeadlineExceeded, ctx.Err(), "answer of %s", upstream)
	}
	return err
}

// Send sends a request through the entry VMs in turn, as a load balancer would.
func (clu *Cluster) Send(ctx context.Context, req fpload.Request) fpload.Answer {
	return clu.vms[clu.turn.Add(1)%uint64(len(clu.vms))].Send(ctx, req)
}

// Names returns the names of the workers.
func (clu *Cluster) Names() []string { return clu.names }

// Worker returns a worker.
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

// Close ends the polls and the stand-ins and waits for them.
func (clu *Cluster) Close() {
	clu.cancel()
	for _, done := range clu.polls {
		<-done
	}
	for _, sta := range clu.standins {
		sta.Crash()
	}
}

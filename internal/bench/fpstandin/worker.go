// Package fpstandin provides stand-ins for upstreams, for tests and benchmarks. Worker models how an upstream runs
// requests, and Standin serves a Worker on loopback.
package fpstandin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// Spread is the distribution of service times.
type Spread uint8

// The distributions.
const (
	// Fixed gives every request the same service time.
	Fixed Spread = iota
	// Exponential draws service times from an exponential distribution.
	Exponential
)

// LoadFault is how a load endpoint misleads. The zero value reports the truth.
type LoadFault struct {
	// Lag is the age of the reported load.
	Lag time.Duration
	// Fixed replaces the report if it is set; the endpoint is stuck.
	Fixed *fpcontract.Load
	// Factor multiplies the running and queued requests if it is not 0.
	Factor float64
}

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	// Concurrency is the number of requests that run at once; at least 1.
	Concurrency int
	// Queue is the number of requests that wait; the upstream sheds beyond it.
	Queue int
	// Service is the mean time of a small call.
	Service time.Duration
	// Spread is the distribution of the time of small calls.
	Spread Spread
	// BundleService is the time of a bundle. 0: 20 times Service.
	BundleService time.Duration
	// ColdRequests is the number of requests after a start that take ColdFactor times as long.
	ColdRequests int
	ColdFactor   float64
	// ShedCost is the time that the refusal of a request takes from all requests that run, by delaying the next start.
	ShedCost time.Duration
	// LoadFault is how the load endpoint misleads.
	LoadFault LoadFault
	// Seed makes the service times repeatable.
	Seed uint64
}

// Work describes a request to a Worker.
type Work struct {
	// Key identifies the request in the counter of runs.
	Key string
	// Bundle states that the request is a bundle.
	Bundle bool
}

// loadSample is the load at one moment.
type loadSample struct {
	at      time.Time
	running int
	queued  int
}

// Worker models how an upstream runs requests. It is safe for concurrent use.
type Worker struct {
	mut      sync.Mutex
	cfg      WorkerConfig
	ran      *rand.Rand
	slots    chan struct{}
	running  int
	queued   int
	started  int // requests since the start
	sheds    int
	fail     error
	failPart float64
	runs     map[string]int
	history  []loadSample
	shedDebt time.Duration
}

// NewWorker returns an idle worker.
func NewWorker(cfg WorkerConfig) *Worker {
	cfg.Concurrency = max(1, cfg.Concurrency)
	if cfg.BundleService <= 0 {
		cfg.BundleService = 20 * cfg.Service
	}
	return &Worker{
		cfg:   cfg,
		ran:   rand.New(rand.NewPCG(cfg.Seed, 2)),
		slots: make(chan struct{}, cfg.Concurrency),
		runs:  map[string]int{},
	}
}

// Serve runs a request for its service time. The error is of kind UpstreamShed when the queue is full, of kind
// DeadlineExceeded or CallerCanceled when ctx ended, or the one set with Fail.
func (wor *Worker) Serve(ctx context.Context, job Work) error {
	if err := wor.enter(); err != nil {
		return err
	}
	select {
	case wor.slots <- struct{}{}:
	case <-ctx.Done():
		wor.change(0, -1)
		return ended(ctx)
	}
	took := wor.begin(job)
	defer func() {
		wor.change(-1, 0)
		<-wor.slots
	}()
	return sleep(ctx, took)
}

// enter counts a request as queued, or refuses it.
func (wor *Worker) enter() error {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	if wor.fail != nil && wor.ran.Float64() < wor.failPart {
		return wor.fail
	}
	if wor.running+wor.queued >= wor.cfg.Concurrency+wor.cfg.Queue {
		wor.sheds++
		wor.shedDebt += wor.cfg.ShedCost
		return fperror.New(fperror.UpstreamShed, "%d requests run and %d wait", wor.running, wor.queued)
	}
	wor.queued++
	wor.sample()
	return nil
}

// begin counts a request as running and returns its service time.
func (wor *Worker) begin(job Work) time.Duration {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	wor.queued--
	wor.running++
	wor.started++
	wor.runs[job.Key]++
	wor.sample()
	took := wor.cfg.Service
	switch {
	case job.Bundle:
		took = wor.cfg.BundleService
	case wor.cfg.Spread == Exponential:
		took = time.Duration(wor.ran.ExpFloat64() * float64(took))
	}
	if wor.started <= wor.cfg.ColdRequests {
		took = time.Duration(wor.cfg.ColdFactor * float64(took))
	}
	took += wor.shedDebt
	wor.shedDebt = 0
	return took
}

// change adds to the numbers of running and queued requests.
func (wor *Worker) change(running, queued int) {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	wor.running += running
	wor.queued += queued
	wor.sample()
}

// sample records the load if the endpoint lags.
func (wor *Worker) sample() {
	lag := wor.cfg.LoadFault.Lag
	if lag <= 0 {
		return
	}
	now := time.Now()
	wor.history = append(wor.history, loadSample{
		at:      now,
		running: wor.running,
		queued:  wor.queued,
	})
	// The newest sample that is older than the lag is kept, because it is the one that is reported.
	for len(wor.history) > 1 && now.Sub(wor.history[1].at) >= lag {
		wor.history = wor.history[1:]
	}
}

// Load returns what the load endpoint reports, which is the truth only without a LoadFault.
func (wor *Worker) Load() *fpcontract.Load {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	flt := wor.cfg.LoadFault
	if flt.Fixed != nil {
		return flt.Fixed
	}
	running, queued := wor.running, wor.queued
	if flt.Lag > 0 {
		running, queued = wor.lagged(time.Now())
	}
	if flt.Factor != 0 {
		running = int(flt.Factor * float64(running))
		queued = int(flt.Factor * float64(queued))
	}
	return &fpcontract.Load{
		Running:     uint32(running),
		Queued:      uint32(queued),
		Concurrency: uint32(wor.cfg.Concurrency),
	}
}

// lagged returns the load as it was one lag ago.
func (wor *Worker) lagged(now time.Time) (running, queued int) {
	for _, sam := range wor.history {
		if now.Sub(sam.at) < wor.cfg.LoadFault.Lag {
			break
		}
		running, queued = sam.running, sam.queued
	}
	return running, queued
}

// SetService changes the mean time of small calls, as on an upstream that becomes slow.
func (wor *Worker) SetService(took time.Duration) {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	wor.cfg.Service = took
}

// SetLoadFault changes how the load endpoint misleads.
func (wor *Worker) SetLoadFault(flt LoadFault) {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	wor.cfg.LoadFault = flt
	wor.history = nil
}

// Fail makes the worker end a part of all later requests, between 0 and 1, with an error at once; nil ends this.
func (wor *Worker) Fail(err error, part float64) {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	wor.fail = err
	wor.failPart = part
}

// Restart makes the worker cold again, for a number of requests.
func (wor *Worker) Restart(coldRequests int) {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	wor.started = 0
	wor.cfg.ColdRequests = coldRequests
}

// Runs returns how often the request with a key began to run.
func (wor *Worker) Runs(key string) int {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	return wor.runs[key]
}

// Totals returns the numbers of requests that began to run since the last start and of those that were shed.
func (wor *Worker) Totals() (started, sheds int) {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	return wor.started, wor.sheds
}

// sleep waits for a time or for the end of ctx.
func sleep(ctx context.Context, length time.Duration) error {
	if length <= 0 {
		return nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ended(ctx)
	}
}

// ended returns the error of a context that has ended.
func ended(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return fperror.Wrap(fperror.DeadlineExceeded, ctx.Err(), "run of the request")
	}
	return fperror.Wrap(fperror.CallerCanceled, ctx.Err(), "run of the request")
}

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

// Distribution is a distribution of service times.
type Distribution uint8

const (
	// Fixed gives every request the same service time.
	Fixed Distribution = iota
	// Exponential draws service times from an exponential distribution.
	Exponential
)

// LoadFault describes how the load endpoint reports wrong values. The zero value reports the actual load.
type LoadFault struct {
	// Lag is the age of the reported load. 0: the current load is reported.
	Lag time.Duration
	// Fixed replaces every report, as if the endpoint were stuck. Nil: no effect.
	Fixed *fpcontract.Load
	// Factor multiplies the numbers of running and queued requests. 0: no effect.
	Factor float64
}

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	// Concurrency is the number of requests that run at once. Values below 1 count as 1.
	Concurrency int
	// Queue is the number of requests that may wait; more are shed.
	Queue int
	// ServiceTime is the mean service time of a small call.
	ServiceTime time.Duration
	// Distribution is the distribution of the service times of small calls.
	Distribution Distribution
	// BundleServiceTime is the service time of a bundle. 0: 20 times ServiceTime.
	BundleServiceTime time.Duration
	// ColdRequests is the number of requests after a start whose service time is multiplied by ColdFactor.
	ColdRequests int
	ColdFactor   float64
	// ShedCost is the processing time that shedding one request takes. It is added to the service time of the next request
	// that starts.
	ShedCost time.Duration
	// LoadFault is the initial fault of the load endpoint.
	LoadFault LoadFault
	// Seed seeds the random service times.
	Seed uint64
}

// Job describes a request to a Worker.
type Job struct {
	// ID identifies the request in the counts of runs; see Runs.
	ID string
	// Bundle marks a bundle; all other requests are small calls.
	Bundle bool
}

// loadSample is the load at one instant.
type loadSample struct {
	at      time.Time
	running int
	queued  int
}

// Worker models how an upstream runs requests. It is safe for concurrent use.
type Worker struct {
	mut          sync.Mutex
	cfg          WorkerConfig
	ran          *rand.Rand
	permits      chan struct{}
	running      int
	queued       int
	started      int // requests that began to run since the last start
	sheds        int
	failError    error
	failFraction float64
	runs         map[string]int
	history      []loadSample
	shedDebt     time.Duration
}

// NewWorker returns an idle worker.
func NewWorker(cfg WorkerConfig) *Worker {
	cfg.Concurrency = max(1, cfg.Concurrency)
	if cfg.BundleServiceTime <= 0 {
		cfg.BundleServiceTime = 20 * cfg.ServiceTime
	}
	return &Worker{
		cfg:     cfg,
		ran:     rand.New(rand.NewPCG(cfg.Seed, 2)),
		permits: make(chan struct{}, cfg.Concurrency),
		runs:    map[string]int{},
	}
}

// Serve simulates a request for its service time. It returns an error of kind UpstreamShed when the queue is full, of kind
// DeadlineExceeded or CallerCanceled when ctx ended, or the one set with Fail.
func (wor *Worker) Serve(ctx context.Context, job Job) error {
	if err := wor.enqueue(); err != nil {
		return err
	}
	select {
	case wor.permits <- struct{}{}:
	case <-ctx.Done():
		wor.addCounts(0, -1)
		return contextError(ctx)
	}
	serviceTime := wor.start(job)
	defer func() {
		wor.addCounts(-1, 0)
		<-wor.permits
	}()
	return sleep(ctx, serviceTime)
}

// enqueue counts a request as queued, or returns an error if it fails at once or is shed.
func (wor *Worker) enqueue() error {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	if wor.failError != nil && wor.ran.Float64() < wor.failFraction {
		return wor.failError
	}
	if wor.running+wor.queued >= wor.cfg.Concurrency+wor.cfg.Queue {
		wor.sheds++
		wor.shedDebt += wor.cfg.ShedCost
		return fperror.New(fperror.UpstreamShed, "the queue is full: %d requests run and %d wait", wor.running, wor.queued)
	}
	wor.queued++
	wor.recordSample()
	return nil
}

// start counts a request as running and returns its service time.
func (wor *Worker) start(job Job) time.Duration {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	wor.queued--
	wor.running++
	wor.started++
	wor.runs[job.ID]++
	wor.recordSample()
	serviceTime := wor.cfg.ServiceTime
	switch {
	case job.Bundle:
		serviceTime = wor.cfg.BundleServiceTime
	case wor.cfg.Distribution == Exponential:
		serviceTime = time.Duration(wor.ran.ExpFloat64() * float64(serviceTime))
	}
	if wor.started <= wor.cfg.ColdRequests {
		serviceTime = time.Duration(wor.cfg.ColdFactor * float64(serviceTime))
	}
	serviceTime += wor.shedDebt
	wor.shedDebt = 0
	return serviceTime
}

// addCounts adds to the numbers of running and queued requests.
func (wor *Worker) addCounts(running, queued int) {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	wor.running += running
	wor.queued += queued
	wor.recordSample()
}

// recordSample records the load if the load endpoint lags. The caller holds mut.
func (wor *Worker) recordSample() {
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
	// The newest sample that is at least as old as the lag is the one to report; older ones are dropped.
	for len(wor.history) > 1 && now.Sub(wor.history[1].at) >= lag {
		wor.history = wor.history[1:]
	}
}

// Load returns what the load endpoint reports: the actual load, changed by the LoadFault.
func (wor *Worker) Load() *fpcontract.Load {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	flt := wor.cfg.LoadFault
	if flt.Fixed != nil {
		return flt.Fixed
	}
	running, queued := wor.running, wor.queued
	if flt.Lag > 0 {
		running, queued = wor.laggedLoad(time.Now())
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

// laggedLoad returns the load at the time now minus the lag. The caller holds mut.
func (wor *Worker) laggedLoad(now time.Time) (running, queued int) {
	for _, sam := range wor.history {
		if now.Sub(sam.at) < wor.cfg.LoadFault.Lag {
			break
		}
		running, queued = sam.running, sam.queued
	}
	return running, queued
}

// SetServiceTime changes the mean service time of small calls, for example to simulate an upstream that becomes slow.
func (wor *Worker) SetServiceTime(serviceTime time.Duration) {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	wor.cfg.ServiceTime = serviceTime
}

// SetLoadFault replaces the fault of the load endpoint. The zero value ends it. The recorded load of a lag is dropped.
func (wor *Worker) SetLoadFault(flt LoadFault) {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	wor.cfg.LoadFault = flt
	wor.history = nil
}

// Fail makes a fraction, between 0 and 1, of all later requests fail at once with err. A nil err ends this.
func (wor *Worker) Fail(err error, fraction float64) {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	wor.failError = err
	wor.failFraction = fraction
}

// Restart sets the number of requests since the start to 0 and ColdRequests to the given number.
func (wor *Worker) Restart(coldRequests int) {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	wor.started = 0
	wor.cfg.ColdRequests = coldRequests
}

// Runs returns how often the request with an ID began to run.
func (wor *Worker) Runs(id string) int {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	return wor.runs[id]
}

// Totals returns the number of requests that began to run since the last start and the number of requests shed since
// NewWorker.
func (wor *Worker) Totals() (started, sheds int) {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	return wor.started, wor.sheds
}

// sleep waits for a duration, or until ctx ends and then returns its error.
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
		return contextError(ctx)
	}
}

// contextError returns the error of a context that has ended, with its kind.
func contextError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return fperror.Wrap(fperror.DeadlineExceeded, ctx.Err(), "run of the request")
	}
	return fperror.Wrap(fperror.CallerCanceled, ctx.Err(), "run of the request")
}

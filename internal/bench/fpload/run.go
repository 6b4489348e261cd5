package fpload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Request is one request of the load.
type Request struct {
	// Number counts the requests of a run from 0.
	Number int
	// Key is the key of the request. Empty: the load has no keys.
	Key string
	// Caller is the name of the caller.
	Caller string
	// Bundle marks a bundle; all other requests are small calls.
	Bundle bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Status is the result of a request for its caller.
type Status uint8

const (
	// Answered requests got a complete answer.
	Answered Status = iota
	// Refused requests got an error that states that they did not run.
	Refused
	// Failed requests got any other error or none.
	Failed
	statusCount
)

// String returns the name of the status in results.
func (sta Status) String() string {
	switch sta {
	case Answered:
		return "answered"
	case Refused:
		return "refused"
	default:
		return "failed"
	}
}

// Answer describes how a request ended.
type Answer struct {
	Status Status
	// Upstream is the name of the upstream that ran the request. Empty: not known.
	Upstream string
	// Kind is the name of the error kind. Empty: no error.
	Kind string
}

// Caller is a source of requests.
type Caller struct {
	Name string
	// Weight is the caller's share of the arrivals, relative to the weights of the other callers.
	Weight float64
	// BundleFraction is the fraction of its requests, from 0 to 1, that are bundles.
	BundleFraction float64
}

// Config configures a run.
type Config struct {
	// Name is the name of the run in results. Empty: load.
	Name string
	// Seed seeds the random arrivals, keys and callers.
	Seed uint64
	// Duration is the duration of the arrivals.
	Duration time.Duration
	Schedule Schedule
	Keys     KeysConfig
	// Callers are the sources of the requests. Empty: one caller.
	Callers []Caller
	// Deadline is the time that each caller waits for its answer. 0: 5 s.
	Deadline time.Duration
	// MaxInFlight bounds the requests in flight to protect the machine. Requests beyond it are not sent but counted as
	// dropped. A run with dropped requests is not open-loop. 0: 100,000.
	MaxInFlight int
	// Interval is the width of the intervals of the time series. 0: 100 ms.
	Interval time.Duration
	// Send sends one request and returns how it ended. Calls are concurrent. The context ends at the deadline of the request.
	Send func(ctx context.Context, req Request) Answer
}

// withDefaults returns the configuration with defaults for unset fields.
func (cfg Config) withDefaults() Config {
	if cfg.Name == "" {
		cfg.Name = "load"
	}
	if cfg.Deadline <= 0 {
		cfg.Deadline = 5 * time.Second
	}
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = 100_000
	}
	if cfg.Interval <= 0 {
		cfg.Interval = 100 * time.Millisecond
	}
	if len(cfg.Callers) == 0 {
		cfg.Callers = []Caller{
			{
				Name:   "caller",
				Weight: 1,
			},
		}
	}
	return cfg
}

// Run sends the load and returns when all requests have ended. Each request has its own goroutine, which ends at the
// deadline of the request at the latest if Send respects its context. If ctx ends early, Run returns the result so far and
// the error of ctx. It returns an error and no result if Send, the rate or the duration is missing.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	cfg = cfg.withDefaults()
	if cfg.Send == nil || cfg.Schedule.Rate <= 0 || cfg.Duration <= 0 {
		return nil, fmt.Errorf("load %s: Send must be set, and the rate (%v) and the duration (%v) must be positive", cfg.Name, cfg.Schedule.Rate, cfg.Duration)
	}
	ran := rand.New(rand.NewPCG(cfg.Seed, 3))
	src := newKeySource(cfg.Keys, ran)
	res := newResult(cfg)
	permits := make(chan struct{}, cfg.MaxInFlight)
	start := time.Now()
	var group sync.WaitGroup
	number := 0
	for arrival := cfg.Schedule.next(ran, 0); arrival < cfg.Duration && ctx.Err() == nil; arrival = cfg.Schedule.next(ran, arrival) {
		cal := drawCaller(ran, cfg.Callers)
		req := Request{
			Number: number,
			Key:    src.draw(arrival),
			Caller: cal.Name,
			Bundle: ran.Float64() < cal.BundleFraction,
		}
		number++
		waitUntil(ctx, start.Add(arrival))
		select {
		case permits <- struct{}{}:
		default:
			res.drop(arrival)
			continue
		}
		req.Deadline = start.Add(arrival + cfg.Deadline)
		group.Go(func() {
			sendAndRecord(ctx, cfg, res, req, start, arrival)
			<-permits
		})
	}
	group.Wait()
	return res, ctx.Err()
}

// sendAndRecord sends a request and records its end. The latency is measured from the scheduled arrival.
func sendAndRecord(ctx context.Context, cfg Config, res *Result, req Request, start time.Time, arrival time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	ans := cfg.Send(ctx, req)
	res.record(req, ans, arrival, time.Since(start)-arrival)
}

// drawCaller draws a caller with a probability proportional to its weight.
func drawCaller(ran *rand.Rand, callers []Caller) Caller {
	totalWeight := 0.0
	for _, cal := range callers {
		totalWeight += cal.Weight
	}
	remaining := ran.Float64() * totalWeight
	for _, cal := range callers {
		remaining -= cal.Weight
		if remaining < 0 {
			return cal
		}
	}
	return callers[len(callers)-1]
}

// waitUntil waits until a time or until ctx ends.
func waitUntil(ctx context.Context, until time.Time) {
	remaining := time.Until(until)
	if remaining <= 0 {
		return
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

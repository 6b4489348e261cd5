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
	// Key is empty for a load without keys.
	Key    string
	Caller string
	Bundle bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Status is how a request ended for its caller.
type Status uint8

// The statuses.
const (
	// Answered requests got a complete answer.
	Answered Status = iota
	// Refused requests got an error that says that they did not run.
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

// Answer is what came of a request.
type Answer struct {
	Status Status
	// Upstream ran the request; empty if it is not known.
	Upstream string
	// Kind is the name of the error kind, empty for an answer.
	Kind string
}

// Caller is a source of requests.
type Caller struct {
	Name string
	// Weight is the part of the arrivals, relative to the other callers.
	Weight float64
	// Bundles is the part of its requests that are bundles.
	Bundles float64
}

// Config configures a run.
type Config struct {
	// Name of the run in results.
	Name string
	// Seed makes arrivals, keys and callers repeatable.
	Seed uint64
	// Duration of the arrivals.
	Duration time.Duration
	Schedule Schedule
	Keys     KeysConfig
	// Callers send the requests. Unset: one caller.
	Callers []Caller
	// Deadline is the time that each caller waits. 0: 5 s.
	Deadline time.Duration
	// MaxInFlight bounds the requests in flight to protect the machine; requests beyond it are counted as dropped by the
	// generator, and a run with drops is not open-loop. 0: 100,000.
	MaxInFlight int
	// Slice is the width of the time series. 0: 100 ms.
	Slice time.Duration
	// Send sends one request and returns what came of it.
	Send func(ctx context.Context, req Request) Answer
}

// withDefaults returns the configuration with its defaults.
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
	if cfg.Slice <= 0 {
		cfg.Slice = 100 * time.Millisecond
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

// Run sends the load and returns when every request has ended. Each request has a goroutine of its own that ends at its
// deadline at the latest, if Send honours its context.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	cfg = cfg.withDefaults()
	if cfg.Send == nil || cfg.Schedule.Rate <= 0 || cfg.Duration <= 0 {
		return nil, fmt.Errorf("load %s: a sender, a rate (%v) and a duration (%v) are needed", cfg.Name, cfg.Schedule.Rate, cfg.Duration)
	}
	ran := rand.New(rand.NewPCG(cfg.Seed, 3))
	src := newKeys(cfg.Keys, ran)
	res := newResult(cfg)
	room := make(chan struct{}, cfg.MaxInFlight)
	start := time.Now()
	var group sync.WaitGroup
	number := 0
	for at := cfg.Schedule.next(ran, 0); at < cfg.Duration && ctx.Err() == nil; at = cfg.Schedule.next(ran, at) {
		cal := drawCaller(ran, cfg.Callers)
		req := Request{
			Number: number,
			Key:    src.draw(at),
			Caller: cal.Name,
			Bundle: ran.Float64() < cal.Bundles,
		}
		number++
		waitUntil(ctx, start.Add(at))
		select {
		case room <- struct{}{}:
		default:
			res.drop(at)
			continue
		}
		req.Deadline = start.Add(at + cfg.Deadline)
		group.Go(func() {
			sendOne(ctx, cfg, res, req, start, at)
			<-room
		})
	}
	group.Wait()
	return res, ctx.Err()
}

// sendOne sends a request and records its end. The latency counts from the scheduled arrival.
func sendOne(ctx context.Context, cfg Config, res *Result, req Request, start time.Time, at time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	ans := cfg.Send(ctx, req)
	res.record(req, ans, at, time.Since(start)-at)
}

// drawCaller returns a caller by weight.
func drawCaller(ran *rand.Rand, callers []Caller) Caller {
	sum := 0.0
	for _, cal := range callers {
		sum += cal.Weight
	}
	left := ran.Float64() * sum
	for _, cal := range callers {
		left -= cal.Weight
		if left < 0 {
			return cal
		}
	}
	return callers[len(callers)-1]
}

// waitUntil returns at a time or when ctx ends.
func waitUntil(ctx context.Context, until time.Time) {
	left := time.Until(until)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

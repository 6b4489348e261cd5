// Package fpworker is a stand-in for an upstream of HTTP routes. It runs requests on a few places, holds ranges of keys,
// announces itself to control VMs, and misbehaves on demand.
package fpworker

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// Fault is what a worker does wrong with one request.
type Fault uint8

// The faults.
const (
	None Fault = iota
	// Reset runs the request and breaks the connection without an answer.
	Reset
	// Truncate runs the request and breaks off in the body of the answer.
	Truncate
	// OtherAttempt answers with the id of another attempt.
	OtherAttempt
	// Unsigned answers without a signature.
	Unsigned
	// Shed refuses the request as not run.
	Shed
	// Fail runs the request and answers with a signed failure.
	Fail
	// Silent runs the request and never answers.
	Silent
)

// Config configures a Worker.
type Config struct {
	Upstream *fpstate.Upstream
	// Keyed states that requests run only while their key is held.
	Keyed bool
	// Work is the time of a request.
	Work time.Duration
	// Queue is the number of requests that may wait for a place.
	Queue int
	// Fault chooses what goes wrong with the request of an attempt; nil: nothing.
	Fault func(attempt string) Fault
	// Body is the body of answers. Nil: the id of the attempt, many times.
	Body []byte
}

// Answer returns the body of the answer to an attempt of a worker without a body of its own.
func Answer(attempt string) []byte {
	const times = 200 // more than one packet
	return bytes.Repeat([]byte(attempt), times)
}

// Run is one run of a request.
type Run struct {
	Attempt string
	Worker  string
	Key     uint32
	Keyed   bool
	Began   time.Time
}

// Worker is a stand-in upstream. Use New to create one.
type Worker struct {
	cfg    Config
	places chan struct{}

	mutex    sync.Mutex
	runs     []Run
	arrivals int
	waiting  int
	holdings []holding
	sequence uint64
	server   *http.Server
}

// holding is a range of keys that the worker holds.
type holding struct {
	first, last uint32
	fence       uint64
	until       time.Time
}

// New returns a worker that does not listen yet.
func New(cfg Config) *Worker {
	return &Worker{
		cfg:    cfg,
		places: make(chan struct{}, max(1, int(cfg.Upstream.GetConcurrency()))),
	}
}

// Upstream returns the description of the worker.
func (wor *Worker) Upstream() *fpstate.Upstream { return wor.cfg.Upstream }

// Listen begins to serve on loopback, on a free port if the upstream has no address yet.
func (wor *Worker) Listen() error {
	address := wor.cfg.Upstream.GetAddress()
	if address == "" {
		address = "127.0.0.1:0"
	}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return fperror.Wrap(fperror.Internal, err, "listen for a stand-in")
	}
	wor.cfg.Upstream.Address = lis.Addr().String()
	wor.server = &http.Server{
		Handler:           wor,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = wor.server.Serve(lis) }() // it ends with Close
	return nil
}

// Close ends the worker at once and breaks all connections.
func (wor *Worker) Close() {
	_ = wor.server.Close() // a crash reports nothing
}

// Runs returns the requests that have begun to run.
func (wor *Worker) Runs() []Run {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	return append([]Run(nil), wor.runs...)
}

// Running returns the number of requests that run now.
func (wor *Worker) Running() int { return len(wor.places) }

// Arrivals returns the number of requests that have arrived, run or not.
func (wor *Worker) Arrivals() int {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	return wor.arrivals
}

// ServeHTTP takes an order or a request.
func (wor *Worker) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if ord, ok := platform.DecodeOrder(req); ok {
		wor.obey(wri, ord)
		return
	}
	info := platform.DecodeRequest(req.Header)
	wor.mutex.Lock()
	wor.arrivals++
	wor.mutex.Unlock()
	if target := platform.DecodeTarget(req.Header); target != "" && target != wor.cfg.Upstream.GetId() || !wor.holds(info) {
		wor.refuse(wri, info, http.StatusMisdirectedRequest)
		return
	}
	fault := None
	if wor.cfg.Fault != nil {
		fault = wor.cfg.Fault(info.Attempt)
	}
	if fault == Shed || !wor.enter(req.Context()) {
		wor.refuse(wri, info, http.StatusServiceUnavailable)
		return
	}
	defer wor.leave()
	wor.run(wri, req, info, fault)
}

// holds reports whether the worker may run a request.
func (wor *Worker) holds(info platform.Request) bool {
	if !wor.cfg.Keyed {
		return true
	}
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	now := time.Now()
	for _, one := range wor.holdings {
		if one.first <= info.Key && info.Key <= one.last && now.Before(one.until) {
			return true
		}
	}
	return false
}

// obey carries out a grant or a release.
func (wor *Worker) obey(wri http.ResponseWriter, ord platform.Order) {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	var kept []holding
	for _, one := range wor.holdings {
		if one.last < ord.Range.GetFirst() || one.first > ord.Range.GetLast() {
			kept = append(kept, one)
			continue
		}
		if !ord.Release && one.fence > ord.Range.GetFence() {
			wri.WriteHeader(http.StatusConflict)
			return
		}
		if one.first < ord.Range.GetFirst() {
			part := one
			part.last = ord.Range.GetFirst() - 1
			kept = append(kept, part)
		}
		if one.last > ord.Range.GetLast() {
			part := one
			part.first = ord.Range.GetLast() + 1
			kept = append(kept, part)
		}
	}
	if ord.Release {
		platform.EncodeHandover(wri.Header(), "handover-of-"+wor.cfg.Upstream.GetId())
	} else {
		kept = append(kept, holding{
			first: ord.Range.GetFirst(),
			last:  ord.Range.GetLast(),
			fence: ord.Range.GetFence(),
			until: time.Now().Add(ord.Hold),
		})
	}
	wor.holdings = kept
	wri.WriteHeader(http.StatusOK)
}

// Hold makes the worker hold a range of keys that nobody has granted.
func (wor *Worker) Hold(first, last uint32, length time.Duration) {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	wor.holdings = append(wor.holdings, holding{
		first: first,
		last:  last,
		until: time.Now().Add(length),
	})
}

// Holding is a range of keys that the worker may serve now.
type Holding struct {
	First, Last uint32
	Fence       uint64
}

// Holdings returns the ranges of keys that the worker may serve now.
func (wor *Worker) Holdings() []Holding {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	var all []Holding
	now := time.Now()
	for _, one := range wor.holdings {
		if now.Before(one.until) {
			all = append(all, Holding{
				First: one.first,
				Last:  one.last,
				Fence: one.fence,
			})
		}
	}
	return all
}

// enter waits for a place and reports whether the request may run.
func (wor *Worker) enter(ctx context.Context) bool {
	select {
	case wor.places <- struct{}{}:
		return true
	default:
	}
	wor.mutex.Lock()
	if wor.waiting >= wor.cfg.Queue {
		wor.mutex.Unlock()
		return false
	}
	wor.waiting++
	wor.mutex.Unlock()
	defer func() {
		wor.mutex.Lock()
		wor.waiting--
		wor.mutex.Unlock()
	}()
	select {
	case wor.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (wor *Worker) leave() { <-wor.places }

// load returns the load as the worker reports it.
func (wor *Worker) load() platform.Load {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	return platform.Load{
		Running: len(wor.places),
		Waiting: wor.waiting,
		Slots:   cap(wor.places),
	}
}

// refuse answers that the request did not run.
func (wor *Worker) refuse(wri http.ResponseWriter, info platform.Request, status int) {
	platform.EncodeAnswer(wri.Header(), platform.Answer{
		Attempt: info.Attempt,
		NotRun:  true,
		Load:    wor.load(),
		HasLoad: true,
	})
	wri.WriteHeader(status)
}

// run runs a request and answers it.
func (wor *Worker) run(wri http.ResponseWriter, req *http.Request, info platform.Request, fault Fault) {
	wor.mutex.Lock()
	wor.runs = append(wor.runs, Run{
		Attempt: info.Attempt,
		Worker:  wor.cfg.Upstream.GetId(),
		Key:     info.Key,
		Keyed:   info.Keyed,
		Began:   time.Now(),
	})
	wor.mutex.Unlock()
	timer := time.NewTimer(wor.cfg.Work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-req.Context().Done():
		return
	}
	ans := platform.Answer{
		Attempt: info.Attempt,
		Signed:  fault != Unsigned,
		Load:    wor.load(),
		HasLoad: true,
	}
	switch fault {
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		<-req.Context().Done()
		return
	case OtherAttempt:
		ans.Attempt = "another"
	}
	platform.EncodeAnswer(wri.Header(), ans)
	body := wor.cfg.Body
	if body == nil {
		body = Answer(info.Attempt)
	}
	wri.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault == Fail {
		wri.Header().Set("Content-Length", "0")
		wri.WriteHeader(http.StatusInternalServerError)
		return
	}
	if fault == Truncate {
		body = body[:len(body)/2]
	}
	// A caller that has left gets no answer.
	_, _ = wri.Write(body)
	if fault == Truncate {
		panic(http.ErrAbortHandler)
	}
}

// Announce tells control VMs of the worker until ctx ends. Each call goes to the first of them that takes it.
func (wor *Worker) Announce(ctx context.Context, client *http.Client, controls []string, interval time.Duration) {
	ann := &platform.Announcer{
		Client: client,
	}
	for ctx.Err() == nil {
		wor.AnnounceOnce(ctx, ann, controls)
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// AnnounceOnce tells the first control VM of the worker that takes the call, and reports whether one did.
func (wor *Worker) AnnounceOnce(ctx context.Context, ann *platform.Announcer, controls []string) bool {
	wor.mutex.Lock()
	wor.sequence++
	sequence := wor.sequence
	ups := proto.CloneOf(wor.cfg.Upstream)
	wor.mutex.Unlock()
	for num := range controls {
		call, cancel := context.WithTimeout(ctx, time.Second)
		err := ann.Announce(call, controls[(int(sequence)+num)%len(controls)], ups, sequence)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// Leave makes the next announcements say that the worker leaves.
func (wor *Worker) Leave() {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	wor.cfg.Upstream.Leaving = true
}

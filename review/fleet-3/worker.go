package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a request that a worker began to work on.
type Run struct {
	Attempt, Worker string
	At              time.Time
}

// Worker is a stand-in worker.
type Worker struct {
	ID, Service, Zone string
	Slots             int
	Keyed             bool
	// Work is the time of one request.
	Work time.Duration
	// Answer replaces the usual answer. It is called in the request's turn, after the run was recorded.
	Answer func(wri http.ResponseWriter, req *http.Request)

	Address  string
	born     int64
	server   *http.Server
	fleet    *Fleet
	mutex    sync.Mutex
	runs     []Run
	sequence int
	holds    []hold
	slots    chan struct{}
	stop     chan struct{}
}

type hold struct {
	first, last int
	fence       int64
	until       time.Time
}

// Begin listens at the address, or a free one, and announces the worker twice a second.
func (wor *Worker) Begin(fle *Fleet) error {
	if wor.Address == "" {
		wor.Address = "127.0.0.1:0"
	}
	lis, err := net.Listen("tcp", wor.Address)
	if err != nil {
		return err
	}
	wor.Address = lis.Addr().String()
	wor.born = time.Now().UnixMilli()
	wor.fleet = fle
	wor.slots = make(chan struct{}, wor.Slots)
	wor.stop = make(chan struct{})
	wor.server = &http.Server{
		Handler:     wor,
		IdleTimeout: 10 * time.Second,
	}
	go func() { _ = wor.server.Serve(lis) }()
	go wor.announce()
	return nil
}

// Crash ends the worker at once.
func (wor *Worker) Crash() {
	close(wor.stop)
	_ = wor.server.Close()
}

func (wor *Worker) announce() {
	for num := 0; ; num++ {
		for try := range wor.fleet.Controls {
			if wor.Beat(wor.fleet.Controls[(num+try)%len(wor.fleet.Controls)].Control, "ready") {
				break
			}
		}
		select {
		case <-wor.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// Beat sends one heartbeat and reports whether it was acknowledged.
func (wor *Worker) Beat(address, state string) bool {
	wor.mutex.Lock()
	wor.sequence++
	seq := wor.sequence
	wor.mutex.Unlock()
	status, _ := Call(address, "instances.heartbeat", wor.ID, map[string]any{
		"service": wor.Service, "address": wor.Address, "zone": wor.Zone, "version": "v1", "slots": wor.Slots, "state": state,
		"cold_left": "0ms", "seq": seq, "born": wor.born,
	})
	return status/100 == 2
}

// Runs returns the requests that the worker began to work on.
func (wor *Worker) Runs() []Run {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	return append([]Run{}, wor.runs...)
}

// ServeHTTP implements http.Handler.
func (wor *Worker) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("Foxtailpulley-Attempt-Id")
	hea := wri.Header()
	if attempt != "" {
		hea.Set("Foxtailpulley-Attempt-Id", attempt)
	}
	if target := req.Header.Get("Foxtailpulley-Target-Instance"); target != "" && target != wor.ID {
		hea.Set("Foxtailpulley-Instance-Id", wor.ID)
		hea.Set("Foxtailpulley-Not-Executed", "1")
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/health":
		hea.Set("Foxtailpulley-Instance-Id", wor.ID)
		return
	case "/grant", "/release":
		wor.order(wri, req)
		return
	}
	if wor.Keyed {
		key, err := strconv.Atoi(req.Header.Get("Foxtailpulley-Shard-Key"))
		if err != nil || !wor.holdsKey(key) {
			hea.Set("Foxtailpulley-Not-Executed", "1")
			wri.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	select {
	case wor.slots <- struct{}{}:
	case <-req.Context().Done():
		return
	case <-time.After(300 * time.Millisecond):
		hea.Set("Foxtailpulley-Not-Executed", "1")
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-wor.slots }()
	wor.mutex.Lock()
	wor.runs = append(wor.runs, Run{
		Attempt: attempt,
		Worker:  wor.ID,
		At:      time.Now(),
	})
	wor.mutex.Unlock()
	hea.Set("Foxtailpulley-Response-Signature", "3e1b.07.5a2")
	hea.Set("Foxtailpulley-Server-Load", fmt.Sprintf("%d,0,%d", len(wor.slots), wor.Slots))
	if wor.Answer != nil {
		wor.Answer(wri, req)
		return
	}
	time.Sleep(wor.Work)
	body := strings.Repeat(attempt, 20)
	hea.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = wri.Write([]byte(body))
}

func (wor *Worker) holdsKey(key int) bool {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	for _, hol := range wor.holds {
		if hol.first <= key && key <= hol.last && time.Now().Before(hol.until) {
			return true
		}
	}
	return false
}

func (wor *Worker) order(wri http.ResponseWriter, req *http.Request) {
	var body struct {
		From     int    `json:"from"`
		Target   int    `json:"target"`
		Fence    int64  `json:"fence"`
		HoldTime string `json:"hold_time"`
	}
	if json.NewDecoder(req.Body).Decode(&body) != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	var kept []hold
	for _, hol := range wor.holds {
		if hol.last < body.From || hol.first > body.Target {
			kept = append(kept, hol)
			continue
		}
		if req.URL.Path == "/grant" && hol.fence > body.Fence {
			wri.WriteHeader(http.StatusConflict)
			return
		}
		if hol.first < body.From {
			part := hol
			part.last = body.From - 1
			kept = append(kept, part)
		}
		if hol.last > body.Target {
			part := hol
			part.first = body.Target + 1
			kept = append(kept, part)
		}
	}
	if req.URL.Path == "/release" {
		wor.holds = kept
		wri.Header().Set("Foxtailpulley-Handover", "5c0e7a21d94b36f8")
		return
	}
	length, _ := time.ParseDuration(body.HoldTime)
	wor.holds = append(kept, hold{
		first: body.From,
		last:  body.Target,
		fence: body.Fence,
		until: time.Now().Add(length),
	})
}

// Announce announces a worker whose address another listener serves, twice a second until Crash.
func (wor *Worker) Announce(fle *Fleet) {
	wor.born = time.Now().UnixMilli()
	wor.fleet = fle
	wor.stop = make(chan struct{})
	go wor.announce()
}

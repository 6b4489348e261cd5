package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// HeartbeatInterval is the interval of the platform's settings.
const HeartbeatInterval = 1500 * time.Millisecond

// Record collects what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	start time.Time
	mutex sync.Mutex
	out   io.Writer
}

// NewRecord returns a record that is written to out.
func NewRecord(out io.Writer) *Record {
	return &Record{
		start: time.Now(),
		out:   out,
	}
}

// Printf adds a line with the time since the start.
func (rec *Record) Printf(format string, args ...any) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	fmt.Fprintf(rec.out, "%9.3f s  %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

// Arrival is a request that reached a worker.
type Arrival struct {
	At      time.Time
	Attempt string
	Ran     bool
}

// Worker is a server as the platform's pages describe it. Set the fields before Start.
type Worker struct {
	ID, Service, Zone string
	// Address is where the worker listens; empty means a free port.
	Address string
	Slots   int
	// Work is how long a request runs.
	Work   func(req *http.Request) time.Duration
	Record *Record
	// Listen, if not nil, listens on the address in place of net.Listen.
	Listen func(address string) (net.Listener, error)
	// OnRequest, if not nil, answers a request in place of the worker's own handler.
	OnRequest func(wri http.ResponseWriter, req *http.Request)

	// Keys are the keys that the worker holds, if its service is divided by key.
	Keys Keys

	Born     int64
	sequence int
	server   *http.Server
	running  chan struct{}
	mutex    sync.Mutex
	waiting  int
	arrivals []Arrival
}

// Start listens and serves requests. It announces nothing.
func (wor *Worker) Start() error {
	if wor.Address == "" {
		wor.Address = must(FreeAddress())
	}
	if wor.Slots == 0 {
		wor.Slots = 4
	}
	wor.Born = time.Now().UnixMilli()
	wor.running = make(chan struct{}, wor.Slots)
	listen := wor.Listen
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	lis, err := listen(wor.Address)
	if err != nil {
		return err
	}
	wor.server = &http.Server{
		Handler:     wor,
		IdleTimeout: 10 * time.Second,
	}
	go func() { _ = wor.server.Serve(lis) }()
	return nil
}

// Exit ends the worker, with the requests at which it works.
func (wor *Worker) Exit() { _ = wor.server.Close() }

// Arrivals returns the requests that reached the worker.
func (wor *Worker) Arrivals() []Arrival {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	return append([]Arrival{}, wor.arrivals...)
}

func (wor *Worker) arrive(req *http.Request, ran bool) {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	wor.arrivals = append(wor.arrivals, Arrival{
		At:      time.Now(),
		Attempt: req.Header.Get("Foxtailpulley-Attempt-Id"),
		Ran:     ran,
	})
}

// ServeHTTP implements http.Handler.
func (wor *Worker) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	hea := wri.Header()
	hea.Set("Foxtailpulley-Instance-Id", wor.ID)
	if req.URL.Path == "/health" {
		return
	}
	attempt := req.Header.Get("Foxtailpulley-Attempt-Id")
	if attempt != "" {
		hea.Set("Foxtailpulley-Attempt-Id", attempt)
	}
	if target := req.Header.Get("Foxtailpulley-Target-Instance"); target != "" && target != wor.ID {
		hea.Set("Foxtailpulley-Not-Executed", "1")
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/grant" || req.URL.Path == "/release" {
		wor.serveOrder(wri, req)
		return
	}
	if attempt == "" {
		hea.Set("Foxtailpulley-Not-Executed", "1")
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	if !wor.holdsKeyOf(req) {
		hea.Set("Foxtailpulley-Not-Executed", "1")
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if wor.OnRequest != nil {
		wor.OnRequest(wri, req)
		return
	}
	wor.Serve(wri, req)
}

// Serve runs a request.
func (wor *Worker) Serve(wri http.ResponseWriter, req *http.Request) {
	hea := wri.Header()
	attempt := req.Header.Get("Foxtailpulley-Attempt-Id")
	left, err := strconv.Atoi(req.Header.Get("Foxtailpulley-Request-Deadline"))
	if err != nil {
		left = 30000
	}
	ctx, cancel := context.WithTimeout(req.Context(), time.Duration(left)*time.Millisecond)
	defer cancel()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	wor.mutex.Lock()
	full := wor.waiting >= 16
	if !full {
		wor.waiting++
	}
	wor.mutex.Unlock()
	if full {
		wor.arrive(req, false)
		hea.Set("Foxtailpulley-Not-Executed", "1")
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case wor.running <- struct{}{}:
	case <-ctx.Done():
		wor.mutex.Lock()
		wor.waiting--
		wor.mutex.Unlock()
		wor.arrive(req, false)
		hea.Set("Foxtailpulley-Not-Executed", "1")
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-wor.running }()
	wor.mutex.Lock()
	wor.waiting--
	load := fmt.Sprintf("%d,%d,%d", len(wor.running), wor.waiting, wor.Slots)
	wor.mutex.Unlock()
	wor.arrive(req, true)
	wor.Record.Printf("worker %s runs attempt %s: %s %s, %d bytes", wor.ID, attempt, req.Method, req.URL.RequestURI(), len(body))
	work := 50 * time.Millisecond
	if wor.Work != nil {
		work = wor.Work(req)
	}
	hea.Set("Foxtailpulley-Response-Signature", "sig."+wor.ID+"."+attempt)
	hea.Set("Foxtailpulley-Server-Load", load)
	select {
	case <-time.After(work):
		_, _ = io.WriteString(wri, Body(wor.ID, attempt))
	case <-ctx.Done():
		wri.WriteHeader(http.StatusGatewayTimeout)
	}
}

// Body returns the body of the answer to an attempt.
func Body(worker, attempt string) string {
	return "answer of " + worker + " to " + attempt + "\n" + strings.Repeat("x", 300)
}

// HeartbeatBody returns the body of the next heartbeat.
func (wor *Worker) HeartbeatBody(state string) []byte {
	wor.mutex.Lock()
	wor.sequence++
	seq := wor.sequence
	wor.mutex.Unlock()
	buf, err := json.Marshal(map[string]any{
		"service":   wor.Service,
		"address":   wor.Address,
		"zone":      wor.Zone,
		"version":   "v1",
		"slots":     wor.Slots,
		"state":     state,
		"cold_left": "0ms",
		"seq":       seq,
		"born":      wor.Born,
	})
	if err != nil {
		panic(err)
	}
	return buf
}

// DeregisterBody returns the body of the call with which the worker deregisters.
func (wor *Worker) DeregisterBody() []byte {
	return fmt.Appendf(nil, `{"born":%d}`, wor.Born)
}

// Announce sends heartbeats until ctx ends, to the next control VM after a failure. first is the index of the first one.
func (wor *Worker) Announce(ctx context.Context, addresses []string, first int) {
	at := first
	for ctx.Err() == nil {
		body := wor.HeartbeatBody("ready")
		for range addresses {
			status, _, err := Call(addresses[at%len(addresses)], "instances.heartbeat", wor.ID, body)
			if err == nil && status == http.StatusOK {
				break
			}
			at++
			body = wor.HeartbeatBody("ready")
		}
		select {
		case <-ctx.Done():
		case <-time.After(HeartbeatInterval):
		}
	}
}

// Configuration returns a configuration with the routes "once" and "safe", to a service each, and "keyed", to a service that is divided
// by key.
func Configuration(version int, timeout string) map[string]any {
	route := func(name, kind, service string, priority int) map[string]any {
		return map[string]any{
			"name":         "r-" + name,
			"hostname":     name + ".example",
			"path_prefix":  "/" + name + "/",
			"kind":         kind,
			"timeout":      timeout,
			"slo":          "400ms",
			"priority":     priority,
			"service":      service,
			"max_attempts": 2,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{
			"name":        name,
			"health_path": "/health",
			"max_conns":   130,
			"protocol":    "h1",
			"tls":         false,
		}
	}
	stock := service("stock")
	stock["sharded"], stock["warmup"], stock["grants"] = true, "5s", "invoke"
	return map[string]any{
		"version":  version,
		"routes":   []any{route("once", "unsafe", "charges", 1), route("safe", "safe", "lookups", 2), route("keyed", "safe", "stock", 2)},
		"services": []any{service("charges"), service("lookups"), stock},
		"limits": map[string]any{
			"max_header_bytes": 16384,
			"max_body_bytes":   67108864,
			"header_timeout":   "3000ms",
			"idle_timeout":     "15000ms",
		},
	}
}

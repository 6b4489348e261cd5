// Package fpupstream combines a stand-in with the fence of the published upstream contract into a complete upstream on
// loopback, for demos, tests and benchmarks.
package fpupstream

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpfence"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpstandin"
)

// Headers of requests, by which a caller controls the upstream, and of answers.
const (
	// CrashHeader makes the upstream crash while it runs the request.
	CrashHeader = "Standin-Crash"
	// SleepHeader adds a delay before a request runs; its value is a duration such as 200ms. Other values are ignored.
	SleepHeader = "Standin-Sleep"
	// NameHeader on an answer is the name of the upstream.
	NameHeader = "Standin-Name"
)

// contractPath is the prefix of the paths of UpstreamService.
const contractPath = "/foxtailpulley.upstream.v1."

// Config configures an Upstream.
type Config struct {
	// Fence describes the upstream to the router. Its address is set by Start.
	Fence fpfence.Config
	// Standin configures how requests run.
	Standin fpstandin.Config
	// IgnoresFence makes the upstream run every request, regardless of what it was granted.
	IgnoresFence bool
	// RunLog is the path of a file to which a Run is appended as a line of JSON at the start and at the end of each run.
	// Empty: no log.
	RunLog string
	// AnnounceAs is the address to announce instead of the one that the upstream serves at, for example that of a proxy.
	// Empty: its own address.
	AnnounceAs string
	// Crash is called when a request crashes the upstream, to end the process. Nil: only the listener and the connections
	// of the stand-in are closed.
	Crash func()
}

// Upstream is a complete upstream on loopback. Use New to create one.
type Upstream struct {
	cfg      Config
	standin  *fpstandin.Standin
	ready    chan struct{} // closed after fence and contract are set
	fence    *fpfence.Fence
	contract http.Handler
	cancel   context.CancelFunc
	done     <-chan error

	mutex  sync.Mutex
	runLog *os.File
}

// Run is one line of the run log.
type Run struct {
	Upstream string `json:"upstream"`
	// Event is start, end or RefusedEvent.
	Event  string `json:"event"`
	Method string `json:"method"`
	// Request is the idempotency key of the request, or the value of its Standin-Request header if it has no key.
	Request string `json:"request"`
	Slot    string `json:"slot"`
	Epoch   string `json:"epoch"`
	// At is the time in nanoseconds since the Unix epoch.
	At int64 `json:"at"`
}

// RefusedEvent is the event, instead of an end, of a request that was refused after its start was logged. It did not run.
const RefusedEvent = "refused"

// New returns an upstream that does not serve yet.
func New(cfg Config) *Upstream {
	ups := &Upstream{
		cfg:   cfg,
		ready: make(chan struct{}),
	}
	cfg.Standin.Wrap = ups.wrap
	ups.standin = fpstandin.New(cfg.Standin)
	return ups
}

// Start listens, serves and announces the upstream until Stop, or until ctx ends the announcements. It fails if it can't
// open the run log or can't listen.
func (ups *Upstream) Start(ctx context.Context) error {
	if ups.cfg.RunLog != "" {
		fil, err := os.OpenFile(ups.cfg.RunLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		ups.runLog = fil
	}
	if err := ups.standin.Start(ctx); err != nil {
		return err
	}
	ups.cfg.Fence.Address = cmp.Or(ups.cfg.AnnounceAs, ups.standin.Address())
	ups.cfg.Fence.Unchecked = ups.cfg.IgnoresFence
	ups.fence = fpfence.New(ups.cfg.Fence)
	_, ups.contract = ups.fence.Service()
	close(ups.ready)
	run, cancel := context.WithCancel(ctx)
	ups.cancel = cancel
	ups.done = ups.fence.Run(run)
	return nil
}

// Stop ends the announcements and closes the listener and all connections at once. Start must have succeeded.
func (ups *Upstream) Stop() {
	ups.cancel()
	<-ups.done
	ups.standin.Crash()
}

// Fence returns the fence. Nil before Start.
func (ups *Upstream) Fence() *fpfence.Fence { return ups.fence }

// Standin returns the stand-in.
func (ups *Upstream) Standin() *fpstandin.Standin { return ups.standin }

// Address returns the IP address and port, or an empty string before Start.
func (ups *Upstream) Address() string { return ups.standin.Address() }

// wrap returns a handler that routes calls of the contract to the fence, and requests through the fence and the run log to
// next. It blocks all of them until Start has created the fence.
func (ups *Upstream) wrap(next http.Handler) http.Handler {
	logged := ups.withRunLog(next)
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		<-ups.ready
		path := req.URL.Path
		switch {
		case strings.HasPrefix(path, contractPath):
			ups.contract.ServeHTTP(wri, req)
		case strings.HasPrefix(path, "/foxtailpulley/"):
			next.ServeHTTP(wri, req)
		case ups.cfg.IgnoresFence:
			logged.ServeHTTP(wri, req)
		default:
			ups.fence.Handler(logged).ServeHTTP(wri, req)
		}
	})
}

// withRunLog wraps a handler. It logs the start and the end of each request and applies CrashHeader and SleepHeader.
func (ups *Upstream) withRunLog(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		ups.writeRun(req, "start")
		defer func() {
			// A stand-in with a full queue refuses the request without running it.
			if wri.Header().Get(fpstandin.RefusedHeader) != "" {
				ups.writeRun(req, RefusedEvent)
				return
			}
			ups.writeRun(req, "end")
		}()
		if req.Header.Get(CrashHeader) != "" {
			ups.crash()
			return
		}
		if duration, err := time.ParseDuration(req.Header.Get(SleepHeader)); err == nil {
			wait(req.Context(), duration)
		}
		wri.Header().Set(NameHeader, ups.cfg.Fence.Name)
		next.ServeHTTP(wri, req)
	})
}

// crash calls Config.Crash. If that is nil or returns, it closes the stand-in and panics to break the connection.
func (ups *Upstream) crash() {
	if ups.cfg.Crash != nil {
		ups.cfg.Crash()
	}
	go ups.standin.Crash()
	panic(http.ErrAbortHandler)
}

// wait waits for a duration or until ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	tim := time.NewTimer(duration)
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-ctx.Done():
	}
}

// writeRun appends an event of a request to the run log, if there is one. It ignores errors.
func (ups *Upstream) writeRun(req *http.Request, event string) {
	if ups.runLog == nil {
		return
	}
	id := req.Header.Get("Idempotency-Key")
	if id == "" {
		id = req.Header.Get("Standin-Request")
	}
	line, err := json.Marshal(Run{
		Upstream: ups.cfg.Fence.Name,
		Event:    event,
		Method:   req.URL.Path,
		Request:  id,
		Slot:     req.Header.Get("Foxtailpulley-Slot"),
		Epoch:    req.Header.Get("Foxtailpulley-Epoch"),
		At:       time.Now().UnixNano(),
	})
	if err != nil {
		return
	}
	ups.mutex.Lock()
	defer ups.mutex.Unlock()
	_, _ = ups.runLog.Write(append(line, '\n'))
}

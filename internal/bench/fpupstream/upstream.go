// Package fpupstream joins a stand-in with the fence of the published contract to a whole upstream on loopback, for demos,
// tests and benchmarks.
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

// Headers by which a caller steers the upstream, and by which the upstream names itself.
const (
	// CrashHeader makes the upstream crash while it runs the request.
	CrashHeader = "Standin-Crash"
	// SleepHeader adds to the time of a request; its value is a duration such as 200ms.
	SleepHeader = "Standin-Sleep"
	// NameHeader names the upstream in its answers.
	NameHeader = "Standin-Name"
)

// contractPath is the path of UpstreamService.
const contractPath = "/foxtailpulley.upstream.v1."

// Config configures an Upstream.
type Config struct {
	// Fence describes the upstream to the router. Its address is set by Start.
	Fence fpfence.Config
	// Standin configures how requests run.
	Standin fpstandin.Config
	// IgnoresFence makes the upstream run every request, whatever it was granted.
	IgnoresFence bool
	// RunLog is a file to which a line of JSON is appended at the start and the end of each run. Empty: none.
	RunLog string
	// AnnounceAs is the address that is announced instead of the own one, for example that of a proxy.
	AnnounceAs string
	// Crash ends the process. Nil: only the listener and the connections of the stand-in are closed.
	Crash func()
}

// Upstream is a whole upstream on loopback. Use New to create one.
type Upstream struct {
	cfg      Config
	standin  *fpstandin.Standin
	ready    chan struct{} // closed when fence and contract are set
	fence    *fpfence.Fence
	contract http.Handler
	cancel   context.CancelFunc
	done     <-chan error

	mutex sync.Mutex
	log   *os.File
}

// Run is one line of the log of runs.
type Run struct {
	Upstream string `json:"upstream"`
	Event    string `json:"event"`
	Method   string `json:"method"`
	// Request is the idempotency key of the request, or its value of the header Standin-Request.
	Request string `json:"request"`
	Slot    string `json:"slot"`
	Epoch   string `json:"epoch"`
	// At is in nanoseconds since 1970.
	At int64 `json:"at"`
}

// RefusedEvent is the event of a request that was refused after its start was logged, and so did not run.
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

// Start listens, serves and announces the upstream until Stop.
func (ups *Upstream) Start(ctx context.Context) error {
	if ups.cfg.RunLog != "" {
		fil, err := os.OpenFile(ups.cfg.RunLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		ups.log = fil
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

// Stop ends the announcements and closes the listener and all connections at once.
func (ups *Upstream) Stop() {
	ups.cancel()
	<-ups.done
	ups.standin.Crash()
}

// Fence returns the fence.
func (ups *Upstream) Fence() *fpfence.Fence { return ups.fence }

// Standin returns the stand-in.
func (ups *Upstream) Standin() *fpstandin.Standin { return ups.standin }

// Address returns the IP number and port.
func (ups *Upstream) Address() string { return ups.standin.Address() }

// wrap puts the fence and the log of runs before the handler of requests.
func (ups *Upstream) wrap(next http.Handler) http.Handler {
	logged := ups.logged(next)
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

// logged runs a request and writes its start and its end to the log.
func (ups *Upstream) logged(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		ups.write(req, "start")
		defer func() {
			// A stand-in refuses a request that finds no place in its queue, which proves that it did not run.
			if wri.Header().Get(fpstandin.RefusedHeader) != "" {
				ups.write(req, RefusedEvent)
				return
			}
			ups.write(req, "end")
		}()
		if req.Header.Get(CrashHeader) != "" {
			ups.crash()
			return
		}
		if span, err := time.ParseDuration(req.Header.Get(SleepHeader)); err == nil {
			pause(req.Context(), span)
		}
		wri.Header().Set(NameHeader, ups.cfg.Fence.Name)
		next.ServeHTTP(wri, req)
	})
}

func (ups *Upstream) crash() {
	if ups.cfg.Crash != nil {
		ups.cfg.Crash()
	}
	go ups.standin.Crash()
	panic(http.ErrAbortHandler)
}

func pause(ctx context.Context, span time.Duration) {
	tim := time.NewTimer(span)
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-ctx.Done():
	}
}

func (ups *Upstream) write(req *http.Request, event string) {
	if ups.log == nil {
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
	_, _ = ups.log.Write(append(line, '\n'))
}

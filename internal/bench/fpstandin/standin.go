package fpstandin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// Config configures a Standin.
type Config struct {
	// Address is the loopback address and port. Empty: 127.0.0.1 and a free port.
	Address string
	// Worker configures how requests run.
	Worker WorkerConfig
	// MaxConnections is the number of connections that may be open; more are closed at once. 0: no limit.
	MaxConnections int
	// AcceptDelay is the time that the stand-in takes to accept a connection. It accepts one at a time.
	AcceptDelay time.Duration
	// PushBack is sent with each refusal in PushBackHeader. 0: not sent.
	PushBack time.Duration
	// BundleBytes is the length of the answer to a bundle. 0: 1 MiB.
	BundleBytes int64
	// CrashOn makes the stand-in crash when it runs a request with this ID; see Identity. Empty: no crash.
	CrashOn string
	// RestartAfter is the time from such a crash to the restart. 0: no restart.
	RestartAfter time.Duration
	// CheckFence returns an error for a request to refuse because it is outside the grant of the upstream. Nil: no check.
	CheckFence func(*http.Request) error
	// Wrap returns the handler of all requests, which calls the given one; it can add a check of fences. Nil: no wrapper.
	Wrap func(http.Handler) http.Handler
}

// Standin is an upstream on loopback. It answers calls to any path of the form /package.Service/Method, the health and load
// endpoints, and the paths that are added to its Mux. It is safe for concurrent use. Use New to create one.
type Standin struct {
	cfg    Config
	worker *Worker
	mux    *http.ServeMux

	mut                sync.Mutex
	address            string
	server             *http.Server
	done               chan error
	incarnation        uint64
	thawed             chan struct{} // closed unless frozen
	frozen             bool
	draining           bool
	leaving            string // value of LeavingHeader in all answers, or empty
	unhealthy          bool
	connections        int
	refusedConnections int // connections closed beyond MaxConnections
	crashes            int
}

// New returns a stand-in that does not serve yet.
func New(cfg Config) *Standin {
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	if cfg.BundleBytes <= 0 {
		cfg.BundleBytes = 1 << 20
	}
	sta := &Standin{
		cfg:    cfg,
		worker: NewWorker(cfg.Worker),
		mux:    http.NewServeMux(),
		thawed: make(chan struct{}),
	}
	close(sta.thawed)
	sta.registerHandlers()
	return sta
}

// Start listens and serves until Stop or Crash; ctx applies to the start only. It fails if the stand-in runs already or
// can't listen.
func (sta *Standin) Start(ctx context.Context) error {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	if sta.server != nil {
		return errors.New("the stand-in is already running")
	}
	address := sta.address // a restart uses the port of the first start
	if address == "" {
		address = sta.cfg.Address
	}
	lis, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fperror.Wrap(fperror.ConnectFailed, err, "listen on %s", address)
	}
	sta.address = lis.Addr().String()
	sta.incarnation = uint64(time.Now().UnixNano())
	sta.worker.Restart(sta.cfg.Worker.ColdRequests)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:   sta.holdWhileFrozen(sta.wrappedHandler()),
		Protocols: protocols,
	}
	sta.server = server
	sta.done = make(chan error, 1)
	go func(done chan<- error) {
		done <- server.Serve(&listener{
			Listener: lis,
			standin:  sta,
		})
	}(sta.done)
	return nil
}

// Stop closes the listener and waits for the requests in flight. If ctx ends first, it closes their connections and returns
// the error of ctx. It does nothing if the stand-in is not running.
func (sta *Standin) Stop(ctx context.Context) error {
	server, done := sta.detach()
	if server == nil {
		return nil
	}
	err := server.Shutdown(ctx)
	if err != nil {
		server.Close()
	}
	<-done
	return err
}

// Crash closes the listener and all connections at once, as if the process had exited. It does nothing if the stand-in is
// not running.
func (sta *Standin) Crash() {
	server, done := sta.detach()
	if server == nil {
		return
	}
	sta.mut.Lock()
	sta.crashes++
	sta.mut.Unlock()
	server.Close()
	<-done
}

// wrappedHandler returns the handler of all requests, with Config.Wrap applied.
func (sta *Standin) wrappedHandler() http.Handler {
	if sta.cfg.Wrap == nil {
		return sta.mux
	}
	return sta.cfg.Wrap(sta.mux)
}

// detach marks the stand-in as stopped. It returns the server and the channel of its result, or nil if it is not running.
func (sta *Standin) detach() (*http.Server, <-chan error) {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	server, done := sta.server, sta.done
	sta.server = nil
	return server, done
}

// Freeze holds back all answers, also those of the health and load endpoints, while connections stay open.
func (sta *Standin) Freeze() {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	if !sta.frozen {
		sta.frozen = true
		sta.thawed = make(chan struct{})
	}
}

// Thaw ends Freeze. The requests held back continue where they stopped.
func (sta *Standin) Thaw() {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	if sta.frozen {
		sta.frozen = false
		close(sta.thawed)
	}
}

// holdWhileFrozen wraps a handler and holds requests back before they run while the stand-in is frozen.
func (sta *Standin) holdWhileFrozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
		if sta.waitThawed(req.Context()) {
			next.ServeHTTP(out, req)
		}
	})
}

// waitThawed waits while the stand-in is frozen. It returns false if ctx ended first.
func (sta *Standin) waitThawed(ctx context.Context) bool {
	sta.mut.Lock()
	thawed := sta.thawed
	sta.mut.Unlock()
	select {
	case <-thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

// SetDraining makes the stand-in refuse requests with the reason draining, or ends this.
func (sta *Standin) SetDraining(draining bool) {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.draining = draining
}

// SayLeaving sets the value of LeavingHeader in all later answers; an empty one ends that. Requests are served anyway.
func (sta *Standin) SayLeaving(value string) {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.leaving = value
}

// SetUnhealthy makes the health endpoint report that the upstream is not ready, or ends this. Requests are served anyway.
func (sta *Standin) SetUnhealthy(unhealthy bool) {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.unhealthy = unhealthy
}

// Worker returns the model that runs the requests.
func (sta *Standin) Worker() *Worker { return sta.worker }

// Mux returns the handlers. Others can be added before Start.
func (sta *Standin) Mux() *http.ServeMux { return sta.mux }

// Address returns the IP address and port, or an empty string before the first Start. A restart keeps the address.
func (sta *Standin) Address() string {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	return sta.address
}

// Incarnation returns a number that increases with every start. 0: never started.
func (sta *Standin) Incarnation() uint64 {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	return sta.incarnation
}

// Crashes returns the number of crashes since New.
func (sta *Standin) Crashes() int {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	return sta.crashes
}

// RefusedConnections returns the number of connections that were closed because MaxConnections were open.
func (sta *Standin) RefusedConnections() int {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	return sta.refusedConnections
}

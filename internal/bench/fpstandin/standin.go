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
	// Address is the loopback address and port. Unset: 127.0.0.1 and a free port.
	Address string
	// Worker configures how requests run.
	Worker WorkerConfig
	// Connections is the number of connections that are accepted; more are closed at once. 0: no bound.
	Connections int
	// ConnectCost is the time that the stand-in needs to accept a connection, one after the other.
	ConnectCost time.Duration
	// PushBack is sent with a refusal in the Grpc-Retry-Pushback-Ms header if it is not 0.
	PushBack time.Duration
	// BundleBytes is the length of the answer to a bundle. 0: 1 MiB.
	BundleBytes int64
	// CrashOn makes the stand-in crash when it runs a request whose identity equals it.
	CrashOn string
	// RestartAfter is the time from such a crash to the restart. 0: no restart.
	RestartAfter time.Duration
	// CheckFence refuses requests outside the grant of the upstream. Unset: no check.
	CheckFence func(*http.Request) error
	// Wrap adds to the handler of all requests, for example the check of fences. Unset: nothing is added.
	Wrap func(http.Handler) http.Handler
}

// Standin is an upstream on loopback. It answers any path of the form /package.Service/Method, the health and load
// endpoints, and what is added to its Mux.
type Standin struct {
	cfg    Config
	worker *Worker
	mux    *http.ServeMux

	mut         sync.Mutex
	address     string
	server      *http.Server
	done        chan error
	incarnation uint64
	thawed      chan struct{} // closed unless frozen
	frozen      bool
	draining    bool
	unhealthy   bool
	connections int
	refused     int // connections closed beyond the bound
	crashes     int
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
	sta.routes()
	return sta
}

// Start listens and serves until Stop or Crash.
func (sta *Standin) Start(ctx context.Context) error {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	if sta.server != nil {
		return errors.New("stand-in already runs")
	}
	address := sta.address // a restart keeps the port
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
		Handler:   sta.gate(sta.wrapped()),
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

// Stop closes the listener and waits for the requests in flight until ctx ends.
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

// Crash closes the listener and all connections at once, as the death of the process would.
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

// wrapped returns the handler of all requests.
func (sta *Standin) wrapped() http.Handler {
	if sta.cfg.Wrap == nil {
		return sta.mux
	}
	return sta.cfg.Wrap(sta.mux)
}

// detach returns the server that runs and marks the stand-in as stopped.
func (sta *Standin) detach() (*http.Server, <-chan error) {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	server, done := sta.server, sta.done
	sta.server = nil
	return server, done
}

// Freeze stops all answers, those of the endpoints included, while connections stay open.
func (sta *Standin) Freeze() {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	if !sta.frozen {
		sta.frozen = true
		sta.thawed = make(chan struct{})
	}
}

// Thaw ends Freeze; the requests held go on as if no time had passed.
func (sta *Standin) Thaw() {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	if sta.frozen {
		sta.frozen = false
		close(sta.thawed)
	}
}

// gate holds requests while the stand-in is frozen, before they run and before their answer is sent.
func (sta *Standin) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
		if sta.waitThawed(req.Context()) {
			next.ServeHTTP(out, req)
		}
	})
}

// waitThawed returns true when the stand-in is not frozen, or false when ctx ended first.
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

// SetDraining makes the stand-in refuse requests as draining.
func (sta *Standin) SetDraining(draining bool) {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.draining = draining
}

// SetUnhealthy makes the health endpoint report an upstream that is not ready, while requests are still served.
func (sta *Standin) SetUnhealthy(unhealthy bool) {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.unhealthy = unhealthy
}

// Worker returns the model that runs the requests.
func (sta *Standin) Worker() *Worker { return sta.worker }

// Mux returns the handlers, to which others can be added before Start.
func (sta *Standin) Mux() *http.ServeMux { return sta.mux }

// Address returns the IP address and port, which are known after the first Start and kept by a restart.
func (sta *Standin) Address() string {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	return sta.address
}

// Incarnation returns a number that grows with every start.
func (sta *Standin) Incarnation() uint64 {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	return sta.incarnation
}

// Crashes returns the number of crashes.
func (sta *Standin) Crashes() int {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	return sta.crashes
}

// RefusedConnections returns the number of connections that were closed because there were too many.
func (sta *Standin) RefusedConnections() int {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	return sta.refused
}

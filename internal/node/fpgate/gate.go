// Package fpgate runs an entry VM of a deployment with HTTP routes: it follows the replicated state of the control VMs and
// serves the HTTP connections of callers.
package fpgate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpforward"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// trimInterval is the time between closing idle connections to upstreams.
	trimInterval = 2 * time.Second
	// stopMargin is the part of the stop time that is reserved for the end of the process.
	stopMargin = 700 * time.Millisecond
	// answerMargin is the time before the end of the stop at which the requests in flight are answered, so that the answers are
	// written.
	answerMargin = 200 * time.Millisecond
	// idleCloseDelay is how long after the stop signal idle connections of callers are kept open. The platform takes the VM
	// out of rotation within 2 s, and a caller that keeps a connection is asked to leave it with the next answer.
	idleCloseDelay = 3 * time.Second
	// defaultIdleTimeout and defaultHeaderTimeout apply until a configuration sets other values.
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
)

// Gate is an entry VM. Use New to create one.
type Gate struct {
	set       *fpgateway.Settings
	log       *zap.Logger
	forwarder *fpforward.Forwarder
	watcher   *watcher
	stopping  atomic.Bool
	servers   *servers
	// relay serves the requests that other entry VMs cannot send themselves.
	relay *servers
	// refusedHeaders counts the requests whose header was larger than the limit.
	refusedHeaders atomic.Int64
}

// New returns the entry VM with the given settings.
func New(set *fpgateway.Settings, log *zap.Logger) *Gate { return newGate(set, log, nil) }

// newGate is New with the function that opens connections to upstreams; nil stands for fpconn.Dial.
func newGate(set *fpgateway.Settings, log *zap.Logger, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Gate {
	gat := &Gate{
		set: set,
		log: log,
		forwarder: fpforward.New(fpforward.Config{
			VM:          set.VM(),
			DataCentre:  set.DataCentre(),
			Region:      set.Region,
			Promises:    set.Promises(),
			LinkRate:    set.LinkRate(),
			MemoryLimit: set.MemoryLimit(),

			SharedPlaces: set.SharedPlaces(),

			Dial: dial,
			Log:  log,
		}),
	}
	gat.watcher = newWatcher(set, log, gat.forwarder)
	return gat
}

// Forwarder returns the handler of callers' requests.
func (gat *Gate) Forwarder() *fpforward.Forwarder { return gat.forwarder }

// WriteMetrics writes all metrics as lines with a name and a value. Errors of the writer are ignored.
func (gat *Gate) WriteMetrics(out io.Writer) {
	gat.forwarder.WriteMetrics(out)
	fmt.Fprintf(out, "refusedHeaders %d\n", gat.refusedHeaders.Load())
}

// SetSeeds replaces the seed addresses, by which control VMs are found.
func (gat *Gate) SetSeeds(seeds []string) { gat.watcher.setSeeds(seeds) }

// Run serves until ctx ends, then finishes the requests in flight. done receives the error that ended it, or nil, and is
// closed.
func (gat *Gate) Run(ctx context.Context) (done <-chan error) {
	result := make(chan error, 1)
	go func() {
		defer close(result)
		result <- gat.run(ctx)
	}()
	return result
}

func (gat *Gate) run(ctx context.Context) error {
	callers, err := net.Listen("tcp", gat.set.Callers())
	if err != nil {
		return fperror.Wrap(fperror.InvalidSettings, err, "listen for callers")
	}
	ready, err := net.Listen("tcp", gat.set.Ready())
	if err != nil {
		return fperror.Wrap(fperror.InvalidSettings, err, "listen for readiness checks")
	}
	relay, err := net.Listen("tcp", gat.set.Relay())
	if err != nil {
		return fperror.Wrap(fperror.InvalidSettings, err, "listen for relayed requests")
	}
	gat.watcher.entry = &fpstate.EntryVM{
		Vm:         gat.set.VM(),
		Address:    reachableAddress(relay.Addr()),
		DataCentre: gat.set.DataCentre(),
		Region:     gat.set.Region(gat.set.DataCentre()),
	}
	gat.relay = newServers(relay, http.HandlerFunc(gat.serveRelayed))
	gat.relay.setLimits(relayLimits(nil))
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	mux := http.NewServeMux()
	mux.HandleFunc("/", gat.serveReady)
	readiness := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
	}
	gat.servers = newServers(callers, gat.forwarder)
	gat.servers.readBuffer = gat.forwarder.CallerReadBuffer()
	gat.servers.beginPipelined = gat.forwarder.BeginPipelined
	gat.servers.onRefusedHeader = func() { gat.refusedHeaders.Add(1) }
	gat.watcher.configured = func(cfg *fpstate.Configuration) {
		gat.servers.setLimits(cfg.GetLimits())
		gat.relay.setLimits(relayLimits(cfg.GetLimits()))
	}
	failed := make(chan error, 3)
	go func() { failed <- readiness.Serve(ready) }()
	go func() { failed <- gat.servers.serve() }()
	go func() { failed <- gat.relay.serve() }()
	var wgr sync.WaitGroup
	for _, task := range []func(context.Context){gat.watcher.watch, gat.watcher.report, gat.trim} {
		wgr.Go(func() { task(runCtx) })
	}
	select {
	case err = <-failed:
	case <-ctx.Done():
		gat.drain()
	}
	cancel()
	wgr.Wait()
	_ = readiness.Close() // readiness checks in flight need no answer any more
	_ = relay.Close()     // closed already unless a server has failed
	return err
}

// relayLimits returns the limits for requests of other entry VMs, with the limits of a configuration for callers. The other VM has
// bounded the header, perhaps by another configuration, and has added lines to it.
func relayLimits(lim *fpstate.Limits) *fpstate.Limits {
	return &fpstate.Limits{
		MaxHeaderBytes: max(http.DefaultMaxHeaderBytes, 2*lim.GetMaxHeaderBytes()),
	}
}

// reachableAddress returns the address of a listener for other VMs, or "" if it listens on all addresses of this VM, so that
// others cannot tell by which they reach it.
func reachableAddress(address net.Addr) string {
	if tcp, ok := address.(*net.TCPAddr); ok && tcp.IP.IsUnspecified() {
		return ""
	}
	return address.String()
}

// serveRelayed serves a request of another entry VM. Its turn comes at once, since peers do not pipeline.
func (gat *Gate) serveRelayed(wri http.ResponseWriter, req *http.Request) {
	fpforward.TurnOf(req)
	gat.forwarder.ServeRelayed(wri, req)
}

// serveReady tells the load balancer whether this VM accepts callers: with status 200, or 503.
func (gat *Gate) serveReady(wri http.ResponseWriter, _ *http.Request) {
	if gat.stopping.Load() || !gat.forwarder.Ready() {
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wri.WriteHeader(http.StatusOK)
}

// drain finishes the requests in flight, and refuses those that may not be answered in the time that is left. Callers are asked to
// leave their connections at once. Idle connections are closed only after idleCloseDelay, when the load balancer no longer sends
// callers here.
func (gat *Gate) drain() {
	gat.stopping.Store(true)
	end := time.Now().Add(gat.set.Promises().Stop - stopMargin)
	gat.forwarder.Stop(end.Add(-answerMargin))
	time.Sleep(min(idleCloseDelay, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := gat.servers.shutdown(ctx); err != nil {
		gat.log.Warn("connections of callers were still open at the stop deadline", zap.Error(err))
	}
	if err := gat.relay.shutdown(ctx); err != nil {
		gat.log.Warn("relayed requests were still in flight at the stop deadline", zap.Error(err))
	}
}

// trim closes idle connections to upstreams that are no longer needed, until ctx ends.
func (gat *Gate) trim(ctx context.Context) {
	for sleep(ctx, trimInterval) {
		gat.forwarder.CloseExpired(time.Now())
	}
}

// sleep waits for the duration and returns true, or returns false when ctx ends before.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

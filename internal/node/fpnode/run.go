package fpnode

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator/fpoperatorconnect"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract/fpcontractconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fptls"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpserve"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire/fpwireconnect"
)

// RunVM runs a VM until ctx ends or the process receives SIGINT or SIGTERM, and then drains it. Further signals do not
// abort calls in flight; the VM only logs their number.
func RunVM(ctx context.Context, set *fpsettings.Settings, log *zap.Logger) error {
	nod, err := New(Config{
		Settings: set,
		Log:      log,
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return nod.Run(ctx)
}

// Run serves until ctx ends and then drains the VM: it reports unhealthy, hands over leaderships, closes the listener for
// callers after a delay, waits for the calls in flight, and stops. Run returns early, without draining, with the error of a
// group that fails.
func (nod *Node) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers, err := nod.listen(runCtx)
	if err != nil {
		return err
	}
	failed := nod.start(runCtx)
	nod.cfg.Log.Info("started", zap.Uint64("incarnation", nod.incarnation))
	var failure error
	select {
	case <-ctx.Done():
		nod.drain(runCtx)
	case failure = <-failed:
		nod.cfg.Log.Error("stopping because a group failed", zap.Error(failure))
	}
	cancel()
	for _, srv := range servers {
		_ = srv.Close()
	}
	nod.awaitAll()
	nod.entry.Close()
	nod.cfg.Log.Info("stopped")
	return failure
}

// start starts the components of the VM. The channel receives the errors of groups that fail.
func (nod *Node) start(ctx context.Context) <-chan error {
	failed := make(chan error, len(nod.voters))
	for _, vot := range nod.voters {
		done := vot.Run(ctx)
		end := make(chan error, 1)
		nod.done = append(nod.done, end)
		go func() {
			err := <-done
			if err != nil {
				failed <- err
			}
			end <- nil
		}()
	}
	for _, sub := range nod.submitters {
		nod.done = append(nod.done, sub.Run(ctx))
	}
	nod.done = append(nod.done, nod.entry.Run(ctx), nod.proposeInitialConfiguration(ctx), nod.followRootReplica(ctx))
	return failed
}

// awaitAll waits until all components have ended.
func (nod *Node) awaitAll() {
	for _, done := range nod.done {
		<-done
	}
}

// listen opens the listeners and serves them.
func (nod *Node) listen(ctx context.Context) ([]*http.Server, error) {
	set := nod.cfg.Settings
	var servers []*http.Server
	peerMux := http.NewServeMux()
	peerMux.Handle(fpwireconnect.NewPeerServiceHandler(&peerService{
		nod: nod,
	}))
	operatorMux := http.NewServeMux()
	operatorMux.Handle(fpoperatorconnect.NewOperatorServiceHandler(nod.operatorService()))
	operatorMux.Handle("/debug/vars", http.HandlerFunc(nod.serveVars))
	internalListeners := []struct {
		cfg fptls.ServerConfig
		lis fpsettings.Listener
	}{
		{
			cfg: fptls.PeerServerConfig(set, nod.tls, peerMux, nod.cfg.Log),
			lis: set.Peers(),
		},
		{
			cfg: fptls.OperatorServerConfig(set, nod.tls, operatorMux, nod.cfg.Log),
			lis: set.Operators(),
		},
	}
	for _, listener := range internalListeners {
		lis, err := fptls.Listen(ctx, listener.cfg, listener.lis.Address())
		if err != nil {
			return nil, err
		}
		srv := fptls.NewServer(listener.cfg)
		servers = append(servers, srv)
		nod.serve(srv, lis)
	}
	if set.HasRole(fpsettings.RoleEntry) {
		lis, err := net.Listen("tcp", set.Callers().Address().String())
		if err != nil {
			return nil, err
		}
		nod.callers = nod.callerServer()
		servers = append(servers, nod.callers.Server)
		nod.serve(nod.callers.Server, nod.callers.Listener(lis.(*net.TCPListener)))
	}
	return servers, nil
}

// serve starts a goroutine that runs a server until it is closed. An error is only logged.
func (nod *Node) serve(srv *http.Server, lis net.Listener) {
	end := make(chan error, 1)
	nod.done = append(nod.done, end)
	go func() {
		if err := fptls.Serve(srv, lis); err != nil {
			nod.cfg.Log.Error("the server of a listener failed", zap.Stringer("address", lis.Addr()), zap.Error(err))
		}
		end <- nil
	}()
}

// callerServer returns the server for callers, for announcements of upstreams and for health checks of load balancers.
func (nod *Node) callerServer() *fpserve.CallerServer {
	cfg := nod.cfg.Settings.Callers()
	mux := http.NewServeMux()
	path, han := fpcontractconnect.NewRouterServiceHandler(&routerService{
		nod: nod,
	})
	mux.Handle(path, http.MaxBytesHandler(han, maxAnnouncement))
	mux.HandleFunc("/healthz", nod.serveHealth)
	mux.Handle("/", nod.entry.Handler())
	return fpserve.NewCallerServer(mux, fpserve.Limits{
		ReadHeaderTimeout: cfg.ReadHeaderTimeout(),
		IdleTimeout:       cfg.IdleTimeout(),
		MaxHeaderBytes:    cfg.MaxHeaderBytes(),
		MaxConnections:    cfg.MaxConnections(),
	})
}

// maxAnnouncement bounds the body of an announcement, in bytes.
const maxAnnouncement = 64 << 10

// serveHealth answers the health checks of load balancers. A VM is healthy if it has a configuration, is not stopping and
// is not drained by the configuration.
func (nod *Node) serveHealth(wri http.ResponseWriter, _ *http.Request) {
	_, cfg := nod.configuration()
	if cfg == nil || nod.draining.Load() || slices.Contains(cfg.GetDrainedVms(), nod.vm()) {
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(wri, "ok")
}

// drain hands over leaderships, stops accepting calls and waits until no call is in flight.
func (nod *Node) drain(ctx context.Context) {
	drained := make(chan struct{})
	defer close(drained)
	nod.logRepeatedSignals(drained)
	nod.draining.Store(true)
	if nod.callers != nil {
		nod.callers.AskToLeave()
	}
	nod.cfg.Log.Info("draining", zap.Int64("inFlight", nod.entry.Running()))
	for _, vot := range nod.voters {
		resignCtx, cancel := context.WithTimeout(ctx, resignTimeout)
		_ = vot.Resign(resignCtx)
		cancel()
	}
	if nod.callers != nil {
		time.Sleep(nod.cfg.Settings.Timings().DrainDelay())
		_ = nod.callers.Shutdown(ctx)
	}
	for nod.entry.Running() > 0 {
		time.Sleep(drainInterval)
	}
}

// resignTimeout bounds the handover of one leadership. If it fails, the group elects a leader after the election timeout.
const resignTimeout = 3 * time.Second

// drainInterval is how often the number of calls in flight is checked while draining.
const drainInterval = 20 * time.Millisecond

// plainTextDialer returns a dial function for HTTP/2 that opens plain TCP connections instead of TLS connections.
func plainTextDialer(dialer *net.Dialer) func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
	return func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
		return dialer.DialContext(ctx, network, address)
	}
}

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

// RunVM runs a VM until a signal or the end of ctx has stopped it. The first signal drains the VM. Later signals cut
// nothing off; they log how many calls are still in flight.
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

// Run serves until ctx ends and then drains: it reports unhealthy, closes the listener for callers after a delay, finishes
// the calls in flight, hands over leaderships, and stops.
func (nod *Node) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers, err := nod.listen(inner)
	if err != nil {
		return err
	}
	ended := nod.start(inner)
	nod.cfg.Log.Info("started", zap.Uint64("incarnation", nod.incarnation))
	var failure error
	select {
	case <-ctx.Done():
		nod.drain(inner, servers)
	case failure = <-ended:
		nod.cfg.Log.Error("a part of the VM failed", zap.Error(failure))
	}
	cancel()
	for _, srv := range servers {
		_ = srv.Close()
	}
	nod.await()
	nod.entry.Close()
	nod.cfg.Log.Info("stopped")
	return failure
}

// start runs the parts of the process. The channel receives the first failure of a group.
func (nod *Node) start(ctx context.Context) <-chan error {
	failed := make(chan error, len(nod.voters))
	for _, vot := range nod.voters {
		done := vot.Run(ctx)
		end := make(chan error, 1)
		nod.waiting = append(nod.waiting, end)
		go func() {
			err := <-done
			if err != nil {
				failed <- err
			}
			end <- nil
		}()
	}
	for _, sub := range nod.submitters {
		nod.waiting = append(nod.waiting, sub.Run(ctx))
	}
	nod.waiting = append(nod.waiting, nod.entry.Run(ctx), nod.proposeInitial(ctx), nod.followOwnRoot(ctx))
	return failed
}

// await waits for the end of all parts.
func (nod *Node) await() {
	for _, done := range nod.waiting {
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
	inner := []struct {
		cfg fptls.ServerConfig
		lis fpsettings.Listener
	}{
		{
			cfg: fptls.PeerServer(set, nod.tls, peerMux, nod.cfg.Log),
			lis: set.Peers(),
		},
		{
			cfg: fptls.OperatorServer(set, nod.tls, operatorMux, nod.cfg.Log),
			lis: set.Operators(),
		},
	}
	for _, one := range inner {
		lis, err := fptls.Listen(ctx, one.cfg, one.lis.Address())
		if err != nil {
			return nil, err
		}
		srv := fptls.NewServer(one.cfg)
		servers = append(servers, srv)
		nod.serve(srv, lis)
	}
	if set.HasRole(fpsettings.RoleEntry) {
		lis, err := net.Listen("tcp", set.Callers().Address().String())
		if err != nil {
			return nil, err
		}
		srv := nod.callerServer()
		servers = append(servers, srv)
		nod.serve(srv, limitConnections(lis, set.Callers().MaxConnections()))
	}
	return servers, nil
}

func (nod *Node) serve(srv *http.Server, lis net.Listener) {
	end := make(chan error, 1)
	nod.waiting = append(nod.waiting, end)
	go func() {
		if err := fptls.Serve(srv, lis); err != nil {
			nod.cfg.Log.Error("a listener failed", zap.Stringer("address", lis.Addr()), zap.Error(err))
		}
		end <- nil
	}()
}

// callerServer returns the server for callers, upstreams and the balancer's health checks.
func (nod *Node) callerServer() *http.Server {
	cfg := nod.cfg.Settings.Callers()
	mux := http.NewServeMux()
	path, han := fpcontractconnect.NewRouterServiceHandler(&routerService{
		nod: nod,
	})
	mux.Handle(path, http.MaxBytesHandler(han, maxAnnouncement))
	mux.HandleFunc("/healthz", nod.serveHealth)
	mux.Handle("/", nod.entry.Handler())
	return fpserve.NewHTTPServer(mux, fpserve.Limits{
		ReadHeaderTimeout: cfg.ReadHeaderTimeout(),
		IdleTimeout:       cfg.IdleTimeout(),
		MaxHeaderBytes:    cfg.MaxHeaderBytes(),
	})
}

// maxAnnouncement bounds the body of an announcement.
const maxAnnouncement = 64 << 10

// serveHealth answers the balancer: a VM is healthy while it has a configuration and does not drain.
func (nod *Node) serveHealth(wri http.ResponseWriter, _ *http.Request) {
	_, cfg := nod.configuration()
	if cfg == nil || nod.draining.Load() || slices.Contains(cfg.GetDrainedVms(), nod.vm()) {
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(wri, "ok")
}

// drain stops the VM without cutting off a call in flight.
func (nod *Node) drain(ctx context.Context, servers []*http.Server) {
	again := make(chan struct{})
	defer close(again)
	nod.reportSignals(again)
	nod.draining.Store(true)
	nod.cfg.Log.Info("draining", zap.Int64("inFlight", nod.entry.Running()))
	for _, vot := range nod.voters {
		limited, cancel := context.WithTimeout(ctx, resignTimeout)
		_ = vot.Resign(limited)
		cancel()
	}
	if nod.cfg.Settings.HasRole(fpsettings.RoleEntry) {
		time.Sleep(nod.cfg.Settings.Timings().DrainDelay())
		_ = servers[len(servers)-1].Shutdown(ctx)
	}
	for nod.entry.Running() > 0 {
		time.Sleep(drainInterval)
	}
}

// resignTimeout bounds the hand-over of one leadership; a group without it elects a leader by itself.
const resignTimeout = 3 * time.Second

// drainInterval is how often the end of the calls in flight is checked.
const drainInterval = 20 * time.Millisecond

// plainDialer opens connections for HTTP/2 without TLS.
func plainDialer(dialer *net.Dialer) func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
	return func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
		return dialer.DialContext(ctx, network, address)
	}
}

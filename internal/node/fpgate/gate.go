// Package fpgate runs an entry VM of a deployment with HTTP routes: it follows the state of the control VMs and serves
// callers.
package fpgate

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpforward"
)

const (
	// trimInterval is the time between looks at idle connections to upstreams.
	trimInterval = 2 * time.Second
	// stopMargin is the part of the time to stop that is left for the end of the process.
	stopMargin = 700 * time.Millisecond
	// closeAfter is how long after the signal connections of callers are kept when they are idle. The platform takes the
	// VM out of rotation within 2 s, and callers that hold a connection see the request to leave it with their next answer.
	closeAfter = 3 * time.Second
	// defaultIdleTimeout and defaultHeaderTimeout hold until a configuration sets others.
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
}

// New returns the entry VM of the given settings.
func New(set *fpgateway.Settings, log *zap.Logger) *Gate {
	gat := &Gate{
		set: set,
		log: log,
		forwarder: fpforward.New(fpforward.Config{
			DataCentre: set.DataCentre(),
			Region:     set.Region,
			Promises:   set.Promises(),
			Link:       set.Link(),
			Memory:     set.Memory(),
			Log:        log,
		}),
	}
	gat.watcher = newWatcher(set, log, gat.forwarder)
	return gat
}

// Forwarder returns what serves the requests of callers.
func (gat *Gate) Forwarder() *fpforward.Forwarder { return gat.forwarder }

// Reseed replaces the addresses by which control VMs are found.
func (gat *Gate) Reseed(seeds []string) { gat.watcher.reseed(seeds) }

// Run serves until ctx ends, finishes the requests in flight, and reports its end on done.
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
		return fperror.Wrap(fperror.InvalidSettings, err, "listen for questions about readiness")
	}
	life, cancel := context.WithCancel(context.Background())
	defer cancel()
	mux := http.NewServeMux()
	mux.HandleFunc("/", gat.answerReady)
	readiness := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
	}
	gat.servers = newServers(callers, gat.forwarder)
	gat.servers.early = gat.forwarder.Begin
	failed := make(chan error, 2)
	go func() { failed <- readiness.Serve(ready) }()
	go func() { failed <- gat.servers.serve() }()
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){gat.watcher.watch, gat.watcher.report, gat.trim} {
		duties.Go(func() { duty(life) })
	}
	select {
	case err = <-failed:
	case <-ctx.Done():
		gat.drain()
	}
	cancel()
	duties.Wait()
	_ = readiness.Close() // nobody waits for an answer about readiness any more
	return err
}

// answerReady tells the load balancer whether this VM takes callers.
func (gat *Gate) answerReady(wri http.ResponseWriter, _ *http.Request) {
	if gat.stopping.Load() || !gat.forwarder.Ready() {
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wri.WriteHeader(http.StatusOK)
}

// drain finishes the requests in flight. Callers are asked to leave their connections, and idle ones are closed only
// after the load balancer has stopped sending callers here.
func (gat *Gate) drain() {
	gat.stopping.Store(true)
	gat.forwarder.Stop()
	end := time.Now().Add(gat.set.Promises().Stop - stopMargin)
	time.Sleep(min(closeAfter, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := gat.servers.shutdown(ctx); err != nil {
		gat.log.Warn("requests were still in flight at the end", zap.Error(err))
	}
}

// trim closes idle connections that are not used again.
func (gat *Gate) trim(ctx context.Context) {
	for sleep(ctx, trimInterval) {
		gat.forwarder.Trim(time.Now())
		gat.servers.limit(gat.forwarder.Configuration().GetLimits())
	}
}

func sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

package fpgate

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fpline"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fpcontrol"
)

const (
	// reloadInterval is the time between checks of the settings file, which may change without a signal.
	reloadInterval = 2 * time.Second
	// gcPercent is the growth of the heap, in percent of the live heap, at which garbage is collected. CPU time is scarcer
	// on the VMs than memory, so the heap may grow to four times the live heap, up to the soft limit of memoryLimitFraction.
	gcPercent = 300
	// memoryLimitFraction is the runtime's soft memory limit as a fraction of the process's memory limit. Near the soft
	// limit the runtime collects garbage more often.
	memoryLimitFraction = 0.5
)

// Run runs the VM of a settings file until ctx ends or SIGTERM or SIGINT arrives. At SIGHUP it reads the settings again. The
// error kinds are those of fpgateway.Load and fpcontrol.New, InvalidSettings when a listener cannot be opened, and those
// that end the VM while it runs.
func Run(ctx context.Context, path string, log *zap.Logger, logWriter *fpline.Writer) error {
	return RunWithSystem(ctx, path, log, logWriter, System{})
}

// System replaces calls of the operating system, to simulate its faults.
type System struct {
	// Sync syncs a file of the log. Nil: (*os.File).Sync.
	Sync func(fil *os.File) error
	// Dial opens connections to upstreams. Nil: fpconn.Dial.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// RunWithSystem does what Run does, with replaced calls of the operating system.
func RunWithSystem(ctx context.Context, path string, log *zap.Logger, logWriter *fpline.Writer, sys System) error {
	// SIGHUP ends a process that has not registered for it, so this comes first.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	set, err := fpgateway.Load(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if set.MemoryLimit() > 0 {
		debug.SetMemoryLimit(int64(float64(set.MemoryLimit()) * memoryLimitFraction))
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log = log.With(zap.String("vm", set.VM()))
	defer zap.RedirectStdLog(log)() // log lines of net/http
	log.Info("started", zap.Strings("seeds", set.Seeds()), zap.Bool("firstStart", set.FirstStart()))
	var results []<-chan error
	var gat *Gate
	var con *fpcontrol.Control
	if set.Control() != "" {
		con, err = fpcontrol.New(fpcontrol.Config{
			VM:          set.Control(),
			Seeds:       set.Seeds(),
			FirstStart:  set.FirstStart(),
			DataFolder:  set.DataFolder(),
			DataCentre:  set.DataCentre(),
			Region:      set.Region(set.DataCentre()),
			RegionOf:    set.Region,
			DataCentres: set.DataCentres(),
			Losses:      set.ToleratedLosses(),
			CatchUp:     set.Promises().CatchUp,
			Log:         log,
			Sync:        sys.Sync,
		})
		if err != nil {
			return err
		}
		results = append(results, con.Run(ctx))
	}
	if set.Callers() != "" {
		gat = newGate(set, log, sys.Dial)
		results = append(results, gat.Run(ctx))
	}
	metricsServer, err := serveMetrics(set, gat, con, logWriter)
	if err != nil {
		return err
	}
	defer func() { _ = metricsServer.Close() }()
	reloaded := watchSettings(ctx, hangup, path, log, func(next *fpgateway.Settings) {
		if gat != nil {
			gat.SetSeeds(next.Seeds())
		}
		if con != nil {
			con.SetSeeds(next.Seeds())
		}
	})
	for _, done := range results {
		if failure := <-done; failure != nil && err == nil {
			err = failure
			stop()
		}
	}
	stop()
	<-reloaded
	log.Info("stopped", zap.Error(err))
	return err
}

// watchSettings passes the settings to apply when their file has changed and when a value arrives on hangup, until ctx ends.
// The channel that it returns is then closed.
func watchSettings(ctx context.Context, hangup <-chan os.Signal, path string, log *zap.Logger, apply func(set *fpgateway.Settings)) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// While the process stops there is nothing to reload, but without a handler the signal would end the process at
		// once.
		defer signal.Ignore(syscall.SIGHUP)
		var last time.Time
		if inf, err := os.Stat(path); err == nil {
			last = inf.ModTime()
		}
		tick := time.NewTicker(reloadInterval)
		defer tick.Stop()
		for {
			signalled := false
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				signalled = true
			case <-tick.C:
			}
			inf, err := os.Stat(path)
			if err != nil || !signalled && inf.ModTime().Equal(last) {
				continue
			}
			last = inf.ModTime()
			set, err := fpgateway.Load(path)
			log.Info("settings reloaded", zap.Bool("signal", signalled), zap.Error(err))
			if err == nil {
				apply(set)
			}
		}
	}()
	return ended
}

// serveMetrics serves counters and histograms as text if the settings name an address. The server that it returns is to be
// closed in either case.
func serveMetrics(set *fpgateway.Settings, gat *Gate, con *fpcontrol.Control, logWriter *fpline.Writer) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(wri http.ResponseWriter, _ *http.Request) {
		writeProcessMetrics(wri, logWriter)
		if gat != nil {
			gat.WriteMetrics(wri)
		}
		if con != nil {
			con.WriteMetrics(wri)
		}
	})
	srv := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: defaultHeaderTimeout,
	}
	if set.Metrics() == "" {
		return srv, nil
	}
	lis, err := net.Listen("tcp", set.Metrics())
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidSettings, err, "listen for metrics")
	}
	go func() { _ = srv.Serve(lis) }() // it ends with the process
	return srv, nil
}

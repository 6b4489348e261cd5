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
	// reloadInterval is the time between looks at the settings file, which may change without a signal.
	reloadInterval = 2 * time.Second
	// collectAbove is the heap in percent above the live one at which garbage is collected. Processor time is scarcer
	// on the VMs than memory, of which a quarter is the soft limit.
	collectAbove = 300
	// memoryShare is the part of the memory of the process that the runtime may use before it collects more often.
	memoryShare = 0.5
)

// Run runs the VM of a settings file until it is told to stop.
func Run(ctx context.Context, path string, log *zap.Logger, lines *fpline.Writer) error {
	// Until it is registered the signal ends the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	set, err := fpgateway.Load(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectAbove)
	if set.Memory() > 0 {
		debug.SetMemoryLimit(int64(float64(set.Memory()) * memoryShare))
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log = log.With(zap.String("vm", set.VM()))
	defer zap.RedirectStdLog(log)() // lines of the HTTP library
	log.Info("started", zap.Strings("seeds", set.Seeds()), zap.Bool("firstStart", set.FirstStart()))
	var ends []<-chan error
	var gat *Gate
	var con *fpcontrol.Control
	if set.Control() != "" {
		con, err = fpcontrol.New(fpcontrol.Config{
			VM:         set.Control(),
			Seeds:      set.Seeds(),
			FirstStart: set.FirstStart(),
			DataFolder: set.DataFolder(),
			DataCentre: set.DataCentre(),
			Region:     set.Region(set.DataCentre()),
			Losses:     set.Losses(),
			Log:        log,
		})
		if err != nil {
			return err
		}
		ends = append(ends, con.Run(ctx))
	}
	if set.Callers() != "" {
		gat = New(set, log)
		ends = append(ends, gat.Run(ctx))
	}
	met, err := serveMetrics(set, gat, con, lines)
	if err != nil {
		return err
	}
	defer func() { _ = met.Close() }()
	reloaded := reload(ctx, hangup, path, log, func(next *fpgateway.Settings) {
		if gat != nil {
			gat.Reseed(next.Seeds())
		}
		if con != nil {
			con.Reseed(next.Seeds())
		}
	})
	for _, end := range ends {
		if failure := <-end; failure != nil && err == nil {
			err = failure
			stop()
		}
	}
	stop()
	<-reloaded
	log.Info("stopped", zap.Error(err))
	return err
}

// reload reads the settings again when they change, and at the signal. It closes the channel when ctx has ended.
func reload(ctx context.Context, hangup <-chan os.Signal, path string, log *zap.Logger, use func(set *fpgateway.Settings)) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// While the process stops there is nothing to reload. Without this the signal would end the process at once.
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
				use(set)
			}
		}
	}()
	return ended
}

// serveMetrics serves counters and histograms as text, if the settings name an address.
func serveMetrics(set *fpgateway.Settings, gat *Gate, con *fpcontrol.Control, lines *fpline.Writer) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(wri http.ResponseWriter, _ *http.Request) {
		writeProcess(wri, lines)
		if gat != nil {
			gat.forwarder.WriteMetrics(wri)
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

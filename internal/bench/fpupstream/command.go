package fpupstream

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpfence"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpstandin"
)

// crashExitCode is the exit code of a stand-in that crashed on a request.
const crashExitCode = 3

// Command is the command line of a stand-in upstream, for kong.
type Command struct {
	Name        string        `required:"" help:"Name of the upstream."`
	Service     string        `required:"" help:"Full name of the service in the schema."`
	DataCentre  string        `required:"" help:"Data centre of the upstream."`
	Router      []string      `required:"" help:"Base URLs of entry VMs, for example http://127.0.0.1:7001."`
	Address     string        `default:"127.0.0.1:0" help:"Loopback address and port."`
	Keyed       bool          `help:"The service is keyed."`
	Concurrency int           `default:"4" help:"Number of requests that run at once."`
	Queue       int           `default:"16" help:"Number of requests that wait; more are refused."`
	ServiceTime time.Duration `default:"1ms" help:"Service time of a request."`
	BundleBytes int64         `default:"1048576" help:"Length of the answer to a bundle."`
	Connections int           `default:"110" help:"Number of connections that may be open; more are closed."`
	IgnoreFence bool          `help:"Run every request, regardless of grants."`
	RunLog      string        `help:"File to which the start and the end of each run are appended."`
	AnnounceAs  string        `help:"Address to announce instead of the one it serves at, for example that of a proxy."`
	Rate        float64       `help:"Requests per second that the upstream takes from all VMs together; 0: no limit."`
	QuitOnCrash bool          `default:"true" negatable:"" help:"End the process on a request that crashes the upstream."`
}

// Run serves until ctx ends. It prints the address to out once the upstream serves.
func (com *Command) Run(ctx context.Context, out io.Writer) error {
	ups := New(Config{
		Fence: fpfence.Config{
			Name:           com.Name,
			Service:        com.Service,
			Keyed:          com.Keyed,
			DataCentre:     com.DataCentre,
			Concurrency:    uint32(com.Concurrency),
			MaxConnections: uint32(com.Connections),
			Routers:        com.Router,
		},
		Standin: fpstandin.Config{
			Address: com.Address,
			Worker: fpstandin.WorkerConfig{
				Concurrency: com.Concurrency,
				Queue:       com.Queue,
				ServiceTime: com.ServiceTime,
			},
			MaxConnections: com.Connections,
			BundleBytes:    com.BundleBytes,
		},
		IgnoresFence: com.IgnoreFence,
		RunLog:       com.RunLog,
		AnnounceAs:   com.AnnounceAs,
		Crash:        com.crashFunc(),
	})
	if err := ups.Start(ctx); err != nil {
		return err
	}
	if com.Rate > 0 {
		ups.Fence().SetRate(com.Rate)
	}
	fmt.Fprintf(out, "stand-in %s of %s serves at %s\n", com.Name, com.Service, ups.Address())
	<-ctx.Done()
	ups.Stop()
	return nil
}

// crashFunc returns the function that ends the process on a crash, or nil without QuitOnCrash.
func (com *Command) crashFunc() func() {
	if !com.QuitOnCrash {
		return nil
	}
	return func() { os.Exit(crashExitCode) }
}

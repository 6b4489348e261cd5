package fpnode

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract/fpcontractconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpconfig"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// initialInterval is how often a VM looks whether the root group still lacks a configuration.
const initialInterval = 200 * time.Millisecond

// initialRequest identifies the proposal of the initial configuration, so that several VMs propose it without a conflict.
const initialRequest = "initialConfiguration"

// proposeInitial proposes the initial configuration while the root group has none, and reports its end on the channel.
func (nod *Node) proposeInitial(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	path := nod.cfg.Settings.InitialConfiguration()
	if path == "" || nod.voters[fpsettings.RootGroup] == nil {
		end <- nil
		return end
	}
	go func() {
		end <- nod.proposeFile(ctx, path)
	}()
	return end
}

func (nod *Node) proposeFile(ctx context.Context, path string) error {
	cfg, err := fpsettings.LoadConfiguration(path)
	if err != nil {
		nod.cfg.Log.Error("the initial configuration is not usable", zap.Error(err))
		return err
	}
	for ctx.Err() == nil {
		if _, now := nod.configuration(); now != nil {
			return nil
		}
		_, err := nod.submit(ctx, fpsettings.RootGroup, configureCommand(initialRequest, nil, cfg, nod.vm()))
		if err == nil {
			return nil
		}
		if fperror.Is(err, fperror.InvalidConfiguration) {
			nod.cfg.Log.Error("the initial configuration was refused", zap.String("file", path), zap.Error(err))
			return err
		}
		sleep(ctx, initialInterval)
	}
	return nil
}

func configureCommand(request string, expected *fpoperator.Version, cfg *fpoperator.Configuration, operator string) *fpwire.Command {
	return &fpwire.Command{
		Kind: &fpwire.Command_Configure{
			Configure: &fpwire.Configure{
				RequestId:     request,
				Expected:      expected,
				Configuration: cfg,
				Operator:      operator,
			},
		},
	}
}

// rootInterval is how often a voter of the root group looks for a newer configuration in its own replica.
const rootInterval = 20 * time.Millisecond

// followOwnRoot puts configurations in force that this VM, as a voter of the root group, has applied. All other VMs get
// them by polls, and so does the leader's poll of itself; the first configuration must come from here.
func (nod *Node) followOwnRoot(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	vot := nod.voters[fpsettings.RootGroup]
	if vot == nil {
		end <- nil
		return end
	}
	go func() {
		for ctx.Err() == nil {
			version, cfg := vot.Machine().Configuration()
			if cfg != nil {
				nod.configure(version.Version(), cfg)
			}
			sleep(ctx, rootInterval)
		}
		end <- nil
	}()
	return end
}

func sleep(ctx context.Context, span time.Duration) {
	tim := time.NewTimer(span)
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-ctx.Done():
	}
}

// reportSignals logs the calls in flight at every further signal until the channel is closed.
func (nod *Node) reportSignals(until <-chan struct{}) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-signals:
				nod.cfg.Log.Info("still draining", zap.Int64("inFlight", nod.entry.Running()))
			case <-until:
				return
			}
		}
	}()
}

// serveVars writes the counters of this VM and of the runtime, in the format of expvar.
func (nod *Node) serveVars(wri http.ResponseWriter, _ *http.Request) {
	wri.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(wri, "{\"foxtailpulley\": %s, \"memstats\": %s}\n", nod.counters.String(), memstats())
}

// limitConnections bounds the open connections of a listener; more of them wait.
func limitConnections(lis net.Listener, limit int) net.Listener {
	if limit <= 0 {
		return lis
	}
	return netutil.LimitListener(lis, limit)
}

func newClients() map[string]fpcontractconnect.UpstreamServiceClient {
	return map[string]fpcontractconnect.UpstreamServiceClient{}
}

// CheckSchema returns the faults of a schema and of the services that it must declare.
func CheckSchema(text string, services []string) []fpconfig.Fault {
	schema, err := fpschema.Compile(text)
	if err != nil {
		return []fpconfig.Fault{
			{
				Field:    "schema",
				Value:    err.Error(),
				Accepted: "a schema without faults",
			},
		}
	}
	declared := map[string]bool{}
	for _, ser := range schema.Services() {
		declared[ser.Name()] = true
	}
	var faults []fpconfig.Fault
	for num, name := range services {
		if !declared[name] {
			faults = append(faults, fpconfig.Fault{
				Field:    fmt.Sprintf("services[%d].name", num),
				Value:    name,
				Accepted: "a service that the schema declares",
			})
		}
	}
	return faults
}

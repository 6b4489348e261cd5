package fpnode

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract/fpcontractconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpconfig"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// initialConfigurationInterval is the time between two attempts to propose the initial configuration.
const initialConfigurationInterval = 200 * time.Millisecond

// initialRequestID is the request id of the proposal of the initial configuration. All VMs use the same id, so that several
// of them can propose it without a conflict.
const initialRequestID = "initialConfiguration"

// proposeInitialConfiguration starts a goroutine that proposes the initial configuration until the root group has a
// configuration or ctx ends. The channel receives a value when the goroutine has ended, or at once if this VM has no
// initial configuration or is not a member of the root group.
func (nod *Node) proposeInitialConfiguration(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	path := nod.cfg.Settings.InitialConfiguration()
	if path == "" || nod.voters[fpsettings.RootGroup] == nil {
		end <- nil
		return end
	}
	go func() {
		end <- nod.proposeConfigurationFile(ctx, path)
	}()
	return end
}

// proposeConfigurationFile proposes the configuration in the file at path. It returns nil once the VM has a configuration
// or ctx has ended, and an error if the file is unusable or the root group refuses the configuration.
func (nod *Node) proposeConfigurationFile(ctx context.Context, path string) error {
	cfg, err := fpsettings.LoadConfiguration(path)
	if err != nil {
		nod.cfg.Log.Error("failed to load the initial configuration", zap.Error(err))
		return err
	}
	for ctx.Err() == nil {
		if _, current := nod.configuration(); current != nil {
			return nil
		}
		_, err := nod.submit(ctx, fpsettings.RootGroup, configureCommand(initialRequestID, nil, cfg, nod.vm()))
		if err == nil {
			return nil
		}
		if fperror.Is(err, fperror.InvalidConfiguration) {
			nod.cfg.Log.Error("the initial configuration was refused", zap.String("file", path), zap.Error(err))
			return err
		}
		sleep(ctx, initialConfigurationInterval)
	}
	return nil
}

// configureCommand returns the command that proposes a configuration. expected is the version that it replaces; nil if
// there is no configuration yet.
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

// rootCheckInterval is how often a member of the root group checks its own replica for a newer configuration.
const rootCheckInterval = 20 * time.Millisecond

// followRootReplica starts a goroutine that puts configurations in force which this VM, as a member of the root group,
// has applied. All VMs, including the leader, also receive configurations in the answers to their polls, except for the
// first one, which must come from the replica. The channel receives a value when the goroutine has ended, or at once if
// this VM is not a member of the root group.
func (nod *Node) followRootReplica(ctx context.Context) <-chan error {
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
			sleep(ctx, rootCheckInterval)
		}
		end <- nil
	}()
	return end
}

// sleep waits for the given duration or until ctx ends.
func sleep(ctx context.Context, span time.Duration) {
	tim := time.NewTimer(span)
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-ctx.Done():
	}
}

// logRepeatedSignals logs the number of calls in flight at every SIGINT and SIGTERM until the channel is closed.
func (nod *Node) logRepeatedSignals(until <-chan struct{}) {
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

// serveVars writes the counters of this VM and the memory statistics of the runtime in the format of expvar.
func (nod *Node) serveVars(wri http.ResponseWriter, _ *http.Request) {
	wri.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(wri, "{\"foxtailpulley\": %s, \"memstats\": %s}\n", nod.counters.String(), memstats())
}

// newUpstreamServiceClients returns an empty set of clients by address.
func newUpstreamServiceClients() map[string]fpcontractconnect.UpstreamServiceClient {
	return map[string]fpcontractconnect.UpstreamServiceClient{}
}

// CheckSchema compiles a schema and checks that it declares the services with the given names. It returns the faults found,
// or nil.
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

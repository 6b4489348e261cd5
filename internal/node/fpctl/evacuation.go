package fpctl

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
)

// This file holds the commands for deployments with HTTP routes, which call the StateService of control VMs.

const (
	// controlCallTimeout bounds a call of one control VM, which answers within 0.9 s.
	controlCallTimeout = 2 * time.Second
	// controlPause is the time between two rounds over the addresses. An election takes about 0.7 s.
	controlPause = 300 * time.Millisecond
)

// controlFlags are the flags of the commands that call control VMs.
type controlFlags struct {
	Control []string `required:"" placeholder:"IP:PORT" help:"Addresses of control VMs, tried in turn until --timeout."`
}

// usesControl marks the commands that call control VMs.
func (controlFlags) usesControl() {}

type evacuationCommand struct {
	Start startEvacuationCommand `cmd:"" help:"Send no more requests to the upstreams of a data centre."`
	End   endEvacuationCommand   `cmd:"" help:"Send requests to the upstreams of a data centre again."`
	List  listEvacuationsCommand `cmd:"" help:"Print the evacuations as the VM that answers knows them."`
}

type startEvacuationCommand struct {
	controlFlags
	DataCentre string `arg:"" help:"Name of the data centre."`
}

// Run starts the evacuation and returns once that is committed.
func (com *startEvacuationCommand) Run(ctx context.Context, ses *session) error {
	return orderEvacuation(ctx, ses, com.Control, com.DataCentre, true)
}

type endEvacuationCommand struct {
	controlFlags
	DataCentre string `arg:"" help:"Name of the data centre."`
}

// Run ends the evacuation and returns once that is committed.
func (com *endEvacuationCommand) Run(ctx context.Context, ses *session) error {
	return orderEvacuation(ctx, ses, com.Control, com.DataCentre, false)
}

type listEvacuationsCommand struct {
	controlFlags
}

// Run prints the evacuations.
func (com *listEvacuationsCommand) Run(ctx context.Context, ses *session) error {
	res, err := controlStatus(ctx, ses, com.Control)
	if err != nil {
		return err
	}
	return ses.print(res, func(out *table) {
		out.line("VM %s, entry %d, level %d", res.GetVm(), res.GetIndex(), res.GetLevel())
		printEvacuations(out, res)
	})
}

type stateCommand struct {
	controlFlags
}

// Run prints a summary of the replicated state.
func (com *stateCommand) Run(ctx context.Context, ses *session) error {
	res, err := controlStatus(ctx, ses, com.Control)
	if err != nil {
		return err
	}
	return ses.print(res, func(out *table) {
		out.line("VM %s, entry %d, level %d, leader %s", res.GetVm(), res.GetIndex(), res.GetLevel(), orDash(res.GetLeader()))
		out.line("members: %s", joinOrDash(res.GetMembers()))
		out.line("configuration: revision %d", res.GetRevision())
		printEvacuations(out, res)
		out.header("DATA CENTRE", "SERVICE", "ACTIVE", "LEAVING")
		for _, cou := range res.GetUpstreams() {
			out.row(orDash(cou.GetDataCentre()), cou.GetService(), cou.GetActive(), cou.GetLeaving())
		}
	})
}

func printEvacuations(out *table, res *fpstate.StatusResponse) {
	out.header("EVACUATION OF", "STATE", "SINCE ENTRY")
	for _, eva := range res.GetEvacuations() {
		state := "ended"
		if eva.GetActive() {
			state = "active"
		}
		out.row(eva.GetDataCentre(), state, eva.GetModified())
	}
}

func orderEvacuation(ctx context.Context, ses *session, addresses []string, dataCentre string, active bool) error {
	res, err := callControl(ctx, ses, addresses, idempotent,
		func(ctx context.Context, cli fpstateconnect.StateServiceClient) (*connect.Response[fpstate.EvacuateResponse], error) {
			return cli.Evacuate(ctx, connect.NewRequest(&fpstate.EvacuateRequest{
				DataCentre: dataCentre,
				Active:     active,
			}))
		})
	if err != nil {
		return err
	}
	return ses.print(res, func(out *table) {
		if active {
			out.line("data centre %s is evacuated", dataCentre)
			return
		}
		out.line("the evacuation of data centre %s has ended", dataCentre)
	})
}

func controlStatus(ctx context.Context, ses *session, addresses []string) (*fpstate.StatusResponse, error) {
	return callControl(ctx, ses, addresses, readOnly,
		func(ctx context.Context, cli fpstateconnect.StateServiceClient) (*connect.Response[fpstate.StatusResponse], error) {
			return cli.Status(ctx, connect.NewRequest(&fpstate.StatusRequest{}))
		})
}

// callControl calls one control VM after the other until one succeeds, an error excludes further calls, or the time of --timeout is
// over. The calls may be repeated.
func callControl[T any](
	ctx context.Context,
	ses *session,
	addresses []string,
	eff effect,
	call func(ctx context.Context, cli fpstateconnect.StateServiceClient) (*connect.Response[T], error),
) (*T, error) {
	client := &http.Client{
		Transport: &http.Transport{
			DialContext: (&net.Dialer{
				Timeout: dialTimeout,
			}).DialContext,
		},
	}
	defer client.CloseIdleConnections()
	var last *callError
	for end := time.Now().Add(ses.timeout); ; {
		for _, address := range addresses {
			callCtx, cancel := context.WithTimeout(ctx, controlCallTimeout)
			cli := fpstateconnect.NewStateServiceClient(client, "http://"+address)
			res, err := markUnsent(callCtx, func(ctx context.Context) (*connect.Response[T], error) { return call(ctx, cli) })
			cancel()
			if err == nil {
				return res.Msg, nil
			}
			last = mergeErrors(last, &callError{
				cause:   err,
				effect:  eff,
				address: address,
			})
			if !shouldTryNext(err, eff) || ctx.Err() != nil {
				return nil, last
			}
		}
		if time.Until(end) < controlPause {
			return nil, last
		}
		sleep(ctx, controlPause)
	}
}

// checkAddresses returns an error if a command that calls operator listeners has no address.
func checkAddresses(lin *commandLine) error {
	if len(lin.Address) == 0 {
		return errors.Newf("missing flags: %s", "--address=IP:PORT,...")
	}
	return nil
}

package fpctl

import (
	"context"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
)

type refusalCommand struct {
	List listRefusalsCommand `cmd:"" help:"Print the requests that are refused because they crash upstreams, as the VM that answers knows them."`
	End  endRefusalCommand   `cmd:"" help:"Let a request run again and forget its crashes."`
}

type listRefusalsCommand struct {
	controlFlags
}

// Run prints the refused requests, and those whose crashes still count.
func (com *listRefusalsCommand) Run(ctx context.Context, ses *session) error {
	res, err := controlStatus(ctx, ses, com.Control)
	if err != nil {
		return err
	}
	return ses.print(&fpstate.StatusResponse{
		Vm:          res.GetVm(),
		Index:       res.GetIndex(),
		Quarantines: res.GetQuarantines(),
	}, func(out *table) {
		out.line("VM %s, entry %d", res.GetVm(), res.GetIndex())
		out.header("REQUEST", "STATE", "CRASHES", "SINCE ENTRY")
		for _, qua := range res.GetQuarantines() {
			state := "refused"
			if qua.GetLifted() {
				state = "on probation"
			}
			out.row(qua.GetDigest(), state, len(qua.GetCrashes()), qua.GetModified())
		}
	})
}

type endRefusalCommand struct {
	controlFlags
	Digest string `arg:"" help:"Digest of the request, as printed by refusal list."`
}

// Run ends the refusal and returns once that is committed.
func (com *endRefusalCommand) Run(ctx context.Context, ses *session) error {
	res, err := callControl(ctx, ses, com.Control, idempotent,
		func(ctx context.Context, cli fpstateconnect.StateServiceClient) (*connect.Response[fpstate.ReleaseResponse], error) {
			return cli.Release(ctx, connect.NewRequest(&fpstate.ReleaseRequest{
				Digest: com.Digest,
			}))
		})
	if err != nil {
		return err
	}
	return ses.print(res, func(out *table) {
		out.line("request %s is no longer refused", com.Digest)
	})
}

package fpctl

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator/fpoperatorconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
)

type client = fpoperatorconnect.OperatorServiceClient

type applyCommand struct {
	File      string        `arg:"" help:"Configuration file; its field schemaFile may name a schema file."`
	Expected  string        `required:"" placeholder:"TERM/INDEX" help:"Version that the configuration replaces, as printed by get, or none for the first one."`
	Wait      time.Duration `default:"6s" help:"Time to wait until the configuration is in force everywhere."`
	RequestID string        `placeholder:"ID" help:"Id of a request that is sent again."`
}

// Run proposes the configuration and prints the VMs that have not confirmed it.
func (com *applyCommand) Run(ctx context.Context, ses *session) error {
	expected, err := parseVersion(com.Expected)
	if err != nil {
		return err
	}
	cfg, err := fpsettings.LoadConfiguration(com.File)
	if err != nil {
		return err
	}
	msg := &fpoperator.ApplyConfigurationRequest{
		RequestId:     ses.newRequestID(com.RequestID),
		Expected:      expected,
		Configuration: cfg,
		Wait:          durationpb.New(com.Wait),
	}
	res, err := send(ctx, ses.sender, idempotent, com.Wait,
		func(ctx context.Context, cli client) (*connect.Response[fpoperator.ApplyConfigurationResponse], error) {
			return cli.ApplyConfiguration(ctx, connect.NewRequest(msg))
		})
	if err != nil {
		return err
	}
	if !res.GetInForce() {
		ses.exit = ExitUnconfirmed
	}
	return ses.print(res, func(out *table) {
		if res.GetInForce() {
			out.line("accepted version %s, in force on every VM", formatVersion(res.GetAccepted()))
			return
		}
		out.line("accepted version %s, not confirmed by: %s", formatVersion(res.GetAccepted()), strings.Join(res.GetUnconfirmed(), ", "))
	})
}

type drainCommand struct {
	Upstream drainUpstreamCommand `cmd:"" help:"An upstream."`
	VM       drainVMCommand       `cmd:"" name:"vm" help:"A VM."`
}

type undrainCommand struct {
	Upstream undrainUpstreamCommand `cmd:"" help:"An upstream."`
	VM       undrainVMCommand       `cmd:"" name:"vm" help:"A VM."`
}

type drainTarget struct {
	Name      string `arg:"" help:"Name of the upstream or VM."`
	RequestID string `placeholder:"ID" help:"Id of a request that is sent again."`
}

type (
	drainUpstreamCommand   struct{ drainTarget }
	drainVMCommand         struct{ drainTarget }
	undrainUpstreamCommand struct{ drainTarget }
	undrainVMCommand       struct{ drainTarget }
)

// Run drains an upstream.
func (com *drainUpstreamCommand) Run(ctx context.Context, ses *session) error {
	return ses.drain(ctx, com.RequestID, &fpoperator.DrainRequest{
		Upstream: com.Name,
	})
}

// Run drains a VM.
func (com *drainVMCommand) Run(ctx context.Context, ses *session) error {
	return ses.drain(ctx, com.RequestID, &fpoperator.DrainRequest{
		Vm: com.Name,
	})
}

// Run puts a drained upstream back into service.
func (com *undrainUpstreamCommand) Run(ctx context.Context, ses *session) error {
	return ses.drain(ctx, com.RequestID, &fpoperator.DrainRequest{
		Upstream: com.Name,
		Undo:     true,
	})
}

// Run puts a drained VM back into service.
func (com *undrainVMCommand) Run(ctx context.Context, ses *session) error {
	return ses.drain(ctx, com.RequestID, &fpoperator.DrainRequest{
		Vm:   com.Name,
		Undo: true,
	})
}

func (ses *session) drain(ctx context.Context, requestID string, msg *fpoperator.DrainRequest) error {
	msg.RequestId = ses.newRequestID(requestID)
	res, err := send(ctx, ses.sender, idempotent, 0,
		func(ctx context.Context, cli client) (*connect.Response[fpoperator.DrainResponse], error) {
			return cli.Drain(ctx, connect.NewRequest(msg))
		})
	if err != nil {
		return err
	}
	return ses.print(res, func(out *table) {
		out.line("accepted version %s", formatVersion(res.GetAccepted()))
	})
}

type moveCommand struct {
	Service string   `arg:"" help:"Full name of the service."`
	Slots   []string `required:"" placeholder:"N,N-N" help:"Slots and ranges of slots."`
	To      string   `required:"" placeholder:"UPSTREAM" help:"Upstream that receives the slots."`
}

// Run starts the moves of the slots and prints how many have started.
func (com *moveCommand) Run(ctx context.Context, ses *session) error {
	slots, err := parseSlots(com.Slots)
	if err != nil {
		return err
	}
	msg := &fpoperator.MoveSlotsRequest{
		Service:  com.Service,
		Slots:    slots,
		Upstream: com.To,
	}
	res, err := send(ctx, ses.sender, nonIdempotent, 0,
		func(ctx context.Context, cli client) (*connect.Response[fpoperator.MoveSlotsResponse], error) {
			return cli.MoveSlots(ctx, connect.NewRequest(msg))
		})
	if err != nil {
		return err
	}
	return ses.print(res, func(out *table) {
		out.line("%d of %d slots have begun to move", res.GetMoving(), len(slots))
	})
}

type voterCommand struct {
	Add    voterAddCommand    `cmd:"" help:"Add a VM as a voter."`
	Repair voterRepairCommand `cmd:"" help:"Give a voter whose disk was lost its vote back."`
	Remove voterRemoveCommand `cmd:"" help:"Remove a voter."`
}

type voterTarget struct {
	Group string `arg:"" help:"Name of the group."`
	VM    string `arg:"" name:"vm" help:"Name of the VM."`
	// Wait has a long default because a repair copies the complete log or a snapshot before it reports success.
	Wait time.Duration `default:"1m" help:"Time for the new voter to catch up."`
}

type (
	voterAddCommand    struct{ voterTarget }
	voterRepairCommand struct{ voterTarget }
	voterRemoveCommand struct{ voterTarget }
)

// Run adds a voter.
func (com *voterAddCommand) Run(ctx context.Context, ses *session) error {
	return ses.changeVoter(ctx, com.voterTarget, fpoperator.VoterChange_VOTER_CHANGE_ADD)
}

// Run gives a voter whose disk was lost its vote back.
func (com *voterRepairCommand) Run(ctx context.Context, ses *session) error {
	return ses.changeVoter(ctx, com.voterTarget, fpoperator.VoterChange_VOTER_CHANGE_REPAIR)
}

// Run removes a voter.
func (com *voterRemoveCommand) Run(ctx context.Context, ses *session) error {
	return ses.changeVoter(ctx, com.voterTarget, fpoperator.VoterChange_VOTER_CHANGE_REMOVE)
}

func (ses *session) changeVoter(ctx context.Context, tar voterTarget, change fpoperator.VoterChange) error {
	msg := &fpoperator.ChangeVoterRequest{
		Group:  tar.Group,
		Vm:     tar.VM,
		Change: change,
	}
	res, err := send(ctx, ses.sender, nonIdempotent, tar.Wait,
		func(ctx context.Context, cli client) (*connect.Response[fpoperator.ChangeVoterResponse], error) {
			return cli.ChangeVoter(ctx, connect.NewRequest(msg))
		})
	if err != nil {
		return err
	}
	return ses.print(res, func(out *table) {
		out.line("committed at %s", formatVersion(res.GetCommitted()))
	})
}

type releaseCommand struct {
	Group  string `arg:"" help:"Name of the group that stores the quarantine entry."`
	Digest string `arg:"" help:"Digest of the request, as printed by status."`
}

// Run removes the request from quarantine.
func (com *releaseCommand) Run(ctx context.Context, ses *session) error {
	msg := &fpoperator.ReleaseQuarantineRequest{
		Group:  com.Group,
		Digest: com.Digest,
	}
	res, err := send(ctx, ses.sender, nonIdempotent, 0,
		func(ctx context.Context, cli client) (*connect.Response[fpoperator.ReleaseQuarantineResponse], error) {
			return cli.ReleaseQuarantine(ctx, connect.NewRequest(msg))
		})
	if err != nil {
		return err
	}
	return ses.print(res, func(out *table) {
		out.line("released %s", com.Digest)
	})
}

// parseVersion parses TERM/INDEX. It returns nil for "none".
func parseVersion(text string) (*fpoperator.Version, error) {
	if text == "none" {
		return nil, nil
	}
	term, index, _ := strings.Cut(text, "/")
	termNumber, termErr := strconv.ParseUint(term, 10, 64)
	indexNumber, indexErr := strconv.ParseUint(index, 10, 64)
	if termErr != nil || indexErr != nil {
		return nil, fperror.New(fperror.InvalidRequest, "--expected: %q; accepted: TERM/INDEX such as 3/41, or none", text)
	}
	return &fpoperator.Version{
		Term:  termNumber,
		Index: indexNumber,
	}, nil
}

// formatVersion is the inverse of parseVersion.
func formatVersion(ver *fpoperator.Version) string {
	if ver == nil {
		return "none"
	}
	return fmt.Sprintf("%d/%d", ver.GetTerm(), ver.GetIndex())
}

// maxSlotsPerMove bounds the slots of one command, so that a mistyped range is refused before it is sent.
const maxSlotsPerMove = 65536

// parseSlots parses slot numbers and ranges such as 5-9, which include both ends.
func parseSlots(texts []string) ([]uint32, error) {
	var slots []uint32
	for _, text := range texts {
		low, high, isRange := strings.Cut(text, "-")
		if !isRange {
			high = low
		}
		first, firstErr := strconv.ParseUint(low, 10, 32)
		last, lastErr := strconv.ParseUint(high, 10, 32)
		if firstErr != nil || lastErr != nil || first > last || last-first >= maxSlotsPerMove-uint64(len(slots)) {
			return nil, fperror.New(fperror.InvalidSettings,
				"--slots: %q; accepted: numbers and ranges such as 5-9, %d slots at most", text, maxSlotsPerMove)
		}
		for slot := first; slot <= last; slot++ {
			slots = append(slots, uint32(slot))
		}
	}
	return slots, nil
}

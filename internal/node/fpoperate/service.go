// Package fpoperate implements the operator service. It submits changes to the groups that decide them and collects the
// status of the deployment.
package fpoperate

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpconfig"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgrant"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// ErrorHeader is the response header that carries the error kind.
const ErrorHeader = "Foxtailpulley-Error"

// Timeouts and intervals of operator requests.
const (
	// leaderTimeout bounds the call to each VM that is asked for the leader of a group.
	leaderTimeout = 3 * time.Second
	// voterTimeout replaces leaderTimeout for a change of voters.
	voterTimeout = 5 * time.Minute
	// confirmInterval is how often the confirmations of a configuration are checked, and the delay before Drain tries again.
	confirmInterval = 50 * time.Millisecond
	// watchInterval is the time between two messages of Watch.
	watchInterval = time.Second
	// maxDrainAttempts bounds the proposals of Drain while other operators change the configuration concurrently.
	maxDrainAttempts = 5
	// defaultConfirmTimeout bounds the wait of ApplyConfiguration if the request sets no limit.
	defaultConfirmTimeout = 6 * time.Second
)

// Config configures a Service.
type Config struct {
	// Root is the name of the group that stores the configuration, Groups are the names of all groups.
	Root   string
	Groups []string
	// VMs are the names of all VMs.
	VMs []string
	// Identity returns the identity of the operator who sent a request.
	Identity func(ctx context.Context) string
	// Submit commits a command in a group and returns its result.
	Submit func(ctx context.Context, group string, cmd *fpwire.Command) (*fpwire.CommandResult, error)
	// CallLeader sends a request to the leader of its group. The timeout bounds the call to each VM that is asked.
	CallLeader func(ctx context.Context, req *fpwire.OperateRequest, timeout time.Duration) (*fpwire.OperateResponse, error)
	// Configuration returns the configuration in force on this VM and its version. The configuration is nil if there is none
	// yet.
	Configuration func() (fpgrant.Position, *fpoperator.Configuration)
	// LocalStatus returns the part of a status that this VM knows, with an entry for each group.
	LocalStatus func() *fpoperator.StatusResponse
	// Dump returns the state of a VM as JSON. An empty name means this VM.
	Dump func(ctx context.Context, vm string) (string, error)
}

// Service implements OperatorService of the API for operators.
type Service struct {
	cfg Config
}

// New returns a Service.
func New(cfg Config) *Service {
	return &Service{
		cfg: cfg,
	}
}

// connectError converts an error to a connect error with the status code of its kind, and the kind in ErrorHeader. A
// connect error without a kind of its own is returned unchanged.
func connectError(err error) error {
	var answer *connect.Error
	if errors.As(err, &answer) && fperror.KindOf(err) == fperror.Internal {
		return err
	}
	kin := fperror.KindOf(err)
	out := connect.NewError(kin.Answer().Code(), err)
	out.Meta().Set(ErrorHeader, kin.String())
	return out
}

// ApplyConfiguration proposes a configuration and waits until it is in force on all VMs, but at most for the time that the
// request allows. The response names the VMs that have not confirmed it.
func (ser *Service) ApplyConfiguration(ctx context.Context, req *connect.Request[fpoperator.ApplyConfigurationRequest]) (*connect.Response[fpoperator.ApplyConfigurationResponse], error) {
	if req.Msg.GetRequestId() == "" {
		return nil, connectError(fperror.New(fperror.InvalidRequest, "requestId is empty; a resent request needs the same id to get the first answer"))
	}
	version, err := ser.propose(ctx, req.Msg.GetRequestId(), req.Msg.GetExpected(), req.Msg.GetConfiguration())
	if err != nil {
		return nil, connectError(err)
	}
	limit := defaultConfirmTimeout
	if req.Msg.GetWait() != nil {
		limit = req.Msg.GetWait().AsDuration()
	}
	missing := ser.awaitInForce(ctx, version, limit)
	return connect.NewResponse(&fpoperator.ApplyConfigurationResponse{
		Accepted:    version,
		InForce:     len(missing) == 0,
		Unconfirmed: missing,
	}), nil
}

// propose submits a configuration to the root group and returns its version once it is committed.
func (ser *Service) propose(ctx context.Context, request string, expected *fpoperator.Version, cfg *fpoperator.Configuration) (*fpoperator.Version, error) {
	res, err := ser.cfg.Submit(ctx, ser.cfg.Root, &fpwire.Command{
		Kind: &fpwire.Command_Configure{
			Configure: &fpwire.Configure{
				RequestId:     request,
				Expected:      expected,
				Configuration: cfg,
				Operator:      ser.cfg.Identity(ctx),
			},
		},
	})
	if err != nil {
		return nil, err
	}
	return res.GetVersion(), nil
}

// awaitInForce waits until all VMs have confirmed a configuration, but at most for limit. It returns the names of the VMs
// that have not confirmed it.
func (ser *Service) awaitInForce(ctx context.Context, version *fpoperator.Version, limit time.Duration) []string {
	end := time.Now().Add(limit)
	for {
		missing := ser.unconfirmedVMs(ctx, fpgrant.PositionOf(version))
		if len(missing) == 0 || time.Now().After(end) || ctx.Err() != nil {
			return missing
		}
		sleep(ctx, confirmInterval)
	}
}

// unconfirmedVMs returns the names of the VMs that have not confirmed a version of the configuration, which are all VMs
// if the leader of the root group cannot be reached.
func (ser *Service) unconfirmedVMs(ctx context.Context, version fpgrant.Position) []string {
	missing := slices.Clone(ser.cfg.VMs)
	sta, err := ser.leaderStatus(ctx, ser.cfg.Root)
	if err != nil {
		return missing
	}
	for _, status := range sta.GetVms() {
		if !fpgrant.PositionOf(status.GetConfiguration()).Less(version) {
			missing = slices.DeleteFunc(missing, func(vm string) bool { return vm == status.GetName() })
		}
	}
	return missing
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

// GetConfiguration returns the configuration in force on this VM.
func (ser *Service) GetConfiguration(context.Context, *connect.Request[fpoperator.GetConfigurationRequest]) (*connect.Response[fpoperator.GetConfigurationResponse], error) {
	version, cfg := ser.cfg.Configuration()
	return connect.NewResponse(&fpoperator.GetConfigurationResponse{
		Version:       version.Version(),
		Configuration: cfg,
	}), nil
}

// Drain changes the lists of drained upstreams and VMs in the configuration. If another operator has changed the
// configuration in the meantime, Drain makes its change to the new version, because it does not depend on the rest of the
// configuration.
func (ser *Service) Drain(ctx context.Context, req *connect.Request[fpoperator.DrainRequest]) (*connect.Response[fpoperator.DrainResponse], error) {
	var last error
	request := req.Msg.GetRequestId()
	for num := range maxDrainAttempts {
		version, cfg := ser.cfg.Configuration()
		if cfg == nil {
			return nil, connectError(fperror.New(fperror.VersionConflict, "there is no configuration yet"))
		}
		next := proto.CloneOf(cfg)
		next.DrainedUpstreams = setListed(next.GetDrainedUpstreams(), req.Msg.GetUpstream(), req.Msg.GetUndo())
		next.DrainedVms = setListed(next.GetDrainedVms(), req.Msg.GetVm(), req.Msg.GetUndo())
		if num > 0 {
			request += "+"
		}
		accepted, err := ser.propose(ctx, request, version.Version(), next)
		if err == nil {
			return connect.NewResponse(&fpoperator.DrainResponse{
				Accepted: accepted,
			}), nil
		}
		last = err
		if !fperror.Is(err, fperror.VersionConflict) {
			break
		}
		sleep(ctx, confirmInterval)
	}
	return nil, connectError(last)
}

// setListed returns a copy of a list with a name added or removed. An empty name changes nothing.
func setListed(names []string, name string, remove bool) []string {
	if name == "" {
		return names
	}
	names = slices.DeleteFunc(slices.Clone(names), func(listed string) bool { return listed == name })
	if !remove {
		names = append(names, name)
	}
	return names
}

// MoveSlots asks the leaders of the home groups of the slots to move them to an upstream. If one of the groups fails,
// moves in other groups may already have started.
func (ser *Service) MoveSlots(ctx context.Context, req *connect.Request[fpoperator.MoveSlotsRequest]) (*connect.Response[fpoperator.MoveSlotsResponse], error) {
	byGroup, err := ser.slotsByGroup(req.Msg.GetService(), req.Msg.GetSlots())
	if err != nil {
		return nil, connectError(err)
	}
	res := &fpoperator.MoveSlotsResponse{}
	for group, slots := range byGroup {
		answer, err := ser.cfg.CallLeader(ctx, &fpwire.OperateRequest{
			Group: group,
			Request: &fpwire.OperateRequest_MoveSlots{
				MoveSlots: &fpoperator.MoveSlotsRequest{
					Service:  req.Msg.GetService(),
					Slots:    slots,
					Upstream: req.Msg.GetUpstream(),
				},
			},
		}, leaderTimeout)
		if err != nil {
			return nil, connectError(err)
		}
		res.Moving += answer.GetMoveSlots().GetMoving()
	}
	return connect.NewResponse(res), nil
}

// slotsByGroup returns the slots of a service by their home group.
func (ser *Service) slotsByGroup(service string, slots []uint32) (map[string][]uint32, error) {
	_, cfg := ser.cfg.Configuration()
	for _, svc := range cfg.GetServices() {
		if svc.GetName() != service {
			continue
		}
		byGroup := map[string][]uint32{}
		for _, slot := range slots {
			group := fpconfig.HomeOf(svc, slot)
			if group == "" {
				return nil, fperror.New(fperror.InvalidRequest, "slot %d of %s does not exist", slot, service)
			}
			byGroup[group] = append(byGroup[group], slot)
		}
		return byGroup, nil
	}
	return nil, fperror.New(fperror.InvalidRequest, "the service %q is not configured", service)
}

// ChangeVoter asks the leader of a group to add, repair or remove a voter. It returns once the change is committed.
func (ser *Service) ChangeVoter(ctx context.Context, req *connect.Request[fpoperator.ChangeVoterRequest]) (*connect.Response[fpoperator.ChangeVoterResponse], error) {
	res, err := ser.cfg.CallLeader(ctx, &fpwire.OperateRequest{
		Group: req.Msg.GetGroup(),
		Request: &fpwire.OperateRequest_ChangeVoter{
			ChangeVoter: req.Msg,
		},
	}, voterTimeout)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(res.GetChangeVoter()), nil
}

// ReleaseQuarantine removes a request from quarantine, after which it may run again.
func (ser *Service) ReleaseQuarantine(ctx context.Context, req *connect.Request[fpoperator.ReleaseQuarantineRequest]) (*connect.Response[fpoperator.ReleaseQuarantineResponse], error) {
	_, err := ser.cfg.Submit(ctx, req.Msg.GetGroup(), &fpwire.Command{
		Kind: &fpwire.Command_LiftQuarantine{
			LiftQuarantine: &fpwire.LiftQuarantine{
				Digest: req.Msg.GetDigest(),
			},
		},
	})
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&fpoperator.ReleaseQuarantineResponse{}), nil
}

// Dump returns the complete state of one VM as JSON.
func (ser *Service) Dump(ctx context.Context, req *connect.Request[fpoperator.DumpRequest]) (*connect.Response[fpoperator.DumpResponse], error) {
	state, err := ser.cfg.Dump(ctx, req.Msg.GetVm())
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&fpoperator.DumpResponse{
		State: state,
	}), nil
}

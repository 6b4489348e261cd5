// Package fpoperate serves operators: it proposes their changes to the groups that decide them and collects status.
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

// ErrorHeader carries the error kind of an answer.
const ErrorHeader = "Foxtailpulley-Error"

// Timeouts and intervals.
const (
	leaderTimeout  = 3 * time.Second
	voterTimeout   = 5 * time.Minute
	confirmPause   = 50 * time.Millisecond
	watchInterval  = time.Second
	maxDrainTries  = 5
	defaultConfirm = 6 * time.Second
)

// Config configures a Service.
type Config struct {
	// Root is the name of the group that stores the configuration, Groups are the names of all groups.
	Root   string
	Groups []string
	// VMs are the names of all VMs.
	VMs []string
	// Identity returns who makes a request.
	Identity func(ctx context.Context) string
	// Submit commits a command in a group.
	Submit func(ctx context.Context, group string, cmd *fpwire.Command) (*fpwire.CommandResult, error)
	// Leader runs a request on the leader of its group.
	Leader func(ctx context.Context, req *fpwire.OperateRequest, timeout time.Duration) (*fpwire.OperateResponse, error)
	// Configuration returns the configuration in force on this VM.
	Configuration func() (fpgrant.Position, *fpoperator.Configuration)
	// Local returns what this VM itself knows for a status.
	Local func() *fpoperator.StatusResponse
	// Dump returns the state of a VM; an empty name means this VM.
	Dump func(ctx context.Context, vm string) (string, error)
}

// Service implements OperatorService.
type Service struct {
	cfg Config
}

// New returns a service.
func New(cfg Config) *Service {
	return &Service{
		cfg: cfg,
	}
}

// failure returns the answer to an error: its code, with the kind in a header.
func failure(err error) error {
	var known *connect.Error
	if errors.As(err, &known) && fperror.KindOf(err) == fperror.Internal {
		return err
	}
	kin := fperror.KindOf(err)
	out := connect.NewError(kin.Answer().Code(), err)
	out.Meta().Set(ErrorHeader, kin.String())
	return out
}

// ApplyConfiguration proposes a configuration and waits until it is in force everywhere.
func (ser *Service) ApplyConfiguration(ctx context.Context, req *connect.Request[fpoperator.ApplyConfigurationRequest]) (*connect.Response[fpoperator.ApplyConfigurationResponse], error) {
	if req.Msg.GetRequestId() == "" {
		return nil, failure(fperror.New(fperror.InvalidRequest, "requestId is empty; a resent request needs the same id to get the first answer"))
	}
	version, err := ser.propose(ctx, req.Msg.GetRequestId(), req.Msg.GetExpected(), req.Msg.GetConfiguration())
	if err != nil {
		return nil, failure(err)
	}
	limit := defaultConfirm
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

// awaitInForce waits until every VM has confirmed a configuration, and returns those that have not.
func (ser *Service) awaitInForce(ctx context.Context, version *fpoperator.Version, limit time.Duration) []string {
	end := time.Now().Add(limit)
	for {
		missing := ser.unconfirmed(ctx, fpgrant.PositionOf(version))
		if len(missing) == 0 || time.Now().After(end) || ctx.Err() != nil {
			return missing
		}
		pause(ctx, confirmPause)
	}
}

func (ser *Service) unconfirmed(ctx context.Context, version fpgrant.Position) []string {
	missing := slices.Clone(ser.cfg.VMs)
	sta, err := ser.leaderStatus(ctx, ser.cfg.Root)
	if err != nil {
		return missing
	}
	for _, one := range sta.GetVms() {
		if !fpgrant.PositionOf(one.GetConfiguration()).Less(version) {
			missing = slices.DeleteFunc(missing, func(vm string) bool { return vm == one.GetName() })
		}
	}
	return missing
}

func pause(ctx context.Context, span time.Duration) {
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

// Drain changes the lists of drained upstreams and VMs in the configuration. It tries again when another operator changed
// the configuration in between, because the change of a list is independent of the rest.
func (ser *Service) Drain(ctx context.Context, req *connect.Request[fpoperator.DrainRequest]) (*connect.Response[fpoperator.DrainResponse], error) {
	var last error
	request := req.Msg.GetRequestId()
	for num := range maxDrainTries {
		version, cfg := ser.cfg.Configuration()
		if cfg == nil {
			return nil, failure(fperror.New(fperror.VersionConflict, "there is no configuration yet"))
		}
		next := proto.CloneOf(cfg)
		next.DrainedUpstreams = change(next.GetDrainedUpstreams(), req.Msg.GetUpstream(), req.Msg.GetUndo())
		next.DrainedVms = change(next.GetDrainedVms(), req.Msg.GetVm(), req.Msg.GetUndo())
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
		pause(ctx, confirmPause)
	}
	return nil, failure(last)
}

// change adds a name to a list or removes it.
func change(names []string, name string, remove bool) []string {
	if name == "" {
		return names
	}
	names = slices.DeleteFunc(slices.Clone(names), func(one string) bool { return one == name })
	if !remove {
		names = append(names, name)
	}
	return names
}

// MoveSlots asks the leaders of the groups that home the slots.
func (ser *Service) MoveSlots(ctx context.Context, req *connect.Request[fpoperator.MoveSlotsRequest]) (*connect.Response[fpoperator.MoveSlotsResponse], error) {
	homes, err := ser.homes(req.Msg.GetService(), req.Msg.GetSlots())
	if err != nil {
		return nil, failure(err)
	}
	res := &fpoperator.MoveSlotsResponse{}
	for group, slots := range homes {
		one, err := ser.cfg.Leader(ctx, &fpwire.OperateRequest{
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
			return nil, failure(err)
		}
		res.Moving += one.GetMoveSlots().GetMoving()
	}
	return connect.NewResponse(res), nil
}

// homes sorts slots of a service by the group that homes them.
func (ser *Service) homes(service string, slots []uint32) (map[string][]uint32, error) {
	_, cfg := ser.cfg.Configuration()
	for _, one := range cfg.GetServices() {
		if one.GetName() != service {
			continue
		}
		homes := map[string][]uint32{}
		for _, slot := range slots {
			group := fpconfig.HomeOf(one, slot)
			if group == "" {
				return nil, fperror.New(fperror.InvalidRequest, "slot %d of %s does not exist", slot, service)
			}
			homes[group] = append(homes[group], slot)
		}
		return homes, nil
	}
	return nil, fperror.New(fperror.InvalidRequest, "the service %q is not configured", service)
}

// ChangeVoter asks the leader of the group. It returns once the change is committed.
func (ser *Service) ChangeVoter(ctx context.Context, req *connect.Request[fpoperator.ChangeVoterRequest]) (*connect.Response[fpoperator.ChangeVoterResponse], error) {
	res, err := ser.cfg.Leader(ctx, &fpwire.OperateRequest{
		Group: req.Msg.GetGroup(),
		Request: &fpwire.OperateRequest_ChangeVoter{
			ChangeVoter: req.Msg,
		},
	}, voterTimeout)
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(res.GetChangeVoter()), nil
}

// ReleaseQuarantine lets a request run again.
func (ser *Service) ReleaseQuarantine(ctx context.Context, req *connect.Request[fpoperator.ReleaseQuarantineRequest]) (*connect.Response[fpoperator.ReleaseQuarantineResponse], error) {
	_, err := ser.cfg.Submit(ctx, req.Msg.GetGroup(), &fpwire.Command{
		Kind: &fpwire.Command_LiftQuarantine{
			LiftQuarantine: &fpwire.LiftQuarantine{
				Digest: req.Msg.GetDigest(),
			},
		},
	})
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(&fpoperator.ReleaseQuarantineResponse{}), nil
}

// Dump returns the whole state of one VM.
func (ser *Service) Dump(ctx context.Context, req *connect.Request[fpoperator.DumpRequest]) (*connect.Response[fpoperator.DumpResponse], error) {
	state, err := ser.cfg.Dump(ctx, req.Msg.GetVm())
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(&fpoperator.DumpResponse{
		State: state,
	}), nil
}

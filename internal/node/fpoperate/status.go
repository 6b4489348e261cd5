package fpoperate

import (
	"context"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Status returns the status that this VM and the leaders of all groups know. A group whose leader cannot be reached is
// listed without the information of its leader.
func (ser *Service) Status(ctx context.Context, _ *connect.Request[fpoperator.StatusRequest]) (*connect.Response[fpoperator.StatusResponse], error) {
	return connect.NewResponse(ser.status(ctx)), nil
}

func (ser *Service) status(ctx context.Context) *fpoperator.StatusResponse {
	out := ser.cfg.LocalStatus()
	answers := make([]*fpoperator.StatusResponse, len(ser.cfg.Groups))
	var wgr sync.WaitGroup
	for num, group := range ser.cfg.Groups {
		wgr.Go(func() { answers[num], _ = ser.leaderStatus(ctx, group) })
	}
	wgr.Wait()
	for num, group := range ser.cfg.Groups {
		ser.mergeGroup(out, group, answers[num])
	}
	ser.addMissingVMs(out)
	return out
}

// leaderStatus returns the status that the leader of a group knows.
func (ser *Service) leaderStatus(ctx context.Context, group string) (*fpoperator.StatusResponse, error) {
	res, err := ser.cfg.CallLeader(ctx, &fpwire.OperateRequest{
		Group: group,
		Request: &fpwire.OperateRequest_Status{
			Status: &fpoperator.StatusRequest{},
		},
	}, leaderTimeout)
	if err != nil {
		return nil, err
	}
	return res.GetStatus(), nil
}

// mergeGroup merges the status of the leader of a group into out, which has an entry for every group. A nil answer changes
// nothing.
func (ser *Service) mergeGroup(out *fpoperator.StatusResponse, group string, answer *fpoperator.StatusResponse) {
	if answer == nil {
		return
	}
	for _, gro := range out.GetGroups() {
		if gro.GetName() == group && len(answer.GetGroups()) == 1 {
			proto.Merge(gro, answer.GetGroups()[0])
		}
	}
	out.Upstreams = append(out.Upstreams, answer.GetUpstreams()...)
	out.Quarantined = append(out.Quarantined, answer.GetQuarantined()...)
	if group == ser.cfg.Root {
		out.Vms = answer.GetVms()
	}
}

// addMissingVMs adds an entry with only a name for each VM that the status of the root group's leader does not contain.
func (ser *Service) addMissingVMs(out *fpoperator.StatusResponse) {
	for _, vm := range ser.cfg.VMs {
		if !slices.ContainsFunc(out.GetVms(), func(sta *fpoperator.VmStatus) bool { return sta.GetName() == vm }) {
			out.Vms = append(out.Vms, &fpoperator.VmStatus{
				Name: vm,
			})
		}
	}
}

// Watch sends the status to the client once a second until ctx ends.
func (ser *Service) Watch(ctx context.Context, _ *connect.Request[fpoperator.WatchRequest], stream *connect.ServerStream[fpoperator.WatchResponse]) error {
	for ctx.Err() == nil {
		err := stream.Send(&fpoperator.WatchResponse{
			Status: ser.status(ctx),
		})
		if err != nil {
			return err
		}
		sleep(ctx, watchInterval)
	}
	return nil
}

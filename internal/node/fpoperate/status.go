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

// Status collects what this VM and the leaders of all groups know. A group without a reachable leader is listed without
// one.
func (ser *Service) Status(ctx context.Context, _ *connect.Request[fpoperator.StatusRequest]) (*connect.Response[fpoperator.StatusResponse], error) {
	return connect.NewResponse(ser.status(ctx)), nil
}

func (ser *Service) status(ctx context.Context) *fpoperator.StatusResponse {
	out := ser.cfg.Local()
	answers := make([]*fpoperator.StatusResponse, len(ser.cfg.Groups))
	var wgr sync.WaitGroup
	for num, group := range ser.cfg.Groups {
		wgr.Go(func() { answers[num], _ = ser.leaderStatus(ctx, group) })
	}
	wgr.Wait()
	for num, group := range ser.cfg.Groups {
		ser.merge(out, group, answers[num])
	}
	ser.addMissing(out)
	return out
}

// leaderStatus asks the leader of a group.
func (ser *Service) leaderStatus(ctx context.Context, group string) (*fpoperator.StatusResponse, error) {
	res, err := ser.cfg.Leader(ctx, &fpwire.OperateRequest{
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

// merge adds the answer of a group's leader. Local has an entry with this VM's table for every group.
func (ser *Service) merge(out *fpoperator.StatusResponse, group string, answer *fpoperator.StatusResponse) {
	if answer == nil {
		return
	}
	for _, one := range out.GetGroups() {
		if one.GetName() == group && len(answer.GetGroups()) == 1 {
			proto.Merge(one, answer.GetGroups()[0])
		}
	}
	out.Upstreams = append(out.Upstreams, answer.GetUpstreams()...)
	out.Quarantined = append(out.Quarantined, answer.GetQuarantined()...)
	if group == ser.cfg.Root {
		out.Vms = answer.GetVms()
	}
}

// addMissing lists VMs that the leader of the root group has not heard from.
func (ser *Service) addMissing(out *fpoperator.StatusResponse) {
	for _, vm := range ser.cfg.VMs {
		if !slices.ContainsFunc(out.GetVms(), func(one *fpoperator.VmStatus) bool { return one.GetName() == vm }) {
			out.Vms = append(out.Vms, &fpoperator.VmStatus{
				Name: vm,
			})
		}
	}
}

// Watch sends the status once a second.
func (ser *Service) Watch(ctx context.Context, _ *connect.Request[fpoperator.WatchRequest], stream *connect.ServerStream[fpoperator.WatchResponse]) error {
	for ctx.Err() == nil {
		err := stream.Send(&fpoperator.WatchResponse{
			Status: ser.status(ctx),
		})
		if err != nil {
			return err
		}
		pause(ctx, watchInterval)
	}
	return nil
}

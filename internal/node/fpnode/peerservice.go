package fpnode

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// peerService answers the calls of other VMs, and those of this VM to itself.
type peerService struct {
	nod *Node
}

// Step delivers consensus messages to the members of their groups on this VM.
func (per *peerService) Step(_ context.Context, req *connect.Request[fpwire.StepRequest]) (*connect.Response[fpwire.StepResponse], error) {
	for _, msg := range req.Msg.GetMessages() {
		if vot := per.nod.voters[msg.GetGroup()]; vot != nil {
			vot.Step(msg)
		}
	}
	return connect.NewResponse(&fpwire.StepResponse{}), nil
}

// Poll answers a poll if this VM leads the group. Otherwise it names the leader, or relays the poll to the leader if the
// sender asks for that.
func (per *peerService) Poll(ctx context.Context, req *connect.Request[fpwire.PollRequest]) (*connect.Response[fpwire.PollResponse], error) {
	group := req.Msg.GetGroup()
	res := &fpwire.PollResponse{
		Leader: per.nod.peers.Leader(group),
	}
	if vot := per.nod.voters[group]; vot != nil {
		res = vot.Poll(ctx, req.Msg)
	}
	next := per.nod.peers.Peer(res.GetLeader())
	if res.GetTerm() != 0 || !req.Msg.GetRelay() || next == nil || res.GetLeader() == per.nod.vm() {
		return connect.NewResponse(res), nil
	}
	req.Msg.Relay = false
	ctx, stop := per.leaderContext(ctx, group, res.GetLeader())
	defer stop()
	passed, err := next.Poll(ctx, connect.NewRequest(req.Msg))
	if err != nil && ctx.Err() != nil {
		return connect.NewResponse(&fpwire.PollResponse{
			Leader: per.nod.leaderOf(group),
		}), nil
	}
	return passed, err
}

// leaderCheckInterval is how often the leader is checked while a poll is relayed to it.
const leaderCheckInterval = 20 * time.Millisecond

// leaderContext returns a context that ends when leader is no longer the last known leader of the group. Without it, the
// sender of a poll that is relayed to a failed leader would have to wait for the timeout before it tries the next leader.
// The returned function releases the context.
func (per *peerService) leaderContext(ctx context.Context, group, leader string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil && per.nod.leaderOf(group) == leader {
			sleep(ctx, leaderCheckInterval)
		}
		cancel()
	}()
	return ctx, func() {
		cancel()
		<-done
	}
}

// Submit proposes commands if this VM leads the group. Otherwise it names the leader, or relays the commands to the
// leader if the sender asks for that.
func (per *peerService) Submit(ctx context.Context, req *connect.Request[fpwire.SubmitRequest]) (*connect.Response[fpwire.SubmitResponse], error) {
	group := req.Msg.GetGroup()
	res := &fpwire.SubmitResponse{
		Leader: per.nod.peers.Leader(group),
	}
	if vot := per.nod.voters[group]; vot != nil {
		results, led := vot.Submit(ctx, req.Msg.GetCommands())
		if led {
			return connect.NewResponse(&fpwire.SubmitResponse{
				Results: results,
			}), nil
		}
		res.Leader = vot.Leader()
	}
	next := per.nod.peers.Peer(res.GetLeader())
	if !req.Msg.GetRelay() || next == nil || res.GetLeader() == per.nod.vm() {
		return connect.NewResponse(res), nil
	}
	req.Msg.Relay = false
	return next.Submit(ctx, connect.NewRequest(req.Msg))
}

// Relay delivers the announcement of an upstream to the member of its group on this VM.
func (per *peerService) Relay(_ context.Context, req *connect.Request[fpwire.RelayRequest]) (*connect.Response[fpwire.RelayResponse], error) {
	vot := per.nod.voters[req.Msg.GetGroup()]
	if vot == nil {
		return nil, connect.NewError(connect.CodeNotFound, fperror.New(fperror.InvalidRequest, "this VM is not a member of group %s", req.Msg.GetGroup()))
	}
	vot.Announce(req.Msg.GetAnnounce())
	return connect.NewResponse(&fpwire.RelayResponse{}), nil
}

// PassGrant sends a grant to an upstream on behalf of a leader that cannot reach it.
func (per *peerService) PassGrant(ctx context.Context, req *connect.Request[fpwire.PassGrantRequest]) (*connect.Response[fpwire.PassGrantResponse], error) {
	res, err := per.nod.granter.sendDirect(ctx, req.Msg.GetAddress(), req.Msg.GetGrant())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&fpwire.PassGrantResponse{
		Answer: res,
	}), nil
}

// Operate runs an operator request on this VM. Errors of the request are part of the response.
func (per *peerService) Operate(ctx context.Context, req *connect.Request[fpwire.OperateRequest]) (*connect.Response[fpwire.OperateResponse], error) {
	return connect.NewResponse(per.nod.operate(ctx, req.Msg)), nil
}

// routerService serves the calls of upstreams.
type routerService struct {
	nod *Node
}

// announceTimeout bounds the relay of one announcement to the voters. A lost announcement is not sent again, because the
// upstream announces itself periodically.
const announceTimeout = 500 * time.Millisecond

// Announce passes an announcement to every voter of the upstream's group.
func (rou *routerService) Announce(ctx context.Context, req *connect.Request[fpcontract.AnnounceRequest]) (*connect.Response[fpcontract.AnnounceResponse], error) {
	ups := req.Msg.GetUpstream()
	if err := checkUpstream(ups); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	gro, ok := rou.nod.cfg.Settings.GroupOf(ups.GetDataCentre())
	if !ok {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			fperror.New(fperror.InvalidRequest, "no group serves data centre %q", ups.GetDataCentre()))
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	count := rou.nod.peers.Relay(ctx, &fpwire.RelayRequest{
		Announce: req.Msg,
		Group:    gro.Name(),
	})
	if count == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, fperror.New(fperror.NoQuorum, "no voter of group %s is reachable", gro.Name()))
	}
	return connect.NewResponse(&fpcontract.AnnounceResponse{
		RetryAfter: rou.nod.announceInterval(),
	}), nil
}

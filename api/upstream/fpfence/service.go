package fpfence

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract/fpcontractconnect"
)

// Service returns the path and the handler of UpstreamService, by which the router grants, drains and cancels.
func (fen *Fence) Service(opts ...connect.HandlerOption) (string, http.Handler) {
	return fpcontractconnect.NewUpstreamServiceHandler(&service{fence: fen}, opts...)
}

// service implements UpstreamService.
type service struct {
	fence *Fence
}

// Grant changes the granted set and extends the lease. A slot that is taken away is confirmed only when no request for it
// runs any more, because the leader gives it to its next owner after the confirmation.
func (ser *service) Grant(ctx context.Context, req *connect.Request[fpcontract.GrantRequest]) (*connect.Response[fpcontract.GrantResponse], error) {
	fen := ser.fence
	accepted, stopping := fen.take(req.Msg)
	if err := wait(ctx, stopping); err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewResponse(fen.confirm(req.Msg, accepted)), nil
}

// take applies a grant and cancels the requests that it no longer covers.
func (fen *Fence) take(msg *fpcontract.GrantRequest) (accepted bool, stopping []*run) {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	gra := fen.groups[msg.GetGroup()]
	if gra == nil {
		gra = newGrant()
		fen.groups[msg.GetGroup()] = gra
	}
	if msg.GetIncarnation() != fen.cfg.Incarnation || msg.GetTerm() < gra.term {
		return false, nil
	}
	if !fen.leased(gra, fen.cfg.now()) {
		gra.drop()
	}
	if msg.GetEcho() == 0 {
		gra.enter(msg.GetTerm())
		return true, nil
	}
	issued, known := fen.tokens.at(msg.GetEcho())
	if !known || !gra.accepts(msg) {
		gra.enter(msg.GetTerm())
		return false, nil
	}
	gra.enter(msg.GetTerm())
	gra.highest = msg.GetVersion()
	gra.change(msg)
	gra.lease.extend(lease{
		issued: issued,
		span:   msg.GetLease().AsDuration(),
	}, fen.cfg.now())
	return true, fen.work.cancelAll(func(run *run) bool {
		return run.group == msg.GetGroup() && !gra.serves(run.fence)
	})
}

// confirm answers a grant. The version counts as in force only now, so that a repeated message finds the base that it
// names until the requests have stopped.
func (fen *Fence) confirm(msg *fpcontract.GrantRequest, accepted bool) *fpcontract.GrantResponse {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	gra := fen.groups[msg.GetGroup()]
	if accepted && msg.GetEcho() != 0 && msg.GetTerm() == gra.term {
		gra.version = msg.GetVersion()
	}
	if !fen.leased(gra, fen.cfg.now()) {
		gra.drop()
	}
	return &fpcontract.GrantResponse{
		Accepted:    accepted,
		Token:       fen.tokens.issue(fen.cfg.now()),
		Version:     gra.version,
		Term:        gra.term,
		Incarnation: fen.cfg.Incarnation,
	}
}

// Drain has the upstream announce that it is leaving.
func (ser *service) Drain(context.Context, *connect.Request[fpcontract.DrainRequest]) (*connect.Response[fpcontract.DrainResponse], error) {
	ser.fence.Drain()
	return connect.NewResponse(&fpcontract.DrainResponse{
		Running: uint32(ser.fence.Running()),
	}), nil
}

// Cancel stops a request and returns when it no longer runs. A request that has not come yet is refused when it comes,
// because its bytes may still be on their way over another connection.
func (ser *service) Cancel(ctx context.Context, req *connect.Request[fpcontract.CancelRequest]) (*connect.Response[fpcontract.CancelResponse], error) {
	known, stopping := ser.fence.cancel(req.Msg.GetRequestId())
	if err := wait(ctx, stopping); err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewResponse(&fpcontract.CancelResponse{
		Known: known,
	}), nil
}

func (fen *Fence) cancel(id string) (known bool, stopping []*run) {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	if one := fen.work.running[id]; one != nil {
		one.cancel()
		return true, []*run{one}
	}
	if fen.work.ended.has(id) {
		return true, nil
	}
	fen.work.cancelled.add(id)
	return false, nil
}

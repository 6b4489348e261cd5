package fpfence

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract/fpcontractconnect"
)

// Service returns the path and the handler of UpstreamService. The router calls it to grant slots, to drain the upstream and to
// cancel requests.
func (fen *Fence) Service(opts ...connect.HandlerOption) (string, http.Handler) {
	return fpcontractconnect.NewUpstreamServiceHandler(&service{fence: fen}, opts...)
}

// service implements UpstreamService.
type service struct {
	fence *Fence
}

// Grant changes the set of granted slots and extends the lease. It returns only when no request for a removed slot is running,
// because the leader grants the slot to its next owner after the response.
func (ser *service) Grant(ctx context.Context, req *connect.Request[fpcontract.GrantRequest]) (*connect.Response[fpcontract.GrantResponse], error) {
	fen := ser.fence
	accepted, stopping := fen.applyGrant(req.Msg)
	if err := waitStopped(ctx, stopping); err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewResponse(fen.confirm(req.Msg, accepted)), nil
}

// applyGrant applies a grant, cancels the requests that it no longer covers, and returns those that have to stop. It does not
// change the version in force; see confirm.
func (fen *Fence) applyGrant(msg *fpcontract.GrantRequest) (accepted bool, stopping []*activeRequest) {
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
	if !fen.hasLease(gra, fen.cfg.now()) {
		gra.clear()
	}
	if msg.GetEcho() == 0 {
		gra.adoptTerm(msg.GetTerm())
		return true, nil
	}
	issued, known := fen.tokens.issuedAt(msg.GetEcho())
	if !known || !gra.accepts(msg) {
		gra.adoptTerm(msg.GetTerm())
		return false, nil
	}
	gra.adoptTerm(msg.GetTerm())
	gra.highest = msg.GetVersion()
	gra.apply(msg)
	gra.lease.extend(lease{
		issued:   issued,
		duration: msg.GetLease().AsDuration(),
	}, fen.cfg.now())
	return true, fen.tracker.stopAll(func(act *activeRequest) bool {
		return act.group == msg.GetGroup() && !gra.covers(act.slotEpoch)
	})
}

// confirm puts the version of an accepted grant in force and returns the response. It runs after the cancelled requests have
// stopped. Until then a repetition of the same change still finds its base in force.
func (fen *Fence) confirm(msg *fpcontract.GrantRequest, accepted bool) *fpcontract.GrantResponse {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	gra := fen.groups[msg.GetGroup()]
	if accepted && msg.GetEcho() != 0 && msg.GetTerm() == gra.term {
		gra.version = msg.GetVersion()
	}
	if !fen.hasLease(gra, fen.cfg.now()) {
		gra.clear()
	}
	return &fpcontract.GrantResponse{
		Accepted:    accepted,
		Token:       fen.tokens.issue(fen.cfg.now()),
		Version:     gra.version,
		Term:        gra.term,
		Incarnation: fen.cfg.Incarnation,
	}
}

// Drain marks the upstream as leaving and returns the number of requests that are running.
func (ser *service) Drain(context.Context, *connect.Request[fpcontract.DrainRequest]) (*connect.Response[fpcontract.DrainResponse], error) {
	ser.fence.Drain()
	return connect.NewResponse(&fpcontract.DrainResponse{
		Running: uint32(ser.fence.Running()),
	}), nil
}

// Cancel cancels a request and returns when it has stopped. A request that has not arrived yet is refused on arrival, because
// it may still be in transit on another connection.
func (ser *service) Cancel(ctx context.Context, req *connect.Request[fpcontract.CancelRequest]) (*connect.Response[fpcontract.CancelResponse], error) {
	known, stopping := ser.fence.cancel(req.Msg.GetRequestId())
	if err := waitStopped(ctx, stopping); err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewResponse(&fpcontract.CancelResponse{
		Known: known,
	}), nil
}

// cancel cancels a request and returns it if it has to stop. It reports whether the request was running or has ended.
func (fen *Fence) cancel(id string) (known bool, stopping []*activeRequest) {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	if act := fen.tracker.running[id]; act != nil {
		act.cancel()
		return true, []*activeRequest{act}
	}
	if fen.tracker.ended.has(id) {
		return true, nil
	}
	fen.tracker.cancelled.add(id)
	return false, nil
}

package fpgate

import (
	"context"
	"math"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// minPositionTimeout bounds the first requests for the positions of control VMs: opening a connection and a round trip. On a
	// saturated link both take longer, so the timeout doubles each time no control VM answers, up to maxPollMargin.
	minPositionTimeout = dialTimeout + 60*time.Millisecond
	// startPatience is how long an entry VM that starts waits for control VMs that don't answer while others do. It is about the time in
	// which processes that start together are up, and shorter than an election.
	startPatience = 250 * time.Millisecond
	// startPause is the time between two requests for the positions.
	startPause = 20 * time.Millisecond
)

// begin puts the first state in force. It asks all control VMs for their positions and takes the state from one that is current. If
// none is, for instance after a restart of all VMs, it takes the newest one, when all have answered or after startPatience: a control
// VM may have been down or cut off for long.
func (wat *watcher) begin(ctx context.Context) {
	var answered time.Time // the time of the first answer
	timeout := minPositionTimeout
	for ctx.Err() == nil {
		responses, at := wat.askPositions(ctx, timeout)
		if len(responses) == 0 {
			timeout = min(maxPollMargin, 2*timeout)
		}
		if answered.IsZero() {
			answered = at
		}
		newest, complete := fpdirectory.NewestResponse(responses)
		if newest != "" && (complete || time.Since(answered) >= startPatience) && wat.takeFirst(ctx, newest) {
			return
		}
		sleep(ctx, startPause)
	}
}

// takeFirst takes the whole state from a control VM, and reports whether it succeeded.
func (wat *watcher) takeFirst(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, watchWait+maxPollMargin)
	defer cancel()
	por := wat.fetch(ctx, address, 0)
	if por.res.GetStale() {
		wat.forwarder.RecordOutdated()
	}
	wat.apply(ctx, &por)
	if por.res == nil {
		wat.log.Info("taking the first state failed", zap.String("peer", address), zap.Error(por.err))
		return false
	}
	wat.log.Info("took the first state", zap.String("peer", address), zap.Uint64("index", por.res.GetIndex()), zap.Bool("stale", por.res.GetStale()))
	return true
}

// askPositions asks all known control VMs for their positions at the same time. It returns when one is current, when each has answered
// or failed, or startPatience after the first answer, which came at the returned time.
func (wat *watcher) askPositions(ctx context.Context, timeout time.Duration) (responses map[string]*fpstate.WatchResponse, answered time.Time) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	all := wat.addresses()
	results := make(chan pollResult, len(all))
	for _, address := range all {
		go func() { results <- wat.askPosition(ctx, address) }()
	}
	responses = map[string]*fpstate.WatchResponse{}
	for range all {
		por := <-results
		if por.err != nil {
			continue
		}
		wat.learnMembers(por.res)
		responses[por.address] = por.res
		if !por.res.GetStale() {
			break
		}
		if answered.IsZero() {
			answered = time.Now()
			time.AfterFunc(startPatience, cancel)
		}
	}
	return responses, answered
}

// askPosition asks a control VM for its position.
func (wat *watcher) askPosition(ctx context.Context, address string) pollResult {
	por := pollResult{
		address: address,
		sentAt:  time.Now(),
	}
	res, err := wat.clientOf(address).Watch(ctx, connect.NewRequest(&fpstate.WatchRequest{
		Vm:           wat.vm,
		After:        math.MaxUint64,
		PositionOnly: true,
	}))
	if err != nil {
		por.err = err
		return por
	}
	por.res = res.Msg
	return por
}

// learnMembers records the control VMs that a response names.
func (wat *watcher) learnMembers(res *fpstate.WatchResponse) {
	wat.mutex.Lock()
	defer wat.mutex.Unlock()
	if len(res.GetMembers()) > 0 {
		wat.members = res.GetMembers()
	}
}

package fppeer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// fakePeer is a VM that answers only polls, by calling poll.
type fakePeer struct {
	Peer
	poll func(ctx context.Context, req *fpwire.PollRequest) (*fpwire.PollResponse, error)
}

func (fak fakePeer) Poll(ctx context.Context, req *connect.Request[fpwire.PollRequest]) (*connect.Response[fpwire.PollResponse], error) {
	res, err := fak.poll(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(res), nil
}

// hangingPoll is the poll of a frozen VM: it blocks until ctx ends.
func hangingPoll(ctx context.Context, _ *fpwire.PollRequest) (*fpwire.PollResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

const pollHold = 250 * time.Millisecond

// newTestPeers returns the Peers of a VM named own. The VMs a, b and c are the voters of every group; polls holds their
// answers to polls.
func newTestPeers(polls map[string]func(context.Context, *fpwire.PollRequest) (*fpwire.PollResponse, error)) *Peers {
	prs := New(Config{
		VM:     "own",
		Voters: func(string) []string { return []string{"a", "b", "c"} },
	})
	for vm, poll := range polls {
		prs.clients[vm] = fakePeer{
			poll: poll,
		}
	}
	return prs
}

func newPollRequest() *fpwire.PollRequest {
	return &fpwire.PollRequest{
		Group: "r",
		Hold:  durationpb.New(pollHold),
	}
}

// TestPollSkipsUnresponsiveLeader guards against polls that wait for a frozen leader each time. The tables then expire
// although another VM has already been elected.
func TestPollSkipsUnresponsiveLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const election = 600 * time.Millisecond
		elected := time.Now().Add(election)
		follower := func(leads bool) func(context.Context, *fpwire.PollRequest) (*fpwire.PollResponse, error) {
			return func(context.Context, *fpwire.PollRequest) (*fpwire.PollResponse, error) {
				if leads && time.Now().After(elected) {
					return &fpwire.PollResponse{
						Term: 2,
					}, nil
				}
				return &fpwire.PollResponse{}, nil
			}
		}
		prs := newTestPeers(map[string]func(context.Context, *fpwire.PollRequest) (*fpwire.PollResponse, error){
			"a": hangingPoll,
			"b": follower(true),
			"c": follower(false),
		})
		prs.setLeader("r", "a")
		began := time.Now()
		for {
			if _, err := prs.Poll(t.Context(), newPollRequest()); err == nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		// Only the first poll may wait for the frozen VM.
		if took, limit := time.Since(began), election+100*time.Millisecond; took > limit {
			t.Errorf("polls reached the new leader after %v, more than %v", took, limit)
		}
	})
}

// TestPollRelayedToUnreachableLeader guards against a table that expires because every poll waits for a leader that this
// VM cannot reach, although other VMs can relay the poll.
func TestPollRelayedToUnreachableLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower := func(_ context.Context, req *fpwire.PollRequest) (*fpwire.PollResponse, error) {
			res := &fpwire.PollResponse{
				Leader: "a",
			}
			if req.GetRelay() {
				res.Term = 1
			}
			return res, nil
		}
		prs := newTestPeers(map[string]func(context.Context, *fpwire.PollRequest) (*fpwire.PollResponse, error){
			"a": hangingPoll,
			"b": follower,
			"c": follower,
		})
		prs.setLeader("r", "a")
		for num, limit := range []time.Duration{pollHold + pollMargin, 0} {
			began := time.Now()
			if _, err := prs.Poll(t.Context(), newPollRequest()); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); took > limit {
				t.Errorf("poll %d took %v, more than %v", num, took, limit)
			}
		}
	})
}

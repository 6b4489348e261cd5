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

// pollPeer is a VM that answers polls only.
type pollPeer struct {
	Peer
	poll func(ctx context.Context, req *fpwire.PollRequest) (*fpwire.PollResponse, error)
}

func (pee pollPeer) Poll(ctx context.Context, req *connect.Request[fpwire.PollRequest]) (*connect.Response[fpwire.PollResponse], error) {
	res, err := pee.poll(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(res), nil
}

// frozen is a VM that answers nothing.
func frozen(ctx context.Context, _ *fpwire.PollRequest) (*fpwire.PollResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

const pollHold = 250 * time.Millisecond

// peersOf returns a VM named own and the VMs a, b and c, which vote in every group.
func peersOf(polls map[string]func(context.Context, *fpwire.PollRequest) (*fpwire.PollResponse, error)) *Peers {
	prs := New(Config{
		VM:     "own",
		Voters: func(string) []string { return []string{"a", "b", "c"} },
	})
	for vm, poll := range polls {
		prs.clients[vm] = pollPeer{
			poll: poll,
		}
	}
	return prs
}

func pollOf() *fpwire.PollRequest {
	return &fpwire.PollRequest{
		Group: "r",
		Hold:  durationpb.New(pollHold),
	}
}

// TestFrozenLeader guards against polls that spend their time on a frozen leader again and again, while the tables expire
// although another VM leads already.
func TestFrozenLeader(t *testing.T) {
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
		prs := peersOf(map[string]func(context.Context, *fpwire.PollRequest) (*fpwire.PollResponse, error){
			"a": frozen,
			"b": follower(true),
			"c": follower(false),
		})
		prs.setLeader("r", "a")
		began := time.Now()
		for {
			if _, err := prs.Poll(t.Context(), pollOf()); err == nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		// Only the first poll waits for the frozen VM.
		if took, limit := time.Since(began), election+100*time.Millisecond; took > limit {
			t.Errorf("polls reached the new leader after %v, more than %v", took, limit)
		}
	})
}

// TestRelayToSilentLeader guards against a table that expires because every poll first waits for a leader that only a third
// VM reaches.
func TestRelayToSilentLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hint := func(_ context.Context, req *fpwire.PollRequest) (*fpwire.PollResponse, error) {
			res := &fpwire.PollResponse{
				Leader: "a",
			}
			if req.GetRelay() {
				res.Term = 1
			}
			return res, nil
		}
		prs := peersOf(map[string]func(context.Context, *fpwire.PollRequest) (*fpwire.PollResponse, error){
			"a": frozen,
			"b": hint,
			"c": hint,
		})
		prs.setLeader("r", "a")
		for num, limit := range []time.Duration{pollHold + pollMargin, 0} {
			began := time.Now()
			if _, err := prs.Poll(t.Context(), pollOf()); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); took > limit {
				t.Errorf("poll %d took %v, more than %v", num, took, limit)
			}
		}
	})
}

package fpfence

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract/fpcontractconnect"
)

const (
	// announceInterval is the time between announcements unless the router asks for a shorter one.
	announceInterval = time.Second
	// announceTimeout bounds one announcement, so that another entry VM is tried soon when one does not answer.
	announceTimeout = 500 * time.Millisecond
	// retryDelay is the time between a failed announcement and the next one.
	retryDelay = 100 * time.Millisecond
)

// announceLoop announces the upstream until ctx ends. After a failure it uses the next router of the list.
func (fen *Fence) announceLoop(ctx context.Context) {
	for next := 0; ctx.Err() == nil && len(fen.cfg.Routers) > 0; {
		delay, err := fen.announce(ctx, fen.cfg.Routers[next])
		if err != nil {
			next = (next + 1) % len(fen.cfg.Routers)
			delay = retryDelay
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// announce sends one announcement and returns the time until the next one.
func (fen *Fence) announce(ctx context.Context, router string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	cli := fpcontractconnect.NewRouterServiceClient(fen.client(), router)
	res, err := cli.Announce(ctx, connect.NewRequest(fen.announcement()))
	if err != nil {
		return 0, err
	}
	if after := res.Msg.GetRetryAfter().AsDuration(); after > 0 {
		return min(after, announceInterval), nil
	}
	return announceInterval, nil
}

// announcement returns a message with a new token.
func (fen *Fence) announcement() *fpcontract.AnnounceRequest {
	ups := fen.Upstream()
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	return &fpcontract.AnnounceRequest{
		Upstream: ups,
		Token:    fen.tokens.issue(fen.cfg.now()),
	}
}

func (fen *Fence) client() connect.HTTPClient {
	if fen.cfg.Client != nil {
		return fen.cfg.Client
	}
	return http.DefaultClient
}

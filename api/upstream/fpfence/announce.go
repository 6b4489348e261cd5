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
	// announceInterval is used unless the router asks for another one.
	announceInterval = time.Second
	// announceTimeout bounds one announcement, so that a silent entry VM does not hold up the others.
	announceTimeout = 500 * time.Millisecond
	// announcePause is the wait after a failed announcement.
	announcePause = 100 * time.Millisecond
)

// announceLoop announces the upstream until ctx ends.
func (fen *Fence) announceLoop(ctx context.Context) {
	for next := 0; ctx.Err() == nil && len(fen.cfg.Routers) > 0; {
		rest, err := fen.announce(ctx, fen.cfg.Routers[next])
		if err != nil {
			next = (next + 1) % len(fen.cfg.Routers)
			rest = announcePause
		}
		select {
		case <-time.After(rest):
		case <-ctx.Done():
		}
	}
}

// announce sends one announcement and returns when the next one is due.
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

// announcement returns a message with a fresh token.
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

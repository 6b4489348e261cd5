package fpcontrol

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpkeeper"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

const (
	// grantTimeout bounds the call for a grant.
	grantTimeout = 1200 * time.Millisecond
	// releaseTimeout bounds the call for a release, which is answered when the work on the keys has ended.
	releaseTimeout = 3 * time.Second
	// orderIdle is how long a connection for orders is kept without use. Renewals come more often than that, and upstreams
	// keep idle connections for longer.
	orderIdle = 2 * fpkeeper.DefaultRenewal
	// orderConnections is the number of idle connections for grants to one upstream, of which two may be in flight.
	orderConnections = 2
	// maxOrderHeader bounds the header of an answer to an order in bytes, which has a few lines. An upstream in trouble may
	// send bytes without end.
	maxOrderHeader = 16 << 10
	// freshFor is how long each order to an upstream has a connection of its own after a kept one has failed. Some
	// upstreams drop idle connections early.
	freshFor = 30 * time.Second
)

// orders sends orders to upstreams over kept connections: an upstream with a long queue resets new ones, or lets them wait
// behind its requests, so that the grants for its keys would lapse.
type orders struct {
	kept  *platform.Orders
	fresh *platform.Orders

	mutex sync.Mutex
	// failed is when a kept connection to an upstream last failed.
	failed map[string]time.Time
}

func newOrders() *orders {
	return &orders{
		kept: &platform.Orders{
			Client: newOrderClient(false),
		},
		fresh: &platform.Orders{
			Client: newOrderClient(true),
		},
		failed: map[string]time.Time{},
	}
}

// newOrderClient returns a client of orders to upstreams. Closing a connection discards bytes that were not delivered yet, so
// that an order that was given up does not arrive later.
func newOrderClient(fresh bool) *http.Client {
	dia := net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				con, err := dia.DialContext(ctx, network, address)
				if tcp, ok := con.(*net.TCPConn); ok {
					err = tcp.SetLinger(0)
				}
				return con, err
			},
			DisableKeepAlives:      fresh,
			IdleConnTimeout:        orderIdle,
			MaxIdleConnsPerHost:    orderConnections,
			MaxResponseHeaderBytes: maxOrderHeader,
		},
	}
}

// send sends an order. If a kept connection breaks, the order is sent once more on a new one, and the result is doubtful. A release
// always has a connection of its own: bytes that are left over on a kept one could be taken for the answer that its work has ended.
func (ors *orders) send(ctx context.Context, ord fpkeeper.Order) (fpkeeper.Result, error) {
	if ord.Action == fpkeeper.Release || ors.needsFresh(ord.Upstream.GetId()) {
		return sendOver(ctx, ors.fresh, ord)
	}
	reused := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
	})
	res, err := sendOver(traced, ors.kept, ord)
	if !reused || !fperror.Is(err, fperror.UpstreamLost) || ctx.Err() != nil {
		return res, err
	}
	ors.mutex.Lock()
	ors.failed[ord.Upstream.GetId()] = time.Now()
	ors.mutex.Unlock()
	res, err = sendOver(ctx, ors.fresh, ord)
	res.Uncertain = true
	// The first try may have reached the upstream even if the second did not.
	res.NotSent = false
	return res, err
}

// needsFresh reports whether a kept connection to an upstream has failed lately.
func (ors *orders) needsFresh(id string) bool {
	ors.mutex.Lock()
	defer ors.mutex.Unlock()
	at, ok := ors.failed[id]
	if ok && time.Since(at) > freshFor {
		delete(ors.failed, id)
		return false
	}
	return ok
}

func sendOver(ctx context.Context, client *platform.Orders, ord fpkeeper.Order) (fpkeeper.Result, error) {
	var res fpkeeper.Result
	var err error
	if ord.Action == fpkeeper.Grant {
		err = client.Grant(ctx, ord.Upstream, ord.Range, ord.Hold)
	} else {
		res.Handover, err = client.Release(ctx, ord.Upstream, ord.Range)
	}
	res.Answered = err == nil
	res.Fenced = fperror.Is(err, fperror.UpstreamFenced)
	res.NotSent = fperror.Is(err, fperror.ConnectFailed)
	return res, err
}

// execute sends an order to its upstream if this VM is sure to lead.
func (con *Control) execute(ctx context.Context, ord fpkeeper.Order) fpkeeper.Result {
	if !con.leads(ctx) {
		return fpkeeper.Result{
			Withheld: true,
		}
	}
	timeout := grantTimeout
	if ord.Action == fpkeeper.Release {
		timeout = releaseTimeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	res, err := con.orders.send(call, ord)
	if ord.Action == fpkeeper.Release {
		con.cfg.Log.Info("release ended", zap.String("upstream", ord.Upstream.GetId()), zap.Uint32("first", ord.Range.GetFirst()),
			zap.Uint32("last", ord.Range.GetLast()), zap.Uint64("fence", ord.Range.GetFence()), zap.Bool("answered", res.Answered),
			zap.Bool("doubtful", res.Uncertain), zap.Bool("handover", res.Handover != ""), zap.Duration("took", time.Since(sent)))
	}
	if err != nil {
		con.metrics.lostOrders.Add(1)
		con.cfg.Log.Info("order failed", zap.String("upstream", ord.Upstream.GetId()), zap.Uint8("action", uint8(ord.Action)),
			zap.Uint32("first", ord.Range.GetFirst()), zap.Uint64("fence", ord.Range.GetFence()), zap.Error(err))
	}
	return res
}

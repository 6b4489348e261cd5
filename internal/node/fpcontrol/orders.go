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
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

const (
	// grantTimeout bounds a call that grants or renews a range.
	grantTimeout = 1200 * time.Millisecond
	// releaseTimeout bounds a call that releases a range, which is answered when the work on the keys has ended.
	releaseTimeout = 3 * time.Second
	// orderIdleTimeout is how long a persistent connection for orders stays open without use. It is longer than the renewal
	// interval and shorter than the time for which upstreams keep idle connections.
	orderIdleTimeout = 2 * fpkeeper.DefaultRenewal
	// maxIdleOrderConnections is the number of idle connections for grants to one upstream. At most two grants to it are in
	// flight.
	maxIdleOrderConnections = 2
	// maxOrderHeaderBytes bounds the header of an answer to an order in bytes. A normal one has a few lines, but a faulty
	// upstream may send bytes without end.
	maxOrderHeaderBytes = 16 << 10
	// freshConnectionFor is how long each order to an upstream uses a new connection after a persistent one has failed,
	// because some upstreams drop idle connections early.
	freshConnectionFor = 30 * time.Second
)

// orderSender sends orders to upstreams. Grants use persistent connections: an upstream with a long queue resets new
// connections or lets them wait behind its requests, and the grants for its keys would expire. It is safe for concurrent use.
type orderSender struct {
	persistent *platform.OrderSender // over persistent connections
	fresh      *platform.OrderSender // over a new connection for each order

	mutex sync.Mutex
	// lastFailure is when a persistent connection to an upstream last failed, by the id of the upstream.
	lastFailure map[string]time.Time
}

// newOrderSender returns a sender that passes to observe, for each answer, whether its upstream says that it leaves. Nil: nobody is
// told.
func newOrderSender(observe func(ups *fpstate.Upstream, leaving bool)) *orderSender {
	return &orderSender{
		persistent: &platform.OrderSender{
			Client:  newOrderClient(false),
			Observe: observe,
		},
		fresh: &platform.OrderSender{
			Client:  newOrderClient(true),
			Observe: observe,
		},
		lastFailure: map[string]time.Time{},
	}
}

// newOrderClient returns an HTTP client for orders to upstreams, with a new connection for each order if fresh is true.
// Closing a connection discards bytes that were not delivered yet, so that an abandoned order does not arrive later.
func newOrderClient(fresh bool) *http.Client {
	dia := net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		// An upstream may not send an order to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				con, err := dia.DialContext(ctx, network, address)
				tcp, ok := con.(*net.TCPConn)
				if !ok {
					return con, err
				}
				return &orderConn{
					Conn: tcp,
				}, tcp.SetLinger(0)
			},
			DisableKeepAlives:      fresh,
			IdleConnTimeout:        orderIdleTimeout,
			MaxIdleConnsPerHost:    maxIdleOrderConnections,
			MaxResponseHeaderBytes: maxOrderHeaderBytes,
		},
	}
}

// send sends an order. If a persistent connection breaks, it sends the order once more over a new connection, and the result
// is uncertain. A release always uses a new connection: bytes left over on a persistent one could be taken for the answer that
// the work on its keys has ended. So does a grant whose answer has to be its own.
func (snd *orderSender) send(ctx context.Context, ord fpkeeper.Order) (fpkeeper.Result, error) {
	if ord.Action == fpkeeper.Release || ord.Proof || snd.needsFreshConnection(ord.Upstream.GetId()) {
		return sendOver(ctx, snd.fresh, ord)
	}
	reused := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
	})
	res, err := sendOver(traced, snd.persistent, ord)
	res.Unproven = res.Answered && reused // answers do not name the order
	if !reused || !fperror.Is(err, fperror.UpstreamLost) || ctx.Err() != nil {
		return res, err
	}
	snd.mutex.Lock()
	snd.lastFailure[ord.Upstream.GetId()] = time.Now()
	snd.mutex.Unlock()
	res, err = sendOver(ctx, snd.fresh, ord)
	res.Uncertain = true
	// The first attempt may have taken effect even if the second was not sent or was refused.
	res.NotSent = false
	res.Fenced = false
	return res, err
}

// needsFreshConnection reports whether a persistent connection to an upstream has failed within freshConnectionFor.
func (snd *orderSender) needsFreshConnection(id string) bool {
	snd.mutex.Lock()
	defer snd.mutex.Unlock()
	at, ok := snd.lastFailure[id]
	if ok && time.Since(at) > freshConnectionFor {
		delete(snd.lastFailure, id)
		return false
	}
	return ok
}

// sendOver sends an order with a client and returns its result, and the error of the call.
func sendOver(ctx context.Context, client *platform.OrderSender, ord fpkeeper.Order) (fpkeeper.Result, error) {
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
	res.Misdirected = fperror.Is(err, fperror.NoUpstream)
	return res, err
}

// execute sends an order that was decided on in a term to its upstream, and logs failures. It withholds the order if this VM has no valid
// leader lease of that term when the order is due or when its bytes would leave.
func (con *Control) execute(ctx context.Context, term uint64, ord fpkeeper.Order) fpkeeper.Result {
	timeout := grantTimeout
	if ord.Action == fpkeeper.Release {
		timeout = releaseTimeout
	}
	per, call, cancel, err := con.startPermit(ctx, term, timeout)
	if err != nil {
		return fpkeeper.Result{
			Withheld: true,
		}
	}
	defer cancel()
	if con.misdirected(call, ord.Upstream) {
		return fpkeeper.Result{
			Misdirected: true,
		}
	}
	sent := time.Now()
	res, err := con.orders.send(call, ord)
	if err != nil && per.withheld() {
		return fpkeeper.Result{
			Withheld: true,
		}
	}
	if ord.Action == fpkeeper.Release {
		con.cfg.Log.Info("release ended", zap.String("upstream", ord.Upstream.GetId()), zap.Uint32("first", ord.Range.GetFirst()),
			zap.Uint32("last", ord.Range.GetLast()), zap.Uint64("fence", ord.Range.GetFence()), zap.Bool("answered", res.Answered),
			zap.Bool("doubtful", res.Uncertain), zap.Bool("handover", res.Handover != ""), zap.Duration("took", time.Since(sent)))
	}
	if err == nil && ord.Action == fpkeeper.Grant && ord.Range.GetPhase() == fpstate.Phase_PHASE_GRANTING {
		con.cfg.Log.Info("range granted", zap.String("upstream", ord.Upstream.GetId()), zap.Uint32("first", ord.Range.GetFirst()),
			zap.Uint32("last", ord.Range.GetLast()), zap.Uint64("fence", ord.Range.GetFence()), zap.Duration("took", time.Since(sent)))
	}
	if err != nil {
		con.metrics.lostOrders.Add(1)
		con.cfg.Log.Info("order failed", zap.String("upstream", ord.Upstream.GetId()), zap.Uint8("action", uint8(ord.Action)),
			zap.Uint32("first", ord.Range.GetFirst()), zap.Uint64("fence", ord.Range.GetFence()), zap.Error(err))
	}
	return res
}

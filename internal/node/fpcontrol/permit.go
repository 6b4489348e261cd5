package fpcontrol

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
)

// permitCheckInterval is the time between two checks of the lease while an order is in flight.
const permitCheckInterval = 50 * time.Millisecond

// permit lets one order send bytes while this VM holds the leader lease in one term. It ends the order maxLeaseLapse after the lease,
// whatever the placement loop waits for: until then, lost bytes may be sent again.
type permit struct {
	lead func(ctx context.Context) (fpgroup.Leadership, error)
	// last is the last valid lease. Only watch uses it.
	last fpgroup.Leadership
	term uint64
	// used states that bytes of the order may have left. refused states that bytes were held back, or the order was ended.
	used    atomic.Bool
	refused atomic.Bool
}

// startPermit returns the permit of an order that was decided on in a term, and the context for it, which is derived from ctx and must be
// cancelled. The error is that of lead if there is no valid lease, and of kind NotLeader if this VM leads in another term.
func (con *Control) startPermit(ctx context.Context, term uint64, timeout time.Duration) (*permit, context.Context, context.CancelFunc, error) {
	lea, err := con.lead(ctx)
	if err != nil {
		return nil, nil, nil, err
	}
	if lea.Term != term {
		return nil, nil, nil, fperror.New(fperror.NotLeader, "the order was decided on in term %d, and this VM leads in term %d", term, lea.Term)
	}
	per := &permit{
		lead: con.lead,
		last: lea,
		term: term,
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	go per.watch(ctx, cancel)
	return per, httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if con, ok := info.Conn.(*orderConn); ok {
				con.permit = per
			}
		},
	}), cancel, nil
}

// watch calls cancel maxLeaseLapse after the end of the lease. It returns when ctx ends.
func (per *permit) watch(ctx context.Context, cancel context.CancelFunc) {
	for sleep(ctx, permitCheckInterval) {
		lea, err := per.lead(ctx)
		if err == nil && lea.Term == per.term {
			per.last = lea
			continue
		}
		if !per.last.Valid(time.Now().Add(-maxLeaseLapse)) {
			per.refused.Store(true)
			cancel()
		}
	}
}

// allow reports whether bytes of the order may leave now.
func (per *permit) allow() bool {
	lea, err := per.lead(context.Background())
	if err != nil || lea.Term != per.term {
		per.refused.Store(true)
		return false
	}
	per.used.Store(true)
	return true
}

// withheld reports whether the order was not sent because the lease had ended.
func (per *permit) withheld() bool { return per.refused.Load() && !per.used.Load() }

// orderConn is a connection to an upstream that sends bytes only with the permit of its current order.
type orderConn struct {
	net.Conn

	permit *permit // nil: all bytes may leave
}

// Write sends bytes. The error is of kind NoQuorum if they must not leave any more.
func (con *orderConn) Write(buf []byte) (int, error) {
	if con.permit != nil && !con.permit.allow() {
		return 0, fperror.New(fperror.NoQuorum, "the leader lease has ended before the order was sent")
	}
	return con.Conn.Write(buf)
}

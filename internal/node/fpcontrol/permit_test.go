package fpcontrol

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpkeeper"
)

// fixedTerm is the term of a fixedLease.
const fixedTerm = 3

// fixedLease is the lease of a leader that is not renewed.
type fixedLease struct {
	validUntil atomic.Pointer[time.Time]
}

func newFixedLease(length time.Duration) *fixedLease {
	lea := &fixedLease{}
	lea.endIn(length)
	return lea
}

func (lea *fixedLease) endIn(length time.Duration) {
	end := time.Now().Add(length)
	lea.validUntil.Store(&end)
}

func (lea *fixedLease) leadership(context.Context) (fpgroup.Leadership, error) {
	held := fpgroup.Leadership{
		Term:       fixedTerm,
		ValidUntil: *lea.validUntil.Load(),
	}
	if !held.Valid(time.Now()) {
		return fpgroup.Leadership{}, fperror.New(fperror.NoQuorum, "the lease has ended")
	}
	return held, nil
}

func (lea *fixedLease) control() *Control {
	return &Control{
		cfg: Config{
			Log: zap.NewNop(),
		},
		directory: fpdirectory.New(),
		lead:      lea.leadership,
		orders:    newOrderSender(nil),
	}
}

// TestOrderAfterDialNeedsLease guards against an order that leaves after the lease of its leader has ended, because opening the
// connection took longer than the rest of the lease. The next leader gives the keys away before the hold time of such a grant ends.
func TestOrderAfterDialNeedsLease(t *testing.T) {
	const rest, slowDial = 100 * time.Millisecond, 200 * time.Millisecond
	for name, act := range map[string]fpkeeper.Action{
		"grant":   fpkeeper.Grant,
		"release": fpkeeper.Release,
	} {
		t.Run(name, func(t *testing.T) {
			ups := newCountingUpstream(t)
			con := newFixedLease(rest).control()
			for _, cli := range []*http.Client{con.orders.persistent.Client, con.orders.fresh.Client} {
				tra := cli.Transport.(*http.Transport)
				dial := tra.DialContext
				tra.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
					time.Sleep(slowDial)
					return dial(ctx, network, address)
				}
			}
			ord := ups.order()
			ord.Action = act
			res := con.execute(t.Context(), fixedTerm, ord)
			if got := ups.answers.Load(); got != 0 || !res.Withheld {
				t.Errorf("got %d orders after the end of the lease and %+v, want none and a withheld order", got, res)
			}
		})
	}
}

// TestOrderNeedsLeaseOfItsTerm guards against an order that was decided on in a term that has ended, and that leaves after this VM has
// been elected again: another leader may have decided differently in between.
func TestOrderNeedsLeaseOfItsTerm(t *testing.T) {
	ups := newCountingUpstream(t)
	res := newFixedLease(time.Minute).control().execute(t.Context(), fixedTerm-2, ups.order())
	if got := ups.answers.Load(); got != 0 || !res.Withheld {
		t.Errorf("got %d orders of an earlier term and %+v, want none and a withheld order", got, res)
	}
}

// TestSecondAttemptNeedsLease guards against an order whose second attempt, over a new connection, leaves after the lease of its
// leader has ended.
func TestSecondAttemptNeedsLease(t *testing.T) {
	lea := newFixedLease(time.Minute)
	calls := atomic.Int64{}
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if calls.Add(1) == 2 {
			lea.endIn(0)
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	con := lea.control()
	ord := (&countingUpstream{
		server: srv,
	}).order()
	if res := con.execute(t.Context(), fixedTerm, ord); !res.Answered {
		t.Fatalf("got %+v", res)
	}
	res := con.execute(t.Context(), fixedTerm, ord)
	if got := calls.Load(); got != 2 {
		t.Errorf("the upstream got %d orders, want 2: the last one after the end of the lease", got)
	}
	// The first attempt may take effect, so the result must not say that nothing was sent.
	if res.Answered || res.Withheld || res.NotSent || !res.Uncertain {
		t.Errorf("got %+v, want an uncertain order", res)
	}
}

// TestOrderInFlightEndsAfterLease guards against an order that stays in flight, where lost bytes are sent again, for longer after
// the lease of its leader than the next leader allows for. The placement loop, which may wait for a commit, doesn't run here.
func TestOrderInFlightEndsAfterLease(t *testing.T) {
	const rest, slack = 150 * time.Millisecond, 100 * time.Millisecond
	lis, err := net.Listen("tcp", "127.0.0.1:0") // accepts no connection, as a paused upstream
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	lea := newFixedLease(rest)
	ord := (&countingUpstream{
		server: &httptest.Server{
			URL: "http://" + lis.Addr().String(),
		},
	}).order()
	res := lea.control().execute(t.Context(), fixedTerm, ord)
	if late := time.Since(*lea.validUntil.Load()); late > maxLeaseLapse+slack {
		t.Errorf("the order ended %v after the lease, want at most %v", late, maxLeaseLapse)
	}
	if res.Withheld || res.NotSent || res.Answered {
		t.Errorf("got %+v, want an order that may take effect", res)
	}
}

// TestRenewedLeaseKeepsOrders guards against orders that end with the lease that was valid when they left, although the lease was
// renewed.
func TestRenewedLeaseKeepsOrders(t *testing.T) {
	lea := newFixedLease(groupLease)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		for range 10 {
			lea.endIn(groupLease)
			sleep(req.Context(), groupHeartbeat)
		}
	}))
	defer srv.Close()
	ord := (&countingUpstream{
		server: srv,
	}).order()
	if res := lea.control().execute(t.Context(), fixedTerm, ord); !res.Answered {
		t.Errorf("got %+v, want an answered order", res)
	}
}

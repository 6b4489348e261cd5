package fpcontrol

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpkeeper"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// countingUpstream is an upstream that counts its connections and answers.
type countingUpstream struct {
	server  *httptest.Server
	opened  atomic.Int64
	answers atomic.Int64
	// abortNext closes the connection of the next call without an answer. It is reset by that call.
	abortNext atomic.Bool
}

func newCountingUpstream(t *testing.T) *countingUpstream {
	ups := &countingUpstream{}
	ups.server = httptest.NewUnstartedServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		if ups.abortNext.CompareAndSwap(true, false) {
			panic(http.ErrAbortHandler)
		}
		ups.answers.Add(1)
		wri.WriteHeader(http.StatusOK)
	}))
	ups.server.Config.ConnState = func(_ net.Conn, sta http.ConnState) {
		if sta == http.StateNew {
			ups.opened.Add(1)
		}
	}
	ups.server.Start()
	t.Cleanup(ups.server.Close)
	return ups
}

func (ups *countingUpstream) order() fpkeeper.Order {
	return fpkeeper.Order{
		Service: "s",
		Action:  fpkeeper.Grant,
		Upstream: &fpstate.Upstream{
			Id:      "one",
			Address: strings.TrimPrefix(ups.server.URL, "http://"),
		},
		Range: &fpstate.Range{
			Last:  10,
			Fence: 1,
		},
		Hold: time.Second,
	}
}

// TestRenewalsReuseConnection guards against renewals that open a new connection each: an upstream with a long queue resets new
// connections or lets them wait, and then loses its keys.
func TestRenewalsReuseConnection(t *testing.T) {
	ups := newCountingUpstream(t)
	snd := newOrderSender(nil)
	for range 5 {
		if res, err := snd.send(t.Context(), ups.order()); err != nil || !res.Answered || res.Uncertain {
			t.Fatalf("got %+v, %v", res, err)
		}
	}
	if got := ups.opened.Load(); got != 1 {
		t.Errorf("%d connections for 5 renewals, want 1", got)
	}
}

// TestDroppedIdleConnectionIsRetried guards against grants that expire at an upstream that drops idle connections. It also guards
// against a second owner of the keys: the call on the broken connection may take effect later, so the result must be uncertain.
func TestDroppedIdleConnectionIsRetried(t *testing.T) {
	ups := newCountingUpstream(t)
	snd := newOrderSender(nil)
	if _, err := snd.send(t.Context(), ups.order()); err != nil {
		t.Fatal(err)
	}
	ups.abortNext.Store(true)
	res, err := snd.send(t.Context(), ups.order())
	if err != nil || !res.Answered {
		t.Fatalf("the order was not retried: %+v, %v", res, err)
	}
	if !res.Uncertain {
		t.Error("the result is not uncertain, although the first attempt got no answer")
	}
	before := ups.opened.Load()
	for range 3 {
		if res, err := snd.send(t.Context(), ups.order()); err != nil || res.Uncertain {
			t.Fatalf("got %+v, %v", res, err)
		}
	}
	if got := ups.opened.Load() - before; got != 3 {
		t.Errorf("%d new connections for 3 orders after a persistent one broke, want 3", got)
	}
}

// TestReleasesUseFreshConnections guards against a release that takes bytes left over on a persistent connection for its
// answer. Its keys would go to another upstream while work on them goes on.
func TestReleasesUseFreshConnections(t *testing.T) {
	ups := newCountingUpstream(t)
	snd := newOrderSender(nil)
	if _, err := snd.send(t.Context(), ups.order()); err != nil {
		t.Fatal(err)
	}
	release := ups.order()
	release.Action = fpkeeper.Release
	before := ups.opened.Load()
	for range 2 {
		if res, err := snd.send(t.Context(), release); err != nil || !res.Answered {
			t.Fatalf("got %+v, %v", res, err)
		}
	}
	if got := ups.opened.Load() - before; got != 2 {
		t.Errorf("%d new connections for 2 releases, want 2", got)
	}
}

// TestLateAnswerIsNotConfirmation guards against an order that counts as confirmed because an upstream has sent the answer to a
// request a second time on the connection. The upstream may not have received the order, or may execute it later.
func TestLateAnswerIsNotConfirmation(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	second := "HTTP/1.1 200 OK\r\n" + platform.AnswerLines(platform.Answer{
		Attempt: "a",
		Signed:  true,
	}) + "Content-Length: 2\r\n\r\nok"
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = con.Close() }()
				red := bufio.NewReader(con)
				for num := 0; ; num++ {
					req, err := http.ReadRequest(red)
					if err != nil {
						return
					}
					_, err = io.Copy(io.Discard, req.Body)
					text := answer
					if num > 0 {
						text = second
					}
					if _, errWrite := io.WriteString(con, text); err != nil || errWrite != nil {
						return
					}
				}
			}()
		}
	}()
	ups := &countingUpstream{
		server: &httptest.Server{
			URL: "http://" + lis.Addr().String(),
		},
	}
	snd := newOrderSender(nil)
	if res, err := snd.send(t.Context(), ups.order()); err != nil || res.Uncertain {
		t.Fatalf("got %+v, %v", res, err)
	}
	res, err := snd.send(t.Context(), ups.order())
	if err != nil || !res.Uncertain {
		t.Errorf("got %+v, %v, want an order whose first attempt may take effect later", res, err)
	}
}

// TestRepeatedRefusalOfOrder guards against a grant that counts as refused although it arrived, because the upstream has sent the
// refusal of an earlier order once more on the connection. Its keys would go to another upstream while it holds them.
func TestRepeatedRefusalOfOrder(t *testing.T) {
	for name, refusals := range map[string]int64{
		"the second attempt is answered": 2,
		"the second attempt is refused":  3,
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) <= refusals {
					wri.WriteHeader(http.StatusConflict) // the second one repeats the first
				}
			}))
			t.Cleanup(srv.Close)
			ups := &countingUpstream{
				server: srv,
			}
			snd := newOrderSender(nil)
			if res, err := snd.send(t.Context(), ups.order()); err == nil || !res.Fenced {
				t.Fatalf("got %+v, %v, want a refusal on a new connection", res, err)
			}
			if res, err := snd.send(t.Context(), ups.order()); res.Fenced || !res.Uncertain {
				t.Errorf("got %+v, %v, want an order whose first attempt may take effect", res, err)
			}
		})
	}
}

// TestEndlessAnswersToOrdersAreBounded guards against answers with an endless header or body, to orders or probes, that use up the memory
// of a control VM or delay its orders.
func TestEndlessAnswersToOrdersAreBounded(t *testing.T) {
	const (
		processBytes = 280 << 20 // memory of a control VM
		orders       = 200
		slack        = 500 * time.Millisecond
	)
	for name, start := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX: ",
		"body": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = lis.Close() }()
			go func() {
				for {
					con, err := lis.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = con.Close() }()
						_, err := io.WriteString(con, start)
						for chunk := strings.Repeat("x", 4096); err == nil; {
							_, err = io.WriteString(con, chunk)
						}
					}()
				}
			}()
			ups := &countingUpstream{
				server: &httptest.Server{
					URL: "http://" + lis.Addr().String(),
				},
			}
			snd := newOrderSender(nil)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(t.Context(), grantTimeout)
			defer cancel()
			began := time.Now()
			var group sync.WaitGroup
			for range orders {
				group.Go(func() {
					if res, err := snd.send(ctx, ups.order()); name == "head" && (err == nil || res.Answered) {
						t.Errorf("got %+v, %v", res, err)
					}
				})
			}
			group.Wait()
			runtime.ReadMemStats(&after)
			if ended, _ := snd.fresh.HasEnded(ctx, ups.order().Upstream, ""); ended {
				t.Error("an endless answer to a probe counts as that of another upstream")
			}
			if took := time.Since(began); took > grantTimeout+slack {
				t.Errorf("the orders took %v, want at most %v", took, grantTimeout)
			}
			if growth := after.HeapInuse - min(after.HeapInuse, before.HeapInuse); growth > processBytes/2 {
				t.Errorf("the heap grew by %d MiB, want at most half of the %d MiB of the process", growth>>20, processBytes>>20)
			}
		})
	}
}

// TestRedirectedOrderIsNotFollowed guards against an order or a probe that a faulty upstream sends to another address: its answer would
// count as that of the upstream.
func TestRedirectedOrderIsNotFollowed(t *testing.T) {
	reached := atomic.Int64{}
	other := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		reached.Add(1)
		wri.WriteHeader(http.StatusMisdirectedRequest)
	}))
	defer other.Close()
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		http.Redirect(wri, req, other.URL+req.URL.Path, http.StatusTemporaryRedirect)
	}))
	defer srv.Close()
	ups := &countingUpstream{
		server: srv,
	}
	snd := newOrderSender(nil)
	if res, err := snd.send(t.Context(), ups.order()); err == nil || res.Answered || res.Misdirected {
		t.Errorf("got %+v, %v for an order", res, err)
	}
	if ended, err := snd.fresh.HasEnded(t.Context(), ups.order().Upstream, ""); err != nil || ended {
		t.Errorf("got %t, %v for a probe", ended, err)
	}
	if reached.Load() > 0 {
		t.Errorf("%d calls reached another address", reached.Load())
	}
}

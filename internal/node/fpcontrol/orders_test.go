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

// orderedUpstream is an upstream that counts its connections.
type orderedUpstream struct {
	server  *httptest.Server
	opened  atomic.Int64
	answers atomic.Int64
	// silent breaks off the connection of each call that is not the first on it.
	silent atomic.Bool
}

func newOrderedUpstream(t *testing.T) *orderedUpstream {
	ups := &orderedUpstream{}
	ups.server = httptest.NewUnstartedServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		if ups.silent.CompareAndSwap(true, false) {
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

func (ups *orderedUpstream) order() fpkeeper.Order {
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

// TestKeptConnections guards against renewals that need a new connection each: an upstream with a long queue resets those or
// lets them wait, and then loses its keys.
func TestKeptConnections(t *testing.T) {
	ups := newOrderedUpstream(t)
	ors := newOrders()
	for range 5 {
		if res, err := ors.send(t.Context(), ups.order()); err != nil || !res.Answered || res.Uncertain {
			t.Fatalf("got %+v, %v", res, err)
		}
	}
	if got := ups.opened.Load(); got != 1 {
		t.Errorf("%d connections for 5 renewals, want 1", got)
	}
}

// TestDroppedIdleConnection guards against keys that lapse at an upstream that drops idle connections, and against a second
// owner: the call on the broken connection may take effect later.
func TestDroppedIdleConnection(t *testing.T) {
	ups := newOrderedUpstream(t)
	ors := newOrders()
	if _, err := ors.send(t.Context(), ups.order()); err != nil {
		t.Fatal(err)
	}
	ups.silent.Store(true)
	res, err := ors.send(t.Context(), ups.order())
	if err != nil || !res.Answered {
		t.Fatalf("the order was not sent again: %+v, %v", res, err)
	}
	if !res.Uncertain {
		t.Error("the first try, which got no answer, is forgotten")
	}
	before := ups.opened.Load()
	for range 3 {
		if res, err := ors.send(t.Context(), ups.order()); err != nil || res.Uncertain {
			t.Fatalf("got %+v, %v", res, err)
		}
	}
	if got := ups.opened.Load() - before; got != 3 {
		t.Errorf("%d new connections for 3 orders after a kept one broke, want 3", got)
	}
}

// TestReleaseConnection guards against a release that takes bytes left over on a kept connection for its answer, so that its keys go
// to another upstream while work on them goes on.
func TestReleaseConnection(t *testing.T) {
	ups := newOrderedUpstream(t)
	ors := newOrders()
	if _, err := ors.send(t.Context(), ups.order()); err != nil {
		t.Fatal(err)
	}
	release := ups.order()
	release.Action = fpkeeper.Release
	before := ups.opened.Load()
	for range 2 {
		if res, err := ors.send(t.Context(), release); err != nil || !res.Answered {
			t.Fatalf("got %+v, %v", res, err)
		}
	}
	if got := ups.opened.Load() - before; got != 2 {
		t.Errorf("%d new connections for 2 releases, want 2", got)
	}
}

// TestLateAnswerToRequest guards against an order that is taken for confirmed because an upstream has sent the answer to a request
// a second time on the connection: its holder may not have the order, or may take it later.
func TestLateAnswerToRequest(t *testing.T) {
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
	ups := &orderedUpstream{
		server: &httptest.Server{
			URL: "http://" + lis.Addr().String(),
		},
	}
	ors := newOrders()
	if res, err := ors.send(t.Context(), ups.order()); err != nil || res.Uncertain {
		t.Fatalf("got %+v, %v", res, err)
	}
	res, err := ors.send(t.Context(), ups.order())
	if err != nil || !res.Uncertain {
		t.Errorf("got %+v, %v, want an order whose first try may take effect later", res, err)
	}
}

// TestEndlessAnswersToOrders guards against bytes without end, in a head or a body, that use up the memory of a control VM or hold its
// orders.
func TestEndlessAnswersToOrders(t *testing.T) {
	const (
		process = 280 << 20 // memory of a control VM in bytes
		orders  = 200
		slack   = 500 * time.Millisecond
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
						for piece := strings.Repeat("x", 4096); err == nil; {
							_, err = io.WriteString(con, piece)
						}
					}()
				}
			}()
			ups := &orderedUpstream{
				server: &httptest.Server{
					URL: "http://" + lis.Addr().String(),
				},
			}
			ors := newOrders()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(t.Context(), grantTimeout)
			defer cancel()
			began := time.Now()
			var group sync.WaitGroup
			for range orders {
				group.Go(func() {
					if res, err := ors.send(ctx, ups.order()); name == "head" && (err == nil || res.Answered) {
						t.Errorf("got %+v, %v", res, err)
					}
				})
			}
			group.Wait()
			runtime.ReadMemStats(&after)
			if took := time.Since(began); took > grantTimeout+slack {
				t.Errorf("the orders were held for %v, want at most %v", took, grantTimeout)
			}
			if grown := after.HeapInuse - min(after.HeapInuse, before.HeapInuse); grown > process/2 {
				t.Errorf("the heap grew by %d MiB, want at most half of the %d MiB of the process", grown>>20, process>>20)
			}
		})
	}
}

package fpserve_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpserve"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
)

// stallingProxy forwards connections to an upstream. While it stalls, it holds all bytes, also those of new connections, and passes them on
// afterwards.
type stallingProxy struct {
	net.Listener
	mutex sync.Mutex
	held  chan struct{} // closed at the end of a stall. Nil: it does not stall
}

// stallableProxyTo puts a proxy in front of an upstream, at the address that the router knows.
func stallableProxyTo(t *testing.T, fak *fakeUpstream) *stallingProxy {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	spx := &stallingProxy{
		Listener: lis,
	}
	t.Cleanup(func() { _ = lis.Close() })
	target := fak.Listener.Addr().String()
	fak.upstream.Address = lis.Addr().String()
	go func() {
		for {
			caller, err := spx.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				_ = caller.Close()
				continue
			}
			t.Cleanup(func() {
				_ = caller.Close()
				_ = upstream.Close()
			})
			go spx.forward(caller, upstream)
			go spx.forward(upstream, caller)
		}
	}()
	return spx
}

// forward copies bytes until reading fails.
func (spx *stallingProxy) forward(to io.WriteCloser, from io.Reader) {
	buf := make([]byte, 4096)
	for {
		num, err := from.Read(buf)
		spx.mutex.Lock()
		held := spx.held
		spx.mutex.Unlock()
		if held != nil {
			<-held
		}
		if err != nil {
			_ = to.Close()
			return
		}
		_, _ = to.Write(buf[:num])
	}
}

// stall holds all bytes for a time.
func (spx *stallingProxy) stall(span time.Duration) {
	held := make(chan struct{})
	spx.mutex.Lock()
	defer spx.mutex.Unlock()
	spx.held = held
	time.AfterFunc(span, func() {
		spx.mutex.Lock()
		defer spx.mutex.Unlock()
		spx.held = nil
		close(held)
	})
}

// stallCase is a call whose upstream works while this VM hears nothing for longer than it takes to find a connection silent.
type stallCase struct {
	path     string
	others   bool  // there is another upstream
	free     bool  // the other upstream does not stall
	mayRetry bool  // the budget allows another attempt
	stopping bool  // a stop begins right before the stall
	other    fault // what the other upstream does with a call
}

func (cas stallCase) String() string {
	return fmt.Sprintf("%s, other upstream %t, free %t, retry %t, stop %t, fault %d", cas.path, cas.others, cas.free, cas.mayRetry, cas.stopping, cas.other)
}

// TestStallEndsNoCall guards against calls that are answered in the upstream's place while it works on them, because their connection
// was silent for a while.
func TestStallEndsNoCall(t *testing.T) {
	var cases []stallCase
	for _, path := range []string{"/demo.Test/Idem", "/demo.Test/Once", "/demo.Keyed/Get", "/demo.Keyed/Put"} {
		for num := range 12 {
			cases = append(cases, stallCase{
				path:     path,
				others:   num/4 > 0,
				free:     num/4 > 1,
				mayRetry: num&1 > 0,
				stopping: num&2 > 0,
			})
		}
		for _, fau := range []fault{shedRequest, closeAfterRun, truncateAnswer} {
			cases = append(cases, stallCase{
				path:     path,
				others:   true,
				free:     true,
				mayRetry: true,
				other:    fau,
			})
		}
	}
	for _, cas := range cases {
		t.Run(cas.String(), func(t *testing.T) {
			t.Parallel()
			cas.play(t)
		})
	}
}

func (cas stallCase) play(t *testing.T) {
	const (
		work  = 300 * time.Millisecond
		stall = 1300 * time.Millisecond
	)
	started := make(chan struct{}, 8)
	var upstreams []*fakeUpstream
	var proxies []*stallingProxy
	for num := range 1 + btoi(cas.others) {
		fak := newFakeUpstream(t, fmt.Sprintf("u%d", num))
		fak.faultFor = func(*http.Request) fault {
			started <- struct{}{}
			time.Sleep(work)
			if num > 0 {
				return cas.other
			}
			return noFault
		}
		upstreams = append(upstreams, fak)
		proxies = append(proxies, stallableProxyTo(t, fak))
	}
	pools := fpconn.New(fpconn.Config{
		ReadIdle:    450 * time.Millisecond,
		PingTimeout: 450 * time.Millisecond,
	})
	t.Cleanup(pools.Close)
	rou := newRouter(t, func(cfg *fpserve.Config) {
		cfg.Pools = pools
		cfg.Choose = func(_ context.Context, cal *fpserve.Call) (*fpserve.Target, error) {
			fak := upstreams[len(cal.TriedUpstreams())%len(upstreams)]
			return &fpserve.Target{
				Upstream: fak.upstream,
			}, nil
		}
		cfg.Route = cfg.Choose
		cfg.Retry = func(cal *fpserve.Call, _ error, _ time.Duration) (time.Duration, bool) {
			return 0, cas.mayRetry && len(cal.TriedUpstreams()) < 2
		}
	}, upstreams...)
	for _, fak := range upstreams {
		_ = pools.Pool(fak.upstream)
	}
	if cas.others {
		deadline := time.Now().Add(5 * time.Second)
		for pools.Pool(upstreams[1].upstream).Len() == 0 && time.Now().Before(deadline) {
			time.Sleep(5 * time.Millisecond)
		}
	}
	cli := newClient(t, true)
	key := newKey()
	answered := make(chan error, 1)
	go func() {
		res, err := call(rou, cli, cas.path, "x", key)
		if err == nil && res.Msg.RequestId != "re:x" {
			err = fmt.Errorf("answer %q", res.Msg.RequestId)
		}
		answered <- err
	}()
	<-started
	if cas.stopping {
		go func() { _ = rou.callers.Shutdown(context.Background()) }()
	}
	for num, spx := range proxies {
		if num == 0 || !cas.free {
			spx.stall(stall)
		}
	}
	if err := <-answered; err != nil {
		t.Errorf("the call got code %v: %v", connect.CodeOf(err), err)
	}
	if cas.path != "/demo.Test/Once" && cas.path != "/demo.Keyed/Put" {
		return
	}
	runs := 0
	for _, fak := range upstreams {
		num, _ := fak.runCounts(key, "")
		runs += num
	}
	if runs != 1 {
		t.Errorf("a call that may run once ran %d times", runs)
	}
}

func btoi(val bool) int {
	if val {
		return 1
	}
	return 0
}

// TestSilenceHoldsNoPlace guards against a call on a silent connection that, while it waits for its answer, holds a permit, which other
// calls then lack, or its slot, which then can't move; also while its answer is streamed.
func TestSilenceHoldsNoPlace(t *testing.T) {
	for _, path := range []string{"/demo.Test/Once", "/demo.Test/Stream"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			fak := newFakeUpstream(t, "one")
			spx := proxyTo(t, fak)
			fak.upstream.ChecksFence = true
			inner := fak.Config.Handler
			started := make(chan struct{}, 1)
			fak.Config.Handler = http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
				if req.URL.Path != path {
					inner.ServeHTTP(wri, req)
					return
				}
				if path == "/demo.Test/Stream" {
					wri.Header().Set("Content-Type", "application/connect+proto")
					_ = http.NewResponseController(wri).Flush()
				}
				started <- struct{}{}
				<-req.Context().Done()
			})
			pools := fpconn.New(fpconn.Config{
				ReadIdle:    200 * time.Millisecond,
				PingTimeout: 200 * time.Millisecond,
			})
			t.Cleanup(pools.Close)
			permits, dones := make(chan fpserve.Result, 2), make(chan error, 2)
			rou := newRouter(t, func(cfg *fpserve.Config) {
				cfg.Pools = pools
				cfg.Choose = func(context.Context, *fpserve.Call) (*fpserve.Target, error) {
					return &fpserve.Target{
						Upstream: fak.upstream,
						Done:     func(_ time.Duration, err error) { dones <- err },
					}, nil
				}
				cfg.Admit = func(context.Context, *fpserve.Call, *fpserve.Target) (func(fpserve.Result), error) {
					return func(res fpserve.Result) { permits <- res }, nil
				}
				cfg.Retry = nil
			}, fak)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				cli := connect.NewClient[text, text](newClient(t, true), rou.URL+path)
				req := connect.NewRequest(&text{RequestId: "x"})
				req.Header().Set("Idempotency-Key", newKey())
				if path == "/demo.Test/Once" {
					_, _ = cli.CallUnary(ctx, req)
				} else if str, err := cli.CallServerStream(ctx, req); err == nil {
					_ = str.Receive()
				}
			}()
			<-started
			time.Sleep(50 * time.Millisecond) // the header of a stream arrives
			spx.silence()
			for what, given := range map[string]func() error{
				"permit": func() error { return (<-permits).Err },
				"slot":   func() error { return <-dones },
			} {
				got := make(chan error, 1)
				go func() { got <- given() }()
				select {
				case err := <-got:
					if !errors.Is(err, fpserve.ErrSilent) {
						t.Errorf("the %s was given back with %v", what, err)
					}
				case <-time.After(2 * time.Second):
					t.Errorf("the %s is held 2 s after the connection went silent", what)
				}
			}
			select {
			case <-ended:
				t.Error("the call was ended because its connection went silent")
			default:
			}
			cancel()
			<-ended
			for rou.server.Running() > 0 {
				time.Sleep(5 * time.Millisecond)
			}
			rou.server.Close() // waits for the end of the attempt
			if len(permits)+len(dones) > 0 {
				t.Error("a permit or a slot was given back twice")
			}
		})
	}
}

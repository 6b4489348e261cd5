package fpconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
)

// proxy forwards bytes between the pools and an upstream. It can silence its open connections for good while new ones
// work.
type proxy struct {
	net.Listener
	mutex sync.Mutex
	stop  []chan struct{} // one for each connection, closed to silence it
}

func newProxy(t *testing.T, upstream string) *proxy {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pxy := &proxy{Listener: lis}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			client, err := lis.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", upstream)
			if err != nil {
				return
			}
			stop := make(chan struct{})
			pxy.mutex.Lock()
			pxy.stop = append(pxy.stop, stop)
			pxy.mutex.Unlock()
			t.Cleanup(func() {
				_ = client.Close()
				_ = server.Close()
			})
			go pump(client, server, stop)
			go pump(server, client, stop)
		}
	}()
	return pxy
}

// pump copies bytes until reading fails, and then closes the destination. Once stop is closed it discards the bytes
// instead.
func pump(to, from net.Conn, stop chan struct{}) {
	buf := make([]byte, 4096)
	for {
		num, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		select {
		case <-stop:
		default:
			_, _ = to.Write(buf[:num])
		}
	}
}

// silence makes all open connections silent without closing them.
func (pxy *proxy) silence() {
	pxy.mutex.Lock()
	defer pxy.mutex.Unlock()
	for _, stop := range pxy.stop {
		close(stop)
	}
	pxy.stop = nil
}

func newUpstream(t *testing.T, http2 bool, handler http.HandlerFunc) *httptest.Server {
	ser := httptest.NewUnstartedServer(handler)
	var pro http.Protocols
	pro.SetHTTP1(true)
	pro.SetUnencryptedHTTP2(http2)
	ser.Config.Protocols = &pro
	ser.Start()
	t.Cleanup(ser.Close)
	return ser
}

func newPools(t *testing.T, cfg fpconn.Config) *fpconn.Pools {
	pls := fpconn.New(cfg)
	t.Cleanup(pls.Close)
	return pls
}

// get sends a request and gives it up when its connection goes silent.
func get(ctx context.Context, pl *fpconn.Pool) error {
	con, err := pl.Reserve(ctx, nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-con.Silent():
			cancel()
		case <-ctx.Done():
		}
	}()
	return getOn(ctx, con)
}

func getOn(ctx context.Context, con *fpconn.Conn) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream/", nil)
	if err != nil {
		return err
	}
	res, err := con.RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// waitFor waits until a condition holds and fails the test after 5 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timeout after 5 s: %s", what)
}

// TestSilentConnections guards against connections that go silent for good and are still used after 2 s. Over HTTP/2 a
// request is in flight on them, which is not ended, as the connection may be stalled only. Over HTTP/1.1 they are idle: only the kernel detects silence while a request is in
// flight, and this test cannot drop the kernel's packets.
func TestSilentConnections(t *testing.T) {
	for name, http2 := range map[string]bool{"http2": true, "http1": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var hang atomic.Bool
			ups := newUpstream(t, http2, func(_ http.ResponseWriter, req *http.Request) {
				if hang.Load() && req.URL.Path == "/" {
					<-req.Context().Done()
				}
			})
			pxy := newProxy(t, ups.Listener.Addr().String())
			pl := newPools(t, fpconn.Config{}).Pool(&fpcontract.Upstream{Name: "one", Address: pxy.Addr().String()})
			waitFor(t, "connections ahead of demand", func() bool { return pl.Len() >= 2 })
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			hang.Store(true)
			result := make(chan error, 1)
			con, err := pl.Reserve(ctx, nil)
			if err != nil {
				t.Fatal(err)
			}
			if http2 {
				go func() { result <- getOn(ctx, con) }()
				time.Sleep(50 * time.Millisecond)
			} else {
				con.Release()
			}
			pxy.silence()
			start := time.Now()
			if http2 {
				select {
				case <-con.Silent():
				case err := <-result:
					t.Errorf("a request on a silent connection was ended with error %v", err)
				}
				if con.Crashed() {
					t.Error("a silent connection counts as ended by the upstream")
				}
			}
			if !http2 {
				time.Sleep(1600 * time.Millisecond)
			}
			hang.Store(false)
			for get(ctx, pl) != nil && ctx.Err() == nil {
				time.Sleep(5 * time.Millisecond)
			}
			if took := time.Since(start); took > 2*time.Second {
				t.Errorf("a silent connection was replaced after %v, want at most 2 s", took)
			}
			if http2 && len(result) > 0 {
				t.Errorf("a request on a silent connection was ended with error %v", <-result)
			}
		})
	}
}

// TestNotResent guards against a request with an Idempotency-Key that the HTTP library resends by itself.
func TestNotResent(t *testing.T) {
	for name, http2 := range map[string]bool{"http2": true, "http1": false} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			ups := newUpstream(t, http2, func(_ http.ResponseWriter, req *http.Request) {
				if req.URL.Path == "/" {
					runs.Add(1)
					panic(http.ErrAbortHandler)
				}
			})
			pl := newPools(t, fpconn.Config{}).Pool(&fpcontract.Upstream{Name: "one", Address: ups.Listener.Addr().String()})
			// net/http resends requests only on connections that have carried a request before.
			if err := post(t, pl, "/before"); err != nil {
				t.Fatal(err)
			}
			if post(t, pl, "/") == nil {
				t.Error("the request was answered although its handler panicked")
			}
			if num := runs.Load(); num != 1 {
				t.Errorf("the request ran %d times, want 1", num)
			}
		})
	}
}

// post sends a request that net/http considers safe to resend.
func post(t *testing.T, pl *fpconn.Pool, path string) error {
	con, err := pl.Reserve(t.Context(), nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := con.RoundTrip(&http.Request{
		Method:  http.MethodPost,
		URL:     &url.URL{Scheme: "http", Host: "upstream", Path: path},
		Header:  http.Header{"Idempotency-Key": {"k"}},
		Body:    http.NoBody,
		GetBody: func() (io.ReadCloser, error) { return http.NoBody, nil },
	})
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.Body.Close()
}

// TestConnectionLimit guards against more connections to an upstream than the configured limit.
func TestConnectionLimit(t *testing.T) {
	var open, maxOpen atomic.Int64
	ups := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(10 * time.Millisecond)
	}))
	t.Cleanup(ups.Close)
	ups.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			if num := open.Add(1); num > maxOpen.Load() {
				maxOpen.Store(num)
			}
		case http.StateClosed:
			open.Add(-1)
		}
	}
	ups.Start()
	pl := newPools(t, fpconn.Config{
		Limit: func(*fpcontract.Upstream) int { return 3 },
	}).Pool(&fpcontract.Upstream{Name: "one", Address: ups.Listener.Addr().String()})
	waitFor(t, "an HTTP/1.1 connection", func() bool { return get(t.Context(), pl) == nil })
	maxOpen.Store(open.Load())
	var gro sync.WaitGroup
	for range 50 {
		gro.Go(func() {
			if err := get(t.Context(), pl); err != nil {
				t.Error(err)
			}
		})
	}
	gro.Wait()
	if num := maxOpen.Load(); num > 3 {
		t.Errorf("%d connections were open at once, want at most 3", num)
	}
}

// TestRefusedConnection guards against a failure to connect that is reported late or without stating that nothing was
// sent.
func TestRefusedConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = lis.Close()
	pl := newPools(t, fpconn.Config{}).Pool(&fpcontract.Upstream{Name: "one", Address: lis.Addr().String()})
	start := time.Now()
	_, err = pl.Reserve(t.Context(), nil)
	if !fperror.Is(err, fperror.ConnectFailed) || time.Since(start) > 500*time.Millisecond {
		t.Errorf("got error %v after %v, want kind connectFailed within 500 ms", err, time.Since(start))
	}
}

// TestFrozenUpstream guards against using a connection that the upstream accepted but never reads from.
func TestFrozenUpstream(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	pl := newPools(t, fpconn.Config{ConnectTimeout: 200 * time.Millisecond}).Pool(&fpcontract.Upstream{Name: "one", Address: lis.Addr().String()})
	if _, err = pl.Reserve(t.Context(), nil); !fperror.Is(err, fperror.ConnectFailed) {
		t.Errorf("got error %v, want kind connectFailed", err)
	}
}

// TestUpdate guards against connections to an upstream that left or restarted, and against requests in flight that are
// cut off when its pool is closed.
func TestUpdate(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	ups := newUpstream(t, true, func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/" {
			close(begun)
			<-finish
		}
	})
	pls := newPools(t, fpconn.Config{})
	msg := &fpcontract.Upstream{Name: "one", Incarnation: 1, Address: ups.Listener.Addr().String()}
	pls.Update([]*fpcontract.Upstream{msg})
	pl := pls.Pool(msg)
	ended := make(chan error, 1)
	go func() { ended <- get(t.Context(), pl) }()
	<-begun
	pls.Update(nil)
	if _, err := pl.Reserve(t.Context(), nil); !fperror.Is(err, fperror.ConnectFailed) {
		t.Errorf("Reserve on a closed pool: got error %v, want kind connectFailed", err)
	}
	close(finish)
	if err := <-ended; err != nil {
		t.Errorf("a request in flight was cut off: %v", err)
	}
	next := &fpcontract.Upstream{Name: "one", Incarnation: 2, Address: msg.Address}
	pls.Update([]*fpcontract.Upstream{next})
	nextPool := pls.Pool(next)
	pls.Update([]*fpcontract.Upstream{msg})
	if nextPool == pl || pls.Pool(next) != nextPool {
		t.Error("the pool of an earlier incarnation is still in use")
	}
}

// TestFailedConnectionsAreNoRefusals guards against a count of failed connections under the name of an error kind, under which the
// status shows it as refused calls.
func TestFailedConnectionsAreNoRefusals(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = lis.Close()
	counted := make(chan string, 16)
	newPools(t, fpconn.Config{
		Count: func(name string) {
			select {
			case counted <- name:
			default:
			}
		},
	}).Pool(&fpcontract.Upstream{Name: "one", Address: lis.Addr().String()})
	if name := <-counted; name != "connectionFailed" {
		t.Errorf("a connection that could not be opened was counted as %q, want connectionFailed", name)
	}
}

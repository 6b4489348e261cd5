package fpserve_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// serveBundle reads a body, reports its length and answers with X-Size bytes, of which the last are missing when
// X-Truncate is set.
func serveBundle(wri http.ResponseWriter, req *http.Request) {
	got, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	size, _ := strconv.ParseInt(req.Header.Get("X-Size"), 10, 64)
	wri.Header().Set("Content-Type", "application/proto")
	wri.Header().Set("X-Got", strconv.FormatInt(got, 10))
	if req.Header.Get("X-Length") != "" {
		wri.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	if req.Header.Get("X-Truncate") == "" {
		_, _ = io.CopyN(wri, zeros{}, size)
		return
	}
	_, _ = io.CopyN(wri, zeros{}, size-1)
	_ = http.NewResponseController(wri).Flush()
	panic(http.ErrAbortHandler)
}

type zeros struct{}

func (zeros) Read(buf []byte) (int, error) {
	clear(buf)
	return len(buf), nil
}

// sendBundle sends and receives bodies of the given sizes and returns the length of the answer.
func sendBundle(ctx context.Context, rou *router, cli *http.Client, up, down int64, header ...string) (*http.Response, int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, rou.URL+"/demo.Test/Bundle", io.LimitReader(zeros{}, up))
	if err != nil {
		return nil, 0, err
	}
	req.ContentLength = up
	req.Header.Set("Content-Type", "application/proto")
	req.Header.Set("X-Size", strconv.FormatInt(down, 10))
	for _, name := range header {
		req.Header.Set(name, "yes")
	}
	res, err := cli.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	num, err := io.Copy(io.Discard, res.Body)
	return res, num, err
}

// TestBundleInConstantMemory guards against a bundle that is held in memory on its way.
func TestBundleInConstantMemory(t *testing.T) {
	const size = 256 << 20
	const most = 48 << 20 // flow control windows of four streams and garbage
	sta := newStandin(t, "one")
	rou := newRouter(t, nil, sta)
	for _, http2 := range []bool{true, false} {
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		base := mem.HeapAlloc
		stop, peak := make(chan struct{}), make(chan uint64)
		go func() {
			var most uint64
			for {
				select {
				case <-stop:
					peak <- most
					return
				case <-time.After(5 * time.Millisecond):
				}
				runtime.ReadMemStats(&mem)
				most = max(most, mem.HeapAlloc)
			}
		}()
		res, num, err := sendBundle(t.Context(), rou, newCaller(t, http2), size, size)
		close(stop)
		high := <-peak
		if err != nil || num != size || res.Header.Get("X-Got") != strconv.Itoa(size) {
			t.Fatalf("http2 %v: got %d bytes, %v", http2, num, err)
		}
		if high > base+most {
			t.Errorf("http2 %v: the heap grew by %d MB", http2, (high-base)>>20)
		}
		t.Logf("http2 %v: the heap grew by %d MB", http2, (max(high, base)-base)>>20)
	}
}

// TestTruncatedBundle guards against a truncated answer that the caller takes for a whole one.
func TestTruncatedBundle(t *testing.T) {
	sta := newStandin(t, "one")
	rou := newRouter(t, nil, sta)
	for _, http2 := range []bool{true, false} {
		for _, header := range [][]string{{"X-Truncate"}, {"X-Truncate", "X-Length"}} {
			res, num, err := sendBundle(t.Context(), rou, newCaller(t, http2), 10, 3<<20, header...)
			if err == nil && res.StatusCode == http.StatusOK {
				t.Errorf("http2 %v %v: %d bytes were taken for a whole answer", http2, header, num)
			}
		}
	}
}

// TestCallerLeavesBundle guards against an upload that goes on after its caller left.
func TestCallerLeavesBundle(t *testing.T) {
	sta := newStandin(t, "one")
	rou := newRouter(t, nil, sta)
	ctx, cancel := context.WithCancel(t.Context())
	var sent atomic.Int64
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, rou.URL+"/demo.Test/Bundle", countReader{num: &sent, cancel: cancel})
	req.Header.Set("Content-Type", "application/proto")
	res, err := newCaller(t, true).Do(req)
	if err == nil {
		_ = res.Body.Close()
	}
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	for range 100 {
		if rou.server.Running() == 0 && sta.canceled.Load() == 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("%d calls still run, %d were cancelled", rou.server.Running(), sta.canceled.Load())
}

// countReader never ends, and has its caller leave after 8 MB.
type countReader struct {
	num    *atomic.Int64
	cancel context.CancelFunc
}

func (cou countReader) Read(buf []byte) (int, error) {
	if cou.num.Add(int64(len(buf))) > 8<<20 {
		cou.cancel()
	}
	return len(buf), nil
}

// TestCallerDoesNotRead guards against a caller that holds its place on the upstream beyond its deadline.
func TestCallerDoesNotRead(t *testing.T) {
	sta := newStandin(t, "one")
	rou := newRouter(t, nil, sta)
	con, err := net.Dial("tcp", rou.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	_, _ = io.WriteString(con, "POST /demo.Test/Bundle HTTP/1.1\r\nHost: x\r\nContent-Type: application/proto\r\n"+
		"Content-Length: 0\r\nConnect-Timeout-Ms: 300\r\nX-Size: 1000000000\r\n\r\n")
	time.Sleep(200 * time.Millisecond)
	if rou.server.Running() != 1 {
		t.Fatal("the call does not run")
	}
	for range 100 {
		if rou.server.Running() == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the call still runs after its deadline")
}

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

// serveBundle reads the body, reports its length in X-Got and answers with as many bytes as X-Size states. If X-Truncate
// is set, it resets the stream or connection before the last byte.
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
		_, _ = io.CopyN(wri, zeroReader{}, size)
		return
	}
	_, _ = io.CopyN(wri, zeroReader{}, size-1)
	_ = http.NewResponseController(wri).Flush()
	panic(http.ErrAbortHandler)
}

type zeroReader struct{}

func (zeroReader) Read(buf []byte) (int, error) {
	clear(buf)
	return len(buf), nil
}

// sendBundle sends up bytes, asks for down bytes and returns the number of bytes received. Each of the given headers is
// set to a value.
func sendBundle(ctx context.Context, rou *router, cli *http.Client, up, down int64, header ...string) (*http.Response, int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, rou.URL+"/demo.Test/Bundle", io.LimitReader(zeroReader{}, up))
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

// TestBundleInConstantMemory guards against a router that holds a whole bundle in memory while it forwards it.
func TestBundleInConstantMemory(t *testing.T) {
	const size = 256 << 20
	const maxGrowth = 48 << 20 // flow control windows of four streams, and garbage
	fak := newFakeUpstream(t, "one")
	rou := newRouter(t, nil, fak)
	for _, http2 := range []bool{true, false} {
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		base := mem.HeapAlloc
		stop, peak := make(chan struct{}), make(chan uint64)
		go func() {
			var maxHeap uint64
			for {
				select {
				case <-stop:
					peak <- maxHeap
					return
				case <-time.After(5 * time.Millisecond):
				}
				runtime.ReadMemStats(&mem)
				maxHeap = max(maxHeap, mem.HeapAlloc)
			}
		}()
		res, num, err := sendBundle(t.Context(), rou, newClient(t, http2), size, size)
		close(stop)
		peakHeap := <-peak
		if err != nil || num != size || res.Header.Get("X-Got") != strconv.Itoa(size) {
			t.Fatalf("http2 %v: got %d bytes and error %v", http2, num, err)
		}
		if peakHeap > base+maxGrowth {
			t.Errorf("http2 %v: the heap grew by %d MB", http2, (peakHeap-base)>>20)
		}
		t.Logf("http2 %v: the heap grew by %d MB", http2, (max(peakHeap, base)-base)>>20)
	}
}

// TestTruncatedBundle guards against a truncated answer that the caller takes for a complete one.
func TestTruncatedBundle(t *testing.T) {
	fak := newFakeUpstream(t, "one")
	rou := newRouter(t, nil, fak)
	for _, http2 := range []bool{true, false} {
		for _, header := range [][]string{{"X-Truncate"}, {"X-Truncate", "X-Length"}} {
			res, num, err := sendBundle(t.Context(), rou, newClient(t, http2), 10, 3<<20, header...)
			if err == nil && res.StatusCode == http.StatusOK {
				t.Errorf("http2 %v, header %v: a truncated answer of %d bytes was taken for a complete one", http2, header, num)
			}
		}
	}
}

// TestCallerCancelsBundleUpload guards against an upload that continues on the upstream after its caller canceled.
func TestCallerCancelsBundleUpload(t *testing.T) {
	fak := newFakeUpstream(t, "one")
	rou := newRouter(t, nil, fak)
	ctx, cancel := context.WithCancel(t.Context())
	var sent atomic.Int64
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, rou.URL+"/demo.Test/Bundle", cancelingReader{sent: &sent, cancel: cancel})
	req.Header.Set("Content-Type", "application/proto")
	res, err := newClient(t, true).Do(req)
	if err == nil {
		_ = res.Body.Close()
	}
	if !errors.Is(err, context.Canceled) {
		t.Errorf("the canceled upload got error %v, want context.Canceled", err)
	}
	for range 100 {
		if rou.server.Running() == 0 && fak.cancels.Load() == 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("%d calls still run and %d were canceled on the upstream, want 0 and 1", rou.server.Running(), fak.cancels.Load())
}

// cancelingReader never ends. It cancels the request after 8 MiB.
type cancelingReader struct {
	sent   *atomic.Int64
	cancel context.CancelFunc
}

func (can cancelingReader) Read(buf []byte) (int, error) {
	if can.sent.Add(int64(len(buf))) > 8<<20 {
		can.cancel()
	}
	return len(buf), nil
}

// TestCallerThatDoesNotReadIsCutOffAtDeadline guards against a caller that does not read its answer and thereby holds a
// permit of the upstream beyond its deadline.
func TestCallerThatDoesNotReadIsCutOffAtDeadline(t *testing.T) {
	fak := newFakeUpstream(t, "one")
	rou := newRouter(t, nil, fak)
	con, err := net.Dial("tcp", rou.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	_, _ = io.WriteString(con, "POST /demo.Test/Bundle HTTP/1.1\r\nHost: x\r\nContent-Type: application/proto\r\n"+
		"Content-Length: 0\r\nConnect-Timeout-Ms: 300\r\nX-Size: 1000000000\r\n\r\n")
	time.Sleep(200 * time.Millisecond)
	if rou.server.Running() != 1 {
		t.Fatal("the call is not in flight before its deadline")
	}
	for range 100 {
		if rou.server.Running() == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the call is still in flight after its deadline")
}

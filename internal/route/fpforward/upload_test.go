package fpforward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
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

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpworker"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// announce adds an upstream of the service "work" that the test itself serves at an address.
func (har *harness) announce(id, address string) {
	har.update(&fpstate.State{
		Upstreams: []*fpstate.Upstream{{
			Id:          id,
			Born:        1,
			Service:     "work",
			Address:     address,
			DataCentre:  "east-1",
			Concurrency: 64,
		}},
	})
}

// addHandler adds an upstream that serves requests with a handler.
func (har *harness) addHandler(id string, handle func(wri http.ResponseWriter, req *http.Request)) {
	srv := httptest.NewServer(http.HandlerFunc(handle))
	har.t.Cleanup(srv.Close)
	har.announce(id, srv.Listener.Addr().String())
}

// writeSignedHeaders sets the headers of a signed answer to a request.
func writeSignedHeaders(wri http.ResponseWriter, req *http.Request) {
	platform.EncodeAnswer(wri.Header(), platform.Answer{
		Attempt: platform.DecodeRequest(req.Header).Attempt,
		Signed:  true,
	})
}

// upload sends an upload and returns the status, or 0 without an answer.
func (har *harness) upload(ctx context.Context, body io.Reader) int {
	return har.postTo(ctx, "/upload/1", body)
}

// postTo sends a body to a path and returns the status, or 0 without an answer.
func (har *harness) postTo(ctx context.Context, path string, body io.Reader) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, har.server.URL+path, body)
	if err != nil {
		har.t.Error(err)
		return 0
	}
	platform.EncodeRequest(req.Header, platform.Request{
		Attempt: fmt.Sprintf("post-%d", har.lastAttempt.Add(1)),
		Timeout: 2 * time.Second,
	})
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close() // only the status is checked
	return res.StatusCode
}

// TestUploadRunsOnce guards against an upload that runs a second time after its answer was lost.
func TestUploadRunsOnce(t *testing.T) {
	har := newHarness(t)
	har.workTime = defaultMeanTime
	for range 2 {
		har.addWorker("work", alwaysFault(fpworker.Reset))
	}
	got := har.call("/upload/1", platform.Request{})
	if got.status != http.StatusBadGateway || har.totalRuns() != 1 {
		t.Errorf("got status %d after %d runs, want %d after one", got.status, har.totalRuns(), http.StatusBadGateway)
	}
}

// TestShedUploadIsRetried guards against an upload that is not retried although the upstream refused it as not run and all of
// it is buffered.
func TestShedUploadIsRetried(t *testing.T) {
	har := newHarness(t)
	var mutex sync.Mutex
	var seen []int
	handle := func(wri http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		mutex.Lock()
		seen = append(seen, len(body))
		first := len(seen) == 1
		mutex.Unlock()
		if first || err != nil {
			platform.EncodeAnswer(wri.Header(), platform.Answer{
				Attempt: platform.DecodeRequest(req.Header).Attempt,
				NotRun:  true,
			})
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeSignedHeaders(wri, req)
	}
	har.addHandler("one", handle)
	har.addHandler("two", handle)
	const size = 700 << 10
	if status := har.upload(t.Context(), bytes.NewReader(make([]byte, size))); status != http.StatusOK {
		t.Errorf("got status %d", status)
	}
	if len(seen) != 2 || seen[1] != size {
		t.Errorf("the upstreams saw bodies of %v bytes, want %d twice", seen, size)
	}
}

// slowBody is a body of first bytes, a pause, and rest bytes.
type slowBody struct {
	ctx   context.Context
	first int
	rest  int
	pause time.Duration
}

// Read implements io.Reader.
func (bod *slowBody) Read(buf []byte) (int, error) {
	if bod.first == 0 {
		select {
		case <-time.After(bod.pause):
		case <-bod.ctx.Done():
			return 0, bod.ctx.Err()
		}
		bod.first, bod.rest, bod.pause = bod.rest, 0, 0
	}
	if bod.first == 0 {
		return 0, io.EOF
	}
	num := min(len(buf), bod.first)
	bod.first -= num
	return num, nil
}

// TestSlowSenderTakesNoPermit guards against a slow sender that uses up an upstream's concurrency while its body arrives.
func TestSlowSenderTakesNoPermit(t *testing.T) {
	har := newHarness(t)
	var arrived atomic.Bool
	har.addHandler("one", func(wri http.ResponseWriter, req *http.Request) {
		arrived.Store(true)
		writeSignedHeaders(wri, req)
	})
	done := make(chan int, 1)
	go func() {
		done <- har.upload(t.Context(), &slowBody{
			ctx:   t.Context(),
			first: 100 << 10,
			rest:  100 << 10,
			pause: 300 * time.Millisecond,
		})
	}()
	time.Sleep(150 * time.Millisecond)
	if arrived.Load() {
		t.Error("the request reached the upstream before its body had arrived")
	}
	if status := <-done; status != http.StatusOK {
		t.Errorf("got status %d", status)
	}
}

// TestStalledSenderTimesOut guards against a request that is kept beyond its deadline because its body does not end.
func TestStalledSenderTimesOut(t *testing.T) {
	har := newHarness(t)
	har.addHandler("one", writeSignedHeaders)
	began := time.Now()
	status := har.upload(t.Context(), &slowBody{
		ctx:   t.Context(),
		first: 10,
		rest:  10,
		pause: 10 * time.Second,
	})
	const wait, slack = 2 * time.Second, 250 * time.Millisecond
	if took := time.Since(began); status != http.StatusServiceUnavailable || took > wait+slack {
		t.Errorf("got status %d after %v, want %d (not run) after %v", status, took, http.StatusServiceUnavailable, wait)
	}
}

// TestUploadMemoryIsBounded guards against uploads of slow senders that use up the memory of an entry VM. Bytes that are not
// buffered wait at the sender, and uploads without memory for their buffer are refused as not run.
func TestUploadMemoryIsBounded(t *testing.T) {
	const (
		process = 184 << 20
		senders = 30
		size    = 8 << 20
	)
	har := newHarnessWith(t, func(cfg *Config) { cfg.MemoryLimit = process })
	har.addHandler("one", func(wri http.ResponseWriter, req *http.Request) {
		// The upstream is slower than the senders.
		buf := make([]byte, 64<<10)
		for {
			if _, err := req.Body.Read(buf); err != nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		writeSignedHeaders(wri, req)
	})
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	var senderGroup sync.WaitGroup
	statuses := make([]int, senders)
	for num := range senders {
		senderGroup.Go(func() {
			statuses[num] = har.upload(ctx, &slowBody{
				ctx:   ctx,
				first: size / 2,
				rest:  size / 2,
				pause: time.Second,
			})
		})
	}
	peak := uint64(0)
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		var now runtime.MemStats
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapAlloc-min(now.HeapAlloc, before.HeapAlloc))
	}
	cancel()
	senderGroup.Wait()
	if peak > process/2 {
		t.Errorf("the heap grew by %d MiB, want at most half of the %d MiB of the process", peak>>20, process>>20)
	}
	refused := 0
	for _, status := range statuses {
		if status == http.StatusServiceUnavailable {
			refused++
		}
	}
	if buffered := int(bodyMemory(process) / maxBufferedUpload); refused < senders-buffered {
		t.Errorf("%d of %d uploads were refused as not run, want all but the %d for which there is memory", refused, senders, buffered)
	}
}

// earlyAnswerUpstream is an upstream that answers each request before it has read the body, and records all bytes that it
// receives.
type earlyAnswerUpstream struct {
	listener    net.Listener
	mutex       sync.Mutex
	connections []*recorder
}

// recorder records the bytes that are written to it.
type recorder struct {
	mutex sync.Mutex
	bytes []byte
}

// Write implements io.Writer.
func (rec *recorder) Write(buf []byte) (int, error) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	rec.bytes = append(rec.bytes, buf...)
	return len(buf), nil
}

func (rec *recorder) copy() []byte {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	return bytes.Clone(rec.bytes)
}

func (ups *earlyAnswerUpstream) serve() {
	for {
		con, err := ups.listener.Accept()
		if err != nil {
			return
		}
		buf := &recorder{}
		ups.mutex.Lock()
		ups.connections = append(ups.connections, buf)
		ups.mutex.Unlock()
		go ups.talk(con, buf)
	}
}

func (ups *earlyAnswerUpstream) talk(con net.Conn, buf *recorder) {
	defer func() { _ = con.Close() }()
	red := bufio.NewReader(io.TeeReader(con, buf))
	for {
		req, err := http.ReadRequest(red)
		if err != nil {
			return
		}
		fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", signedLines(platform.DecodeRequest(req.Header).Attempt))
		time.Sleep(100 * time.Millisecond) // the router receives the answer before the rest of the body is read
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
}

// TestEarlyAnswerToUpload guards against a connection that is reused for another request while the upstream, which has answered
// early, still expects the rest of a body; and against an answer that waits until the body has been sent.
func TestEarlyAnswerToUpload(t *testing.T) {
	for _, size := range []int{200 << 10, 1 << 20, 9 << 20} {
		t.Run(fmt.Sprintf("%d KiB", size>>10), func(t *testing.T) {
			har := newHarness(t)
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ups := &earlyAnswerUpstream{
				listener: lis,
			}
			go ups.serve()
			t.Cleanup(func() { _ = lis.Close() })
			har.announce("one", lis.Addr().String())
			for range 6 {
				if status := har.upload(t.Context(), bytes.NewReader(bytes.Repeat([]byte("u"), size))); status != http.StatusOK && size <= maxBufferedUpload {
					t.Errorf("got status %d", status)
				}
			}
			time.Sleep(300 * time.Millisecond)
			ups.mutex.Lock()
			defer ups.mutex.Unlock()
			for num, buf := range ups.connections {
				checkCompleteRequests(t, num, buf.copy(), size)
			}
		})
	}
}

// checkCompleteRequests fails if a connection carried anything but requests with complete bodies. The last one may break off.
func checkCompleteRequests(t *testing.T, num int, seen []byte, size int) {
	t.Helper()
	red := bufio.NewReader(bytes.NewReader(seen))
	for {
		req, err := http.ReadRequest(red)
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return
		}
		if err != nil {
			t.Errorf("connection %d carries bytes that are not a request: %v", num, err)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return // the last body broke off
		}
		if len(body) != size || strings.Trim(string(body), "u") != "" {
			t.Errorf("connection %d carries a body of %d bytes that is not the caller's", num, len(body))
		}
	}
}

// TestInvalidUploads guards against an upload with an invalid or incomplete body that is answered as if the upstream had
// failed, not answered, or forwarded as complete.
func TestInvalidUploads(t *testing.T) {
	const length = 3 << 20
	for name, test := range map[string]struct {
		head, body string
		halfClose  bool
		want       string
	}{
		"too long by its length": {
			head: "Content-Length: 99999999\r\n",
			want: "413",
		},
		"too long in chunks": {
			head: "Transfer-Encoding: chunked\r\n",
			body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", length, strings.Repeat("x", length)),
			want: "413",
		},
		"wrong chunk": {
			head: "Transfer-Encoding: chunked\r\n",
			body: "5\r\nhello\r\nzz\r\n",
			want: "400",
		},
		"wrong chunk after the buffered part": {
			head: "Transfer-Encoding: chunked\r\n",
			body: fmt.Sprintf("%x\r\n%s\r\nzz\r\n", maxBufferedUpload+4096, strings.Repeat("x", maxBufferedUpload+4096)),
			want: "400",
		},
		"two lengths": {
			head: "Content-Length: 5\r\nContent-Length: 6\r\n",
			body: "hello!",
			want: "400",
		},
		"ends halfway": {
			head:      "Content-Length: 500000\r\n",
			body:      strings.Repeat("x", 1000),
			halfClose: true,
			want:      "400",
		},
	} {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.update(&fpstate.State{
				Configuration: withBodyLimit(har.forward.Configuration(), 2<<20),
			})
			var complete atomic.Int64
			har.addHandler("one", func(wri http.ResponseWriter, req *http.Request) {
				if _, err := io.Copy(io.Discard, req.Body); err == nil {
					complete.Add(1)
				}
				writeSignedHeaders(wri, req)
			})
			con, err := net.Dial("tcp", har.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = con.Close() }()
			go func() {
				// The server may close the connection before all is written.
				_, _ = fmt.Fprintf(con, "POST /upload/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n%s\r\n%s", test.head, test.body)
				if test.halfClose {
					_ = con.(*net.TCPConn).CloseWrite()
				}
			}()
			_ = con.SetReadDeadline(time.Now().Add(3 * time.Second)) // a read without an answer fails below
			line, err := bufio.NewReader(con).ReadString('\n')
			if !strings.HasPrefix(line, "HTTP/1.1 "+test.want) {
				t.Errorf("got %q, error %v, want status %s", line, err, test.want)
			}
			if complete.Load() != 0 {
				t.Error("the upstream got an invalid or incomplete body as a complete one")
			}
		})
	}
}

func withBodyLimit(cfg *fpstate.Configuration, limit uint64) *fpstate.Configuration {
	return &fpstate.Configuration{
		Revision: cfg.GetRevision() + 1,
		Routes:   cfg.GetRoutes(),
		Services: cfg.GetServices(),
		Limits: &fpstate.Limits{
			MaxBodyBytes: limit,
		},
	}
}

// TestRefusalBeforeBody guards against a caller that has to send a long body, or gets 100 Continue, before it gets a refusal
// because there is no upstream.
func TestRefusalBeforeBody(t *testing.T) {
	har := newHarness(t) // there is no upstream
	con, err := net.Dial("tcp", har.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = con.Close() }()
	_ = con.SetReadDeadline(time.Now().Add(time.Second)) // a read without an answer fails below
	fmt.Fprintf(con, "POST /upload/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nExpect: 100-continue\r\nContent-Length: 200000\r\n\r\n")
	line, err := bufio.NewReader(con).ReadString('\n')
	if !strings.HasPrefix(line, "HTTP/1.1 503") {
		t.Errorf("got %q, error %v, want status 503 at once", line, err)
	}
}

// TestUploadsArePacedOnSlowLink guards against uploads that fill a slow link and delay small requests and the calls between
// VMs.
func TestUploadsArePacedOnSlowLink(t *testing.T) {
	const link, size = 1e6, 256 << 10 // bytes per second, bytes
	har := newHarnessWith(t, func(cfg *Config) { cfg.LinkRate = link })
	har.addHandler("one", func(wri http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body) // a failure shows in the answer
		writeSignedHeaders(wri, req)
	})
	began := time.Now()
	if status := har.upload(t.Context(), bytes.NewReader(make([]byte, size))); status != http.StatusOK {
		t.Errorf("got status %d", status)
	}
	seconds := (size - pacedBurst) / (pacedFraction * link)
	least := time.Duration(seconds * float64(time.Second))
	if took := time.Since(began); took < least {
		t.Errorf("%d bytes passed in %v, want at least %v", size, took, least)
	}
}

// TestTransferTimeIsExcluded guards against upstreams that count as slow because of the time to send bodies over a slow link.
// Uploads would then go to another region, and short requests would be refused.
func TestTransferTimeIsExcluded(t *testing.T) {
	const link, size, processing = 1e6, 200 << 10, 20 * time.Millisecond
	har := newHarnessWith(t, func(cfg *Config) { cfg.LinkRate = link })
	har.addHandler("one", func(wri http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body) // a failure shows in the answer
		time.Sleep(processing)
		writeSignedHeaders(wri, req)
	})
	if status := har.upload(t.Context(), bytes.NewReader(make([]byte, size))); status != http.StatusOK {
		t.Fatalf("got status %d", status)
	}
	for _, mem := range har.forward.view.Load().active {
		if mean := mem.state(time.Now()).mean; mean > 5*processing {
			t.Errorf("the estimated processing time is %v, want about %v", mean, processing)
		}
	}
}

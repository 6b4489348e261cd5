package fpforward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// addCrashingUpstream adds an upstream that simulates the end of its process when it runs a request with the body "bad". It
// counts such requests in runs.
func (har *harness) addCrashingUpstream(id string, runs *atomic.Int64) {
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err == nil && strings.HasPrefix(string(body), "bad") {
			runs.Add(1)
			_ = srv.Listener.Close() // the address refuses connections from here on
			panic(http.ErrAbortHandler)
		}
		writeSignedHeaders(wri, req)
	}))
	har.t.Cleanup(srv.Close)
	har.announce(id, srv.Listener.Addr().String())
}

// post sends an idempotent request and returns the status, or 0 without an answer.
func (har *harness) post(body string) int {
	return har.postTo(har.t.Context(), "/safe/1", strings.NewReader(body))
}

// TestCrashingRequestIsRefused guards against a request that crashes each upstream that runs it, is sent again, and takes down
// one upstream after the other; and against the refusal of other requests.
func TestCrashingRequestIsRefused(t *testing.T) {
	har := newHarness(t)
	var runs atomic.Int64
	for num := range 8 {
		har.addCrashingUpstream(fmt.Sprintf("fragile-%d", num), &runs)
	}
	for range 30 {
		har.post("bad")
		for range 6 {
			// Other requests detect that the process has ended.
			har.post("good")
		}
	}
	if got := runs.Load(); got > 3 {
		t.Errorf("the request crashed %d upstreams, want at most 3", got)
	}
	if status := har.post("bad"); status != http.StatusServiceUnavailable {
		t.Errorf("the request that crashes upstreams got status %d", status)
	}
	if status := har.post("good"); status != http.StatusOK {
		t.Errorf("another request got status %d", status)
	}
	if crashes, _ := har.forward.TakeCrashes(); len(crashes) < 2 {
		t.Errorf("%d crashes are reported, want 2 or more", len(crashes))
	}
}

// TestLargeCrashingRequestIsRefused guards against a request that is never refused though it crashes each upstream that runs it, because its
// body is too large to be buffered as a whole; and against the refusal of others that are as large or begin alike.
func TestLargeCrashingRequestIsRefused(t *testing.T) {
	har := newHarness(t)
	var runs atomic.Int64
	for num := range 8 {
		har.addCrashingUpstream(fmt.Sprintf("fragile-%d", num), &runs)
	}
	bad := "bad" + strings.Repeat("x", 200_000)
	good := "good" + bad[4:]
	for range 30 {
		har.post(bad)
		for range 6 {
			// Other requests detect that the process has ended.
			har.post("good")
		}
	}
	if got := runs.Load(); got > 3 {
		t.Errorf("the request crashed %d upstreams, want at most 3", got)
	}
	for body, want := range map[string]int{
		bad:              http.StatusServiceUnavailable,
		good:             http.StatusOK,
		good + "x":       http.StatusOK,
		"good" + "short": http.StatusOK,
	} {
		if status := har.post(body); status != want {
			t.Errorf("a body of %d bytes that begins with %q got status %d, want %d", len(body), body[:4], status, want)
		}
	}
	if crashes, _ := har.forward.TakeCrashes(); len(crashes) < 2 {
		t.Errorf("%d crashes are reported, want 2 or more", len(crashes))
	}
}

// TestQuarantineFollowsState guards against an entry VM that forwards a request which the control VMs have quarantined, and
// one that refuses it after the quarantine has been lifted.
func TestQuarantineFollowsState(t *testing.T) {
	har := newHarness(t)
	har.addWorker("work", nil)
	exc := har.forward.newExchange(nil, httptest.NewRequest(http.MethodPost, har.server.URL+"/safe/1", nil), time.Now())
	exc.body = []byte("bad")
	for num, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		har.update(&fpstate.State{
			Quarantines: []*fpstate.Quarantine{{
				Digest:   exc.digest(),
				Lifted:   num == 1,
				Modified: har.index + 1,
			}},
		})
		if status := har.post("bad"); status != want {
			t.Errorf("got status %d, want %d", status, want)
		}
		if status := har.post("good"); status != http.StatusOK {
			t.Errorf("another request got status %d", status)
		}
	}
}

// TestClosedConnectionIsNotACrash guards against a request that is suspected because an upstream closed its connection while
// the process of the upstream goes on.
func TestClosedConnectionIsNotACrash(t *testing.T) {
	har := newHarness(t)
	var count atomic.Int64
	har.addHandler("one", func(wri http.ResponseWriter, req *http.Request) {
		if count.Add(1)%2 == 1 {
			panic(http.ErrAbortHandler)
		}
		writeSignedHeaders(wri, req)
	})
	for range 10 {
		har.post("good")
	}
	if _, suspects := har.forward.quarantine.Len(); suspects > 0 {
		t.Errorf("%d requests are suspected", suspects)
	}
}

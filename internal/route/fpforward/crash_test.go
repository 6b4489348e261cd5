package fpforward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
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

// probationOf returns the state in which a request with the given body was refused because of crashes and no longer is.
func (har *harness) probationOf(body string) *fpstate.State {
	exc := har.forward.newExchange(nil, httptest.NewRequest(http.MethodPost, har.server.URL+"/safe/1", nil), time.Now())
	exc.body = []byte(body)
	return &fpstate.State{
		Quarantines: []*fpstate.Quarantine{{
			Digest: exc.digest(),
			Lifted: true,
			Crashes: []*fpstate.Incarnation{{
				Upstream: "former",
				Born:     1,
			}},
			Modified: har.index + 1,
		}},
	}
}

// TestRequestOnProbationCrashesOnce guards against a request that takes down several upstreams when its refusal has ended, because it is
// sent to another one at once or comes again before the control VMs know of the crash.
func TestRequestOnProbationCrashesOnce(t *testing.T) {
	har := newHarness(t)
	var runs atomic.Int64
	for num := range 8 {
		har.addCrashingUpstream(fmt.Sprintf("fragile-%d", num), &runs)
	}
	har.update(har.probationOf("bad"))
	for range 5 {
		har.post("bad")
		for range 6 {
			// Other requests detect that the process has ended.
			har.post("good")
		}
	}
	if got := runs.Load(); got != 1 {
		t.Errorf("the request crashed %d upstreams, want 1", got)
	}
}

// TestAnswerOnProbationIsReported guards against crashes that count although an upstream has answered the request since its refusal has
// ended, so that a sound request is refused for longer each time.
func TestAnswerOnProbationIsReported(t *testing.T) {
	har := newHarness(t)
	har.addWorker("work", nil)
	har.update(har.probationOf("sound"))
	for range 3 {
		if status := har.post("sound"); status != http.StatusOK {
			t.Errorf("got status %d", status)
		}
	}
	if _, cleared := har.forward.TakeCrashes(); len(cleared) != 1 {
		t.Errorf("%d answers are reported, want 1", len(cleared))
	}
}

// TestReturnedCrashes guards against crashes that no leader learns of, because the report was lost, and against old ones that replace
// newer reports on the same request.
func TestReturnedCrashes(t *testing.T) {
	har := newHarness(t)
	crash := func(digest string) *fpstate.Crash {
		return &fpstate.Crash{
			Digest:   digest,
			Upstream: "one",
			Born:     1,
		}
	}
	har.forward.ReturnCrashes([]*fpstate.Crash{crash("a"), crash("b")}, []string{"c"})
	crashes, cleared := har.forward.TakeCrashes()
	if len(crashes) != 2 || len(cleared) != 1 {
		t.Fatalf("got %v and %v after a lost report", crashes, cleared)
	}
	har.forward.ReturnCrashes([]*fpstate.Crash{crash("c")}, []string{"a"})
	har.forward.ReturnCrashes(crashes, cleared)
	crashes, cleared = har.forward.TakeCrashes()
	var digests []string
	for _, cra := range crashes {
		digests = append(digests, cra.GetDigest())
	}
	slices.Sort(digests)
	if !slices.Equal(digests, []string{"b", "c"}) || !slices.Equal(cleared, []string{"a"}) {
		t.Errorf("got crashes of %v and answers of %v, want b and c, and a", digests, cleared)
	}
}

// TestSuspectsAreReportedAgain guards against a new leader that doesn't know of crashes.
func TestSuspectsAreReportedAgain(t *testing.T) {
	har := newHarness(t)
	var runs atomic.Int64
	har.addCrashingUpstream("fragile", &runs)
	har.post("bad")
	reported := 0
	for end := time.Now().Add(2 * time.Second); reported == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		crashes, _ := har.forward.TakeCrashes()
		reported = len(crashes)
	}
	if reported != 1 {
		t.Fatalf("%d crashes are reported, want 1", reported)
	}
	har.forward.RepeatCrashes()
	if crashes, _ := har.forward.TakeCrashes(); len(crashes) != 1 {
		t.Errorf("%d crashes are reported again, want 1", len(crashes))
	}
	for num := range 2 * maxCrashReports {
		har.forward.quarantine.RecordCrash(time.Now(), fmt.Sprint(num), fpquarantine.Crash{})
	}
	har.forward.RepeatCrashes()
	har.addCrashingUpstream("fragile too", &runs)
	har.post("bad too")
	reported = 0
	for end := time.Now().Add(2 * time.Second); reported != maxRepeatedCrashes+1 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		crashes, _ := har.forward.TakeCrashes()
		reported += len(crashes)
	}
	if reported != maxRepeatedCrashes+1 {
		t.Errorf("%d crashes are reported with a new one, want %d", reported, maxRepeatedCrashes+1)
	}
}

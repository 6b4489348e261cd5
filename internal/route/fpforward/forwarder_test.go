package fpforward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpworker"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// harness runs a forwarder with simulated upstreams on the loopback interface.
type harness struct {
	t           *testing.T
	forward     *Forwarder
	server      *httptest.Server
	workers     []*fpworker.Worker
	index       uint64
	lastAttempt atomic.Int64
	// workTime is the processing time of requests at workers that are added, and dataCentre their location.
	workTime   time.Duration
	dataCentre string
	// workerAddress is the address at which they listen. Empty: one with a free port of 127.0.0.1.
	workerAddress string
}

// newHarness returns a forwarder with routes of the kinds idempotent, once and upload to the service "work", and an idempotent
// route to the keyed service "keys".
func newHarness(t *testing.T) *harness { return newHarnessWith(t, func(*Config) {}) }

// newHarnessWith is like newHarness but lets adjust change the configuration of the forwarder.
func newHarnessWith(t *testing.T, adjust func(cfg *Config)) *harness {
	cfg := Config{
		DataCentre: "east-1",
		Region:     func(string) string { return "east" },
		Promises: fpgateway.Promises{
			RetryShare:  0.2,
			RetryExtra:  50,
			RetryWindow: 10 * time.Second,
		},
		Log: zap.NewNop(),
	}
	adjust(&cfg)
	har := &harness{
		t:          t,
		workTime:   5 * time.Millisecond,
		dataCentre: "east-1",
		forward:    New(cfg),
	}
	har.server = httptest.NewUnstartedServer(har.forward)
	har.server.Config.ConnContext = func(ctx context.Context, con net.Conn) context.Context {
		return WithTurns(ctx, func(*http.Request) Turn {
			return Turn{
				Arrived: time.Now(),
				SetResetOnClose: func(reset bool) error {
					linger := -1
					if reset {
						linger = 0
					}
					return con.(*net.TCPConn).SetLinger(linger)
				},
			}
		})
	}
	har.server.Start()
	t.Cleanup(har.server.Close)
	route := func(name, service string, kind fpstate.Kind) *fpstate.Route {
		return &fpstate.Route{
			Name:       name,
			Host:       "127.0.0.1",
			PathPrefix: "/" + name + "/",
			Kind:       kind,
			Timeout:    durationpb.New(2 * time.Second),
			Objective:  durationpb.New(time.Second),
			Targets: []*fpstate.Target{{
				Service: service,
				Weight:  1,
			}},
			MaxAttempts: 2,
		}
	}
	har.update(&fpstate.State{
		Configuration: &fpstate.Configuration{
			Revision: 1,
			Routes: []*fpstate.Route{
				route("safe", "work", fpstate.Kind_KIND_IDEMPOTENT),
				route("once", "work", fpstate.Kind_KIND_ONCE),
				route("upload", "work", fpstate.Kind_KIND_UPLOAD),
				route("keyed", "keys", fpstate.Kind_KIND_IDEMPOTENT),
			},
			Services: []*fpstate.Service{
				{
					Name: "work",
				},
				{
					Name:  "keys",
					Keyed: true,
				},
			},
		},
		ConfigurationModified: 1,
	})
	return har
}

func (har *harness) update(sta *fpstate.State) {
	har.index++
	for _, ups := range sta.GetUpstreams() {
		ups.Modified = har.index
	}
	for _, spa := range sta.GetKeySpaces() {
		spa.Modified = har.index
	}
	har.forward.Update(sta, har.index, 1)
}

// addWorker starts a worker of a service. fault returns the fault for each attempt; nil means none.
func (har *harness) addWorker(service string, fault func(attempt string) fpworker.Fault) *fpworker.Worker {
	wor := fpworker.New(fpworker.Config{
		Upstream: &fpstate.Upstream{
			Id:          fmt.Sprintf("%s-%d", service, len(har.workers)),
			Born:        1,
			Service:     service,
			Address:     har.workerAddress,
			DataCentre:  har.dataCentre,
			Concurrency: 4,
		},
		ServiceTime: har.workTime,
		Queue:       4,
		Fault:       fault,
		Body:        []byte("the whole answer"),
	})
	if err := wor.Listen(); err != nil {
		har.t.Fatal(err)
	}
	har.t.Cleanup(wor.Close)
	har.workers = append(har.workers, wor)
	har.update(&fpstate.State{
		Upstreams: []*fpstate.Upstream{wor.Upstream()},
	})
	return wor
}

// answer is the answer that a caller gets, or the error without one.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// call sends one request. It sets the attempt and the wait of info if they are missing.
func (har *harness) call(path string, info platform.Request) answer {
	ctx, cancel := context.WithTimeout(har.t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, har.server.URL+path, strings.NewReader("a body"))
	if err != nil {
		har.t.Fatal(err)
	}
	if info.Attempt == "" {
		info.Attempt = fmt.Sprintf("attempt-%d", har.lastAttempt.Add(1))
	}
	if info.Timeout == 0 {
		info.Timeout = 2 * time.Second
	}
	platform.EncodeRequest(req.Header, info)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{
			err: err,
		}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return answer{
		status: res.StatusCode,
		body:   string(body),
		header: res.Header,
		err:    err,
	}
}

func (har *harness) totalRuns() int {
	sum := 0
	for _, wor := range har.workers {
		sum += len(wor.Runs())
	}
	return sum
}

func alwaysFault(fault fpworker.Fault) func(string) fpworker.Fault {
	return func(string) fpworker.Fault { return fault }
}

// TestInvalidAnswersAreRejected guards against a caller that gets an answer which is truncated, belongs to another attempt, or
// has no signature; and against a second run of a request that may run only once.
func TestInvalidAnswersAreRejected(t *testing.T) {
	for name, fault := range map[string]fpworker.Fault{
		"reset":         fpworker.Reset,
		"truncated":     fpworker.Truncate,
		"other attempt": fpworker.OtherAttempt,
		"unsigned":      fpworker.Unsigned,
	} {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.workTime = defaultMeanTime
			har.addWorker("work", alwaysFault(fault))
			har.addWorker("work", alwaysFault(fault))
			got := har.call("/once/1", platform.Request{})
			if got.status != http.StatusBadGateway {
				t.Errorf("got status %d, want %d", got.status, http.StatusBadGateway)
			}
			if har.totalRuns() != 1 {
				t.Errorf("a request that may run once ran %d times", har.totalRuns())
			}
			got = har.call("/safe/1", platform.Request{})
			if got.status != http.StatusBadGateway || strings.Contains(got.body, "answer") {
				t.Errorf("got status %d and body %q, want %d", got.status, got.body, http.StatusBadGateway)
			}
			if har.totalRuns() != 3 {
				t.Errorf("an idempotent request ran %d times, want 2, the limit of its route", har.totalRuns()-1)
			}
		})
	}
}

// TestRetryAtAnotherUpstream guards against an idempotent request that fails although another upstream would have served it,
// and against a request that was refused as not run and is not retried.
func TestRetryAtAnotherUpstream(t *testing.T) {
	for name, fault := range map[string]fpworker.Fault{
		"reset":     fpworker.Reset,
		"truncated": fpworker.Truncate,
		"shed":      fpworker.Shed,
		"failed":    fpworker.Fail,
	} {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			var count atomic.Int64
			failFirst := func(string) fpworker.Fault {
				if count.Add(1) == 1 {
					return fault
				}
				return fpworker.None
			}
			har.addWorker("work", failFirst)
			har.addWorker("work", failFirst)
			if got := har.call("/safe/1", platform.Request{}); got.status != http.StatusOK || got.body != "the whole answer" {
				t.Errorf("got status %d, body %q, error %v", got.status, got.body, got.err)
			}
		})
	}
	t.Run("once", func(t *testing.T) {
		har := newHarness(t)
		har.addWorker("work", alwaysFault(fpworker.Shed))
		har.addWorker("work", nil)
		for range 10 {
			if got := har.call("/once/1", platform.Request{}); got.status != http.StatusOK {
				t.Errorf("a request that was refused as not run got status %d", got.status)
			}
		}
	})
}

// TestRefusalStatus guards against a 503, which promises that the request did not run, for one that ran; and against a refusal
// without Retry-After.
func TestRefusalStatus(t *testing.T) {
	har := newHarness(t)
	got := har.call("/safe/1", platform.Request{})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("without upstreams: got status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	if got := har.call("/nowhere/1", platform.Request{}); got.status != http.StatusNotFound {
		t.Errorf("without a route: got status %d", got.status)
	}
	har.addWorker("work", alwaysFault(fpworker.Shed))
	if got := har.call("/once/1", platform.Request{}); got.status != http.StatusServiceUnavailable || har.totalRuns() != 0 {
		t.Errorf("with all upstreams full: got status %d after %d runs", got.status, har.totalRuns())
	}
	har.addWorker("work", alwaysFault(fpworker.Silent))
	for range 5 {
		before := har.totalRuns()
		got := har.call("/once/1", platform.Request{
			Timeout: 300 * time.Millisecond,
		})
		if ran := har.totalRuns() > before; ran && got.status != http.StatusGatewayTimeout {
			t.Errorf("a request that runs without an answer: got status %d, want %d", got.status, http.StatusGatewayTimeout)
		}
	}
}

// TestNoConfiguration guards against a 404 of a VM that has no configuration yet.
func TestNoConfiguration(t *testing.T) {
	fwd := New(Config{
		Region: func(string) string { return "" },
		Log:    zap.NewNop(),
	})
	rec := httptest.NewRecorder()
	fwd.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/safe/1", nil))
	if rec.Code != http.StatusServiceUnavailable || fwd.Ready() {
		t.Errorf("got status %d, ready %t", rec.Code, fwd.Ready())
	}
}

// TestKeyedRequestGoesToOwner guards against a keyed request that goes to another upstream than the owner of its key, and
// against one that does not wait while its key moves to a new owner.
func TestKeyedRequestGoesToOwner(t *testing.T) {
	har := newHarness(t)
	one, two := har.addWorker("keys", nil), har.addWorker("keys", nil)
	setOwner := func(owner *fpworker.Worker, fence uint64, phase fpstate.Phase) {
		har.update(&fpstate.State{
			KeySpaces: []*fpstate.KeySpace{{
				Service: "keys",
				Ranges: []*fpstate.Range{{
					First:    0,
					Last:     100,
					Upstream: owner.Upstream().GetId(),
					Born:     1,
					Fence:    fence,
					Phase:    phase,
				}},
			}},
		})
	}
	keyed := platform.Request{
		Key:   7,
		Keyed: true,
	}
	if got := har.call("/keyed/1", keyed); got.status != http.StatusServiceUnavailable {
		t.Errorf("without an owner: got status %d", got.status)
	}
	setOwner(one, 1, fpstate.Phase_PHASE_SERVING)
	for range 5 {
		har.call("/keyed/1", keyed)
	}
	if len(one.Runs()) != 5 || len(two.Runs()) != 0 {
		t.Errorf("the owner ran %d requests and another upstream %d", len(one.Runs()), len(two.Runs()))
	}
	setOwner(one, 1, fpstate.Phase_PHASE_RELEASING)
	timer := time.AfterFunc(100*time.Millisecond, func() { setOwner(two, 2, fpstate.Phase_PHASE_SERVING) })
	defer timer.Stop()
	if got := har.call("/keyed/1", keyed); got.status != http.StatusOK || len(two.Runs()) != 1 {
		t.Errorf("while the key moved: got status %d after %d runs at the new owner", got.status, len(two.Runs()))
	}
}

// TestRetryBudgetIsShared guards against retries above the common budget of all entry VMs when all upstreams of a service
// fail.
func TestRetryBudgetIsShared(t *testing.T) {
	const entries, requests = 4, 300
	bound := 0.2*requests + 50.0
	now := time.Now()
	retries := 0
	for range entries {
		bud := &retryBudget{
			ratio:  0.2,
			extra:  50,
			window: 10 * time.Second,
		}
		for range requests / entries {
			bud.recordRequest(now)
			for range 3 {
				if bud.tryTake(now, entries, 0) {
					retries++
				}
			}
			now = now.Add(10 * time.Millisecond)
		}
	}
	if float64(retries) > bound {
		t.Errorf("%d VMs sent %d retries for %d requests, want at most %g", entries, retries, requests, bound)
	}
	if retries == 0 {
		t.Error("no retry was allowed")
	}
}

// TestSplitWeights guards against a split whose shares deviate from the weights over a few hundred requests.
func TestSplitWeights(t *testing.T) {
	targets := []*fpstate.Target{
		{
			Service: "one",
			Weight:  90,
		},
		{
			Service: "two",
			Weight:  10,
		},
		{
			Service: "none",
			Weight:  0,
		},
	}
	counts := map[string]int{}
	spl := &splitter{}
	for range 300 {
		counts[spl.next(targets)]++
	}
	if counts["one"] != 270 || counts["two"] != 30 {
		t.Errorf("got shares %v of 300, want 270 and 30", counts)
	}
}

// TestCallerRetryDetection guards against a retry of a caller that is taken for a first attempt, and the reverse.
func TestCallerRetryDetection(t *testing.T) {
	var wts waitTracker
	now := time.Now()
	if wts.observe(now, "route", time.Second) {
		t.Error("the first request was taken for a retry")
	}
	if !wts.observe(now, "route", 800*time.Millisecond) {
		t.Error("a request with less time was taken for a first attempt")
	}
	if wts.observe(now, "other", 800*time.Millisecond) {
		t.Error("the waits of two routes were mixed")
	}
	// From here on the callers of the route state a shorter wait.
	for step := range 4 {
		wts.observe(now.Add(time.Duration(step)*waitPeriod+time.Duration(step)), "route", 500*time.Millisecond)
	}
	if wts.observe(now.Add(4*waitPeriod), "route", 500*time.Millisecond) {
		t.Error("the former longest wait is still in use after 4 periods")
	}
}

// TestBundleLimitBySlowLink guards against bundles that fill a slow link for seconds and delay small answers and the calls
// between VMs.
func TestBundleLimitBySlowLink(t *testing.T) {
	if got := bundleLimit(5e6 / 8); got != 4 {
		t.Errorf("got %d permits on a link of 5 Mbit/s, want 4", got)
	}
	if got := bundleLimit(1e9 / 8); got != maxBundles {
		t.Errorf("got %d permits on a link of 1 Gbit/s, want %d", got, maxBundles)
	}
	if got := bundleLimit(1e5); got != minBundles {
		t.Errorf("got %d permits on a link of 0.8 Mbit/s, want %d", got, minBundles)
	}
}

// TestConnectionLimit guards against more connections of all entry VMs together than an upstream accepts.
func TestConnectionLimit(t *testing.T) {
	sta := memberState{
		inFlight: 5,
	}
	if sta.atConnectionLimit(410, 10) {
		t.Error("5 of 410 connections for 10 VMs count as too many")
	}
	if !sta.atConnectionLimit(410, 64) {
		t.Error("5 of 410 connections for 64 VMs do not count as too many")
	}
}

// TestConnectPauseAfterReset guards against new connections to an upstream that resets them because it has too many. Each reset
// loses a request that must not be sent again.
func TestConnectPauseAfterReset(t *testing.T) {
	har := newHarness(t)
	har.workTime = 0
	har.addWorker("work", alwaysFault(fpworker.Reset))
	lost := 0
	for range 40 {
		if got := har.call("/once/1", platform.Request{}); got.status != http.StatusServiceUnavailable {
			lost++
		}
	}
	if lost == 0 || lost > 4 {
		t.Errorf("%d of 40 requests were sent on new connections to an upstream that resets them, want 1 to 4", lost)
	}
}

// TestResetBeforeRequestIsNotRun guards against a request that is sent on a new connection which a full upstream is about to
// reset. After that it would not be known whether the request has run.
func TestResetBeforeRequestIsNotRun(t *testing.T) {
	har := newHarnessWith(t, func(cfg *Config) { cfg.ResetWait = maxResetWait }) // a busy machine may reset late
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	var requests atomic.Int64
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			time.Sleep(time.Millisecond) // the upstream resets a new connection after this time
			_ = con.(*net.TCPConn).SetLinger(0)
			_ = con.SetReadDeadline(time.Now().Add(time.Microsecond))
			if num, _ := con.Read(make([]byte, 1)); num > 0 {
				requests.Add(1)
			}
			_ = con.Close()
		}
	}()
	har.announce("full", lis.Addr().String())
	for range 5 {
		got := har.call("/once/1", platform.Request{})
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("got status %d, Retry-After %q, want a refusal that says that the request did not run", got.status, got.header.Get("Retry-After"))
		}
		time.Sleep(maxConnectPause)
	}
	if got := requests.Load(); got > 0 {
		t.Errorf("%d requests were sent", got)
	}
}

// TestUnreachableUpstreamIsHeldDown guards against requests that fail because an upstream is chosen again and again although
// it cannot be reached.
func TestUnreachableUpstreamIsHeldDown(t *testing.T) {
	har := newHarness(t)
	closed := har.addWorker("work", nil)
	har.addWorker("work", nil)
	closed.Close()
	for range 30 {
		if got := har.call("/once/1", platform.Request{}); got.status != http.StatusOK {
			t.Fatalf("got status %d though one upstream is healthy", got.status)
		}
	}
}

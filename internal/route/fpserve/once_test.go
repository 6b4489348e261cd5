package fpserve_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpserve"
)

// lastSendID numbers the sends of all calls.
var lastSendID atomic.Int64

// TestAtMostOnce guards against a second run of a non-idempotent call, an outcome notRun for a call that ran, and a
// wrong answer. The faults are refusals, lost connections, truncated and late answers, and failed claims.
func TestAtMostOnce(t *testing.T) {
	first, second := newFakeUpstream(t, "one"), newFakeUpstream(t, "two")
	var moved atomic.Bool
	rou := newRouter(t, func(cfg *fpserve.Config) {
		choose := cfg.Choose
		cfg.Choose = func(ctx context.Context, cal *fpserve.Call) (*fpserve.Target, error) {
			tar, err := choose(ctx, cal)
			tar.Check = func() error {
				if moved.Swap(false) {
					return fperror.New(fperror.NoOwner, "moved")
				}
				return nil
			}
			return tar, err
		}
	}, first, second)
	clients := []*http.Client{newClient(t, true), newClient(t, false)}
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, int(faultCount)-1), 1, 6).Draw(t, "faults")
		claimFaults := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 3).Draw(t, "claimFaults")
		resends := rapid.IntRange(1, 3).Draw(t, "resends")
		together := rapid.Bool().Draw(t, "together")
		grpc := rapid.Bool().Draw(t, "grpc")
		moved.Store(rapid.Bool().Draw(t, "moved"))
		script := &faultScript{faults: faults}
		first.setFault(script.next)
		second.setFault(script.next)
		rou.claims.setFault(claimFaultFunc(claimFaults))
		cal := &nonIdempotentCall{
			router: rou,
			key:    newKey(),
		}
		if grpc {
			cal.opts = protocols["grpc"]
		}
		results := cal.sendAll(clients, resends, together)
		cal.verify(t, results, first, second)
	})
}

// faultScript returns one fault for each request that arrives at an upstream, and no fault when it has returned all.
type faultScript struct {
	mutex  sync.Mutex
	faults []int
}

func (scr *faultScript) next(*http.Request) fault {
	scr.mutex.Lock()
	defer scr.mutex.Unlock()
	if len(scr.faults) == 0 {
		return noFault
	}
	fau := fault(scr.faults[0])
	scr.faults = scr.faults[1:]
	return fau
}

func claimFaultFunc(faults []int) func() error {
	return func() error {
		if len(faults) == 0 {
			return nil
		}
		fau := faults[0]
		faults = faults[1:]
		switch fau {
		case 0:
			return fperror.New(fperror.ClaimUnavailable, "no leader")
		case 1:
			return fperror.New(fperror.CommitUnknown, "the answer was lost")
		default:
			return nil
		}
	}
}

// nonIdempotentCall is a call that is sent several times with the same idempotency key.
type nonIdempotentCall struct {
	router *router
	key    string
	opts   []connect.ClientOption
}

// sendResult is the result of sending a call once.
type sendResult struct {
	id      string
	value   string
	outcome string
	err     error
}

func (cal *nonIdempotentCall) sendAll(clients []*http.Client, num int, together bool) []sendResult {
	results := make([]sendResult, num)
	var gro sync.WaitGroup
	for pos := range results {
		cli := clients[pos%len(clients)]
		if len(cal.opts) > 0 {
			cli = clients[0]
		}
		send := func() { results[pos] = cal.send(cli) }
		if together {
			gro.Go(send)
			continue
		}
		send()
	}
	gro.Wait()
	return results
}

func (cal *nonIdempotentCall) send(cli *http.Client) sendResult {
	id := strconv.FormatInt(lastSendID.Add(1), 10)
	req := connect.NewRequest(&text{RequestId: cal.key})
	req.Header().Set("Idempotency-Key", cal.key)
	req.Header().Set("X-Send", id)
	if len(cal.opts) > 0 {
		req.Header().Set("Grpc-Timeout", "60m")
	} else {
		req.Header().Set("Connect-Timeout-Ms", "60")
	}
	// A deadline of the context would replace the header. The timer only ends calls that would never return.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer time.AfterFunc(5*time.Second, cancel).Stop()
	res, err := connect.NewClient[text, text](cli, cal.router.URL+"/demo.Test/Once", cal.opts...).CallUnary(ctx, req)
	result := sendResult{
		id:  id,
		err: err,
	}
	var conErr *connect.Error
	if errors.As(err, &conErr) {
		result.outcome = conErr.Meta().Get("Foxtailpulley-Outcome")
	}
	if err == nil {
		result.value = res.Msg.RequestId
	}
	return result
}

func (cal *nonIdempotentCall) verify(t *rapid.T, results []sendResult, upstreams ...*fakeUpstream) {
	total := 0
	for _, fak := range upstreams {
		runs, _ := fak.runCounts(cal.key, "")
		total += runs
	}
	if total > 1 {
		t.Fatalf("the call ran %d times, want at most once", total)
	}
	for _, result := range results {
		ran := 0
		for _, fak := range upstreams {
			_, num := fak.runCounts("", result.id)
			ran += num
		}
		switch {
		case result.err == nil && (result.value != "re:"+cal.key || total != 1):
			t.Fatalf("the call got the answer %q after %d runs", result.value, total)
		case result.err != nil && result.outcome == "":
			t.Fatalf("the error %v has no outcome", result.err)
		case result.outcome == "notRun" && ran != 0:
			t.Fatalf("the outcome is notRun for a call that ran: %v", result.err)
		case result.outcome == "ran" && total != 1:
			t.Fatalf("the outcome is ran after %d runs", total)
		}
	}
}

// TestOutcomeUnknownAfterLossAndShed guards against the outcome notRun for a call whose first attempt may have run and
// whose later attempts were refused.
func TestOutcomeUnknownAfterLossAndShed(t *testing.T) {
	fak := newFakeUpstream(t, "one")
	scr := &faultScript{faults: []int{int(closeAfterRun), int(shedRequest), int(shedRequest), int(shedRequest)}}
	fak.setFault(scr.next)
	rou := newRouter(t, nil, fak)
	_, err := call(rou, newClient(t, true), "/demo.Test/Idem", "x", "")
	var conErr *connect.Error
	if !errors.As(err, &conErr) || conErr.Meta().Get("Foxtailpulley-Outcome") != "unknown" {
		t.Errorf("got error %v with the headers %v, want the outcome unknown", err, conErr.Meta())
	}
}

// TestResendGetsRecordedAnswer guards against a resend that runs again or gets another answer than the first send.
func TestResendGetsRecordedAnswer(t *testing.T) {
	fak := newFakeUpstream(t, "one")
	rou := newRouter(t, nil, fak)
	for name, opts := range protocols {
		key := newKey()
		first, err := call(rou, newClient(t, true), "/demo.Test/Once", name, key, opts...)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 { // uses the buffer of the first answer again
			_, _ = call(rou, newClient(t, true), "/demo.Test/Idem", "other", "", opts...)
		}
		second, err := call(rou, newClient(t, true), "/demo.Test/Once", name, key, opts...)
		if err != nil || !proto.Equal(first.Msg, second.Msg) || second.Trailer().Get("X-Trailer") != name {
			t.Errorf("%s: the resend got %v and error %v", name, second, err)
		}
		if runs, _ := fak.runCounts(key, ""); runs != 1 {
			t.Errorf("%s: the call ran %d times, want once", name, runs)
		}
	}
}

// TestLargeAnswerIsNotRunAgain guards against a resend that runs again because the answer was too large to be recorded.
func TestLargeAnswerIsNotRunAgain(t *testing.T) {
	fak := newFakeUpstream(t, "one")
	rou := newRouter(t, nil, fak)
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	for size, recorded := range map[int]bool{16 << 10: false, 15 << 10: true} {
		key, value := newKey(), strings.Repeat("x", size)
		if _, err := call(rou, newClient(t, true), "/demo.Test/Once", value, key, plain); err != nil {
			t.Fatal(err)
		}
		_, err := call(rou, newClient(t, true), "/demo.Test/Once", value, key, plain)
		var conErr *connect.Error
		if errors.As(err, &conErr) == recorded || !recorded && conErr.Meta().Get("Foxtailpulley-Outcome") != "ran" {
			t.Errorf("answer of %d bytes: the resend got error %v", size, err)
		}
		if runs, _ := fak.runCounts(key, ""); runs != 1 {
			t.Errorf("answer of %d bytes: the call ran %d times, want once", size, runs)
		}
	}
}

func (fak *fakeUpstream) setFault(fau func(*http.Request) fault) {
	fak.mutex.Lock()
	defer fak.mutex.Unlock()
	fak.faultFor = fau
}

func (cla *fakeClaims) setFault(fau func() error) {
	cla.mutex.Lock()
	defer cla.mutex.Unlock()
	cla.nextFault = fau
}

// TestCancelBeforeForwardReleasesClaim guards against a claim that stays held although the request was never sent.
func TestCancelBeforeForwardReleasesClaim(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections, but never answers
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	rou := newRouter(t, nil, &fakeUpstream{upstream: &fpcontract.Upstream{Name: "frozen", Address: lis.Addr().String()}})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	req := connect.NewRequest(&text{RequestId: "x"})
	req.Header().Set("Idempotency-Key", newKey())
	_, _ = connect.NewClient[text, text](newClient(t, true), rou.URL+"/demo.Test/Once").CallUnary(ctx, req)
	for range 100 {
		rou.claims.mutex.Lock()
		held := len(rou.claims.byKey)
		rou.claims.mutex.Unlock()
		if rou.server.Running() == 0 && held == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the claim of a request that was never sent is still held")
}

// TestPendingResendHoldsNoPermit guards against a resend that holds a permit of the upstream while it waits for the
// outcome of the first send.
func TestPendingResendHoldsNoPermit(t *testing.T) {
	fak := newFakeUpstream(t, "one")
	fak.setFault(func(*http.Request) fault { return hangUntilCanceled })
	var permits atomic.Int64
	rou := newRouter(t, func(cfg *fpserve.Config) {
		cfg.Admit = func(context.Context, *fpserve.Call, *fpserve.Target) (func(fpserve.Result), error) {
			permits.Add(1)
			return func(fpserve.Result) { permits.Add(-1) }, nil
		}
	}, fak)
	key := newKey()
	var gro sync.WaitGroup
	for range 5 {
		gro.Go(func() { _, _ = call(rou, newClient(t, true), "/demo.Test/Once", "x", key) })
	}
	time.Sleep(200 * time.Millisecond)
	if num := permits.Load(); num != 1 {
		t.Errorf("%d permits are held, want 1", num)
	}
	close(fak.unblock)
	gro.Wait()
	if runs, _ := fak.runCounts(key, ""); runs != 1 {
		t.Errorf("the call ran %d times, want once", runs)
	}
}

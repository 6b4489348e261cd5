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

// sends numbers the sends of all calls.
var sends atomic.Int64

// TestAtMostOnce guards against a second run of a non-idempotent call, against an answer that says notRun for a call that
// ran, and against a wrong answer, under refusals, lost connections, truncated and late answers and lost claims.
func TestAtMostOnce(t *testing.T) {
	one, two := newStandin(t, "one"), newStandin(t, "two")
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
	}, one, two)
	clients := []*http.Client{newCaller(t, true), newCaller(t, false)}
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, int(faultCount)-1), 1, 6).Draw(t, "faults")
		claimFaults := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 3).Draw(t, "claimFaults")
		resends := rapid.IntRange(1, 3).Draw(t, "resends")
		together := rapid.Bool().Draw(t, "together")
		grpc := rapid.Bool().Draw(t, "grpc")
		moved.Store(rapid.Bool().Draw(t, "moved"))
		script := &script{faults: faults}
		one.setFault(script.next)
		two.setFault(script.next)
		rou.claims.setFault(claimScript(claimFaults))
		cal := &onceCall{
			router: rou,
			key:    newKey(),
		}
		if grpc {
			cal.opts = protocols["grpc"]
		}
		outcomes := cal.sendAll(clients, resends, together)
		cal.verify(t, outcomes, one, two)
	})
}

// script gives one fault to each arrival, and none after its end.
type script struct {
	mutex  sync.Mutex
	faults []int
}

func (scr *script) next(*http.Request) fault {
	scr.mutex.Lock()
	defer scr.mutex.Unlock()
	if len(scr.faults) == 0 {
		return none
	}
	fau := fault(scr.faults[0])
	scr.faults = scr.faults[1:]
	return fau
}

func claimScript(faults []int) func() error {
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

// onceCall is one non-idempotent call that is sent several times with the same key.
type onceCall struct {
	router *router
	key    string
	opts   []connect.ClientOption
}

// sent is one send and its answer.
type sent struct {
	id      string
	value   string
	outcome string
	err     error
}

func (cal *onceCall) sendAll(clients []*http.Client, num int, together bool) []sent {
	all := make([]sent, num)
	var gro sync.WaitGroup
	for pos := range all {
		cli := clients[pos%len(clients)]
		if len(cal.opts) > 0 {
			cli = clients[0]
		}
		send := func() { all[pos] = cal.send(cli) }
		if together {
			gro.Go(send)
			continue
		}
		send()
	}
	gro.Wait()
	return all
}

func (cal *onceCall) send(cli *http.Client) sent {
	id := strconv.FormatInt(sends.Add(1), 10)
	req := connect.NewRequest(&text{RequestId: cal.key})
	req.Header().Set("Idempotency-Key", cal.key)
	req.Header().Set("X-Send", id)
	if len(cal.opts) > 0 {
		req.Header().Set("Grpc-Timeout", "60m")
	} else {
		req.Header().Set("Connect-Timeout-Ms", "60")
	}
	// A deadline of the context would replace the header, so only a timer guards against a call that never returns.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer time.AfterFunc(5*time.Second, cancel).Stop()
	res, err := connect.NewClient[text, text](cli, cal.router.URL+"/demo.Test/Once", cal.opts...).CallUnary(ctx, req)
	out := sent{
		id:  id,
		err: err,
	}
	var conErr *connect.Error
	if errors.As(err, &conErr) {
		out.outcome = conErr.Meta().Get("Foxtailpulley-Outcome")
	}
	if err == nil {
		out.value = res.Msg.RequestId
	}
	return out
}

func (cal *onceCall) verify(t *rapid.T, outcomes []sent, upstreams ...*standin) {
	total := 0
	for _, sta := range upstreams {
		runs, _ := sta.total(cal.key, "")
		total += runs
	}
	if total > 1 {
		t.Fatalf("the call ran %d times", total)
	}
	for _, out := range outcomes {
		ran := 0
		for _, sta := range upstreams {
			_, num := sta.total("", out.id)
			ran += num
		}
		switch {
		case out.err == nil && (out.value != "re:"+cal.key || total != 1):
			t.Fatalf("the answer %q came after %d runs", out.value, total)
		case out.err != nil && out.outcome == "":
			t.Fatalf("the error %v has no outcome", out.err)
		case out.outcome == "notRun" && ran != 0:
			t.Fatalf("the call ran, but its answer is %v", out.err)
		case out.outcome == "ran" && total != 1:
			t.Fatalf("the answer says ran after %d runs", total)
		}
	}
}

// TestLostThenRefused guards against notRun as the answer to a call whose first attempt may have run and whose second was
// refused.
func TestLostThenRefused(t *testing.T) {
	sta := newStandin(t, "one")
	scr := &script{faults: []int{int(runCut), int(shed), int(shed), int(shed)}}
	sta.setFault(scr.next)
	rou := newRouter(t, nil, sta)
	_, err := call(rou, newCaller(t, true), "/demo.Test/Idem", "x", "")
	var conErr *connect.Error
	if !errors.As(err, &conErr) || conErr.Meta().Get("Foxtailpulley-Outcome") != "unknown" {
		t.Errorf("got %v with %v", err, conErr.Meta())
	}
}

// TestRecordedAnswer guards against a resend that runs again or gets another answer than the first send.
func TestRecordedAnswer(t *testing.T) {
	sta := newStandin(t, "one")
	rou := newRouter(t, nil, sta)
	for name, opts := range protocols {
		key := newKey()
		first, err := call(rou, newCaller(t, true), "/demo.Test/Once", name, key, opts...)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 { // the buffer of the first answer is used again
			_, _ = call(rou, newCaller(t, true), "/demo.Test/Idem", "other", "", opts...)
		}
		second, err := call(rou, newCaller(t, true), "/demo.Test/Once", name, key, opts...)
		if err != nil || !proto.Equal(first.Msg, second.Msg) || second.Trailer().Get("X-Trailer") != name {
			t.Errorf("%s: the resend got %v, %v", name, second, err)
		}
		if runs, _ := sta.total(key, ""); runs != 1 {
			t.Errorf("%s: %d runs", name, runs)
		}
	}
}

// TestLargeAnswer guards against a call that runs again because its answer was too large to be recorded.
func TestLargeAnswer(t *testing.T) {
	sta := newStandin(t, "one")
	rou := newRouter(t, nil, sta)
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	for size, kept := range map[int]bool{16 << 10: false, 15 << 10: true} {
		key, value := newKey(), strings.Repeat("x", size)
		if _, err := call(rou, newCaller(t, true), "/demo.Test/Once", value, key, plain); err != nil {
			t.Fatal(err)
		}
		_, err := call(rou, newCaller(t, true), "/demo.Test/Once", value, key, plain)
		var conErr *connect.Error
		if errors.As(err, &conErr) == kept || !kept && conErr.Meta().Get("Foxtailpulley-Outcome") != "ran" {
			t.Errorf("%d bytes: the resend got %v", size, err)
		}
		if runs, _ := sta.total(key, ""); runs != 1 {
			t.Errorf("%d bytes: %d runs", size, runs)
		}
	}
}

func (sta *standin) setFault(fau func(*http.Request) fault) {
	sta.mutex.Lock()
	defer sta.mutex.Unlock()
	sta.fault = fau
}

func (cla *claims) setFault(fau func() error) {
	cla.mutex.Lock()
	defer cla.mutex.Unlock()
	cla.fault = fau
}

// TestCallerLeavesBeforeForward guards against a claim that stays held though the request was never sent.
func TestCallerLeavesBeforeForward(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0") // takes connections, but never answers
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	rou := newRouter(t, nil, &standin{upstream: &fpcontract.Upstream{Name: "frozen", Address: lis.Addr().String()}})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	req := connect.NewRequest(&text{RequestId: "x"})
	req.Header().Set("Idempotency-Key", newKey())
	_, _ = connect.NewClient[text, text](newCaller(t, true), rou.URL+"/demo.Test/Once").CallUnary(ctx, req)
	for range 100 {
		rou.claims.mutex.Lock()
		held := len(rou.claims.all)
		rou.claims.mutex.Unlock()
		if rou.server.Running() == 0 && held == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the claim of a request that was never sent is still held")
}

// TestPendingHoldsNoPlace guards against a resend that occupies its upstream while it waits for the outcome of the first send.
func TestPendingHoldsNoPlace(t *testing.T) {
	sta := newStandin(t, "one")
	sta.setFault(func(*http.Request) fault { return hang })
	var places atomic.Int64
	rou := newRouter(t, func(cfg *fpserve.Config) {
		cfg.Admit = func(context.Context, *fpserve.Call, *fpserve.Target) (func(fpserve.Result), error) {
			places.Add(1)
			return func(fpserve.Result) { places.Add(-1) }, nil
		}
	}, sta)
	key := newKey()
	var gro sync.WaitGroup
	for range 5 {
		gro.Go(func() { _, _ = call(rou, newCaller(t, true), "/demo.Test/Once", "x", key) })
	}
	time.Sleep(200 * time.Millisecond)
	if num := places.Load(); num != 1 {
		t.Errorf("%d places are held", num)
	}
	close(sta.block)
	gro.Wait()
	if runs, _ := sta.total(key, ""); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

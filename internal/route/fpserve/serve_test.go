package fpserve_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpserve"
)

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// protocols are the ways in which callers call.
var protocols = map[string][]connect.ClientOption{
	"connect":      nil,
	"connect gzip": {connect.WithSendGzip()},
	"json":         {connect.WithProtoJSON()},
	"grpc":         {connect.WithGRPC()},
	"grpc gzip":    {connect.WithGRPC(), connect.WithSendGzip()},
}

func call(rou *router, cli *http.Client, path, value, key string, opts ...connect.ClientOption) (*connect.Response[text], error) {
	req := connect.NewRequest(&text{RequestId: value})
	if key != "" {
		req.Header().Set("Idempotency-Key", key)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return connect.NewClient[text, text](cli, rou.URL+path, opts...).CallUnary(ctx, req)
}

// TestProtocols guards against a body, a header, a trailer or an error that changes on its way.
func TestProtocols(t *testing.T) {
	sta := newStandin(t, "one")
	rou := newRouter(t, nil, sta)
	for name, opts := range protocols {
		t.Run(name, func(t *testing.T) {
			cli := newCaller(t, true)
			for _, path := range []string{"/demo.Test/Idem", "/demo.Test/Once", "/demo.Keyed/Get"} {
				res, err := call(rou, cli, path, name, newKey(), opts...)
				if err != nil {
					t.Fatal(err)
				}
				if res.Msg.RequestId != "re:"+name || res.Trailer().Get("X-Trailer") != name {
					t.Errorf("%s: got %v with the trailers %v", path, res.Msg, res.Trailer())
				}
			}
			_, err := call(rou, cli, "/demo.Test/Idem", "fail", "", opts...)
			var conErr *connect.Error
			if !errors.As(err, &conErr) || conErr.Code() != connect.CodeNotFound || conErr.Meta().Get("Foxtailpulley-Outcome") != "ran" {
				t.Errorf("an error of the upstream arrived as %v with %v", err, conErr.Meta())
			}
			_, err = call(rou, cli, "/demo.Test/Nothing", "", "", opts...)
			if !errors.As(err, &conErr) || conErr.Code() != connect.CodeUnimplemented || conErr.Meta().Get("Foxtailpulley-Outcome") != "notRun" ||
				conErr.Meta().Get("Foxtailpulley-Error") != "unknownMethod" {
				t.Errorf("an unknown method was answered with %v", err)
			}
		})
	}
}

// TestStream guards against a stream that loses messages or its end.
func TestStream(t *testing.T) {
	sta := newStandin(t, "one")
	rou := newRouter(t, nil, sta)
	for _, opts := range [][]connect.ClientOption{nil, {connect.WithGRPC()}} {
		cli := connect.NewClient[text, text](newCaller(t, true), rou.URL+"/demo.Test/Stream", opts...)
		str, err := cli.CallServerStream(t.Context(), connect.NewRequest(&text{RequestId: "x"}))
		if err != nil {
			t.Fatal(err)
		}
		num := 0
		for str.Receive() {
			num++
		}
		if num != 3 || str.Err() != nil {
			t.Errorf("got %d messages, %v", num, str.Err())
		}
	}
}

// TestHeaders guards against a fence or request id that a caller sets, and a deadline that is not passed on.
func TestHeaders(t *testing.T) {
	sta := newStandin(t, "one")
	rou := newRouter(t, func(cfg *fpserve.Config) {
		cfg.Route = func(context.Context, *fpserve.Call) (*fpserve.Target, error) {
			return &fpserve.Target{Upstream: sta.upstream, Group: "oslo", Slot: 7, Epoch: 9}, nil
		}
	}, sta)
	req := connect.NewRequest(&text{RequestId: "k"})
	for _, name := range []string{"Slot", "Epoch", "Group", "Request", "Refused"} {
		req.Header().Set("Foxtailpulley-"+name, "forged")
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := connect.NewClient[text, text](newCaller(t, true), rou.URL+"/demo.Keyed/Get", connect.WithGRPC()).CallUnary(ctx, req); err != nil {
		t.Fatal(err)
	}
	got := sta.header
	if got.Get("Foxtailpulley-Slot") != "7" || got.Get("Foxtailpulley-Epoch") != "9" || got.Get("Foxtailpulley-Group") != "oslo" ||
		got.Get("Foxtailpulley-Request") == "forged" || got.Get("Foxtailpulley-Refused") != "" {
		t.Errorf("the upstream got %v", got)
	}
	if val := got.Get("Grpc-Timeout"); val < "29000m" || val > "30000m" {
		t.Errorf("the upstream got the timeout %q, not the service's largest", val)
	}
}

// TestRefusalsBeforeForward guards against a non-idempotent call without a valid key or a body that is too large reaching
// an upstream.
func TestRefusalsBeforeForward(t *testing.T) {
	sta := newStandin(t, "one")
	rou := newRouter(t, nil, sta)
	cli := newCaller(t, true)
	large := strings.Repeat("x", 1<<20)
	for want, send := range map[string]func() error{
		"missingIdempotencyKey": func() error { _, err := call(rou, cli, "/demo.Test/Once", "", ""); return err },
		"invalidIdempotencyKey": func() error { _, err := call(rou, cli, "/demo.Test/Once", "", uuid.NewString()); return err },
		"tooLarge":              func() error { _, err := call(rou, cli, "/demo.Test/Idem", large, ""); return err },
		"invalidRequest":        func() error { _, err := call(rou, cli, "/demo.Keyed/Get", "", ""); return err },
	} {
		var err *connect.Error
		if !errors.As(send(), &err) || err.Meta().Get("Foxtailpulley-Error") != want || err.Meta().Get("Foxtailpulley-Outcome") != "notRun" {
			t.Errorf("want %s, got %v", want, err)
		}
	}
	if runs, sends := sta.total("", ""); runs+sends != 0 {
		t.Errorf("%d refused requests ran", runs)
	}
}

// TestConcurrentCallers guards against an answer that goes to another caller.
func TestConcurrentCallers(t *testing.T) {
	one, two := newStandin(t, "one"), newStandin(t, "two")
	rou := newRouter(t, nil, one, two)
	var gro sync.WaitGroup
	for num := range 400 {
		gro.Go(func() {
			cli := newCaller(t, num%2 == 0)
			opts := protocols["connect"]
			if num%4 == 0 {
				opts = protocols["grpc"]
			}
			for round := range 5 {
				value := fmt.Sprintf("%d-%d-%s", num, round, strings.Repeat("y", num*20))
				res, err := call(rou, cli, "/demo.Test/Idem", value, "", opts...)
				if err != nil || res.Msg.RequestId != "re:"+value {
					t.Errorf("call %d got another answer, %v", num, err)
					return
				}
			}
		})
	}
	gro.Wait()
}

// TestCancel guards against a request that goes on running after its caller left, and a slot that counts as free of it
// before the upstream has confirmed the cancellation.
func TestCancel(t *testing.T) {
	sta := newStandin(t, "one")
	sta.fault = func(*http.Request) fault { return hang }
	done := make(chan int64, 1)
	rou := newRouter(t, func(cfg *fpserve.Config) {
		cfg.Route = func(context.Context, *fpserve.Call) (*fpserve.Target, error) {
			return &fpserve.Target{
				Upstream: sta.upstream,
				Done:     func(time.Duration, error) { done <- sta.canceled.Load() },
			}, nil
		}
	}, sta)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := connect.NewClient[text, text](newCaller(t, true), rou.URL+"/demo.Keyed/Get").CallUnary(ctx, connect.NewRequest(&text{RequestId: "k"}))
	if connect.CodeOf(err) != connect.CodeDeadlineExceeded {
		t.Errorf("got %v", err)
	}
	select {
	case canceled := <-done:
		if canceled != 1 {
			t.Error("the slot was free before the cancellation was confirmed")
		}
	case <-time.After(5 * time.Second):
		t.Error("the slot never became free")
	}
}

// TestShutdown guards against a planned stop that cuts off calls in flight, or does not end.
func TestShutdown(t *testing.T) {
	for _, http2 := range []bool{true, false} {
		sta := newStandin(t, "one")
		sta.setFault(func(*http.Request) fault { return late })
		rou := newRouter(t, nil, sta)
		ended := make(chan error, 1)
		go func() {
			_, err := call(rou, newCaller(t, http2), "/demo.Test/Idem", "x", "")
			ended <- err
		}()
		for rou.server.Running() == 0 {
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		err := rou.Config.Shutdown(ctx)
		if running := rou.server.Running(); err != nil || running != 0 {
			t.Errorf("http2 %v: Shutdown returned %v with %d calls in flight", http2, err, running)
		}
		if err := <-ended; err != nil {
			t.Errorf("http2 %v: the call was cut off: %v", http2, err)
		}
		cancel()
	}
}

// TestUnconfirmedCancel guards against a slot that counts as free of a request that may still run, and against the loss of
// an upstream that checks fences holding up the move of its slots.
func TestUnconfirmedCancel(t *testing.T) {
	const rest = 600 * time.Millisecond
	for name, fenced := range map[string]bool{"checks fences": true, "does not": false} {
		sta := newStandin(t, "one")
		sta.setFault(func(*http.Request) fault { return runCut })
		sta.forgets.Store(true)
		sta.upstream.ChecksFence = fenced
		done := make(chan time.Time, 1)
		rou := newRouter(t, func(cfg *fpserve.Config) {
			cfg.Route = func(context.Context, *fpserve.Call) (*fpserve.Target, error) {
				return &fpserve.Target{
					Upstream: sta.upstream,
					Done:     func(time.Duration, error) { done <- time.Now() },
				}, nil
			}
			cfg.Retry = nil
		}, sta)
		ctx, cancel := context.WithTimeout(t.Context(), rest)
		start := time.Now()
		_, _ = connect.NewClient[text, text](newCaller(t, true), rou.URL+"/demo.Keyed/Get").CallUnary(ctx, connect.NewRequest(&text{RequestId: "k"}))
		cancel()
		took := (<-done).Sub(start)
		if early := took < rest-100*time.Millisecond; early != fenced {
			t.Errorf("%s: the slot was free after %v", name, took)
		}
	}
}

// TestCheckBeforeForward guards against a request that is forwarded though its table expired after the lookup.
func TestCheckBeforeForward(t *testing.T) {
	sta := newStandin(t, "one")
	checks := 0
	rou := newRouter(t, func(cfg *fpserve.Config) {
		cfg.Route = func(context.Context, *fpserve.Call) (*fpserve.Target, error) {
			return &fpserve.Target{
				Upstream: sta.upstream,
				Check: func() error {
					checks++
					return fperror.New(fperror.TableExpired, "expired")
				},
			}, nil
		}
		cfg.Retry = func(*fpserve.Call, error, time.Duration) (time.Duration, bool) { return 0, false }
	}, sta)
	_, err := call(rou, newCaller(t, true), "/demo.Keyed/Get", "k", "")
	if connect.CodeOf(err) != connect.CodeUnavailable || checks != 1 {
		t.Errorf("got %v after %d checks", err, checks)
	}
	if runs, _ := sta.total("", ""); runs != 0 {
		t.Error("the request ran")
	}
}

// TestCrashIsReportedFirst guards against a caller that sends a crashing request again before the crash is known.
func TestCrashIsReportedFirst(t *testing.T) {
	sta := newStandin(t, "one")
	sta.fault = func(*http.Request) fault { return cut }
	reported := false
	rou := newRouter(t, func(cfg *fpserve.Config) {
		cfg.ReportCrash = func(context.Context, *fpserve.Call, *fpserve.Target) (bool, error) {
			time.Sleep(50 * time.Millisecond)
			reported = true
			return true, nil
		}
	}, sta)
	_, err := call(rou, newCaller(t, true), "/demo.Test/Idem", "k", "")
	if connect.CodeOf(err) != connect.CodeUnavailable || !reported {
		t.Errorf("got %v, reported %v", err, reported)
	}
}

package fpserve_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract/fpcontractconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpserve"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

const schemaText = `syntax = "proto3";
package demo;
import "foxtailpulley/schema/v1/options.proto";
message Text { string request_id = 1; }
service Test {
  rpc Idem(Text) returns (Text) {
    option (foxtailpulley.schema.v1.method_rule) = {execution: EXECUTION_IDEMPOTENT};
  }
  rpc Once(Text) returns (Text) {
    option (foxtailpulley.schema.v1.method_rule) = {execution: EXECUTION_NON_IDEMPOTENT};
  }
  rpc Bundle(Text) returns (Text) {
    option (foxtailpulley.schema.v1.method_rule) = {
      execution: EXECUTION_IDEMPOTENT size_class: SIZE_CLASS_BUNDLE default_deadline: {seconds: 30}
    };
  }
  rpc Stream(Text) returns (stream Text) {
    option (foxtailpulley.schema.v1.method_rule) = {execution: EXECUTION_IDEMPOTENT};
  }
}
service Keyed {
  option (foxtailpulley.schema.v1.service_rule) = {keyed: true};
  rpc Get(Text) returns (Text) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "request_id" execution: EXECUTION_IDEMPOTENT};
  }
  rpc Put(Text) returns (Text) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "request_id" execution: EXECUTION_NON_IDEMPOTENT};
  }
}
`

// text is used in place of demo.Text, which has the same fields.
type text = fpcontract.CancelRequest

// fakeUpstream is an upstream that counts runs and injects faults.
type fakeUpstream struct {
	*httptest.Server
	upstream      *fpcontract.Upstream
	faultFor      func(req *http.Request) fault
	mutex         sync.Mutex
	runs          map[string]int // by Idempotency-Key
	sends         map[string]int // by X-Send, which differs between the sends of one request
	lastHeader    http.Header    // of the latest request that ran
	cancels       atomic.Int64
	cancelUnknown atomic.Bool // Cancel answers that it does not know the request
	conns         sync.Map
	unblock       chan struct{} // closed to end requests with hangUntilCanceled
}

// fault is a fault that is injected into the handling of one request.
type fault int

const (
	noFault           fault = iota
	shedRequest             // refused, does not run
	resetStream             // the stream is reset without an answer, does not run
	closeBeforeRun          // the connection is closed without a run
	closeAfterRun           // runs, and the connection is closed without an answer
	truncateAnswer          // runs, and the stream is reset after half of the answer
	answerLate              // runs, and answers after 80 ms
	hangUntilCanceled       // runs until it is canceled
	faultCount
)

type connKey struct{}

func newFakeUpstream(t testing.TB, name string) *fakeUpstream {
	fak := &fakeUpstream{
		faultFor: func(*http.Request) fault { return noFault },
		runs:     map[string]int{},
		sends:    map[string]int{},
		unblock:  make(chan struct{}),
	}
	fak.Server = httptest.NewUnstartedServer(fak.handler())
	fak.Config.ConnContext = func(ctx context.Context, con net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, con)
	}
	fak.Config.Protocols = httpProtocols()
	fak.Start()
	t.Cleanup(fak.Close)
	fak.upstream = &fpcontract.Upstream{
		Name:        name,
		Incarnation: 1,
		Service:     "demo.Test",
		Address:     fak.Listener.Addr().String(),
	}
	return fak
}

func httpProtocols() *http.Protocols {
	var pro http.Protocols
	pro.SetHTTP1(true)
	pro.SetUnencryptedHTTP2(true)
	return &pro
}

func (fak *fakeUpstream) handler() http.Handler {
	mux := http.NewServeMux()
	echo := func(_ context.Context, req *connect.Request[text]) (*connect.Response[text], error) {
		if req.Msg.RequestId == "fail" {
			return nil, connect.NewError(connect.CodeNotFound, context.Canceled)
		}
		res := connect.NewResponse(&text{RequestId: "re:" + req.Msg.RequestId})
		res.Trailer().Set("X-Trailer", req.Msg.RequestId)
		return res, nil
	}
	for _, path := range []string{"/demo.Test/Idem", "/demo.Test/Once", "/demo.Keyed/Get", "/demo.Keyed/Put"} {
		mux.Handle(path, connect.NewUnaryHandler(path, echo))
	}
	mux.Handle("/demo.Test/Bundle", http.HandlerFunc(serveBundle))
	mux.Handle("/demo.Test/Stream", connect.NewServerStreamHandler("/demo.Test/Stream",
		func(_ context.Context, req *connect.Request[text], out *connect.ServerStream[text]) error {
			for range 3 {
				_ = out.Send(&text{RequestId: req.Msg.RequestId})
			}
			return nil
		}))
	path, handler := fpcontractconnect.NewUpstreamServiceHandler(fak)
	mux.Handle(path, handler)
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) { fak.serve(mux, wri, req) })
}

func (fak *fakeUpstream) serve(mux http.Handler, wri http.ResponseWriter, req *http.Request) {
	if len(req.URL.Path) < 5 || req.URL.Path[:5] != "/demo" {
		mux.ServeHTTP(wri, req)
		return
	}
	fak.mutex.Lock()
	choose := fak.faultFor
	fak.mutex.Unlock()
	fau := choose(req)
	switch fau {
	case shedRequest:
		wri.Header().Set("Foxtailpulley-Refused", "shed")
		wri.Header().Set("Retry-After", "0")
		_ = connect.NewErrorWriter().Write(wri, req, connect.NewError(connect.CodeResourceExhausted, nil))
		return
	case resetStream:
		panic(http.ErrAbortHandler)
	case closeBeforeRun:
		_ = req.Context().Value(connKey{}).(net.Conn).Close()
		return
	}
	fak.recordRun(req)
	switch fau {
	case closeAfterRun:
		_ = req.Context().Value(connKey{}).(net.Conn).Close()
	case answerLate:
		time.Sleep(80 * time.Millisecond)
		mux.ServeHTTP(wri, req)
	case hangUntilCanceled:
		select {
		case <-req.Context().Done():
		case <-fak.unblock:
		}
	case truncateAnswer:
		rec := httptest.NewRecorder()
		mux.ServeHTTP(rec, req)
		for name, values := range rec.Header() {
			wri.Header()[name] = values
		}
		_, _ = wri.Write(rec.Body.Bytes()[:rec.Body.Len()/2])
		_ = http.NewResponseController(wri).Flush()
		panic(http.ErrAbortHandler)
	default:
		mux.ServeHTTP(wri, req)
	}
}

func (fak *fakeUpstream) recordRun(req *http.Request) {
	fak.mutex.Lock()
	defer fak.mutex.Unlock()
	fak.runs[req.Header.Get("Idempotency-Key")]++
	fak.sends[req.Header.Get("X-Send")]++
	fak.lastHeader = req.Header.Clone()
}

// runCounts returns the number of runs with an idempotency key and the number of runs with an X-Send id.
func (fak *fakeUpstream) runCounts(key, send string) (runs, sends int) {
	fak.mutex.Lock()
	defer fak.mutex.Unlock()
	return fak.runs[key], fak.sends[send]
}

func (fak *fakeUpstream) Grant(context.Context, *connect.Request[fpcontract.GrantRequest]) (*connect.Response[fpcontract.GrantResponse], error) {
	return connect.NewResponse(&fpcontract.GrantResponse{}), nil
}

func (fak *fakeUpstream) Drain(context.Context, *connect.Request[fpcontract.DrainRequest]) (*connect.Response[fpcontract.DrainResponse], error) {
	return connect.NewResponse(&fpcontract.DrainResponse{}), nil
}

func (fak *fakeUpstream) Cancel(context.Context, *connect.Request[fpcontract.CancelRequest]) (*connect.Response[fpcontract.CancelResponse], error) {
	fak.cancels.Add(1)
	return connect.NewResponse(&fpcontract.CancelResponse{Known: !fak.cancelUnknown.Load()}), nil
}

// router is the forwarding path of an entry VM in front of a set of upstreams.
type router struct {
	*httptest.Server
	cfg     fpserve.Config
	server  *fpserve.Server
	callers *fpserve.CallerServer
	pools   *fpconn.Pools
	claims  *fakeClaims
	counts  sync.Map
}

func newRouter(t testing.TB, change func(cfg *fpserve.Config), upstreams ...*fakeUpstream) *router {
	sch, err := fpschema.Compile(schemaText)
	if err != nil {
		t.Fatal(err)
	}
	rou := &router{
		pools: fpconn.New(fpconn.Config{}),
		claims: &fakeClaims{
			byKey: map[string]*fakeClaim{},
		},
	}
	var next atomic.Int64
	pick := func(_ context.Context, _ *fpserve.Call) (*fpserve.Target, error) {
		fak := upstreams[int(next.Add(1))%len(upstreams)]
		return &fpserve.Target{Upstream: fak.upstream}, nil
	}
	cfg := fpserve.Config{
		Pools:  rou.pools,
		Schema: func() *fpschema.Schema { return sch },
		Choose: pick,
		Route:  pick,
		Retry: func(cal *fpserve.Call, _ error, _ time.Duration) (time.Duration, bool) {
			return 0, len(cal.TriedUpstreams()) < 4
		},
		Claim:  rou.claims.claim,
		Settle: rou.claims.settle,
		Count: func(name string) {
			num, _ := rou.counts.LoadOrStore(name, new(atomic.Int64))
			num.(*atomic.Int64).Add(1)
		},
	}
	if change != nil {
		change(&cfg)
	}
	rou.cfg = cfg
	rou.server = fpserve.New(cfg)
	rou.Server = httptest.NewUnstartedServer(nil)
	rou.callers = fpserve.NewCallerServer(rou.server, fpserve.Limits{
		MaxConnections: 1000,
	})
	rou.Config = rou.callers.Server
	rou.Listener = rou.callers.Listener(rou.Listener.(*net.TCPListener))
	rou.Start()
	t.Cleanup(func() {
		rou.Close()
		rou.server.Close()
		rou.pools.Close()
	})
	return rou
}

// fakeClaims replaces the claims of a group.
type fakeClaims struct {
	mutex     sync.Mutex
	byKey     map[string]*fakeClaim
	nextFault func() error // returns the error of the next claim; after CommitUnknown the claim is held nevertheless
}

type fakeClaim struct {
	attempt uint64
	outcome fpwire.Outcome
	answer  *fpwire.Answer
}

func (cla *fakeClaims) claim(_ context.Context, _ *fpserve.Call, msg *fpwire.Claim) (*fpwire.ClaimResult, error) {
	cla.mutex.Lock()
	defer cla.mutex.Unlock()
	var err error
	if cla.nextFault != nil {
		err = cla.nextFault()
	}
	if err != nil && !fperror.Is(err, fperror.CommitUnknown) {
		return nil, err
	}
	fak := cla.byKey[msg.IdempotencyKey]
	if fak == nil {
		fak = &fakeClaim{
			attempt: msg.Attempt,
		}
		cla.byKey[msg.IdempotencyKey] = fak
	}
	if err != nil {
		return nil, err
	}
	return &fpwire.ClaimResult{
		State:  fak.state(msg.Attempt),
		Answer: fak.answer,
	}, nil
}

func (fak *fakeClaim) state(attempt uint64) fpwire.ClaimState {
	switch {
	case fak.outcome == fpwire.Outcome_OUTCOME_RAN:
		return fpwire.ClaimState_CLAIM_STATE_SETTLED
	case fak.outcome == fpwire.Outcome_OUTCOME_UNKNOWN:
		return fpwire.ClaimState_CLAIM_STATE_UNKNOWN
	case fak.attempt == attempt:
		return fpwire.ClaimState_CLAIM_STATE_GRANTED
	default:
		return fpwire.ClaimState_CLAIM_STATE_PENDING
	}
}

func (cla *fakeClaims) settle(_ context.Context, _ *fpserve.Call, msg *fpwire.Settle) error {
	cla.mutex.Lock()
	defer cla.mutex.Unlock()
	fak := cla.byKey[msg.IdempotencyKey]
	if fak == nil || fak.attempt != msg.Attempt {
		return nil
	}
	if msg.Outcome == fpwire.Outcome_OUTCOME_NOT_RUN {
		delete(cla.byKey, msg.IdempotencyKey)
		return nil
	}
	fak.outcome, fak.answer = msg.Outcome, msg.Answer
	return nil
}

// newClient returns an HTTP client with its own connections. It speaks HTTP/2 without TLS, or else HTTP/1.1.
func newClient(t testing.TB, http2 bool) *http.Client {
	var pro http.Protocols
	pro.SetHTTP1(!http2)
	pro.SetUnencryptedHTTP2(http2)
	tra := &http.Transport{
		Protocols:           &pro,
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
	}
	t.Cleanup(tra.CloseIdleConnections)
	return &http.Client{
		Transport: tra,
	}
}

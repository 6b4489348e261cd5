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
}
`

// text stands for demo.Text, which has the same fields.
type text = fpcontract.CancelRequest

// standin is an upstream that counts runs and can be told to fail.
type standin struct {
	*httptest.Server
	upstream *fpcontract.Upstream
	fault    func(req *http.Request) fault
	mutex    sync.Mutex
	runs     map[string]int // by Idempotency-Key
	sends    map[string]int // by X-Send, which tells the sends of one request apart
	header   http.Header    // of the latest request
	canceled atomic.Int64
	forgets  atomic.Bool // Cancel does not know the request
	conns    sync.Map
	block    chan struct{} // closed to let fault hang end
}

// fault is what goes wrong with one request on an upstream.
type fault int

const (
	none     fault = iota
	shed           // refused, did not run
	reset          // the stream ends without an answer, did not run
	cut            // the connection ends before the run
	runCut         // the connection ends after the run
	truncate       // runs, and half of the answer is sent
	late           // runs, and answers after the deadline
	hang           // runs until it is cancelled
	faultCount
)

type connKey struct{}

func newStandin(t testing.TB, name string) *standin {
	sta := &standin{
		fault: func(*http.Request) fault { return none },
		runs:  map[string]int{},
		sends: map[string]int{},
		block: make(chan struct{}),
	}
	sta.Server = httptest.NewUnstartedServer(sta.handler())
	sta.Config.ConnContext = func(ctx context.Context, con net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, con)
	}
	sta.Config.Protocols = bothProtocols()
	sta.Start()
	t.Cleanup(sta.Close)
	sta.upstream = &fpcontract.Upstream{
		Name:        name,
		Incarnation: 1,
		Service:     "demo.Test",
		Address:     sta.Listener.Addr().String(),
	}
	return sta
}

func bothProtocols() *http.Protocols {
	var pro http.Protocols
	pro.SetHTTP1(true)
	pro.SetUnencryptedHTTP2(true)
	return &pro
}

func (sta *standin) handler() http.Handler {
	mux := http.NewServeMux()
	echo := func(_ context.Context, req *connect.Request[text]) (*connect.Response[text], error) {
		if req.Msg.RequestId == "fail" {
			return nil, connect.NewError(connect.CodeNotFound, context.Canceled)
		}
		res := connect.NewResponse(&text{RequestId: "re:" + req.Msg.RequestId})
		res.Trailer().Set("X-Trailer", req.Msg.RequestId)
		return res, nil
	}
	for _, path := range []string{"/demo.Test/Idem", "/demo.Test/Once", "/demo.Keyed/Get"} {
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
	path, handler := fpcontractconnect.NewUpstreamServiceHandler(sta)
	mux.Handle(path, handler)
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) { sta.serve(mux, wri, req) })
}

func (sta *standin) serve(mux http.Handler, wri http.ResponseWriter, req *http.Request) {
	if len(req.URL.Path) < 5 || req.URL.Path[:5] != "/demo" {
		mux.ServeHTTP(wri, req)
		return
	}
	sta.mutex.Lock()
	choose := sta.fault
	sta.mutex.Unlock()
	fau := choose(req)
	switch fau {
	case shed:
		wri.Header().Set("Foxtailpulley-Refused", "shed")
		wri.Header().Set("Retry-After", "0")
		_ = connect.NewErrorWriter().Write(wri, req, connect.NewError(connect.CodeResourceExhausted, nil))
		return
	case reset:
		panic(http.ErrAbortHandler)
	case cut:
		_ = req.Context().Value(connKey{}).(net.Conn).Close()
		return
	}
	sta.count(req)
	switch fau {
	case runCut:
		_ = req.Context().Value(connKey{}).(net.Conn).Close()
	case late:
		time.Sleep(80 * time.Millisecond)
		mux.ServeHTTP(wri, req)
	case hang:
		select {
		case <-req.Context().Done():
		case <-sta.block:
		}
	case truncate:
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

func (sta *standin) count(req *http.Request) {
	sta.mutex.Lock()
	defer sta.mutex.Unlock()
	sta.runs[req.Header.Get("Idempotency-Key")]++
	sta.sends[req.Header.Get("X-Send")]++
	sta.header = req.Header.Clone()
}

// total returns the number of runs with an idempotency key and with a send id.
func (sta *standin) total(key, send string) (runs, sends int) {
	sta.mutex.Lock()
	defer sta.mutex.Unlock()
	return sta.runs[key], sta.sends[send]
}

func (sta *standin) Grant(context.Context, *connect.Request[fpcontract.GrantRequest]) (*connect.Response[fpcontract.GrantResponse], error) {
	return connect.NewResponse(&fpcontract.GrantResponse{}), nil
}

func (sta *standin) Drain(context.Context, *connect.Request[fpcontract.DrainRequest]) (*connect.Response[fpcontract.DrainResponse], error) {
	return connect.NewResponse(&fpcontract.DrainResponse{}), nil
}

func (sta *standin) Cancel(context.Context, *connect.Request[fpcontract.CancelRequest]) (*connect.Response[fpcontract.CancelResponse], error) {
	sta.canceled.Add(1)
	return connect.NewResponse(&fpcontract.CancelResponse{Known: !sta.forgets.Load()}), nil
}

// router is an entry VM's forwarding path before a set of upstreams.
type router struct {
	*httptest.Server
	cfg    fpserve.Config
	server *fpserve.Server
	pools  *fpconn.Pools
	claims *claims
	counts sync.Map
}

func newRouter(t testing.TB, change func(cfg *fpserve.Config), upstreams ...*standin) *router {
	sch, err := fpschema.Compile(schemaText)
	if err != nil {
		t.Fatal(err)
	}
	rou := &router{
		pools: fpconn.New(fpconn.Config{}),
		claims: &claims{
			all: map[string]*claimed{},
		},
	}
	var next atomic.Int64
	pick := func(_ context.Context, _ *fpserve.Call) (*fpserve.Target, error) {
		sta := upstreams[int(next.Add(1))%len(upstreams)]
		return &fpserve.Target{Upstream: sta.upstream}, nil
	}
	cfg := fpserve.Config{
		Pools:  rou.pools,
		Schema: func() *fpschema.Schema { return sch },
		Choose: pick,
		Route:  pick,
		Retry: func(cal *fpserve.Call, _ error, _ time.Duration) (time.Duration, bool) {
			return 0, len(cal.Tried()) < 4
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
	rou.Config = fpserve.NewHTTPServer(rou.server, fpserve.Limits{})
	rou.Start()
	t.Cleanup(func() {
		rou.Close()
		rou.server.Close()
		rou.pools.Close()
	})
	return rou
}

// claims stands in for the claims of a group.
type claims struct {
	mutex sync.Mutex
	all   map[string]*claimed
	fault func() error // error of a claim; of the kind CommitUnknown it is committed nevertheless
}

type claimed struct {
	attempt uint64
	outcome fpwire.Outcome
	answer  *fpwire.Answer
}

func (cla *claims) claim(_ context.Context, _ *fpserve.Call, msg *fpwire.Claim) (*fpwire.ClaimResult, error) {
	cla.mutex.Lock()
	defer cla.mutex.Unlock()
	var fault error
	if cla.fault != nil {
		fault = cla.fault()
	}
	if fault != nil && !fperror.Is(fault, fperror.CommitUnknown) {
		return nil, fault
	}
	one := cla.all[msg.IdempotencyKey]
	if one == nil {
		one = &claimed{
			attempt: msg.Attempt,
		}
		cla.all[msg.IdempotencyKey] = one
	}
	if fault != nil {
		return nil, fault
	}
	return &fpwire.ClaimResult{
		State:  one.state(msg.Attempt),
		Answer: one.answer,
	}, nil
}

func (one *claimed) state(attempt uint64) fpwire.ClaimState {
	switch {
	case one.outcome == fpwire.Outcome_OUTCOME_RAN:
		return fpwire.ClaimState_CLAIM_STATE_SETTLED
	case one.outcome == fpwire.Outcome_OUTCOME_UNKNOWN:
		return fpwire.ClaimState_CLAIM_STATE_UNKNOWN
	case one.attempt == attempt:
		return fpwire.ClaimState_CLAIM_STATE_GRANTED
	default:
		return fpwire.ClaimState_CLAIM_STATE_PENDING
	}
}

func (cla *claims) settle(_ context.Context, _ *fpserve.Call, msg *fpwire.Settle) error {
	cla.mutex.Lock()
	defer cla.mutex.Unlock()
	one := cla.all[msg.IdempotencyKey]
	if one == nil || one.attempt != msg.Attempt {
		return nil
	}
	if msg.Outcome == fpwire.Outcome_OUTCOME_NOT_RUN {
		delete(cla.all, msg.IdempotencyKey)
		return nil
	}
	one.outcome, one.answer = msg.Outcome, msg.Answer
	return nil
}

// newCaller returns an HTTP client with its own connections.
func newCaller(t testing.TB, http2 bool) *http.Client {
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

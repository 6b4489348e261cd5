package fppeer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract/fpcontractconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fptls"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire/fpwireconnect"
)

// meter counts the bytes on the connections that a listener accepts.
type meter struct {
	net.Listener
	received, sent atomic.Int64
}

func (met *meter) Accept() (net.Conn, error) {
	con, err := met.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{
		Conn:  con,
		meter: met,
	}, nil
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (con *meteredConn) Read(data []byte) (int, error) {
	num, err := con.Conn.Read(data)
	con.meter.received.Add(int64(num))
	return num, err
}

func (con *meteredConn) Write(data []byte) (int, error) {
	num, err := con.Conn.Write(data)
	con.meter.sent.Add(int64(num))
	return num, err
}

// echo answers the calls that are measured with the messages of a quiet deployment.
type echo struct {
	fpwireconnect.UnimplementedPeerServiceHandler
	answer *fpwire.PollResponse
}

func (ech *echo) Poll(context.Context, *connect.Request[fpwire.PollRequest]) (*connect.Response[fpwire.PollResponse], error) {
	return connect.NewResponse(ech.answer), nil
}

func (ech *echo) Relay(context.Context, *connect.Request[fpwire.RelayRequest]) (*connect.Response[fpwire.RelayResponse], error) {
	return connect.NewResponse(&fpwire.RelayResponse{}), nil
}

func (ech *echo) Step(context.Context, *connect.Request[fpwire.StepRequest]) (*connect.Response[fpwire.StepResponse], error) {
	return connect.NewResponse(&fpwire.StepResponse{}), nil
}

func (ech *echo) Submit(_ context.Context, req *connect.Request[fpwire.SubmitRequest]) (*connect.Response[fpwire.SubmitResponse], error) {
	res := &fpwire.SubmitResponse{}
	for range req.Msg.GetCommands() {
		res.Results = append(res.Results, &fpwire.CommandResult{
			Claim: &fpwire.ClaimResult{
				State: fpwire.ClaimState_CLAIM_STATE_GRANTED,
			},
		})
	}
	return connect.NewResponse(res), nil
}

type upstreamEcho struct {
	fpcontractconnect.UnimplementedUpstreamServiceHandler
}

func (upstreamEcho) Grant(_ context.Context, req *connect.Request[fpcontract.GrantRequest]) (*connect.Response[fpcontract.GrantResponse], error) {
	return connect.NewResponse(&fpcontract.GrantResponse{
		Accepted:    true,
		Token:       req.Msg.GetEcho() + 1,
		Version:     req.Msg.GetVersion(),
		Term:        req.Msg.GetTerm(),
		Incarnation: req.Msg.GetIncarnation(),
	}), nil
}

type routerEcho struct {
	fpcontractconnect.UnimplementedRouterServiceHandler
}

func (routerEcho) Announce(context.Context, *connect.Request[fpcontract.AnnounceRequest]) (*connect.Response[fpcontract.AnnounceResponse], error) {
	return connect.NewResponse(&fpcontract.AnnounceResponse{
		RetryAfter: durationpb.New(time.Second),
	}), nil
}

func benchVersion() *fpoperator.Version {
	return &fpoperator.Version{
		Term:  12,
		Index: 3_000_000,
	}
}

func benchAnnouncement() *fpcontract.AnnounceRequest {
	return &fpcontract.AnnounceRequest{
		Upstream: &fpcontract.Upstream{
			Name:           "timeplan-0123",
			Incarnation:    1_790_000_000_000_000_000,
			Service:        "timeplan.v1.Timeplan",
			DataCentre:     "bergen-a",
			Address:        "10.11.12.13:8080",
			ChecksFence:    true,
			Concurrency:    3,
			MaxConnections: 110,
		},
		Token: 1_790_000_000_000_000_000,
	}
}

func benchPoll(loads int) *fpwire.PollRequest {
	req := &fpwire.PollRequest{
		Vm:            "bergen-a-entry-012",
		Incarnation:   1_790_000_000_000_000_000,
		DataCentre:    "bergen-a",
		Group:         "bergen-a",
		Table:         benchVersion(),
		Configuration: benchVersion(),
		Registry:      4000,
		RegistryTerm:  12,
		Hold:          durationpb.New(250 * time.Millisecond),
	}
	for num := range loads {
		req.Load = append(req.Load, &fpwire.SlotLoad{
			Service:  "timeplan.v1.Timeplan",
			Number:   uint32(30_000 + num),
			Busy:     durationpb.New(12_345_678 * time.Nanosecond),
			Requests: 120,
		})
	}
	return req
}

func benchAnswer(upstreams, configuration int) *fpwire.PollResponse {
	res := &fpwire.PollResponse{
		Term:                 12,
		Table:                benchVersion(),
		Validity:             durationpb.New(time.Second),
		Registry:             4000,
		ConfigurationVersion: benchVersion(),
		Voters:               []string{"bergen-a-control-1", "bergen-a-control-2", "bergen-b-control-1"},
		UpstreamsChanged:     upstreams > 0,
	}
	for num := range upstreams {
		ups := benchAnnouncement().GetUpstream()
		ups.Name = fmt.Sprintf("timeplan-%04d", num)
		ups.Incarnation += uint64(num) * 1_234_567_891
		ups.Address = fmt.Sprintf("10.11.%d.%d:8080", num/250, num%250)
		res.Upstreams = append(res.Upstreams, ups)
	}
	if configuration > 0 {
		var schema strings.Builder
		for num := 0; schema.Len() < configuration; num++ {
			fmt.Fprintf(&schema, "  // %08x\n  string field_%d = %d;\n", num*2654435761, num, num)
		}
		res.Configuration = &fpoperator.Configuration{
			Schema: schema.String(),
		}
	}
	return res
}

// benchMoved returns the answer that begins to move slots of one data centre's upstreams.
func benchMoved(slots int) *fpwire.PollResponse {
	res := benchAnswer(0, 0)
	for num := range slots {
		res.Entries = append(res.Entries, &fpwire.SlotEntry{
			Service: "timeplan.v1.Timeplan",
			Number:  uint32(num * 8),
			Owner:   fmt.Sprintf("timeplan-%04d", num*97%450),
			Epoch:   uint64(1 + num*31%7),
			State:   fpwire.SlotState_SLOT_STATE_RELEASING,
		})
	}
	return res
}

func benchClaims(count int) *fpwire.SubmitRequest {
	req := &fpwire.SubmitRequest{
		Group: "bergen-a",
	}
	for num := range count {
		req.Commands = append(req.Commands, &fpwire.Command{
			Kind: &fpwire.Command_Claim{
				Claim: &fpwire.Claim{
					IdempotencyKey:    fmt.Sprintf("0198c0de-0000-7000-8000-%012d", num),
					Service:           "timeplan.v1.Timeplan",
					Method:            "/timeplan.v1.Timeplan/Book",
					Slot:              30_000,
					Digest:            make([]byte, 32),
					Holder:            "bergen-a-entry-012",
					HolderIncarnation: 1_790_000_000_000_000_000,
					Attempt:           1_790_000_000_000_000_000,
					DeadlineMs:        1_790_000_000_000,
				},
			},
		})
	}
	return req
}

func benchSteps() *fpwire.StepRequest {
	return &fpwire.StepRequest{
		Messages: []*fpwire.GroupMessage{{
			Group:           "bergen-a",
			From:            "bergen-a-control-1",
			FromIncarnation: 1 << 60,
			To:              "bergen-a-control-2",
			Term:            12,
			Body: &fpwire.GroupMessage_AppendRequest{
				AppendRequest: &fpwire.AppendRequest{
					PrevTerm:  12,
					PrevIndex: 3_000_000,
					Commit:    3_000_000,
					Round:     500_000,
				},
			},
		}},
	}
}

// BenchmarkControlCall measures the bytes on a plain-text loopback connection, framing and flow control of HTTP/2 included,
// and the CPU time of client and server together, for each control message. TLS is not included.
func BenchmarkControlCall(b *testing.B) {
	ctx := context.Background()
	type call func(peer fpwireconnect.PeerServiceClient, ups fpcontractconnect.UpstreamServiceClient, rou fpcontractconnect.RouterServiceClient) error
	poll := func(req *fpwire.PollRequest) call {
		return func(peer fpwireconnect.PeerServiceClient, _ fpcontractconnect.UpstreamServiceClient, _ fpcontractconnect.RouterServiceClient) error {
			_, err := peer.Poll(ctx, connect.NewRequest(req))
			return err
		}
	}
	submit := func(count int) call {
		req := benchClaims(count)
		return func(peer fpwireconnect.PeerServiceClient, _ fpcontractconnect.UpstreamServiceClient, _ fpcontractconnect.RouterServiceClient) error {
			_, err := peer.Submit(ctx, connect.NewRequest(req))
			return err
		}
	}
	idle := benchAnswer(0, 0)
	for _, one := range []struct {
		name   string
		size   proto.Message
		answer *fpwire.PollResponse
		call   call
	}{
		{"pollIdle", benchPoll(0), idle, poll(benchPoll(0))},
		// The same poll without compression of the answer shows what compression costs.
		{"pollIdlePlain", benchPoll(0), idle, poll(benchPoll(0))},
		{"pollLoad16", benchPoll(16), idle, poll(benchPoll(16))},
		{"pollLoad128", benchPoll(128), idle, poll(benchPoll(128))},
		{"pollRegistry45", benchPoll(0), benchAnswer(45, 0), poll(benchPoll(0))},
		{"pollRegistry450", benchPoll(0), benchAnswer(450, 0), poll(benchPoll(0))},
		{"pollConfiguration4KiB", benchPoll(0), benchAnswer(0, 4<<10), poll(benchPoll(0))},
		{"pollConfiguration64KiB", benchPoll(0), benchAnswer(0, 64<<10), poll(benchPoll(0))},
		{"pollMoved18", benchPoll(0), benchMoved(18), poll(benchPoll(0))},
		{"pollMoved8192", benchPoll(0), benchMoved(8192), poll(benchPoll(0))},
		{"relay", benchAnnouncement(), idle, func(peer fpwireconnect.PeerServiceClient, _ fpcontractconnect.UpstreamServiceClient, _ fpcontractconnect.RouterServiceClient) error {
			_, err := peer.Relay(ctx, connect.NewRequest(&fpwire.RelayRequest{
				Announce: benchAnnouncement(),
				Group:    "bergen-a",
			}))
			return err
		}},
		{"announce", benchAnnouncement(), idle, func(_ fpwireconnect.PeerServiceClient, _ fpcontractconnect.UpstreamServiceClient, rou fpcontractconnect.RouterServiceClient) error {
			_, err := rou.Announce(ctx, connect.NewRequest(benchAnnouncement()))
			return err
		}},
		{"renewal", nil, idle, func(_ fpwireconnect.PeerServiceClient, ups fpcontractconnect.UpstreamServiceClient, _ fpcontractconnect.RouterServiceClient) error {
			_, err := ups.Grant(ctx, connect.NewRequest(&fpcontract.GrantRequest{
				Group:       "bergen-a",
				Term:        12,
				Incarnation: 1_790_000_000_000_000_000,
				Echo:        1_790_000_000_000_000_000,
				Lease:       durationpb.New(time.Second),
				Base:        500,
				Version:     500,
			}))
			return err
		}},
		{"heartbeat", benchSteps(), idle, func(peer fpwireconnect.PeerServiceClient, _ fpcontractconnect.UpstreamServiceClient, _ fpcontractconnect.RouterServiceClient) error {
			_, err := peer.Step(ctx, connect.NewRequest(benchSteps()))
			return err
		}},
		{"claims1", benchClaims(1), idle, submit(1)},
		{"claims32", benchClaims(32), idle, submit(32)},
	} {
		b.Run(one.name, func(b *testing.B) {
			met, client := meteredServer(b, one.answer)
			url := "http://" + met.Addr().String()
			var options []connect.ClientOption
			if one.name == "pollIdlePlain" {
				options = append(options, connect.WithAcceptCompression("gzip", nil, nil))
			}
			peer := fpwireconnect.NewPeerServiceClient(client, url, options...)
			ups := fpcontractconnect.NewUpstreamServiceClient(client, url)
			rou := fpcontractconnect.NewRouterServiceClient(client, url)
			for range 100 {
				if err := one.call(peer, ups, rou); err != nil {
					b.Fatal(err)
				}
			}
			received, sent, used := met.received.Load(), met.sent.Load(), cpuTime(b)
			for b.Loop() {
				if err := one.call(peer, ups, rou); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(met.received.Load()-received)/float64(b.N), "request-B")
			b.ReportMetric(float64(met.sent.Load()-sent)/float64(b.N), "answer-B")
			b.ReportMetric(float64((cpuTime(b)-used).Microseconds())/float64(b.N), "cpu-µs")
			if one.size != nil {
				b.ReportMetric(float64(proto.Size(one.size)), "message-B")
			}
		})
	}
}

func meteredServer(b *testing.B, answer *fpwire.PollResponse) (*meter, *http.Client) {
	mux := http.NewServeMux()
	mux.Handle(fpwireconnect.NewPeerServiceHandler(&echo{
		answer: answer,
	}))
	mux.Handle(fpcontractconnect.NewUpstreamServiceHandler(upstreamEcho{}))
	mux.Handle(fpcontractconnect.NewRouterServiceHandler(routerEcho{}))
	cfg := fptls.ServerConfig{
		Handler: mux,
	}
	lis, err := fptls.Listen(context.Background(), cfg, netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	met := &meter{
		Listener: lis,
	}
	srv := fptls.NewServer(cfg)
	done := make(chan error, 1)
	go func() { done <- fptls.Serve(srv, met) }()
	client := fptls.NewClient(fptls.ClientConfig{
		DialTimeout: time.Second,
	})
	b.Cleanup(func() {
		client.CloseIdleConnections()
		_ = srv.Close()
		if err := <-done; err != nil {
			b.Error(err)
		}
	})
	return met, client
}

// cpuTime returns the CPU time that the process has used. Unlike elapsed time it hardly depends on other processes.
func cpuTime(b *testing.B) time.Duration {
	var rus syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rus); err != nil {
		b.Fatal(err)
	}
	return time.Duration(rus.Utime.Nano() + rus.Stime.Nano())
}

package fppeer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract/fpcontractconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpmeter"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fptls"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire/fpwireconnect"
)

// meter counts the bytes on the connections of a client.
type meter struct {
	received, sent atomic.Int64
}

// fakePeer answers the measured calls. Its answers are those of a deployment without load, except for polls.
type fakePeer struct {
	fpwireconnect.UnimplementedPeerServiceHandler
	// answer is the answer to every poll.
	answer *fpwire.PollResponse
}

func (fak *fakePeer) Poll(context.Context, *connect.Request[fpwire.PollRequest]) (*connect.Response[fpwire.PollResponse], error) {
	return connect.NewResponse(fak.answer), nil
}

func (fak *fakePeer) Relay(context.Context, *connect.Request[fpwire.RelayRequest]) (*connect.Response[fpwire.RelayResponse], error) {
	return connect.NewResponse(&fpwire.RelayResponse{}), nil
}

func (fak *fakePeer) Step(context.Context, *connect.Request[fpwire.StepRequest]) (*connect.Response[fpwire.StepResponse], error) {
	return connect.NewResponse(&fpwire.StepResponse{}), nil
}

func (fak *fakePeer) Submit(_ context.Context, req *connect.Request[fpwire.SubmitRequest]) (*connect.Response[fpwire.SubmitResponse], error) {
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

// fakeUpstream accepts every grant.
type fakeUpstream struct {
	fpcontractconnect.UnimplementedUpstreamServiceHandler
}

func (fakeUpstream) Grant(_ context.Context, req *connect.Request[fpcontract.GrantRequest]) (*connect.Response[fpcontract.GrantResponse], error) {
	return connect.NewResponse(&fpcontract.GrantResponse{
		Accepted:    true,
		Token:       req.Msg.GetEcho() + 1,
		Version:     req.Msg.GetVersion(),
		Term:        req.Msg.GetTerm(),
		Incarnation: req.Msg.GetIncarnation(),
	}), nil
}

// fakeRouter accepts every announcement.
type fakeRouter struct {
	fpcontractconnect.UnimplementedRouterServiceHandler
}

func (fakeRouter) Announce(context.Context, *connect.Request[fpcontract.AnnounceRequest]) (*connect.Response[fpcontract.AnnounceResponse], error) {
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

// benchPoll returns a poll that reports the load of the given number of slots.
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

// benchPollResponse returns the answer to a poll, with the given number of upstreams and a configuration whose schema has
// at least the given number of bytes, or no configuration if it is 0.
func benchPollResponse(upstreams, configuration int) *fpwire.PollResponse {
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

// benchMovedSlots returns the answer to a poll that starts the moves of the given number of slots.
func benchMovedSlots(slots int) *fpwire.PollResponse {
	res := benchPollResponse(0, 0)
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

// benchClaims returns a request that submits the given number of claims.
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

// benchHeartbeat returns an append request without entries, which is the heartbeat of a leader.
func benchHeartbeat() *fpwire.StepRequest {
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

// BenchmarkControlCall measures, for each control message, the bytes on a plain-text loopback connection, including the
// framing and flow control of HTTP/2, and the CPU time of client and server, which are separate processes.
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
	for _, test := range []struct {
		name string
		call call
	}{
		{"pollIdle", poll(benchPoll(0))},
		// The same poll with an uncompressed answer shows the cost of compression.
		{"pollIdlePlain", poll(benchPoll(0))},
		{"pollLoad16", poll(benchPoll(16))},
		{"pollLoad128", poll(benchPoll(128))},
		{"pollRegistry45", poll(benchPoll(0))},
		{"pollRegistry450", poll(benchPoll(0))},
		{"pollConfiguration4KiB", poll(benchPoll(0))},
		{"pollConfiguration64KiB", poll(benchPoll(0))},
		{"pollMoved18", poll(benchPoll(0))},
		{"pollMoved8192", poll(benchPoll(0))},
		{"relay", func(peer fpwireconnect.PeerServiceClient, _ fpcontractconnect.UpstreamServiceClient, _ fpcontractconnect.RouterServiceClient) error {
			_, err := peer.Relay(ctx, connect.NewRequest(&fpwire.RelayRequest{
				Announce: benchAnnouncement(),
				Group:    "bergen-a",
			}))
			return err
		}},
		{"announce", func(_ fpwireconnect.PeerServiceClient, _ fpcontractconnect.UpstreamServiceClient, rou fpcontractconnect.RouterServiceClient) error {
			_, err := rou.Announce(ctx, connect.NewRequest(benchAnnouncement()))
			return err
		}},
		{"renewal", func(_ fpwireconnect.PeerServiceClient, ups fpcontractconnect.UpstreamServiceClient, _ fpcontractconnect.RouterServiceClient) error {
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
		{"heartbeat", func(peer fpwireconnect.PeerServiceClient, _ fpcontractconnect.UpstreamServiceClient, _ fpcontractconnect.RouterServiceClient) error {
			_, err := peer.Step(ctx, connect.NewRequest(benchHeartbeat()))
			return err
		}},
		{"claims1", submit(1)},
		{"claims32", submit(32)},
	} {
		b.Run(test.name, func(b *testing.B) {
			url := "http://" + fpmeter.StartPeer(b, serverVariable, test.name)
			met, client := meteredClient()
			defer client.CloseIdleConnections()
			var options []connect.ClientOption
			if test.name == "pollIdlePlain" {
				options = append(options, connect.WithAcceptCompression("gzip", nil, nil))
			}
			peer := fpwireconnect.NewPeerServiceClient(client, url, options...)
			ups := fpcontractconnect.NewUpstreamServiceClient(client, url)
			rou := fpcontractconnect.NewRouterServiceClient(client, url)
			for range 100 {
				if err := test.call(peer, ups, rou); err != nil {
					b.Fatal(err)
				}
			}
			serverBefore := serverCPUTime(b, client, url)
			receivedBefore, sentBefore, clientBefore := met.received.Load(), met.sent.Load(), fpmeter.CPUTime()
			for b.Loop() {
				if err := test.call(peer, ups, rou); err != nil {
					b.Fatal(err)
				}
			}
			clientCPU := fpmeter.CPUTime() - clientBefore
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(met.sent.Load()-sentBefore)/float64(b.N), "request-B")
			b.ReportMetric(float64(met.received.Load()-receivedBefore)/float64(b.N), "answer-B")
			b.ReportMetric(float64(clientCPU.Microseconds())/float64(b.N), "client-cpu-µs")
			b.ReportMetric(float64((serverCPUTime(b, client, url)-serverBefore).Microseconds())/float64(b.N), "server-cpu-µs")
		})
	}
}

// BenchmarkConfigurationSpread measures the time in which one server sends a configuration of 64 KiB to all VMs, as well as
// the bytes received and the CPU time of the server. Each VM has a connection of its own, and all polls are concurrent.
func BenchmarkConfigurationSpread(b *testing.B) {
	for _, vms := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			url := "http://" + fpmeter.StartPeer(b, serverVariable, "pollConfiguration64KiB")
			polls := make([]func() error, vms)
			meters := make([]*meter, vms)
			for num := range polls {
				met, client := meteredClient()
				defer client.CloseIdleConnections()
				meters[num] = met
				peer := fpwireconnect.NewPeerServiceClient(client, url)
				polls[num] = func() error {
					_, err := peer.Poll(context.Background(), connect.NewRequest(benchPoll(0)))
					return err
				}
			}
			pollAll := func() {
				var wgr sync.WaitGroup
				for _, poll := range polls {
					wgr.Go(func() {
						if err := poll(); err != nil {
							b.Error(err)
						}
					})
				}
				wgr.Wait()
			}
			pollAll()
			_, client := meteredClient()
			defer client.CloseIdleConnections()
			receivedBefore, serverBefore := totalReceived(meters), serverCPUTime(b, client, url)
			for b.Loop() {
				pollAll()
			}
			b.ReportMetric(float64(totalReceived(meters)-receivedBefore)/float64(b.N), "B/change")
			b.ReportMetric(float64((serverCPUTime(b, client, url)-serverBefore).Milliseconds())/float64(b.N), "server-cpu-ms")
			b.ReportMetric(b.Elapsed().Seconds()*1e3/float64(b.N), "ms/change")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// totalReceived returns the sum of the bytes that the clients have received.
func totalReceived(meters []*meter) int64 {
	sum := int64(0)
	for _, met := range meters {
		sum += met.received.Load()
	}
	return sum
}

// meteredClient returns an HTTP client as VMs use it for each other, and the meter that counts its bytes.
func meteredClient() (*meter, *http.Client) {
	client := fptls.NewClient(fptls.ClientConfig{
		DialTimeout: time.Second,
	})
	met := &meter{}
	tra := client.Transport.(*http.Transport)
	dial := tra.DialContext
	tra.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &fpmeter.Conn{
			Conn:     con,
			Received: &met.received,
			Sent:     &met.sent,
		}, nil
	}
	return met, client
}

// serverVariable is an environment variable that makes the test binary serve the calls of a benchmark. Its value is the
// name of the call. Client and server are separate processes, which allows measuring their CPU times separately.
const serverVariable = "FPPEER_BENCH_SERVER"

func TestMain(m *testing.M) {
	if name := os.Getenv(serverVariable); name != "" {
		serveBenchmark(name)
		return
	}
	os.Exit(m.Run())
}

// cpuTimePath is the path that returns the CPU time of the server process in nanoseconds.
const cpuTimePath = "/cpuTime"

// serveBenchmark prints its address and serves until its standard input ends.
func serveBenchmark(name string) {
	answers := map[string]*fpwire.PollResponse{
		"pollRegistry45":         benchPollResponse(45, 0),
		"pollRegistry450":        benchPollResponse(450, 0),
		"pollConfiguration4KiB":  benchPollResponse(0, 4<<10),
		"pollConfiguration64KiB": benchPollResponse(0, 64<<10),
		"pollMoved18":            benchMovedSlots(18),
		"pollMoved8192":          benchMovedSlots(8192),
	}
	answer := answers[name]
	if answer == nil {
		answer = benchPollResponse(0, 0)
	}
	mux := http.NewServeMux()
	mux.Handle(fpwireconnect.NewPeerServiceHandler(&fakePeer{
		answer: answer,
	}))
	mux.Handle(fpcontractconnect.NewUpstreamServiceHandler(fakeUpstream{}))
	mux.Handle(fpcontractconnect.NewRouterServiceHandler(fakeRouter{}))
	mux.HandleFunc(cpuTimePath, func(wri http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(wri, int64(fpmeter.CPUTime()))
	})
	cfg := fptls.ServerConfig{
		Handler: mux,
	}
	lis, err := fptls.Listen(context.Background(), cfg, netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		panic(err)
	}
	srv := fptls.NewServer(cfg)
	go func() { _ = fptls.Serve(srv, lis) }()
	fmt.Println(lis.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// serverCPUTime returns the CPU time that the server process has used since its start.
func serverCPUTime(b *testing.B, client *http.Client, url string) time.Duration {
	res, err := client.Get(url + cpuTimePath)
	if err != nil {
		b.Fatal(err)
	}
	defer res.Body.Close()
	var nanos int64
	if _, err := fmt.Fscan(res.Body, &nanos); err != nil {
		b.Fatal(err)
	}
	return time.Duration(nanos)
}

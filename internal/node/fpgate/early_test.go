package fpgate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpworker"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpforward"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// entryFixture is a forwarder behind the servers of an entry VM, with one upstream and the connection of a caller.
type entryFixture struct {
	t         *testing.T
	forwarder *fpforward.Forwarder
	servers   *servers
	upstream  *fpworker.Worker
	con       net.Conn
	reader    *bufio.Reader
}

// newEntryFixture returns an entry VM with an idempotent route "/safe/" and a route "/once/" whose requests run at most
// once. The upstream works on each request for the given time.
func newEntryFixture(t *testing.T, work time.Duration) *entryFixture {
	wor := fpworker.New(fpworker.Config{
		Upstream: &fpstate.Upstream{
			Id:          "one",
			Born:        1,
			Service:     "work",
			Concurrency: 16,
			Modified:    1,
		},
		ServiceTime: work,
		Queue:       4,
	})
	if err := wor.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(wor.Close)
	ent := newEntryFixtureWith(t, wor.Upstream())
	ent.upstream = wor
	return ent
}

// newEntryFixtureWith is newEntryFixture with an upstream of the test's own.
func newEntryFixtureWith(t *testing.T, upstream *fpstate.Upstream) *entryFixture {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ent := &entryFixture{
		t: t,
		forwarder: fpforward.New(fpforward.Config{
			Region: func(string) string { return "" },
			Promises: fpgateway.Promises{
				RetryShare:  0.2,
				RetryExtra:  50,
				RetryWindow: 10 * time.Second,
			},
			Log: zap.NewNop(),
		}),
	}
	ent.servers = newServers(lis, ent.forwarder)
	ent.servers.beginPipelined = ent.forwarder.BeginPipelined
	served := make(chan error, 1)
	go func() { served <- ent.servers.serve() }()
	route := func(name string, kind fpstate.Kind) *fpstate.Route {
		return &fpstate.Route{
			Name:       name,
			Host:       "a",
			PathPrefix: "/" + name + "/",
			Kind:       kind,
			Timeout:    durationpb.New(5 * time.Second),
			Objective:  durationpb.New(5 * time.Second),
			Targets: []*fpstate.Target{{
				Service: "work",
				Weight:  1,
			}},
			MaxAttempts: 2,
		}
	}
	ent.forwarder.Update(&fpstate.State{
		Configuration: &fpstate.Configuration{
			Revision: 1,
			Routes: []*fpstate.Route{
				route("safe", fpstate.Kind_KIND_IDEMPOTENT),
				route("once", fpstate.Kind_KIND_ONCE),
			},
			Services: []*fpstate.Service{{
				Name: "work",
			}},
		},
		Upstreams: []*fpstate.Upstream{upstream},
	}, 1, 1)
	ent.con, err = net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ent.reader = bufio.NewReader(ent.con)
	t.Cleanup(func() {
		_ = ent.con.Close() // the test may have closed it
		_ = lis.Close()
		<-served
	})
	return ent
}

// send writes one GET request for each path, all in one write. Their attempts are attempt-0, attempt-1, and so on.
func (ent *entryFixture) send(paths ...string) {
	text := ""
	for num, path := range paths {
		text += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n%s\r\n", path, platform.RequestLines(platform.Request{
			Attempt: fmt.Sprintf("attempt-%d", num),
			Timeout: 5 * time.Second,
		}))
	}
	if _, err := io.WriteString(ent.con, text); err != nil {
		ent.t.Fatal(err)
	}
}

// TestPipelinedRequestsRunConcurrently guards against pipelined idempotent requests that wait for the work of those before
// them, are answered out of order, or run twice because they were begun early.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	const count, work = 5, 200 * time.Millisecond
	ent := newEntryFixture(t, work)
	var paths []string
	for num := range count {
		paths = append(paths, fmt.Sprintf("/safe/%d", num))
	}
	began := time.Now()
	ent.send(paths...)
	for num := range count {
		res, err := http.ReadResponse(ent.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		want := string(fpworker.AnswerBody(fmt.Sprintf("attempt-%d", num)))
		if err != nil || res.StatusCode != http.StatusOK || string(body) != want {
			t.Errorf("answer %d: status %d, body matches the request: %t, error %v", num, res.StatusCode, string(body) == want, err)
		}
	}
	if took := time.Since(began); took > count*work*3/4 {
		t.Errorf("%d requests of %v each took %v, want less than three quarters of their sum", count, work, took)
	}
	if got := len(ent.upstream.Runs()); got != count {
		t.Errorf("the upstream ran %d requests, want %d", got, count)
	}
}

// TestOnlyIdempotentRequestsBeginEarly guards against beginning a request that may run only once before its turn: an earlier
// answer may end the connection.
func TestOnlyIdempotentRequestsBeginEarly(t *testing.T) {
	const work = 200 * time.Millisecond
	ent := newEntryFixture(t, work)
	ent.send("/safe/1", "/once/2", "/safe/3")
	time.Sleep(work / 2)
	if got := len(ent.upstream.Runs()); got != 1 {
		t.Errorf("%d requests have begun, want only the first", got)
	}
	for range 3 {
		res, err := http.ReadResponse(ent.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("status %d, error %v", res.StatusCode, err)
		}
	}
}

// TestStopWithPipelinedRequests guards against a planned stop that cuts off a pipelined request which has been begun, and
// against one that is begun after the stop.
func TestStopWithPipelinedRequests(t *testing.T) {
	const work = 300 * time.Millisecond
	ent := newEntryFixture(t, work)
	ent.send("/safe/0", "/safe/1")
	time.Sleep(work / 3)
	ent.forwarder.Stop(time.Now().Add(10 * time.Second))
	ent.send("/safe/2")
	for num := range 2 {
		res, err := http.ReadResponse(ent.reader, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", num, err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("answer %d: status %d, error %v", num, res.StatusCode, err)
		}
		if last := num == 1; res.Close != last {
			t.Errorf("answer %d closes the connection: %t, want %t", num, res.Close, last)
		}
	}
	if _, err := ent.reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection is still open, or failed: got error %v, want EOF", err)
	}
	if got := len(ent.upstream.Runs()); got != 2 {
		t.Errorf("%d requests ran, want the 2 that were begun before the stop", got)
	}
}

// TestStopAnswersRequestsThatWaitForTheirTurn guards against a planned stop that ends a connection without an answer to requests that were
// read before it and waited for the answers to earlier ones, and against one that keeps the connection for later requests.
func TestStopAnswersRequestsThatWaitForTheirTurn(t *testing.T) {
	const work = 300 * time.Millisecond
	ent := newEntryFixture(t, work)
	ent.send("/once/0", "/once/1", "/safe/2")
	time.Sleep(work / 3)
	ent.forwarder.Stop(time.Now().Add(10 * time.Second))
	time.Sleep(work / 6)
	ent.send("/safe/3")
	for num := range 3 {
		res, err := http.ReadResponse(ent.reader, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", num, err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("answer %d: status %d, error %v", num, res.StatusCode, err)
		}
		if last := num == 2; res.Close != last {
			t.Errorf("answer %d closes the connection: %t, want %t", num, res.Close, last)
		}
	}
	if _, err := ent.reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection is still open, or failed: got error %v, want EOF", err)
	}
	if got := len(ent.upstream.Runs()); got != 3 {
		t.Errorf("%d requests ran, want the 3 that were read before the stop", got)
	}
}

// TestDisconnectCancelsPipelinedRequests guards against work on pipelined requests after their caller has disconnected.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	const work = 2 * time.Second
	ent := newEntryFixture(t, work)
	ent.send("/safe/0", "/safe/1", "/safe/2")
	time.Sleep(100 * time.Millisecond)
	_ = ent.con.Close()
	const noticedWithin = 400 * time.Millisecond
	ctx := t.Context()
	end := time.Now().Add(noticedWithin)
	for ent.upstream.Running() > 0 && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	if got := ent.upstream.Running(); got > 0 {
		t.Errorf("%d requests still run %v after their caller disconnected", got, noticedWithin)
	}
}

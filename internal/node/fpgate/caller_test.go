package fpgate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpforward"
)

// pipeline is the connection of a caller to servers with a handler that the test provides.
type pipeline struct {
	t       *testing.T
	servers *servers
	con     net.Conn
	reader  *bufio.Reader
	mutex   sync.Mutex
	// handled holds the paths of the requests that reached the handler.
	handled []string
	// started receives the path of each request that reaches the handler.
	started chan string
	// waits holds how long each request waited for its turn.
	waits []time.Duration
}

// newPipeline starts servers with the handler and connects to them.
func newPipeline(t *testing.T, handle func(wri http.ResponseWriter, req *http.Request)) *pipeline {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pip := &pipeline{
		t:       t,
		started: make(chan string, 64),
	}
	srv := newServers(lis, http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		pip.takeTurn(req)
		pip.mutex.Lock()
		pip.handled = append(pip.handled, req.URL.Path)
		pip.mutex.Unlock()
		pip.started <- req.URL.Path
		handle(wri, req)
	}))
	pip.servers = srv
	served := make(chan error, 1)
	go func() { served <- srv.serve() }()
	pip.connect()
	t.Cleanup(func() {
		_ = pip.con.Close() // the test may have closed it
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := srv.shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		<-served
	})
	return pip
}

// connect opens the connection.
func (pip *pipeline) connect() {
	pip.t.Helper()
	con, err := net.Dial("tcp", pip.servers.listener.Addr().String())
	if err != nil {
		pip.t.Fatal(err)
	}
	pip.con, pip.reader = con, bufio.NewReader(con)
}

// takeTurn takes the turn of a request as the forwarder does, and records the wait for it.
func (pip *pipeline) takeTurn(req *http.Request) {
	wait := time.Since(fpforward.TurnOf(req).Arrived)
	pip.mutex.Lock()
	defer pip.mutex.Unlock()
	pip.waits = append(pip.waits, wait)
}

// send writes one GET request for each path, all in one write.
func (pip *pipeline) send(paths ...string) {
	pip.t.Helper()
	text := ""
	for _, path := range paths {
		text += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	}
	if _, err := io.WriteString(pip.con, text); err != nil {
		pip.t.Fatal(err)
	}
}

// readAnswer reads one answer and returns it with its body.
func (pip *pipeline) readAnswer() (*http.Response, string) {
	pip.t.Helper()
	res, err := http.ReadResponse(pip.reader, nil)
	if err != nil {
		pip.t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		pip.t.Fatal(err)
	}
	return res, string(body)
}

func (pip *pipeline) handledPaths() []string {
	pip.mutex.Lock()
	defer pip.mutex.Unlock()
	return append([]string(nil), pip.handled...)
}

// TestPipelinedCallerDisconnects checks that the contexts of requests end soon after their caller disconnects, when it has
// pipelined further requests. The HTTP server by itself stops watching for the end of a connection at the first byte of a
// further request.
func TestPipelinedCallerDisconnects(t *testing.T) {
	const noticedWithin = 400 * time.Millisecond // requests that run 500 ms after their caller has left count as wasted work
	for name, send := range map[string]func(pip *pipeline){
		"sent together": func(pip *pipeline) { pip.send("/1", "/2", "/3") },
		"sent later": func(pip *pipeline) {
			pip.send("/1")
			<-pip.started
			pip.started <- "/1"
			pip.send("/2", "/3")
		},
	} {
		t.Run(name, func(t *testing.T) {
			ends := make(chan time.Time, 3)
			pip := newPipeline(t, func(_ http.ResponseWriter, req *http.Request) {
				select {
				case <-req.Context().Done():
				case <-time.After(3 * time.Second):
				}
				ends <- time.Now()
			})
			send(pip)
			<-pip.started
			time.Sleep(50 * time.Millisecond) // the pipelined requests arrive
			left := time.Now()
			_ = pip.con.Close()
			if took := (<-ends).Sub(left); took > noticedWithin {
				t.Errorf("the request in progress ended %v after its caller had disconnected, want at most %v", took, noticedWithin)
			}
			// Pipelined requests may reach the handler, but their contexts have ended.
			for {
				select {
				case end := <-ends:
					if took := end.Sub(left); took > noticedWithin {
						t.Errorf("a pipelined request ended %v after its caller had disconnected", took)
					}
					continue
				case <-time.After(noticedWithin):
				}
				return
			}
		})
	}
}

// TestPipelinedAnswerOrder guards against answers out of order, and against a pipelined request that is lost or changed by
// the read-ahead, however its bytes are split into writes.
func TestPipelinedAnswerOrder(t *testing.T) {
	pip := newPipeline(t, func(wri http.ResponseWriter, req *http.Request) {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(wri, "%s %d", req.URL.Path, len(req.Header.Get("Long")))
	})
	const count, long = 12, 5000
	go func() {
		for num := range count {
			text := fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: a\r\nLong: %s\r\n\r\n", num, strings.Repeat("x", long))
			for len(text) > 0 {
				size := min(len(text), 1+num*701)
				if _, err := io.WriteString(pip.con, text[:size]); err != nil {
					return // the missing answer fails the test
				}
				text = text[size:]
			}
		}
	}()
	for num := range count {
		if _, got := pip.readAnswer(); got != fmt.Sprintf("/%d %d", num, long) {
			t.Errorf("answer %d is %q", num, got)
		}
	}
}

// TestCloseWithUnreadRequests guards against the loss of an answer that closes the connection while pipelined requests are
// unread, which would reset it, and against serving a request after such an answer.
func TestCloseWithUnreadRequests(t *testing.T) {
	const length = 4 << 20 // more than the socket buffers hold
	for name, first := range map[string]string{
		"no body": "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n",
		"body":    "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			pip := newPipeline(t, func(wri http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body) // a failure shows in the answer
				<-release
				wri.Header().Set("Connection", "close")
				_, _ = io.WriteString(wri, strings.Repeat("x", length)) // a failure shows in the answer
			})
			if _, err := io.WriteString(pip.con, first); err != nil {
				t.Fatal(err)
			}
			<-pip.started
			for range 64 {
				pip.send("/" + strings.Repeat("y", 1000))
			}
			close(release)
			time.Sleep(100 * time.Millisecond) // a reset of the connection would discard the answer before it is read
			if _, got := pip.readAnswer(); len(got) != length {
				t.Errorf("the answer has %d bytes, want %d", len(got), length)
			}
			if got := pip.handledPaths(); len(got) != 1 {
				t.Errorf("%d requests reached the handler, want only the first", len(got))
			}
		})
	}
}

// TestPipelinedArrivalTime guards against measuring a pipelined request's time from its turn instead of its arrival.
func TestPipelinedArrivalTime(t *testing.T) {
	const work = 60 * time.Millisecond
	pip := newPipeline(t, func(http.ResponseWriter, *http.Request) { time.Sleep(work) })
	pip.send("/1", "/2")
	for range 2 {
		pip.readAnswer()
	}
	pip.send("/3")
	time.Sleep(work / 2)
	pip.send("/4")
	for range 2 {
		pip.readAnswer()
	}
	for num, want := range []time.Duration{0, work, 0, work / 2} {
		if got := pip.waits[num]; got < want-work/6 || got > want+work/3 {
			t.Errorf("request %d waited %v for its turn, want about %v", num+1, got, want)
		}
	}
}

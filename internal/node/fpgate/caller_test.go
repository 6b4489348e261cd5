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

// pipeline is a caller's connection to servers whose handler is in the hands of the test.
type pipeline struct {
	t       *testing.T
	servers *servers
	con     net.Conn
	reader  *bufio.Reader
	mutex   sync.Mutex
	begun   []string
	// started receives the path of each request that begins.
	started chan string
	// waits holds how long each request waited for its turn.
	waits []time.Duration
}

// newPipeline serves requests with a handler.
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
		pip.begun = append(pip.begun, req.URL.Path)
		pip.mutex.Unlock()
		pip.started <- req.URL.Path
		handle(wri, req)
	}))
	pip.servers = srv
	ended := make(chan error, 1)
	go func() { ended <- srv.serve() }()
	pip.con, err = net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	pip.reader = bufio.NewReader(pip.con)
	t.Cleanup(func() {
		_ = pip.con.Close() // the test may have closed it
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := srv.shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		<-ended
	})
	return pip
}

// takeTurn takes the turn of a request as the forwarder does.
func (pip *pipeline) takeTurn(req *http.Request) {
	wait := time.Since(fpforward.TurnOf(req).Arrived)
	pip.mutex.Lock()
	defer pip.mutex.Unlock()
	pip.waits = append(pip.waits, wait)
}

// send writes requests at once.
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

// answer reads one answer.
func (pip *pipeline) answer() (*http.Response, string) {
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

func (pip *pipeline) requests() []string {
	pip.mutex.Lock()
	defer pip.mutex.Unlock()
	return append([]string(nil), pip.begun...)
}

// TestPipelinedCallerLeaves guards against work for a caller that has sent a further request and then left: the HTTP server stops
// looking for the end of a connection at the first byte of a further request.
func TestPipelinedCallerLeaves(t *testing.T) {
	const noticedWithin = 400 * time.Millisecond // of the half second after which the work counts as done for nobody
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
			time.Sleep(50 * time.Millisecond) // the further requests arrive
			left := time.Now()
			_ = pip.con.Close()
			if took := (<-ends).Sub(left); took > noticedWithin {
				t.Errorf("the request in progress ended %v after its caller had left, want %v", took, noticedWithin)
			}
			// Requests behind it may begin, but their contexts have ended.
			for {
				select {
				case end := <-ends:
					if took := end.Sub(left); took > noticedWithin {
						t.Errorf("a request behind it ended %v after its caller had left", took)
					}
					continue
				case <-time.After(noticedWithin):
				}
				return
			}
		})
	}
}

// TestPipelinedAnswers guards against answers out of order, and against a further request that is lost or changed because it was
// read ahead, whatever pieces it comes in.
func TestPipelinedAnswers(t *testing.T) {
	pip := newPipeline(t, func(wri http.ResponseWriter, req *http.Request) {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(wri, "%s %d", req.URL.Path, len(req.Header.Get("Long")))
	})
	const count, long = 12, 5000
	go func() {
		for num := range count {
			text := fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: a\r\nLong: %s\r\n\r\n", num, strings.Repeat("x", long))
			for len(text) > 0 {
				piece := min(len(text), 1+num*701)
				if _, err := io.WriteString(pip.con, text[:piece]); err != nil {
					return // the missing answer fails the test
				}
				text = text[piece:]
			}
		}
	}()
	for num := range count {
		if _, got := pip.answer(); got != fmt.Sprintf("/%d %d", num, long) {
			t.Errorf("answer %d is %q", num, got)
		}
	}
}

// TestPipelinedStop guards against an answer that is lost because its connection is closed while further requests lie unread, and
// against a request behind an answer that closes the connection which is served for nobody.
func TestPipelinedStop(t *testing.T) {
	const length = 4 << 20 // more than the system takes for a caller that does not read
	release := make(chan struct{})
	pip := newPipeline(t, func(wri http.ResponseWriter, _ *http.Request) {
		<-release
		wri.Header().Set("Connection", "close")
		_, _ = io.WriteString(wri, strings.Repeat("x", length)) // a failure shows in the answer
	})
	pip.send("/1")
	<-pip.started
	for range 64 {
		pip.send("/" + strings.Repeat("y", 1000))
	}
	close(release)
	time.Sleep(100 * time.Millisecond) // a reset of the connection would arrive before the answer is read
	if _, got := pip.answer(); len(got) != length {
		t.Errorf("the answer has %d bytes, want %d", len(got), length)
	}
	if got := pip.requests(); len(got) != 1 {
		t.Errorf("%d requests were served, want only the first", len(got))
	}
}

// TestArrival guards against a request that waits behind another and gets its whole time anew when its turn comes.
func TestArrival(t *testing.T) {
	const work = 60 * time.Millisecond
	pip := newPipeline(t, func(http.ResponseWriter, *http.Request) { time.Sleep(work) })
	pip.send("/1", "/2")
	for range 2 {
		pip.answer()
	}
	pip.send("/3")
	time.Sleep(work / 2)
	pip.send("/4")
	for range 2 {
		pip.answer()
	}
	for num, want := range []time.Duration{0, work, 0, work / 2} {
		if got := pip.waits[num]; got < want-work/6 || got > want+work/3 {
			t.Errorf("request %d waited %v for its turn, want about %v", num+1, got, want)
		}
	}
}

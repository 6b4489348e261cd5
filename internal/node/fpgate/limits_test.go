package fpgate

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// Limits of configurations in tests of headers.
const (
	smallHeader  = 2 << 10
	largeHeader  = 16 << 10
	mediumHeader = 11 << 10 // between both, also with the tolerance of net/http
)

func headerLimit(size uint64) *fpstate.Limits {
	return &fpstate.Limits{
		MaxHeaderBytes: size,
	}
}

// longRequest returns a GET request with a header of the given size in bytes.
func longRequest(path string, size int) string {
	text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nLong: %%s\r\n\r\n", path)
	return fmt.Sprintf(text, strings.Repeat("x", size-len(text)+len("%s")))
}

func (pip *pipeline) write(text string) {
	pip.t.Helper()
	if _, err := io.WriteString(pip.con, text); err != nil {
		pip.t.Fatal(err)
	}
}

// expectClosed checks that the connection ends within a limit, but no earlier than a minimum. It returns what was still read.
func (pip *pipeline) expectClosed(least, limit time.Duration) string {
	pip.t.Helper()
	began := time.Now()
	_ = pip.con.SetReadDeadline(began.Add(limit)) // it fails only on a closed connection
	rest, err := io.ReadAll(pip.reader)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		pip.t.Errorf("the connection is open after %v, want it closed", time.Since(began))
	} else if took := time.Since(began); took < least {
		pip.t.Errorf("the connection ended after %v, want at least %v", took, least)
	}
	return string(rest)
}

// TestHeaderLimitOnOpenConnection guards against a connection that keeps the header limit under which it was opened: a request that
// the newest configuration allows is refused, or one that it forbids is served.
func TestHeaderLimitOnOpenConnection(t *testing.T) {
	request := longRequest("/1", mediumHeader)
	const half = 4 << 10 // within the small limit and its tolerance
	between := func(pip *pipeline, change func()) {
		change()
		pip.write(request)
	}
	within := func(pip *pipeline, change func()) {
		pip.write(request[:half])
		time.Sleep(50 * time.Millisecond)
		change()
		pip.write(request[half:])
	}
	pipelined := func(pip *pipeline, change func()) {
		pip.send("/slow")
		pip.write(request)
		time.Sleep(50 * time.Millisecond)
		change()
		pip.readAnswer()
	}
	for _, tes := range []struct {
		name          string
		before, after uint64
		// send sends the request. change applies the limit after.
		send func(pip *pipeline, change func())
		want int
	}{
		{
			name:   "raised between requests",
			before: smallHeader,
			after:  largeHeader,
			send:   between,
			want:   http.StatusOK,
		},
		{
			name:   "raised within a header",
			before: smallHeader,
			after:  largeHeader,
			send:   within,
			want:   http.StatusOK,
		},
		{
			name:   "raised behind a pipelined request",
			before: smallHeader,
			after:  largeHeader,
			send:   pipelined,
			want:   http.StatusOK,
		},
		{
			name:   "raised after a body",
			before: smallHeader,
			after:  largeHeader,
			send: func(pip *pipeline, change func()) {
				pip.write("POST /0 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
				pip.readAnswer()
				change()
				pip.write(request)
			},
			want: http.StatusOK,
		},
		{
			name:   "lowered between requests",
			before: largeHeader,
			after:  smallHeader,
			send:   between,
			want:   http.StatusRequestHeaderFieldsTooLarge,
		},
		{
			name:   "lowered within a header",
			before: largeHeader,
			after:  smallHeader,
			send:   within,
			want:   http.StatusRequestHeaderFieldsTooLarge,
		},
		{
			name:   "lowered behind a pipelined request",
			before: largeHeader,
			after:  smallHeader,
			send:   pipelined,
			want:   http.StatusRequestHeaderFieldsTooLarge,
		},
		{
			name:   "not changed",
			before: smallHeader,
			after:  smallHeader,
			send: func(pip *pipeline, _ func()) {
				pip.write(request)
			},
			want: http.StatusRequestHeaderFieldsTooLarge,
		},
	} {
		t.Run(tes.name, func(t *testing.T) {
			pip := newPipeline(t, func(wri http.ResponseWriter, req *http.Request) {
				if req.URL.Path == "/slow" {
					time.Sleep(200 * time.Millisecond)
				}
				_, _ = io.Copy(io.Discard, req.Body) // an error shows in the answer
				fmt.Fprint(wri, req.URL.Path)
			})
			pip.servers.setLimits(headerLimit(tes.before))
			_ = pip.con.Close() // it was opened under other limits
			pip.connect()
			pip.send("/0")
			pip.readAnswer()
			time.Sleep(20 * time.Millisecond) // the connection is idle
			tes.send(pip, func() { pip.servers.setLimits(headerLimit(tes.after)) })
			res, body := pip.readAnswer()
			if res.StatusCode != tes.want {
				t.Fatalf("a request with a header of %d bytes was answered %d, want %d", len(request), res.StatusCode, tes.want)
			}
			if tes.want == http.StatusOK {
				if body != "/1" {
					t.Errorf("got the answer %q", body)
				}
				return
			}
			if !res.Close {
				t.Error("a connection with a refused header stays open by its answer")
			}
			if rest := pip.expectClosed(0, time.Second); rest != "" {
				t.Errorf("the refusal is followed by %q", rest)
			}
		})
	}
}

// TestTimeoutsOnOpenConnection guards against a connection that keeps the timeouts under which it was opened.
func TestTimeoutsOnOpenConnection(t *testing.T) {
	const short, long, wait = 300 * time.Millisecond, 5 * time.Second, 600 * time.Millisecond
	for _, tes := range []struct {
		name          string
		before, after time.Duration
		apply         func(lim *fpstate.Limits, timeout time.Duration)
		sent          string
	}{
		{
			name:   "idle timeout raised",
			before: short,
			after:  long,
			apply:  func(lim *fpstate.Limits, timeout time.Duration) { lim.IdleTimeout = durationpb.New(timeout) },
		},
		{
			name:   "idle timeout lowered",
			before: long,
			after:  short,
			apply:  func(lim *fpstate.Limits, timeout time.Duration) { lim.IdleTimeout = durationpb.New(timeout) },
		},
		{
			name:   "header timeout raised",
			before: short,
			after:  long,
			apply:  func(lim *fpstate.Limits, timeout time.Duration) { lim.HeaderTimeout = durationpb.New(timeout) },
			sent:   "GET /1 HT",
		},
		{
			name:   "header timeout lowered",
			before: long,
			after:  short,
			apply:  func(lim *fpstate.Limits, timeout time.Duration) { lim.HeaderTimeout = durationpb.New(timeout) },
			sent:   "GET /1 HT",
		},
	} {
		t.Run(tes.name, func(t *testing.T) {
			t.Parallel()
			limits := func(timeout time.Duration) *fpstate.Limits {
				lim := &fpstate.Limits{
					HeaderTimeout: durationpb.New(10 * time.Second),
					IdleTimeout:   durationpb.New(10 * time.Second),
				}
				tes.apply(lim, timeout)
				return lim
			}
			pip := newPipeline(t, func(wri http.ResponseWriter, req *http.Request) { fmt.Fprint(wri, req.URL.Path) })
			pip.servers.setLimits(limits(tes.before))
			_ = pip.con.Close() // it was opened under other limits
			pip.connect()
			pip.send("/0")
			pip.readAnswer()
			pip.write(tes.sent)
			time.Sleep(short / 3)
			pip.servers.setLimits(limits(tes.after))
			if tes.after < tes.before {
				pip.expectClosed(short/3, wait)
				return
			}
			time.Sleep(wait)
			pip.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"[len(tes.sent):])
			if _, got := pip.readAnswer(); got != "/1" {
				t.Errorf("got the answer %q", got)
			}
		})
	}
}

// TestTimeoutsSpareRequests guards against timeouts that end a request in progress, also one that the server had read before its turn.
func TestTimeoutsSpareRequests(t *testing.T) {
	const work = 400 * time.Millisecond
	pip := newPipeline(t, func(wri http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body) // an error shows in the answer
		select {
		case <-req.Context().Done():
		case <-time.After(work):
			fmt.Fprint(wri, req.URL.Path)
		}
	})
	pip.write("POST /0 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbodyPOST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	for num := range 3 {
		time.Sleep(work / 2)
		pip.servers.setLimits(&fpstate.Limits{
			HeaderTimeout: durationpb.New(work/4 + time.Duration(num)),
			IdleTimeout:   durationpb.New(work/4 + time.Duration(num)),
		})
		if _, got := pip.readAnswer(); got != fmt.Sprintf("/%d", num) {
			t.Errorf("got the answer %q, want /%d", got, num)
		}
	}
}

// TestEndlessHeadersAreRefused guards against headers that use memory without a bound, after the limit was lowered and raised.
func TestEndlessHeadersAreRefused(t *testing.T) {
	const callers, sent = 50, 4 << 20
	pip := newPipeline(t, func(http.ResponseWriter, *http.Request) {})
	var ends sync.WaitGroup
	for range callers {
		con, err := net.Dial("tcp", pip.con.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = con.Close() }) // the server has closed it
		ends.Go(func() {
			_ = con.SetDeadline(time.Now().Add(10 * time.Second)) // a header that is not refused fails below
			go func() {
				_, _ = io.WriteString(con, "GET / HTTP/1.1\r\nHost: a\r\nLong: ") // the missing answer fails the test
				_, _ = io.WriteString(con, strings.Repeat("x", sent))
			}()
			res, err := http.ReadResponse(bufio.NewReader(con), nil)
			if err != nil {
				t.Errorf("an endless header got no answer: %v", err)
				return
			}
			_ = res.Body.Close()
			if res.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
				t.Errorf("an endless header was answered %d", res.StatusCode)
			}
		})
		pip.servers.setLimits(headerLimit(smallHeader))
		pip.servers.setLimits(headerLimit(largeHeader))
	}
	ends.Wait()
	if got := pip.handledPaths(); len(got) > 0 {
		t.Errorf("the handler got %v", got)
	}
}

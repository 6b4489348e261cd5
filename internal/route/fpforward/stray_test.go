package fpforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpcut"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// strayUpstream is an upstream that, once the second request on a connection has arrived, sends stray before it answers that one.
type strayUpstream struct {
	// stray returns what is sent. first and second are the attempts of both requests.
	stray func(first, second string) string

	opened atomic.Int64 // connections
	runs   atomic.Int64
}

// start serves on a new listener and returns its address.
func (str *strayUpstream) start(t *testing.T) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			str.opened.Add(1)
			go str.serve(con)
		}
	}()
	return lis.Addr().String()
}

func (str *strayUpstream) serve(con net.Conn) {
	defer func() { _ = con.Close() }()
	red := bufio.NewReader(con)
	var first string
	for number := 0; ; number++ {
		req, err := http.ReadRequest(red)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		str.runs.Add(1)
		attempt := platform.DecodeRequest(req.Header).Attempt
		switch number {
		case 0:
			first = attempt
		case 1:
			// In parts, so that headers and bodies arrive in pieces, too.
			text := str.stray(first, attempt)
			for len(text) > 0 {
				part := max(min(len(text), 100), len(text)/10)
				_, _ = io.WriteString(con, text[:part])
				text = text[part:]
				time.Sleep(time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond) // the upstream is at work
		}
		_, _ = io.WriteString(con, wholeAnswer(attempt))
	}
}

// wholeAnswer returns an answer to an attempt, with the attempt in the body.
func wholeAnswer(attempt string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", signedLines(attempt), len(attempt), attempt)
}

// chunkedAnswer is wholeAnswer with a body in chunks.
func chunkedAnswer(attempt string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", signedLines(attempt), len(attempt), attempt)
}

// longAnswer is wholeAnswer with a body of some bytes.
func longAnswer(attempt string, size int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", signedLines(attempt), size, strings.Repeat("x", size))
}

// TestStrayAnswersEndNoRequest guards against a caller that gets an error of the router's own while its upstream is at work, because the
// upstream has sent the answer to an earlier request on the connection once more; and against a caller that gets an answer which isn't
// that to its request.
func TestStrayAnswersEndNoRequest(t *testing.T) {
	for name, test := range map[string]struct {
		stray func(first, second string) string
		// skipped states that the request has to be answered.
		skipped bool
	}{
		"length":  {stray: func(first, _ string) string { return wholeAnswer(first) }, skipped: true},
		"chunks":  {stray: func(first, _ string) string { return chunkedAnswer(first) }, skipped: true},
		"no body": {stray: func(first, _ string) string { return "HTTP/1.1 204 No\r\n" + signedLines(first) + "\r\n" }, skipped: true},
		"refusal": {stray: func(first, _ string) string { return refusal(http.StatusServiceUnavailable, first) }, skipped: true},
		"twice":   {stray: func(first, _ string) string { return wholeAnswer(first) + chunkedAnswer(first) }, skipped: true},
		"real one in the body": {
			stray: func(first, second string) string {
				body := wholeAnswer(second)
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", signedLines(first), len(body), body)
			},
			skipped: true,
		},
		"many":            {stray: func(first, _ string) string { return strings.Repeat(wholeAnswer(first), 20) }},
		"unknown":         {stray: func(string, string) string { return wholeAnswer("other") }},
		"unnamed":         {stray: func(string, string) string { return refusal(http.StatusServiceUnavailable, "") }},
		"cut":             {stray: func(first, _ string) string { return wholeAnswer(first)[:len(wholeAnswer(first))-5] }},
		"cut in chunks":   {stray: func(first, _ string) string { return chunkedAnswer(first)[:len(chunkedAnswer(first))-5] }},
		"long":            {stray: func(first, _ string) string { return longAnswer(first, 300<<10) }, skipped: true},
		"too long":        {stray: func(first, _ string) string { return longAnswer(first, 2<<20) }},
		"until the close": {stray: func(first, _ string) string { return "HTTP/1.1 200 OK\r\n" + signedLines(first) + "\r\n" }},
		"last": {stray: func(first, _ string) string {
			return strings.Replace(wholeAnswer(first), "\r\n", "\r\nConnection: close\r\n", 1)
		}},
		"bytes after it": {stray: func(first, _ string) string { return wholeAnswer(first) + "abc\r\n" }},
	} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %t", name, relayed), func(t *testing.T) {
				t.Parallel()
				str := &strayUpstream{
					stray: test.stray,
				}
				par := newRelayPair(t)
				address := str.start(t)
				par.announce("stray", address)
				par.helper.announce("stray", address)
				if relayed {
					par.paths.Cut(fpcut.Refused, nil)
				}
				for _, attempt := range []string{"first", "second", "third"} {
					got := par.call("/once/1", platform.Request{
						Attempt: attempt,
					})
					if got.status == http.StatusOK && got.body != attempt {
						t.Errorf("%s got the answer %q", attempt, got.body)
					}
					if got.status != http.StatusOK && (test.skipped || attempt != "second") {
						t.Errorf("%s got status %d", attempt, got.status)
					}
				}
				if runs := str.runs.Load(); runs != 3 {
					t.Errorf("%d runs of three requests", runs)
				}
				// A connection with a stray answer is not used again.
				if opened := str.opened.Load(); opened != 2 {
					t.Errorf("%d connections were opened, want 2", opened)
				}
			})
		}
	}
}

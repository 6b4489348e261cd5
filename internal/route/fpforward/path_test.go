package fpforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/platform"
)

// TestTargetIsForwardedUnchanged guards against a request that reaches its upstream with another path or query than the caller sent,
// because they were parsed and written again.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	har := newHarness(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	targets := make(chan string, 16)
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = con.Close() }()
				line, err := bufio.NewReader(con).ReadString('\n')
				if err != nil {
					return
				}
				targets <- strings.Fields(line)[1]
				_, _ = io.WriteString(con, "HTTP/1.1 503 Full\r\n"+platform.AnswerLines(platform.Answer{
					NotRun: true,
				})+"Content-Length: 0\r\nConnection: close\r\n\r\n")
			}()
		}
	}()
	har.announce("raw", lis.Addr().String())
	for _, target := range []string{
		"/safe/a", "/safe/a?b=c", "/safe/a?", "/safe/%7c%2F", "/safe/a|b", "/safe/\"^`{}\\", "/safe/\x80\xff", "/safe/a|b?q=|&%7c", "/safe/a#b", "/safe//b|", "/safe/../|",
	} {
		con, err := net.Dial("tcp", strings.TrimPrefix(har.server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		lines := platform.RequestLines(platform.Request{
			Attempt: fmt.Sprintf("%x", target),
			Timeout: time.Second,
		})
		if _, err := fmt.Fprintf(con, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\n%sConnection: close\r\n\r\n", target, lines); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(bufio.NewReader(con), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		_ = con.Close()
		select {
		case got := <-targets:
			if got != target {
				t.Errorf("the upstream got %q, want %q", got, target)
			}
		default:
			t.Errorf("%q did not reach the upstream; the caller got status %d", target, res.StatusCode)
		}
		for len(targets) > 0 {
			<-targets
		}
	}
}

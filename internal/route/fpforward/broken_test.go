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

// TestBrokenAnswersAreNotComplete guards against an answer that breaks off halfway and reaches its caller as a complete one:
// for each way to delimit the body and for callers of HTTP/1.0 and 1.1. The answers are longer than what is buffered, so their
// start has been sent to the caller before they break off.
func TestBrokenAnswersAreNotComplete(t *testing.T) {
	const sent = 3 << 20
	for name, length := range map[string]string{
		"length":          fmt.Sprintf("Content-Length: %d\r\n", 2*sent),
		"chunks":          "Transfer-Encoding: chunked\r\n",
		"until the close": "",
	} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+" "+version, func(t *testing.T) {
				har := newHarness(t)
				har.addBreakingUpstream(length, sent)
				con, err := net.Dial("tcp", har.server.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = con.Close() }()
				_ = con.SetReadDeadline(time.Now().Add(3 * time.Second)) // an answer that does not end fails below
				fmt.Fprintf(con, "GET /safe/1 HTTP/%s\r\nHost: 127.0.0.1\r\n%s\r\n", version, platform.RequestLines(platform.Request{
					Attempt: "a",
					Timeout: 2 * time.Second,
				}))
				res, err := http.ReadResponse(bufio.NewReader(con), nil)
				if err != nil {
					return // the caller sees that the answer is broken
				}
				size, err := io.Copy(io.Discard, res.Body)
				if err == nil && res.StatusCode == http.StatusOK {
					t.Errorf("the caller got %d bytes of a truncated answer as a complete one", size)
				}
			})
		}
	}
}

// addBreakingUpstream adds an upstream that resets the connection after sent bytes of a body. length is the header line that
// delimits the body, or empty.
func (har *harness) addBreakingUpstream(length string, sent int) {
	har.addRawUpstream("breaking", func(con net.Conn, attempt string) {
		body := strings.Repeat("x", sent)
		if strings.HasPrefix(length, "Transfer") {
			body = fmt.Sprintf("%x\r\n%s\r\n", sent, body)
		}
		if _, err := io.WriteString(con, "HTTP/1.1 200 OK\r\n"+signedLines(attempt)+length+"\r\n"+body); err != nil {
			return
		}
		time.Sleep(200 * time.Millisecond) // the bytes arrive before the reset drops them
		_ = con.(*net.TCPConn).SetLinger(0)
	})
}

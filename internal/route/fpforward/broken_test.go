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

// TestBrokenOffAnswers guards against an answer that breaks off halfway and reaches its caller as a complete one, whatever its length is
// told by, for callers of both versions. The answers are longer than what is kept, so that their start has been passed on.
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
				_ = con.SetReadDeadline(time.Now().Add(3 * time.Second)) // an answer without end fails below
				fmt.Fprintf(con, "GET /safe/1 HTTP/%s\r\nHost: 127.0.0.1\r\n%s\r\n", version, platform.RequestLines(platform.Request{
					Attempt: "a",
					Wait:    2 * time.Second,
				}))
				res, err := http.ReadResponse(bufio.NewReader(con), nil)
				if err != nil {
					return // it is visibly broken
				}
				size, err := io.Copy(io.Discard, res.Body)
				if err == nil && res.StatusCode == http.StatusOK {
					t.Errorf("the caller took %d bytes for a complete answer", size)
				}
			})
		}
	}
}

// breaking adds an upstream that breaks off its answers with a reset after a number of bytes.
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

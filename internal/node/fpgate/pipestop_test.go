package fpgate

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

// TestStopAnswersBegunPipelinedRequests guards against pipelined requests at which an upstream is at work when the stop begins, and which
// the VM answers itself, or whose connection it closes before their answers are written: with answers after the time at which idle
// connections are closed, behind one that doesn't come, and to a caller that reads late.
func TestStopAnswersBegunPipelinedRequests(t *testing.T) {
	for name, test := range map[string]struct {
		work, read time.Duration
		// attempts are requested on one connection; those that begin with "once" may run once, and "silent" ones get no answer.
		attempts []string
	}{
		"late answers":       {work: 3800 * time.Millisecond, attempts: []string{"a", "b", "c", "d"}},
		"behind once":        {work: 3800 * time.Millisecond, attempts: []string{"once", "b", "c"}},
		"behind silence":     {work: time.Second, attempts: []string{"silent", "b", "c"}},
		"late reader":        {work: time.Second, read: 4500 * time.Millisecond, attempts: []string{"a", "b", "c"}},
		"more than may wait": {work: 600 * time.Millisecond, attempts: strings.Fields("a b c d e f g h i")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stp := newStoppingVM(t, test.work)
			con, err := net.Dial("tcp", stp.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = con.Close() }()
			for _, attempt := range test.attempts {
				path := "/safe/"
				if attempt == "once" {
					path = "/once/"
				}
				fmt.Fprintf(con, "GET %s HTTP/1.1\r\nHost: a\r\n%s\r\n", path, platform.RequestLines(platform.Request{
					Attempt: attempt,
				}))
			}
			time.Sleep(300 * time.Millisecond)
			stp.stop()
			time.Sleep(test.read)
			red := bufio.NewReader(con)
			for num, attempt := range test.attempts {
				res, err := http.ReadResponse(red, nil)
				if err != nil {
					t.Fatalf("%s: %v, %v after the stop signal", attempt, err, time.Since(stp.began))
				}
				body, err := io.ReadAll(res.Body)
				want := http.StatusOK
				if attempt == "silent" {
					want = http.StatusGatewayTimeout
				}
				if err != nil || res.StatusCode != want || res.Close != (num == len(test.attempts)-1) {
					t.Errorf("%s: status %d, close %t, %.30q, error %v, %v after the stop signal", attempt, res.StatusCode, res.Close, body, err, time.Since(stp.began))
				}
			}
			if runs := len(stp.upstream.Runs()); runs != len(test.attempts) {
				t.Errorf("%d runs of %d requests", runs, len(test.attempts))
			}
			stp.awaitEnd()
		})
	}
}

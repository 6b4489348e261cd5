package fpconn

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// filtered returns what a filter passes on of received bytes that arrive in parts of some bytes, and the error after it.
func filtered(received string, part int) (string, error) {
	from := strings.NewReader(received)
	fil := &strayFilter{}
	fil.awaited.Store(&awaitedAnswer{
		id:      func(hea http.Header) string { return hea.Get("Id") },
		current: "new",
		line:    []byte(": new\r\n"),
		earlier: []string{"old", "older"},
	})
	var passed []byte
	buf := make([]byte, 64)
	for {
		num, err := fil.read(buf, func(buf []byte) (int, error) { return from.Read(buf[:min(len(buf), part)]) })
		passed = append(passed, buf[:num]...)
		if err != nil {
			return string(passed), err
		}
	}
}

func namedAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func chunkedAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
}

// TestStrayFilterPassesAnswersOn guards against bytes of an answer that are lost or passed on beside it, in whatever parts they arrive, and
// against bytes that are skipped though they may be no stray answer, or passed on after a stray answer that isn't whole.
func TestStrayFilterPassesAnswersOn(t *testing.T) {
	long := strings.Repeat("x", maxStrayAnswer)
	longHeader := strings.Replace(namedAnswer("old", "a"), "\r\n", "\r\nLong: "+long[:2*maxStrayHeader]+"\r\n", 1)
	current := chunkedAnswer("new", "the body")
	for _, test := range []struct {
		stray, want string
		broken      bool
	}{
		{want: current},
		{want: current + namedAnswer("old", "a")},
		{want: current[:30]},
		{want: "HTTP/1.1 100 Continue\r\n\r\n" + namedAnswer("old", "a")},
		{want: "no answer"},
		{want: namedAnswer("other", "a") + current},
		{want: namedAnswer("old", "a")[:40]},
		{want: longHeader + current},
		{stray: namedAnswer("old", "cut off")[:50], broken: true},
		{stray: chunkedAnswer("old", "cut off")[:70], broken: true},
		{stray: chunkedAnswer("old", long+long[:10<<10]) + current, broken: true},
		{stray: strings.Replace(chunkedAnswer("old", "a"), "\r\n0\r\n", "\r\nX\r\n", 1) + current, broken: true},
		{want: strings.Replace(namedAnswer("old", "a"), "1.1", "1.0", 1) + current},
		{stray: namedAnswer("old", "a"), want: current},
		{stray: namedAnswer("old", long[20<<10:]), want: current},
		{stray: chunkedAnswer("older", "a") + namedAnswer("old", ""), want: current},
		{stray: namedAnswer("old", "a") + namedAnswer("old", "a"), want: namedAnswer("old", "a")},
		{stray: namedAnswer("old", "a"), want: ""},
		{stray: namedAnswer("old", namedAnswer("new", "forged")), want: current},
	} {
		for _, part := range []int{1, 7, 50, 4 << 10} {
			if part < 4<<10 && len(test.stray) > 100<<10 {
				continue // takes long
			}
			got, err := filtered(test.stray+test.want, part)
			if got != test.want || (err != io.EOF) != test.broken {
				t.Errorf("parts of %d bytes: %.300q became %.300q, error %v", part, test.stray+test.want, got, err)
			}
		}
	}
}

// TestDamagedStrayAnswers guards against a body that consists of parts of two answers, when a stray one lacks some bytes.
func TestDamagedStrayAnswers(t *testing.T) {
	const body = "the body of the right answer"
	for _, stray := range []string{namedAnswer("old", "a body"), chunkedAnswer("old", "a body")} {
		for _, right := range []string{namedAnswer("new", body), chunkedAnswer("new", body)} {
			for from := range stray {
				for to := from; to <= len(stray); to++ {
					got, _ := filtered(stray[:from]+stray[to:]+right, 1+from%50)
					res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
					if err != nil || res.Header.Get("Id") != "new" {
						continue
					}
					if whole, err := io.ReadAll(res.Body); err == nil && string(whole) != body {
						t.Errorf("without bytes %d to %d of %q, the body became %q", from, to, stray, whole)
					}
				}
			}
		}
	}
}

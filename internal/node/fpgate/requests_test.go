package fpgate

import (
	"strings"
	"testing"
	"time"
)

// TestNextPipelined guards against a request that is begun before its turn and that the server then rejects or reads
// differently. Only requests with complete headers and without a body, after requests without a body, may be begun.
func TestNextPipelined(t *testing.T) {
	const plainGet = "GET /%s HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\n"
	get := func(name string) string { return strings.Replace(plainGet, "%s", name, 1) }
	for name, test := range map[string]struct {
		next string
		want string
	}{
		"two":                    {next: get("2") + get("3"), want: "/2 /3"},
		"half a header":          {next: get("2") + "GET /3 HTTP/1.1\r\nHost", want: "/2"},
		"bare newlines":          {next: "GET /2 HTTP/1.1\nHost: a\n\n" + get("3"), want: "/2 /3"},
		"a body":                 {next: "GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 38\r\n\r\n" + get("smuggled"), want: ""},
		"a body in chunks":       {next: "GET /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + get("smuggled"), want: ""},
		"an empty length":        {next: "GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n" + get("3"), want: ""},
		"another method":         {next: "POST /2 HTTP/1.1\r\nHost: a\r\n\r\n" + get("3"), want: ""},
		"Connection: close":      {next: get("2") + "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("4"), want: "/2"},
		"HTTP/1.0":               {next: "GET /2 HTTP/1.0\r\nHost: a\r\n\r\n" + get("3"), want: ""},
		"no host":                {next: "GET /2 HTTP/1.1\r\n\r\n" + get("3"), want: ""},
		"an invalid header":      {next: "GET /2 HTTP/1.1\r\nHost: a\r\nX y: z\r\n\r\n" + get("3"), want: ""},
		"not HTTP":               {next: "\x16\x03\x01" + get("3"), want: ""},
		"another protocol":       {next: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", want: ""},
		"an expectation":         {next: "GET /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n", want: ""},
		"a header without value": {next: "GET /2 HTTP/1.1\r\nHost: a\r\nX:\r\n\r\n", want: "/2"},
	} {
		t.Run(name, func(t *testing.T) {
			var rqb requestBuffer
			rqb.add([]byte(get("1")), time.Now())
			server := make([]byte, 4096)
			if num := rqb.deliver(server); string(server[:num]) != get("1") {
				t.Fatalf("the server read %q, want the first request", server[:num])
			}
			rqb.advance(time.Now(), false)
			rqb.add([]byte(test.next), time.Now())
			var paths []string
			for {
				req, _ := rqb.nextPipelined(defaultMaxHeaderBytes)
				if req == nil {
					break
				}
				paths = append(paths, req.URL.Path)
			}
			if got := strings.Join(paths, " "); got != test.want {
				t.Errorf("got pipelined requests %q, want %q", got, test.want)
			}
		})
	}
}

// TestBodyIsNoPipelinedRequest guards against bytes of a body that are taken for a request.
func TestBodyIsNoPipelinedRequest(t *testing.T) {
	var rqb requestBuffer
	rqb.add([]byte("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"), time.Now())
	server := make([]byte, 4096)
	rqb.deliver(server)
	rqb.advance(time.Now(), true)
	if req, _ := rqb.nextPipelined(defaultMaxHeaderBytes); req != nil {
		t.Errorf("%s was begun from the bytes of a body", req.URL)
	}
	rest := ""
	for rqb.undelivered() > 0 {
		rest += string(server[:rqb.deliver(server)])
	}
	if rest != "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n" {
		t.Errorf("the server read the body %q", rest)
	}
}

// TestHeaderScanner guards against finding the end of a header at another offset than net/http does, however the bytes are
// split into reads.
func TestHeaderScanner(t *testing.T) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nnext",
		"GET / HTTP/1.1\nHost: a\n\nnext",
		"GET / HTTP/1.1\r\nHost: a\n\r\nnext",
		"GET / HTTP/1.1\r\nHost: a\r\n\nnext",
		"GET / HTTP/1.1\r\nA: \r\nHost: a\r\n\r\nnext",
	} {
		for size := 1; size <= len(text); size++ {
			var hsc headerScanner
			got := 0
			for pos := 0; pos < len(text); pos += size {
				if end := hsc.findEnd([]byte(text[pos:min(len(text), pos+size)])); end > 0 {
					got = pos + end
					break
				}
			}
			if want := strings.Index(text, "next"); got != want {
				t.Errorf("reads of %d bytes: the header of %q ends at %d, want %d", size, text, got, want)
			}
		}
	}
}

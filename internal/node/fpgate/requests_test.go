package fpgate

import (
	"strings"
	"testing"
	"time"
)

// TestRequestsAhead guards against a request that is begun before its turn though the server would not take it as it was begun:
// only whole headers without a body, behind requests without one, count.
func TestRequestsAhead(t *testing.T) {
	const plainGet = "GET /%s HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\n"
	get := func(name string) string { return strings.Replace(plainGet, "%s", name, 1) }
	for name, test := range map[string]struct {
		behind string
		want   string
	}{
		"two":                    {behind: get("2") + get("3"), want: "/2 /3"},
		"half a header":          {behind: get("2") + "GET /3 HTTP/1.1\r\nHost", want: "/2"},
		"bare newlines":          {behind: "GET /2 HTTP/1.1\nHost: a\n\n" + get("3"), want: "/2 /3"},
		"a body":                 {behind: "GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 38\r\n\r\n" + get("smuggled"), want: ""},
		"a body in chunks":       {behind: "GET /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + get("smuggled"), want: ""},
		"an empty length":        {behind: "GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n" + get("3"), want: ""},
		"another method":         {behind: "POST /2 HTTP/1.1\r\nHost: a\r\n\r\n" + get("3"), want: ""},
		"the end is asked for":   {behind: get("2") + "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("4"), want: "/2"},
		"an old version":         {behind: "GET /2 HTTP/1.0\r\nHost: a\r\n\r\n" + get("3"), want: ""},
		"no host":                {behind: "GET /2 HTTP/1.1\r\n\r\n" + get("3"), want: ""},
		"a wrong header":         {behind: "GET /2 HTTP/1.1\r\nHost: a\r\nX y: z\r\n\r\n" + get("3"), want: ""},
		"something else":         {behind: "\x16\x03\x01" + get("3"), want: ""},
		"another protocol":       {behind: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", want: ""},
		"an expectation":         {behind: "GET /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n", want: ""},
		"a header without value": {behind: "GET /2 HTTP/1.1\r\nHost: a\r\nX:\r\n\r\n", want: "/2"},
	} {
		t.Run(name, func(t *testing.T) {
			var rqs requests
			rqs.add([]byte(get("1")), time.Now())
			server := make([]byte, 4096)
			if num := rqs.give(server); string(server[:num]) != get("1") {
				t.Fatalf("the server got %q", server[:num])
			}
			rqs.begin(time.Now(), false)
			rqs.add([]byte(test.behind), time.Now())
			var paths []string
			for {
				req, _ := rqs.next()
				if req == nil {
					break
				}
				paths = append(paths, req.URL.Path)
			}
			if got := strings.Join(paths, " "); got != test.want {
				t.Errorf("%q were begun, want %q", got, test.want)
			}
		})
	}
}

// TestRequestBehindABody guards against bytes of a body that are taken for a request.
func TestRequestBehindABody(t *testing.T) {
	var rqs requests
	rqs.add([]byte("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"), time.Now())
	server := make([]byte, 4096)
	rqs.give(server)
	rqs.begin(time.Now(), true)
	if req, _ := rqs.next(); req != nil {
		t.Errorf("%s was begun from the bytes of a body", req.URL)
	}
	rest := ""
	for rqs.waiting() > 0 {
		rest += string(server[:rqs.give(server)])
	}
	if rest != "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n" {
		t.Errorf("the server got the body %q", rest)
	}
}

// TestHeaderEnds guards against an end of a header that is found at another place than by the library's reader, whatever pieces
// it comes in.
func TestHeaderEnds(t *testing.T) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nnext",
		"GET / HTTP/1.1\nHost: a\n\nnext",
		"GET / HTTP/1.1\r\nHost: a\n\r\nnext",
		"GET / HTTP/1.1\r\nHost: a\r\n\nnext",
		"GET / HTTP/1.1\r\nA: \r\nHost: a\r\n\r\nnext",
	} {
		for size := 1; size <= len(text); size++ {
			var hsc headerScan
			got := 0
			for pos := 0; pos < len(text); pos += size {
				if end := hsc.end([]byte(text[pos:min(len(text), pos+size)])); end > 0 {
					got = pos + end
					break
				}
			}
			if want := strings.Index(text, "next"); got != want {
				t.Errorf("in pieces of %d bytes: the header of %q ends at %d, want %d", size, text, got, want)
			}
		}
	}
}

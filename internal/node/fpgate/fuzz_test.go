package fpgate

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
	"time"
)

// FuzzRequestsAhead guards against a request that is begun early from other bytes than those from which the server reads it: a header
// without a body ends for both at the same place, and both see the same request.
func FuzzRequestsAhead(fuz *testing.F) {
	for _, seed := range []string{
		"GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /1 HTTP/1.1\nHost: a\n\nGET /2 HTTP/1.1\nHost: a\n\n",
		"GET /1 HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhelloGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"\r\n\r\nGET /1 HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: a\r\n\r\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
	} {
		fuz.Add([]byte(seed))
	}
	fuz.Fuzz(func(t *testing.T, all []byte) {
		var rqs requests
		rqs.add(all, time.Now())
		red := bufio.NewReader(bytes.NewReader(all))
		for {
			early, _ := rqs.next()
			if early == nil {
				return
			}
			req, err := http.ReadRequest(red)
			if err != nil {
				t.Fatalf("%q was begun, the library reads no request: %v", early.RequestURI, err)
			}
			if req.RequestURI != early.RequestURI || req.Host != early.Host || len(req.Header) != len(early.Header) || req.ContentLength != 0 {
				t.Fatalf("%q of %q was begun, the library reads %q of %q", early.RequestURI, early.Host, req.RequestURI, req.Host)
			}
		}
	})
}

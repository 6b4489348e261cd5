package fpgate

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
	"time"
)

// FuzzNextPipelined guards against request smuggling: a request that is begun early must be the same as the one that
// net/http reads from these bytes, and both must find the end of its header at the same offset.
func FuzzNextPipelined(fuz *testing.F) {
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
		var rqb requestBuffer
		rqb.add(all, time.Now())
		red := bufio.NewReader(bytes.NewReader(all))
		for {
			got, _ := rqb.nextPipelined(defaultMaxHeaderBytes)
			if got == nil {
				return
			}
			req, err := http.ReadRequest(red)
			if err != nil {
				t.Fatalf("%q was begun, but net/http reads no request: %v", got.RequestURI, err)
			}
			if req.RequestURI != got.RequestURI || req.Host != got.Host || len(req.Header) != len(got.Header) || req.ContentLength != 0 {
				t.Fatalf("%q of host %q was begun, but net/http reads %q of host %q", got.RequestURI, got.Host, req.RequestURI, req.Host)
			}
		}
	})
}

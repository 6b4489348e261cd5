package fpforward

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// echoHandler is an upstream that reports the method, path, query, a header and a digest of the body that it received in the
// header Seen, and answers with a body of size bytes.
func echoHandler(size int) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		sum := sha256.New()
		num, err := io.Copy(sum, req.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		platform.EncodeAnswer(wri.Header(), platform.Answer{
			Attempt: platform.DecodeRequest(req.Header).Attempt,
			Signed:  true,
		})
		wri.Header().Set("Seen", fmt.Sprintf("%s %s %d %x %s", req.Method, req.RequestURI, num, sum.Sum(nil)[:4], req.Header.Get("Custom")))
		_, _ = wri.Write(bytes.Repeat([]byte("x"), size)) // the caller reads it to its end
	})
}

// TestBodiesUnchanged guards against a request or an answer that is changed on its way: with bodies shorter and longer than
// what is buffered, with a length or in chunks, and with escaped characters in the path.
func TestBodiesUnchanged(t *testing.T) {
	har := newHarness(t)
	srv := httptest.NewServer(echoHandler(3 << 20))
	t.Cleanup(srv.Close)
	har.update(&fpstate.State{
		Upstreams: []*fpstate.Upstream{{
			Id:          "echo",
			Born:        1,
			Service:     "work",
			Address:     srv.Listener.Addr().String(),
			DataCentre:  "east-1",
			Concurrency: 4,
		}},
	})
	for _, size := range []int{0, 10, maxBufferedBody, maxBufferedBody + 1, 1 << 20} {
		for _, chunked := range []bool{false, true} {
			body := bytes.Repeat([]byte("b"), size)
			var from io.Reader = bytes.NewReader(body)
			if chunked {
				from = io.MultiReader(from)
			}
			const path = "/once/a%2Fb/c%20d?q=1;2&r=%3D"
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, har.server.URL+path, from)
			if err != nil {
				t.Fatal(err)
			}
			platform.EncodeRequest(req.Header, platform.Request{
				Attempt: fmt.Sprintf("body-%d-%t", size, chunked),
				Timeout: 10 * time.Second,
			})
			req.Header.Set("Custom", "value")
			req.Header.Set("Connection", "Custom-Hop")
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(res.Body)
			_ = res.Body.Close() // it has been read to its end
			sum := sha256.Sum256(body)
			want := fmt.Sprintf("PUT %s %d %x value", path, size, sum[:4])
			if seen := res.Header.Get("Seen"); err != nil || seen != want || len(got) != 3<<20 {
				t.Errorf("body of %d bytes, chunked %t: the upstream saw %q, want %q; the answer has %d bytes, error %v", size, chunked, seen, want, len(got), err)
			}
		}
	}
}

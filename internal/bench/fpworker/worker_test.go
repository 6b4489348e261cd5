package fpworker

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// TestLateGrantIsRefused guards against a grant that takes effect after the keys were released and given to another worker under a newer
// fence.
func TestLateGrantIsRefused(t *testing.T) {
	wor := New(Config{
		Upstream: &fpstate.Upstream{
			Id: "w",
		},
		Keyed: true,
	})
	order := func(path, body string) int {
		rec := httptest.NewRecorder()
		wor.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return rec.Code
	}
	for _, one := range []struct {
		path, body string
		want       int
	}{
		{path: "/grant", body: `{"from":0,"target":99,"fence":2,"hold_time":"4s"}`, want: http.StatusOK},
		{path: "/grant", body: `{"from":0,"target":99,"fence":5,"hold_time":"4s"}`, want: http.StatusOK},
		{path: "/release", body: `{"from":0,"target":99,"fence":5}`, want: http.StatusOK},
		{path: "/grant", body: `{"from":50,"target":99,"fence":2,"hold_time":"4s"}`, want: http.StatusConflict},
		{path: "/grant", body: `{"from":50,"target":150,"fence":6,"hold_time":"4s"}`, want: http.StatusOK},
		{path: "/grant", body: `{"from":100,"target":120,"fence":4,"hold_time":"4s"}`, want: http.StatusConflict},
		{path: "/grant", body: `{"from":200,"target":300,"fence":1,"hold_time":"4s"}`, want: http.StatusOK},
	} {
		if got := order(one.path, one.body); got != one.want {
			t.Errorf("%s %s: status %d, want %d", one.path, one.body, got, one.want)
		}
	}
}

package fpserve

import (
	"net/http"
	"testing"
	"time"
)

// TestPushBackIsBounded guards against an upstream that gets no requests for ever, or too early, because of a pause that it asks for
// with a value without meaning, a fraction, or a huge number.
func TestPushBackIsBounded(t *testing.T) {
	for _, one := range []struct {
		header http.Header
		want   time.Duration
		valid  bool
	}{
		{header: http.Header{}, want: 0, valid: true},
		{header: http.Header{"Retry-After": {"3"}}, want: 3 * time.Second, valid: true},
		{header: http.Header{"Retry-After": {"0.25"}}, want: 250 * time.Millisecond, valid: true},
		{header: http.Header{"Grpc-Retry-Pushback-Ms": {"1500"}}, want: 1500 * time.Millisecond, valid: true},
		{header: http.Header{"Retry-After": {"1", "2"}}, want: 2 * time.Second, valid: true},
		{header: http.Header{"Retry-After": {"2000000000"}}, want: maxPushBack, valid: true},
		{header: http.Header{"Retry-After": {"-1"}}, want: 0, valid: false},
		{header: http.Header{"Retry-After": {"NaN"}}, want: 0, valid: false},
		{header: http.Header{"Retry-After": {""}}, want: 0, valid: false},
		{header: http.Header{"Retry-After": {"Fri, 04 Dec 2026 18:00:00 GMT"}}, want: 0, valid: false},
	} {
		if got, valid := pushBackOf(one.header); got != one.want || valid != one.valid {
			t.Errorf("%v: got %v, valid %t, want %v, %t", one.header, got, valid, one.want, one.valid)
		}
	}
}

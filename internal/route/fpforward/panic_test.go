package fpforward

import (
	"net/http"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/platform"
)

// TestPanicEndsOneRequest guards against a panic in one request that ends the process or leaves the caller without an answer.
// It covers requests in their turn and pipelined requests that are begun early.
func TestPanicEndsOneRequest(t *testing.T) {
	har := newHarness(t)
	har.addWorker("work", nil)
	// A nil member makes each request to it panic.
	broken := *har.forward.view.Load()
	sound := har.forward.view.Load()
	broken.services = map[string][]*member{
		"work": {nil},
	}
	har.forward.view.Store(&broken)
	if got := har.call("/safe/1", platform.Request{}); got.status != http.StatusBadGateway {
		t.Errorf("got status %d, error %v, want %d", got.status, got.err, http.StatusBadGateway)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://127.0.0.1/safe/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	pip := har.forward.BeginPipelined(t.Context(), req, time.Now())
	if pip == nil {
		t.Fatal("the request was not begun")
	}
	<-pip.done
	if pip.failure == nil {
		t.Error("a request that was begun early has no failure")
	}
	pip.Cancel()
	har.forward.view.Store(sound)
	if got := har.call("/safe/1", platform.Request{}); got.status != http.StatusOK {
		t.Errorf("the next request: got status %d, error %v", got.status, got.err)
	}
}

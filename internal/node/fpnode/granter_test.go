package fpnode

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
)

// TestEndlessAnswersToGrantsAreBounded guards against an answer to a grant without end that uses up the memory of a VM.
func TestEndlessAnswersToGrantsAreBounded(t *testing.T) {
	const (
		timeout = time.Second
		// maxSent keeps the test from using up the memory of its own machine.
		maxSent   = 512 << 20
		maxGrowth = 64 << 20
	)
	var sent atomic.Int64
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		wri.Header().Set("Content-Type", "application/proto")
		for piece := strings.Repeat("x", 1<<16); req.Context().Err() == nil && sent.Add(int64(len(piece))) < maxSent; {
			if _, err := wri.Write([]byte(piece)); err != nil {
				return
			}
		}
		<-req.Context().Done()
	}))
	srv.Config.Protocols = &http.Protocols{}
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	defer srv.Close()
	gra := &granter{
		client:  newUpstreamClient(fpsettings.Timings{}),
		clients: newUpstreamServiceClients(),
	}
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, err := gra.sendDirect(ctx, strings.TrimPrefix(srv.URL, "http://"), &fpcontract.GrantRequest{})
		failed <- err
	}()
	peak := uint64(0)
	for {
		select {
		case err := <-failed:
			if err == nil {
				t.Error("an endless answer counts as complete")
			}
			if growth := peak - min(peak, before.HeapInuse); growth > maxGrowth {
				t.Errorf("the heap grew by %d MiB after %d MiB were sent, want at most %d", growth>>20, sent.Load()>>20, maxGrowth>>20)
			}
			return
		case <-time.After(10 * time.Millisecond):
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapInuse)
		}
	}
}

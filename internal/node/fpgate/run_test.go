package fpgate

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
)

// TestHangupWhileStopping guards against a process that is ended at once, with its requests in flight, by a change of its settings
// while it stops. Without the rule the signal ends the process of the test.
func TestHangupWhileStopping(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ended := reload(ctx, hangup, path, zap.NewNop(), func(*fpgateway.Settings) {})
	cancel()
	<-ended
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // the signal arrives
}

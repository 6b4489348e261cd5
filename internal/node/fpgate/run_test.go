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

// TestHangupWhileStopping guards against a SIGHUP that kills the process, with requests in flight, after the settings are no
// longer watched. Without the rule under test the signal kills the test process.
func TestHangupWhileStopping(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ended := watchSettings(ctx, hangup, path, zap.NewNop(), func(*fpgateway.Settings) {})
	cancel()
	<-ended
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // the signal arrives
}

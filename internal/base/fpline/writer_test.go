package fpline

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	buf     bytes.Buffer
}

func (blw *blockedWriter) Write(buf []byte) (int, error) {
	<-blw.release
	return blw.buf.Write(buf)
}

// TestWriteDoesNotBlock guards against blocking in Write while the output is blocked, and against dropped lines that are not
// counted.
func TestWriteDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{
			release: make(chan struct{}),
		}
		wri := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		done := wri.Run(ctx)
		const lines = 3 * bufferedLines
		for range lines {
			if _, err := wri.Write([]byte("a line\n")); err != nil {
				t.Fatal(err)
			}
		}
		dropped := wri.Dropped()
		if dropped < lines-2*bufferedLines {
			t.Errorf("%d lines were dropped, want at least %d", dropped, lines-2*bufferedLines)
		}
		close(out.release)
		cancel()
		<-done
		if got := strings.Count(out.buf.String(), "\n"); got+int(dropped) != lines {
			t.Errorf("%d lines were written and %d dropped, want %d together", got, dropped, lines)
		}
	})
}

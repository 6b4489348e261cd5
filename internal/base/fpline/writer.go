// Package fpline provides an asynchronous writer of log lines, which never blocks the goroutines that log.
package fpline

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fpring"
)

const (
	// bufferedLines is the maximum number of lines in the buffer.
	bufferedLines = 2048
	// writeInterval is the time for which lines are collected before they are written together.
	writeInterval = 100 * time.Millisecond
	// maxWrite is the size in bytes at which a write begins although more lines are buffered.
	maxWrite = 64 << 10
)

// Writer passes lines to another writer through a bounded buffer. It drops and counts the lines that do not fit into the buffer.
// Use New to create one.
type Writer struct {
	out     io.Writer
	lines   *fpring.Ring[[]byte]
	dropped atomic.Int64
}

// New returns a writer that writes to out while Run runs.
func New(out io.Writer) *Writer {
	return &Writer{
		out:   out,
		lines: fpring.New[[]byte](bufferedLines),
	}
}

// Write adds one line, including its newline, to the buffer. It never blocks and never returns an error.
func (wri *Writer) Write(line []byte) (int, error) {
	if !wri.lines.Offer(append([]byte(nil), line...)) {
		wri.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing. Run writes all buffered lines before it ends.
func (wri *Writer) Sync() error { return nil }

// Dropped returns the number of lines that were dropped because the buffer was full.
func (wri *Writer) Dropped() int64 { return wri.dropped.Load() }

// Run starts to write lines and returns at once. When ctx ends it writes the lines that are still buffered and closes done.
func (wri *Writer) Run(ctx context.Context) (done <-chan struct{}) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-ctx.Done():
				wri.flush(nil)
				return
			case line := <-wri.lines.Items():
				timer := time.NewTimer(writeInterval)
				select {
				case <-timer.C:
				case <-ctx.Done():
				}
				timer.Stop()
				wri.flush(line)
			}
		}
	}()
	return ended
}

// flush writes the line buf, if any, and all buffered lines.
func (wri *Writer) flush(buf []byte) {
	for {
		select {
		case line := <-wri.lines.Items():
			buf = append(buf, line...)
			if len(buf) < maxWrite {
				continue
			}
		default:
			if len(buf) == 0 {
				return
			}
		}
		// The error is ignored, because it could only be reported to the same log.
		_, _ = wri.out.Write(buf)
		buf = buf[:0]
	}
}

package fpclock_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fpclock"
)

// TestElapsedReturnsLongerReading guards against a lease that lasts too long after a pause of the VM or after the wall clock was
// set back.
func TestElapsedReturnsLongerReading(t *testing.T) {
	wall := time.Unix(1_800_000_000, 0)
	from := fpclock.At(time.Second, wall)
	paused := fpclock.At(time.Second, wall.Add(3*time.Second))
	if got := from.Elapsed(paused); got != 3*time.Second {
		t.Errorf("monotonic clock stopped: elapsed %v, want 3s", got)
	}
	setBack := fpclock.At(3*time.Second, wall.Add(-time.Hour))
	if got := from.Elapsed(setBack); got != 2*time.Second {
		t.Errorf("wall clock set back: elapsed %v, want 2s", got)
	}
}

func ExampleMoment_Elapsed() {
	wall := time.Unix(1_800_000_000, 0)
	sent := fpclock.At(0, wall)
	fmt.Println(sent.Elapsed(fpclock.At(20*time.Millisecond, wall.Add(30*time.Millisecond))))
	// Output: 30ms
}

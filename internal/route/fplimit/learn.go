package fplimit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// initialLimit is the limit before any answer, unless the maximum is lower.
	initialLimit = 8
	// meanWeight is the weight of one answer in the moving mean of the service time.
	meanWeight = 0.1
	// windowTime is the time over which answers are averaged before they are compared with the baseline. Single
	// answers vary too much to show queueing on the upstream.
	windowTime = 250 * time.Millisecond
	// windowAnswers is the smallest number of answers that makes a window.
	windowAnswers = 8
	// baselineTime is how long the lowest window mean is remembered; the baseline is the lowest of two such spans.
	baselineTime = 10 * time.Second
	// raiseBelow and lowerAbove are ratios of the window mean to the baseline. The gap between them is hysteresis.
	raiseBelow = 1.5
	lowerAbove = 2.5
	// shedFactor and slowFactor multiply the limit after a shed request and after a slow window or a timeout.
	shedFactor = 0.8
	slowFactor = 0.9
	// maxPause bounds the pause after sheds when the upstream named none.
	maxPause = 200 * time.Millisecond
	// staleMean is the time without answers after which the mean is halved, so that a mean from a slow phase does not
	// refuse requests for ever.
	staleMean = time.Second
)

// learner adapts the concurrency limit of one upstream to its answers. The limit rises by one per round of answers while
// it is in use and the service time is near the baseline, and falls by a factor after sheds, timeouts and slow windows.
type learner struct {
	ran           *rand.Rand
	limit         float64
	ceiling       float64
	mean          time.Duration
	meanAt        time.Time
	windowSum     time.Duration
	windowCount   int
	windowStart   time.Time
	lowest        time.Duration
	lowestBefore  time.Duration
	baselineStart time.Time
	lowered       time.Time
	paused        time.Time
	shedsInRow    int
}

// units returns the number of requests that may run at once; at least 1.
func (lea *learner) units() int {
	return max(1, int(math.Floor(lea.limit+1e-9)))
}

// serviceTime returns the expected time of one attempt, or 0 when it is unknown.
func (lea *learner) serviceTime(now time.Time) time.Duration {
	if lea.mean == 0 {
		return 0
	}
	age := now.Sub(lea.meanAt)
	if age <= staleMean {
		return lea.mean
	}
	return time.Duration(float64(lea.mean) * math.Exp2(-float64(age)/float64(staleMean)))
}

// baseline returns the lowest window mean of the last two spans, or 0 when there is none.
func (lea *learner) baseline() time.Duration {
	if lea.lowest == 0 {
		return lea.lowestBefore
	}
	if lea.lowestBefore == 0 {
		return lea.lowest
	}
	return min(lea.lowest, lea.lowestBefore)
}

// answered learns from a complete answer to a small call.
func (lea *learner) answered(now time.Time, took time.Duration, full bool) {
	lea.shedsInRow = 0
	lea.observe(now, took)
	slow := lea.closeWindow(now, full)
	if slow || !full {
		return
	}
	base := lea.baseline()
	if base == 0 || float64(lea.mean) <= raiseBelow*float64(base) {
		lea.limit = min(lea.ceiling, lea.limit+1/lea.limit)
	}
}

// observe adds one service time to the mean and to the window.
func (lea *learner) observe(now time.Time, took time.Duration) {
	if lea.mean == 0 {
		lea.mean = took
	} else {
		lea.mean += time.Duration(meanWeight * float64(took-lea.mean))
	}
	lea.meanAt = now
	if lea.windowStart.IsZero() {
		lea.windowStart = now
		lea.baselineStart = now
	}
	lea.windowSum += took
	lea.windowCount++
}

// closeWindow compares a complete window with the baseline and reports whether it lowered the limit.
func (lea *learner) closeWindow(now time.Time, full bool) bool {
	if lea.windowCount < windowAnswers || now.Sub(lea.windowStart) < windowTime {
		return false
	}
	mean := lea.windowSum / time.Duration(lea.windowCount)
	lea.windowSum = 0
	lea.windowCount = 0
	lea.windowStart = now
	if now.Sub(lea.baselineStart) >= baselineTime {
		lea.lowestBefore = lea.lowest
		lea.lowest = 0
		lea.baselineStart = now
	}
	if lea.lowest == 0 || mean < lea.lowest {
		lea.lowest = mean
	}
	if full && float64(mean) > lowerAbove*float64(lea.baseline()) {
		lea.lower(now, slowFactor)
		return true
	}
	return false
}

// failed learns from a failure. Lost connections say nothing about concurrency; health judges them.
func (lea *learner) failed(now time.Time, kin fperror.Kind, pushBack time.Duration) {
	switch kin {
	case fperror.UpstreamShed:
		atFloor := lea.limit <= 1
		lea.lower(now, shedFactor)
		lea.shedsInRow++
		if atFloor || pushBack > 0 {
			lea.pause(now, pushBack)
		}
	case fperror.DeadlineExceeded:
		lea.lower(now, slowFactor)
	}
}

// lower multiplies the limit, at most once per service time because requests of one round fail together.
func (lea *learner) lower(now time.Time, factor float64) {
	if !lea.lowered.IsZero() && now.Sub(lea.lowered) < lea.mean {
		return
	}
	lea.lowered = now
	lea.limit = max(1, lea.limit*factor)
}

// pause stops new requests for a time. Several VMs share an upstream, so the fair limit of one VM can be below 1; the
// pause is what brings its mean concurrency below 1.
func (lea *learner) pause(now time.Time, pushBack time.Duration) {
	length := pushBack
	if length <= 0 {
		doubled := float64(max(lea.mean, time.Millisecond)) * math.Exp2(float64(min(lea.shedsInRow, 8)-1))
		length = time.Duration((0.5 + lea.ran.Float64()) * min(doubled, float64(maxPause)))
	}
	if until := now.Add(length); until.After(lea.paused) {
		lea.paused = until
	}
}

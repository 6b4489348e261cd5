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
	windowAnswers = 32
	// baselineTime is how long the lowest window mean is remembered; the baseline is the lowest of two such spans.
	baselineTime = 10 * time.Second
	// raiseBelow and lowerAbove are ratios of the window mean to the baseline. The gap between them is hysteresis.
	raiseBelow = 2.5
	lowerAbove = 4.0
	// shedFactor and slowFactor multiply the limit after a shed request and after a slow window or a timeout.
	shedFactor = 0.7
	slowFactor = 0.9
	// lowestLimit bounds the limit below. A limit under 1 is one request at a time with pauses between: the fair limit of
	// one of many VMs that share an upstream can be far below 1.
	lowestLimit = 0.01
	// slowestGain is the rise of the limit per round of answers right after it was lowered, and gainTime is the time
	// after which the gain is doubled; it grows with the square of the time. A high gain right away would find the
	// upstream's bound again and again, and each time some request is shed.
	slowestGain = 0.02
	gainTime    = 200 * time.Millisecond
	// deepGain multiplies the gain while the expected wait is above half of its bound. The upstream is then busy anyway, and
	// a higher limit gains nothing but sheds.
	deepGain = 0.05
	// maxPause bounds the pause between requests.
	maxPause = 200 * time.Millisecond
	// gapWeight is the weight of one interval in the moving mean of the time between answers.
	gapWeight = 0.1
	// staleMean is the time without answers after which the mean is halved, so that a mean from a slow phase does not
	// refuse requests for ever.
	staleMean = time.Second
)

// learner adapts the concurrency limit of one upstream to its answers. The limit rises by at most one per round of answers
// while it is in use and the service time is near the baseline, the slower the more recently it fell. It falls by a factor
// after sheds, timeouts and slow windows.
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
	gap           time.Duration // mean time between answers while requests wait
	gapAt         time.Time
	answeredAt    time.Time // the last answer, if requests waited then
}

// units returns the number of requests that may run at once; at least 1.
func (lea *learner) units() int {
	return max(1, int(math.Round(lea.limit)))
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

// answered learns from a complete answer to a small call. Full states that the limit was in use, deep that the queue is
// long.
func (lea *learner) answered(now time.Time, took time.Duration, full, deep bool) {
	lea.observe(now, took)
	slow := lea.closeWindow(now, full)
	if slow || !full {
		return
	}
	base := lea.baseline()
	if base == 0 || float64(lea.mean) <= raiseBelow*float64(base) {
		lea.limit = min(lea.ceiling, lea.limit+lea.gain(now, deep)/max(1, lea.limit))
	}
}

// gain returns the rise of the limit per round of answers, at most 1.
func (lea *learner) gain(now time.Time, deep bool) float64 {
	if lea.lowered.IsZero() {
		return 1
	}
	times := float64(now.Sub(lea.lowered)) / float64(gainTime)
	gain := min(1, slowestGain*(1+times*times))
	if deep {
		return deepGain * gain
	}
	return gain
}

// passed notes the end of an attempt and the pause that a limit below 1 needs after it.
func (lea *learner) passed(now time.Time) {
	if lea.limit < 1 {
		length := float64(lea.mean) * (1/lea.limit - 1)
		lea.pause(now, time.Duration(min(length, float64(maxPause))))
	}
}

// drained notes that an attempt ended with an answer, and whether requests wait. The time between answers while requests
// wait is the rate at which the queue drains, pauses and sheds included.
func (lea *learner) drained(now time.Time, waiting bool) {
	if !lea.answeredAt.IsZero() {
		interval := now.Sub(lea.answeredAt)
		if lea.gap == 0 {
			lea.gap = interval
		}
		lea.gap += time.Duration(gapWeight * float64(interval-lea.gap))
		lea.gapAt = now
	}
	lea.answeredAt = time.Time{}
	if waiting {
		lea.answeredAt = now
	}
}

// waitEach returns the expected time that each waiter adds to the wait of those behind it.
func (lea *learner) waitEach(now time.Time) time.Duration {
	each := lea.serviceTime(now) / time.Duration(lea.units())
	if lea.limit < 1 {
		each = time.Duration(float64(each) / lea.limit)
	}
	if now.Sub(lea.gapAt) < staleMean {
		each = max(each, lea.gap)
	}
	return each
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
		lea.lower(now, shedFactor)
		lea.notBefore(now.Add(pushBack))
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
	lea.limit = max(lowestLimit, lea.limit*factor)
}

// pause stops new requests for a jittered time.
func (lea *learner) pause(now time.Time, length time.Duration) {
	lea.notBefore(now.Add(time.Duration((0.5 + lea.ran.Float64()) * float64(length))))
}

// notBefore stops new requests until a time.
func (lea *learner) notBefore(until time.Time) {
	if until.After(lea.paused) {
		lea.paused = until
	}
}

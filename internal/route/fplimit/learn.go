package fplimit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// initialLimit is the concurrency limit before the first answer, unless the maximum is lower.
	initialLimit = 8
	// serviceTimeWeight is the weight of one answer in the exponential moving mean of the service time.
	serviceTimeWeight = 0.1
	// minWindow is the shortest window over which service times are averaged before they are compared with the baseline.
	// Single service times vary too much to show that requests queue up on the upstream.
	minWindow = 250 * time.Millisecond
	// minWindowAnswers is the smallest number of answers in a window.
	minWindowAnswers = 32
	// baselineSpan is the period over which the lowest window mean is taken. The baseline is the lowest mean of the
	// current and the previous period.
	baselineSpan = 10 * time.Second
	// raiseBelow is the largest ratio of the mean service time to the baseline at which the limit rises, and lowerAbove
	// the ratio of a window's mean to the baseline above which it falls. The gap between them is hysteresis.
	raiseBelow = 2.5
	lowerAbove = 4.0
	// shedFactor multiplies the limit after the upstream has shed a request, slowFactor after a slow window or a timeout.
	shedFactor = 0.7
	slowFactor = 0.9
	// minLimit is the lower bound of the limit. A limit below 1 means one request at a time with pauses in between: if
	// many VMs share an upstream, the fair limit of each can be far below 1.
	minLimit = 0.01
	// minGain is the gain, the rise of the limit per round of answers, right after the limit was lowered. The gain grows
	// with the square of the time since then, up to 1, and has doubled after gainDoublingTime. With a high gain from the
	// start, the limit would soon exceed the upstream's capacity again, and requests would be shed each time.
	minGain          = 0.02
	gainDoublingTime = 200 * time.Millisecond
	// longQueueFactor multiplies the gain while the expected wait is above half of its bound. The upstream is then busy
	// in any case, so that a higher limit would only cause sheds.
	longQueueFactor = 0.05
	// maxPause bounds the pause between requests before jitter.
	maxPause = 200 * time.Millisecond
	// intervalWeight is the weight of one interval in the exponential moving mean of the time between answers.
	intervalWeight = 0.1
	// staleAfter is how long the means are valid without new answers. An older mean interval is ignored. An older mean
	// service time is halved for each staleAfter of its age. Otherwise, means from a slow phase would cause refusals for
	// ever.
	staleAfter = time.Second
)

// estimator adapts the concurrency limit of one upstream to its answers. The limit rises while it is fully used and the
// service time is near the baseline, by at most one per round of answers and more slowly if it fell recently. It falls by
// a factor after sheds, timeouts and slow windows.
type estimator struct {
	ran                *rand.Rand
	limit              float64
	maxLimit           float64
	meanServiceTime    time.Duration
	meanUpdated        time.Time
	windowSum          time.Duration
	windowCount        int
	windowStart        time.Time
	lowestMean         time.Duration
	previousLowestMean time.Duration
	baselineStart      time.Time
	lastLowered        time.Time
	pausedUntil        time.Time
	meanInterval       time.Duration // moving mean of the time between answers while requests wait
	intervalUpdated    time.Time
	lastAnswer         time.Time // zero if no request waited at the latest answer
}

// concurrency returns the limit as a whole number of requests that may run at once, at least 1.
func (est *estimator) concurrency() int {
	return max(1, int(math.Round(est.limit)))
}

// serviceTime returns the expected duration of one attempt, or 0 if it is unknown.
func (est *estimator) serviceTime(now time.Time) time.Duration {
	if est.meanServiceTime == 0 {
		return 0
	}
	age := now.Sub(est.meanUpdated)
	if age <= staleAfter {
		return est.meanServiceTime
	}
	return time.Duration(float64(est.meanServiceTime) * math.Exp2(-float64(age)/float64(staleAfter)))
}

// baseline returns the lowest window mean of the current and the previous period, or 0 if there is none.
func (est *estimator) baseline() time.Duration {
	if est.lowestMean == 0 {
		return est.previousLowestMean
	}
	if est.previousLowestMean == 0 {
		return est.lowestMean
	}
	return min(est.lowestMean, est.previousLowestMean)
}

// recordAnswer adapts the limit to a complete answer to a call that is not a bundle. atLimit reports whether all permits
// were in use, and longQueue whether the expected wait is above half of its bound.
func (est *estimator) recordAnswer(now time.Time, took time.Duration, atLimit, longQueue bool) {
	est.addSample(now, took)
	slow := est.closeWindow(now, atLimit)
	if slow || !atLimit {
		return
	}
	base := est.baseline()
	if base == 0 || float64(est.meanServiceTime) <= raiseBelow*float64(base) {
		est.limit = min(est.maxLimit, est.limit+est.gain(now, longQueue)/max(1, est.limit))
	}
}

// gain returns the rise of the limit per round of answers, at most 1. It is lower with a long queue.
func (est *estimator) gain(now time.Time, longQueue bool) float64 {
	if est.lastLowered.IsZero() {
		return 1
	}
	ratio := float64(now.Sub(est.lastLowered)) / float64(gainDoublingTime)
	gain := min(1, minGain*(1+ratio*ratio))
	if longQueue {
		return longQueueFactor * gain
	}
	return gain
}

// pauseAfterAttempt starts the pause that a limit below 1 requires after each attempt.
func (est *estimator) pauseAfterAttempt(now time.Time) {
	if est.limit < 1 {
		duration := float64(est.meanServiceTime) * (1/est.limit - 1)
		est.startPause(now, time.Duration(min(duration, float64(maxPause))))
	}
}

// recordInterval records that an attempt has just been answered, and whether requests wait. The interval between answers
// while requests wait shows how fast the queue drains, and includes pauses and sheds.
func (est *estimator) recordInterval(now time.Time, waiting bool) {
	if !est.lastAnswer.IsZero() {
		interval := now.Sub(est.lastAnswer)
		if est.meanInterval == 0 {
			est.meanInterval = interval
		}
		est.meanInterval += time.Duration(intervalWeight * float64(interval-est.meanInterval))
		est.intervalUpdated = now
	}
	est.lastAnswer = time.Time{}
	if waiting {
		est.lastAnswer = now
	}
}

// waitPerRequest returns the expected time that each queued request adds to the wait of the requests behind it.
func (est *estimator) waitPerRequest(now time.Time) time.Duration {
	wait := est.serviceTime(now) / time.Duration(est.concurrency())
	if est.limit < 1 {
		wait = time.Duration(float64(wait) / est.limit)
	}
	if now.Sub(est.intervalUpdated) < staleAfter {
		wait = max(wait, est.meanInterval)
	}
	return wait
}

// addSample adds one service time to the moving mean and to the current window.
func (est *estimator) addSample(now time.Time, took time.Duration) {
	if est.meanServiceTime == 0 {
		est.meanServiceTime = took
	} else {
		est.meanServiceTime += time.Duration(serviceTimeWeight * float64(took-est.meanServiceTime))
	}
	est.meanUpdated = now
	if est.windowStart.IsZero() {
		est.windowStart = now
		est.baselineStart = now
	}
	est.windowSum += took
	est.windowCount++
}

// closeWindow ends the current window if it is complete, and updates the baseline. It lowers the limit if all permits
// were in use and the window was slow, and reports whether it did.
func (est *estimator) closeWindow(now time.Time, atLimit bool) bool {
	if est.windowCount < minWindowAnswers || now.Sub(est.windowStart) < minWindow {
		return false
	}
	mean := est.windowSum / time.Duration(est.windowCount)
	est.windowSum = 0
	est.windowCount = 0
	est.windowStart = now
	if now.Sub(est.baselineStart) >= baselineSpan {
		est.previousLowestMean = est.lowestMean
		est.lowestMean = 0
		est.baselineStart = now
	}
	if est.lowestMean == 0 || mean < est.lowestMean {
		est.lowestMean = mean
	}
	if atLimit && float64(mean) > lowerAbove*float64(est.baseline()) {
		est.lower(now, slowFactor)
		return true
	}
	return false
}

// recordFailure lowers the limit after a shed or a timeout. Other failures, such as lost connections, tell nothing about
// the upstream's capacity; health checks handle them.
func (est *estimator) recordFailure(now time.Time, kin fperror.Kind, pushBack time.Duration) {
	switch kin {
	case fperror.UpstreamShed:
		est.lower(now, shedFactor)
		est.pauseUntil(now.Add(pushBack))
	case fperror.DeadlineExceeded:
		est.lower(now, slowFactor)
	}
}

// lower multiplies the limit by a factor. It does so at most once per mean service time, because the requests of one round
// fail together.
func (est *estimator) lower(now time.Time, factor float64) {
	if !est.lastLowered.IsZero() && now.Sub(est.lastLowered) < est.meanServiceTime {
		return
	}
	est.lastLowered = now
	est.limit = max(minLimit, est.limit*factor)
}

// startPause holds back new requests for a duration with a jitter of up to 50 % in either direction.
func (est *estimator) startPause(now time.Time, duration time.Duration) {
	est.pauseUntil(now.Add(time.Duration((0.5 + est.ran.Float64()) * float64(duration))))
}

// pauseUntil holds back new requests until an instant, unless they are held back for longer already.
func (est *estimator) pauseUntil(until time.Time) {
	if until.After(est.pausedUntil) {
		est.pausedUntil = until
	}
}

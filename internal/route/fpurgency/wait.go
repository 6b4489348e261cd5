package fpurgency

import (
	"math"
	"time"
)

// Use is a priority with requests for a service, and the shortest objective of its routes. 0: they have none.
type Use struct {
	Priority  uint32
	Objective time.Duration
}

const (
	// processingFactor is the processing time, as a multiple of its mean, that is subtracted from the objective to get the longest
	// wait that is accepted.
	processingFactor = 1.3
	// minWaitFraction is the fraction of the objective that a request may always wait, whatever the processing time.
	minWaitFraction = 0.25
	// priorityWaitFactor is the accepted wait of a priority as a fraction of that of the next more urgent one in use. Upstreams serve
	// their queues in the order of arrival, so the less urgent kind must stop to join them first.
	priorityWaitFactor = 0.75
)

// rank returns the number of more urgent priorities in use.
func rank(priority uint32, uses []Use) int {
	num := 0
	for _, use := range uses {
		if use.Priority < priority {
			num++
		}
	}
	return num
}

// objectiveWait returns the longest wait after which an answer within an objective is likely.
func objectiveWait(objective, work time.Duration) time.Duration {
	return max(objective-time.Duration(processingFactor*float64(work)), time.Duration(minWaitFraction*float64(objective)))
}

// AcceptedWait returns the longest wait in the queue of an upstream with which a request is sent there. A request that can be retried
// may wait as long as it is likely to be answered within its objective; one that cannot, until its deadline, because a late answer
// is better than none. Neither waits longer than priorityWaitFactor times what a first attempt of a more urgent priority in use
// would, so that it is refused first.
func AcceptedWait(now time.Time, req Request, uses []Use) time.Duration {
	wait := time.Duration(math.MaxInt64)
	if !req.Deadline.IsZero() {
		wait = max(0, req.Deadline.Sub(now)-req.Work)
	}
	if req.CanRetry && req.Objective > 0 {
		wait = min(wait, objectiveWait(req.Objective, req.Work))
	}
	for _, use := range uses {
		if use.Priority >= req.Priority || use.Objective <= 0 {
			continue
		}
		limit := float64(objectiveWait(use.Objective, req.Work))
		for range rank(req.Priority, uses) - rank(use.Priority, uses) {
			limit *= priorityWaitFactor
		}
		wait = min(wait, time.Duration(limit))
	}
	return wait
}

const (
	// minRetrySpread is the least time over which callers that are refused together are asked to come back.
	minRetrySpread = 200 * time.Millisecond
	// honouredFraction is the fraction of their remaining time that callers wait at most, whatever they are asked.
	honouredFraction = 1.0 / 3
)

// RetryAfter returns how long the caller of a refused request should wait before it retries: at least least, the expected wait until
// there is capacity, and the time that was named by those who have it. Callers are spread over as much time again, those of the most
// urgent priority in use first. random is from 0 to 1. All callers would come back as one burst at the end of the time that they honour
// if they were asked for more, so the spread ends there, but not before the named time: until then, nothing is served.
func RetryAfter(now time.Time, req Request, uses []Use, least, expected, named time.Duration, random float64) time.Duration {
	from := max(least, expected)
	spread := max(minRetrySpread, from)
	if left := req.Deadline.Sub(now); !req.Deadline.IsZero() && left > 0 {
		limit := time.Duration(honouredFraction * float64(left))
		spread = min(spread, max(limit-least, limit/2))
		from = min(from, limit-spread)
	}
	if named > from {
		from, spread = named, minRetrySpread
	}
	slices := 1
	for _, use := range uses {
		if use.Priority != req.Priority {
			slices++
		}
	}
	return from + time.Duration((float64(rank(req.Priority, uses))+random)/float64(slices)*float64(spread))
}

const (
	// retryReserveStep is by how much more of the budget is left for each class of requests that is more urgent. Retries free the
	// budget again as they leave the window, so a small reserve decides who gets it.
	retryReserveStep = 0.03
	// firstAttemptReserve is the fraction of the budget that requests leave which are not of the highest priority in use and whose
	// callers can retry: a caller that comes back has another chance without the budget.
	firstAttemptReserve = 0.5
	// maxFinalReserve and maxRetryReserve bound what final requests and others leave.
	maxFinalReserve = 0.15
	maxRetryReserve = 0.8
)

// RetryReserve returns the fraction of the retry budget that a request has to leave to more urgent ones. Retries of the highest
// priority in use may spend all, if they are final.
func RetryReserve(req Request, uses []Use) float64 {
	ran := float64(rank(req.Priority, uses))
	switch {
	case ran == 0 && !req.CanRetry:
		return 0
	case ran == 0:
		return retryReserveStep
	case !req.CanRetry:
		return min(maxFinalReserve, retryReserveStep*(1+ran))
	default:
		return min(maxRetryReserve, firstAttemptReserve+retryReserveStep*(ran-1))
	}
}

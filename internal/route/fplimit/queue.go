package fplimit

import "time"

// waiter is a request in the queue.
type waiter struct {
	ticket  uint64
	call    Call
	account *account
}

// queue holds waiting requests in the order of their arrival. It is short enough to be scanned for each decision.
type queue struct {
	waiters []*waiter
}

// countAhead returns the number of waiters that are served before a new call. meanBusy is the mean usage of all active
// callers in busy seconds.
func (que *queue) countAhead(now time.Time, meanBusy float64, cal Call, acc *account) int {
	overShare := acc.isOverShare(now, meanBusy)
	count := 0
	for _, wai := range que.waiters {
		// Of equal calls the earlier arrival is served first, so a waiter is ahead unless the new call precedes it.
		if !precedes(cal, overShare, wai.call, wai.account.isOverShare(now, meanBusy)) {
			count++
		}
	}
	return count
}

// countUpTo returns the number of waiters of a priority class and the classes below it.
func (que *queue) countUpTo(pri Priority) int {
	count := 0
	for _, wai := range que.waiters {
		if wai.call.Priority <= pri {
			count++
		}
	}
	return count
}

// next returns the position of the waiter that is served next, or -1 if there is none. Waiters are ordered by priority
// class, then by whether their caller is within its share, then by deadline.
func (que *queue) next(now time.Time, meanBusy float64, allowBundles bool) int {
	best := -1
	bestOverShare := false
	for i, wai := range que.waiters {
		if wai.call.Bundle && !allowBundles {
			continue
		}
		overShare := wai.account.isOverShare(now, meanBusy)
		if best < 0 || precedes(wai.call, overShare, que.waiters[best].call, bestOverShare) {
			best = i
			bestOverShare = overShare
		}
	}
	return best
}

// remove removes the waiter at a position. It keeps the order of the others, by which ties are broken.
func (que *queue) remove(pos int) *waiter {
	wai := que.waiters[pos]
	que.waiters = append(que.waiters[:pos], que.waiters[pos+1:]...)
	return wai
}

// index returns the position of the waiter with a ticket, or -1 if there is none.
func (que *queue) index(ticket uint64) int {
	for i, wai := range que.waiters {
		if wai.ticket == ticket {
			return i
		}
	}
	return -1
}

// precedes reports whether the first call is served before the second. firstOverShare and secondOverShare report whether
// the caller of each call is above its share.
func precedes(first Call, firstOverShare bool, second Call, secondOverShare bool) bool {
	if first.Priority != second.Priority {
		return first.Priority > second.Priority
	}
	if firstOverShare != secondOverShare {
		return secondOverShare
	}
	return first.Deadline.Before(second.Deadline)
}

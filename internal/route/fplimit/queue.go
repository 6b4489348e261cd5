package fplimit

import "time"

// waiter is a request in the queue.
type waiter struct {
	ticket  uint64
	call    Call
	account *account
}

// queue holds waiting requests in no order; it is short, so each decision scans it.
type queue struct {
	waiters []*waiter
}

// ahead returns the number of waiters that are served before a new call.
func (que *queue) ahead(now time.Time, meanUse float64, cal Call, acc *account) int {
	over := acc.over(now, meanUse)
	count := 0
	for _, wai := range que.waiters {
		// Of equal calls the earlier arrival is first, so a waiter is ahead unless the new call precedes it.
		if !precedes(cal, over, wai.call, wai.account.over(now, meanUse)) {
			count++
		}
	}
	return count
}

// class returns the number of waiters of a priority class or a lower one.
func (que *queue) class(pri Priority) int {
	count := 0
	for _, wai := range que.waiters {
		if wai.call.Priority <= pri {
			count++
		}
	}
	return count
}

// best returns the position of the next waiter, or -1. Order: class, then callers within their share, then deadline.
func (que *queue) best(now time.Time, meanUse float64, bundles bool) int {
	found := -1
	foundOver := false
	for i, wai := range que.waiters {
		if wai.call.Bundle && !bundles {
			continue
		}
		over := wai.account.over(now, meanUse)
		if found < 0 || precedes(wai.call, over, que.waiters[found].call, foundOver) {
			found = i
			foundOver = over
		}
	}
	return found
}

// remove takes the waiter at a position out of the queue and keeps the order of the others, which breaks ties.
func (que *queue) remove(pos int) *waiter {
	wai := que.waiters[pos]
	que.waiters = append(que.waiters[:pos], que.waiters[pos+1:]...)
	return wai
}

// find returns the position of a ticket, or -1.
func (que *queue) find(ticket uint64) int {
	for i, wai := range que.waiters {
		if wai.ticket == ticket {
			return i
		}
	}
	return -1
}

// precedes reports whether the first call is served before the second.
func precedes(one Call, oneOver bool, two Call, twoOver bool) bool {
	if one.Priority != two.Priority {
		return one.Priority > two.Priority
	}
	if oneOver != twoOver {
		return twoOver
	}
	return one.Deadline.Before(two.Deadline)
}

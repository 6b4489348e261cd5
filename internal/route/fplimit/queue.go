package fplimit

import (
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpurgency"
)

// waiter is a request in the queue.
type waiter struct {
	ticket  uint64
	call    Call
	account *account
	arrival time.Time
}

// urgency describes the request to package fpurgency. work is the expected service time, which is the same for all requests, so
// that of a priority class and of callers within their shares the earliest deadline that can be met goes first. Callers do not
// state whether they retry.
func (wai *waiter) urgency(now time.Time, meanBusy float64, work time.Duration) fpurgency.Request {
	return fpurgency.Request{
		Priority:  uint32(High - wai.call.Priority),
		OverShare: wai.account.isOverShare(now, meanBusy),
		Arrival:   wai.arrival,
		Deadline:  wai.call.Deadline,
		Work:      work,
	}
}

// queue holds waiting requests in the order of their arrival. It is short enough to be scanned for each decision.
type queue struct {
	waiters []*waiter
}

// countAhead returns the number of waiters that are served before a new request. meanBusy is the mean usage of all active
// callers in busy seconds, and work the expected service time.
func (que *queue) countAhead(now time.Time, meanBusy float64, work time.Duration, added *waiter) int {
	count := 0
	for _, wai := range que.waiters {
		// Of equal calls the earlier arrival is served first, so a waiter is ahead unless the new call precedes it.
		if fpurgency.Compare(now, added.urgency(now, meanBusy, work), wai.urgency(now, meanBusy, work)) >= 0 {
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

// next returns the position of the waiter that is served next, or -1 if there is none.
func (que *queue) next(now time.Time, meanBusy float64, work time.Duration, allowBundles bool) int {
	best := -1
	var first fpurgency.Request
	for i, wai := range que.waiters {
		if wai.call.Bundle && !allowBundles {
			continue
		}
		if req := wai.urgency(now, meanBusy, work); best < 0 || fpurgency.Compare(now, req, first) < 0 {
			best, first = i, req
		}
	}
	return best
}

// nextUnreachable returns the position of a waiter that cannot be answered before its deadline any more, or -1 if there is none.
func (que *queue) nextUnreachable(now time.Time, work time.Duration) int {
	for i, wai := range que.waiters {
		req := fpurgency.Request{
			Deadline: wai.call.Deadline,
			Work:     work,
		}
		if !req.Reachable(now, 0) {
			return i
		}
	}
	return -1
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

// Package fpurgency orders requests that compete for too little capacity, so that those are delayed or refused whose delay or
// refusal costs callers least.
//
// All places that order requests use this order: the queue of fplimit, the requests that wait for a place in fproom, admission
// and the retry budget in fpforward. All functions are pure.
package fpurgency

import (
	"cmp"
	"math"
	"time"
)

// Request describes a request that competes for capacity.
type Request struct {
	// Priority is the priority of the route; 0 is the most urgent one.
	Priority uint32
	// OverShare states that the caller uses more than its fair share. It is set only where callers are told apart.
	OverShare bool
	// CanRetry states that the caller will probably retry once after a refusal. A refusal of another request is final.
	CanRetry bool
	// Arrival is when the request arrived.
	Arrival time.Time
	// Objective is the time after Arrival within which an answer is worth all of its credit. 0: there is none.
	Objective time.Duration
	// Deadline is when the caller stops waiting. Zero: there is none.
	Deadline time.Time
	// Work is the expected processing time, without waits.
	Work time.Duration
}

// Reachable reports whether a request that starts after a wait can still be answered before its deadline.
func (req Request) Reachable(now time.Time, wait time.Duration) bool {
	return req.Deadline.IsZero() || !now.Add(wait+req.Work).After(req.Deadline)
}

// InObjective reports whether a request that starts after a wait can still be answered within its objective.
func (req Request) InObjective(now time.Time, wait time.Duration) bool {
	return req.Objective <= 0 || !now.Add(wait+req.Work).After(req.Arrival.Add(req.Objective))
}

// due returns the end of the objective if the request can be answered within it, or else the deadline. Zero: there is neither.
func (req Request) due(now time.Time) time.Time {
	if req.Objective > 0 && req.InObjective(now, 0) {
		return req.Arrival.Add(req.Objective)
	}
	return req.Deadline
}

// Compare returns a negative number if the first request goes before the second, a positive number if it goes after it, and 0 if
// neither precedes the other. For a given time it is a total preorder. The rules, in this order:
//
//   - Requests that cannot be answered before their deadline go last.
//   - The more urgent priority goes first.
//   - Callers within their share go before those above it.
//   - A request whose refusal is final goes before one whose caller can retry.
//   - A request that can be answered within its objective goes before one that cannot.
//   - The least work goes first: the same capacity then answers more requests. Times within a fifth count as equal, because
//     measured means vary by that.
//   - The objective, or else the deadline, that ends first goes first.
//   - The earlier arrival goes first.
func Compare(now time.Time, first, second Request) int {
	return cmp.Or(
		compareTrueFirst(first.Reachable(now, 0), second.Reachable(now, 0)),
		cmp.Compare(first.Priority, second.Priority),
		compareTrueFirst(!first.OverShare, !second.OverShare),
		compareTrueFirst(!first.CanRetry, !second.CanRetry),
		compareTrueFirst(first.InObjective(now, 0), second.InObjective(now, 0)),
		cmp.Compare(workStep(first.Work), workStep(second.Work)),
		compareTimes(first.due(now), second.due(now)),
		first.Arrival.Compare(second.Arrival),
	)
}

// compareTrueFirst orders true before false.
func compareTrueFirst(first, second bool) int {
	switch {
	case first == second:
		return 0
	case first:
		return -1
	default:
		return 1
	}
}

// compareTimes orders the zero time after all others.
func compareTimes(first, second time.Time) int {
	if first.IsZero() || second.IsZero() {
		return compareTrueFirst(!first.IsZero(), !second.IsZero())
	}
	return first.Compare(second)
}

// workStepsPerOctave is the number of steps in which expected work is compared for each factor of 2.
const workStepsPerOctave = 4

// workStep returns the step of an expected time. Steps keep the order transitive, which a tolerance would not.
func workStep(work time.Duration) int {
	if work <= 0 {
		return math.MinInt
	}
	return int(math.Round(workStepsPerOctave * math.Log2(float64(work))))
}

const (
	// classPriorities is the number of priorities that have classes of their own. Those below share the last class, which
	// bounds the size of messages.
	classPriorities = 7
	// ClassesPerPriority is the number of classes of a priority: refusal final or not, within the objective or not.
	ClassesPerPriority = 4
	// Classes is the number of classes. Of two requests of the same time whose deadlines can be met and whose callers are within
	// their shares, Compare puts that of the lower class first.
	Classes = classPriorities*ClassesPerPriority + 1
)

// Class returns the class of a request at a time, from 0 for the most urgent one to Classes-1. VMs exchange numbers of requests by
// class. It does not depend on Work but for whether the objective can be met, nor on OverShare, which only one VM knows.
func Class(now time.Time, req Request) int {
	if req.Priority >= classPriorities {
		return Classes - 1
	}
	class := int(req.Priority) * ClassesPerPriority
	if req.CanRetry {
		class += 2
	}
	if !req.InObjective(now, 0) {
		class++
	}
	return class
}

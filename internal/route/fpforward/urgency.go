package fpforward

import (
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpurgency"
)

// observePriorities records the priority of the request as one that uses the service, and sets which others do.
func (exc *exchange) observePriorities() {
	priority := exc.route.GetPriority()
	exc.priorities = exc.fwd.priorities.observe(exc.start, exc.service, priority, exc.route.GetObjective().AsDuration())
	exc.lowPriority = slices.ContainsFunc(exc.priorities, func(use fpurgency.Use) bool { return use.Priority < priority })
}

// urgency describes the request to package fpurgency. work is the expected processing time.
func (exc *exchange) urgency(work time.Duration) fpurgency.Request {
	return fpurgency.Request{
		Priority:  exc.route.GetPriority(),
		CanRetry:  !exc.callerRetry,
		Arrival:   exc.start,
		Objective: exc.route.GetObjective().AsDuration(),
		Deadline:  exc.deadline,
		Work:      work,
	}
}

// admit returns an error if the request would wait too long at an upstream in the given state: of kind DeadlineUnreachable
// if no answer is expected before the deadline, or Overloaded if the wait is too long for the objective or would keep more urgent
// requests waiting.
func (exc *exchange) admit(now time.Time, sta memberState) error {
	if err := exc.checkStop(now, sta); err != nil {
		return err
	}
	req := exc.urgency(sta.mean)
	if !req.Reachable(now, sta.wait) {
		return fperror.New(fperror.DeadlineUnreachable, "expected time %v is above the remaining %v", sta.expectedTime(), exc.deadline.Sub(now))
	}
	if accepted := fpurgency.AcceptedWait(now, req, exc.priorities); sta.wait > accepted {
		exc.refusedWait = sta.wait - accepted
		return fperror.New(fperror.Overloaded, "expected wait %v is above %v", sta.wait, accepted)
	}
	return nil
}

// takeRetry spends a retry of the budget of the service. The error is of kind Overloaded.
func (exc *exchange) takeRetry(now time.Time) error {
	reserve := fpurgency.RetryReserve(exc.urgency(exc.lastChoice.state.mean), exc.priorities)
	if exc.fwd.retryBudget(exc.service).tryTake(now, exc.fwd.entries.Load(), reserve) {
		return nil
	}
	exc.fwd.counters.add("retryBudgetSpent")
	return fperror.New(fperror.Overloaded, "the budget for retries is spent")
}

// retryAfter returns how long a caller that was refused should wait before it retries.
func (exc *exchange) retryAfter(kin fperror.Kind) time.Duration {
	if kin == fperror.Draining {
		return 0 // another VM can take the request at once
	}
	least := minRetryAfter
	if kin == fperror.NoUpstream {
		least = retryAfterOutage
	}
	return fpurgency.RetryAfter(time.Now(), exc.urgency(exc.lastChoice.state.mean), exc.priorities, least, exc.refusedWait, exc.rateWait, exc.fwd.random())
}

package fpkeeper

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// grantRateFactor bounds the rate of grants as a multiple of the steady rate of renewals, and grantBurst bounds the
	// grants that are sent at once. When the renewals of all ranges are due together, as after a change of the leader, the
	// calls would otherwise keep the leader from renewing its leader lease.
	grantRateFactor = 1.5
	grantBurst      = 32
	// maxGrantsInFlight bounds the grants in flight to one upstream, which share its persistent connections.
	maxGrantsInFlight = 2
)

// dueGrant is a grant or renewal that is due.
type dueGrant struct {
	ran    *fpstate.Range
	tas    *task
	holder *fpstate.Upstream
}

// due reports whether the next order of a task may be sent now.
func (tas *task) due(now time.Time) bool { return !tas.inFlight && !now.Before(tas.nextAttempt) }

// grantOrders appends the orders for the due grants that the rate limit of the service allows: first those of ranges that
// are not served yet, then the renewals that have been due for the longest time.
func (kee *Keeper) grantOrders(now time.Time, vie View, grants []dueGrant, orders []Order) []Order {
	lim := kee.grantLimiters[vie.Service]
	if lim == nil {
		lim = rate.NewLimiter(0, grantBurst)
		kee.grantLimiters[vie.Service] = lim
	}
	lim.SetLimitAt(now, rate.Limit(grantRateFactor*float64(len(vie.Ranges))/kee.cfg.Renewal.Seconds()))
	slices.SortStableFunc(grants, func(one, other dueGrant) int {
		if one.ran.GetPhase() != other.ran.GetPhase() {
			return cmp.Compare(one.ran.GetPhase(), other.ran.GetPhase())
		}
		return one.tas.nextAttempt.Compare(other.tas.nextAttempt)
	})
	for _, gra := range grants {
		if kee.grantsInFlight[gra.holder.GetId()] >= maxGrantsInFlight {
			continue
		}
		if !lim.AllowN(now, 1) {
			break
		}
		orders = kee.appendOrder(now, vie.Service, Grant, gra.ran, gra.tas, gra.holder, orders)
	}
	return orders
}

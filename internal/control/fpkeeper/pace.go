package fpkeeper

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// paceFactor bounds the grants a second as a multiple of the steady rate of renewals, and paceBurst those at once. When
	// the renewals of all ranges are due together, as after a change of the leader, the calls would otherwise keep the
	// leader from confirming its lease.
	paceFactor = 1.5
	paceBurst  = 32
	// maxGrants is the number of grants in flight to one upstream, which share its kept connections.
	maxGrants = 2
)

// grant is a grant that is due.
type grant struct {
	ran    *fpstate.Range
	tas    *task
	holder *fpstate.Upstream
}

// due reports whether the next order for a range may be sent.
func (tas *task) due(now time.Time) bool { return !tas.inFlight && !now.Before(tas.next) }

// paced adds the grants that are due as far as the pace allows: first those of ranges that nobody serves yet, then the
// renewals that have been due for the longest time.
func (kee *Keeper) paced(now time.Time, vie View, due []grant, orders []Order) []Order {
	pace := kee.paces[vie.Service]
	if pace == nil {
		pace = rate.NewLimiter(0, paceBurst)
		kee.paces[vie.Service] = pace
	}
	pace.SetLimitAt(now, rate.Limit(paceFactor*float64(len(vie.Ranges))/kee.cfg.Renewal.Seconds()))
	slices.SortStableFunc(due, func(one, other grant) int {
		if one.ran.GetPhase() != other.ran.GetPhase() {
			return cmp.Compare(one.ran.GetPhase(), other.ran.GetPhase())
		}
		return one.tas.next.Compare(other.tas.next)
	})
	for _, gra := range due {
		if kee.grants[gra.holder.GetId()] >= maxGrants {
			continue
		}
		if !pace.AllowN(now, 1) {
			break
		}
		orders = kee.order(now, vie.Service, Grant, gra.ran, gra.tas, gra.holder, orders)
	}
	return orders
}

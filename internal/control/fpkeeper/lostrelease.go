package fpkeeper

import (
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// lostReleaseMemory is how long after its end a release without an answer may still take effect: an upstream may carry out an order
// seconds after its arrival. Unlike a grant, which ends with its hold, a release then always takes effect.
const lostReleaseMemory = 15 * time.Second

// lostRelease is a release without an answer. Until it has ended for certain, the answer to another release of its keys by the
// same holder doesn't prove that the work on them has ended.
type lostRelease struct {
	ran   *fpstate.Range
	until time.Time
}

// serviceHolder is the holder of keys of a service. Incarnations are not told apart: the release of one may reach the next at its address.
type serviceHolder struct {
	service string
	id      string // of the upstream
}

func serviceHolderOf(service string, ran *fpstate.Range) serviceHolder {
	return serviceHolder{
		service: service,
		id:      ran.GetUpstream(),
	}
}

// recordLostRelease records that a release of a range got no answer. It outlasts the phase and the fence of the range, because
// the keys may return to their holder.
func (kee *Keeper) recordLostRelease(now, lost time.Time, service string, ran *fpstate.Range) {
	hol := serviceHolderOf(service, ran)
	left := slices.DeleteFunc(kee.lostReleases[hol], func(one lostRelease) bool { return !now.Before(one.until) })
	kee.lostReleases[hol] = append(left, lostRelease{
		ran:   ran,
		until: lost.Add(lostReleaseMemory),
	})
}

// InheritRelease records that an earlier leader may have sent a release of a range until the given time and received no answer.
func (kee *Keeper) InheritRelease(service string, ran *fpstate.Range, until time.Time) {
	kee.recordLostRelease(kee.start, until, service, ran)
}

// mayHaveLostRelease reports whether a release of keys of a range to its holder got lost a short time ago.
func (kee *Keeper) mayHaveLostRelease(now time.Time, service string, ran *fpstate.Range) bool {
	return slices.ContainsFunc(kee.lostReleases[serviceHolderOf(service, ran)], func(one lostRelease) bool {
		return now.Before(one.until) && one.ran.GetFirst() <= ran.GetLast() && one.ran.GetLast() >= ran.GetFirst()
	})
}

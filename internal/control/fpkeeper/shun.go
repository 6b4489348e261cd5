package fpkeeper

import (
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// firstShun and mostShun bound how long an upstream is given no keys after it has lost some because it answered no
	// grants. The first is a hold time, which is how long the keys of the next try are without an owner if it fails, too.
	firstShun = DefaultHold
	mostShun  = 4 * DefaultHold
)

// life identifies one life of an upstream.
type life struct {
	id   string
	born uint64
}

// shun is how long an upstream is given no keys that has lost some because it answered no grants.
type shun struct {
	until time.Time
	next  time.Duration
}

// shun gives an upstream no keys for some time, longer each time that it loses keys.
func (kee *Keeper) shun(now time.Time, ran *fpstate.Range) {
	lif := life{
		id:   ran.GetUpstream(),
		born: ran.GetBorn(),
	}
	shu := kee.shunned[lif]
	if shu == nil {
		shu = &shun{
			next: firstShun,
		}
		kee.shunned[lif] = shu
	}
	if now.Before(shu.until) {
		return // it has lost several ranges together
	}
	shu.until = now.Add(shu.next)
	shu.next = min(mostShun, 2*shu.next)
}

// takesKeys reports whether an upstream may be given keys.
func (kee *Keeper) takesKeys(now time.Time, sta *standing) bool {
	if sta.ups.GetLeaving() || kee.silent(now, sta) {
		return false
	}
	shu := kee.shunned[life{
		id:   sta.ups.GetId(),
		born: sta.ups.GetBorn(),
	}]
	return shu == nil || !now.Before(shu.until)
}

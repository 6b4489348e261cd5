package fpforward

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// leavingMargin is how long before the end of the promised drain time the last requests for keys are sent to an upstream that
	// has said that it leaves.
	leavingMargin = 500 * time.Millisecond
	// leavingCost is the cost of an upstream that leaves. It is chosen only if there is no other.
	leavingCost = time.Minute
)

// saysLeaving reports whether an upstream says that it leaves, and the number of texts that have no meaning. Only "1" has one.
func saysLeaving(texts []string) (leaving bool, invalid int) {
	for _, text := range texts {
		if strings.TrimSpace(text) == "1" {
			leaving = true
		} else {
			invalid++
		}
	}
	return leaving, invalid
}

// observeLeaving records that an upstream says in an answer that it leaves. An answer to another attempt may be that of an earlier
// incarnation and says nothing. One with status 421 may be that of another upstream at the address, in which case the incarnation
// has ended.
func (exc *exchange) observeLeaving(mem *member, rep *reply) {
	if rep == nil || len(rep.answer.Leaving) == 0 || rep.answer.Attempt != exc.info.Attempt {
		return
	}
	leaving, invalid := saysLeaving(rep.answer.Leaving)
	for range invalid {
		exc.fwd.counters.add("leavingInvalid")
	}
	if leaving && mem.startLeaving(time.Now()) {
		exc.fwd.counters.add("leavings")
		exc.fwd.cfg.Log.Info("an upstream says that it leaves", zap.String("upstream", mem.upstream.GetId()), zap.Uint64("born", mem.upstream.GetBorn()))
	}
}

// startLeaving records that the upstream leaves, and reports whether that was not known. It holds until the end of the incarnation.
func (mem *member) startLeaving(now time.Time) bool {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if !mem.leavingSince.IsZero() {
		return false
	}
	mem.leavingSince = now
	return true
}

// left reports whether an upstream has said that it leaves so long ago that it gets no more requests.
func (fwd *Forwarder) left(sta memberState) bool {
	return sta.leaving && sta.leavingFor >= fwd.cfg.Promises.Drain-leavingMargin
}

// checkLeft returns an error of kind NoOwner if an upstream that leaves gets no more requests.
func (exc *exchange) checkLeft(mem *member) error {
	if !exc.fwd.left(mem.state(time.Now())) {
		return nil
	}
	exc.tried[mem] = true
	return fperror.New(fperror.NoOwner, "upstream %s has said that it leaves", mem.upstream.GetId())
}

// Leaving returns the upstreams that have said in answers that they leave, and of which the control VMs do not say so.
func (fwd *Forwarder) Leaving() []*fpstate.Leaving {
	var all []*fpstate.Leaving
	for inc, mem := range fwd.view.Load().active {
		if mem.isLeaving() {
			all = append(all, &fpstate.Leaving{
				Upstream: inc.id,
				Born:     inc.born,
			})
		}
	}
	return all
}

// isLeaving reports whether the upstream has said in an answer that it leaves.
func (mem *member) isLeaving() bool {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	return !mem.leavingSince.IsZero()
}

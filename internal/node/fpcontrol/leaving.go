package fpcontrol

import (
	"context"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// maxPendingLeaving bounds the commits in flight of upstreams that leave. Entry VMs report the others again.
const maxPendingLeaving = 64

// recordLeaving commits that upstreams leave, of which entry VMs have heard in answers, if this VM leads. An incarnation of which that is
// known, or that is not the current one, is passed over.
func (con *Control) recordLeaving(ctx context.Context, all []*fpstate.Leaving) {
	if len(all) == 0 || !con.leads(ctx) {
		return
	}
	for _, lea := range all {
		old := con.directory.Upstream(lea.GetUpstream())
		if old == nil || old.GetBorn() != lea.GetBorn() || old.GetLeaving() || old.GetGone() || !con.beginLeaving(lea.GetUpstream()) {
			continue
		}
		next := proto.CloneOf(old)
		next.Leaving = true
		go con.commitLeaving(next)
	}
}

// beginLeaving reports whether the leaving of an upstream has to be committed, because no commit is in flight.
func (con *Control) beginLeaving(id string) bool {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	if con.pendingLeaving[id] || len(con.pendingLeaving) >= maxPendingLeaving {
		return false
	}
	con.pendingLeaving[id] = true
	return true
}

// commitLeaving commits that an upstream leaves. If it fails, an entry VM reports it again.
func (con *Control) commitLeaving(ups *fpstate.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := con.propose(ctx, &fpstate.Command{
		Body: &fpstate.Command_Announce{
			Announce: ups,
		},
	})
	con.cfg.Log.Info("upstream leaves, as its answers say", zap.String("upstream", ups.GetId()), zap.Uint64("born", ups.GetBorn()), zap.Error(err))
	con.mutex.Lock()
	defer con.mutex.Unlock()
	delete(con.pendingLeaving, ups.GetId())
}

// observeOrderAnswer records that an upstream says in its answer to an order that it leaves.
func (con *Control) observeOrderAnswer(ups *fpstate.Upstream, leaving bool) {
	if leaving {
		con.recordLeaving(context.Background(), []*fpstate.Leaving{{
			Upstream: ups.GetId(),
			Born:     ups.GetBorn(),
		}})
	}
}

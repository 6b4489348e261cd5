package fpcontrol

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// forgetAfter is the silence after which an upstream is removed. Upstreams that cannot reach control VMs for about
	// ten seconds still serve requests, so it is longer than that.
	forgetAfter = 20 * time.Second
	// forgetInterval is the time between looks at silent upstreams.
	forgetInterval = time.Second
)

// incarnation is one life of an upstream.
type incarnation struct {
	id   string
	born uint64
}

// silences finds the upstreams that have not been heard of for a long time. Only the leader uses it, from the start of its
// leadership: before, announcements went to another VM. The silence of an upstream that has never been heard of counts from
// the look at which this VM first knew it, because its announcements may reach the leader by a relay.
type silences struct {
	known map[incarnation]time.Time
}

// overdue returns the upstreams that have been silent for forgetAfter, with the time since which they have been. It expects
// the whole list of upstreams.
func (sil *silences) overdue(now time.Time, all []*fpstate.Upstream, heard func(*fpstate.Upstream) (time.Time, bool)) map[*fpstate.Upstream]time.Time {
	known := map[incarnation]time.Time{}
	late := map[*fpstate.Upstream]time.Time{}
	for _, ups := range all {
		inc := incarnation{
			id:   ups.GetId(),
			born: ups.GetBorn(),
		}
		since, ok := sil.known[inc]
		if !ok {
			since = now
		}
		known[inc] = since
		if at, ok := heard(ups); ok && at.After(since) {
			since = at
		}
		if now.Sub(since) >= forgetAfter {
			late[ups] = since
		}
	}
	sil.known = known
	return late
}

// forgetSilent removes upstreams that have not been heard of for a long time. It runs on the leader.
func (con *Control) forgetSilent(ctx context.Context, sil *silences) {
	for ups, since := range sil.overdue(time.Now(), con.directory.Upstreams(""), con.beats.heardOf) {
		err := con.proposeHere(ctx, &fpstate.Command{
			Body: &fpstate.Command_Depart{
				Depart: &fpstate.Departure{
					Id:   ups.GetId(),
					Born: ups.GetBorn(),
				},
			},
		})
		con.cfg.Log.Info("silent upstream removed", zap.String("upstream", ups.GetId()), zap.Uint64("born", ups.GetBorn()),
			zap.Duration("silent", time.Since(since)), zap.Error(err))
	}
}

package fpcontrol

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// removeSilentAfter is the silence after which an upstream is removed. It is longer than ten seconds, because upstreams
	// that cannot reach control VMs for about that time still serve requests.
	removeSilentAfter = 20 * time.Second
	// silenceCheckInterval is the minimum time between two checks for silent upstreams.
	silenceCheckInterval = time.Second
)

// incarnation identifies one incarnation of an upstream.
type incarnation struct {
	id   string
	born uint64 // Unix time in milliseconds at which the process started
}

// silenceDetector finds upstreams that have not announced themselves for a long time. Only the leader uses it, from the start
// of its leadership, because announcements went to another VM before. Without an announcement, the silence of an upstream
// counts from the check that found it first, because its announcements may still be on their way through another control VM.
type silenceDetector struct {
	known map[incarnation]time.Time // when a check first found the incarnation
}

// overdue returns the upstreams that have been silent for removeSilentAfter or longer, with the start of their silence. all
// must be the list of all upstreams; lastSeen returns when an upstream last announced itself, if that is known.
func (det *silenceDetector) overdue(now time.Time, all []*fpstate.Upstream, lastSeen func(*fpstate.Upstream) (time.Time, bool)) map[*fpstate.Upstream]time.Time {
	known := map[incarnation]time.Time{}
	silent := map[*fpstate.Upstream]time.Time{}
	for _, ups := range all {
		inc := incarnation{
			id:   ups.GetId(),
			born: ups.GetBorn(),
		}
		since, ok := det.known[inc]
		if !ok {
			since = now
		}
		known[inc] = since
		if at, ok := lastSeen(ups); ok && at.After(since) {
			since = at
		}
		if now.Sub(since) >= removeSilentAfter {
			silent[ups] = since
		}
	}
	det.known = known
	return silent
}

// removeSilentUpstreams begins to remove the upstreams that have been silent for removeSilentAfter, as the leader of a term. It doesn't
// wait for the commits, which commits counts. One that fails is repeated by a later check, which starts after callTimeout.
func (con *Control) removeSilentUpstreams(ctx context.Context, commits *sync.WaitGroup, term uint64, det *silenceDetector) {
	for ups, since := range det.overdue(time.Now(), con.directory.Upstreams(""), con.announcements.lastSeen) {
		commits.Go(func() {
			err := con.proposeInTerm(ctx, term, &fpstate.Command{
				Body: &fpstate.Command_Depart{
					Depart: &fpstate.Departure{
						Id:   ups.GetId(),
						Born: ups.GetBorn(),
					},
				},
			})
			con.cfg.Log.Info("silent upstream removed", zap.String("upstream", ups.GetId()), zap.Uint64("born", ups.GetBorn()),
				zap.Duration("silent", time.Since(since)), zap.Error(err))
		})
	}
}

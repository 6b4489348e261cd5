package fpcontrol

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// quarantine decides on the requests that are refused because they crash upstreams, while this VM leads.
type quarantine struct {
	mutex sync.Mutex
	tally fpquarantine.Tally
	// due are the changes that are to be committed.
	due []*fpstate.Quarantine
}

// lead takes over what an earlier leader has decided, and forgets what this VM counted when it led before.
func (qua *quarantine) lead(now time.Time, refused []string) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	qua.tally = fpquarantine.Tally{}
	qua.due = nil
	for _, digest := range refused {
		qua.tally.Adopt(now, digest)
	}
}

// report takes what an entry VM has seen.
func (qua *quarantine) report(now time.Time, crashes []*fpstate.Crash, cleared []string) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	for _, cra := range crashes {
		refuse := qua.tally.Report(now, cra.GetDigest(), fpquarantine.Crash{
			Upstream:    cra.GetUpstream(),
			Incarnation: cra.GetBorn(),
		})
		if refuse {
			qua.change(cra.GetDigest(), false)
		}
	}
	for _, digest := range cleared {
		if qua.tally.Clear(digest) {
			qua.change(digest, true)
		}
	}
}

func (qua *quarantine) change(digest string, lifted bool) {
	qua.due = append(qua.due, &fpstate.Quarantine{
		Digest: digest,
		Lifted: lifted,
	})
}

// take returns the changes that are due.
func (qua *quarantine) take(now time.Time) []*fpstate.Quarantine {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	for _, digest := range qua.tally.Due(now) {
		qua.change(digest, true)
	}
	due := qua.due
	qua.due = nil
	return due
}

// again has a change committed with the next ones.
func (qua *quarantine) again(one *fpstate.Quarantine) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	qua.due = append(qua.due, one)
}

// commitQuarantines commits the changes of the quarantine that are due. It runs on the leader.
func (con *Control) commitQuarantines(ctx context.Context) {
	for _, qua := range con.quarantine.take(time.Now()) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := con.proposeHere(call, &fpstate.Command{
			Body: &fpstate.Command_Quarantine{
				Quarantine: qua,
			},
		})
		cancel()
		if err != nil {
			con.quarantine.again(qua)
		}
		con.cfg.Log.Info("quarantine of a request changed", zap.String("digest", qua.GetDigest()), zap.Bool("lifted", qua.GetLifted()), zap.Error(err))
	}
}

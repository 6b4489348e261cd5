package fpcontrol

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// quarantine decides which requests are refused because they crash upstreams. It is used while this VM leads, and is safe for
// concurrent use.
type quarantine struct {
	mutex sync.Mutex
	tally fpquarantine.Tally
	// due are the changes that have to be committed.
	due []*fpstate.Quarantine
}

// startLeadership adopts the quarantines that earlier leaders have committed, and drops the crashes that this VM counted when
// it led before.
func (qua *quarantine) startLeadership(now time.Time, refused []string) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	qua.tally = fpquarantine.Tally{}
	qua.due = nil
	for _, digest := range refused {
		qua.tally.Adopt(now, digest)
	}
}

// report adds crashes that an entry VM has seen, and clears the digests of requests that upstreams have answered since.
func (qua *quarantine) report(now time.Time, crashes []*fpstate.Crash, cleared []string) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	for _, cra := range crashes {
		refuse := qua.tally.RecordCrash(now, cra.GetDigest(), fpquarantine.Crash{
			Upstream:    cra.GetUpstream(),
			Incarnation: cra.GetBorn(),
		})
		if refuse {
			qua.enqueue(cra.GetDigest(), false)
		}
	}
	for _, digest := range cleared {
		if qua.tally.Clear(digest) {
			qua.enqueue(digest, true)
		}
	}
}

// enqueue adds a change to those that are due. The caller holds the mutex.
func (qua *quarantine) enqueue(digest string, lifted bool) {
	qua.due = append(qua.due, &fpstate.Quarantine{
		Digest: digest,
		Lifted: lifted,
	})
}

// takeDue returns the changes that are due and removes them. A change that is not committed has to be requeued.
func (qua *quarantine) takeDue(now time.Time) []*fpstate.Quarantine {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	for _, digest := range qua.tally.EndExpired(now) {
		qua.enqueue(digest, true)
	}
	due := qua.due
	qua.due = nil
	return due
}

// requeue adds a change whose commit failed to those that are due.
func (qua *quarantine) requeue(one *fpstate.Quarantine) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	qua.due = append(qua.due, one)
}

// commitQuarantines commits the due changes of quarantines. It runs on the leader.
func (con *Control) commitQuarantines(ctx context.Context) {
	for _, qua := range con.quarantine.takeDue(time.Now()) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := con.proposeHere(call, &fpstate.Command{
			Body: &fpstate.Command_Quarantine{
				Quarantine: qua,
			},
		})
		cancel()
		if err != nil {
			con.quarantine.requeue(qua)
		}
		con.cfg.Log.Info("quarantine of a request changed", zap.String("digest", qua.GetDigest()), zap.Bool("lifted", qua.GetLifted()), zap.Error(err))
	}
}

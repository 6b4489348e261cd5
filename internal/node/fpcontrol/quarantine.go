package fpcontrol

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// maxQuarantineCommits bounds the commits of quarantines in flight.
const maxQuarantineCommits = 64

// quarantine decides which requests are refused because they crash upstreams. It is used while this VM leads, and is safe for
// concurrent use.
type quarantine struct {
	mutex sync.Mutex
	tally fpquarantine.Tally
	// storesCrashes states that all control VMs know the crashes of quarantines.
	storesCrashes bool
	// due holds the newest decision on each request that is not known to be committed, and order their digests by age.
	due   map[string]*fpstate.Quarantine
	order []string
	// inFlight holds the decision of each request whose commit is in flight. The next one on that request waits for its end, because
	// commits in flight may reach the log in any order.
	inFlight map[string]*fpstate.Quarantine
}

// startLeadership adopts the decisions that earlier leaders have committed, and drops the crashes that this VM counted when it led
// before. Entry VMs report those of suspects again. Each refusal ends after its time since this VM learned of it, so that it isn't
// longer than that after a change of the leader, and no clock of another VM counts.
func (qua *quarantine) startLeadership(records []fpdirectory.QuarantineRecord) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	qua.tally = fpquarantine.Tally{}
	qua.storesCrashes = false
	qua.due = map[string]*fpstate.Quarantine{}
	qua.order = nil
	qua.inFlight = map[string]*fpstate.Quarantine{}
	for _, rec := range records {
		adopted := fpquarantine.Record{
			Refused: !rec.Quarantine.GetLifted(),
			Since:   rec.Since,
		}
		for _, inc := range rec.Quarantine.GetCrashes() {
			adopted.Crashes = append(adopted.Crashes, fpquarantine.Crash{
				Upstream:    inc.GetUpstream(),
				Incarnation: inc.GetBorn(),
			})
		}
		qua.tally.Adopt(rec.Quarantine.GetDigest(), adopted)
	}
}

// storeCrashes makes decisions contain the crashes from now on, also those that were committed without them.
func (qua *quarantine) storeCrashes() {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	if qua.storesCrashes {
		return
	}
	qua.storesCrashes = true
	qua.tally.SetLasting()
	for digest, refused := range qua.tally.Decisions() {
		qua.enqueue(digest, !refused)
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

// enqueue makes a decision due and replaces an earlier one on the same request. The caller holds the mutex.
func (qua *quarantine) enqueue(digest string, lifted bool) {
	if qua.due[digest] == nil {
		qua.order = append(qua.order, digest)
	}
	next := &fpstate.Quarantine{
		Digest: digest,
		Lifted: lifted,
	}
	if qua.storesCrashes {
		for _, cra := range qua.tally.Crashes(digest) {
			next.Crashes = append(next.Crashes, &fpstate.Incarnation{
				Upstream: cra.Upstream,
				Born:     cra.Incarnation,
			})
		}
	}
	qua.due[digest] = next
}

// release makes the end of a refusal due and drops the crashes of the request, on order of an operator.
func (qua *quarantine) release(digest string) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	qua.tally.Clear(digest)
	qua.enqueue(digest, true)
}

// takeDue returns the decisions whose commits begin now. Each one has to be passed to finish.
func (qua *quarantine) takeDue(now time.Time) []*fpstate.Quarantine {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	for _, digest := range qua.tally.EndExpired(now) {
		qua.enqueue(digest, true)
	}
	var all []*fpstate.Quarantine
	for _, digest := range qua.order {
		if len(qua.inFlight) >= maxQuarantineCommits {
			break
		}
		if qua.inFlight[digest] == nil {
			qua.inFlight[digest] = qua.due[digest]
			all = append(all, qua.due[digest])
		}
	}
	return all
}

// finish records the end of a commit. After an error, the newest decision on the request is committed next, which is later in the
// log: an entry whose outcome is unknown can't replace it. A commit of an earlier leadership is ignored.
func (qua *quarantine) finish(one *fpstate.Quarantine, err error) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	digest := one.GetDigest()
	if qua.inFlight[digest] != one {
		return
	}
	delete(qua.inFlight, digest)
	if err == nil && qua.due[digest] == one {
		delete(qua.due, digest)
		qua.order = slices.DeleteFunc(qua.order, func(other string) bool { return other == digest })
	}
}

// commitQuarantines begins to commit the due decisions of the leader of a term. It doesn't wait for the commits, which commits counts.
func (con *Control) commitQuarantines(ctx context.Context, commits *sync.WaitGroup, term uint64) {
	if con.directory.Level() >= fpdirectory.LevelCrashes {
		con.quarantine.storeCrashes()
	}
	for _, qua := range con.quarantine.takeDue(time.Now()) {
		commits.Go(func() {
			err := con.proposeInTerm(ctx, term, &fpstate.Command{
				Body: &fpstate.Command_Quarantine{
					Quarantine: qua,
				},
			})
			con.quarantine.finish(qua, err)
			con.cfg.Log.Info("quarantine of a request changed", zap.String("digest", qua.GetDigest()), zap.Bool("lifted", qua.GetLifted()),
				zap.Int("crashes", len(qua.GetCrashes())), zap.Error(err))
		})
	}
}

// Release ends the refusal of a request and forgets its crashes, here if this VM leads, or else at the leader. It returns once that is
// committed.
func (ser *service) Release(ctx context.Context, req *connect.Request[fpstate.ReleaseRequest]) (*connect.Response[fpstate.ReleaseResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	err := ser.con.releaseHere(ctx, req.Msg.GetDigest())
	if fperror.Is(err, fperror.NotLeader) && !req.Msg.GetForwarded() {
		err = ser.con.forwardRelease(ctx, req.Msg.GetDigest())
	}
	if err != nil {
		return nil, orderError(err)
	}
	return connect.NewResponse(&fpstate.ReleaseResponse{}), nil
}

// releaseHere ends the refusal of a request if this VM leads. The error is of kind NotLeader if it does not, InvalidRequest if the
// request has no crashes that count, NoQuorum if this VM has just begun to lead, and CommitUnknown if the outcome is not known when ctx ends.
func (con *Control) releaseHere(ctx context.Context, digest string) error {
	if _, err := con.lead(ctx); err != nil {
		return err
	}
	con.mutex.Lock()
	starting := con.keeper == nil
	con.mutex.Unlock()
	if starting {
		return fperror.New(fperror.NoQuorum, "VM %s has just begun to lead", con.cfg.VM)
	}
	if con.directory.Quarantine(digest) == nil {
		return fperror.New(fperror.InvalidRequest, "request %q is not refused, and no crashes of it count", digest)
	}
	con.quarantine.release(digest)
	for {
		changed := con.directory.Changed()
		if con.directory.Quarantine(digest) == nil {
			con.cfg.Log.Info("request released by an operator", zap.String("digest", digest))
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fperror.Wrap(fperror.CommitUnknown, ctx.Err(), "the release of request %q is not committed yet", digest)
		}
	}
}

// forwardRelease passes a release on to the leader.
func (con *Control) forwardRelease(ctx context.Context, digest string) error {
	leader := con.group.Status().Leader
	if leader == "" || leader == con.cfg.VM {
		return fperror.New(fperror.NoQuorum, "the group has no known leader")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := con.peer(leader).Release(ctx, connect.NewRequest(&fpstate.ReleaseRequest{
		Digest:    digest,
		Forwarded: true,
	}))
	if err != nil {
		return fperror.Wrap(forwardedErrorKind(err), err, "pass a release on to leader %s", leader)
	}
	return nil
}

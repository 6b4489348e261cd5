package fpforward

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

var (
	// errInDoubt is returned for an attempt that counts as late and goes on.
	errInDoubt = fperror.New(fperror.UpstreamLost, "the answer is late, and may still come")
	// errChanged is returned when there may be a way for another attempt.
	errChanged = errors.New("another upstream or path may be in use")
	// errSuperseded ends an attempt because another one has been answered.
	errSuperseded = errors.New("another attempt has been answered")
)

// attempt is one sending of a request to an upstream.
type attempt struct {
	choice choice
	con    link
	sentAt time.Time
	timer  *processingTimer
	// received is the number of bytes that the connection had received before.
	received int64
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// suspected is closed when the answer counts as late, because the path counts as lost or the peer gives no answers.
	suspected chan struct{}
	// inDoubt states that another attempt may begin beside this one, since suspected was closed.
	inDoubt bool
	// reply and err are the outcome, valid when the attempt has ended.
	reply *reply
	err   error
}

// sendWithRetries sends the request until it is answered, or until no further attempt is allowed and those in progress have ended. If
// the request may have run, the error is that of the last attempt after which it may have.
func (exc *exchange) sendWithRetries(ctx context.Context) (*reply, error) {
	defer exc.supersede()
	var failure error
	var cha changes
	for again := true; again || len(exc.open) > 0; {
		var rep *reply
		var err error
		if again && len(exc.ended) == 0 {
			cha = exc.changes()
			prepare, cancel := exc.untilEnd(ctx)
			cho, none := exc.chooseNext(prepare)
			if none == nil {
				rep, err = exc.attempt(ctx, prepare, cho)
			}
			cancel()
			if none != nil {
				if failure == nil || fperror.KindOf(failure).Answer().Outcome() == fperror.NotRun {
					failure = none
				}
				exc.logNoAttempt(none)
				again = false
				continue
			}
		} else {
			rep, err = exc.await(cha)
		}
		switch {
		case err == nil:
			return rep, nil
		case errors.Is(err, errChanged):
			err = errInDoubt
		case !errors.Is(err, errInDoubt) && (failure == nil || fperror.KindOf(err).Answer().Outcome() != fperror.NotRun):
			failure = err
		}
		cha = changes{}
		again = ctx.Err() == nil && exc.undoubted() == nil && exc.mayRetry(err)
	}
	if exc.fallback != nil && ctx.Err() == nil {
		return exc.fallback, nil
	}
	return nil, failure
}

// changes are channels of which one is closed when there may be a way for another attempt.
type changes struct {
	view, restored <-chan struct{}
}

func (exc *exchange) changes() changes {
	return changes{
		view:     exc.fwd.viewChanged(),
		restored: exc.fwd.paths.awaitRestored(),
	}
}

// untilEnd returns a context for the preparation of another attempt, which ends when one in progress ends.
func (exc *exchange) untilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	if len(exc.open) == 0 {
		return ctx, func() {}
	}
	prepare, cancel := context.WithCancel(ctx)
	exc.mutex.Lock()
	exc.stopPreparing = cancel
	exc.mutex.Unlock()
	if len(exc.ended) > 0 {
		cancel()
	}
	return prepare, cancel
}

// end reports the end of an attempt that ran beside others.
func (exc *exchange) end(att *attempt) {
	exc.ended <- att
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	if exc.stopPreparing != nil {
		exc.stopPreparing()
	}
}

// chooseNext returns the upstream for the next attempt, if one is allowed.
func (exc *exchange) chooseNext(ctx context.Context) (choice, error) {
	if err := exc.checkQuarantine(time.Now()); err != nil {
		return choice{}, err
	}
	cho, err := exc.choose(ctx)
	if cho.member != nil {
		exc.lastChoice = cho
	}
	if err == nil && exc.isOpen(cho) {
		err = fperror.New(fperror.NoUpstream, "an attempt at upstream %s is in progress on this path", cho.member.upstream.GetId())
	}
	if err == nil && exc.arrivals > 0 {
		err = exc.takeRetry(time.Now())
	}
	return cho, err
}

// isOpen reports whether an attempt at the upstream of a choice is in progress on the same path.
func (exc *exchange) isOpen(cho choice) bool {
	for att := range exc.open {
		if att.choice.member == cho.member && att.choice.peer == cho.peer {
			return true
		}
	}
	return false
}

// undoubted returns the attempt in progress that isn't in doubt, or nil. There is at most one.
func (exc *exchange) undoubted() *attempt {
	for att := range exc.open {
		if !att.inDoubt {
			return att
		}
	}
	return nil
}

// mayRetry reports whether the request may be sent to another upstream after a failed attempt.
func (exc *exchange) mayRetry(err error) bool {
	var rel *relayError
	if errors.As(err, &rel) && !rel.reason.sent() {
		ownRefusal := rel.reason == relayRefused || rel.reason == relayResting
		return !exc.rest.maybeSent() && !(ownRefusal && exc.keyed)
	}
	if fperror.Is(err, fperror.Overloaded) && exc.keyed {
		// Only the owner can run the request, and it accepts no new connection.
		return false
	}
	if exc.rest.maybeSent() || exc.ownerFull || exc.outOfRoom() || exc.connectFailures >= maxConnectFailures || exc.arrivals >= maxArrivals {
		return false
	}
	if fperror.KindOf(err).Answer().Outcome() == fperror.NotRun {
		return true
	}
	return exc.repeatable() && exc.runs < max(1, int(exc.route.GetMaxAttempts())) && !exc.onProbation()
}

// attempt sends the request to one upstream and waits for the end of an attempt, which may be an earlier one. A nil error means that the
// answer is for the caller. With errInDoubt, the attempt goes on. prepare bounds the time until the request is sent.
func (exc *exchange) attempt(ctx, prepare context.Context, cho choice) (*reply, error) {
	if cho.peer != nil {
		return exc.relay(ctx, prepare, cho)
	}
	mem := cho.member
	if err := exc.takeRate(prepare, cho); err != nil {
		return nil, err
	}
	if err := exc.takePlace(prepare, cho); err != nil {
		exc.returnRate(mem)
		return nil, err
	}
	con, err := exc.connect(prepare, cho)
	if err != nil {
		exc.returnRate(mem)
		exc.returnPlace(mem)
		return nil, err
	}
	if err := cmp.Or(exc.checkExclusion(mem), exc.checkLeft(mem), exc.checkRest(mem), exc.checkCold(mem), exc.checkStop(time.Now(), cho.state), checkPrepared(prepare)); err != nil {
		exc.returnRate(mem)
		exc.returnPlace(mem)
		mem.connections.PutUnused(con)
		return nil, err
	}
	if !con.Used() {
		exc.fwd.counters.add("connections")
	}
	exc.tried[mem] = true
	mem.scheduleExploration(exc.fwd.exploreDelay())
	return exc.run(ctx, cho, link{
		ExclusiveConn: con,
		pool:          mem.connections,
	})
}

// checkPrepared returns an error of kind ConnectFailed if the time until the request is sent has ended.
func checkPrepared(prepare context.Context) error {
	if err := prepare.Err(); err != nil {
		return fperror.Wrap(fperror.ConnectFailed, err, "send the request")
	}
	return nil
}

// run sends the request on a connection and waits as attempt does.
func (exc *exchange) run(ctx context.Context, cho choice, con link) (*reply, error) {
	exc.arrivals++
	exc.runs++
	cho.member.beginRequest()
	att := &attempt{
		choice:   cho,
		con:      con,
		sentAt:   time.Now(),
		received: con.Received(),
	}
	att.timer = newProcessingTimer(att.sentAt)
	att.ctx, att.cancel = context.WithCancelCause(ctx)
	stopWatch := exc.watch(att)
	send := func() {
		defer exc.recoverPanic(func(failure error) {
			con.Close()
			att.reply, att.err = nil, failure
		})
		defer stopWatch()
		att.reply, att.err = exc.send(att.timer.trace(att.ctx, len(exc.body)), cho.member, con)
	}
	if !exc.mayOverlap() {
		send()
		return exc.conclude(att)
	}
	exc.open[att] = true
	go func() {
		defer exc.end(att)
		send()
	}()
	return exc.await(changes{})
}

// mayOverlap reports whether another attempt may begin while one is in progress.
func (exc *exchange) mayOverlap() bool {
	return exc.repeatable() && !exc.relayed && exc.rest == nil
}

// await waits for the end of any attempt in progress and returns its outcome. It returns errInDoubt once the attempt that isn't in doubt
// counts as late, and errChanged after one of the given changes.
func (exc *exchange) await(cha changes) (*reply, error) {
	var suspected chan struct{}
	newest := exc.undoubted()
	if newest != nil {
		suspected = newest.suspected
	}
	select {
	case att := <-exc.ended:
		delete(exc.open, att)
		return exc.conclude(att)
	case <-suspected:
		newest.inDoubt = true
		exc.logDoubt(newest)
		return nil, errInDoubt
	case <-cha.view:
	case <-cha.restored:
	}
	return nil, errChanged
}

// supersede ends the attempts in progress because the request needs them no longer, and waits for their ends.
func (exc *exchange) supersede() {
	for att := range exc.open {
		att.cancel(errSuperseded)
	}
	for len(exc.open) > 0 {
		att := <-exc.ended
		delete(exc.open, att)
		exc.discard(att)
	}
}

// discard releases what an attempt used whose outcome is not needed.
func (exc *exchange) discard(att *attempt) {
	mem := att.choice.member
	if att.err != nil {
		exc.logEnd(att)
	}
	mem.endRequest()
	if att.reply != nil && att.reply.finish != nil {
		att.reply.finish(false)
	}
	if att.choice.peer != nil {
		exc.fwd.peers.End(att.choice.peer)
		if rel := (*relayError)(nil); errors.As(att.err, &rel) && !rel.reason.sent() {
			exc.returnRate(mem)
		}
		return
	}
	exc.endPlace(att.choice, att.err)
	if att.reply != nil {
		exc.fwd.proveDirect(mem, time.Now())
	}
}

// conclude updates the state of the upstream after the end of an attempt, and decides whether its answer is for the caller.
func (exc *exchange) conclude(att *attempt) (*reply, error) {
	exc.lastChoice = att.choice
	if att.err != nil {
		exc.logEnd(att)
	}
	att.choice.member.endRequest()
	if att.choice.peer != nil {
		return exc.concludeRelay(att)
	}
	cho, con, rep, err := att.choice, att.con, att.reply, att.err
	mem := cho.member
	exc.endPlace(cho, err)
	if rep != nil {
		exc.fwd.proveDirect(mem, time.Now())
		exc.countAnswer(rep)
	}
	exc.observeRate(mem, att.sentAt, rep, err)
	exc.observeCold(mem, att.sentAt, rep)
	exc.observeLeaving(mem, rep)
	took := att.timer.elapsed(time.Now())
	exc.fwd.counters.observe("upstream", took)
	exc.observeRoomAnswer(cho, rep, err, con.Crashed(), took)
	if err != nil && con.Crashed() {
		// If the connection was new and the time too short for a run, the upstream probably accepts no more connections.
		noRoom := !con.Used() && took < cho.state.mean/2
		if noRoom {
			mem.recordReset(time.Now())
		}
		exc.recordInterruption(mem, time.Now(), !noRoom)
	}
	return exc.finishAttempt(att, took)
}

// finishAttempt updates the state of the upstream after an attempt that has taken some time, and decides whether its answer is
// for the caller. The time of an attempt that was in doubt says nothing about the upstream.
func (exc *exchange) finishAttempt(att *attempt, took time.Duration) (*reply, error) {
	rep, err, mem := att.reply, att.err, att.choice.member
	if att.inDoubt {
		took = 0
	}
	if took > 0 && (err == nil || fperror.KindOf(err).Answer().Outcome() != fperror.NotRun) {
		exc.fwd.answerTimes.observe(time.Now(), exc.route.GetName(), took)
	}
	if err != nil {
		exc.recordFailure(att, took)
		return nil, err
	}
	exc.clearSuspect(att.sentAt)
	exc.observeRest(mem, rep)
	mem.recordAnswer(time.Now(), rep.answer, took, rep.status >= http.StatusInternalServerError)
	if exc.keyed {
		exc.fwd.load.addAnswer(exc.service, mem.upstream.GetId(), mem.state(time.Now()).mean)
	}
	if exc.retryFailedAnswer(rep) {
		exc.fallback = rep
		return nil, fperror.New(fperror.UpstreamLost, "upstream %s answered with status %d", mem.upstream.GetId(), rep.status)
	}
	return rep, nil
}

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
	// errAttemptOpen is returned for an attempt whose path counts as lost and which goes on.
	errAttemptOpen = fperror.New(fperror.UpstreamLost, "the path to the upstream counts as lost, and its answer may still come")
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
	// suspected is closed when the path counts as lost. Nil: the path isn't watched.
	suspected chan struct{}
	// reply and err are the outcome, valid when the attempt has ended.
	reply *reply
	err   error
}

// sendWithRetries sends the request until it is answered, or until no further attempt is allowed and those in progress have ended. If
// the request may have run, the error is that of the last attempt after which it may have.
func (exc *exchange) sendWithRetries(ctx context.Context) (*reply, error) {
	defer exc.supersede()
	var failure error
	for again := true; again || len(exc.open) > 0; {
		if !again || len(exc.ended) > 0 {
			rep, err := exc.await(nil)
			if err == nil {
				return rep, nil
			}
			failure = lastAfterRun(failure, err)
			again = ctx.Err() == nil && exc.mayRetry(err)
			continue
		}
		prepare, cancel := exc.untilEnd(ctx)
		cho, err := exc.chooseNext(prepare)
		if err != nil {
			cancel()
			if failure == nil || fperror.KindOf(failure).Answer().Outcome() == fperror.NotRun {
				failure = err
			}
			again = false
			continue
		}
		rep, err := exc.attempt(ctx, prepare, cho)
		cancel()
		if err == nil {
			return rep, nil
		}
		if !errors.Is(err, errAttemptOpen) {
			failure = lastAfterRun(failure, err)
		}
		again = ctx.Err() == nil && exc.mayRetry(err)
	}
	if exc.fallback != nil && ctx.Err() == nil {
		return exc.fallback, nil
	}
	return nil, failure
}

// lastAfterRun returns the error of the last attempt after which the request may have run, or the first error without one.
func lastAfterRun(failure, err error) error {
	if failure == nil || fperror.KindOf(err).Answer().Outcome() != fperror.NotRun {
		return err
	}
	return failure
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
	if err == nil && cho.peer == nil && exc.openAt(cho.member) {
		err = fperror.New(fperror.NoUpstream, "an attempt at upstream %s is in progress on this path", cho.member.upstream.GetId())
	}
	if err == nil && exc.arrivals > 0 {
		err = exc.takeRetry(time.Now())
	}
	return cho, err
}

// openAt reports whether an attempt at an upstream is in progress on this VM's own path.
func (exc *exchange) openAt(mem *member) bool {
	for att := range exc.open {
		if att.choice.peer == nil && att.choice.member == mem {
			return true
		}
	}
	return false
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
// answer is for the caller. With errAttemptOpen, the attempt goes on. prepare bounds the time until the request is sent.
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
	if err := cmp.Or(exc.checkExclusion(mem), exc.checkLeft(mem), exc.checkRest(mem), exc.checkCold(mem), exc.checkStop(time.Now(), cho.state)); err != nil {
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
	stopWatch := func() {}
	if cho.peer == nil {
		att.suspected = make(chan struct{})
		stopWatch = exc.watchPath(att)
	}
	send := func() {
		defer exc.recoverPanic(func(failure error) { att.reply, att.err = nil, failure })
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
	return exc.await(att)
}

// mayOverlap reports whether another attempt may begin while one is in progress.
func (exc *exchange) mayOverlap() bool {
	return exc.repeatable() && !exc.relayed && exc.rest == nil
}

// await waits for the end of any attempt in progress and returns its outcome, or errAttemptOpen once the path of the newest one counts as
// lost. A nil newest stands for none that is watched.
func (exc *exchange) await(newest *attempt) (*reply, error) {
	var suspected chan struct{}
	if newest != nil {
		suspected = newest.suspected
	}
	select {
	case att := <-exc.ended:
		delete(exc.open, att)
		return exc.conclude(att)
	case <-suspected:
		exc.logSuspicion(newest)
		return nil, errAttemptOpen
	}
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
	return exc.finishAttempt(cho, rep, err, took)
}

// finishAttempt updates the state of the upstream after an attempt that has taken some time, and decides whether its answer is
// for the caller.
func (exc *exchange) finishAttempt(cho choice, rep *reply, err error, took time.Duration) (*reply, error) {
	mem := cho.member
	if err == nil || fperror.KindOf(err).Answer().Outcome() != fperror.NotRun {
		exc.fwd.answerTimes.observe(time.Now(), exc.route.GetName(), took)
	}
	if err != nil {
		exc.recordFailure(cho, rep, err, took)
		return nil, err
	}
	exc.clearSuspect(time.Now().Add(-took))
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

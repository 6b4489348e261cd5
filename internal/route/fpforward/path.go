package fpforward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// silenceCheck is how long a request waits at least for an answer until its path is checked, if this VM hears from no upstream at
	// all. With other answers arriving, a late one is more likely slow, and overdueCheck applies, but no sooner than partialCheck. Where upstreams are heard rarely,
	// silenceGaps times the mean time between two answers or connections takes its place, up to maxSilenceCheck: with 26 answers a
	// second, a pause of 150 ms comes every two seconds by chance. Each one made all requests that waited check their paths.
	silenceCheck    = 150 * time.Millisecond
	silenceGaps     = 8
	maxSilenceCheck = 600 * time.Millisecond
	// gapWeight is the weight of one gap in their moving mean.
	gapWeight    = 0.05
	partialCheck = 600 * time.Millisecond
	// overdueCheck is the multiple of the expected time of an answer after which it is late. With 1, half of the requests would open
	// a connection.
	overdueCheck = 2
	// maxCheckDoublings bounds how often the time until the next check doubles while checks succeed and the upstream does not answer.
	maxCheckDoublings = 3
	// watchInterval is the time between two looks at a request that has waited for silenceCheck.
	watchInterval = 50 * time.Millisecond
	// minCheckTimeout is the least time after which a path counts as lost on which a connection is being opened, if no upstream is
	// heard. The time follows that which connections have taken, because a full link delays them. maxCheckTimeout bounds it, and
	// applies if other upstreams are heard. The opening goes on until then, so that a wrong verdict ends by itself.
	minCheckTimeout = 200 * time.Millisecond
	maxCheckTimeout = time.Second
	// suspicionWindow is the time within which the losses of two paths make all others suspect, and how long they stay so.
	suspicionWindow = time.Second
	// probesPerSecond and probeBurst bound the probes of all lost paths of a VM together.
	probesPerSecond = 16
	probeBurst      = 8
	// connectTimeWeight and connectDeviationWeight are the weights of one connection in the moving mean of the times that
	// connections take, and in that of their deviation from it. connectDeviations is the number of deviations beyond the mean after
	// which a connection counts as late. Source: RFC 6298.
	connectTimeWeight      = 0.125
	connectDeviationWeight = 0.25
	connectDeviations      = 4
)

// errPathLost is returned for a path that counts as lost because a connection is not open in time.
var errPathLost = errors.New("the path to the upstream is lost")

// pathStatus is what a VM knows of its own path to an upstream.
type pathStatus uint8

const (
	// pathWell means that the last connection or answer came through.
	pathWell pathStatus = iota
	// pathSuspect means that the paths to others were lost since this one was last proven.
	pathSuspect
	// pathLost means that a new connection could not be opened since.
	pathLost
)

// pathTracker detects that a VM loses its paths to several upstreams together. The zero value is ready for use.
type pathTracker struct {
	// provenAt is when any upstream was last heard, in nanoseconds of the Unix time.
	provenAt atomic.Int64
	// meanGap is the moving mean of the times between two moments at which any upstream was heard, in nanoseconds; 0 before the first.
	meanGap atomic.Int64
	// suspicion is the current one, or nil.
	suspicion atomic.Pointer[suspicion]

	mutex sync.Mutex
	// connectTimes are the times that connections to upstreams at each distance take.
	connectTimes [otherRegion + 1]connectTime
	losses       []lostPath
	// restored is closed and replaced when a lost path is well again.
	restored chan struct{}
}

// suspicion makes paths suspect that were last proven before a time. It holds until another time.
type suspicion struct {
	before, until time.Time
}

// lostPath is a path that was lost. began is when the attempt began that showed the loss.
type lostPath struct {
	member *member
	began  time.Time
	at     time.Time
}

// connectTime is the moving mean of the times that connections take, and of their deviation from it.
type connectTime struct {
	mean, deviation time.Duration
}

// recordConnect records how long it took to open a connection to an upstream at a distance.
func (trk *pathTracker) recordConnect(dis distance, took time.Duration) {
	trk.mutex.Lock()
	defer trk.mutex.Unlock()
	cot := &trk.connectTimes[dis]
	off := took - cot.mean
	cot.mean += time.Duration(connectTimeWeight * float64(off))
	cot.deviation += time.Duration(connectDeviationWeight * float64(max(off, -off)-cot.deviation))
}

// checkTimeout returns the time after which a connection to an upstream at a distance counts as late.
func (trk *pathTracker) checkTimeout(dis distance) time.Duration {
	trk.mutex.Lock()
	defer trk.mutex.Unlock()
	cot := trk.connectTimes[dis]
	return min(maxCheckTimeout, max(minCheckTimeout, cot.mean+connectDeviations*cot.deviation))
}

// hear records that an upstream was heard. Longer gaps than maxSilenceCheck are mostly times without requests.
func (trk *pathTracker) hear(now time.Time) {
	gap := now.UnixNano() - trk.provenAt.Swap(now.UnixNano())
	gap = min(max(0, gap), int64(maxSilenceCheck))
	mean := trk.meanGap.Load()
	if mean == 0 {
		trk.meanGap.Store(max(1, gap))
		return
	}
	trk.meanGap.Store(max(1, mean+int64(gapWeight*float64(gap-mean)))) // a lost update of another goroutine does not matter
}

// awaken is called when a request arrives while none is in flight. The time before it was no silence, because nobody owed an answer.
func (trk *pathTracker) awaken(now time.Time) { trk.provenAt.Store(now.UnixNano()) }

// silenceLimit returns how long no upstream is heard before paths are checked.
func (trk *pathTracker) silenceLimit() time.Duration {
	return min(maxSilenceCheck, max(silenceCheck, time.Duration(silenceGaps*trk.meanGap.Load())))
}

// connectTimeout returns how long a request waits for a connection to an upstream at a distance.
func (trk *pathTracker) connectTimeout(dis distance) time.Duration {
	return max(connectTimeout, trk.checkTimeout(dis))
}

// silent reports whether no upstream at all has been heard for a number of silence limits.
func (trk *pathTracker) silent(now time.Time, limits int) bool {
	return trk.silence(now) >= time.Duration(limits)*trk.silenceLimit()
}

// silence returns how long no upstream has been heard.
func (trk *pathTracker) silence(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, trk.provenAt.Load()))
}

// recordLoss records the loss of a path that was well before.
func (trk *pathTracker) recordLoss(mem *member, began, now time.Time) {
	trk.mutex.Lock()
	defer trk.mutex.Unlock()
	kept := trk.losses[:0]
	others := false
	earliest := began
	for _, los := range trk.losses {
		if los.member == mem || now.Sub(los.at) > suspicionWindow {
			continue
		}
		kept = append(kept, los)
		others = true
		if los.began.Before(earliest) {
			earliest = los.began
		}
	}
	trk.losses = append(kept, lostPath{
		member: mem,
		began:  began,
		at:     now,
	})
	if others {
		trk.suspicion.Store(&suspicion{
			before: earliest,
			until:  now.Add(suspicionWindow),
		})
	}
}

// suspects reports whether a path that was last proven at a time is suspect.
func (trk *pathTracker) suspects(now, provenAt time.Time) bool {
	sus := trk.suspicion.Load()
	return sus != nil && now.Before(sus.until) && provenAt.Before(sus.before)
}

// awaitRestored returns a channel that is closed when a lost path is well again.
func (trk *pathTracker) awaitRestored() <-chan struct{} {
	trk.mutex.Lock()
	defer trk.mutex.Unlock()
	if trk.restored == nil {
		trk.restored = make(chan struct{})
	}
	return trk.restored
}

// restore wakes those who wait for awaitRestored, and ends the suspicion.
func (trk *pathTracker) restore() {
	trk.suspicion.Store(nil)
	trk.mutex.Lock()
	defer trk.mutex.Unlock()
	if trk.restored != nil {
		close(trk.restored)
		trk.restored = nil
	}
}

// proveDirect records that an upstream was heard on this VM's own path.
func (fwd *Forwarder) proveDirect(mem *member, now time.Time) {
	fwd.paths.hear(now)
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.provenAt = now
	mem.pathDoubted = false
}

// pathOf returns the state of this VM's own path to an upstream.
func (fwd *Forwarder) pathOf(mem *member, now time.Time) pathStatus {
	mem.mutex.Lock()
	lost, doubted, provenAt := mem.pathLost, mem.pathDoubted, mem.provenAt
	mem.mutex.Unlock()
	switch {
	case lost:
		return pathLost
	case doubted || fwd.paths.suspects(now, provenAt):
		return pathSuspect
	default:
		return pathWell
	}
}

// stranded reports whether this VM has lost its paths to half of the upstreams or more, so that its failures to reach one are no
// evidence against that upstream.
func (fwd *Forwarder) stranded(now time.Time) bool {
	vie := fwd.view.Load()
	lost := 0
	for _, mem := range vie.active {
		if fwd.pathOf(mem, now) != pathWell {
			lost++
		}
	}
	return lost >= 2 && 2*lost >= len(vie.active)
}

// losePath records that no connection to an upstream could be opened by an attempt that began at a time, and probes it until
// one can.
func (fwd *Forwarder) losePath(mem *member, began time.Time, err error) {
	now := time.Now()
	first, probe := mem.losePath(now)
	if first {
		fwd.counters.add("pathsLost")
		if processEnded(err) || fwd.paths.silent(now, 1) {
			fwd.paths.recordLoss(mem, began, now)
		}
		fwd.cfg.Log.Debug("path to an upstream lost", zap.String("upstream", mem.upstream.GetId()), zap.Error(err))
	}
	if probe {
		go fwd.probe(mem)
	}
}

// losePath marks the path as lost and extends the hold-down. It reports whether the path was well before, and whether the caller
// has to start a probe, because none is running.
func (mem *member) losePath(now time.Time) (first, probe bool) {
	mem.mutex.Lock()
	first = !mem.pathLost
	mem.pathLost, mem.pathDoubted = true, false
	mem.mutex.Unlock()
	return first, mem.holdDownUnreachable(now)
}

// doubtPath makes a lost path suspect, because that to another upstream is well again. The next request checks it.
func (mem *member) doubtPath() {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.pathLost, mem.pathDoubted, mem.probing = false, true, false
	mem.holdDownUntil = time.Time{}
}

// pathCheck is a check of a path that several requests may wait for.
type pathCheck struct {
	began time.Time
	done  chan struct{}
	// err is the error of the check, valid when done is closed.
	err error
}

// startCheck opens a connection to an upstream, unless that is being done already. The result is also in the state of the upstream.
func (fwd *Forwarder) startCheck(mem *member) *pathCheck {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if mem.check != nil {
		return mem.check
	}
	chk := &pathCheck{
		began: time.Now(),
		done:  make(chan struct{}),
	}
	mem.check = chk
	go fwd.runCheck(mem, chk)
	return chk
}

// runCheck opens a connection to an upstream, keeps it for later requests, and records whether that was possible.
func (fwd *Forwarder) runCheck(mem *member, chk *pathCheck) {
	fwd.counters.add("pathChecks")
	ctx, cancel := context.WithTimeout(context.Background(), maxCheckTimeout)
	defer cancel()
	con, err := mem.connections.Open(ctx)
	now := time.Now()
	mem.mutex.Lock()
	mem.check = nil
	if mem.checksPassed++; err != nil {
		mem.checksPassed = 0
	}
	mem.mutex.Unlock()
	if chk.err = err; err != nil {
		fwd.losePath(mem, chk.began, err)
		if processEnded(err) {
			go fwd.confirmEnded(mem) // the requests that wait for the check do not wait for the peers
		}
	} else {
		fwd.paths.recordConnect(mem.distance, now.Sub(chk.began))
		fwd.restorePath(mem, now)
		mem.connections.PutUnused(con)
	}
	close(chk.done)
}

// restorePath records that a path is well. If it was lost, others are checked by the next requests that use them.
func (fwd *Forwarder) restorePath(mem *member, now time.Time) {
	lost := mem.isPathLost()
	mem.recordReached(now)
	fwd.proveDirect(mem, now)
	if lost {
		fwd.paths.restore()
	}
}

// checkPath checks a path and returns the error, or nil if it is well. If no upstream is heard, it counts as lost once a
// connection takes longer than usual.
func (fwd *Forwarder) checkPath(mem *member) error {
	chk := fwd.startCheck(mem)
	timer := time.NewTimer(time.Until(chk.began.Add(fwd.paths.checkTimeout(mem.distance))))
	defer timer.Stop()
	select {
	case <-chk.done:
		return chk.err
	case <-timer.C:
	}
	if fwd.paths.silent(time.Now(), 1) {
		fwd.losePath(mem, chk.began, errPathLost)
		return errPathLost
	}
	<-chk.done
	return chk.err
}

// watch watches an attempt until the returned function is called, and closes att.suspected when its answer counts as late. It never ends
// the attempt: a VM whose link is full or that gets no processor time hears nothing either, while the upstream is at work.
func (exc *exchange) watch(att *attempt) (stop func()) {
	att.suspected = make(chan struct{})
	isLate := exc.pathHangs
	if att.choice.peer != nil {
		if !exc.mayOverlap() {
			return func() {}
		}
		isLate = exc.peerHangs
	}
	var mutex sync.Mutex
	stopped := false
	var timer *time.Timer
	look := func() {
		late := att.con.Received() == att.received && isLate(att) && att.con.Received() == att.received
		mutex.Lock()
		defer mutex.Unlock()
		switch {
		case stopped:
		case late && exc.mayOverlap():
			close(att.suspected)
		default:
			timer.Reset(watchInterval)
		}
	}
	mutex.Lock()
	timer = time.AfterFunc(silenceCheck, look)
	mutex.Unlock()
	return func() {
		mutex.Lock()
		defer mutex.Unlock()
		stopped = true
		timer.Stop()
	}
}

// pathHangs checks the path of an attempt if the upstream is silent. It reports whether the path counts as lost and no upstream is heard.
func (exc *exchange) pathHangs(att *attempt) bool {
	mem := att.choice.member
	if !exc.fwd.pathSilent(mem, att.sentAt, att.choice.state.expectedTime()) {
		return false
	}
	err := exc.fwd.checkPath(mem)
	return err != nil && !processEnded(err) && exc.fwd.paths.silent(time.Now(), 2)
}

// peerHangs reports whether the answer to an attempt through a peer is overdue while this VM's own path to the upstream is well again, or
// the peer gives no answers at all.
func (exc *exchange) peerHangs(att *attempt) bool {
	now := time.Now()
	if now.Sub(att.sentAt) < max(partialCheck, overdueCheck*att.choice.state.expectedTime()) {
		return false
	}
	return exc.fwd.peers.Silent(att.choice.peer, now) || exc.fwd.pathOf(att.choice.member, now) == pathWell
}

// pathSilent reports whether an upstream has been silent for so long that its path has to be checked: since a request was sent
// whose answer was expected after a time, or since the path was proven last. After each check that succeeds without an answer, the
// time doubles: the upstream is only slow.
func (fwd *Forwarder) pathSilent(mem *member, sentAt time.Time, expected time.Duration) bool {
	now := time.Now()
	mem.mutex.Lock()
	heard, doublings := mem.provenAt, min(mem.checksPassed, maxCheckDoublings)
	mem.mutex.Unlock()
	if heard.Before(sentAt) {
		heard = sentAt
	}
	silence := now.Sub(heard)
	if silence >= max(partialCheck, overdueCheck*expected)<<doublings {
		return true
	}
	return silence >= silenceCheck<<doublings && fwd.paths.silent(now, 1)
}

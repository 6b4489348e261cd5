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
	// silenceCheck is how long a request waits for an answer until its path is checked, if this VM hears from no upstream at all.
	// With other answers arriving, a late one is more likely slow, and partialCheck applies.
	silenceCheck = 150 * time.Millisecond
	partialCheck = 500 * time.Millisecond
	// watchInterval is the time between two looks at a request that has waited for silenceCheck.
	watchInterval = 50 * time.Millisecond
	// checkTimeout bounds the opening of a connection by which a path is checked.
	checkTimeout = 200 * time.Millisecond
	// suspicionWindow is the time within which the losses of two paths make all others suspect, and how long they stay so.
	suspicionWindow = time.Second
	// minProbePause is the least time between two probes of an upstream when the path to another one has become well.
	minProbePause = 100 * time.Millisecond
)

// errPathLost ends the attempt of an idempotent request whose connection hangs.
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
	// suspicion is the current one, or nil.
	suspicion atomic.Pointer[suspicion]

	mutex  sync.Mutex
	losses []lostPath
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
	fwd.paths.provenAt.Store(now.UnixNano())
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.provenAt = now
}

// pathOf returns the state of this VM's own path to an upstream.
func (fwd *Forwarder) pathOf(mem *member, now time.Time) pathStatus {
	mem.mutex.Lock()
	lost, provenAt := mem.pathLost, mem.provenAt
	mem.mutex.Unlock()
	switch {
	case lost:
		return pathLost
	case fwd.paths.suspects(now, provenAt):
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
		fwd.paths.recordLoss(mem, began, now)
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
	mem.pathLost = true
	mem.mutex.Unlock()
	return first, mem.holdDownUnreachable(now)
}

// pathCheck is a check of a path that several requests may wait for.
type pathCheck struct {
	done chan struct{}
	// err is the error of the check, valid when done is closed.
	err error
}

// checkPath opens a connection to an upstream, unless that is being done already, and returns the error. It returns nil if the
// path is well.
func (fwd *Forwarder) checkPath(mem *member) error {
	mem.mutex.Lock()
	chk := mem.check
	if chk != nil {
		mem.mutex.Unlock()
		<-chk.done
		return chk.err
	}
	chk = &pathCheck{
		done: make(chan struct{}),
	}
	mem.check = chk
	mem.mutex.Unlock()
	chk.err = fwd.openForCheck(mem)
	mem.mutex.Lock()
	mem.check = nil
	mem.mutex.Unlock()
	close(chk.done)
	return chk.err
}

// startCheck checks a path on another goroutine, unless that is being done already. The result is in the state of the upstream.
func (fwd *Forwarder) startCheck(mem *member) {
	mem.mutex.Lock()
	running := mem.check != nil
	mem.mutex.Unlock()
	if !running {
		go func() { _ = fwd.checkPath(mem) }()
	}
}

// openForCheck opens a connection to an upstream and keeps it for later requests. It records whether that was possible.
func (fwd *Forwarder) openForCheck(mem *member) error {
	fwd.counters.add("pathChecks")
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	con, err := mem.connections.Open(ctx)
	if err != nil {
		fwd.losePath(mem, began, err)
		return err
	}
	fwd.proveDirect(mem, time.Now())
	mem.connections.Put(con, 0)
	return nil
}

// watchPath returns a context for an attempt and watches its path until the returned function is called. If the connection
// hangs, it marks the path as lost and ends the attempt of an idempotent request with the cause errPathLost. received returns
// the number of bytes that the connection has received.
func (exc *exchange) watchPath(ctx context.Context, mem *member, received func() int64) (context.Context, func()) {
	ctx, abandon := context.WithCancelCause(ctx)
	began, before := time.Now(), received()
	var mutex sync.Mutex
	stopped := false
	var timer *time.Timer
	look := func() {
		lost := false
		if received() == before && exc.fwd.pathSilent(mem, began) {
			err := exc.fwd.checkPath(mem)
			lost = err != nil && !processEnded(err)
		}
		mutex.Lock()
		defer mutex.Unlock()
		switch {
		case stopped:
		case lost && exc.repeatable() && !exc.rest.maybeSent():
			abandon(errPathLost)
		default:
			timer.Reset(watchInterval)
		}
	}
	mutex.Lock()
	timer = time.AfterFunc(silenceCheck, look)
	mutex.Unlock()
	return ctx, func() {
		mutex.Lock()
		defer mutex.Unlock()
		stopped = true
		timer.Stop()
	}
}

// pathSilent reports whether an upstream has been silent for so long that its path has to be checked: since a request was sent,
// or since it was heard last.
func (fwd *Forwarder) pathSilent(mem *member, sentAt time.Time) bool {
	now := time.Now()
	mem.mutex.Lock()
	heard := mem.provenAt
	mem.mutex.Unlock()
	if heard.Before(sentAt) {
		heard = sentAt
	}
	silence := now.Sub(heard)
	allSilent := now.Sub(time.Unix(0, fwd.paths.provenAt.Load())) >= silenceCheck
	return silence >= partialCheck || allSilent && silence >= silenceCheck
}

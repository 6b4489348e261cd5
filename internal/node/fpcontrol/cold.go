package fpcontrol

import (
	"context"
	"maps"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fprate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// coldNewsInterval is the minimum time between two times when polls of entry VMs end because of cold upstreams. When a data centre
	// comes back, dozens of upstreams say within a second that they are cold.
	coldNewsInterval = 100 * time.Millisecond
	// coldRepeatInterval is how often an entry VM gets unchanged statements about cold upstreams, for responses that were lost.
	coldRepeatInterval = 2 * time.Second
	// maxNotified bounds the entry VMs whose last notification is kept. Above it, all are notified again.
	maxNotified = 4 * maxAnnouncements
)

// coldNews tracks which statements about cold upstreams have to be passed on to entry VMs and to other control VMs. Use newColdNews to
// create one. It is safe for concurrent use.
type coldNews struct {
	// wanted gets a value when there is something to pass on.
	wanted chan struct{}

	mutex sync.Mutex
	// version counts the changes that polls are ended for, and changed is closed and replaced at the next one.
	version uint64
	changed chan struct{}
	// fresh states that statements have changed since the last version.
	fresh    bool
	notified map[string]notification // by entry VM
	// pending are the statements that this VM has received itself and not yet sent to the other control VMs, and unconfirmed those that
	// the leader has not confirmed.
	pending     map[fprate.Incarnation]fprate.Statement
	unconfirmed map[fprate.Incarnation]fprate.Statement
	// ended is when this VM has learned that the evacuation of a data centre has ended.
	ended map[string]time.Time
}

// notification is the version of which an entry VM was last notified, when, and how often.
type notification struct {
	version uint64
	at      time.Time
	times   int
}

// notifyTimes is how often an entry VM is notified of a change at once, because a response may be lost.
const notifyTimes = 2

func newColdNews() *coldNews {
	return &coldNews{
		wanted:      make(chan struct{}, 1),
		changed:     make(chan struct{}),
		notified:    map[string]notification{},
		pending:     map[fprate.Incarnation]fprate.Statement{},
		unconfirmed: map[fprate.Incarnation]fprate.Statement{},
		ended:       map[string]time.Time{},
	}
}

// note records that statements have changed.
func (con *coldNews) note() {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.fresh = true
	con.want()
}

// want asks for a round of passOnCold. The caller holds the mutex.
func (con *coldNews) want() {
	select {
	case con.wanted <- struct{}{}:
	default:
	}
}

// add records a statement that this VM has received itself. If it has changed a limit, it is sent to all control VMs at once.
func (con *coldNews) add(inc fprate.Incarnation, sta fprate.Statement, changed bool) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.unconfirmed[inc] = sta
	if changed {
		con.pending[inc] = sta
		con.fresh = true
		con.want()
	}
}

// take ends the polls of entry VMs if statements have changed, and returns those to send to the other control VMs.
func (con *coldNews) take() map[fprate.Incarnation]fprate.Statement {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	if con.fresh {
		con.fresh = false
		con.version++
		close(con.changed)
		con.changed = make(chan struct{})
	}
	pending := con.pending
	con.pending = map[fprate.Incarnation]fprate.Statement{}
	return pending
}

// watch returns a channel that is closed at the next change, and whether an entry VM does not know the last one.
func (con *coldNews) watch(vm string) (changed <-chan struct{}, due bool) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	last := con.notified[vm]
	return con.changed, last.version < con.version || con.version > 0 && last.times < notifyTimes
}

// notify reports whether an entry VM gets all statements now, and records that it does. It always is if the response has upstreams
// that the VM may not know yet: the one before may have been lost.
func (con *coldNews) notify(vm string, upstreams bool) bool {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	last, now := con.notified[vm], time.Now()
	// A response that is sent for another reason has the changes that wait for the next version, too: it may be the one by which the
	// entry VM learns of the upstream.
	if !upstreams && !con.fresh && last.version == con.version && (last.times >= notifyTimes || con.version == 0) && now.Sub(last.at) < coldRepeatInterval {
		return false
	}
	if len(con.notified) >= maxNotified {
		clear(con.notified)
	}
	times := 1
	if last.version == con.version {
		times = min(notifyTimes, last.times+1)
	}
	con.notified[vm] = notification{
		version: con.version,
		at:      now,
		times:   times,
	}
	return true
}

// toConfirm returns the statements that the leader has not confirmed.
func (con *coldNews) toConfirm() map[fprate.Incarnation]fprate.Statement {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	return maps.Clone(con.unconfirmed)
}

// confirm records that the leader has confirmed statements. Those that were replaced by newer ones stay unconfirmed.
func (con *coldNews) confirm(all map[fprate.Incarnation]fprate.Statement) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	for inc, sta := range all {
		if con.unconfirmed[inc] == sta {
			delete(con.unconfirmed, inc)
		}
	}
}

// recordEnd records that the evacuation of a data centre has ended.
func (con *coldNews) recordEnd(dataCentre string) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.ended[dataCentre] = time.Now()
}

// endedWithin reports whether the evacuation of a data centre has ended within a time.
func (con *coldNews) endedWithin(dataCentre string, length time.Duration) bool {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	at, ok := con.ended[dataCentre]
	return ok && time.Since(at) < length
}

// coldKey returns the key of the limit of an upstream while it is cold.
func coldKey(ups *fpstate.Upstream) fprate.Incarnation {
	return fprate.Incarnation{
		ID:   ups.GetId(),
		Born: ups.GetBorn(),
		Cold: true,
	}
}

// recordCold records the time for which an upstream has said in an announcement that it is still cold; 0 means that it is not cold. An
// announcement without that time has an effect only on a limit in force, or if entry VMs assume one because an evacuation has ended.
func (con *Control) recordCold(ups *fpstate.Upstream, left time.Duration) {
	ser := con.findService(ups.GetService())
	if ser.GetColdPerSecond() <= 0 {
		return
	}
	now, inc := time.Now(), coldKey(ups)
	sta := fprate.Statement{
		Limited:   left > 0,
		PerSecond: ser.GetColdPerSecond(),
		At:        now,
		Until:     now.Add(left),
	}
	assumed := con.cold.endedWithin(ups.GetDataCentre(), ser.GetColdStart().AsDuration())
	if left <= 0 && !assumed && !con.rates.Stated(now, inc) {
		return
	}
	changed := con.rates.MergeCold(now, inc, sta)
	con.cold.add(inc, sta, changed)
	if changed {
		con.metrics.coldChanges.Add(1)
		con.cfg.Log.Info("cold state of an upstream changed", zap.String("upstream", inc.ID), zap.Uint64("born", inc.Born),
			zap.Bool("cold", left > 0), zap.Duration("left", left), zap.Float64("perSecond", sta.PerSecond))
	}
}

// passOnCold ends the polls of entry VMs when the limits of cold upstreams change, and sends the statements that this VM has received to
// all control VMs at once, because the leader may be about to change. It runs until ctx ends.
func (con *Control) passOnCold(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-con.cold.wanted:
		}
		pending := con.cold.take()
		for _, mst := range con.group.Status().Members {
			if len(pending) == 0 || mst.VM == con.cfg.VM {
				continue
			}
			calls.Go(func() { con.sendCold(ctx, mst.VM, pending) })
		}
		if !sleep(ctx, coldNewsInterval) {
			return
		}
	}
}

// sendCold sends statements to another control VM. If that fails, the VM gets them with the next exchange with the leader.
func (con *Control) sendCold(ctx context.Context, vm string, statements map[fprate.Incarnation]fprate.Statement) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := con.peer(vm).Announce(ctx, connect.NewRequest(&fpstate.AnnounceRequest{
		Rates: fprate.EncodeStatements(time.Now(), statements),
	}))
	if err != nil {
		con.metrics.lostRelays.Add(1)
	}
}

// addCold adds the statements about cold upstreams to the response to a poll, unless the entry VM knows them.
func (con *Control) addCold(req *fpstate.WatchRequest, res *fpstate.WatchResponse) {
	if con.cold.notify(req.GetVm(), len(res.GetState().GetUpstreams()) > 0) {
		res.Rates = append(res.Rates, fprate.EncodeStatements(time.Now(), con.rates.StatementsOf(true))...)
	}
}

// assumeCold keeps limits for the cold upstreams of which only entry VMs know that they may be cold.
func (con *Control) assumeCold(now time.Time, asks []fprate.Ask) {
	for _, ask := range asks {
		inc := ask.Incarnation
		ups := con.directory.Upstream(inc.ID)
		if !inc.Cold || ups.GetBorn() != inc.Born || ups.GetGone() {
			continue
		}
		if rate := con.findService(ups.GetService()).GetColdPerSecond(); rate > 0 {
			con.rates.Assume(now, inc, rate)
		}
	}
}

// followEvacuations records when evacuations end, until ctx ends. One that had ended when this VM started is not recorded.
func (con *Control) followEvacuations(ctx context.Context) {
	var last uint64
	active := map[string]bool{}
	for {
		changed := con.directory.Changed()
		sta, index := con.directory.Since(last)
		for _, eva := range sta.GetEvacuations() {
			if !eva.GetActive() && (active[eva.GetDataCentre()] || last > 0) {
				con.cold.recordEnd(eva.GetDataCentre())
			}
			active[eva.GetDataCentre()] = eva.GetActive()
		}
		last = index
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		if !sleep(ctx, coldNewsInterval) {
			return
		}
	}
}

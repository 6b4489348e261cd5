package fpforward

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fprate"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fproom"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

const (
	// connectTimeout is how long a request waits at least for a connection to be opened, so that an upstream that does not answer is
	// detected. The longest round trip takes 60 ms, and a lost packet is sent again after 200 ms or more. Where connections take
	// longer, because bodies fill the VM's link, the time follows them up to maxCheckTimeout.
	connectTimeout = 350 * time.Millisecond
	// maxIdleConnections bounds the idle connections to one upstream.
	maxIdleConnections = 8
	// connectionFraction is the fraction of the connections that an upstream accepts which all entry VMs use together. An
	// upstream resets connections above its limit, and a request on such a connection may have run.
	connectionFraction = 0.75
	// minConnections is the number of connections that each VM may use whatever the number of VMs.
	minConnections = 2
	// answerWeight is the weight of one answer in the moving mean of an upstream's answer times.
	answerWeight = 0.15
	// silenceHalfLife is the half-life of the estimated load and of the excess time of an upstream that does not answer.
	silenceHalfLife = 2 * time.Second
	// overdueWeight is the weight of a request without an answer in time in the moving means. It is higher than that of an
	// answer, because such requests are rarer and tell more.
	overdueWeight = 0.3
	// reportHalfLife is the age at which a load report has half its weight in the estimated load. The mean of the reports
	// has the rest of the weight.
	reportHalfLife = 150 * time.Millisecond
	// reportWeight is the weight of one load report in their moving mean.
	reportWeight = 0.2
	// queueWaitFactor scales the queue wait that is computed from the estimated load. Requests wait less than that, because
	// reports come with the end of a request, when the load is above its mean.
	queueWaitFactor = 0.6
	// defaultMeanTime is the expected time of an answer of an upstream that has not answered yet.
	defaultMeanTime = 100 * time.Millisecond
	// minHoldDown and maxHoldDown bound how long an upstream is not used after a failure to reach it. The time doubles with
	// each failure in a row.
	minHoldDown = 300 * time.Millisecond
	maxHoldDown = 2 * time.Second
	// failureWeight is the weight of one answer in the moving failure rate.
	failureWeight = 0.08
	// minConnectPause and maxConnectPause bound how long no connection to an upstream is opened after it has reset a new
	// one. The pause doubles with each reset. An upstream with a long queue accepts fewer connections than it states.
	minConnectPause = 100 * time.Millisecond
	maxConnectPause = 800 * time.Millisecond
	// defaultResetWait is how long, beyond the time to open it, a new connection to an upstream that may be full is watched
	// for a reset before a request is sent on it. The reset takes one round trip, and the upstream needs some time.
	// maxResetWait bounds the whole wait if opening the connection took long.
	defaultResetWait = 3 * time.Millisecond
	maxResetWait     = 100 * time.Millisecond
	// resetRetention is how long after the end of that pause the upstream is treated as one that may be full.
	resetRetention = 5 * time.Second
	// maxLoadAge is the age above which a load report doesn't show whether an upstream is full.
	maxLoadAge = 2 * time.Second
	// exploreSpread is the time over which the VMs spread their first requests to a new upstream.
	exploreSpread = 2 * time.Second
	// unansweredExploreDelay is the time after which an upstream is explored again if it has not answered.
	unansweredExploreDelay = 10 * time.Second
	// exploreInterval is the mean time between requests by which the VMs of a data centre explore one of its upstreams. An
	// upstream that was slow once would otherwise get no requests and could not show that it has become faster.
	exploreInterval = 1500 * time.Millisecond
	// shedHoldDown is how long this VM sends no requests to an upstream that has shed one.
	shedHoldDown = 60 * time.Millisecond
)

// distance is the location of an upstream relative to this VM.
type distance uint8

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
)

// member is what this VM knows of one incarnation of an upstream.
type member struct {
	upstream    *fpstate.Upstream
	distance    distance
	connections *fpconn.ExclusivePool
	joinedAt    time.Time // when this VM first received the incarnation
	// interrupted are the requests whose connections have broken, and confirming states that confirmCrash is running.
	interrupted interruptedRequests
	confirming  atomic.Bool

	mutex sync.Mutex
	// exploreAt is when this VM may send the upstream a request although others are expected to answer sooner.
	exploreAt time.Time
	inFlight  int
	// mean is the moving mean of the answer times, without the time in the upstream's queue and divided by the slowness.
	mean     time.Duration
	answers  int
	slowness slowness
	// excess is the moving mean, as of overdueAt, of the time beyond mean that requests without an answer in time have
	// taken. It decays, because an upstream that gets no requests because of it cannot show that it has become faster.
	excess        time.Duration
	overdueAt     time.Time
	report        platform.Load
	otherLoad     float64 // requests of other VMs in the last load report
	meanOtherLoad float64 // moving mean of otherLoad
	reportedAt    time.Time
	// holdDownUntil is until when the upstream is not used, and holdDown the length of the last hold-down after a failure to
	// reach it, or 0.
	holdDownUntil time.Time
	holdDown      time.Duration
	probing       bool
	// pathLost states that this VM could not open its last connection to the upstream. provenAt is when it last heard the
	// upstream on its own path, and check the check of the path that is running, or nil.
	// pathDoubted states that the path was lost, and that to another upstream is well again.
	pathLost    bool
	pathDoubted bool
	provenAt    time.Time
	check       *pathCheck
	// checksPassed is the number of checks of the path that succeeded since the upstream has answered last.
	checksPassed int
	// relayed is the number of requests in flight that this VM has sent for other VMs. inFlight includes them.
	relayed int
	// relayMisses counts the peers in a row that could not reach the upstream either, and relayHeldUntil is until when none is
	// asked. relayHold is the length of the last such time.
	relayMisses    int
	relayHeldUntil time.Time
	relayHold      time.Duration
	// restUntil is until when the upstream wants no requests from this VM. restTrial states that it has not answered since.
	restUntil time.Time
	restTrial bool
	// leavingSince is when the upstream has first said in an answer that it leaves, or zero.
	leavingSince time.Time
	failureRate  float64 // moving mean, from 0 to 1
	// connectPauseUntil is until when no new connections are opened, and connectPause the length of the last pause.
	connectPauseUntil time.Time
	connectPause      time.Duration
}

// distanceFrom returns the distance of an upstream from a data centre.
func (fwd *Forwarder) distanceFrom(dataCentre, region string, ups *fpstate.Upstream) distance {
	switch {
	case ups.GetDataCentre() == dataCentre:
		return sameDataCentre
	case fwd.cfg.Region(ups.GetDataCentre()) == region:
		return sameRegion
	default:
		return otherRegion
	}
}

func (fwd *Forwarder) newMember(ups *fpstate.Upstream) *member {
	return &member{
		upstream: ups,
		distance: fwd.distanceFrom(fwd.cfg.DataCentre, fwd.region, ups),
		connections: fpconn.NewExclusivePool(fpconn.ExclusivePoolConfig{
			Upstream:       ups.GetId(),
			Address:        ups.GetAddress(),
			ConnectTimeout: maxCheckTimeout,
			MaxIdle:        maxIdleConnections,
			ReadBuffer:     fwd.readBuffer(),
			ID:             platform.DecodeAttempt,
			Dial:           fwd.cfg.Dial,
		}),
		joinedAt:  time.Now(),
		provenAt:  time.Now(),
		exploreAt: time.Now().Add(coldStartTime + time.Duration(fwd.random()*float64(exploreSpread))),
	}
}

// readBuffer returns the size in bytes of the receive buffer of connections to upstreams, or 0 for the system's default.
func (fwd *Forwarder) readBuffer() int {
	if fwd.pacers.enabled() {
		return 2 * pacedBurst
	}
	return 0
}

// CallerReadBuffer returns the size in bytes of the receive buffer of callers' connections, or 0 for the system's default. On a slow
// link it bounds what callers send of bodies that this VM does not read.
func (fwd *Forwarder) CallerReadBuffer() int { return fwd.readBuffer() }

// rateKey returns the key of the upstream in the limiter of request rates.
func (mem *member) rateKey() fprate.Incarnation {
	return fprate.Incarnation{
		ID:   mem.upstream.GetId(),
		Born: mem.upstream.GetBorn(),
	}
}

// concurrency returns the number of requests that the upstream runs at once, at least 1.
func (mem *member) concurrency() float64 { return float64(max(1, mem.upstream.GetConcurrency())) }

// memberState is the state of an upstream on which its choice is based.
type memberState struct {
	usable bool
	// path is the state of this VM's own path to the upstream. usable does not depend on it.
	path pathStatus
	// rest is the time until the upstream may get the next request because it has asked for rest, or 0.
	rest time.Duration
	// leaving states that the upstream has said in an answer that it leaves, and leavingFor the time since then.
	leaving    bool
	leavingFor time.Duration
	// inFlight is the number of requests of this VM's callers in flight, and relayed that of other VMs'.
	inFlight int
	relayed  int
	// load is the estimated number of requests at the upstream.
	load float64
	// loadAge is the age of the last load report, or negative if there was none.
	loadAge time.Duration
	// wait is the expected time in the upstream's queue, and mean the expected processing time.
	wait        time.Duration
	mean        time.Duration
	failureRate float64
	// hasAnswered states that the upstream has answered this VM, so that mean and load are based on its answers.
	hasAnswered bool
	// explorationDue states that the upstream may get a request although others are expected to answer sooner.
	explorationDue bool
	// room is what the leader knows of the places of the upstream.
	room fproom.State
}

// expectedTime returns the expected time until the answer.
func (sta memberState) expectedTime() time.Duration { return sta.wait + sta.mean }

func (mem *member) state(now time.Time) memberState {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	age := now.Sub(mem.reportedAt)
	other := 0.0
	if mem.reportedAt.IsZero() {
		age = -1
	} else {
		meanOther := mem.meanOtherLoad * decay(age, silenceHalfLife)
		other = meanOther + (mem.otherLoad-meanOther)*decay(age, reportHalfLife)
	}
	sta := memberState{
		usable:     mem.pathLost || !now.Before(mem.holdDownUntil),
		inFlight:   mem.inFlight - mem.relayed,
		relayed:    mem.relayed,
		rest:       mem.restRemaining(now),
		leaving:    !mem.leavingSince.IsZero(),
		leavingFor: now.Sub(mem.leavingSince),
		load:       float64(mem.inFlight) + other,
		loadAge:    age,
		mean: time.Duration(float64(mem.mean)*mem.slowness.factor(now) +
			float64(mem.excess)*decay(now.Sub(mem.overdueAt), silenceHalfLife)),
		failureRate: mem.failureRate,
		hasAnswered: mem.answers > 0,
	}
	sta.explorationDue = (!sta.hasAnswered || mem.distance == sameDataCentre) && mem.inFlight == 0 && now.After(mem.exploreAt)
	if !sta.hasAnswered {
		sta.mean = defaultMeanTime
	}
	sta.wait = mem.queueWait(sta.load, sta.mean)
	return sta
}

// decay returns the factor by which a value decays at an age.
func decay(age, halfLife time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// queueWait returns the expected time in the upstream's queue, given the requests there and the mean processing time.
func (mem *member) queueWait(load float64, mean time.Duration) time.Duration {
	excess := load + 1 - mem.concurrency()
	if excess <= 0 {
		return 0
	}
	return time.Duration(queueWaitFactor * excess / mem.concurrency() * float64(mean))
}

// assumeMeans sets the state of an upstream that has not answered yet to the means of those of the service that have. With a
// more optimistic estimate, all entry VMs would choose it at once, and an upstream that is too busy to answer would be
// chosen again and again.
func (sta *memberState) assumeMeans(mem *member, mean time.Duration, load float64) {
	if sta.hasAnswered || mean <= 0 {
		return
	}
	sta.mean = mean
	sta.load = float64(sta.inFlight) + load
	sta.wait = mem.queueWait(sta.load, mean)
}

// atConnectionLimit reports whether this VM uses its share of the connections that an upstream accepts, given the number of
// entry VMs. accepted is 0 if the number of connections is not limited.
func (sta memberState) atConnectionLimit(accepted, entries uint32) bool {
	return accepted > 0 && sta.inFlight >= connectionShare(accepted, entries)
}

// connectionShare returns this VM's share of the connections that an upstream accepts. Requests that it relays for others have
// another share, which those VMs do not use meanwhile.
func connectionShare(accepted, entries uint32) int {
	return max(minConnections, int(connectionFraction*float64(accepted)/float64(max(1, entries))))
}

// recordReset records that the upstream has reset a new connection, and pauses the opening of connections.
func (mem *member) recordReset(now time.Time) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if now.Before(mem.connectPauseUntil) {
		return
	}
	mem.connectPause = min(maxConnectPause, max(minConnectPause, 2*mem.connectPause))
	mem.connectPauseUntil = now.Add(mem.connectPause)
}

// connectPaused reports whether no connection may be opened because the upstream has reset a new one.
func (mem *member) connectPaused(now time.Time) bool {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if now.Sub(mem.connectPauseUntil) > maxConnectPause {
		mem.connectPause = 0
	}
	return now.Before(mem.connectPauseUntil)
}

// mayReset reports whether the upstream may reset a new connection because it is full: it has reset one lately, it runs as
// many requests as it can, or its load is not known. An upstream in another region with unknown load is assumed to have
// room, because waiting for a reset takes longer there.
func (mem *member) mayReset(now time.Time, sta memberState) bool {
	mem.mutex.Lock()
	resetRecently := now.Sub(mem.connectPauseUntil) < resetRetention
	mem.mutex.Unlock()
	busy := sta.load >= mem.concurrency()
	unknown := !sta.hasAnswered || sta.loadAge < 0 || sta.loadAge > maxLoadAge
	return resetRecently || busy || unknown && mem.distance != otherRegion
}

// beginRequest counts a request as in flight.
func (mem *member) beginRequest() {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.inFlight++
	mem.exploreAt = time.Now().Add(unansweredExploreDelay)
}

// scheduleExploration sets the time until the upstream is explored again, if it has answered.
func (mem *member) scheduleExploration(delay time.Duration) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if mem.answers > 0 {
		mem.exploreAt = time.Now().Add(delay)
	}
}

// endRequest counts the end of a request in flight.
func (mem *member) endRequest() {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.inFlight--
}

// recordAnswer updates the estimates after an answer that took the given time, or 0 if that is not known. failed states that its status was 500 or
// more, or that the request was shed.
func (mem *member) recordAnswer(now time.Time, ans platform.Answer, took time.Duration, failed bool) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.checksPassed = 0
	if !mem.pathLost {
		mem.holdDown = 0
		mem.holdDownUntil = time.Time{}
	}
	fail := 0.0
	if failed {
		fail = 1
	}
	mem.failureRate += failureWeight * (fail - mem.failureRate)
	if ans.HasLoad {
		mem.recordLoad(now, ans.Load)
	}
	if ans.NotRun || failed {
		return
	}
	mem.restTrial = false
	if took <= 0 {
		return
	}
	// Exclude the time in the upstream's queue, as estimated from the reported load.
	if ans.HasLoad && ans.Load.Waiting > 0 && ans.Load.Slots > 0 {
		took = time.Duration(float64(took) / (1 + float64(ans.Load.Waiting)/float64(ans.Load.Slots)))
	}
	took = time.Duration(float64(took) / mem.slowness.factor(now))
	if mem.answers == 0 {
		mem.mean = took
	}
	mem.answers++
	mem.mean += time.Duration(answerWeight * float64(took-mem.mean))
}

// recordOverdue updates the estimates after a request that got no answer within the given time.
func (mem *member) recordOverdue(now time.Time, took time.Duration) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if mem.answers == 0 {
		// Only the excess decays. The owner of a key with a mean above the deadline would get no request by which to lower it.
		mem.mean = defaultMeanTime
		mem.answers = 1
	}
	excess := time.Duration(float64(mem.excess) * decay(now.Sub(mem.overdueAt), silenceHalfLife))
	mean := time.Duration(float64(mem.mean) * mem.slowness.factor(now))
	mem.excess = max(excess, excess+time.Duration(overdueWeight*float64(took-mean-excess)))
	mem.overdueAt = now
	// The shortest queue that explains the wait has as many requests as the upstream runs at once.
	mem.otherLoad = max(mem.otherLoad, 2*mem.concurrency())
	mem.meanOtherLoad += overdueWeight * (mem.otherLoad - mem.meanOtherLoad)
	mem.reportedAt = now
}

// recordLoad records a load report. The report includes the request whose answer carried it. The requests of this VM are
// subtracted.
func (mem *member) recordLoad(now time.Time, loa platform.Load) {
	mem.report = loa
	mem.reportedAt = now
	mem.slowness.record(now, loa)
	mem.otherLoad = max(0, float64(loa.Running+loa.Waiting-max(0, mem.inFlight-1)))
	mem.meanOtherLoad += reportWeight * (mem.otherLoad - mem.meanOtherLoad)
}

// isPathLost reports whether this VM could not open its last connection to the upstream.
func (mem *member) isPathLost() bool {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	return mem.pathLost
}

// recordShed starts a short hold-down after the upstream has shed a request.
func (mem *member) recordShed(now time.Time) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if until := now.Add(shedHoldDown); until.After(mem.holdDownUntil) {
		mem.holdDownUntil = until
	}
}

// holdDownUnreachable starts a hold-down of an upstream that could not be reached; the time doubles with each failure in a
// row. It reports whether the caller has to start a probe, because none is running.
func (mem *member) holdDownUnreachable(now time.Time) bool {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.holdDown = min(maxHoldDown, max(minHoldDown, 2*mem.holdDown))
	mem.holdDownUntil = now.Add(mem.holdDown)
	if mem.probing {
		return false
	}
	mem.probing = true
	return true
}

// recordFailure counts an attempt whose connection or answer broke.
func (mem *member) recordFailure() {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.failureRate += failureWeight * (1 - mem.failureRate)
}

// recordReached records that a connection to the upstream could be opened. It ends the hold-down, and its probe after one more
// success.
func (mem *member) recordReached(now time.Time) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.holdDownUntil = time.Time{}
	mem.pathLost, mem.pathDoubted, mem.probing = false, false, false
	mem.provenAt = now
}

// holdDownRemaining returns the time until the end of the hold-down; 0 or less means that it has ended.
func (mem *member) holdDownRemaining(now time.Time) time.Duration {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	return max(mem.holdDownUntil.Sub(now), mem.restUntil.Sub(now))
}

package fpforward

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

const (
	// connectTimeout finds an upstream that does not answer; the longest way there and back takes 60 ms, and a lost
	// packet is sent again after 200 ms or more.
	connectTimeout = 350 * time.Millisecond
	// maxIdleLines bounds the idle connections to one upstream.
	maxIdleConnections = 8
	// lineShare is the part of the connections that an upstream accepts which all entry VMs use together. An upstream
	// resets those above its number, and a request on such a connection may have run.
	connectionFraction = 0.75
	// leastLines is the number of connections of each VM whatever the number of VMs.
	minConnections = 2
	// learnShare is the weight of one answer in the mean time of an upstream.
	answerWeight = 0.15
	// silenceHalfLife is the time in which what is known of the load of an upstream counts half when it does not answer.
	silenceHalfLife = 2 * time.Second
	// overdueShare is the weight of a request that got no answer in time. It is rarer than an answer and says more.
	overdueWeight = 0.3
	// reportHalfLife is the age at which a report of load counts half; the mean of the reports takes its place.
	reportHalfLife = 150 * time.Millisecond
	// reportShare is the weight of one report in the mean.
	reportWeight = 0.2
	// waitFactor is the part of the wait computed from the estimated load that requests really wait: reports come with
	// the end of a request, when the load is above its mean.
	queueWaitFactor = 0.6
	// defaultTime is the time of an answer of an upstream that has given none.
	defaultMeanTime = 100 * time.Millisecond
	// firstPause and maxPause bound how long an upstream is left alone after a failure to reach it.
	minHoldDown = 300 * time.Millisecond
	maxHoldDown = 2 * time.Second
	// failShare is the weight of one answer in the share of failures.
	failureWeight = 0.08
	// leastLinePause and mostLinePause bound how long no connection is opened after the upstream has reset a new one. An
	// upstream with a long queue accepts fewer connections than it states.
	minConnectPause = 100 * time.Millisecond
	maxConnectPause = 800 * time.Millisecond
	// defaultSettle is how long, beyond the time to open it, a new connection to an upstream that may be full is watched for a
	// reset before a request is sent on it: the reset takes one way there and back, and the upstream some time. mostSettle
	// bounds the whole where opening has taken long.
	defaultResetWait = 3 * time.Millisecond
	maxResetWait     = 100 * time.Millisecond
	// resetMemory is how long an upstream that has reset a new connection counts as one that may be full, and staleLoad the age
	// from which a report of its load says nothing of that.
	resetRetention = 5 * time.Second
	maxLoadAge     = 2 * time.Second
	// exploreSpread is the time over which the VMs send their first requests to an upstream that has joined, so that they do
	// not come together; explorePause is the time until the next one if there was no answer.
	exploreSpread          = 2 * time.Second
	unansweredExploreDelay = 10 * time.Second
	// exploreEvery is the time between requests of the VMs of a data centre to an upstream there that they would not choose.
	// Without any, an upstream that was slow once would never show that it is better.
	exploreInterval = 1500 * time.Millisecond
	// shedPause is how long an upstream that sheds gets no further request from this VM.
	shedHoldDown = 60 * time.Millisecond
)

// distance is how far an upstream is from this VM.
type distance uint8

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
)

// member is one life of an upstream as this VM knows it.
type member struct {
	upstream    *fpstate.Upstream
	distance    distance
	connections *fpconn.Exclusive
	joinedAt    time.Time
	// broken are the requests whose connections have broken, and confirming states that it is being found out whether the
	// process has ended.
	interrupted interruptedRequests
	confirming  atomic.Bool

	mutex sync.Mutex
	// explore is when the upstream is due for a request from this VM although others are expected to answer sooner.
	exploreAt time.Time
	inFlight  int
	// mean is the mean time of an answer without waiting.
	mean    time.Duration
	answers int
	// excess is by how much more than mean requests without an answer in time have taken, at overdueAt. It fades, because
	// an upstream that gets no requests for it could not show that it is better.
	excess        time.Duration
	overdueAt     time.Time
	report        platform.Load
	otherLoad     float64 // load of other VMs in the last report
	meanOtherLoad float64 // mean load of other VMs
	reportedAt    time.Time
	// away is until when the upstream is left alone, and pause how long the next time.
	holdDownUntil time.Time
	holdDown      time.Duration
	probing       bool
	failureRate   float64
	// fewLines is until when no new connections are opened, and linePause how long the next time.
	connectPauseUntil time.Time
	connectPause      time.Duration
}

func (fwd *Forwarder) newMember(ups *fpstate.Upstream) *member {
	dis := otherRegion
	switch {
	case ups.GetDataCentre() == fwd.cfg.DataCentre:
		dis = sameDataCentre
	case fwd.cfg.Region(ups.GetDataCentre()) == fwd.region:
		dis = sameRegion
	}
	return &member{
		upstream: ups,
		distance: dis,
		connections: fpconn.NewExclusive(fpconn.ExclusiveConfig{
			Upstream:       ups.GetId(),
			Address:        ups.GetAddress(),
			ConnectTimeout: connectTimeout,
			MaxIdle:        maxIdleConnections,
			ReadBuffer:     fwd.readBuffer(),
		}),
		joinedAt:  time.Now(),
		exploreAt: time.Now().Add(coldStartTime + time.Duration(fwd.random()*float64(exploreSpread))),
	}
}

// readBuffer returns the size of the buffer of a connection to an upstream, or 0 for the system's default.
func (fwd *Forwarder) readBuffer() int {
	if fwd.pacers.enabled() {
		return 2 * pacedBurst
	}
	return 0
}

// units returns the number of requests that the upstream runs at once.
func (mem *member) concurrency() float64 { return float64(max(1, mem.upstream.GetConcurrency())) }

// state is what the choice of an upstream goes by.
type memberState struct {
	usable   bool
	inFlight int
	// load is the estimated number of requests at the upstream.
	load float64
	// age is that of the last report of load.
	loadAge time.Duration
	// wait and mean are the expected times in its queue and at work.
	wait        time.Duration
	mean        time.Duration
	failureRate float64
	// known states that the upstream has answered, so that mean and load are its own.
	hasAnswered bool
	// due states that the upstream is due for a request although others are expected to answer sooner.
	explorationDue bool
}

// expected returns the expected time until the answer.
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
		usable:      !now.Before(mem.holdDownUntil),
		inFlight:    mem.inFlight,
		load:        float64(mem.inFlight) + other,
		loadAge:     age,
		mean:        mem.mean + time.Duration(float64(mem.excess)*decay(now.Sub(mem.overdueAt), silenceHalfLife)),
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

// fade returns what is left of 1 after a time.
func decay(age, halfLife time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// waitAt returns the expected wait at a load.
func (mem *member) queueWait(load float64, mean time.Duration) time.Duration {
	excess := load + 1 - mem.concurrency()
	if excess <= 0 {
		return 0
	}
	return time.Duration(queueWaitFactor * excess / mem.concurrency() * float64(mean))
}

// assume takes the means of the other upstreams of the service for one that has not answered yet. With a better guess,
// all entry VMs would choose it at once, and one that is too busy to answer would be chosen again and again.
func (sta *memberState) assumeMeans(mem *member, mean time.Duration, load float64) {
	if sta.hasAnswered || mean <= 0 {
		return
	}
	sta.mean = mean
	sta.load = float64(sta.inFlight) + load
	sta.wait = mem.queueWait(sta.load, mean)
}

// crowded reports whether this VM uses its part of the connections that an upstream accepts.
func (sta memberState) atConnectionLimit(accepted, entries uint32) bool {
	if accepted == 0 {
		return false
	}
	return sta.inFlight >= max(minConnections, int(connectionFraction*float64(accepted)/float64(max(1, entries))))
}

// resetLine notes that the upstream has reset a new connection.
func (mem *member) recordReset(now time.Time) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if now.Before(mem.connectPauseUntil) {
		return
	}
	mem.connectPause = min(maxConnectPause, max(minConnectPause, 2*mem.connectPause))
	mem.connectPauseUntil = now.Add(mem.connectPause)
}

// refusesLines reports whether the upstream has reset a new connection lately.
func (mem *member) connectPaused(now time.Time) bool {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if now.Sub(mem.connectPauseUntil) > maxConnectPause {
		mem.connectPause = 0
	}
	return now.Before(mem.connectPauseUntil)
}

// mayReset reports whether the upstream may have no room for another connection: it has reset one lately, its places are taken, or
// nothing is known of that. An upstream in another region is given the benefit of the doubt, because waiting costs more there.
func (mem *member) mayReset(now time.Time, sta memberState) bool {
	mem.mutex.Lock()
	resetRecently := now.Sub(mem.connectPauseUntil) < resetRetention
	mem.mutex.Unlock()
	busy := sta.load >= mem.concurrency()
	unknown := !sta.hasAnswered || sta.loadAge < 0 || sta.loadAge > maxLoadAge
	return resetRecently || busy || unknown && mem.distance != otherRegion
}

// begin counts a request as in flight.
func (mem *member) beginRequest() {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.inFlight++
	mem.exploreAt = time.Now().Add(unansweredExploreDelay)
}

// exploreAfter sets when the upstream is due again, if it has answered.
func (mem *member) scheduleExploration(delay time.Duration) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if mem.answers > 0 {
		mem.exploreAt = time.Now().Add(delay)
	}
}

// end counts the end of a request.
func (mem *member) endRequest() {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.inFlight--
}

// answered learns from an answer that took the given time.
func (mem *member) recordAnswer(now time.Time, ans platform.Answer, took time.Duration, failed bool) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.holdDown = 0
	mem.holdDownUntil = time.Time{}
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
	// The time in the queue of the upstream is taken out, as far as its load tells.
	if ans.HasLoad && ans.Load.Waiting > 0 && ans.Load.Slots > 0 {
		took = time.Duration(float64(took) / (1 + float64(ans.Load.Waiting)/float64(ans.Load.Slots)))
	}
	if mem.answers == 0 {
		mem.mean = took
	}
	mem.answers++
	mem.mean += time.Duration(answerWeight * float64(took-mem.mean))
}

// overdue learns from a request that got no answer within the given time: the answer would have taken longer.
func (mem *member) recordOverdue(now time.Time, took time.Duration) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if mem.answers == 0 {
		mem.mean = took
		mem.answers = 1
	}
	excess := time.Duration(float64(mem.excess) * decay(now.Sub(mem.overdueAt), silenceHalfLife))
	mem.excess = max(excess, excess+time.Duration(overdueWeight*float64(took-mem.mean-excess)))
	mem.overdueAt = now
	// A queue as long as what the upstream runs at once is the least that explains the wait.
	mem.otherLoad = max(mem.otherLoad, 2*mem.concurrency())
	mem.meanOtherLoad += overdueWeight * (mem.otherLoad - mem.meanOtherLoad)
	mem.reportedAt = now
}

// learnLoad takes a report of load. The request that it came with has ended.
func (mem *member) recordLoad(now time.Time, loa platform.Load) {
	mem.report = loa
	mem.reportedAt = now
	mem.otherLoad = max(0, float64(loa.Running+loa.Waiting-max(0, mem.inFlight-1)))
	mem.meanOtherLoad += reportWeight * (mem.otherLoad - mem.meanOtherLoad)
}

// shed leaves an upstream alone for a moment that has refused a request.
func (mem *member) recordShed(now time.Time) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if until := now.Add(shedHoldDown); until.After(mem.holdDownUntil) {
		mem.holdDownUntil = until
	}
}

// lost leaves an upstream alone that could not be reached, longer each time. It reports whether a probe has to find out
// when it is back.
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

// failed counts an attempt that broke off.
func (mem *member) recordFailure() {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.failureRate += failureWeight * (1 - mem.failureRate)
}

// probed takes the end of a probe.
func (mem *member) recordProbe(now time.Time, reached bool) (again bool) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if reached {
		mem.holdDownUntil = time.Time{}
		mem.probing = false
		return false
	}
	mem.holdDown = min(maxHoldDown, 2*mem.holdDown)
	mem.holdDownUntil = now.Add(mem.holdDown)
	return true
}

// untilBack returns how long the upstream is still left alone.
func (mem *member) holdDownRemaining(now time.Time) time.Duration {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	return mem.holdDownUntil.Sub(now)
}

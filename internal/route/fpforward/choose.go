package fpforward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprelay"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// The cost of distance, added to the expected time of an answer: the larger one of a minimum and a fraction of the route's
// objective. Bytes that leave the data centre or the region are billed and share a slow link, so a request goes there only
// if that shortens its expected time by more than the cost. A caller loses nothing by a wait within the objective. "Region"
// means another data centre of the own region, "CrossRegion" another region, and "Large" bundles and uploads.
const (
	minRegionCost            = 4 * time.Millisecond
	minCrossRegionCost       = 90 * time.Millisecond
	minLargeRegionCost       = 100 * time.Millisecond
	minLargeCrossRegionCost  = 500 * time.Millisecond
	regionFraction           = 0.08
	crossRegionFraction      = 0.2
	largeRegionFraction      = 0.3
	largeCrossRegionFraction = 0.6
)

const (
	// failureCost is the cost of an upstream that fails every request: the time of a failed attempt and of another one.
	failureCost = 600 * time.Millisecond
	// jitterFraction is the fraction of the expected time by which costs vary at random. Without it, all VMs would choose
	// the same upstream at once, because they know the same load reports.
	jitterFraction = 0.3
	// relayCost is the cost of a relayed attempt beside those of the distances.
	relayCost = 20 * time.Millisecond
	// coldStartTime is how long a new upstream is expected to be slow, and coldStartFactor the factor of its mean time.
	coldStartTime   = 3 * time.Second
	coldStartFactor = 2
	// startupPeriod is the time after the start of this VM from which upstreams that it learns of count as newly started.
	// When a deployment starts, all its VMs and upstreams start within this time.
	startupPeriod = 10 * time.Second
	// exploreFraction is the fraction of the objective within which the answer of an upstream must be expected so that
	// requests explore it.
	exploreFraction = 0.6
	// ownerWait is how long a request waits for an owner of its key when the key is not being moved. It is below an eighth
	// of the shortest objective. After a longer wait, a refusal would have been better.
	ownerWait = 45 * time.Millisecond
	// moveWaitFraction is the fraction of the objective that a request waits while its key moves to a new owner. A move
	// takes a few hundred milliseconds.
	moveWaitFraction = 0.6
	// callerRetryWaitPercent is the percentage of the remaining time that a caller's retry waits while its key moves.
	callerRetryWaitPercent = 60
	// minRetryAfter is the shortest Retry-After of a refusal.
	minRetryAfter = 80 * time.Millisecond
	// retryAfterOutage takes the place of minRetryAfter if no upstream can be used. A restart takes about a second.
	retryAfterOutage = 250 * time.Millisecond
)

// choice is the upstream for an attempt with the data that the choice was based on. keyRange is nil for requests without a
// key.
type choice struct {
	member   *member
	state    memberState
	keyRange *fpstate.Range
	// peer is the entry VM that relays the attempt, or nil if it takes this VM's own path.
	peer *fprelay.Peer
	// waitForRate states that no other upstream can take the request, so that it waits for a token if the upstream has named
	// a request rate.
	waitForRate bool
}

// choose returns the upstream for the next attempt. The error kinds are NoOwner, NoUpstream, Overloaded, Draining and
// DeadlineUnreachable, and all mean that the request was not sent.
func (exc *exchange) choose(ctx context.Context) (choice, error) {
	if exc.keyed {
		return exc.chooseOwner(ctx)
	}
	return exc.chooseAny()
}

// chooseOwner returns the upstream that owns the key of the request, and waits for an owner if there is none.
func (exc *exchange) chooseOwner(ctx context.Context) (choice, error) {
	began := time.Now()
	for {
		changed, half := exc.fwd.viewChanged(), exc.fwd.stop.untilHalf()
		cho, err := exc.findOwner()
		if err == nil || !fperror.Is(err, fperror.NoOwner) {
			return cho, err
		}
		if err := exc.checkStop(time.Now(), cho.state); err != nil {
			return choice{}, err
		}
		wait := ownerWait
		if cho.keyRange.GetPhase() != fpstate.Phase_PHASE_UNSPECIFIED {
			wait = max(wait, time.Duration(moveWaitFraction*float64(exc.route.GetObjective().AsDuration())))
			if exc.callerRetry {
				// The caller will not retry again, and the move of the key will end soon.
				wait = max(wait, exc.deadline.Sub(began)*callerRetryWaitPercent/100)
			}
		}
		limit := time.NewTimer(time.Until(began.Add(wait)))
		select {
		case <-changed:
			limit.Stop()
		case <-half:
			limit.Stop()
		case <-limit.C:
			return choice{}, err
		case <-ctx.Done():
			return choice{}, err
		}
	}
}

// findOwner returns the upstream that owns the key of the request. Without an owner, the error is of kind NoOwner, and the
// choice may hold the range of the key. If the owner cannot be used, the kinds are NoUpstream, Overloaded and
// DeadlineUnreachable.
func (exc *exchange) findOwner() (choice, error) {
	vie := exc.fwd.view.Load()
	ran := fpdirectory.FindRange(vie.keySpaces[exc.service].GetRanges(), exc.info.Key)
	if ran == nil || ran.GetPhase() != fpstate.Phase_PHASE_SERVING {
		if err := exc.checkAvailable(vie); err != nil {
			return choice{}, err
		}
		return choice{
			keyRange: ran,
		}, fperror.New(fperror.NoOwner, "key %d of service %s has no owner, its range is %v", exc.info.Key, exc.service, ran.GetPhase())
	}
	mem := vie.active[incarnation{
		id:   ran.GetUpstream(),
		born: ran.GetBorn(),
	}]
	if mem == nil || exc.refusedFences[ran.GetFence()] {
		return choice{}, fperror.New(fperror.NoOwner, "upstream %s, which owned key %d, is leaving", ran.GetUpstream(), exc.info.Key)
	}
	now := time.Now()
	cho := choice{
		member:   mem,
		state:    mem.state(now),
		keyRange: ran,

		waitForRate: true,
	}
	if reason := exc.exclusion(vie, now, mem); reason != "" {
		return cho, exc.exclusionError(reason, mem)
	}
	if exc.fwd.left(cho.state) {
		return choice{}, exc.checkLeft(mem)
	}
	if cho.state.rest > 0 {
		return cho, exc.restError(mem, cho.state.rest)
	}
	if !cho.state.usable || !exc.findWay(&cho, now, func() *fprelay.Peer { return exc.choosePeer(now, mem) }) {
		return cho, fperror.New(fperror.NoUpstream, "upstream %s, which owns key %d, is held down after a failure", mem.upstream.GetId(), exc.info.Key)
	}
	exc.assumeOwnerMeans(vie, now, mem, &cho.state)
	exc.fwd.observeRoom(now, mem, &cho.state, exc.route.GetObjective().AsDuration())
	if cho.state.atConnectionLimit(exc.maxConnections(vie), exc.fwd.entries.Load()) {
		return cho, fperror.New(fperror.Overloaded, "%d requests are in flight at upstream %s", cho.state.inFlight, mem.upstream.GetId())
	}
	return cho, exc.admit(now, cho.state)
}

// findWay sets how an attempt reaches its upstream: on this VM's own path, or through a peer if that is lost. It reports whether
// there is a way. choosePeer returns the peer, or nil.
func (exc *exchange) findWay(cho *choice, now time.Time, choosePeer func() *fprelay.Peer) bool {
	mem := cho.member
	cho.state.path = exc.fwd.pathOf(mem, now)
	if cho.state.path == pathWell {
		return true
	}
	if !mem.relayHeld(now) {
		cho.peer = choosePeer()
	}
	return cho.peer != nil || cho.state.path == pathSuspect
}

// chooseAny returns the upstream with the lowest cost. One that has named a request rate and has no token left is chosen only
// if there is no other.
func (exc *exchange) chooseAny() (choice, error) {
	vie := exc.fwd.view.Load()
	now := time.Now()
	all := exc.preferReady(now, exc.candidates(vie, now))
	if len(all) == 0 && exc.lostWithPeer != nil {
		delete(exc.tried, exc.lostWithPeer)
		exc.lostWithPeer = nil
		all = exc.preferReady(now, exc.candidates(vie, now))
	}
	best := exc.cheapest(all)
	for first := best; best.member != nil && !exc.fwd.rates.Ready(now, best.member.rateKey(), !exc.lowPriority); {
		all = slices.DeleteFunc(all, func(cho choice) bool { return cho.member == best.member })
		if best = exc.cheapest(all); best.member == nil {
			best = first
			best.waitForRate = true
			break
		}
	}
	if best.member == nil {
		if mem, rest := exc.shortestRest(vie, now); mem != nil {
			return best, exc.restError(mem, rest)
		}
		return best, exc.noUpstreamError(vie)
	}
	return best, exc.admit(now, best.state)
}

// shortestRest returns the upstream whose rest ends first and the time until then, or nil if none rests that may get the request.
func (exc *exchange) shortestRest(vie *view, now time.Time) (*member, time.Duration) {
	var first *member
	var shortest time.Duration
	for _, mem := range vie.services[exc.service] {
		if exc.exclusion(vie, now, mem) != "" {
			continue
		}
		if rest := mem.state(now).rest; rest > 0 && (first == nil || rest < shortest) {
			first, shortest = mem, rest
		}
	}
	return first, shortest
}

// cheapest returns the choice with the lowest cost, or none.
func (exc *exchange) cheapest(all []choice) choice {
	var best choice
	lowestCost := time.Duration(-1)
	for _, cho := range all {
		if cost := exc.cost(cho); lowestCost < 0 || cost < lowestCost {
			lowestCost = cost
			best = cho
		}
	}
	return best
}

// candidates returns the upstreams of the service that may be chosen for the request.
func (exc *exchange) candidates(vie *view, now time.Time) []choice {
	accepted, entries := exc.maxConnections(vie), exc.fwd.entries.Load()
	var all []choice
	var known float64
	var mean time.Duration
	var load float64
	choosePeer := sync.OnceValue(func() *fprelay.Peer { return exc.choosePeer(now, nil) })
	for _, mem := range vie.services[exc.service] {
		if exc.tried[mem] || exc.exclusion(vie, now, mem) != "" {
			continue
		}
		sta := mem.state(now)
		if sta.hasAnswered {
			known++
			mean += sta.mean
			load += sta.load
		}
		if !sta.usable || sta.rest > 0 || exc.fwd.left(sta) || sta.atConnectionLimit(accepted, entries) {
			continue
		}
		cho := choice{
			member: mem,
			state:  sta,
		}
		choose := choosePeer
		if len(exc.refusedDetours) > 0 {
			choose = func() *fprelay.Peer { return exc.choosePeer(now, mem) }
		}
		if exc.findWay(&cho, now, choose) {
			all = append(all, cho)
		}
	}
	for num := range all {
		cho := &all[num]
		if known > 0 {
			cho.state.assumeMeans(cho.member, time.Duration(float64(mean)/known), load/known)
		}
		if now.Sub(cho.member.joinedAt) < coldStartTime && exc.fwd.joinedAfterStartup(cho.member) {
			cho.state.mean *= coldStartFactor
		}
		exc.fwd.observeRoom(now, cho.member, &cho.state, exc.route.GetObjective().AsDuration())
	}
	return all
}

// maxConnections returns the number of connections that each upstream of the service accepts, or 0 if it is not known.
func (exc *exchange) maxConnections(vie *view) uint32 {
	return vie.table.Service(exc.service).GetMaxConnections()
}

// joinedAfterStartup reports whether this VM first received an upstream after its own startup period, so that the upstream
// is newly started.
func (fwd *Forwarder) joinedAfterStartup(mem *member) bool {
	return mem.joinedAt.Sub(fwd.started) > startupPeriod
}

// cost returns the expected time of an answer, with jitter, plus the costs of the upstream's failures and distance.
func (exc *exchange) cost(cho choice) time.Duration {
	mem, sta := cho.member, cho.state
	cost := sta.expectedTime()
	if sta.explorationDue && cho.peer == nil && !sta.leaving && !sta.room.Limited && exc.fwd.prefers(mem) && exc.mayExplore(mem, sta) {
		// Otherwise an upstream that is new or was slow once would get no requests while others are idle.
		cost = 0
	}
	cost += time.Duration((exc.fwd.random() - 0.5) * jitterFraction * float64(cost))
	cost += time.Duration(sta.failureRate * float64(failureCost))
	if sta.leaving {
		cost += leavingCost
	}
	cost += exc.roomCost(cho)
	if pee := cho.peer; pee != nil {
		return cost + relayCost + exc.distanceCost(distance(pee.Distance())) + exc.distanceCost(exc.fwd.distanceFrom(pee.DataCentre(), pee.Region(), mem.upstream))
	}
	return cost + exc.distanceCost(mem.distance)
}

// mayExplore reports whether the request may go to an upstream although others are expected to answer sooner: a new one, or
// one whose answer is expected well within the objective.
func (exc *exchange) mayExplore(mem *member, sta memberState) bool {
	if !sta.hasAnswered {
		return exc.fwd.joinedAfterStartup(mem)
	}
	return sta.expectedTime() <= time.Duration(exploreFraction*float64(exc.route.GetObjective().AsDuration()))
}

// exploreDelay returns the time until this VM explores an upstream that has answered again. It is random and grows with the
// number of entry VMs in a data centre, so that together they explore an upstream about once in exploreInterval.
func (fwd *Forwarder) exploreDelay() time.Duration {
	vie := fwd.view.Load()
	entriesPerDataCentre := max(1, float64(fwd.entries.Load())/float64(max(1, vie.dataCentres)))
	return time.Duration((0.5 + fwd.random()) * entriesPerDataCentre * float64(exploreInterval))
}

// distanceCost returns the cost of sending the request to an upstream at a distance.
func (exc *exchange) distanceCost(dis distance) time.Duration {
	minCost, fraction := time.Duration(0), 0.0
	large := exc.isLarge()
	switch {
	case dis == sameRegion && large:
		minCost, fraction = minLargeRegionCost, largeRegionFraction
	case dis == sameRegion:
		minCost, fraction = minRegionCost, regionFraction
	case dis == otherRegion && large:
		minCost, fraction = minLargeCrossRegionCost, largeCrossRegionFraction
	case dis == otherRegion:
		minCost, fraction = minCrossRegionCost, crossRegionFraction
	}
	return max(minCost, time.Duration(fraction*float64(exc.route.GetObjective().AsDuration())))
}

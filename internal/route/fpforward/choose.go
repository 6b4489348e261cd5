package fpforward

import (
	"context"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// The cost of distance in expected time: the least one, and the one as a share of the objective. Bytes that leave the data centre or
// the region are billed and share a thin link, so a request goes there only when it saves more of the wait than that. As long as
// the wait is within the objective, the caller loses nothing.
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
	// failureCost is the cost of an upstream that fails every request: a failed try and another one.
	failureCost = 600 * time.Millisecond
	// jitterShare is the part of the expected time by which choices vary, so that the VMs, which all know the same
	// reports, do not choose the same upstream at once.
	jitterFraction = 0.3
	// coldTime and coldFactor are how long an upstream that has joined is expected to be slow, and by how much.
	coldStartTime   = 3 * time.Second
	coldStartFactor = 2
	// newcomerAge is the age of this VM from which upstreams that it learns of are taken for new ones. When a deployment
	// starts, all VMs and upstreams come up within this time.
	startupPeriod = 10 * time.Second
	// exploreShare is the part of the objective within which an answer has to be expected of an upstream that is explored.
	exploreFraction = 0.6
	// ownerWait is how long a request waits for an owner of its key when none is in sight: below an eighth of the shortest
	// objective, after which a refusal would have been better.
	ownerWait = 45 * time.Millisecond
	// moveWaitShare is the part of the objective for which a request waits when its key is on the way to a new owner,
	// which takes a few hundred milliseconds.
	moveWaitFraction = 0.6
	// returnedWaitPercent is the part of the time that is left to a caller that has come back for which it waits for a key on
	// its way to a new owner.
	callerRetryWaitPercent = 60
	// workFactor is the time of work, as a multiple of its mean, for which an objective leaves room beside the wait.
	processingFactor = 1.3
	// leastWaitShare is the part of the objective that a request may wait whatever the time of work.
	minWaitFraction = 0.25
	// lowerShare is the part of the wait that is left to routes that are less urgent than another one of the service.
	lowPriorityWaitFraction = 0.6
	// retryAfterLeast and retryAfterSpread bound when a refused caller may come back. The spread keeps callers that were
	// refused together from returning together.
	retryAfterMin = 80 * time.Millisecond
	// retryAfterOutage is the least time where nothing can be served at all; a restart takes about a second.
	retryAfterOutage = 250 * time.Millisecond
	retryAfterJitter = 200 * time.Millisecond
)

// choice is the upstream of an attempt with what decided it.
type choice struct {
	member   *member
	state    memberState
	keyRange *fpstate.Range
}

// choose returns the upstream for the next attempt. The error kinds are NoOwner, NoUpstream, Overloaded and
// DeadlineUnreachable, and all mean that the request was not sent.
func (exc *exchange) choose(ctx context.Context) (choice, error) {
	if exc.keyed {
		return exc.chooseOwner(ctx)
	}
	return exc.chooseAny()
}

// chooseOwner returns the upstream that holds the key of the request, and waits a little for one.
func (exc *exchange) chooseOwner(ctx context.Context) (choice, error) {
	began := time.Now()
	for {
		changed := exc.fwd.viewChanged()
		cho, err := exc.findOwner()
		if err == nil || !fperror.Is(err, fperror.NoOwner) {
			return cho, err
		}
		wait := ownerWait
		if cho.keyRange.GetPhase() != fpstate.Phase_PHASE_UNSPECIFIED {
			wait = max(wait, time.Duration(moveWaitFraction*float64(exc.route.GetObjective().AsDuration())))
			if exc.callerRetry {
				// The caller will not come back again, and the key will be served in a moment.
				wait = max(wait, exc.deadline.Sub(began)*callerRetryWaitPercent/100)
			}
		}
		limit := time.NewTimer(time.Until(began.Add(wait)))
		select {
		case <-changed:
			limit.Stop()
		case <-limit.C:
			return choice{}, err
		case <-ctx.Done():
			return choice{}, err
		}
	}
}

func (exc *exchange) findOwner() (choice, error) {
	vie := exc.fwd.view.Load()
	ran := fpdirectory.Find(vie.keySpaces[exc.service].GetRanges(), exc.info.Key)
	if ran == nil || ran.GetPhase() != fpstate.Phase_PHASE_SERVING {
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
	}
	if !cho.state.usable {
		return cho, fperror.New(fperror.NoUpstream, "upstream %s, which owns key %d, is left alone", mem.upstream.GetId(), exc.info.Key)
	}
	if cho.state.atConnectionLimit(exc.maxConnections(vie), exc.fwd.entries.Load()) {
		return cho, fperror.New(fperror.Overloaded, "%d requests are in flight at upstream %s", cho.state.inFlight, mem.upstream.GetId())
	}
	return cho, exc.admit(now, cho.state)
}

// chooseAny returns the upstream with the least expected time and cost.
func (exc *exchange) chooseAny() (choice, error) {
	vie := exc.fwd.view.Load()
	now := time.Now()
	var best choice
	lowestCost := time.Duration(-1)
	for _, cho := range exc.candidates(vie, now) {
		if cost := exc.cost(cho.member, cho.state); lowestCost < 0 || cost < lowestCost {
			lowestCost = cost
			best = cho
		}
	}
	if best.member == nil {
		return best, fperror.New(fperror.NoUpstream, "none of %d upstreams of service %s can be used", len(vie.services[exc.service]), exc.service)
	}
	return best, exc.admit(now, best.state)
}

// candidates returns the upstreams of the service that can take the request.
func (exc *exchange) candidates(vie *view, now time.Time) []choice {
	accepted, entries := exc.maxConnections(vie), exc.fwd.entries.Load()
	var all []choice
	var known float64
	var mean time.Duration
	var load float64
	for _, mem := range vie.services[exc.service] {
		if exc.tried[mem] {
			continue
		}
		sta := mem.state(now)
		if sta.hasAnswered {
			known++
			mean += sta.mean
			load += sta.load
		}
		if !sta.usable || sta.atConnectionLimit(accepted, entries) {
			continue
		}
		all = append(all, choice{
			member: mem,
			state:  sta,
		})
	}
	for num := range all {
		cho := &all[num]
		if known > 0 {
			cho.state.assumeMeans(cho.member, time.Duration(float64(mean)/known), load/known)
		}
		if now.Sub(cho.member.joinedAt) < coldStartTime && exc.fwd.joinedAfterStartup(cho.member) {
			cho.state.mean *= coldStartFactor
		}
	}
	return all
}

// connections returns the number of connections that each upstream of the service accepts, or 0 if it is not known.
func (exc *exchange) maxConnections(vie *view) uint32 {
	return vie.table.Service(exc.service).GetMaxConnections()
}

// joinedLater reports whether an upstream joined while this VM already knew others, so that it is the upstream that is new.
func (fwd *Forwarder) joinedAfterStartup(mem *member) bool {
	return mem.joinedAt.Sub(fwd.started) > startupPeriod
}

// cost returns the expected time of an answer, with the distance and the failures of the upstream.
func (exc *exchange) cost(mem *member, sta memberState) time.Duration {
	cost := sta.expectedTime()
	if sta.explorationDue && exc.mayExplore(mem, sta) {
		// Without this, an upstream that has joined, or was slow once, would get nothing as long as others are not busy.
		cost = 0
	}
	cost += time.Duration((exc.fwd.random() - 0.5) * jitterFraction * float64(cost))
	cost += time.Duration(sta.failureRate * float64(failureCost))
	return cost + exc.distanceCost(mem.distance)
}

// explores reports whether the request may go to an upstream from which others are expected to answer sooner: the answer has to be
// well within the objective.
func (exc *exchange) mayExplore(mem *member, sta memberState) bool {
	if !sta.hasAnswered {
		return exc.fwd.joinedAfterStartup(mem)
	}
	return sta.expectedTime() <= time.Duration(exploreFraction*float64(exc.route.GetObjective().AsDuration()))
}

// explorePause returns the time until a VM sends the next request to an upstream that it would not choose. The VMs of a data centre
// take turns.
func (fwd *Forwarder) exploreDelay() time.Duration {
	vie := fwd.view.Load()
	near := max(1, float64(fwd.entries.Load())/float64(max(1, vie.dataCentres)))
	return time.Duration((0.5 + fwd.random()) * near * float64(exploreInterval))
}

// distanceCost returns the cost of the distance of an upstream in expected time.
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

// admit refuses a request that would wait too long.
func (exc *exchange) admit(now time.Time, sta memberState) error {
	remaining := exc.deadline.Sub(now)
	if sta.expectedTime() > remaining {
		return fperror.New(fperror.DeadlineUnreachable, "expected time %v is above the remaining %v", sta.expectedTime(), remaining)
	}
	objective := exc.route.GetObjective().AsDuration()
	if objective <= 0 {
		return nil
	}
	maxWait := max(objective-time.Duration(processingFactor*float64(sta.mean)), time.Duration(minWaitFraction*float64(objective)))
	if exc.callerRetry {
		// The caller will not come back again, so a late answer is better than none.
		maxWait = max(maxWait, remaining-sta.mean)
	}
	if exc.lowPriority {
		maxWait = time.Duration(lowPriorityWaitFraction * float64(maxWait))
	}
	if sta.wait > maxWait {
		return fperror.New(fperror.Overloaded, "expected wait %v is above %v", sta.wait, maxWait)
	}
	return nil
}

// retryAfter returns when a refused caller may come back.
func (exc *exchange) retryAfter(kin fperror.Kind) time.Duration {
	minDelay := retryAfterMin
	if kin == fperror.NoUpstream {
		minDelay = retryAfterOutage
	}
	return minDelay + time.Duration(exc.fwd.random()*float64(retryAfterJitter))
}

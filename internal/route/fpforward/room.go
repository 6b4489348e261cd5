package fpforward

import (
	"context"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fproom"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

const (
	// maxRoomRefusals is the number of limited upstreams at which a request without a key asks for a place. Each asking may take as
	// long as a call of the leader.
	maxRoomRefusals = 3
	// maxQuickRoomRefusals is that number without contact to the leader, when no asking takes time.
	maxQuickRoomRefusals = 8
	// noPlaceCost is the cost of a limited upstream at which the VM has no place, beside the time until one is expected: the time of
	// a call of the leader.
	noPlaceCost = 150 * time.Millisecond
	// ledgerLoadAge is the age of a load report from which the places in use are taken for the load of a limited upstream.
	ledgerLoadAge = time.Second
	// freshLoadAge is the age up to which a load report shows that an upstream has room.
	freshLoadAge = 300 * time.Millisecond
	// freeVMsPerSlot is the number of entry VMs for each slot up to which a VM may fill all slots of an upstream without asking.
	freeVMsPerSlot = 2
	// fullLoadFactor is the load, as a multiple of the slots, at which a request without an answer shows that the upstream is full.
	fullLoadFactor = 3
	// relayedLowPriority is the priority of a relayed request for whose service there are requests of a higher one. Relay orders do not
	// name the priority of the route.
	relayedLowPriority = 1
	// subsetUsers is the number of entry VMs that prefer each upstream, and minSubset the least number of upstreams at each distance
	// that a VM prefers. With few upstreams, each of them gets a request often enough that its kept connections are used.
	subsetUsers = 12
	minSubset   = 6
	// subsetFraction is the fraction of the objective by which the expected time at other upstreams must be shorter.
	subsetFraction = 0.12
)

// roomKey returns the key of the upstream in the limiter of places.
func (mem *member) roomKey() fproom.Incarnation {
	return fproom.Incarnation{
		ID:   mem.upstream.GetId(),
		Born: mem.upstream.GetBorn(),
	}
}

// newRoom returns the limiter of places.
func (fwd *Forwarder) newRoom() *fproom.Limiter {
	return fproom.NewLimiter(fproom.LimiterConfig{
		Entries: fwd.entries.Load,
		Changed: func(inc fproom.Incarnation, limited bool) {
			fwd.cfg.Log.Debug("limit of an upstream changed", zap.String("upstream", inc.ID), zap.Uint64("born", inc.Born), zap.Bool("limited", limited))
		},
	})
}

// Room returns the limiter of places at upstreams.
func (fwd *Forwarder) Room() *fproom.Limiter { return fwd.room }

// observeRoom adds what the leader knows of the places of an upstream to its state. The load of a limited one is the places in use, if
// there is no newer report.
func (fwd *Forwarder) observeRoom(now time.Time, mem *member, sta *memberState, objective time.Duration) {
	if !fwd.cfg.SharedPlaces {
		return
	}
	sta.room = fwd.room.State(now, mem.roomKey())
	if !sta.room.Limited || sta.loadAge >= 0 && sta.loadAge <= ledgerLoadAge {
		return
	}
	mean := time.Duration(0)
	if sta.hasAnswered {
		mean = sta.mean
	}
	known := float64(fproom.Target(int(mem.concurrency()), mean, objective)) - 1
	sta.load = max(sta.load, known)
	sta.wait = mem.queueWait(sta.load, sta.mean)
}

// assumeOwnerMeans sets the state of an owner that has not answered this VM yet to the means of those upstreams of the service that have.
func (exc *exchange) assumeOwnerMeans(vie *view, now time.Time, mem *member, sta *memberState) {
	if sta.hasAnswered || !exc.fwd.cfg.SharedPlaces {
		return
	}
	var known, load float64
	var mean time.Duration
	for _, other := range vie.services[exc.service] {
		if oth := other.state(now); oth.hasAnswered {
			known++
			mean += oth.mean
			load += oth.load
		}
	}
	if known > 0 {
		sta.assumeMeans(mem, time.Duration(float64(mean)/known), load/known)
	}
}

// roomCost returns the cost of a limited upstream at which this VM has no place, and of one that it does not prefer.
func (exc *exchange) roomCost(cho choice) time.Duration {
	cost := time.Duration(0)
	if !exc.fwd.cfg.SharedPlaces {
		return cost
	}
	if room := cho.state.room; room.Limited && !room.Ready {
		cost += noPlaceCost + room.Wait
		if room.Wait > 0 {
			// A request that got no place at one upstream goes to those that have some, if there are any.
			cost += time.Duration(exc.roomRefusals) * exc.route.GetObjective().AsDuration()
		}
	}
	if !cho.state.room.Limited && exc.fwd.asksLeader(cho.member, cho.state) {
		cost += noPlaceCost
	}
	if !exc.fwd.prefers(cho.member) && !cho.state.leaving {
		cost += time.Duration(subsetFraction * float64(exc.route.GetObjective().AsDuration()))
	}
	return cost
}

// takePlace takes a place for an attempt. Without one, the error is of kind Overloaded. A request with a key that gets none is refused.
func (exc *exchange) takePlace(ctx context.Context, cho choice) error {
	if !exc.fwd.cfg.SharedPlaces {
		return nil
	}
	mean := time.Duration(0)
	if cho.state.hasAnswered {
		mean = cho.state.mean
	}
	req := exc.urgency(mean)
	if exc.relayed && exc.lowPriority {
		req.Priority = relayedLowPriority
	}
	group := ""
	if !exc.keyed {
		group = exc.service
	}
	began := time.Now()
	ok, wait := exc.fwd.room.Take(ctx, cho.member.roomKey(), fproom.Demand{
		Request: req,
		Slots:   int(cho.member.concurrency()),
		Mean:    mean,
		Group:   group,
		Ask:     exc.roomRefusals > 0 && !exc.keyed || exc.fwd.asksLeader(cho.member, cho.state),
	})
	if ok {
		return nil
	}
	exc.tried[cho.member] = true
	if time.Since(began) >= time.Millisecond {
		exc.roomRefusals++
	} else {
		exc.quickRoomRefusals++
	}
	exc.rateWait = wait
	exc.fwd.counters.add("refusedWithoutPlace")
	return fperror.New(fperror.Overloaded, "all places of upstream %s are in use", cho.member.upstream.GetId())
}

// asksLeader reports whether a request to an upstream that is not limited, as far as this VM knows, waits for the leader's answer: this
// VM has its share of requests there already, and no fresh report shows that there is room.
func (fwd *Forwarder) asksLeader(mem *member, sta memberState) bool {
	if sta.inFlight+sta.relayed < freeRequests(int(mem.concurrency()), fwd.entries.Load()) {
		return false
	}
	return sta.loadAge < 0 || sta.loadAge > freshLoadAge || sta.load >= mem.concurrency()
}

// freeRequests returns the number of requests that one of a number of VMs may have at an upstream without asking the leader. With few
// VMs it is the number of slots; with many it is one.
func freeRequests(slots int, entries uint32) int {
	return max(1, freeVMsPerSlot*slots*slots/int(max(1, entries)))
}

// outOfRoom reports whether the request has been refused by so many limited upstreams that it is not tried at others.
func (exc *exchange) outOfRoom() bool {
	return exc.roomRefusals >= maxRoomRefusals || exc.quickRoomRefusals >= maxQuickRoomRefusals
}

// endPlace ends the use of a place. A request that was given up before its answer may still run for the mean time.
func (exc *exchange) endPlace(cho choice, err error) {
	linger := time.Duration(0)
	if fperror.Is(err, fperror.OutcomeUnknown) {
		linger = cho.state.mean
	}
	if exc.fwd.cfg.SharedPlaces {
		exc.fwd.room.End(cho.member.roomKey(), linger)
	}
}

// returnPlace returns the place of a request that was not sent.
func (exc *exchange) returnPlace(mem *member) {
	if exc.fwd.cfg.SharedPlaces {
		exc.fwd.room.Return(mem.roomKey())
	}
}

// SharesPlaces reports whether this VM accounts the places of upstreams with the other entry VMs.
func (fwd *Forwarder) SharesPlaces() bool { return fwd.cfg.SharedPlaces }

// observeRoomAnswer tells the limiter of places what an attempt shows of the upstream: its load, or that it had no room. took is the
// time of the attempt, and ended states that the upstream has ended the connection.
func (exc *exchange) observeRoomAnswer(cho choice, rep *reply, err error, ended bool, took time.Duration) {
	mem := cho.member
	if !exc.fwd.cfg.SharedPlaces {
		return
	}
	if rep != nil && rep.answer.HasLoad {
		exc.fwd.room.ObserveLoad(mem.roomKey(), time.Now(), rep.answer.Load.Running+rep.answer.Load.Waiting)
	}
	busy := cho.state.room.Limited || cho.state.load >= mem.concurrency()
	full := false
	switch {
	case fperror.Is(err, fperror.UpstreamShed):
		full = isFull(rep)
	case fperror.Is(err, fperror.OutcomeUnknown):
		full = cho.state.room.Limited || cho.state.load >= fullLoadFactor*mem.concurrency()
	case err != nil && ended:
		full = busy || took < cho.state.mean/2
	}
	if full {
		exc.fwd.counters.add("upstreamFull")
		exc.fwd.room.ObserveFull(mem.roomKey())
	}
}

// isFull reports whether an answer that says that the request did not run comes from an upstream whose queue is full.
func isFull(rep *reply) bool {
	return rep != nil && rep.answer.HasLoad && fullLoad(rep.answer.Load)
}

func fullLoad(loa platform.Load) bool { return loa.Slots > 0 && loa.Waiting >= loa.Slots }

// prefers reports whether an upstream belongs to those that this VM uses unless others are expected to answer much sooner. The choice
// is deterministic, and each upstream is preferred by about the same number of VMs at each distance.
func (fwd *Forwarder) prefers(mem *member) bool {
	vie := fwd.view.Load()
	return vie.preferred == nil || vie.preferred[mem]
}

// setPreferred chooses the upstreams that this VM prefers, if it accounts places.
func (fwd *Forwarder) setPreferred(vie *view, entries uint32) {
	if fwd.cfg.SharedPlaces {
		vie.setPreferred(fwd.cfg.VM, entries)
	}
}

// setPreferred chooses the upstreams that this VM prefers, for a number of entry VMs: of each service and distance those with the lowest
// hashes of the names of VM and upstream. With few entry VMs, each prefers all.
func (vie *view) setPreferred(vm string, entries uint32) {
	vie.preferredFor = entries
	vie.preferred = nil
	preferred := map[*member]bool{}
	limited := false
	for _, members := range vie.services {
		var byDistance [otherRegion + 1][]*member
		for _, mem := range members {
			byDistance[mem.distance] = append(byDistance[mem.distance], mem)
		}
		for _, group := range byDistance {
			count := subsetSize(len(group), float64(entries)/float64(max(1, vie.dataCentres)))
			if count < len(group) {
				limited = true
				slices.SortFunc(group, func(first, second *member) int {
					return compareHashes(subsetHash(vm, first), subsetHash(vm, second))
				})
			}
			for _, mem := range group[:count] {
				preferred[mem] = true
			}
		}
	}
	if limited {
		vie.preferred = preferred
	}
}

// subsetSize returns the number of upstreams of a group that each of a number of VMs prefers.
func subsetSize(upstreams int, entries float64) int {
	return min(upstreams, max(minSubset, int(math.Ceil(subsetUsers*float64(upstreams)/max(1, entries)))))
}

func compareHashes(first, second uint64) int {
	switch {
	case first < second:
		return -1
	case first > second:
		return 1
	}
	return 0
}

// subsetHash returns the rank of an upstream for a VM.
func subsetHash(vm string, mem *member) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(vm + "\n" + mem.upstream.GetId())) // a hash never returns an error
	sum := hash.Sum64()
	// FNV mixes the last bytes too little, in which the names of upstreams differ.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}

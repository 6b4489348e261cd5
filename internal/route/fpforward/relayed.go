package fpforward

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

const (
	// minRelayedRequests is the number of requests that a VM always relays at once, and relayedFactor the number for each
	// request of its own callers that is in flight on average.
	minRelayedRequests = 16
	relayedFactor      = 4
	// ownLoadWeight is the weight of one request in the moving mean of the requests in flight.
	ownLoadWeight = 0.02
)

// relayRoom bounds the requests that this VM relays for others, so that its own callers are served. The zero value is ready for
// use.
type relayRoom struct {
	mutex    sync.Mutex
	inFlight int
	lastAt   time.Time // when the last request was taken
	// ownLoad is the moving mean of the requests of this VM's own callers in flight.
	ownLoad float64
}

// observeOwn records the number of requests of this VM's own callers in flight.
func (rer *relayRoom) observeOwn(inFlight int64) {
	rer.mutex.Lock()
	defer rer.mutex.Unlock()
	rer.ownLoad += ownLoadWeight * (float64(inFlight) - rer.ownLoad)
}

// take reserves room for one request and reports whether there was any.
func (rer *relayRoom) take() bool {
	rer.mutex.Lock()
	defer rer.mutex.Unlock()
	if rer.inFlight >= rer.limit() {
		return false
	}
	rer.inFlight++
	rer.lastAt = time.Now()
	return true
}

// helping reports whether this VM has lately relayed a request.
func (rer *relayRoom) helping(now time.Time) bool {
	rer.mutex.Lock()
	defer rer.mutex.Unlock()
	return rer.inFlight > 0 || now.Sub(rer.lastAt) < helpingFor
}

// limit returns the number of requests that may be relayed at once. The caller holds the mutex.
func (rer *relayRoom) limit() int { return minRelayedRequests + int(relayedFactor*rer.ownLoad) }

// use returns the number of requests that are relayed, and their limit.
func (rer *relayRoom) use() (inFlight, limit int) {
	rer.mutex.Lock()
	defer rer.mutex.Unlock()
	return rer.inFlight, rer.limit()
}

// release releases the room of one request.
func (rer *relayRoom) release() {
	rer.mutex.Lock()
	defer rer.mutex.Unlock()
	rer.inFlight--
}

// ServeRelayed sends a request of another entry VM to the upstream that it names, on this VM's own path and once, and passes on
// the answer. Everything else stays with that VM: the choice, retries, and their budget. This VM counts the request in the rate
// that the upstream names and in what it knows of the upstream.
func (fwd *Forwarder) ServeRelayed(wri http.ResponseWriter, req *http.Request) {
	exc := fwd.newExchange(wri, req, time.Now())
	defer exc.releaseAnswers()
	defer exc.recoverPanic(func(failure error) {
		if exc.answerBegun {
			// The other VM must not take a truncated answer for a complete one.
			panic(http.ErrAbortHandler)
		}
		exc.refuseRelay(relayLost, 0, failure)
	})
	ord, err := decodeRelayOrder(req.Header.Get(relayHeader))
	if err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	mem := fwd.view.Load().active[incarnation{
		id:   platform.DecodeTarget(req.Header),
		born: ord.born,
	}]
	exc.prepareRelayed(ord, mem)
	switch {
	case mem == nil:
		exc.refuseRelay(relayUnknown, 0, nil)
	case ord.check:
		exc.serveCheck(mem)
	case fwd.stop.begun() || !fwd.relayRoom.take():
		exc.refuseRelay(relayBusy, 0, nil)
	default:
		defer fwd.relayRoom.release()
		fwd.pacers.setFraction(fwd.cfg.LinkRate, pacedHelpingFraction)
		exc.serveRelayed(mem)
	}
}

// prepareRelayed sets what prepare sets for a request of a caller.
func (exc *exchange) prepareRelayed(ord relayOrder, mem *member) {
	exc.relayed = true
	exc.route = relayedRoute(ord)
	exc.lowPriority = ord.lowPriority
	exc.deadline = exc.start.Add(exc.info.Timeout)
	if mem != nil {
		exc.service = mem.upstream.GetService()
	}
}

// relayedRoute returns a route that stands for that of the other VM, whose configuration may be another one.
func relayedRoute(ord relayOrder) *fpstate.Route {
	return &fpstate.Route{
		Name:      "relayed",
		Kind:      ord.kind,
		Objective: durationpb.New(ord.objective),

		AllowedRegions: ord.homes,
	}
}

// serveCheck answers whether this VM can open a connection to an upstream.
func (exc *exchange) serveCheck(mem *member) {
	if err := exc.fwd.checkPath(mem); err != nil {
		exc.refuseRelay(exc.noPathReason(err), 0, err)
		return
	}
	exc.closeWhenStopping()
	exc.writer.WriteHeader(http.StatusNoContent)
}

// noPathReason returns the reason to refuse a request because no connection to its upstream could be opened with an error.
func (exc *exchange) noPathReason(err error) relayReason {
	switch {
	case exc.fwd.stranded(time.Now()):
		return relayStranded
	case processEnded(err):
		return relayEnded
	default:
		return relayNoPath
	}
}

// serveRelayed sends a request to an upstream and writes its answer.
func (exc *exchange) serveRelayed(mem *member) {
	now := time.Now()
	vie := exc.fwd.view.Load()
	cho := choice{
		member: mem,
		state:  mem.state(now),
	}
	if exc.fwd.pathOf(mem, now) != pathWell {
		exc.refuseRelay(exc.noPathReason(nil), 0, nil)
		return
	}
	if err := exc.checkRelayed(vie, mem); err != nil {
		exc.refuseRelay(relayUnknown, 0, err)
		return
	}
	if exc.fwd.left(cho.state) {
		exc.refuseRelay(relayUnknown, 0, nil)
		return
	}
	if cho.state.rest > 0 {
		exc.refuseRelay(relayResting, cho.state.rest, nil)
		return
	}
	if !cho.state.usable || vie.table == nil {
		exc.refuseRelay(relayRefused, mem.holdDownRemaining(now), nil)
		return
	}
	if accepted := exc.maxConnections(vie); accepted > 0 && cho.state.relayed >= connectionShare(accepted, exc.fwd.entries.Load()) {
		exc.refuseRelay(relayBusy, 0, nil)
		return
	}
	ctx, cancel := exc.fwd.withDeadline(exc.request.Context(), exc.deadline)
	defer cancel()
	if !exc.linkHasRoom(now) {
		exc.refuseRelay(relayBusy, 0, nil)
		return
	}
	release, err := exc.readRelayedBody(ctx)
	if err != nil {
		exc.refuseRelay(relayBusy, 0, err)
		return
	}
	defer release()
	if err := exc.checkQuarantine(now); err != nil {
		exc.refuseRelay(relayRefused, 0, err)
		return
	}
	releaseBundle, err := exc.acquireBundlePermit(ctx)
	if err != nil {
		exc.refuseRelay(relayBusy, 0, err)
		return
	}
	defer releaseBundle()
	mem.addRelayed(1)
	rep, err := exc.attempt(ctx, ctx, cho)
	mem.addRelayed(-1)
	exc.respondRelayed(rep, err)
}

// readRelayedBody is readBody for a relayed request.
func (exc *exchange) readRelayedBody(ctx context.Context) (func(), error) {
	if exc.request.Body == nil || exc.request.Body == http.NoBody {
		return func() {}, nil
	}
	return exc.readBuffered(ctx, 0)
}

// respondRelayed writes the outcome of the attempt to the other VM. Refusals of the upstream itself are passed on as they came.
func (exc *exchange) respondRelayed(rep *reply, err error) {
	switch {
	case err == nil:
		exc.fwd.counters.add("relayedForOthers")
		exc.writeAnswer(rep)
	case exc.upstreamRefusal != nil:
		exc.writeAnswer(exc.upstreamRefusal)
	case exc.arrivals > 0 && fperror.Is(err, fperror.OutcomeUnknown):
		exc.refuseRelay(relayLate, 0, err)
	case exc.arrivals > 0:
		exc.refuseRelay(relayLost, 0, err)
	case fperror.Is(err, fperror.Draining):
		exc.refuseRelay(relayBusy, 0, err)
	case fperror.Is(err, fperror.Overloaded):
		exc.refuseRelay(relayRefused, exc.rateWait, err)
	case !processEnded(err) && !exc.fwd.paths.silent(time.Now(), 1):
		exc.refuseRelay(relayBusy, 0, err) // the own link may be full
	default:
		exc.refuseRelay(exc.noPathReason(err), 0, err)
	}
}

// refuseRelay tells the other VM why it gets no answer of the upstream.
func (exc *exchange) refuseRelay(reason relayReason, after time.Duration, err error) {
	exc.fwd.counters.add("relayRefusals." + string(reason))
	hea := exc.writer.Header()
	hea.Set(relayRefusalHeader, string(reason))
	if after > 0 {
		hea.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	if exc.fwd.stop.begun() || exc.hasUnreadBody() {
		hea.Set("Connection", "close")
	}
	status := http.StatusServiceUnavailable
	if reason.sent() {
		status = http.StatusBadGateway
	}
	exc.answerBegun = true
	exc.writer.WriteHeader(status)
	if err != nil {
		exc.logOutcome(status, err)
	}
}

// addRelayed adds to the number of requests in flight that this VM has sent for other VMs.
func (mem *member) addRelayed(count int) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.relayed += count
}

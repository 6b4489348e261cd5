package fpforward

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fproute"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprelay"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpurgency"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

const (
	// maxArrivals bounds the attempts of a request that reach an upstream, including those that the upstream refuses.
	maxArrivals = 3
	// maxConnectFailures bounds the failures to open a connection for one request.
	maxConnectFailures = 4
)

// exchange is the state of one request of a caller.
type exchange struct {
	fwd     *Forwarder
	writer  http.ResponseWriter
	request *http.Request
	info    platform.Request
	start   time.Time
	// turnWait is how long the request waited for the answers to earlier pipelined requests on its connection.
	turnWait time.Duration
	// moreBefore reports whether a later pipelined request has been begun, or read before the given time. Nil means that none has.
	moreBefore func(at time.Time) bool
	// setResetOnClose sets whether the caller's connection is reset when it ends. Nil means that it can't be.
	setResetOnClose func(reset bool) error
	deadline        time.Time
	route           *fpstate.Route
	service         string
	keyed           bool
	// lowPriority states that a route of higher priority has used the service lately.
	lowPriority bool
	// priorities are those that have used the service lately.
	priorities []fpurgency.Use
	// refusedWait is how much longer than accepted the expected wait at the upstream was for which the request was refused.
	refusedWait time.Duration
	// callerRetry states that the caller has probably retried the request after a refusal.
	callerRetry bool
	// bodyLimit is the maximum size of the body in bytes; 0 means that there is none.
	bodyLimit int64
	// body is the buffered part of the body.
	body []byte
	// contentDigest is the digest of the request's content, or empty until it is needed.
	contentDigest string
	// rest is what follows body, or nil.
	rest *bodyRemainder
	// mutex guards held and stopPreparing while several attempts are in progress.
	mutex sync.Mutex
	// held is the memory that answers hold.
	held []heldMemory
	// stopPreparing ends the preparation of another attempt, or is nil.
	stopPreparing context.CancelFunc
	// uploadSent releases the part of the link that is reserved for sending the body. Nil: none is.
	uploadSent func()

	// open are the attempts in progress, each of which is sent on ended when it has ended.
	open  map[*attempt]bool
	ended chan *attempt
	// noAttemptLogged states that the log tells why no other attempt began beside one in progress.
	noAttemptLogged bool

	// tried are the upstreams that are not chosen again for this request.
	tried         map[*member]bool
	refusedFences map[uint64]bool // fences whose holder has refused the request
	// arrivals is the number of attempts that reached an upstream, and runs of those that may have run the request.
	arrivals        int
	runs            int
	connectFailures int
	lastChoice      choice
	// revision is that of the configuration, and outdated states that an older one than was in force before may be in use.
	revision uint64
	outdated bool
	// fallback is a failure answered by an upstream, which the caller gets if no further attempt has a better answer.
	fallback *reply
	// answerBegun states that a part of the answer may have been sent to the caller.
	answerBegun bool
	// rateWait is when the chosen upstream, which has named a request rate, is expected to take requests again.
	rateWait time.Duration
	// tokenAt is when the request took its last token, if the chosen upstream is cold.
	tokenAt time.Time
	// roomRefusals is the number of upstreams at which the request waited for a place and got none, and quickRoomRefusals that of those
	// which refused it without a wait.
	roomRefusals, quickRoomRefusals int
	// relayed states that the request is one of another entry VM, for which this VM makes one attempt on its own path.
	relayed bool
	// refusedPeers and refusedDetours are the peers that are not asked again for this request, or not for an upstream, and
	// relayFailures is the number of failures to get an upstream's answer through a peer.
	refusedPeers   map[*fprelay.Peer]bool
	refusedDetours map[detour]bool
	relayFailures  int
	// lostWithPeer is the upstream of an attempt that ended with the peer that relayed it, or nil. It is tried again if there is no other.
	lostWithPeer *member
	// upstreamRefusal is the last answer of an upstream that did not run the request.
	upstreamRefusal *reply
	// ownerFull states that the owner of the key has refused the request because its queue is full.
	ownerFull bool
	// excluded is the last reason for which an upstream must not get the request, or empty.
	excluded string
}

// newExchange returns the exchange of a request that arrived at the given time.
func (fwd *Forwarder) newExchange(wri http.ResponseWriter, req *http.Request, arrived time.Time) *exchange {
	return &exchange{
		fwd:           fwd,
		writer:        wri,
		request:       req,
		info:          platform.DecodeRequest(req.Header),
		start:         arrived,
		tried:         map[*member]bool{},
		refusedFences: map[uint64]bool{},
		open:          map[*attempt]bool{},
		ended:         make(chan *attempt, maxArrivals),
	}
}

// ServeHTTP forwards a request to an upstream and writes its answer, or an error of the router's own.
func (fwd *Forwarder) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	tur := TurnOf(req)
	waited := time.Since(tur.Arrived)
	fwd.counters.observe("turn", waited)
	inFlight := fwd.counters.inFlight.Add(1)
	if inFlight == 1 {
		fwd.paths.awaken(time.Now())
	}
	fwd.relayRoom.observeOwn(inFlight)
	defer fwd.counters.inFlight.Add(-1)
	if pip := tur.Begun; pip != nil {
		if pip.matches(req) {
			pip.exchange.setTurn(tur, waited)
			fwd.counters.add("early")
			pip.serve(wri, req)
			return
		}
		pip.Cancel()
	}
	exc := fwd.newExchange(wri, req, tur.Arrived)
	exc.setTurn(tur, waited)
	defer exc.releaseAnswers()
	defer exc.recoverPanic(func(failure error) {
		if exc.answerBegun {
			// The caller must not take a truncated answer for a complete one.
			panic(http.ErrAbortHandler)
		}
		exc.writeError(failure)
	})
	exc.serve()
}

// setTurn sets what is known when the turn of the request has come, for which it waited.
func (exc *exchange) setTurn(tur Turn, waited time.Duration) {
	exc.turnWait, exc.moreBefore, exc.setResetOnClose = waited, tur.MoreBefore, tur.SetResetOnClose
}

// recoverPanic recovers from a panic of one request and passes it to handle as an error of kind Internal. It passes on
// http.ErrAbortHandler. It must be deferred directly.
func (exc *exchange) recoverPanic(handle func(failure error)) {
	value := recover()
	switch value {
	case nil:
		return
	case http.ErrAbortHandler:
		panic(value)
	}
	err := fperror.New(fperror.Internal, "panic: %v", value)
	exc.fwd.counters.add("panics")
	exc.fwd.cfg.Log.Error("a request caused a panic", zap.String("id", exc.info.Attempt), zap.Error(err), zap.Stack("stack"))
	handle(err)
}

// serve serves a request whose turn has come.
func (exc *exchange) serve() {
	exc.awaitConfiguration()
	if err := exc.prepare(); err != nil {
		exc.writeError(err)
		return
	}
	if err := exc.request.Context().Err(); err != nil {
		exc.writeError(fperror.Wrap(fperror.CallerCanceled, err, "the caller canceled before its request was served"))
		return
	}
	ctx, cancel := exc.fwd.withDeadline(exc.request.Context(), exc.deadline)
	defer cancel()
	if !exc.linkHasRoom(time.Now()) {
		exc.writeError(fperror.New(fperror.Overloaded, "the link has no room for a large request while it relays others"))
		return
	}
	release, err := exc.readBody(ctx, exc.bodyLimit)
	if err != nil {
		exc.writeError(err)
		return
	}
	defer release()
	releaseBundle, err := exc.acquireBundlePermit(ctx)
	if err != nil {
		exc.writeError(exc.finalError(ctx, err))
		return
	}
	defer releaseBundle()
	rep, err := exc.sendWithRetries(ctx)
	exc.respond(ctx, rep, err)
}

// respond writes the outcome of sendWithRetries to the caller.
func (exc *exchange) respond(ctx context.Context, rep *reply, err error) {
	if err != nil {
		exc.writeError(exc.finalError(ctx, err))
		return
	}
	exc.writeAnswer(rep)
}

// prepare finds the route and the service of the request, sets its deadline, and counts it. The error is of kind NoUpstream
// without a configuration or if no upstream may get the request, and UnknownMethod without a route.
func (exc *exchange) prepare() error {
	exc.outdated = exc.fwd.outdated.Load() // before the view, which is then at least as new
	vie := exc.fwd.view.Load()
	if vie.table == nil {
		return fperror.New(fperror.NoUpstream, "there is no configuration yet")
	}
	exc.revision = vie.table.Configuration().GetRevision()
	exc.route = vie.table.Find(exc.request.Host, exc.request.URL.EscapedPath())
	if exc.route == nil {
		return fperror.New(fperror.UnknownMethod, "no route matches the host %s and the path", exc.request.Host)
	}
	timeout := fproute.Timeout(exc.route)
	if exc.info.Timeout > 0 {
		timeout = min(timeout, exc.info.Timeout)
	}
	exc.deadline = exc.start.Add(timeout)
	exc.service = exc.fwd.chooseService(exc.route)
	exc.keyed = vie.table.Service(exc.service).GetKeyed() && exc.info.Keyed
	exc.observePriorities()
	exc.callerRetry = exc.fwd.waits.observe(exc.start, exc.route.GetName(), exc.info.Timeout)
	exc.fwd.retryBudget(exc.service).recordRequest(exc.start)
	if exc.keyed {
		exc.fwd.load.addKey(exc.service, exc.info.Key)
	}
	exc.bodyLimit = int64(vie.table.Configuration().GetLimits().GetMaxBodyBytes())
	return exc.checkAvailable(vie)
}

// repeatable reports whether the request may run more than once.
func (exc *exchange) repeatable() bool {
	switch exc.route.GetKind() {
	case fpstate.Kind_KIND_IDEMPOTENT, fpstate.Kind_KIND_BUNDLE:
		return !exc.outdated
	}
	return false
}

// finalError returns the error for the caller after the last attempt.
func (exc *exchange) finalError(ctx context.Context, failure error) error {
	switch {
	case exc.request.Context().Err() != nil && !exc.bodyInterrupted():
		return fperror.Wrap(fperror.CallerCanceled, failure, "the caller canceled the request")
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && fperror.KindOf(failure).Answer().Outcome() != fperror.NotRun:
		return fperror.Wrap(fperror.DeadlineExceeded, failure, "the deadline has passed")
	default:
		return failure
	}
}

// takeRate takes a token if the upstream has named a request rate, and another one if it is cold. Without one, the error is of kind Overloaded.
func (exc *exchange) takeRate(ctx context.Context, cho choice) error {
	ok, wait := exc.fwd.rates.Take(ctx, cho.member.rateKey(), !exc.lowPriority, cho.waitForRate)
	if ok {
		return exc.takeCold(ctx, cho)
	}
	if ctx.Err() == nil {
		exc.tried[cho.member] = true
	}
	exc.rateWait = wait
	return fperror.New(fperror.Overloaded, "upstream %s gets no more requests than the rate that it names", cho.member.upstream.GetId())
}

// observeRate records the request rate that an upstream names in an answer, or that it names none. Status 421 may come from
// another upstream at the same address, and only a signed answer that is complete ends a rate.
func (exc *exchange) observeRate(mem *member, sentAt time.Time, rep *reply, err error) {
	if rep == nil || rep.answer.Attempt != exc.info.Attempt || rep.status == http.StatusMisdirectedRequest {
		return
	}
	if rep.answer.HasRate {
		exc.fwd.rates.Observe(mem.rateKey(), sentAt, rep.answer.Rate)
	} else if err == nil && rep.answer.Signed {
		exc.fwd.rates.ObserveNone(mem.rateKey(), sentAt)
	}
}

// retryFailedAnswer reports whether to make another attempt after an upstream answered with a status of 500 or more.
func (exc *exchange) retryFailedAnswer(rep *reply) bool {
	failed := rep.status >= http.StatusInternalServerError && rep.rest == nil
	return failed && !exc.relayed && exc.repeatable() && !exc.keyed && exc.mayRetry(fperror.New(fperror.UpstreamLost, "status %d", rep.status)) &&
		time.Until(exc.deadline) > exc.lastChoice.state.mean
}

// recordFailure updates the upstream's state after an attempt that gave no answer for the caller.
func (exc *exchange) recordFailure(att *attempt, took time.Duration) {
	cho, rep, err := att.choice, att.reply, att.err
	mem := cho.member
	now := time.Now()
	if rep != nil && rep.answer.NotRun {
		exc.upstreamRefusal = rep
	}
	switch fperror.KindOf(err) {
	case fperror.UpstreamShed:
		exc.runs--
		resting := exc.observeRest(mem, rep)
		mem.recordAnswer(now, rep.answer, took, !resting)
		if cho.keyRange == nil && !resting && !exc.relayed {
			mem.recordShed(now)
		}
		exc.ownerFull = cho.keyRange != nil && rep.answer.HasLoad && rep.answer.Load.Waiting >= rep.answer.Load.Slots
	case fperror.UpstreamFenced:
		exc.runs--
		mem.recordAnswer(now, rep.answer, took, false)
		if cho.keyRange != nil {
			exc.refusedFences[cho.keyRange.GetFence()] = true
		}
	case fperror.UpstreamLost, fperror.AnswerTruncated:
		if cho.peer != nil || att.inDoubt {
			break // the upstream need not be at fault
		}
		mem.recordFailure()
		if errors.Is(err, errAnswerTooLong) && mem.holdDownUnreachable(now) {
			go exc.fwd.probe(mem)
		}
	case fperror.OutcomeUnknown:
		if exc.request.Context().Err() == nil && exc.fwd.stop.ended.Err() == nil && cho.peer == nil && !att.inDoubt && exc.fwd.pathOf(mem, now) == pathWell {
			mem.recordOverdue(now, took)
		}
	}
	exc.fwd.counters.add("attempt." + fperror.KindOf(err).String())
}

// newUpstreamRequest returns the request to send to an upstream, or to the peer that relays it there.
func (exc *exchange) newUpstreamRequest(ctx context.Context, mem *member, pee *fprelay.Peer) *http.Request {
	out := exc.request.Clone(ctx)
	if path, _, _ := strings.Cut(out.RequestURI, "?"); strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		out.URL.Opaque = path // as the caller wrote it; net/url would escape some characters
	}
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = mem.upstream.GetAddress()
	out.Close = false
	removeHopByHopHeaders(out.Header)
	out.Header.Del(relayHeader)
	if exc.relayed {
		out.Header.Del("Expect") // of the other VM, which has been answered
	}
	if pee != nil {
		out.Header.Set(relayHeader, relayOrder{
			born:        mem.upstream.GetBorn(),
			kind:        exc.route.GetKind(),
			objective:   exc.route.GetObjective().AsDuration(),
			lowPriority: exc.lowPriority,
			homes:       exc.homes(),
		}.encode())
		if len(exc.body) >= longBody || exc.rest != nil {
			// A peer without room refuses the request before the body is sent.
			out.Header.Set("Expect", "100-continue")
		}
	}
	platform.EncodeAttempt(out.Header, mem.upstream.GetId(), time.Until(exc.deadline))
	if _, ok := out.Header["User-Agent"]; !ok {
		// Without an entry the transport would add its own.
		out.Header["User-Agent"] = nil
	}
	exc.setBody(ctx, out)
	return out
}

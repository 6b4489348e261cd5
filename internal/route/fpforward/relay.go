package fpforward

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fproute"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprelay"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// The headers between two entry VMs. Neither reaches an upstream or a caller.
const (
	// relayHeader is set on a request that another entry VM shall send to an upstream. Its value is that of relayOrder.encode.
	relayHeader = "Entry-Relay"
	// relayRefusalHeader is set on an answer of that VM's own, in place of an upstream's. Its value is a relayReason.
	relayRefusalHeader = "Entry-Relay-Refusal"
)

const (
	// maxRelayFailures bounds the peers that do not relay a request.
	maxRelayFailures = 3
	// peerConnectTimeout bounds the opening of a connection to a peer.
	peerConnectTimeout = connectTimeout
	// maxIdlePeerConnections bounds the idle connections to one peer.
	maxIdlePeerConnections = 32
	// expectContinueTimeout is how long the body of a long request waits until the peer accepts it.
	expectContinueTimeout = 400 * time.Millisecond
	// maxRelayMisses is the number of peers that must not reach an upstream until none is asked for a while.
	maxRelayMisses = 2
	// minRelayHold and maxRelayHold bound that time, which doubles each time.
	minRelayHold = 300 * time.Millisecond
	maxRelayHold = 2 * time.Second
)

// relayReason is why a peer gives no answer of an upstream.
type relayReason string

const (
	// relayNoPath means that the peer could not open a connection either. Nothing was sent.
	relayNoPath relayReason = "noPath"
	// relayEnded means that the address refuses connections, so that no process listens there.
	relayEnded relayReason = "ended"
	// relayStranded means that the peer has lost its paths to most upstreams. Nothing was sent.
	relayStranded relayReason = "stranded"
	// relayBusy means that the peer has no room. Nothing was sent.
	relayBusy relayReason = "busy"
	// relayRefused means that the peer itself must not send to the upstream now. Nothing was sent.
	relayRefused relayReason = "refused"
	// relayResting means that the upstream has asked the peer for rest. Nothing was sent, and no other peer is asked.
	relayResting relayReason = "resting"
	// relayUnknown means that the peer does not know the upstream, or that it leaves. Nothing was sent.
	relayUnknown relayReason = "unknown"
	// relayLost means that the request was sent and got no whole answer.
	relayLost relayReason = "lost"
	// relayLate means that the request was sent and got no answer in time.
	relayLate relayReason = "late"
)

// sent reports whether the request may have reached the upstream. That holds for the unknown reasons of later versions, too.
func (rea relayReason) sent() bool {
	switch rea {
	case relayNoPath, relayEnded, relayStranded, relayBusy, relayRefused, relayResting, relayUnknown:
		return false
	}
	return true
}

// ofUpstream reports whether nothing was sent because of the upstream, so that the peer may relay the request to another one.
func (rea relayReason) ofUpstream() bool {
	switch rea {
	case relayNoPath, relayEnded, relayRefused, relayResting, relayUnknown:
		return true
	}
	return false
}

// relayError is the error of an attempt for which a peer gave no answer of an upstream.
type relayError struct {
	error
	reason relayReason
	after  time.Duration
}

// Unwrap returns the wrapped error.
func (err *relayError) Unwrap() error { return err.error }

// newRelayError returns the error for the answer of a peer. after is its Retry-After.
func newRelayError(pee *fprelay.Peer, reason relayReason, after time.Duration) error {
	kin := fperror.ConnectFailed
	switch reason {
	case relayBusy, relayRefused, relayResting:
		kin = fperror.Overloaded
	case relayLost:
		kin = fperror.UpstreamLost
	case relayLate:
		kin = fperror.OutcomeUnknown
	case relayNoPath, relayEnded, relayStranded, relayUnknown:
	default:
		kin = fperror.UpstreamLost
	}
	return &relayError{
		error:  fperror.New(kin, "VM %s did not relay the request: %s", pee.VM(), reason),
		reason: reason,
		after:  after,
	}
}

// relayOrder is what a peer has to know of a request beside the request itself.
type relayOrder struct {
	// born is the start of the upstream's incarnation, whose id is in the request as for an upstream.
	born uint64
	kind fpstate.Kind
	// objective is that of the route.
	objective time.Duration
	// lowPriority states that a route of higher priority uses the service.
	lowPriority bool
	// check asks only whether the peer can open a connection to the upstream.
	check bool
	// homes are the regions that the route allows, or empty.
	homes fproute.Regions
}

// encode returns the value of relayHeader.
func (ord relayOrder) encode() string {
	text := fmt.Sprintf("born=%d&kind=%d&objective=%d&low=%t&check=%t", ord.born, ord.kind, ord.objective.Milliseconds(), ord.lowPriority, ord.check)
	for _, region := range ord.homes {
		text += "&home=" + url.QueryEscape(region)
	}
	return text
}

// decodeRelayOrder decodes the value of relayHeader. The error is of kind InvalidRequest.
func decodeRelayOrder(text string) (relayOrder, error) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return relayOrder{}, fperror.Wrap(fperror.InvalidRequest, err, "read the header %s", relayHeader)
	}
	born, errBorn := strconv.ParseUint(values.Get("born"), 10, 64)
	kind, errKind := strconv.ParseInt(values.Get("kind"), 10, 32)
	objective, errObjective := strconv.ParseInt(values.Get("objective"), 10, 32)
	if err := errors.Join(errBorn, errKind, errObjective); err != nil {
		return relayOrder{}, fperror.Wrap(fperror.InvalidRequest, err, "read the header %s", relayHeader)
	}
	return relayOrder{
		born:        born,
		kind:        fpstate.Kind(kind),
		objective:   time.Duration(objective) * time.Millisecond,
		lowPriority: values.Get("low") == "true",
		check:       values.Get("check") == "true",
		homes:       values["home"],
	}, nil
}

// peerPools holds the connections to peers. The zero value is ready for use.
type peerPools struct {
	mutex sync.Mutex
	pools map[*fprelay.Peer]*fpconn.ExclusivePool
}

// pool returns the connections to a peer.
func (pep *peerPools) pool(pee *fprelay.Peer) *fpconn.ExclusivePool {
	pep.mutex.Lock()
	defer pep.mutex.Unlock()
	if pep.pools == nil {
		pep.pools = map[*fprelay.Peer]*fpconn.ExclusivePool{}
	}
	pol := pep.pools[pee]
	if pol == nil {
		pol = fpconn.NewExclusivePool(fpconn.ExclusivePoolConfig{
			Upstream:       pee.VM(),
			Address:        pee.Address(),
			ConnectTimeout: peerConnectTimeout,
			MaxIdle:        maxIdlePeerConnections,
			ExpectContinue: expectContinueTimeout,
		})
		pep.pools[pee] = pol
	}
	return pol
}

// remove closes the connections to peers.
func (pep *peerPools) remove(peers []*fprelay.Peer) {
	pep.mutex.Lock()
	defer pep.mutex.Unlock()
	for _, pee := range peers {
		if pol := pep.pools[pee]; pol != nil {
			pol.Close()
			delete(pep.pools, pee)
		}
	}
}

// closeExpired closes the idle connections that are no longer needed.
func (pep *peerPools) closeExpired(now time.Time) {
	pep.mutex.Lock()
	defer pep.mutex.Unlock()
	for _, pol := range pep.pools {
		pol.CloseExpired(now)
	}
}

// SetRelays replaces the entry VMs that this one may ask to relay requests. Only the goroutine of Update may call it.
func (fwd *Forwarder) SetRelays(entries []*fpstate.EntryVM, digest uint64) {
	fwd.peerPools.remove(fwd.peers.Update(entries, digest))
}

// RelaysDigest returns the digest with which SetRelays was last called, or 0.
func (fwd *Forwarder) RelaysDigest() uint64 { return fwd.peers.Digest() }

// detour is a way to an upstream through a peer.
type detour struct {
	peer   *fprelay.Peer
	member *member
}

// choosePeer returns the peer to ask for an attempt at an upstream, or nil. Without an upstream, it may be one that has refused the
// request for some.
func (exc *exchange) choosePeer(now time.Time, mem *member) *fprelay.Peer {
	if exc.relayed || exc.relayFailures >= maxRelayFailures {
		return nil
	}
	homes := exc.homes()
	return exc.fwd.peers.Choose(now, func(pee *fprelay.Peer) bool {
		return !homes.Allows(pee.Region()) || exc.refusedPeers[pee] || exc.refusedDetours[detour{
			peer:   pee,
			member: mem,
		}]
	})
}

// relayHeld reports whether no peer is asked, because several could not reach the upstream either.
func (mem *member) relayHeld(now time.Time) bool {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	return now.Before(mem.relayHeldUntil)
}

// recordRelay records whether a peer could reach the upstream.
func (mem *member) recordRelay(now time.Time, reached bool) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if reached {
		mem.relayMisses, mem.relayHold, mem.relayHeldUntil = 0, 0, time.Time{}
		return
	}
	mem.relayMisses++
	if mem.relayMisses >= maxRelayMisses {
		mem.relayMisses = 0
		mem.relayHold = min(maxRelayHold, max(minRelayHold, 2*mem.relayHold))
		mem.relayHeldUntil = now.Add(mem.relayHold)
	}
}

// relay is attempt through a peer.
func (exc *exchange) relay(ctx, prepare context.Context, cho choice) (*reply, error) {
	mem, pee := cho.member, cho.peer
	if cho.state.path == pathSuspect {
		exc.fwd.startCheck(mem)
	}
	// The peer keeps the rate of the upstream, too, but may not have heard of it.
	if err := exc.takeRate(prepare, cho); err != nil {
		return nil, err
	}
	pol := exc.fwd.peerPools.pool(pee)
	con := pol.Get(time.Now(), exc.info.Attempt, !exc.repeatable())
	if con == nil {
		var err error
		if con, err = pol.Open(prepare); err != nil {
			exc.returnRate(mem)
			if prepare.Err() == nil {
				exc.recordRelayFailure(cho, err)
			}
			return nil, err
		}
	}
	if err := cmp.Or(exc.checkExclusion(mem), exc.checkStop(time.Now(), cho.state), checkPrepared(prepare)); err != nil {
		exc.returnRate(mem)
		pol.PutUnused(con)
		return nil, err
	}
	exc.fwd.peers.Begin(pee, time.Now())
	return exc.run(ctx, cho, link{
		ExclusiveConn: con,
		pool:          pol,
		peer:          pee,
	})
}

// concludeRelay is conclude for an attempt through a peer.
func (exc *exchange) concludeRelay(att *attempt) (*reply, error) {
	cho, rep, err := att.choice, att.reply, att.err
	mem, pee := cho.member, cho.peer
	exc.fwd.peers.End(pee)
	took := att.timer.elapsed(time.Now())
	var rel *relayError
	if errors.As(err, &rel) || err != nil && rep == nil && !fperror.Is(err, fperror.OutcomeUnknown) && exc.request.Context().Err() == nil {
		exc.recordRelayFailure(cho, err)
	}
	if rel != nil && !rel.reason.sent() {
		exc.returnRate(mem)
		exc.arrivals--
		exc.runs--
		return nil, err
	}
	exc.tried[mem] = true
	if rep == nil && (rel == nil || rel.reason == relayLate) {
		exc.lostWithPeer = mem
	}
	if rep != nil {
		exc.countAnswer(rep)
		exc.fwd.counters.add("relayed")
		exc.fwd.peers.Succeed(pee, time.Now())
		mem.recordRelay(time.Now(), true)
		exc.observeRate(mem, att.sentAt, rep, err)
		exc.observeCold(mem, att.sentAt, rep)
		exc.observeLeaving(mem, rep)
	}
	return exc.finishAttempt(att, took)
}

// recordRelayFailure records why a peer gave no answer of an upstream, so that this request asks another peer, and others do so,
// too, if the peer is at fault.
func (exc *exchange) recordRelayFailure(cho choice, err error) {
	exc.relayFailures++
	now := time.Now()
	reason := relayReason("unreachable")
	var rel *relayError
	if errors.As(err, &rel) {
		reason = rel.reason
	}
	if exc.refusedPeers == nil {
		exc.refusedPeers, exc.refusedDetours = map[*fprelay.Peer]bool{}, map[detour]bool{}
	}
	if reason.ofUpstream() {
		exc.refusedDetours[detour{
			peer:   cho.peer,
			member: cho.member,
		}] = true
	} else {
		exc.refusedPeers[cho.peer] = true
	}
	exc.fwd.counters.add("relayFailures." + string(reason))
	switch reason {
	case relayStranded:
		if !exc.fwd.peers.Fail(cho.peer, now, fprelay.Stranded) {
			cho.member.recordRelay(now, false)
		}
	case relayBusy:
		exc.fwd.peers.Fail(cho.peer, now, fprelay.Busy)
	case relayNoPath, relayEnded:
		cho.member.recordRelay(now, false)
	case relayResting:
		// Another VM must not go on in its place.
		cho.member.rest(now, min(rel.after, maxRest), 0)
		exc.tried[cho.member] = true
		exc.rateWait = max(exc.rateWait, rel.after)
	case relayRefused:
		exc.tried[cho.member] = true
		exc.rateWait = max(exc.rateWait, rel.after)
	case relayUnknown:
		exc.tried[cho.member] = true
	case relayLost, relayLate:
	default:
		exc.fwd.peers.Fail(cho.peer, now, fprelay.Unreachable)
	}
}

// askPeer asks a peer whether it can open a connection to an upstream. It returns "" if it can.
func (fwd *Forwarder) askPeer(ctx context.Context, pee *fprelay.Peer, mem *member) (relayReason, error) {
	pol := fwd.peerPools.pool(pee)
	con := pol.Get(time.Now(), "", false)
	if con == nil {
		var err error
		if con, err = pol.Open(ctx); err != nil {
			return "", err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+pee.Address()+"/", nil)
	if err != nil {
		return "", fperror.Wrap(fperror.Internal, err, "create a call to a peer")
	}
	platform.EncodeAttempt(req.Header, mem.upstream.GetId(), maxCheckTimeout)
	req.Header.Set(relayHeader, relayOrder{
		born:  mem.upstream.GetBorn(),
		check: true,
	}.encode())
	res, err := con.RoundTrip(req)
	if err != nil {
		con.Close()
		return "", fperror.Wrap(fperror.UpstreamLost, err, "ask VM %s", pee.VM())
	}
	_ = res.Body.Close() // the answer has no body
	if res.Close {
		con.Close()
	} else {
		pol.Put(con, 0)
	}
	return relayReason(res.Header.Get(relayRefusalHeader)), nil
}

// confirmEnded records a crash if a refused connection shows that the process of an upstream has ended. The path of this VM alone
// may refuse connections, so peers are asked first, if there are any.
func (fwd *Forwarder) confirmEnded(mem *member) {
	if !mem.interrupted.any() {
		return
	}
	now := time.Now()
	if all, _ := fwd.peers.Len(now); all == 0 {
		fwd.recordCrash(mem, now)
		return
	}
	asked := map[*fprelay.Peer]bool{}
	ctx, cancel := context.WithTimeout(context.Background(), 2*maxCheckTimeout)
	defer cancel()
	for range maxRelayFailures {
		pee := fwd.peers.Choose(time.Now(), func(pee *fprelay.Peer) bool { return asked[pee] })
		if pee == nil {
			return
		}
		asked[pee] = true
		reason, err := fwd.askPeer(ctx, pee, mem)
		switch {
		case err == nil && reason == relayEnded:
			fwd.recordCrash(mem, time.Now())
			return
		case err == nil && reason == "":
			mem.interrupted.take(time.Now())
			return
		}
	}
}

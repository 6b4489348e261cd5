package fpserve

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
)

// ErrStaleTarget marks an error of Target.Check: the owner changed or the slot table expired after the lookup.
var ErrStaleTarget = errors.New("the target is no longer valid")

// attempt is one attempt to have a call answered by one upstream.
type attempt struct {
	exc              *exchange
	target           *Target
	releaseAdmission func(Result)
	id               string
	doneOnce         sync.Once
	conn             *fpconn.Conn
	sent             time.Time
	permitOnce       sync.Once
	uncertain        bool // it counts among those that may have run
}

// runAttempt makes one attempt. It returns the push-back of the upstream, or 0.
func (exc *exchange) runAttempt() (time.Duration, error) {
	if exc.ser.cfg.IsQuarantined(exc.cal) {
		return 0, fperror.New(fperror.Quarantined, "the request is quarantined because it is suspected of crashing upstreams")
	}
	tar, release, err := exc.admit()
	if err != nil {
		return 0, exc.contextError(err)
	}
	att := &attempt{
		exc:              exc,
		target:           tar,
		releaseAdmission: release,
		id:               exc.ser.newRequestID(),
	}
	err = exc.acquireClaim()
	if errors.Is(err, errClaimPending) {
		att.finish(Result{})
		return exc.awaitClaim()
	}
	if err != nil || exc.noMoreAttempts {
		att.finish(Result{Err: err})
		return 0, err
	}
	exc.cal.tried = append(exc.cal.tried, tar.Upstream.GetName())
	return att.forward()
}

// maxAdmissionAttempts is the number of upstreams at which one attempt of an unkeyed call asks for admission. If the
// queue of one is full, that of another may not be, and asking costs no network traffic.
const maxAdmissionAttempts = 3

// admit finds an upstream that admits the next attempt. A keyed call may go only to the owner of its key.
func (exc *exchange) admit() (*Target, func(Result), error) {
	var refusal error
	for asked := 1; ; asked++ {
		tar, err := exc.pick()
		if err != nil && refusal != nil {
			return nil, nil, refusal
		}
		if err != nil {
			return nil, nil, err
		}
		release, err := exc.ser.cfg.Admit(exc.ctx, exc.cal, tar)
		if err == nil {
			return tar, release, nil
		}
		tar.done(0, err)
		if exc.cal.method.Keyed() || asked == maxAdmissionAttempts || !fperror.Is(err, fperror.Overloaded) {
			return nil, nil, err
		}
		exc.cal.tried = append(exc.cal.tried, tar.Upstream.GetName())
		refusal = err
	}
}

// pick returns the upstream for the next attempt: the owner of the key, or a chosen one for an unkeyed call.
func (exc *exchange) pick() (*Target, error) {
	choose := exc.ser.cfg.Choose
	if exc.cal.method.Keyed() {
		choose = exc.ser.cfg.Route
	}
	tar, err := choose(exc.ctx, exc.cal)
	if err != nil {
		return nil, err
	}
	if tar.Upstream == nil {
		err := fperror.New(fperror.NoUpstream, "the upstream for the request has not been announced to this VM")
		tar.done(0, err)
		return nil, err
	}
	return tar, nil
}

// contextError returns the error of a step before the forwarding. If the context has ended, the kind states whether the
// deadline passed or the caller canceled.
func (exc *exchange) contextError(err error) error {
	if exc.ctx.Err() == nil {
		return err
	}
	if errors.Is(exc.ctx.Err(), context.DeadlineExceeded) {
		return fperror.Wrap(fperror.DeadlineUnreachable, err, "the deadline passed before the request was forwarded")
	}
	return fperror.Wrap(fperror.CallerCanceled, err, "the caller canceled before the request was forwarded")
}

// forward sends the request to the upstream and processes the answer. It returns the push-back of the upstream, or 0.
func (att *attempt) forward() (time.Duration, error) {
	exc := att.exc
	pool := exc.ser.cfg.Pools.Pool(att.target.Upstream)
	if !exc.provenFrom.IsZero() {
		pool.ReplaceUnproven(exc.provenFrom)
	}
	con, err := pool.Reserve(exc.ctx, att.target.Changed)
	if err != nil {
		err = exc.contextError(err)
		att.finish(Result{Err: err})
		return 0, err
	}
	att.conn = con
	req := att.newRequest()
	if err := att.checkBeforeForward(); err != nil {
		con.Release()
		att.finish(Result{Err: err})
		return 0, err
	}
	att.sent = time.Now()
	if con.Silent() == nil {
		return att.handleReply(att.roundTrip(req))
	}
	replied := make(chan reply, 1)
	go func() { replied <- att.roundTrip(req) }()
	return att.await(replied)
}

// checkBeforeForward runs right before the first byte is sent. The slot table may have expired since the lookup, for
// example while the process was paused.
func (att *attempt) checkBeforeForward() error {
	exc := att.exc
	if err := exc.ctx.Err(); err != nil {
		return exc.contextError(err)
	}
	if att.conn.HTTP1() && exc.cal.protocol.framing == grpc {
		return fperror.New(fperror.InvalidRequest, "%s does not support HTTP/2, which gRPC requires", att.target.Upstream.GetName())
	}
	if att.target.Check == nil {
		return nil
	}
	if err := att.target.Check(); err != nil {
		return fperror.Wrap(fperror.KindOf(err), errors.Join(ErrStaleTarget, err), "the request was not forwarded")
	}
	return nil
}

// newRequest returns the request to the upstream.
func (att *attempt) newRequest() *http.Request {
	exc := att.exc
	hea := forwardedHeader(exc.req.Header)
	exc.cal.protocol.setTimeout(hea, time.Until(exc.cal.deadline))
	att.setRouterHeaders(hea)
	if exc.cal.protocol.framing == grpc {
		hea["Te"] = []string{"trailers"}
	}
	req := &http.Request{
		Method: http.MethodPost,
		URL: &url.URL{
			Scheme: "http",
			Host:   att.target.Upstream.GetAddress(),
			Path:   exc.cal.method.Path(),
		},
		Header:        hea,
		Body:          exc.cal.body.open(),
		ContentLength: exc.cal.body.size,
	}
	return req.WithContext(exc.ctx)
}

// setRouterHeaders adds the headers by which an upstream identifies the attempt and checks the fence of a keyed call.
func (att *attempt) setRouterHeaders(hea http.Header) {
	hea[fpconn.RequestHeader] = []string{att.id}
	if att.target.Group == "" {
		return
	}
	hea["Foxtailpulley-Group"] = []string{att.target.Group}
	hea["Foxtailpulley-Slot"] = []string{strconv.FormatUint(uint64(att.target.Slot), 10)}
	hea["Foxtailpulley-Epoch"] = []string{strconv.FormatUint(att.target.Epoch, 10)}
}

// finish reports the result of the attempt and releases its admission. It must be called only when the request no longer
// runs on the upstream.
func (att *attempt) finish(res Result) {
	if !att.sent.IsZero() {
		res.Sent = true
		res.Latency = time.Since(att.sent)
	}
	att.returnPermit(res)
	if res.Err != nil && fperror.KindOf(res.Err).Answer().Outcome() == fperror.NotRun {
		att.reportDone(0, res.Err)
		return
	}
	att.reportDone(res.Latency, res.Err)
}

// returnPermit returns the permit of the attempt once.
func (att *attempt) returnPermit(res Result) {
	att.permitOnce.Do(func() { att.releaseAdmission(res) })
}

// reportDone reports once to Target.Done that the request no longer runs on the upstream.
func (att *attempt) reportDone(busy time.Duration, err error) {
	att.doneOnce.Do(func() { att.target.done(busy, err) })
}

func (tar *Target) done(busy time.Duration, err error) {
	if tar.Done != nil {
		tar.Done(busy, err)
	}
}

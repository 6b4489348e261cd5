package fpserve

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
)

// errMoved marks an error of Target.Check.
var errMoved = errors.New("the target was given up before the forward")

// attempt is one try to have a call answered by one upstream.
type attempt struct {
	exc     *exchange
	target  *Target
	release func(Result)
	id      string
	freed   bool
	conn    *fpconn.Conn
	sent    time.Time
}

// attempt makes one attempt. The duration is the wait that the upstream asked for.
func (exc *exchange) attempt() (time.Duration, error) {
	if exc.ser.cfg.IsQuarantined(exc.cal) {
		return 0, fperror.New(fperror.Quarantined, "the request is suspected of crashing upstreams")
	}
	tar, release, err := exc.admit()
	if err != nil {
		return 0, exc.ended(err)
	}
	att := &attempt{
		exc:     exc,
		target:  tar,
		release: release,
		id:      exc.ser.newRequestID(),
	}
	err = exc.claimOnce()
	if errors.Is(err, errPending) {
		att.end(Result{})
		return exc.awaitClaim()
	}
	if err != nil || exc.final {
		att.end(Result{Err: err})
		return 0, err
	}
	exc.cal.tried = append(exc.cal.tried, tar.Upstream.GetName())
	return att.run()
}

// maxAdmissions is the number of upstreams that are asked for a place for one attempt. Queues of the others may have room,
// and asking costs no message.
const maxAdmissions = 3

// admit finds an upstream with a place for the next attempt. Only the owner may take a keyed call.
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
		if exc.cal.method.Keyed() || asked == maxAdmissions || !fperror.Is(err, fperror.Overloaded) {
			return nil, nil, err
		}
		exc.cal.tried = append(exc.cal.tried, tar.Upstream.GetName())
		refusal = err
	}
}

// pick finds the upstream for the next attempt.
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
		err := fperror.New(fperror.NoUpstream, "the owner of the request is not announced to this VM")
		tar.done(0, err)
		return nil, err
	}
	return tar, nil
}

// ended replaces the error of a step before the forward when it failed because the call's time is over.
func (exc *exchange) ended(err error) error {
	if exc.ctx.Err() == nil {
		return err
	}
	if errors.Is(exc.ctx.Err(), context.DeadlineExceeded) {
		return fperror.Wrap(fperror.DeadlineUnreachable, err, "the deadline passed before the request was forwarded")
	}
	return fperror.Wrap(fperror.CallerCanceled, err, "the caller left before the request was forwarded")
}

// run forwards the request and takes the answer.
func (att *attempt) run() (time.Duration, error) {
	exc := att.exc
	con, err := exc.ser.cfg.Pools.Pool(att.target.Upstream).Reserve(exc.ctx, att.target.Changed)
	if err != nil {
		err = exc.ended(err)
		att.end(Result{Err: err})
		return 0, err
	}
	att.conn = con
	req := att.request()
	if err := att.check(); err != nil {
		con.Release()
		att.end(Result{Err: err})
		return 0, err
	}
	att.sent = time.Now()
	res, err := con.RoundTrip(req)
	if err != nil {
		return 0, att.lost(err)
	}
	return att.receive(res)
}

// check is the last step before the first byte goes out. A pause of the process between the lookup and the forward may
// have let the table expire.
func (att *attempt) check() error {
	exc := att.exc
	if err := exc.ctx.Err(); err != nil {
		return exc.ended(err)
	}
	if att.conn.HTTP1() && exc.cal.protocol.form == grpc {
		return fperror.New(fperror.InvalidRequest, "%s does not speak HTTP/2, which gRPC needs", att.target.Upstream.GetName())
	}
	if att.target.Check == nil {
		return nil
	}
	if err := att.target.Check(); err != nil {
		return fperror.Wrap(fperror.KindOf(err), errors.Join(errMoved, err), "the request was not forwarded")
	}
	return nil
}

// request builds the request to the upstream.
func (att *attempt) request() *http.Request {
	exc := att.exc
	hea := forwardedHeader(exc.req.Header)
	exc.cal.protocol.setTimeout(hea, time.Until(exc.cal.deadline))
	att.setFence(hea)
	if exc.cal.protocol.form == grpc {
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

// setFence adds the headers that the router sends to upstreams.
func (att *attempt) setFence(hea http.Header) {
	hea["Foxtailpulley-Request"] = []string{att.id}
	if att.target.Group == "" {
		return
	}
	hea["Foxtailpulley-Group"] = []string{att.target.Group}
	hea["Foxtailpulley-Slot"] = []string{strconv.FormatUint(uint64(att.target.Slot), 10)}
	hea["Foxtailpulley-Epoch"] = []string{strconv.FormatUint(att.target.Epoch, 10)}
}

// end reports the result and frees the upstream's place. It is called when the request no longer runs on the upstream.
func (att *attempt) end(res Result) {
	if !att.sent.IsZero() {
		res.Sent = true
		res.Latency = time.Since(att.sent)
	}
	att.release(res)
	if res.Err != nil && fperror.KindOf(res.Err).Answer().Outcome() == fperror.NotRun {
		att.free(0, res.Err)
		return
	}
	att.free(res.Latency, res.Err)
}

// free tells once that the request no longer runs on the upstream's slot.
func (att *attempt) free(busy time.Duration, err error) {
	if att.freed {
		return
	}
	att.freed = true
	att.target.done(busy, err)
}

func (tar *Target) done(busy time.Duration, err error) {
	if tar.Done != nil {
		tar.Done(busy, err)
	}
}

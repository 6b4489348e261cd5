package fpserve

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract/fpcontractconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// cancelTimeout bounds one Cancel RPC. A request whose cancellation is not confirmed counts as running until its deadline.
const cancelTimeout = 2 * time.Second

// ErrSilent marks an attempt that was lost because its connection went silent, not because the upstream ended it.
var ErrSilent = errors.New("the connection went silent")

// lost handles an attempt that was sent and got no whole answer. The request may run, so it is cancelled on the upstream
// before its slot counts as free of it.
func (att *attempt) lost(cause error) error {
	err := att.lostError(cause)
	if errors.Is(err, ErrSilent) {
		att.conn.Doubt()
	}
	if att.conn.Crashed() && att.exc.ctx.Err() == nil {
		err = att.reportCrash(err)
	}
	att.abandon(err)
	return att.mayHaveRun(err)
}

// mayHaveRun notes that the request may have run.
func (att *attempt) mayHaveRun(err error) error {
	if att.exc.maybe == nil {
		att.exc.maybe = err
	}
	return err
}

// lostError finds out why an attempt has no whole answer.
func (att *attempt) lostError(cause error) error {
	exc := att.exc
	switch {
	case errors.Is(exc.ctx.Err(), context.DeadlineExceeded):
		return fperror.Wrap(fperror.DeadlineExceeded, cause, "no answer from %s in time", att.target.Upstream.GetName())
	case exc.ctx.Err() != nil:
		return fperror.Wrap(fperror.CallerCanceled, cause, "the caller left")
	case fperror.Is(cause, fperror.AnswerTruncated):
		return cause
	default:
		if !att.conn.Crashed() {
			cause = errors.Join(ErrSilent, cause)
		}
		return fperror.Wrap(fperror.UpstreamLost, cause, "no answer from %s", att.target.Upstream.GetName())
	}
}

// reportCrash tells the leader before the caller gets its answer, so that a caller that sends the request again meets the
// quarantine. Without a report the request is not tried again either.
func (att *attempt) reportCrash(err error) error {
	exc := att.exc
	exc.ser.cfg.Count("crashReported")
	quarantined, reportErr := exc.ser.cfg.ReportCrash(exc.ctx, exc.cal, att.target)
	if reportErr != nil {
		exc.ser.cfg.Count("crashReportFailed")
	}
	if quarantined || reportErr != nil {
		exc.final = true
	}
	return err
}

// abandon cancels a request on its upstream in the background and then frees its place.
//
// An upstream that checks fences stops the requests of a slot by itself, before it confirms that it gave the slot up and
// when its lease ends. The slot is therefore free of the request at once; otherwise the loss of an upstream would hold up
// the move of its slots until the deadlines of the requests that were lost with it.
func (att *attempt) abandon(err error) {
	ser := att.exc.ser
	fenced := att.target.Upstream.GetChecksFence()
	if fenced {
		att.free(time.Since(att.sent), err)
	}
	ser.leftover.Go(func() {
		if !att.cancelUpstream() && !fenced {
			att.waitForDeadline()
		}
		att.end(Result{Err: err})
	})
}

// cancelUpstream reports whether the upstream confirmed that the request no longer runs. A request that the upstream does not
// know may still be on its way over a slow connection.
func (att *attempt) cancelUpstream() bool {
	ser := att.exc.ser
	ctx, cancel := context.WithTimeout(ser.ctx, cancelTimeout)
	defer cancel()
	cli := fpcontractconnect.NewUpstreamServiceClient(
		ser.cfg.Pools.Pool(att.target.Upstream),
		"http://"+att.target.Upstream.GetAddress(),
	)
	res, err := cli.Cancel(ctx, connect.NewRequest(&fpcontract.CancelRequest{
		RequestId: att.id,
	}))
	if err != nil || !res.Msg.GetKnown() {
		ser.cfg.Count("cancelFailed")
		return false
	}
	ser.cfg.Count("canceled")
	return true
}

// waitForDeadline waits until the upstream must have stopped the request by itself.
func (att *attempt) waitForDeadline() {
	tim := time.NewTimer(time.Until(att.exc.cal.deadline))
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-att.exc.ser.ctx.Done():
	}
}

package fpserve

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract/fpcontractconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
)

// cancelTimeout bounds one Cancel RPC. If the cancellation is not confirmed, the request counts as running until its
// deadline.
const cancelTimeout = 2 * time.Second

// ErrSilent marks an attempt that was lost or is doubted because nothing arrived on its connection, which the upstream did not end.
var ErrSilent = errors.New("the connection went silent")

// handleLoss handles an attempt that was sent but got no complete answer. The request may still run, so it is canceled
// on the upstream in the background, and its permit is returned only after that. It returns the error of the attempt.
func (att *attempt) handleLoss(cause error) error {
	err := att.lossError(cause)
	if errors.Is(err, ErrSilent) {
		att.exc.provenFrom = att.conn.MarkSilent()
	}
	if att.conn.Crashed() && att.exc.ctx.Err() == nil {
		err = att.reportCrash(err)
	}
	att.cancelInBackground(err)
	return att.recordUncertain(err)
}

// recordUncertain records that the request may have run, and returns err.
func (att *attempt) recordUncertain(err error) error {
	if !att.uncertain {
		att.uncertain = true
		att.exc.cal.uncertain++
	}
	if att.exc.uncertainErr == nil {
		att.exc.uncertainErr = err
	}
	return err
}

// lossError returns the error that states why an attempt got no complete answer.
func (att *attempt) lossError(cause error) error {
	exc := att.exc
	switch {
	case errors.Is(exc.ctx.Err(), context.DeadlineExceeded):
		return fperror.Wrap(fperror.DeadlineExceeded, cause, "no answer from %s in time", att.target.Upstream.GetName())
	case exc.ctx.Err() != nil:
		return fperror.Wrap(fperror.CallerCanceled, cause, "the caller canceled the request")
	case fperror.Is(cause, fperror.AnswerTruncated):
		return cause
	default:
		if !att.conn.Crashed() && !errors.Is(cause, fpconn.ErrOtherAnswer) {
			cause = errors.Join(ErrSilent, cause)
		}
		return fperror.Wrap(fperror.UpstreamLost, cause, "no answer from %s", att.target.Upstream.GetName())
	}
}

// reportCrash reports a crash of the upstream before the caller gets its answer, so that the crash already counts when
// the caller resends the request. If the request is now quarantined or the report failed, no more attempts are made. It
// returns err unchanged.
func (att *attempt) reportCrash(err error) error {
	exc := att.exc
	exc.ser.cfg.Count("crashReported")
	quarantined, reportErr := exc.ser.cfg.ReportCrash(exc.ctx, exc.cal, att.target)
	if reportErr != nil {
		exc.ser.cfg.Count("crashReportFailed")
	}
	if quarantined || reportErr != nil {
		exc.noMoreAttempts = true
	}
	return err
}

// cancelInBackground cancels a request on its upstream and then releases its admission, without blocking.
//
// An upstream that checks fences itself stops the requests of a slot before it confirms the release of the slot, and
// when its lease ends. The slot therefore counts as free at once. Otherwise the loss of an upstream would delay the move
// of its slots until the deadlines of the requests that were lost with it.
func (att *attempt) cancelInBackground(err error) {
	ser := att.exc.ser
	fenced := att.target.Upstream.GetChecksFence()
	if fenced {
		att.reportDone(time.Since(att.sent), err)
	}
	ser.background.Go(func() {
		if !att.cancelOnUpstream() && !fenced {
			att.waitForDeadline()
		}
		att.finish(Result{Err: err})
	})
}

// cancelOnUpstream sends a Cancel RPC and reports whether the upstream confirmed that the request no longer runs. If the
// upstream does not know the request, it may still arrive over a slow connection.
func (att *attempt) cancelOnUpstream() bool {
	ser := att.exc.ser
	ctx, cancel := context.WithTimeout(ser.ctx, cancelTimeout)
	defer cancel()
	cli := fpcontractconnect.NewUpstreamServiceClient(
		ser.cfg.Pools.Pool(att.target.Upstream),
		"http://"+att.target.Upstream.GetAddress(),
		connect.WithReadMaxBytes(fpconn.MaxContractAnswer),
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

// waitForDeadline waits until the deadline of the call, when the upstream must have stopped the request itself.
func (att *attempt) waitForDeadline() {
	tim := time.NewTimer(time.Until(att.exc.cal.deadline))
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-att.exc.ser.ctx.Done():
	}
}

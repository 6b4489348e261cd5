package fpserve

import (
	"context"
	"net/http"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// reply is the answer to an attempt, as far as it is kept in memory, or the error of an attempt without one.
type reply struct {
	answer *answer
	err    error
}

// usable reports whether the caller gets the answer. Of an answer that is streamed, only the header is known.
func (rep reply) usable() bool {
	ans := rep.answer
	if rep.err != nil || ans.err != nil || ans.refused() || !ans.wanted() || ans.checkHeader() != nil {
		return false
	}
	return ans.streamed() || !ans.stopped() || ans.succeeded()
}

// roundTrip sends the request and waits for its reply.
func (att *attempt) roundTrip(req *http.Request) reply {
	res, err := att.conn.RoundTrip(req)
	if err != nil {
		return reply{
			err: err,
		}
	}
	ans := &answer{
		att: att,
		res: res,
	}
	ans.readSmall()
	return reply{
		answer: ans,
	}
}

func (att *attempt) handleReply(rep reply) (time.Duration, error) {
	if rep.err != nil {
		return 0, att.handleLoss(rep.err)
	}
	return rep.answer.receive()
}

// doubtedAttempt is an attempt whose connection went silent and whose answer may still come. Other attempts are made beside it.
type doubtedAttempt struct {
	attempt *attempt
	err     error        // the error that makes it doubted
	replied <-chan reply // receives its reply
	// callCtx is the context of the call. The attempts beside it end as soon as it gets a usable answer.
	callCtx context.Context
}

// await waits for the reply to an attempt that was sent. Nobody else ends the attempt before its deadline. If its connection goes silent, a
// call that may run again gets another attempt beside it; any other call waits on, as its answer may still come.
func (att *attempt) await(replied <-chan reply) (time.Duration, error) {
	exc := att.exc
	silent := att.conn.Silent()
	for {
		select {
		case rep := <-replied:
			if rep.usable() && rep.answer.streamed() {
				exc.endDoubted()
			}
			return att.handleReply(rep)
		case late := <-exc.doubtedReply():
			if late.usable() {
				return att.yieldTo(late)
			}
			exc.dropDoubted(late)
		case <-silent:
			silent = nil
			exc.provenFrom = att.conn.MarkSilent()
			err := att.doubt()
			if exc.doubted == nil && exc.cal.body.rest == nil && exc.mayRetry(err) {
				exc.setDoubted(att, err, replied)
				return 0, att.recordUncertain(err)
			}
		}
	}
}

// doubt handles the silence of an attempt's connection, and returns the error of the attempt if no answer comes. The other calls to the
// upstream must not wait for this one: its permit is returned, and if the upstream itself stops the requests of a slot that it loses, the
// slot may move.
func (att *attempt) doubt() error {
	err := fperror.Wrap(fperror.UpstreamLost, ErrSilent, "no answer from %s", att.target.Upstream.GetName())
	att.exc.ser.cfg.Count("attemptDoubted")
	if att.target.Upstream.GetChecksFence() {
		att.reportDone(time.Since(att.sent), err)
	}
	att.returnPermit(Result{
		Err:     err,
		Sent:    true,
		Latency: time.Since(att.sent),
	})
	return err
}

// watchStream handles the silence of the connection while an answer is streamed, until the returned function is called.
func (att *attempt) watchStream() (stop func()) {
	ended := make(chan struct{})
	go func() {
		select {
		case <-att.conn.Silent():
			_ = att.conn.MarkSilent()
			_ = att.doubt()
		case <-ended:
		}
	}()
	return func() { close(ended) }
}

// setDoubted keeps an attempt while others are made beside it.
func (exc *exchange) setDoubted(att *attempt, err error, replied <-chan reply) {
	ctx, cancel := context.WithCancel(exc.ctx)
	passed := make(chan reply, 1)
	exc.doubted = &doubtedAttempt{
		attempt: att,
		err:     err,
		replied: passed,
		callCtx: exc.ctx,
	}
	exc.ctx = ctx
	go func() {
		rep := <-replied // comes at the end of the attempt's context at the latest
		usable := rep.usable()
		passed <- rep
		if usable {
			cancel()
		}
	}()
}

// doubtedReply returns the channel of the doubted attempt's reply, or nil if there is no such attempt.
func (exc *exchange) doubtedReply() <-chan reply {
	if exc.doubted == nil {
		return nil
	}
	return exc.doubted.replied
}

// releaseDoubted returns the doubted attempt, which is no longer kept.
func (exc *exchange) releaseDoubted() *attempt {
	dou := exc.doubted
	exc.doubted = nil
	exc.ctx = dou.callCtx
	return dou.attempt
}

// dropDoubted handles the failure of the doubted attempt. Its error is that of the call only if no other attempt gets an answer.
func (exc *exchange) dropDoubted(rep reply) {
	_, _ = exc.releaseDoubted().handleReply(rep)
}

// endDoubted ends the doubted attempt, if any, because another one has been answered. Its request is reset at the end of the call.
func (exc *exchange) endDoubted() {
	if exc.doubted == nil {
		return
	}
	err := exc.doubted.err
	exc.releaseDoubted().cancelInBackground(err)
}

// yieldTo ends the attempt because the doubted one has been answered, and processes that answer. The context of the attempt
// has ended, or ends now.
func (att *attempt) yieldTo(rep reply) (time.Duration, error) {
	dou := att.exc.releaseDoubted()
	att.cancelInBackground(fperror.New(fperror.CallerCanceled, "an earlier attempt was answered"))
	return dou.handleReply(rep)
}

// awaitDoubted waits for the reply to the doubted attempt after no other one has been answered. last is the error of the last one.
func (exc *exchange) awaitDoubted(last error) error {
	rep := <-exc.doubted.replied
	if !rep.usable() {
		exc.dropDoubted(rep)
		return last
	}
	_, err := exc.releaseDoubted().handleReply(rep)
	return err
}

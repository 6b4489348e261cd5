package fpforward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// endCause is why this VM ended an attempt whose answer had not arrived as a whole.
type endCause string

const (
	// endedByAnswer means that another attempt has been answered.
	endedByAnswer endCause = "superseded"
	// endedByStop means that the planned stop of this VM came to its end.
	endedByStop endCause = "stop"
	// endedByDeadline means that the deadline of the request has passed.
	endedByDeadline endCause = "deadline"
	// endedByCaller means that the caller has left.
	endedByCaller endCause = "caller"
)

// endCause returns why this VM ended an attempt, or "" if it did not.
func (exc *exchange) endCause(att *attempt) endCause {
	switch {
	case errors.Is(context.Cause(att.ctx), errSuperseded):
		return endedByAnswer
	case att.ctx.Err() == nil:
		return ""
	case errors.Is(att.ctx.Err(), context.DeadlineExceeded):
		return endedByDeadline
	case exc.fwd.stop.ended.Err() != nil && exc.request.Context().Err() == nil:
		return endedByStop
	default:
		return endedByCaller // at the latest with its connection, before the turn of a pipelined request
	}
}

// logEnd counts an attempt without an answer by what ended it, if that was this VM. For a cause that the line of the request does not
// tell, it also writes a line.
func (exc *exchange) logEnd(att *attempt) {
	cause := exc.endCause(att)
	if cause == "" {
		return
	}
	exc.fwd.counters.add("ended." + string(cause))
	if cause == endedByAnswer || cause == endedByStop {
		exc.fwd.cfg.Log.Info("attempt ended by this VM", append(exc.attemptFields(att), zap.String("cause", string(cause)))...)
	}
}

// logDoubt counts and logs an attempt that goes on although its answer is late.
func (exc *exchange) logDoubt(att *attempt) {
	exc.fwd.counters.add("attemptsInDoubt")
	exc.fwd.cfg.Log.Info("the answer to an attempt is late, the attempt goes on", exc.attemptFields(att)...)
}

// logNoAttempt logs why no other attempt begins beside those in progress, if there are any.
func (exc *exchange) logNoAttempt(err error) {
	if len(exc.open) == 0 || exc.noAttemptLogged {
		return
	}
	exc.noAttemptLogged = true
	exc.fwd.cfg.Log.Info("no other attempt begins beside a late one", zap.String("id", exc.info.Attempt), zap.Error(err))
}

// attemptFields returns the fields of a log line on an attempt without an answer.
func (exc *exchange) attemptFields(att *attempt) []zap.Field {
	now := time.Now()
	fields := []zap.Field{
		zap.String("id", exc.info.Attempt),
		zap.String("upstream", att.choice.member.upstream.GetId()),
		zap.Int64("ageMs", now.Sub(att.sentAt).Milliseconds()),
		zap.Int64("received", att.con.Received()-att.received),
		zap.Bool("repeatable", exc.repeatable()),
		zap.Int("runs", exc.runs),
		zap.Int64("silentMs", exc.fwd.paths.silence(now).Milliseconds()),
		zap.Int64("silenceLimitMs", exc.fwd.paths.silenceLimit().Milliseconds()),
		zap.Int64("connectLimitMs", exc.fwd.paths.checkTimeout(att.choice.member.distance).Milliseconds()),
	}
	if pee := att.choice.peer; pee != nil {
		fields = append(fields, zap.String("through", pee.VM()))
	}
	return append(fields, exc.fwd.stop.fields(now)...)
}

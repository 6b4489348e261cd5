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
	// endedByPath means that the path to the upstream counted as lost.
	endedByPath endCause = "pathLost"
	// endedByStop means that the planned stop of this VM came to its end.
	endedByStop endCause = "stop"
	// endedByDeadline means that the deadline of the request has passed.
	endedByDeadline endCause = "deadline"
	// endedByCaller means that the caller has left.
	endedByCaller endCause = "caller"
)

// endCauseOf returns why this VM ended an attempt with the given context, or "" if it did not.
func (exc *exchange) endCauseOf(ctx context.Context) endCause {
	switch {
	case errors.Is(context.Cause(ctx), errPathLost):
		return endedByPath
	case ctx.Err() == nil:
		return ""
	case exc.request.Context().Err() != nil:
		return endedByCaller
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return endedByDeadline
	default:
		return endedByStop
	}
}

// countEnd counts an attempt without an answer by what ended it, if that was this VM. For a cause that the line of the request does
// not tell, it also writes a line with the inputs of the decision. received is the number of bytes of the answer.
func (exc *exchange) countEnd(ctx context.Context, cho choice, began time.Time, received int64) {
	cause := exc.endCauseOf(ctx)
	if cause == "" {
		return
	}
	exc.fwd.counters.add("ended." + string(cause))
	if cause != endedByPath && cause != endedByStop {
		return
	}
	now := time.Now()
	fields := []zap.Field{
		zap.String("id", exc.info.Attempt),
		zap.String("cause", string(cause)),
		zap.String("upstream", cho.member.upstream.GetId()),
		zap.Int64("ageMs", now.Sub(began).Milliseconds()),
		zap.Int64("received", received),
		zap.Bool("repeatable", exc.repeatable()),
		zap.Int("runs", exc.runs),
		zap.Int64("silentMs", exc.fwd.paths.silence(now).Milliseconds()),
		zap.Int64("silenceLimitMs", exc.fwd.paths.silenceLimit().Milliseconds()),
		zap.Int64("connectLimitMs", exc.fwd.paths.checkTimeout(cho.member.distance).Milliseconds()),
	}
	if cho.peer != nil {
		fields = append(fields, zap.String("through", cho.peer.VM()))
	}
	fields = append(fields, exc.fwd.stop.fields(now)...)
	exc.fwd.cfg.Log.Info("attempt ended by this VM", fields...)
}

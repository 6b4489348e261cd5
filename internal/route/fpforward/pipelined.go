package fpforward

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// Turn describes a request that is next to be answered on its connection.
type Turn struct {
	// Arrived is when the request was read.
	Arrived time.Time
	// Begun is the request if it was begun while earlier ones were in progress, or nil.
	Begun *PipelinedRequest
	// MoreBefore reports whether a later pipelined request has been begun, or read before the given time. Nil means that none has.
	MoreBefore func(at time.Time) bool
	// SetResetOnClose sets whether the connection is reset when it ends, also by the end of the process. Nil means that it
	// can't be.
	SetResetOnClose func(reset bool) error
}

// turnKey is the key of the function of WithTurns in a context.
type turnKey struct{}

// WithTurns returns the context of a connection whose requests may be pipelined. turn is called once for each request, in
// the order of the requests, when the answers to all earlier ones have been written.
func WithTurns(ctx context.Context, turn func(req *http.Request) Turn) context.Context {
	return context.WithValue(ctx, turnKey{}, turn)
}

// TurnOf calls the function of WithTurns in the context of a request. Without one, the request arrived now.
func TurnOf(req *http.Request) Turn {
	if turn, ok := req.Context().Value(turnKey{}).(func(req *http.Request) Turn); ok {
		return turn(req)
	}
	return Turn{
		Arrived: time.Now(),
	}
}

// PipelinedRequest is a request that was begun while earlier ones on its connection were in progress. Its answer is written
// when theirs have been.
type PipelinedRequest struct {
	exchange *exchange
	ctx      context.Context
	cancel   context.CancelFunc
	// done is closed when reply or failure has been set.
	done    chan struct{}
	reply   *reply
	failure error
}

// BeginPipelined begins a pipelined request while earlier ones on its connection are in progress. It returns nil if the
// request has to wait for them. Only idempotent requests with small answers are begun, because the connection may break
// before the answer is written. ctx is that of the connection. The caller of BeginPipelined passes the result on in
// Turn.Begun, or calls Cancel.
func (fwd *Forwarder) BeginPipelined(ctx context.Context, req *http.Request, arrived time.Time) *PipelinedRequest {
	if fwd.stop.begun() {
		return nil
	}
	vie := fwd.view.Load()
	if vie.table == nil {
		return nil
	}
	if rou := vie.table.Find(req.Host, req.URL.EscapedPath()); rou.GetKind() != fpstate.Kind_KIND_IDEMPOTENT {
		return nil
	}
	exc := fwd.newExchange(nil, req.WithContext(ctx), arrived)
	if exc.prepare() != nil {
		return nil // the error is returned again when it is the request's turn
	}
	pip := &PipelinedRequest{
		exchange: exc,
		done:     make(chan struct{}),
	}
	pip.ctx, pip.cancel = fwd.withDeadline(ctx, exc.deadline)
	go func() {
		defer close(pip.done)
		defer exc.recoverPanic(func(failure error) { pip.reply, pip.failure = nil, failure })
		pip.reply, pip.failure = exc.sendWithRetries(pip.ctx)
	}()
	return pip
}

// Cancel cancels a request whose answer will not be written, and waits until it has ended.
func (pip *PipelinedRequest) Cancel() {
	pip.cancel()
	<-pip.done
	defer pip.exchange.releaseAnswers()
	if pip.reply != nil && pip.reply.finish != nil {
		pip.reply.finish(false)
	}
}

// matches reports whether a request that the server has read is the one that was begun.
func (pip *PipelinedRequest) matches(req *http.Request) bool {
	begun := pip.exchange.request
	return begun.Method == req.Method && begun.RequestURI == req.RequestURI && begun.Host == req.Host &&
		maps.EqualFunc(begun.Header, req.Header, slices.Equal)
}

// serve writes the answer when the turn of the request has come.
func (pip *PipelinedRequest) serve(wri http.ResponseWriter, req *http.Request) {
	exc := pip.exchange
	defer exc.releaseAnswers()
	defer pip.cancel()
	stop := context.AfterFunc(req.Context(), pip.cancel)
	defer stop()
	<-pip.done
	exc.writer = wri
	exc.request = req
	rep, err := pip.reply, pip.failure
	if err != nil && exc.arrivals == 0 && fperror.KindOf(err).Answer().Outcome() == fperror.NotRun && pip.ctx.Err() == nil {
		// The refusal has not been sent to the caller, and an upstream may be available by now.
		rep, err = exc.sendWithRetries(pip.ctx)
	}
	exc.respond(pip.ctx, rep, err)
}

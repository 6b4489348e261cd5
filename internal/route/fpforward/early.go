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

// Turn is what a connection knows of a request whose turn has come.
type Turn struct {
	// Arrived is when the request was read.
	Arrived time.Time
	// Early is the request if it was begun before its turn, or nil.
	Early *Early
	// Behind reports whether a pipelined request behind this one has been begun. Nil: none is.
	Behind func() bool
}

// turnKey is the key of a context's value that takes the turn of a request.
type turnKey struct{}

// WithTurns returns the context of a connection on which requests may wait for those before them. The function is called once
// for each request, in the order of the requests.
func WithTurns(ctx context.Context, turn func(req *http.Request) Turn) context.Context {
	return context.WithValue(ctx, turnKey{}, turn)
}

// TurnOf takes the turn of a request; without WithTurns it begins now.
func TurnOf(req *http.Request) Turn {
	if turn, ok := req.Context().Value(turnKey{}).(func(req *http.Request) Turn); ok {
		return turn(req)
	}
	return Turn{
		Arrived: time.Now(),
	}
}

// Early is a request that is served before its turn on its connection has come. Its answer waits for its turn.
type Early struct {
	exchange *exchange
	ctx      context.Context
	cancel   context.CancelFunc
	// done is closed when reply and failure are set.
	done    chan struct{}
	reply   *reply
	failure error
}

// Begin begins a request before its turn, or returns nil if it has to wait: only requests that may run more than once and have
// small answers are begun, because the connection may break before their turn. ctx is that of the connection. The owner passes
// the result on by its Turn, or calls Drop.
func (fwd *Forwarder) Begin(ctx context.Context, req *http.Request, arrived time.Time) *Early {
	if fwd.stopping.Load() {
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
		return nil // its turn brings the answer
	}
	ear := &Early{
		exchange: exc,
		done:     make(chan struct{}),
	}
	ear.ctx, ear.cancel = context.WithDeadline(ctx, exc.deadline)
	go func() {
		defer close(ear.done)
		defer exc.recoverPanic(func(failure error) { ear.reply, ear.failure = nil, failure })
		ear.reply, ear.failure = exc.sendWithRetries(ear.ctx)
	}()
	return ear
}

// Drop ends a request whose turn will not come, and waits for its end.
func (ear *Early) Drop() {
	ear.cancel()
	<-ear.done
	if ear.reply != nil && ear.reply.finish != nil {
		ear.reply.finish(false)
	}
}

// is reports whether a request that the server has read is the one that was begun.
func (ear *Early) matches(req *http.Request) bool {
	begun := ear.exchange.request
	return begun.Method == req.Method && begun.RequestURI == req.RequestURI && begun.Host == req.Host &&
		maps.EqualFunc(begun.Header, req.Header, slices.Equal)
}

// serve answers the request at its turn.
func (ear *Early) serve(wri http.ResponseWriter, req *http.Request) {
	exc := ear.exchange
	defer ear.cancel()
	leave := context.AfterFunc(req.Context(), ear.cancel)
	defer leave()
	<-ear.done
	exc.writer = wri
	exc.request = req
	rep, err := ear.reply, ear.failure
	if err != nil && exc.arrivals == 0 && fperror.KindOf(err).Answer().Outcome() == fperror.NotRun && ear.ctx.Err() == nil {
		// The refusal was not sent, and there may be an upstream by now.
		rep, err = exc.sendWithRetries(ear.ctx)
	}
	exc.respond(ear.ctx, rep, err)
}

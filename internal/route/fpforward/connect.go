package fpforward

import (
	"context"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
)

// connect returns a connection to the upstream of a choice. The error kinds are ConnectFailed and Overloaded, and both mean that
// nothing was sent.
func (exc *exchange) connect(ctx context.Context, cho choice) (*fpconn.ExclusiveConn, error) {
	mem := cho.member
	// If this VM hears from no upstream, it may have lost its paths without knowing it yet. A new connection shows that.
	if silent := exc.fwd.paths.silent(time.Now(), 1); !exc.relayed || !silent {
		if con := mem.connections.Get(time.Now(), exc.info.Attempt, !exc.repeatable()); con != nil {
			return con, nil
		}
	}
	if mem.connectPaused(time.Now()) {
		exc.tried[mem] = true
		return nil, fperror.New(fperror.Overloaded, "upstream %s resets new connections", mem.upstream.GetId())
	}
	began := time.Now()
	timeout := exc.fwd.paths.connectTimeout(mem.distance)
	if exc.relayed || exc.fwd.paths.silent(began, 1) {
		timeout = exc.fwd.paths.checkTimeout(mem.distance)
	}
	waitCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	con, err := exc.openConnection(waitCtx, cho)
	if err == nil {
		return con, nil
	}
	if ctx.Err() == nil {
		exc.connectFailures++
	}
	if fperror.Is(err, fperror.Overloaded) {
		exc.tried[mem] = true
		return nil, err
	}
	if processEnded(err) {
		go exc.fwd.confirmEnded(mem)
	}
	switch {
	case ctx.Err() != nil || !time.Now().Before(exc.deadline):
	case processEnded(err) || exc.fwd.paths.silent(time.Now(), 1):
		exc.fwd.losePath(mem, began, err)
	default:
		// A full link delays connections, too. The opening goes on and shows whether the path is lost.
		exc.tried[mem] = true
	}
	return nil, err
}

// openConnection opens a connection to an upstream. If the upstream may be full, it also waits for a reset. The error kinds
// are ConnectFailed and Overloaded, and both mean that nothing was sent.
func (exc *exchange) openConnection(ctx context.Context, cho choice) (*fpconn.ExclusiveConn, error) {
	mem := cho.member
	began := time.Now()
	con, err := exc.fwd.open(ctx, mem)
	if err != nil {
		return nil, err
	}
	if !mem.mayReset(began, cho.state) {
		return con, nil
	}
	wait := min(maxResetWait, exc.fwd.cfg.ResetWait+time.Since(began))
	if con.StaysOpen(ctx, wait) {
		return con, nil
	}
	con.Close()
	mem.recordReset(time.Now())
	if exc.fwd.cfg.SharedPlaces {
		exc.fwd.room.ObserveFull(mem.roomKey())
	}
	exc.fwd.counters.add("resetBeforeRequest")
	return nil, fperror.New(fperror.Overloaded, "upstream %s reset a new connection before a request was sent", mem.upstream.GetId())
}

// opening is the opening of a connection.
type opening struct {
	con *fpconn.ExclusiveConn
	err error
}

// open opens a connection to an upstream. When ctx ends, the opening goes on until maxCheckTimeout: it then shows how long connections
// take, whether the path is lost, and its connection is kept for later requests. The error is of kind ConnectFailed.
func (fwd *Forwarder) open(ctx context.Context, mem *member) (*fpconn.ExclusiveConn, error) {
	began := time.Now()
	openCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxCheckTimeout)
	done := make(chan opening)
	go func() {
		defer cancel()
		con, err := mem.connections.Open(openCtx)
		if err == nil {
			fwd.paths.recordConnect(mem.distance, time.Since(began))
			fwd.proveDirect(mem, time.Now())
		}
		select {
		case done <- opening{
			con: con,
			err: err,
		}:
		case <-ctx.Done():
			fwd.finishOpening(mem, began, con, err)
		}
	}()
	select {
	case ope := <-done:
		return ope.con, ope.err
	case <-ctx.Done():
		return nil, fperror.Wrap(fperror.ConnectFailed, ctx.Err(), "connect to %s", mem.upstream.GetId())
	}
}

// finishOpening records the result of an opening for which no request waits any more.
func (fwd *Forwarder) finishOpening(mem *member, began time.Time, con *fpconn.ExclusiveConn, err error) {
	if err != nil {
		fwd.losePath(mem, began, err)
		return
	}
	fwd.restorePath(mem, time.Now())
	mem.connections.PutUnused(con)
}

// probe opens connections to an upstream that could not be reached, until one succeeds or the upstream is not in use any
// more. It waits for the end of the hold-down before each one. If the path was lost, it also ends when that to another upstream is
// well again.
func (fwd *Forwarder) probe(mem *member) {
	for fwd.knows(mem) {
		restored := fwd.paths.awaitRestored()
		timer := time.NewTimer(mem.holdDownRemaining(time.Now()))
		select {
		case <-timer.C:
		case <-restored:
			timer.Stop()
			if mem.isPathLost() {
				mem.doubtPath()
				return
			}
			continue
		}
		if delay := fwd.probeLimiter.Reserve().Delay(); delay > 0 {
			time.Sleep(delay)
		}
		chk := fwd.startCheck(mem)
		<-chk.done
		if chk.err == nil {
			return
		}
	}
}

// knows reports whether the member is in use.
func (fwd *Forwarder) knows(mem *member) bool {
	return fwd.view.Load().active[incarnation{
		id:   mem.upstream.GetId(),
		born: mem.upstream.GetBorn(),
	}] == mem
}

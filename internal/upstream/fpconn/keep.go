package fpconn

import (
	"context"
	"time"
)

// keep removes broken connections, opens others ahead of need and wakes waiting callers, until ctx ends.
func (pl *Pool) keep(ctx context.Context) {
	tic := time.NewTicker(pl.cfg.ReadIdle)
	defer tic.Stop()
	for ctx.Err() == nil {
		pause := pl.tend(ctx)
		select {
		case <-ctx.Done():
		case <-pl.wake:
		case <-tic.C:
			pl.probeIdle(ctx)
		case <-pause:
		}
	}
}

// tend returns a channel that fires when a failed attempt to open a connection should be repeated, or nil.
func (pl *Pool) tend(ctx context.Context) <-chan time.Time {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.sweep()
	if pl.waiting.Load() > 0 {
		pl.announce()
	}
	if rest := dialPause - time.Since(pl.failed); rest > 0 {
		return time.After(rest)
	}
	for pl.begin(min(pl.cfg.Ahead, pl.most())) {
		pl.ended.Go(func() { pl.add(ctx) })
	}
	return nil
}

// sweep forgets broken connections. The caller holds the mutex.
func (pl *Pool) sweep() {
	kept := pl.conns[:0]
	for _, con := range pl.conns {
		if con.Broken() {
			pl.cfg.Count("connectionLost")
			continue
		}
		kept = append(kept, con)
	}
	clear(pl.conns[len(kept):])
	pl.conns = kept
}

// Doubt is called when a request on the connection got no answer though the upstream did not end it. The other connections
// of the pool may be silent as well and not found yet, so all that were open then get no more requests and are closed when
// they are idle. Others are opened at once.
func (con *Conn) Doubt() {
	pl := con.pool
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	if con.leaving.Load() {
		return
	}
	con.leaving.Store(true)
	for _, one := range pl.conns {
		one.leaving.Store(true)
		one.closeIfIdle()
	}
	pl.cfg.Count("connectionsDoubted")
	pl.conns = nil
	pl.announce()
	pl.rouse()
}

// add opens a connection that begin has counted.
func (pl *Pool) add(ctx context.Context) {
	con, err := pl.connect(ctx)
	pl.finish(con, err)
	if err != nil {
		pl.cfg.Count("connectFailed")
		pl.rouse()
		return
	}
	con.watch()
}

func (pl *Pool) finish(con *Conn, err error) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.opening--
	pl.failure = err
	if err != nil {
		pl.failed = time.Now()
	} else if !pl.retired.Load() {
		pl.conns = append(pl.conns, con)
	}
	pl.announce()
}

// probeIdle asks for an answer on idle connections of HTTP/1.1, which has no pings.
func (pl *Pool) probeIdle(ctx context.Context) {
	if !pl.http1.Load() {
		return
	}
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	for _, con := range pl.conns {
		if con.client.InFlight() > 0 || con.client.Reserve() != nil {
			continue
		}
		pl.ended.Go(func() { con.probeWithin(ctx, pl.cfg.PingTimeout) })
	}
}

func (con *Conn) probeWithin(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if con.probe(ctx) != nil {
		_ = con.client.Close()
		con.pool.rouse()
	}
}

package fpconn

import (
	"context"
	"slices"
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

// sweep forgets broken connections. When one of them went silent, the others may be silent as well and not found yet, so they
// are left to the requests that they carry. The caller holds the mutex.
func (pl *Pool) sweep() {
	silent := slices.ContainsFunc(pl.conns, func(con *Conn) bool { return con.Broken() && !con.Crashed() })
	kept := pl.conns[:0]
	for _, con := range pl.conns {
		switch {
		case con.Broken():
			pl.cfg.Count("connectionLost")
		case silent:
			con.leaving.Store(true)
			con.closeIfIdle()
		default:
			kept = append(kept, con)
		}
	}
	clear(pl.conns[len(kept):])
	pl.conns = kept
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

package fpconn

import (
	"context"
	"time"
)

// keep removes broken connections, opens others ahead of need and wakes waiting callers, until ctx ends.
func (poo *Pool) keep(ctx context.Context) {
	tic := time.NewTicker(poo.cfg.ReadIdle)
	defer tic.Stop()
	for ctx.Err() == nil {
		pause := poo.tend(ctx)
		select {
		case <-ctx.Done():
		case <-poo.wake:
		case <-tic.C:
			poo.probeIdle(ctx)
		case <-pause:
		}
	}
}

// tend returns a channel that fires when a failed attempt to open a connection should be repeated, or nil.
func (poo *Pool) tend(ctx context.Context) <-chan time.Time {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	poo.sweep()
	if poo.waiting.Load() > 0 {
		poo.announce()
	}
	if rest := dialPause - time.Since(poo.failed); rest > 0 {
		return time.After(rest)
	}
	for poo.begin(min(poo.cfg.Ahead, poo.most())) {
		poo.ended.Go(func() { poo.add(ctx) })
	}
	return nil
}

// sweep forgets broken connections. The caller holds the mutex.
func (poo *Pool) sweep() {
	kept := poo.conns[:0]
	for _, con := range poo.conns {
		if con.Broken() {
			poo.cfg.Count("connectionLost")
			continue
		}
		kept = append(kept, con)
	}
	clear(poo.conns[len(kept):])
	poo.conns = kept
}

// add opens a connection that begin has counted.
func (poo *Pool) add(ctx context.Context) {
	con, err := poo.connect(ctx)
	poo.finish(con, err)
	if err != nil {
		poo.cfg.Count("connectFailed")
		poo.rouse()
		return
	}
	con.watch()
}

func (poo *Pool) finish(con *Conn, err error) {
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	poo.opening--
	poo.failure = err
	if err != nil {
		poo.failed = time.Now()
	} else if !poo.retired.Load() {
		poo.conns = append(poo.conns, con)
	}
	poo.announce()
}

// probeIdle asks for an answer on idle connections of HTTP/1.1, which has no pings.
func (poo *Pool) probeIdle(ctx context.Context) {
	if !poo.http1.Load() {
		return
	}
	poo.mutex.Lock()
	defer poo.mutex.Unlock()
	for _, con := range poo.conns {
		if con.client.InFlight() > 0 || con.client.Reserve() != nil {
			continue
		}
		poo.ended.Go(func() { con.probeWithin(ctx, poo.cfg.PingTimeout) })
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

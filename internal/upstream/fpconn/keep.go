package fpconn

import (
	"context"
	"time"
)

// maintain removes broken connections, opens connections ahead of demand and wakes waiting callers, until ctx ends.
func (pl *Pool) maintain(ctx context.Context) {
	tic := time.NewTicker(pl.cfg.ReadIdle)
	defer tic.Stop()
	for ctx.Err() == nil {
		retry := pl.maintainOnce(ctx)
		select {
		case <-ctx.Done():
		case <-pl.wake:
		case <-tic.C:
			pl.probeIdle(ctx)
		case <-retry:
		}
	}
}

// maintainOnce removes broken connections, wakes waiting callers and opens connections up to the configured minimum.
// After a failed attempt to connect it opens none and returns a channel that fires when the attempt may be repeated;
// otherwise it returns nil.
func (pl *Pool) maintainOnce(ctx context.Context) <-chan time.Time {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.removeBroken()
	if pl.waiting.Load() > 0 {
		pl.notifyWaiting()
	}
	if delay := dialRetryDelay - time.Since(pl.dialFailedAt); delay > 0 {
		return time.After(delay)
	}
	for pl.startOpening(min(pl.cfg.MinConnections, pl.connLimit())) {
		pl.goroutines.Go(func() { pl.open(ctx) })
	}
	return nil
}

// removeBroken drops broken connections from the pool. The caller holds the mutex.
func (pl *Pool) removeBroken() {
	kept := pl.conns[:0]
	for _, con := range pl.conns {
		if con.draining.Load() && con.Broken() {
			continue
		}
		if con.Broken() {
			pl.cfg.Count("connectionLost")
			continue
		}
		kept = append(kept, con)
	}
	clear(pl.conns[len(kept):])
	pl.conns = kept
}

// MarkSilent states that a request on the connection got no answer although the upstream did not end the connection. The
// other connections of the pool may be silent as well without having been detected yet. Therefore all connections that
// are open at the time take no more requests and are closed when they are idle, and replacements are opened at once.
//
// Connections to other upstreams may have gone silent at the same time. Those that have received data at the returned time or later have not:
// the ping without an answer was sent PingTimeout ago, and its answer would have taken far less than half of that.
func (con *Conn) MarkSilent() (provenFrom time.Time) {
	pl := con.pool
	provenFrom = time.Now().Add(-pl.cfg.PingTimeout / 2)
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	if con.draining.Load() {
		return provenFrom
	}
	con.draining.Store(true)
	pl.cfg.Count("connectionsDoubted")
	pl.replace(func(*Conn) bool { return true })
	return provenFrom
}

// ReplaceUnproven takes all connections out of service that have received no data since a time that MarkSilent has returned. They are closed
// when they are idle, and replacements are opened at once.
func (pl *Pool) ReplaceUnproven(provenFrom time.Time) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	if pl.replace(func(con *Conn) bool { return !con.socket.heardSince(provenFrom) }) {
		pl.cfg.Count("connectionsDoubted")
	}
}

// replace takes the connections that match out of service and reports whether there are any. The caller holds the mutex.
func (pl *Pool) replace(match func(con *Conn) bool) bool {
	kept := pl.conns[:0]
	for _, con := range pl.conns {
		if !match(con) {
			kept = append(kept, con)
			continue
		}
		con.draining.Store(true)
		con.closeIfIdle()
	}
	found := len(kept) < len(pl.conns)
	clear(pl.conns[len(kept):])
	pl.conns = kept
	pl.notifyWaiting()
	pl.wakeMaintain()
	return found
}

// open opens a connection that startOpening has counted.
func (pl *Pool) open(ctx context.Context) {
	con, err := pl.connect(ctx)
	pl.finishOpening(con, err)
	if err != nil {
		pl.cfg.Count("connectionFailed") // connectFailed counts refused calls
		pl.wakeMaintain()
		return
	}
	con.watch()
}

// finishOpening records the result of an attempt to open a connection.
func (pl *Pool) finishOpening(con *Conn, err error) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.opening--
	pl.dialErr = err
	if err != nil {
		pl.dialFailedAt = time.Now()
	} else if !pl.retired.Load() {
		pl.conns = append(pl.conns, con)
	}
	pl.notifyWaiting()
}

// probeIdle probes the idle connections of a pool that uses HTTP/1.1, which has no pings.
func (pl *Pool) probeIdle(ctx context.Context) {
	if !pl.http1.Load() {
		return
	}
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	for _, con := range pl.conns {
		if con.client.InFlight() > 0 || !con.reserve() {
			continue
		}
		pl.goroutines.Go(func() { con.probeOrClose(ctx, pl.cfg.PingTimeout) })
	}
}

// probeOrClose closes the connection when a probe gets no answer within the timeout.
func (con *Conn) probeOrClose(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if con.probe(ctx) != nil {
		_ = con.client.Close()
		con.pool.wakeMaintain()
	}
}

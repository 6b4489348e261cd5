package fpconn

import (
	"slices"
	"time"
)

// maxSilence is how long a silent HTTP/2 connection is kept for the requests on it. It is beyond the largest deadline of a request by
// default (30 s).
const maxSilence = 35 * time.Second

// Silent returns a channel that is closed when nothing has arrived on the connection for ReadIdle plus PingTimeout, although a ping was sent
// after ReadIdle, or when a write has taken that long. The pool has then replaced the connection. It stays open, because it may be
// stalled: answers may still arrive. The channel is nil for HTTP/1.1, where silence can't be told from a slow answer.
func (con *Conn) Silent() <-chan struct{} { return con.silent }

// isSilent reports whether the connection was found silent.
func (con *Conn) isSilent() bool {
	select {
	case <-con.silent:
		return true
	default:
		return false
	}
}

// watchSilence checks whether the connection is silent, until it is closed.
func (con *Conn) watchSilence() {
	limit := con.pool.cfg.ReadIdle + con.pool.cfg.PingTimeout
	wait := limit
	if !con.isSilent() {
		wait -= con.socket.quietFor()
	}
	time.AfterFunc(wait, func() {
		switch {
		case con.Broken():
			return
		case con.isSilent():
			con.closeIfIdle() // the answer to a ping may have made it idle, of which the state hook need not tell
		case con.socket.quietFor() >= limit:
			con.pool.removeSilent(con)
		}
		con.watchSilence()
	})
}

// removeSilent takes a connection out of service that was found silent, and has it replaced.
func (pl *Pool) removeSilent(con *Conn) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	close(con.silent)
	pl.cfg.Count("connectionLost")
	pl.conns = slices.DeleteFunc(pl.conns, func(one *Conn) bool { return one == con })
	con.closeIfIdle()
	pl.wakeMaintain()
}

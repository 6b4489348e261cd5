package fpstandin

import (
	"net"
	"sync"
	"time"
)

// listener takes AcceptDelay to accept a connection and closes connections beyond MaxConnections.
type listener struct {
	net.Listener
	standin *Standin
}

// Accept implements net.Listener.
func (lis *listener) Accept() (net.Conn, error) {
	for {
		con, err := lis.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(lis.standin.cfg.AcceptDelay)
		if lis.standin.acquireConnection() {
			return &connection{
				Conn:    con,
				release: sync.OnceFunc(lis.standin.releaseConnection),
			}, nil
		}
		con.Close()
	}
}

// acquireConnection counts a new connection. It returns false if MaxConnections are open.
func (sta *Standin) acquireConnection() bool {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	if sta.cfg.MaxConnections > 0 && sta.connections >= sta.cfg.MaxConnections {
		sta.refusedConnections++
		return false
	}
	sta.connections++
	return true
}

// releaseConnection counts the close of a connection.
func (sta *Standin) releaseConnection() {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.connections--
}

// connection calls release when it is closed.
type connection struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (con *connection) Close() error {
	con.release()
	return con.Conn.Close()
}

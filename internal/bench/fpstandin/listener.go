package fpstandin

import (
	"net"
	"sync"
	"time"
)

// listener accepts connections at a cost and up to a bound.
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
		time.Sleep(lis.standin.cfg.ConnectCost)
		if lis.standin.open() {
			return &connection{
				Conn:  con,
				close: sync.OnceFunc(lis.standin.closed),
			}, nil
		}
		con.Close()
	}
}

// open counts a new connection and reports whether it is within the bound.
func (sta *Standin) open() bool {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	if sta.cfg.Connections > 0 && sta.connections >= sta.cfg.Connections {
		sta.refused++
		return false
	}
	sta.connections++
	return true
}

// closed counts the end of a connection.
func (sta *Standin) closed() {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.connections--
}

// connection is a counted connection.
type connection struct {
	net.Conn
	close func()
}

// Close implements net.Conn.
func (con *connection) Close() error {
	con.close()
	return con.Conn.Close()
}

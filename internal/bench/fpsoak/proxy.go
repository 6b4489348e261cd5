package fpsoak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is the fault that a proxy applies to its connections.
type mode int32

const (
	pass   mode = iota // forwards without a fault
	slow               // delays each chunk by chunkDelay
	silent             // holds back the bytes in both directions
	oneWay             // holds back the bytes towards the callers
	refuse             // resets new connections
)

// chunkDelay is the delay of each chunk in the mode slow.
const chunkDelay = 80 * time.Millisecond

// proxy forwards connections on loopback to a target and applies faults to them.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mutex sync.Mutex
	conns map[net.Conn]bool
}

// newProxy returns a proxy that listens on a loopback address with a port; port 0 stands for a free one.
func newProxy(address, target string) (*proxy, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	pro := &proxy{
		listener: lis,
		target:   target,
		conns:    map[net.Conn]bool{},
	}
	go pro.accept()
	return pro, nil
}

// address returns the IP address and port of the listener.
func (pro *proxy) address() string { return pro.listener.Addr().String() }

// setMode changes the mode, also for open connections.
func (pro *proxy) setMode(mod mode) { pro.mode.Store(int32(mod)) }

// inMode reports whether mod is the current mode.
func (pro *proxy) inMode(mod mode) bool { return mode(pro.mode.Load()) == mod }

// close closes the listener and resets all connections.
func (pro *proxy) close() {
	_ = pro.listener.Close() // accept returns in any case
	pro.reset()
}

// reset resets all connections.
func (pro *proxy) reset() {
	pro.mutex.Lock()
	defer pro.mutex.Unlock()
	for con := range pro.conns {
		if tcp, ok := con.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection has ended
		}
		_ = con.Close()
		delete(pro.conns, con)
	}
}

// accept serves connections until the listener is closed.
func (pro *proxy) accept() {
	for {
		con, err := pro.listener.Accept()
		if err != nil {
			return
		}
		go pro.serve(con)
	}
}

// serve connects a caller to the target and forwards both directions until one side ends.
func (pro *proxy) serve(caller net.Conn) {
	if pro.inMode(refuse) {
		_ = caller.(*net.TCPConn).SetLinger(0) // fails only if the connection has ended
		_ = caller.Close()
		return
	}
	upstream, err := net.Dial("tcp", pro.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	pro.mutex.Lock()
	pro.conns[caller] = true
	pro.conns[upstream] = true
	pro.mutex.Unlock()
	go pro.forward(upstream, caller, false)
	pro.forward(caller, upstream, true)
	pro.mutex.Lock()
	delete(pro.conns, caller)
	delete(pro.conns, upstream)
	pro.mutex.Unlock()
}

// forward forwards one direction in chunks until one side ends, and then closes the other. toCaller marks the direction from
// the target to the caller.
func (pro *proxy) forward(to, from net.Conn, toCaller bool) {
	buf := make([]byte, 16<<10)
	for {
		num, err := from.Read(buf)
		for pro.inMode(silent) || toCaller && pro.inMode(oneWay) {
			time.Sleep(20 * time.Millisecond)
		}
		if pro.inMode(slow) {
			time.Sleep(chunkDelay)
		}
		if num > 0 {
			if _, errWrite := to.Write(buf[:num]); errWrite != nil {
				err = errWrite
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			_ = to.Close()
			return
		}
	}
}

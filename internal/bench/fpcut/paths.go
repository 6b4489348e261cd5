// Package fpcut simulates lost paths of one VM to upstreams, for tests in which all VMs run in one process.
package fpcut

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"

	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
)

// Loss is a way in which a VM loses its paths to upstreams.
type Loss string

const (
	// Well loses nothing.
	Well Loss = ""
	// Hangs keeps connections open and delivers nothing; new ones get no answer.
	Hangs Loss = "hangs"
	// Reset resets open connections; new ones get no answer.
	Reset Loss = "reset"
	// Refused keeps open connections well and refuses new ones.
	Refused Loss = "refused"
	// OneWay delivers requests and loses answers; new connections get no answer.
	OneWay Loss = "oneWay"
)

// Paths simulates lost paths of one VM to upstreams. The zero value loses nothing.
type Paths struct {
	mutex  sync.Mutex
	loss   Loss
	lost   func(address string) bool // nil: all upstreams
	healed chan struct{}             // closed at the end of a loss
	conns  map[*conn]bool
}

// Cut begins a loss of the paths to the upstreams for which lost returns true; nil stands for all.
func (pat *Paths) Cut(loss Loss, lost func(address string) bool) {
	pat.mutex.Lock()
	defer pat.mutex.Unlock()
	pat.loss, pat.lost = loss, lost
	pat.healed = make(chan struct{})
	if loss != Reset {
		return
	}
	for con := range pat.conns {
		if pat.affects(con.address) {
			con.reset.Do(func() { close(con.ended) })
			_ = con.Conn.Close()
		}
	}
}

// Heal ends the loss.
func (pat *Paths) Heal() {
	pat.mutex.Lock()
	defer pat.mutex.Unlock()
	pat.loss = Well
	close(pat.healed)
}

// affects reports whether the path to an address is lost. The caller holds the mutex.
func (pat *Paths) affects(address string) bool {
	return pat.loss != Well && (pat.lost == nil || pat.lost(address))
}

// state returns the loss of the path to an address, and a channel that is closed when it ends.
func (pat *Paths) state(address string) (Loss, <-chan struct{}) {
	pat.mutex.Lock()
	defer pat.mutex.Unlock()
	if !pat.affects(address) {
		return Well, nil
	}
	return pat.loss, pat.healed
}

// Dial opens a connection as fpconn.Dial does, unless the path is lost.
func (pat *Paths) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch loss, _ := pat.state(address); loss {
	case Well:
	case Refused:
		return nil, &net.OpError{
			Op:  "dial",
			Net: network,
			Err: os.NewSyscallError("connect", syscall.ECONNREFUSED),
		}
	default:
		<-ctx.Done()
		return nil, &net.OpError{
			Op:  "dial",
			Net: network,
			Err: ctx.Err(),
		}
	}
	tcp, err := fpconn.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	con := &conn{
		Conn:    tcp,
		cut:     pat,
		address: address,
		ended:   make(chan struct{}),
	}
	pat.mutex.Lock()
	defer pat.mutex.Unlock()
	if pat.conns == nil {
		pat.conns = map[*conn]bool{}
	}
	pat.conns[con] = true
	return con, nil
}

// conn is a connection whose path may be lost. What is sent while it hangs arrives after its end.
type conn struct {
	net.Conn
	cut     *Paths
	address string
	reset   sync.Once
	ended   chan struct{}
}

// SyscallConn implements syscall.Conn.
func (con *conn) SyscallConn() (syscall.RawConn, error) {
	sys, ok := con.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return sys.SyscallConn()
}

// await waits while the path is lost in one of the given ways.
func (con *conn) await(losses ...Loss) {
	for {
		loss, healed := con.cut.state(con.address)
		if !slices.Contains(losses, loss) {
			return
		}
		select {
		case <-healed:
		case <-con.ended:
			return
		}
	}
}

// Read delivers what has arrived once the path is well.
func (con *conn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	con.await(Hangs, OneWay)
	return num, err
}

// Write sends once the path is well.
func (con *conn) Write(buf []byte) (int, error) {
	con.await(Hangs)
	return con.Conn.Write(buf)
}

// Close closes the connection.
func (con *conn) Close() error {
	con.reset.Do(func() { close(con.ended) })
	con.cut.mutex.Lock()
	delete(con.cut.conns, con)
	con.cut.mutex.Unlock()
	return con.Conn.Close()
}

package fpgate

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
)

// pathLoss is a way in which a VM loses its paths to upstreams.
type pathLoss string

const (
	// pathWell loses nothing.
	pathWell pathLoss = ""
	// pathHangs keeps connections open and delivers nothing; new ones get no answer.
	pathHangs pathLoss = "hangs"
	// pathReset resets open connections; new ones get no answer.
	pathReset pathLoss = "reset"
	// pathRefused keeps open connections well and refuses new ones.
	pathRefused pathLoss = "refused"
	// pathOneWay delivers requests and loses answers; new connections get no answer.
	pathOneWay pathLoss = "oneWay"
)

// pathCuts simulates lost paths of one VM to upstreams. The zero value loses nothing.
type pathCuts struct {
	mutex  sync.Mutex
	loss   pathLoss
	lost   func(address string) bool // nil: all upstreams
	healed chan struct{}             // closed at the end of a loss
	conns  map[*cutConn]bool
}

// cut begins a loss of the paths to the upstreams for which lost returns true; nil stands for all.
func (cut *pathCuts) cut(loss pathLoss, lost func(address string) bool) {
	cut.mutex.Lock()
	defer cut.mutex.Unlock()
	cut.loss, cut.lost = loss, lost
	cut.healed = make(chan struct{})
	if loss != pathReset {
		return
	}
	for con := range cut.conns {
		if cut.affects(con.address) {
			con.reset.Do(func() { close(con.ended) })
			_ = con.Conn.Close()
		}
	}
}

// heal ends the loss.
func (cut *pathCuts) heal() {
	cut.mutex.Lock()
	defer cut.mutex.Unlock()
	cut.loss = pathWell
	close(cut.healed)
}

// affects reports whether the path to an address is lost. The caller holds the mutex.
func (cut *pathCuts) affects(address string) bool {
	return cut.loss != pathWell && (cut.lost == nil || cut.lost(address))
}

// state returns the loss of the path to an address, and a channel that is closed when it ends.
func (cut *pathCuts) state(address string) (pathLoss, <-chan struct{}) {
	cut.mutex.Lock()
	defer cut.mutex.Unlock()
	if !cut.affects(address) {
		return pathWell, nil
	}
	return cut.loss, cut.healed
}

// dial opens a connection as fpconn.Dial does, unless the path is lost.
func (cut *pathCuts) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch loss, _ := cut.state(address); loss {
	case pathWell:
	case pathRefused:
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
	con, err := fpconn.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	cuc := &cutConn{
		Conn:    con,
		cut:     cut,
		address: address,
		ended:   make(chan struct{}),
	}
	cut.mutex.Lock()
	defer cut.mutex.Unlock()
	if cut.conns == nil {
		cut.conns = map[*cutConn]bool{}
	}
	cut.conns[cuc] = true
	return cuc, nil
}

// cutConn is a connection whose path may be lost. What is sent while it hangs arrives after its end.
type cutConn struct {
	net.Conn
	cut     *pathCuts
	address string
	reset   sync.Once
	ended   chan struct{}
}

// await waits while the path is lost in one of the given ways.
func (cuc *cutConn) await(losses ...pathLoss) {
	for {
		loss, healed := cuc.cut.state(cuc.address)
		waits := false
		for _, one := range losses {
			waits = waits || one == loss
		}
		if !waits {
			return
		}
		select {
		case <-healed:
		case <-cuc.ended:
			return
		}
	}
}

// Read delivers what has arrived once the path is well.
func (cuc *cutConn) Read(buf []byte) (int, error) {
	num, err := cuc.Conn.Read(buf)
	cuc.await(pathHangs, pathOneWay)
	return num, err
}

// Write sends once the path is well.
func (cuc *cutConn) Write(buf []byte) (int, error) {
	cuc.await(pathHangs)
	return cuc.Conn.Write(buf)
}

// Close closes the connection.
func (cuc *cutConn) Close() error {
	cuc.reset.Do(func() { close(cuc.ended) })
	cuc.cut.mutex.Lock()
	delete(cuc.cut.conns, cuc)
	cuc.cut.mutex.Unlock()
	return cuc.Conn.Close()
}

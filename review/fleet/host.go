package fleet

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// Host is the machine of one life of a worker. After Fail it is silent: nothing is answered or reset, and no connection can be opened.
// Reboot ends that; what is left of the connections is reset.
type Host struct {
	mutex    sync.Mutex
	failed   bool
	rebooted chan struct{}
	listener net.Listener
	conns    []*hostConn
	fillers  []net.Conn
}

// NewHost returns a host that runs.
func NewHost() *Host {
	return &Host{
		rebooted: make(chan struct{}),
	}
}

// Listen listens with the shortest queue of connections, so that Fail can fill it.
func (hos *Host) Listen(address string) (net.Listener, error) {
	port, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	fil := os.NewFile(uintptr(fd), address)
	defer func() { _ = fil.Close() }()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{
		Port: int(port.Port()),
		Addr: port.Addr().As4(),
	}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 16); err != nil {
		return nil, err
	}
	lis, err := net.FileListener(fil)
	if err != nil {
		return nil, err
	}
	hos.mutex.Lock()
	defer hos.mutex.Unlock()
	hos.listener = lis
	return &hostListener{
		Listener: lis,
		host:     hos,
	}, nil
}

// Fail makes the host silent.
func (hos *Host) Fail() {
	hos.mutex.Lock()
	hos.failed = true
	address := hos.listener.Addr().String()
	hos.mutex.Unlock()
	for range 64 {
		con, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			break // the queue is full
		}
		hos.mutex.Lock()
		hos.fillers = append(hos.fillers, con)
		hos.mutex.Unlock()
	}
}

// Reboot resets all connections and stops listening.
func (hos *Host) Reboot() {
	hos.mutex.Lock()
	defer hos.mutex.Unlock()
	for _, con := range hos.conns {
		if tcp, ok := con.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = con.Conn.Close()
	}
	_ = hos.listener.Close()
	for _, con := range hos.fillers {
		_ = con.Close()
	}
	close(hos.rebooted)
}

// await returns an error after the reboot if the host has failed.
func (hos *Host) await() error {
	hos.mutex.Lock()
	failed := hos.failed
	hos.mutex.Unlock()
	if !failed {
		return nil
	}
	<-hos.rebooted
	return net.ErrClosed
}

type hostListener struct {
	net.Listener
	host *Host
}

// Accept implements net.Listener.
func (lis *hostListener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	hoc := &hostConn{
		Conn: con,
		host: lis.host,
	}
	lis.host.mutex.Lock()
	lis.host.conns = append(lis.host.conns, hoc)
	lis.host.mutex.Unlock()
	return hoc, lis.host.await()
}

type hostConn struct {
	net.Conn
	host *Host
}

// Read implements net.Conn.
func (hoc *hostConn) Read(buf []byte) (int, error) {
	num, err := hoc.Conn.Read(buf)
	if failure := hoc.host.await(); failure != nil {
		return 0, failure
	}
	return num, err
}

// Write implements net.Conn.
func (hoc *hostConn) Write(buf []byte) (int, error) {
	if failure := hoc.host.await(); failure != nil {
		return 0, failure
	}
	return hoc.Conn.Write(buf)
}

// Close implements net.Conn.
func (hoc *hostConn) Close() error {
	if failure := hoc.host.await(); failure != nil {
		return failure
	}
	return hoc.Conn.Close()
}

package fpconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state TCP_CLOSE of the kernel. Before a close on this side, a connection gets into it by a reset or a timeout.
const tcpClose = 7

// readStreamState returns the state of a connection whose reader has met the end of the stream.
func readStreamState(con net.Conn) streamState {
	sys, ok := con.(syscall.Conn)
	if !ok {
		return streamUnknown
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return streamUnknown
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case err != nil || infoErr != nil:
		return streamUnknown
	case info.State == tcpClose:
		return streamClosed
	default:
		return streamEnded
	}
}

//go:build !linux

package fpconn

import "net"

// readStreamState returns streamUnknown: the state is read on Linux only.
func readStreamState(net.Conn) streamState { return streamUnknown }

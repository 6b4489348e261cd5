package fpconn

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// keepAlive finds a silent connection of HTTP/1.1 with a request in flight, where the wait for an answer cannot be told
// from silence in any other way. Its times are whole seconds: one second of silence and one for the answer to the probe.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     time.Second,
	Interval: time.Second,
	Count:    1,
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// socket notes whether the peer ended the connection. A connection that this side closes, for example because a ping got
// no answer, is no sign of a crash of the upstream.
type socket struct {
	net.Conn
	closedHere atomic.Bool
	endedThere atomic.Bool
	received   atomic.Int64
}

// Read notes the end of the connection by the peer.
func (soc *socket) Read(buf []byte) (int, error) {
	num, err := soc.Conn.Read(buf)
	soc.received.Add(int64(num))
	soc.note(err)
	return num, err
}

// Write notes the end of the connection by the peer, which may show here first.
func (soc *socket) Write(buf []byte) (int, error) {
	num, err := soc.Conn.Write(buf)
	soc.note(err)
	return num, err
}

// note tells an end by the peer from an end by this side and from silence, which shows as a timeout.
func (soc *socket) note(err error) {
	if err == nil || soc.closedHere.Load() {
		return
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	soc.endedThere.Store(true)
}

// Close closes the connection.
func (soc *socket) Close() error {
	soc.closedHere.Store(true)
	return soc.Conn.Close()
}

// dialInto opens a TCP connection and stores it.
func dialInto(into *atomic.Pointer[socket]) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dia := net.Dialer{
			KeepAliveConfig: keepAlive,
		}
		con, err := dia.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		soc := &socket{
			Conn: con,
		}
		into.Store(soc)
		return soc, nil
	}
}

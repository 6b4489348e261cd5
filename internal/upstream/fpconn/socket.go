package fpconn

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// keepAlive detects a connection whose path is lost for good. A request on it mostly ends sooner, at its deadline: on a path that loses
// packets a few probes in a row get lost while the upstream is at work.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     time.Second,
	Interval: time.Second,
	Count:    9,
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// errResetBeforeEnd is the error of a read after a reset that a write has met.
var errResetBeforeEnd = errors.New("the connection was reset before its end")

// socket records whether the peer ended the connection. A connection that this side closes, for example because a ping
// got no answer, is no sign that the upstream crashed.
//
// It also tells a reset from the end of the stream. The kernel reports a reset once: if a write meets it, the next read returns the
// end of the stream, and an answer that ends with the connection would pass for a whole one.
type socket struct {
	net.Conn
	// writing is held during a write, and writeFailure is the error of the first write that failed.
	writing       sync.Mutex
	writeFailure  error
	closedLocally atomic.Bool
	endedByPeer   atomic.Bool
	received      atomic.Int64
	receivedAt    atomic.Int64 // latest receipt, as the time since processStart; before that, the opening
	writingSince  atomic.Int64 // begin of the write in progress, as the time since processStart, or 0
	strays        strayFilter
}

// processStart is a time of this process from which receipts are counted, by the monotonic clock.
var processStart = time.Now()

// heardSince reports whether the connection has received data, or was opened, at a time or after it.
func (soc *socket) heardSince(since time.Time) bool {
	return time.Duration(soc.receivedAt.Load()) >= since.Sub(processStart)
}

// Read implements net.Conn. It skips stray answers.
func (soc *socket) Read(buf []byte) (int, error) { return soc.strays.read(buf, soc.receive) }

// quietFor returns for how long nothing has been received, or a write has been in progress, whichever is longer.
func (soc *socket) quietFor() time.Duration {
	now := time.Since(processStart)
	quiet := now - time.Duration(soc.receivedAt.Load())
	if since := time.Duration(soc.writingSince.Load()); since > 0 {
		quiet = max(quiet, now-since)
	}
	return quiet
}

// receive reads from the connection, counts the received bytes, and records whether the peer ended the connection.
func (soc *socket) receive(buf []byte) (int, error) {
	num, err := soc.Conn.Read(buf)
	soc.received.Add(int64(num))
	if num > 0 {
		soc.receivedAt.Store(int64(time.Since(processStart)))
	}
	if err == io.EOF && soc.wasReset() {
		err = errResetBeforeEnd
	}
	soc.recordError(err)
	return num, err
}

// wasReset reports, after a read has returned the end of the stream, whether the connection has broken instead.
func (soc *socket) wasReset() bool {
	switch readStreamState(soc.Conn) {
	case streamEnded:
		return false
	case streamUnknown:
		// A write in progress may have met the reset already. It can take long if the peer has ended its side only.
		if !soc.writing.TryLock() {
			return true
		}
	case streamClosed:
		// A write in progress returns now.
		soc.writing.Lock()
	}
	defer soc.writing.Unlock()
	// After the end of the stream, a reset is an EPIPE.
	return soc.writeFailure != nil && !errors.Is(soc.writeFailure, syscall.EPIPE)
}

// Write records whether the peer ended the connection, which a write may be the first to detect.
func (soc *socket) Write(buf []byte) (int, error) {
	soc.writing.Lock()
	defer soc.writing.Unlock()
	soc.writingSince.Store(int64(time.Since(processStart)))
	num, err := soc.Conn.Write(buf)
	soc.writingSince.Store(0)
	soc.recordError(err)
	if soc.writeFailure == nil {
		soc.writeFailure = err
	}
	return num, err
}

// recordError records an end of the connection by the peer. It ignores an end by this side, and timeouts, which
// indicate a silent connection.
func (soc *socket) recordError(err error) {
	if err == nil || soc.closedLocally.Load() {
		return
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	soc.endedByPeer.Store(true)
}

// Close closes the connection.
func (soc *socket) Close() error {
	soc.closedLocally.Store(true)
	return soc.Conn.Close()
}

// Dial opens a TCP connection to an upstream, with probes that detect a silent connection. It sets no TCP_USER_TIMEOUT, which
// would replace the number of probes and end requests that wait for an answer on a path with losses.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dia := net.Dialer{
		KeepAliveConfig: keepAlive,
	}
	return dia.DialContext(ctx, network, address)
}

// dialInto returns a function that opens a connection with dial and stores its socket in into.
func dialInto(into *atomic.Pointer[socket], dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		soc := &socket{
			Conn: con,
		}
		soc.receivedAt.Store(int64(time.Since(processStart)))
		into.Store(soc)
		return soc, nil
	}
}

package fpgate

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpforward"
)

const (
	// readAheadBytes bounds the bytes of pipelined requests that are read while another request is in progress. A caller
	// that sends more is held up by TCP flow control.
	readAheadBytes = 8 << 10
	// maxPipelined bounds the pipelined requests of one connection that are begun before their turn.
	maxPipelined = 8
	// firstRequestTimeout is how long a VM that shuts down waits for the first request on an accepted connection.
	firstRequestTimeout = time.Second
	// closeLinger is how long Close waits for the caller to read the last answer when pipelined requests are unread. Closing
	// at once would reset the connection and lose the answer.
	closeLinger = 300 * time.Millisecond
	// refusalTimeout bounds writing the answer to a header that is too large.
	refusalTimeout = 300 * time.Millisecond
)

// refusedHeaderAnswer is the answer to a header that is larger than the limit, as net/http words it.
const refusedHeaderAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Connection: close\r\n\r\n431 Request Header Fields Too Large"

// callerConn is the connection of a caller that may pipeline requests. The HTTP server stops watching for the end of a
// connection at the first byte of the next request, and reads the rest only at that request's turn. callerConn reads on in
// the meantime, to notice when the caller disconnects, and begins pipelined requests that may run more than once, so that
// they don't wait for those before them. The server still writes the answers in the order of the requests.
type callerConn struct {
	net.Conn
	// cancel ends the contexts of the connection's requests. It is called when the caller has disconnected.
	cancel context.CancelFunc
	// onClose is called when this VM has closed the connection.
	onClose func()
	// onRefusedHeader is called when a header was larger than the limit.
	onRefusedHeader func()
	// beginPipelined begins a request before its turn, or returns nil if the request has to wait for its turn. Nil: no
	// request is begun early.
	beginPipelined func(req *http.Request, arrived time.Time) *fpforward.PipelinedRequest

	mutex         sync.Mutex
	state         http.ConnState
	stateSince    time.Time // when state was set
	arriving      bool      // bytes of a request were read whose turn has not come; requests does not hold them after a body
	limits        limits
	header        headerProgress
	refused       atomic.Bool // the header was too large; the server gets no more bytes, and its answers are dropped
	deadline      time.Time   // read deadline that the server has set
	requests      requestBuffer
	readErr       error                         // read error that ended the connection; reported after the bytes in requests
	readAheadDone chan struct{}                 // closed when the read-ahead in progress ends; nil when there is none
	pipelined     []*fpforward.PipelinedRequest // requests that were begun early and whose turn has not come, in order
	resetOnClose  bool                          // the connection is reset when it ends
}

// newCallerConn wraps a connection. The caller sets cancel and beginPipelined before the first read.
func newCallerConn(con net.Conn) *callerConn {
	return &callerConn{
		Conn:       con,
		cancel:     func() {},
		onClose:    func() {},
		stateSince: time.Now(),
		limits:     newLimits(nil),

		onRefusedHeader: func() {},
	}
}

// setLimits applies limits, also to what the server waits for now.
func (con *callerConn) setLimits(lim limits) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.limits = lim
	if con.header.phase != phaseRequest && con.readAheadDone == nil {
		_ = con.Conn.SetReadDeadline(con.readDeadline()) // it fails only on a closed connection, which its server removes
	}
}

// readDeadline returns the read deadline that is in force outside of a read-ahead. The caller holds the mutex.
func (con *callerConn) readDeadline() time.Time { return con.header.deadline(con.limits, con.deadline) }

// setState records the state that the HTTP server reports for the connection.
func (con *callerConn) setState(now time.Time, sta http.ConnState) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.state, con.stateSince = sta, now
	if sta == http.StateActive {
		con.arriving = false
	}
}

// closeIfIdle makes the server close the connection if no request is in progress and no byte of one has arrived. A request
// that arrives at the same moment is still read.
func (con *callerConn) closeIfIdle(now time.Time) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	idle := con.state == http.StateIdle || con.state == http.StateNew && now.Sub(con.stateSince) > firstRequestTimeout
	if idle && !con.arriving && len(con.requests.buf) == 0 && con.readAheadDone == nil {
		_ = con.Conn.SetReadDeadline(now) // it fails only on a closed connection, which its server removes
	}
}

// takeTurn is called when the turn of a request has come, and returns what the connection knows of the request.
func (con *callerConn) takeTurn(req *http.Request) fpforward.Turn {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	hasBody := req.Body != nil && req.Body != http.NoBody
	tur := fpforward.Turn{
		Arrived:         con.requests.advance(time.Now(), hasBody),
		MoreBefore:      con.hasPipelined,
		SetResetOnClose: con.setResetOnClose,
	}
	if len(con.pipelined) > 0 {
		tur.Begun, con.pipelined = con.pipelined[0], con.pipelined[1:]
	} else {
		// The request that kept later ones from being begun early has got its turn.
		con.requests.pipelineStopped = false
	}
	return tur
}

// hasPipelined reports whether a request whose turn has not come has been begun, or was read before a time.
func (con *callerConn) hasPipelined(before time.Time) bool {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	return len(con.pipelined) > 0 || con.requests.hasHeader(before)
}

// Read implements net.Conn. While a request is in progress the server reads a single byte, to learn whether another request
// follows.
func (con *callerConn) Read(buf []byte) (int, error) {
	con.stopReadAhead()
	con.mutex.Lock()
	if con.refused.Load() || con.header.exceeds(con.limits) {
		con.mutex.Unlock()
		return 0, con.refuseHeader()
	}
	if con.requests.undelivered() > 0 {
		defer con.mutex.Unlock()
		num := con.requests.deliver(buf)
		con.header.add(num)
		con.startReadAhead(buf)
		return num, nil
	}
	err := con.readErr
	con.mutex.Unlock()
	if err != nil {
		return 0, err
	}
	num, err := con.Conn.Read(buf)
	con.mutex.Lock()
	defer con.mutex.Unlock()
	// While a request is in progress, a single byte is read of the next one, and more of its own body.
	if num > 0 && (con.state != http.StateActive || len(buf) == 1) {
		con.arriving = true
	}
	if num > 0 && !con.requests.hadBody {
		con.requests.add(buf[:num], time.Now())
		num = con.requests.deliver(buf[:num])
		if con.requests.undelivered() > 0 && err != nil {
			con.readErr, err = err, nil // reported after the buffered bytes
		}
	}
	con.header.add(num)
	if num > 0 {
		con.startReadAhead(buf)
	}
	return num, err
}

// refuseHeader answers a header that is larger than the limit, once, and returns the error that makes the server close the connection
// without an answer of its own.
func (con *callerConn) refuseHeader() error {
	if con.refused.CompareAndSwap(false, true) {
		con.onRefusedHeader()
		if con.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
			_, _ = io.WriteString(con.Conn, refusedHeaderAnswer) // the connection ends in any case
		}
	}
	return os.ErrDeadlineExceeded
}

// Write implements net.Conn. After a refused header it drops what the server makes of the part that it has got.
func (con *callerConn) Write(buf []byte) (int, error) {
	if con.refused.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	return con.Conn.Write(buf)
}

// startReadAhead reads ahead after a read of a single byte, which the server makes while a request is in progress. The
// caller holds the mutex.
func (con *callerConn) startReadAhead(buf []byte) {
	if len(buf) != 1 {
		return
	}
	con.beginPipelinedRequests()
	if con.readErr != nil || con.requests.undelivered() >= readAheadBytes {
		return
	}
	done := make(chan struct{})
	con.readAheadDone = done
	// The goroutine ends when the server reads again, when the connection ends, or when the buffer is full; stopReadAhead
	// waits for it.
	go con.readAhead(done)
}

func (con *callerConn) readAhead(done chan<- struct{}) {
	defer close(done)
	buf := make([]byte, readAheadBytes)
	for {
		con.mutex.Lock()
		room := readAheadBytes - con.requests.undelivered()
		con.mutex.Unlock()
		if room <= 0 {
			return
		}
		num, err := con.Conn.Read(buf[:room])
		con.mutex.Lock()
		con.requests.add(buf[:num], time.Now())
		con.beginPipelinedRequests()
		ended := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		if ended {
			con.readErr = err
		}
		con.mutex.Unlock()
		if ended {
			con.cancel()
		}
		if err != nil {
			return
		}
	}
}

// beginPipelinedRequests begins the buffered requests that may run before their turn. The caller holds the mutex.
func (con *callerConn) beginPipelinedRequests() {
	for con.beginPipelined != nil && len(con.pipelined) < maxPipelined {
		req, arrived := con.requests.nextPipelined(con.limits.maxHeaderBytes)
		if req == nil {
			return
		}
		pip := con.beginPipelined(req, arrived)
		if pip == nil {
			// Later requests wait for this one.
			con.requests.pipelineStopped = true
			return
		}
		con.pipelined = append(con.pipelined, pip)
	}
}

// stopReadAhead ends the read-ahead in progress, if there is one, and restores the server's read deadline.
func (con *callerConn) stopReadAhead() {
	con.mutex.Lock()
	done := con.readAheadDone
	con.mutex.Unlock()
	if done == nil {
		return
	}
	// SetReadDeadline fails only on a closed connection, on which the read has ended as well.
	_ = con.Conn.SetReadDeadline(time.Unix(1, 0))
	<-done
	con.mutex.Lock()
	defer con.mutex.Unlock()
	if con.readAheadDone == done {
		con.readAheadDone = nil
	}
	_ = con.Conn.SetReadDeadline(con.readDeadline()) // the next read reports a closed connection
}

// SetReadDeadline implements net.Conn. The limits replace the timeouts of the server. The deadline does not apply to a read-ahead in
// progress.
func (con *callerConn) SetReadDeadline(at time.Time) error {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.deadline = at
	con.header.begin(at, time.Now())
	if con.readAheadDone != nil {
		return nil
	}
	return con.Conn.SetReadDeadline(con.readDeadline())
}

// CloseWrite ends the answers and leaves the connection open for reading.
func (con *callerConn) CloseWrite() error {
	if tcp, ok := con.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return con.Conn.Close()
}

// setResetOnClose sets whether the connection is reset when it ends, also by the end of the process. Data that hasn't been sent
// is lost then.
func (con *callerConn) setResetOnClose(reset bool) error {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.resetOnClose = reset
	tcp, ok := con.Conn.(*net.TCPConn)
	switch {
	case !ok:
		return nil
	case reset:
		return tcp.SetLinger(0)
	default:
		return tcp.SetLinger(-1)
	}
}

// Close implements net.Conn. When pipelined requests or a part of a header are unread it waits up to closeLinger for the caller to
// read the last answer.
func (con *callerConn) Close() error {
	defer con.onClose()
	con.mutex.Lock()
	unread := len(con.requests.buf) > 0 && con.readErr == nil
	linger := (unread || con.refused.Load()) && !con.resetOnClose
	begun := con.pipelined
	con.pipelined = nil
	con.mutex.Unlock()
	for _, pip := range begun {
		pip.Cancel()
	}
	if !linger {
		return con.Conn.Close()
	}
	con.stopReadAhead()
	if con.CloseWrite() == nil && con.Conn.SetReadDeadline(time.Now().Add(closeLinger)) == nil {
		rest := make([]byte, readAheadBytes)
		for {
			if _, err := con.Conn.Read(rest); err != nil {
				break
			}
		}
	}
	return con.Conn.Close()
}

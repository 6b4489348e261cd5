package fpgate

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// aheadBytes bounds what is read of further requests while one is in progress. A caller that sends more waits.
	aheadBytes = 8 << 10
	// lingerTime is how long the end of a connection waits for the caller to read the last answer, when the caller has sent
	// further requests. Closing at once would reset the connection and drop the answer.
	lingerTime = 300 * time.Millisecond
)

// callerConn is the connection of a caller that may send further requests before the first is answered. The HTTP server stops
// looking for the end of the connection at the first byte of a further request; from there on, this type reads on and keeps
// the bytes until the server asks for them.
type callerConn struct {
	net.Conn
	// left is called when the caller has ended the connection.
	left context.CancelFunc

	mutex    sync.Mutex
	deadline time.Time     // of the server's reads
	ahead    []byte        // was read ahead of the server
	err      error         // ended the connection, after ahead
	reading  chan struct{} // is closed when the read ahead in progress has ended, or nil
	// further states that the caller has sent a request whose turn has not come.
	further bool
	arrival arrival
}

// arrival tells when the bytes of requests were read.
type arrival struct {
	// ahead is when the first bytes were read while a request was in progress, or zero.
	ahead time.Time
	// fresh states that bytes were read while no request was in progress.
	fresh bool
	// last is the arrival of the last request.
	last time.Time
}

// next returns when the next request was read.
func (arr *arrival) next(now time.Time) time.Time {
	at := now
	switch {
	case !arr.ahead.IsZero():
		at = arr.ahead
	case !arr.fresh && !arr.last.IsZero():
		// It came together with the one before it.
		at = arr.last
	}
	*arr = arrival{
		last: at,
	}
	return at
}

// newCallerConn returns a connection whose owner sets left before the first read.
func newCallerConn(con net.Conn) *callerConn {
	return &callerConn{
		Conn: con,
		left: func() {},
	}
}

// arrived returns when the request that begins was read. It may be called once for each request.
func (con *callerConn) arrived() time.Time {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.further = len(con.ahead) > 0
	return con.arrival.next(time.Now())
}

// Read implements net.Conn. While a request is in progress the server reads a single byte, which shows that another request
// follows.
func (con *callerConn) Read(buf []byte) (int, error) {
	con.stopReadingAhead()
	con.mutex.Lock()
	if len(con.ahead) > 0 {
		num := copy(buf, con.ahead)
		con.ahead = con.ahead[num:]
		con.mutex.Unlock()
		con.watch(buf)
		return num, nil
	}
	err := con.err
	con.mutex.Unlock()
	if err != nil {
		return 0, err
	}
	num, err := con.Conn.Read(buf)
	if num > 0 {
		con.mutex.Lock()
		if len(buf) > 1 {
			con.arrival.fresh = true
		} else if con.arrival.ahead.IsZero() {
			con.arrival.ahead = time.Now()
		}
		con.mutex.Unlock()
		con.watch(buf)
	}
	return num, err
}

// watch begins to read ahead after a read of a single byte.
func (con *callerConn) watch(buf []byte) {
	if len(buf) != 1 {
		return
	}
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.further = true
	if con.err != nil || len(con.ahead) >= aheadBytes {
		return
	}
	reading := make(chan struct{})
	con.reading = reading
	// It ends when the server reads again, with the connection, or when it has read enough; stopReadingAhead waits for it.
	go con.readAhead(reading)
}

func (con *callerConn) readAhead(reading chan<- struct{}) {
	defer close(reading)
	buf := make([]byte, aheadBytes)
	for {
		con.mutex.Lock()
		room := aheadBytes - len(con.ahead)
		con.mutex.Unlock()
		if room <= 0 {
			return
		}
		num, err := con.Conn.Read(buf[:room])
		con.mutex.Lock()
		con.ahead = append(con.ahead, buf[:num]...)
		ended := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		if ended {
			con.err = err
		}
		con.mutex.Unlock()
		if ended {
			con.left()
		}
		if err != nil {
			return
		}
	}
}

// stopReadingAhead ends the read ahead in progress, if there is one.
func (con *callerConn) stopReadingAhead() {
	con.mutex.Lock()
	reading := con.reading
	con.reading = nil
	con.mutex.Unlock()
	if reading == nil {
		return
	}
	// A connection that refuses the deadline has ended, which ends the read as well.
	_ = con.Conn.SetReadDeadline(time.Unix(1, 0))
	<-reading
	con.mutex.Lock()
	defer con.mutex.Unlock()
	_ = con.Conn.SetReadDeadline(con.deadline) // the read that follows reports the end of the connection
}

// SetReadDeadline implements net.Conn. A read ahead goes on beyond it.
func (con *callerConn) SetReadDeadline(at time.Time) error {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.deadline = at
	if con.reading != nil {
		return nil
	}
	return con.Conn.SetReadDeadline(at)
}

// CloseWrite ends the answers and leaves the connection open for reading.
func (con *callerConn) CloseWrite() error {
	if tcp, ok := con.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return con.Conn.Close()
}

// Close implements net.Conn. It waits a little when requests that nobody will read may be under way.
func (con *callerConn) Close() error {
	con.mutex.Lock()
	linger := con.further && con.err == nil
	con.mutex.Unlock()
	if !linger {
		return con.Conn.Close()
	}
	con.stopReadingAhead()
	if con.CloseWrite() == nil && con.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		rest := make([]byte, aheadBytes)
		for {
			if _, err := con.Conn.Read(rest); err != nil {
				break
			}
		}
	}
	return con.Conn.Close()
}

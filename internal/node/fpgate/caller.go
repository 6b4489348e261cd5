package fpgate

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpforward"
)

const (
	// aheadBytes bounds what is read of pipelined requests while one is in progress. A caller that sends more waits.
	aheadBytes = 8 << 10
	// mostAhead bounds the pipelined requests of a connection that are begun before their turn.
	mostAhead = 8
	// firstRequestTime is how long a VM that stops waits for the first request on a connection that it has accepted.
	firstRequestTime = time.Second
	// lingerTime is how long the end of a connection waits for the caller to read the last answer, when the caller has sent
	// pipelined requests. Closing at once would reset the connection and drop the answer.
	lingerTime = 300 * time.Millisecond
)

// callerConn is the connection of a caller that may pipeline requests. The HTTP server stops looking for the end of the connection
// at the first byte of the next request, and reads on only when the turn of that request has come. This type reads on meanwhile,
// notices when the caller leaves, and begins pipelined requests that can be repeated, so that they do not wait for those before
// them. Their answers go out in order, because the server writes them.
type callerConn struct {
	net.Conn
	// left is called when the caller has ended the connection.
	left context.CancelFunc
	// closed is called when this VM has closed the connection.
	closed func()
	// early begins a request before its turn, or returns nil if that has to wait. Nil: none is begun.
	early func(req *http.Request, arrived time.Time) *fpforward.Early

	mutex    sync.Mutex
	state    http.ConnState
	since    time.Time // of the state
	deadline time.Time // of the server's reads
	requests requests
	err      error         // ended the connection, behind the bytes in requests
	reading  chan struct{} // is closed when the read ahead in progress has ended, or nil
	begun    []*fpforward.Early
}

// newCallerConn returns a connection whose owner sets left and early before the first read.
func newCallerConn(con net.Conn) *callerConn {
	return &callerConn{
		Conn:   con,
		left:   func() {},
		closed: func() {},
		since:  time.Now(),
	}
}

// setState notes the state that the server gives the connection.
func (con *callerConn) setState(now time.Time, sta http.ConnState) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.state, con.since = sta, now
}

// endIdle lets the server end the connection if no request is in progress and none has begun to arrive. What arrives at the same
// moment is read.
func (con *callerConn) endIdle(now time.Time) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	idle := con.state == http.StateIdle || con.state == http.StateNew && now.Sub(con.since) > firstRequestTime
	if idle && len(con.requests.buf) == 0 && con.reading == nil {
		_ = con.Conn.SetReadDeadline(now) // one that has ended is removed by its server
	}
}

// turn takes the turn of a request.
func (con *callerConn) turn(req *http.Request) fpforward.Turn {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	hasBody := req.Body != nil && req.Body != http.NoBody
	tur := fpforward.Turn{
		Arrived: con.requests.begin(time.Now(), hasBody),
		Behind:  con.behind,
	}
	if len(con.begun) > 0 {
		tur.Early, con.begun = con.begun[0], con.begun[1:]
	} else {
		// The request that stopped the look ahead has got its turn.
		con.requests.stopped = false
	}
	return tur
}

// behind reports whether a pipelined request has been begun before its turn.
func (con *callerConn) behind() bool {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	return len(con.begun) > 0
}

// Read implements net.Conn. While a request is in progress the server reads a single byte, which shows that another request
// follows.
func (con *callerConn) Read(buf []byte) (int, error) {
	con.stopReadingAhead()
	con.mutex.Lock()
	if con.requests.waiting() > 0 {
		defer con.mutex.Unlock()
		num := con.requests.give(buf)
		con.watch(buf)
		return num, nil
	}
	err := con.err
	con.mutex.Unlock()
	if err != nil {
		return 0, err
	}
	num, err := con.Conn.Read(buf)
	con.mutex.Lock()
	defer con.mutex.Unlock()
	if num > 0 && !con.requests.lost {
		con.requests.add(buf[:num], time.Now())
		num = con.requests.give(buf[:num])
		if con.requests.waiting() > 0 && err != nil {
			con.err, err = err, nil // it comes behind what waits
		}
	}
	if num > 0 {
		con.watch(buf)
	}
	return num, err
}

// watch begins to read ahead after a read of a single byte. The caller holds the mutex.
func (con *callerConn) watch(buf []byte) {
	if len(buf) != 1 {
		return
	}
	con.beginEarly()
	if con.err != nil || con.requests.waiting() >= aheadBytes {
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
		room := aheadBytes - con.requests.waiting()
		con.mutex.Unlock()
		if room <= 0 {
			return
		}
		num, err := con.Conn.Read(buf[:room])
		con.mutex.Lock()
		con.requests.add(buf[:num], time.Now())
		con.beginEarly()
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

// beginEarly begins the pipelined requests that can be. The caller holds the mutex.
func (con *callerConn) beginEarly() {
	for con.early != nil && len(con.begun) < mostAhead {
		req, arrived := con.requests.next()
		if req == nil {
			return
		}
		ear := con.early(req, arrived)
		if ear == nil {
			// Later requests keep their place behind this one.
			con.requests.stopped = true
			return
		}
		con.begun = append(con.begun, ear)
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

// SetLinger sets how the end of the connection treats what has not been sent.
func (con *callerConn) SetLinger(seconds int) error {
	if tcp, ok := con.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn. It waits a little when requests that nobody will read may be under way.
func (con *callerConn) Close() error {
	defer con.closed()
	con.mutex.Lock()
	linger := len(con.requests.buf) > 0 && !con.requests.lost && con.err == nil
	begun := con.begun
	con.begun = nil
	con.mutex.Unlock()
	for _, ear := range begun {
		ear.Drop()
	}
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

package fpconn

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestResetIsNotEndOfStream guards against a reset that a write meets first, so that the reader takes the start of a stream for the whole
// one, and against whole streams that count as broken because the peer reads no more.
func TestResetIsNotEndOfStream(t *testing.T) {
	for name, test := range map[string]struct {
		end    func(con *net.TCPConn)
		hidden bool // the state of the connection can't be read
		broken bool
	}{
		"reset":                              {end: reset, broken: true},
		"reset, state unknown":               {end: reset, hidden: true, broken: true},
		"closed with unread data":            {end: func(con *net.TCPConn) { _ = con.Close() }, broken: true},
		"end of the stream":                  {end: func(con *net.TCPConn) { _ = con.CloseWrite() }},
		"end of the stream, then a reset":    {end: func(con *net.TCPConn) { _ = con.CloseWrite(); time.Sleep(20 * time.Millisecond); reset(con) }},
		"end of the stream, then closed":     {end: func(con *net.TCPConn) { _ = con.CloseWrite(); time.Sleep(20 * time.Millisecond); _ = con.Close() }},
		"end of the stream, all is read on":  {end: func(con *net.TCPConn) { _ = con.CloseWrite(); go func() { _, _ = io.Copy(io.Discard, con) }() }},
		"end, read on, then a reset":         {end: endAndReset, broken: false},
		"reset, the writer is in the middle": {end: func(con *net.TCPConn) { time.Sleep(50 * time.Millisecond); reset(con) }, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				if err := readAfterFailedWrite(t, test.end, test.hidden); (err != nil) != test.broken {
					t.Fatalf("the read after the last byte returned %v", err)
				}
			}
		})
	}
}

func reset(con *net.TCPConn) {
	_ = con.SetLinger(0)
	_ = con.Close()
}

// endAndReset ends the stream, reads some of what arrives, and resets the connection.
func endAndReset(con *net.TCPConn) {
	_ = con.CloseWrite()
	_, _ = io.CopyN(io.Discard, con, 1<<20)
	reset(con)
}

// plainConn hides the system's connection.
type plainConn struct {
	net.Conn
}

// readAfterFailedWrite writes to a peer that sends the start of a stream and ends the connection, until a write fails or for 200 ms, and
// returns the error of the read at the end of the stream, or nil if it is io.EOF.
func readAfterFailedWrite(t *testing.T, end func(con *net.TCPConn), hidden bool) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		con, err := lis.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 1)
		_, _ = io.ReadFull(con, buf)
		_, _ = io.WriteString(con, "a part")
		time.Sleep(5 * time.Millisecond) // the part arrives before a reset
		end(con.(*net.TCPConn))
	}()
	con, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if hidden {
		con = plainConn{
			Conn: con,
		}
	}
	soc := &socket{
		Conn: con,
	}
	defer func() { _ = soc.Close() }()
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = con.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		chunk := []byte(strings.Repeat("x", 64<<10))
		for {
			if _, err := soc.Write(chunk); err != nil {
				return
			}
		}
	}()
	<-ended
	<-written
	_, err = io.ReadAll(soc)
	return err
}

package fpconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestLostProbeEndsNoRequest guards against a lost keep-alive probe that ends the connection on which an upstream is about to answer.
func TestLostProbeEndsNoRequest(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	ended := make(chan error, 1)
	go func() { ended <- answerAfterLosses(lis) }()
	pol := NewExclusivePool(ExclusivePoolConfig{
		Upstream: "one",
		Address:  lis.Addr().String(),
	})
	con, err := pol.Open(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+lis.Addr().String()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	res, err := con.RoundTrip(req)
	if err != nil {
		t.Fatalf("no answer after %v, though the upstream was at work: %v", time.Since(began), err)
	}
	_ = res.Body.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// answerAfterLosses serves one request. It drops what arrives from 0.8 to 1.3 s after the request, and answers after 2.6 s.
func answerAfterLosses(lis net.Listener) error {
	con, err := lis.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = con.Close() }()
	if _, err := con.Read(make([]byte, 4096)); err != nil {
		return err
	}
	raw, err := con.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	time.Sleep(800 * time.Millisecond)
	var failure error
	drop := []syscall.SockFilter{*syscall.LsfStmt(syscall.BPF_RET|syscall.BPF_K, 0)}
	if err := raw.Control(func(fd uintptr) { failure = syscall.AttachLsf(int(fd), drop) }); err != nil || failure != nil {
		return errors.Join(err, failure)
	}
	time.Sleep(500 * time.Millisecond)
	if err := raw.Control(func(fd uintptr) { failure = syscall.DetachLsf(int(fd)) }); err != nil || failure != nil {
		return errors.Join(err, failure)
	}
	time.Sleep(1300 * time.Millisecond)
	_, err = io.WriteString(con, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err
}

package fphealth_test

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fphealth"
)

// TestRepeatedReadingIsNotTakenForNext guards against a reading of health that is taken for one of load, or the other way round, because
// the upstream sends it once more on a kept connection. Each answer names its request.
func TestRepeatedReadingIsNotTakenForNext(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	log.SetOutput(io.Discard) // net/http logs the bytes that follow an answer
	defer log.SetOutput(os.Stderr)
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go sendReadingsTwice(con)
		}
	}()
	pro := fphealth.NewProber(fphealth.ProberConfig{})
	read := 0
	for range 50 {
		if hea, err := pro.Health(t.Context(), lis.Addr().String()); err == nil {
			read++
			if !hea.GetReady() {
				t.Error("an upstream that is ready counts as not ready")
			}
		}
		if loa, err := pro.Load(t.Context(), lis.Addr().String()); err == nil {
			read++
			if loa.GetRunning() != 2 {
				t.Errorf("an upstream that runs 2 requests counts as running %d", loa.GetRunning())
			}
		}
	}
	if read < 50 {
		t.Errorf("%d of 100 readings succeeded, want half", read)
	}
}

// sendReadingsTwice answers probes, and sends each answer once more when the next request on the connection has come.
func sendReadingsTwice(con net.Conn) {
	defer func() { _ = con.Close() }()
	red := bufio.NewReader(con)
	last := ""
	for {
		req, err := http.ReadRequest(red)
		if err != nil {
			return
		}
		body := `{"ready":true}`
		if req.URL.Path == fphealth.LoadPath {
			body = `{"running":2,"concurrency":3}`
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nFoxtailpulley-Request: %s\r\nContent-Length: %d\r\n\r\n%s",
			req.Header.Get("Foxtailpulley-Request"), len(body), body)
		_, _ = io.WriteString(con, last+answer) // a failure shows in the readings
		last = answer
	}
}

// TestEndlessHeaderOfReadingIsBounded guards against the header of a reading without end that uses up the memory of an entry VM, which
// probes hundreds of upstreams.
func TestEndlessHeaderOfReadingIsBounded(t *testing.T) {
	const maxSent = 1 << 20 // with the buffers of both sockets
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	sent := make(chan int, 1)
	go func() {
		con, err := lis.Accept()
		if err != nil {
			return
		}
		defer func() { _ = con.Close() }()
		_ = con.(*net.TCPConn).SetWriteBuffer(1 << 16)
		count, err := io.WriteString(con, "HTTP/1.1 200 OK\r\nX: ")
		for piece := strings.Repeat("x", 4096); err == nil; {
			var num int
			num, err = io.WriteString(con, piece)
			count += num
		}
		sent <- count
	}()
	pro := fphealth.NewProber(fphealth.ProberConfig{})
	if _, err := pro.Health(t.Context(), lis.Addr().String()); err == nil {
		t.Error("an endless header counts as a reading")
	}
	if count := <-sent; count > maxSent {
		t.Errorf("the prober took %d KiB of a header without end, want at most %d KiB", count>>10, maxSent>>10)
	}
}

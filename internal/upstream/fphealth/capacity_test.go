package fphealth_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fphealth"
)

// meteredListener counts the bytes on the connections that it accepts, in both directions.
type meteredListener struct {
	net.Listener
	bytes atomic.Int64
}

func (met *meteredListener) Accept() (net.Conn, error) {
	con, err := met.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{
		Conn:  con,
		bytes: &met.bytes,
	}, nil
}

type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (con *meteredConn) Read(data []byte) (int, error) {
	num, err := con.Conn.Read(data)
	con.bytes.Add(int64(num))
	return num, err
}

func (con *meteredConn) Write(data []byte) (int, error) {
	num, err := con.Conn.Write(data)
	con.bytes.Add(int64(num))
	return num, err
}

// BenchmarkProbe measures the bytes on the connection and the CPU time, of prober and upstream together, for one probe of
// health and one of load.
func BenchmarkProbe(b *testing.B) {
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		wri.Header().Set("Content-Type", "application/json")
		if req.URL.Path == fphealth.HealthPath {
			_, _ = wri.Write([]byte(`{"ready":true}`))
			return
		}
		_, _ = wri.Write([]byte(`{"running":2,"queued":1,"concurrency":3}`))
	}))
	met := &meteredListener{
		Listener: srv.Listener,
	}
	srv.Listener = met
	srv.Start()
	defer srv.Close()
	pro := fphealth.NewProber(fphealth.ProberConfig{})
	probe := func() {
		if _, err := pro.Health(context.Background(), met.Addr().String()); err != nil {
			b.Fatal(err)
		}
		if _, err := pro.Load(context.Background(), met.Addr().String()); err != nil {
			b.Fatal(err)
		}
	}
	probe()
	bytes, used := met.bytes.Load(), cpuTime(b)
	for b.Loop() {
		probe()
	}
	b.ReportMetric(float64(met.bytes.Load()-bytes)/float64(b.N), "B/pair")
	b.ReportMetric(float64((cpuTime(b)-used).Microseconds())/float64(b.N), "cpu-µs/pair")
}

// cpuTime returns the CPU time that the process has used. Unlike elapsed time it hardly depends on other processes.
func cpuTime(b *testing.B) time.Duration {
	var rus syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rus); err != nil {
		b.Fatal(err)
	}
	return time.Duration(rus.Utime.Nano() + rus.Stime.Nano())
}

package fpconn_test

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
)

// meteredListener counts the connections that it accepts and the bytes on them, in both directions.
type meteredListener struct {
	net.Listener
	conns, bytes atomic.Int64
}

func (met *meteredListener) Accept() (net.Conn, error) {
	con, err := met.Listener.Accept()
	if err != nil {
		return nil, err
	}
	met.conns.Add(1)
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

// idleTime is how long the benchmark watches idle connections, several intervals of pings.
const idleTime = 6 * time.Second

// BenchmarkIdle measures what idle pools cost: connections, bytes and CPU time a second, and memory. Pools and upstreams
// share the process, so CPU time and memory are those of both ends.
func BenchmarkIdle(b *testing.B) {
	for _, upstreams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			met := &meteredListener{
				Listener: lis,
			}
			srv := &http.Server{
				Handler:   http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
				Protocols: &http.Protocols{},
			}
			srv.Protocols.SetUnencryptedHTTP2(true)
			go func() { _ = srv.Serve(met) }()
			defer srv.Close()
			for b.Loop() {
				before := memory()
				pools := fpconn.New(fpconn.Config{})
				list := make([]*fpcontract.Upstream, upstreams)
				for num := range list {
					list[num] = &fpcontract.Upstream{
						Name:           fmt.Sprint("u", num),
						Incarnation:    1,
						Address:        lis.Addr().String(),
						MaxConnections: 110,
					}
				}
				met.conns.Store(0)
				pools.Update(list)
				time.Sleep(2 * time.Second)
				bytes, used := met.bytes.Load(), cpuTime(b)
				time.Sleep(idleTime)
				conns := float64(met.conns.Load())
				b.ReportMetric(conns, "connections")
				b.ReportMetric(float64(met.bytes.Load()-bytes)/idleTime.Seconds()/conns, "B/s/connection")
				b.ReportMetric(float64((cpuTime(b)-used).Microseconds())/idleTime.Seconds()/conns, "cpu-µs/s/connection")
				b.ReportMetric((memory()-before)/1024/conns, "KiB/connection")
				pools.Close()
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func memory() float64 {
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	return float64(mem.HeapAlloc) + float64(mem.StackInuse)
}

// cpuTime returns the CPU time that the process has used. Unlike elapsed time it hardly depends on other processes.
func cpuTime(b *testing.B) time.Duration {
	var rus syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rus); err != nil {
		b.Fatal(err)
	}
	return time.Duration(rus.Utime.Nano() + rus.Stime.Nano())
}

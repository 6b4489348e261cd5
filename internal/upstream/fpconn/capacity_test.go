package fpconn_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpmeter"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
)

// meteredListener counts the connections that it accepts and the bytes sent and received on them.
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
	return &fpmeter.Conn{
		Conn:     con,
		Received: &met.bytes,
		Sent:     &met.bytes,
	}, nil
}

// upstreamVariable makes the test binary serve as the upstreams of a benchmark, so that the benchmark measures only the
// router's end of the connections. Its value is not used.
const upstreamVariable = "FPCONN_BENCH_UPSTREAM"

func TestMain(m *testing.M) {
	if os.Getenv(upstreamVariable) != "" {
		serveUpstreams()
		return
	}
	os.Exit(m.Run())
}

// serveUpstreams prints the address that it listens on and serves until standard input is closed. Every path returns
// the number of connections accepted so far and the number of bytes on them.
func serveUpstreams() {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	met := &meteredListener{
		Listener: lis,
	}
	srv := &http.Server{
		Handler: http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintln(wri, met.conns.Load(), met.bytes.Load())
		}),
		Protocols: &http.Protocols{},
	}
	srv.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = srv.Serve(met) }()
	fmt.Println(lis.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// idleTime is how long the benchmark measures idle connections; it covers several ping intervals.
const idleTime = 6 * time.Second

// BenchmarkIdle measures the cost of idle pools: the number of connections and, for each connection, the bytes (in both
// directions) and CPU time per second and the router's memory. The upstreams run in another process.
func BenchmarkIdle(b *testing.B) {
	for _, upstreams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			address := fpmeter.StartPeer(b, upstreamVariable, "1")
			tra := &http.Transport{
				Protocols: &http.Protocols{},
			}
			tra.Protocols.SetUnencryptedHTTP2(true)
			client := &http.Client{
				Transport: tra,
			}
			defer client.CloseIdleConnections()
			counts := func() (conns, bytes float64) {
				res, err := client.Get("http://" + address)
				if err != nil {
					b.Fatal(err)
				}
				defer res.Body.Close()
				if _, err := fmt.Fscan(res.Body, &conns, &bytes); err != nil {
					b.Fatal(err)
				}
				return conns, bytes
			}
			for b.Loop() {
				connsBefore, _ := counts()
				memoryBefore := usedMemory()
				pools := fpconn.New(fpconn.Config{})
				list := make([]*fpcontract.Upstream, upstreams)
				for num := range list {
					list[num] = &fpcontract.Upstream{
						Name:           fmt.Sprint("u", num),
						Incarnation:    1,
						Address:        address,
						MaxConnections: 110,
					}
				}
				pools.Update(list)
				time.Sleep(2 * time.Second)
				_, bytes := counts()
				cpuBefore := fpmeter.CPUTime()
				time.Sleep(idleTime)
				cpuUsed := fpmeter.CPUTime() - cpuBefore
				conns, bytesAfter := counts()
				conns -= connsBefore
				b.ReportMetric(conns, "connections")
				b.ReportMetric((bytesAfter-bytes)/idleTime.Seconds()/conns, "B/s/connection")
				b.ReportMetric(float64(cpuUsed.Microseconds())/idleTime.Seconds()/conns, "cpu-µs/s/connection")
				b.ReportMetric((usedMemory()-memoryBefore)/1024/conns, "KiB/connection")
				pools.Close()
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// usedMemory returns the bytes in use on the heap and by stacks.
func usedMemory() float64 {
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	return float64(mem.HeapAlloc) + float64(mem.StackInuse)
}

package fphealth_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fphealth"
)

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

// upstreamVariable makes the test binary serve as the upstream of a benchmark, so that the CPU time of the prober and of the
// upstream can be told apart. Its value is not used.
const upstreamVariable = "FPHEALTH_BENCH_UPSTREAM"

func TestMain(m *testing.M) {
	if os.Getenv(upstreamVariable) != "" {
		serveUpstream()
		return
	}
	os.Exit(m.Run())
}

// timePath answers with the CPU time of the upstream's process in nanoseconds.
const timePath = "/cpuTime"

// serveUpstream prints its address and serves until its standard input ends.
func serveUpstream() {
	mux := http.NewServeMux()
	for path, body := range map[string]string{
		fphealth.HealthPath: `{"ready":true}`,
		fphealth.LoadPath:   `{"running":2,"queued":1,"concurrency":3}`,
	} {
		mux.HandleFunc(path, func(wri http.ResponseWriter, _ *http.Request) {
			wri.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(wri, body)
		})
	}
	mux.HandleFunc(timePath, func(wri http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(wri, int64(cpuTime()))
	})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(lis, mux) }()
	fmt.Println(lis.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startUpstream starts a process that is an upstream and returns its address.
func startUpstream(b *testing.B) string {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), upstreamVariable+"=1")
	input, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = input.Close()
		if err := cmd.Wait(); err != nil {
			b.Error(err)
		}
	})
	var address string
	if _, err := fmt.Fscanln(output, &address); err != nil {
		b.Fatal(err)
	}
	return address
}

// BenchmarkProbe measures the bytes on the connection, in both directions, and the CPU time of the prober and of the upstream
// for one probe of health and one of load.
func BenchmarkProbe(b *testing.B) {
	address := startUpstream(b)
	var bytes atomic.Int64
	client := &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				con, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &meteredConn{
					Conn:  con,
					bytes: &bytes,
				}, err
			},
		},
	}
	defer client.CloseIdleConnections()
	pro := fphealth.NewProber(fphealth.ProberConfig{
		Client: client,
	})
	probe := func() {
		if _, err := pro.Health(context.Background(), address); err != nil {
			b.Fatal(err)
		}
		if _, err := pro.Load(context.Background(), address); err != nil {
			b.Fatal(err)
		}
	}
	served := func() time.Duration {
		res, err := http.Get("http://" + address + timePath)
		if err != nil {
			b.Fatal(err)
		}
		defer res.Body.Close()
		var nanos int64
		if _, err := fmt.Fscan(res.Body, &nanos); err != nil {
			b.Fatal(err)
		}
		return time.Duration(nanos)
	}
	probe()
	count, used, other := bytes.Load(), cpuTime(), served()
	for b.Loop() {
		probe()
	}
	took := cpuTime() - used
	b.ReportMetric(float64(bytes.Load()-count)/float64(b.N), "B/pair")
	b.ReportMetric(float64(took.Microseconds())/float64(b.N), "prober-cpu-µs/pair")
	b.ReportMetric(float64((served()-other).Microseconds())/float64(b.N), "upstream-cpu-µs/pair")
}

// cpuTime returns the CPU time that the process has used. Unlike elapsed time it hardly depends on other processes.
func cpuTime() time.Duration {
	var rus syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rus); err != nil {
		panic(err)
	}
	return time.Duration(rus.Utime.Nano() + rus.Stime.Nano())
}

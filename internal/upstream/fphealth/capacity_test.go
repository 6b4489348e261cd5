package fphealth_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpmeter"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fphealth"
)

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
		_, _ = fmt.Fprintln(wri, int64(fpmeter.CPUTime()))
	})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(lis, mux) }()
	fmt.Println(lis.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// BenchmarkProbe measures the bytes on the connection, in both directions, and the CPU time of the prober and of the upstream
// for one probe of health and one of load.
func BenchmarkProbe(b *testing.B) {
	address := fpmeter.StartPeer(b, upstreamVariable, "1")
	var bytes atomic.Int64
	client := &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				con, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &fpmeter.Conn{
					Conn:     con,
					Received: &bytes,
					Sent:     &bytes,
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
	count, used, other := bytes.Load(), fpmeter.CPUTime(), served()
	for b.Loop() {
		probe()
	}
	took := fpmeter.CPUTime() - used
	b.ReportMetric(float64(bytes.Load()-count)/float64(b.N), "B/pair")
	b.ReportMetric(float64(took.Microseconds())/float64(b.N), "prober-cpu-µs/pair")
	b.ReportMetric(float64((served()-other).Microseconds())/float64(b.N), "upstream-cpu-µs/pair")
}

package fpserve_test

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"
)

// usage is the resource usage of the process: CPU time in user and system mode, and the number of allocated heap
// objects.
type usage struct {
	cpu    time.Duration
	allocs uint64
}

func readUsage(b *testing.B) usage {
	var rus syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rus); err != nil {
		b.Fatal(err)
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return usage{
		cpu:    time.Duration(rus.Utime.Nano() + rus.Stime.Nano()),
		allocs: mem.Mallocs,
	}
}

// endpoint is the router or a set of upstreams to which a benchmark sends requests, with the resources that these used.
type endpoint struct {
	urls      []string
	next      atomic.Uint64
	client    *http.Client
	body      []byte
	latencies *hdrhistogram.Histogram
	usage     usage
}

func newEndpoint(b *testing.B, urls []string, http2 bool, body []byte) *endpoint {
	return &endpoint{
		urls:      urls,
		client:    newClient(b, http2),
		body:      body,
		latencies: hdrhistogram.New(1, int64(10*time.Second), 3),
	}
}

// call sends one request and returns its latency.
func (end *endpoint) call(b *testing.B) time.Duration {
	url := end.urls[end.next.Add(1)%uint64(len(end.urls))]
	start := time.Now()
	res, err := end.client.Post(url+"/demo.Test/Idem", "application/proto", bytes.NewReader(end.body))
	if err != nil {
		b.Error(err)
		return 0
	}
	num, err := io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	if err != nil || res.StatusCode != http.StatusOK || num != int64(len(end.body)) {
		b.Errorf("got status %d, %d bytes and error %v", res.StatusCode, num, err)
	}
	return time.Since(start)
}

// run sends num requests from a number of concurrent callers, records their latencies and adds their resource usage.
func (end *endpoint) run(b *testing.B, num, callers int) {
	before := readUsage(b)
	var mutex sync.Mutex
	var gro sync.WaitGroup
	for range callers {
		gro.Go(func() {
			took := make([]time.Duration, 0, num/callers)
			for range num / callers {
				took = append(took, end.call(b))
			}
			mutex.Lock()
			defer mutex.Unlock()
			for _, latency := range took {
				_ = end.latencies.RecordValue(int64(latency))
			}
		})
	}
	gro.Wait()
	after := readUsage(b)
	end.usage.cpu += after.cpu - before.cpu
	end.usage.allocs += after.allocs - before.allocs
}

// benchUpstreams is the number of workers of the largest service in the Haugland deployment. A worker runs 3 requests at
// once, so fewer upstreams would put more requests on one connection than in production.
const benchUpstreams = 16

// BenchmarkForward compares calls through the router with direct calls to the same upstreams, alternating within one
// run. The caller, the router and the upstreams share a process, so the cost of the router is the difference between the
// two.
func BenchmarkForward(b *testing.B) {
	for name, http2 := range map[string]bool{"http2": true, "http1": false} {
		for _, callers := range []int{1, 32} {
			b.Run(name+"/callers="+strconv.Itoa(callers), func(b *testing.B) {
				benchmarkForward(b, http2, callers)
			})
		}
	}
}

func benchmarkForward(b *testing.B, http2 bool, callers int) {
	body, _ := proto.Marshal(&text{RequestId: string(make([]byte, 200))})
	var upstreams []*fakeUpstream
	var urls []string
	for num := range benchUpstreams {
		fak := newFakeUpstream(b, strconv.Itoa(num))
		fak.Config.Handler = http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
			wri.Header().Set("Content-Type", "application/proto")
			_, _ = io.Copy(wri, req.Body)
		})
		upstreams = append(upstreams, fak)
		urls = append(urls, fak.URL)
	}
	rou := newRouter(b, nil, upstreams...)
	direct, routed := newEndpoint(b, urls, http2, body), newEndpoint(b, []string{rou.URL}, http2, body)
	const roundRequests = 2000
	direct.run(b, roundRequests, callers)
	routed.run(b, roundRequests, callers)
	direct.latencies.Reset()
	routed.latencies.Reset()
	direct.usage, routed.usage = usage{}, usage{}
	total := 0
	for b.Loop() {
		direct.run(b, roundRequests, callers)
		routed.run(b, roundRequests, callers)
		total += roundRequests / callers * callers
	}
	reportMetrics(b, direct, routed, float64(total))
}

func reportMetrics(b *testing.B, direct, routed *endpoint, total float64) {
	micros := func(nanos int64) float64 { return float64(nanos) / 1e3 }
	for _, quantile := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}} {
		directLatency, routedLatency := direct.latencies.ValueAtQuantile(quantile.at), routed.latencies.ValueAtQuantile(quantile.at)
		b.ReportMetric(micros(directLatency), "direct-"+quantile.name+"-µs")
		b.ReportMetric(micros(routedLatency-directLatency), "added-"+quantile.name+"-µs")
	}
	cpu := float64(routed.usage.cpu-direct.usage.cpu) / total
	b.ReportMetric(cpu/1e3, "cpu-µs/request")
	b.ReportMetric(float64(direct.usage.cpu)/total/1e3, "direct-cpu-µs/request")
	b.ReportMetric(1e9/cpu, "requests/s/core")
	b.ReportMetric(float64(routed.usage.allocs-direct.usage.allocs)/total, "allocs/request")
	b.ReportMetric(0, "ns/op")
}

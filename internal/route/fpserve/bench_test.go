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

// usage is what the process has used: CPU time in user and system mode, and heap objects.
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

// side is one of the two ways to the upstream that a benchmark compares.
type side struct {
	urls []string
	next atomic.Uint64
	cli  *http.Client
	body []byte
	his  *hdrhistogram.Histogram
	used usage
}

func newSide(b *testing.B, urls []string, http2 bool, body []byte) *side {
	return &side{
		urls: urls,
		cli:  newCaller(b, http2),
		body: body,
		his:  hdrhistogram.New(1, int64(10*time.Second), 3),
	}
}

// call sends one request and returns its latency.
func (sid *side) call(b *testing.B) time.Duration {
	url := sid.urls[sid.next.Add(1)%uint64(len(sid.urls))]
	start := time.Now()
	res, err := sid.cli.Post(url+"/demo.Test/Idem", "application/proto", bytes.NewReader(sid.body))
	if err != nil {
		b.Error(err)
		return 0
	}
	num, err := io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	if err != nil || res.StatusCode != http.StatusOK || num != int64(len(sid.body)) {
		b.Errorf("status %d, %d bytes, %v", res.StatusCode, num, err)
	}
	return time.Since(start)
}

// run sends num requests from the given number of callers and adds what they used.
func (sid *side) run(b *testing.B, num, callers int) {
	before := readUsage(b)
	var mutex sync.Mutex
	var gro sync.WaitGroup
	for range callers {
		gro.Go(func() {
			took := make([]time.Duration, 0, num/callers)
			for range num / callers {
				took = append(took, sid.call(b))
			}
			mutex.Lock()
			defer mutex.Unlock()
			for _, one := range took {
				_ = sid.his.RecordValue(int64(one))
			}
		})
	}
	gro.Wait()
	after := readUsage(b)
	sid.used.cpu += after.cpu - before.cpu
	sid.used.allocs += after.allocs - before.allocs
}

// benchUpstreams is the number of workers of the largest service of the Haugland deployment. A worker runs 3 requests at
// once, so fewer upstreams would put more requests on one connection than there are in service.
const benchUpstreams = 16

// BenchmarkForward compares calls through the router with direct calls to the same upstreams, in turns within one run. The
// caller, the router and the upstream share the process, so what the router costs is the difference of both sides.
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
	var upstreams []*standin
	var urls []string
	for num := range benchUpstreams {
		sta := newStandin(b, strconv.Itoa(num))
		sta.Config.Handler = http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
			wri.Header().Set("Content-Type", "application/proto")
			_, _ = io.Copy(wri, req.Body)
		})
		upstreams = append(upstreams, sta)
		urls = append(urls, sta.URL)
	}
	rou := newRouter(b, nil, upstreams...)
	direct, routed := newSide(b, urls, http2, body), newSide(b, []string{rou.URL}, http2, body)
	const round = 2000
	direct.run(b, round, callers)
	routed.run(b, round, callers)
	direct.his.Reset()
	routed.his.Reset()
	direct.used, routed.used = usage{}, usage{}
	total := 0
	for b.Loop() {
		direct.run(b, round, callers)
		routed.run(b, round, callers)
		total += round / callers * callers
	}
	report(b, direct, routed, float64(total))
}

func report(b *testing.B, direct, routed *side, total float64) {
	micros := func(nanos int64) float64 { return float64(nanos) / 1e3 }
	for _, quantile := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}} {
		one, two := direct.his.ValueAtQuantile(quantile.at), routed.his.ValueAtQuantile(quantile.at)
		b.ReportMetric(micros(one), "direct-"+quantile.name+"-µs")
		b.ReportMetric(micros(two-one), "added-"+quantile.name+"-µs")
	}
	cpu := float64(routed.used.cpu-direct.used.cpu) / total
	b.ReportMetric(cpu/1e3, "cpu-µs/request")
	b.ReportMetric(float64(direct.used.cpu)/total/1e3, "direct-cpu-µs/request")
	b.ReportMetric(1e9/cpu, "requests/s/core")
	b.ReportMetric(float64(routed.used.allocs-direct.used.allocs)/total, "allocs/request")
	b.ReportMetric(0, "ns/op")
}

package fpforward

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// bucketBounds are the upper bounds of the buckets of latency histograms. One more bucket has no bound.
var bucketBounds = []time.Duration{
	5 * time.Millisecond,
	10 * time.Millisecond,
	25 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	400 * time.Millisecond,
	800 * time.Millisecond,
	1600 * time.Millisecond,
	3200 * time.Millisecond,
}

// histogram counts durations by bucket. The zero value is empty.
type histogram struct {
	buckets []int64
	count   int64
	sum     time.Duration
}

func (his *histogram) add(took time.Duration) {
	if his.buckets == nil {
		his.buckets = make([]int64, len(bucketBounds)+1)
	}
	pos, _ := slices.BinarySearch(bucketBounds, took)
	his.buckets[pos]++
	his.count++
	his.sum += took
}

// counters hold the metrics of a forwarder. The number of names is bounded by the kinds of errors and the services. Call
// init before use.
type counters struct {
	inFlight atomic.Int64

	mutex      sync.Mutex
	numbers    map[string]int64
	histograms map[string]*histogram
}

func (cou *counters) init() {
	cou.numbers = map[string]int64{}
	cou.histograms = map[string]*histogram{}
}

func (cou *counters) add(name string) {
	cou.mutex.Lock()
	defer cou.mutex.Unlock()
	cou.numbers[name]++
}

// observe adds the duration of a phase of a request to the histogram of the phase.
func (cou *counters) observe(name string, took time.Duration) {
	cou.mutex.Lock()
	defer cou.mutex.Unlock()
	his := cou.histograms[name]
	if his == nil {
		his = &histogram{}
		cou.histograms[name] = his
	}
	his.add(took)
}

// WriteMetrics writes all counters and histograms, one name and value per line. Errors of the writer are ignored.
func (fwd *Forwarder) WriteMetrics(out io.Writer) {
	fwd.rates.WriteMetrics(out)
	fwd.room.WriteMetrics(out)
	fwd.writePathMetrics(out)
	cou := &fwd.counters
	cou.mutex.Lock()
	defer cou.mutex.Unlock()
	fmt.Fprintf(out, "requestsInFlight %d\n", cou.inFlight.Load())
	fmt.Fprintf(out, "stateIndex %d\n", fwd.Index())
	for name, num := range cou.numbers {
		fmt.Fprintf(out, "%s %d\n", name, num)
	}
	for name, his := range cou.histograms {
		for pos, num := range his.buckets {
			bound := "+Inf"
			if pos < len(bucketBounds) {
				bound = strconv.FormatFloat(bucketBounds[pos].Seconds(), 'g', -1, 64)
			}
			fmt.Fprintf(out, "latency{phase=%q,le=%q} %d\n", name, bound, num)
		}
		fmt.Fprintf(out, "latencySum{phase=%q} %g\nlatencyCount{phase=%q} %d\n", name, his.sum.Seconds(), name, his.count)
	}
}

// writePathMetrics writes how many upstreams are in each state that keeps requests from them, and what is known of the peers.
func (fwd *Forwarder) writePathMetrics(out io.Writer) {
	now := time.Now()
	var lost, suspect, resting, leaving, evacuated int
	vie := fwd.view.Load()
	for _, mem := range vie.active {
		switch fwd.pathOf(mem, now) {
		case pathLost:
			lost++
		case pathSuspect:
			suspect++
		}
		sta := mem.state(now)
		if sta.rest > 0 {
			resting++
		}
		if sta.leaving {
			leaving++
		}
		if vie.evacuated(now, mem.upstream.GetDataCentre(), false) {
			evacuated++
		}
	}
	all, usable := fwd.peers.Len(now)
	fmt.Fprintf(out, "upstreams{state=\"pathLost\"} %d\nupstreams{state=\"pathSuspect\"} %d\n", lost, suspect)
	fmt.Fprintf(out, "upstreams{state=\"resting\"} %d\nupstreams{state=\"leaving\"} %d\n", resting, leaving)
	if evacuated > 0 {
		fmt.Fprintf(out, "upstreams{state=\"evacuated\"} %d\n", evacuated)
	}
	fmt.Fprintf(out, "uploadBytesPending %d\n", fwd.uploads.pending())
	fmt.Fprintf(out, "peers %d\npeersUsable %d\n", all, usable)
	inFlight, limit := fwd.relayRoom.use()
	fmt.Fprintf(out, "relayedInFlight %d\nrelayedLimit %d\n", inFlight, limit)
}

// logOutcome counts a request that has ended and writes its log line: the decisions, their inputs and the outcome. A nil
// error means that the caller got an upstream's answer.
func (exc *exchange) logOutcome(status int, err error) {
	took := exc.elapsed()
	kind := "ok"
	if err != nil {
		kind = fperror.KindOf(err).String()
	}
	exc.fwd.counters.add("answers." + strconv.Itoa(status) + "." + kind)
	exc.fwd.counters.observe("total."+exc.service, took)
	if exc.excluded != "" && fperror.Is(err, fperror.NoUpstream) {
		exc.fwd.counters.add("excluded." + exc.excluded)
	}
	if ce := exc.fwd.cfg.Log.Check(zap.InfoLevel, "request"); ce != nil {
		ce.Write(exc.logFields(status, kind, took, err)...)
	}
}

func (exc *exchange) logFields(status int, kind string, took time.Duration, err error) []zap.Field {
	fields := []zap.Field{
		zap.String("id", exc.info.Attempt),
		zap.Int("status", status),
		zap.String("outcome", kind),
		zap.Int64("tookMs", took.Milliseconds()),
		zap.String("route", exc.route.GetName()),
		zap.String("service", exc.service),
		zap.Uint64("revision", exc.revision),
		zap.Int("arrivals", exc.arrivals),
	}
	if exc.turnWait >= time.Millisecond {
		fields = append(fields, zap.Int64("turnMs", exc.turnWait.Milliseconds()))
	}
	if exc.keyed {
		fields = append(fields, zap.Uint32("key", exc.info.Key), zap.Uint64("fence", exc.lastChoice.keyRange.GetFence()))
	}
	if mem := exc.lastChoice.member; mem != nil {
		sta := exc.lastChoice.state
		if pee := exc.lastChoice.peer; pee != nil {
			fields = append(fields, zap.String("through", pee.VM()))
		}
		fields = append(fields, zap.String("upstream", mem.upstream.GetId()), zap.Float64("load", sta.load),
			zap.Int64("loadAgeMs", sta.loadAge.Milliseconds()), zap.Int64("meanMs", sta.mean.Milliseconds()))
	}
	fields = append(fields, exc.fwd.stop.fields(time.Now())...)
	if exc.excluded != "" && err != nil {
		fields = append(fields, zap.String("excludedBy", exc.excluded), zap.Strings("allowedRegions", exc.homes()))
	}
	if status >= http.StatusInternalServerError || err != nil {
		fields = append(fields, zap.Int64("deadlineMs", exc.deadline.Sub(exc.start).Milliseconds()),
			zap.Duration("stateAge", time.Since(exc.fwd.view.Load().updatedAt)), zap.Error(err))
	}
	return fields
}

// loadCounts holds the number of requests for each key and the answers of each upstream since the last report.
type loadCounts struct {
	mutex    sync.Mutex
	services map[string]*serviceCounts
}

type serviceCounts struct {
	keys    map[uint32]uint32
	answers map[string]*answerCount
}

type answerCount struct {
	count uint32
	took  time.Duration
}

// maxCountedKeys bounds the keys of one service in a report.
const maxCountedKeys = 4096

func (loc *loadCounts) service(name string) *serviceCounts {
	if loc.services == nil {
		loc.services = map[string]*serviceCounts{}
	}
	ser := loc.services[name]
	if ser == nil {
		ser = &serviceCounts{
			keys:    map[uint32]uint32{},
			answers: map[string]*answerCount{},
		}
		loc.services[name] = ser
	}
	return ser
}

func (loc *loadCounts) addKey(service string, key uint32) {
	loc.mutex.Lock()
	defer loc.mutex.Unlock()
	ser := loc.service(service)
	if _, ok := ser.keys[key]; ok || len(ser.keys) < maxCountedKeys {
		ser.keys[key]++
	}
}

func (loc *loadCounts) addAnswer(service, upstream string, took time.Duration) {
	loc.mutex.Lock()
	defer loc.mutex.Unlock()
	ser := loc.service(service)
	ans := ser.answers[upstream]
	if ans == nil {
		ans = &answerCount{}
		ser.answers[upstream] = ans
	}
	ans.count++
	ans.took += took
}

// TakeLoad returns, for each keyed service, the requests for each key and the answers of each upstream since the last call.
// It returns nil if there were none.
func (fwd *Forwarder) TakeLoad() []*fpstate.KeyCount {
	loc := &fwd.load
	loc.mutex.Lock()
	defer loc.mutex.Unlock()
	var all []*fpstate.KeyCount
	for name, ser := range loc.services {
		if len(ser.keys) == 0 {
			continue
		}
		cou := &fpstate.KeyCount{
			Service: name,
		}
		for key, num := range ser.keys {
			cou.Keys = append(cou.Keys, key)
			cou.Counts = append(cou.Counts, num)
		}
		for ups, ans := range ser.answers {
			cou.Upstreams = append(cou.Upstreams, ups)
			cou.Answers = append(cou.Answers, ans.count)
			cou.Milliseconds = append(cou.Milliseconds, uint32(ans.took.Milliseconds()))
		}
		all = append(all, cou)
	}
	loc.services = nil
	return all
}

package fpsystem_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpupstream"
)

// request is one request of a caller.
type request struct {
	vm       string
	path     string
	key      string
	id       string // idempotency key, or the id in the log of runs for idempotent calls
	sleep    time.Duration
	crash    bool
	deadline time.Duration
}

// reply is what the caller got.
type reply struct {
	status   int
	kind     string
	outcome  string
	upstream string
	body     string
	err      error
}

func (rep reply) ok() bool { return rep.err == nil && rep.status == http.StatusOK }

func (rep reply) String() string {
	return fmt.Sprintf("status %d kind %q outcome %q body %q error %v", rep.status, rep.kind, rep.outcome, rep.body, rep.err)
}

// newID returns an idempotency key.
func newID(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

// defaultDeadline is the deadline of requests that name none.
const defaultDeadline = 2 * time.Second

// do sends one request.
func (sys *system) do(req request) reply {
	if req.deadline == 0 {
		req.deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), req.deadline+time.Second)
	defer cancel()
	body := fmt.Sprintf(`{"key":%q}`, req.key)
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+sys.machines[req.vm].callers+req.path, strings.NewReader(body))
	if err != nil {
		return reply{
			err: err,
		}
	}
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set("Connect-Timeout-Ms", strconv.FormatInt(req.deadline.Milliseconds(), 10))
	if req.path == planSet || req.path == switchOn {
		out.Header.Set("Idempotency-Key", req.id)
	} else if req.id != "" {
		out.Header.Set("Standin-Request", req.id)
	}
	if req.sleep > 0 {
		out.Header.Set(fpupstream.SleepHeader, req.sleep.String())
	}
	if req.crash {
		out.Header.Set(fpupstream.CrashHeader, "1")
	}
	res, err := http.DefaultClient.Do(out)
	if err != nil {
		return reply{
			err: err,
		}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return reply{
		status:   res.StatusCode,
		kind:     res.Header.Get("Foxtailpulley-Error"),
		outcome:  res.Header.Get("Foxtailpulley-Outcome"),
		upstream: res.Header.Get(fpupstream.NameHeader),
		body:     string(data),
		err:      err,
	}
}

// awaitServed repeats a request until it is answered and returns how long that took.
func (sys *system) awaitServed(req request) time.Duration {
	sys.t.Helper()
	began := time.Now()
	var last reply
	for time.Since(began) < patience {
		if last = sys.do(req); last.ok() {
			return time.Since(began)
		}
		sys.t.Logf("after %v: %v", time.Since(began), last)
		time.Sleep(5 * time.Millisecond)
	}
	sys.t.Fatalf("%s of %q through %s not served within %v; last: %v", req.path, req.key, req.vm, patience, last)
	return 0
}

// owner returns the upstream that serves a key.
func (sys *system) owner(vm, key string) string {
	sys.t.Helper()
	req := request{
		vm:   vm,
		path: planGet,
		key:  key,
	}
	sys.awaitServed(req)
	return sys.do(req).upstream
}

// runs reads the log of runs that all upstreams share. The upstreams go on writing, so that the end of the last line may not be there
// yet; a whole line that cannot be read fails the test.
func (sys *system) runs() []fpupstream.Run {
	sys.t.Helper()
	fil, err := os.Open(sys.runLog)
	if err != nil {
		return nil
	}
	defer func() { _ = fil.Close() }()
	var all []fpupstream.Run
	for red := bufio.NewReader(fil); ; {
		line, err := red.ReadBytes('\n')
		if err != nil {
			return all
		}
		var run fpupstream.Run
		if err := json.Unmarshal(line, &run); err != nil {
			sys.t.Fatalf("log of runs: %v in %q", err, line)
		}
		all = append(all, run)
	}
}

// starts counts the runs by request id, without those that were refused.
func (sys *system) starts() map[string]int {
	counts := map[string]int{}
	for _, run := range sys.runs() {
		switch run.Event {
		case "start":
			counts[run.Request]++
		case fpupstream.RefusedEvent:
			counts[run.Request]--
		}
	}
	return counts
}

// haltEvent marks the moment of a halt among the runs.
const haltEvent = "halt"

// checkOwners fails the test if two upstreams ran requests of one slot at the same time, or if an epoch was served by two
// upstreams, or if a lower epoch was served after a higher one.
func (sys *system) checkOwners() {
	sys.t.Helper()
	runs := sys.runs()
	for _, hal := range sys.allHalts() {
		runs = append(runs, fpupstream.Run{
			Upstream: hal.upstream,
			Event:    haltEvent,
			At:       hal.at.UnixNano(),
		})
	}
	sort.SliceStable(runs, func(one, two int) bool { return runs[one].At < runs[two].At })
	type slotState struct {
		running map[string]int
		epoch   uint64
		owner   string
	}
	states := map[string]*slotState{}
	for _, run := range runs {
		if run.Event == haltEvent {
			for _, sta := range states {
				delete(sta.running, run.Upstream)
			}
		}
		if run.Slot == "" {
			continue
		}
		sta := states[run.Slot]
		if sta == nil {
			sta = &slotState{
				running: map[string]int{},
			}
			states[run.Slot] = sta
		}
		if run.Event == "end" || run.Event == fpupstream.RefusedEvent {
			sta.running[run.Upstream] = max(0, sta.running[run.Upstream]-1)
			continue
		}
		sta.running[run.Upstream]++
		for other, count := range sta.running {
			if other != run.Upstream && count > 0 {
				sys.t.Errorf("slot %s ran on %s and %s at the same time, at %d", run.Slot, other, run.Upstream, run.At)
				delete(sta.running, other) // one report for each overlap
			}
		}
		epoch, err := strconv.ParseUint(run.Epoch, 10, 64)
		if err != nil {
			sys.t.Errorf("run of slot %s has the epoch %q", run.Slot, run.Epoch)
		}
		if epoch < sta.epoch {
			sys.t.Errorf("slot %s ran at epoch %d on %s after epoch %d on %s", run.Slot, epoch, run.Upstream, sta.epoch, sta.owner)
		}
		if epoch == sta.epoch && sta.owner != run.Upstream {
			sys.t.Errorf("slot %s ran at epoch %d on %s and %s", run.Slot, epoch, sta.owner, run.Upstream)
		}
		sta.epoch, sta.owner = epoch, run.Upstream
	}
}

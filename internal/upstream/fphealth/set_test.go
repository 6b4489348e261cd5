package fphealth_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fphealth"
)

var (
	start = time.Unix(1000, 0)
	lost  = fperror.New(fperror.UpstreamLost, "lost")
)

// newSet returns a set with upstreams named u0, u1 and so on.
func newSet(count int) *fphealth.Set {
	set := fphealth.NewSet(fphealth.Config{})
	set.Update(start, list(count))
	return set
}

// list returns the names of count upstreams.
func list(count int) map[string]uint64 {
	ups := map[string]uint64{}
	for i := range count {
		ups[fmt.Sprint("u", i)] = 1
	}
	return ups
}

// TestEjectionBound guards against more than a third of the upstreams out at once, whatever fails and whoever leaves.
func TestEjectionBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "upstreams")
		set := newSet(count)
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprint("u", rapid.IntRange(0, count-1).Draw(t, "upstream"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				set.Observe(now, name, nil)
			case 1:
				set.Probe(now, name, fphealth.Probe{
					Answered: true,
					Ready:    true,
				})
			case 2:
				set.Probe(now, name, fphealth.Probe{})
			case 3:
				count = rapid.IntRange(1, 12).Draw(t, "upstreams")
				set.Update(now, list(count))
			default:
				for range 6 {
					set.Observe(now, name, lost)
				}
			}
			if out := set.Ejected(); out > count/3 {
				t.Fatalf("%d of %d upstreams are ejected", out, count)
			}
		}
	})
}

// TestEjectAndReadmit guards against an ejection on a single failure, against a missing ejection of a dead upstream, and
// against a readmission that a few failures do not end or answers do not complete.
func TestEjectAndReadmit(t *testing.T) {
	set := newSet(8)
	set.Observe(start, "u0", lost)
	if set.State("u0") != fphealth.Healthy {
		t.Error("one failure ejected")
	}
	for range 9 {
		set.Observe(start, "u0", lost)
	}
	if set.State("u0") != fphealth.Ejected {
		t.Fatal("10 failures in a row did not eject")
	}
	now := start.Add(2 * time.Second)
	set.Tick(now)
	if set.State("u0") != fphealth.Trial {
		t.Fatalf("%v 2 s after the first ejection", set.State("u0"))
	}
	set.Observe(now, "u0", lost)
	set.Tick(now.Add(time.Second))
	if set.State("u0") != fphealth.Ejected {
		t.Error("a failed trial must eject for longer than the first time")
	}
	now = now.Add(4 * time.Second)
	set.Tick(now)
	for range 10 {
		set.Observe(now, "u0", nil)
	}
	if set.State("u0") != fphealth.Healthy {
		t.Error("10 answers did not end the trial")
	}
}

// TestMisleadingProbe guards against an ejection by a health endpoint that contradicts the answers to requests, or that
// never worked, and against a frozen upstream that stays in use because no request goes to it.
func TestMisleadingProbe(t *testing.T) {
	set := newSet(8)
	good := fphealth.Probe{
		Answered: true,
		Ready:    true,
	}
	set.Probe(start, "u0", good)
	set.Probe(start, "u2", good)
	now := start
	ejected := 0
	for range 20 {
		now = now.Add(time.Second)
		set.Observe(now, "u0", nil)
		set.Probe(now, "u0", fphealth.Probe{})
		set.Probe(now, "u1", fphealth.Probe{})
		set.Probe(now, "u2", fphealth.Probe{})
		if set.State("u0") != fphealth.Healthy || set.State("u1") != fphealth.Healthy {
			t.Fatal("probes ejected an upstream that serves requests or has no health endpoint")
		}
		if set.State("u2") == fphealth.Ejected {
			ejected++
		}
	}
	// The third bad probe ejects, and each trial ends at the next probe.
	if ejected < 12 {
		t.Errorf("frozen upstream was ejected for %d of 20 s", ejected)
	}
}

// TestProber guards against a prober that accepts error answers or can not read the JSON form of the contract.
func TestProber(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
		if req.URL.Path == fphealth.HealthPath {
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(out, `{"running":2,"concurrency":3,"laterField":true}`)
	}))
	defer server.Close()
	pro := fphealth.NewProber(fphealth.ProberConfig{})
	address := strings.TrimPrefix(server.URL, "http://")
	load, err := pro.Load(t.Context(), address)
	if err != nil || load.GetRunning() != 2 || load.GetConcurrency() != 3 {
		t.Errorf("Load: %v, %v", load, err)
	}
	if _, err := pro.Health(t.Context(), address); !fperror.Is(err, fperror.UpstreamLost) {
		t.Errorf("Health with status 503: %v", err)
	}
}

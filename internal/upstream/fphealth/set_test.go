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
	start   = time.Unix(1000, 0)
	errLost = fperror.New(fperror.UpstreamLost, "lost")
)

// newSet returns a set with count upstreams named u0, u1 and so on.
func newSet(count int) *fphealth.Set {
	set := fphealth.NewSet(fphealth.Config{})
	set.Update(start, incarnations(count))
	return set
}

// incarnations returns the names of count upstreams with incarnation 1.
func incarnations(count int) map[string]uint64 {
	ups := map[string]uint64{}
	for i := range count {
		ups[fmt.Sprint("u", i)] = 1
	}
	return ups
}

// TestEjectionLimit guards against more than a third of the upstreams being ejected at once, whichever upstreams fail
// or leave.
func TestEjectionLimit(t *testing.T) {
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
				set.Update(now, incarnations(count))
			default:
				for range 6 {
					set.Observe(now, name, errLost)
				}
			}
			if ejected := set.EjectedCount(); ejected > count/3 {
				t.Fatalf("%d of %d upstreams are ejected", ejected, count)
			}
		}
	})
}

// TestEjectAndReadmit guards against an ejection after a single failure, against a dead upstream that is not ejected,
// and against a trial that does not end after a failure or after enough answers.
func TestEjectAndReadmit(t *testing.T) {
	set := newSet(8)
	set.Observe(start, "u0", errLost)
	if set.State("u0") != fphealth.Healthy {
		t.Error("one failure ejected the upstream")
	}
	for range 9 {
		set.Observe(start, "u0", errLost)
	}
	if set.State("u0") != fphealth.Ejected {
		t.Fatal("10 failures in a row did not eject the upstream")
	}
	now := start.Add(2 * time.Second)
	set.Tick(now)
	if set.State("u0") != fphealth.Trial {
		t.Fatalf("state %v 2 s after the first ejection, want trial", set.State("u0"))
	}
	set.Observe(now, "u0", errLost)
	set.Tick(now.Add(time.Second))
	if set.State("u0") != fphealth.Ejected {
		t.Error("the ejection after a failed trial is not longer than the first ejection")
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

// TestMisleadingProbe guards against an ejection by a health endpoint that never worked or that contradicts the answers
// to requests, and against a frozen upstream that stays in service because it receives no requests.
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
	// The third failed probe ejects the upstream, and each trial ends at the next probe.
	if ejected < 12 {
		t.Errorf("the frozen upstream was ejected for %d of 20 s, want at least 12", ejected)
	}
}

// TestProber guards against a prober that accepts answers with an error status or cannot read the contract's JSON
// format.
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

package fpload_test

import (
	"bytes"
	"context"
	"encoding/csv"
	"encoding/json"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/alecthomas/kong"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpload"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpstandin"
)

// TestCoordinatedOmission guards against a generator that waits for a stalled target and so leaves the stall out of the
// latencies. All requests of 1 s are answered at its end, so that the median latency must be about half a second.
func TestCoordinatedOmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		res, err := fpload.Run(t.Context(), fpload.Config{
			Seed:     1,
			Duration: time.Second,
			Schedule: fpload.Schedule{
				Rate: 1000,
			},
			Send: func(context.Context, fpload.Request) fpload.Answer {
				time.Sleep(time.Until(start.Add(time.Second)))
				return fpload.Answer{}
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		if count := res.Count(fpload.Answered); count < 900 || count > 1100 {
			t.Errorf("%d requests in 1 s at 1000/s", count)
		}
		if p50 := res.Latency(fpload.Answered, 50); p50 < 450*time.Millisecond || p50 > 550*time.Millisecond {
			t.Errorf("median latency %v with a target that stalls for 1 s", p50)
		}
	})
}

// TestSurge guards the rate of arrivals in a surge, and Goodput and RecoveryTime, which use the time series.
func TestSurge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		res, err := fpload.Run(t.Context(), fpload.Config{
			Seed:     1,
			Duration: 10 * time.Second,
			Schedule: fpload.Schedule{
				Rate:     100,
				Factor:   10,
				SurgeAt:  2 * time.Second,
				SurgeFor: 2 * time.Second,
			},
			Send: func(_ context.Context, req fpload.Request) fpload.Answer {
				// Requests of the surge and of the two seconds after it are slow.
				if left := time.Until(req.Deadline); left > 0 && req.Number > 200 && req.Number < 2400 {
					time.Sleep(time.Second)
				}
				return fpload.Answer{}
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		if before, during := res.Goodput(0, 2*time.Second), res.Goodput(2*time.Second, 4*time.Second); during < 8*before || during > 12*before {
			t.Errorf("goodput %.0f/s before and %.0f/s during a surge with factor 10", before, during)
		}
		recovery, ok := res.RecoveryTime(4*time.Second, 100*time.Millisecond)
		if !ok || recovery < time.Second || recovery > 3*time.Second {
			t.Errorf("recovery after %v, %v", recovery, ok)
		}
	})
}

// TestMetrics guards the three metrics of the design (imbalance, churn and unavailability) with inputs whose values are
// known.
func TestMetrics(t *testing.T) {
	if imb := fpload.ImbalanceOf([]float64{3, 1, 0, 0}); imb.MaxToMean != 3 || math.Abs(imb.Variation-1.2247) > 1e-4 {
		t.Errorf("imbalance %+v", imb)
	}
	before := map[string]string{"a": "u0", "b": "u1", "c": ""}
	after := map[string]string{"a": "u1", "b": "u1", "c": "u1", "d": "u2"}
	if churn := fpload.Churn(before, after); churn != 1 {
		t.Errorf("churn %d, want 1", churn)
	}
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		res, _ := fpload.Run(t.Context(), fpload.Config{
			Seed:     1,
			Duration: 10 * time.Second,
			Schedule: fpload.Schedule{
				Rate: 1000,
			},
			Keys: fpload.KeysConfig{
				Keys: 2,
			},
			Send: func(_ context.Context, req fpload.Request) fpload.Answer {
				since := time.Since(start)
				if req.Key == "key-1" && since > 3*time.Second && since < 5*time.Second {
					return fpload.Answer{
						Status: fpload.Failed,
					}
				}
				return fpload.Answer{}
			},
		})
		una := res.Unavailability()
		if una.Keys != 1 || una.Worst < 1900*time.Millisecond || una.Worst > 2100*time.Millisecond {
			t.Errorf("unavailability %+v for an outage of 2 s of one key", una)
		}
	})
}

// TestHotSetMoves guards against a hot set of keys that does not change after MoveEvery.
func TestHotSetMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts := [2]map[string]int{{}, {}}
		start := time.Now()
		cfg := fpload.Config{
			Seed:        1,
			Duration:    2 * time.Second,
			MaxInFlight: 1, // sends run one at a time, so the maps need no lock
			Schedule: fpload.Schedule{
				Rate: 1000,
			},
			Keys: fpload.KeysConfig{
				Keys:      10_000,
				Zipf:      1.5,
				MoveEvery: time.Second,
			},
			Send: func(_ context.Context, req fpload.Request) fpload.Answer {
				counts[min(1, int(time.Since(start)/time.Second))][req.Key]++
				return fpload.Answer{}
			},
		}
		if _, err := fpload.Run(t.Context(), cfg); err != nil {
			t.Fatal(err)
		}
		if counts[0]["key-0"] < 100 || counts[1]["key-0"] > 10 || counts[1]["key-230"] < 100 {
			t.Errorf("requests for key-0: %d in the first second, %d in the next; for key-230 in the next: %d", counts[0]["key-0"], counts[1]["key-0"], counts[1]["key-230"])
		}
	})
}

// TestCommand runs the command line against a stand-in on loopback. It guards against result files that can't be read.
func TestCommand(t *testing.T) {
	sta := fpstandin.New(fpstandin.Config{
		Worker: fpstandin.WorkerConfig{
			Concurrency: 3,
			Queue:       100,
			ServiceTime: time.Millisecond,
		},
	})
	if err := sta.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer sta.Crash()
	var com fpload.Command
	parser, err := kong.New(&com)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	args := strings.Fields("--path=/pkg.Service/Method --rate=200 --duration=1s --keys=10 --seed=7 --once --out=" + dir)
	if _, err := parser.Parse(append(args, "http://"+sta.Address())); err != nil {
		t.Fatal(err)
	}
	if err := com.Run(t.Context(), io.Discard); err != nil {
		t.Fatal(err)
	}
	var sum fpload.Summary
	text, err := os.ReadFile(filepath.Join(dir, "result.json"))
	if err != nil || json.Unmarshal(text, &sum) != nil || sum.Seed != 7 || sum.Counts["answered"] < 100 {
		t.Errorf("result.json: %s, %v", text, err)
	}
	text, err = os.ReadFile(filepath.Join(dir, "series.csv"))
	if err != nil {
		t.Fatal(err)
	}
	if lines, err := csv.NewReader(bytes.NewReader(text)).ReadAll(); err != nil || len(lines) < 10 {
		t.Errorf("series.csv has %d lines, %v", len(lines), err)
	}
	if text, err = os.ReadFile(filepath.Join(dir, "series.svg")); err != nil || !bytes.Contains(text, []byte("<svg")) {
		t.Errorf("series.svg: %v", err)
	}
}

package fpstandin_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpstandin"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fphealth"
)

// startStandin starts a stand-in that is closed at the end of the test.
func startStandin(t *testing.T, cfg fpstandin.Config) *fpstandin.Standin {
	t.Helper()
	sta := fpstandin.New(cfg)
	if err := sta.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sta.Crash)
	return sta
}

// post sends a call and returns its answer and the body. header holds names and values in turn.
func post(t *testing.T, sta *fpstandin.Standin, client *http.Client, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+sta.Address()+"/pkg.Service/Method", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp, string(got), err
}

// TestShedsBeyondConcurrency guards against a stand-in that runs more requests than its concurrency, or that sheds requests
// without the header that states that they did not run.
func TestShedsBeyondConcurrency(t *testing.T) {
	sta := startStandin(t, fpstandin.Config{
		Worker: fpstandin.WorkerConfig{
			Concurrency: 3,
			ServiceTime: 300 * time.Millisecond,
		},
		PushBack: 20 * time.Millisecond,
	})
	var group sync.WaitGroup
	var mut sync.Mutex
	answered, shed := 0, 0
	for range 10 {
		group.Go(func() {
			resp, _, err := post(t, sta, http.DefaultClient, "{}")
			mut.Lock()
			defer mut.Unlock()
			switch {
			case err != nil:
				t.Error(err)
			case resp.StatusCode == http.StatusOK:
				answered++
			case resp.Header.Get(fpstandin.RefusedHeader) == "shed" && resp.Header.Get(fpstandin.PushBackHeader) == "20":
				shed++
			}
		})
	}
	group.Wait()
	if answered != 3 || shed != 7 {
		t.Errorf("%d answered and %d shed of 10 requests with a concurrency of 3", answered, shed)
	}
}

// TestCrashOnRequest guards against a stand-in that answers the request on which it crashes, doesn't restart, or doesn't
// count the run.
func TestCrashOnRequest(t *testing.T) {
	sta := startStandin(t, fpstandin.Config{
		CrashOn:      "bad",
		RestartAfter: 50 * time.Millisecond,
	})
	before := sta.Incarnation()
	if _, _, err := post(t, sta, http.DefaultClient, "{}", "Idempotency-Key", "bad"); err == nil {
		t.Fatal("a crashed upstream answered")
	}
	deadline := time.Now().Add(5 * time.Second)
	for {
		resp, body, err := post(t, sta, http.DefaultClient, "{}", "Idempotency-Key", "good")
		if err == nil && resp.StatusCode == http.StatusOK && body == "{}" {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("no answer after the restart: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if sta.Worker().Runs("bad") != 1 || sta.Crashes() != 1 || sta.Incarnation() <= before {
		t.Errorf("%d runs, %d crashes, incarnation %d after %d", sta.Worker().Runs("bad"), sta.Crashes(), sta.Incarnation(), before)
	}
}

// TestFreezeAndEndpoints guards against a frozen stand-in that answers, and against health and load endpoints that the
// prober can't read.
func TestFreezeAndEndpoints(t *testing.T) {
	sta := startStandin(t, fpstandin.Config{
		Worker: fpstandin.WorkerConfig{
			Concurrency: 3,
		},
		CheckFence: func(req *http.Request) error {
			if req.Header.Get("Foxtailpulley-Epoch") == "" {
				return errors.New("no epoch")
			}
			return nil
		},
	})
	pro := fphealth.NewProber(fphealth.ProberConfig{
		Timeout: 100 * time.Millisecond,
	})
	if health, err := pro.Health(t.Context(), sta.Address()); err != nil || !health.GetReady() {
		t.Errorf("Health: %v, %v", health, err)
	}
	if load, err := pro.Load(t.Context(), sta.Address()); err != nil || load.GetConcurrency() != 3 {
		t.Errorf("Load: %v, %v", load, err)
	}
	resp, _, err := post(t, sta, http.DefaultClient, "{}")
	if err != nil || resp.Header.Get(fpstandin.RefusedHeader) != "fence" {
		t.Errorf("request without an epoch: %v, %v; want a refusal by the fence", resp, err)
	}
	sta.Freeze()
	if _, err := pro.Health(t.Context(), sta.Address()); err == nil {
		t.Error("a frozen upstream answered a probe")
	}
	sta.Thaw()
	if _, err := pro.Health(t.Context(), sta.Address()); err != nil {
		t.Errorf("Health after Thaw: %v", err)
	}
}

// TestMaxConnections guards against open connections beyond MaxConnections, and against closed connections that still
// count.
func TestMaxConnections(t *testing.T) {
	sta := startStandin(t, fpstandin.Config{
		MaxConnections: 1,
		AcceptDelay:    time.Millisecond,
	})
	one := &http.Client{
		Transport: &http.Transport{},
	}
	two := &http.Client{
		Transport: &http.Transport{},
	}
	if _, _, err := post(t, sta, one, "{}"); err != nil {
		t.Fatal(err)
	}
	if _, _, err := post(t, sta, two, "{}"); err == nil || sta.RefusedConnections() == 0 {
		t.Errorf("second connection: error %v, %d refused", err, sta.RefusedConnections())
	}
	one.CloseIdleConnections()
	time.Sleep(100 * time.Millisecond)
	if _, _, err := post(t, sta, two, "{}"); err != nil {
		t.Errorf("connection after the first one closed: %v", err)
	}
}

// TestLoadFaults guards the three faults of a load endpoint: an old load, a wrong factor and a fixed load.
func TestLoadFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wor := fpstandin.NewWorker(fpstandin.WorkerConfig{
			Concurrency: 2,
			ServiceTime: 10 * time.Second,
			LoadFault: fpstandin.LoadFault{
				Lag: 5 * time.Second,
			},
		})
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
		defer cancel()
		failed := make(chan error, 1)
		go func() { failed <- wor.Serve(ctx, fpstandin.Job{}) }()
		time.Sleep(4 * time.Second)
		if got := wor.Load().GetRunning(); got != 0 {
			t.Errorf("running %d after 4 s with a lag of 5 s", got)
		}
		time.Sleep(2 * time.Second)
		if got := wor.Load().GetRunning(); got != 1 {
			t.Errorf("running %d after 6 s with a lag of 5 s", got)
		}
		wor.SetLoadFault(fpstandin.LoadFault{
			Factor: 3,
		})
		if got := wor.Load().GetRunning(); got != 3 {
			t.Errorf("running %d with a factor of 3", got)
		}
		wor.SetLoadFault(fpstandin.LoadFault{
			Fixed: &fpcontract.Load{},
		})
		if got := wor.Load().GetRunning(); got != 0 {
			t.Errorf("running %d from an endpoint stuck at 0", got)
		}
		if err := <-failed; !fperror.Is(err, fperror.DeadlineExceeded) {
			t.Errorf("request beyond its deadline: %v", err)
		}
	})
}

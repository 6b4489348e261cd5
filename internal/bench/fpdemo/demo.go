// Package fpdemo runs a small deployment of the router with stand-in upstreams in one process and demonstrates its main
// functions.
package fpdemo

import (
	"bytes"
	"context"
	_ "embed" // embeds the schema of the demo
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpupstream"
)

//go:embed schema.proto
var schema string

// Services of the demo, and the number of slots of each.
const (
	stockService = "demo.v1.Stock"
	guideService = "demo.v1.Guide"
	demoSlots    = 64
)

// readyTimeout bounds the wait for the first answer of the deployment, failoverTimeout the wait for an answer after the
// owner of the key was killed. retryPause is the pause between two calls in these waits.
const (
	readyTimeout    = 15 * time.Second
	failoverTimeout = 10 * time.Second
	retryPause      = 20 * time.Millisecond
)

// home is a range of slots and its group in the configuration of the demo.
type home struct {
	Group     string `json:"group"`
	FirstSlot int    `json:"firstSlot"`
	LastSlot  int    `json:"lastSlot"`
}

// service is a service in the configuration of the demo.
type service struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	Homes []home `json:"homes"`
}

// configuration is the initial configuration file of the demo.
type configuration struct {
	Schema   string    `json:"schema"`
	Services []service `json:"services"`
}

// demoConfiguration returns the configuration with both services.
func demoConfiguration() configuration {
	homes := []home{
		{
			Group:    "here",
			LastSlot: demoSlots - 1,
		},
	}
	return configuration{
		Schema: schema,
		Services: []service{
			{
				Name:  stockService,
				Slots: demoSlots,
				Homes: homes,
			},
			{
				Name:  guideService,
				Slots: demoSlots,
				Homes: homes,
			},
		},
	}
}

// Command is the command line of the demo, for kong.
type Command struct{}

// Run starts the deployment, makes each kind of call, kills an upstream, and prints the results to out. It returns an error
// if a result is not the expected one.
func (com *Command) Run(ctx context.Context, out io.Writer) (err error) {
	folder, err := os.MkdirTemp("", "foxtailpulley-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	clu, err := startCluster(ctx, folder)
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := clu.stop(); err == nil {
			err = stopErr
		}
	}()
	dem := &demo{
		clu: clu,
		out: out,
	}
	return dem.run(ctx)
}

// demo runs the steps of the demo.
type demo struct {
	clu *cluster
	out io.Writer
}

// printf prints a line.
func (dem *demo) printf(format string, args ...any) { fmt.Fprintf(dem.out, format+"\n", args...) }

// run starts the upstreams and runs all steps.
func (dem *demo) run(ctx context.Context) error {
	dem.printf("3 VMs in 2 data centres on loopback; each is entry and control.")
	for num, dataCentre := range []string{"east", "east", "west", "west"} {
		name := fmt.Sprintf("stock-%d", num+1)
		if err := dem.clu.startUpstream(ctx, name, stockService, dataCentre, true); err != nil {
			return err
		}
	}
	for num, dataCentre := range []string{"east", "west"} {
		name := fmt.Sprintf("guide-%d", num+1)
		if err := dem.clu.startUpstream(ctx, name, guideService, dataCentre, false); err != nil {
			return err
		}
	}
	took, err := dem.waitUntilAnswered(ctx, readyTimeout, dem.call(0, stockService+"/Get", `{"venue":"first"}`, ""))
	if err != nil {
		return err
	}
	dem.printf("4 upstreams of a keyed service and 2 of an unkeyed one have announced themselves; first answer after %v.", took)
	steps := []func(ctx context.Context) error{dem.showKeyedCalls, dem.showUnkeyedCalls, dem.showIdempotencyKey, dem.showOwnerFailure}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	dem.printf("done")
	return nil
}

// answer is the answer to a caller, as far as the demo uses it.
type answer struct {
	upstream string
	kind     string
	outcome  string
	status   int
}

// call returns a function that sends one request through the entry VM with index vm. An empty key sends no idempotency key.
func (dem *demo) call(vm int, path, body, key string) func(ctx context.Context) (answer, error) {
	return func(ctx context.Context) (answer, error) {
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		url := "http://" + dem.clu.vms[vm].callers + "/" + path
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
		if err != nil {
			return answer{}, err
		}
		req.Header.Set("Content-Type", "application/json")
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return answer{}, err
		}
		defer func() { _ = res.Body.Close() }()
		var echoed json.RawMessage
		if err := json.NewDecoder(res.Body).Decode(&echoed); err != nil {
			return answer{}, err
		}
		return answer{
			upstream: res.Header.Get(fpupstream.NameHeader),
			kind:     res.Header.Get("Foxtailpulley-Error"),
			outcome:  res.Header.Get("Foxtailpulley-Outcome"),
			status:   res.StatusCode,
		}, nil
	}
}

// waitUntilAnswered repeats a call until it is answered with status 200 and returns the time since the first call.
func (dem *demo) waitUntilAnswered(ctx context.Context, limit time.Duration, call func(ctx context.Context) (answer, error)) (time.Duration, error) {
	began := time.Now()
	for {
		ans, err := call(ctx)
		if err == nil && ans.status == http.StatusOK {
			return time.Since(began).Round(time.Millisecond), nil
		}
		if time.Since(began) > limit || ctx.Err() != nil {
			return 0, fperror.Wrap(fperror.DeadlineExceeded, err, "no answer with status 200 within %v; error kind of the last answer: %q", limit, ans.kind)
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
}

// showKeyedCalls sends each key through all VMs and checks that one upstream serves it.
func (dem *demo) showKeyedCalls(ctx context.Context) error {
	dem.printf("\nKeyed calls: every VM sends a key to the same upstream.")
	for _, venue := range []string{"harbour", "castle", "station"} {
		owners := map[string]bool{}
		for vm := range dem.clu.vms {
			ans, err := dem.call(vm, stockService+"/Get", fmt.Sprintf(`{"venue":%q}`, venue), "")(ctx)
			if err != nil {
				return err
			}
			if ans.status != http.StatusOK {
				return fperror.New(fperror.Internal, "the call for the key %s was refused with %q", venue, ans.kind)
			}
			owners[ans.upstream] = true
			dem.printf("  %-8s through %s: served by %s", venue, dem.clu.vms[vm].Name, ans.upstream)
		}
		if len(owners) != 1 {
			return fperror.New(fperror.Internal, "the key %s was served by %d upstreams, want 1", venue, len(owners))
		}
	}
	return nil
}

// showUnkeyedCalls sends a call without a key through each VM.
func (dem *demo) showUnkeyedCalls(ctx context.Context) error {
	dem.printf("\nCalls without a key: an upstream of the VM's own data centre is preferred.")
	for vm := range dem.clu.vms {
		ans, err := dem.call(vm, guideService+"/Read", `{"name":"folding"}`, "")(ctx)
		if err != nil {
			return err
		}
		if ans.status != http.StatusOK {
			return fperror.New(fperror.Internal, "the call was refused with %q", ans.kind)
		}
		dem.printf("  through %s in %s: served by %s", dem.clu.vms[vm].Name, dem.clu.vms[vm].DataCentre, ans.upstream)
	}
	return nil
}

// showIdempotencyKey sends a non-idempotent call without an idempotency key, and then three times with the same one. It
// checks that it runs once.
func (dem *demo) showIdempotencyKey(ctx context.Context) error {
	dem.printf("\nA non-idempotent call, sent three times with one idempotency key, runs once.")
	ans, err := dem.call(0, stockService+"/Charge", `{"venue":"harbour","amount":"5"}`, "")(ctx)
	if err != nil {
		return err
	}
	dem.printf("  without a key: refused with %s, outcome %s", ans.kind, ans.outcome)
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	for vm := range dem.clu.vms {
		ans, err := dem.call(vm, stockService+"/Charge", `{"venue":"harbour","amount":"5"}`, key.String())(ctx)
		if err != nil {
			return err
		}
		if ans.status != http.StatusOK {
			return fperror.New(fperror.Internal, "the charge was refused with %q", ans.kind)
		}
		dem.printf("  through %s: answered", dem.clu.vms[vm].Name)
	}
	runs := 0
	for _, ups := range dem.clu.upstreams {
		runs += ups.Standin().Worker().Runs(key.String())
	}
	dem.printf("  runs on all upstreams together: %d", runs)
	if runs != 1 {
		return fperror.New(fperror.Internal, "the charge ran %d times", runs)
	}
	return nil
}

// showOwnerFailure kills the owner of a key and waits until another upstream serves it.
func (dem *demo) showOwnerFailure(ctx context.Context) error {
	ans, err := dem.call(0, stockService+"/Get", `{"venue":"harbour"}`, "")(ctx)
	if err != nil {
		return err
	}
	owner := ans.upstream
	dem.printf("\nKill %s, the owner of harbour.", owner)
	dem.clu.upstreams[owner].Stop()
	delete(dem.clu.upstreams, owner)
	took, err := dem.waitUntilAnswered(ctx, failoverTimeout, dem.call(0, stockService+"/Get", `{"venue":"harbour"}`, ""))
	if err != nil {
		return err
	}
	ans, err = dem.call(1, stockService+"/Get", `{"venue":"harbour"}`, "")(ctx)
	if err != nil {
		return err
	}
	dem.printf("  harbour is served again after %v, by %s; the lease of the killed owner had to expire first.", took, ans.upstream)
	return nil
}

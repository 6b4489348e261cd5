// Package fpdemo runs a small deployment with stand-in upstreams in one process and shows what the router does.
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

// Names of the services of the demo.
const (
	stockService = "demo.v1.Stock"
	guideService = "demo.v1.Guide"
	demoSlots    = 64
)

// readyTimeout bounds the wait for the deployment, and servedTimeout that for a key whose owner was killed.
const (
	readyTimeout  = 15 * time.Second
	servedTimeout = 10 * time.Second
	retryPause    = 20 * time.Millisecond
)

type home struct {
	Group     string `json:"group"`
	FirstSlot int    `json:"firstSlot"`
	LastSlot  int    `json:"lastSlot"`
}

type service struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	Homes []home `json:"homes"`
}

type configuration struct {
	Schema   string    `json:"schema"`
	Services []service `json:"services"`
}

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

// Run starts the deployment, shows each kind of call, kills an upstream, and prints what happened.
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
		if end := clu.stop(); err == nil {
			err = end
		}
	}()
	sho := &show{
		clu: clu,
		out: out,
	}
	return sho.run(ctx)
}

// show is the course of the demo.
type show struct {
	clu *cluster
	out io.Writer
}

func (sho *show) say(format string, args ...any) { fmt.Fprintf(sho.out, format+"\n", args...) }

func (sho *show) run(ctx context.Context) error {
	sho.say("3 VMs in 2 data centres on loopback; each is entry and control.")
	for num, dataCentre := range []string{"east", "east", "west", "west"} {
		name := fmt.Sprintf("stock-%d", num+1)
		if err := sho.clu.startUpstream(ctx, name, stockService, dataCentre, true); err != nil {
			return err
		}
	}
	for num, dataCentre := range []string{"east", "west"} {
		name := fmt.Sprintf("guide-%d", num+1)
		if err := sho.clu.startUpstream(ctx, name, guideService, dataCentre, false); err != nil {
			return err
		}
	}
	took, err := sho.await(ctx, readyTimeout, sho.call(0, stockService+"/Get", `{"venue":"first"}`, ""))
	if err != nil {
		return err
	}
	sho.say("4 upstreams of a keyed service and 2 of an unkeyed one have announced themselves; first answer after %v.", took)
	steps := []func(ctx context.Context) error{sho.keyed, sho.unkeyed, sho.once, sho.kill}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	sho.say("done")
	return nil
}

// answer is what a caller got.
type answer struct {
	upstream string
	kind     string
	outcome  string
	status   int
}

// call returns a function that sends one request through an entry VM.
func (sho *show) call(vm int, path, body, key string) func(ctx context.Context) (answer, error) {
	return func(ctx context.Context) (answer, error) {
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		url := "http://" + sho.clu.vms[vm].callers + "/" + path
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

// await repeats a call until it is answered and returns how long that took.
func (sho *show) await(ctx context.Context, limit time.Duration, call func(ctx context.Context) (answer, error)) (time.Duration, error) {
	began := time.Now()
	for {
		ans, err := call(ctx)
		if err == nil && ans.status == http.StatusOK {
			return time.Since(began).Round(time.Millisecond), nil
		}
		if time.Since(began) > limit || ctx.Err() != nil {
			return 0, fperror.Wrap(fperror.DeadlineExceeded, err, "no answer within %v; the last refusal was %q", limit, ans.kind)
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
}

func (sho *show) keyed(ctx context.Context) error {
	sho.say("\nKeyed calls: every VM sends a key to the same upstream.")
	for _, venue := range []string{"harbour", "castle", "station"} {
		owners := map[string]bool{}
		for vm := range sho.clu.vms {
			ans, err := sho.call(vm, stockService+"/Get", fmt.Sprintf(`{"venue":%q}`, venue), "")(ctx)
			if err != nil {
				return err
			}
			if ans.status != http.StatusOK {
				return fperror.New(fperror.Internal, "the call for %s was refused with %q", venue, ans.kind)
			}
			owners[ans.upstream] = true
			sho.say("  %-8s through %s: served by %s", venue, sho.clu.vms[vm].Name, ans.upstream)
		}
		if len(owners) != 1 {
			return fperror.New(fperror.Internal, "the key %s has %d owners", venue, len(owners))
		}
	}
	return nil
}

func (sho *show) unkeyed(ctx context.Context) error {
	sho.say("\nCalls without a key: an upstream of the VM's own data centre is preferred.")
	for vm := range sho.clu.vms {
		ans, err := sho.call(vm, guideService+"/Read", `{"name":"folding"}`, "")(ctx)
		if err != nil {
			return err
		}
		if ans.status != http.StatusOK {
			return fperror.New(fperror.Internal, "the call was refused with %q", ans.kind)
		}
		sho.say("  through %s in %s: served by %s", sho.clu.vms[vm].Name, sho.clu.vms[vm].DataCentre, ans.upstream)
	}
	return nil
}

func (sho *show) once(ctx context.Context) error {
	sho.say("\nA non-idempotent call, sent three times with one idempotency key, runs once.")
	ans, err := sho.call(0, stockService+"/Charge", `{"venue":"harbour","amount":"5"}`, "")(ctx)
	if err != nil {
		return err
	}
	sho.say("  without a key: refused with %s, outcome %s", ans.kind, ans.outcome)
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	for vm := range sho.clu.vms {
		ans, err := sho.call(vm, stockService+"/Charge", `{"venue":"harbour","amount":"5"}`, key.String())(ctx)
		if err != nil {
			return err
		}
		if ans.status != http.StatusOK {
			return fperror.New(fperror.Internal, "the charge was refused with %q", ans.kind)
		}
		sho.say("  through %s: answered", sho.clu.vms[vm].Name)
	}
	runs := 0
	for _, ups := range sho.clu.upstreams {
		runs += ups.Standin().Worker().Runs(key.String())
	}
	sho.say("  runs on all upstreams together: %d", runs)
	if runs != 1 {
		return fperror.New(fperror.Internal, "the charge ran %d times", runs)
	}
	return nil
}

func (sho *show) kill(ctx context.Context) error {
	ans, err := sho.call(0, stockService+"/Get", `{"venue":"harbour"}`, "")(ctx)
	if err != nil {
		return err
	}
	owner := ans.upstream
	sho.say("\nKill %s, the owner of harbour.", owner)
	sho.clu.upstreams[owner].Stop()
	delete(sho.clu.upstreams, owner)
	took, err := sho.await(ctx, servedTimeout, sho.call(0, stockService+"/Get", `{"venue":"harbour"}`, ""))
	if err != nil {
		return err
	}
	ans, err = sho.call(1, stockService+"/Get", `{"venue":"harbour"}`, "")(ctx)
	if err != nil {
		return err
	}
	sho.say("  harbour is served again after %v, by %s; its lease had to run out first.", took, ans.upstream)
	return nil
}

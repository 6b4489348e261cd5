// Program manylives shows what happens to new workers after many others have started and left in the lifetime of the control VMs.
// TROUBLE=0 leaves out the other workers and the final fault, and TROUBLE=final the other workers.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/review/standins-2/fleet"
)

const (
	// lives is the number of workers that start and leave: 310 a day, as letter 1 has it, for four weeks.
	lives = 28 * 310
	// slots is the number of those that are up at once, each with an address of its own.
	slots = 48
	// watched is how long requests are sent to the new workers before the final fault.
	watched = 30 * time.Second
	// recovery is the bound of a small site, see SYSTEM.md.
	recovery = 15 * time.Second
	// requests is the number of requests of each count.
	requests = 40
)

func main() { os.Exit(run()) }

func run() int {
	fle, err := fleet.New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return fleet.NotRun
	}
	defer fle.Close()
	trouble := os.Getenv("TROUBLE")
	broken, err := play(fle, trouble != "0" && trouble != "final", trouble != "0")
	if err != nil {
		fle.Record.Write("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return fleet.NotRun
	}
	fle.Record.Write("broken: %t", broken)
	fmt.Println("broken:", broken)
	if broken {
		return fleet.Broken
	}
	return fleet.Held
}

// counter counts the heartbeats of the new workers that are acknowledged.
type counter struct{ acks atomic.Int64 }

// RoundTrip implements http.RoundTripper.
func (cou *counter) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := http.DefaultTransport.RoundTrip(req)
	if err == nil && res.StatusCode == http.StatusOK {
		cou.acks.Add(1)
	}
	return res, err
}

func play(fle *fleet.Fleet, others, final bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, dataCentre := range fleet.DataCentres {
		if _, err := fle.AddControl(dataCentre); err != nil {
			return false, err
		}
	}
	for _, dataCentre := range fleet.DataCentres[:2] {
		if _, err := fle.AddEntry(dataCentre); err != nil {
			return false, err
		}
	}
	core := fle.Controls
	all := append(append([]*fleet.VM(nil), core...), fle.Entries...)
	for _, vm := range all {
		vm.SetSeeds(core[0], core[1], core[2])
		if err := vm.Start(); err != nil {
			return false, err
		}
	}
	ope := fleet.NewOperator(fle.Record)
	cfg := fleet.Configuration(1, []fleet.Service{{Name: "orders"}, {Name: "batch"}}, []fleet.Route{
		{Name: "orders", Prefix: "/orders/", Kind: "unsafe", Service: "orders"},
		{Name: "reads", Prefix: "/reads/", Kind: "safe", Service: "orders"},
		{Name: "batch", Prefix: "/batch/", Kind: "safe", Service: "batch"},
	})
	if ope.Put(core, 1, cfg, 10*time.Second) == nil {
		return false, fmt.Errorf("the configuration was not acknowledged")
	}
	time.Sleep(2 * time.Second)
	if others {
		if err := replaceWorkers(fle); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second) // the control VMs pass on who has announced itself once a second
	}
	heartbeats := &counter{}
	for num := range 4 {
		if _, err := fle.StartWorkerIn(ctx, "orders", false, num, fleet.DataCentres[num], core, &http.Client{
			Transport: heartbeats,
		}); err != nil {
			return false, err
		}
	}
	fle.Record.Write("four workers of the service orders started")
	time.Sleep(2 * time.Second)
	cli := fleet.NewClient(fle.Record)
	before := serve(cli, fle, 10*time.Second)
	fle.Record.Write("first 10 s: %d of %d requests served", before, requests)
	if before < requests*3/4 {
		return false, fmt.Errorf("only %d of %d requests were served at first", before, requests)
	}
	later := serve(cli, fle, watched-10*time.Second)
	fle.Record.Write("next 20 s: %d of %d requests served", later, requests)
	if final {
		if err := fle.KillAll(); err != nil {
			return false, err
		}
	}
	heartbeats.acks.Store(0)
	time.Sleep(recovery)
	acks := heartbeats.acks.Load()
	after := serve(cli, fle, 10*time.Second)
	fle.Record.Write("%v after the machines are back: %d of %d requests served; %d heartbeats acknowledged since", recovery, after, requests, acks)
	if acks == 0 {
		return false, fmt.Errorf("no heartbeat was acknowledged")
	}
	return after < requests/4, nil
}

// replaceWorkers lets workers of the service batch announce themselves and leave, one after the other at each address.
func replaceWorkers(fle *fleet.Fleet) error {
	client := &http.Client{
		Timeout: 2 * time.Second,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: slots,
		},
	}
	var next, failed atomic.Int64
	var wgr sync.WaitGroup
	began := time.Now()
	for slot := range slots {
		wgr.Go(func() {
			for num := next.Add(1); num <= lives; num = next.Add(1) {
				if !live(fle, client, slot, num) {
					failed.Add(1)
				}
			}
		})
	}
	wgr.Wait()
	fle.Record.Write("%d workers of the service batch started and left in %v, %d without an acknowledgement", lives, time.Since(began), failed.Load())
	if failed.Load() > lives/100 {
		return fmt.Errorf("%d of %d workers got no acknowledgement", failed.Load(), lives)
	}
	return nil
}

// live is one life of a worker: an announcement and a departure. It reports whether both were acknowledged.
func live(fle *fleet.Fleet, client *http.Client, slot int, num int64) bool {
	born := time.Now().UnixMilli()
	id := fmt.Sprintf("i-batch-%d", num)
	announcement := map[string]any{
		"service":   "batch",
		"address":   fmt.Sprintf("127.0.0.2:%d", 10000+slot),
		"zone":      fleet.DataCentres[slot%len(fleet.DataCentres)],
		"version":   "v1",
		"slots":     3,
		"state":     "ready",
		"cold_left": "0ms",
		"seq":       1,
		"born":      born,
	}
	return call(fle, client, "instances.heartbeat&of="+id, announcement, num) &&
		call(fle, client, "instances.deregister&of="+id, map[string]any{
			"born": born,
		}, num)
}

// call sends a call to one control VM after the other until one acknowledges it.
func call(fle *fleet.Fleet, client *http.Client, name string, body map[string]any, num int64) bool {
	buf, err := json.Marshal(body)
	if err != nil {
		return false
	}
	for attempt := range 8 {
		vm := fle.Controls[(int(num)+attempt)%len(fle.Controls)]
		res, err := client.Post("http://"+vm.Control+"/rpc?call="+name, "application/json", bytes.NewReader(buf))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// serve sends requests spread over a time and returns how many were served.
func serve(cli *fleet.Client, fle *fleet.Fleet, length time.Duration) int {
	served := 0
	for num := range requests / 2 {
		vm := fle.Entries[num%len(fle.Entries)]
		for _, req := range []fleet.Request{
			{Attempt: fleet.NewAttempt(), Method: "GET", Path: fmt.Sprintf("/reads/%d", num), Key: -1},
			{Attempt: fleet.NewAttempt(), Method: "POST", Path: fmt.Sprintf("/orders/%d", num), Key: -1},
		} {
			if ans := cli.Do(vm, req); ans.Status == http.StatusOK && ans.Signed {
				served++
			}
		}
		time.Sleep(length / (requests / 2))
	}
	return served
}

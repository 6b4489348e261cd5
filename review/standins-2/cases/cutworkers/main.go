// Program cutworkers shows what happens to workers that have been partitioned from the control VMs for some time, while requests still
// reached them, once the partition is over and a final fault has struck. TROUBLE=0 leaves out both, and TROUBLE=final the partition.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/review/standins-2/fleet"
)

const (
	// cutFor is how long the workers are partitioned.
	cutFor = 26 * time.Second
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

// cut is the network of the workers' calls to the control VMs.
type cut struct {
	record *fleet.Record
	active atomic.Bool
	acks   atomic.Int64
}

// RoundTrip implements http.RoundTripper. During the partition a call gets no answer.
func (cut *cut) RoundTrip(req *http.Request) (*http.Response, error) {
	if cut.active.Load() {
		<-req.Context().Done()
		return nil, errors.New("partitioned")
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		cut.record.Write("heartbeat %s: status %d", req.URL.Query().Get("of"), res.StatusCode)
		if res.StatusCode == http.StatusOK {
			cut.acks.Add(1)
		}
	}
	return res, err
}

// play plays the case: with the partition if partition is set, and with the final fault if final is set.
func play(fle *fleet.Fleet, partition, final bool) (broken bool, err error) {
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
	for _, vm := range append(append([]*fleet.VM(nil), core...), fle.Entries...) {
		vm.SetSeeds(core[0], core[1], core[2])
		if err := vm.Start(); err != nil {
			return false, err
		}
	}
	net := &cut{
		record: fle.Record,
	}
	for num := range 4 {
		// All workers are in the region that is cut off.
		dataCentre := []string{"west-1", "west-2"}[num%2]
		if _, err := fle.StartWorkerIn(ctx, "orders", false, num, dataCentre, core, &http.Client{
			Transport: net,
		}); err != nil {
			return false, err
		}
	}
	ope := fleet.NewOperator(fle.Record)
	cfg := fleet.Configuration(1, []fleet.Service{{Name: "orders"}}, []fleet.Route{
		{Name: "orders", Prefix: "/orders/", Kind: "unsafe", Service: "orders"},
		{Name: "reads", Prefix: "/reads/", Kind: "safe", Service: "orders"},
	})
	if ope.Put(core, 1, cfg, 10*time.Second) == nil {
		return false, fmt.Errorf("the configuration was not acknowledged")
	}
	time.Sleep(8 * time.Second)
	cli := fleet.NewClient(fle.Record)
	before := serve(cli, fle)
	fle.Record.Write("before: %d of %d requests served", before, requests)
	if before < requests*3/4 {
		return false, fmt.Errorf("only %d of %d requests were served before the disruption", before, requests)
	}
	if partition {
		fle.Record.Write("the workers are partitioned from the control VMs")
		net.active.Store(true)
	}
	for end := time.Now().Add(cutFor); time.Now().Before(end); time.Sleep(time.Second) {
		cli.Do(fle.Entries[0], fleet.Request{
			Attempt: fleet.NewAttempt(),
			Method:  "GET",
			Path:    "/reads/0",
			Key:     -1,
		})
	}
	net.active.Store(false)
	fle.Record.Write("the partition is over")
	time.Sleep(3 * time.Second)
	if final {
		if err := fle.KillAll(); err != nil {
			return false, err
		}
	}
	net.acks.Store(0)
	time.Sleep(recovery)
	acks := net.acks.Load()
	after := serve(cli, fle)
	fle.Record.Write("%v after the machines are back: %d of %d requests served; %d heartbeats acknowledged since", recovery, after, requests, acks)
	if acks == 0 {
		return false, fmt.Errorf("no heartbeat was acknowledged after the partition")
	}
	return after < requests/4, nil
}

// serve sends requests for 10 s and returns how many were served.
func serve(cli *fleet.Client, fle *fleet.Fleet) int {
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
		time.Sleep(10 * time.Second / (requests / 2))
	}
	return served
}

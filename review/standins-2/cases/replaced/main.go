// Program replaced shows what a deployment that tolerates the loss of one control VM does when one is removed for good, its successor has
// had its time to catch up, and then another one loses its disk.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/foxtailpulley/foxtailpulley/review/standins-2/fleet"
)

// The bounds of a small site, see SYSTEM.md.
const (
	catchUp  = 4 * time.Second
	recovery = 15 * time.Second
	// margin is the time beyond catchUp that the successor gets.
	margin = 500 * time.Millisecond
	// watched is for how long the operator reads and changes the configuration after the loss of the disk.
	watched = 2*recovery + 10*time.Second
)

func main() { os.Exit(run()) }

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	fle, err := fleet.New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return fleet.NotRun
	}
	defer fle.Close()
	broken, err := play(fle, trouble)
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

func play(fle *fleet.Fleet, trouble bool) (broken bool, err error) {
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
		vm.SetFirstStart(false)
	}
	for num := range 4 {
		if _, err := fle.StartWorker(ctx, "keys", true, num, core); err != nil {
			return false, err
		}
		if _, err := fle.StartWorker(ctx, "plain", false, num, core); err != nil {
			return false, err
		}
	}
	ope := fleet.NewOperator(fle.Record)
	services := []fleet.Service{{Name: "keys", Sharded: true}, {Name: "plain"}}
	routes := []fleet.Route{
		{Name: "reads", Prefix: "/reads/", Kind: "safe", Service: "keys"},
		{Name: "orders", Prefix: "/orders/", Kind: "unsafe", Service: "plain"},
	}
	if ope.Put(core, 1, fleet.Configuration(1, services, routes), 10*time.Second) == nil {
		return false, fmt.Errorf("the first configuration was not acknowledged")
	}
	cli := fleet.NewClient(fle.Record)
	time.Sleep(8 * time.Second)
	if served := serve(cli, fle); served < 15 {
		return false, fmt.Errorf("only %d of 20 requests were served before the disruption", served)
	}
	reachable := core
	if trouble {
		core[0].Kill() // for good
		time.Sleep(time.Second)
		successor, err := fle.AddControl(fleet.DataCentres[0])
		if err != nil {
			return false, err
		}
		successor.SetSeeds(core[1], core[2], core[3])
		successor.SetFirstStart(false)
		if err := successor.Start(); err != nil {
			return false, err
		}
		reachable = []*fleet.VM{core[1], core[2], core[3], successor}
	}
	// From here on the VM that was removed does not count as lost any more.
	time.Sleep(catchUp + margin)
	routes = append(routes, fleet.Route{Name: "added", Prefix: "/added/", Kind: "safe", Service: "plain"})
	if ope.Put(reachable, 2, fleet.Configuration(2, services, routes), 5*time.Second) == nil {
		return false, fmt.Errorf("the second configuration was not acknowledged")
	}
	if trouble {
		core[1].Kill()
		if err := os.RemoveAll(core[1].DataFolder); err != nil {
			return false, err
		}
		fle.Record.Write("%s lost its disk", core[1].Name)
		time.Sleep(time.Second)
		core[1].SetSeeds(reachable[1], reachable[2], reachable[3])
		if err := core[1].Start(); err != nil {
			return false, err
		}
	}
	// The operator reads the configuration, and sends the next one, until long after the recovery.
	began := time.Now()
	changed := false
	var lastRead time.Time
	var version uint64
	for time.Since(began) < watched {
		for _, vm := range reachable {
			got, err := ope.Read(vm)
			fle.Record.Write("read at %s: version %d, error %v", vm.Name, got, err)
			if err == nil {
				lastRead, version = time.Now(), got
			}
		}
		changed = changed || time.Since(began) > recovery && ope.Put(reachable, 3, fleet.Configuration(3, services, routes), time.Second) != nil
		time.Sleep(time.Second)
	}
	served := serve(cli, fle)
	late := time.Since(lastRead) > recovery
	fle.Record.Write("last read %v ago with version %d; next change acknowledged: %t; %d of 20 requests for keys and orders served", time.Since(lastRead), version, changed, served)
	return late || version < 2 || !changed, nil
}

// serve sends 10 requests for keys and 10 orders, and returns how many were served.
func serve(cli *fleet.Client, fle *fleet.Fleet) int {
	served := 0
	for num := range 10 {
		vm := fle.Entries[num%len(fle.Entries)]
		for _, req := range []fleet.Request{
			{Attempt: fleet.NewAttempt(), Method: "GET", Path: fmt.Sprintf("/reads/%d", num), Key: num * 6000},
			{Attempt: fleet.NewAttempt(), Method: "POST", Path: fmt.Sprintf("/orders/%d", num), Key: -1},
		} {
			if ans := cli.Do(vm, req); ans.Status == 200 && ans.Signed {
				served++
			}
		}
	}
	return served
}

// Program headerlimit shows what happens to requests with long headers, on connections that clients keep, after a configuration has raised
// the limit. With TROUBLE=0 the limit is that of the later configuration from the start.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/foxtailpulley/foxtailpulley/review/standins-2/fleet"
)

const (
	// lowLimit and highLimit are the largest headers that the configurations allow, in bytes.
	lowLimit, highLimit = 2048, 16384
	// longHeader is the size of a header that only highLimit allows.
	longHeader = 12288
	// clients is the number of clients, each with one connection.
	clients = 24
	// configApply is the bound of a small site, see SYSTEM.md.
	configApply = 2500 * time.Millisecond
	// rounds is the number of requests of each client after the change, half of them with a long header.
	rounds = 20
)

func main() { os.Exit(run()) }

func run() int {
	fle, err := fleet.New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return fleet.NotRun
	}
	defer fle.Close()
	broken, err := play(fle, os.Getenv("TROUBLE") != "0")
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

// play plays the case: with the change of the limit if trouble is set.
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
	}
	for num := range 4 {
		if _, err := fle.StartWorker(ctx, "orders", false, num, core); err != nil {
			return false, err
		}
	}
	limit := highLimit
	if trouble {
		limit = lowLimit
	}
	ope := fleet.NewOperator(fle.Record)
	put := func(version uint64, limit int) error {
		cfg := fleet.ConfigurationWithHeaders(version, limit, []fleet.Service{{Name: "orders"}}, []fleet.Route{
			{Name: "orders", Prefix: "/orders/", Kind: "unsafe", Service: "orders"},
			{Name: "reads", Prefix: "/reads/", Kind: "safe", Service: "orders"},
		})
		fle.Record.Write("configuration %d allows headers of %d bytes", version, limit)
		if ope.Put(core, version, cfg, 10*time.Second) == nil {
			return fmt.Errorf("configuration %d was not acknowledged", version)
		}
		return nil
	}
	if err := put(1, limit); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	var clis []*fleet.Client
	for range clients {
		cli := fleet.NewClient(fle.Record)
		cli.Client.Transport = &http.Transport{
			MaxConnsPerHost:    1,
			DisableCompression: true,
		}
		clis = append(clis, cli)
	}
	served, asked := 0, 0
	short := func() {
		for num, cli := range clis {
			asked++
			if ans := cli.Do(fle.Entries[num%len(fle.Entries)], read(num, "")); ans.Status == http.StatusOK && ans.Signed {
				served++
			}
		}
	}
	for range 3 {
		short()
		time.Sleep(300 * time.Millisecond)
	}
	fle.Record.Write("before: %d of %d requests served", served, asked)
	if served < asked*3/4 {
		return false, fmt.Errorf("only %d of %d requests were served before the disruption", served, asked)
	}
	if err := put(2, highLimit); err != nil {
		return false, err
	}
	// The clients use their connections all the while, so that none becomes idle.
	for end := time.Now().Add(2 * configApply); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		short()
	}
	fle.Record.Write("%v after the acknowledgement: long headers", 2*configApply)
	sent, denied := 0, 0
	for round := range rounds {
		for num, cli := range clis {
			fill := ""
			if round%2 == 0 {
				fill = strings.Repeat("x", longHeader-1024)
			}
			ans := cli.Do(fle.Entries[num%len(fle.Entries)], read(num, fill))
			sent++
			if ans.Status == http.StatusRequestHeaderFieldsTooLarge {
				denied++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	all := asked + sent
	fle.Record.Write("%d of %d requests sent since then were answered 431; rule DENIED allows %d of all %d", denied, sent, 5+all/500, all)
	return denied > 5+all/500, nil
}

// read returns a request with a header that is filled up.
func read(num int, fill string) fleet.Request {
	return fleet.Request{
		Attempt: fleet.NewAttempt(),
		Method:  "GET",
		Path:    fmt.Sprintf("/reads/%d", num),
		Key:     -1,
		Fill:    fill,
	}
}

// Command incompleteheartbeat shows that a heartbeat of another writer, in which fields are missing, sends the requests of one service to
// a worker of another.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/review/fleet"
)

func main() {
	os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0"))
}

// foreign counts the requests that workers of another service have run.
type foreign struct {
	mutex sync.Mutex
	byID  map[string]int
	ids   map[string]bool // attempts
}

func run(folder string, trouble bool) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = out.Close() }()
	rec := fleet.NewRecord(out)
	fle, err := fleet.Start(4, 4)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer fle.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fail := func(err error) int {
		rec.Printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	}
	if err := fle.Put(fleet.Configuration(1, "1000ms")); err != nil {
		return fail(err)
	}
	seen := foreign{
		byID: map[string]int{},
		ids:  map[string]bool{},
	}
	zones := []string{"caerdydd", "bangor", "abertawe", "wrecsam"}
	var lookups *fleet.Worker
	for num := range 8 {
		wor := &fleet.Worker{
			ID:      fmt.Sprintf("i-%08x", 0x1000+num),
			Service: []string{"charges", "lookups"}[num%2],
			Zone:    zones[num/2],
			Record:  rec,
		}
		wor.Work = func(req *http.Request) time.Duration {
			if wor.Service == "lookups" && strings.HasPrefix(req.URL.Path, "/once/") {
				seen.mutex.Lock()
				seen.byID[wor.ID]++
				seen.ids[req.Header.Get("Foxtailpulley-Attempt-Id")] = true
				seen.mutex.Unlock()
				rec.Printf("worker %s of service lookups runs a request of service charges", wor.ID)
			}
			return 93 * time.Millisecond
		}
		if err := wor.Start(); err != nil {
			return fail(err)
		}
		if num == 1 {
			lookups = wor
		}
		go wor.Announce(ctx, fle.ControlAddresses(), num)
	}
	if err := fle.AwaitReady(20 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(5 * time.Second) // all VMs are in touch
	cli := &fleet.Client{
		Entries:  fle.Entries,
		Record:   rec,
		Deadline: time.Second,
	}
	clients := cli.Run(ctx, 12, 40*time.Millisecond)
	time.Sleep(2 * time.Second)
	if trouble {
		buf, err := json.Marshal(map[string]any{
			"service": "charges",
			"address": lookups.Address,
			"slots":   4,
			"state":   "ready",
			"seq":     1000,
			"born":    lookups.Born,
		})
		if err != nil {
			return fail(err)
		}
		status, _, err := fleet.Call(fle.Controls[0].Control, "instances.heartbeat", lookups.ID, buf)
		rec.Printf("another writer sends, with the id %s: %s: status %d, error %v", lookups.ID, buf, status, err)
	}
	time.Sleep(10 * time.Second)
	cancel()
	clients.Wait()
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	served, answered, all := 0, 0, 0
	for _, ans := range cli.Answers() {
		if ans.Status == http.StatusOK {
			served++
			if seen.ids[ans.Attempt] {
				answered++
			}
		}
	}
	for _, count := range seen.byID {
		all += count
	}
	text := fmt.Sprintf("%d of %d requests served; workers of service lookups ran %d requests of service charges, and %d of their answers were passed on with status 200",
		served, len(cli.Answers()), all, answered)
	rec.Printf("%s", text)
	fmt.Println(text)
	switch {
	case served < len(cli.Answers())/2:
		return 2
	case all > 0:
		return 1
	default:
		return 0
	}
}

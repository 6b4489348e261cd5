// Command oldstate kills all processes of a deployment at the same moment, long after the configuration has got a route for requests that
// must run at most once, and counts how often each of these requests runs.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/review/fleet-3"
)

const (
	host = "a.example"
	// fillers is the number of routes by which one big_config grows the configuration.
	fillers = 1400
	// changes is the number of changes of the configuration before the route is added. Their log entries have more than 8 MiB.
	changes = 24
	// gap is the pause between two changes. The sites' storms have a change each 0.06 to 0.9 s.
	gap = 100 * time.Millisecond
	// apply is the bound config_apply, after which a version that was acknowledged is in force.
	apply = 2500 * time.Millisecond
	// down is for how long the processes are down; the sites have 0.69 to 1.6 s.
	down = 800 * time.Millisecond
	// lostShare is the share of the requests whose answer is lost, in percent of those that lossyWorkers of the workers run.
	lostShare    = 40
	lossyWorkers = 6
	allWorkers   = 10
)

func main() {
	program := flag.String("program", "", "the gateway's executable")
	folder := flag.String("folder", "", "a temporary folder")
	record := flag.String("record", "", "the file for the record")
	trouble := flag.Bool("trouble", true, "kill all processes")
	flag.Parse()
	rec, err := fleet.NewRecord(*record)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	fle := &fleet.Fleet{
		Program: *program,
		Folder:  *folder,
		Record:  rec,
		Losses:  1,
	}
	code := run(fle, *trouble)
	fle.Stop()
	rec.Printf("exit %d", code)
	os.Exit(code)
}

// configuration returns a version. The route for requests that must run at most once is there if pay is set.
func configuration(version int, pay bool) map[string]any {
	routes := []map[string]any{fleet.Route("all", host, "/", "safe", "blaendal", "1000ms")}
	for num := range fillers {
		name := fmt.Sprintf("r-%04d", num)
		routes = append(routes, fleet.Route(name, fmt.Sprintf("h%04d.example", num), "/xapu221/ny95/", "safe", "blaendal", fmt.Sprintf("%dms", 1000+version)))
	}
	if pay {
		routes = append(routes, fleet.Route("pay", host, "/pay/", "unsafe", "blaendal", "1000ms"))
	}
	return fleet.Configuration(version, routes, []map[string]any{fleet.Service("blaendal", false)})
}

func run(fle *fleet.Fleet, trouble bool) int {
	rec := fle.Record
	if err := fle.Start(4, 2); err != nil {
		rec.Printf("start: %v", err)
		return 2
	}
	var lost atomic.Bool
	var ran atomic.Int64
	var workers []*fleet.Worker
	for num := range allWorkers {
		wor := &fleet.Worker{
			ID:      fmt.Sprint("i-", num+1),
			Service: "blaendal",
			Zone:    fleet.ZoneName(num),
			Slots:   4,
		}
		wor.Answer = func(wri http.ResponseWriter, req *http.Request) {
			time.Sleep(40 * time.Millisecond)
			if num < lossyWorkers && lost.Load() && ran.Add(1)*lostShare%100 < lostShare {
				panic(http.ErrAbortHandler) // the answer is lost
			}
			_, _ = wri.Write([]byte(req.Header.Get("Foxtailpulley-Attempt-Id")))
		}
		if err := wor.Begin(fle); err != nil {
			rec.Printf("worker: %v", err)
			return 2
		}
		workers = append(workers, wor)
	}
	for version := 1; version <= changes+1; version++ {
		if !fle.Put(configuration(version, version == changes+1), 10*time.Second) {
			rec.Printf("version %d has no acknowledgement", version)
			return 2
		}
		rec.Printf("version %d acknowledged, route pay: %t", version, version == changes+1)
		time.Sleep(gap)
	}
	for _, pro := range fle.Controls {
		files, _ := filepath.Glob(filepath.Join(fle.Folder, pro.Name, "data", "root", "snapshot-*"))
		rec.Printf("%s has snapshots %d", pro.Name, len(files))
	}
	for _, pro := range fle.Entries {
		if !pro.AwaitReady(10 * time.Second) {
			rec.Printf("%s is not ready", pro.Name)
			return 2
		}
	}
	time.Sleep(2 * apply)
	lost.Store(true)
	cli := newClients(fle)
	cli.start()
	time.Sleep(3 * time.Second)
	if trouble {
		var wgr sync.WaitGroup
		all := append(append([]*fleet.Process{}, fle.Controls...), fle.Entries...)
		for _, pro := range all {
			wgr.Go(pro.Kill)
		}
		wgr.Wait()
		time.Sleep(down)
		for _, pro := range all {
			if err := pro.Start(false); err != nil {
				rec.Printf("start: %v", err)
				return 2
			}
		}
	}
	time.Sleep(6 * time.Second)
	cli.stop()
	return check(fle, workers, cli)
}

// check counts the runs of each request.
func check(fle *fleet.Fleet, workers []*fleet.Worker, cli *clients) int {
	rec := fle.Record
	runs := map[string][]fleet.Run{}
	total := 0
	for _, wor := range workers {
		for _, one := range wor.Runs() {
			runs[one.Attempt] = append(runs[one.Attempt], one)
			total++
		}
	}
	broken := 0
	for _, sen := range cli.all() {
		all := runs[sen.attempt]
		rec.Printf("request %s sent to %s at %.3f, answered %d at %.3f, runs %d", sen.attempt, sen.entry, rec.Since(sen.at), sen.status, rec.Since(sen.ended), len(all))
		for _, one := range all {
			rec.Printf("  run at %s at %.3f", one.Worker, rec.Since(one.At))
		}
		if len(all) > 1 {
			broken++
		}
	}
	rec.Printf("requests %d, runs %d, requests that ran more than once %d", len(cli.all()), total, broken)
	switch {
	case total == 0:
		return 2
	case broken > 0:
		return 1
	}
	return 0
}

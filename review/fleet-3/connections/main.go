// Command connections sends the lookups of two zones in bursts while one of the two entry VMs of each is lost. Each request comes on a
// new connection, which its client keeps open for reuse for four fifths of the idle timeout.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/review/fleet-3"
)

const (
	host = "a.example"
	// descriptors is what a machine has for sockets: 4,100, of which 200 are reserved for files.
	descriptors = 3900
	// perSecond is the rate of the lookups of the zone wrecsam of cwtsh-gw on a day of high load: 292 requests a second, of which 6.0 in
	// 8.28 are lookups. burst is the factor of a burst.
	perSecond = 292 * 6.0 / 8.28
	burst     = 1.7
	// zones is the number of zones with two entry VMs each, of which one is lost.
	zones = 2
	// ends is how often a process has to end by itself to count, and longest the time for that.
	ends    = 3
	longest = 45 * time.Second
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// keep is how long a client keeps an idle connection: four fifths of the idle timeout of 15 s.
	keep     = 12 * time.Second
	deadline = time.Second
)

func main() {
	program := flag.String("program", "", "the gateway's executable")
	folder := flag.String("folder", "", "a temporary folder")
	record := flag.String("record", "", "the file for the record")
	trouble := flag.Bool("trouble", true, "lose an entry VM in each zone, and send bursts")
	flag.Parse()
	rec, err := fleet.NewRecord(*record)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	fle := &fleet.Fleet{
		Program:     *program,
		Folder:      *folder,
		Record:      rec,
		Losses:      1,
		Descriptors: descriptors,
	}
	code := run(fle, *trouble)
	fle.Stop()
	rec.Printf("exit %d", code)
	os.Exit(code)
}

func run(fle *fleet.Fleet, trouble bool) int {
	rec := fle.Record
	if err := fle.Start(4, 2*zones); err != nil {
		rec.Printf("start: %v", err)
		return 2
	}
	var workers []*fleet.Worker
	for num := range 16 {
		wor := &fleet.Worker{
			ID:      fmt.Sprint("i-", num+1),
			Service: "stoc",
			Zone:    fleet.ZoneName(num),
			Slots:   12,
			Work:    71 * time.Millisecond,
		}
		if err := wor.Begin(fle); err != nil {
			rec.Printf("worker: %v", err)
			return 2
		}
		workers = append(workers, wor)
	}
	cfg := fleet.Configuration(1, []map[string]any{fleet.Route("all", host, "/lepu270/", "safe", "stoc", "1000ms")},
		[]map[string]any{fleet.Service("stoc", false)})
	if !fle.Put(cfg, 10*time.Second) {
		rec.Printf("the configuration has no acknowledgement")
		return 2
	}
	for _, pro := range fle.Entries {
		if !pro.AwaitReady(10 * time.Second) {
			rec.Printf("%s is not ready", pro.Name)
			return 2
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, pro := range fle.Entries[zones:] {
			pro.Kill() // the second VM of its zone
		}
		time.Sleep(2 * time.Second)
	}
	cli := &clients{
		record: rec,
	}
	var wgr sync.WaitGroup
	until := time.Now().Add(longest)
	for zone := range zones {
		rotation := []*fleet.Process{fle.Entries[zone]}
		if !trouble {
			rotation = append(rotation, fle.Entries[zones+zone])
		}
		wgr.Go(func() { cli.run(zone, rotation, until, trouble) })
	}
	wgr.Wait()
	time.Sleep(2 * deadline) // the last requests are answered or given up
	for _, wor := range workers {
		rec.Printf("worker %s ran %d requests", wor.ID, len(wor.Runs()))
	}
	broken := 0
	for _, pro := range fle.Entries {
		rec.Printf("%s ended by itself %d times", pro.Name, pro.OwnEnds)
		if pro.OwnEnds >= ends {
			broken++
		}
	}
	rec.Printf("requests %d, served %d, failed %d, VMs that ended by themselves %d times: %d", cli.sent.Load(), cli.served.Load(), cli.failed.Load(), ends, broken)
	switch {
	case cli.served.Load() == 0:
		return 2
	case broken >= 2:
		return 1
	}
	return 0
}

// clients send the requests of the zones.
type clients struct {
	record                     *fleet.Record
	wgr                        sync.WaitGroup
	sent, served, failed, open atomic.Int64
}

// run sends the requests of a zone to the entry VMs in rotation, until the time is over or one of these has ended often enough. It starts
// a process again that has ended, as the platform does.
func (cli *clients) run(zone int, rotation []*fleet.Process, until time.Time, trouble bool) {
	rate := perSecond
	if trouble {
		rate *= burst
	}
	began := time.Now()
	for num := 0; time.Now().Before(until); num++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(num) / rate * float64(time.Second)))))
		pro := rotation[num%len(rotation)]
		if !pro.Running() {
			if pro.OwnEnds >= ends {
				return
			}
			time.Sleep(restartDelay)
			if pro.Start(false) != nil || !pro.AwaitReady(10*time.Second) {
				cli.record.Printf("%s does not start", pro.Name)
				return
			}
			began, num = time.Now(), 0
		}
		attempt := fmt.Sprintf("%02x%06x%08x", zone, pro.OwnEnds, num)
		cli.wgr.Go(func() { cli.request(pro, attempt) })
		if num%1000 == 0 {
			cli.record.Printf("%s: requests %d since its start, memory %d KiB; connections open %d, served %d, failed %d", pro.Name, num, pro.MemoryKiB(),
				cli.open.Load(), cli.served.Load(), cli.failed.Load())
		}
	}
}

// request sends one request on a new connection, and keeps the connection for reuse.
func (cli *clients) request(pro *fleet.Process, attempt string) {
	cli.sent.Add(1)
	con, err := net.DialTimeout("tcp", pro.Callers, time.Second)
	if err != nil {
		cli.failed.Add(1)
		return
	}
	defer func() { _ = con.Close() }()
	cli.open.Add(1)
	defer cli.open.Add(-1)
	fmt.Fprintf(con, "GET /lepu270/2f HTTP/1.1\r\nHost: %s\r\nFoxtailpulley-Attempt-Id: %s\r\nFoxtailpulley-Request-Deadline: %d\r\n\r\n",
		host, attempt, deadline.Milliseconds())
	_ = con.SetReadDeadline(time.Now().Add(deadline + 200*time.Millisecond))
	red := bufio.NewReader(con)
	res, err := http.ReadResponse(red, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err != nil || res.StatusCode != http.StatusOK {
		cli.failed.Add(1)
		cli.record.Printf("request %s sent to %s, not answered: %v", attempt, pro.Name, err)
		return
	}
	cli.served.Add(1)
	cli.record.Printf("request %s sent to %s, answered %d", attempt, pro.Name, res.StatusCode)
	_ = con.SetReadDeadline(time.Now().Add(keep))
	_, _ = red.ReadByte() // until the entry VM closes the connection, or the time is over
}

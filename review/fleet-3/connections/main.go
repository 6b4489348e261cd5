// Command connections sends the lookups of one zone in bursts while one of its two entry VMs is lost. Each request comes on a new
// connection, which its client keeps open for reuse for four fifths of the idle timeout.
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
	// 8.28 are lookups. burst is the factor of a burst, and burstLength its length.
	perSecond   = 292 * 6.0 / 8.28
	burst       = 1.7
	burstLength = 5 * time.Second
	bursts      = 4
	// keep is how long a client keeps an idle connection: four fifths of the idle timeout of 15 s.
	keep     = 12 * time.Second
	deadline = time.Second
)

func main() {
	program := flag.String("program", "", "the gateway's executable")
	folder := flag.String("folder", "", "a temporary folder")
	record := flag.String("record", "", "the file for the record")
	trouble := flag.Bool("trouble", true, "lose one entry VM, and send bursts")
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
		EntryZone:   fleet.ZoneName(0),
	}
	code := run(fle, *trouble)
	fle.Stop()
	rec.Printf("exit %d", code)
	os.Exit(code)
}

func run(fle *fleet.Fleet, trouble bool) int {
	rec := fle.Record
	if err := fle.Start(4, 2); err != nil {
		rec.Printf("start: %v", err)
		return 2
	}
	for num := range 8 {
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
	rotation := fle.Entries
	if trouble {
		fle.Entries[1].Kill()
		time.Sleep(2 * time.Second)
		rotation = fle.Entries[:1]
	}
	cli := &clients{
		record: rec,
	}
	cli.run(rotation, trouble)
	cli.wgr.Wait()
	ends := 0
	for _, pro := range fle.Entries {
		ends += pro.OwnEnds
	}
	rec.Printf("requests %d, served %d, failed %d, processes that ended by themselves %d", cli.sent.Load(), cli.served.Load(), cli.failed.Load(), ends)
	switch {
	case cli.served.Load() == 0:
		return 2
	case ends > 0:
		return 1
	}
	return 0
}

// clients send the requests of a zone.
type clients struct {
	record                     *fleet.Record
	wgr                        sync.WaitGroup
	sent, served, failed, open atomic.Int64
}

// run sends requests at the rate of the zone, in bursts if there is trouble, until the bursts are over or an entry VM has ended.
func (cli *clients) run(rotation []*fleet.Process, trouble bool) {
	rate := perSecond
	if trouble {
		rate *= burst
	}
	began := time.Now()
	for num := 0; time.Since(began) < bursts*burstLength; num++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(num) / rate * float64(time.Second)))))
		pro := rotation[num%len(rotation)]
		if !pro.Running() {
			return
		}
		cli.wgr.Go(func() { cli.request(pro, fmt.Sprintf("%016x", num)) })
		if num%500 == 0 {
			cli.record.Printf("requests %d, connections open %d, served %d, failed %d, memory of %s %d KiB", num, cli.open.Load(), cli.served.Load(),
				cli.failed.Load(), pro.Name, pro.MemoryKiB())
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
		cli.record.Printf("request %s sent to %s failed: %v", attempt, pro.Name, err)
		return
	}
	cli.served.Add(1)
	_ = con.SetReadDeadline(time.Now().Add(keep))
	_, _ = red.ReadByte() // until the entry VM closes the connection, or the time is over
}

// Command crashingbody shows that a request with a body of 200,000 bytes that crashes its workers is sent to further workers without
// end.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/review/fleet"
)

const (
	contact = 4 * time.Second
	// backAfter is how long a crashed worker is away.
	backAfter = 2 * time.Second
	bodyBytes = 200_000
	attempts  = 24
	interval  = 2500 * time.Millisecond
)

func main() {
	os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0"))
}

// arrivals are the arrivals of the request at workers, and the crashes that it caused.
type arrivals struct {
	mutex   sync.Mutex
	at      []time.Time
	crashes []time.Time
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
	zones := []string{"caerdydd", "bangor", "abertawe", "wrecsam"}
	var seen arrivals
	for num := range 12 {
		service := "charges"
		if num%3 == 2 {
			service = "lookups"
		}
		go runWorker(ctx, rec, fle, &seen, num, service, zones[num%4], trouble)
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
	clients := cli.Run(ctx, 8, 40*time.Millisecond)
	time.Sleep(2 * time.Second)
	big := &fleet.Client{
		Record:   rec,
		Deadline: time.Second,
	}
	body := strings.Repeat("x", bodyBytes)
	for num := range attempts {
		big.Send(fle.Entries[num%len(fle.Entries)], http.MethodPost, "once.example", "/once/same", body)
		time.Sleep(interval)
	}
	cancel()
	clients.Wait()
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	late := 0
	if len(seen.crashes) >= 3 {
		for _, at := range seen.at {
			if at.Sub(seen.crashes[2]) > contact {
				late++
			}
		}
	}
	served := 0
	for _, ans := range cli.Answers() {
		if ans.Status == http.StatusOK {
			served++
		}
	}
	text := fmt.Sprintf("%d of %d other requests served; the request reached workers %d times in %d attempts and crashed %d; %d times it was later than %v after the third crash",
		served, len(cli.Answers()), len(seen.at), attempts, len(seen.crashes), late, contact)
	rec.Printf("%s", text)
	fmt.Println(text)
	switch {
	case served < len(cli.Answers())/2 || len(seen.at) == 0:
		return 2
	case late > 3:
		return 1
	default:
		return 0
	}
}

// runWorker runs a worker that crashes when it begins to run the request, and starts again with another id. It returns when ctx ends.
func runWorker(ctx context.Context, rec *fleet.Record, fle *fleet.Fleet, seen *arrivals, num int, service, zone string, trouble bool) {
	address := ""
	for life := 0; ctx.Err() == nil; life++ {
		wor := &fleet.Worker{
			ID:      fmt.Sprintf("i-%04x%04x", num, life),
			Service: service,
			Zone:    zone,
			Address: address,
			Record:  rec,
		}
		crashed := make(chan struct{})
		var once sync.Once
		wor.OnRequest = func(wri http.ResponseWriter, req *http.Request) {
			if req.URL.Path != "/once/same" {
				wor.Serve(wri, req)
				return
			}
			seen.mutex.Lock()
			seen.at = append(seen.at, time.Now())
			seen.mutex.Unlock()
			if !trouble {
				wor.Serve(wri, req)
				return
			}
			for buf := make([]byte, 1<<16); ; {
				if _, err := req.Body.Read(buf); err != nil {
					break
				}
			}
			once.Do(func() {
				rec.Printf("worker %s begins to run attempt %s and crashes", wor.ID, req.Header.Get("Foxtailpulley-Attempt-Id"))
				seen.mutex.Lock()
				seen.crashes = append(seen.crashes, time.Now())
				seen.mutex.Unlock()
				wor.Exit()
				close(crashed)
			})
			panic(http.ErrAbortHandler)
		}
		if err := wor.Start(); err != nil {
			rec.Printf("worker %s: %v", wor.ID, err)
			return
		}
		address = wor.Address
		alive, end := context.WithCancel(ctx)
		go wor.Announce(alive, fle.ControlAddresses(), num)
		select {
		case <-ctx.Done():
		case <-crashed:
		}
		end()
		if ctx.Err() != nil {
			wor.Exit()
			return
		}
		time.Sleep(backAfter)
		rec.Printf("worker %s is back", wor.ID)
	}
}

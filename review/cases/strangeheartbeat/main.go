// Command strangeheartbeat shows that a heartbeat of another writer, for a service that no configuration names, takes the keys from the
// worker whose address it names.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/foxtailpulley/foxtailpulley/review/fleet"
)

// maxOverlap is the longest time for which two workers may hold the same keys.
const maxOverlap = 500 * time.Millisecond

func main() {
	os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0"))
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
	var workers []*fleet.Worker
	for num := range 8 {
		wor := &fleet.Worker{
			ID:      fmt.Sprintf("i-%08x", 0x1000+num),
			Service: "stock",
			Zone:    zones[num%4],
			Record:  rec,
			Work:    func(*http.Request) time.Duration { return 71 * time.Millisecond },
		}
		if err := wor.Start(); err != nil {
			return fail(err)
		}
		workers = append(workers, wor)
		go wor.Announce(ctx, fle.ControlAddresses(), num)
	}
	if err := fle.AwaitReady(20 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(5 * time.Second)
	cli := &fleet.Client{
		Entries:  fle.Entries,
		Record:   rec,
		Deadline: time.Second,
	}
	for range 12 {
		go func() {
			for cnt := 0; ctx.Err() == nil; cnt++ {
				cli.Send(fle.Entries[cnt%4], http.MethodGet, "keyed.example", fmt.Sprintf("/keyed/%d", cnt), "")
				time.Sleep(30 * time.Millisecond)
			}
		}()
	}
	longest := make(chan string, 1)
	go func() { longest <- watch(ctx, rec, workers) }()
	time.Sleep(4 * time.Second)
	if trouble {
		buf, err := json.Marshal(map[string]any{
			"service":   "somebody-elses",
			"address":   workers[0].Address,
			"zone":      "caerdydd",
			"version":   "v1",
			"slots":     4,
			"state":     "ready",
			"cold_left": "0ms",
			"seq":       1,
			"born":      time.Now().UnixMilli(),
		})
		if err != nil {
			return fail(err)
		}
		status, _, err := fleet.Call(fle.Controls[0].Control, "instances.heartbeat", "i-0000ffff", buf)
		rec.Printf("another writer sends %s: status %d, error %v", buf, status, err)
	}
	time.Sleep(12 * time.Second)
	cancel()
	text := <-longest
	served := 0
	for _, ans := range cli.Answers() {
		if ans.Status == http.StatusOK {
			served++
		}
	}
	summary := fmt.Sprintf("%d of %d requests served; %s", served, len(cli.Answers()), text)
	rec.Printf("%s", summary)
	fmt.Println(summary)
	switch {
	case served < len(cli.Answers())/2:
		return 2
	case text != noOverlap:
		return 1
	default:
		return 0
	}
}

const noOverlap = "no keys were held by two workers for over half a second"

// watch returns the longest time for which two workers held the same keys.
func watch(ctx context.Context, rec *fleet.Record, workers []*fleet.Worker) string {
	type pair struct{ one, other int }
	since := map[pair]time.Time{}
	longest, text := maxOverlap, noOverlap
	for ctx.Err() == nil {
		now := time.Now()
		for one := range workers {
			for other := one + 1; other < len(workers); other++ {
				pai := pair{one, other}
				count, first := fleet.Overlap(now, &workers[one].Keys, &workers[other].Keys)
				if count == 0 {
					delete(since, pai)
					continue
				}
				if _, ok := since[pai]; !ok {
					since[pai] = now
					rec.Printf("workers %s and %s both hold %d keys, such as %d", workers[one].ID, workers[other].ID, count, first)
				}
				if length := now.Sub(since[pai]); length > longest {
					longest = length
					text = fmt.Sprintf("workers %s and %s both held %d keys, such as %d, for %v", workers[one].ID, workers[other].ID, count, first, length.Round(time.Millisecond))
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return text
}

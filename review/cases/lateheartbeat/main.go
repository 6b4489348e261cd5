// Command lateheartbeat shows that a worker that has deregistered gets requests again when its first heartbeat arrives late.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/foxtailpulley/foxtailpulley/review/fleet"
)

const (
	drain = 2500 * time.Millisecond
	work  = 93 * time.Millisecond
	// lateBy is how late the first heartbeat arrives.
	lateBy = 3 * time.Second
	// servesOn is how long the worker serves after the acknowledgement.
	servesOn = 9 * time.Second
)

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
	for num := range 8 {
		wor := &fleet.Worker{
			ID:      fmt.Sprintf("i-%08x", 0x1000+num),
			Service: []string{"charges", "lookups"}[num%2],
			Zone:    zones[num/2],
			Record:  rec,
			Work:    func(*http.Request) time.Duration { return work },
		}
		if err := wor.Start(); err != nil {
			return fail(err)
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
	clients := cli.Run(ctx, 24, 20*time.Millisecond)
	time.Sleep(2 * time.Second)

	wor := &fleet.Worker{
		ID:      "i-00002000",
		Service: "charges",
		Zone:    "caerdydd",
		Record:  rec,
		Work:    func(*http.Request) time.Duration { return work },
	}
	if err := wor.Start(); err != nil {
		return fail(err)
	}
	delay := time.Duration(0)
	if trouble {
		delay = lateBy
	}
	go sendLate(rec, fle.Controls[0].Control, wor, delay)
	time.Sleep(800 * time.Millisecond)
	var acked time.Time
	for _, address := range fle.ControlAddresses()[1:] {
		status, _, err := fleet.Call(address, "instances.deregister", wor.ID, wor.DeregisterBody())
		rec.Printf("worker %s deregisters at %s: status %d, error %v", wor.ID, address, status, err)
		if err == nil && status == 200 {
			acked = time.Now()
			break
		}
	}
	if acked.IsZero() {
		return fail(fmt.Errorf("the departure was not acknowledged"))
	}
	time.Sleep(servesOn)
	wor.Exit()
	rec.Printf("worker %s exits", wor.ID)
	time.Sleep(time.Second)
	cancel()
	clients.Wait()
	late := 0
	attempts := map[string]bool{}
	for _, arr := range wor.Arrivals() {
		if arr.At.Sub(acked) > drain {
			late++
			attempts[arr.Attempt] = true
		}
	}
	served, cut := 0, 0
	for _, ans := range cli.Answers() {
		if ans.Status == 200 {
			served++
		}
		if attempts[ans.Attempt] && ans.Status != 200 {
			cut++
		}
	}
	text := fmt.Sprintf("%d of %d requests served; %d requests reached the worker later than %v after its departure was acknowledged, %d of them got no success",
		served, len(cli.Answers()), late, drain, cut)
	rec.Printf("%s", text)
	fmt.Println(text)
	if served < len(cli.Answers())/2 {
		return 2
	}
	if late > 0 {
		return 1
	}
	return 0
}

// sendLate sends the worker's first heartbeat over a path that delivers its bytes after a delay. The worker gives up after a second.
func sendLate(rec *fleet.Record, address string, wor *fleet.Worker, delay time.Duration) {
	body := wor.HeartbeatBody("ready")
	time.Sleep(delay)
	con, err := net.Dial("tcp", address)
	if err != nil {
		rec.Printf("heartbeat: %v", err)
		return
	}
	defer func() { _ = con.Close() }()
	fmt.Fprintf(con, "POST /rpc?call=instances.heartbeat&of=%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", wor.ID, address, len(body), body)
	buf := make([]byte, 4096)
	_ = con.SetReadDeadline(time.Now().Add(2 * time.Second))
	num, err := con.Read(buf)
	rec.Printf("heartbeat of worker %s, delivered %v late, answered with %q, error %v", wor.ID, delay, buf[:min(num, 15)], err)
}

// Program crashing sends a request that crashes each worker that runs it, again and again, while the leader of the control VMs is killed and
// started again from time to time. With TROUBLE=0 no control VM is killed.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpworker"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/review/standins-2/fleet"
)

const (
	// contact is the bound of a small site, see SYSTEM.md.
	contact = 4 * time.Second
	// workers is the number of workers of the service, of which one at a time is down after a crash, for workerDown.
	workers    = 8
	workerDown = 2 * time.Second
	// interval is the time between two attempts of the request.
	interval = time.Second
	// kills is the number of times that the leader is killed, leaderDown for how long it is down, and calm the least time between two kills.
	kills      = 5
	leaderDown = time.Second
	calm       = 10 * time.Second
	// played is how long the request is sent.
	played = 90 * time.Second
	// allowed is the number of retries that rule BUDGET allows.
	allowed = 3
	// heartbeat is the time between two heartbeats of a worker.
	heartbeat = 870 * time.Millisecond
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

func play(fle *fleet.Fleet, trouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, dataCentre := range fleet.DataCentres {
		if _, err := fle.AddControl(dataCentre); err != nil {
			return false, err
		}
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
	ser := newService(ctx, fle)
	for num := range workers {
		if err := ser.start(num, ""); err != nil {
			return false, err
		}
	}
	ope := fleet.NewOperator(fle.Record)
	cfg := fleet.Configuration(1, []fleet.Service{{Name: "orders"}}, []fleet.Route{
		{Name: "orders", Prefix: "/orders/", Kind: "unsafe", Service: "orders"},
	})
	if ope.Put(core, 1, cfg, 10*time.Second) == nil {
		return false, fmt.Errorf("the configuration was not acknowledged")
	}
	time.Sleep(8 * time.Second)
	cli := fleet.NewClient(fle.Record)
	if served := serve(cli, fle); served < 15 {
		return false, fmt.Errorf("only %d of 20 requests were served before the disruption", served)
	}
	others := make(chan int, 1)
	go func() { others <- serveOn(ctx, cli, fle) }()
	killer := newKiller(fle)
	began := time.Now()
	for num := 0; time.Since(began) < played; num++ {
		next := time.Now().Add(interval)
		attempt := fleet.NewAttempt()
		ser.crashOn(attempt)
		cli.Do(fle.Entries[num%len(fle.Entries)], fleet.Request{
			Attempt: attempt,
			Method:  http.MethodPost,
			Path:    "/orders/crash",
			Key:     -1,
		})
		// The third crash comes once the first refusal has ended. Each kill comes a second or more after a further one.
		if all := ser.list(); trouble && len(all) >= 3+killer.count && time.Since(all[len(all)-1].at) > time.Second {
			if err := killer.killLeader(); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(next))
	}
	cancel()
	served := <-others
	killer.wait()
	return judge(fle, ser, killer, served), nil
}

// judge applies the rule: the retries that reached a worker, sent later than contact after the third crash by machines in touch, which is
// when no control VM was killed or started within contact before.
func judge(fle *fleet.Fleet, ser *service, kil *killer, served int) bool {
	all := ser.list()
	counted := 0
	for num, cra := range all {
		late := num >= 3 && cra.sent.After(all[2].at.Add(contact))
		calm := kil.calmAt(cra.sent)
		fle.Record.Write("crash %d: attempt %s, sent more than %v after the third: %t, by a machine in touch: %t", num+1, cra.attempt, contact, late, calm)
		if late && calm {
			counted++
		}
	}
	fle.Record.Write("%d crashes, %d retries count, rule BUDGET allows %d; %d kills of the leader; %d other requests served", len(all), counted, allowed, kil.count, served)
	return counted > allowed
}

// crash is one end of a worker.
type crash struct {
	attempt  string
	sent, at time.Time
}

// service holds the workers of the service.
type service struct {
	ctx   context.Context
	fleet *fleet.Fleet

	mutex   sync.Mutex
	lives   int
	sent    map[string]time.Time // when the attempts that crash workers were sent
	crashes []crash
}

func newService(ctx context.Context, fle *fleet.Fleet) *service {
	return &service{
		ctx:   ctx,
		fleet: fle,
		sent:  map[string]time.Time{},
	}
}

// crashOn makes the worker that runs an attempt crash. The attempt is sent now.
func (ser *service) crashOn(attempt string) {
	ser.mutex.Lock()
	defer ser.mutex.Unlock()
	ser.sent[attempt] = time.Now()
}

// list returns the crashes in their order.
func (ser *service) list() []crash {
	ser.mutex.Lock()
	defer ser.mutex.Unlock()
	return append([]crash(nil), ser.crashes...)
}

// start starts a worker: the project's own stand-in, at an address, or at a new one if that is "". Each start has a new id.
func (ser *service) start(num int, address string) error {
	ser.mutex.Lock()
	ser.lives++
	id := fmt.Sprintf("i-orders-%d", ser.lives)
	ser.mutex.Unlock()
	ctx, cancel := context.WithCancel(ser.ctx)
	var wor *fpworker.Worker
	wor = fpworker.New(fpworker.Config{
		Upstream: &fpstate.Upstream{
			Id:          id,
			Born:        uint64(time.Now().UnixMilli()),
			Service:     "orders",
			Address:     address,
			DataCentre:  fleet.DataCentres[num%len(fleet.DataCentres)],
			Version:     "v1",
			Concurrency: 3,
		},
		ServiceTime: 10 * time.Millisecond,
		Queue:       12,
		Fault: func(attempt string) fpworker.Fault {
			if !ser.crash(attempt, id) {
				return fpworker.None
			}
			cancel()
			go func() {
				time.Sleep(20 * time.Millisecond) // it has begun to run the request
				wor.Close()
				time.Sleep(workerDown)
				if err := ser.start(num, wor.Upstream().GetAddress()); err != nil {
					ser.fleet.Record.Write("worker %d did not start again: %v", num, err)
				}
			}()
			return fpworker.Silent
		},
	})
	if err := wor.Listen(); err != nil {
		cancel()
		return err
	}
	var addresses []string
	for _, vm := range ser.fleet.Controls {
		addresses = append(addresses, vm.Control)
	}
	ser.fleet.Record.Write("worker %s started", id)
	go wor.Announce(ctx, &http.Client{}, addresses, heartbeat)
	return nil
}

// crash records the crash of a worker if an attempt causes one, and reports whether it does.
func (ser *service) crash(attempt, worker string) bool {
	ser.mutex.Lock()
	defer ser.mutex.Unlock()
	sent, ok := ser.sent[attempt]
	if !ok {
		return false
	}
	ser.crashes = append(ser.crashes, crash{
		attempt: attempt,
		sent:    sent,
		at:      time.Now(),
	})
	ser.fleet.Record.Write("worker %s runs attempt %s and crashes, crash %d", worker, attempt, len(ser.crashes))
	return true
}

// serve sends 20 requests that crash nothing, and returns how many were served.
func serve(cli *fleet.Client, fle *fleet.Fleet) int {
	served := 0
	for num := range 20 {
		if ans := cli.Do(fle.Entries[num%len(fle.Entries)], order(num)); ans.Status == http.StatusOK && ans.Signed {
			served++
		}
	}
	return served
}

// serveOn sends such requests until ctx ends, and returns how many were served.
func serveOn(ctx context.Context, cli *fleet.Client, fle *fleet.Fleet) int {
	served := 0
	for num := 0; ctx.Err() == nil; num++ {
		if ans := cli.Do(fle.Entries[num%len(fle.Entries)], order(num)); ans.Status == http.StatusOK && ans.Signed {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return served
}

// order returns a request that crashes nothing.
func order(num int) fleet.Request {
	return fleet.Request{
		Attempt: fleet.NewAttempt(),
		Method:  http.MethodPost,
		Path:    fmt.Sprintf("/orders/%d", num),
		Key:     -1,
	}
}

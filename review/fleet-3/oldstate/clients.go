package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/review/fleet-3"
)

// sent is one request of a client, which has an id of its own and is never sent again under it.
type sent struct {
	attempt, entry string
	at, ended      time.Time
	status         int // 0: no answer
}

// clients send requests that must run at most once to all entry VMs.
type clients struct {
	fleet  *fleet.Fleet
	cancel context.CancelFunc
	wgr    sync.WaitGroup
	mutex  sync.Mutex
	sent   []sent
}

func newClients(fle *fleet.Fleet) *clients {
	return &clients{
		fleet: fle,
	}
}

const (
	perEntry = 6
	pause    = 40 * time.Millisecond
	deadline = time.Second
)

func (cli *clients) start() {
	ctx, cancel := context.WithCancel(context.Background())
	cli.cancel = cancel
	for num, pro := range cli.fleet.Entries {
		for one := range perEntry {
			cli.wgr.Go(func() { cli.run(ctx, pro, fmt.Sprintf("%02x%02x", num, one)) })
		}
	}
}

func (cli *clients) stop() {
	cli.cancel()
	cli.wgr.Wait()
}

func (cli *clients) all() []sent {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	return append([]sent{}, cli.sent...)
}

// run sends one request after the other, each on a new connection.
func (cli *clients) run(ctx context.Context, pro *fleet.Process, prefix string) {
	client := &http.Client{
		Timeout: deadline,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	for num := 0; ctx.Err() == nil; num++ {
		one := sent{
			attempt: fmt.Sprintf("%s%012x", prefix, num),
			entry:   pro.Name,
			at:      time.Now(),
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+pro.Callers+"/pay/2f", bytes.NewReader([]byte("charge "+one.attempt)))
		if err != nil {
			return
		}
		req.Host = host
		req.Header.Set("Foxtailpulley-Attempt-Id", one.attempt)
		req.Header.Set("Foxtailpulley-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
		res, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			one.status = res.StatusCode
		}
		one.ended = time.Now()
		cli.mutex.Lock()
		cli.sent = append(cli.sent, one)
		cli.mutex.Unlock()
		time.Sleep(pause)
	}
}

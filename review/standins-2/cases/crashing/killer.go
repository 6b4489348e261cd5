package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/review/standins-2/fleet"
)

// killer kills the leader of the control VMs.
type killer struct {
	fleet *fleet.Fleet
	// count is the number of kills.
	count  int
	last   time.Time
	starts sync.WaitGroup

	mutex sync.Mutex
	// events are the times of kills and starts.
	events []time.Time
}

func newKiller(fle *fleet.Fleet) *killer {
	return &killer{
		fleet: fle,
	}
}

// killLeader kills the leader and starts it again after leaderDown. It has no effect beyond the number of kills, or sooner than calm after
// the last one.
func (kil *killer) killLeader() error {
	if kil.count >= kills || time.Since(kil.last) < calm {
		return nil
	}
	vm := kil.leader()
	if vm == nil {
		return fmt.Errorf("no log tells which control VM leads")
	}
	kil.count++
	kil.last = time.Now()
	vm.Kill()
	kil.record()
	kil.fleet.Record.Write("%s, which led, was killed: kill %d", vm.Name, kil.count)
	kil.starts.Go(func() {
		time.Sleep(leaderDown)
		if err := vm.Start(); err != nil {
			kil.fleet.Record.Write("%s did not start: %v", vm.Name, err)
		}
		kil.record()
	})
	return nil
}

// wait waits for the starts.
func (kil *killer) wait() { kil.starts.Wait() }

func (kil *killer) record() {
	kil.mutex.Lock()
	defer kil.mutex.Unlock()
	kil.events = append(kil.events, time.Now())
}

// calmAt reports whether no control VM was killed or started within contact before a time.
func (kil *killer) calmAt(at time.Time) bool {
	kil.mutex.Lock()
	defer kil.mutex.Unlock()
	for _, event := range kil.events {
		if !event.After(at) && at.Sub(event) <= contact {
			return false
		}
	}
	return true
}

// leader returns the control VM whose log tells of the newest leadership, or nil.
func (kil *killer) leader() *fleet.VM {
	var leader *fleet.VM
	newest := uint64(0)
	for _, vm := range kil.fleet.Controls {
		if term := lastTerm(filepath.Join(kil.fleet.Folder, vm.Name+".log")); term > newest {
			leader, newest = vm, term
		}
	}
	return leader
}

// lastTerm returns the last term in which a control VM led, by its log, or 0.
func lastTerm(path string) uint64 {
	fil, err := os.Open(path)
	if err != nil {
		return 0
	}
	defer func() { _ = fil.Close() }()
	last := uint64(0)
	lines := bufio.NewScanner(fil)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct {
			Message string `json:"msg"`
			Term    uint64 `json:"term"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "placement of keys started" {
			last = max(last, line.Term)
		}
	}
	return last
}

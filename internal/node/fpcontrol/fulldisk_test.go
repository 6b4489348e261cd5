package fpcontrol

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestFullDisksInTurn guards against control VMs that refuse changes, or leave them unanswered, long after the disks of all of them were full
// for a few seconds, one after another. The changes are so large that segments and snapshots begin meanwhile.
func TestFullDisksInTurn(t *testing.T) {
	const (
		fullFor = 2 * time.Second
		// ack is within how long a change is acknowledged by some VM.
		ack       = 4 * time.Second
		documents = 700 << 10 // bytes
	)
	var full atomic.Value // name of the VM whose disk is full
	full.Store("")
	var failed atomic.Int64
	clu := startCluster(t, 3, cluster{
		write: func(vm string, fil *os.File, buf []byte) (int, error) {
			if full.Load() != vm {
				return fil.Write(buf)
			}
			failed.Add(1)
			num, _ := fil.Write(buf[:len(buf)/3])
			return num, syscall.ENOSPC
		},
	})
	clu.waitForVoters(3)
	revision := 0
	put := func(during string) {
		t.Helper()
		revision++
		document := fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":%q}]}`, revision, strings.Repeat("s", documents))
		for began, num := time.Now(), 0; ; num++ {
			err := clu.operator.Put(t.Context(), clu.seeds[num%3], []byte(document))
			if err == nil {
				return
			}
			if time.Since(began) > ack {
				t.Fatalf("%s: change %d is not acknowledged after %v: %v", during, revision, ack, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	put("at the start")
	// The leader is among them, and the last round ends with the disk of the one that leads by then.
	for _, vm := range append(append([]string{}, clu.seeds...), "the leader") {
		if vm == "the leader" {
			vm = clu.waitForPlacement().cfg.VM
		}
		before := failed.Load()
		full.Store(vm)
		for end := time.Now().Add(fullFor); time.Now().Before(end); {
			put("while a disk is full")
			time.Sleep(50 * time.Millisecond)
		}
		full.Store("")
		if failed.Load() == before {
			t.Errorf("VM %s wrote nothing while its disk was full", vm)
		}
	}
	for range 20 {
		put("after all disks have room again")
	}
	clu.waitForRevision(uint64(revision))
	for vm, run := range clu.vms {
		if run.control.storage.Snapshot().Index == 0 {
			t.Errorf("VM %s has no snapshot after %d changes", vm, revision)
		}
	}
	for _, vm := range clu.seeds {
		clu.stop(vm)
		clu.start(vm, false)
	}
	clu.waitForRevision(uint64(revision))
}

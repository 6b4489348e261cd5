package fpgroup

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// fixedMachine is a machine whose state never changes.
type fixedMachine struct{ state []byte }

func (fix *fixedMachine) Apply(Position, []byte) []byte { return nil }
func (fix *fixedMachine) Snapshot() ([]byte, error)     { return bytes.Clone(fix.state), nil }
func (fix *fixedMachine) Restore(snapshot []byte) error { fix.state = snapshot; return nil }

// cluster is a group of three VMs in one process, with real disks and direct calls instead of a network.
type cluster struct {
	tb        testing.TB
	dir       string
	stateSize int
	mu        sync.Mutex
	groups    map[string]*Group
	logs      map[string]*fplog.Log
	cancels   map[string]func()
}

// newCluster starts a cluster whose machines have a state of size bytes.
func newCluster(tb testing.TB, stateSize int) *cluster {
	clu := &cluster{
		tb:        tb,
		dir:       tb.TempDir(),
		stateSize: stateSize,
		groups:    map[string]*Group{},
		logs:      map[string]*fplog.Log{},
		cancels:   map[string]func(){},
	}
	for _, name := range []string{"a", "b", "c"} {
		clu.start(name)
	}
	tb.Cleanup(func() {
		for _, name := range []string{"a", "b", "c"} {
			clu.stop(name)
		}
	})
	return clu
}

func (clu *cluster) start(name string) {
	sto, err := fplog.Open(filepath.Join(clu.dir, name), fplog.Config{})
	if err != nil {
		clu.tb.Fatal(err)
	}
	gro, err := New(Config{
		Name:    "g",
		VM:      name,
		Storage: sto,
		Voters:  []Member{{VM: "a"}, {VM: "b"}, {VM: "c"}},
		Machine: &fixedMachine{
			state: make([]byte, clu.stateSize),
		},
		Send: func(_ context.Context, vm string, msgs []*fpwire.GroupMessage) {
			if target := clu.group(vm); target != nil {
				for _, msg := range msgs {
					target.Step(msg)
				}
			}
		},
	})
	if err != nil {
		clu.tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := gro.Run(ctx)
	clu.mu.Lock()
	defer clu.mu.Unlock()
	clu.groups[name] = gro
	clu.logs[name] = sto
	clu.cancels[name] = func() {
		cancel()
		if err := <-done; err != nil {
			clu.tb.Error(err)
		}
		_ = sto.Close()
	}
}

func (clu *cluster) group(name string) *Group {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	return clu.groups[name]
}

func (clu *cluster) stop(name string) {
	clu.mu.Lock()
	stop := clu.cancels[name]
	delete(clu.groups, name)
	delete(clu.cancels, name)
	clu.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// leader waits until a VM leads and returns its name and group.
func (clu *cluster) leader() (string, *Group) {
	for {
		for _, name := range []string{"a", "b", "c"} {
			if gro := clu.group(name); gro != nil {
				if _, err := gro.Leadership(context.Background()); err == nil {
					return name, gro
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// proposeMany proposes count commands of 200 bytes from the given number of concurrent callers.
func (clu *cluster) proposeMany(gro *Group, count, callers int) {
	var proposers sync.WaitGroup
	for num := range callers {
		proposers.Go(func() {
			for range count / callers {
				cmd := bytes.Repeat([]byte{byte(num + 1)}, 200)
				if _, _, err := gro.Propose(context.Background(), cmd); err != nil {
					clu.tb.Errorf("propose: %v", err)
					return
				}
			}
		})
	}
	proposers.Wait()
}

// BenchmarkPropose measures the rate of committed proposals, and how many of them share an fsync.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 256, 2048} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			clu := newCluster(b, 0)
			_, gro := clu.leader()
			before := gro.Status().Counters.Batches
			count := max(b.N/callers, 1) * callers
			b.ResetTimer()
			clu.proposeMany(gro, count, callers)
			b.ReportMetric(float64(count)/b.Elapsed().Seconds(), "proposals/s")
			b.ReportMetric(float64(count)/float64(gro.Status().Counters.Batches-before), "proposals/fsync")
		})
	}
}

// BenchmarkCatchUp measures the time until a restarted voter has applied what it missed.
func BenchmarkCatchUp(b *testing.B) {
	for _, missed := range []int{1000, 20000, 200000} {
		b.Run(fmt.Sprint(missed), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				clu := newCluster(b, 16<<20)
				name, gro := clu.leader()
				other := map[string]string{"a": "b", "b": "c", "c": "a"}[name]
				clu.stop(other)
				clu.proposeMany(gro, missed, 200)
				goal := gro.Status().Applied.Index
				b.StartTimer()
				clu.start(other)
				for clu.group(other).Status().Applied.Index < goal {
					time.Sleep(time.Millisecond)
				}
				b.StopTimer()
				b.ReportMetric(float64(clu.group(other).Status().Counters.Installs), "snapshots")
				for _, vm := range []string{"a", "b", "c"} {
					clu.stop(vm)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures how long it takes to store a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []int{1 << 20, 64 << 20} {
		b.Run(fmt.Sprintf("%dMiB", size>>20), func(b *testing.B) {
			sto, err := fplog.Open(filepath.Join(b.TempDir(), "log"), fplog.Config{})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = sto.Close() }()
			data := make([]byte, size)
			index := uint64(0)
			for b.Loop() {
				index++
				if err := sto.SaveSnapshot(fplog.Snapshot{Term: 1, Index: index, Data: data}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

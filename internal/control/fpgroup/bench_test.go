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

// blob is a machine with a state of a fixed size.
type blob struct{ state []byte }

func (blo *blob) Apply(Position, []byte) []byte { return nil }
func (blo *blob) Snapshot() ([]byte, error)     { return bytes.Clone(blo.state), nil }
func (blo *blob) Restore(snapshot []byte) error { blo.state = snapshot; return nil }

// trio is a group of three VMs in one process with real disks and without a network.
type trio struct {
	b       testing.TB
	dir     string
	size    int
	mutex   sync.Mutex
	groups  map[string]*Group
	logs    map[string]*fplog.Log
	cancels map[string]func()
}

func newTrio(b testing.TB, size int) *trio {
	tri := &trio{
		b:       b,
		dir:     b.TempDir(),
		size:    size,
		groups:  map[string]*Group{},
		logs:    map[string]*fplog.Log{},
		cancels: map[string]func(){},
	}
	for _, name := range []string{"a", "b", "c"} {
		tri.start(name)
	}
	b.Cleanup(func() {
		for _, name := range []string{"a", "b", "c"} {
			tri.stop(name)
		}
	})
	return tri
}

func (tri *trio) start(name string) {
	sto, err := fplog.Open(filepath.Join(tri.dir, name), fplog.Config{})
	if err != nil {
		tri.b.Fatal(err)
	}
	gro, err := New(Config{
		Name:    "g",
		VM:      name,
		Storage: sto,
		Voters:  []Member{{VM: "a"}, {VM: "b"}, {VM: "c"}},
		Machine: &blob{
			state: make([]byte, tri.size),
		},
		Send: func(_ context.Context, vm string, msgs []*fpwire.GroupMessage) {
			if tar := tri.group(vm); tar != nil {
				for _, msg := range msgs {
					tar.Step(msg)
				}
			}
		},
	})
	if err != nil {
		tri.b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := gro.Run(ctx)
	tri.mutex.Lock()
	defer tri.mutex.Unlock()
	tri.groups[name] = gro
	tri.logs[name] = sto
	tri.cancels[name] = func() {
		cancel()
		if err := <-done; err != nil {
			tri.b.Error(err)
		}
		_ = sto.Close()
	}
}

func (tri *trio) group(name string) *Group {
	tri.mutex.Lock()
	defer tri.mutex.Unlock()
	return tri.groups[name]
}

func (tri *trio) stop(name string) {
	tri.mutex.Lock()
	end := tri.cancels[name]
	delete(tri.groups, name)
	delete(tri.cancels, name)
	tri.mutex.Unlock()
	if end != nil {
		end()
	}
}

func (tri *trio) leader() (string, *Group) {
	for {
		for _, name := range []string{"a", "b", "c"} {
			if gro := tri.group(name); gro != nil {
				if _, err := gro.Lead(context.Background()); err == nil {
					return name, gro
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// load proposes count commands of 200 bytes with the given number of callers.
func (tri *trio) load(gro *Group, count, callers int) {
	var running sync.WaitGroup
	for num := range callers {
		running.Go(func() {
			for range count / callers {
				cmd := bytes.Repeat([]byte{byte(num + 1)}, 200)
				if _, _, err := gro.Propose(context.Background(), cmd); err != nil {
					tri.b.Errorf("propose: %v", err)
					return
				}
			}
		})
	}
	running.Wait()
}

// BenchmarkPropose measures proposals that a majority has synced.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 256, 2048} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			tri := newTrio(b, 0)
			_, gro := tri.leader()
			before := gro.Status().Counters.Batches
			count := max(b.N/callers, 1) * callers
			b.ResetTimer()
			tri.load(gro, count, callers)
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
				tri := newTrio(b, 16<<20)
				name, gro := tri.leader()
				other := map[string]string{"a": "b", "b": "c", "c": "a"}[name]
				tri.stop(other)
				tri.load(gro, missed, 200)
				goal := gro.Status().Applied.Index
				b.StartTimer()
				tri.start(other)
				for tri.group(other).Status().Applied.Index < goal {
					time.Sleep(time.Millisecond)
				}
				b.StopTimer()
				b.ReportMetric(float64(tri.group(other).Status().Counters.Installs), "snapshots")
				for _, vm := range []string{"a", "b", "c"} {
					tri.stop(vm)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures how long it takes to store a snapshot and to open the log again.
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

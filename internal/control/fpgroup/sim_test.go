package fpgroup

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// fault is one step of a schedule.
type fault struct {
	Kind   string
	A, B   int
	Length int
	// Gap is the time in milliseconds until the next fault starts, whether this one has ended or not.
	Gap int
}

func drawFaults(rt *rapid.T) []fault {
	kinds := []string{"cut", "oneWay", "isolate", "pause", "suspend", "restart", "loseDisk", "transfer", "loss", "full", "rest"}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
		return fault{
			Kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
			A:      rapid.IntRange(0, 4).Draw(rt, "a"),
			B:      rapid.IntRange(0, 4).Draw(rt, "b"),
			Length: rapid.IntRange(1, 900).Draw(rt, "ms"),
			Gap:    rapid.IntRange(0, 900).Draw(rt, "gap"),
		}
	}), 1, 10).Draw(rt, "faults")
}

// inject runs one fault.
func (wor *world) inject(flt fault) {
	nod := wor.nodes[wor.names[flt.A%len(wor.names)]]
	other := wor.names[flt.B%len(wor.names)]
	length := time.Duration(flt.Length) * time.Millisecond
	switch flt.Kind {
	case "cut", "oneWay":
		wor.setCut(nod.name, other, true)
		wor.setCut(other, nod.name, flt.Kind == "cut")
		time.Sleep(length)
		wor.setCut(nod.name, other, false)
		wor.setCut(other, nod.name, false)
	case "isolate":
		wor.isolate(nod.name, true)
		time.Sleep(length)
		wor.isolate(nod.name, false)
	case "pause", "suspend":
		nod.pause(length, flt.Kind == "suspend")
	case "restart":
		nod.restarting <- struct{}{}
		nod.stop()
		time.Sleep(length / 4)
		nod.start()
		<-nod.restarting
	case "loseDisk":
		// The group tolerates the loss of a minority, so the next disk may be lost only after a repair was reported done.
		wor.losses <- struct{}{}
		nod.restarting <- struct{}{}
		nod.loseDisk()
		wor.repair(nod.name)
		<-nod.restarting
		<-wor.losses
	case "transfer":
		if led := wor.leader(); led != nil {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			if gro := led.group(); gro != nil {
				_ = gro.TransferLeadership(ctx, other)
			}
			cancel()
		}
	case "loss":
		wor.mutex.Lock()
		wor.loss = 0.1
		wor.mutex.Unlock()
		time.Sleep(length)
		wor.mutex.Lock()
		wor.loss = 0
		wor.mutex.Unlock()
	case "full":
		nod.full.Store(true)
		time.Sleep(length)
		nod.full.Store(false)
	default:
		time.Sleep(length)
	}
}

// simulate runs clients during the faults and returns the problems found.
func simulate(t *testing.T, seed uint64, count int, faults []fault) (problems []string, ops int) {
	synctest.Test(t, func(t *testing.T) {
		wor := newWorld(t, seed, count)
		ctx, cancel := context.WithCancel(context.Background())
		watching, unwatch := context.WithCancel(context.Background())
		var running, injected, watcher sync.WaitGroup
		watcher.Go(func() { wor.watch(watching) })
		wor.leader()
		for number := range 3 {
			running.Go(func() { wor.client(ctx, number) })
		}
		time.Sleep(200 * time.Millisecond)
		for _, flt := range faults {
			injected.Go(func() { wor.inject(flt) })
			time.Sleep(time.Duration(flt.Gap) * time.Millisecond)
		}
		injected.Wait()
		cancel()
		running.Wait()
		wor.heal()
		unwatch()
		watcher.Wait()
		wor.stopAll()
		problems, ops = wor.problems, len(wor.ops)
	})
	return problems, ops
}

// TestFaults guards against two leaders, lost acknowledged commands, diverging logs and stale reads under random faults.
func TestFaults(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faults := drawFaults(rt)
		count := rapid.SampledFrom([]int{3, 5}).Draw(rt, "nodes")
		problems, ops := simulate(t, seed, count, faults)
		total += ops
		if len(problems) > 0 {
			rt.Fatalf("seed %d: %s", seed, strings.Join(problems[:min(5, len(problems))], "\n"))
		}
	})
	fmt.Printf("operations checked: %d\n", total)
}

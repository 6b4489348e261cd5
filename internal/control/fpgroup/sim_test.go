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

// fault is one step of a schedule of faults.
type fault struct {
	Kind string
	// A and B choose the nodes; most faults use only A.
	A, B int
	// Length is the duration of the fault in milliseconds.
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

// inject causes one fault and returns when it has ended.
func (sim *simulation) inject(flt fault) {
	nod := sim.nodes[sim.names[flt.A%len(sim.names)]]
	other := sim.names[flt.B%len(sim.names)]
	duration := time.Duration(flt.Length) * time.Millisecond
	switch flt.Kind {
	case "cut", "oneWay":
		sim.setCut(nod.name, other, true)
		sim.setCut(other, nod.name, flt.Kind == "cut")
		time.Sleep(duration)
		sim.setCut(nod.name, other, false)
		sim.setCut(other, nod.name, false)
	case "isolate":
		sim.isolate(nod.name, true)
		time.Sleep(duration)
		sim.isolate(nod.name, false)
	case "pause", "suspend":
		nod.pause(duration, flt.Kind == "suspend")
	case "restart":
		nod.restarting <- struct{}{}
		nod.stop()
		time.Sleep(duration / 4)
		nod.start()
		<-nod.restarting
	case "loseDisk":
		// The group tolerates only the loss of a minority, so the next disk may be lost only after the repair has finished.
		sim.diskLosses <- struct{}{}
		nod.restarting <- struct{}{}
		nod.loseDisk()
		sim.repair(nod.name)
		<-nod.restarting
		<-sim.diskLosses
	case "transfer":
		if leader := sim.waitForLeader(); leader != nil {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			if gro := leader.group(); gro != nil {
				_ = gro.TransferLeadership(ctx, other)
			}
			cancel()
		}
	case "loss":
		sim.mu.Lock()
		sim.lossRate = 0.1
		sim.mu.Unlock()
		time.Sleep(duration)
		sim.mu.Lock()
		sim.lossRate = 0
		sim.mu.Unlock()
	case "full":
		nod.diskFull.Store(true)
		time.Sleep(duration)
		nod.diskFull.Store(false)
	default:
		time.Sleep(duration)
	}
}

// simulate runs clients on a group of count nodes during the faults. It returns the violations of the safety rules and the
// number of operations in the history.
func simulate(t *testing.T, seed uint64, count int, faults []fault) (problems []string, ops int) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, seed, count)
		ctx, cancel := context.WithCancel(context.Background())
		watchCtx, stopWatching := context.WithCancel(context.Background())
		var clients, injections, watchers sync.WaitGroup
		watchers.Go(func() { sim.watchLeaders(watchCtx) })
		sim.waitForLeader()
		for number := range 3 {
			clients.Go(func() { sim.runClient(ctx, number) })
		}
		time.Sleep(200 * time.Millisecond)
		for _, flt := range faults {
			injections.Go(func() { sim.inject(flt) })
			time.Sleep(time.Duration(flt.Gap) * time.Millisecond)
		}
		injections.Wait()
		cancel()
		clients.Wait()
		sim.heal()
		stopWatching()
		watchers.Wait()
		sim.stopAndCheck()
		problems, ops = sim.problems, len(sim.ops)
	})
	return problems, ops
}

// TestRandomFaults guards against two leaders at a time, lost acknowledged commands, diverging logs and stale reads under
// random sequences of network, disk, process and clock faults.
func TestRandomFaults(t *testing.T) {
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

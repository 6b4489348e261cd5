package fpgrant

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// disturb applies one drawn fault to the model.
func disturb(mod *model, kind, who int, dur time.Duration) {
	names := []string{"a", "b", "c"}
	name := names[who%len(names)]
	var newest *process
	for _, pro := range mod.procs {
		if pro.ups.GetName() == name {
			newest = pro
		}
	}
	var vm *entryVM
	for _, one := range mod.vms {
		if one.name == []string{"v", "w"}[who%2] {
			vm = one
		}
	}
	mod.note("fault %d on %s or %s/%d for %v", kind, name, vm.name, vm.inc, dur)
	switch kind {
	case 0:
		newest.frozen = mod.now.Add(dur)
	case 1:
		newest.dead = true
	case 2: // a new incarnation while the old process may only be frozen
		newest.frozen = mod.now.Add(dur)
		mod.start(name, newest.ups.GetChecksFence(), newest.ups.GetConcurrency())
	case 3:
		vm.frozen = mod.now.Add(dur)
	case 4: // requests of the dead VM go on
		vm.dead = true
		mod.startVM(vm.name, vm.inc+1)
	case 5:
		mod.kee = nil
		mod.after(dur/4, func() { mod.elect(true) })
	case 6:
		mod.kee = nil
		mod.elect(who%2 == 0)
	case 8: // the VM still reaches the upstreams
		vm.cut = mod.now.Add(dur)
	case 9: // the upstream still gets requests
		newest.cut = mod.now.Add(dur)
	case 10:
		mod.hot = !mod.hot
	case 7:
		newest.ups.Draining = !newest.ups.GetDraining()
	}
}

// runModel runs a drawn schedule of faults, then a calm time.
func runModel(rt *rapid.T, checks []bool) *model {
	mod := newModel(rapid.Uint64().Draw(rt, "seed"))
	mod.hot = rapid.Bool().Draw(rt, "hot")
	for i, name := range []string{"a", "b", "c"} {
		mod.start(name, checks[i], 1)
	}
	mod.startVM("v", 1)
	mod.startVM("w", 1)
	mod.runFor(2500 * time.Millisecond)
	for range rapid.IntRange(0, 12).Draw(rt, "faults") {
		kind := rapid.IntRange(0, 10).Draw(rt, "kind")
		who := rapid.IntRange(0, 5).Draw(rt, "who")
		dur := time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond
		disturb(mod, kind, who, dur)
		mod.runFor(time.Duration(rapid.IntRange(0, 2500).Draw(rt, "pause")) * time.Millisecond)
	}
	return mod
}

// TestOneOwner guards against two processes that may both run a request for one slot, under delays longer than the
// lease, lost and repeated messages, freezes, restarts and changes of the leader. Afterwards every slot must be served;
// one that rebalancing moves may pause for a deadline.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checks := rapid.SliceOfN(rapid.Bool(), 3, 3).Draw(rt, "checks")
		mod := runModel(rt, checks)
		if mod.fault == "" {
			mod.calm = true
			for i, name := range []string{"a", "b", "c"} {
				mod.start(name, checks[i], 1)
			}
			mod.runFor(12 * time.Second)
		}
		if mod.fault != "" {
			rt.Fatalf("%s\n%s", mod.fault, strings.Join(mod.trace[max(0, len(mod.trace)-60):], "\n"))
		}
		unserved := map[item]bool{}
		for _, ite := range items() {
			unserved[ite] = true
		}
		for end := mod.now.Add(modelDeadline + 2*time.Second); len(unserved) > 0; mod.step() {
			maps.DeleteFunc(unserved, func(ite item, _ bool) bool {
				return slices.ContainsFunc(mod.procs, func(pro *process) bool { return pro.able(ite) != "" })
			})
			if mod.now.After(end) {
				slo, _ := mod.tab.Slot(modelService, 0, "")
				key, _ := mod.tab.Slot(modelService, 0, "k")
				rt.Fatalf("slots %v are not served after a calm time; slot 0 %+v, key %+v, keeper %+v\n%s", unserved, slo, key, mod.kee.Dump(mod.now),
					strings.Join(mod.trace[max(0, len(mod.trace)-60):], "\n"))
			}
		}
	})
}

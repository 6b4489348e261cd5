package fpsystem_test

import (
	"testing"
	"time"
)

// centreGroups is a layout of two data centres of one region with a group for each: two voters there and one in the other.
// The root group has its majority in the data centre a.
func centreGroups() layout {
	at := func(name, dataCentre string) place {
		return place{
			name:       name,
			dataCentre: dataCentre,
			region:     "r",
		}
	}
	return layout{
		vms: []place{at("a1", "a"), at("a2", "a"), at("b1", "b"), at("b2", "b")},
		groups: []groupSetting{
			{
				Name:   "root",
				Voters: []string{"a1", "a2", "b1"},
				Scope:  []string{},
			},
			{
				Name:   "a",
				Voters: []string{"a1", "a2", "b1"},
				Scope:  []string{"a"},
			},
			{
				Name:   "b",
				Voters: []string{"b1", "b2", "a1"},
				Scope:  []string{"b"},
			},
		},
		homes: func(string) []map[string]any {
			return []map[string]any{
				{
					"group":     "a",
					"firstSlot": 0,
					"lastSlot":  slots/2 - 1,
				},
				{
					"group":     "b",
					"firstSlot": slots / 2,
					"lastSlot":  slots - 1,
				},
			}
		},
	}
}

// TestCentreCut guards, in the layout with a group for each data centre, against a data centre that stops serving its own
// keys when it is cut off, against unkeyed calls that fail in any data centre, and against keyed calls that a side without
// their group runs or leaves open.
func TestCentreCut(t *testing.T) {
	t.Parallel()
	const (
		interval = 20 * time.Millisecond
		lasting  = 4 * time.Second
	)
	sys := newSystem(t, centreGroups())
	sys.addRegions()
	sides := map[string][]string{
		"a": {"a1", "a2"},
		"b": {"b1", "b2"},
	}
	keys := map[string]string{
		"a": sys.keyAt("a1", "a"),
		"b": sys.keyAt("a1", "b"),
	}
	for _, vm := range sys.vms() {
		for _, req := range []request{
			{
				path: planGet,
				key:  keys["a"],
			},
			{
				path: planGet,
				key:  keys["b"],
			},
			{
				path: switchRead,
			},
		} {
			req.vm = vm
			sys.awaitServed(req)
		}
	}
	keyed, unkeyed := map[string]*load{}, map[string]*load{}
	for centre, vms := range sides {
		keyed[centre] = sys.startLoad(interval, keyedLoad(keys[centre], vms...))
		unkeyed[centre] = sys.startLoad(interval, func(num int) request {
			return request{
				vm:       vms[num%len(vms)],
				path:     switchRead,
				deadline: 5 * time.Second,
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	cut := time.Now()
	sys.network.cut([]string{"a1", "a2", "plan-a", "switch-a"}, []string{"b1", "b2", "plan-b", "switch-b"})
	sys.checkSide(cut, sides["a"], keys["a"], keys["b"])
	sys.checkSide(cut, sides["b"], keys["b"], keys["a"])
	time.Sleep(time.Until(cut.Add(lasting)))
	for centre := range sides {
		t.Logf("keyed calls of data centre %s:", centre)
		sys.checkGaps(keyed[centre].results(), cut, recoveryTarget)
		t.Logf("unkeyed calls in data centre %s:", centre)
		sys.checkGaps(unkeyed[centre].results(), cut, recoveryTarget)
	}
	sys.network.heal()
	healed := time.Now()
	for _, vm := range sys.vms() {
		for _, key := range keys {
			sys.awaitServed(request{
				vm:   vm,
				path: planGet,
				key:  key,
			})
		}
	}
	compare(t, "all keys served through every VM after the cut", time.Since(healed), recoveryTarget)
	sys.checkOwners()
}

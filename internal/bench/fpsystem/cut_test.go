package fpsystem_test

import (
	"testing"
	"time"
)

// groupPerDataCentre returns a layout of two data centres in one region with a group for each. The group has two voters in
// its data centre and one in the other, and is home to one half of the slots. The root group has two of its three voters in
// data centre a.
func groupPerDataCentre() layout {
	newLocation := func(name, dataCentre string) location {
		return location{
			name:       name,
			dataCentre: dataCentre,
			region:     "r",
		}
	}
	return layout{
		vms: []location{newLocation("a1", "a"), newLocation("a2", "a"), newLocation("b1", "b"), newLocation("b2", "b")},
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

// TestDataCentreCut cuts the link between two data centres that have a group each. Each must go on serving the keys of its
// own group and unkeyed calls, and must answer calls for keys of the other group with outcome notRun.
func TestDataCentreCut(t *testing.T) {
	t.Parallel()
	const (
		interval    = 20 * time.Millisecond
		cutDuration = 4 * time.Second
	)
	sys := newSystem(t, groupPerDataCentre())
	sys.addUpstreamsPerDataCentre()
	sides := map[string][]string{
		"a": {"a1", "a2"},
		"b": {"b1", "b2"},
	}
	keys := map[string]string{
		"a": sys.keyOwnedIn("a1", "a"),
		"b": sys.keyOwnedIn("a1", "b"),
	}
	for _, vm := range sys.vmNames() {
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
		keyed[centre] = sys.startLoad(interval, keyedRequests(keys[centre], vms...))
		unkeyed[centre] = sys.startLoad(interval, func(num int) request {
			return request{
				vm:       vms[num%len(vms)],
				path:     switchRead,
				deadline: 5 * time.Second,
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	// A data centre that is cut off from the leader of its group has to elect another one before its tables expire.
	t.Logf("leader of group a: %s, of group b: %s", sys.awaitLeader("a1", "a").vm, sys.awaitLeader("b1", "b").vm)
	cutAt := time.Now()
	sys.network.cut([]string{"a1", "a2", "plan-a", "switch-a"}, []string{"b1", "b2", "plan-b", "switch-b"})
	sys.checkPartitionSide(cutAt, sides["a"], keys["a"], keys["b"])
	sys.checkPartitionSide(cutAt, sides["b"], keys["b"], keys["a"])
	time.Sleep(time.Until(cutAt.Add(cutDuration)))
	for centre := range sides {
		t.Logf("keyed calls of data centre %s:", centre)
		sys.reportLongestGap(keyed[centre].stopAndCollect(), cutAt, recoveryTarget)
		t.Logf("unkeyed calls in data centre %s:", centre)
		sys.reportLongestGap(unkeyed[centre].stopAndCollect(), cutAt, recoveryTarget)
	}
	sys.network.heal()
	healedAt := time.Now()
	for _, vm := range sys.vmNames() {
		for _, key := range keys {
			sys.awaitServed(request{
				vm:   vm,
				path: planGet,
				key:  key,
			})
		}
	}
	reportDuration(t, "all keys served through every VM after the cut", time.Since(healedAt), recoveryTarget)
	sys.checkExclusiveOwnership()
}

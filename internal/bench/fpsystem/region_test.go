package fpsystem_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// twoRegions returns a layout of five VMs in two regions. The root group has three voters in region v and two in region o. The
// group of each region has two of its three voters there and is home to one half of the slots.
func twoRegions() layout {
	newLocation := func(name, dataCentre, region string) location {
		return location{
			name:       name,
			dataCentre: dataCentre,
			region:     region,
		}
	}
	return layout{
		vms: []location{
			newLocation("va1", "va", "v"),
			newLocation("va2", "va", "v"),
			newLocation("vb1", "vb", "v"),
			newLocation("oa1", "oa", "o"),
			newLocation("ob1", "ob", "o"),
		},
		groups: []groupSetting{
			{
				Name:   "root",
				Voters: []string{"va1", "va2", "vb1", "oa1", "ob1"},
				Scope:  []string{},
			},
			{
				Name:   "v",
				Voters: []string{"va1", "vb1", "oa1"},
				Scope:  []string{"va", "vb"},
			},
			{
				Name:   "o",
				Voters: []string{"oa1", "ob1", "va2"},
				Scope:  []string{"oa", "ob"},
			},
		},
		homes: func(string) []map[string]any {
			return []map[string]any{
				{
					"group":     "v",
					"firstSlot": 0,
					"lastSlot":  slots/2 - 1,
				},
				{
					"group":     "o",
					"firstSlot": slots / 2,
					"lastSlot":  slots - 1,
				},
			}
		},
	}
}

// addUpstreamsPerDataCentre starts a keyed and an unkeyed upstream in every data centre, named plan- and switch- with the data
// centre, and waits until all slots have owners.
func (sys *system) addUpstreamsPerDataCentre() {
	sys.t.Helper()
	for _, centre := range sys.dataCentres() {
		sys.addUpstream(location{
			name:       "plan-" + centre,
			dataCentre: centre,
		}, planService)
		sys.addUpstream(location{
			name:       "switch-" + centre,
			dataCentre: centre,
		}, switchService)
	}
	sys.eventually("all slots of the keyed service have owners", func() bool { return sys.ownedSlots(planService) == slots })
}

// keyOwnedIn returns a key whose owner was started by addUpstreamsPerDataCentre in one of the data centres.
func (sys *system) keyOwnedIn(vm string, dataCentres ...string) string {
	sys.t.Helper()
	for num := range 1000 {
		key := fmt.Sprintf("key-%d", num)
		owner := sys.owner(vm, key)
		for _, centre := range dataCentres {
			if owner == "plan-"+centre {
				return key
			}
		}
	}
	sys.t.Fatalf("no key has its owner in %v", dataCentres)
	return ""
}

// TestRegionsCut cuts the link between two regions. Only the region with the majority of the root group may change the
// configuration. Each region must serve the keys of its own group, and every data centre must serve unkeyed calls.
func TestRegionsCut(t *testing.T) {
	t.Parallel()
	sys := newSystem(t, twoRegions())
	sys.addUpstreamsPerDataCentre()
	west, east := []string{"va1", "va2", "vb1"}, []string{"oa1", "ob1"}
	westKey, eastKey := sys.keyOwnedIn("va1", "va", "vb"), sys.keyOwnedIn("va1", "oa", "ob")
	for _, vm := range sys.vmNames() {
		sys.awaitServed(request{
			vm:   vm,
			path: switchRead,
		})
	}
	before := sys.replaceConfiguration("va1", "before", 1, stateTimeout)
	westSide := append([]string{"plan-va", "plan-vb", "switch-va", "switch-vb"}, west...)
	eastSide := append([]string{"plan-oa", "plan-ob", "switch-oa", "switch-ob"}, east...)
	cutAt := time.Now()
	sys.network.cut(westSide, eastSide)

	sys.checkPartitionSide(cutAt, west, westKey, eastKey)
	sys.checkPartitionSide(cutAt, east, eastKey, westKey)
	current := sys.configuration("oa1")
	for num, vm := range east {
		start := time.Now()
		res, err := sys.applyConfiguration(change{
			vm:       vm,
			id:       fmt.Sprintf("minority-%d", num),
			expected: current.GetVersion(),
			next:     numbered(current.GetConfiguration(), 50+num),
		})
		if err == nil {
			t.Errorf("the minority accepted a change: %v", res)
		}
		if errorKindOf(err) != "noQuorum" {
			t.Errorf("the minority refused a change with kind %q, want noQuorum: %v", errorKindOf(err), err)
		}
		t.Logf("%s refused a change after %v: %v", vm, time.Since(start), err)
	}
	accepted := sys.replaceConfiguration("va2", "majority", 2, time.Second)
	t.Logf("the majority accepted version %v, unconfirmed on %v", accepted.GetAccepted(), accepted.GetUnconfirmed())
	if accepted.GetInForce() || !isOlder(before.GetAccepted(), accepted.GetAccepted()) {
		t.Errorf("the majority answered a change with %v, want a version after %v that is not in force", accepted, before.GetAccepted())
	}
	sys.network.heal()
	healedAt := time.Now()
	for _, vm := range sys.vmNames() {
		sys.awaitVersion(vm, accepted.GetAccepted())
		reportDuration(t, "majority's configuration in force on "+vm+" after the cut", time.Since(healedAt), configurationTarget)
		if got := sys.configuration(vm); !proto.Equal(got.GetVersion(), accepted.GetAccepted()) || numberOf(got.GetConfiguration()) != 2 {
			t.Errorf("VM %s has configuration %v with number %d", vm, got.GetVersion(), numberOf(got.GetConfiguration()))
		}
	}
	for _, vm := range sys.vmNames() {
		for _, key := range []string{westKey, eastKey} {
			sys.awaitServed(request{
				vm:   vm,
				path: planGet,
				key:  key,
			})
		}
	}
	sys.checkExclusiveOwnership()
}

// checkPartitionSide checks the VMs on one side of a cut, from 2 seconds after the cut. Each must serve a key of its own side
// and unkeyed calls, and must refuse calls for a key of the other side with outcome notRun.
func (sys *system) checkPartitionSide(cutAt time.Time, vms []string, ownKey, foreignKey string) {
	sys.t.Helper()
	time.Sleep(time.Until(cutAt.Add(2 * time.Second)))
	for _, vm := range vms {
		for path, key := range map[string]string{
			planGet:    ownKey,
			switchRead: "",
		} {
			took := sys.awaitServed(request{
				vm:   vm,
				path: path,
				key:  key,
			})
			reportDuration(sys.t, path+" through "+vm+" during the cut", took, recoveryTarget)
		}
		for _, path := range []string{planGet, planSet} {
			req := request{
				vm:   vm,
				path: path,
				key:  foreignKey,
				id:   newRequestID(sys.t),
			}
			if rep := sys.do(req); rep.ok() || rep.outcome != "notRun" {
				sys.t.Errorf("%s of the other side's key through %s was answered with %v, want outcome notRun", path, vm, rep)
			}
		}
	}
}

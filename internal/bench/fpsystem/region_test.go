package fpsystem_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// twoRegions is a layout of five VMs in two regions. The root group has three voters in the region v and two in the region
// o. The group of each region has a majority there, and homes one half of the slots.
func twoRegions() layout {
	at := func(name, dataCentre, region string) place {
		return place{
			name:       name,
			dataCentre: dataCentre,
			region:     region,
		}
	}
	return layout{
		vms: []place{
			at("va1", "va", "v"),
			at("va2", "va", "v"),
			at("vb1", "vb", "v"),
			at("oa1", "oa", "o"),
			at("ob1", "ob", "o"),
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

// addRegions starts a keyed and an unkeyed upstream in every data centre.
func (sys *system) addRegions() {
	sys.t.Helper()
	for _, centre := range sys.dataCentres() {
		sys.addUpstream(place{
			name:       "plan-" + centre,
			dataCentre: centre,
		}, planService)
		sys.addUpstream(place{
			name:       "switch-" + centre,
			dataCentre: centre,
		}, switchService)
	}
	sys.eventually("all slots of the keyed service have owners", func() bool { return sys.ownedSlots(planService) == slots })
}

// keyAt returns a key that is served by an upstream in one of some data centres.
func (sys *system) keyAt(vm string, centres ...string) string {
	sys.t.Helper()
	for num := range 1000 {
		key := fmt.Sprintf("key-%d", num)
		owner := sys.owner(vm, key)
		for _, centre := range centres {
			if owner == "plan-"+centre {
				return key
			}
		}
	}
	sys.t.Fatalf("no key has its owner in %v", centres)
	return ""
}

// TestRegionsCut guards against a minority that changes the configuration, a majority that cannot, keys that are not served
// in the region of their group, and unkeyed calls that fail in a data centre.
func TestRegionsCut(t *testing.T) {
	t.Parallel()
	sys := newSystem(t, twoRegions())
	sys.addRegions()
	west, east := []string{"va1", "va2", "vb1"}, []string{"oa1", "ob1"}
	westKey, eastKey := sys.keyAt("va1", "va", "vb"), sys.keyAt("va1", "oa", "ob")
	for _, vm := range sys.vms() {
		sys.awaitServed(request{
			vm:   vm,
			path: switchRead,
		})
	}
	before := sys.replace("va1", "before", 1, patience)
	westSide := append([]string{"plan-va", "plan-vb", "switch-va", "switch-vb"}, west...)
	eastSide := append([]string{"plan-oa", "plan-ob", "switch-oa", "switch-ob"}, east...)
	cut := time.Now()
	sys.network.cut(westSide, eastSide)

	sys.checkSide(cut, west, westKey, eastKey)
	sys.checkSide(cut, east, eastKey, westKey)
	now := sys.configuration("oa1")
	for num, vm := range east {
		began := time.Now()
		res, err := sys.apply(change{
			vm:       vm,
			id:       fmt.Sprintf("minority-%d", num),
			expected: now.GetVersion(),
			next:     numbered(now.GetConfiguration(), 50+num),
		})
		if err == nil {
			t.Errorf("the minority accepted a change: %v", res)
		}
		if kindOf(err) != "noQuorum" {
			t.Errorf("the minority answered kind %q: %v", kindOf(err), err)
		}
		t.Logf("%s refused a change after %v: %v", vm, time.Since(began), err)
	}
	accepted := sys.replace("va2", "majority", 2, time.Second)
	t.Logf("the majority accepted %v, unconfirmed %v", accepted.GetAccepted(), accepted.GetUnconfirmed())
	if accepted.GetInForce() || !older(before.GetAccepted(), accepted.GetAccepted()) {
		t.Errorf("the majority answered %v after %v", accepted, before.GetAccepted())
	}
	sys.network.heal()
	healed := time.Now()
	for _, vm := range sys.vms() {
		sys.awaitVersion(vm, accepted.GetAccepted())
		compare(t, "majority's configuration in force on "+vm+" after the cut", time.Since(healed), configurationTarget)
		if got := sys.configuration(vm); !proto.Equal(got.GetVersion(), accepted.GetAccepted()) || numberOf(got.GetConfiguration()) != 2 {
			t.Errorf("VM %s has configuration %v with number %d", vm, got.GetVersion(), numberOf(got.GetConfiguration()))
		}
	}
	for _, vm := range sys.vms() {
		for _, key := range []string{westKey, eastKey} {
			sys.awaitServed(request{
				vm:   vm,
				path: planGet,
				key:  key,
			})
		}
	}
	sys.checkOwners()
}

// checkSide checks one side of a cut: it serves its own key and unkeyed calls in every data centre, and refuses the key of
// the other side as not run.
func (sys *system) checkSide(cut time.Time, vms []string, own, foreign string) {
	sys.t.Helper()
	time.Sleep(time.Until(cut.Add(2 * time.Second)))
	for _, vm := range vms {
		for path, key := range map[string]string{
			planGet:    own,
			switchRead: "",
		} {
			took := sys.awaitServed(request{
				vm:   vm,
				path: path,
				key:  key,
			})
			compare(sys.t, path+" through "+vm+" during the cut", took, recoveryTarget)
		}
		for _, path := range []string{planGet, planSet} {
			req := request{
				vm:   vm,
				path: path,
				key:  foreign,
				id:   newID(sys.t),
			}
			if rep := sys.do(req); rep.ok() || rep.outcome != "notRun" {
				sys.t.Errorf("%s of the other side's key through %s: %v", path, vm, rep)
			}
		}
	}
}

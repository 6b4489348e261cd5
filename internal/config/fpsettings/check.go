package fpsettings

import (
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"strings"
)

// check reports fields that contradict each other. Fields that could not be read are zero and are not reported a second time.
func (set *Settings) check(doc *document) {
	set.checkSelf(doc)
	set.checkVMs(doc)
	set.checkGroups(doc)
	set.checkSecurity(doc)
}

// checkSelf checks the fields of this VM, among others against its entry in the list of VMs.
func (set *Settings) checkSelf(doc *document) {
	if set.HasRole(RoleControl) && set.dataFolder == "" {
		doc.fault("dataFolder", nil, "the path of a folder, because roles has control")
	}
	if set.HasRole(RoleEntry) && !set.callers.address.IsValid() && !doc.hasFault("listeners.callers") {
		doc.fault("listeners.callers", nil, "a listener, because roles has entry")
	}
	if len(set.roles) > 0 && !set.HasRole(RoleEntry) && set.callers.address.IsValid() {
		doc.fault("listeners.callers", set.callers.address.String(), "no listener, because roles lacks entry")
	}
	vm, found := set.FindVM(set.vm)
	if set.vm == "" || len(set.vms) == 0 {
		return
	}
	if !found {
		doc.fault("vm", set.vm, "one of "+strings.Join(set.vmNames(), ", "))
		return
	}
	set.checkListed(doc, "dataCentre", set.dataCentre, vm.dataCentre)
	set.checkListed(doc, "region", set.region, vm.region)
	set.checkListed(doc, "roles", sortedRoles(set.roles), sortedRoles(vm.roles))
	set.checkListedAddress(doc, "listeners.peers.address", set.peers.address, vm.peerAddress)
	set.checkListedAddress(doc, "listeners.operators.address", set.operators.address, vm.operatorAddress)
}

// hasFault reports whether a fault was recorded for the field or for a field whose path begins with it.
func (doc *document) hasFault(field string) bool {
	return slices.ContainsFunc(doc.faults, func(fau Fault) bool {
		return strings.HasPrefix(fau.field, field)
	})
}

func (set *Settings) vmNames() []string {
	names := make([]string, 0, len(set.vms))
	for _, vm := range set.vms {
		names = append(names, vm.name)
	}
	return names
}

// sortedRoles returns the roles as text, in alphabetical order.
func sortedRoles(roles []Role) string {
	var texts []string
	for _, rol := range roles {
		texts = append(texts, string(rol))
	}
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}

// checkListed reports a field that differs from the entry of this VM in the list of VMs. Empty values are not compared.
func (set *Settings) checkListed(doc *document, field, got, listed string) {
	if got != "" && listed != "" && got != listed {
		doc.fault(field, got, fmt.Sprintf("%s, as in the entry of this VM in vms", listed))
	}
}

// checkListedAddress reports a listener whose address differs from the listed one. A listener on all interfaces is accepted if
// the port is equal.
func (set *Settings) checkListedAddress(doc *document, field string, got, listed netip.AddrPort) {
	if !got.IsValid() || !listed.IsValid() || got == listed {
		return
	}
	if got.Addr().IsUnspecified() && got.Port() == listed.Port() {
		return
	}
	doc.fault(field, got.String(), fmt.Sprintf("%s, as in the entry of this VM in vms", listed))
}

// checkVMs checks that names and addresses are unique and that each data centre is in one region.
func (set *Settings) checkVMs(doc *document) {
	names := map[string]bool{}
	regions := map[string]string{}
	addresses := map[netip.AddrPort]string{}
	for at, vm := range set.vms {
		path := index("vms", at)
		if vm.name != "" && names[vm.name] {
			doc.fault(path+".name", vm.name, "each name once")
		}
		names[vm.name] = true
		if known, ok := regions[vm.dataCentre]; ok && known != vm.region && vm.region != "" {
			doc.fault(path+".region", vm.region, fmt.Sprintf("%s, as for the first VM of data centre %s", known, vm.dataCentre))
		} else if vm.dataCentre != "" && vm.region != "" {
			regions[vm.dataCentre] = vm.region
		}
		checkUniqueAddress(doc, addresses, path+".peerAddress", vm.peerAddress)
		checkUniqueAddress(doc, addresses, path+".operatorAddress", vm.operatorAddress)
	}
	checkUniqueAddress(doc, addresses, "listeners.callers.address", set.callers.address)
}

// checkUniqueAddress reports an address that another field has, and else records it with the path of its field.
func checkUniqueAddress(doc *document, addresses map[netip.AddrPort]string, path string, adr netip.AddrPort) {
	if !adr.IsValid() {
		return
	}
	if other, taken := addresses[adr]; taken {
		doc.fault(path, adr.String(), "an address that no other field has; "+other+" has it")
		return
	}
	addresses[adr] = path
}

// checkGroups checks the names, voters and scopes of the groups, and that there is a root group.
func (set *Settings) checkGroups(doc *document) {
	names := map[string]bool{}
	scopes := map[string]string{}
	for at, gro := range set.groups {
		path := index("groups", at)
		if gro.name != "" && names[gro.name] {
			doc.fault(path+".name", gro.name, "each name once")
		}
		names[gro.name] = true
		set.checkVoters(doc, path, gro)
		set.checkScope(doc, path, gro, scopes)
	}
	if len(set.groups) > 0 && !names[RootGroup] {
		doc.fault("groups", slices.Sorted(maps.Keys(names)), "a list with a group named "+RootGroup)
	}
}

func (set *Settings) checkVoters(doc *document, path string, gro Group) {
	for at, name := range gro.voters {
		vm, found := set.FindVM(name)
		if !found {
			doc.fault(index(path+".voters", at), name, "the name of a VM in vms")
		} else if len(vm.roles) > 0 && !vm.HasRole(RoleControl) {
			doc.fault(index(path+".voters", at), name, "a VM with the role control")
		}
	}
}

// checkScope checks that the data centres of a scope exist and are in no other scope. The map scopes holds the group of each
// data centre seen so far.
func (set *Settings) checkScope(doc *document, path string, gro Group, scopes map[string]string) {
	for at, dataCentre := range gro.scope {
		field := index(path+".scope", at)
		known := slices.ContainsFunc(set.vms, func(vm VM) bool { return vm.dataCentre == dataCentre })
		if !known {
			doc.fault(field, dataCentre, "a data centre of vms")
		}
		if other, taken := scopes[dataCentre]; taken {
			doc.fault(field, dataCentre, "a data centre in no other scope; group "+other+" has it")
		}
		scopes[dataCentre] = gro.name
	}
}

// checkSecurity checks that exactly one of tls and plainTextLoopback is set. With plainTextLoopback, all addresses for peers and
// operators must be loopback addresses.
func (set *Settings) checkSecurity(doc *document) {
	hasTLS := set.tls.certificate != "" || doc.hasFault("tls")
	if hasTLS && set.plainTextLoopback {
		doc.fault("plainTextLoopback", true, "false or absent, because tls is set")
	}
	if !hasTLS && !set.plainTextLoopback && !doc.hasFault("plainTextLoopback") {
		doc.fault("tls", nil, "an object, unless plainTextLoopback is true")
	}
	if !set.plainTextLoopback {
		return
	}
	const accepted = "a loopback address, because plainTextLoopback is set"
	check := func(path string, adr netip.AddrPort) {
		if adr.IsValid() && !adr.Addr().IsLoopback() {
			doc.fault(path, adr.String(), accepted)
		}
	}
	check("listeners.peers.address", set.peers.address)
	check("listeners.operators.address", set.operators.address)
	for at, vm := range set.vms {
		check(index("vms", at)+".peerAddress", vm.peerAddress)
		check(index("vms", at)+".operatorAddress", vm.operatorAddress)
	}
}

// CheckAgainst returns the faults of settings that must be equal on all VMs of a deployment but differ from those of another VM.
// It also reports two VMs with the same name.
func (set *Settings) CheckAgainst(other *Settings) []Fault {
	doc := &document{}
	suffix := " as in the settings of " + other.vm
	if set.vm == other.vm {
		doc.fault("vm", set.vm, "a name that no other settings file has")
	}
	checkEqual(doc, "vms", set.vms, other.vms, suffix)
	checkEqual(doc, "groups", set.groups, other.groups, suffix)
	for at, tim := range set.timings.shared() {
		if want := other.timings.shared()[at].value; tim.value != want {
			doc.fault("timings."+tim.name, tim.value.String(), want.String()+suffix)
		}
	}
	if set.plainTextLoopback != other.plainTextLoopback {
		doc.fault("plainTextLoopback", set.plainTextLoopback, fmt.Sprint(other.plainTextLoopback)+suffix)
	}
	return doc.faults
}

// checkEqual reports the entries of a list that differ from the wanted ones. The suffix ends the description of the accepted
// value.
func checkEqual[T any](doc *document, path string, got, want []T, suffix string) {
	if len(got) != len(want) {
		doc.fault(path, fmt.Sprintf("%d entries", len(got)), fmt.Sprintf("%d entries", len(want))+suffix)
		return
	}
	for at := range got {
		if !reflect.DeepEqual(got[at], want[at]) {
			doc.fault(index(path, at), fmt.Sprint(got[at]), fmt.Sprint(want[at])+suffix)
		}
	}
}

package fpsettings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// VM is one entry of the list of VMs in the settings.
type VM struct {
	name            string
	dataCentre      string
	region          string
	peerAddress     netip.AddrPort
	operatorAddress netip.AddrPort
	roles           []Role
}

// Name returns the name of the VM, which is unique in the list.
func (vm VM) Name() string { return vm.name }

// DataCentre returns the data centre of the VM.
func (vm VM) DataCentre() string { return vm.dataCentre }

// Region returns the region of the VM.
func (vm VM) Region() string { return vm.region }

// PeerAddress returns the IP number and port at which other VMs reach the VM.
func (vm VM) PeerAddress() netip.AddrPort { return vm.peerAddress }

// OperatorAddress returns the IP number and port at which operators reach the VM.
func (vm VM) OperatorAddress() netip.AddrPort { return vm.operatorAddress }

// Roles returns the roles of the VM.
func (vm VM) Roles() []Role { return slices.Clone(vm.roles) }

// HasRole reports whether the VM has a role.
func (vm VM) HasRole(rol Role) bool { return slices.Contains(vm.roles, rol) }

// String describes the VM in one line.
func (vm VM) String() string {
	return fmt.Sprintf("%s in %s, %s, roles %s, peers %s, operators %s",
		vm.name, vm.dataCentre, vm.region, sortedRoles(vm.roles), vm.peerAddress, vm.operatorAddress)
}

func readVM(obj *object) VM {
	return VM{
		name:            obj.name("name"),
		dataCentre:      obj.name("dataCentre"),
		region:          obj.name("region"),
		peerAddress:     obj.address("peerAddress"),
		operatorAddress: obj.address("operatorAddress"),
		roles:           readRoles(obj),
	}
}

func readRoles(obj *object) []Role {
	const accepted = "entry or control"
	texts := obj.texts("roles", accepted, func(text string) bool {
		return Role(text) == RoleEntry || Role(text) == RoleControl
	})
	roles := make([]Role, 0, len(texts))
	for _, text := range texts {
		roles = append(roles, Role(text))
	}
	if value, _ := obj.lookup("roles"); isEmpty(value) {
		obj.fault("roles", value, "a list with entry, control or both")
	}
	return roles
}

// isEmpty reports whether a list is absent or has no entries.
func isEmpty(value any) bool {
	list, ok := value.([]any)
	return value == nil || ok && len(list) == 0
}

// Group is the initial state of one consensus group. Operators may change its voters later.
type Group struct {
	name   string
	voters []string
	scope  []string
}

// Name returns the name of the group.
func (gro Group) Name() string { return gro.name }

// Voters returns the names of the initial voters, which are VMs with the role control.
func (gro Group) Voters() []string { return slices.Clone(gro.voters) }

// Scope returns the data centres whose upstreams get slots from the group. It may be empty only for the root group.
func (gro Group) Scope() []string { return slices.Clone(gro.scope) }

// String describes the group in one line.
func (gro Group) String() string {
	scope := "none"
	if len(gro.scope) > 0 {
		scope = strings.Join(gro.scope, ", ")
	}
	return fmt.Sprintf("%s, voters %s; scope %s", gro.name, strings.Join(gro.voters, ", "), scope)
}

func readGroup(obj *object) Group {
	gro := Group{
		name:   obj.name("name"),
		voters: obj.texts("voters", "the name of a VM", namePattern.MatchString),
		scope:  obj.texts("scope", "the name of a data centre", namePattern.MatchString),
	}
	if value, _ := obj.lookup("voters"); isEmpty(value) || len(gro.voters) > maxVoters {
		obj.fault("voters", value, acceptedVoters)
	}
	if value, _ := obj.lookup("scope"); isEmpty(value) && gro.name != RootGroup {
		obj.fault("scope", value, "at least one data centre; only the scope of root may be empty")
	}
	return gro
}

// maxVoters is the maximum number of voters of a group. It is small because every voter syncs every log entry and a commit waits
// for a majority.
const (
	maxVoters      = 9
	acceptedVoters = "1 to 9 names of VMs with the role control"
)

// TLS holds the paths of the files and the accepted identities for mutual TLS.
type TLS struct {
	certificate        string
	key                string
	authority          string
	vmIdentities       []string
	operatorIdentities []string
}

// Certificate returns the path of the PEM file with the certificate chain of this VM.
func (sec TLS) Certificate() string { return sec.certificate }

// Key returns the path of the PEM file with the private key.
func (sec TLS) Key() string { return sec.key }

// Authority returns the path of the PEM file with the CA certificates that sign the certificates of VMs and operators.
func (sec TLS) Authority() string { return sec.authority }

// VMIdentities returns the DNS names and URIs that identify the certificates of VMs.
func (sec TLS) VMIdentities() []string { return slices.Clone(sec.vmIdentities) }

// OperatorIdentities returns the DNS names and URIs that identify the certificates of operators.
func (sec TLS) OperatorIdentities() []string { return slices.Clone(sec.operatorIdentities) }

func readTLS(obj *object, folder string) TLS {
	const accepted = "a DNS name or a URI of a certificate"
	isIdentity := func(text string) bool { return text != "" }
	sec := TLS{
		certificate:        resolve(folder, obj.file("certificate")),
		key:                resolve(folder, obj.file("key")),
		authority:          resolve(folder, obj.file("authority")),
		vmIdentities:       obj.texts("vmIdentities", accepted, isIdentity),
		operatorIdentities: obj.texts("operatorIdentities", accepted, isIdentity),
	}
	for _, name := range []string{"certificate", "key", "authority"} {
		if value, present := obj.lookup(name); !present {
			obj.fault(name, value, "the path of a PEM file")
		}
	}
	for _, name := range []string{"vmIdentities", "operatorIdentities"} {
		if value, _ := obj.lookup(name); isEmpty(value) {
			obj.fault(name, value, "a list with at least "+accepted)
		}
	}
	for at, identity := range sec.operatorIdentities {
		if slices.Contains(sec.vmIdentities, identity) {
			obj.fault(index("operatorIdentities", at), identity, "an identity that is not in vmIdentities")
		}
	}
	return sec
}

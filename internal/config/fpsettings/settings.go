// Package fpsettings reads the settings file of one process: the identity of its VM, its listeners, the VMs and groups of the
// deployment, and the certificates for mutual TLS. It also reads configuration files, which operators propose to the root group.
package fpsettings

import (
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// Role is a function of a VM in the deployment.
type Role string

// The roles of a VM. A VM may have both.
const (
	// RoleEntry serves callers and upstreams.
	RoleEntry Role = "entry"
	// RoleControl stores the logs of groups and may be a voter. It needs a data folder.
	RoleControl Role = "control"
)

// RootGroup is the name of the group that stores the configuration.
const RootGroup = "root"

// maxFileBytes is the maximum size of settings, configuration and schema files. It equals the default body limit of the operator
// listener, so a configuration that can be read from a file can also be sent.
const maxFileBytes = 4 << 20

// Settings are the checked settings of one process. Use Load or Parse to create them. They are immutable.
type Settings struct {
	vm                   string
	dataCentre           string
	region               string
	roles                []Role
	dataFolder           string
	callers              Listener
	peers                Listener
	operators            Listener
	vms                  []VM
	groups               []Group
	initialConfiguration string
	tls                  TLS
	plainTextLoopback    bool
	timings              Timings
	logLevel             string
}

// Load reads and checks a settings file. Relative paths in it are relative to the folder of the file. The error is of kind
// InvalidSettings; FaultsOf returns its faults.
func Load(path string) (*Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, AsError(fperror.InvalidSettings, path, []Fault{
			NewFault("(file)", err.Error(), "a readable file"),
		})
	}
	folder, err := filepath.Abs(filepath.Dir(path))
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidSettings, err, "%s", path)
	}
	return parse(path, data, folder)
}

// Parse reads and checks the text of a settings file like Load. Relative paths in it are relative to folder.
func Parse(data []byte, folder string) (*Settings, error) {
	return parse("settings", data, folder)
}

func parse(file string, data []byte, folder string) (*Settings, error) {
	doc := &document{}
	tree, ok := doc.decode(data)
	if !ok {
		return nil, AsError(fperror.InvalidSettings, file, doc.faults)
	}
	set := &Settings{}
	set.read(doc.object("", tree), folder)
	set.check(doc)
	if err := AsError(fperror.InvalidSettings, file, doc.faults); err != nil {
		return nil, err
	}
	return set, nil
}

func (set *Settings) read(obj *object, folder string) {
	set.vm = obj.name("vm")
	set.dataCentre = obj.name("dataCentre")
	set.region = obj.name("region")
	set.roles = readRoles(obj)
	set.dataFolder = resolve(folder, obj.file("dataFolder"))
	set.readListeners(obj)
	obj.eachObject("vms", "a list of at least one VM", func(item *object) {
		set.vms = append(set.vms, readVM(item))
	})
	obj.eachObject("groups", "a list of at least the group "+RootGroup, func(item *object) {
		set.groups = append(set.groups, readGroup(item))
	})
	set.initialConfiguration = resolve(folder, obj.file("initialConfiguration"))
	if sub := obj.optional("tls"); sub != nil {
		set.tls = readTLS(sub, folder)
		sub.close()
	}
	set.plainTextLoopback = obj.flag("plainTextLoopback")
	timings := obj.optionalOrEmpty("timings")
	set.timings = readTimings(timings)
	timings.close()
	set.logLevel = obj.choice("logLevel", "info", "debug", "info", "warn", "error")
	obj.close()
}

func (set *Settings) readListeners(obj *object) {
	sub := obj.object("listeners")
	if callers := sub.optional("callers"); callers != nil {
		set.callers = readListener(callers, callerLimits)
	}
	set.peers = readListener(sub.object("peers"), peerLimits)
	set.operators = readListener(sub.object("operators"), operatorLimits)
	sub.close()
}

// resolve returns the path of a file that is named relative to folder. An empty path stays empty.
func resolve(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

// readFile returns the content of a file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxFileBytes {
		return nil, fperror.New(fperror.TooLarge, "%s: larger than %d bytes", path, maxFileBytes)
	}
	return data, nil
}

// VM returns the name of this VM.
func (set *Settings) VM() string { return set.vm }

// DataCentre returns the data centre of this VM.
func (set *Settings) DataCentre() string { return set.dataCentre }

// Region returns the region of this VM.
func (set *Settings) Region() string { return set.region }

// Roles returns the roles of this VM.
func (set *Settings) Roles() []Role { return slices.Clone(set.roles) }

// HasRole reports whether this VM has a role.
func (set *Settings) HasRole(rol Role) bool { return slices.Contains(set.roles, rol) }

// DataFolder returns the path of the folder for all durable files. It is set if the VM has the role control. Load makes it
// absolute.
func (set *Settings) DataFolder() string { return set.dataFolder }

// Callers returns the listener for callers and upstreams. It is the zero value without the role entry.
func (set *Settings) Callers() Listener { return set.callers }

// Peers returns the listener for the protocol between VMs.
func (set *Settings) Peers() Listener { return set.peers }

// Operators returns the listener for operators.
func (set *Settings) Operators() Listener { return set.operators }

// VMs returns all VMs of the deployment, including this one.
func (set *Settings) VMs() []VM { return slices.Clone(set.vms) }

// FindVM returns the VM with the given name, or false if there is none.
func (set *Settings) FindVM(name string) (VM, bool) {
	at := slices.IndexFunc(set.vms, func(vm VM) bool { return vm.name == name })
	if at < 0 {
		return VM{}, false
	}
	return set.vms[at], true
}

// Groups returns all groups, including root.
func (set *Settings) Groups() []Group { return slices.Clone(set.groups) }

// FindGroup returns the group with the given name, or false if there is none.
func (set *Settings) FindGroup(name string) (Group, bool) {
	at := slices.IndexFunc(set.groups, func(gro Group) bool { return gro.name == name })
	if at < 0 {
		return Group{}, false
	}
	return set.groups[at], true
}

// GroupOf returns the group whose scope contains a data centre, or false if there is none.
func (set *Settings) GroupOf(dataCentre string) (Group, bool) {
	at := slices.IndexFunc(set.groups, func(gro Group) bool { return slices.Contains(gro.scope, dataCentre) })
	if at < 0 {
		return Group{}, false
	}
	return set.groups[at], true
}

// InitialConfiguration returns the path of the configuration file that is proposed if the root group has no configuration yet, or
// "" if there is no such file.
func (set *Settings) InitialConfiguration() string { return set.initialConfiguration }

// TLS returns the files and identities of mutual TLS. It is the zero value with PlainTextLoopback.
func (set *Settings) TLS() TLS { return set.tls }

// PlainTextLoopback reports whether peers and operators are served without TLS, on loopback addresses only.
func (set *Settings) PlainTextLoopback() bool { return set.plainTextLoopback }

// Timings returns the timings, with defaults for those that the file omits.
func (set *Settings) Timings() Timings { return set.timings }

// LogLevel returns debug, info, warn or error.
func (set *Settings) LogLevel() string { return set.logLevel }

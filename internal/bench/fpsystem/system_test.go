// Package fpsystem_test starts processes of the router and of stand-in upstreams on loopback, connects them through
// proxies that inject network faults, and checks what callers and operators see.
package fpsystem_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator/fpoperatorconnect"
)

// schemaText declares the keyed service Plan and the unkeyed service Switch, each with an idempotent and a non-idempotent
// method.
const schemaText = `syntax = "proto3";
package test.v1;
import "foxtailpulley/schema/v1/options.proto";
service Plan {
  option (foxtailpulley.schema.v1.service_rule) = {keyed: true};
  rpc Get(Request) returns (Request) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "key" execution: EXECUTION_IDEMPOTENT};
  }
  rpc Set(Request) returns (Request) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "key" execution: EXECUTION_NON_IDEMPOTENT};
  }
}
service Switch {
  rpc On(Request) returns (Request) {
    option (foxtailpulley.schema.v1.method_rule) = {execution: EXECUTION_NON_IDEMPOTENT priority: PRIORITY_HIGH};
  }
  rpc Read(Request) returns (Request) {
    option (foxtailpulley.schema.v1.method_rule) = {execution: EXECUTION_IDEMPOTENT};
  }
}
message Request {
  string key = 1;
}
`

// Services and methods of schemaText.
const (
	planService   = "test.v1.Plan"
	switchService = "test.v1.Switch"
	planGet       = "/test.v1.Plan/Get"
	planSet       = "/test.v1.Plan/Set"
	switchOn      = "/test.v1.Switch/On"
	switchRead    = "/test.v1.Switch/Read"
)

// stateTimeout limits the wait for a state that a test expects. It is far above the targets for recovery and configuration
// changes, so that a slow machine does not fail tests that only check whether the state is reached.
const stateTimeout = 30 * time.Second

// location is the name of a VM or an upstream, and the data centre and the region that it runs in.
type location struct {
	name       string
	dataCentre string
	region     string
}

// layout describes the VMs and the groups of a system. Every VM has a disk and both roles, entry and control.
type layout struct {
	vms    []location
	groups []groupSetting
	// homes returns the ranges of slots of a service and the group that is home to each, as written to the configuration.
	// Nil means that the last of groups is home to all slots.
	homes func(service string) []map[string]any
	// timings is added to the timings in the settings of every VM, and overrides them.
	timings map[string]string
	// tls returns the TLS settings of a VM. Nil means plain text on loopback.
	tls func(vm string) map[string]any
	// operatorHTTP is the HTTP client for the operators' listeners. Nil means plain text.
	operatorHTTP *http.Client
}

// groupSetting is a group as written to the settings of a VM.
type groupSetting struct {
	Name   string   `json:"name"`
	Voters []string `json:"voters"`
	Scope  []string `json:"scope"`
}

// slots is the number of slots of each service.
const slots = 32

// oneRegion returns a layout of three VMs in two data centres of one region. Besides root there is one group, r, which is
// home to all slots; all VMs are voters of both groups.
func oneRegion() layout {
	names := []string{"a1", "a2", "b1"}
	return layout{
		vms: []location{
			{
				name:       "a1",
				dataCentre: "a",
				region:     "r",
			},
			{
				name:       "a2",
				dataCentre: "a",
				region:     "r",
			},
			{
				name:       "b1",
				dataCentre: "b",
				region:     "r",
			},
		},
		groups: []groupSetting{
			{
				Name:   "root",
				Voters: names,
				Scope:  []string{},
			},
			{
				Name:   "r",
				Voters: names,
				Scope:  []string{"a", "b"},
			},
		},
	}
}

// machine is a VM of a system.
type machine struct {
	location        location
	callerAddress   string
	peerAddress     string
	operatorAddress string
	settingsPath    string
	dataFolder      string
	// process is the process that was started last. It is nil before the first start and may have ended.
	process *process
}

// upstream is a stand-in upstream that runs as a process of its own.
type upstream struct {
	location location
	service  string
	address  string
	args     []string
	// process is the process that was started last; it may have ended.
	process *process
}

// system is a deployment of VMs and upstreams whose processes run on loopback.
type system struct {
	t         *testing.T
	folder    string
	layout    layout
	network   *network
	machines  map[string]*machine
	upstreams map[string]*upstream
	runLog    string // path of the file to which all upstreams append their runs

	mutex sync.Mutex
	pids  map[int]string // name of each process that was started, by process id
	// halts are the freezes of upstreams. Ends of their processes are added by allHalts.
	halts []halt
	// upstreamProcesses are all processes of upstreams that were started, including those that have ended.
	upstreamProcesses []*process
}

// halt is an instant at which an upstream stopped running its requests, because its process ended or was frozen.
type halt struct {
	upstream string
	at       time.Time
}

// newSystem starts the VMs of a layout and waits until all of them are healthy, that is, have a configuration in force.
func newSystem(t *testing.T, lay layout) *system {
	t.Helper()
	sys := prepareSystem(t, lay)
	for _, loc := range lay.vms {
		sys.startVM(loc.name)
	}
	for _, loc := range lay.vms {
		sys.awaitHealthy(loc.name)
	}
	return sys
}

// prepareSystem writes the settings and the configuration of a layout and starts the proxies, but no VM.
func prepareSystem(t *testing.T, lay layout) *system {
	t.Helper()
	sys := &system{
		t:         t,
		folder:    t.TempDir(),
		layout:    lay,
		machines:  map[string]*machine{},
		upstreams: map[string]*upstream{},
		pids:      map[int]string{},
	}
	sys.runLog = filepath.Join(sys.folder, "runs.json")
	owners := &socketOwners{
		pids: sys.trackedPids,
	}
	sys.network = newNetwork(owners.opener)
	sys.writeConfiguration()
	for _, loc := range lay.vms {
		sys.addMachine(loc)
	}
	sys.writeSettings()
	return sys
}

// trackedPids returns a copy of the names of all started processes by process id.
func (sys *system) trackedPids() map[int]string {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	return maps.Clone(sys.pids)
}

func (sys *system) trackProcess(pro *process) {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	sys.pids[pro.pid()] = pro.name
}

func (sys *system) writeConfiguration() {
	homes := sys.layout.homes
	if homes == nil {
		homes = func(string) []map[string]any {
			return []map[string]any{
				{
					"group":     sys.layout.groups[len(sys.layout.groups)-1].Name,
					"firstSlot": 0,
					"lastSlot":  slots - 1,
				},
			}
		}
	}
	var services []map[string]any
	for _, name := range []string{planService, switchService} {
		services = append(services, map[string]any{
			"name":        name,
			"slots":       slots,
			"homes":       homes(name),
			"maxDeadline": "5s",
		})
	}
	sys.writeJSON("configuration.json", map[string]any{
		"schema":   schemaText,
		"services": services,
	})
}

func (sys *system) writeJSON(name string, value any) string {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		sys.t.Fatal(err)
	}
	path := filepath.Join(sys.folder, name)
	if err := os.WriteFile(path, data, 0o644); err != nil {
		sys.t.Fatal(err)
	}
	return path
}

// Ports of listeners are below the kernel's range of ephemeral ports, and a port is not reused until all of the range has
// been. Otherwise a connection to a killed process could reach another one.
const (
	firstPort = 16000
	lastPort  = 32000
)

var nextPort atomic.Int64

// freeAddress returns a loopback address with a free port. The process id of the test sets the first port, so that
// concurrent runs of the tests use different ones.
func freeAddress(t *testing.T) string {
	t.Helper()
	nextPort.CompareAndSwap(0, int64(firstPort+os.Getpid()%(lastPort-firstPort)))
	for range lastPort - firstPort {
		port := nextPort.Add(1)
		if port > lastPort {
			nextPort.Store(firstPort)
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		lis, err := net.Listen("tcp", address)
		if err == nil {
			_ = lis.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func (sys *system) addMachine(loc location) {
	sys.machines[loc.name] = &machine{
		location:        loc,
		callerAddress:   freeAddress(sys.t),
		peerAddress:     freeAddress(sys.t),
		operatorAddress: freeAddress(sys.t),
		dataFolder:      filepath.Join(sys.folder, loc.name),
	}
}

// writeSettings starts a proxy for the peer listener of every VM and writes the settings of all VMs.
func (sys *system) writeSettings() {
	proxies := map[string]string{}
	for name, mac := range sys.machines {
		proxies[name] = newProxy(sys.t, sys.network, name, mac.peerAddress).address()
	}
	timings := map[string]string{
		"drainDelay": "100ms",
	}
	for name, value := range sys.layout.timings {
		timings[name] = value
	}
	for _, mac := range sys.machines {
		settings := map[string]any{
			"vm":                   mac.location.name,
			"dataCentre":           mac.location.dataCentre,
			"region":               mac.location.region,
			"roles":                []string{"entry", "control"},
			"dataFolder":           mac.dataFolder,
			"initialConfiguration": filepath.Join(sys.folder, "configuration.json"),
			"listeners": map[string]any{
				"callers":   map[string]any{"address": mac.callerAddress},
				"peers":     map[string]any{"address": mac.peerAddress},
				"operators": map[string]any{"address": mac.operatorAddress},
			},
			"vms":     sys.vmSettings(mac.location.name, proxies),
			"groups":  sys.layout.groups,
			"timings": timings,
		}
		sys.addTransportSettings(settings, mac.location.name)
		mac.settingsPath = sys.writeJSON(mac.location.name+".json", settings)
	}
}

// addTransportSettings adds mutual TLS, or else plain text on loopback, to the settings of a VM.
func (sys *system) addTransportSettings(settings map[string]any, name string) {
	if sys.layout.tls == nil {
		settings["plainTextLoopback"] = true
		return
	}
	settings["tls"] = sys.layout.tls(name)
}

// vmSettings returns the list of VMs in the settings of one of them. It has the VM's own peer address and, for the other
// VMs, the addresses of their proxies.
func (sys *system) vmSettings(self string, proxies map[string]string) []map[string]any {
	var vms []map[string]any
	for _, loc := range sys.layout.vms {
		mac := sys.machines[loc.name]
		address := proxies[loc.name]
		if loc.name == self {
			address = mac.peerAddress
		}
		vms = append(vms, map[string]any{
			"name":            loc.name,
			"dataCentre":      loc.dataCentre,
			"region":          loc.region,
			"roles":           []string{"entry", "control"},
			"peerAddress":     address,
			"operatorAddress": mac.operatorAddress,
		})
	}
	return vms
}

func (sys *system) startVM(name string) {
	sys.t.Helper()
	mac := sys.machines[name]
	if err := os.MkdirAll(mac.dataFolder, 0o755); err != nil {
		sys.t.Fatal(err)
	}
	mac.process = startProcess(sys.t, sys.folder, name, "run", "--settings", mac.settingsPath)
	sys.trackProcess(mac.process)
}

// loseDisk kills a VM and removes its data folder.
func (sys *system) loseDisk(name string) {
	mac := sys.machines[name]
	mac.process.kill()
	if err := os.RemoveAll(mac.dataFolder); err != nil {
		sys.t.Fatal(err)
	}
}

// awaitHealthy waits until /healthz of a VM answers 200, which means that it has a configuration and is not draining.
func (sys *system) awaitHealthy(name string) {
	sys.t.Helper()
	sys.eventually("VM "+name+" is healthy", func() bool {
		res, err := http.Get("http://" + sys.machines[name].callerAddress + "/healthz")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// eventually polls reached until it returns true, and fails the test after stateTimeout. The error names the state.
func (sys *system) eventually(state string, reached func() bool) {
	sys.t.Helper()
	deadline := time.Now().Add(stateTimeout)
	for !reached() {
		if time.Now().After(deadline) {
			sys.t.Fatalf("state not reached within %v: %s", stateTimeout, state)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// addUpstream starts a stand-in upstream behind a proxy, without waiting until the VMs know it. The upstream announces
// itself to the VMs of its data centre. Extra arguments are appended to its command line.
func (sys *system) addUpstream(loc location, service string, extra ...string) *upstream {
	sys.t.Helper()
	address := freeAddress(sys.t)
	pro := newProxy(sys.t, sys.network, loc.name, address)
	args := []string{
		"standin", "--name", loc.name, "--service", service, "--data-centre", loc.dataCentre,
		"--address", address, "--announce-as", pro.address(), "--run-log", sys.runLog,
	}
	if service == planService {
		args = append(args, "--keyed")
	}
	for _, vm := range sys.layout.vms {
		if vm.dataCentre == loc.dataCentre {
			args = append(args, "--router", "http://"+sys.machines[vm.name].callerAddress)
		}
	}
	ups := &upstream{
		location: loc,
		service:  service,
		address:  address,
		args:     append(args, extra...),
	}
	sys.upstreams[loc.name] = ups
	sys.startUpstream(loc.name)
	return ups
}

func (sys *system) startUpstream(name string) {
	sys.t.Helper()
	ups := sys.upstreams[name]
	ups.process = startProcess(sys.t, sys.folder, name, ups.args...)
	sys.trackProcess(ups.process)
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	sys.upstreamProcesses = append(sys.upstreamProcesses, ups.process)
}

// freezeUpstream suspends the process of an upstream with SIGSTOP and records a halt. Its requests make no progress while
// it is frozen; if its lease has expired when the process continues, the upstream's fence cancels them.
func (sys *system) freezeUpstream(name string) {
	sys.upstreams[name].process.freeze()
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	sys.halts = append(sys.halts, halt{
		upstream: name,
		at:       time.Now(),
	})
}

// allHalts returns a halt for each freeze of an upstream and for each of its processes that has ended.
func (sys *system) allHalts() []halt {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	all := append([]halt{}, sys.halts...)
	for _, pro := range sys.upstreamProcesses {
		if pro.hasEnded() {
			all = append(all, halt{
				upstream: pro.name,
				at:       pro.endedAt,
			})
		}
	}
	return all
}

// addKeyedUpstreams starts upstreams of the keyed service, plan-1 and so on, spread evenly over the data centres in order,
// and waits until all slots have owners.
func (sys *system) addKeyedUpstreams(count int, extra ...string) {
	sys.t.Helper()
	centres := sys.dataCentres()
	for num := range count {
		sys.addUpstream(location{
			name:       fmt.Sprintf("plan-%d", num+1),
			dataCentre: centres[num*len(centres)/count],
		}, planService, extra...)
	}
	sys.eventually("all slots of the keyed service have owners", func() bool {
		return sys.ownedSlots(planService) == slots
	})
}

// dataCentres returns the data centres of the layout in order.
func (sys *system) dataCentres() []string {
	var all []string
	for _, vm := range sys.layout.vms {
		if len(all) == 0 || all[len(all)-1] != vm.dataCentre {
			all = append(all, vm.dataCentre)
		}
	}
	return all
}

// operatorClient returns a client of a VM's operator service.
func (sys *system) operatorClient(name string) fpoperatorconnect.OperatorServiceClient {
	if sys.layout.operatorHTTP != nil {
		return fpoperatorconnect.NewOperatorServiceClient(sys.layout.operatorHTTP, "https://"+sys.machines[name].operatorAddress)
	}
	return fpoperatorconnect.NewOperatorServiceClient(http.DefaultClient, "http://"+sys.machines[name].operatorAddress)
}

// status returns the answer of a VM to a status request, or an empty one if the request fails.
func (sys *system) status(name string) *fpoperator.StatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	res, err := sys.operatorClient(name).Status(ctx, connect.NewRequest(&fpoperator.StatusRequest{}))
	if err != nil {
		return &fpoperator.StatusResponse{}
	}
	return res.Msg
}

// ownedSlots returns how many slots of a service have owners, by the status of the first VM.
func (sys *system) ownedSlots(service string) int {
	count := 0
	for _, ups := range sys.status(sys.layout.vms[0].name).GetUpstreams() {
		if ups.GetService() == service {
			count += int(ups.GetSlots())
		}
	}
	return count
}

// leader returns the leader of a group as a VM sees it, or "" if there is none.
func (sys *system) leader(from, group string) string {
	for _, gro := range sys.status(from).GetGroups() {
		if gro.GetName() == group {
			return gro.GetLeader()
		}
	}
	return ""
}

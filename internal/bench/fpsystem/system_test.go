// Package fpsystem_test runs real processes of the router and of stand-in upstreams behind proxies that inject faults.
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

// schemaText declares one keyed service, one unkeyed service with non-idempotent calls, and one for bundles.
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

// patience bounds the wait for a state that a test expects. It is far above every target, so that a busy machine does not
// fail a test that measures no time.
const patience = 30 * time.Second

// place is where a VM or an upstream lives.
type place struct {
	name       string
	dataCentre string
	region     string
}

// layout describes a system: its VMs, which all have disks, and its groups.
type layout struct {
	vms    []place
	groups []groupSetting
	// homes gives the slots of each service to groups; nil gives all to the first group after root.
	homes   func(service string) []map[string]any
	timings map[string]string
	// tls returns the settings of mutual TLS of a VM; nil stands for plain text on loopback.
	tls func(vm string) map[string]any
	// operator calls the operators' listeners; nil stands for plain text.
	operator *http.Client
}

type groupSetting struct {
	Name   string   `json:"name"`
	Voters []string `json:"voters"`
	Scope  []string `json:"scope"`
}

// slots is the number of slots of each service in tests.
const slots = 32

// oneRegion is a layout of three VMs in two data centres with one group for all of them.
func oneRegion() layout {
	names := []string{"a1", "a2", "b1"}
	return layout{
		vms: []place{
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

// machine is a VM of a system, which may run or not.
type machine struct {
	place    place
	callers  string
	peers    string
	operator string
	settings string
	folder   string
	running  *process
}

// upstream is a stand-in process.
type upstream struct {
	place   place
	service string
	address string
	args    []string
	running *process
}

// system is a running deployment.
type system struct {
	t         *testing.T
	folder    string
	layout    layout
	network   *network
	machines  map[string]*machine
	upstreams map[string]*upstream
	runLog    string

	mutex sync.Mutex
	pids  map[int]string
	// halts are the moments at which upstreams stopped running requests: their processes ended or were frozen.
	halts []halt
	ups   []*process
}

// halt is a moment from which an upstream ran none of the requests that it had begun.
type halt struct {
	upstream string
	at       time.Time
}

// newSystem starts the VMs of a layout and waits until a configuration is in force on all of them.
func newSystem(t *testing.T, lay layout) *system {
	t.Helper()
	sys := prepareSystem(t, lay)
	for _, plc := range lay.vms {
		sys.startVM(plc.name)
	}
	for _, plc := range lay.vms {
		sys.awaitHealthy(plc.name)
	}
	return sys
}

// prepareSystem writes the settings and the configuration of a layout and starts nothing.
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
	sys.network = newNetwork(owners.of)
	sys.writeConfiguration()
	for _, plc := range lay.vms {
		sys.addMachine(plc)
	}
	sys.writeSettings()
	return sys
}

func (sys *system) trackedPids() map[int]string {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	return maps.Clone(sys.pids)
}

func (sys *system) track(pro *process) {
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

// Ports of listeners lie below the range from which the kernel draws the local ports of connections, and no port is used
// twice, so that a killed process is never mistaken for another one.
const (
	firstPort = 16000
	lastPort  = 32000
)

var nextPort atomic.Int64

// freeAddress returns a loopback address with a free port that no other test uses.
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

func (sys *system) addMachine(plc place) {
	sys.machines[plc.name] = &machine{
		place:    plc,
		callers:  freeAddress(sys.t),
		peers:    freeAddress(sys.t),
		operator: freeAddress(sys.t),
		folder:   filepath.Join(sys.folder, plc.name),
	}
}

// writeSettings writes the settings of all VMs. They reach each other's peer listeners through proxies.
func (sys *system) writeSettings() {
	proxies := map[string]string{}
	for name, mac := range sys.machines {
		proxies[name] = newProxy(sys.t, sys.network, name, mac.peers).address()
	}
	timings := map[string]string{
		"drainDelay": "100ms",
	}
	for name, value := range sys.layout.timings {
		timings[name] = value
	}
	for _, mac := range sys.machines {
		settings := map[string]any{
			"vm":                   mac.place.name,
			"dataCentre":           mac.place.dataCentre,
			"region":               mac.place.region,
			"roles":                []string{"entry", "control"},
			"dataFolder":           mac.folder,
			"initialConfiguration": filepath.Join(sys.folder, "configuration.json"),
			"listeners": map[string]any{
				"callers":   map[string]any{"address": mac.callers},
				"peers":     map[string]any{"address": mac.peers},
				"operators": map[string]any{"address": mac.operator},
			},
			"vms":     sys.vmSettings(mac.place.name, proxies),
			"groups":  sys.layout.groups,
			"timings": timings,
		}
		sys.secure(settings, mac.place.name)
		mac.settings = sys.writeJSON(mac.place.name+".json", settings)
	}
}

// secure adds the proof of identity to the settings of a VM.
func (sys *system) secure(settings map[string]any, name string) {
	if sys.layout.tls == nil {
		settings["plainTextLoopback"] = true
		return
	}
	settings["tls"] = sys.layout.tls(name)
}

// vmSettings returns the list of VMs as one of them sees it: itself directly, all others through their proxies.
func (sys *system) vmSettings(self string, proxies map[string]string) []map[string]any {
	var vms []map[string]any
	for _, plc := range sys.layout.vms {
		mac := sys.machines[plc.name]
		address := proxies[plc.name]
		if plc.name == self {
			address = mac.peers
		}
		vms = append(vms, map[string]any{
			"name":            plc.name,
			"dataCentre":      plc.dataCentre,
			"region":          plc.region,
			"roles":           []string{"entry", "control"},
			"peerAddress":     address,
			"operatorAddress": mac.operator,
		})
	}
	return vms
}

func (sys *system) startVM(name string) {
	sys.t.Helper()
	mac := sys.machines[name]
	if err := os.MkdirAll(mac.folder, 0o755); err != nil {
		sys.t.Fatal(err)
	}
	mac.running = start(sys.t, sys.folder, name, "run", "--settings", mac.settings)
	sys.track(mac.running)
}

// loseDisk kills a VM and removes its data folder.
func (sys *system) loseDisk(name string) {
	mac := sys.machines[name]
	mac.running.kill()
	if err := os.RemoveAll(mac.folder); err != nil {
		sys.t.Fatal(err)
	}
}

func (sys *system) awaitHealthy(name string) {
	sys.t.Helper()
	sys.eventually("VM "+name+" is healthy", func() bool {
		res, err := http.Get("http://" + sys.machines[name].callers + "/healthz")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// eventually waits for a state.
func (sys *system) eventually(what string, holds func() bool) {
	sys.t.Helper()
	end := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(end) {
			sys.t.Fatalf("not within %v: %s", patience, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// addUpstream starts a stand-in and waits until it has announced itself. Extra arguments go to the stand-in.
func (sys *system) addUpstream(plc place, service string, extra ...string) *upstream {
	sys.t.Helper()
	address := freeAddress(sys.t)
	pro := newProxy(sys.t, sys.network, plc.name, address)
	args := []string{
		"standin", "--name", plc.name, "--service", service, "--data-centre", plc.dataCentre,
		"--address", address, "--announce-as", pro.address(), "--run-log", sys.runLog,
	}
	if service == planService {
		args = append(args, "--keyed")
	}
	for _, vm := range sys.layout.vms {
		if vm.dataCentre == plc.dataCentre {
			args = append(args, "--router", "http://"+sys.machines[vm.name].callers)
		}
	}
	ups := &upstream{
		place:   plc,
		service: service,
		address: address,
		args:    append(args, extra...),
	}
	sys.upstreams[plc.name] = ups
	sys.startUpstream(plc.name)
	return ups
}

func (sys *system) startUpstream(name string) {
	sys.t.Helper()
	ups := sys.upstreams[name]
	ups.running = start(sys.t, sys.folder, name, ups.args...)
	sys.track(ups.running)
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	sys.ups = append(sys.ups, ups.running)
}

// freezeUpstream stops an upstream without ending it. A request that it was running makes no progress from then on; the
// fence cancels it when the upstream is thawed after its lease.
func (sys *system) freezeUpstream(name string) {
	sys.upstreams[name].running.freeze()
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	sys.halts = append(sys.halts, halt{
		upstream: name,
		at:       time.Now(),
	})
}

// allHalts returns the freezes of upstreams and the ends of their processes.
func (sys *system) allHalts() []halt {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	all := append([]halt{}, sys.halts...)
	for _, pro := range sys.ups {
		if pro.hasEnded() {
			all = append(all, halt{
				upstream: pro.name,
				at:       pro.end,
			})
		}
	}
	return all
}

// addPlans starts keyed upstreams, the first half in the first data centre.
func (sys *system) addPlans(count int, extra ...string) {
	sys.t.Helper()
	centres := sys.dataCentres()
	for num := range count {
		sys.addUpstream(place{
			name:       fmt.Sprintf("plan-%d", num+1),
			dataCentre: centres[num*len(centres)/count],
		}, planService, extra...)
	}
	sys.eventually("all slots of the keyed service have owners", func() bool {
		return sys.ownedSlots(planService) == slots
	})
}

func (sys *system) dataCentres() []string {
	var all []string
	for _, vm := range sys.layout.vms {
		if len(all) == 0 || all[len(all)-1] != vm.dataCentre {
			all = append(all, vm.dataCentre)
		}
	}
	return all
}

// operators returns the operator service of a VM.
func (sys *system) operators(name string) fpoperatorconnect.OperatorServiceClient {
	if sys.layout.operator != nil {
		return fpoperatorconnect.NewOperatorServiceClient(sys.layout.operator, "https://"+sys.machines[name].operator)
	}
	return fpoperatorconnect.NewOperatorServiceClient(http.DefaultClient, "http://"+sys.machines[name].operator)
}

// status returns the status as a VM sees it, or an empty one.
func (sys *system) status(name string) *fpoperator.StatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	res, err := sys.operators(name).Status(ctx, connect.NewRequest(&fpoperator.StatusRequest{}))
	if err != nil {
		return &fpoperator.StatusResponse{}
	}
	return res.Msg
}

func (sys *system) ownedSlots(service string) int {
	count := 0
	for _, ups := range sys.status(sys.layout.vms[0].name).GetUpstreams() {
		if ups.GetService() == service {
			count += int(ups.GetSlots())
		}
	}
	return count
}

// leader returns the leader of a group as a VM sees it, or "".
func (sys *system) leader(from, group string) string {
	for _, one := range sys.status(from).GetGroups() {
		if one.GetName() == group {
			return one.GetLeader()
		}
	}
	return ""
}

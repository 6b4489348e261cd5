// Package fleet runs a small deployment of the project's program as separate processes on loopback, and plays its operator, clients and
// platform.
package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpport"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// The data centres of the deployment and their regions.
var (
	DataCentres = []string{"east-1", "west-1", "east-2", "west-2"}
	regions     = map[string]string{
		"east-1": "east",
		"east-2": "east",
		"west-1": "west",
		"west-2": "west",
	}
)

// Fleet is a deployment. Its processes write their logs to Folder.
type Fleet struct {
	// Program is the program of the deploy file.
	Program string
	// Folder holds settings, logs and data.
	Folder   string
	Record   *Record
	Controls []*VM
	Entries  []*VM

	mutex sync.Mutex
	all   []*VM
}

// New returns a deployment without VMs, in a temporary folder. It writes its record to record.txt in the working folder.
func New(program string) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "foxtailpulley-review-")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord("record.txt")
	if err != nil {
		return nil, err
	}
	return &Fleet{
		Program: program,
		Folder:  folder,
		Record:  rec,
	}, nil
}

// VM is one machine, with one process of the program.
type VM struct {
	Name string
	// Control is the address of the control API, and Callers that for clients. One of them is empty.
	Control, Callers, Ready string
	DataFolder              string
	fleet                   *Fleet
	settings                map[string]any

	mutex sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// Unexpected counts the ends of the process that no signal of this test has caused.
	unexpected int
	stopping   bool
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(count int) ([]string, error) {
	var all []string
	for range count {
		address, err := fpport.Free()
		if err != nil {
			return nil, err
		}
		all = append(all, address)
	}
	return all, nil
}

// AddControl adds a control VM that is not started yet.
func (fle *Fleet) AddControl(dataCentre string) (*VM, error) {
	ports, err := freeAddresses(2)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("core-%s-%d", dataCentre, len(fle.Controls)+1)
	vm := fle.add(name, dataCentre)
	vm.Control = ports[0]
	vm.DataFolder = filepath.Join(fle.Folder, name+"-data")
	vm.settings["dataFolder"] = vm.DataFolder
	vm.settings["listen"] = map[string]string{
		"control": ports[0],
		"metrics": ports[1],
	}
	vm.settings["memoryMiB"] = 280
	fle.Controls = append(fle.Controls, vm)
	return vm, nil
}

// AddEntry adds an entry VM that is not started yet.
func (fle *Fleet) AddEntry(dataCentre string) (*VM, error) {
	ports, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	vm := fle.add(fmt.Sprintf("edge-%s-%d", dataCentre, len(fle.Entries)+1), dataCentre)
	vm.Callers, vm.Ready = ports[0], ports[1]
	vm.settings["listen"] = map[string]string{
		"callers": ports[0],
		"ready":   ports[1],
		"relay":   ports[2],
		"metrics": ports[3],
	}
	vm.settings["memoryMiB"] = 284
	fle.Entries = append(fle.Entries, vm)
	return vm, nil
}

// add adds a VM with the settings that deploy/settings.json.tmpl renders for a site of 8 entry and 4 control VMs.
func (fle *Fleet) add(name, dataCentre string) *VM {
	vm := &VM{
		Name:  name,
		fleet: fle,
		settings: map[string]any{
			"vm":         name,
			"dataCentre": dataCentre,
			"region":     regions[dataCentre],
			"regions":    regions,
			"firstStart": true,
			"promises": map[string]any{
				"stop":        "6s",
				"retryWindow": "10s",
				"retryExtra":  56,
				"drain":       "2500ms",
				"maxHold":     "10000ms",
				"retryShare":  0.2,
			},
			"losses": map[string]int{
				"vms":         1,
				"dataCentres": 0,
				"regions":     0,
			},
			"linkMbps": 1000,
			"logLevel": "info",
		},
	}
	fle.mutex.Lock()
	defer fle.mutex.Unlock()
	fle.all = append(fle.all, vm)
	return vm
}

// SetSeeds sets the control VMs that the next start of a VM is told of.
func (vm *VM) SetSeeds(seeds ...*VM) {
	var addresses []string
	for _, seed := range seeds {
		addresses = append(addresses, seed.Control)
	}
	vm.settings["seeds"] = addresses
}

// SetFirstStart sets whether the next start is the first one of the whole deployment.
func (vm *VM) SetFirstStart(first bool) { vm.settings["firstStart"] = first }

// Start writes the settings and starts the process with the command of the deploy file.
func (vm *VM) Start() error {
	buf, err := json.MarshalIndent(vm.settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(vm.fleet.Folder, vm.Name+".json")
	if err := os.WriteFile(path, buf, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(vm.fleet.Folder, vm.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	cmd := exec.Command(vm.fleet.Program, "gateway", "--settings", path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL, // no process outlives this one
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.cmd, vm.ended, vm.stopping = cmd, make(chan struct{}), false
	ended := vm.ended
	go func() {
		err := cmd.Wait()
		vm.mutex.Lock()
		if !vm.stopping {
			vm.unexpected++
			vm.fleet.Record.Write("process of %s ended by itself: %v", vm.Name, err)
		}
		vm.mutex.Unlock()
		close(ended)
	}()
	vm.fleet.Record.Write("%s started", vm.Name)
	return nil
}

// Signal sends a signal that does not end the process.
func (vm *VM) Signal(sig syscall.Signal) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.cmd != nil {
		_ = vm.cmd.Process.Signal(sig) // the process may have ended
		vm.fleet.Record.Write("%s gets signal %v", vm.Name, sig)
	}
}

// Unexpected returns how often the process has ended by itself.
func (vm *VM) Unexpected() int {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.unexpected
}

// Kill ends the process with SIGKILL and waits for its end.
func (vm *VM) Kill() {
	vm.mutex.Lock()
	cmd, ended := vm.cmd, vm.ended
	vm.stopping = true
	vm.cmd = nil
	vm.mutex.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // the process may have ended
	<-ended
	vm.fleet.Record.Write("%s killed", vm.Name)
}

// KillAll is a final fault: all processes are killed at the same moment and are back within a second.
func (fle *Fleet) KillAll() error {
	all := append(append([]*VM(nil), fle.Controls...), fle.Entries...)
	var ends sync.WaitGroup
	for _, vm := range all {
		ends.Go(vm.Kill)
	}
	ends.Wait()
	time.Sleep(800 * time.Millisecond)
	for _, vm := range all {
		vm.SetFirstStart(false)
		if err := vm.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes and removes the folder, unless KEEP is set in the environment.
func (fle *Fleet) Close() {
	fle.mutex.Lock()
	all := fle.all
	fle.mutex.Unlock()
	for _, vm := range all {
		vm.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fle.Folder) // a temporary folder
	} else {
		fmt.Fprintln(os.Stderr, "kept", fle.Folder)
	}
	fle.Record.Close()
}

// Record is the list of what was sent, answered and run.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*Record, error) {
	fil, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{
		file:  fil,
		began: time.Now(),
	}, nil
}

// Write adds a line with the seconds since the start.
func (rec *Record) Write(format string, args ...any) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	fmt.Fprintf(rec.file, "%8.3f "+format+"\n", append([]any{time.Since(rec.began).Seconds()}, args...)...)
}

// Close closes the file.
func (rec *Record) Close() { _ = rec.file.Close() }

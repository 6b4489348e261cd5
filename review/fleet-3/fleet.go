// Package fleet starts a small deployment of the gateway on loopback: control VMs, entry VMs, stand-in workers and an
// operator. The stand-ins follow the users' PROTOCOL.md and use only the standard library.
package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Fleet is a deployment and the record of a run.
type Fleet struct {
	// Program is the path of the gateway's executable.
	Program string
	// Folder holds settings, data and logs.
	Folder   string
	Controls []*Process
	Entries  []*Process
	Record   *Record
	// Losses is the number of control VMs that may be lost at once.
	Losses int
	// MemoryMiB is the memory of an entry VM as its settings state it.
	MemoryMiB int
	// Descriptors is the limit of descriptors of each entry VM, or 0.
	Descriptors int
}

// Record writes what happens to a file.
type Record struct {
	mutex sync.Mutex
	out   io.Writer
	start time.Time
}

// NewRecord returns a record that writes to a file.
func NewRecord(path string) (*Record, error) {
	fil, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{
		out:   fil,
		start: time.Now(),
	}, nil
}

// Printf writes one line with the time since the start.
func (rec *Record) Printf(format string, args ...any) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	fmt.Fprintf(rec.out, "%8.3f ", time.Since(rec.start).Seconds())
	fmt.Fprintf(rec.out, format+"\n", args...)
}

// Since returns the seconds from the start of the record to a time.
func (rec *Record) Since(at time.Time) float64 { return at.Sub(rec.start).Seconds() }

// Process is one gateway process, which can be started again with the same settings.
type Process struct {
	Name                      string
	Zone                      string
	Callers, Ready, Relay     string
	Control                   string
	Descriptors               int // limit of descriptors, or 0
	fleet                     *Fleet
	mutex                     sync.Mutex
	cmd                       *exec.Cmd
	done                      chan struct{}
	exit                      error
	expected                  bool // the end was asked for
	settings, log, dataFolder string
	seeds                     []string
	starts                    int
	OwnEnds                   int // ends that nobody asked for
}

// Ports are taken from below the range that the system gives to outgoing connections, which could take one before it is used.
const (
	firstPort = 15000
	portCount = 15000
)

var nextPort = firstPort + os.Getpid()*211%portCount

// FreeAddress returns a loopback address with a port that is free now, another one at each call.
func FreeAddress() string {
	for range portCount {
		nextPort++
		lis, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", firstPort+nextPort%portCount))
		if err == nil {
			_ = lis.Close() // it only showed that the port is free
			return lis.Addr().String()
		}
	}
	panic("no port is free")
}

// Zones are the zones of the deployment, each with its region.
var Zones = map[string]string{"east-a": "east", "east-b": "east", "west-a": "west", "west-b": "west"}

var zoneNames = []string{"east-a", "east-b", "west-a", "west-b"}

// ZoneName returns the name of one of the zones.
func ZoneName(num int) string { return zoneNames[num%len(zoneNames)] }

// Start starts control and entry VMs. The first three control VMs are the seeds.
func (fle *Fleet) Start(controls, entries int) error {
	for num := range controls {
		fle.Controls = append(fle.Controls, &Process{
			Name:    fmt.Sprint("core-", num+1),
			Zone:    ZoneName(num),
			Control: FreeAddress(),
			fleet:   fle,
		})
	}
	for num := range entries {
		pro := &Process{
			Name:        fmt.Sprint("edge-", num+1),
			Zone:        ZoneName(num % 2),
			Callers:     FreeAddress(),
			Ready:       FreeAddress(),
			Relay:       FreeAddress(),
			Descriptors: fle.Descriptors,
			fleet:       fle,
		}
		fle.Entries = append(fle.Entries, pro)
	}
	var seeds []string
	for _, pro := range fle.Controls[:min(3, controls)] {
		seeds = append(seeds, pro.Control)
	}
	for _, pro := range append(append([]*Process{}, fle.Controls...), fle.Entries...) {
		pro.seeds = seeds
		if err := pro.Start(true); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes what deploy/settings.json.tmpl gives.
func (pro *Process) writeSettings(first bool) error {
	fle := pro.fleet
	listen := map[string]any{}
	if pro.Callers != "" {
		listen["callers"], listen["ready"], listen["relay"] = pro.Callers, pro.Ready, pro.Relay
	}
	all := map[string]any{
		"vm": pro.Name, "dataCentre": pro.Zone, "region": Zones[pro.Zone], "regions": Zones, "seeds": pro.seeds, "firstStart": first,
		"listen": listen,
		"promises": map[string]any{
			"stop": "6s", "retryWindow": "10s", "retryExtra": 62, "drain": "2500ms", "catchUp": "4s", "maxHold": "10000ms", "retryShare": 0.2,
		},
		"losses":   map[string]any{"vms": fle.Losses, "dataCentres": 0, "regions": 0},
		"linkMbps": 1000.0, "memoryMiB": 284, "logLevel": "info",
	}
	if pro.Control != "" {
		listen["control"] = pro.Control
		pro.dataFolder = filepath.Join(fle.Folder, pro.Name, "data")
		all["dataFolder"] = pro.dataFolder
		all["memoryMiB"] = 280
	}
	if pro.Callers != "" && fle.MemoryMiB > 0 {
		all["memoryMiB"] = fle.MemoryMiB
	}
	buf, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	folder := filepath.Join(fle.Folder, pro.Name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	pro.settings, pro.log = filepath.Join(folder, "settings.json"), filepath.Join(folder, "log")
	return os.WriteFile(pro.settings, buf, 0o644)
}

// Start starts the process.
func (pro *Process) Start(first bool) error {
	if err := pro.writeSettings(first); err != nil {
		return err
	}
	log, err := os.OpenFile(pro.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(pro.fleet.Program, "gateway", "--settings", pro.settings)
	if pro.Descriptors > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, pro.Descriptors), pro.fleet.Program, "gateway", "--settings", pro.settings)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	pro.mutex.Lock()
	pro.cmd, pro.done, pro.expected = cmd, done, false
	pro.starts++
	pro.mutex.Unlock()
	pro.fleet.Record.Printf("start %s pid %d", pro.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		pro.mutex.Lock()
		pro.exit = err
		own := !pro.expected
		if own {
			pro.OwnEnds++
		}
		pro.mutex.Unlock()
		if own {
			pro.fleet.Record.Printf("end of %s, which nobody asked for: %v", pro.Name, err)
		}
		close(done)
	}()
	return nil
}

// PID returns the id of the process.
func (pro *Process) PID() int { return pro.cmd.Process.Pid }

// Done is closed when the process has ended.
func (pro *Process) Done() <-chan struct{} {
	pro.mutex.Lock()
	defer pro.mutex.Unlock()
	return pro.done
}

// Running reports whether the process runs.
func (pro *Process) Running() bool {
	select {
	case <-pro.Done():
		return false
	default:
		return true
	}
}

// Signal sends a signal. One that ends the process is expected to do so.
func (pro *Process) Signal(sig syscall.Signal) {
	pro.mutex.Lock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		pro.expected = true
	}
	cmd := pro.cmd
	pro.mutex.Unlock()
	pro.fleet.Record.Printf("signal %v to %s", sig, pro.Name)
	_ = cmd.Process.Signal(sig)
}

// Kill ends the process at once and waits for its end.
func (pro *Process) Kill() {
	pro.Signal(syscall.SIGKILL)
	<-pro.Done()
}

// WipeData removes the data folder of a process that has ended.
func (pro *Process) WipeData() error { return os.RemoveAll(pro.dataFolder) }

// MemoryKiB returns the resident memory of the process.
func (pro *Process) MemoryKiB() int {
	buf, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pro.PID()))
	for _, line := range bytes.Split(buf, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			num, _ := strconv.Atoi(string(bytes.Fields(rest)[0]))
			return num
		}
	}
	return 0
}

// Stop ends all processes.
func (fle *Fleet) Stop() {
	for _, pro := range append(append([]*Process{}, fle.Controls...), fle.Entries...) {
		if pro.cmd != nil && pro.Running() {
			pro.Kill()
		}
	}
}

// controlClient sends the calls of operators and workers.
var controlClient = &http.Client{
	Timeout: time.Second,
	Transport: &http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     5 * time.Second,
	},
}

// Call sends one call to a control VM and returns its status and body; 0 without an answer.
func Call(address, call, of string, body any) (int, []byte) {
	var buf []byte
	if raw, ok := body.([]byte); ok {
		buf = raw
	} else if body != nil {
		buf, _ = json.Marshal(body)
	}
	target := "http://" + address + "/rpc?call=" + call
	if of != "" {
		target += "&of=" + of
	}
	res, err := controlClient.Post(target, "application/json", bytes.NewReader(buf))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	out, _ := io.ReadAll(res.Body)
	return res.StatusCode, out
}

// Put sends a configuration to one control VM after the other until one acknowledges it, and reports whether one did in time.
func (fle *Fleet) Put(cfg any, within time.Duration) bool {
	for num, until := 0, time.Now().Add(within); time.Now().Before(until); num++ {
		pro := fle.Controls[num%len(fle.Controls)]
		status, _ := Call(pro.Control, "config.put", "", cfg)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// AwaitReady waits until an entry VM says that it is ready.
func (pro *Process) AwaitReady(within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		res, err := controlClient.Get("http://" + pro.Ready + "/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

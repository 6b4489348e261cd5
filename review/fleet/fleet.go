// Package fleet starts the processes of a small deployment on loopback, with the command of the deploy file and settings as its
// template renders them.
package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Program is the program of the deploy file, relative to the root of the repository.
const Program = "target/foxtailpulley"

// Process is one VM.
type Process struct {
	Name, Zone   string
	Callers      string
	Ready        string
	Control      string
	settingsFile string
	logFile      string
	mutex        sync.Mutex
	cmd          *exec.Cmd
	ended        chan struct{}
}

// Fleet is a running deployment.
type Fleet struct {
	Folder   string
	Controls []*Process
	Entries  []*Process
}

var regions = map[string]string{
	"caerdydd": "de-cymru",
	"abertawe": "de-cymru",
	"bangor":   "gogledd",
	"wrecsam":  "gogledd",
}

var zones = []string{"caerdydd", "bangor", "abertawe", "wrecsam"}

const (
	// firstPort and portBlocks give the ports of all runs, which are below those that the system gives to outgoing connections.
	// Each run begins at a block of its own, so that runs side by side don't get the same ones.
	firstPort  = 10000
	portBlocks = 190
	blockSize  = 100
)

var (
	portsMutex sync.Mutex
	nextPort   = os.Getpid() % portBlocks * blockSize
)

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) {
	portsMutex.Lock()
	defer portsMutex.Unlock()
	for range portBlocks * blockSize {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort%(portBlocks*blockSize))
		nextPort++
		if lis, err := net.Listen("tcp", address); err == nil {
			return address, lis.Close()
		}
	}
	return "", errors.New("no port is free")
}

func must(text string, err error) string {
	if err != nil {
		panic(err)
	}
	return text
}

// Start starts control VMs and entry VMs, distributed over four zones.
func Start(controls, entries int) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	fle := &Fleet{
		Folder: folder,
	}
	var seeds []string
	for num := range controls {
		pro := &Process{
			Name:    fmt.Sprintf("core-%s-%d", zones[num%4], num/4+1),
			Zone:    zones[num%4],
			Control: must(FreeAddress()),
		}
		fle.Controls = append(fle.Controls, pro)
		if num < 3 {
			seeds = append(seeds, pro.Control)
		}
	}
	for num := range entries {
		fle.Entries = append(fle.Entries, &Process{
			Name:    fmt.Sprintf("edge-%s-%d", zones[num%4], num/4+1),
			Zone:    zones[num%4],
			Callers: must(FreeAddress()),
			Ready:   must(FreeAddress()),
		})
	}
	for _, pro := range fle.All() {
		if err := pro.writeSettings(folder, seeds); err != nil {
			return nil, err
		}
	}
	for _, pro := range fle.All() {
		if err := pro.Start(); err != nil {
			fle.Stop()
			return nil, err
		}
	}
	return fle, nil
}

// All returns all VMs.
func (fle *Fleet) All() []*Process {
	return append(append([]*Process{}, fle.Controls...), fle.Entries...)
}

// ControlAddresses returns the addresses of the control VMs.
func (fle *Fleet) ControlAddresses() []string {
	var all []string
	for _, pro := range fle.Controls {
		all = append(all, pro.Control)
	}
	return all
}

func (pro *Process) writeSettings(folder string, seeds []string) error {
	listen := map[string]string{
		"metrics": must(FreeAddress()),
	}
	set := map[string]any{
		"vm":         pro.Name,
		"dataCentre": pro.Zone,
		"region":     regions[pro.Zone],
		"regions":    regions,
		"seeds":      seeds,
		"firstStart": true,
		"listen":     listen,
		"promises": map[string]any{
			"stop":        "6s",
			"retryWindow": "10s",
			"retryExtra":  62,
			"drain":       "2500ms",
			"maxHold":     "10000ms",
			"retryShare":  0.2,
		},
		"losses": map[string]int{
			"vms":         1,
			"dataCentres": 0,
			"regions":     0,
		},
		"logLevel": "info",
	}
	if pro.Control != "" {
		listen["control"] = pro.Control
		set["dataFolder"] = filepath.Join(folder, "data-"+pro.Name)
		set["linkMbps"], set["memoryMiB"] = 170.0, 280
	} else {
		listen["callers"], listen["ready"], listen["relay"] = pro.Callers, pro.Ready, must(FreeAddress())
		set["linkMbps"], set["memoryMiB"] = 1000.0, 284
	}
	buf, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return err
	}
	pro.settingsFile = filepath.Join(folder, pro.Name+".json")
	pro.logFile = filepath.Join(folder, pro.Name+".log")
	return os.WriteFile(pro.settingsFile, buf, 0o600)
}

// Start starts the process.
func (pro *Process) Start() error {
	out, err := os.OpenFile(pro.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(Program, "gateway", "--settings", pro.settingsFile)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	pro.mutex.Lock()
	pro.cmd, pro.ended = cmd, ended
	pro.mutex.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (pro *Process) Signal(sig syscall.Signal) error {
	pro.mutex.Lock()
	defer pro.mutex.Unlock()
	return pro.cmd.Process.Signal(sig)
}

// Ended returns a channel that is closed when the process has ended.
func (pro *Process) Ended() <-chan struct{} {
	pro.mutex.Lock()
	defer pro.mutex.Unlock()
	return pro.ended
}

// Kill kills the process and waits for its end.
func (pro *Process) Kill() {
	_ = pro.Signal(syscall.SIGKILL)
	<-pro.Ended()
}

// Log returns what the process has written.
func (pro *Process) Log() string {
	buf, _ := os.ReadFile(pro.logFile)
	return string(buf)
}

// Stop kills all processes and removes the folder.
func (fle *Fleet) Stop() {
	for _, pro := range fle.All() {
		if pro.cmd != nil {
			_ = pro.Signal(syscall.SIGCONT)
			pro.Kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fle.Folder)
	}
}

var controlClient = &http.Client{
	Timeout: time.Second,
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

// Call makes a call to a control VM and returns the status and the body of the answer.
func Call(address, call, of string, body []byte) (int, []byte, error) {
	target := "http://" + address + "/rpc?call=" + call
	if of != "" {
		target += "&of=" + of
	}
	res, err := controlClient.Post(target, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	buf, err := io.ReadAll(res.Body)
	return res.StatusCode, buf, err
}

// Put sends a configuration to the control VMs in turn until one acknowledges or refuses it.
func (fle *Fleet) Put(cfg any) error {
	buf, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		for _, address := range fle.ControlAddresses() {
			status, text, err := Call(address, "config.put", "", buf)
			if err == nil && status == http.StatusOK {
				return nil
			}
			if err == nil && status < 500 {
				return fmt.Errorf("the configuration was refused: %d %s", status, text)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged")
}

// AwaitReady waits until all entry VMs report that they are ready.
func (fle *Fleet) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, pro := range fle.Entries {
			res, err := controlClient.Get("http://" + pro.Ready + "/ready")
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(fle.Entries) {
			return nil
		}
	}
	return errors.New("the entry VMs did not become ready")
}

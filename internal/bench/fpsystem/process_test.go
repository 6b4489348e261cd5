package fpsystem_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binary is the path of the daemon, built once for all tests.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "fpsystem-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "foxtailpulley")
	out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/foxtailpulley").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build the daemon: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one started process of the daemon.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	once sync.Once
	// end is when the process was found to have ended. It is set before done is closed.
	end time.Time
}

// start runs the daemon with the given arguments until the test ends.
func start(t *testing.T, folder, name string, args ...string) *process {
	t.Helper()
	log := filepath.Join(folder, name+".log")
	fil, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout = fil
	cmd.Stderr = fil
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	pro := &process{
		name: name,
		cmd:  cmd,
		log:  log,
		done: make(chan struct{}),
	}
	go func() {
		_ = cmd.Wait()
		pro.end = time.Now()
		_ = fil.Close()
		close(pro.done)
	}()
	t.Cleanup(func() {
		pro.kill()
		if t.Failed() {
			pro.printLog(t)
		}
	})
	return pro
}

func (pro *process) printLog(t *testing.T) {
	const tail = 40
	data, err := os.ReadFile(pro.log)
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	t.Logf("log of %s:\n%s", pro.name, strings.Join(lines[max(0, len(lines)-tail):], "\n"))
}

// logSize returns the length of the log, for logSince.
func (pro *process) logSize() int {
	data, _ := os.ReadFile(pro.log)
	return len(data)
}

// logSince returns what was logged after the log had a length.
func (pro *process) logSince(size int) string {
	data, _ := os.ReadFile(pro.log)
	return string(data[min(size, len(data)):])
}

func (pro *process) pid() int { return pro.cmd.Process.Pid }

// kill ends the process at once and waits for its end.
func (pro *process) kill() {
	pro.once.Do(func() { _ = pro.cmd.Process.Kill() })
	<-pro.done
}

// hasEnded reports whether the process has ended.
func (pro *process) hasEnded() bool {
	// A timer of zero would be ready as well, and select would then miss half of the ends.
	select {
	case <-pro.done:
		return true
	default:
		return false
	}
}

// freeze stops the process without ending it, and thaw lets it go on.
func (pro *process) freeze() { _ = pro.cmd.Process.Signal(syscall.SIGSTOP) }
func (pro *process) thaw()   { _ = pro.cmd.Process.Signal(syscall.SIGCONT) }

// terminate asks the process to stop.
func (pro *process) terminate() { _ = pro.cmd.Process.Signal(syscall.SIGTERM) }

// ended reports whether the process ends within the given time.
func (pro *process) ended(limit time.Duration) bool {
	select {
	case <-pro.done:
		return true
	case <-time.After(limit):
		return false
	}
}

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

// binary is the path of the daemon, which TestMain builds.
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
		fmt.Fprintf(os.Stderr, "cannot build the daemon: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a started process of the daemon, which runs a VM or a stand-in upstream.
type process struct {
	name     string
	cmd      *exec.Cmd
	logPath  string
	done     chan struct{} // closed when the process has ended
	killOnce sync.Once
	// endedAt is the time at which Wait returned. It is set before done is closed.
	endedAt time.Time
}

// startProcess starts the daemon with the given arguments and appends its output to NAME.log in the folder. The process is
// killed when the test ends; if the test failed, the end of its log is printed.
func startProcess(t *testing.T, folder, name string, args ...string) *process {
	t.Helper()
	logPath := filepath.Join(folder, name+".log")
	fil, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
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
		name:    name,
		cmd:     cmd,
		logPath: logPath,
		done:    make(chan struct{}),
	}
	go func() {
		_ = cmd.Wait()
		pro.endedAt = time.Now()
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

// printLog prints the last lines of the log.
func (pro *process) printLog(t *testing.T) {
	const maxLines = 40
	data, err := os.ReadFile(pro.logPath)
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	t.Logf("log of %s:\n%s", pro.name, strings.Join(lines[max(0, len(lines)-maxLines):], "\n"))
}

// logSize returns the length of the log in bytes, for logSince.
func (pro *process) logSize() int {
	data, _ := os.ReadFile(pro.logPath)
	return len(data)
}

// logSince returns the log without its first size bytes.
func (pro *process) logSince(size int) string {
	data, _ := os.ReadFile(pro.logPath)
	return string(data[min(size, len(data)):])
}

func (pro *process) pid() int { return pro.cmd.Process.Pid }

// kill sends SIGKILL and waits until the process has ended.
func (pro *process) kill() {
	pro.killOnce.Do(func() { _ = pro.cmd.Process.Kill() })
	<-pro.done
}

// hasEnded reports whether the process has ended.
func (pro *process) hasEnded() bool {
	// endsWithin(0) does not do here: its timer is ready at once, and select then picks either case at random.
	select {
	case <-pro.done:
		return true
	default:
		return false
	}
}

// freeze suspends the process with SIGSTOP.
func (pro *process) freeze() { _ = pro.cmd.Process.Signal(syscall.SIGSTOP) }

// thaw continues a frozen process.
func (pro *process) thaw() { _ = pro.cmd.Process.Signal(syscall.SIGCONT) }

// terminate sends SIGTERM, which asks the process for a planned stop.
func (pro *process) terminate() { _ = pro.cmd.Process.Signal(syscall.SIGTERM) }

// endsWithin waits for the process to end and reports whether it did within the timeout.
func (pro *process) endsWithin(timeout time.Duration) bool {
	select {
	case <-pro.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

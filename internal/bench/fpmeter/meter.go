// Package fpmeter provides measurements for benchmarks: the CPU time of the process and the bytes on connections. It also
// starts the peer of a connection in a separate process, whose CPU time CPUTime does not include.
package fpmeter

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// CPUTime returns the CPU time that this process has used so far, in user and system mode. It panics if the system does
// not report it.
func CPUTime() time.Duration {
	var rus syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rus); err != nil {
		panic(err)
	}
	return time.Duration(rus.Utime.Nano() + rus.Stime.Nano())
}

// Conn is a connection that counts its bytes. Received and Sent must not be nil and may be the same counter.
type Conn struct {
	net.Conn
	Received *atomic.Int64
	Sent     *atomic.Int64
}

// Read implements net.Conn and adds the bytes read to Received.
func (con *Conn) Read(data []byte) (int, error) {
	num, err := con.Conn.Read(data)
	con.Received.Add(int64(num))
	return num, err
}

// Write implements net.Conn and adds the bytes written to Sent.
func (con *Conn) Write(data []byte) (int, error) {
	num, err := con.Conn.Write(data)
	con.Sent.Add(int64(num))
	return num, err
}

// StartPeer runs the test binary as a second process with variable set to value in its environment; the variable tells its
// TestMain to serve the other end of the benchmark. It returns the address that the process prints on its standard output.
// At the end of the test it closes the standard input of the process and waits for its exit. Errors fail the test.
func StartPeer(tbn testing.TB, variable, value string) string {
	tbn.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), variable+"="+value)
	input, err := cmd.StdinPipe()
	if err != nil {
		tbn.Fatal(err)
	}
	output, err := cmd.StdoutPipe()
	if err != nil {
		tbn.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		tbn.Fatal(err)
	}
	tbn.Cleanup(func() {
		_ = input.Close()
		if err := cmd.Wait(); err != nil {
			tbn.Error(err)
		}
	})
	var address string
	if _, err := fmt.Fscanln(output, &address); err != nil {
		tbn.Fatal(err)
	}
	return address
}

// Package fpmeter measures what a benchmark costs: CPU time of the process, bytes on connections, and the other end of a
// connection in a process of its own.
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

// CPUTime returns the CPU time that this process has used, in user and system mode.
func CPUTime() time.Duration {
	var rus syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rus); err != nil {
		panic(err)
	}
	return time.Duration(rus.Utime.Nano() + rus.Stime.Nano())
}

// Conn is a connection whose bytes are counted. Received and Sent may be the same counter.
type Conn struct {
	net.Conn
	Received *atomic.Int64
	Sent     *atomic.Int64
}

// Read counts the bytes that it reads.
func (con *Conn) Read(data []byte) (int, error) {
	num, err := con.Conn.Read(data)
	con.Received.Add(int64(num))
	return num, err
}

// Write counts the bytes that it writes.
func (con *Conn) Write(data []byte) (int, error) {
	num, err := con.Conn.Write(data)
	con.Sent.Add(int64(num))
	return num, err
}

// StartPeer starts the test binary again with one more variable in its environment, by which its TestMain serves the other end
// of a benchmark. It returns the address that the process prints, and ends the process with the test by closing its input.
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

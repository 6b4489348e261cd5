package fpsystem_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// socketOwners finds the process that opened a connection to a proxy. All processes use the loopback address, so
// the ports are looked up in the kernel's tables in /proc. A scan of the tables takes tens of milliseconds on a machine with
// thousands of sockets, and routers open many connections at once. One scan therefore serves all waiting connections.
type socketOwners struct {
	// pids returns the names of the processes by process id.
	pids func() map[int]string

	mutex    sync.Mutex
	scanning bool        // the scan goroutine runs
	pending  *socketScan // next scan, which has not begun; nil if no connection waits for it
}

// ports are the ports of a connection, from the side of the process that opened it.
type ports struct{ local, remote int }

// socketScan is a scan of the kernel's tables.
type socketScan struct {
	done   chan struct{} // closed when owners is set
	owners map[ports]string
}

// opener returns the name of the process that opened a connection, or "" if it is not found. It waits for a scan that begins
// after the call.
func (own *socketOwners) opener(con net.Conn) string {
	own.mutex.Lock()
	if own.pending == nil {
		own.pending = &socketScan{
			done: make(chan struct{}),
		}
	}
	scn := own.pending
	if !own.scanning {
		own.scanning = true
		go own.scan()
	}
	own.mutex.Unlock()
	<-scn.done
	return scn.owners[ports{
		local:  con.RemoteAddr().(*net.TCPAddr).Port,
		remote: con.LocalAddr().(*net.TCPAddr).Port,
	}]
}

// scan scans the tables until no more connections wait.
func (own *socketOwners) scan() {
	for {
		own.mutex.Lock()
		scn := own.pending
		own.pending = nil
		own.scanning = scn != nil
		own.mutex.Unlock()
		if scn == nil {
			return
		}
		inodes := connectionInodes()
		scn.owners = map[ports]string{}
		for pid, name := range own.pids() {
			for _, inode := range openSockets(pid) {
				if por, ok := inodes[inode]; ok {
					scn.owners[por] = name
				}
			}
		}
		close(scn.done)
	}
}

// connectionInodes returns the ports of all IPv4 TCP connections by the inode of their socket.
func connectionInodes() map[string]ports {
	all := map[string]ports{}
	fil, err := os.Open("/proc/net/tcp")
	if err != nil {
		return all
	}
	defer func() { _ = fil.Close() }()
	for sca := bufio.NewScanner(fil); sca.Scan(); {
		fields := strings.Fields(sca.Text())
		if len(fields) < 10 || fields[9] == "0" {
			continue
		}
		local, remote := hexPort(fields[1]), hexPort(fields[2])
		if local > 0 && remote > 0 {
			all[fields[9]] = ports{
				local:  local,
				remote: remote,
			}
		}
	}
	return all
}

// hexPort returns the port of an address such as 0100007F:1F90, or 0 if it has none.
func hexPort(address string) int {
	_, text, _ := strings.Cut(address, ":")
	port, err := strconv.ParseInt(text, 16, 32)
	if err != nil {
		return 0
	}
	return int(port)
}

// openSockets returns the inodes of the open sockets of a process. It returns nil if the process has ended.
func openSockets(pid int) []string {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil
	}
	var inodes []string
	for _, ent := range entries {
		target, err := os.Readlink(filepath.Join(folder, ent.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			inodes = append(inodes, strings.TrimSuffix(inode, "]"))
		}
	}
	return inodes
}

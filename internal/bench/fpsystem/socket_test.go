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

// socketOwners finds which process opened a connection that a proxy accepted. All processes share the loopback address, so
// the ports are looked up in the tables of the kernel. One look at the tables serves all connections that wait for it,
// because it takes tens of milliseconds on a machine with thousands of sockets, and routers open many connections at once.
type socketOwners struct {
	// pids returns the names of the processes.
	pids func() map[int]string

	mutex   sync.Mutex
	running bool
	next    *socketScan
}

// ports are the ports of a connection as its opener sees them.
type ports struct{ local, remote int }

type socketScan struct {
	done   chan struct{}
	owners map[ports]string
}

// of returns the name of the process that opened a connection, or "".
func (own *socketOwners) of(con net.Conn) string {
	own.mutex.Lock()
	if own.next == nil {
		own.next = &socketScan{
			done: make(chan struct{}),
		}
	}
	scn := own.next
	if !own.running {
		own.running = true
		go own.scan()
	}
	own.mutex.Unlock()
	<-scn.done
	return scn.owners[ports{
		local:  con.RemoteAddr().(*net.TCPAddr).Port,
		remote: con.LocalAddr().(*net.TCPAddr).Port,
	}]
}

// scan reads the tables as long as connections wait for that.
func (own *socketOwners) scan() {
	for {
		own.mutex.Lock()
		scn := own.next
		own.next = nil
		own.running = scn != nil
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

// connectionInodes returns the ports of all connections by the inode of their socket.
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

// hexPort returns the port of an address such as 0100007F:1F90, or 0.
func hexPort(address string) int {
	_, text, _ := strings.Cut(address, ":")
	port, err := strconv.ParseInt(text, 16, 32)
	if err != nil {
		return 0
	}
	return int(port)
}

// openSockets returns the inodes of the sockets of a process.
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

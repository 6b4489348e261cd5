package fpgate

import (
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestNoConnectionSetsUserTimeout guards against a connection, also of a library, that sets TCP_USER_TIMEOUT. It would also decide
// when keep-alive probes give up, whatever their number. All connections of control VMs, entry VMs, upstreams and callers are
// sockets of this process.
func TestNoConnectionSetsUserTimeout(t *testing.T) {
	dep := startDeployment(t, 2, true)
	dep.addWorker("w-0", true)
	dep.waitFor("requests are served", func() bool { status, _ := dep.send(0, 1); return status == http.StatusOK })
	dep.loadKinds(dep.allEntries(), 20, time.Second)
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, ent := range entries {
		fd, err := strconv.Atoi(ent.Name())
		if err != nil {
			t.Fatal(err)
		}
		timeout, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		if err != nil {
			continue // not a TCP socket
		}
		checked++
		if timeout != 0 {
			t.Errorf("a connection has a TCP_USER_TIMEOUT of %d ms", timeout)
		}
	}
	if checked < 12 {
		t.Errorf("%d TCP sockets were checked, want listeners and connections of all VMs", checked)
	}
}

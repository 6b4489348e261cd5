package fpsystem_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// direction is a direction of a proxied connection.
type direction int

const (
	forward  direction = iota // from the process that opened the connection
	backward                  // to it
)

// faults are the faults of the connections that one process opens to another. The zero value has none.
type faults struct {
	// stalled tells for each direction whether its bytes are held back, as by the loss of packets until TCP resends them.
	stalled [2]bool
	// delay is added to the delivery of all bytes in both directions.
	delay time.Duration
	// rate limits each direction, in bytes per second. 0 means no limit.
	rate int
}

// bothWaysCut holds back all bytes in both directions.
var bothWaysCut = faults{
	stalled: [2]bool{true, true},
}

// endpoints are the names of the process that opened a connection and of the one that accepts it.
type endpoints struct{ from, to string }

// network holds the faults between the processes of a system. Each listener that a fault can affect has a proxy.
type network struct {
	// identify returns the name of the process that opened a connection, or "" if it is not found.
	identify func(con net.Conn) string

	mutex   sync.Mutex
	faults  map[endpoints]faults
	changed chan struct{} // closed and replaced when faults changes
	links   map[*link]bool
	// nextFree is the time from which a direction with a limited rate can carry more bytes.
	nextFree map[linkDirection]time.Time
}

// linkDirection is one direction of all connections that one process opens to another; they share the limit on the rate.
type linkDirection struct {
	endpoints endpoints
	direction direction
}

func newNetwork(identify func(con net.Conn) string) *network {
	return &network{
		identify: identify,
		faults:   map[endpoints]faults{},
		changed:  make(chan struct{}),
		links:    map[*link]bool{},
		nextFree: map[linkDirection]time.Time{},
	}
}

// setFaults replaces the faults of the connections that the process from opens to the process to.
func (nwk *network) setFaults(from, to string, flt faults) {
	nwk.mutex.Lock()
	defer nwk.mutex.Unlock()
	nwk.faults[endpoints{from: from, to: to}] = flt
	close(nwk.changed)
	nwk.changed = make(chan struct{})
}

// cut holds back all bytes between two sets of processes. The connections stay open and report no error.
func (nwk *network) cut(group, others []string) {
	for _, first := range group {
		for _, second := range others {
			nwk.setFaults(first, second, bothWaysCut)
			nwk.setFaults(second, first, bothWaysCut)
		}
	}
}

// cutOneWay holds back all bytes from one set of processes to another, on the connections opened by either. Bytes in the
// other direction still pass.
func (nwk *network) cutOneWay(from, to []string) {
	for _, sender := range from {
		for _, receiver := range to {
			nwk.setFaults(sender, receiver, faults{
				stalled: [2]bool{true, false},
			})
			nwk.setFaults(receiver, sender, faults{
				stalled: [2]bool{false, true},
			})
		}
	}
}

// heal removes the faults of all connections. Connections that silence stopped stay silent.
func (nwk *network) heal() {
	nwk.mutex.Lock()
	defer nwk.mutex.Unlock()
	nwk.faults = map[endpoints]faults{}
	close(nwk.changed)
	nwk.changed = make(chan struct{})
}

// silence stops the delivery on all open connections permanently and leaves them open. New connections work. It returns
// the number of silent connections.
func (nwk *network) silence() int {
	nwk.mutex.Lock()
	defer nwk.mutex.Unlock()
	for lnk := range nwk.links {
		lnk.silenceOnce.Do(func() { close(lnk.silent) })
	}
	return len(nwk.links)
}

// proxy accepts connections for one listener of a process and forwards their bytes with the faults of the network.
type proxy struct {
	network  *network
	name     string
	target   string
	listener net.Listener
	wgr      sync.WaitGroup
}

// link is one proxied connection.
type link struct {
	endpoints endpoints
	// connections are those from the opener, at index forward, and to the target, at index backward. Each is the source of
	// the bytes of its direction. The latter is nil before the target is dialed.
	connections [2]net.Conn
	silent      chan struct{} // closed when the connection goes silent
	silenceOnce sync.Once
}

// newProxy starts a proxy on a free port that forwards to the address target of the process name, until the test ends.
func newProxy(t *testing.T, nwk *network, name, target string) *proxy {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pro := &proxy{
		network:  nwk,
		name:     name,
		target:   target,
		listener: lis,
	}
	ctx, cancel := context.WithCancel(context.Background())
	pro.wgr.Go(func() { pro.accept(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = lis.Close()
		nwk.closeLinksTo(name)
		pro.wgr.Wait()
	})
	return pro
}

func (pro *proxy) address() string { return pro.listener.Addr().String() }

// closeLinksTo closes all proxied connections to a process.
func (nwk *network) closeLinksTo(name string) {
	nwk.mutex.Lock()
	defer nwk.mutex.Unlock()
	for lnk := range nwk.links {
		if lnk.endpoints.to == name {
			lnk.close()
		}
	}
}

func (pro *proxy) accept(ctx context.Context) {
	for {
		con, err := pro.listener.Accept()
		if err != nil {
			return
		}
		pro.wgr.Go(func() { pro.serve(ctx, con) })
	}
}

// serve finds the origin of an accepted connection, connects to the target and forwards in both directions until one ends.
func (pro *proxy) serve(ctx context.Context, con net.Conn) {
	lnk := &link{
		endpoints: endpoints{
			from: pro.network.origin(ctx, con),
			to:   pro.name,
		},
		silent: make(chan struct{}),
	}
	lnk.connections[forward] = con
	defer lnk.close()
	if lnk.endpoints.from == "" {
		return
	}
	if !pro.network.waitWhileStalled(ctx, lnk, forward) {
		return
	}
	out, err := net.Dial("tcp", pro.target)
	if err != nil {
		return
	}
	lnk.connections[backward] = out
	pro.network.mutex.Lock()
	pro.network.links[lnk] = true
	pro.network.mutex.Unlock()
	var wgr sync.WaitGroup
	for _, dir := range []direction{forward, backward} {
		wgr.Go(func() { pro.pump(ctx, lnk, dir) })
	}
	wgr.Wait()
	pro.network.mutex.Lock()
	delete(pro.network.links, lnk)
	pro.network.mutex.Unlock()
}

// origin returns the name of the process that opened a connection, or "" if it is not found. The kernel's connection table
// is not read atomically and an entry can be missed, hence the retries. The caller closes a connection of unknown origin,
// which could otherwise bypass a cut.
func (nwk *network) origin(ctx context.Context, con net.Conn) string {
	for range originAttempts {
		if name := nwk.identify(con); name != "" {
			return name
		}
		select {
		case <-time.After(originRetryInterval):
		case <-ctx.Done():
			return ""
		}
	}
	return ""
}

const (
	originAttempts      = 20
	originRetryInterval = 10 * time.Millisecond
)

// isSilent reports whether delivery on the connection has stopped permanently.
func (lnk *link) isSilent() bool {
	select {
	case <-lnk.silent:
		return true
	default:
		return false
	}
}

// close closes the connections to both processes.
func (lnk *link) close() {
	for _, end := range lnk.connections {
		if end != nil {
			_ = end.Close()
		}
	}
}

// chunk holds bytes and the earliest time of their delivery.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// pump forwards the bytes of one direction, and closes the link when its source or its destination fails or ends.
func (pro *proxy) pump(ctx context.Context, lnk *link, dir direction) {
	queue := make(chan chunk, 256)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer lnk.close()
		for chk := range queue {
			if !pro.deliver(ctx, lnk, dir, chk) {
				return
			}
		}
	}()
	buf := make([]byte, 32<<10)
	for {
		count, err := lnk.connections[dir].Read(buf)
		if count > 0 {
			chk := chunk{
				data:      append([]byte(nil), buf[:count]...),
				deliverAt: pro.network.deliveryTime(lnk, dir, count),
			}
			select {
			case queue <- chk:
			case <-done:
				err = net.ErrClosed
			}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	<-done
}

// deliveryTime returns when size bytes that were read now are due, by the rate limit and the delay of the link.
func (nwk *network) deliveryTime(lnk *link, dir direction, size int) time.Time {
	nwk.mutex.Lock()
	defer nwk.mutex.Unlock()
	flt := nwk.faults[lnk.endpoints]
	deliverAt := time.Now()
	if flt.rate > 0 {
		key := linkDirection{
			endpoints: lnk.endpoints,
			direction: dir,
		}
		if nwk.nextFree[key].Before(deliverAt) {
			nwk.nextFree[key] = deliverAt
		}
		nwk.nextFree[key] = nwk.nextFree[key].Add(time.Duration(size) * time.Second / time.Duration(flt.rate))
		deliverAt = nwk.nextFree[key]
	}
	return deliverAt.Add(flt.delay)
}

// deliver writes a chunk to its destination when it is due and the direction is not stalled. It reports whether it was
// written, and waits for the end of ctx if the link is silent.
func (pro *proxy) deliver(ctx context.Context, lnk *link, dir direction, chk chunk) bool {
	select {
	case <-lnk.silent:
		<-ctx.Done()
		return false
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(chk.deliverAt)):
	}
	// The connection may be silent here, as select picks at random if the channel is closed and the timer has fired.
	// waitWhileStalled checks that again.
	if !pro.network.waitWhileStalled(ctx, lnk, dir) {
		return false
	}
	_, err := lnk.connections[1-dir].Write(chk.data)
	return err == nil
}

// waitWhileStalled waits until the direction is not stalled and then returns true. It returns false when ctx ends, and
// waits for that end if the link is silent.
func (nwk *network) waitWhileStalled(ctx context.Context, lnk *link, dir direction) bool {
	for {
		if lnk.isSilent() {
			<-ctx.Done()
			return false
		}
		nwk.mutex.Lock()
		stalled := nwk.faults[lnk.endpoints].stalled[dir]
		changed := nwk.changed
		nwk.mutex.Unlock()
		if !stalled {
			return true
		}
		select {
		case <-changed:
		case <-lnk.silent:
			<-ctx.Done()
			return false
		case <-ctx.Done():
			return false
		}
	}
}

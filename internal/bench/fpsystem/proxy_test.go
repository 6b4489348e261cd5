package fpsystem_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// direction is one way of a proxied connection.
type direction int

const (
	forward direction = iota
	backward
)

// faults is what the network does to the bytes between two processes.
type faults struct {
	// stalled holds back all bytes of a direction, as lost packets do until they are sent again.
	stalled [2]bool
	delay   time.Duration
	// rate bounds each direction, in bytes per second; 0 is unbounded.
	rate int
}

// both is a cut in both directions.
var both = faults{
	stalled: [2]bool{true, true},
}

// pair is the two ends of a connection: the process that opened it and the one it reaches.
type pair struct{ from, to string }

// network holds the faults between all processes. Processes reach each other through one proxy per listener.
type network struct {
	identify func(con net.Conn) string

	mutex   sync.Mutex
	faults  map[pair]faults
	changed chan struct{}
	links   map[*link]bool
	nextAt  map[link2]time.Time
}

// link2 is one direction between two processes, which share a rate.
type link2 struct {
	pair pair
	dir  direction
}

func newNetwork(identify func(con net.Conn) string) *network {
	return &network{
		identify: identify,
		faults:   map[pair]faults{},
		changed:  make(chan struct{}),
		links:    map[*link]bool{},
		nextAt:   map[link2]time.Time{},
	}
}

// set replaces the faults of connections opened by from to to.
func (nwk *network) set(from, to string, flt faults) {
	nwk.mutex.Lock()
	defer nwk.mutex.Unlock()
	nwk.faults[pair{from: from, to: to}] = flt
	close(nwk.changed)
	nwk.changed = make(chan struct{})
}

// cut separates two sets of processes in both directions, without an error on any connection.
func (nwk *network) cut(one, two []string) {
	for _, fst := range one {
		for _, snd := range two {
			nwk.set(fst, snd, both)
			nwk.set(snd, fst, both)
		}
	}
}

// cutOneWay loses all bytes from one set of processes to another, on connections opened by either.
func (nwk *network) cutOneWay(from, to []string) {
	for _, fst := range from {
		for _, snd := range to {
			nwk.set(fst, snd, faults{
				stalled: [2]bool{true, false},
			})
			nwk.set(snd, fst, faults{
				stalled: [2]bool{false, true},
			})
		}
	}
}

// heal removes all faults.
func (nwk *network) heal() {
	nwk.mutex.Lock()
	defer nwk.mutex.Unlock()
	nwk.faults = map[pair]faults{}
	close(nwk.changed)
	nwk.changed = make(chan struct{})
}

// silence makes all open connections silent for good, while new connections work, and returns their number.
func (nwk *network) silence() int {
	nwk.mutex.Lock()
	defer nwk.mutex.Unlock()
	for lnk := range nwk.links {
		lnk.once.Do(func() { close(lnk.silent) })
	}
	return len(nwk.links)
}

// proxy accepts connections for one listener of a process.
type proxy struct {
	network  *network
	name     string
	target   string
	listener net.Listener
	wgr      sync.WaitGroup
}

// link is one proxied connection.
type link struct {
	pair   pair
	ends   [2]net.Conn
	silent chan struct{}
	once   sync.Once
}

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
		nwk.closeLinks(name)
		pro.wgr.Wait()
	})
	return pro
}

func (pro *proxy) address() string { return pro.listener.Addr().String() }

func (nwk *network) closeLinks(name string) {
	nwk.mutex.Lock()
	defer nwk.mutex.Unlock()
	for lnk := range nwk.links {
		if lnk.pair.to == name {
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

func (pro *proxy) serve(ctx context.Context, con net.Conn) {
	lnk := &link{
		pair: pair{
			from: pro.network.origin(ctx, con),
			to:   pro.name,
		},
		silent: make(chan struct{}),
	}
	lnk.ends[forward] = con
	defer lnk.close()
	if lnk.pair.from == "" {
		return
	}
	if !pro.network.waitFlowing(ctx, lnk, forward) {
		return
	}
	out, err := net.Dial("tcp", pro.target)
	if err != nil {
		return
	}
	lnk.ends[backward] = out
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

// origin returns the process that opened a connection, or "". The table of the kernel is not read atomically, so an entry may
// be missed; a connection whose origin stays unknown is closed, because it must not pass through a cut.
func (nwk *network) origin(ctx context.Context, con net.Conn) string {
	for range originTries {
		if name := nwk.identify(con); name != "" {
			return name
		}
		select {
		case <-time.After(originPause):
		case <-ctx.Done():
			return ""
		}
	}
	return ""
}

const (
	originTries = 20
	originPause = 10 * time.Millisecond
)

// isSilent reports whether the connection has gone silent for good.
func (lnk *link) isSilent() bool {
	select {
	case <-lnk.silent:
		return true
	default:
		return false
	}
}

func (lnk *link) close() {
	for _, end := range lnk.ends {
		if end != nil {
			_ = end.Close()
		}
	}
}

// chunk is bytes that wait for their time of delivery.
type chunk struct {
	data []byte
	due  time.Time
}

// pump copies one direction of a connection and closes both ends when either ends.
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
		num, err := lnk.ends[dir].Read(buf)
		if num > 0 {
			item := chunk{
				data: append([]byte(nil), buf[:num]...),
				due:  pro.network.dueTime(lnk, dir, num),
			}
			select {
			case queue <- item:
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

// dueTime applies the delay and the rate to num bytes that arrived now.
func (nwk *network) dueTime(lnk *link, dir direction, num int) time.Time {
	nwk.mutex.Lock()
	defer nwk.mutex.Unlock()
	flt := nwk.faults[lnk.pair]
	due := time.Now()
	if flt.rate > 0 {
		key := link2{
			pair: lnk.pair,
			dir:  dir,
		}
		if nwk.nextAt[key].Before(due) {
			nwk.nextAt[key] = due
		}
		nwk.nextAt[key] = nwk.nextAt[key].Add(time.Duration(num) * time.Second / time.Duration(flt.rate))
		due = nwk.nextAt[key]
	}
	return due.Add(flt.delay)
}

func (pro *proxy) deliver(ctx context.Context, lnk *link, dir direction, chk chunk) bool {
	select {
	case <-lnk.silent:
		<-ctx.Done()
		return false
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(chk.due)):
	}
	// waitFlowing checks again whether the connection is silent: of a closed channel and a timer that is due, select takes
	// either.
	if !pro.network.waitFlowing(ctx, lnk, dir) {
		return false
	}
	_, err := lnk.ends[1-dir].Write(chk.data)
	return err == nil
}

// waitFlowing waits until the direction is not stalled. It never returns true for a silent connection.
func (nwk *network) waitFlowing(ctx context.Context, lnk *link, dir direction) bool {
	for {
		if lnk.isSilent() {
			<-ctx.Done()
			return false
		}
		nwk.mutex.Lock()
		stalled := nwk.faults[lnk.pair].stalled[dir]
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

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

// faults is what a proxy does to the bytes of its connections.
type faults struct {
	// stalled holds back all bytes of a direction, as lost packets do until they are sent again.
	stalled [2]bool
	delay   time.Duration
	// rate bounds each direction, in bytes per second; 0 is unbounded.
	rate int
}

// proxy is a TCP proxy that injects faults between two processes.
type proxy struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	faults  faults
	changed chan struct{}
	conns   map[*link]bool
	nextAt  [2]time.Time
}

// link is one proxied connection.
type link struct {
	ends   [2]net.Conn
	silent chan struct{}
	once   sync.Once
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pro := &proxy{
		target:   target,
		listener: lis,
		changed:  make(chan struct{}),
		conns:    map[*link]bool{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		pro.accept(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		_ = lis.Close()
		pro.closeAll()
		<-done
	})
	return pro
}

func (pro *proxy) address() string { return pro.listener.Addr().String() }

// set replaces the faults of the proxy.
func (pro *proxy) set(flt faults) {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	pro.faults = flt
	close(pro.changed)
	pro.changed = make(chan struct{})
}

func (pro *proxy) cut() {
	pro.set(faults{
		stalled: [2]bool{true, true},
	})
}

func (pro *proxy) heal() {
	pro.set(faults{})
}

// silence makes the open connections silent for good, while new connections work.
func (pro *proxy) silence() {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	for lnk := range pro.conns {
		lnk.once.Do(func() { close(lnk.silent) })
	}
}

func (pro *proxy) closeAll() {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	for lnk := range pro.conns {
		lnk.close()
	}
}

func (pro *proxy) accept(ctx context.Context) {
	for {
		con, err := pro.listener.Accept()
		if err != nil {
			return
		}
		go pro.serve(ctx, con)
	}
}

func (pro *proxy) serve(ctx context.Context, con net.Conn) {
	lnk := &link{
		silent: make(chan struct{}),
	}
	lnk.ends[forward] = con
	if !pro.waitFlowing(ctx, lnk, forward) {
		_ = con.Close()
		return
	}
	out, err := net.Dial("tcp", pro.target)
	if err != nil {
		_ = con.Close()
		return
	}
	lnk.ends[backward] = out
	pro.mu.Lock()
	pro.conns[lnk] = true
	pro.mu.Unlock()
	var wgr sync.WaitGroup
	for _, dir := range []direction{forward, backward} {
		wgr.Go(func() { pro.pump(ctx, lnk, dir) })
	}
	wgr.Wait()
	pro.mu.Lock()
	delete(pro.conns, lnk)
	pro.mu.Unlock()
	lnk.close()
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
				due:  pro.dueTime(dir, num),
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
func (pro *proxy) dueTime(dir direction, num int) time.Time {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	due := time.Now()
	if pro.faults.rate > 0 {
		if pro.nextAt[dir].Before(due) {
			pro.nextAt[dir] = due
		}
		pro.nextAt[dir] = pro.nextAt[dir].Add(time.Duration(num) * time.Second / time.Duration(pro.faults.rate))
		due = pro.nextAt[dir]
	}
	return due.Add(pro.faults.delay)
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
	if !pro.waitFlowing(ctx, lnk, dir) {
		return false
	}
	_, err := lnk.ends[1-dir].Write(chk.data)
	return err == nil
}

// waitFlowing waits until the direction is not stalled. It never returns true for a silent connection.
func (pro *proxy) waitFlowing(ctx context.Context, lnk *link, dir direction) bool {
	for {
		pro.mu.Lock()
		stalled := pro.faults.stalled[dir]
		changed := pro.changed
		pro.mu.Unlock()
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

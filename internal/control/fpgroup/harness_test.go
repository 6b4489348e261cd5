package fpgroup

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// world is a group of nodes on a simulated network, inside one synctest bubble. It checks the safety rules all the time.
type world struct {
	dir    string
	mutex  sync.Mutex
	random *rand.Rand
	nodes  map[string]*node
	names  []string
	cut    map[[2]string]bool
	loss   float64
	// applied is the first command seen applied at each index; every node must agree.
	applied map[uint64]string
	acked   map[uint64]string
	refused map[string]bool
	// leases holds, per term, the leader and the latest end of its lease that it has reported.
	leases   map[uint64]Leadership
	leaders  map[uint64]string
	ops      []porcupine.Operation
	clock    atomic.Int64
	problems []string
	// initial are the first voters, and losses limits the number of disks that are lost at the same time.
	initial []string
	losses  chan struct{}
	// blocked is a VM to which sending never returns.
	blocked string
}

// node is one VM. It survives restarts of its group.
type node struct {
	wor    *world
	name   string
	dir    string
	log    *fplog.Log
	gro    *Group
	mach   *recorder
	cancel context.CancelFunc
	done   <-chan error
	base   time.Time
	gate   atomic.Pointer[chan struct{}]
	// frozen is how long the monotonic clock has stood still in nanoseconds.
	frozen  atomic.Int64
	crashed atomic.Bool
	full    atomic.Bool
	// restarting is held while the node is down.
	restarting chan struct{}
}

// recorder is a machine that lists all commands.
type recorder struct {
	nod  *node
	list []string
}

func (rec *recorder) Apply(pos Position, command []byte) []byte {
	rec.nod.wait()
	rec.nod.wor.noteApplied(rec.nod, pos, string(command))
	rec.list = append(rec.list, string(command))
	return []byte(fmt.Sprint(len(rec.list)))
}
func (rec *recorder) Snapshot() ([]byte, error)     { return json.Marshal(rec.list) }
func (rec *recorder) Restore(snapshot []byte) error { return json.Unmarshal(snapshot, &rec.list) }

func newWorld(t *testing.T, seed uint64, count int) *world {
	wor := &world{
		dir:     t.TempDir(),
		random:  rand.New(rand.NewPCG(seed, 0)),
		nodes:   map[string]*node{},
		cut:     map[[2]string]bool{},
		applied: map[uint64]string{},
		acked:   map[uint64]string{},
		refused: map[string]bool{},
		leases:  map[uint64]Leadership{},
		leaders: map[uint64]string{},
		losses:  make(chan struct{}, (count-1)/2),
	}
	for num := range count {
		wor.add(fmt.Sprintf("vm-%d", num))
	}
	wor.initial = slices.Clone(wor.names)
	for _, name := range wor.names {
		wor.nodes[name].start()
	}
	return wor
}

func (wor *world) add(name string) *node {
	nod := &node{
		wor:  wor,
		name: name,
		dir:  filepath.Join(wor.dir, name),
		base: time.Now(),

		restarting: make(chan struct{}, 1),
	}
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	wor.nodes[name] = nod
	wor.names = append(wor.names, name)
	return nod
}

func (wor *world) problem(format string, args ...any) {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	wor.problems = append(wor.problems, fmt.Sprintf(format, args...))
}

func (wor *world) draw(limit int) int {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	return wor.random.IntN(limit)
}

// noteApplied checks log matching: no two nodes apply different commands at one index.
func (wor *world) noteApplied(nod *node, pos Position, command string) {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	if known, ok := wor.applied[pos.Index]; ok && known != command {
		wor.problems = append(wor.problems, fmt.Sprintf("%s applies %q at %s, where another applied %q", nod.name, command, pos, known))
	}
	wor.applied[pos.Index] = command
	if wor.refused[command] {
		wor.problems = append(wor.problems, fmt.Sprintf("%s applies %q, which was refused as not run", nod.name, command))
	}
}

// noteLead checks that leases of two terms never overlap, and that a term has one leader.
func (wor *world) noteLead(nod *node, lea Leadership, now time.Time) {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	if known, ok := wor.leaders[lea.Term]; ok && known != nod.name {
		wor.problems = append(wor.problems, fmt.Sprintf("term %d has the leaders %s and %s", lea.Term, known, nod.name))
	}
	wor.leaders[lea.Term] = nod.name
	for term, other := range wor.leases {
		if term != lea.Term && other.ValidUntil.After(now) {
			wor.problems = append(wor.problems, fmt.Sprintf("%s leads in term %d while the lease of term %d (%s) has %s left",
				nod.name, lea.Term, term, wor.leaders[term], other.ValidUntil.Sub(now)))
		}
	}
	if lea.ValidUntil.After(wor.leases[lea.Term].ValidUntil) {
		wor.leases[lea.Term] = lea
	}
}

// wait blocks while the node is paused.
func (nod *node) wait() {
	if gate := nod.gate.Load(); gate != nil {
		<-*gate
	}
}

func (nod *node) now() instant {
	nod.wait()
	now := time.Now()
	return instant{
		mono: now.Sub(nod.base) - time.Duration(nod.frozen.Load()),
		wall: now.Sub(nod.base),
		at:   now,
	}
}

// pause stops the node's goroutines for a while. With suspend, its monotonic clock stands still meanwhile.
func (nod *node) pause(length time.Duration, suspend bool) {
	gate := make(chan struct{})
	nod.gate.Store(&gate)
	time.Sleep(length)
	if suspend {
		nod.frozen.Add(int64(length))
	}
	nod.gate.Store(nil)
	close(gate)
}

func (nod *node) start() {
	wor := nod.wor
	nod.crashed.Store(false)
	config := fplog.Config{
		SegmentSize: 4096,
		Write: func(fil *os.File, buf []byte) (int, error) {
			if nod.full.Load() {
				num, _ := fil.Write(buf[:len(buf)/2])
				return num, os.ErrInvalid
			}
			return fil.Write(buf)
		},
		Sync: func(*os.File) error {
			nod.wait()
			time.Sleep(time.Duration(wor.draw(3000)) * time.Microsecond)
			if nod.crashed.Load() {
				return os.ErrClosed
			}
			return nil
		},
	}
	lg, err := fplog.Open(nod.dir, config)
	for try := 0; err != nil && try < 100; try++ {
		time.Sleep(50 * time.Millisecond)
		lg, err = fplog.Open(nod.dir, config)
	}
	if err != nil {
		wor.problem("%s: open: %+v", nod.name, err)
		return
	}
	nod.mach = &recorder{
		nod: nod,
	}
	cfg := Config{
		Name:          "g",
		VM:            nod.name,
		Storage:       lg,
		Machine:       nod.mach,
		Send:          nod.send,
		SnapshotCount: 40,
		KeepEntries:   10,
		ChunkSize:     200,
		clock:         nod.now,
	}
	for _, name := range wor.initial {
		cfg.Voters = append(cfg.Voters, Member{
			VM: name,
		})
	}
	gro, err := New(cfg)
	if err != nil {
		wor.problem("%s: new: %+v", nod.name, err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	nod.cancel = cancel
	nod.done = gro.Run(ctx)
	wor.mutex.Lock()
	nod.log, nod.gro = lg, gro
	wor.mutex.Unlock()
}

func (nod *node) group() *Group {
	nod.wor.mutex.Lock()
	defer nod.wor.mutex.Unlock()
	return nod.gro
}

// stop crashes the node: what was not synced is lost.
func (nod *node) stop() {
	if nod.group() == nil {
		return
	}
	nod.crashed.Store(true)
	nod.cancel()
	if err := <-nod.done; err != nil && !fperror.Is(err, fperror.StorageFailed) {
		nod.wor.problem("%s: run: %+v", nod.name, err)
	}
	_ = nod.log.Close()
	nod.wor.mutex.Lock()
	nod.gro = nil
	nod.wor.mutex.Unlock()
}

// loseDisk crashes the node and starts it with an empty folder.
func (nod *node) loseDisk() {
	nod.stop()
	_ = os.RemoveAll(nod.dir)
	nod.start()
}

func (nod *node) send(ctx context.Context, vm string, msgs []*fpwire.GroupMessage) {
	wor := nod.wor
	wor.mutex.Lock()
	blocked := wor.blocked == vm
	wor.mutex.Unlock()
	if blocked {
		<-ctx.Done()
		return
	}
	for _, msg := range msgs {
		wor.mutex.Lock()
		lost := wor.cut[[2]string{nod.name, vm}] || wor.random.Float64() < wor.loss
		delay := time.Duration(200+wor.random.IntN(2000)) * time.Microsecond
		if wor.random.IntN(50) == 0 {
			delay *= 50
		}
		wor.mutex.Unlock()
		if lost {
			continue
		}
		msg = proto.CloneOf(msg)
		time.AfterFunc(delay, func() {
			wor.mutex.Lock()
			tar := wor.nodes[vm]
			wor.mutex.Unlock()
			if tar == nil {
				return
			}
			if gro := tar.group(); gro != nil {
				gro.Step(msg)
			}
		})
	}
}

// setCut cuts or heals the direction from one node to another.
func (wor *world) setCut(from, to string, cut bool) {
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	wor.cut[[2]string{from, to}] = cut
}

func (wor *world) isolate(name string, cut bool) {
	for _, other := range wor.names {
		wor.setCut(name, other, cut)
		wor.setCut(other, name, cut)
	}
}

// watch polls the leadership of all nodes until ctx ends.
func (wor *world) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, name := range wor.names {
			nod := wor.nodes[name]
			gro := nod.group()
			if gro == nil || nod.gate.Load() != nil {
				continue
			}
			if lea, err := gro.Lead(ctx); err == nil {
				wor.noteLead(nod, lea, time.Now())
			}
		}
		time.Sleep(3 * time.Millisecond)
	}
}

// leader waits until a node leads and returns it.
func (wor *world) leader() *node {
	for range 4000 {
		for _, name := range wor.names {
			nod := wor.nodes[name]
			if gro := nod.group(); gro != nil && nod.gate.Load() == nil {
				if _, err := gro.Lead(context.Background()); err == nil {
					return nod
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	wor.problem("no leader within 20 s")
	return nil
}

// propose writes a unique value on one node and records the outcome.
func (wor *world) propose(nod *node, client int, value string) error {
	gro := nod.group()
	if gro == nil {
		return fperror.New(fperror.NotLeader, "down")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	call := wor.clock.Add(1)
	pos, _, err := gro.Propose(ctx, []byte(value))
	back := wor.clock.Add(1)
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	switch {
	case err == nil:
		wor.acked[pos.Index] = value
	case fperror.KindOf(err).Answer().Outcome() == fperror.NotRun:
		wor.refused[value] = true
		if slices.Contains(slices.Collect(maps(wor.applied)), value) {
			wor.problems = append(wor.problems, fmt.Sprintf("%q was applied and then refused as not run", value))
		}
		return err
	default:
		back = math.MaxInt64
	}
	wor.ops = append(wor.ops, porcupine.Operation{
		ClientId: client,
		Input:    value,
		Call:     call,
		Output:   "",
		Return:   back,
	})
	return err
}

func maps(all map[uint64]string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for _, value := range all {
			if !yield(value) {
				return
			}
		}
	}
}

// read reads the last value on one node, if it leads.
func (wor *world) read(nod *node, client int) {
	gro := nod.group()
	if gro == nil {
		return
	}
	call := wor.clock.Add(1)
	last, valid := "", false
	gro.View(func(Position) {
		if count := len(nod.mach.list); count > 0 {
			last = nod.mach.list[count-1]
		}
		_, err := gro.Lead(context.Background())
		valid = err == nil
	})
	if !valid {
		return
	}
	back := wor.clock.Add(1)
	wor.mutex.Lock()
	defer wor.mutex.Unlock()
	wor.ops = append(wor.ops, porcupine.Operation{
		ClientId: client,
		Input:    "",
		Call:     call,
		Output:   last,
		Return:   back,
	})
}

// lastValue is the sequential model: a register whose value is the last one written.
var lastValue = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if input.(string) == "" {
			return output.(string) == state.(string), state
		}
		return true, input
	},
}

// client proposes and reads on random nodes until ctx ends.
func (wor *world) client(ctx context.Context, number int) {
	for count := 0; ctx.Err() == nil; count++ {
		nod := wor.nodes[wor.names[wor.draw(len(wor.names))]]
		if gro := nod.group(); gro != nil && wor.draw(4) > 0 {
			if led := wor.nodes[gro.Status().Leader]; led != nil {
				nod = led
			}
		}
		if wor.draw(3) == 0 {
			wor.read(nod, number)
		} else {
			_ = wor.propose(nod, number, fmt.Sprintf("c%d-%d", number, count))
		}
		time.Sleep(time.Duration(wor.draw(15)+1) * time.Millisecond)
	}
}

// repair repairs a node through whichever node leads, until it succeeds.
func (wor *world) repair(name string) {
	for range 40 {
		nod := wor.leader()
		if nod == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err := error(fperror.New(fperror.NotLeader, "down"))
		if gro := nod.group(); gro != nil {
			err = gro.Repair(ctx, name)
		}
		cancel()
		if err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	wor.problem("repair of %s does not succeed", name)
}

// heal ends all faults, waits until all nodes agree, and checks that every acknowledged command is there.
func (wor *world) heal() {
	wor.mutex.Lock()
	clear(wor.cut)
	wor.loss = 0
	wor.mutex.Unlock()
	nod := wor.leader()
	if nod == nil {
		return
	}
	for wor.propose(nod, 99, fmt.Sprintf("final-%d", wor.clock.Load())) != nil {
		time.Sleep(100 * time.Millisecond)
		if nod = wor.leader(); nod == nil {
			return
		}
	}
	wor.read(nod, 99)
	goal := nod.group().Status().Applied
	for _, name := range wor.names {
		gro := wor.nodes[name].group()
		for try := 0; gro != nil && gro.Status().Applied.Index < goal.Index; try++ {
			if try > 1000 {
				wor.problem("%s stays at %s, before %s: %+v", name, gro.Status().Applied, goal, gro.Status())
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// stopAll ends all nodes and checks the history.
func (wor *world) stopAll() {
	for _, name := range wor.names {
		nod := wor.nodes[name]
		nod.stop()
		present := map[string]bool{}
		for _, value := range nod.mach.list {
			present[value] = true
		}
		for index, value := range wor.acked {
			if !present[value] {
				wor.problem("%s lacks %q, which was acknowledged at index %d", name, value, index)
			}
		}
	}
	// Operations without a known end return last.
	if res := porcupine.CheckOperations(lastValue, wor.ops); !res {
		wor.problem("the history of %d operations is not linearizable", len(wor.ops))
	}
}

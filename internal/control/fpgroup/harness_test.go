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

// simulation is a group of nodes on a simulated network, inside one synctest bubble. It records violations of the safety
// rules in problems.
type simulation struct {
	dir      string
	mu       sync.Mutex
	random   *rand.Rand
	nodes    map[string]*node
	names    []string
	cutLinks map[[2]string]bool
	lossRate float64
	// applied holds by index the command that nodes have applied; all nodes must apply the same.
	applied map[uint64]string
	// acked holds by index the acknowledged commands, refused the commands that must never be applied.
	acked   map[uint64]string
	refused map[string]bool
	// leases holds by term the lease with the latest end that the leader has reported, leaders the leader.
	leases  map[uint64]Leadership
	leaders map[uint64]string
	// ops is the history of proposals and reads. opClock is a logical clock that orders their calls and returns.
	ops      []porcupine.Operation
	opClock  atomic.Int64
	problems []string
	// initialVoters are the first voters. The capacity of diskLosses limits the disks that are lost at the same time.
	initialVoters []string
	diskLosses    chan struct{}
	// blockedVM is a VM to which sending never returns, or empty.
	blockedVM string
}

// node is one VM. It outlives restarts of its group.
type node struct {
	sim       *simulation
	name      string
	dir       string
	log       *fplog.Log
	gro       *Group
	mach      *recorder
	cancel    context.CancelFunc
	done      <-chan error
	base      time.Time
	pauseGate atomic.Pointer[chan struct{}]
	// suspended is how long the monotonic clock has stood still, in nanoseconds.
	suspended atomic.Int64
	crashed   atomic.Bool
	diskFull  atomic.Bool
	// restarting holds a value while the node is down, so that it is not restarted twice at the same time.
	restarting chan struct{}
}

// recorder is a machine that records all commands.
type recorder struct {
	nod  *node
	list []string
}

func (rec *recorder) Apply(pos Position, command []byte) []byte {
	rec.nod.waitWhilePaused()
	rec.nod.sim.checkApplied(rec.nod, pos, string(command))
	rec.list = append(rec.list, string(command))
	return []byte(fmt.Sprint(len(rec.list)))
}
func (rec *recorder) Snapshot() ([]byte, error)     { return json.Marshal(rec.list) }
func (rec *recorder) Restore(snapshot []byte) error { return json.Unmarshal(snapshot, &rec.list) }

// newSimulation starts a group of count nodes. The seed determines the random delays and losses of the network.
func newSimulation(t *testing.T, seed uint64, count int) *simulation {
	sim := &simulation{
		dir:        t.TempDir(),
		random:     rand.New(rand.NewPCG(seed, 0)),
		nodes:      map[string]*node{},
		cutLinks:   map[[2]string]bool{},
		applied:    map[uint64]string{},
		acked:      map[uint64]string{},
		refused:    map[string]bool{},
		leases:     map[uint64]Leadership{},
		leaders:    map[uint64]string{},
		diskLosses: make(chan struct{}, (count-1)/2),
	}
	for num := range count {
		sim.addNode(fmt.Sprintf("vm-%d", num))
	}
	sim.initialVoters = slices.Clone(sim.names)
	for _, name := range sim.names {
		sim.nodes[name].start()
	}
	return sim
}

// addNode adds a node, which the caller starts.
func (sim *simulation) addNode(name string) *node {
	nod := &node{
		sim:  sim,
		name: name,
		dir:  filepath.Join(sim.dir, name),
		base: time.Now(),

		restarting: make(chan struct{}, 1),
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.nodes[name] = nod
	sim.names = append(sim.names, name)
	return nod
}

func (sim *simulation) reportProblem(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.problems = append(sim.problems, fmt.Sprintf(format, args...))
}

// randomIntN returns a random number from 0 up to, but not including, limit.
func (sim *simulation) randomIntN(limit int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.IntN(limit)
}

// checkApplied checks that no two nodes apply different commands at one index, and that no refused command is applied.
func (sim *simulation) checkApplied(nod *node, pos Position, command string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if known, ok := sim.applied[pos.Index]; ok && known != command {
		sim.problems = append(sim.problems, fmt.Sprintf("%s applies %q at %s, where another node applied %q", nod.name, command, pos, known))
	}
	sim.applied[pos.Index] = command
	if sim.refused[command] {
		sim.problems = append(sim.problems, fmt.Sprintf("%s applies %q, although Propose reported that it would not be applied", nod.name, command))
	}
}

// checkLead checks that the leases of two terms never overlap, and that a term has only one leader.
func (sim *simulation) checkLead(nod *node, lea Leadership, now time.Time) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if known, ok := sim.leaders[lea.Term]; ok && known != nod.name {
		sim.problems = append(sim.problems, fmt.Sprintf("term %d has the leaders %s and %s", lea.Term, known, nod.name))
	}
	sim.leaders[lea.Term] = nod.name
	for term, other := range sim.leases {
		if term != lea.Term && other.ValidUntil.After(now) {
			sim.problems = append(sim.problems, fmt.Sprintf("%s leads in term %d while the lease of term %d (%s) has %s left",
				nod.name, lea.Term, term, sim.leaders[term], other.ValidUntil.Sub(now)))
		}
	}
	if lea.ValidUntil.After(sim.leases[lea.Term].ValidUntil) {
		sim.leases[lea.Term] = lea
	}
}

// waitWhilePaused blocks while the node is paused.
func (nod *node) waitWhilePaused() {
	if gate := nod.pauseGate.Load(); gate != nil {
		<-*gate
	}
}

// now reads the clocks of the node. It blocks while the node is paused.
func (nod *node) now() instant {
	nod.waitWhilePaused()
	now := time.Now()
	return instant{
		mono: now.Sub(nod.base) - time.Duration(nod.suspended.Load()),
		wall: now.Sub(nod.base),
		at:   now,
	}
}

// pause stops the goroutines of the node for a duration. With suspend, its monotonic clock stands still during the pause.
func (nod *node) pause(duration time.Duration, suspend bool) {
	gate := make(chan struct{})
	nod.pauseGate.Store(&gate)
	time.Sleep(duration)
	if suspend {
		nod.suspended.Add(int64(duration))
	}
	nod.pauseGate.Store(nil)
	close(gate)
}

// start opens the log of the node and runs its group.
func (nod *node) start() {
	sim := nod.sim
	nod.crashed.Store(false)
	config := fplog.Config{
		SegmentSize: 4096,
		Write: func(fil *os.File, buf []byte) (int, error) {
			if nod.diskFull.Load() {
				num, _ := fil.Write(buf[:len(buf)/2])
				return num, os.ErrInvalid
			}
			return fil.Write(buf)
		},
		Sync: func(*os.File) error {
			nod.waitWhilePaused()
			time.Sleep(time.Duration(sim.randomIntN(3000)) * time.Microsecond)
			if nod.crashed.Load() {
				return os.ErrClosed
			}
			return nil
		},
	}
	lg, err := fplog.Open(nod.dir, config)
	for attempt := 0; err != nil && attempt < 100; attempt++ {
		time.Sleep(50 * time.Millisecond)
		lg, err = fplog.Open(nod.dir, config)
	}
	if err != nil {
		sim.reportProblem("%s: open: %+v", nod.name, err)
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
	for _, name := range sim.initialVoters {
		cfg.Voters = append(cfg.Voters, Member{
			VM: name,
		})
	}
	gro, err := New(cfg)
	if err != nil {
		sim.reportProblem("%s: new: %+v", nod.name, err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	nod.cancel = cancel
	nod.done = gro.Run(ctx)
	sim.mu.Lock()
	nod.log, nod.gro = lg, gro
	sim.mu.Unlock()
}

// group returns the running group of the node, or nil while the node is down.
func (nod *node) group() *Group {
	nod.sim.mu.Lock()
	defer nod.sim.mu.Unlock()
	return nod.gro
}

// stop crashes the node. Batches that are not synced are lost.
func (nod *node) stop() {
	if nod.group() == nil {
		return
	}
	nod.crashed.Store(true)
	nod.cancel()
	if err := <-nod.done; err != nil && !fperror.Is(err, fperror.StorageFailed) {
		nod.sim.reportProblem("%s: run: %+v", nod.name, err)
	}
	_ = nod.log.Close()
	nod.sim.mu.Lock()
	nod.gro = nil
	nod.sim.mu.Unlock()
}

// loseDisk crashes the node and starts it with an empty folder.
func (nod *node) loseDisk() {
	nod.stop()
	_ = os.RemoveAll(nod.dir)
	nod.start()
}

// send simulates the network: it loses messages, or delivers them after a random delay and in any order.
func (nod *node) send(ctx context.Context, vm string, msgs []*fpwire.GroupMessage) {
	sim := nod.sim
	sim.mu.Lock()
	blocked := sim.blockedVM == vm
	sim.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return
	}
	for _, msg := range msgs {
		sim.mu.Lock()
		lost := sim.cutLinks[[2]string{nod.name, vm}] || sim.random.Float64() < sim.lossRate
		delay := time.Duration(200+sim.random.IntN(2000)) * time.Microsecond
		if sim.random.IntN(50) == 0 {
			delay *= 50
		}
		sim.mu.Unlock()
		if lost {
			continue
		}
		msg = proto.CloneOf(msg)
		time.AfterFunc(delay, func() {
			sim.mu.Lock()
			target := sim.nodes[vm]
			sim.mu.Unlock()
			if target == nil {
				return
			}
			if gro := target.group(); gro != nil {
				gro.Step(msg)
			}
		})
	}
}

// setCut cuts or restores the link from one node to another, in this direction only.
func (sim *simulation) setCut(from, to string, cut bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cutLinks[[2]string{from, to}] = cut
}

// isolate cuts or restores all links of a node.
func (sim *simulation) isolate(name string, cut bool) {
	for _, other := range sim.names {
		sim.setCut(name, other, cut)
		sim.setCut(other, name, cut)
	}
}

// watchLeaders checks the leadership of all nodes every 3 ms until ctx ends.
func (sim *simulation) watchLeaders(ctx context.Context) {
	for ctx.Err() == nil {
		for _, name := range sim.names {
			nod := sim.nodes[name]
			gro := nod.group()
			if gro == nil || nod.pauseGate.Load() != nil {
				continue
			}
			if lea, err := gro.Leadership(ctx); err == nil {
				sim.checkLead(nod, lea, time.Now())
			}
		}
		time.Sleep(3 * time.Millisecond)
	}
}

// waitForLeader waits until a node leads and returns it. After 20 s without a leader it returns nil.
func (sim *simulation) waitForLeader() *node {
	for range 4000 {
		for _, name := range sim.names {
			nod := sim.nodes[name]
			if gro := nod.group(); gro != nil && nod.pauseGate.Load() == nil {
				if _, err := gro.Leadership(context.Background()); err == nil {
					return nod
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	sim.reportProblem("no leader within 20 s")
	return nil
}

// propose proposes a unique value on one node and records the outcome. A proposal whose outcome is unknown is recorded as one
// that never returns.
func (sim *simulation) propose(nod *node, client int, value string) error {
	gro := nod.group()
	if gro == nil {
		return fperror.New(fperror.NotLeader, "down")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	call := sim.opClock.Add(1)
	pos, _, err := gro.Propose(ctx, []byte(value))
	returned := sim.opClock.Add(1)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch {
	case err == nil:
		sim.acked[pos.Index] = value
	case fperror.KindOf(err).Answer().Outcome() == fperror.NotRun:
		sim.refused[value] = true
		if slices.Contains(slices.Collect(mapValues(sim.applied)), value) {
			sim.problems = append(sim.problems, fmt.Sprintf("%q was applied, although Propose reported that it would not be applied", value))
		}
		return err
	default:
		returned = math.MaxInt64
	}
	sim.ops = append(sim.ops, porcupine.Operation{
		ClientId: client,
		Input:    value,
		Call:     call,
		Output:   "",
		Return:   returned,
	})
	return err
}

// mapValues returns an iterator over the values of a map.
func mapValues(all map[uint64]string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for _, value := range all {
			if !yield(value) {
				return
			}
		}
	}
}

// read reads the last value on one node and records it, unless the node has no valid lease.
func (sim *simulation) read(nod *node, client int) {
	gro := nod.group()
	if gro == nil {
		return
	}
	call := sim.opClock.Add(1)
	last, valid := "", false
	gro.View(func(Position) {
		if count := len(nod.mach.list); count > 0 {
			last = nod.mach.list[count-1]
		}
		_, err := gro.Leadership(context.Background())
		valid = err == nil
	})
	if !valid {
		return
	}
	returned := sim.opClock.Add(1)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.ops = append(sim.ops, porcupine.Operation{
		ClientId: client,
		Input:    "",
		Call:     call,
		Output:   last,
		Return:   returned,
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

// runClient proposes and reads until ctx ends, mostly on the node that a random node reports as the leader.
func (sim *simulation) runClient(ctx context.Context, number int) {
	for count := 0; ctx.Err() == nil; count++ {
		nod := sim.nodes[sim.names[sim.randomIntN(len(sim.names))]]
		if gro := nod.group(); gro != nil && sim.randomIntN(4) > 0 {
			if leader := sim.nodes[gro.Status().Leader]; leader != nil {
				nod = leader
			}
		}
		if sim.randomIntN(3) == 0 {
			sim.read(nod, number)
		} else {
			_ = sim.propose(nod, number, fmt.Sprintf("c%d-%d", number, count))
		}
		time.Sleep(time.Duration(sim.randomIntN(15)+1) * time.Millisecond)
	}
}

// repair asks the current leader to repair a node, until the repair succeeds. It gives up after 40 attempts.
func (sim *simulation) repair(name string) {
	for range 40 {
		nod := sim.waitForLeader()
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
	sim.reportProblem("repair of %s failed 40 times", name)
}

// heal ends all network faults, proposes and reads a last value, and waits until all nodes have applied it.
func (sim *simulation) heal() {
	sim.mu.Lock()
	clear(sim.cutLinks)
	sim.lossRate = 0
	sim.mu.Unlock()
	nod := sim.waitForLeader()
	if nod == nil {
		return
	}
	for sim.propose(nod, 99, fmt.Sprintf("final-%d", sim.opClock.Load())) != nil {
		time.Sleep(100 * time.Millisecond)
		if nod = sim.waitForLeader(); nod == nil {
			return
		}
	}
	sim.read(nod, 99)
	goal := nod.group().Status().Applied
	for _, name := range sim.names {
		gro := sim.nodes[name].group()
		for attempt := 0; gro != nil && gro.Status().Applied.Index < goal.Index; attempt++ {
			if attempt > 1000 {
				sim.reportProblem("%s has applied only %s after 10 s, want %s: %+v", name, gro.Status().Applied, goal, gro.Status())
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// stopAndCheck stops all nodes, and checks that each has every acknowledged command and that the history is linearizable.
func (sim *simulation) stopAndCheck() {
	for _, name := range sim.names {
		nod := sim.nodes[name]
		nod.stop()
		present := map[string]bool{}
		for _, value := range nod.mach.list {
			present[value] = true
		}
		for index, value := range sim.acked {
			if !present[value] {
				sim.reportProblem("%s lacks %q, which was acknowledged at index %d", name, value, index)
			}
		}
	}
	if res := porcupine.CheckOperations(lastValue, sim.ops); !res {
		sim.reportProblem("the history of %d operations is not linearizable", len(sim.ops))
	}
}

package fpcontrol

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
)

// memberSim is a group of control VMs in a synctest bubble, on a simulated network. Their logs, elections and changes of the
// membership are real.
type memberSim struct {
	t      *testing.T
	folder string
	losses int
	rng    *rand.Rand

	mutex    sync.Mutex
	vms      map[string]*simVM
	started  int
	revision uint64
	events   []string
	began    time.Time
}

// simVM is a control VM of a memberSim.
type simVM struct {
	sim  *memberSim
	name string

	mutex   sync.Mutex
	control *Control // nil while the VM is down
	cut     bool     // no message reaches the VM or leaves it
	stop    func()
	disk    *simDisk // nil: the VM's files survive everything
}

var (
	errRefused = connect.NewError(connect.CodeUnavailable, errors.New("connection refused"))
	errCut     = connect.NewError(connect.CodeDeadlineExceeded, errors.New("no answer"))
)

// simPeer calls another VM over the simulated network.
type simPeer struct {
	fpstateconnect.StateServiceClient
	from, to *simVM
}

// reach waits for half a round trip and returns the called VM.
func (pee *simPeer) reach(ctx context.Context) (*Control, error) {
	time.Sleep(pee.from.sim.delay())
	if pee.from.isCut() || pee.to.isCut() {
		<-ctx.Done()
		return nil, errCut
	}
	if con := pee.to.running(); con != nil {
		return con, nil
	}
	return nil, errRefused
}

func (pee *simPeer) Step(ctx context.Context, req *connect.Request[fpstate.StepRequest]) (*connect.Response[fpstate.StepResponse], error) {
	con, err := pee.reach(ctx)
	if err != nil {
		return nil, err
	}
	res, err := con.service.Step(ctx, req)
	time.Sleep(pee.from.sim.delay())
	return res, err
}

func (pee *simPeer) Join(ctx context.Context, req *connect.Request[fpstate.JoinRequest]) (*connect.Response[fpstate.JoinResponse], error) {
	con, err := pee.reach(ctx)
	if err != nil {
		return nil, err
	}
	res, err := con.service.Join(ctx, req)
	time.Sleep(pee.from.sim.delay())
	return res, err
}

func (vmd *simVM) isCut() bool {
	vmd.mutex.Lock()
	defer vmd.mutex.Unlock()
	return vmd.cut
}

func (vmd *simVM) setCut(cut bool) {
	vmd.mutex.Lock()
	defer vmd.mutex.Unlock()
	vmd.cut = cut
}

// running returns the control VM, or nil while it is down.
func (vmd *simVM) running() *Control {
	vmd.mutex.Lock()
	defer vmd.mutex.Unlock()
	return vmd.control
}

// start starts the VM. peers are the other VMs that it may call.
func (vmd *simVM) start(first bool, seeds []string) {
	sim := vmd.sim
	con, err := New(Config{
		VM:         vmd.name,
		Seeds:      seeds,
		FirstStart: first,
		DataFolder: vmd.dataFolder(),
		DataCentre: simDataCentre,
		Losses:     sim.losses,
		CatchUp:    catchUp,
		Log:        vmd.log(),
		Sync:       vmd.disk.sync,
	})
	if err != nil {
		sim.t.Fatal(err)
	}
	con.level = 0 // levels need announcements, which are not simulated
	for _, other := range sim.list() {
		con.peers[other.name] = &simPeer{
			from: vmd,
			to:   other,
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := con.group.Run(ctx)
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){con.notifyLeadershipChanges, con.join, con.maintainMembers} {
		loops.Go(func() { loop(ctx) })
	}
	vmd.mutex.Lock()
	defer vmd.mutex.Unlock()
	vmd.control = con
	vmd.stop = func() {
		cancel()
		loops.Wait()
		if err := <-done; err != nil && !vmd.disk.isOff() {
			sim.t.Errorf("%s: %v", vmd.name, err)
		}
		_ = con.storage.Close()
	}
}

// simLog is the log of a VM, of which the simulation records the changes of the membership.
type simLog struct {
	vmd *simVM
}

func (log simLog) Write(line []byte) (int, error) {
	if strings.Contains(string(line), "membership changed") {
		log.vmd.sim.note("%s: %s", log.vmd.name, strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

func (vmd *simVM) log() *zap.Logger {
	enc := zapcore.NewConsoleEncoder(zapcore.EncoderConfig{
		MessageKey: "message",
	})
	return zap.New(zapcore.NewCore(enc, zapcore.AddSync(simLog{
		vmd: vmd,
	}), zap.InfoLevel))
}

// kill ends the VM without a stop.
func (vmd *simVM) kill() {
	vmd.mutex.Lock()
	stop := vmd.stop
	vmd.control, vmd.stop = nil, nil
	vmd.mutex.Unlock()
	if stop != nil {
		stop()
	}
}

// terminate ends the VM after a planned stop.
func (vmd *simVM) terminate() {
	vmd.running().handOver()
	vmd.kill()
}

// delay returns half of a round trip between two VMs.
func (sim *memberSim) delay() time.Duration {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return time.Duration(1+sim.rng.IntN(30)) * time.Millisecond
}

func (sim *memberSim) intN(limit int) int {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return sim.rng.IntN(limit)
}

// note records an event.
func (sim *memberSim) note(format string, args ...any) {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	sim.events = append(sim.events, fmt.Sprintf("%6.2fs ", time.Since(sim.began).Seconds())+fmt.Sprintf(format, args...))
}

// list returns all VMs that have ever started.
func (sim *memberSim) list() []*simVM {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	var all []*simVM
	for num := range sim.started {
		all = append(all, sim.vms[simName(num)])
	}
	return all
}

func simName(num int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+num) }

// add adds a VM that doesn't run. VMs that run already learn of it.
func (sim *memberSim) add() *simVM {
	sim.mutex.Lock()
	vmd := &simVM{
		sim:  sim,
		name: simName(sim.started),
	}
	sim.vms[vmd.name] = vmd
	sim.started++
	sim.mutex.Unlock()
	for _, other := range sim.list() {
		if con := other.running(); con != nil {
			con.mutex.Lock()
			con.peers[vmd.name] = &simPeer{
				from: other,
				to:   vmd,
			}
			con.mutex.Unlock()
		}
	}
	return vmd
}

// running returns the VMs that run and are not cut off.
func (sim *memberSim) running() []*simVM {
	var all []*simVM
	for _, vmd := range sim.list() {
		if vmd.running() != nil && !vmd.isCut() {
			all = append(all, vmd)
		}
	}
	return all
}

// leader returns the VM that leads with a valid lease, or nil.
func (sim *memberSim) leader() *simVM {
	for _, vmd := range sim.running() {
		if con := vmd.running(); con != nil && con.leads(context.Background()) {
			return vmd
		}
	}
	return nil
}

// await waits until a condition holds. It returns false after a limit.
func (sim *memberSim) await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// put commits the next configuration within a limit, and reports whether it did.
func (sim *memberSim) put(limit time.Duration) bool {
	return sim.putConfiguration(limit, &fpstate.Configuration{
		Revision: sim.revision + 1,
	})
}

// putConfiguration does what put does for a given configuration.
func (sim *memberSim) putConfiguration(limit time.Duration, cfg *fpstate.Configuration) bool {
	return sim.await(limit, func() bool {
		vmd := sim.leader()
		if vmd == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		if vmd.running().put(ctx, cfg) != nil {
			return false
		}
		sim.revision = cfg.GetRevision()
		return true
	})
}

// settled reports whether the group has its voters, all of which run.
func (sim *memberSim) settled() bool {
	vmd := sim.leader()
	if vmd == nil {
		return false
	}
	sta := vmd.running().group.Status()
	for _, mst := range sta.Members {
		if !mst.Learner && (sim.vms[mst.VM].running() == nil || mst.Heard != mst.Incarnation) {
			return false
		}
	}
	return countVoters(sta) == 2*sim.losses+1
}

// start starts the first VMs and waits until the group has its voters.
func (sim *memberSim) start(count int) bool {
	var seeds []string
	for num := range count {
		vmd := sim.add()
		if num < 3 {
			seeds = append(seeds, vmd.name)
		}
	}
	for _, vmd := range sim.list() {
		vmd.start(true, seeds)
	}
	return sim.await(30*time.Second, func() bool { return sim.settled() && len(sim.leader().running().group.Status().Members) == count })
}

// changeLeaders transfers the leadership from time to time, until ctx ends.
func (sim *memberSim) changeLeaders(ctx context.Context, interval time.Duration) {
	for sleep(ctx, interval) {
		vmd := sim.leader()
		if vmd == nil {
			continue
		}
		if con := vmd.running(); con != nil {
			sim.note("%s transfers the leadership", vmd.name)
			con.handOverLeadership(ctx)
		}
	}
}

// replace replaces some VMs and returns once each successor has had catchUp.
func (sim *memberSim) replace(how string, lost []*simVM) {
	var seeds []string
	for _, vmd := range sim.running() {
		seeds = append(seeds, vmd.name)
	}
	delay := time.Duration(100+sim.intN(1900)) * time.Millisecond
	var ends sync.WaitGroup
	for _, vmd := range lost {
		sim.note("%s is lost, how: %s, successor after %v", vmd.name, how, delay)
		ends.Go(func() {
			switch how {
			case "planned":
				sim.add().start(false, seeds)
				time.Sleep(delay)
				vmd.terminate()
			case "kill":
				vmd.kill()
				time.Sleep(delay)
				sim.add().start(false, seeds)
			case "wiped":
				// The VM comes back without its disk and is lost again during its repair.
				sim.restartWiped(vmd)
				time.Sleep(delay / 2)
				vmd.kill()
				time.Sleep(delay)
				sim.add().start(false, seeds)
			case "cut":
				vmd.setCut(true)
				time.Sleep(2 * delay)
				vmd.setCut(false)
			}
		})
	}
	due := time.Now().Add(catchUp)
	switch how {
	case "kill":
		due = due.Add(delay)
	case "wiped":
		due = due.Add(delay/2 + delay)
	case "cut":
		due = due.Add(2 * delay)
	}
	time.Sleep(time.Until(due))
	ends.Wait()
}

// restartWiped restarts a VM without its disk.
func (sim *memberSim) restartWiped(vmd *simVM) {
	vmd.kill()
	if err := os.RemoveAll(filepath.Join(sim.folder, vmd.name)); err != nil {
		sim.t.Error(err)
	}
	var seeds []string
	for _, other := range sim.running() {
		seeds = append(seeds, other.name)
	}
	vmd.start(false, seeds)
}

// wipe makes some VMs lose their disks.
func (sim *memberSim) wipe(lost []*simVM) {
	var ends sync.WaitGroup
	for _, vmd := range lost {
		down := time.Duration(sim.intN(3000)) * time.Millisecond
		sim.note("%s loses its disk, down for %v", vmd.name, down)
		ends.Go(func() {
			vmd.kill()
			time.Sleep(down)
			sim.restartWiped(vmd)
		})
	}
	ends.Wait()
}

// draw returns as many running VMs as may be lost, with the leader among them if leads is set, and without it otherwise.
func (sim *memberSim) draw(leads bool) []*simVM {
	leader := sim.leader()
	var lost []*simVM
	if leads && leader != nil {
		lost = append(lost, leader)
	}
	all := sim.running()
	for _, num := range sim.rng.Perm(len(all)) {
		if len(lost) < sim.losses && all[num] != leader {
			lost = append(lost, all[num])
		}
	}
	return lost
}

// play plays rounds of losses and returns what went wrong.
func (sim *memberSim) play(leaderChanges time.Duration) string {
	const (
		recovery = 15 * time.Second
		rounds   = 3
	)
	defer func() {
		for _, vmd := range sim.list() {
			vmd.kill()
		}
	}()
	if !sim.start(2*sim.losses + 2) {
		return "the group did not form"
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var changes sync.WaitGroup
	defer changes.Wait()
	defer cancel()
	if leaderChanges > 0 {
		changes.Go(func() { sim.changeLeaders(ctx, leaderChanges) })
	}
	for range rounds {
		how := []string{"kill", "planned", "wiped", "cut"}[sim.intN(4)]
		sim.replace(how, sim.draw(sim.intN(2) == 0))
		if !sim.put(recovery) {
			return fmt.Sprintf("no change is acknowledged within %v of a replacement", recovery)
		}
		sim.wipe(sim.draw(sim.intN(2) == 0))
		wiped := time.Now()
		read := sim.await(recovery, func() bool {
			vmd := sim.leader()
			return vmd != nil && vmd.running().directory.Configuration().GetRevision() >= sim.revision
		})
		if !read {
			return fmt.Sprintf("revision %d is not read within %v of the return of a VM without its disk", sim.revision, recovery)
		}
		if !sim.put(recovery - time.Since(wiped)) {
			return fmt.Sprintf("no change is acknowledged within %v of the return of a VM without its disk", recovery)
		}
		time.Sleep(time.Until(wiped.Add(catchUp)))
		if !sim.await(recovery, sim.settled) {
			return fmt.Sprintf("the group has not got its voters back within %v", recovery)
		}
	}
	return ""
}

// TestLossesInTurn guards against a group that is left without a leader, or loses what it acknowledged, by losses that it has to
// tolerate one after the other: control VMs that are gone, also during a repair, or were cut off, each with the time that their successors have to catch up,
// and then as many lost disks; in all orders with changes of the leader, which are no losses.
func TestLossesInTurn(t *testing.T) {
	const plays = 12
	for _, losses := range []int{1, 2} {
		for _, leaderChanges := range []time.Duration{0, 3 * time.Second, time.Second} {
			for num := range plays {
				seed := uint64(num)
				t.Run(fmt.Sprintf("losses=%d,leaderChanges=%v,seed=%d", losses, leaderChanges, seed), func(t *testing.T) {
					folder := t.TempDir()
					synctest.Test(t, func(t *testing.T) {
						sim := &memberSim{
							t:      t,
							folder: folder,
							losses: losses,
							rng:    rand.New(rand.NewPCG(seed, 0)),
							vms:    map[string]*simVM{},
							began:  time.Now(),
						}
						if problem := sim.play(leaderChanges); problem != "" {
							t.Errorf("%s\n%s", problem, strings.Join(sim.events, "\n"))
						}
					})
				})
			}
		}
	}
}

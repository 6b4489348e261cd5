package fpcontrol

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

var (
	powerLossFirst = flag.Uint64("powerloss.first", 0, "first seed of TestAcknowledgedAfterPowerLoss")
	powerLossSeeds = flag.Uint64("powerloss.seeds", 4, "number of seeds of TestAcknowledgedAfterPowerLoss")
)

// simDataCentre is the data centre of all VMs of a memberSim.
const simDataCentre = "centre"

var errNoPower = errors.New("the VM has no power")

// simDisk is the disk of a VM. After a power loss, it holds what was synced: the bytes of a file up to its last sync, and the entries of
// a folder at its last sync. Of the rest, an arbitrary part survives, if any.
type simDisk struct {
	// root is the folder that holds the VM's folder, and links holds a link to each file that a synced folder names.
	root  string
	links string
	rng   *rand.Rand

	mutex   sync.Mutex
	off     bool
	latency time.Duration
	calls   int
	sizes   map[uint64]int64 // synced bytes by inode
	folders map[string]syncedFolder
}

// syncedFolder holds the inodes of the files and folders in a folder when it was synced.
type syncedFolder struct {
	call    int // number of the call of sync
	entries map[string]uint64
}

func newSimDisk(root, links string, seed uint64) *simDisk {
	return &simDisk{
		root:    root,
		links:   links,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		latency: time.Millisecond,
		sizes:   map[uint64]int64{},
		folders: map[string]syncedFolder{},
	}
}

// isOff reports whether the VM has lost its power.
func (dis *simDisk) isOff() bool {
	if dis == nil {
		return false
	}
	dis.mutex.Lock()
	defer dis.mutex.Unlock()
	return dis.off
}

// sync makes durable what a file or folder holds when it is called.
func (dis *simDisk) sync(fil *os.File) error {
	if dis == nil {
		return nil
	}
	sta, err := fil.Stat()
	if err != nil {
		return err
	}
	dis.mutex.Lock()
	dis.calls++
	now := syncedFolder{
		call: dis.calls,
	}
	latency := dis.latency + time.Duration(dis.rng.Int64N(int64(dis.latency)))
	if sta.IsDir() {
		now.entries = dis.list(fil.Name())
	}
	dis.mutex.Unlock()
	time.Sleep(latency)
	dis.mutex.Lock()
	defer dis.mutex.Unlock()
	switch {
	case dis.off:
		return errNoPower
	case !sta.IsDir():
		dis.sizes[inode(sta)] = max(dis.sizes[inode(sta)], sta.Size())
	case dis.folders[fil.Name()].call < now.call:
		dis.folders[fil.Name()] = now
	}
	return nil
}

func inode(sta os.FileInfo) uint64 { return sta.Sys().(*syscall.Stat_t).Ino }

// list returns the inodes of the entries of a folder, and links its files.
func (dis *simDisk) list(folder string) map[string]uint64 {
	all := map[string]uint64{}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return all
	}
	for _, ent := range entries {
		path := filepath.Join(folder, ent.Name())
		if ent.IsDir() {
			if sta, err := os.Stat(path); err == nil {
				all[ent.Name()] = inode(sta)
			}
			continue
		}
		// Another goroutine may remove or replace the file at any time.
		link := filepath.Join(dis.links, "new")
		if os.Link(path, link) != nil {
			continue
		}
		if sta, err := os.Stat(link); err == nil {
			all[ent.Name()] = inode(sta)
			_ = os.Rename(link, dis.link(inode(sta)))
		}
		_ = os.Remove(link)
	}
	return all
}

func (dis *simDisk) link(num uint64) string { return filepath.Join(dis.links, fmt.Sprint(num)) }

// cutPower ends the power of the VM, and writes what its folder of the given name holds afterwards to a new folder.
func (dis *simDisk) cutPower(name, next string) error {
	dis.mutex.Lock()
	defer dis.mutex.Unlock()
	dis.off = true
	entries := dis.survivors(dis.root)
	if entries[name] == 0 {
		return nil
	}
	return dis.writeSurvivors(filepath.Join(dis.root, name), next)
}

// survivors returns the entries of a folder after a power loss. In half of the cases, some of the changes since its last sync are kept.
func (dis *simDisk) survivors(folder string) map[string]uint64 {
	kept := map[string]uint64{}
	for name, num := range dis.folders[folder].entries {
		kept[name] = num
	}
	if folder == dis.root || dis.rng.IntN(2) == 0 {
		return kept
	}
	now := dis.list(folder)
	for name := range dis.folders[folder].entries {
		if now[name] == 0 && dis.rng.IntN(2) == 0 {
			delete(kept, name)
		}
	}
	for name, num := range now {
		if dis.rng.IntN(2) == 0 {
			kept[name] = num
		}
	}
	return kept
}

func (dis *simDisk) writeSurvivors(folder, next string) error {
	if err := os.MkdirAll(next, 0o700); err != nil {
		return err
	}
	for name, num := range dis.survivors(folder) {
		from, to := filepath.Join(folder, name), filepath.Join(next, name)
		buf, err := os.ReadFile(dis.link(num))
		if os.IsNotExist(err) {
			err = dis.writeSurvivors(from, to)
		} else if err == nil {
			size := min(dis.sizes[num], int64(len(buf)))
			if dis.rng.IntN(2) == 0 {
				size += dis.rng.Int64N(int64(len(buf)) - size + 1)
			}
			err = os.WriteFile(to, buf[:size], 0o600)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// reset makes all that is in the VM's folder durable, after a power loss or after the loss of the disk.
func (dis *simDisk) reset() error {
	dis.mutex.Lock()
	defer dis.mutex.Unlock()
	dis.off = false
	clear(dis.sizes)
	clear(dis.folders)
	if err := os.RemoveAll(dis.links); err != nil {
		return err
	}
	if err := os.MkdirAll(dis.links, 0o700); err != nil {
		return err
	}
	return filepath.Walk(dis.root, func(path string, sta os.FileInfo, err error) error {
		switch {
		case err != nil:
			return err
		case sta.IsDir():
			dis.folders[path] = syncedFolder{
				entries: dis.list(path),
			}
		default:
			dis.sizes[inode(sta)] = sta.Size()
		}
		return nil
	})
}

func (dis *simDisk) setLatency(latency time.Duration) {
	dis.mutex.Lock()
	defer dis.mutex.Unlock()
	dis.latency = latency
}

func (pee *simPeer) Propose(ctx context.Context, req *connect.Request[fpstate.ProposeRequest]) (*connect.Response[fpstate.ProposeResponse], error) {
	con, err := pee.reach(ctx)
	if err != nil {
		return nil, err
	}
	res, err := con.service.Propose(ctx, req)
	time.Sleep(pee.from.sim.delay())
	return res, err
}

func (pee *simPeer) Evacuate(ctx context.Context, req *connect.Request[fpstate.EvacuateRequest]) (*connect.Response[fpstate.EvacuateResponse], error) {
	con, err := pee.reach(ctx)
	if err != nil {
		return nil, err
	}
	res, err := con.service.Evacuate(ctx, req)
	time.Sleep(pee.from.sim.delay())
	return res, err
}

// powerSim is a group of control VMs that lose power. It checks that what they acknowledged is in force afterwards.
type powerSim struct {
	*memberSim

	// The fields below are guarded by the mutex of memberSim.
	off bool
	// acked is the highest revision that was acknowledged, sent the documents by revision.
	acked uint64
	sent  map[uint64][]byte
	// evacuated are the states that an evacuation may have: that of the last order that was acknowledged, and of one that was not.
	evacuated map[bool]bool
	acks      int
	// big states that configurations are so large that segments and snapshots follow each other.
	big bool
}

func (sim *powerSim) locked(fn func()) {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	fn()
}

// addDisk adds a VM that doesn't run, with a disk.
func (sim *powerSim) addDisk() *simVM {
	vmd := sim.add()
	sim.newDisk(vmd)
	return vmd
}

// newDisk gives a VM that doesn't run an empty disk.
func (sim *powerSim) newDisk(vmd *simVM) {
	root := filepath.Join(sim.folder, vmd.name)
	if err := os.RemoveAll(root); err != nil {
		sim.t.Error(err)
	}
	if err := os.MkdirAll(root, 0o700); err != nil {
		sim.t.Error(err)
	}
	vmd.disk = newSimDisk(root, root+"-links", uint64(sim.intN(1<<30)))
	if err := vmd.disk.reset(); err != nil {
		sim.t.Error(err)
	}
}

// target returns a VM to which an operator sends an order, or nil if that VM is down.
func (sim *powerSim) target() *Control {
	all := sim.list()
	return all[sim.intN(len(all))].running()
}

// order sends an order to a random VM and reports whether it was acknowledged.
func (sim *powerSim) order(ctx context.Context, send func(ctx context.Context, con *Control) error) bool {
	con := sim.target()
	if con == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return send(ctx, con) == nil
}

// configure sends configurations, each until it is acknowledged or, sometimes, only once, until ctx ends.
func (sim *powerSim) configure(ctx context.Context) {
	for sleep(ctx, time.Duration(sim.intN(150))*time.Millisecond) {
		cfg := &fpstate.Configuration{}
		sim.locked(func() {
			sim.revision++
			cfg.Revision = sim.revision
			cfg.Document = fmt.Appendf(nil, "configuration %d ", cfg.GetRevision())
			if sim.big {
				cfg.Document = append(cfg.Document, strings.Repeat("x", 1<<20+sim.rng.IntN(2<<20))...)
			}
			sim.sent[cfg.GetRevision()] = cfg.GetDocument()
		})
		for ctx.Err() == nil {
			acked := sim.order(ctx, func(ctx context.Context, con *Control) error { return con.put(ctx, cfg) })
			if acked {
				sim.acknowledged(cfg)
			}
			if acked || sim.intN(8) == 0 || !sleep(ctx, 50*time.Millisecond) {
				break
			}
		}
	}
}

// repeat sends the newest configuration once more, as after a lost answer, at random times until ctx ends.
func (sim *powerSim) repeat(ctx context.Context) {
	for sleep(ctx, time.Duration(sim.intN(60))*time.Millisecond) {
		cfg := &fpstate.Configuration{}
		sim.locked(func() {
			cfg.Revision = sim.revision
			cfg.Document = sim.sent[sim.revision]
		})
		if sim.order(ctx, func(ctx context.Context, con *Control) error { return con.put(ctx, cfg) }) {
			sim.acknowledged(cfg)
		}
	}
}

// acknowledged records an acknowledgement, unless the VMs have lost power before.
func (sim *powerSim) acknowledged(cfg *fpstate.Configuration) {
	sim.locked(func() {
		if !sim.off {
			sim.acked = max(sim.acked, cfg.GetRevision())
			sim.acks++
		}
	})
}

// evacuateInTurn starts and ends the evacuation of the data centre in turn, until ctx ends.
func (sim *powerSim) evacuateInTurn(ctx context.Context) {
	for active := true; sleep(ctx, time.Duration(sim.intN(300))*time.Millisecond); active = !active {
		sim.locked(func() { sim.evacuated[active] = true })
		for ctx.Err() == nil {
			acked := sim.order(ctx, func(ctx context.Context, con *Control) error { return con.evacuate(ctx, simDataCentre, active) })
			sim.locked(func() {
				if acked && !sim.off {
					delete(sim.evacuated, !active)
					sim.acks++
				}
			})
			if acked || !sleep(ctx, 50*time.Millisecond) {
				break
			}
		}
	}
}

// cutPower ends the power of all VMs at the same moment. It waits for the next acknowledgement before, and up to 400 ms after that.
func (sim *powerSim) cutPower() {
	before := 0
	sim.locked(func() { before = sim.acks })
	sim.await(time.Second, func() bool {
		now := 0
		sim.locked(func() { now = sim.acks })
		return now > before
	})
	time.Sleep(time.Duration(sim.intN(400_000)) * time.Microsecond)
	sim.locked(func() { sim.off = true })
	sim.note("all VMs lose power")
	for _, vmd := range sim.list() {
		if vmd.disk.isOff() {
			continue
		}
		if err := vmd.disk.cutPower(simData, sim.next(vmd)); err != nil {
			sim.t.Error(err)
		}
	}
}

// simData is the name of the data folder of a VM on its disk.
const simData = "data"

func (sim *powerSim) next(vmd *simVM) string { return filepath.Join(sim.folder, vmd.name+"-next") }

// restorePower starts all VMs that have lost power, but for those that are gone, in random order. The lost ones have new disks.
func (sim *powerSim) restorePower(gone, lost map[*simVM]bool) {
	var seeds []string
	all := sim.list()
	for _, vmd := range all {
		vmd.kill()
		vmd.setCut(false)
		if !gone[vmd] {
			seeds = append(seeds, vmd.name)
		}
	}
	sim.locked(func() { sim.off = false })
	sim.rng.Shuffle(len(all), func(one, other int) { all[one], all[other] = all[other], all[one] })
	for _, vmd := range all {
		data := filepath.Join(vmd.disk.root, simData)
		if err := errors.Join(os.RemoveAll(data), rename(sim.next(vmd), data)); err != nil {
			sim.t.Error(err)
		}
		if gone[vmd] {
			continue
		}
		if err := vmd.disk.reset(); err != nil {
			sim.t.Error(err)
		}
		if lost[vmd] {
			sim.newDisk(vmd)
		}
		time.Sleep(time.Duration(sim.intN(600)) * time.Millisecond)
		sim.note("%s starts, disk lost: %t", vmd.name, lost[vmd])
		vmd.start(false, seeds)
	}
}

// rename renames a folder if it exists.
func rename(from, to string) error {
	if err := os.Rename(from, to); !os.IsNotExist(err) {
		return err
	}
	return nil
}

// check waits until a leader has what was acknowledged, and returns what is missing after a limit.
func (sim *powerSim) check(limit time.Duration) string {
	problem := "no leader"
	sim.await(limit, func() bool {
		vmd := sim.leader()
		if vmd == nil {
			return false
		}
		con := vmd.running()
		cfg, err := con.readHere(context.Background())
		active := con.directory.Evacuated(simDataCentre)
		if err != nil || !con.leads(context.Background()) {
			return false
		}
		sim.locked(func() {
			switch {
			case cfg.GetRevision() < sim.acked:
				problem = fmt.Sprintf("%s reads revision %d, and %d was acknowledged", vmd.name, cfg.GetRevision(), sim.acked)
			case !bytes.Equal(cfg.GetDocument(), sim.sent[cfg.GetRevision()]):
				problem = fmt.Sprintf("%s reads another document under revision %d", vmd.name, cfg.GetRevision())
			case !sim.evacuated[active]:
				problem = fmt.Sprintf("%s reads evacuated: %t, and the opposite order was acknowledged", vmd.name, active)
			default:
				problem = ""
			}
		})
		return true
	})
	return problem
}

// lose makes a VM go, lose its disk, be replaced as planned or be cut off, or does nothing. It returns the VMs that are gone, and reports
// whether as many disks may be lost besides as the group tolerates. It takes up to limit.
func (sim *powerSim) lose(how string, limit time.Duration) (gone *simVM, mayLose bool) {
	lost := sim.draw(sim.intN(2) == 0)[0]
	down := time.Duration(100+sim.intN(1900)) * time.Millisecond
	due := down + catchUp
	successor := func(vmd *simVM) {
		time.Sleep(min(down, limit))
		if limit > down {
			sim.note("%s starts", vmd.name)
			vmd.start(false, sim.seeds(vmd))
			time.Sleep(limit - down)
		}
	}
	sim.note("%s is lost, how: %s, for %v, power for %v", lost.name, how, down, limit)
	switch how {
	case "kill":
		lost.kill()
		successor(sim.addDisk())
		return lost, limit >= due
	case "wiped":
		lost.kill()
		sim.newDisk(lost)
		successor(lost)
		return nil, limit >= due
	case "planned":
		next := sim.addDisk()
		next.start(false, sim.seeds(next))
		time.Sleep(min(down, limit))
		if limit <= down {
			return nil, true
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			lost.terminate()
		}()
		time.Sleep(limit - down)
		select {
		case <-ended:
			return lost, limit >= due+2*stopTimeout
		default:
			<-ended
			return lost, false
		}
	case "cut":
		lost.setCut(true)
		time.Sleep(limit)
		return nil, true
	default:
		time.Sleep(limit)
		return nil, true
	}
}

// seeds returns the names of the VMs that run, but for the given one.
func (sim *powerSim) seeds(but *simVM) []string {
	var all []string
	for _, vmd := range sim.running() {
		if vmd != but {
			all = append(all, vmd.name)
		}
	}
	return all
}

// round plays one loss of power, with orders and changes of the leader before it.
func (sim *powerSim) round(gone map[*simVM]bool) string {
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	sim.locked(func() { sim.big = sim.rng.IntN(3) == 0 })
	for _, vmd := range sim.list() {
		vmd.disk.setLatency([]time.Duration{time.Millisecond, 5 * time.Millisecond, 40 * time.Millisecond, 150 * time.Millisecond}[sim.intN(4)])
	}
	loops.Go(func() { sim.configure(ctx) })
	loops.Go(func() { sim.repeat(ctx) })
	loops.Go(func() { sim.evacuateInTurn(ctx) })
	if interval := sim.intN(4); interval > 0 {
		loops.Go(func() { sim.changeLeaders(ctx, time.Duration(interval)*time.Second) })
	}
	how := []string{"", "kill", "wiped", "planned", "cut"}[sim.intN(5)]
	left, mayLose := sim.lose(how, time.Duration(sim.intN(9000))*time.Millisecond)
	if left != nil {
		gone[left] = true
	}
	sim.cutPower()
	cancel()
	loops.Wait()
	disks := sim.losses
	if !mayLose {
		disks--
	}
	lost := map[*simVM]bool{}
	all := sim.running()
	for _, num := range sim.rng.Perm(len(all)) {
		if len(lost) < disks && sim.intN(4) > 0 {
			lost[all[num]] = true
		}
	}
	sim.restorePower(gone, lost)
	const recovery = 15 * time.Second
	if problem := sim.check(recovery); problem != "" {
		return problem
	}
	if !sim.await(recovery, sim.settled) {
		return "the group has not got its voters back"
	}
	time.Sleep(catchUp)
	return ""
}

// play plays rounds and returns what went wrong.
func (sim *powerSim) play(rounds int) string {
	gone := map[*simVM]bool{}
	defer func() {
		for _, vmd := range sim.list() {
			vmd.kill()
		}
	}()
	var seeds []string
	for num := range 2*sim.losses + 2 {
		if vmd := sim.addDisk(); num < 3 {
			seeds = append(seeds, vmd.name)
		}
	}
	for _, vmd := range sim.list() {
		vmd.start(true, seeds)
	}
	if !sim.await(30*time.Second, sim.settled) {
		return "the group did not form"
	}
	err := sim.leader().running().proposeHere(context.Background(), &fpstate.Command{
		Body: &fpstate.Command_Level{
			Level: &fpstate.Level{
				Level: fpdirectory.LevelEvacuation,
			},
		},
	})
	if err != nil {
		return err.Error()
	}
	for range rounds {
		if problem := sim.round(gone); problem != "" {
			return problem
		}
	}
	return ""
}

// TestAcknowledgedAfterPowerLoss guards against configurations and evacuations that were acknowledged before they were durable at a
// majority of the voters, and are gone after all control VMs have lost power and as many as the group tolerates their disks: beside changes
// of the leader, replaced voters, repairs, planned stops, snapshots and new segments of the log.
func TestAcknowledgedAfterPowerLoss(t *testing.T) {
	for num := range *powerLossSeeds {
		seed := *powerLossFirst + num
		losses := 1 + int(seed%2)
		t.Run(fmt.Sprintf("seed=%d,losses=%d", seed, losses), func(t *testing.T) {
			folder := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				sim := &powerSim{
					memberSim: &memberSim{
						t:      t,
						folder: folder,
						losses: losses,
						rng:    rand.New(rand.NewPCG(seed, 54)),
						vms:    map[string]*simVM{},
						began:  time.Now(),
					},
					sent: map[uint64][]byte{},
					evacuated: map[bool]bool{
						false: true,
					},
				}
				if problem := sim.play(3); problem != "" {
					t.Errorf("%s\n%s", problem, strings.Join(sim.events, "\n"))
				}
				t.Logf("%d acknowledgements, the last revision is %d", sim.acks, sim.acked)
			})
		})
	}
}

// dataFolder returns the folder in which the VM stores its data.
func (vmd *simVM) dataFolder() string {
	folder := filepath.Join(vmd.sim.folder, vmd.name)
	if vmd.disk != nil {
		return filepath.Join(folder, simData)
	}
	return folder
}

package fpcontrol

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// propagation is the time within which each control VM knows what another one has handed out, and its log records it.
	propagation = 400 * time.Millisecond
	// patience is how long an entry VM that starts looks for a newer state.
	patience = 250 * time.Millisecond
)

// Watch calls the other VM over the simulated network.
func (pee *simPeer) Watch(ctx context.Context, req *connect.Request[fpstate.WatchRequest]) (*connect.Response[fpstate.WatchResponse], error) {
	con, err := pee.reach(ctx)
	if err != nil {
		return nil, err
	}
	res, err := con.service.Watch(ctx, req)
	time.Sleep(pee.from.sim.delay())
	return res, err
}

// stateSim checks that no state is older than one that was in force before.
type stateSim struct {
	*memberSim
	// inForce is the highest revision that an entry VM has taken, and handedOut the highest one that each control VM has handed out
	// since its disk was new.
	inForce   highest
	handedOut map[string]*highest
	// big states that the next changes fill the log, so that snapshots are taken.
	big bool
}

// highest is the highest of the revisions that were recorded, and that of propagation ago.
type highest struct {
	newest, settled uint64
	changedAt       time.Time
}

// record records a revision.
func (hig *highest) record(revision uint64) {
	hig.settled = hig.required()
	if revision > hig.newest {
		hig.newest, hig.changedAt = revision, time.Now()
	}
}

// required is the lowest revision that is not too old.
func (hig *highest) required() uint64 {
	if time.Since(hig.changedAt) >= propagation {
		return hig.newest
	}
	return hig.settled
}

// change commits a configuration within a limit, of 3 MiB if big is set, and reports whether it did.
func (sim *stateSim) change(limit time.Duration) bool {
	cfg := &fpstate.Configuration{
		Revision: sim.revision + 1,
	}
	if sim.big {
		cfg.Document = []byte(strings.Repeat("x", 3<<20))
	}
	return sim.putConfiguration(limit, cfg)
}

// ask asks a control VM over the simulated network, from an entry VM.
func (sim *stateSim) ask(vmd *simVM, req *fpstate.WatchRequest) *fpstate.WatchResponse {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	pee := &simPeer{
		from: &simVM{
			sim: sim.memberSim,
		},
		to: vmd,
	}
	res, err := pee.Watch(ctx, connect.NewRequest(req))
	if err != nil {
		return nil
	}
	return res.Msg
}

// take takes the whole state from a control VM, and checks that the VM has not handed out a newer one before.
func (sim *stateSim) take(vmd *simVM) *fpstate.WatchResponse {
	before := sim.handedOut[vmd.name]
	if before == nil {
		before = &highest{}
		sim.handedOut[vmd.name] = before
	}
	required, handedOut := sim.inForce.required(), before.required()
	res := sim.ask(vmd, &fpstate.WatchRequest{
		Vm:   "entry",
		Wait: durationpb.New(100 * time.Millisecond),
	})
	if res == nil {
		return nil
	}
	revision := res.GetState().GetConfiguration().GetRevision()
	if revision < handedOut {
		sim.t.Errorf("%s handed out revision %d, and before %d; stale %t", vmd.name, revision, handedOut, res.GetStale())
	}
	if !res.GetStale() && revision < required {
		sim.t.Errorf("%s handed out revision %d as the current one; %d is in force", vmd.name, revision, required)
	}
	before.record(revision)
	return res
}

// follow lets an entry VM that has the newest state take the next one from a control VM.
func (sim *stateSim) follow(vmd *simVM) {
	if res := sim.take(vmd); res != nil {
		sim.inForce.record(res.GetState().GetConfiguration().GetRevision())
	}
}

// startEntry starts an entry VM, which takes its first state as those of the product do, and checks that it is not older than one that
// was in force, if all control VMs have answered.
func (sim *stateSim) startEntry(limit time.Duration) {
	required := sim.inForce.required()
	var offered time.Time
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		responses := map[string]*fpstate.WatchResponse{}
		for _, vmd := range sim.list() {
			res := sim.ask(vmd, &fpstate.WatchRequest{
				Vm:           "entry",
				After:        math.MaxUint64,
				PositionOnly: true,
			})
			if res != nil {
				responses[vmd.name] = res
			}
		}
		newest, complete := fpdirectory.NewestResponse(responses)
		if newest == "" {
			continue
		}
		if offered.IsZero() {
			offered = time.Now()
		}
		if !complete && time.Since(offered) < patience {
			continue
		}
		res := sim.take(sim.vms[newest])
		if res == nil {
			continue
		}
		revision := res.GetState().GetConfiguration().GetRevision()
		sim.note("an entry VM takes revision %d from %s, complete %t; %d was in force", revision, newest, complete, required)
		if complete && revision < required {
			sim.t.Errorf("an entry VM started with revision %d; %d was in force", revision, required)
		}
		sim.inForce.record(revision)
		return
	}
}

// killAll ends all control VMs at once.
func (sim *stateSim) killAll() {
	sim.note("all VMs end")
	for _, vmd := range sim.list() {
		vmd.kill()
	}
}

// startAll starts the VMs that are down and reconnects those that are cut off, in random order and with random pauses. Entry VMs start
// in between.
func (sim *stateSim) startAll(pause int) {
	all := sim.list()
	sim.rng.Shuffle(len(all), func(one, other int) { all[one], all[other] = all[other], all[one] })
	for _, vmd := range all {
		vmd.setCut(false)
		if vmd.running() != nil {
			continue
		}
		sim.note("%s starts", vmd.name)
		vmd.start(false, []string{simName(0), simName(1), simName(2)})
		if pause > 0 {
			time.Sleep(time.Duration(sim.intN(pause)) * time.Millisecond)
		}
		if sim.intN(2) == 0 {
			sim.startEntry(time.Second)
		}
	}
}

// loseDisk ends a VM and removes its data.
func (sim *stateSim) loseDisk(vmd *simVM) {
	sim.note("%s loses its disk", vmd.name)
	vmd.kill()
	if err := os.RemoveAll(filepath.Join(sim.folder, vmd.name)); err != nil {
		sim.t.Fatal(err)
	}
	delete(sim.handedOut, vmd.name)
}

// step plays one random event.
func (sim *stateSim) step() {
	running := sim.running()
	switch sim.intN(10) {
	case 0, 1, 2:
		sim.big = sim.intN(3) == 0
		for range 1 + sim.intN(4) {
			sim.note("change to %d: %t", sim.revision+1, sim.change(2*time.Second))
		}
	case 3, 4:
		if len(running) > 0 {
			sim.follow(running[sim.intN(len(running))])
		}
	case 5:
		sim.startEntry(time.Second)
	case 6, 7:
		sim.killAll()
		sim.startAll(400)
	case 8:
		if len(running) > 1 {
			vmd, cut := running[sim.intN(len(running))], sim.intN(2) == 0
			sim.note("%s ends or is cut off, %t", vmd.name, cut)
			if vmd.setCut(cut); !cut {
				vmd.kill()
			}
		}
	case 9:
		if len(running) == len(sim.list()) && sim.await(10*time.Second, sim.settled) {
			sim.loseDisk(running[sim.intN(len(running))])
		}
	}
	time.Sleep(time.Duration(sim.intN(600)) * time.Millisecond)
	if sim.intN(3) == 0 {
		sim.startAll(0)
	}
}

// playStoredState calls play with a group of four control VMs, of which one may be lost.
func playStoredState(t *testing.T, seed uint64, play func(sim *stateSim)) {
	synctest.Test(t, func(t *testing.T) {
		sim := &stateSim{
			memberSim: &memberSim{
				t:      t,
				folder: t.TempDir(),
				losses: 1,
				rng:    rand.New(rand.NewPCG(seed, 11)),
				vms:    map[string]*simVM{},
				began:  time.Now(),
			},
			handedOut: map[string]*highest{},
		}
		defer func() {
			for _, vmd := range sim.list() {
				vmd.kill()
			}
			if t.Failed() {
				t.Log(strings.Join(sim.events, "\n"))
			}
		}()
		if !sim.memberSim.start(4) {
			t.Fatal("the group does not start")
		}
		play(sim)
	})
}

// TestNoOlderStateAfterRestarts guards against entry VMs that get an older state than one that was in force before, in random orders
// of changes, ends and starts of control VMs, lost disks and starts of entry VMs.
func TestNoOlderStateAfterRestarts(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			playStoredState(t, seed, func(sim *stateSim) {
				for range 25 {
					sim.step()
				}
			})
		})
	}
}

// TestSnapshotIsOlderThanState guards against control VMs that hand out the state of their snapshot after a restart of all VMs,
// although they have applied later changes.
func TestSnapshotIsOlderThanState(t *testing.T) {
	playStoredState(t, 1, func(sim *stateSim) {
		sim.big = true
		for range 4 {
			if !sim.change(5 * time.Second) {
				t.Fatal("a change was not committed")
			}
		}
		sim.big = false
		if !sim.change(5 * time.Second) {
			t.Fatal("a change was not committed")
		}
		time.Sleep(8 * time.Second)
		for _, vmd := range sim.list() {
			if snp := vmd.running().storage.Snapshot().Index; snp == 0 {
				t.Fatalf("%s has no snapshot", vmd.name)
			}
			sim.follow(vmd)
		}
		sim.killAll()
		sim.startAll(0)
		for _, vmd := range sim.list() {
			sim.follow(vmd)
		}
		sim.startEntry(time.Second)
	})
}

// TestStateFileOfEarlierBuild guards against a control VM that hands out an older state than an earlier build has stored, and against one
// that takes the file of another log for its own.
func TestStateFileOfEarlierBuild(t *testing.T) {
	for name, ahead := range map[string]uint64{
		"own log":     0,
		"another log": 1000,
	} {
		t.Run(name, func(t *testing.T) {
			playStoredState(t, 1, func(sim *stateSim) {
				for range 5 {
					sim.change(5 * time.Second)
				}
				time.Sleep(2 * time.Second)
				vmd := sim.list()[0]
				con := vmd.running()
				buf, err := proto.Marshal(&fpstate.WatchResponse{
					Index: con.directory.Index() + ahead,
				})
				if err != nil {
					t.Fatal(err)
				}
				want := con.directory.Index()
				sim.killAll()
				folder := filepath.Join(sim.folder, vmd.name)
				withoutCommit(t, filepath.Join(folder, groupName))
				path := filepath.Join(folder, stateName)
				if err := os.WriteFile(path, buf, 0o600); err != nil {
					t.Fatal(err)
				}
				vmd.start(false, nil)
				time.Sleep(50 * time.Millisecond)
				if got := vmd.running().directory.Index(); ahead == 0 && got != want || ahead > 0 && got != 0 {
					t.Errorf("the state up to index %d is restored, and %d was committed", got, want)
				}
				if _, err := os.Stat(path); !os.IsNotExist(err) {
					t.Errorf("the file is kept: %v", err)
				}
			})
		})
	}
}

// withoutCommit writes a log again as an earlier build does, without the commit index.
func withoutCommit(t *testing.T, folder string) {
	old, err := fplog.Open(folder, fplog.Config{})
	if err != nil {
		t.Fatal(err)
	}
	entries, err := old.Entries(1, old.LastIndex()+1)
	if err != nil {
		t.Fatal(err)
	}
	hard := old.HardState()
	_ = old.Close()
	incarnation, err := os.ReadFile(filepath.Join(folder, "incarnation"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	lg, err := fplog.Open(folder, fplog.Config{})
	if err != nil {
		t.Fatal(err)
	}
	if err := lg.Append(entries, hard); err != nil {
		t.Fatal(err)
	}
	_ = lg.Close()
	if err := os.WriteFile(filepath.Join(folder, "incarnation"), incarnation, 0o600); err != nil {
		t.Fatal(err)
	}
}

package fpcontrol

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpport"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// cluster is a group of control VMs on loopback addresses.
type cluster struct {
	t        *testing.T
	folder   string
	seeds    []string
	vms      map[string]*runningVM
	operator *platform.ControlClient
	// configure, if not nil, changes a VM before it runs.
	configure func(con *Control)
	// write, if not nil, writes to a file of a VM's log.
	write func(vm string, fil *os.File, buf []byte) (int, error)
}

// runningVM is a control VM that runs.
type runningVM struct {
	control *Control
	cancel  context.CancelFunc
	done    <-chan error
}

func newCluster(t *testing.T, count int) *cluster {
	return newConfiguredCluster(t, count, nil)
}

func newConfiguredCluster(t *testing.T, count int, configure func(con *Control)) *cluster {
	return startCluster(t, count, cluster{
		configure: configure,
	})
}

// startCluster starts a cluster with the functions of tmpl.
func startCluster(t *testing.T, count int, tmpl cluster) *cluster {
	clu := &cluster{
		configure: tmpl.configure,
		write:     tmpl.write,
		t:         t,
		folder:    t.TempDir(),
		vms:       map[string]*runningVM{},
		operator: &platform.ControlClient{
			Client: &http.Client{
				Timeout: time.Second,
			},
		},
	}
	var all []string
	for range count {
		address, err := fpport.Free()
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, address)
	}
	clu.seeds = all[:min(3, count)]
	for _, vm := range all {
		clu.start(vm, true)
	}
	t.Cleanup(func() {
		for vm := range clu.vms {
			clu.stop(vm)
		}
	})
	return clu
}

func (clu *cluster) start(vm string, first bool) {
	clu.t.Helper()
	cfg := Config{
		VM:         vm,
		Seeds:      clu.seeds,
		FirstStart: first,
		DataFolder: clu.dataFolder(vm),
		Losses:     1,
		CatchUp:    catchUp,
		Log:        zap.NewNop(),
	}
	if clu.write != nil {
		cfg.Write = func(fil *os.File, buf []byte) (int, error) { return clu.write(vm, fil, buf) }
	}
	con, err := New(cfg)
	if err != nil {
		clu.t.Fatal(err)
	}
	if clu.configure != nil {
		clu.configure(con)
	}
	ctx, cancel := context.WithCancel(context.Background())
	clu.vms[vm] = &runningVM{
		control: con,
		cancel:  cancel,
		done:    con.Run(ctx),
	}
}

func (clu *cluster) dataFolder(vm string) string {
	return filepath.Join(clu.folder, vm)
}

func (clu *cluster) stop(vm string) {
	run := clu.vms[vm]
	run.cancel()
	if err := <-run.done; err != nil {
		clu.t.Errorf("control VM %s: %v", vm, err)
	}
	delete(clu.vms, vm)
}

// put sends a configuration to each VM in turn until one accepts it.
func (clu *cluster) put(revision int) {
	clu.t.Helper()
	document := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","hostname":"a","path_prefix":"/","kind":"safe","service":"s"}],"services":[{"name":"s"}]}`, revision)
	clu.waitFor(fmt.Sprintf("revision %d is accepted", revision), func() bool {
		for vm := range clu.vms {
			if clu.operator.Put(clu.t.Context(), vm, []byte(document)) == nil {
				return true
			}
		}
		return false
	})
}

// waitFor waits until a condition holds. It fails the test after 15 s.
func (clu *cluster) waitFor(what string, condition func() bool) {
	clu.t.Helper()
	const limit = 15 * time.Second
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	clu.t.Fatalf("condition not met within %v: %s", limit, what)
}

// waitForVoters waits until the group has the given number of voters and all running VMs are members.
func (clu *cluster) waitForVoters(count int) {
	clu.t.Helper()
	clu.waitFor(fmt.Sprintf("%d VMs vote and %d are members", count, len(clu.vms)), func() bool {
		for vm, run := range clu.vms {
			sta := run.control.group.Status()
			if countVoters(sta) != count || !isMember(sta, vm) {
				return false
			}
		}
		return true
	})
}

func countVoters(sta fpgroup.Status) int {
	voters := 0
	for _, mst := range sta.Members {
		if !mst.Learner {
			voters++
		}
	}
	return voters
}

func votes(sta fpgroup.Status, vm string) bool {
	return slices.ContainsFunc(sta.Members, func(mst fpgroup.MemberStatus) bool { return mst.VM == vm && !mst.Learner })
}

// waitForRevision waits until every running VM returns a configuration with the given revision.
func (clu *cluster) waitForRevision(want uint64) {
	clu.t.Helper()
	clu.waitFor(fmt.Sprintf("all VMs return revision %d", want), func() bool {
		for vm := range clu.vms {
			if got, err := clu.operator.Read(clu.t.Context(), vm); err != nil || got != want {
				return false
			}
		}
		return true
	})
}

// TestGroupFormsAndRepairsItself guards against a group that doesn't form from its seeds, add a further VM, or repair a VM with a
// lost disk without an operator, or that loses an accepted configuration in doing so.
func TestGroupFormsAndRepairsItself(t *testing.T) {
	clu := newCluster(t, 4)
	clu.waitForVoters(3)
	clu.put(5)
	clu.waitForRevision(5)
	replaced := clu.seeds[0]
	clu.stop(replaced)
	if err := os.RemoveAll(clu.dataFolder(replaced)); err != nil {
		t.Fatal(err)
	}
	clu.put(6)
	clu.start(replaced, false)
	clu.waitForVoters(3)
	clu.waitForRevision(6)
}

// findLearner returns the VM without a vote.
func (clu *cluster) findLearner() string {
	for _, run := range clu.vms {
		for _, mst := range run.control.group.Status().Members {
			if mst.Learner {
				return mst.VM
			}
		}
	}
	clu.t.Fatal("there is no learner")
	return ""
}

// TestHalfWithQuorumAcceptsChanges guards against a group of four VMs that accepts no changes after a network partition in two
// halves: the half with two of the three voters has a quorum. The test stops the learner and a voter.
func TestHalfWithQuorumAcceptsChanges(t *testing.T) {
	clu := newCluster(t, 4)
	clu.waitForVoters(3)
	clu.put(5)
	learner := clu.findLearner()
	clu.stop(learner)
	for vm := range clu.vms {
		clu.stop(vm)
		break
	}
	clu.put(6)
	clu.waitForRevision(6)
}

// TestLearnerReplacesLostVoter guards against a group that tolerates no further loss although a learner could replace a
// lost voter, and against an even number of voters after the lost one has come back.
func TestLearnerReplacesLostVoter(t *testing.T) {
	clu := newCluster(t, 4)
	clu.waitForVoters(3)
	clu.put(5)
	learner := clu.findLearner()
	lost := ""
	for vm := range clu.vms {
		if vm != learner {
			lost = vm
		}
	}
	clu.stop(lost)
	clu.waitFor("the learner votes in place of the lost VM", func() bool {
		for _, run := range clu.vms {
			sta := run.control.group.Status()
			if countVoters(sta) != 3 || !votes(sta, learner) || votes(sta, lost) {
				return false
			}
		}
		return true
	})
	clu.start(lost, false)
	clu.waitForVoters(3)
	clu.waitForRevision(5)
}

// TestInvalidAndOlderConfigurations guards against an invalid configuration that is accepted, and against a repeated or older one
// that is refused.
func TestInvalidAndOlderConfigurations(t *testing.T) {
	clu := newCluster(t, 3)
	clu.put(5)
	clu.put(5)
	clu.put(4)
	invalid := []byte(`{"version":9,"routes":[{"name":"r","hostname":"a","path_prefix":"/","kind":"safe","service":"nobody"}],"services":[]}`)
	for vm := range clu.vms {
		if err := clu.operator.Put(t.Context(), vm, invalid); !fperror.Is(err, fperror.InvalidRequest) {
			t.Errorf("an invalid configuration: got %v", err)
		}
	}
	clu.waitForRevision(5)
}

// TestMinorityRefusesChangesAndReads guards against a VM without a majority that accepts a change, or returns a
// configuration that may be outdated.
func TestMinorityRefusesChangesAndReads(t *testing.T) {
	clu := newCluster(t, 3)
	clu.waitForVoters(3)
	clu.put(5)
	clu.waitForRevision(5)
	clu.stop(clu.seeds[0])
	clu.stop(clu.seeds[1])
	left := clu.seeds[2]
	clu.waitFor("the last VM refuses reads", func() bool {
		_, err := clu.operator.Read(t.Context(), left)
		return err != nil
	})
	document := []byte(`{"version":6,"routes":[],"services":[]}`)
	if err := clu.operator.Put(t.Context(), left, document); !fperror.Is(err, fperror.NoQuorum) {
		t.Errorf("a change without a majority: got %v, want an error of kind NoQuorum", err)
	}
}

// TestStoredStateServedBeforeElection guards against entry VMs that have no state after a restart of all VMs until the
// group has a leader.
func TestStoredStateServedBeforeElection(t *testing.T) {
	clu := newCluster(t, 3)
	clu.waitForVoters(3)
	clu.put(5)
	clu.waitForRevision(5)
	vm := clu.seeds[0]
	con := clu.vms[vm].control
	clu.waitFor("the log records that the state is committed", func() bool {
		return con.directory.Configuration().GetRevision() == 5 && con.storage.Commit() >= con.directory.Index()
	})
	for _, seed := range clu.seeds {
		clu.stop(seed)
	}
	clu.start(vm, false)
	cli := fpstateconnect.NewStateServiceClient(http.DefaultClient, "http://"+vm)
	clu.waitFor("the state is returned", func() bool {
		res, err := cli.Watch(t.Context(), connect.NewRequest(&fpstate.WatchRequest{
			Vm:   "entry",
			Wait: durationpb.New(time.Second),
		}))
		if err == nil && res.Msg.GetState().GetConfiguration().GetRevision() < 5 {
			t.Errorf("an older state was returned, %v", res.Msg)
		}
		return err == nil && res.Msg.GetStale() && res.Msg.GetState().GetConfiguration().GetRevision() == 5
	})
	if _, err := clu.operator.Read(t.Context(), vm); err == nil {
		t.Error("a VM that cannot know the newest configuration returned one")
	}
}

// TestAnnouncementsReachAllVMs guards against an acknowledged announcement that does not reach the other VMs within the drain
// time.
func TestAnnouncementsReachAllVMs(t *testing.T) {
	clu := newCluster(t, 3)
	clu.waitForVoters(3)
	ups := &fpstate.Upstream{
		Id:          "one",
		Born:        1,
		Service:     "s",
		Address:     "127.0.0.1:1",
		Concurrency: 2,
	}
	clu.waitFor("the announcement is accepted", func() bool { return clu.operator.Announce(t.Context(), clu.seeds[0], ups, 1) == nil })
	ups.Leaving = true
	clu.waitFor("the announcement that it is leaving is accepted", func() bool { return clu.operator.Announce(t.Context(), clu.seeds[1], ups, 2) == nil })
	const drain = 2500 * time.Millisecond
	end := time.Now().Add(drain)
	clu.waitFor("all VMs know that the upstream is leaving", func() bool {
		for _, run := range clu.vms {
			if !run.control.directory.Upstream("one").GetLeaving() {
				return false
			}
		}
		return true
	})
	if time.Now().After(end) {
		t.Errorf("it took longer than %v", drain)
	}
}

// TestWatchFromNewerPosition guards against a control VM that reports itself as stale because its caller has followed another VM
// that was a few entries ahead.
func TestWatchFromNewerPosition(t *testing.T) {
	clu := newCluster(t, 3)
	clu.waitForVoters(3)
	clu.put(5)
	clu.waitForRevision(5)
	vm := clu.seeds[0]
	after := clu.vms[vm].control.directory.Index() + 1
	timer := time.AfterFunc(100*time.Millisecond, func() { clu.put(6) })
	defer timer.Stop()
	cli := fpstateconnect.NewStateServiceClient(http.DefaultClient, "http://"+vm)
	res, err := cli.Watch(t.Context(), connect.NewRequest(&fpstate.WatchRequest{
		Vm:    "entry",
		After: after,
		Wait:  durationpb.New(5 * time.Second),
	}))
	if err != nil || res.Msg.GetStale() || res.Msg.GetIndex() < after {
		t.Errorf("got stale %t, index %d for a caller at %d, error %v", res.Msg.GetStale(), res.Msg.GetIndex(), after, err)
	}
}

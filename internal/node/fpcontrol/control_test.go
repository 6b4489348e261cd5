package fpcontrol

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// cluster is a group of control VMs on loopback.
type cluster struct {
	t       *testing.T
	folder  string
	seeds   []string
	vms     map[string]*running
	operate *platform.Announcer
	// adjust changes a VM before it runs, if it is set.
	adjust func(con *Control)
}

// running is a control VM that runs.
type running struct {
	control *Control
	cancel  context.CancelFunc
	done    <-chan error
}

func newCluster(t *testing.T, count int) *cluster {
	return newAdjustedCluster(t, count, nil)
}

func newAdjustedCluster(t *testing.T, count int, adjust func(con *Control)) *cluster {
	clu := &cluster{
		adjust: adjust,
		t:      t,
		folder: t.TempDir(),
		vms:    map[string]*running{},
		operate: &platform.Announcer{
			Client: &http.Client{
				Timeout: time.Second,
			},
		},
	}
	var all []string
	for range count {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, lis.Addr().String())
		_ = lis.Close() // the address is free again
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
	con, err := New(Config{
		VM:         vm,
		Seeds:      clu.seeds,
		FirstStart: first,
		DataFolder: clu.dataFolder(vm),
		Losses:     1,
		Log:        zap.NewNop(),
	})
	if err != nil {
		clu.t.Fatal(err)
	}
	if clu.adjust != nil {
		clu.adjust(con)
	}
	ctx, cancel := context.WithCancel(context.Background())
	clu.vms[vm] = &running{
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

// put sends a configuration to each VM in turn until one takes it.
func (clu *cluster) put(revision int) {
	clu.t.Helper()
	document := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","hostname":"a","path_prefix":"/","kind":"safe","service":"s"}],"services":[{"name":"s"}]}`, revision)
	clu.await(fmt.Sprintf("revision %d is accepted", revision), func() bool {
		for vm := range clu.vms {
			if clu.operate.Put(clu.t.Context(), vm, []byte(document)) == nil {
				return true
			}
		}
		return false
	})
}

// await waits until something is so.
func (clu *cluster) await(what string, is func() bool) {
	clu.t.Helper()
	const limit = 15 * time.Second
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if is() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	clu.t.Fatalf("not within %v: %s", limit, what)
}

// awaitVoters waits until a number of VMs vote and all that run are members.
func (clu *cluster) awaitVoters(count int) {
	clu.t.Helper()
	clu.await(fmt.Sprintf("%d VMs vote and %d are members", count, len(clu.vms)), func() bool {
		for vm, run := range clu.vms {
			voters := 0
			sta := run.control.group.Status()
			for _, mst := range sta.Members {
				if !mst.Learner {
					voters++
				}
			}
			if voters != count || !isMember(sta, vm) {
				return false
			}
		}
		return true
	})
}

// awaitRevision waits until every VM returns a revision.
func (clu *cluster) awaitRevision(want uint64) {
	clu.t.Helper()
	clu.await(fmt.Sprintf("all VMs return revision %d", want), func() bool {
		for vm := range clu.vms {
			if got, err := clu.operate.Read(clu.t.Context(), vm); err != nil || got != want {
				return false
			}
		}
		return true
	})
}

// TestGroupWithoutOperator guards against a group that does not form from seeds, take in a VM, or repair a lost disk by itself,
// and that loses an accepted configuration over that.
func TestGroupWithoutOperator(t *testing.T) {
	clu := newCluster(t, 4)
	clu.awaitVoters(3)
	clu.put(5)
	clu.awaitRevision(5)
	wiped := clu.seeds[0]
	clu.stop(wiped)
	if err := os.RemoveAll(clu.dataFolder(wiped)); err != nil {
		t.Fatal(err)
	}
	clu.put(6)
	clu.start(wiped, false)
	clu.awaitVoters(3)
	clu.awaitRevision(6)
}

// learner returns the VM without a vote.
func (clu *cluster) learner() string {
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

// TestHalves guards against a group of four VMs that accepts nothing when it is cut in two: the half with two of three votes goes
// on.
func TestHalves(t *testing.T) {
	clu := newCluster(t, 4)
	clu.awaitVoters(3)
	clu.put(5)
	spare := clu.learner()
	clu.stop(spare)
	for vm := range clu.vms {
		clu.stop(vm)
		break
	}
	clu.put(6)
	clu.awaitRevision(6)
}

// TestLostVoter guards against a group that bears no further loss although a VM without a vote could take the place of a lost
// voter, and against an even number of voters after that one has come back.
func TestLostVoter(t *testing.T) {
	clu := newCluster(t, 4)
	clu.awaitVoters(3)
	clu.put(5)
	spare := clu.learner()
	lost := ""
	for vm := range clu.vms {
		if vm != spare {
			lost = vm
		}
	}
	clu.stop(lost)
	// The lost VM has a vote until it is removed.
	clu.awaitVoters(4)
	clu.start(lost, false)
	clu.awaitVoters(3)
	clu.awaitRevision(5)
}

// TestRefusedConfigurations guards against an invalid configuration that is taken into force, and against a repeated or older
// one that is refused.
func TestRefusedConfigurations(t *testing.T) {
	clu := newCluster(t, 3)
	clu.put(5)
	clu.put(5)
	clu.put(4)
	invalid := []byte(`{"version":9,"routes":[{"name":"r","hostname":"a","path_prefix":"/","kind":"safe","service":"nobody"}],"services":[]}`)
	for vm := range clu.vms {
		if err := clu.operate.Put(t.Context(), vm, invalid); !fperror.Is(err, fperror.InvalidRequest) {
			t.Errorf("an invalid configuration: got %v", err)
		}
	}
	clu.awaitRevision(5)
}

// TestMinority guards against a VM without a majority that accepts a change, or returns a configuration that may be old.
func TestMinority(t *testing.T) {
	clu := newCluster(t, 3)
	clu.awaitVoters(3)
	clu.put(5)
	clu.awaitRevision(5)
	clu.stop(clu.seeds[0])
	clu.stop(clu.seeds[1])
	left := clu.seeds[2]
	clu.await("the last VM knows that it leads nothing", func() bool {
		_, err := clu.operate.Read(t.Context(), left)
		return err != nil
	})
	document := []byte(`{"version":6,"routes":[],"services":[]}`)
	if err := clu.operate.Put(t.Context(), left, document); !fperror.Is(err, fperror.NoQuorum) {
		t.Errorf("a change without a majority: got %v, want an error of kind NoQuorum", err)
	}
}

// TestStoredState guards against entry VMs that know nothing after a restart of all VMs until the group has a leader.
func TestStoredState(t *testing.T) {
	clu := newCluster(t, 3)
	clu.awaitVoters(3)
	clu.put(5)
	clu.awaitRevision(5)
	vm := clu.seeds[0]
	clu.await("the state is stored", func() bool {
		_, err := os.Stat(filepath.Join(clu.dataFolder(vm), stateName))
		return err == nil
	})
	for _, seed := range clu.seeds {
		clu.stop(seed)
	}
	clu.start(vm, false)
	cli := fpstateconnect.NewStateServiceClient(http.DefaultClient, "http://"+vm)
	clu.await("the stored state is handed out", func() bool {
		res, err := cli.Watch(t.Context(), connect.NewRequest(&fpstate.WatchRequest{
			Vm: "entry",
		}))
		return err == nil && res.Msg.GetStale() && res.Msg.GetState().GetConfiguration().GetRevision() == 5
	})
	if _, err := clu.operate.Read(t.Context(), vm); err == nil {
		t.Error("a VM that cannot know the newest configuration returned one")
	}
}

// TestAnnouncements guards against an announcement that is acknowledged before the other VMs know of it.
func TestAnnouncements(t *testing.T) {
	clu := newCluster(t, 3)
	clu.awaitVoters(3)
	ups := &fpstate.Upstream{
		Id:          "one",
		Born:        1,
		Service:     "s",
		Address:     "127.0.0.1:1",
		Concurrency: 2,
	}
	clu.await("the upstream is taken", func() bool { return clu.operate.Announce(t.Context(), clu.seeds[0], ups, 1) == nil })
	ups.Leaving = true
	clu.await("its leaving is taken", func() bool { return clu.operate.Announce(t.Context(), clu.seeds[1], ups, 2) == nil })
	const drain = 2500 * time.Millisecond
	end := time.Now().Add(drain)
	clu.await("all VMs know that the upstream leaves", func() bool {
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

// TestWatchAhead guards against a control VM that is taken for one without a leader because its caller has followed another
// one that was a few entries ahead.
func TestWatchAhead(t *testing.T) {
	clu := newCluster(t, 3)
	clu.awaitVoters(3)
	clu.put(5)
	clu.awaitRevision(5)
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

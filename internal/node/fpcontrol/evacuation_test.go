package fpcontrol

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
)

// nameDataCentres makes a VM know three data centres.
func nameDataCentres(con *Control) { con.cfg.DataCentres = []string{"east", "north", "west"} }

// evacuate repeats an order at all VMs in turn until one acknowledges it.
func (clu *cluster) evacuate(dataCentre string, active bool) {
	clu.t.Helper()
	clu.waitFor(fmt.Sprintf("order %t for %s is acknowledged", active, dataCentre), func() bool {
		for vm := range clu.vms {
			if clu.operator.Evacuate(clu.t.Context(), vm, dataCentre, active) == nil {
				return true
			}
		}
		return false
	})
}

// waitForEvacuated waits until all VMs know that exactly the given data centres are evacuated.
func (clu *cluster) waitForEvacuated(want ...string) {
	clu.t.Helper()
	clu.waitFor(fmt.Sprintf("%q are evacuated", want), func() bool {
		for _, run := range clu.vms {
			var got []string
			for _, eva := range run.control.directory.Evacuations() {
				if eva.GetActive() {
					got = append(got, eva.GetDataCentre())
				}
			}
			if strings.Join(got, ",") != strings.Join(want, ",") {
				return false
			}
		}
		return true
	})
}

// leaderAndOther returns the leader and another VM.
func (clu *cluster) leaderAndOther() (leader, other *Control) {
	clu.t.Helper()
	clu.waitFor("there is a leader", func() bool {
		leader, other = nil, nil
		for _, run := range clu.vms {
			if run.control.leads(clu.t.Context()) {
				leader = run.control
			} else {
				other = run.control
			}
		}
		return leader != nil && other != nil && other.group.Status().Leader == leader.cfg.VM
	})
	return leader, other
}

// TestEvacuationOrders guards against a repeated order that is refused, an end of an evacuation that was never started that is refused,
// an unknown data centre that is accepted or refused without a clear status, and an order that only the leader takes.
func TestEvacuationOrders(t *testing.T) {
	clu := newConfiguredCluster(t, 4, nameDataCentres)
	clu.waitForVoters(3)
	clu.evacuate("east", false)
	clu.waitForEvacuated()
	for vm := range clu.vms {
		for range 2 {
			if err := clu.operator.Evacuate(t.Context(), vm, "east", true); err != nil {
				t.Errorf("an order at %s: %v", vm, err)
			}
		}
	}
	clu.waitForEvacuated("east")
	for _, name := range []string{"north", "west", "west"} {
		clu.evacuate(name, true)
	}
	clu.waitForEvacuated("east", "north", "west")
	for vm := range clu.vms {
		for _, name := range []string{"south", "", "east+&of=west"} {
			if err := clu.operator.Evacuate(t.Context(), vm, name, true); !fperror.Is(err, fperror.InvalidRequest) {
				t.Errorf("an order for data centre %q: got %v, want status 400", name, err)
			}
		}
		for _, name := range []string{"east", "north", "east"} {
			if err := clu.operator.Evacuate(t.Context(), vm, name, false); err != nil {
				t.Errorf("an end at %s: %v", vm, err)
			}
		}
	}
	clu.waitForEvacuated("west")
	// An answer without a body that is JSON is no acknowledgement for some clients.
	res, err := http.Post("http://"+clu.seeds[0]+"/rpc?call=drain.end&of=west", "", nil)
	if err != nil || res.StatusCode != http.StatusOK || res.Header.Get("Content-Type") != "application/json" {
		t.Errorf("got %v, %v for an order without a body", res, err)
	}
	_ = res.Body.Close()
}

// TestOrdersThatOvertakeEachOther guards against a start that is held up on its way to the leader and takes effect after an end that was
// acknowledged, although the end found nothing to end.
func TestOrdersThatOvertakeEachOther(t *testing.T) {
	clu := newConfiguredCluster(t, 3, nameDataCentres)
	clu.waitForVoters(3)
	clu.evacuate("north", true) // the level is committed
	leader, other := clu.leaderAndOther()
	late := &fpstate.EvacuateRequest{
		DataCentre: "east",
		Active:     true,
		Forwarded:  true,
		Expected:   other.directory.Evacuation("east").GetDecided(),
	}
	send := func() *fpstate.EvacuateResponse {
		res, err := other.peer(leader.cfg.VM).Evacuate(t.Context(), connect.NewRequest(late))
		if err != nil {
			t.Fatal(err)
		}
		return res.Msg
	}
	clu.evacuate("east", false)
	if res := send(); res.GetDone() || leader.directory.Evacuated("east") {
		t.Error("a start that was decided before an acknowledged end takes effect after it")
	}
	clu.evacuate("east", true)
	clu.evacuate("east", false)
	if res := send(); res.GetDone() || leader.directory.Evacuated("east") || res.GetNewest().GetActive() {
		t.Error("a duplicate of a start takes effect after the end")
	}
}

// TestOrderIsDecidedOnNewestRecord guards against an order that is refused because the VM that receives it, or the leader, has not
// applied the last change of the record.
func TestOrderIsDecidedOnNewestRecord(t *testing.T) {
	clu := newConfiguredCluster(t, 3, nameDataCentres)
	clu.waitForVoters(3)
	clu.evacuate("east", true)
	clu.waitForEvacuated("east")
	_, other := clu.leaderAndOther()
	// The VM knows an older record than the leader.
	snapshot, err := fpdirectory.New().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := other.directory.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if err := other.evacuate(t.Context(), "east", false); err != nil {
		t.Errorf("an end at a VM with an older record: %v", err)
	}
}

// TestConcurrentOrders guards against orders of several callers at the same time that are all refused, or that leave VMs with different
// states. Each VM gets starts and ends; the last order, after all others, decides.
func TestConcurrentOrders(t *testing.T) {
	clu := newConfiguredCluster(t, 4, nameDataCentres)
	clu.waitForVoters(3)
	clu.evacuate("west", false)
	var group sync.WaitGroup
	var taken atomic.Int64
	for _, run := range clu.vms {
		for _, active := range []bool{true, false} {
			group.Go(func() {
				for range 10 {
					if run.control.evacuate(t.Context(), "west", active) == nil {
						taken.Add(1)
					}
				}
			})
		}
	}
	group.Wait()
	if taken.Load() == 0 {
		t.Error("no order was acknowledged")
	}
	clu.evacuate("west", true)
	clu.waitForEvacuated("west")
}

// TestEvacuationWithoutQuorum guards against an order that a minority acknowledges, also one whose state is in effect already: the
// majority may have ended it.
func TestEvacuationWithoutQuorum(t *testing.T) {
	clu := newConfiguredCluster(t, 3, nameDataCentres)
	clu.waitForVoters(3)
	clu.evacuate("east", true)
	clu.waitForEvacuated("east")
	clu.stop(clu.seeds[0])
	clu.stop(clu.seeds[1])
	time.Sleep(groupLease)
	for _, active := range []bool{true, false} {
		if err := clu.operator.Evacuate(t.Context(), clu.seeds[2], "east", active); !fperror.Is(err, fperror.NoQuorum) {
			t.Errorf("order %t at a minority: got %v, want status 503", active, err)
		}
	}
}

// TestLevelWaitsForAllMembers guards against a level that is committed while a member, which may be a learner, is of a build that does
// not know it, and against one that is never committed after that member has been replaced.
func TestLevelWaitsForAllMembers(t *testing.T) {
	clu := newConfiguredCluster(t, 4, func(con *Control) {
		nameDataCentres(con)
		if con.cfg.VM != con.cfg.Seeds[0] && con.cfg.VM != con.cfg.Seeds[1] && con.cfg.VM != con.cfg.Seeds[2] {
			con.level = 0
		}
	})
	clu.waitForVoters(3)
	old := ""
	for vm, run := range clu.vms {
		if run.control.level == 0 {
			old = vm
		}
	}
	time.Sleep(2*levelDelay + relayInterval)
	for vm, run := range clu.vms {
		if got := run.control.directory.Level(); got != 0 {
			t.Errorf("%s is at level %d beside a member that knows none", vm, got)
		}
		if err := clu.operator.Evacuate(t.Context(), vm, "east", true); !fperror.Is(err, fperror.NoQuorum) {
			t.Errorf("an order without the level: got %v, want status 503", err)
		}
	}
	clu.stop(old)
	clu.configure = nameDataCentres
	clu.start(old, false)
	clu.evacuate("east", true)
	clu.waitForEvacuated("east")
}

// TestCommonLevel guards against a level that counts a member that has been silent for too long, or that has stated nothing.
func TestCommonLevel(t *testing.T) {
	lev := newLevels()
	lev.record("one", 2)
	if got := lev.lowest([]string{"one", "two"}); got != 0 {
		t.Errorf("got %d with a member that has stated nothing, want 0", got)
	}
	lev.record("two", 1)
	if got := lev.lowest([]string{"one", "two"}); got != 1 {
		t.Errorf("got %d for levels 2 and 1, want 1", got)
	}
	if got := lev.lowest([]string{"one"}); got != 1 {
		t.Errorf("got %d beside a VM with level 1 that asks to join, want 1", got)
	}
	lev.stated["one"] = statedLevel{
		level: 2,
		at:    time.Now().Add(-levelTimeout - time.Second),
	}
	if got := lev.lowest([]string{"one", "two"}); got != 0 {
		t.Errorf("got %d with a silent member, want 0", got)
	}
}

// TestUnknownCommitIsNotAcknowledged guards against an order that is acknowledged although its commit has no known outcome, and against
// one that stays refused when it is repeated.
func TestUnknownCommitIsNotAcknowledged(t *testing.T) {
	var lost atomic.Bool
	clu := newConfiguredCluster(t, 3, func(con *Control) {
		nameDataCentres(con)
		propose := con.proposeCommand
		con.proposeCommand = func(ctx context.Context, command []byte) (fpgroup.Position, []byte, error) {
			com := &fpstate.Command{}
			pos, result, err := propose(ctx, command)
			if proto.Unmarshal(command, com) == nil && com.GetEvacuate() != nil && lost.Load() {
				return fpgroup.Position{}, nil, fperror.New(fperror.CommitUnknown, "the answer is lost")
			}
			return pos, result, err
		}
	})
	clu.waitForVoters(3)
	clu.evacuate("west", true)
	lost.Store(true)
	leader, other := clu.leaderAndOther()
	for name, con := range map[string]*Control{"east": leader, "north": other} {
		if err := con.evacuate(t.Context(), name, true); !fperror.Is(err, fperror.CommitUnknown) {
			t.Errorf("an order for %s without a known outcome: got %v", name, err)
		}
	}
	lost.Store(false)
	clu.evacuate("east", true)
	clu.evacuate("north", true)
	clu.waitForEvacuated("east", "north", "west")
}

// TestStatus guards against a status without the evacuations, the level or the upstreams of a data centre.
func TestStatus(t *testing.T) {
	clu := newConfiguredCluster(t, 3, nameDataCentres)
	clu.waitForVoters(3)
	clu.evacuate("east", true)
	for num, leaving := range []bool{false, true, false} {
		clu.waitFor("an upstream is announced", func() bool {
			return clu.operator.Announce(t.Context(), clu.seeds[0], &fpstate.Upstream{
				Id:         fmt.Sprint("u", num),
				Born:       1,
				Service:    "s",
				Address:    fmt.Sprintf("127.0.0.1:%d", num+1),
				DataCentre: "east",
				Leaving:    leaving,
			}, 1) == nil
		})
	}
	cli := fpstateconnect.NewStateServiceClient(http.DefaultClient, "http://"+clu.seeds[1])
	clu.waitFor("the status is complete", func() bool {
		res, err := cli.Status(t.Context(), connect.NewRequest(&fpstate.StatusRequest{}))
		if err != nil {
			return false
		}
		sta := res.Msg
		return sta.GetVm() == clu.seeds[1] && sta.GetLeader() != "" && len(sta.GetMembers()) == 3 && sta.GetLevel() == fpdirectory.KnownLevel &&
			len(sta.GetEvacuations()) == 1 && sta.GetEvacuations()[0].GetActive() &&
			len(sta.GetUpstreams()) == 1 && sta.GetUpstreams()[0].GetActive() == 2 && sta.GetUpstreams()[0].GetLeaving() == 1
	})
	_, err := cli.Evacuate(t.Context(), connect.NewRequest(&fpstate.EvacuateRequest{
		DataCentre: "south",
	}))
	if connect.CodeOf(err) != connect.CodeInvalidArgument {
		t.Errorf("got %v for an unknown data centre, want invalid_argument", err)
	}
}

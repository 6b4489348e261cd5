package fpcontrol

import (
	"context"
	"sync"
	"testing"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// announceIncarnation announces an incarnation of upstream one at a VM.
func (clu *cluster) announceIncarnation(vm string, born uint64) {
	clu.t.Helper()
	ups := &fpstate.Upstream{
		Id:          "one",
		Born:        born,
		Service:     "s",
		Address:     "127.0.0.1:1",
		Concurrency: 2,
	}
	clu.waitFor("the announcement is accepted", func() bool { return clu.operator.Announce(clu.t.Context(), vm, ups, 1) == nil })
}

// waitForIncarnation waits until all VMs know an incarnation of upstream one as the newest.
func (clu *cluster) waitForIncarnation(born uint64) {
	clu.t.Helper()
	clu.waitFor("all VMs know the incarnation", func() bool {
		for _, run := range clu.vms {
			if run.control.directory.Upstream("one").GetBorn() != born {
				return false
			}
		}
		return true
	})
}

// newestIndex returns the index up to which the VM that knows most knows the state.
func (clu *cluster) newestIndex() uint64 {
	newest := uint64(0)
	for _, run := range clu.vms {
		newest = max(newest, run.control.directory.Index())
	}
	return newest
}

// waitForIndex waits until all VMs know the state up to an index.
func (clu *cluster) waitForIndex(index uint64) {
	clu.t.Helper()
	clu.waitFor("all VMs know the state up to the index", func() bool {
		for _, run := range clu.vms {
			if run.control.directory.Index() < index {
				return false
			}
		}
		return true
	})
}

// TestLateDepartureKeepsNextIncarnation guards against an upstream that is shut out for good: a departure that names no incarnation
// reaches the log through another VM after the next incarnation has announced itself.
func TestLateDepartureKeepsNextIncarnation(t *testing.T) {
	held, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	clu := newConfiguredCluster(t, 3, func(con *Control) {
		interceptProposals(con, func(_ context.Context, com *fpstate.Command) error {
			if com.GetDepart() != nil {
				once.Do(func() { close(held) })
				<-release
			}
			return nil
		})
	})
	clu.waitForVoters(3)
	leader := clu.waitForPlacement()
	follower := ""
	for vm := range clu.vms {
		if vm != leader.cfg.VM {
			follower = vm
		}
	}
	clu.announceIncarnation(leader.cfg.VM, 1)
	clu.waitForIncarnation(1)
	departed := make(chan error, 1)
	go func() { departed <- clu.operator.Depart(t.Context(), follower, "one", 0) }()
	<-held
	clu.announceIncarnation(leader.cfg.VM, 2)
	close(release)
	if err := <-departed; err != nil {
		t.Fatalf("the departure was not accepted: %v", err)
	}
	if got := leader.directory.Upstream("one"); got.GetBorn() != 2 || got.GetGone() {
		t.Errorf("got incarnation %d, gone %t, want incarnation 2, which has not left", got.GetBorn(), got.GetGone())
	}
}

// TestUnnamedDepartureRemovesKnownIncarnation guards against an upstream that stays after its departure, because the call names no
// incarnation.
func TestUnnamedDepartureRemovesKnownIncarnation(t *testing.T) {
	clu := newCluster(t, 3)
	clu.waitForVoters(3)
	clu.announceIncarnation(clu.seeds[0], 7)
	clu.waitForIncarnation(7)
	for _, vm := range clu.seeds {
		clu.waitFor("the departure is accepted", func() bool { return clu.operator.Depart(t.Context(), vm, "one", 0) == nil })
		clu.waitFor("the upstream has left", func() bool { return clu.vms[vm].control.directory.Upstream("one").GetGone() })
	}
}

// TestUnnamedDepartureOfUnknownUpstream guards against a departure of any incarnation that reaches the leader late, after the upstream
// has started again: a VM that doesn't lead and doesn't know the upstream refuses it.
func TestUnnamedDepartureOfUnknownUpstream(t *testing.T) {
	clu := newCluster(t, 3)
	clu.waitForVoters(3)
	leader := clu.waitForPlacement()
	for vm := range clu.vms {
		err := clu.operator.Depart(t.Context(), vm, "one", 0)
		if (err == nil) != (vm == leader.cfg.VM) {
			t.Errorf("VM %s, where %s leads, answered with error %v", vm, leader.cfg.VM, err)
		}
	}
}

// TestDepartureOfIncarnationUnknownHere guards against a departure that is acknowledged and has no effect: the VM knows only that an
// earlier incarnation has left, and is behind the VM at which the next one has announced itself.
func TestDepartureOfIncarnationUnknownHere(t *testing.T) {
	proposed := make(chan uint64, 16)
	clu := newConfiguredCluster(t, 3, func(con *Control) {
		interceptProposals(con, func(_ context.Context, com *fpstate.Command) error {
			if com.GetDepart() != nil {
				proposed <- com.GetDepart().GetBorn()
			}
			return nil
		})
	})
	clu.waitForVoters(3)
	leader := clu.waitForPlacement().cfg.VM
	clu.announceIncarnation(leader, 1)
	for _, born := range []uint64{1, 2} {
		if err := clu.operator.Depart(t.Context(), leader, "one", born); err != nil {
			t.Fatalf("the departure of incarnation %d was not accepted: %v", born, err)
		}
		select {
		case got := <-proposed:
			if got != born {
				t.Errorf("the departure of incarnation %d was proposed, want %d", got, born)
			}
		default:
			t.Errorf("the departure of incarnation %d was acknowledged and not proposed", born)
		}
	}
}

// TestDepartureBeforeFirstAnnouncement guards against an upstream that comes back after its departure was acknowledged: its first
// announcement arrives later, at a VM that knows nothing of the incarnation, or only an earlier one. The next incarnation gets in at once.
func TestDepartureBeforeFirstAnnouncement(t *testing.T) {
	clu := newCluster(t, 3)
	clu.waitForVoters(3)
	for num, vm := range clu.seeds {
		born := uint64(10 * (num + 1))
		clu.waitFor("the departure is accepted", func() bool { return clu.operator.Depart(t.Context(), vm, "one", born) == nil })
		departed := clu.newestIndex()
		for _, at := range clu.seeds {
			clu.announceIncarnation(at, born)
		}
		clu.waitForIncarnation(born)
		clu.waitForIndex(departed)
		for _, run := range clu.vms {
			if got := run.control.directory.Upstream("one"); !got.GetGone() {
				t.Errorf("after the departure of incarnation %d at VM %s, VM %s has %v", born, vm, run.control.cfg.VM, got)
			}
		}
		clu.announceIncarnation(vm, born+1)
		clu.waitForIncarnation(born + 1)
		if got := clu.vms[vm].control.directory.Upstream("one"); got.GetGone() || got.GetAddress() != "127.0.0.1:1" {
			t.Errorf("the next incarnation is %v", got)
		}
	}
}

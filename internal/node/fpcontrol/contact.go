package fpcontrol

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// minSilentAfter and maxSilentAfter bound the silence after which a control VM counts as lost. A restart takes about a second.
	minSilentAfter = time.Second
	maxSilentAfter = 2 * time.Second
	// contactTimeout is how long the loss of a message counts. A leader sends one every groupHeartbeat.
	contactTimeout = 2 * time.Second
)

// contact is what this VM knows from the delivery of its messages to another control VM. The zero value stands for a VM that
// took the last one.
type contact struct {
	// failingSince is when the first of the messages was sent that all failed since, or zero. lastFailure is when the last one
	// failed.
	failingSince time.Time
	lastFailure  time.Time
	// reportedSince is since when the VM has taken no messages of a leader, by its last report, which came at reportedAt. Both are
	// zero if there was none.
	reportedSince time.Time
	reportedAt    time.Time
}

// fail returns the contact after a message, sent at the given time, has failed now. Failures before a pause without messages
// don't count, because the VM may have been reachable meanwhile. A recent report of a leader lengthens the silence, because each
// change of the leader would begin it anew otherwise.
func (con contact) fail(sent, now time.Time) contact {
	if con.failingSince.IsZero() || sent.Sub(con.lastFailure) > contactTimeout {
		con.failingSince = sent
	}
	con.lastFailure = now
	if now.Sub(con.reportedAt) <= contactTimeout && con.reportedSince.Before(con.failingSince) {
		con.failingSince = con.reportedSince
	}
	return con
}

// report returns the contact after a leader has reported a silence of the VM. It counts once a message of this VM fails, too.
func (con contact) report(length time.Duration, now time.Time) contact {
	con.reportedSince, con.reportedAt = now.Add(-length), now
	return con
}

// silence returns for how long the VM has taken no message. It is 0 if none was sent lately: a VM that doesn't lead sends few,
// and their results say nothing about the VM once this one leads.
func (con contact) silence(now time.Time) time.Duration {
	if con.failingSince.IsZero() || now.Sub(con.lastFailure) > contactTimeout {
		return 0
	}
	return now.Sub(con.failingSince)
}

// recordContact records whether a control VM took messages that were sent at the given time. It logs when a VM is reached for
// the first time or again after a silence.
func (con *Control) recordContact(vm string, sent time.Time, err error) {
	now := time.Now()
	con.mutex.Lock()
	defer con.mutex.Unlock()
	old, known := con.contacts[vm]
	if err != nil {
		con.contacts[vm] = old.fail(sent, now)
		con.metrics.lostSteps.Add(1)
		return
	}
	if !known || old.silence(now) > con.silentAfter() {
		con.cfg.Log.Info("control VM reached", zap.String("peer", vm))
	}
	con.contacts[vm] = contact{}
	if at, leaves := con.leaveRequests[vm]; leaves && sent.Sub(at) > leaveRequestTimeout {
		delete(con.leaveRequests, vm)
	}
}

// silences returns the control VMs that take no messages of this VM, if it leads.
func (con *Control) silences() []*fpstate.Silence {
	if con.group.Status().Role != fpgroup.Leader {
		return nil
	}
	now := time.Now()
	con.mutex.Lock()
	defer con.mutex.Unlock()
	var all []*fpstate.Silence
	for vm, cnt := range con.contacts {
		if silence := cnt.silence(now); silence > 0 {
			all = append(all, &fpstate.Silence{
				Vm:     vm,
				Length: durationpb.New(silence),
			})
		}
	}
	return all
}

// recordSilences records the silences that a leader reports.
func (con *Control) recordSilences(all []*fpstate.Silence) {
	now := time.Now()
	con.mutex.Lock()
	defer con.mutex.Unlock()
	for _, sil := range all {
		if length := sil.GetLength().AsDuration(); sil.GetVm() != con.cfg.VM && length > 0 {
			con.contacts[sil.GetVm()] = con.contacts[sil.GetVm()].report(length, now)
		}
	}
}

// silentAfter returns the silence after which a control VM counts as lost. It is half of CatchUp: the other half is for an election
// before and the changes of the membership after it.
func (con *Control) silentAfter() time.Duration {
	return min(max(con.cfg.CatchUp/2, minSilentAfter), maxSilentAfter)
}

// silence returns for how long a control VM has taken no message.
func (con *Control) silence(vm string) time.Duration {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	return con.contacts[vm].silence(time.Now())
}

// silent reports whether a control VM has taken no message for longer than a duration.
func (con *Control) silent(vm string, length time.Duration) bool { return con.silence(vm) > length }

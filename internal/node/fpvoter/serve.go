package fpvoter

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpconfig"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgrant"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Poll answers an entry VM's poll. It holds the poll until there are updates, at most as long as the poll allows. A VM that
// does not lead answers with the leader's name only.
func (vot *Voter) Poll(ctx context.Context, req *fpwire.PollRequest) *fpwire.PollResponse {
	received := time.Now()
	lea := vot.leader()
	if lea == nil || !lea.holdsLease() {
		return vot.redirect()
	}
	var tickNeeded bool
	lea.withKeeper(func(kee *fpgrant.Keeper) { tickNeeded = kee.Poll(received, req) })
	if tickNeeded {
		lea.requestTick()
	}
	lea.waitForUpdates(ctx, req, received.Add(req.GetHold().AsDuration()))
	var res *fpwire.PollResponse
	lea.withKeeper(func(kee *fpgrant.Keeper) { res = kee.PollAnswer(time.Now(), req) })
	// The list is read after the table, so that no VM confirms a version of the table without its quarantined requests.
	res.Quarantined = vot.machine.Quarantined()
	res.Voters = vot.voters()
	if !lea.holdsLease() {
		return vot.redirect()
	}
	return res
}

// voters returns the names of the VMs that have a vote now.
func (vot *Voter) voters() []string {
	var names []string
	for _, mem := range vot.group.Status().Members {
		if !mem.Learner {
			names = append(names, mem.VM)
		}
	}
	return names
}

// redirect returns the answer to a poll of a VM that does not lead.
func (vot *Voter) redirect() *fpwire.PollResponse {
	return &fpwire.PollResponse{
		Leader: vot.Leader(),
	}
}

// Leader returns the name of another VM that leads the group as far as this VM knows, or "". It never returns this VM.
func (vot *Voter) Leader() string {
	if vm := vot.group.Status().Leader; vm != vot.cfg.VM {
		return vm
	}
	return ""
}

// waitForUpdates waits until there are updates for the poll, until the given time, or until either context ends.
func (lea *leader) waitForUpdates(ctx context.Context, req *fpwire.PollRequest, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		var ready bool
		var updated chan struct{}
		lea.withKeeper(func(kee *fpgrant.Keeper) {
			ready = kee.HasUpdates(time.Now(), req)
			updated = lea.updated
		})
		if ready {
			return
		}
		select {
		case <-updated:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-lea.ctx.Done():
			return
		}
	}
}

// Submit runs commands as the leader and returns their results in the same order, and false if this VM does not lead. Errors
// of a command are in its result.
func (vot *Voter) Submit(ctx context.Context, commands []*fpwire.Command) ([]*fpwire.CommandResult, bool) {
	lea := vot.leader()
	if lea == nil || !lea.holdsLease() {
		return nil, false
	}
	results := make([]*fpwire.CommandResult, len(commands))
	var wgr sync.WaitGroup
	for num, cmd := range commands {
		wgr.Go(func() { results[num] = lea.submit(ctx, cmd) })
	}
	wgr.Wait()
	return results, true
}

// submit runs one command. For a crash report that quarantines the request it also waits until entry VMs have the
// quarantine.
func (lea *leader) submit(ctx context.Context, cmd *fpwire.Command) *fpwire.CommandResult {
	if err := lea.prepare(cmd); err != nil {
		return errorResult(err)
	}
	res, err := lea.vot.propose(ctx, cmd)
	if err != nil {
		return errorResult(err)
	}
	if cmd.GetReportCrash() != nil && res.GetQuarantined() {
		lea.awaitConfirmations(ctx, fpgrant.PositionOf(res.GetVersion()))
	}
	return res
}

// errorResult returns the result of a command that failed.
func errorResult(err error) *fpwire.CommandResult {
	return &fpwire.CommandResult{
		Error:   fperror.KindOf(err).String(),
		Message: err.Error(),
	}
}

// prepare validates a command from another VM and sets its time and limits. Commands that only the leader itself may propose
// are refused.
func (lea *leader) prepare(cmd *fpwire.Command) error {
	now := time.Now().UnixMilli()
	switch one := cmd.GetKind().(type) {
	case *fpwire.Command_Claim:
		one.Claim.NowMs = now
		_, cfg := lea.vot.cfg.Configuration()
		one.Claim.Limit = cfg.GetMaxClaims()
	case *fpwire.Command_ReportCrash:
		one.ReportCrash.NowMs = now
	case *fpwire.Command_Settle, *fpwire.Command_LiftQuarantine:
	case *fpwire.Command_Configure:
		return lea.validate(one.Configure)
	default:
		return fperror.New(fperror.PermissionDenied, "only the leader of group %s may propose this kind of command", lea.vot.cfg.Group)
	}
	return nil
}

// validate validates a configuration before it is proposed. A resent request is not validated again, because it gets the
// recorded answer.
func (lea *leader) validate(cmd *fpwire.Configure) error {
	if lea.vot.machine.IsDecided(cmd.GetRequestId()) {
		return nil
	}
	return fpconfig.AsError(lea.vot.cfg.Validate(lea.vot.machine.KnownConfiguration(), cmd.GetConfiguration()))
}

// awaitConfirmations waits until every entry VM with a valid table has confirmed at least the given version of the table, or
// until either context ends.
func (lea *leader) awaitConfirmations(ctx context.Context, version fpgrant.Position) {
	for {
		var missing []string
		var complete bool
		lea.withKeeper(func(kee *fpgrant.Keeper) { missing, complete = kee.Unconfirmed(time.Now(), version) })
		if len(missing) == 0 && complete || ctx.Err() != nil || lea.ctx.Err() != nil {
			return
		}
		pause(ctx, confirmInterval)
	}
}

// confirmInterval is the time between checks of the confirmations of entry VMs.
const confirmInterval = 5 * time.Millisecond

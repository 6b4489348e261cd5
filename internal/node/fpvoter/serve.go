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

// Poll answers an entry VM's poll. It holds the poll until there is news, at most as long as the poll allows. A VM that
// does not lead answers with the leader's name.
func (vot *Voter) Poll(ctx context.Context, req *fpwire.PollRequest) *fpwire.PollResponse {
	received := time.Now()
	lea := vot.leader()
	if lea == nil || !lea.valid() {
		return vot.elsewhere()
	}
	var useful bool
	lea.do(func(kee *fpgrant.Keeper) { useful = kee.Poll(received, req) })
	if useful {
		lea.tickSoon()
	}
	lea.hold(ctx, req, received.Add(req.GetHold().AsDuration()))
	var res *fpwire.PollResponse
	lea.do(func(kee *fpgrant.Keeper) { res = kee.PollAnswer(time.Now(), req) })
	// The list is read after the table, so that a VM never confirms a version whose quarantined requests it lacks.
	res.Quarantined = vot.machine.Quarantined()
	res.Voters = vot.voters()
	if !lea.valid() {
		return vot.elsewhere()
	}
	return res
}

// voters returns the names of the VMs that vote now.
func (vot *Voter) voters() []string {
	var names []string
	for _, mem := range vot.group.Status().Members {
		if !mem.Learner {
			names = append(names, mem.VM)
		}
	}
	return names
}

func (vot *Voter) elsewhere() *fpwire.PollResponse {
	return &fpwire.PollResponse{
		Leader: vot.Leader(),
	}
}

// Leader returns the VM that leads the group as far as this VM knows, or "". It never returns this VM.
func (vot *Voter) Leader() string {
	if vm := vot.group.Status().Leader; vm != vot.cfg.VM {
		return vm
	}
	return ""
}

// hold waits until there is news for the poll.
func (lea *leader) hold(ctx context.Context, req *fpwire.PollRequest, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		var ready bool
		var news chan struct{}
		lea.do(func(kee *fpgrant.Keeper) {
			ready = kee.News(time.Now(), req)
			news = lea.news
		})
		if ready {
			return
		}
		select {
		case <-news:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-lea.ctx.Done():
			return
		}
	}
}

// Submit runs commands as the leader and reports whether this VM leads.
func (vot *Voter) Submit(ctx context.Context, commands []*fpwire.Command) ([]*fpwire.CommandResult, bool) {
	lea := vot.leader()
	if lea == nil || !lea.valid() {
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

func (lea *leader) submit(ctx context.Context, cmd *fpwire.Command) *fpwire.CommandResult {
	if err := lea.prepare(cmd); err != nil {
		return failed(err)
	}
	res, err := lea.vot.propose(ctx, cmd)
	if err != nil {
		return failed(err)
	}
	if cmd.GetReportCrash() != nil && res.GetQuarantined() {
		lea.awaitTable(ctx, fpgrant.PositionOf(res.GetVersion()))
	}
	return res
}

func failed(err error) *fpwire.CommandResult {
	return &fpwire.CommandResult{
		Error:   fperror.KindOf(err).String(),
		Message: err.Error(),
	}
}

// prepare checks a command and sets the time in it. Commands that only a leader decides are refused.
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
		return fperror.New(fperror.PermissionDenied, "only the leader of group %s decides this", lea.vot.cfg.Group)
	}
	return nil
}

// validate checks a configuration before it is accepted. A resent request gets its first answer without another check.
func (lea *leader) validate(cmd *fpwire.Configure) error {
	if lea.vot.machine.Decided(cmd.GetRequestId()) {
		return nil
	}
	return fpconfig.AsError(lea.vot.cfg.Validate(lea.vot.machine.KnownServices(), cmd.GetConfiguration()))
}

// awaitTable waits until every entry VM with a valid table has confirmed a version of the table.
func (lea *leader) awaitTable(ctx context.Context, version fpgrant.Position) {
	for {
		var missing []string
		var known bool
		lea.do(func(kee *fpgrant.Keeper) { missing, known = kee.Unconfirmed(time.Now(), version) })
		if len(missing) == 0 && known || ctx.Err() != nil || lea.ctx.Err() != nil {
			return
		}
		pause(ctx, confirmInterval)
	}
}

// confirmInterval is how often the confirmations of entry VMs are checked.
const confirmInterval = 5 * time.Millisecond

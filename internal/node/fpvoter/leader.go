package fpvoter

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpconfig"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgrant"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// expireInterval is the time between proposals of the leader to remove claims that are older than the retention.
const expireInterval = 5 * time.Second

// defaultRetention is how long claims are kept when the configuration sets no time.
const defaultRetention = 15 * time.Minute

// leader does the work of a group's leader during one term.
type leader struct {
	vot    *Voter
	term   uint64
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when run and all calls have returned.
	done chan struct{}
	// calls counts the running goroutines that send grants or propose commands.
	calls sync.WaitGroup
	// wake holds a value while a tick is requested.
	wake chan struct{}

	// mutex guards the fields below.
	mutex  sync.Mutex
	keeper *fpgrant.Keeper
	// pollState identifies the state that polls were last answered with. updated is closed and replaced when that state
	// changes.
	pollState fpgrant.PollState
	updated   chan struct{}
	// configured is the configuration whose home ranges were last proposed to the group.
	configured *fpoperator.Configuration
	// homes proposes the changes of home ranges.
	homes homeChanges
}

// startLeader starts the work of a term that this VM has won.
func (vot *Voter) startLeader(ctx context.Context, lead fpgroup.Leadership) *leader {
	ctx, cancel := context.WithCancel(ctx)
	lea := &leader{
		vot:     vot,
		term:    lead.Term,
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		updated: make(chan struct{}),
	}
	lea.homes = homeChanges{
		propose: lea.proposeHomes,
		last:    map[string]*fpwire.SetHomes{},
	}
	lea.keeper = fpgrant.NewKeeper(fpgrant.KeeperConfig{
		Group:              vot.cfg.Group,
		Term:               lead.Term,
		Elected:            lead.Since,
		AnnouncementsSince: vot.opened,
		Lease:              vot.cfg.Timings.Lease,
		TableValidity:      vot.cfg.Timings.TableValidity,
		Table:              vot.machine.Table(),
		Keyed:              vot.cfg.Keyed,
	})
	vot.cfg.Log.Info("leading a group", zap.String("group", vot.cfg.Group), zap.Uint64("term", lead.Term))
	lea.withKeeper(vot.replayAnnouncements)
	go lea.run()
	lea.reconfigure()
	return lea
}

// stop ends the work and waits for its goroutines.
func (lea *leader) stop() {
	lea.cancel()
	<-lea.done
	lea.vot.cfg.Log.Info("no longer leading a group", zap.String("group", lea.vot.cfg.Group), zap.Uint64("term", lea.term))
}

// stillLeads reports whether this VM still leads in this term. Its lease may have ended for the moment.
func (lea *leader) stillLeads() bool {
	sta := lea.vot.group.Status()
	return sta.Role == fpgroup.Leader && sta.Term == lea.term
}

// holdsLease reports whether this VM leads in this term with a valid lease, so that it may act.
func (lea *leader) holdsLease() bool {
	lead, err := lea.vot.group.Leadership(lea.ctx)
	return err == nil && lead.Term == lea.term && lead.Valid(time.Now())
}

// withKeeper runs fn while nothing else uses the keeper or changes the table, and then wakes held polls if the state that
// they wait for has changed.
func (lea *leader) withKeeper(fn func(kee *fpgrant.Keeper)) {
	lea.mutex.Lock()
	defer lea.mutex.Unlock()
	lea.vot.machine.Read(func(fpgrant.Position, *fpgrant.Table) {
		fn(lea.keeper)
		if now := lea.keeper.PollState(); now != lea.pollState {
			lea.pollState = now
			close(lea.updated)
			lea.updated = make(chan struct{})
		}
	})
}

// stateChanged is called when the replicated state may have changed. It wakes held polls and requests a tick.
func (lea *leader) stateChanged() {
	lea.withKeeper(func(*fpgrant.Keeper) {})
	lea.requestTick()
}

// requestTick makes run tick without waiting for the next timer.
func (lea *leader) requestTick() {
	select {
	case lea.wake <- struct{}{}:
	default:
	}
}

// run ticks when it is due or requested, and proposes the removal of old claims, until ctx ends.
func (lea *leader) run() {
	defer close(lea.done)
	defer lea.calls.Wait()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-lea.ctx.Done():
			return
		case <-expire.C:
			lea.calls.Go(lea.expireClaims)
		case <-lea.wake:
		case <-timer.C:
		}
		next := lea.tick()
		pause(lea.ctx, fpgrant.TickPause)
		timer.Reset(time.Until(next))
	}
}

// tick runs the decisions that are due and returns the time of the next tick. The lease is checked after the decisions and
// before their effects, so that no effect rests on what this VM received after its lease had ended.
func (lea *leader) tick() time.Time {
	var act fpgrant.Actions
	lea.withKeeper(func(kee *fpgrant.Keeper) { act = kee.Tick(time.Now()) })
	valid := lea.holdsLease()
	for _, gra := range act.Grants {
		if !valid {
			lea.handleGrantAnswer(gra, nil, fperror.New(fperror.NotLeader, "the leader's lease has ended"))
			continue
		}
		lea.calls.Go(func() { lea.sendGrant(gra) })
	}
	for _, upd := range act.Proposals {
		if !valid {
			lea.withKeeper(func(kee *fpgrant.Keeper) { kee.ProposalFailed(upd) })
			continue
		}
		lea.calls.Go(func() { lea.propose(upd) })
	}
	if next := time.Now().Add(maxTickPause); act.Next.IsZero() || act.Next.After(next) {
		return next
	}
	return act.Next
}

// maxTickPause bounds the time between two ticks.
const maxTickPause = 100 * time.Millisecond

// sendGrant sends a grant to an upstream and handles its answer. The call is limited to half an upstream's lease.
func (lea *leader) sendGrant(gra fpgrant.GrantCall) {
	ctx, cancel := context.WithTimeout(lea.ctx, lea.vot.cfg.Timings.Lease/2)
	defer cancel()
	res, err := lea.vot.cfg.Grant(ctx, gra.Upstream, gra.Request)
	lea.handleGrantAnswer(gra, res, err)
}

// handleGrantAnswer passes the answer to a grant, or its error, to the keeper.
func (lea *leader) handleGrantAnswer(gra fpgrant.GrantCall, res *fpcontract.GrantResponse, err error) {
	now := time.Now()
	var tickNeeded bool
	lea.withKeeper(func(kee *fpgrant.Keeper) { tickNeeded = kee.GrantAnswer(now, gra.Upstream.GetName(), res, err) })
	if tickNeeded {
		lea.requestTick()
	}
}

// propose commits a change of slots. The term in the command makes it void in any other term.
func (lea *leader) propose(upd *fpwire.UpdateSlots) {
	upd.Term = lea.term
	res, err := lea.vot.propose(lea.ctx, &fpwire.Command{
		Kind: &fpwire.Command_UpdateSlots{
			UpdateSlots: upd,
		},
	})
	if res.GetError() != "" || err != nil && fperror.KindOf(err) != fperror.CommitUnknown {
		lea.withKeeper(func(kee *fpgrant.Keeper) { kee.ProposalFailed(upd) })
	}
	lea.requestTick()
}

// announce passes an upstream's announcement to the keeper.
func (lea *leader) announce(now time.Time, req *fpcontract.AnnounceRequest) {
	var tickNeeded bool
	lea.withKeeper(func(kee *fpgrant.Keeper) { tickNeeded = kee.Announce(now, req) })
	if tickNeeded {
		lea.requestTick()
	}
}

// reconfigure applies the configuration of this VM to the group. Changed home ranges of slots are committed in the group's
// log.
func (lea *leader) reconfigure() {
	version, cfg := lea.vot.cfg.Configuration()
	if cfg == nil {
		return
	}
	lea.withKeeper(func(kee *fpgrant.Keeper) { kee.Configure(version, cfg) })
	lea.mutex.Lock()
	for _, set := range fpconfig.ChangedHomes(lea.configured, cfg, lea.vot.cfg.Group) {
		if lea.homes.add(set) {
			lea.calls.Go(func() {
				lea.homes.run(lea.ctx, set.GetService())
				lea.requestTick()
			})
		}
	}
	lea.configured = cfg
	lea.mutex.Unlock()
	lea.requestTick()
}

// proposeHomes proposes a change of home ranges and waits for the outcome.
func (lea *leader) proposeHomes(set *fpwire.SetHomes) error {
	res, err := lea.vot.propose(lea.ctx, &fpwire.Command{
		Kind: &fpwire.Command_SetHomes{
			SetHomes: set,
		},
	})
	if err == nil && res.GetError() != "" {
		err = fperror.New(fperror.VersionConflict, "%s", res.GetMessage())
	}
	return err
}

// expireClaims proposes the removal of claims that are older than the retention. A failed proposal is not repeated; the next
// one removes the same claims.
func (lea *leader) expireClaims() {
	_, cfg := lea.vot.cfg.Configuration()
	retention := defaultRetention
	if set := cfg.GetClaimRetention(); set != nil {
		retention = set.AsDuration()
	}
	_, _ = lea.vot.propose(lea.ctx, &fpwire.Command{
		Kind: &fpwire.Command_ExpireClaims{
			ExpireClaims: &fpwire.ExpireClaims{
				BeforeMs: time.Now().Add(-retention).UnixMilli(),
			},
		},
	})
}

// propose commits a command and returns the result of applying it. The error kinds are Internal and those of
// fpgroup.Propose.
func (vot *Voter) propose(ctx context.Context, command *fpwire.Command) (*fpwire.CommandResult, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, fperror.Wrap(fperror.Internal, err, "encode a command")
	}
	_, answer, err := vot.group.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	res := &fpwire.CommandResult{}
	if err := proto.Unmarshal(answer, res); err != nil {
		return nil, fperror.Wrap(fperror.Internal, err, "decode the result of a command")
	}
	return res, nil
}

// pause waits for the duration or until ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	tim := time.NewTimer(duration)
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-ctx.Done():
	}
}

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

// expireInterval is how often the leader removes claims that are older than the retention.
const expireInterval = 5 * time.Second

// defaultRetention is how long claims are kept when the configuration does not say.
const defaultRetention = 15 * time.Minute

// leader is the work of a group's leader during one term.
type leader struct {
	vot    *Voter
	term   uint64
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	calls  sync.WaitGroup
	wake   chan struct{}

	mutex  sync.Mutex
	keeper *fpgrant.Keeper
	seen   fpgrant.News
	news   chan struct{}
	// configured is the configuration whose homes the group has.
	configured *fpoperator.Configuration
}

// lead starts the work of a term that this VM has just won.
func (vot *Voter) lead(ctx context.Context, lead fpgroup.Leadership) *leader {
	ctx, cancel := context.WithCancel(ctx)
	lea := &leader{
		vot:    vot,
		term:   lead.Term,
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
		wake:   make(chan struct{}, 1),
		news:   make(chan struct{}),
	}
	lea.keeper = fpgrant.NewKeeper(fpgrant.KeeperConfig{
		Group:         vot.cfg.Group,
		Term:          lead.Term,
		Elected:       lead.Since,
		HearsSince:    vot.opened,
		Lease:         vot.cfg.Timings.Lease,
		TableValidity: vot.cfg.Timings.TableValidity,
		Table:         vot.machine.Table(),
		Keyed:         vot.cfg.Keyed,
	})
	vot.cfg.Log.Info("leading a group", zap.String("group", vot.cfg.Group), zap.Uint64("term", lead.Term))
	lea.do(vot.replay)
	go lea.run()
	lea.reconfigure()
	return lea
}

// stop ends the work and waits for it.
func (lea *leader) stop() {
	lea.cancel()
	<-lea.done
	lea.vot.cfg.Log.Info("no longer leading a group", zap.String("group", lea.vot.cfg.Group), zap.Uint64("term", lea.term))
}

// mayContinue reports whether the VM still leads in this term, though its lease may have ended for the moment.
func (lea *leader) mayContinue() bool {
	sta := lea.vot.group.Status()
	return sta.Role == fpgroup.Leader && sta.Term == lea.term
}

// valid reports whether the leader may act now.
func (lea *leader) valid() bool {
	lead, err := lea.vot.group.Lead(lea.ctx)
	return err == nil && lead.Term == lea.term && lead.Valid(time.Now())
}

// do runs fn while nothing else uses the keeper or changes the table, and then tells held polls of news.
func (lea *leader) do(fn func(kee *fpgrant.Keeper)) {
	lea.mutex.Lock()
	defer lea.mutex.Unlock()
	lea.vot.machine.Read(func(fpgrant.Position, *fpgrant.Table) {
		fn(lea.keeper)
		if now := lea.keeper.Latest(); now != lea.seen {
			lea.seen = now
			close(lea.news)
			lea.news = make(chan struct{})
		}
	})
}

// changed tells the leader that the replicated state may have changed.
func (lea *leader) changed() {
	lea.do(func(*fpgrant.Keeper) {})
	lea.tickSoon()
}

func (lea *leader) tickSoon() {
	select {
	case lea.wake <- struct{}{}:
	default:
	}
}

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
		pause(lea.ctx, fpgrant.MinTick)
		timer.Reset(time.Until(next))
	}
}

// tick runs the decisions that are due and returns the time of the next tick. The lease of the leader is checked after the
// decisions and before their effects, so that no decision rests on what the VM heard after its authority ended.
func (lea *leader) tick() time.Time {
	var act fpgrant.Actions
	lea.do(func(kee *fpgrant.Keeper) { act = kee.Tick(time.Now()) })
	valid := lea.valid()
	for _, gra := range act.Grants {
		if !valid {
			lea.granted(gra, nil, fperror.New(fperror.NotLeader, "the leader's lease has ended"))
			continue
		}
		lea.calls.Go(func() { lea.grant(gra) })
	}
	for _, upd := range act.Proposals {
		if !valid {
			lea.do(func(kee *fpgrant.Keeper) { kee.ProposalFailed(upd) })
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

func (lea *leader) grant(gra fpgrant.SendGrant) {
	ctx, cancel := context.WithTimeout(lea.ctx, lea.vot.cfg.Timings.Lease/2)
	defer cancel()
	res, err := lea.vot.cfg.Grant(ctx, gra.Upstream, gra.Request)
	lea.granted(gra, res, err)
}

func (lea *leader) granted(gra fpgrant.SendGrant, res *fpcontract.GrantResponse, err error) {
	now := time.Now()
	var useful bool
	lea.do(func(kee *fpgrant.Keeper) { useful = kee.GrantAnswer(now, gra.Upstream.GetName(), res, err) })
	if useful {
		lea.tickSoon()
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
		lea.do(func(kee *fpgrant.Keeper) { kee.ProposalFailed(upd) })
	}
	lea.tickSoon()
}

func (lea *leader) announce(now time.Time, req *fpcontract.AnnounceRequest) {
	var useful bool
	lea.do(func(kee *fpgrant.Keeper) { useful = kee.Announce(now, req) })
	if useful {
		lea.tickSoon()
	}
}

// reconfigure puts the configuration of this VM in force in the group. A group takes the homes of its slots into its log.
func (lea *leader) reconfigure() {
	version, cfg := lea.vot.cfg.Configuration()
	if cfg == nil {
		return
	}
	lea.do(func(kee *fpgrant.Keeper) { kee.Configure(version, cfg) })
	lea.mutex.Lock()
	homes := fpconfig.ChangedHomes(lea.configured, cfg, lea.vot.cfg.Group)
	lea.configured = cfg
	lea.mutex.Unlock()
	lea.calls.Go(func() { lea.setHomes(homes) })
	lea.tickSoon()
}

// setHomes proposes the homes until they are committed.
func (lea *leader) setHomes(homes []*fpwire.SetHomes) {
	for _, hom := range homes {
		for lea.ctx.Err() == nil {
			res, err := lea.vot.propose(lea.ctx, &fpwire.Command{
				Kind: &fpwire.Command_SetHomes{
					SetHomes: hom,
				},
			})
			if err == nil && res.GetError() == "" {
				break
			}
			pause(lea.ctx, watchInterval)
		}
	}
	lea.tickSoon()
}

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

// propose commits a command and returns its result.
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

func pause(ctx context.Context, span time.Duration) {
	tim := time.NewTimer(span)
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-ctx.Done():
	}
}

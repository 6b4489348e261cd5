package fpcontrol

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpkeeper"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// planInterval is the maximum time between two plans. Changes of the directory and results of orders start one earlier.
	planInterval = 200 * time.Millisecond
	// maxLeaseLapse is how long orders in flight continue after the leader lease of this VM has ended. A new leader allows for
	// calls of its predecessor that arrive up to half a second after the end of the predecessor's lease.
	maxLeaseLapse = 300 * time.Millisecond
)

// outcome passes the result of an order, or the outcome of a commit, to the keeper.
type outcome func(now time.Time, kee *fpkeeper.Keeper)

// runPlacement places the keys of all keyed services while this VM leads, until ctx ends.
func (con *Control) runPlacement(ctx context.Context) {
	for {
		leaderChange := con.leadershipChanged()
		if con.leads(ctx) {
			con.runPlacementAsLeader(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-leaderChange:
		case <-time.After(planInterval):
		}
	}
}

// runPlacementAsLeader places keys for one term of leadership. While the lease has ended and this VM still leads in that term, it
// pauses; it continues with its keeper when the lease is regained.
func (con *Control) runPlacementAsLeader(ctx context.Context) {
	lea, err := con.lead(ctx)
	if err != nil {
		return
	}
	pla := con.startPlacement(ctx, lea.Term)
	defer pla.stop()
	for {
		current, err := con.lead(ctx)
		switch {
		case err == nil && current.Term == lea.Term:
			pla.resume()
		case fperror.Is(err, fperror.NoQuorum):
			pla.suspend()
		default:
			return
		}
		changed := con.directory.Changed()
		if err == nil {
			pla.step()
		}
		select {
		case <-ctx.Done():
			return
		case out := <-pla.outcomes:
			con.handleOutcome(pla.keeper, out)
			con.drainOutcomes(pla.keeper, pla.outcomes)
		case <-changed:
		case <-time.After(planInterval):
		}
	}
}

// placement places the keys in one term of this VM's leadership.
type placement struct {
	con      *Control
	term     uint64
	keeper   *fpkeeper.Keeper
	outcomes chan outcome
	calls    sync.WaitGroup // orders and commits
	// silences finds silent upstreams, and lastSilenceCheck is when it was last used.
	silences         silenceDetector
	lastSilenceCheck time.Time
	// lapsedAt is when the end of the lease was noticed, or zero while the lease is valid.
	lapsedAt time.Time
	// commitCtx is the context of the commits. It outlasts the term, because the outcome of a commit has to be known before a
	// change is decided on again, also after a transfer of the leadership that failed.
	commitCtx context.Context
	// orderCtx is the context of the orders, and cancelOrders cancels it.
	orderCtx     context.Context
	cancelOrders context.CancelFunc
}

// startPlacement starts the placement of keys in a term, for as long as ctx lasts. It must be stopped.
func (con *Control) startPlacement(ctx context.Context, term uint64) *placement {
	now := time.Now()
	sta, _ := con.directory.Since(0)
	pla := &placement{
		con:              con,
		term:             term,
		keeper:           fpkeeper.New(now, sta.GetLastFence(), fpkeeper.Config{}),
		outcomes:         make(chan outcome, 256),
		lastSilenceCheck: now,
		commitCtx:        ctx,
	}
	for _, end := range con.directory.EndedReleases() {
		pla.keeper.InheritRelease(end.Service, end.Range, end.At)
	}
	for _, former := range con.directory.FormerIncarnations() {
		pla.keeper.InheritHolder(former)
	}
	pla.orderCtx, pla.cancelOrders = context.WithCancel(context.Background())
	con.quarantine.startLeadership(con.directory.Quarantines())
	con.setKeeper(pla.keeper)
	con.cfg.Log.Info("placement of keys started", zap.Uint64("term", term), zap.Uint64("lastFence", sta.GetLastFence()))
	return pla
}

// stop cancels the orders in flight and waits until these and the commits have ended.
func (pla *placement) stop() {
	pla.cancelOrders()
	pla.con.setKeeper(nil)
	// The outcomes are read until the channel is closed, because calls block while it is full.
	go func() {
		pla.calls.Wait()
		close(pla.outcomes)
	}()
	for range pla.outcomes {
	}
	pla.con.cfg.Log.Info("placement of keys stopped", zap.Uint64("term", pla.term))
}

// resume ends a pause after suspend. It has no effect if the placement is not suspended.
func (pla *placement) resume() {
	if pla.lapsedAt.IsZero() {
		return
	}
	pla.con.cfg.Log.Info("lease of the leader regained", zap.Uint64("term", pla.term), zap.Duration("lapsed", time.Since(pla.lapsedAt)))
	pla.lapsedAt = time.Time{}
	if pla.orderCtx.Err() != nil {
		pla.orderCtx, pla.cancelOrders = context.WithCancel(context.Background())
	}
}

// suspend records that the lease has ended. When the lease is not regained within maxLeaseLapse, it cancels the orders in
// flight, because another VM may lead by then.
func (pla *placement) suspend() {
	if pla.lapsedAt.IsZero() {
		pla.lapsedAt = time.Now()
		pla.con.metrics.leaseLapses.Add(1)
		pla.con.cfg.Log.Info("lease of the leader has ended", zap.Uint64("term", pla.term))
	}
	if time.Since(pla.lapsedAt) > maxLeaseLapse {
		pla.cancelOrders()
	}
}

// step starts the due orders and commits of ranges, commits the due changes of quarantines and removes silent upstreams.
func (pla *placement) step() {
	orderCtx := pla.orderCtx
	for _, ord := range pla.plan() {
		pla.calls.Go(func() {
			res := pla.con.execute(orderCtx, pla.term, ord)
			pla.outcomes <- func(now time.Time, kee *fpkeeper.Keeper) { kee.HandleResult(now, ord, res) }
		})
	}
	pla.con.commitQuarantines(orderCtx, &pla.calls, pla.term)
	if time.Since(pla.lastSilenceCheck) > silenceCheckInterval {
		pla.lastSilenceCheck = time.Now()
		pla.con.removeSilentUpstreams(orderCtx, &pla.calls, pla.term, &pla.silences)
	}
}

func (con *Control) setKeeper(kee *fpkeeper.Keeper) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.keeper = kee
}

func (con *Control) handleOutcome(kee *fpkeeper.Keeper, out outcome) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	out(time.Now(), kee)
	for _, ove := range kee.TakeOverlaps() {
		con.metrics.overlappingGrants.Add(1)
		con.cfg.Log.Error("keys were granted while another upstream may hold them", zap.String("service", ove.Service),
			zap.String("upstream", ove.Range.GetUpstream()), zap.Uint32("first", ove.Range.GetFirst()), zap.Uint32("last", ove.Range.GetLast()),
			zap.Uint64("fence", ove.Range.GetFence()), zap.String("other", ove.Other.GetUpstream()), zap.Uint64("otherFence", ove.Other.GetFence()),
			zap.Duration("remaining", ove.Remaining))
	}
}

func (con *Control) drainOutcomes(kee *fpkeeper.Keeper, outcomes <-chan outcome) {
	for {
		select {
		case out := <-outcomes:
			con.handleOutcome(kee, out)
		default:
			return
		}
	}
}

// plan starts the commits of the due changes of ranges of all keyed services and returns the due orders.
func (pla *placement) plan() []fpkeeper.Order {
	con := pla.con
	var orders []fpkeeper.Order
	for _, ser := range con.directory.Configuration().GetServices() {
		if !ser.GetKeyed() {
			continue
		}
		con.mutex.Lock()
		some, cha := pla.keeper.Plan(time.Now(), fpkeeper.View{
			Service:   ser.GetName(),
			Ranges:    con.directory.Ranges(ser.GetName()),
			Upstreams: con.directory.Upstreams(ser.GetName()),
			Lookup:    con.directory.Upstream,
			AtAddress: con.directory.AtAddress,
			NamedRate: con.namedRate,
			Excluded:  con.excluded(ser.GetName()),
			Cold:      con.isCold,
			LastSeen: func(ups *fpstate.Upstream) time.Time {
				at, _ := con.announcements.lastSeen(ups)
				return at
			},
		})
		con.mutex.Unlock()
		orders = append(orders, some...)
		if len(cha.Steps()) == 0 {
			continue
		}
		pla.calls.Go(func() {
			err := con.commitChange(pla.commitCtx, ser.GetName(), cha.Steps(), pla.term)
			if fperror.Is(err, fperror.CommitUnknown) {
				return // the term has ended, and the next leader decides
			}
			pla.outcomes <- func(now time.Time, kee *fpkeeper.Keeper) { kee.HandleCommit(now, ser.GetName(), err == nil) }
		})
	}
	return orders
}

// commitChange commits a change of ranges as one log entry in the term in which it was decided. The change is not forwarded to
// another leader. It returns when the outcome is known: without a limit on the time, because a change without an outcome may
// still be committed until this VM loses the leadership.
func (con *Control) commitChange(ctx context.Context, service string, steps []fpkeeper.Step, term uint64) error {
	cha := &fpstate.RangeChange{
		Service: service,
		Term:    term,
	}
	for _, ste := range steps {
		cha.Ranges = append(cha.Ranges, ste.Range)
	}
	began := time.Now()
	late := time.AfterFunc(callTimeout, func() {
		con.metrics.openChanges.Add(1)
		con.cfg.Log.Info("change of ranges is not committed yet", zap.String("service", service), zap.Int("ranges", len(steps)))
	})
	err := con.proposeHere(ctx, &fpstate.Command{
		Body: &fpstate.Command_Change{
			Change: cha,
		},
	})
	late.Stop()
	for _, ste := range steps {
		con.cfg.Log.Info("range changed", zap.String("service", service), zap.String("reason", ste.Reason),
			zap.Uint32("first", ste.Range.GetFirst()), zap.Uint32("last", ste.Range.GetLast()), zap.String("upstream", ste.Range.GetUpstream()),
			zap.Stringer("phase", ste.Range.GetPhase()), zap.Uint64("fence", ste.Range.GetFence()), zap.Duration("took", time.Since(began)), zap.Error(err))
	}
	return err
}

// handleReport adds the load and the crashes that an entry VM reports. Without a keeper, the report is dropped, and the result is false.
func (con *Control) handleReport(req *fpstate.ReportRequest) bool {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	if con.keeper == nil {
		return false
	}
	now := time.Now()
	con.quarantine.report(now, req.GetCrashes(), req.GetCleared())
	for _, cou := range req.GetCounts() {
		loa := con.keeper.Load(cou.GetService())
		for pos, key := range cou.GetKeys() {
			if pos < len(cou.GetCounts()) {
				loa.Count(now, key, cou.GetCounts()[pos])
			}
		}
		for pos, ups := range cou.GetUpstreams() {
			if pos < len(cou.GetAnswers()) && pos < len(cou.GetMilliseconds()) && cou.GetAnswers()[pos] > 0 {
				mean := time.Duration(cou.GetMilliseconds()[pos]) * time.Millisecond / time.Duration(cou.GetAnswers()[pos])
				loa.ObserveResponseTime(ups, mean)
			}
		}
	}
	return true
}

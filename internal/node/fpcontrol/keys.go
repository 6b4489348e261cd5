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
	// planInterval is the time between looks at the ranges when nothing has changed.
	planInterval = 200 * time.Millisecond
	// longestLapse is how long orders in flight are continued when the lease of the leader has ended. A leader that follows
	// allows for calls of its predecessor that arrive up to half a second after its lease.
	longestLapse = 300 * time.Millisecond
)

// ended is the end of an order.
type ended struct {
	order  fpkeeper.Order
	result fpkeeper.Result
}

// keepKeys places the keys of all keyed services while this VM leads.
func (con *Control) keepKeys(ctx context.Context) {
	for {
		moved := con.leaderMoved()
		if con.leads(ctx) {
			con.keepKeysAsLeader(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-moved:
		case <-time.After(planInterval):
		}
	}
}

// keepKeysAsLeader runs for one leadership. While the lease has ended and this VM still leads, it decides and sends nothing, and
// goes on with what it knows when the lease is back.
func (con *Control) keepKeysAsLeader(ctx context.Context) {
	lea, err := con.lead(ctx)
	if err != nil {
		return
	}
	pla := con.startPlacement(lea.Term)
	defer pla.stop()
	for {
		now, err := con.lead(ctx)
		switch {
		case err == nil && now.Term == lea.Term:
			pla.resume()
		case fperror.Is(err, fperror.NoQuorum):
			pla.suspend()
		default:
			return
		}
		changed := con.directory.Changed()
		if err == nil {
			pla.next(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case one := <-pla.results:
			con.takeEnded(pla.keeper, one)
			con.drainEnded(pla.keeper, pla.results)
		case <-changed:
		case <-time.After(planInterval):
		}
	}
}

// placement is the placement of keys in one term of this VM's leadership.
type placement struct {
	con     *Control
	term    uint64
	keeper  *fpkeeper.Keeper
	results chan ended
	calls   sync.WaitGroup
	// silences finds silent upstreams, and forgot is when it last looked.
	silences silences
	forgot   time.Time
	// lapsed is since when the lease has ended, or zero.
	lapsed time.Time
	// life is the context of the orders, and cut ends it.
	life context.Context
	cut  context.CancelFunc
}

// startPlacement starts the placement of keys in a term.
func (con *Control) startPlacement(term uint64) *placement {
	now := time.Now()
	sta, _ := con.directory.Since(0)
	pla := &placement{
		con:     con,
		term:    term,
		keeper:  fpkeeper.New(now, sta.GetLastFence(), fpkeeper.Config{}),
		results: make(chan ended, 256),
		forgot:  now,
	}
	pla.life, pla.cut = context.WithCancel(context.Background())
	con.setKeeper(pla.keeper)
	con.quarantine.lead(now, con.directory.Quarantined())
	con.cfg.Log.Info("placement of keys started", zap.Uint64("term", term), zap.Uint64("lastFence", sta.GetLastFence()))
	return pla
}

// stop cuts the orders in flight and waits for their ends.
func (pla *placement) stop() {
	pla.cut()
	pla.con.setKeeper(nil)
	// Results that nobody reads must not hold up the calls.
	go func() {
		pla.calls.Wait()
		close(pla.results)
	}()
	for range pla.results {
	}
	pla.con.cfg.Log.Info("placement of keys stopped", zap.Uint64("term", pla.term))
}

// resume notes that the lease holds.
func (pla *placement) resume() {
	if pla.lapsed.IsZero() {
		return
	}
	pla.con.cfg.Log.Info("lease of the leader regained", zap.Uint64("term", pla.term), zap.Duration("lapsed", time.Since(pla.lapsed)))
	pla.lapsed = time.Time{}
	if pla.life.Err() != nil {
		pla.life, pla.cut = context.WithCancel(context.Background())
	}
}

// suspend notes that the lease has ended, and cuts the orders in flight when it does not come back soon: another VM may lead.
func (pla *placement) suspend() {
	if pla.lapsed.IsZero() {
		pla.lapsed = time.Now()
		pla.con.metrics.lapses.Add(1)
		pla.con.cfg.Log.Info("lease of the leader has ended", zap.Uint64("term", pla.term))
	}
	if time.Since(pla.lapsed) > longestLapse {
		pla.cut()
	}
}

// next commits the changes that are due, sends the orders that are, and looks for silent upstreams.
func (pla *placement) next(ctx context.Context) {
	life := pla.life
	for _, ord := range pla.con.plan(ctx, pla.keeper, pla.term) {
		pla.calls.Go(func() {
			pla.results <- ended{
				order:  ord,
				result: pla.con.execute(life, ord),
			}
		})
	}
	pla.con.commitQuarantines(ctx)
	if time.Since(pla.forgot) > forgetInterval {
		pla.forgot = time.Now()
		pla.con.forgetSilent(ctx, &pla.silences)
	}
}

func (con *Control) setKeeper(kee *fpkeeper.Keeper) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.keeper = kee
}

func (con *Control) takeEnded(kee *fpkeeper.Keeper, one ended) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	kee.HandleResult(time.Now(), one.order, one.result)
}

func (con *Control) drainEnded(kee *fpkeeper.Keeper, results <-chan ended) {
	for {
		select {
		case one := <-results:
			con.takeEnded(kee, one)
		default:
			return
		}
	}
}

// plan commits the changes that are due and returns the orders that are.
func (con *Control) plan(ctx context.Context, kee *fpkeeper.Keeper, term uint64) []fpkeeper.Order {
	var orders []fpkeeper.Order
	for _, ser := range con.directory.Configuration().GetServices() {
		if !ser.GetKeyed() {
			continue
		}
		con.mutex.Lock()
		some, cha := kee.Plan(time.Now(), fpkeeper.View{
			Service:        ser.GetName(),
			Ranges:         con.directory.Ranges(ser.GetName()),
			Upstreams:      con.directory.Upstreams(ser.GetName()),
			Lookup:         con.directory.Upstream,
			AtAddress:      con.directory.AtAddress,
			MaxRequestTime: longestWork(con.directory.Configuration(), ser.GetName()),
			LastSeen: func(ups *fpstate.Upstream) time.Time {
				at, _ := con.beats.heardOf(ups)
				return at
			},
		})
		con.mutex.Unlock()
		orders = append(orders, some...)
		if len(cha.Steps()) > 0 {
			con.commitChange(ctx, ser.GetName(), cha.Steps(), term)
		}
	}
	return orders
}

// longestWork returns how long a request of a service may be at work: the longest timeout of the routes to it.
func longestWork(cfg *fpstate.Configuration, service string) time.Duration {
	longest := time.Duration(0)
	for _, rou := range cfg.GetRoutes() {
		for _, tar := range rou.GetTargets() {
			if tar.GetService() == service {
				longest = max(longest, rou.GetTimeout().AsDuration())
			}
		}
	}
	return longest
}

// commitChange commits a change of ranges as one entry in the term of the leadership that has decided it. It is not passed on to another
// leader. If it fails, the next plan decides anew.
func (con *Control) commitChange(ctx context.Context, service string, steps []fpkeeper.Step, term uint64) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cha := &fpstate.RangeChange{
		Service: service,
		Term:    term,
	}
	for _, ste := range steps {
		cha.Ranges = append(cha.Ranges, ste.Range)
	}
	err := con.proposeHere(call, &fpstate.Command{
		Body: &fpstate.Command_Change{
			Change: cha,
		},
	})
	for _, ste := range steps {
		con.cfg.Log.Info("range changed", zap.String("service", service), zap.String("reason", ste.Reason),
			zap.Uint32("first", ste.Range.GetFirst()), zap.Uint32("last", ste.Range.GetLast()), zap.String("upstream", ste.Range.GetUpstream()),
			zap.Stringer("phase", ste.Range.GetPhase()), zap.Error(err))
	}
}

// takeReport adds the load that an entry VM has counted.
func (con *Control) takeReport(req *fpstate.ReportRequest) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	if con.keeper == nil {
		return
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
}

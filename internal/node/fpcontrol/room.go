package fpcontrol

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fproom"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// limitLinesPerSecond bounds the log lines about limits of upstreams, of which hundreds may change together.
const limitLinesPerSecond = 5

// newLedger returns the ledger of the places at upstreams.
func (con *Control) newLedger() *fproom.Ledger {
	lines := rate.NewLimiter(limitLinesPerSecond, limitLinesPerSecond)
	suppressed := 0 // the ledger makes one call at a time
	return fproom.NewLedger(fproom.LedgerConfig{
		Slots: func(inc fproom.Incarnation) int {
			ups := con.directory.Upstream(inc.ID)
			if ups.GetBorn() != inc.Born || ups.GetGone() {
				return 0
			}
			return int(ups.GetConcurrency())
		},
		Changed: func(inc fproom.Incarnation, limited bool, inUse, target int) {
			if !lines.Allow() {
				suppressed++
				return
			}
			con.cfg.Log.Info("limit of an upstream changed", zap.String("upstream", inc.ID), zap.Uint64("born", inc.Born),
				zap.Bool("limited", limited), zap.Int("inUse", inUse), zap.Int("target", target), zap.Int("suppressed", suppressed))
			suppressed = 0
		},
	})
}

// grantPlaces records the places that an entry VM uses, and adds those that it gets and the limited upstreams to the response. It does
// nothing unless this VM leads, nor for VMs of earlier builds, which do not count their uses.
func (con *Control) grantPlaces(ctx context.Context, req *fpstate.ReportRequest, res *fpstate.ReportResponse) {
	if !req.GetAccountsPlaces() {
		return
	}
	lea, err := con.lead(ctx)
	if err != nil {
		return
	}
	grants := con.room.Report(time.Now(), lea.Term, req.GetVm(), con.followers.sum(), fproom.DecodeUses(req.GetPlaces()))
	res.Places = fproom.EncodeGrants(grants)
}

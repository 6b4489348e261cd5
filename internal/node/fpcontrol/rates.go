package fpcontrol

import (
	"context"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fprate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// grantRates merges the statements about request rates that an entry VM reports, and adds the tokens that it gets and the
// newest statements to the response. It does nothing unless this VM leads.
func (con *Control) grantRates(ctx context.Context, req *fpstate.ReportRequest, res *fpstate.ReportResponse) {
	lea, err := con.lead(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	con.rates.StartTerm(now, lea.Term)
	con.mergeRates(now, req.GetRates())
	res.Leads = true
	res.Grants = fprate.EncodeGrants(con.rates.Acquire(now, req.GetVm(), con.followers.sum(), fprate.DecodeAsks(req.GetAsks())))
	res.Rates = con.encodedRates()
}

// mergeRates merges statements of another VM, with ages as of the given time, and drops those about upstreams that have left. A
// statement that an entry VM reports seems newer by the time that the call took.
func (con *Control) mergeRates(at time.Time, statements []*fpstate.RateStatement) {
	for inc, sta := range fprate.DecodeStatements(at, statements) {
		con.rates.Merge(time.Now(), inc, sta)
	}
	con.rates.Prune(time.Now(), func(inc fprate.Incarnation) bool {
		ups := con.directory.Upstream(inc.ID)
		return ups.GetBorn() == inc.Born && !ups.GetGone()
	})
}

// encodedRates returns the newest statements about request rates.
func (con *Control) encodedRates() []*fpstate.RateStatement {
	return fprate.EncodeStatements(time.Now(), con.rates.Statements())
}

// namedRate returns the rate in requests per second that an upstream names for all entry VMs together, and false if it names
// none.
func (con *Control) namedRate(ups *fpstate.Upstream) (perSecond float64, limited bool) {
	return con.rates.Rate(fprate.Incarnation{
		ID:   ups.GetId(),
		Born: ups.GetBorn(),
	})
}

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
	asks := fprate.DecodeAsks(req.GetAsks())
	con.assumeCold(now, asks)
	res.Leads = true
	res.Grants = fprate.EncodeGrants(con.rates.Acquire(now, req.GetVm(), con.followers.sum(), asks))
	res.Rates = con.encodedNamedRates()
}

// mergeRates merges statements of another VM, with ages as of the given time, and drops those about upstreams that have left. A
// statement that an entry VM reports seems newer by the time that the call took.
func (con *Control) mergeRates(at time.Time, statements []*fpstate.RateStatement) {
	for inc, sta := range fprate.DecodeStatements(at, statements) {
		merge := con.rates.Merge
		if inc.Cold {
			merge = con.rates.MergeCold
		}
		if merge(time.Now(), inc, sta) && inc.Cold {
			con.cold.note()
		}
	}
	con.rates.Prune(time.Now(), func(inc fprate.Incarnation) bool {
		ups := con.directory.Upstream(inc.ID)
		if inc.Cold && ups.GetBorn() < inc.Born {
			return true // its announcement is being committed
		}
		return ups.GetBorn() == inc.Born && !ups.GetGone()
	})
}

// encodedRates returns the newest statements about request rates and cold upstreams.
func (con *Control) encodedRates() []*fpstate.RateStatement {
	return fprate.EncodeStatements(time.Now(), con.rates.Statements())
}

// encodedNamedRates returns the newest statements about request rates without those about cold upstreams. Entry VMs get these only with
// the responses to their polls: with each report, 57 of them would take 4 Mbit/s of the link of a leader of 87 entry VMs.
func (con *Control) encodedNamedRates() []*fpstate.RateStatement {
	return fprate.EncodeStatements(time.Now(), con.rates.StatementsOf(false))
}

// namedRate returns the rate in requests per second that an upstream takes from all entry VMs together, because it names one or is
// cold, and false if its requests are not limited.
func (con *Control) namedRate(ups *fpstate.Upstream) (perSecond float64, limited bool) {
	perSecond, limited = con.rates.Rate(fprate.Incarnation{
		ID:   ups.GetId(),
		Born: ups.GetBorn(),
	})
	if cold, ok := con.rates.Rate(coldKey(ups)); ok && (!limited || cold < perSecond) {
		return cold, true
	}
	return perSecond, limited
}

// isCold reports whether the requests of an upstream are limited because it is cold.
func (con *Control) isCold(ups *fpstate.Upstream) bool {
	_, cold := con.rates.Rate(coldKey(ups))
	return cold
}

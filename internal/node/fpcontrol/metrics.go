package fpcontrol

import (
	"fmt"
	"io"
	"sync/atomic"
)

// metrics counts what goes wrong between VMs.
type metrics struct {
	lostSteps  atomic.Int64
	lostRelays atomic.Int64
	lostOrders atomic.Int64
	// lostAnnouncements counts announcements that no leader could store.
	lostAnnouncements atomic.Int64
	// lapses counts the times that the lease of this VM ended while it led.
	lapses atomic.Int64
}

// WriteMetrics writes all counters as lines of name and value.
func (con *Control) WriteMetrics(out io.Writer) {
	sta := con.group.Status()
	fmt.Fprintf(out, "groupTerm %d\ngroupCommit %d\ngroupMembers %d\n", sta.Term, sta.Commit, len(sta.Members))
	fmt.Fprintf(out, "groupElections %d\ngroupStepDowns %d\n", sta.Counters.Elections, sta.Counters.StepDowns)
	fmt.Fprintf(out, "lostSteps %d\nlostRelays %d\nlostOrders %d\nlostAnnouncements %d\n",
		con.metrics.lostSteps.Load(), con.metrics.lostRelays.Load(), con.metrics.lostOrders.Load(), con.metrics.lostAnnouncements.Load())
	fmt.Fprintf(out, "leaseLapses %d\n", con.metrics.lapses.Load())
	fmt.Fprintf(out, "followers %d\n", con.followers.count())
}

// Reseed replaces the addresses by which other control VMs are found.
func (con *Control) Reseed(seeds []string) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.seeds = seeds
}

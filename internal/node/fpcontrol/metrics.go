package fpcontrol

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// metrics counts failures of calls to other VMs and upstreams, and lapses of the leader lease.
type metrics struct {
	lostSteps  atomic.Int64 // deliveries of consensus messages that failed
	lostRelays atomic.Int64 // relays of announcements to the leader that failed
	lostOrders atomic.Int64 // orders to upstreams that failed
	// lostAnnouncements counts announcements that were not committed because there was no quorum or no known leader.
	lostAnnouncements atomic.Int64
	// leaseLapses counts how often the lease of this VM ended while it led.
	leaseLapses atomic.Int64
	// openChanges counts changes of ranges whose commit had no outcome within callTimeout.
	openChanges atomic.Int64
	// coldChanges counts changes of the limits of cold upstreams that this VM has received in announcements.
	coldChanges atomic.Int64
	// overlappingGrants counts grants that were answered while another upstream could still hold some of the keys.
	overlappingGrants atomic.Int64
	// refusedEvacuations counts orders to evacuate a data centre, or to end that, that this VM answered with an error.
	refusedEvacuations atomic.Int64
}

// WriteMetrics writes all metrics as lines with a name and a value. Errors of the writer are ignored.
func (con *Control) WriteMetrics(out io.Writer) {
	sta := con.group.Status()
	fmt.Fprintf(out, "groupTerm %d\ngroupCommit %d\ngroupMembers %d\n", sta.Term, sta.Commit, len(sta.Members))
	fmt.Fprintf(out, "groupElections %d\ngroupStepDowns %d\n", sta.Counters.Elections, sta.Counters.StepDowns)
	fmt.Fprintf(out, "lostSteps %d\nlostRelays %d\nlostOrders %d\nlostAnnouncements %d\n",
		con.metrics.lostSteps.Load(), con.metrics.lostRelays.Load(), con.metrics.lostOrders.Load(), con.metrics.lostAnnouncements.Load())
	fmt.Fprintf(out, "leaseLapses %d\n", con.metrics.leaseLapses.Load())
	fmt.Fprintf(out, "openChanges %d\noverlappingGrants %d\n", con.metrics.openChanges.Load(), con.metrics.overlappingGrants.Load())
	fmt.Fprintf(out, "coldUpstreams %d\ncoldChanges %d\n", con.rates.CountCold(time.Now()), con.metrics.coldChanges.Load())
	fmt.Fprintf(out, "followers %d\n", con.followers.count())
	con.room.WriteMetrics(out)
	evacuated := 0
	for _, eva := range con.directory.Evacuations() {
		if eva.GetActive() {
			evacuated++
		}
	}
	fmt.Fprintf(out, "stateLevel %d\nevacuatedDataCentres %d\nrefusedEvacuations %d\n", con.directory.Level(), evacuated,
		con.metrics.refusedEvacuations.Load())
}

// SetSeeds replaces the seed addresses, by which this VM finds the group.
func (con *Control) SetSeeds(seeds []string) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.seeds = seeds
}

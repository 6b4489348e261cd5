package fpsystem_test

import (
	"slices"
	"testing"
	"time"
)

// tableValidity is the validity of an entry VM's routing table in the default settings.
const tableValidity = time.Second

// vms returns the names of all VMs.
func (sys *system) vmNames() []string {
	var names []string
	for _, loc := range sys.layout.vms {
		names = append(names, loc.name)
	}
	return names
}

// otherVMs returns the names of all VMs except some.
func (sys *system) otherVMs(without ...string) []string {
	return slices.DeleteFunc(sys.vmNames(), func(name string) bool { return slices.Contains(without, name) })
}

// leadership is the leader of a group with its term.
type leadership struct {
	vm   string
	term uint64
}

// leadershipOf returns the leadership of a group as a VM sees it, or the zero value if there is no leader.
func (sys *system) leadershipOf(from, group string) leadership {
	for _, gro := range sys.status(from).GetGroups() {
		if gro.GetName() == group && gro.GetTerm() > 0 && gro.GetLeader() != "" {
			return leadership{
				vm:   gro.GetLeader(),
				term: gro.GetTerm(),
			}
		}
	}
	return leadership{}
}

// awaitLeader waits until a VM sees a leader of a group that is none of the VMs in without.
func (sys *system) awaitLeader(from, group string, without ...string) leadership {
	sys.t.Helper()
	var lea leadership
	sys.eventually("group "+group+" has a leader", func() bool {
		lea = sys.leadershipOf(from, group)
		return lea.vm != "" && !slices.Contains(without, lea.vm)
	})
	return lea
}

// TestLeaderIsolated cuts the leader of a group off from the other VMs. The others must elect a leader and serve its keys, the
// isolated VM must not answer with its expired table, and must not cause an election when the cut is healed.
func TestLeaderIsolated(t *testing.T) {
	const (
		key       = "harbour"
		isolation = 10 * time.Second
		// slack allows for late answers of the isolated VM on a busy machine.
		slack = 200 * time.Millisecond
	)
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(4)
	oldLeader := sys.awaitLeader("a1", "r")
	others := sys.otherVMs(oldLeader.vm)
	sys.awaitServed(request{
		vm:   oldLeader.vm,
		path: planGet,
		key:  key,
	})
	loa := sys.startLoad(20*time.Millisecond, keyedRequests(key, others...))
	isolatedLoad := sys.startLoad(20*time.Millisecond, keyedRequests(key, oldLeader.vm))
	start := time.Now()
	// The isolated VM still reaches the upstreams, so only the expiry of its table keeps it from answering.
	sys.network.cut([]string{oldLeader.vm}, others)
	cutAt := time.Now()
	for _, vm := range others {
		reportDuration(t, "served through "+vm+" after the cut", sys.awaitFirstServed(loa, cutAt, sentThrough(vm)), recoveryTarget)
	}
	newLeader := sys.awaitLeader(others[0], "r", oldLeader.vm)
	t.Logf("%s leads in term %d after %s in term %d, seen %v after the cut", newLeader.vm, newLeader.term, oldLeader.vm, oldLeader.term, time.Since(cutAt))
	time.Sleep(time.Until(start.Add(isolation)))
	newLeader = sys.awaitLeader(others[0], "r", oldLeader.vm)
	healedAt := time.Now()
	sys.network.heal()
	reportDuration(t, "served through the isolated VM after the cut was healed", sys.awaitFirstServed(isolatedLoad, healedAt, nil), recoveryTarget)
	// This is long enough for three elections, if the VM that was isolated causes any.
	time.Sleep(3 * time.Second)
	if current := sys.awaitLeader(others[0], "r"); current != newLeader {
		t.Errorf("%s led in term %d before the cut was healed, and %s in term %d afterwards", newLeader.vm, newLeader.term, current.vm, current.term)
	}
	sys.checkNoAnswers(isolatedLoad.stopAndCollect(), cutAt.Add(tableValidity+slack), healedAt)
	sys.reportLongestGap(loa.stopAndCollect(), cutAt, recoveryTarget)
	sys.checkExclusiveOwnership()
}

// checkNoAnswers fails the test if an isolated VM served a request that was sent from the time from on and ended before until.
func (sys *system) checkNoAnswers(samples []sample, from, until time.Time) {
	sys.t.Helper()
	checked := 0
	for _, sam := range samples {
		if sam.sent.Before(from) || !sam.end().Before(until) {
			continue
		}
		checked++
		if sam.reply.ok() {
			sys.t.Errorf("the isolated VM served a request that was sent %v after the expiry of its table: %v", sam.sent.Sub(from), sam.reply)
		}
	}
	sys.t.Logf("%d requests to the isolated VM checked", checked)
}

// reportLongestGap logs the longest time between successive answers to the requests that were sent after since, beginning
// with since, and compares it with a target. It also logs the failures.
func (sys *system) reportLongestGap(samples []sample, since time.Time, target time.Duration) {
	sys.t.Helper()
	var ends []time.Time
	failures := map[string]int{}
	for _, sam := range samples {
		switch {
		case sam.sent.Before(since):
		case sam.reply.ok():
			ends = append(ends, sam.end())
		default:
			failures[sam.reply.String()]++
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	last, longest := since, time.Duration(0)
	for _, end := range ends {
		longest = max(longest, end.Sub(last))
		last = end
	}
	sys.t.Logf("%d requests answered, failures: %v", len(ends), failures)
	reportDuration(sys.t, "longest time without an answer", longest, target)
}

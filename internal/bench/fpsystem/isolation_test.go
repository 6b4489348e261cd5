package fpsystem_test

import (
	"slices"
	"testing"
	"time"
)

// tableValidity is the validity of an entry VM's table.
const tableValidity = time.Second

// vms returns the names of all VMs.
func (sys *system) vms() []string {
	var names []string
	for _, plc := range sys.layout.vms {
		names = append(names, plc.name)
	}
	return names
}

// others returns the names of all VMs but some.
func (sys *system) others(without ...string) []string {
	return slices.DeleteFunc(sys.vms(), func(name string) bool { return slices.Contains(without, name) })
}

// leadership is the leader of a group with its term.
type leadership struct {
	vm   string
	term uint64
}

// leads returns the leadership of a group as a VM sees it, or the zero value.
func (sys *system) leads(from, group string) leadership {
	for _, one := range sys.status(from).GetGroups() {
		if one.GetName() == group && one.GetTerm() > 0 && one.GetLeader() != "" {
			return leadership{
				vm:   one.GetLeader(),
				term: one.GetTerm(),
			}
		}
	}
	return leadership{}
}

// awaitLeader waits until a VM sees a leader of a group that is not one of some VMs.
func (sys *system) awaitLeader(from, group string, without ...string) leadership {
	sys.t.Helper()
	var lea leadership
	sys.eventually("group "+group+" has a leader", func() bool {
		lea = sys.leads(from, group)
		return lea.vm != "" && !slices.Contains(without, lea.vm)
	})
	return lea
}

// TestLeaderIsolated guards against an isolated leader that stops keys from being served elsewhere, that answers from its
// past, or that disturbs the other VMs when it returns.
func TestLeaderIsolated(t *testing.T) {
	const (
		key      = "harbour"
		isolated = 10 * time.Second
		// slack is for a request that the isolated VM takes late on a busy machine.
		slack = 200 * time.Millisecond
	)
	sys := newSystem(t, oneRegion())
	sys.addPlans(4)
	old := sys.awaitLeader("a1", "r")
	rest := sys.others(old.vm)
	sys.awaitServed(request{
		vm:   old.vm,
		path: planGet,
		key:  key,
	})
	loa := sys.startLoad(20*time.Millisecond, keyedLoad(key, rest...))
	past := sys.startLoad(20*time.Millisecond, keyedLoad(key, old.vm))
	began := time.Now()
	// The upstreams stay reachable from the isolated VM, so that only its table keeps it from answering.
	sys.network.cut([]string{old.vm}, rest)
	cut := time.Now()
	for _, vm := range rest {
		compare(t, "served through "+vm+" after the cut", sys.awaitFirst(loa, cut, through(vm)), recoveryTarget)
	}
	next := sys.awaitLeader(rest[0], "r", old.vm)
	t.Logf("%s leads in term %d after %s in term %d, seen after %v", next.vm, next.term, old.vm, old.term, time.Since(cut))
	time.Sleep(time.Until(began.Add(isolated)))
	next = sys.awaitLeader(rest[0], "r", old.vm)
	healed := time.Now()
	sys.network.heal()
	compare(t, "served through the returned VM", sys.awaitFirst(past, healed, nil), recoveryTarget)
	// Three elections would fit into this time if the returned VM disturbed the group.
	time.Sleep(3 * time.Second)
	if now := sys.awaitLeader(rest[0], "r"); now != next {
		t.Errorf("%s led in term %d before the isolated VM returned, and %s in term %d after it", next.vm, next.term, now.vm, now.term)
	}
	sys.checkPast(past.results(), cut.Add(tableValidity+slack), healed)
	sys.checkGaps(loa.results(), cut, recoveryTarget)
	sys.checkOwners()
}

// checkPast fails the test if an isolated VM answered while it was isolated.
func (sys *system) checkPast(samples []sample, from, until time.Time) {
	sys.t.Helper()
	checked := 0
	for _, sam := range samples {
		if sam.sent.Before(from) || !sam.end().Before(until) {
			continue
		}
		checked++
		if sam.reply.ok() {
			sys.t.Errorf("the isolated VM answered a request sent %v after the end of its table validity: %v", sam.sent.Sub(from), sam.reply)
		}
	}
	sys.t.Logf("the isolated VM refused %d requests", checked)
}

// checkGaps prints the longest time without an answer to requests that were sent after a moment, and compares it.
func (sys *system) checkGaps(samples []sample, since time.Time, target time.Duration) {
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
	compare(sys.t, "longest time without an answer", longest, target)
}

package fphealth

import (
	"maps"
	"slices"
	"time"
)

// recordSuccess records an answer. The last of successesToReadmit answers in a row ends a trial.
func (set *Set) recordSuccess(now time.Time, name string, mem *member) []Change {
	mem.failureRatio -= smoothingFactor * mem.failureRatio
	mem.lastAnswer = now
	mem.successes++
	if mem.state != Trial || mem.successes < successesToReadmit {
		return nil
	}
	mem.state = Healthy
	mem.healthySince = now
	mem.failureRatio = 0
	return []Change{
		{
			name:  name,
			state: Healthy,
		},
	}
}

// recordFailure records a failure. A single failure during a trial ejects the upstream again.
func (set *Set) recordFailure(now time.Time, name string, mem *member) []Change {
	mem.failureRatio += smoothingFactor * (1 - mem.failureRatio)
	mem.successes = 0
	if mem.state == Trial || (mem.state == Healthy && mem.failureRatio > ejectThreshold) {
		return set.eject(now, name, mem)
	}
	return nil
}

// eject ejects an upstream unless that would leave more than a third of the upstreams ejected. In that case it keeps
// its state: when so many upstreams seem to fail at once, the cause is more likely on this VM's side, and some
// upstreams must remain to take the requests.
func (set *Set) eject(now time.Time, name string, mem *member) []Change {
	if (set.ejectedCount()+1)*maxEjectedDivisor > len(set.members) {
		return nil
	}
	if mem.state == Healthy && now.Sub(mem.healthySince) > ejectionResetAfter {
		mem.ejectionTime = 0
	}
	mem.ejectionTime = min(maxEjectionTime, max(baseEjectionTime, 2*mem.ejectionTime))
	mem.state = Ejected
	mem.successes = 0
	mem.ejectedUntil = now.Add(set.jitter(mem.ejectionTime))
	return []Change{
		{
			name:  name,
			state: Ejected,
		},
	}
}

// jitter varies an ejection time by up to 25 % in either direction, so that VMs do not readmit an upstream all at once.
func (set *Set) jitter(span time.Duration) time.Duration {
	return time.Duration((0.75 + 0.5*set.ran.Float64()) * float64(span))
}

// ejectedCount returns the number of ejected upstreams. The caller holds the mutex.
func (set *Set) ejectedCount() int {
	count := 0
	for _, mem := range set.members {
		if mem.state == Ejected {
			count++
		}
	}
	return count
}

// tick starts the trials that are due. When upstreams have left and more than a third of the rest are ejected, it also
// readmits upstreams early. The caller holds the mutex.
func (set *Set) tick(now time.Time) []Change {
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(set.members)) {
		mem := set.members[name]
		if mem.state == Ejected && set.isEjectionOver(now, mem) {
			out = append(out, startTrial(name, mem))
		}
	}
	for set.ejectedCount()*maxEjectedDivisor > len(set.members) {
		name := set.nextDue()
		out = append(out, startTrial(name, set.members[name]))
	}
	return out
}

// isEjectionOver reports whether an ejection has ended. While probes fail after an earlier one succeeded, an
// ejection shorter than failedProbeEjectionTime is extended to that duration.
func (set *Set) isEjectionOver(now time.Time, mem *member) bool {
	end := mem.ejectedUntil
	if mem.probeSucceeded && mem.failedProbes > 0 && mem.ejectionTime < failedProbeEjectionTime {
		end = end.Add(failedProbeEjectionTime - mem.ejectionTime)
	}
	return !now.Before(end)
}

// nextDue returns the ejected upstream whose ejection ends first, or "" if none is ejected.
func (set *Set) nextDue() string {
	next := ""
	for _, name := range slices.Sorted(maps.Keys(set.members)) {
		mem := set.members[name]
		if mem.state == Ejected && (next == "" || mem.ejectedUntil.Before(set.members[next].ejectedUntil)) {
			next = name
		}
	}
	return next
}

// startTrial readmits an ejected upstream on trial.
func startTrial(name string, mem *member) Change {
	mem.state = Trial
	mem.successes = 0
	mem.failureRatio = 0
	return Change{
		name:  name,
		state: Trial,
	}
}

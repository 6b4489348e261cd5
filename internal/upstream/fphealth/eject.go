package fphealth

import (
	"maps"
	"slices"
	"time"
)

// succeed takes an answer.
func (set *Set) succeed(now time.Time, name string, mem *member) []Change {
	mem.failures -= failureWeight * mem.failures
	mem.answered = now
	mem.good++
	if mem.state != Trial || mem.good < trialAnswers {
		return nil
	}
	mem.state = Healthy
	mem.healthy = now
	mem.failures = 0
	return []Change{
		{
			name:  name,
			state: Healthy,
		},
	}
}

// fail takes a failure. One failure ends a trial.
func (set *Set) fail(now time.Time, name string, mem *member) []Change {
	mem.failures += failureWeight * (1 - mem.failures)
	mem.good = 0
	if mem.state == Trial || (mem.state == Healthy && mem.failures > ejectAbove) {
		return set.eject(now, name, mem)
	}
	return nil
}

// eject takes an upstream out unless a third is out already. Then it stays in its state: if so many look ill at once, the
// cause is more likely on this side, and some upstream has to get the requests.
func (set *Set) eject(now time.Time, name string, mem *member) []Change {
	if (set.ejected()+1)*maxEjectedPart > len(set.members) {
		return nil
	}
	if mem.state == Healthy && now.Sub(mem.healthy) > forgiveAfter {
		mem.pause = 0
	}
	mem.pause = min(maxPause, max(firstPause, 2*mem.pause))
	mem.state = Ejected
	mem.good = 0
	mem.until = now.Add(set.jitter(mem.pause))
	return []Change{
		{
			name:  name,
			state: Ejected,
		},
	}
}

// jitter spreads a pause by a quarter each way, so that VMs do not send their trials together.
func (set *Set) jitter(pause time.Duration) time.Duration {
	return time.Duration((0.75 + 0.5*set.ran.Float64()) * float64(pause))
}

// ejected counts the ejected upstreams.
func (set *Set) ejected() int {
	count := 0
	for _, mem := range set.members {
		if mem.state == Ejected {
			count++
		}
	}
	return count
}

// tick starts the trials that are due. It also readmits early when upstreams have left and more than a third of the rest
// is out.
func (set *Set) tick(now time.Time) []Change {
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(set.members)) {
		mem := set.members[name]
		if mem.state == Ejected && set.due(now, mem) {
			out = append(out, startTrial(name, mem))
		}
	}
	for set.ejected()*maxEjectedPart > len(set.members) {
		name := set.nextDue()
		out = append(out, startTrial(name, set.members[name]))
	}
	return out
}

// due reports whether an ejection is over. While probes that once were good fail, it lasts longer.
func (set *Set) due(now time.Time, mem *member) bool {
	until := mem.until
	if mem.probedWell && mem.bad > 0 && mem.pause < badProbePause {
		until = until.Add(badProbePause - mem.pause)
	}
	return !now.Before(until)
}

// nextDue returns the ejected upstream whose ejection ends first.
func (set *Set) nextDue() string {
	found := ""
	for _, name := range slices.Sorted(maps.Keys(set.members)) {
		mem := set.members[name]
		if mem.state == Ejected && (found == "" || mem.until.Before(set.members[found].until)) {
			found = name
		}
	}
	return found
}

// startTrial lets an ejected upstream get requests again.
func startTrial(name string, mem *member) Change {
	mem.state = Trial
	mem.good = 0
	mem.failures = 0
	return Change{
		name:  name,
		state: Trial,
	}
}

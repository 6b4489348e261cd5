package fpbalance

import (
	"math"
	"time"
)

const (
	// reportHalfLives is the number of typical latencies after which a load report has lost half its weight. The load of
	// an upstream changes with every request, and VMs that believe an old report send their requests to the same
	// upstream together. With a half-life of 500 ms and requests of 10 ms, this made reports worse than none.
	reportHalfLives = 2
	// shortestHalfLife and longestHalfLife bound the half-life of a report.
	shortestHalfLife = 5 * time.Millisecond
	longestHalfLife  = 500 * time.Millisecond
	// shedLoad is the load per unit that a shed request proves; shedHalfLives is the number of typical latencies after
	// which the proof has lost half its weight.
	shedLoad      = 1.0
	shedHalfLives = 4
	// slowRatio is the ratio of a mean latency to the lowest in the tier from which an upstream counts as slow. Means of
	// exponential service times differ by less than that by chance. slowGain is the growth of the factor beyond it.
	slowRatio = 2.0
	slowGain  = 1.5
	// repeatsTrusted is the number of equal reports in a row after which a report loses weight: the load of an upstream
	// that serves requests changes, so a report that never changes carries no information.
	repeatsTrusted = 8
	// answersBetween is the number of answers of this VM between two equal reports that make the second one suspect.
	answersBetween = 1
	// rampStart is the weight of an upstream without answers.
	rampStart = 0.1
	// rampPerUnit is the number of answers per unit of concurrency after which a newcomer has its full weight.
	rampPerUnit = 20
	// latencyWeight is the weight of one answer in the moving mean of latencies.
	latencyWeight = 0.1
	// latencyAge is the time without answers after which a slow mean is halved, so that an upstream that was slow once
	// is tried again.
	latencyAge = 2 * time.Second
)

// tier is the distance of an upstream.
type tier uint8

const (
	sameDataCentre tier = iota
	sameRegion
	otherRegion
	tierCount
)

// member is an upstream with what this VM knows about it.
type member struct {
	up       Upstream
	distance tier
	bundles  bool // bundles may use it
	usable   bool
	inFlight int
	answers  int

	reported  bool
	others    float64 // load of other VMs in the last report
	reportAt  time.Time
	lastTotal uint32
	repeats   int
	since     int // answers since the last report

	latency   float64 // seconds, moving mean
	latencyAt time.Time

	pressure   float64 // load proven by sheds
	pressureAt time.Time
}

// units returns the concurrency, at least 1.
func (mem *member) units() float64 {
	return float64(max(1, mem.up.Concurrency))
}

// weight returns the part of a full share that the upstream may get, from rampStart for a newcomer to 1.
func (mem *member) weight() float64 {
	full := rampPerUnit * mem.units()
	return min(1, rampStart+(1-rampStart)*float64(mem.answers)/full)
}

// report stores a load report. The requests of this VM are part of it and are taken out, because the VM knows them better.
func (mem *member) report(now time.Time, rep Report) {
	total := rep.Running + rep.Queued
	if mem.reported && total == mem.lastTotal && mem.since >= answersBetween {
		mem.repeats++
	} else if total != mem.lastTotal {
		mem.repeats = 0
	}
	mem.reported = true
	mem.lastTotal = total
	mem.since = 0
	mem.reportAt = now
	mem.others = max(0, float64(total)-float64(mem.inFlight))
}

// trust returns the weight of the last report, between 0 and 1.
func (mem *member) trust(now time.Time, halfLife time.Duration) float64 {
	if !mem.reported {
		return 0
	}
	trust := decay(now.Sub(mem.reportAt), halfLife)
	if mem.repeats > repeatsTrusted {
		trust *= math.Exp2(-float64(mem.repeats-repeatsTrusted) / repeatsTrusted)
	}
	return trust
}

// decay returns the weight that is left after an age.
func decay(age, halfLife time.Duration) float64 {
	return min(1, math.Exp2(-float64(age)/float64(halfLife)))
}

// shed notes that the upstream refused a request because it was full.
func (mem *member) shed(now time.Time, halfLife time.Duration) {
	mem.pressure = min(2*shedLoad, mem.pressureNow(now, halfLife)+shedLoad)
	mem.pressureAt = now
}

// pressureNow returns the load that recent sheds prove.
func (mem *member) pressureNow(now time.Time, halfLife time.Duration) float64 {
	if mem.pressure == 0 {
		return 0
	}
	return mem.pressure * decay(now.Sub(mem.pressureAt), halfLife)
}

// observe adds a latency to the moving mean.
func (mem *member) observe(now time.Time, took time.Duration) {
	if mem.latency == 0 {
		mem.latency = took.Seconds()
	} else {
		mem.latency += latencyWeight * (took.Seconds() - mem.latency)
	}
	mem.latencyAt = now
}

// slowness returns the factor by which the load of a slow upstream weighs more, given the lowest mean latency of its tier.
// It tends to 1 with the age of the last answer.
func (mem *member) slowness(now time.Time, lowest float64) float64 {
	if mem.latency == 0 || lowest == 0 {
		return 1
	}
	excess := max(0, mem.latency/lowest-slowRatio)
	return 1 + slowGain*excess*decay(now.Sub(mem.latencyAt), latencyAge)
}

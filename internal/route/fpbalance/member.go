package fpbalance

import (
	"math"
	"time"
)

const (
	// reportHalfLives is the half-life of the weight of a load report in typical latencies. The load of an upstream changes
	// with every request, and VMs that use an old report send their requests to the same upstream together. With a half-life
	// of 500 ms and requests of 10 ms, choices were worse than without reports.
	reportHalfLives = 2
	// minReportHalfLife and maxReportHalfLife bound the half-life of a report.
	minReportHalfLife = 5 * time.Millisecond
	maxReportHalfLife = 500 * time.Millisecond
	// shedLoad is the load per unit of concurrency that a shed request adds to the estimate. shedHalfLives is the half-life
	// of this load in typical latencies.
	shedLoad      = 1.0
	shedHalfLives = 4
	// slowRatio is the ratio of an upstream's mean latency to the lowest one of its tier above which it counts as slow. The
	// means of exponential service times differ by less than that by chance. slowGain is the growth of the slowness factor
	// for each unit of the ratio above slowRatio.
	slowRatio = 2.0
	slowGain  = 1.5
	// trustedRepeats is the number of equal reports in a row after which a report loses weight. The load of an upstream that
	// serves requests changes, so a report that does not change carries no information.
	trustedRepeats = 8
	// minAnswersBetween is the number of answers to this VM between two equal reports from which the second one counts as a
	// repeat.
	minAnswersBetween = 1
	// rampStart is the weight of a new upstream without answers.
	rampStart = 0.1
	// rampPerUnit is the number of answers per unit of concurrency after which a new upstream has its full weight.
	rampPerUnit = 20
	// latencyWeight is the weight of one answer in the moving mean of the latency.
	latencyWeight = 0.1
	// latencyHalfLife is the half-life of the slowness of an upstream without answers. An upstream that was slow once is
	// thus used again.
	latencyHalfLife = 2 * time.Second
)

// tier is the location of an upstream relative to the VM.
type tier uint8

const (
	sameDataCentre tier = iota
	sameRegion
	otherRegion
	tierCount
)

// member is the state of an upstream as known to this VM.
type member struct {
	up           Upstream
	distance     tier
	takesBundles bool // may get bundles
	usable       bool
	inFlight     int
	answers      int

	hasReport          bool
	otherLoad          float64 // requests of other VMs in the last report
	reportedAt         time.Time
	lastTotal          uint32
	repeats            int
	answersSinceReport int // answers since the last report

	latency   float64 // seconds, moving mean
	latencyAt time.Time

	shedPressure float64 // load per unit of concurrency estimated from shed requests, as of shedAt
	shedAt       time.Time
}

// concurrency returns the number of requests that the upstream runs at once, at least 1.
func (mem *member) concurrency() float64 {
	return float64(max(1, mem.up.Concurrency))
}

// weight returns the fraction of a full share that the upstream may get: from rampStart without answers to 1.
func (mem *member) weight() float64 {
	full := rampPerUnit * mem.concurrency()
	return min(1, rampStart+(1-rampStart)*float64(mem.answers)/full)
}

// recordReport records a load report. The requests of this VM are subtracted, because the VM knows their current number.
func (mem *member) recordReport(now time.Time, rep Report) {
	total := rep.Running + rep.Queued
	if mem.hasReport && total == mem.lastTotal && mem.answersSinceReport >= minAnswersBetween {
		mem.repeats++
	} else if total != mem.lastTotal {
		mem.repeats = 0
	}
	mem.hasReport = true
	mem.lastTotal = total
	mem.answersSinceReport = 0
	mem.reportedAt = now
	mem.otherLoad = max(0, float64(total)-float64(mem.inFlight))
}

// reportTrust returns the weight of the last report, between 0 and 1. It decays with the age and with repeats of the report.
func (mem *member) reportTrust(now time.Time, halfLife time.Duration) float64 {
	if !mem.hasReport {
		return 0
	}
	trust := decay(now.Sub(mem.reportedAt), halfLife)
	if mem.repeats > trustedRepeats {
		trust *= math.Exp2(-float64(mem.repeats-trustedRepeats) / trustedRepeats)
	}
	return trust
}

// decay returns the weight that is left at an age, at most 1.
func decay(age, halfLife time.Duration) float64 {
	return min(1, math.Exp2(-float64(age)/float64(halfLife)))
}

// recordShed records that the upstream refused a request because it was full.
func (mem *member) recordShed(now time.Time, halfLife time.Duration) {
	mem.shedPressure = min(2*shedLoad, mem.shedPressureNow(now, halfLife)+shedLoad)
	mem.shedAt = now
}

// shedPressureNow returns the load per unit of concurrency that is estimated from recent shed requests.
func (mem *member) shedPressureNow(now time.Time, halfLife time.Duration) float64 {
	if mem.shedPressure == 0 {
		return 0
	}
	return mem.shedPressure * decay(now.Sub(mem.shedAt), halfLife)
}

// recordLatency adds a latency to the moving mean.
func (mem *member) recordLatency(now time.Time, took time.Duration) {
	if mem.latency == 0 {
		mem.latency = took.Seconds()
	} else {
		mem.latency += latencyWeight * (took.Seconds() - mem.latency)
	}
	mem.latencyAt = now
}

// slownessFactor returns the factor for the load of an upstream, given the lowest mean latency of its tier in seconds. It is
// above 1 for a slow upstream and tends to 1 with the age of the last answer.
func (mem *member) slownessFactor(now time.Time, lowest float64) float64 {
	if mem.latency == 0 || lowest == 0 {
		return 1
	}
	excess := max(0, mem.latency/lowest-slowRatio)
	return 1 + slowGain*excess*decay(now.Sub(mem.latencyAt), latencyHalfLife)
}

package fpbalance

import (
	"math"
	"time"
)

const (
	// reportHalfLife is the age at which a load report has lost half its weight. Requests take milliseconds, so a load
	// seen seconds ago says little.
	reportHalfLife = 500 * time.Millisecond
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
func (mem *member) trust(now time.Time) float64 {
	if !mem.reported {
		return 0
	}
	trust := math.Exp2(-float64(now.Sub(mem.reportAt)) / float64(reportHalfLife))
	if mem.repeats > repeatsTrusted {
		trust *= math.Exp2(-float64(mem.repeats-repeatsTrusted) / repeatsTrusted)
	}
	return min(1, trust)
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

// slowness returns the ratio of the mean latency to that of all upstreams, which tends to 1 with the age of the last
// answer.
func (mem *member) slowness(now time.Time, mean float64) float64 {
	if mem.latency == 0 || mean == 0 {
		return 1
	}
	ratio := mem.latency / mean
	age := now.Sub(mem.latencyAt)
	return 1 + (ratio-1)*math.Exp2(-float64(age)/float64(latencyAge))
}

// Package fpload generates open-loop load and measures its results. Requests arrive by a schedule, whether earlier ones were
// answered or not, and latencies are measured from the scheduled arrival. The results thus include the time for which a
// target stalls (no coordinated omission).
package fpload

import (
	"math/rand/v2"
	"time"
)

// Schedule is the rate of arrivals over time, in requests per second.
type Schedule struct {
	// Rate is the rate outside the surge.
	Rate float64
	// Factor multiplies the rate during the surge. 0: no surge.
	Factor float64
	// SurgeAt is the time from the start of the run to the surge, SurgeFor the length of the surge.
	SurgeAt  time.Duration
	SurgeFor time.Duration
	// Ramp is the time in which the rate rises to that of the surge. 0: at once.
	Ramp time.Duration
}

// RateAt returns the rate at a time since the start, in requests per second.
func (sch Schedule) RateAt(at time.Duration) float64 {
	sinceSurge := at - sch.SurgeAt
	if sch.Factor == 0 || sinceSurge < 0 || sinceSurge >= sch.SurgeFor {
		return sch.Rate
	}
	if sinceSurge < sch.Ramp {
		return sch.Rate * (1 + (sch.Factor-1)*float64(sinceSurge)/float64(sch.Ramp))
	}
	return sch.Rate * sch.Factor
}

// peakRate returns the highest rate of the schedule.
func (sch Schedule) peakRate() float64 {
	return sch.Rate * max(1, sch.Factor)
}

// next returns the first arrival after a time since the start. Arrivals are a Poisson process with a varying rate, drawn by
// thinning a process with the highest rate.
func (sch Schedule) next(ran *rand.Rand, at time.Duration) time.Duration {
	peakRate := sch.peakRate()
	for {
		at += time.Duration(ran.ExpFloat64() / peakRate * float64(time.Second))
		if ran.Float64()*peakRate <= sch.RateAt(at) {
			return at
		}
	}
}

// Package fpload generates open-loop load and records what comes of it. Arrivals follow a schedule and never wait for
// answers, and latencies count from the scheduled arrival, so that a stalled target can not hide its stall (coordinated
// omission).
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
	// SurgeAt and SurgeFor place the surge.
	SurgeAt  time.Duration
	SurgeFor time.Duration
	// Ramp is the time in which the rate rises to that of the surge. 0: at once.
	Ramp time.Duration
}

// RateAt returns the rate at a time since the start.
func (sch Schedule) RateAt(at time.Duration) float64 {
	into := at - sch.SurgeAt
	if sch.Factor == 0 || into < 0 || into >= sch.SurgeFor {
		return sch.Rate
	}
	if into < sch.Ramp {
		return sch.Rate * (1 + (sch.Factor-1)*float64(into)/float64(sch.Ramp))
	}
	return sch.Rate * sch.Factor
}

// peak returns the highest rate.
func (sch Schedule) peak() float64 {
	return sch.Rate * max(1, sch.Factor)
}

// next returns the arrival after a time. Arrivals are a Poisson process whose rate varies, drawn by thinning one of the
// highest rate.
func (sch Schedule) next(ran *rand.Rand, at time.Duration) time.Duration {
	peak := sch.peak()
	for {
		at += time.Duration(ran.ExpFloat64() / peak * float64(time.Second))
		if ran.Float64()*peak <= sch.RateAt(at) {
			return at
		}
	}
}

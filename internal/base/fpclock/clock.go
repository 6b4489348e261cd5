// Package fpclock measures elapsed time for leases and other periods of validity. It returns the longer reading of the monotonic
// clock and the wall clock, because each of them alone may show too little.
package fpclock

import "time"

// start is the origin of the monotonic readings of all moments of the process.
var start = time.Now()

// Moment is a point in time, with its readings of the monotonic clock and of the wall clock. Moments of different processes
// cannot be compared. The zero value is before every other moment.
type Moment struct {
	mono time.Duration
	wall time.Time
}

// Now returns the current moment.
func Now() Moment {
	now := time.Now()
	return Moment{
		mono: now.Sub(start),
		wall: now.Round(0),
	}
}

// At returns the moment with the given readings: mono is the time since the start of the process, wall the wall clock.
func At(mono time.Duration, wall time.Time) Moment {
	return Moment{
		mono: mono,
		wall: wall.Round(0),
	}
}

// IsZero reports whether the moment is the zero value.
func (mom Moment) IsZero() bool { return mom.wall.IsZero() }

// Wall returns the reading of the wall clock.
func (mom Moment) Wall() time.Time { return mom.wall }

// Elapsed returns the time from mom to now, the longer one of those on the two clocks. The monotonic clock may stop while a VM is
// paused, and the wall clock may be set back, so each of them alone may show too little.
func (mom Moment) Elapsed(now Moment) time.Duration {
	return max(now.mono-mom.mono, now.wall.Sub(mom.wall))
}

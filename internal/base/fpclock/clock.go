// Package fpclock measures elapsed time for leases and validities.
package fpclock

import "time"

// start carries the monotonic reading that every Moment of the process refers to.
var start = time.Now()

// Moment is a point in time on the monotonic clock and on the wall clock. The zero value lies before every other Moment.
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

// At returns the moment with the given readings: the time since the start of the process, and the wall clock.
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

// Elapsed returns the time from mom to now. The monotonic clock may stand still while a VM is paused, and the wall clock
// may be set back, so it returns the longer of the two readings.
func (mom Moment) Elapsed(now Moment) time.Duration {
	return max(now.mono-mom.mono, now.wall.Sub(mom.wall))
}

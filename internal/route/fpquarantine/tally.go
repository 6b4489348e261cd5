package fpquarantine

import (
	"time"
)

const (
	// minRefusal is how long a request is refused after its second crash. Afterwards, requests that only happened to be in
	// flight during the crashes are served again, while the request that causes them causes a third one and is refused for
	// longer.
	minRefusal = 10 * time.Second
	// refusalGrowth is the factor by which the time grows with each further crash, and maxRefusal its bound.
	refusalGrowth = 4
	maxRefusal    = 15 * time.Minute
)

// Tally counts the crashes that all entry VMs report, and decides which requests are refused and for how long. It runs on the
// leader of the control VMs and is not safe for concurrent use. The zero value is empty.
type Tally struct {
	entries map[string]*entry
}

// entry holds the crashes of one request.
type entry struct {
	crashes      map[Crash]bool
	lastCrash    time.Time
	refusedUntil time.Time // zero if it is not refused
}

// RecordCrash records a crash while a request was in flight, and reports whether the request has to be refused from now on.
// It returns false for a crash that has been reported before.
func (tal *Tally) RecordCrash(now time.Time, digest string, cra Crash) bool {
	if tal.entries == nil {
		tal.entries = map[string]*entry{}
	}
	ent := tal.entries[digest]
	if ent == nil {
		tal.evictOldest()
		ent = &entry{
			crashes: map[Crash]bool{},
		}
		tal.entries[digest] = ent
	}
	if ent.crashes[cra] {
		return false
	}
	ent.crashes[cra] = true
	ent.lastCrash = now
	if len(ent.crashes) < crashesToRefuse {
		return false
	}
	ent.refusedUntil = now.Add(refusalTime(len(ent.crashes)))
	return true
}

// refusalTime returns how long a request is refused after a number of crashes.
func refusalTime(crashes int) time.Duration {
	length := minRefusal
	for num := crashesToRefuse; num < crashes && length < maxRefusal; num++ {
		length *= refusalGrowth
	}
	return min(length, maxRefusal)
}

// Clear drops a request that an upstream has answered, and reports whether it was refused.
func (tal *Tally) Clear(digest string) bool {
	ent := tal.entries[digest]
	delete(tal.entries, digest)
	return ent != nil && !ent.refusedUntil.IsZero()
}

// EndExpired ends the refusals whose time is over and returns their requests. The crashes of these requests still count
// until maxRefusal after the last one.
func (tal *Tally) EndExpired(now time.Time) []string {
	var ended []string
	for digest, ent := range tal.entries {
		switch {
		case !ent.refusedUntil.IsZero() && !now.Before(ent.refusedUntil):
			ent.refusedUntil = time.Time{}
			ended = append(ended, digest)
		case ent.refusedUntil.IsZero() && now.Sub(ent.lastCrash) > maxRefusal:
			delete(tal.entries, digest)
		}
	}
	return ended
}

// Adopt adds a request that an earlier leader has refused. It is refused like one after its second crash. A request that is
// known already is not changed.
func (tal *Tally) Adopt(now time.Time, digest string) {
	if tal.entries == nil {
		tal.entries = map[string]*entry{}
	}
	if tal.entries[digest] != nil {
		return
	}
	ent := &entry{
		crashes:      map[Crash]bool{},
		lastCrash:    now,
		refusedUntil: now.Add(minRefusal),
	}
	for num := range crashesToRefuse {
		ent.crashes[Crash{
			Incarnation: uint64(num),
		}] = true
	}
	tal.entries[digest] = ent
}

// evictOldest drops the request with the oldest last crash if there are DefaultMaxSuspects requests or more.
func (tal *Tally) evictOldest() {
	if len(tal.entries) < DefaultMaxSuspects {
		return
	}
	oldest := ""
	for digest, ent := range tal.entries {
		if oldest == "" || ent.lastCrash.Before(tal.entries[oldest].lastCrash) {
			oldest = digest
		}
	}
	delete(tal.entries, oldest)
}

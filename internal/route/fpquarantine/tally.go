package fpquarantine

import (
	"time"
)

const (
	// shortestHold is how long a request is refused after its second crash. Requests that were only beside the one at fault
	// are served again afterwards, and the one at fault shows itself by a third crash.
	shortestHold = 10 * time.Second
	// holdGrowth is the factor by which the time grows with each further crash, and longestHold its bound.
	holdGrowth  = 4
	longestHold = 15 * time.Minute
)

// Tally collects the crashes that all VMs report, and says which requests are refused and for how long. It is a plain state
// machine for the leader of the control VMs, and is not safe for concurrent use. The zero value is empty.
type Tally struct {
	entries map[string]*entry
}

// entry is what is known of one request.
type entry struct {
	crashes map[Crash]bool
	last    time.Time
	until   time.Time // refused until then, or zero
}

// Report takes a crash and reports whether the request is to be refused from now on.
func (tal *Tally) Report(now time.Time, digest string, cra Crash) bool {
	if tal.entries == nil {
		tal.entries = map[string]*entry{}
	}
	ent := tal.entries[digest]
	if ent == nil {
		tal.makeRoom()
		ent = &entry{
			crashes: map[Crash]bool{},
		}
		tal.entries[digest] = ent
	}
	if ent.crashes[cra] {
		return false
	}
	ent.crashes[cra] = true
	ent.last = now
	if len(ent.crashes) < crashesToRefuse {
		return false
	}
	ent.until = now.Add(hold(len(ent.crashes)))
	return true
}

// hold returns how long a request is refused after a number of crashes.
func hold(crashes int) time.Duration {
	length := shortestHold
	for num := crashesToRefuse; num < crashes && length < longestHold; num++ {
		length *= holdGrowth
	}
	return min(length, longestHold)
}

// Clear forgets a request that an upstream has answered, and reports whether it was refused.
func (tal *Tally) Clear(digest string) bool {
	ent := tal.entries[digest]
	delete(tal.entries, digest)
	return ent != nil && !ent.until.IsZero()
}

// Due returns the requests that are not refused any more. What was counted of them is remembered.
func (tal *Tally) Due(now time.Time) []string {
	var due []string
	for digest, ent := range tal.entries {
		switch {
		case !ent.until.IsZero() && !now.Before(ent.until):
			ent.until = time.Time{}
			due = append(due, digest)
		case ent.until.IsZero() && now.Sub(ent.last) > longestHold:
			delete(tal.entries, digest)
		}
	}
	return due
}

// Adopt takes over a request that an earlier leader refuses. It counts as one after the second crash.
func (tal *Tally) Adopt(now time.Time, digest string) {
	if tal.entries == nil {
		tal.entries = map[string]*entry{}
	}
	if tal.entries[digest] != nil {
		return
	}
	ent := &entry{
		crashes: map[Crash]bool{},
		last:    now,
		until:   now.Add(shortestHold),
	}
	for num := range crashesToRefuse {
		ent.crashes[Crash{
			Incarnation: uint64(num),
		}] = true
	}
	tal.entries[digest] = ent
}

// makeRoom forgets the request whose last crash is the longest ago if there are too many.
func (tal *Tally) makeRoom() {
	if len(tal.entries) < DefaultMaxSuspects {
		return
	}
	oldest := ""
	for digest, ent := range tal.entries {
		if oldest == "" || ent.last.Before(tal.entries[oldest].last) {
			oldest = digest
		}
	}
	delete(tal.entries, oldest)
}

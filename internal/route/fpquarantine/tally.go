package fpquarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minRefusal is how long a request is refused after its second crash. Afterwards, requests that only happened to be in
	// flight during the crashes are served again, while the request that causes them causes a third one and is refused for
	// longer.
	minRefusal = 10 * time.Second
	// refusalGrowth is the factor by which the time grows with each further crash, and maxRefusal its bound, unless crashes last.
	refusalGrowth = 4
	maxRefusal    = 15 * time.Minute
	// crashesToKeep is the number of lasting crashes from which a request is refused without a limit of time. A request that only
	// happened to be in flight during the crashes is answered at the first chance after one of its refusals, which ends its record.
	crashesToKeep = 5
)

// Tally counts the crashes that all entry VMs report, and decides which requests are refused and for how long. It runs on the
// leader of the control VMs and is not safe for concurrent use. The zero value is empty.
type Tally struct {
	entries map[string]*entry
	// lasting states that decisions are stored with their crashes, so that all VMs know which requests are on probation and report their
	// answers. Crashes then count without a limit of time, and else until maxRefusal after the last one.
	lasting bool
}

// entry holds the crashes of one request. Without a refusal, a request with crashesToRefuse crashes or more is on probation: its
// crashes count until an upstream has answered it.
type entry struct {
	crashes []Crash // the first crashesToKeep ones
	// assumed is the number of crashes before those, if an earlier leader has not stored them.
	assumed   int
	lastCrash time.Time
	refused   bool
	// refusedUntil is the end of the refusal, or zero if it has none.
	refusedUntil time.Time
}

// count returns the number of crashes that count.
func (ent *entry) count() int { return ent.assumed + len(ent.crashes) }

// refuse begins a refusal at a time.
func (ent *entry) refuse(at time.Time, lasting bool) {
	ent.refused, ent.refusedUntil = true, time.Time{}
	if !lasting || ent.count() < crashesToKeep {
		ent.refusedUntil = at.Add(refusalTime(ent.count()))
	}
}

// decided reports whether the request is refused or on probation.
func (ent *entry) decided() bool { return ent.refused || ent.count() >= crashesToRefuse }

// compareNeed orders entries by how much is lost without them: by refusal, the number of crashes, and the time of the last one.
func compareNeed(one, other *entry) int {
	if one.refused != other.refused {
		if other.refused {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(one.count(), other.count()), one.lastCrash.Compare(other.lastCrash))
}

// Record is what an earlier leader has decided on a request.
type Record struct {
	// Crashes are the crashes that the decision is based on. Empty: they are not known.
	Crashes []Crash
	// Refused states that the request is refused. Otherwise, it is on probation.
	Refused bool
	// Since is when this VM learned of the decision, by its own clock.
	Since time.Time
}

// RecordCrash records a crash while a request was in flight, and reports whether the request has to be refused. It returns false for a
// crash that has been reported before, and for a request that is refused without a limit of time. Crashes during a refusal don't
// count: the request was in flight before, and many upstreams may have ended at once for another reason.
func (tal *Tally) RecordCrash(now time.Time, digest string, cra Crash) bool {
	if tal.entries == nil {
		tal.entries = map[string]*entry{}
	}
	ent := tal.entries[digest]
	if ent == nil {
		tal.makeRoom()
		ent = &entry{}
		tal.entries[digest] = ent
	}
	if slices.Contains(ent.crashes, cra) || ent.refused && ent.refusedUntil.IsZero() {
		return false
	}
	ent.lastCrash = now
	if ent.refused {
		return true
	}
	if len(ent.crashes) < crashesToKeep {
		ent.crashes = append(ent.crashes, cra)
	}
	if ent.count() < crashesToRefuse {
		return false
	}
	ent.refuse(now, tal.lasting)
	return true
}

// refusalTime returns how long a request is refused after a number of crashes, of which crashesToKeep count at most.
func refusalTime(crashes int) time.Duration {
	length := minRefusal
	for range crashes - crashesToRefuse {
		length *= refusalGrowth
	}
	return min(length, maxRefusal)
}

// SetLasting makes crashes count without a limit of time, also those of requests that are refused or on probation already.
func (tal *Tally) SetLasting() {
	tal.lasting = true
	for _, ent := range tal.entries {
		if ent.refused && ent.count() >= crashesToKeep {
			ent.refusedUntil = time.Time{}
		}
	}
}

// Crashes returns the first crashes of a request, in order.
func (tal *Tally) Crashes(digest string) []Crash {
	if ent := tal.entries[digest]; ent != nil {
		return slices.Clone(ent.crashes)
	}
	return nil
}

// Decisions returns the requests that are refused or on probation, by digest, and whether they are refused.
func (tal *Tally) Decisions() map[string]bool {
	all := map[string]bool{}
	for digest, ent := range tal.entries {
		if ent.decided() {
			all[digest] = ent.refused
		}
	}
	return all
}

// Clear drops a request that an upstream has answered, and reports whether it was refused or on probation.
func (tal *Tally) Clear(digest string) bool {
	ent := tal.entries[digest]
	delete(tal.entries, digest)
	return ent != nil && ent.decided()
}

// EndExpired ends the refusals whose time is over and returns their requests, which are on probation then.
func (tal *Tally) EndExpired(now time.Time) []string {
	var ended []string
	for digest, ent := range tal.entries {
		switch {
		case ent.refused && !ent.refusedUntil.IsZero() && !now.Before(ent.refusedUntil):
			ent.refused = false
			ended = append(ended, digest)
		case !ent.refused && !tal.lasting && now.Sub(ent.lastCrash) > maxRefusal:
			delete(tal.entries, digest)
		}
	}
	return ended
}

// Adopt adds a request on which an earlier leader has decided. A request that is known already is not changed.
func (tal *Tally) Adopt(digest string, rec Record) {
	if tal.entries == nil {
		tal.entries = map[string]*entry{}
	}
	if tal.entries[digest] != nil {
		return
	}
	ent := &entry{
		crashes:   slices.Clone(rec.Crashes[:min(len(rec.Crashes), crashesToKeep)]),
		lastCrash: rec.Since,
	}
	if len(ent.crashes) == 0 {
		ent.assumed = crashesToRefuse
	}
	if rec.Refused {
		ent.refuse(rec.Since, tal.lasting)
	}
	tal.entries[digest] = ent
}

// makeRoom drops the request that is needed least if there are DefaultMaxSuspects requests or more.
func (tal *Tally) makeRoom() {
	if len(tal.entries) < DefaultMaxSuspects {
		return
	}
	victim := ""
	for digest, ent := range tal.entries {
		if best := tal.entries[victim]; best == nil || compareNeed(ent, best) < 0 {
			victim = digest
		}
	}
	delete(tal.entries, victim)
}

package fpdirectory

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// endedReleaseMemory is how long a release is remembered after its end, at least. It is longer than the keeper counts with a release that
// got no answer.
const endedReleaseMemory = 30 * time.Second

// EndedRelease is a range that was being released until a change replaced it. Whether the holder answered the last order to release
// it is known only to the leader of that time.
type EndedRelease struct {
	Service string
	Range   *fpstate.Range
	// At is when this VM applied the change, or restored a snapshot that has the release or may hide it.
	At time.Time
}

// EndedReleases returns the releases that have ended a short time ago, and perhaps older ones.
func (dir *Directory) EndedReleases() []EndedRelease {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	return slices.Clone(dir.endedReleases)
}

// recentlyEnded returns the releases that have ended within endedReleaseMemory, for a snapshot, or nil if a snapshot hides some of that
// time.
func (dir *Directory) recentlyEnded(now time.Time) *fpstate.EndedReleases {
	dir.mutex.RLock()
	hiddenAt := dir.hiddenAt
	dir.mutex.RUnlock()
	if !hiddenAt.IsZero() && now.Sub(hiddenAt) <= endedReleaseMemory {
		return nil
	}
	all := &fpstate.EndedReleases{}
	for _, end := range dir.EndedReleases() {
		if now.Sub(end.At) <= endedReleaseMemory {
			all.Releases = append(all.Releases, &fpstate.EndedRelease{
				Service: end.Service,
				Range:   end.Range,
			})
		}
	}
	return all
}

// restoreEndedReleases records the releases that a snapshot has. One of an older build may hide releases of any of its ranges. The
// caller holds the mutex.
func (dir *Directory) restoreEndedReleases(now time.Time, snapshot *fpstate.WatchResponse) {
	for _, end := range snapshot.GetEndedReleases().GetReleases() {
		dir.recordEndedReleases(now, end.GetService(), []*fpstate.Range{end.GetRange()})
	}
	if snapshot.GetEndedReleases() != nil {
		return
	}
	dir.hiddenAt = now
	for _, spa := range dir.spaces {
		dir.recordEndedReleases(now, spa.GetService(), spa.GetRanges())
	}
}

// recordEndedReleases adds releases and deletes old ones. The caller holds the mutex.
func (dir *Directory) recordEndedReleases(now time.Time, service string, ranges []*fpstate.Range) {
	if len(ranges) == 0 {
		return
	}
	dir.endedReleases = slices.DeleteFunc(dir.endedReleases, func(end EndedRelease) bool { return now.Sub(end.At) > endedReleaseMemory })
	for _, ran := range ranges {
		dir.endedReleases = append(dir.endedReleases, EndedRelease{
			Service: service,
			Range:   ran,
			At:      now,
		})
	}
}

// OverlappingReleases returns the ranges that are being released and that one overlaps.
func OverlappingReleases(ranges []*fpstate.Range, one *fpstate.Range) []*fpstate.Range {
	var found []*fpstate.Range
	for _, ran := range ranges {
		if ran.GetPhase() == fpstate.Phase_PHASE_RELEASING && ran.GetLast() >= one.GetFirst() && ran.GetFirst() <= one.GetLast() {
			found = append(found, ran)
		}
	}
	return found
}

// FormerIncarnations returns the incarnation before the newest of each upstream, as far as this VM has applied the announcements of both.
func (dir *Directory) FormerIncarnations() []*fpstate.Upstream {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	return slices.Collect(maps.Values(dir.formers))
}

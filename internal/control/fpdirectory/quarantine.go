package fpdirectory

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// maxQuarantines bounds the number of quarantines that the directory holds, including lifted ones.
const maxQuarantines = 512

// QuarantineRecord is a quarantine, and when this VM applied its last change, by its own clock.
type QuarantineRecord struct {
	Quarantine *fpstate.Quarantine
	Since      time.Time
}

// applyQuarantine starts or lifts the quarantine of a request, or changes its crashes, and reports whether the state changed. Beyond
// maxQuarantines, it deletes the one that is needed least.
func (dir *Directory) applyQuarantine(index uint64, qua *fpstate.Quarantine) bool {
	old := dir.quarantines[qua.GetDigest()]
	if dir.level < LevelCrashes {
		qua.Crashes = nil
	}
	if sameQuarantine(old, qua) {
		return false
	}
	qua.Modified = index
	dir.quarantines[qua.GetDigest()] = qua
	dir.quarantinedAt[qua.GetDigest()] = time.Now()
	if len(dir.quarantines) > maxQuarantines {
		digest := dir.leastNeededQuarantine()
		delete(dir.quarantines, digest)
		delete(dir.quarantinedAt, digest)
	}
	return true
}

// sameQuarantine reports whether a quarantine says the same as the former one of the request, or nil. A request without a quarantine is
// like one whose quarantine is lifted and that has no crashes.
func sameQuarantine(old, qua *fpstate.Quarantine) bool {
	if old == nil {
		return qua.GetLifted() && len(qua.GetCrashes()) == 0
	}
	return old.GetLifted() == qua.GetLifted() && slices.EqualFunc(old.GetCrashes(), qua.GetCrashes(),
		func(one, other *fpstate.Incarnation) bool { return proto.Equal(one, other) })
}

// leastNeededQuarantine returns the digest of a quarantine that is lifted, or of any if none is; of those the one with the fewest crashes,
// and of these the one that changed least recently.
func (dir *Directory) leastNeededQuarantine() string {
	var all []*fpstate.Quarantine
	for _, qua := range dir.quarantines {
		all = append(all, qua)
	}
	return slices.MinFunc(all, func(one, other *fpstate.Quarantine) int {
		if one.GetLifted() != other.GetLifted() {
			if one.GetLifted() {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(one.GetCrashes()), len(other.GetCrashes())), compareUint(one.GetModified(), other.GetModified()))
	}).GetDigest()
}

// counts reports whether a quarantine matters: the request is refused, or its crashes count.
func counts(qua *fpstate.Quarantine) bool { return !qua.GetLifted() || len(qua.GetCrashes()) > 0 }

// restoreQuarantines replaces the quarantines by those of a snapshot. Of a quarantine that is known already it keeps the time at which
// this VM learned of it.
func (dir *Directory) restoreQuarantines(now time.Time, all []*fpstate.Quarantine) {
	quarantines, quarantinedAt := map[string]*fpstate.Quarantine{}, map[string]time.Time{}
	for _, qua := range all {
		digest := qua.GetDigest()
		quarantines[digest], quarantinedAt[digest] = qua, now
		if old := dir.quarantines[digest]; old != nil && old.GetModified() == qua.GetModified() {
			quarantinedAt[digest] = dir.quarantinedAt[digest]
		}
	}
	dir.quarantines, dir.quarantinedAt = quarantines, quarantinedAt
}

// Quarantines returns the quarantines that count: of requests that are refused, or that have crashes, by digest in ascending order. They
// must not be changed.
func (dir *Directory) Quarantines() []QuarantineRecord {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	var all []QuarantineRecord
	for digest, qua := range dir.quarantines {
		if counts(qua) {
			all = append(all, QuarantineRecord{
				Quarantine: qua,
				Since:      dir.quarantinedAt[digest],
			})
		}
	}
	slices.SortFunc(all, func(one, other QuarantineRecord) int {
		return strings.Compare(one.Quarantine.GetDigest(), other.Quarantine.GetDigest())
	})
	return all
}

// Quarantine returns the quarantine of a request if it counts, or nil. It must not be changed.
func (dir *Directory) Quarantine(digest string) *fpstate.Quarantine {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	if qua := dir.quarantines[digest]; qua != nil && counts(qua) {
		return qua
	}
	return nil
}

// Quarantined returns the digests of the requests that are refused, in ascending order.
func (dir *Directory) Quarantined() []string {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	var all []string
	for digest, qua := range dir.quarantines {
		if !qua.GetLifted() {
			all = append(all, digest)
		}
	}
	slices.Sort(all)
	return all
}

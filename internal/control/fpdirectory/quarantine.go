package fpdirectory

import (
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

// leastNeededQuarantine returns the digest of the quarantine that changed least recently, of those that are lifted and have no crashes. If
// there is none, it chooses from those that are lifted, and else from all.
func (dir *Directory) leastNeededQuarantine() string {
	var all []*fpstate.Quarantine
	for _, qua := range dir.quarantines {
		all = append(all, qua)
	}
	return slices.MinFunc(all, func(one, other *fpstate.Quarantine) int {
		if need := quarantineNeed(one) - quarantineNeed(other); need != 0 {
			return need
		}
		return compareUint(one.GetModified(), other.GetModified())
	}).GetDigest()
}

// quarantineNeed returns how much a quarantine is needed: 2 if the request is refused, 1 if only its crashes count, 0 otherwise.
func quarantineNeed(qua *fpstate.Quarantine) int {
	switch {
	case !qua.GetLifted():
		return 2
	case len(qua.GetCrashes()) > 0:
		return 1
	default:
		return 0
	}
}

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
		if quarantineNeed(qua) > 0 {
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
	if qua := dir.quarantines[digest]; qua != nil && quarantineNeed(qua) > 0 {
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

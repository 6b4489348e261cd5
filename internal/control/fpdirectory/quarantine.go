package fpdirectory

import (
	"slices"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// maxQuarantines bounds the number of quarantines that the directory holds, including lifted ones.
const maxQuarantines = 512

// applyQuarantine starts or lifts the quarantine of a request and reports whether the state changed. Beyond maxQuarantines,
// it deletes the oldest lifted quarantine, or the oldest one if none is lifted.
func (dir *Directory) applyQuarantine(index uint64, qua *fpstate.Quarantine) bool {
	old := dir.quarantines[qua.GetDigest()]
	if old == nil && qua.GetLifted() || old != nil && old.GetLifted() == qua.GetLifted() {
		return false
	}
	qua.Modified = index
	dir.quarantines[qua.GetDigest()] = qua
	if len(dir.quarantines) > maxQuarantines {
		delete(dir.quarantines, dir.oldestQuarantine())
	}
	return true
}

// oldestQuarantine returns the digest of the lifted quarantine that changed least recently. If none is lifted, it returns
// that of the quarantine that changed least recently.
func (dir *Directory) oldestQuarantine() string {
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
		return compareUint(one.GetModified(), other.GetModified())
	}).GetDigest()
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

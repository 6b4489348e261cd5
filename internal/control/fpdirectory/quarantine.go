package fpdirectory

import (
	"slices"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// maxQuarantines is the number of refused requests that the directory holds, with those that are not refused any more.
const maxQuarantines = 512

// quarantine takes a request that is to be refused from now on, or no more.
func (dir *Directory) quarantine(index uint64, qua *fpstate.Quarantine) bool {
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

// oldestQuarantine returns the digest that changed first, one that is not refused any more if there is any.
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

// Quarantined returns the digests of the requests that are refused.
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

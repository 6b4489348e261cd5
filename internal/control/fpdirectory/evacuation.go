package fpdirectory

import (
	"slices"
	"strings"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// Levels of the log. An entry of a kind that needs a level has no effect until a Command.level with at least that level is applied.
// Builds that do not know the kind ignore it, so that all members must know it before the level is committed.
const (
	// LevelEvacuation is the level that evacuations of data centres need.
	LevelEvacuation = 1
	// LevelCrashes is the level that the crashes of quarantines need.
	LevelCrashes = 2
	// KnownLevel is the highest level that this build knows.
	KnownLevel = LevelCrashes
)

// maxEvacuations bounds the records of data centres. Orders for further data centres have no effect.
const maxEvacuations = 1024

// applyLevel raises the level, and reports whether it did. The level never decreases.
func (dir *Directory) applyLevel(index uint64, lev *fpstate.Level) bool {
	if lev.GetLevel() <= dir.level {
		return false
	}
	dir.level = lev.GetLevel()
	dir.levelIndex = index
	return true
}

// tookEffect is the result of an order that took effect.
var tookEffect = []byte{1}

// OrderTookEffect reports whether an order to evacuate a data centre took effect, by the result of Apply.
func OrderTookEffect(result []byte) bool { return len(result) > 0 }

// applyEvacuation starts or ends the evacuation of a data centre. It reports whether entry VMs have to know, and returns the result of
// Apply. An order has no effect if the level is missing, or if another order has taken effect since it was decided. One whose requested
// state is in effect already takes effect, too: earlier orders that are still on their way then have no effect any more.
func (dir *Directory) applyEvacuation(index uint64, ord *fpstate.EvacuationOrder) (changed bool, result []byte) {
	old := dir.evacuations[ord.GetDataCentre()]
	if dir.level < LevelEvacuation || old.GetDecided() != ord.GetExpected() || old == nil && len(dir.evacuations) >= maxEvacuations {
		return false, nil
	}
	next := &fpstate.Evacuation{
		DataCentre: ord.GetDataCentre(),
		Active:     ord.GetActive(),
		Modified:   old.GetModified(),
		Decided:    index,
	}
	if old.GetActive() != ord.GetActive() {
		changed = true
		next.Modified = index
	}
	dir.evacuations[ord.GetDataCentre()] = next
	return changed, tookEffect
}

// Evacuations returns the records of all data centres for which an order has taken effect, ordered by name.
func (dir *Directory) Evacuations() []*fpstate.Evacuation {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	var all []*fpstate.Evacuation
	for _, eva := range dir.evacuations {
		all = append(all, eva)
	}
	slices.SortFunc(all, func(one, other *fpstate.Evacuation) int {
		return strings.Compare(one.GetDataCentre(), other.GetDataCentre())
	})
	return all
}

// Evacuation returns the record of a data centre, or nil if no order for it has taken effect.
func (dir *Directory) Evacuation(dataCentre string) *fpstate.Evacuation {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	return dir.evacuations[dataCentre]
}

// Evacuated reports whether the evacuation of a data centre is in effect.
func (dir *Directory) Evacuated(dataCentre string) bool {
	return dir.Evacuation(dataCentre).GetActive()
}

// Level returns the highest level that has been committed, or 0.
func (dir *Directory) Level() uint32 {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	return dir.level
}

// Package fpdirectory implements the replicated state of a deployment with HTTP routes: the configuration, the upstreams that
// have announced themselves, the ranges of keys that they hold, the quarantined requests, and the evacuated data centres.
package fpdirectory

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// maxTombstones bounds the number of upstreams that have left and are kept in the directory, so that late announcements don't
// bring them back. An announcement is late by seconds, in which far fewer upstreams leave.
const maxTombstones = 1024

// Directory implements fpgroup.Machine. Use New to create one. It is safe for concurrent use. The messages that it returns
// are shared and must not be changed.
type Directory struct {
	mutex       sync.RWMutex
	index       uint64 // index of the last applied log entry
	config      *fpstate.Configuration
	configIndex uint64                       // index of the log entry with the configuration
	upstreams   map[string]*fpstate.Upstream // by id, with tombstones of those that have left
	spaces      map[string]*fpstate.KeySpace // by service
	// quarantines are the requests that are or were refused, by digest.
	quarantines map[string]*fpstate.Quarantine
	// quarantinedAt is when this VM applied the last change of each of them. It is not part of the replicated state.
	quarantinedAt map[string]time.Time
	// evacuations are the data centres that are or were evacuated, by name.
	evacuations map[string]*fpstate.Evacuation
	lastFence   uint64
	// level is the highest kind of log entry that has an effect, and levelIndex the index of the log entry that last raised it.
	level      uint32
	levelIndex uint64
	changed    chan struct{} // closed and replaced at each change
	// endedReleases, hiddenAt and formers are not parts of the replicated state. formers holds the incarnations before the newest, by id.
	endedReleases []EndedRelease
	// hiddenAt is when a snapshot was last restored that does not tell which releases have ended, or zero.
	hiddenAt time.Time
	formers  map[string]*fpstate.Upstream
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		upstreams:   map[string]*fpstate.Upstream{},
		spaces:      map[string]*fpstate.KeySpace{},
		quarantines: map[string]*fpstate.Quarantine{},

		quarantinedAt: map[string]time.Time{},
		evacuations:   map[string]*fpstate.Evacuation{},
		changed:       make(chan struct{}),
		formers:       map[string]*fpstate.Upstream{},
	}
}

// Apply applies a command. A command that cannot be unmarshaled or has no effect only advances the index. The result is nil, but
// for an order to evacuate a data centre that took effect; see OrderTookEffect.
func (dir *Directory) Apply(pos fpgroup.Position, command []byte) []byte {
	com := &fpstate.Command{}
	err := proto.Unmarshal(command, com)
	dir.mutex.Lock()
	defer dir.mutex.Unlock()
	dir.index = pos.Index
	if err != nil {
		return nil
	}
	changed, result := false, []byte(nil)
	switch body := com.GetBody().(type) {
	case *fpstate.Command_Put:
		changed = dir.applyConfiguration(pos.Index, body.Put)
	case *fpstate.Command_Announce:
		changed = dir.applyAnnouncement(pos.Index, body.Announce)
	case *fpstate.Command_Depart:
		changed = dir.applyDeparture(pos.Index, body.Depart)
	case *fpstate.Command_Change:
		changed = dir.applyRangeChange(pos, body.Change)
	case *fpstate.Command_Quarantine:
		changed = dir.applyQuarantine(pos.Index, body.Quarantine)
	case *fpstate.Command_Level:
		changed = dir.applyLevel(pos.Index, body.Level)
	case *fpstate.Command_Evacuate:
		changed, result = dir.applyEvacuation(pos.Index, body.Evacuate)
	}
	if changed {
		close(dir.changed)
		dir.changed = make(chan struct{})
	}
	return result
}

// applyConfiguration stores a configuration if its revision is higher than the current one, and reports whether it did.
func (dir *Directory) applyConfiguration(index uint64, cfg *fpstate.Configuration) bool {
	if dir.config != nil && cfg.GetRevision() <= dir.config.GetRevision() {
		return false
	}
	dir.config = cfg
	dir.configIndex = index
	return true
}

// applyAnnouncement stores the announcement of an upstream, and reports whether the state changed. It has no effect if a later
// incarnation is known under the upstream's id or at its address, if this incarnation has left, or if nothing is new. Other
// upstreams at the address that did not start later are removed.
func (dir *Directory) applyAnnouncement(index uint64, ups *fpstate.Upstream) bool {
	old := dir.upstreams[ups.GetId()]
	if old != nil && (old.GetBorn() > ups.GetBorn() || old.GetBorn() == ups.GetBorn() && (old.GetGone() || SameAnnouncement(old, ups))) {
		return false
	}
	for _, other := range dir.upstreams {
		if other.GetId() == ups.GetId() || other.GetGone() || other.GetAddress() != ups.GetAddress() {
			continue
		}
		if other.GetBorn() > ups.GetBorn() {
			return false
		}
		dir.recordRemoval(index, other)
	}
	if old != nil && old.GetBorn() == ups.GetBorn() && old.GetLeaving() {
		ups.Leaving = true
	}
	if old != nil && old.GetBorn() != ups.GetBorn() {
		dir.formers[ups.GetId()] = old
	}
	ups.Modified = index
	dir.upstreams[ups.GetId()] = ups
	return true
}

// SameAnnouncement reports whether announcement other of the same incarnation adds nothing to announcement one. If one says that
// the upstream is leaving, other may say so or not, because leaving is never undone.
func SameAnnouncement(one, other *fpstate.Upstream) bool {
	return one.GetBorn() == other.GetBorn() && one.GetService() == other.GetService() && one.GetAddress() == other.GetAddress() &&
		one.GetDataCentre() == other.GetDataCentre() && one.GetVersion() == other.GetVersion() &&
		one.GetConcurrency() == other.GetConcurrency() && (one.GetLeaving() || !other.GetLeaving())
}

// applyDeparture removes an upstream that has left, and reports whether the state changed. Born 0 stands for any incarnation.
func (dir *Directory) applyDeparture(index uint64, dep *fpstate.Departure) bool {
	old := dir.upstreams[dep.GetId()]
	if old == nil || old.GetGone() || dep.GetBorn() != 0 && old.GetBorn() != dep.GetBorn() {
		return false
	}
	dir.recordRemoval(index, old)
	return true
}

// UnknownDeparture returns the commands that leave a tombstone of an incarnation that has departed before it is known: a placeholder
// for its announcement, which gets neither requests nor orders, and the departure. Earlier builds apply them alike.
func UnknownDeparture(dep *fpstate.Departure) []*fpstate.Command {
	return []*fpstate.Command{
		{
			Body: &fpstate.Command_Announce{
				Announce: &fpstate.Upstream{
					Id:      dep.GetId(),
					Born:    dep.GetBorn(),
					Address: dep.GetId(), // of no other upstream
					Leaving: true,
				},
			},
		},
		{
			Body: &fpstate.Command_Depart{
				Depart: dep,
			},
		},
	}
}

// recordRemoval replaces an upstream by a tombstone. Beyond maxTombstones, it deletes the oldest tombstone.
func (dir *Directory) recordRemoval(index uint64, old *fpstate.Upstream) {
	tombstone := proto.CloneOf(old)
	tombstone.Gone = true
	tombstone.Modified = index
	dir.upstreams[tombstone.GetId()] = tombstone
	var all []*fpstate.Upstream
	for _, ups := range dir.upstreams {
		if ups.GetGone() {
			all = append(all, ups)
		}
	}
	if len(all) <= maxTombstones {
		return
	}
	oldest := slices.MinFunc(all, func(one, other *fpstate.Upstream) int {
		return compareUint(one.GetModified(), other.GetModified())
	})
	delete(dir.upstreams, oldest.GetId())
	delete(dir.formers, oldest.GetId())
}

func compareUint(one, other uint64) int {
	switch {
	case one < other:
		return -1
	case one > other:
		return 1
	default:
		return 0
	}
}

// applyRangeChange replaces ranges of a service, and reports whether the change took effect. A change that was decided in a
// term other than that of its log entry has no effect, because the next leader may have decided differently in the meantime.
func (dir *Directory) applyRangeChange(pos fpgroup.Position, cha *fpstate.RangeChange) bool {
	if cha.GetTerm() != pos.Term {
		return false
	}
	index := pos.Index
	var old []*fpstate.Range
	if spa := dir.spaces[cha.GetService()]; spa != nil {
		old = spa.GetRanges()
	}
	ranges := old
	for _, ran := range cha.GetRanges() {
		if ran.GetFence() == 0 {
			dir.lastFence++
			ran.Fence = dir.lastFence
		}
		ran.Modified = index
		dir.recordEndedReleases(time.Now(), cha.GetService(), OverlappingReleases(ranges, ran))
		ranges = ReplaceRange(ranges, ran)
	}
	dir.spaces[cha.GetService()] = &fpstate.KeySpace{
		Service:  cha.GetService(),
		Ranges:   ranges,
		Modified: index,
	}
	return true
}

// ReplaceRange returns a copy of ordered ranges in which one range replaces all keys that it overlaps. The remainders of
// overlapped ranges keep their holder and fence.
func ReplaceRange(ranges []*fpstate.Range, one *fpstate.Range) []*fpstate.Range {
	next := make([]*fpstate.Range, 0, len(ranges)+2)
	for _, old := range ranges {
		if old.GetLast() < one.GetFirst() || old.GetFirst() > one.GetLast() {
			next = append(next, old)
			continue
		}
		if old.GetFirst() < one.GetFirst() {
			left := proto.CloneOf(old)
			left.Last = one.GetFirst() - 1
			next = append(next, left)
		}
		if old.GetLast() > one.GetLast() {
			right := proto.CloneOf(old)
			right.First = one.GetLast() + 1
			next = append(next, right)
		}
	}
	next = append(next, one)
	slices.SortFunc(next, func(one, other *fpstate.Range) int { return int(one.GetFirst()) - int(other.GetFirst()) })
	return next
}

// FindRange returns the range that contains a key, or nil. The ranges must be ordered and must not overlap.
func FindRange(ranges []*fpstate.Range, key uint32) *fpstate.Range {
	pos, _ := slices.BinarySearchFunc(ranges, key, func(ran *fpstate.Range, key uint32) int {
		return int(ran.GetLast()) - int(key)
	})
	if pos == len(ranges) || ranges[pos].GetFirst() > key {
		return nil
	}
	return ranges[pos]
}

// Snapshot returns the marshaled state. The error is of kind Internal.
func (dir *Directory) Snapshot() ([]byte, error) {
	sta, index := dir.Since(0)
	buf, err := proto.Marshal(&fpstate.WatchResponse{
		State:         sta,
		Index:         index,
		EndedReleases: dir.recentlyEnded(time.Now()),
	})
	if err != nil {
		return nil, fperror.Wrap(fperror.Internal, err, "marshal the state of the directory")
	}
	return buf, nil
}

// Restore replaces the state by that of a snapshot. The error is of kind StorageFailed if the snapshot cannot be unmarshaled;
// the state then stays as it was.
func (dir *Directory) Restore(snapshot []byte) error {
	all := &fpstate.WatchResponse{}
	if err := proto.Unmarshal(snapshot, all); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "unmarshal the state of the directory")
	}
	dir.mutex.Lock()
	defer dir.mutex.Unlock()
	sta := all.GetState()
	dir.index = all.GetIndex()
	dir.config = sta.GetConfiguration()
	dir.configIndex = sta.GetConfigurationModified()
	dir.lastFence = sta.GetLastFence()
	dir.upstreams = map[string]*fpstate.Upstream{}
	dir.formers = map[string]*fpstate.Upstream{}
	for _, ups := range sta.GetUpstreams() {
		dir.upstreams[ups.GetId()] = ups
	}
	dir.restoreQuarantines(time.Now(), sta.GetQuarantines())
	dir.evacuations = map[string]*fpstate.Evacuation{}
	for _, eva := range sta.GetEvacuations() {
		dir.evacuations[eva.GetDataCentre()] = eva
	}
	dir.level = sta.GetLevel()
	dir.levelIndex = sta.GetLevelModified()
	dir.spaces = map[string]*fpstate.KeySpace{}
	for _, spa := range sta.GetKeySpaces() {
		dir.spaces[spa.GetService()] = spa
	}
	dir.restoreEndedReleases(time.Now(), all)
	close(dir.changed)
	dir.changed = make(chan struct{})
	return nil
}

// Since returns the part of the state that changed after the log entry with the given index, and the index of the last
// applied entry. Since(0) returns the whole state.
func (dir *Directory) Since(after uint64) (*fpstate.State, uint64) {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	sta := &fpstate.State{
		LastFence: dir.lastFence,
	}
	if dir.configIndex > after {
		sta.Configuration = dir.config
		sta.ConfigurationModified = dir.configIndex
	}
	for _, ups := range dir.upstreams {
		if ups.GetModified() > after {
			sta.Upstreams = append(sta.Upstreams, ups)
		}
	}
	for _, qua := range dir.quarantines {
		if qua.GetModified() > after {
			sta.Quarantines = append(sta.Quarantines, qua)
		}
	}
	for _, eva := range dir.evacuations {
		// A record that no order has changed yet is only in the whole state, which snapshots are made of.
		if eva.GetModified() > after || after == 0 {
			sta.Evacuations = append(sta.Evacuations, eva)
		}
	}
	if dir.levelIndex > after {
		sta.Level = dir.level
		sta.LevelModified = dir.levelIndex
	}
	for _, spa := range dir.spaces {
		if spa.GetModified() > after {
			sta.KeySpaces = append(sta.KeySpaces, changedRanges(spa, after))
		}
	}
	return sta, dir.index
}

// changedRanges returns a key space with the ranges that changed after an index, marked as partial, or the whole key space if
// the index is 0.
func changedRanges(spa *fpstate.KeySpace, after uint64) *fpstate.KeySpace {
	if after == 0 {
		return spa
	}
	part := &fpstate.KeySpace{
		Service:  spa.GetService(),
		Modified: spa.GetModified(),
		Partial:  true,
	}
	for _, ran := range spa.GetRanges() {
		if ran.GetModified() > after {
			part.Ranges = append(part.Ranges, ran)
		}
	}
	return part
}

// MergeKeySpace applies to a key space the changes that Since returned for the index up to which the key space is known. A
// change that is not partial replaces the key space. Both arguments stay unchanged.
func MergeKeySpace(old, change *fpstate.KeySpace) *fpstate.KeySpace {
	if !change.GetPartial() {
		return change
	}
	ranges := old.GetRanges()
	for _, ran := range change.GetRanges() {
		ranges = ReplaceRange(ranges, ran)
	}
	return &fpstate.KeySpace{
		Service:  change.GetService(),
		Ranges:   ranges,
		Modified: change.GetModified(),
	}
}

// IsEmpty reports whether a state that Since returned contains no change.
func IsEmpty(sta *fpstate.State) bool {
	return sta.GetConfiguration() == nil && len(sta.GetUpstreams()) == 0 && len(sta.GetKeySpaces()) == 0 && len(sta.GetQuarantines()) == 0 &&
		len(sta.GetEvacuations()) == 0 && sta.GetLevelModified() == 0
}

// Changed returns a channel that is closed at the next change.
func (dir *Directory) Changed() <-chan struct{} {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	return dir.changed
}

// Index returns the index of the last applied entry.
func (dir *Directory) Index() uint64 {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	return dir.index
}

// Configuration returns the newest configuration, or nil if there is none yet.
func (dir *Directory) Configuration() *fpstate.Configuration {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	return dir.config
}

// Upstream returns the newest known incarnation of an upstream, which may be a tombstone, or nil if the id is unknown.
func (dir *Directory) Upstream(id string) *fpstate.Upstream {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	return dir.upstreams[id]
}

// AtAddress returns the upstream with an address that has not left, or nil.
func (dir *Directory) AtAddress(address string) *fpstate.Upstream {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	for _, ups := range dir.upstreams {
		if !ups.GetGone() && ups.GetAddress() == address {
			return ups
		}
	}
	return nil
}

// Upstreams returns the upstreams of a service that have not left, ordered by id. An empty service stands for all services.
func (dir *Directory) Upstreams(service string) []*fpstate.Upstream {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	var all []*fpstate.Upstream
	for _, ups := range dir.upstreams {
		if !ups.GetGone() && (service == "" || ups.GetService() == service) {
			all = append(all, ups)
		}
	}
	slices.SortFunc(all, func(one, other *fpstate.Upstream) int {
		if one.GetId() < other.GetId() {
			return -1
		}
		return 1
	})
	return all
}

// Ranges returns the ranges of a service, ordered by their first keys, or nil if the service is unknown.
func (dir *Directory) Ranges(service string) []*fpstate.Range {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	return dir.spaces[service].GetRanges()
}

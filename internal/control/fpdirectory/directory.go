// Package fpdirectory is the replicated state of a deployment with HTTP routes: the configuration, the upstreams that have
// announced themselves, and the ranges of keys that they hold.
package fpdirectory

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// maxGone is the number of upstreams that have left which the directory remembers. An announcement is late by seconds, in
// which far fewer upstreams leave.
const maxGone = 1024

// Directory implements fpgroup.Machine. Use New to create one. It is safe for concurrent use. The messages that it returns
// are shared and must not be changed.
type Directory struct {
	mutex     sync.RWMutex
	index     uint64
	config    *fpstate.Configuration
	configAt  uint64
	upstreams map[string]*fpstate.Upstream
	spaces    map[string]*fpstate.KeySpace
	// quarantines are the requests that are or were refused, by digest.
	quarantines map[string]*fpstate.Quarantine
	lastFence   uint64
	changed     chan struct{} // closed and replaced at each change
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		upstreams:   map[string]*fpstate.Upstream{},
		spaces:      map[string]*fpstate.KeySpace{},
		quarantines: map[string]*fpstate.Quarantine{},
		changed:     make(chan struct{}),
	}
}

// Apply runs a command. A command that cannot be read changes nothing.
func (dir *Directory) Apply(pos fpgroup.Position, command []byte) []byte {
	com := &fpstate.Command{}
	err := proto.Unmarshal(command, com)
	dir.mutex.Lock()
	defer dir.mutex.Unlock()
	dir.index = pos.Index
	if err != nil {
		return nil
	}
	changed := false
	switch body := com.GetBody().(type) {
	case *fpstate.Command_Put:
		changed = dir.put(pos.Index, body.Put)
	case *fpstate.Command_Announce:
		changed = dir.announce(pos.Index, body.Announce)
	case *fpstate.Command_Depart:
		changed = dir.depart(pos.Index, body.Depart)
	case *fpstate.Command_Change:
		changed = dir.change(pos, body.Change)
	case *fpstate.Command_Quarantine:
		changed = dir.quarantine(pos.Index, body.Quarantine)
	}
	if changed {
		close(dir.changed)
		dir.changed = make(chan struct{})
	}
	return nil
}

// put takes a configuration with a higher revision.
func (dir *Directory) put(index uint64, cfg *fpstate.Configuration) bool {
	if dir.config != nil && cfg.GetRevision() <= dir.config.GetRevision() {
		return false
	}
	dir.config = cfg
	dir.configAt = index
	return true
}

// announce takes what an upstream says of itself, unless a later life is known under its id or at its address.
func (dir *Directory) announce(index uint64, ups *fpstate.Upstream) bool {
	old := dir.upstreams[ups.GetId()]
	if old != nil && (old.GetBorn() > ups.GetBorn() || old.GetBorn() == ups.GetBorn() && (old.GetGone() || Same(old, ups))) {
		return false
	}
	for _, other := range dir.upstreams {
		if other.GetId() == ups.GetId() || other.GetGone() || other.GetAddress() != ups.GetAddress() {
			continue
		}
		if other.GetBorn() > ups.GetBorn() {
			return false
		}
		dir.bury(index, other)
	}
	if old != nil && old.GetBorn() == ups.GetBorn() && old.GetLeaving() {
		ups.Leaving = true
	}
	ups.Modified = index
	dir.upstreams[ups.GetId()] = ups
	return true
}

// Same reports whether two announcements of one life say the same of what the directory stores.
func Same(one, other *fpstate.Upstream) bool {
	return one.GetBorn() == other.GetBorn() && one.GetService() == other.GetService() && one.GetAddress() == other.GetAddress() &&
		one.GetDataCentre() == other.GetDataCentre() && one.GetVersion() == other.GetVersion() &&
		one.GetConcurrency() == other.GetConcurrency() && (one.GetLeaving() || !other.GetLeaving())
}

// depart removes an upstream that has left.
func (dir *Directory) depart(index uint64, dep *fpstate.Departure) bool {
	old := dir.upstreams[dep.GetId()]
	if old == nil || old.GetGone() || dep.GetBorn() != 0 && old.GetBorn() != dep.GetBorn() {
		return false
	}
	dir.bury(index, old)
	return true
}

// bury marks an upstream as gone and forgets the oldest ones that are.
func (dir *Directory) bury(index uint64, old *fpstate.Upstream) {
	gone := proto.CloneOf(old)
	gone.Gone = true
	gone.Modified = index
	dir.upstreams[gone.GetId()] = gone
	var all []*fpstate.Upstream
	for _, ups := range dir.upstreams {
		if ups.GetGone() {
			all = append(all, ups)
		}
	}
	if len(all) <= maxGone {
		return
	}
	oldest := slices.MinFunc(all, func(one, other *fpstate.Upstream) int {
		return compareUint(one.GetModified(), other.GetModified())
	})
	delete(dir.upstreams, oldest.GetId())
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

// change replaces ranges of a service. A change that a leader decided whose term is over has no effect, because the next
// leader may have decided otherwise since.
func (dir *Directory) change(pos fpgroup.Position, cha *fpstate.RangeChange) bool {
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
		ranges = Replace(ranges, ran)
	}
	dir.spaces[cha.GetService()] = &fpstate.KeySpace{
		Service:  cha.GetService(),
		Ranges:   ranges,
		Modified: index,
	}
	return true
}

// Replace returns a copy of ordered ranges in which one range takes the place of all that it overlaps. What remains of
// those keeps its holder and fence.
func Replace(ranges []*fpstate.Range, one *fpstate.Range) []*fpstate.Range {
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

// Find returns the range of ordered ranges that holds a key, or nil.
func Find(ranges []*fpstate.Range, key uint32) *fpstate.Range {
	pos, _ := slices.BinarySearchFunc(ranges, key, func(ran *fpstate.Range, key uint32) int {
		return int(ran.GetLast()) - int(key)
	})
	if pos == len(ranges) || ranges[pos].GetFirst() > key {
		return nil
	}
	return ranges[pos]
}

// Snapshot returns the whole state.
func (dir *Directory) Snapshot() ([]byte, error) {
	sta, index := dir.Since(0)
	buf, err := proto.Marshal(&fpstate.WatchResponse{
		State: sta,
		Index: index,
	})
	if err != nil {
		return nil, fperror.Wrap(fperror.Internal, err, "write the state of the directory")
	}
	return buf, nil
}

// Restore replaces the whole state.
func (dir *Directory) Restore(snapshot []byte) error {
	all := &fpstate.WatchResponse{}
	if err := proto.Unmarshal(snapshot, all); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "read the state of the directory")
	}
	dir.mutex.Lock()
	defer dir.mutex.Unlock()
	sta := all.GetState()
	dir.index = all.GetIndex()
	dir.config = sta.GetConfiguration()
	dir.configAt = sta.GetConfigurationModified()
	dir.lastFence = sta.GetLastFence()
	dir.upstreams = map[string]*fpstate.Upstream{}
	for _, ups := range sta.GetUpstreams() {
		dir.upstreams[ups.GetId()] = ups
	}
	dir.quarantines = map[string]*fpstate.Quarantine{}
	for _, qua := range sta.GetQuarantines() {
		dir.quarantines[qua.GetDigest()] = qua
	}
	dir.spaces = map[string]*fpstate.KeySpace{}
	for _, spa := range sta.GetKeySpaces() {
		dir.spaces[spa.GetService()] = spa
	}
	close(dir.changed)
	dir.changed = make(chan struct{})
	return nil
}

// Since returns what changed after an index, and the index up to which the answer holds. Since(0) is the whole state.
func (dir *Directory) Since(after uint64) (*fpstate.State, uint64) {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	sta := &fpstate.State{
		LastFence: dir.lastFence,
	}
	if dir.configAt > after {
		sta.Configuration = dir.config
		sta.ConfigurationModified = dir.configAt
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
	for _, spa := range dir.spaces {
		if spa.GetModified() > after {
			sta.KeySpaces = append(sta.KeySpaces, changedRanges(spa, after))
		}
	}
	return sta, dir.index
}

// changedRanges returns the ranges that changed after an index, or all of them if the index is 0.
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

// Merge returns a key space with the changes of another one, which Since has returned for the position of the first.
func Merge(old, change *fpstate.KeySpace) *fpstate.KeySpace {
	if !change.GetPartial() {
		return change
	}
	ranges := old.GetRanges()
	for _, ran := range change.GetRanges() {
		ranges = Replace(ranges, ran)
	}
	return &fpstate.KeySpace{
		Service:  change.GetService(),
		Ranges:   ranges,
		Modified: change.GetModified(),
	}
}

// Empty reports whether a part of the state holds no change.
func Empty(sta *fpstate.State) bool {
	return sta.GetConfiguration() == nil && len(sta.GetUpstreams()) == 0 && len(sta.GetKeySpaces()) == 0 && len(sta.GetQuarantines()) == 0
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

// Configuration returns the newest configuration, or nil.
func (dir *Directory) Configuration() *fpstate.Configuration {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	return dir.config
}

// Upstream returns the newest life that is known under an id, or nil.
func (dir *Directory) Upstream(id string) *fpstate.Upstream {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	return dir.upstreams[id]
}

// AtAddress returns the upstream that has an address and has not left, or nil.
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

// Upstreams returns the upstreams of a service that have not left.
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

// Ranges returns the ranges of a service, ordered by their first keys.
func (dir *Directory) Ranges(service string) []*fpstate.Range {
	dir.mutex.RLock()
	defer dir.mutex.RUnlock()
	return dir.spaces[service].GetRanges()
}

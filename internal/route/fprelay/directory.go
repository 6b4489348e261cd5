// Package fprelay finds other entry VMs that can relay requests to upstreams for an entry VM that has lost its own paths.
// Directory, on control VMs, collects the entry VMs and picks some for each of them. Peers, on an entry VM, chooses one for a
// request.
package fprelay

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// retention is how long an entry VM is listed after it was last seen. A VM that has ended is found out by those that ask
	// it, so the time is long enough for a control VM to be replaced.
	retention = 15 * time.Second
	// rebuildInterval is the least time between two rebuilds of the list, which costs about a millisecond for 4,000 VMs.
	rebuildInterval = time.Second
)

// The largest numbers of relays that an entry VM gets from its own data centre, from others of its region, and altogether. If
// four in five VMs have lost their paths, all 24 have with a probability of 0.5%.
const (
	maxSameDataCentre = 10
	maxSameRegion     = 17
	maxRelays         = 24
)

// Directory collects the entry VMs that can relay requests. Use NewDirectory to create one. It is safe for concurrent use.
type Directory struct {
	mutex sync.Mutex
	// followers are the entry VMs that follow this control VM, and known all that it knows.
	followers map[string]seenEntry
	known     map[string]seenEntry
	// reported are the lists of followers that other control VMs have sent to this one as the leader.
	reported map[string]list
	// all is the list of known VMs as of builtAt, and picks holds the choice from it for each entry VM.
	all     list
	builtAt time.Time
	picks   map[string]list
}

// seenEntry is an entry VM and when it was last seen.
type seenEntry struct {
	entry *fpstate.EntryVM
	at    time.Time
}

// list is a list of entry VMs and its digest, which is 0 for an empty list.
type list struct {
	entries []*fpstate.EntryVM
	digest  uint64
	// hashes are those of the keys, in the list of all known VMs only.
	hashes []uint64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		followers: map[string]seenEntry{},
		known:     map[string]seenEntry{},
		reported:  map[string]list{},
		picks:     map[string]list{},
	}
}

// key identifies an entry VM at an address.
func key(ent *fpstate.EntryVM) string { return ent.GetVm() + " " + ent.GetAddress() }

// newList returns a sorted list of entry VMs that were seen since a time, and deletes the others.
func newList(since time.Time, seen map[string]seenEntry) list {
	var lis list
	for name, see := range seen {
		if see.at.Before(since) {
			delete(seen, name)
			continue
		}
		lis.entries = append(lis.entries, see.entry)
	}
	slices.SortFunc(lis.entries, func(one, other *fpstate.EntryVM) int { return cmp.Compare(key(one), key(other)) })
	lis.digest = digestOf(lis.entries)
	return lis
}

// digestOf returns the digest of a list of entry VMs; 0 stands for the empty list.
func digestOf(entries []*fpstate.EntryVM) uint64 {
	if len(entries) == 0 {
		return 0
	}
	hash := fnv.New64a()
	for _, ent := range entries {
		for _, text := range []string{ent.GetVm(), ent.GetAddress(), ent.GetDataCentre(), ent.GetRegion()} {
			_, _ = hash.Write([]byte(text)) // a hash never returns an error
			_, _ = hash.Write([]byte{0})
		}
	}
	return max(1, hash.Sum64())
}

// Follow records that an entry VM follows this control VM. One without an address cannot relay and is ignored.
func (dir *Directory) Follow(now time.Time, ent *fpstate.EntryVM) {
	if ent.GetAddress() == "" {
		return
	}
	dir.mutex.Lock()
	defer dir.mutex.Unlock()
	see := seenEntry{
		entry: ent,
		at:    now,
	}
	dir.followers[key(ent)] = see
	dir.known[key(ent)] = see
}

// Followers returns the entry VMs that follow this control VM and their digest.
func (dir *Directory) Followers(now time.Time) ([]*fpstate.EntryVM, uint64) {
	dir.mutex.Lock()
	defer dir.mutex.Unlock()
	lis := newList(now.Add(-retention), dir.followers)
	return lis.entries, lis.digest
}

// Report records the followers of another control VM and returns the digest of those that this VM holds for it. Without entries,
// the followers with the digest that were reported last are still there.
func (dir *Directory) Report(now time.Time, control string, entries []*fpstate.EntryVM, digest uint64) uint64 {
	dir.mutex.Lock()
	defer dir.mutex.Unlock()
	if len(entries) > 0 || digest == 0 {
		dir.reported[control] = list{
			entries: entries,
			digest:  digest,
		}
	}
	lis := dir.reported[control]
	if lis.digest == digest {
		dir.see(now, lis.entries)
	}
	return lis.digest
}

// see records that entry VMs were seen. The caller holds the mutex.
func (dir *Directory) see(now time.Time, entries []*fpstate.EntryVM) {
	for _, ent := range entries {
		dir.known[key(ent)] = seenEntry{
			entry: ent,
			at:    now,
		}
	}
}

// Learn records the entry VMs that the leader knows, and drops others unless they follow this control VM. Without entries, the
// leader knows the same ones.
func (dir *Directory) Learn(now time.Time, entries []*fpstate.EntryVM) {
	dir.mutex.Lock()
	defer dir.mutex.Unlock()
	if len(entries) == 0 {
		dir.see(now, dir.all.entries)
		return
	}
	listed := map[string]bool{}
	for _, ent := range entries {
		listed[key(ent)] = true
	}
	for name := range dir.known {
		if _, follows := dir.followers[name]; !follows && !listed[name] {
			delete(dir.known, name)
		}
	}
	dir.see(now, entries)
}

// All returns the entry VMs that follow any control VM and their digest. The entries are nil if the digest is the known one.
func (dir *Directory) All(now time.Time, known uint64) ([]*fpstate.EntryVM, uint64) {
	dir.mutex.Lock()
	defer dir.mutex.Unlock()
	dir.rebuild(now)
	if dir.all.digest == known {
		return nil, known
	}
	return dir.all.entries, dir.all.digest
}

// rebuild updates the list of all known VMs if it is older than rebuildInterval. The caller holds the mutex.
func (dir *Directory) rebuild(now time.Time) {
	if now.Sub(dir.builtAt) < rebuildInterval {
		return
	}
	dir.builtAt = now
	next := newList(now.Add(-retention), dir.known)
	if next.digest == dir.all.digest {
		return
	}
	for _, ent := range next.entries {
		next.hashes = append(next.hashes, hashOf(key(ent)))
	}
	dir.all = next
	dir.picks = map[string]list{}
}

// Pick returns the relays for an entry VM and their digest. The entries are nil if the digest is the known one. Relays of its
// own data centre and region come before others, and some of each are picked, because a whole data centre may lose its paths.
// Which ones are picked depends on the VM, so that the VMs share the work.
func (dir *Directory) Pick(now time.Time, ent *fpstate.EntryVM, known uint64) ([]*fpstate.EntryVM, uint64) {
	dir.mutex.Lock()
	defer dir.mutex.Unlock()
	dir.rebuild(now)
	lis, ok := dir.picks[key(ent)]
	if !ok {
		lis.entries = pick(dir.all.entries, dir.all.hashes, ent)
		lis.digest = digestOf(lis.entries)
		dir.picks[key(ent)] = lis
	}
	if lis.digest == known {
		return nil, known
	}
	return lis.entries, lis.digest
}

// pick returns at most maxRelays of all entry VMs for one of them. hashes are those of their keys.
func pick(all []*fpstate.EntryVM, hashes []uint64, ent *fpstate.EntryVM) []*fpstate.EntryVM {
	own := hashOf(key(ent))
	var nearest [OtherRegion + 1]lowest
	for pos, other := range all {
		if other.GetVm() != ent.GetVm() {
			nearest[distanceBetween(ent, other)].add(candidate{
				entry: other,
				rank:  mix(own ^ hashes[pos]),
			})
		}
	}
	bounds := [...]int{
		SameDataCentre: maxSameDataCentre,
		SameRegion:     maxSameRegion,
		OtherRegion:    maxRelays,
	}
	var picked, rest []*fpstate.EntryVM
	for dis, low := range nearest {
		for _, can := range low.all {
			if len(picked) < bounds[dis] {
				picked = append(picked, can.entry)
			} else {
				rest = append(rest, can.entry)
			}
		}
	}
	return append(picked, rest[:min(len(rest), maxRelays-len(picked))]...)
}

// candidate is an entry VM with its rank for another one.
type candidate struct {
	entry *fpstate.EntryVM
	rank  uint64
}

// lowest holds the maxRelays candidates with the lowest ranks, in order.
type lowest struct {
	all []candidate
}

func (low *lowest) add(can candidate) {
	if len(low.all) == maxRelays && can.rank >= low.all[maxRelays-1].rank {
		return
	}
	pos, _ := slices.BinarySearchFunc(low.all, can.rank, func(one candidate, rank uint64) int { return cmp.Compare(one.rank, rank) })
	low.all = slices.Insert(low.all, pos, can)
	low.all = low.all[:min(len(low.all), maxRelays)]
}

// hashOf returns a hash of a text.
func hashOf(text string) uint64 { return xxhash.Sum64String(text) }

// mix returns a number all bits of which depend on all bits of num. Source: the finalizer of SplitMix64.
func mix(num uint64) uint64 {
	num ^= num >> 30
	num *= 0xbf58476d1ce4e5b9
	num ^= num >> 27
	num *= 0x94d049bb133111eb
	return num ^ num>>31
}

// Package fpquarantine identifies requests that crash upstreams and tells which of them to refuse. List is the state of an
// entry VM: the digests that groups have quarantined, and the VM's own suspects. Tally is the state of the leader of the
// control VMs.
package fpquarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// DefaultMaxSuspects is the default number of suspects that are stored. The oldest ones are dropped beyond it.
	DefaultMaxSuspects = 4096
	// DefaultRetention is the default time for which a VM counts the crashes of a suspect after the last one. It equals the retention of
	// idempotency keys.
	DefaultRetention = 15 * time.Minute
	// crashesToRefuse is the number of distinct crashes from which a request is refused. The groups use the same number.
	crashesToRefuse = 2
)

// Config configures a List. The zero value of each field stands for the default.
type Config struct {
	MaxSuspects int
	Retention   time.Duration
}

// Crash identifies a crash of an upstream. Broken connections to the same incarnation belong to the same crash.
type Crash struct {
	Upstream    string
	Incarnation uint64
}

// suspect is a request that was in flight when connections to upstreams broke.
type suspect struct {
	crashes   []Crash
	lastCrash time.Time // time of the last crash
	probation bool      // it was on probation at the last crash
}

// count returns the number of crashes that count, at most crashesToRefuse.
func (sus *suspect) count() int {
	if sus.probation {
		return crashesToRefuse
	}
	return len(sus.crashes)
}

// List holds the quarantined requests and the suspects of one entry VM. Use New to create one. It is safe for concurrent
// use.
type List struct {
	mutex    sync.Mutex
	cfg      Config
	groups   map[string]map[string]bool // group, then digest
	suspects map[string]*suspect
	order    []string // digests of suspects, in the order of their first crashes
	// released holds when this VM learned that requests are no longer refused, for those whose crashes still count.
	released map[string]time.Time
}

// New returns an empty list.
func New(cfg Config) *List {
	if cfg.MaxSuspects <= 0 {
		cfg.MaxSuspects = DefaultMaxSuspects
	}
	if cfg.Retention <= 0 {
		cfg.Retention = DefaultRetention
	}
	return &List{
		cfg:      cfg,
		groups:   map[string]map[string]bool{},
		suspects: map[string]*suspect{},
		released: map[string]time.Time{},
	}
}

// Replace sets the quarantined digests of a group. A digest that the group has released is removed from the suspects, too.
func (lis *List) Replace(group string, digests []string) {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	next := make(map[string]bool, len(digests))
	for _, digest := range digests {
		next[digest] = true
	}
	for digest := range lis.groups[group] {
		if !next[digest] {
			lis.dropSuspect(digest)
		}
	}
	lis.groups[group] = next
}

// Release sets the requests that were refused and are on probation: their crashes count until an upstream has answered them.
func (lis *List) Release(now time.Time, digests []string) {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	next := make(map[string]time.Time, len(digests))
	for _, digest := range digests {
		next[digest] = now
		if at, ok := lis.released[digest]; ok {
			next[digest] = at
		}
	}
	lis.released = next
}

// OnProbation reports whether a request is on probation.
func (lis *List) OnProbation(digest string) bool {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	_, ok := lis.released[digest]
	return ok
}

// dropSuspect removes a request from the suspects, and reports whether it was one. The caller holds the mutex.
func (lis *List) dropSuspect(digest string) bool {
	if lis.suspects[digest] == nil {
		return false
	}
	delete(lis.suspects, digest)
	lis.order = slices.DeleteFunc(lis.order, func(other string) bool { return other == digest })
	return true
}

// RecordCrash records that a request was in flight when a connection to an upstream broke at a time. It returns the number of
// distinct crashes recorded for the request, at most 2. The same incarnation of an upstream counts once. A request on probation has
// one crash at least before.
func (lis *List) RecordCrash(at time.Time, digest string, cra Crash) int {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	sus, ok := lis.suspects[digest]
	if !ok {
		lis.evict()
		sus = &suspect{}
		lis.suspects[digest] = sus
		lis.order = append(lis.order, digest)
	}
	if at.Sub(sus.lastCrash) >= lis.cfg.Retention {
		sus.crashes = nil
	}
	if at.After(sus.lastCrash) {
		sus.lastCrash = at
	}
	if !slices.Contains(sus.crashes, cra) && len(sus.crashes) < crashesToRefuse {
		sus.crashes = append(sus.crashes, cra)
	}
	_, sus.probation = lis.released[digest]
	return sus.count()
}

// Clear removes a request from the suspects and from those on probation, because an upstream has answered it. began is when the
// request was sent there: an answer that was on its way at the last crash, or at the end of the refusal, proves nothing. It reports
// whether the request was removed.
func (lis *List) Clear(digest string, began time.Time) bool {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	sus := lis.suspects[digest]
	releasedAt, released := lis.released[digest]
	if sus == nil && !released || sus != nil && !began.After(sus.lastCrash) || released && !began.After(releasedAt) {
		return false
	}
	lis.dropSuspect(digest)
	delete(lis.released, digest)
	return true
}

// SuspectCrashes calls fn for each crash of the newest suspects, up to a number of crashes.
func (lis *List) SuspectCrashes(limit int, fn func(digest string, cra Crash)) {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	for _, digest := range slices.Backward(lis.order) {
		for _, cra := range lis.suspects[digest].crashes {
			if limit--; limit < 0 {
				return
			}
			fn(digest, cra)
		}
	}
}

// Check returns an error of kind Quarantined if the request is quarantined in a group or has been suspected in two crashes or
// more, and nil otherwise.
func (lis *List) Check(now time.Time, digest string) error {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	for group, digests := range lis.groups {
		if digests[digest] {
			return fperror.New(fperror.Quarantined, "request %s is quarantined in group %s", digest, group)
		}
	}
	sus, ok := lis.suspects[digest]
	if !ok || now.Sub(sus.lastCrash) >= lis.cfg.Retention {
		return nil
	}
	if count := sus.count(); count >= crashesToRefuse {
		return fperror.New(fperror.Quarantined, "request %s was in flight when the connections to %d upstreams broke", digest, count)
	}
	return nil
}

// CrashCount returns the number of distinct crashes recorded for a request, at most 2, or 0 if it is no suspect. A request
// with one crash should not be sent again before the group has answered the report of it.
func (lis *List) CrashCount(now time.Time, digest string) int {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	sus, ok := lis.suspects[digest]
	if !ok || now.Sub(sus.lastCrash) >= lis.cfg.Retention {
		return 0
	}
	return sus.count()
}

// IsEmpty reports whether no request is refused, suspected or on probation.
func (lis *List) IsEmpty() bool {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	for _, digests := range lis.groups {
		if len(digests) > 0 {
			return false
		}
	}
	return len(lis.suspects)+len(lis.released) == 0
}

// Len returns the number of quarantined digests in all groups and the number of suspects.
func (lis *List) Len() (quarantined, suspects int) {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	for _, digests := range lis.groups {
		quarantined += len(digests)
	}
	return quarantined, len(lis.suspects)
}

// evict drops the suspects with the oldest first crashes while the list is full.
func (lis *List) evict() {
	for len(lis.order) >= lis.cfg.MaxSuspects {
		delete(lis.suspects, lis.order[0])
		lis.order = lis.order[1:]
	}
}

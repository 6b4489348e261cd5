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
	// DefaultRetention is the default time for which a suspect counts after its last crash. It equals the retention of
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
}

// List holds the quarantined requests and the suspects of one entry VM. Use New to create one. It is safe for concurrent
// use.
type List struct {
	mutex    sync.Mutex
	cfg      Config
	groups   map[string]map[string]bool // group, then digest
	suspects map[string]*suspect
	order    []string // digests of suspects, in the order of their first crashes
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
		if _, ok := lis.suspects[digest]; ok && !next[digest] {
			delete(lis.suspects, digest)
			lis.order = slices.DeleteFunc(lis.order, func(other string) bool { return other == digest })
		}
	}
	lis.groups[group] = next
}

// RecordCrash records that a request was in flight when a connection to an upstream broke. It returns the number of
// distinct crashes recorded for the request, at most 2. The same incarnation of an upstream counts once.
func (lis *List) RecordCrash(now time.Time, digest string, cra Crash) int {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	lis.evict(now)
	sus, ok := lis.suspects[digest]
	if !ok {
		sus = &suspect{}
		lis.suspects[digest] = sus
		lis.order = append(lis.order, digest)
	}
	sus.lastCrash = now
	for _, seen := range sus.crashes {
		if seen == cra {
			return len(sus.crashes)
		}
	}
	if len(sus.crashes) < crashesToRefuse {
		sus.crashes = append(sus.crashes, cra)
	}
	return len(sus.crashes)
}

// Clear removes a request that an upstream has answered from the suspects, and reports whether it was one.
func (lis *List) Clear(digest string) bool {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	if _, ok := lis.suspects[digest]; !ok {
		return false
	}
	delete(lis.suspects, digest)
	lis.order = slices.DeleteFunc(lis.order, func(other string) bool { return other == digest })
	return true
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
	if len(sus.crashes) >= crashesToRefuse {
		return fperror.New(fperror.Quarantined, "request %s was in flight when the connections to %d upstreams broke", digest, len(sus.crashes))
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
	return len(sus.crashes)
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

// evict drops suspects in the order of their first crashes while the list is full or the retention of the next one is over.
func (lis *List) evict(now time.Time) {
	for len(lis.order) > 0 {
		full := len(lis.order) >= lis.cfg.MaxSuspects
		if !full && now.Sub(lis.suspects[lis.order[0]].lastCrash) < lis.cfg.Retention {
			return
		}
		delete(lis.suspects, lis.order[0])
		lis.order = lis.order[1:]
	}
}

// Package fpquarantine holds what an entry VM knows of requests that crash upstreams: the digests that groups have
// quarantined, and the VM's own suspects.
package fpquarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// DefaultMaxSuspects bounds the suspects that are remembered; the oldest gives way.
	DefaultMaxSuspects = 4096
	// DefaultRemember is how long a suspect is remembered, which equals the retention of idempotency keys.
	DefaultRemember = 15 * time.Minute
	// crashesToRefuse is the number of distinct crashes from which a request is refused, as in the groups.
	crashesToRefuse = 2
)

// Config configures a List. The zero value of each field stands for the default.
type Config struct {
	MaxSuspects int
	Remember    time.Duration
}

// Crash is a broken connection to one incarnation of an upstream.
type Crash struct {
	Upstream    string
	Incarnation uint64
}

// suspect is a request that was in flight when connections broke.
type suspect struct {
	crashes []Crash
	at      time.Time // the last crash
}

// List is the list of one entry VM. It is safe for concurrent use.
type List struct {
	mut      sync.Mutex
	cfg      Config
	groups   map[string]map[string]bool // group, then digest
	suspects map[string]*suspect
	order    []string // digests of suspects, the oldest first
}

// New returns an empty list.
func New(cfg Config) *List {
	if cfg.MaxSuspects <= 0 {
		cfg.MaxSuspects = DefaultMaxSuspects
	}
	if cfg.Remember <= 0 {
		cfg.Remember = DefaultRemember
	}
	return &List{
		cfg:      cfg,
		groups:   map[string]map[string]bool{},
		suspects: map[string]*suspect{},
	}
}

// Replace sets the quarantined digests of a group. A digest that the group released is also no suspect any more.
func (lis *List) Replace(group string, digests []string) {
	lis.mut.Lock()
	defer lis.mut.Unlock()
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

// Suspect remembers that a request was in flight when a connection broke, and returns the number of distinct crashes
// that this VM has seen with it. The same incarnation of an upstream counts once.
func (lis *List) Suspect(now time.Time, digest string, cra Crash) int {
	lis.mut.Lock()
	defer lis.mut.Unlock()
	lis.expire(now)
	sus, ok := lis.suspects[digest]
	if !ok {
		sus = &suspect{}
		lis.suspects[digest] = sus
		lis.order = append(lis.order, digest)
	}
	sus.at = now
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

// Clear forgets a suspect that an upstream has answered, and reports whether it was one.
func (lis *List) Clear(digest string) bool {
	lis.mut.Lock()
	defer lis.mut.Unlock()
	if _, ok := lis.suspects[digest]; !ok {
		return false
	}
	delete(lis.suspects, digest)
	lis.order = slices.DeleteFunc(lis.order, func(other string) bool { return other == digest })
	return true
}

// Check returns an error of kind Quarantined if the request must not run.
func (lis *List) Check(now time.Time, digest string) error {
	lis.mut.Lock()
	defer lis.mut.Unlock()
	for group, digests := range lis.groups {
		if digests[digest] {
			return fperror.New(fperror.Quarantined, "request %s is quarantined in group %s", digest, group)
		}
	}
	sus, ok := lis.suspects[digest]
	if !ok || now.Sub(sus.at) >= lis.cfg.Remember {
		return nil
	}
	if len(sus.crashes) >= crashesToRefuse {
		return fperror.New(fperror.Quarantined, "request %s was in flight when %d upstreams broke off", digest, len(sus.crashes))
	}
	return nil
}

// Crashes returns the number of distinct crashes that this VM has seen with a request. A request with one crash should
// not be tried again before the group has answered the report.
func (lis *List) Crashes(now time.Time, digest string) int {
	lis.mut.Lock()
	defer lis.mut.Unlock()
	sus, ok := lis.suspects[digest]
	if !ok || now.Sub(sus.at) >= lis.cfg.Remember {
		return 0
	}
	return len(sus.crashes)
}

// Len returns the numbers of quarantined digests and of suspects.
func (lis *List) Len() (quarantined, suspects int) {
	lis.mut.Lock()
	defer lis.mut.Unlock()
	for _, digests := range lis.groups {
		quarantined += len(digests)
	}
	return quarantined, len(lis.suspects)
}

// expire makes room for one suspect and drops those whose time is over.
func (lis *List) expire(now time.Time) {
	for len(lis.order) > 0 {
		full := len(lis.order) >= lis.cfg.MaxSuspects
		if !full && now.Sub(lis.suspects[lis.order[0]].at) < lis.cfg.Remember {
			return
		}
		delete(lis.suspects, lis.order[0])
		lis.order = lis.order[1:]
	}
}

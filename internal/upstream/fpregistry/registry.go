// Package fpregistry holds the upstreams that are announced to an entry VM.
package fpregistry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Registry is the list of upstreams that the leaders of all groups have announced to this VM. The zero value is empty
// and ready to use. It is safe for concurrent use.
type Registry struct {
	view   atomic.Pointer[view]
	mutex  sync.Mutex // guards groups and serializes Apply
	groups map[string]*group
}

// group is the list of one group's upstreams, as its leader last sent it.
type group struct {
	term      uint64
	version   uint64
	upstreams []*fpcontract.Upstream
}

// view is an immutable index of the lists of all groups.
type view struct {
	byName    map[string]*fpcontract.Upstream
	byService map[string][]*fpcontract.Upstream
}

var emptyView = &view{}

// Version returns the version of a group's list and the term in which that version is valid, to be sent with the next
// poll. Both are 0 for a group without a list.
func (reg *Registry) Version(name string) (version, term uint64) {
	reg.mutex.Lock()
	defer reg.mutex.Unlock()
	gro := reg.groups[name]
	if gro == nil {
		return 0, 0
	}
	return gro.version, gro.term
}

// Apply replaces the list of a group with the one in a poll's answer and reports whether it did so. It ignores an
// answer without a list, of an older term, or of an older version within the same term.
func (reg *Registry) Apply(name string, res *fpwire.PollResponse) bool {
	if !res.GetUpstreamsChanged() {
		return false
	}
	reg.mutex.Lock()
	defer reg.mutex.Unlock()
	old := reg.groups[name]
	if old != nil && isOlder(res, old) {
		return false
	}
	if reg.groups == nil {
		reg.groups = map[string]*group{}
	}
	reg.groups[name] = &group{
		term:      res.GetTerm(),
		version:   res.GetRegistry(),
		upstreams: slices.Clone(res.GetUpstreams()),
	}
	reg.rebuild()
	return true
}

// isOlder reports whether an answer is older than the list that was last applied.
func isOlder(res *fpwire.PollResponse, old *group) bool {
	if res.GetTerm() != old.term {
		return res.GetTerm() < old.term
	}
	return res.GetRegistry() < old.version
}

// rebuild indexes the lists of all groups. Of an upstream that is in several lists, the newest incarnation is kept. The
// caller holds the mutex.
func (reg *Registry) rebuild() {
	vie := &view{
		byName:    map[string]*fpcontract.Upstream{},
		byService: map[string][]*fpcontract.Upstream{},
	}
	for _, name := range slices.Sorted(maps.Keys(reg.groups)) {
		for _, ups := range reg.groups[name].upstreams {
			old := vie.byName[ups.GetName()]
			if old == nil || old.GetIncarnation() < ups.GetIncarnation() {
				vie.byName[ups.GetName()] = ups
			}
		}
	}
	for _, ups := range vie.byName {
		vie.byService[ups.GetService()] = append(vie.byService[ups.GetService()], ups)
	}
	for _, list := range vie.byService {
		slices.SortFunc(list, func(one, two *fpcontract.Upstream) int {
			return cmp.Compare(one.GetName(), two.GetName())
		})
	}
	reg.view.Store(vie)
}

func (reg *Registry) load() *view {
	if vie := reg.view.Load(); vie != nil {
		return vie
	}
	return emptyView
}

// Service returns the upstreams of a service, ordered by name; nil for an unknown service. The caller must not modify
// the slice.
func (reg *Registry) Service(name string) []*fpcontract.Upstream { return reg.load().byService[name] }

// Upstream returns the upstream with the given name, or nil if there is none.
func (reg *Registry) Upstream(name string) *fpcontract.Upstream { return reg.load().byName[name] }

// All returns all upstreams, ordered by name.
func (reg *Registry) All() []*fpcontract.Upstream {
	vie := reg.load()
	all := make([]*fpcontract.Upstream, 0, len(vie.byName))
	for _, name := range slices.Sorted(maps.Keys(vie.byName)) {
		all = append(all, vie.byName[name])
	}
	return all
}

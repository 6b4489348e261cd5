// Package fpregistry holds an entry VM's list of announced upstreams.
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

// Registry is the list of upstreams that the leaders of all groups have announced to this VM. The zero value is empty and
// ready for use.
type Registry struct {
	view   atomic.Pointer[view]
	mutex  sync.Mutex // serializes Apply
	groups map[string]*group
}

// group is the list of one group, as its leader last sent it.
type group struct {
	term      uint64
	version   uint64
	upstreams []*fpcontract.Upstream
}

// view is an immutable index of the lists of all groups.
type view struct {
	names    map[string]*fpcontract.Upstream
	services map[string][]*fpcontract.Upstream
}

var empty = &view{}

// Version returns the version of a group's list and the term in which it is valid, as a poll carries them.
func (reg *Registry) Version(name string) (version, term uint64) {
	reg.mutex.Lock()
	defer reg.mutex.Unlock()
	gro := reg.groups[name]
	if gro == nil {
		return 0, 0
	}
	return gro.version, gro.term
}

// Apply takes the list of a group from the answer to a poll and reports whether the list changed. An answer of an older
// term is ignored, and so is an older version within a term.
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

func isOlder(res *fpwire.PollResponse, old *group) bool {
	if res.GetTerm() != old.term {
		return res.GetTerm() < old.term
	}
	return res.GetRegistry() < old.version
}

// rebuild indexes all lists. An upstream that stands in two lists is taken with its newer incarnation.
func (reg *Registry) rebuild() {
	vie := &view{
		names:    map[string]*fpcontract.Upstream{},
		services: map[string][]*fpcontract.Upstream{},
	}
	for _, name := range slices.Sorted(maps.Keys(reg.groups)) {
		for _, ups := range reg.groups[name].upstreams {
			old := vie.names[ups.GetName()]
			if old == nil || old.GetIncarnation() < ups.GetIncarnation() {
				vie.names[ups.GetName()] = ups
			}
		}
	}
	for _, ups := range vie.names {
		vie.services[ups.GetService()] = append(vie.services[ups.GetService()], ups)
	}
	for _, list := range vie.services {
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
	return empty
}

// Service returns the upstreams of a service, ordered by name. The caller must not change the list.
func (reg *Registry) Service(name string) []*fpcontract.Upstream { return reg.load().services[name] }

// Upstream returns the upstream with the given name, or nil.
func (reg *Registry) Upstream(name string) *fpcontract.Upstream { return reg.load().names[name] }

// All returns all upstreams, ordered by name.
func (reg *Registry) All() []*fpcontract.Upstream {
	vie := reg.load()
	all := make([]*fpcontract.Upstream, 0, len(vie.names))
	for _, name := range slices.Sorted(maps.Keys(vie.names)) {
		all = append(all, vie.names[name])
	}
	return all
}

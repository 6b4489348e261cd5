// Package fptable holds an entry VM's copy of the slot tables of all groups, and the validity of that copy. It also
// counts the requests in flight and the load of each slot.
//
// A keyed request is forwarded only to the owner that a valid table names. The leader of a group moves a slot only
// after every entry VM has either confirmed the releasing state and has no more requests in flight, or let its validity
// expire.
package fptable

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fpclock"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Defaults of Config.
const (
	defaultMoveWait     = time.Second
	defaultMaxWaiting   = 1024
	defaultLoadInterval = 2 * time.Second
	defaultMaxLoads     = 128
)

// Config configures a Table. The zero value selects the defaults.
type Config struct {
	// MoveWait bounds how long a request waits for the new owner of a moving slot. 0: 1 s.
	MoveWait time.Duration
	// MaxWaiting is the maximum number of requests that wait for moving slots. 0: 1,024.
	MaxWaiting int
	// LoadInterval is the time between load reports to one group. A report of 128 slots every 2 s takes about 3 KB/s of
	// the 8 KB/s that control traffic may take on a node. 0: 2 s.
	LoadInterval time.Duration
	// MaxLoads is the maximum number of slots in one report; the busiest are reported. 0: 128.
	MaxLoads int
	// Now reads the clocks. Nil: fpclock.Now.
	Now func() fpclock.Moment
}

// Table is a copy of the slot tables of all groups. Use New to create one. It is safe for concurrent use.
type Table struct {
	cfg      Config
	services atomic.Pointer[map[string]*service]
	waiting  atomic.Int32

	mutex  sync.Mutex // guards groups and serializes Configure
	groups map[string]*group
}

// service holds the slots of one service.
type service struct {
	name   string
	layout *fpschema.Layout
	slots  []*slot
	groups []*group // group of each slot; nil if it has none
}

// Location identifies the slot of a key and the group that keeps the slot's state.
type Location struct {
	Service string
	Slot    uint32
	Group   string
}

// New returns a table without services.
func New(cfg Config) *Table {
	setDefault(&cfg.MoveWait, defaultMoveWait)
	setDefault(&cfg.MaxWaiting, defaultMaxWaiting)
	setDefault(&cfg.LoadInterval, defaultLoadInterval)
	setDefault(&cfg.MaxLoads, defaultMaxLoads)
	if cfg.Now == nil {
		cfg.Now = fpclock.Now
	}
	tab := &Table{
		cfg:    cfg,
		groups: map[string]*group{},
	}
	tab.services.Store(&map[string]*service{})
	return tab
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Configure applies the services of a new configuration. Slots keep their owners unless their group changes. A group
// that gains slots is asked for its full table at the next poll.
func (tab *Table) Configure(services []*fpoperator.Service) {
	tab.mutex.Lock()
	defer tab.mutex.Unlock()
	old := *tab.services.Load()
	next := make(map[string]*service, len(services))
	gained := map[*group]bool{}
	for _, cfg := range services {
		next[cfg.GetName()] = tab.configure(cfg, old[cfg.GetName()], gained)
	}
	tab.services.Store(&next)
	// The full tables are requested only after the new services are stored, so that an answer with the new slots is not
	// applied to the old services.
	for gro := range gained {
		gro.requestFull()
	}
}

// configure returns a service and adds the groups that gain slots to gained. The caller holds the mutex.
func (tab *Table) configure(cfg *fpoperator.Service, old *service, gained map[*group]bool) *service {
	lay := fpschema.NewLayout(cfg)
	ser := &service{
		name:   cfg.GetName(),
		layout: lay,
		slots:  make([]*slot, lay.Slots()),
		groups: make([]*group, lay.Slots()),
	}
	for num := range ser.slots {
		name := lay.Group(uint32(num))
		if name != "" {
			ser.groups[num] = tab.group(name)
		}
		if old != nil && num < len(old.slots) && old.groups[num] == ser.groups[num] {
			ser.slots[num] = old.slots[num]
			continue
		}
		ser.slots[num] = &slot{}
		if ser.groups[num] != nil {
			gained[ser.groups[num]] = true
		}
	}
	return ser
}

// group returns the group with the given name and creates it if necessary. The caller holds the mutex.
func (tab *Table) group(name string) *group {
	gro := tab.groups[name]
	if gro == nil {
		gro = &group{
			name:      name,
			releasing: map[*slot]slotID{},
		}
		tab.groups[name] = gro
	}
	return gro
}

// Groups returns the names of all groups that have been configured for slots or polled, in no particular order.
func (tab *Table) Groups() []string {
	tab.mutex.Lock()
	defer tab.mutex.Unlock()
	names := make([]string, 0, len(tab.groups))
	for name := range tab.groups {
		names = append(names, name)
	}
	return names
}

// Locate returns the location of a key. It depends only on the service's configuration, the key and the value of the
// home field. The error is of kind NoOwner if the service is not configured or the slot has no group, and
// InvalidRequest if home names a group without slots of the service.
func (tab *Table) Locate(name string, key []byte, home string) (Location, error) {
	ser := (*tab.services.Load())[name]
	if ser == nil {
		return Location{}, fperror.New(fperror.NoOwner, "the service %s is not configured", name)
	}
	num, err := ser.layout.Slot(key, home)
	if err != nil {
		return Location{}, err
	}
	loc := Location{
		Service: name,
		Slot:    num,
		Group:   ser.layout.Group(num),
	}
	if loc.Group == "" {
		return Location{}, fperror.New(fperror.NoOwner, "slot %d of %s has no home group", num, name)
	}
	return loc, nil
}

// ValidFor returns the remaining validity of a group's table; it is 0 or less when the table has expired.
func (tab *Table) ValidFor(name string) time.Duration {
	tab.mutex.Lock()
	gro := tab.groups[name]
	tab.mutex.Unlock()
	if gro == nil {
		return 0
	}
	return gro.validFor(tab.cfg.Now())
}

// Version returns the version of a group's table that is in force, or nil if there is none.
func (tab *Table) Version(name string) *fpoperator.Version {
	tab.mutex.Lock()
	gro := tab.groups[name]
	tab.mutex.Unlock()
	if gro == nil {
		return nil
	}
	gro.mutex.Lock()
	defer gro.mutex.Unlock()
	return gro.version
}

// Entries returns the slots of a group for a dump.
func (tab *Table) Entries(name string) []*fpwire.SlotEntry {
	var all []*fpwire.SlotEntry
	for _, ser := range *tab.services.Load() {
		for num, slo := range ser.slots {
			if ser.layout.Group(uint32(num)) == name {
				all = append(all, slo.entries(ser.name, uint32(num))...)
			}
		}
	}
	return all
}

package fptable

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Flight is a keyed request that is counted as in flight on the owner of its slot, until Done.
type Flight struct {
	place Place
	owner string
	epoch uint64
	table *Table
	group *group
	key   []byte

	deadline   time.Time
	done       atomic.Bool
	slot       atomic.Pointer[slot] // changes when the key is split out of its slot or merged back
	prev, next *Flight              // list of the slot, guarded by its mutex
}

// Place returns where the state of the request's key is kept.
func (fli *Flight) Place() Place { return fli.place }

// Owner returns the name of the upstream that owns the slot.
func (fli *Flight) Owner() string { return fli.owner }

// Epoch returns the epoch of the slot.
func (fli *Flight) Epoch() uint64 { return fli.epoch }

// Route returns the owner of a key and counts the request as in flight. The table must be valid. While the slot is moving
// Route waits for the new owner, at most Config.MoveWait.
func (tab *Table) Route(ctx context.Context, service string, key []byte, home string, deadline time.Time) (*Flight, error) {
	fli, changed, err := tab.route(service, key, home, deadline)
	if changed == nil {
		return fli, err
	}
	if int(tab.waiting.Add(1)) > tab.cfg.MaxWaiting {
		tab.waiting.Add(-1)
		return nil, err
	}
	defer tab.waiting.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, tab.cfg.MoveWait)
	defer cancel()
	for changed != nil {
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, err
		}
		fli, changed, err = tab.route(service, key, home, deadline)
	}
	return fli, err
}

// route makes one attempt. For a moving slot it returns a channel that is closed at the next change.
func (tab *Table) route(service string, key []byte, home string, deadline time.Time) (*Flight, <-chan struct{}, error) {
	pla, err := tab.Locate(service, key, home)
	if err != nil {
		return nil, nil, err
	}
	ser := (*tab.services.Load())[service]
	if ser == nil || pla.Slot >= ser.layout.Slots() || ser.groups[pla.Slot] == nil {
		return nil, nil, fperror.New(fperror.NoOwner, "the configuration of %s is changing", service)
	}
	fli := &Flight{
		place: pla,
		table: tab,
		group: ser.groups[pla.Slot],
		key:   key,

		deadline: deadline,
	}
	changed, err := fli.begin(ser.slots[pla.Slot])
	if err != nil {
		return nil, changed, err
	}
	return fli, nil, nil
}

// begin counts the request. The check of the slot's state and the count are one step under the mutex, so a poll that
// confirms the state releasing reports every request that was admitted before.
func (fli *Flight) begin(whole *slot) (<-chan struct{}, error) {
	slo := whole.lockFor(fli.key)
	defer slo.mutex.Unlock()
	if err := fli.valid(); err != nil {
		return nil, err
	}
	switch slo.state {
	case fpwire.SlotState_SLOT_STATE_OWNED:
	case fpwire.SlotState_SLOT_STATE_RELEASING:
		if slo.changed == nil {
			slo.changed = make(chan struct{})
		}
		return slo.changed, fperror.New(fperror.NoOwner, "slot %d of %s is moving", fli.place.Slot, fli.place.Service)
	default:
		return nil, fperror.New(fperror.NoOwner, "slot %d of %s has no owner", fli.place.Slot, fli.place.Service)
	}
	fli.owner, fli.epoch = slo.owner, slo.epoch
	slo.link(fli)
	return nil, nil
}

// valid checks the validity of the table.
func (fli *Flight) valid() error {
	if fli.group.validFor(fli.table.cfg.Now()) > 0 {
		return nil
	}
	return fperror.New(fperror.TableExpired, "the table of %s has expired", fli.group.name)
}

// lock locks the slot that lists the flight.
func (fli *Flight) lock() *slot {
	for {
		slo := fli.slot.Load()
		slo.mutex.Lock()
		if fli.slot.Load() == slo {
			return slo
		}
		slo.mutex.Unlock()
	}
}

// Check is called right before the request is forwarded. It fails when the table has expired or the slot has begun to
// move since Route.
func (fli *Flight) Check() error {
	slo := fli.lock()
	owned := slo.state == fpwire.SlotState_SLOT_STATE_OWNED && slo.epoch == fli.epoch && slo.owner == fli.owner
	slo.mutex.Unlock()
	if !owned {
		return fperror.New(fperror.NoOwner, "slot %d of %s has begun to move", fli.place.Slot, fli.place.Service)
	}
	return fli.valid()
}

// Changed returns a channel that is closed when the slot changes. It is closed already when the slot has begun to move since
// Route.
func (fli *Flight) Changed() <-chan struct{} {
	slo := fli.lock()
	defer slo.mutex.Unlock()
	if slo.state != fpwire.SlotState_SLOT_STATE_OWNED || slo.epoch != fli.epoch {
		return closed
	}
	if slo.changed == nil {
		slo.changed = make(chan struct{})
	}
	return slo.changed
}

// closed is the channel of slots that have changed.
var closed = func() chan struct{} {
	all := make(chan struct{})
	close(all)
	return all
}()

// Done ends the flight. busy is the time that the upstream spent on the request, 0 when it did not run. A request that may
// still run on the upstream is not done. Calls after the first have no effect.
func (fli *Flight) Done(busy time.Duration) {
	if fli.done.Swap(true) {
		return
	}
	slo := fli.lock()
	defer slo.mutex.Unlock()
	slo.unlink(fli)
	if busy > 0 {
		slo.load.add(fli.key, busy)
	}
}

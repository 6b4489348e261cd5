package fptable

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Flight is a keyed request that is counted as in flight on the owner of its slot, from Route to Done.
type Flight struct {
	location Location
	owner    string
	epoch    uint64
	table    *Table
	group    *group
	key      []byte

	deadline   time.Time
	done       atomic.Bool
	slot       atomic.Pointer[slot] // changes when the key is split out of its slot or merged back
	prev, next *Flight              // list of the slot, guarded by its mutex
}

// Place returns the slot of the request's key and the group that keeps the slot's state.
func (fli *Flight) Place() Location { return fli.location }

// Owner returns the name of the upstream that owned the slot when the request was routed.
func (fli *Flight) Owner() string { return fli.owner }

// Epoch returns the epoch of the slot when the request was routed.
func (fli *Flight) Epoch() uint64 { return fli.epoch }

// Route returns the owner of a key and counts the request as in flight until Flight.Done. home is the value of the
// request's home field and may be empty; deadline is the request's. While the slot is moving, Route waits for the new
// owner, at most Config.MoveWait. The error is of kind TableExpired if the table of the key's group is not valid, and
// NoOwner if the slot has no owner, moves for longer than that, or Config.MaxWaiting requests are waiting already.
// Errors of Locate are returned as they are.
func (tab *Table) Route(ctx context.Context, service string, key []byte, home string, deadline time.Time) (*Flight, error) {
	fli, changed, err := tab.routeOnce(service, key, home, deadline)
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
		fli, changed, err = tab.routeOnce(service, key, home, deadline)
	}
	return fli, err
}

// routeOnce makes one attempt. For a moving slot it returns an error and a channel that is closed when the slot
// changes.
func (tab *Table) routeOnce(service string, key []byte, home string, deadline time.Time) (*Flight, <-chan struct{}, error) {
	loc, err := tab.Locate(service, key, home)
	if err != nil {
		return nil, nil, err
	}
	ser := (*tab.services.Load())[service]
	if ser == nil || loc.Slot >= ser.layout.Slots() || ser.groups[loc.Slot] == nil {
		return nil, nil, fperror.New(fperror.NoOwner, "the configuration of %s is changing", service)
	}
	fli := &Flight{
		location: loc,
		table:    tab,
		group:    ser.groups[loc.Slot],
		key:      key,

		deadline: deadline,
	}
	changed, err := fli.admit(ser.slots[loc.Slot])
	if err != nil {
		return nil, changed, err
	}
	return fli, nil, nil
}

// admit counts the request as in flight. It checks the slot's state and adds the request in one step under the mutex.
// Therefore a poll that confirms the releasing state reports every request that was admitted before.
func (fli *Flight) admit(parent *slot) (<-chan struct{}, error) {
	slo := parent.lockFor(fli.key)
	defer slo.mutex.Unlock()
	if err := fli.checkValidity(); err != nil {
		return nil, err
	}
	switch slo.state {
	case fpwire.SlotState_SLOT_STATE_OWNED:
	case fpwire.SlotState_SLOT_STATE_RELEASING:
		if slo.changed == nil {
			slo.changed = make(chan struct{})
		}
		return slo.changed, fperror.New(fperror.NoOwner, "slot %d of %s is moving", fli.location.Slot, fli.location.Service)
	default:
		return nil, fperror.New(fperror.NoOwner, "slot %d of %s has no owner", fli.location.Slot, fli.location.Service)
	}
	fli.owner, fli.epoch = slo.owner, slo.epoch
	slo.link(fli)
	return nil, nil
}

// checkValidity returns an error if the table of the group has expired.
func (fli *Flight) checkValidity() error {
	if fli.group.validFor(fli.table.cfg.Now()) > 0 {
		return nil
	}
	return fperror.New(fperror.TableExpired, "the table of group %s has expired", fli.group.name)
}

// lock locks and returns the slot that lists the flight. It retries when the flight moves to another slot meanwhile.
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

// Check is called right before the request is forwarded. It returns an error of kind TableExpired if the table has
// expired, and of kind NoOwner if the slot has begun to move since Route.
func (fli *Flight) Check() error {
	slo := fli.lock()
	owned := slo.state == fpwire.SlotState_SLOT_STATE_OWNED && slo.epoch == fli.epoch && slo.owner == fli.owner
	slo.mutex.Unlock()
	if !owned {
		return fperror.New(fperror.NoOwner, "slot %d of %s has begun to move", fli.location.Slot, fli.location.Service)
	}
	return fli.checkValidity()
}

// Changed returns a channel that is closed when the slot changes. It is closed already if the slot has begun to move
// since Route.
func (fli *Flight) Changed() <-chan struct{} {
	slo := fli.lock()
	defer slo.mutex.Unlock()
	if slo.state != fpwire.SlotState_SLOT_STATE_OWNED || slo.epoch != fli.epoch {
		return closedChannel
	}
	if slo.changed == nil {
		slo.changed = make(chan struct{})
	}
	return slo.changed
}

// closedChannel is returned for slots that have changed already.
var closedChannel = func() chan struct{} {
	chn := make(chan struct{})
	close(chn)
	return chn
}()

// Done ends the flight. busy is the time that the upstream spent on the request, or 0 if the request did not run. Done
// must not be called while the request may still run on the upstream. Calls after the first have no effect.
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

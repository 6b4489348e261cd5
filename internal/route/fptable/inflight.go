package fptable

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// InFlightRequest is a keyed request that is counted as in flight on the owner of its slot, from Route to Done.
type InFlightRequest struct {
	location Location
	owner    string
	epoch    uint64
	table    *Table
	group    *group
	key      []byte

	deadline   time.Time
	done       atomic.Bool
	slot       atomic.Pointer[slot] // changes when the key is split out of its slot or merged back
	prev, next *InFlightRequest     // list of the slot, guarded by its mutex
}

// Location returns the slot of the request's key and the group that keeps the slot's state.
func (ifr *InFlightRequest) Location() Location { return ifr.location }

// Owner returns the name of the upstream that owned the slot when the request was routed.
func (ifr *InFlightRequest) Owner() string { return ifr.owner }

// Epoch returns the epoch of the slot when the request was routed.
func (ifr *InFlightRequest) Epoch() uint64 { return ifr.epoch }

// Route returns the owner of a key and counts the request as in flight until InFlightRequest.Done. home is the value of the
// request's home field and may be empty; deadline is the request's. While the slot is moving, Route waits for the new
// owner, at most Config.MoveWait. The error is of kind TableExpired if the table of the key's group is not valid, and
// NoOwner if the slot has no owner, moves for longer than that, or Config.MaxWaiting requests are waiting already.
// Errors of Locate are returned as they are.
func (tab *Table) Route(ctx context.Context, service string, key []byte, home string, deadline time.Time) (*InFlightRequest, error) {
	ifr, changed, err := tab.routeOnce(service, key, home, deadline)
	if changed == nil {
		return ifr, err
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
		ifr, changed, err = tab.routeOnce(service, key, home, deadline)
	}
	return ifr, err
}

// routeOnce makes one attempt. For a moving slot it returns an error and a channel that is closed when the slot
// changes.
func (tab *Table) routeOnce(service string, key []byte, home string, deadline time.Time) (*InFlightRequest, <-chan struct{}, error) {
	loc, err := tab.Locate(service, key, home)
	if err != nil {
		return nil, nil, err
	}
	ser := (*tab.services.Load())[service]
	if ser == nil || loc.Slot >= ser.layout.Slots() || ser.groups[loc.Slot] == nil {
		return nil, nil, fperror.New(fperror.NoOwner, "the configuration of %s is changing", service)
	}
	ifr := &InFlightRequest{
		location: loc,
		table:    tab,
		group:    ser.groups[loc.Slot],
		key:      key,

		deadline: deadline,
	}
	changed, err := ifr.admit(ser.slots[loc.Slot])
	if err != nil {
		return nil, changed, err
	}
	return ifr, nil, nil
}

// admit counts the request as in flight. It checks the slot's state and adds the request in one step under the mutex.
// Therefore a poll that confirms the releasing state reports every request that was admitted before.
func (ifr *InFlightRequest) admit(parent *slot) (<-chan struct{}, error) {
	slo := parent.lockFor(ifr.key)
	defer slo.mutex.Unlock()
	if err := ifr.checkValidity(); err != nil {
		return nil, err
	}
	switch slo.state {
	case fpwire.SlotState_SLOT_STATE_OWNED:
	case fpwire.SlotState_SLOT_STATE_RELEASING:
		if slo.changed == nil {
			slo.changed = make(chan struct{})
		}
		return slo.changed, fperror.New(fperror.NoOwner, "slot %d of %s is moving", ifr.location.Slot, ifr.location.Service)
	default:
		return nil, fperror.New(fperror.NoOwner, "slot %d of %s has no owner", ifr.location.Slot, ifr.location.Service)
	}
	ifr.owner, ifr.epoch = slo.owner, slo.epoch
	slo.link(ifr)
	return nil, nil
}

// checkValidity returns an error if the table of the group has expired.
func (ifr *InFlightRequest) checkValidity() error {
	if ifr.group.validFor(ifr.table.cfg.Now()) > 0 {
		return nil
	}
	return fperror.New(fperror.TableExpired, "the table of group %s has expired", ifr.group.name)
}

// lock locks and returns the slot that lists the request. It retries when the request moves to another slot meanwhile.
func (ifr *InFlightRequest) lock() *slot {
	for {
		slo := ifr.slot.Load()
		slo.mutex.Lock()
		if ifr.slot.Load() == slo {
			return slo
		}
		slo.mutex.Unlock()
	}
}

// Check is called right before the request is forwarded. It returns an error of kind TableExpired if the table has
// expired, and of kind NoOwner if the slot has begun to move since Route.
func (ifr *InFlightRequest) Check() error {
	slo := ifr.lock()
	owned := slo.state == fpwire.SlotState_SLOT_STATE_OWNED && slo.epoch == ifr.epoch && slo.owner == ifr.owner
	slo.mutex.Unlock()
	if !owned {
		return fperror.New(fperror.NoOwner, "slot %d of %s has begun to move", ifr.location.Slot, ifr.location.Service)
	}
	return ifr.checkValidity()
}

// Changed returns a channel that is closed when the slot changes. It is closed already if the slot has begun to move
// since Route.
func (ifr *InFlightRequest) Changed() <-chan struct{} {
	slo := ifr.lock()
	defer slo.mutex.Unlock()
	if slo.state != fpwire.SlotState_SLOT_STATE_OWNED || slo.epoch != ifr.epoch {
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

// Done states that the request is no longer in flight. busy is the time that the upstream spent on the request, or 0 if the
// request did not run. Done must not be called while the request may still run on the upstream. Calls after the first have
// no effect.
func (ifr *InFlightRequest) Done(busy time.Duration) {
	if ifr.done.Swap(true) {
		return
	}
	slo := ifr.lock()
	defer slo.mutex.Unlock()
	slo.unlink(ifr)
	if busy > 0 {
		slo.load.add(ifr.key, busy)
	}
}

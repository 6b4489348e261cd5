package fpschema

import (
	"github.com/cespare/xxhash/v2"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// DefaultSlots is the number of slots of a service whose configuration sets none.
const DefaultSlots = 4096

// Layout maps the keys of one service to slots, and slots to groups. It is immutable. The slot of a key depends only on the
// layout, the key and the value of the home field, because every entry VM must compute the same slot for a resent request.
type Layout struct {
	slots  uint32
	groups []string            // group of each slot, "" if it has none
	homes  map[string][]uint32 // slots of each group in ascending order
}

// NewLayout returns the layout of a service of the configuration.
func NewLayout(ser *fpoperator.Service) *Layout {
	slots := ser.GetSlots()
	if slots == 0 {
		slots = DefaultSlots
	}
	lay := &Layout{
		slots:  slots,
		groups: make([]string, slots),
		homes:  map[string][]uint32{},
	}
	for _, hom := range ser.GetHomes() {
		for num := hom.GetFirstSlot(); num <= hom.GetLastSlot() && num < slots; num++ {
			lay.groups[num] = hom.GetGroup()
		}
	}
	for num, gro := range lay.groups {
		lay.homes[gro] = append(lay.homes[gro], uint32(num))
	}
	return lay
}

// Slots returns the number of slots.
func (lay *Layout) Slots() uint32 { return lay.slots }

// Group returns the home group of a slot, or "" if the slot has none.
func (lay *Layout) Group(slot uint32) string {
	if slot >= lay.slots {
		return ""
	}
	return lay.groups[slot]
}

// Slot returns the slot of a key. With an empty home it is xxhash64(key) modulo the number of slots. Otherwise home names a group
// and the hash, modulo the number of slots of that group, is the index into those slots in ascending order. The error is of kind
// InvalidRequest if no group of that name is the home of a slot of the service.
func (lay *Layout) Slot(key []byte, home string) (uint32, error) {
	sum := xxhash.Sum64(key)
	if home == "" {
		return uint32(sum % uint64(lay.slots)), nil
	}
	homeSlots := lay.homes[home]
	if len(homeSlots) == 0 {
		return 0, fperror.New(fperror.InvalidRequest, "the home %q is not a group with slots of the service", home)
	}
	return homeSlots[sum%uint64(len(homeSlots))], nil
}

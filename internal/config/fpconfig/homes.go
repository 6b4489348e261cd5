package fpconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Homes returns the commands that set the slots that a group grants to upstreams, one for each service. A home is a range of
// slots and the group that grants them. Services without slots in the group are left out.
func Homes(cfg *fpoperator.Configuration, group string) []*fpwire.SetHomes {
	var out []*fpwire.SetHomes
	for _, ser := range cfg.GetServices() {
		set := &fpwire.SetHomes{
			Service: ser.GetName(),
			Slots:   Slots(ser),
		}
		for _, hom := range normalizeHomes(ser) {
			if hom.GetGroup() == group {
				set.Homes = append(set.Homes, hom)
			}
		}
		if len(set.Homes) > 0 {
			out = append(out, set)
		}
	}
	return out
}

// ChangedHomes returns the commands that change a group from its homes in old to those in next, ordered by service. A service
// that no longer has slots in the group gets a command without homes. Old is nil if there was no configuration.
func ChangedHomes(old, next *fpoperator.Configuration, group string) []*fpwire.SetHomes {
	before := map[string]*fpwire.SetHomes{}
	for _, set := range Homes(old, group) {
		before[set.GetService()] = set
	}
	var out []*fpwire.SetHomes
	for _, set := range Homes(next, group) {
		previous := before[set.GetService()]
		delete(before, set.GetService())
		if previous == nil || !equalHomes(previous.GetHomes(), set.GetHomes()) {
			out = append(out, set)
		}
	}
	for _, set := range before {
		out = append(out, &fpwire.SetHomes{
			Service: set.GetService(),
			Slots:   set.GetSlots(),
		})
	}
	slices.SortFunc(out, func(a, b *fpwire.SetHomes) int { return cmp.Compare(a.GetService(), b.GetService()) })
	return out
}

// HomeOf returns the home group of a slot of the service, or "" if the slot has none.
func HomeOf(ser *fpoperator.Service, slot uint32) string {
	for _, hom := range ser.GetHomes() {
		if slot >= hom.GetFirstSlot() && slot <= hom.GetLastSlot() {
			return hom.GetGroup()
		}
	}
	return ""
}

// normalizeHomes returns the homes ordered by slot, with adjacent ranges of the same group merged.
func normalizeHomes(ser *fpoperator.Service) []*fpoperator.Home {
	sorted := slices.Clone(ser.GetHomes())
	slices.SortFunc(sorted, func(a, b *fpoperator.Home) int { return cmp.Compare(a.GetFirstSlot(), b.GetFirstSlot()) })
	var out []*fpoperator.Home
	for _, hom := range sorted {
		last := len(out) - 1
		if last >= 0 && out[last].GetGroup() == hom.GetGroup() && out[last].GetLastSlot()+1 == hom.GetFirstSlot() {
			out[last].LastSlot = hom.GetLastSlot()
			continue
		}
		out = append(out, &fpoperator.Home{
			Group:     hom.GetGroup(),
			FirstSlot: hom.GetFirstSlot(),
			LastSlot:  hom.GetLastSlot(),
		})
	}
	return out
}

// sameHomes reports whether two services give every slot to the same group, however the ranges are split and ordered.
func sameHomes(one, two *fpoperator.Service) bool {
	return equalHomes(normalizeHomes(one), normalizeHomes(two))
}

func equalHomes(one, two []*fpoperator.Home) bool {
	return slices.EqualFunc(one, two, func(a, b *fpoperator.Home) bool {
		return a.GetGroup() == b.GetGroup() && a.GetFirstSlot() == b.GetFirstSlot() && a.GetLastSlot() == b.GetLastSlot()
	})
}

func formatHomes(ser *fpoperator.Service) string {
	var parts []string
	for _, hom := range normalizeHomes(ser) {
		parts = append(parts, fmt.Sprintf("%s: %d to %d", hom.GetGroup(), hom.GetFirstSlot(), hom.GetLastSlot()))
	}
	return strings.Join(parts, ", ")
}

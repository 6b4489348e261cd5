package fpconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Homes returns, for every service, the slots that the group homes. Services without any are left out.
func Homes(cfg *fpoperator.Configuration, group string) []*fpwire.SetHomes {
	var out []*fpwire.SetHomes
	for _, ser := range cfg.GetServices() {
		set := &fpwire.SetHomes{
			Service: ser.GetName(),
			Slots:   Slots(ser),
		}
		for _, hom := range normalHomes(ser) {
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

// ChangedHomes returns the commands that take the group from the homes of old to those of next. A service that left the
// group has a command without homes. A nil old stands for no configuration.
func ChangedHomes(old, next *fpoperator.Configuration, group string) []*fpwire.SetHomes {
	before := map[string]*fpwire.SetHomes{}
	for _, set := range Homes(old, group) {
		before[set.GetService()] = set
	}
	var out []*fpwire.SetHomes
	for _, set := range Homes(next, group) {
		was := before[set.GetService()]
		delete(before, set.GetService())
		if was == nil || !equalHomes(was.GetHomes(), set.GetHomes()) {
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

// HomeOf returns the group that homes the slot, or "".
func HomeOf(ser *fpoperator.Service, slot uint32) string {
	for _, hom := range ser.GetHomes() {
		if slot >= hom.GetFirstSlot() && slot <= hom.GetLastSlot() {
			return hom.GetGroup()
		}
	}
	return ""
}

// normalHomes returns the homes in the order of their slots, with adjacent ranges of one group joined.
func normalHomes(ser *fpoperator.Service) []*fpoperator.Home {
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

func sameHomes(one, two *fpoperator.Service) bool {
	return equalHomes(normalHomes(one), normalHomes(two))
}

func equalHomes(one, two []*fpoperator.Home) bool {
	return slices.EqualFunc(one, two, func(a, b *fpoperator.Home) bool {
		return a.GetGroup() == b.GetGroup() && a.GetFirstSlot() == b.GetFirstSlot() && a.GetLastSlot() == b.GetLastSlot()
	})
}

func homesText(ser *fpoperator.Service) string {
	var parts []string
	for _, hom := range normalHomes(ser) {
		parts = append(parts, fmt.Sprintf("%s: %d to %d", hom.GetGroup(), hom.GetFirstSlot(), hom.GetLastSlot()))
	}
	return strings.Join(parts, ", ")
}

package fpgrant

import (
	"cmp"
	"slices"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// slotRange is a range of slots, including first and last.
type slotRange struct{ first, last uint32 }

// SetHomes sets the slots of a service that are homed in this group. All homes in the command count, whatever group they
// name. Added slots are free. It changes nothing and returns an error of kind VersionConflict if a removed slot has an owner
// or a split key, if the number of slots of the service differs from the known one, or if a home exceeds it.
func (tab *Table) SetHomes(pos Position, set *fpwire.SetHomes) error {
	want := mergeHomes(set.GetHomes())
	if last := len(want) - 1; last >= 0 && want[last].last >= set.GetSlots() {
		return conflict("a home of service %s includes slot %d, but the service has %d slots", set.GetService(),
			want[last].last, set.GetSlots())
	}
	if len(tab.cells) == 0 {
		tab.init()
	}
	id, known := tab.byName[set.GetService()]
	if known && tab.services[id].slots != set.GetSlots() {
		return conflict("service %s has %d slots, the number cannot change to %d", set.GetService(),
			tab.services[id].slots, set.GetSlots())
	}
	if !known {
		id = uint32(len(tab.services))
	}
	var kept, removed []span
	if known {
		kept, removed = splitSpans(tab.services[id].spans, want)
	}
	if err := tab.checkRemovable(set.GetService(), removed); err != nil {
		return err
	}
	tab.advance(pos)
	if !known {
		tab.byName[set.GetService()] = id
		tab.services = append(tab.services, homedService{
			name:  set.GetService(),
			slots: set.GetSlots(),
		})
	}
	tab.removeSpans(id, removed, pos)
	spans := append(slices.Clone(kept), tab.addSpans(id, uncovered(kept, want))...)
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.first, b.first) })
	tab.services[id].spans = spans
	tab.indexSpans()
	return nil
}

// mergeHomes returns the slot ranges of the homes in ascending order, with overlapping and adjacent ranges merged.
func mergeHomes(homes []*fpoperator.Home) []slotRange {
	all := make([]slotRange, 0, len(homes))
	for _, hom := range homes {
		all = append(all, slotRange{
			first: hom.GetFirstSlot(),
			last:  hom.GetLastSlot(),
		})
	}
	slices.SortFunc(all, func(a, b slotRange) int { return cmp.Compare(a.first, b.first) })
	var merged []slotRange
	for _, ran := range all {
		if last := len(merged) - 1; last >= 0 && ran.first <= merged[last].last+1 {
			merged[last].last = max(merged[last].last, ran.last)
			continue
		}
		merged = append(merged, ran)
	}
	return merged
}

// splitSpans returns the subspans that are inside the wanted ranges and those that are outside.
func splitSpans(spans []span, want []slotRange) (kept, removed []span) {
	for _, spa := range spans {
		next := spa.first
		for _, ran := range want {
			lo, hi := max(ran.first, spa.first), min(ran.last, spa.last)
			if lo > hi {
				continue
			}
			if next < lo {
				removed = append(removed, subspan(spa, next, lo-1))
			}
			kept = append(kept, subspan(spa, lo, hi))
			next = hi + 1
		}
		if next <= spa.last {
			removed = append(removed, subspan(spa, next, spa.last))
		}
	}
	return kept, removed
}

// subspan returns the span of the slots first to last within spa.
func subspan(spa span, first, last uint32) span {
	return span{
		service: spa.service,
		first:   first,
		last:    last,
		base:    spa.base + first - spa.first,
	}
}

// uncovered returns the subranges of the wanted ranges that no span covers. Spans must be ordered by first.
func uncovered(spans []span, want []slotRange) []slotRange {
	var out []slotRange
	for _, ran := range want {
		next := ran.first
		for _, spa := range spans {
			if spa.last < ran.first || spa.first > ran.last {
				continue
			}
			if next < spa.first {
				out = append(out, slotRange{
					first: next,
					last:  spa.first - 1,
				})
			}
			next = spa.last + 1
		}
		if next <= ran.last {
			out = append(out, slotRange{
				first: next,
				last:  ran.last,
			})
		}
	}
	return out
}

// checkRemovable returns an error if any slot of the spans has an owner or a split key.
func (tab *Table) checkRemovable(service string, removed []span) error {
	for _, spa := range removed {
		for ref := spa.base; ref <= spa.base+spa.last-spa.first; ref++ {
			if tab.cells[ref].state != stateFree {
				return conflict("slot %d of service %s still has an owner", spa.first+ref-spa.base, service)
			}
		}
		for nam := range tab.splits {
			if nam.service == spa.service && nam.number >= spa.first && nam.number <= spa.last {
				return conflict("slot %d of service %s still has a split key", nam.number, service)
			}
		}
	}
	return nil
}

// removeSpans removes the cells of the spans and raises the last epoch of the service to the highest epoch among them.
func (tab *Table) removeSpans(id uint32, removed []span, pos Position) {
	for _, spa := range removed {
		for ref := spa.base; ref <= spa.base+spa.last-spa.first; ref++ {
			tab.services[id].lastEpoch = max(tab.services[id].lastEpoch, tab.cells[ref].epoch)
			tab.unlinkChange(ref)
			tab.cells[ref] = cell{}
		}
		tab.slotCount -= int(spa.last - spa.first + 1)
		tab.floor = pos
	}
}

// addSpans adds free cells for the slot ranges of a service and returns their spans.
func (tab *Table) addSpans(id uint32, fresh []slotRange) []span {
	var spans []span
	for _, ran := range fresh {
		base := uint32(len(tab.cells))
		tab.cells = append(tab.cells, make([]cell, ran.last-ran.first+1)...)
		for ref := base; ref < uint32(len(tab.cells)); ref++ {
			tab.cells[ref].state = stateFree
			tab.cells[ref].epoch = tab.services[id].lastEpoch
		}
		tab.slotCount += int(ran.last - ran.first + 1)
		spans = append(spans, span{
			service: id,
			first:   ran.first,
			last:    ran.last,
			base:    base,
		})
	}
	return spans
}

// indexSpans rebuilds the list of all spans, in which the name of a cell is looked up.
func (tab *Table) indexSpans() {
	tab.spans = tab.spans[:0]
	for _, hom := range tab.services {
		tab.spans = append(tab.spans, hom.spans...)
	}
	slices.SortFunc(tab.spans, func(a, b span) int { return cmp.Compare(a.base, b.base) })
}

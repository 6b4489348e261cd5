package fpgrant

import (
	"cmp"
	"slices"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// slotRange is the slots first to last, both included.
type slotRange struct{ first, last uint32 }

// SetHomes sets the slots of a service that are homed in this group. Every home in the command counts, whatever its
// group. Slots enter as free. It changes nothing and returns an error of kind VersionConflict when a slot that leaves
// has an owner or a split key, or when the number of slots of the service changes.
func (tab *Table) SetHomes(pos Position, set *fpwire.SetHomes) error {
	want := ranges(set.GetHomes())
	if last := len(want) - 1; last >= 0 && want[last].last >= set.GetSlots() {
		return conflict("homes of %s name slot %d of %d", set.GetService(), want[last].last, set.GetSlots())
	}
	if len(tab.cells) == 0 {
		tab.init()
	}
	id, known := tab.byName[set.GetService()]
	if known && tab.services[id].slots != set.GetSlots() {
		return conflict("%s has %d slots, which never change to %d", set.GetService(), tab.services[id].slots,
			set.GetSlots())
	}
	if !known {
		id = uint32(len(tab.services))
	}
	var kept, gone []span
	if known {
		kept, gone = divide(tab.services[id].spans, want)
	}
	if err := tab.checkLeaving(set.GetService(), gone); err != nil {
		return err
	}
	tab.advance(pos)
	if !known {
		tab.byName[set.GetService()] = id
		tab.services = append(tab.services, homed{
			name:  set.GetService(),
			slots: set.GetSlots(),
		})
	}
	tab.drop(id, gone, pos)
	spans := append(slices.Clone(kept), tab.enter(id, missing(kept, want))...)
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.first, b.first) })
	tab.services[id].spans = spans
	tab.indexSpans()
	return nil
}

// ranges returns the homes ordered and without overlaps.
func ranges(homes []*fpoperator.Home) []slotRange {
	all := make([]slotRange, 0, len(homes))
	for _, hom := range homes {
		all = append(all, slotRange{
			first: hom.GetFirstSlot(),
			last:  hom.GetLastSlot(),
		})
	}
	slices.SortFunc(all, func(a, b slotRange) int { return cmp.Compare(a.first, b.first) })
	var merged []slotRange
	for _, one := range all {
		if last := len(merged) - 1; last >= 0 && one.first <= merged[last].last+1 {
			merged[last].last = max(merged[last].last, one.last)
			continue
		}
		merged = append(merged, one)
	}
	return merged
}

// divide splits spans into the parts inside and outside the wanted ranges.
func divide(spans []span, want []slotRange) (kept, gone []span) {
	for _, spa := range spans {
		next := spa.first
		for _, ran := range want {
			lo, hi := max(ran.first, spa.first), min(ran.last, spa.last)
			if lo > hi {
				continue
			}
			if next < lo {
				gone = append(gone, cut(spa, next, lo-1))
			}
			kept = append(kept, cut(spa, lo, hi))
			next = hi + 1
		}
		if next <= spa.last {
			gone = append(gone, cut(spa, next, spa.last))
		}
	}
	return kept, gone
}

func cut(spa span, first, last uint32) span {
	return span{
		service: spa.service,
		first:   first,
		last:    last,
		base:    spa.base + first - spa.first,
	}
}

// missing returns the wanted ranges that no span covers. Spans are ordered by first.
func missing(spans []span, want []slotRange) []slotRange {
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

func (tab *Table) checkLeaving(service string, gone []span) error {
	for _, spa := range gone {
		for ref := spa.base; ref <= spa.base+spa.last-spa.first; ref++ {
			if tab.cells[ref].state != stateFree {
				return conflict("slot %d of %s still has an owner", spa.first+ref-spa.base, service)
			}
		}
		for nam := range tab.splits {
			if nam.service == spa.service && nam.number >= spa.first && nam.number <= spa.last {
				return conflict("slot %d of %s still has a split key", nam.number, service)
			}
		}
	}
	return nil
}

func (tab *Table) drop(id uint32, gone []span, pos Position) {
	for _, spa := range gone {
		for ref := spa.base; ref <= spa.base+spa.last-spa.first; ref++ {
			tab.services[id].lastEpoch = max(tab.services[id].lastEpoch, tab.cells[ref].epoch)
			tab.unlinkChange(ref)
			tab.cells[ref] = cell{}
		}
		tab.homedNow -= int(spa.last - spa.first + 1)
		tab.floor = pos
	}
}

func (tab *Table) enter(id uint32, fresh []slotRange) []span {
	var spans []span
	for _, ran := range fresh {
		base := uint32(len(tab.cells))
		tab.cells = append(tab.cells, make([]cell, ran.last-ran.first+1)...)
		for ref := base; ref < uint32(len(tab.cells)); ref++ {
			tab.cells[ref].state = stateFree
			tab.cells[ref].epoch = tab.services[id].lastEpoch
		}
		tab.homedNow += int(ran.last - ran.first + 1)
		spans = append(spans, span{
			service: id,
			first:   ran.first,
			last:    ran.last,
			base:    base,
		})
	}
	return spans
}

// indexSpans rebuilds the list by which a cell's name is found.
func (tab *Table) indexSpans() {
	tab.spans = tab.spans[:0]
	for _, hom := range tab.services {
		tab.spans = append(tab.spans, hom.spans...)
	}
	slices.SortFunc(tab.spans, func(a, b span) int { return cmp.Compare(a.base, b.base) })
}

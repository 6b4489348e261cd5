package fpkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// Overlap is a grant that was answered while another upstream could still hold some of its keys.
type Overlap struct {
	Service string
	// Range is the granted range, and Other a range that its other holder may still hold.
	Range, Other *fpstate.Range
	// Remaining is the longest time for which the other holder may still hold its keys.
	Remaining time.Duration
}

// hold is a range with the time until which its holder may hold it, as far as the results of orders tell.
type hold struct {
	ran   *fpstate.Range
	until time.Time
}

// holdAudit checks grants against the holds that earlier orders have left. It takes no part in decisions, so that it also finds
// overlaps that a wrong decision causes.
type holdAudit struct {
	holds map[string][]hold // by service
	// ends holds the ended incarnations, each with the time at which their orders in flight have ended, too.
	ends     map[incarnation]time.Time
	overlaps []Overlap
}

// granted records that a grant may have arrived. An answered one is compared with the holds of other upstreams.
func (aud *holdAudit) granted(now time.Time, ord Order, answered bool, until time.Time) {
	if _, ended := aud.ends[incarnationOf(ord.Range)]; ended {
		return // a grant that was in flight when its holder ended
	}
	left := aud.holds[ord.Service][:0]
	for _, hol := range aud.holds[ord.Service] {
		if !hol.until.After(now) {
			continue
		}
		overlaps := hol.ran.GetFirst() <= ord.Range.GetLast() && hol.ran.GetLast() >= ord.Range.GetFirst()
		switch {
		case overlaps && hol.ran.GetUpstream() == ord.Range.GetUpstream():
			left = append(left, splitHold(hol, ord.Range)...)
			continue
		case overlaps && answered:
			aud.overlaps = append(aud.overlaps, Overlap{
				Service:   ord.Service,
				Range:     ord.Range,
				Other:     hol.ran,
				Remaining: hol.until.Sub(now),
			})
		}
		left = append(left, hol)
	}
	aud.holds[ord.Service] = append(left, hold{
		ran:   ord.Range,
		until: until,
	})
}

// released records that the holder of a range has given it back.
func (aud *holdAudit) released(service string, ran *fpstate.Range) {
	var left []hold
	for _, hol := range aud.holds[service] {
		if hol.ran.GetUpstream() != ran.GetUpstream() {
			left = append(left, hol)
			continue
		}
		left = append(left, splitHold(hol, ran)...)
	}
	aud.holds[service] = left
}

// ended records that an incarnation of an upstream, which held a range, has ended. The results of orders to it are of no meaning
// until the given time, which is after the last of them.
func (aud *holdAudit) ended(now time.Time, service string, ran *fpstate.Range, until time.Time) {
	if inc := incarnationOf(ran); aud.ends[inc].IsZero() {
		maps.DeleteFunc(aud.ends, func(_ incarnation, end time.Time) bool { return now.After(end) })
		aud.ends[inc] = until
	}
	aud.holds[service] = slices.DeleteFunc(aud.holds[service], func(hol hold) bool {
		return hol.ran.GetUpstream() == ran.GetUpstream() && hol.ran.GetBorn() <= ran.GetBorn()
	})
}

// splitHold returns the parts of a hold outside of a range.
func splitHold(hol hold, ran *fpstate.Range) []hold {
	var parts []hold
	for _, part := range subtractRange([]*fpstate.Range{hol.ran}, ran) {
		parts = append(parts, hold{
			ran:   part,
			until: hol.until,
		})
	}
	return parts
}

// TakeOverlaps returns the overlaps that were found since the last call.
func (kee *Keeper) TakeOverlaps() []Overlap {
	found := kee.audit.overlaps
	kee.audit.overlaps = nil
	return found
}

package fpgroup

import (
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// membershipAt is a membership and the index of the entry that holds it. The first one of a log has the log's base index.
type membershipAt struct {
	index   uint64
	members *fpwire.Membership
}

// entryLog is the log in the memory of the core: the entries after base, whether synced or not.
type entryLog struct {
	base    Position
	entries []*fpwire.Entry
	// memberships holds the membership in force at base and all later ones, oldest first. It is never empty.
	memberships []membershipAt
}

func newEntryLog(base Position, mem *fpwire.Membership, entries []*fpwire.Entry) *entryLog {
	elo := &entryLog{
		base: base,
		memberships: []membershipAt{{
			index:   base.Index,
			members: mem,
		}},
	}
	elo.append(entries)
	return elo
}

// last returns the position of the last entry.
func (elo *entryLog) last() Position {
	if len(elo.entries) == 0 {
		return elo.base
	}
	ent := elo.entries[len(elo.entries)-1]
	return Position{
		Term:  ent.GetTerm(),
		Index: ent.GetIndex(),
	}
}

// term returns the term of the entry with the given index, from base to the last entry, and false for any other index.
func (elo *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == elo.base.Index:
		return elo.base.Term, true
	case index < elo.base.Index || index > elo.last().Index:
		return 0, false
	default:
		return elo.entries[index-elo.base.Index-1].GetTerm(), true
	}
}

// contains reports whether the entry at this position, with this term, is in the log or is its base.
func (elo *entryLog) contains(pos Position) bool {
	term, ok := elo.term(pos.Index)
	return ok && term == pos.Term
}

// membership returns the newest membership and the index of its entry.
func (elo *entryLog) membership() membershipAt { return elo.memberships[len(elo.memberships)-1] }

// append adds entries that follow the last one.
func (elo *entryLog) append(entries []*fpwire.Entry) {
	elo.entries = append(elo.entries, entries...)
	for _, ent := range entries {
		if ent.GetMembers() != nil {
			elo.memberships = append(elo.memberships, membershipAt{
				index:   ent.GetIndex(),
				members: ent.GetMembers(),
			})
		}
	}
}

// truncate removes the entries from the given index on, which must be after base.
func (elo *entryLog) truncate(from uint64) {
	keep := from - elo.base.Index - 1
	// Limiting the capacity makes the next append copy the entries: other goroutines may still use slices of the old array.
	elo.entries = elo.entries[:keep:keep]
	for elo.membership().index >= from {
		elo.memberships = elo.memberships[:len(elo.memberships)-1]
	}
}

// compact removes the entries up to and including the given index. The entry at index becomes the base.
func (elo *entryLog) compact(index uint64) {
	term, ok := elo.term(index)
	if !ok || index <= elo.base.Index {
		return
	}
	elo.entries = append([]*fpwire.Entry(nil), elo.entries[index-elo.base.Index:]...)
	elo.base = Position{
		Term:  term,
		Index: index,
	}
	for len(elo.memberships) > 1 && elo.memberships[1].index <= index {
		elo.memberships = elo.memberships[1:]
	}
}

// slice returns the entries from lo up to and including hi, as many as fit into limit bytes but at least one. It returns nil
// if the log does not hold the entry at lo.
func (elo *entryLog) slice(lo, hi uint64, limit int) []*fpwire.Entry {
	hi = min(hi, elo.last().Index)
	if lo <= elo.base.Index || lo > hi {
		return nil
	}
	entries := elo.entries[lo-elo.base.Index-1 : hi-elo.base.Index]
	size := 0
	for pos, ent := range entries {
		size += entrySize(ent)
		if pos > 0 && size > limit {
			return entries[:pos:pos]
		}
	}
	return entries[:len(entries):len(entries)]
}

// entrySize returns the approximate size of an entry in bytes.
func entrySize(ent *fpwire.Entry) int {
	const overhead = 32
	if ent.GetMembers() != nil {
		return overhead + proto.Size(ent)
	}
	return overhead + len(ent.GetCommand())
}

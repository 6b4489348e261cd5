package fpgrant

import "github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"

// Position identifies an entry in a group's log. Positions are ordered by Term, then by Index.
type Position struct{ Term, Index uint64 }

// Less reports whether pos comes before other.
func (pos Position) Less(other Position) bool {
	if pos.Term != other.Term {
		return pos.Term < other.Term
	}
	return pos.Index < other.Index
}

// Version returns the wire form of the position, or nil for the zero Position.
func (pos Position) Version() *fpoperator.Version {
	if pos == (Position{}) {
		return nil
	}
	return &fpoperator.Version{
		Term:  pos.Term,
		Index: pos.Index,
	}
}

// PositionOf returns the position of a wire version, or the zero Position for nil.
func PositionOf(ver *fpoperator.Version) Position {
	return Position{
		Term:  ver.GetTerm(),
		Index: ver.GetIndex(),
	}
}

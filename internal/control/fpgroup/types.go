package fpgroup

import (
	"fmt"
	"time"
)

// Position is the place of an entry in the log. Positions are ordered by Term, then by Index.
type Position struct {
	Term  uint64
	Index uint64
}

// Compare returns -1, 0 or 1 when pos is before, equal to or after other.
func (pos Position) Compare(other Position) int {
	switch {
	case pos == other:
		return 0
	case pos.Term < other.Term, pos.Term == other.Term && pos.Index < other.Index:
		return -1
	default:
		return 1
	}
}

// String returns the position as (term, index).
func (pos Position) String() string { return fmt.Sprintf("(%d, %d)", pos.Term, pos.Index) }

// Machine is the replicated state machine of a group. All methods are called from one goroutine.
type Machine interface {
	// Apply runs a command. It is deterministic: the result and the new state depend on nothing but the state before,
	// the position and the command. The result must not be changed afterwards.
	Apply(pos Position, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Leadership is the right of a leader to act.
type Leadership struct {
	// Term is the leader's term.
	Term uint64
	// Since is when the VM won its election.
	Since time.Time
	// ValidUntil is the end of the lease. Check it with Valid.
	ValidUntil time.Time
}

// Valid reports whether the lease has not ended at now, which comes from time.Now, on either clock.
func (lea Leadership) Valid(now time.Time) bool {
	return now.Before(lea.ValidUntil) && now.Round(0).Before(lea.ValidUntil.Round(0))
}

// Role is what a VM is in its group.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (rol Role) String() string {
	switch rol {
	case PreCandidate:
		return "preCandidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "follower"
	}
}

// Member is a VM of a group.
type Member struct {
	VM string
	// Incarnation is that of the VM's data folder; 0 means that it is not known yet.
	Incarnation uint64
	// Learner states that the member has no vote.
	Learner bool
}

// MemberStatus is a member as the VM that is asked sees it.
type MemberStatus struct {
	Member
	// Match is the highest index that the member is known to have synced. Only the leader knows it.
	Match uint64
	// Heard is the incarnation from which the leader last heard, or 0. If it differs from Incarnation, the member's disk
	// was lost, and the member needs a repair.
	Heard uint64
}

// Status is a summary of a group on one VM.
type Status struct {
	Term      uint64
	Role      Role
	Leader    string
	Commit    uint64
	Applied   Position
	LastIndex uint64
	Members   []MemberStatus
	// Stalled states that the disk refuses writes.
	Stalled  bool
	Counters Counters
}

// Counters count events since the group was created.
type Counters struct {
	Elections       uint64
	StepDowns       uint64
	Batches         uint64
	DroppedReceived uint64
	DroppedSent     uint64
	ForeignMessages uint64
	Snapshots       uint64
	Installs        uint64
}

package fpgroup

import (
	"fmt"
	"time"
)

// Position identifies an entry of the log. Positions are ordered by Term, then by Index.
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

// Machine is the replicated state machine of a group. Its methods are never called concurrently.
type Machine interface {
	// Apply executes the command of the entry at pos. It must be deterministic: the result and the new state depend only on
	// the previous state, the position and the command. The result must not be changed afterwards.
	Apply(pos Position, command []byte) (result []byte)
	// Snapshot returns the encoded state. After an error the group continues without a new snapshot.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot. An error stops the group.
	Restore(snapshot []byte) error
}

// Leadership is a leader lease: the right of a leader to act until a point in time.
type Leadership struct {
	// Term is the leader's term.
	Term uint64
	// Since is when the VM won its election.
	Since time.Time
	// ValidUntil is the end of the lease, with a monotonic clock reading. Valid compares it.
	ValidUntil time.Time
}

// Valid reports whether the lease is still valid at now, both on the monotonic and on the wall clock. now must come from
// time.Now, so that it has a monotonic clock reading.
func (lea Leadership) Valid(now time.Time) bool {
	return now.Before(lea.ValidUntil) && now.Round(0).Before(lea.ValidUntil.Round(0))
}

// Role is the role of a VM in the consensus protocol.
type Role uint8

const (
	// Follower is the role of a VM that has none of the other roles. Learners are always followers.
	Follower Role = iota
	// PreCandidate is the role of a VM that asks for pre-votes.
	PreCandidate
	// Candidate is the role of a VM that asks for votes.
	Candidate
	// Leader is the role of the VM that won the election of its term.
	Leader
)

// String returns the name of the role, in camel case.
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
	// Incarnation identifies the data folder of the VM; 0 means that it is not known yet.
	Incarnation uint64
	// Learner states that the member receives the log but has no vote.
	Learner bool
}

// MemberStatus is the status of a member as the VM that reports it knows it.
type MemberStatus struct {
	Member
	// Match is the highest index that the member is known to have synced. Only the leader knows it of other members; it is
	// 0 elsewhere.
	Match uint64
	// Heard is the incarnation from which the leader last received a response, or 0 if there was none. For the reporting VM
	// it is its own incarnation; for other members it is 0 unless that VM leads. If Heard and Incarnation are both known and
	// differ, the member's disk was lost, and the member needs a repair. The dump of a VM writes the field under this name.
	Heard uint64
}

// Status is the state of a group on one VM.
type Status struct {
	Term uint64
	Role Role
	// Leader is the VM that leads in Term, or empty if it is not known.
	Leader string
	// Commit is the highest index that is known to be committed and in the log. After a start, it is what the log has recorded.
	Commit uint64
	// Known is the highest index that is known to be committed, whether this VM has the entry or not.
	Known uint64
	// Applied is the position of the last applied entry.
	Applied Position
	// LastIndex is the index of the last entry in the log, whether synced or not.
	LastIndex uint64
	Members   []MemberStatus
	// Stalled states that the last write to disk failed and is being retried. The VM then neither leads nor acknowledges.
	Stalled  bool
	Counters Counters
}

// Counters count events since the group was created.
type Counters struct {
	// Elections counts the elections that this VM started, without pre-votes.
	Elections uint64
	// StepDowns counts how often this VM ended its leadership.
	StepDowns uint64
	// Batches counts the batches that were handed to the storage.
	Batches uint64
	// DroppedReceived counts received messages that were dropped because the inbox was full, or because this VM sent them.
	DroppedReceived uint64
	// DroppedSent counts messages that were dropped because the outbox of their receiver was full.
	DroppedSent uint64
	// ForeignMessages counts messages that were ignored because they are malformed or come from, or are for, a VM, an
	// incarnation or a group that does not match.
	ForeignMessages uint64
	// Snapshots counts snapshots of the local machine that were stored.
	Snapshots uint64
	// Installs counts snapshots that were received from a leader.
	Installs uint64
}

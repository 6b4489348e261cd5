package fpgroup

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// findMember returns the member with the given VM, or nil.
func findMember(mem *fpwire.Membership, vm string) *fpwire.Member {
	for _, member := range mem.GetMembers() {
		if member.GetVm() == vm {
			return member
		}
	}
	return nil
}

// votersOf returns the members with a vote.
func votersOf(mem *fpwire.Membership) []*fpwire.Member {
	var voters []*fpwire.Member
	for _, member := range mem.GetMembers() {
		if !member.GetLearner() {
			voters = append(voters, member)
		}
	}
	return voters
}

// isBound reports whether the incarnations of all voters are known.
func isBound(mem *fpwire.Membership) bool {
	for _, voter := range votersOf(mem) {
		if voter.GetIncarnation() == 0 {
			return false
		}
	}
	return true
}

// quorumOf returns the number of voters in a quorum: all of them until the incarnations of all are known, then a majority.
func quorumOf(mem *fpwire.Membership) int {
	count := len(votersOf(mem))
	if !isBound(mem) {
		return count
	}
	return count/2 + 1
}

// withMember returns a copy of the membership to which the member is added. It replaces a member with the same VM.
func withMember(mem *fpwire.Membership, member *fpwire.Member) *fpwire.Membership {
	next := withoutMember(mem, member.GetVm())
	next.Members = append(next.Members, member)
	slices.SortFunc(next.Members, compareMembers)
	return next
}

// withoutMember returns a copy of the membership without the given VM.
func withoutMember(mem *fpwire.Membership, vm string) *fpwire.Membership {
	next := proto.CloneOf(mem)
	next.Members = slices.DeleteFunc(next.Members, func(member *fpwire.Member) bool {
		return member.GetVm() == vm
	})
	return next
}

// compareMembers orders members by VM.
func compareMembers(a, b *fpwire.Member) int {
	switch {
	case a.GetVm() < b.GetVm():
		return -1
	case a.GetVm() > b.GetVm():
		return 1
	default:
		return 0
	}
}

// initialMembership returns the membership of a group whose log is empty.
func initialMembership(voters []Member) *fpwire.Membership {
	mem := &fpwire.Membership{}
	for _, voter := range voters {
		mem.Members = append(mem.Members, &fpwire.Member{
			Vm:          voter.VM,
			Incarnation: voter.Incarnation,
			Learner:     voter.Learner,
		})
	}
	slices.SortFunc(mem.Members, compareMembers)
	return mem
}

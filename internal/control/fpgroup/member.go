package fpgroup

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// findMember returns the member with the given VM, or nil.
func findMember(mem *fpwire.Membership, vm string) *fpwire.Member {
	for _, one := range mem.GetMembers() {
		if one.GetVm() == vm {
			return one
		}
	}
	return nil
}

// votersOf returns the members with a vote.
func votersOf(mem *fpwire.Membership) []*fpwire.Member {
	var all []*fpwire.Member
	for _, one := range mem.GetMembers() {
		if !one.GetLearner() {
			all = append(all, one)
		}
	}
	return all
}

// isBound reports whether the incarnations of all voters are known.
func isBound(mem *fpwire.Membership) bool {
	for _, one := range votersOf(mem) {
		if one.GetIncarnation() == 0 {
			return false
		}
	}
	return true
}

// quorumOf returns how many voters make a quorum: all of them until they are bound, then a majority.
func quorumOf(mem *fpwire.Membership) int {
	count := len(votersOf(mem))
	if !isBound(mem) {
		return count
	}
	return count/2 + 1
}

// withMember returns a copy of the membership in which the member replaces the one with the same VM.
func withMember(mem *fpwire.Membership, one *fpwire.Member) *fpwire.Membership {
	next := withoutMember(mem, one.GetVm())
	next.Members = append(next.Members, one)
	slices.SortFunc(next.Members, compareMembers)
	return next
}

// withoutMember returns a copy of the membership without the given VM.
func withoutMember(mem *fpwire.Membership, vm string) *fpwire.Membership {
	next := proto.CloneOf(mem)
	next.Members = slices.DeleteFunc(next.Members, func(one *fpwire.Member) bool {
		return one.GetVm() == vm
	})
	return next
}

func compareMembers(one, other *fpwire.Member) int {
	switch {
	case one.GetVm() < other.GetVm():
		return -1
	case one.GetVm() > other.GetVm():
		return 1
	default:
		return 0
	}
}

// initialMembership returns the membership of a group without a log.
func initialMembership(voters []Member) *fpwire.Membership {
	mem := &fpwire.Membership{}
	for _, one := range voters {
		mem.Members = append(mem.Members, &fpwire.Member{
			Vm:          one.VM,
			Incarnation: one.Incarnation,
			Learner:     one.Learner,
		})
	}
	slices.SortFunc(mem.Members, compareMembers)
	return mem
}

package fpdirectory

import (
	"testing"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// TestNewestResponse guards against a start with an older state than that of another control VM, and against one that is taken for the
// newest although a member of the group has not answered.
func TestNewestResponse(t *testing.T) {
	members := []string{"a", "b", "c"}
	position := func(committed uint64) *fpstate.WatchResponse {
		return &fpstate.WatchResponse{
			Stale:     true,
			Members:   members,
			Committed: committed,
		}
	}
	for name, test := range map[string]struct {
		responses map[string]*fpstate.WatchResponse
		vm        string
		complete  bool
	}{
		"one is current": {
			responses: map[string]*fpstate.WatchResponse{"a": position(9), "b": {Committed: 7}},
			vm:        "b",
			complete:  true,
		},
		"all stale": {
			responses: map[string]*fpstate.WatchResponse{"a": position(7), "b": position(9), "c": position(8)},
			vm:        "b",
			complete:  true,
		},
		"one is missing": {
			responses: map[string]*fpstate.WatchResponse{"a": position(7), "b": position(9)},
			vm:        "b",
		},
		"a lost disk": {
			responses: map[string]*fpstate.WatchResponse{"a": {Stale: true}},
		},
		"earlier build": {
			responses: map[string]*fpstate.WatchResponse{"a": {Stale: true, Members: members, Index: 9}, "b": position(8), "c": position(8)},
			vm:        "a",
			complete:  true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			if vm, complete := NewestResponse(test.responses); vm != test.vm || complete != test.complete {
				t.Errorf("got %s, complete %t", vm, complete)
			}
		})
	}
}

package fpdirectory

import (
	"maps"
	"slices"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// NewestResponse returns the control VM that has the newest state, of those that have answered a request for their positions, and
// whether all members of the group were asked. A VM whose response is not stale has the newest state, and then complete is true, too.
// vm is empty if no VM has a state; one that has lost its disk knows neither state nor members.
func NewestResponse(responses map[string]*fpstate.WatchResponse) (vm string, complete bool) {
	newest := uint64(0)
	for _, name := range slices.Sorted(maps.Keys(responses)) {
		res := responses[name]
		if !res.GetStale() {
			return name, true
		}
		// Earlier builds name only the index.
		if committed := max(res.GetCommitted(), res.GetIndex()); committed > newest {
			vm, newest = name, committed
		}
	}
	members := responses[vm].GetMembers()
	missing := slices.ContainsFunc(members, func(member string) bool { return responses[member] == nil })
	return vm, len(members) > 0 && !missing
}

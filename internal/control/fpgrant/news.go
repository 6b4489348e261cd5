package fpgrant

import "time"

// TickPause is the pause that a leader makes after each tick. A tick visits every upstream, so one tick for each lease
// renewal would cost time quadratic in the number of upstreams. With the pause, one tick handles all renewals that fell
// due. It delays each step of a move by at most 10 ms.
const TickPause = 10 * time.Millisecond

// PollState identifies the state that poll answers carry. While it stays equal, Keeper.HasUpdates need not be called again
// for a poll that is held.
type PollState struct {
	table         Position
	registry      uint64
	configuration Position
}

// PollState returns the identity of the state that poll answers carry now.
func (kee *Keeper) PollState() PollState {
	return PollState{
		table:         kee.cfg.Table.version,
		registry:      kee.registryVersion,
		configuration: kee.configVersion,
	}
}

package fpgrant

import "time"

// MinTick is the pause that a leader makes after each tick. A tick visits every upstream, so one tick for each lease renewal
// would cost time quadratic in the number of upstreams. With the pause, one tick handles all renewals that fell due. It
// delays each step of a move by at most 10 ms.
const MinTick = 10 * time.Millisecond

// News identifies the state that poll answers carry. While it stays equal, Keeper.News need not be called again for a poll
// that is held.
type News struct {
	table         Position
	registry      uint64
	configuration Position
}

// Latest returns the identity of the state that poll answers carry now.
func (kee *Keeper) Latest() News {
	return News{
		table:         kee.cfg.Table.version,
		registry:      kee.registryVersion,
		configuration: kee.configVersion,
	}
}

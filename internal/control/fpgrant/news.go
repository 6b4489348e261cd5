package fpgrant

import "time"

// MinTick is the pause that a leader makes after each tick. A tick looks at every upstream, so one tick for each renewal
// costs time with the square of their number; a pause lets renewals that are due share a tick. It adds at most 10 ms to each
// step of a move.
const MinTick = 10 * time.Millisecond

// News identifies what polls are told. Polls that wait for news need to look again only when it has changed.
type News struct {
	table         Position
	registry      uint64
	configuration Position
}

// Latest returns what polls are told now.
func (kee *Keeper) Latest() News {
	return News{
		table:         kee.cfg.Table.version,
		registry:      kee.registry,
		configuration: kee.configVersion,
	}
}

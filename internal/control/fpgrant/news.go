package fpgrant

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

package fpgrant

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
)

// maxIncarnations bounds the incarnations of one name that are kept. The newest and the oldest recent ones count.
const maxIncarnations = 8

// Announcements is what a voter has heard from upstreams. It serves a new leader, which must know not only the newest
// incarnation of each upstream but also the recent earlier ones, because requests may still run there. The zero value is
// empty.
type Announcements struct {
	names map[string][]heard // by name, in the order of incarnations
}

type heard struct {
	announce *fpcontract.AnnounceRequest
	first    time.Time
	at       time.Time
}

// Add takes an announcement. One with an older incarnation than the newest known one is ignored.
func (ans *Announcements) Add(now time.Time, ann *fpcontract.AnnounceRequest) {
	if ans.names == nil {
		ans.names = map[string][]heard{}
	}
	name := ann.GetUpstream().GetName()
	list := ans.names[name]
	one := heard{
		announce: ann,
		first:    now,
		at:       now,
	}
	last := len(list) - 1
	switch {
	case last < 0 || list[last].incarnation() < ann.GetUpstream().GetIncarnation():
		if len(list) == maxIncarnations {
			list = slices.Delete(list, maxIncarnations-2, maxIncarnations-1)
		}
		list = append(list, one)
	case list[last].incarnation() == ann.GetUpstream().GetIncarnation():
		one.first = list[last].first
		list[last] = one
	}
	ans.names[name] = list
}

func (hea heard) incarnation() uint64 { return hea.announce.GetUpstream().GetIncarnation() }

// Replay announces to a new Keeper what was heard within the last ten minutes and forgets the rest.
func (ans *Announcements) Replay(now time.Time, kee *Keeper) {
	for _, name := range slices.Sorted(maps.Keys(ans.names)) {
		list := slices.DeleteFunc(ans.names[name], func(hea heard) bool { return now.Sub(hea.at) > memory })
		ans.names[name] = list
		if len(list) == 0 {
			delete(ans.names, name)
		}
		for _, hea := range list {
			kee.Announce(hea.first, hea.announce) // a hold-down counts from the first announcement
			kee.Announce(hea.at, hea.announce)
		}
	}
}

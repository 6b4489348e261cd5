package fpgrant

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
)

// maxIncarnations bounds the incarnations that are kept for each upstream name. Beyond it, a new incarnation replaces the
// second newest one, so that the oldest ones and the two newest are kept.
const maxIncarnations = 8

// Announcements holds the announcements that a voter received from upstreams. A newly elected leader replays them, because
// it must know not only the newest incarnation of each upstream but also recent earlier ones, on which requests may still
// run. The zero value is empty. It is not safe for concurrent use.
type Announcements struct {
	byName map[string][]receivedAnnouncement // by upstream name, ordered by incarnation
}

// receivedAnnouncement is the latest announcement of one incarnation.
type receivedAnnouncement struct {
	request       *fpcontract.AnnounceRequest
	firstReceived time.Time
	lastReceived  time.Time
}

// Add records an announcement that was received at now. An announcement of an older incarnation than the newest known one
// is ignored.
func (ans *Announcements) Add(now time.Time, ann *fpcontract.AnnounceRequest) {
	if ans.byName == nil {
		ans.byName = map[string][]receivedAnnouncement{}
	}
	name := ann.GetUpstream().GetName()
	list := ans.byName[name]
	received := receivedAnnouncement{
		request:       ann,
		firstReceived: now,
		lastReceived:  now,
	}
	last := len(list) - 1
	switch {
	case last < 0 || list[last].incarnation() < ann.GetUpstream().GetIncarnation():
		if len(list) == maxIncarnations {
			list = slices.Delete(list, maxIncarnations-2, maxIncarnations-1)
		}
		list = append(list, received)
	case list[last].incarnation() == ann.GetUpstream().GetIncarnation():
		received.firstReceived = list[last].firstReceived
		list[last] = received
	}
	ans.byName[name] = list
}

func (rea receivedAnnouncement) incarnation() uint64 {
	return rea.request.GetUpstream().GetIncarnation()
}

// Replay passes the announcements of the last ten minutes to a new Keeper and drops older ones.
func (ans *Announcements) Replay(now time.Time, kee *Keeper) {
	for _, name := range slices.Sorted(maps.Keys(ans.byName)) {
		list := slices.DeleteFunc(ans.byName[name], func(rea receivedAnnouncement) bool { return now.Sub(rea.lastReceived) > silentRetention })
		ans.byName[name] = list
		if len(list) == 0 {
			delete(ans.byName, name)
		}
		for _, rea := range list {
			kee.Announce(rea.firstReceived, rea.request) // a hold-down begins at the first announcement
			kee.Announce(rea.lastReceived, rea.request)
		}
	}
}

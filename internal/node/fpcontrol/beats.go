package fpcontrol

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// relayInterval is the time between messages with announcements to the leader.
	relayInterval = time.Second
	// maxBeats bounds the number of upstreams of which the last announcement is remembered.
	maxBeats = 8192
)

// beat is the last announcement of an upstream.
type beat struct {
	born     uint64
	sequence uint64
	at       time.Time
	upstream *fpstate.Upstream
	// relayed states that the leader has this announcement.
	relayed bool
}

// beats holds the last announcement of each upstream that this VM has heard of.
type beats struct {
	mutex sync.Mutex
	last  map[string]*beat
}

func newBeats() *beats {
	return &beats{
		last: map[string]*beat{},
	}
}

// note stores an announcement and reports whether it is newer than all before.
func (bts *beats) note(ups *fpstate.Upstream, sequence uint64) bool {
	bts.mutex.Lock()
	defer bts.mutex.Unlock()
	old := bts.last[ups.GetId()]
	if old != nil && (old.born > ups.GetBorn() || old.born == ups.GetBorn() && old.sequence >= sequence) {
		return false
	}
	if old == nil && len(bts.last) >= maxBeats {
		return true
	}
	bts.last[ups.GetId()] = &beat{
		born:     ups.GetBorn(),
		sequence: sequence,
		at:       time.Now(),
		upstream: ups,
	}
	return true
}

// forget lets the next announcement of an upstream count as new, because the last one could not be stored.
func (bts *beats) forget(id string) {
	bts.mutex.Lock()
	defer bts.mutex.Unlock()
	delete(bts.last, id)
}

// unrelayed returns the announcements that the leader may not have.
func (bts *beats) unrelayed() []*fpstate.Announcement {
	bts.mutex.Lock()
	defer bts.mutex.Unlock()
	var all []*fpstate.Announcement
	for _, one := range bts.last {
		if one.relayed {
			continue
		}
		all = append(all, &fpstate.Announcement{
			Sequence: one.sequence,
			Upstream: &fpstate.Upstream{
				Id:   one.upstream.GetId(),
				Born: one.born,
			},
		})
	}
	return all
}

// relayed notes that the leader has some announcements.
func (bts *beats) relayed(all []*fpstate.Announcement) {
	bts.mutex.Lock()
	defer bts.mutex.Unlock()
	for _, ann := range all {
		one := bts.last[ann.GetUpstream().GetId()]
		if one != nil && one.born == ann.GetUpstream().GetBorn() && one.sequence == ann.GetSequence() {
			one.relayed = true
		}
	}
}

// heardOf returns when an upstream was last heard of.
func (bts *beats) heardOf(ups *fpstate.Upstream) (time.Time, bool) {
	bts.mutex.Lock()
	defer bts.mutex.Unlock()
	one := bts.last[ups.GetId()]
	if one == nil || one.born != ups.GetBorn() {
		return time.Time{}, false
	}
	return one.at, true
}

// relayBeats tells the leader which upstreams have announced themselves here.
func (con *Control) relayBeats(ctx context.Context) {
	for sleep(ctx, relayInterval) {
		leader := con.group.Status().Leader
		if leader == "" || leader == con.cfg.VM {
			continue
		}
		pending := con.beats.unrelayed()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		res, err := con.peer(leader).Announce(call, connect.NewRequest(&fpstate.AnnounceRequest{
			Announcements: pending,
			Entries:       con.followers.count(),
			Vm:            con.cfg.VM,
		}))
		cancel()
		if err != nil {
			con.metrics.lostRelays.Add(1)
			continue
		}
		con.beats.relayed(pending)
		con.followers.setTotal(res.Msg.GetEntries())
	}
}

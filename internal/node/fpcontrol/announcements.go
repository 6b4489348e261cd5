package fpcontrol

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fprate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// relayInterval is the time between two calls that relay announcements to the leader.
	relayInterval = time.Second
	// maxAnnouncements bounds the number of upstreams whose last announcement is kept.
	maxAnnouncements = 8192
)

// announcement is the last announcement of an upstream.
type announcement struct {
	born     uint64 // Unix time in milliseconds at which the process of the upstream started
	sequence uint64
	at       time.Time // when this VM received it
	upstream *fpstate.Upstream
	// relayed states that the leader has confirmed this announcement.
	relayed bool
}

// announcements holds the last announcement of each upstream that has announced itself at this VM, or at another VM that
// relayed it. It is safe for concurrent use.
type announcements struct {
	mutex sync.Mutex
	last  map[string]*announcement
}

func newAnnouncements() *announcements {
	return &announcements{
		last: map[string]*announcement{},
	}
}

// record stores an announcement and reports whether it is newer than all earlier ones of the upstream. Beyond
// maxAnnouncements, announcements of further upstreams are not stored and count as newer.
func (anc *announcements) record(ups *fpstate.Upstream, sequence uint64) bool {
	anc.mutex.Lock()
	defer anc.mutex.Unlock()
	old := anc.last[ups.GetId()]
	if old != nil && (old.born > ups.GetBorn() || old.born == ups.GetBorn() && old.sequence >= sequence) {
		return false
	}
	if old == nil && len(anc.last) >= maxAnnouncements {
		return true
	}
	anc.last[ups.GetId()] = &announcement{
		born:     ups.GetBorn(),
		sequence: sequence,
		at:       time.Now(),
		upstream: ups,
	}
	return true
}

// forget deletes the last announcement of an upstream, so that the next one counts as newer. It is used when the control VMs
// could not commit the announcement.
func (anc *announcements) forget(id string) {
	anc.mutex.Lock()
	defer anc.mutex.Unlock()
	delete(anc.last, id)
}

// unrelayed returns the announcements that the leader has not confirmed, with only id, start time and sequence.
func (anc *announcements) unrelayed() []*fpstate.Announcement {
	anc.mutex.Lock()
	defer anc.mutex.Unlock()
	var all []*fpstate.Announcement
	for _, one := range anc.last {
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

// markRelayed records that the leader has confirmed announcements. Those that were replaced by newer ones stay unrelayed.
func (anc *announcements) markRelayed(all []*fpstate.Announcement) {
	anc.mutex.Lock()
	defer anc.mutex.Unlock()
	for _, ann := range all {
		one := anc.last[ann.GetUpstream().GetId()]
		if one != nil && one.born == ann.GetUpstream().GetBorn() && one.sequence == ann.GetSequence() {
			one.relayed = true
		}
	}
}

// lastSeen returns when this VM last received an announcement of an incarnation of an upstream, and whether it has received
// any.
func (anc *announcements) lastSeen(ups *fpstate.Upstream) (time.Time, bool) {
	anc.mutex.Lock()
	defer anc.mutex.Unlock()
	one := anc.last[ups.GetId()]
	if one == nil || one.born != ups.GetBorn() {
		return time.Time{}, false
	}
	return one.at, true
}

// relayAnnouncements relays announcements that this VM has received to the leader until ctx ends, with the entry VMs that
// follow this VM.
func (con *Control) relayAnnouncements(ctx context.Context) {
	heldBy, held := "", uint64(0) // the leader that holds the followers with a digest
	for sleep(ctx, relayInterval) {
		leader := con.group.Status().Leader
		if leader == "" || leader == con.cfg.VM {
			continue
		}
		pending := con.announcements.unrelayed()
		sent := time.Now()
		followers, digest := con.relays.Followers(sent)
		if heldBy == leader && held == digest {
			followers = nil
		}
		_, known := con.relays.All(sent, 0)
		cold := con.cold.toConfirm()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		res, err := con.peer(leader).Announce(call, connect.NewRequest(&fpstate.AnnounceRequest{
			Announcements:   pending,
			Entries:         con.followers.count(),
			Vm:              con.cfg.VM,
			Followers:       followers,
			FollowersDigest: digest,
			RelaysDigest:    known,
			Level:           con.level,
			Rates:           fprate.EncodeStatements(sent, cold),
		}))
		cancel()
		if err != nil {
			con.metrics.lostRelays.Add(1)
			continue
		}
		con.announcements.markRelayed(pending)
		con.cold.confirm(cold)
		con.followers.setTotal(res.Msg.GetEntries())
		con.rates.Reserve(time.Now(), con.followers.sum())
		con.mergeRates(sent, res.Msg.GetRates())
		heldBy, held = leader, res.Msg.GetFollowersDigest()
		if res.Msg.GetRelaysDigest() != 0 {
			con.relays.Learn(time.Now(), res.Msg.GetRelays())
		}
	}
}

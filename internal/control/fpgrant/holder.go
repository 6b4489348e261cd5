package fpgrant

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
)

// holder is what the leader knows of one upstream name. The fields down to seen describe the name, the others its newest
// incarnation.
type holder struct {
	name string
	// leaseEnd is the moment after which no incarnation of the name holds a lease from this or an earlier term.
	leaseEnd time.Time
	// blocked is the moment after which no other incarnation holds a lease. Until then the newest one gets none, unless
	// it is proven to be the holder.
	blocked time.Time
	granted bool    // a lease was granted in this term
	load    float64 // weight of the slots
	seen    time.Time

	upstream  *fpcontract.Upstream // nil until announced
	published *fpcontract.Upstream // what entry VMs are told
	cameBack  time.Time
	returned  bool
	answered  time.Time
	sent      time.Time
	waiting   bool // the last grant is unanswered
	sentTo    uint64
	token     uint64
	tokenAt   time.Time
	proven    bool
	// forfeited states that slots of earlier incarnations may be left, and unchecked that one of these incarnations
	// checked no fences.
	forfeited bool
	unchecked bool
	// doubtful states that slots of the name may be held by another process than this one, by a grant of an earlier
	// leader. The first answer decides.
	doubtful bool
	// owing states that slots of earlier incarnations are still in the state owned.
	owing bool

	version uint64 // of the wanted set
	base    uint64 // confirmed by the upstream; 0 when unknown
	log     []setChange
	logBase uint64
	// releases are cells at stageHolder with the version of the set that lacks them.
	releases []release
}

type setChange struct {
	ref   uint32
	added bool
}

type release struct {
	ref     uint32
	version uint64
}

// firstVersion is the version of the empty set of a term. Versions carry the term in their upper half, so a version that
// an earlier leader granted is never taken for one of this term.
func (kee *Keeper) firstVersion() uint64 { return kee.cfg.Term<<32 | 1 }

func (kee *Keeper) ours(version uint64) bool {
	return version>>32 == kee.cfg.Term&(1<<32-1) && version != 0
}

// holder returns the record of a name and creates it when needed. An earlier leader may have granted a lease until its
// authority ended, which was before this leader's election.
func (kee *Keeper) holder(name string) *holder {
	if hol := kee.holders[name]; hol != nil {
		return hol
	}
	end := kee.cfg.Elected.Add(kee.stretch(kee.cfg.Lease))
	hol := &holder{
		name:     name,
		leaseEnd: end,
		blocked:  end,
		version:  kee.firstVersion(),
		logBase:  kee.firstVersion(),
	}
	kee.holders[name] = hol
	kee.order = append(kee.order, hol)
	return hol
}

// Announce takes an upstream's announcement and reports whether it changed anything. An announcement with an older
// incarnation than the newest known one is ignored. Its token is not used: a lease is granted only on a token from an
// answer to a Grant, which shows that grants reach the upstream.
func (kee *Keeper) Announce(now time.Time, ann *fpcontract.AnnounceRequest) bool {
	kee.follow()
	ups := ann.GetUpstream()
	hol := kee.holder(ups.GetName())
	if hol.upstream == nil {
		hol.seen = now
		hol.upstream = ups
		hol.doubtful = !ups.GetChecksFence() && kee.cfg.Table.Owned(hol.name) > 0
		hol.unchecked = hol.doubtful
		kee.publish(hol)
		return true
	}
	switch {
	case ups.GetIncarnation() < hol.upstream.GetIncarnation():
		return false
	case ups.GetIncarnation() > hol.upstream.GetIncarnation():
		hol.seen = now
		kee.restarted(now, hol, ups)
		return true
	}
	hol.seen = now
	if hol.published != nil && proto.Equal(ups, hol.upstream) {
		return false
	}
	hol.upstream = ups
	kee.publish(hol)
	return true
}

// restarted replaces a holder's incarnation. Slots of the earlier one go through a whole move back to the same name, so
// that requests that still run on the earlier process end before the new one starts. An earlier incarnation without
// contact in this term may not be the holder; then the first answer of the new one decides.
func (kee *Keeper) restarted(now time.Time, hol *holder, ups *fpcontract.Upstream) {
	contact := hol.granted || !hol.answered.IsZero()
	*hol = holder{
		name:      hol.name,
		leaseEnd:  hol.leaseEnd,
		blocked:   hol.leaseEnd,
		granted:   hol.granted,
		load:      hol.load,
		seen:      now,
		upstream:  ups,
		published: hol.published,
		cameBack:  now,
		returned:  true,
		forfeited: hol.forfeited,
		unchecked: hol.unchecked || !hol.upstream.GetChecksFence(),
		version:   hol.version + 1,
		logBase:   hol.version + 1,
		releases:  hol.releases,
	}
	if contact {
		kee.forfeit(hol)
	} else {
		hol.doubtful = kee.cfg.Table.Owned(hol.name) > 0
	}
	if hol.doubtful && hol.unchecked && hol.published != nil {
		hol.published = nil
		kee.registry++
	}
	kee.publish(hol)
}

// forfeit marks the slots of a name as those of an earlier process.
func (kee *Keeper) forfeit(hol *holder) {
	kee.cfg.Table.held(hol.name, func(ref uint32) { kee.stages[ref] |= flagForfeit })
	hol.forfeited = true
	hol.owing = true
}

// publish updates what entry VMs are told. After a restart of an upstream that checks no fence, entry VMs get the new
// address only once no request can run on the earlier incarnation, since they would send requests for its slots there.
func (kee *Keeper) publish(hol *holder) {
	if hol.published == hol.upstream || hol.doubtful && hol.unchecked {
		return
	}
	if hol.unchecked && kee.forfeits(hol) {
		if !hol.proven {
			return
		}
	} else {
		hol.unchecked = false
	}
	hol.published = hol.upstream
	kee.registry++
}

// forfeits reports whether slots of an earlier incarnation are not yet free of requests.
func (kee *Keeper) forfeits(hol *holder) bool {
	found := false
	kee.cfg.Table.held(hol.name, func(ref uint32) {
		sta := kee.stages[ref]
		found = found || sta&flagForfeit != 0 && sta.step() != stageReady
	})
	return found
}

// change records that a slot enters or leaves the set that the upstream may serve.
func (hol *holder) change(ref uint32, added bool) uint64 {
	hol.version++
	hol.log = append(hol.log, setChange{
		ref:   ref,
		added: added,
	})
	if len(hol.log) > maxSetLog {
		hol.forgetLog()
	}
	return hol.version
}

// forgetLog makes the next grant carry the whole set.
func (hol *holder) forgetLog() {
	hol.log = nil
	hol.logBase = hol.version
	hol.base = 0
}

// GrantAnswer takes the answer to a Grant, or the error of the call, and reports whether a tick is useful now. The caller
// names the upstream as in SendGrant.
func (kee *Keeper) GrantAnswer(now time.Time, name string, res *fpcontract.GrantResponse, err error) bool {
	kee.follow()
	hol := kee.holders[name]
	if hol == nil || hol.upstream == nil {
		return false
	}
	if err != nil {
		hol.waiting = false
		return false
	}
	if res.GetIncarnation() != hol.upstream.GetIncarnation() || res.GetTerm() != kee.cfg.Term {
		return false
	}
	first := hol.answered.IsZero()
	hol.waiting = false
	if !first && now.Sub(hol.answered) > kee.cfg.Lease {
		hol.cameBack, hol.returned = now, true
	}
	hol.answered = now
	if res.GetToken() != 0 {
		hol.token, hol.tokenAt = res.GetToken(), now
	}
	switch {
	case kee.ours(res.GetVersion()):
		kee.confirm(hol, res.GetVersion())
	case res.GetVersion() != 0 && !hol.granted:
		// The upstream reports a version only while its lease lasts. The lease is from the earlier leader, which granted it
		// only after the leases of all other incarnations had ended.
		hol.proven = true
		hol.base = 0
	default:
		hol.base = 0
	}
	kee.resolve(hol)
	return first || hol.sentTo != hol.version || len(hol.releases) > 0
}

// resolve ends the doubt about an upstream at its first answer. Without proof that it is the holder, its slots go through
// a whole move back to the same name.
func (kee *Keeper) resolve(hol *holder) {
	if !hol.doubtful {
		return
	}
	hol.doubtful = false
	if !hol.proven {
		kee.forfeit(hol)
	}
	kee.publish(hol)
}

func (kee *Keeper) confirm(hol *holder, version uint64) {
	if version > hol.version || version < hol.logBase {
		hol.base = 0
		return
	}
	if version > hol.base {
		hol.base = version
	}
	hol.log = hol.log[hol.base-hol.logBase:]
	hol.logBase = hol.base
}

// alive reports whether the upstream answered a grant of this term within a lease.
func (kee *Keeper) alive(now time.Time, hol *holder) bool {
	return hol.upstream != nil && !hol.answered.IsZero() && now.Sub(hol.answered) <= kee.cfg.Lease
}

// leaving reports whether the upstream is to get no new work. Upstreams of a service that the configuration no longer has
// leave, too, so that the group can give up the service's slots.
func (kee *Keeper) leaving(hol *holder) bool {
	removed := kee.configuration != nil && kee.services[hol.upstream.GetService()] == nil
	return hol.upstream.GetDraining() || kee.drained[hol.name] || removed
}

// willing reports whether the upstream answers and takes slots of the service.
func (kee *Keeper) willing(now time.Time, hol *holder, service string) bool {
	return kee.alive(now, hol) && hol.upstream.GetService() == service && !kee.leaving(hol)
}

// eligible reports whether the upstream may get slots of the service now: an entry VM that learns of the new owner must
// learn of its address with the same answer.
func (kee *Keeper) eligible(now time.Time, hol *holder, service string) bool {
	return kee.willing(now, hol, service) && hol.published == hol.upstream
}

// heldDown reports whether the hold-down after a return forbids rebalancing to and from the upstream.
func (kee *Keeper) heldDown(now time.Time, hol *holder) bool {
	return hol.returned && now.Sub(hol.cameBack) < kee.holdDown(hol.upstream.GetService())
}

// grants returns the grants that are due: one every quarter of a lease, and one at once for a changed set unless an
// answer is outstanding.
func (kee *Keeper) grants(now time.Time, next *time.Time) []SendGrant {
	var out []SendGrant
	for _, hol := range kee.order {
		if hol.upstream == nil || !kee.keyed(hol.upstream.GetService()) {
			continue
		}
		due := hol.sent.Add(kee.cfg.Lease / 4)
		urgent := hol.sentTo != hol.version && !hol.waiting && kee.mayLease(now, hol)
		if now.Before(due) && !urgent {
			earlier(next, due)
			continue
		}
		out = append(out, SendGrant{
			Upstream: hol.upstream,
			Request:  kee.grant(now, hol),
		})
		hol.sent = now
		hol.waiting = true
		earlier(next, now.Add(kee.cfg.Lease/4))
	}
	return out
}

// mayLease reports whether a lease may be granted: on a recent token, and only when no other incarnation and no earlier
// term can have left a lease in force. An upstream with slots of an earlier incarnation gets none before these are
// releasing, because a lease proves to the next leader that the upstream holds all slots that are owned by its name.
func (kee *Keeper) mayLease(now time.Time, hol *holder) bool {
	return hol.token != 0 && now.Sub(hol.tokenAt) < kee.cfg.Lease && !hol.doubtful && !hol.owing && (hol.proven || now.After(hol.blocked))
}

func (kee *Keeper) grant(now time.Time, hol *holder) *fpcontract.GrantRequest {
	req := &fpcontract.GrantRequest{
		Group:       kee.cfg.Group,
		Term:        kee.cfg.Term,
		Incarnation: hol.upstream.GetIncarnation(),
	}
	if !kee.mayLease(now, hol) {
		return req
	}
	req.Echo = hol.token
	req.Lease = durationpb.New(kee.cfg.Lease)
	req.Version = hol.version
	if hol.base < hol.logBase {
		req.Added = kee.wholeSet(hol)
	} else {
		req.Base = hol.base
		req.Added, req.Removed = kee.setDelta(hol)
	}
	hol.granted = true
	hol.sentTo = hol.version
	if end := hol.tokenAt.Add(kee.stretch(kee.cfg.Lease)); end.After(hol.leaseEnd) {
		hol.leaseEnd = end
	}
	return req
}

// wanted reports whether a cell of the holder is in the set that it may serve.
func (kee *Keeper) wanted(ref uint32) bool {
	sta := kee.stages[ref]
	return sta&flagForfeit == 0 && sta.step() <= stageViewers
}

func (kee *Keeper) wholeSet(hol *holder) []*fpcontract.Slot {
	out := make([]*fpcontract.Slot, 0, kee.cfg.Table.ownerOf(hol.name).count)
	kee.cfg.Table.held(hol.name, func(ref uint32) {
		if kee.wanted(ref) {
			out = append(out, kee.wireSlot(ref))
		}
	})
	return out
}

// setDelta returns the difference between the confirmed and the wanted set. For each changed slot only its present state
// counts.
func (kee *Keeper) setDelta(hol *holder) (added, removed []*fpcontract.Slot) {
	changes := hol.log[hol.base-hol.logBase:]
	if len(changes) == 0 {
		return nil, nil
	}
	id := kee.cfg.Table.ownerIDs[hol.name]
	done := make(map[uint32]bool, len(changes))
	for _, cha := range changes {
		if done[cha.ref] {
			continue
		}
		done[cha.ref] = true
		if kee.cfg.Table.nameless(cha.ref) {
			continue
		}
		if id != 0 && kee.cfg.Table.cells[cha.ref].owner == id && kee.wanted(cha.ref) {
			added = append(added, kee.wireSlot(cha.ref))
		} else {
			removed = append(removed, kee.wireSlot(cha.ref))
		}
	}
	return added, removed
}

func (kee *Keeper) wireSlot(ref uint32) *fpcontract.Slot {
	nam := kee.cfg.Table.name(ref)
	slo := &fpcontract.Slot{
		Service: kee.cfg.Table.services[nam.service].name,
		Number:  nam.number,
		Epoch:   kee.cfg.Table.cells[ref].epoch,
	}
	if nam.key != "" {
		slo.SplitKey = []byte(nam.key)
	}
	return slo
}

// forgetSilent withdraws upstreams that neither announce themselves nor answer, and later forgets them.
func (kee *Keeper) forgetSilent(now time.Time) {
	kept := kee.order[:0]
	for _, hol := range kee.order {
		silent := now.Sub(hol.seen) > announceSilence && !kee.alive(now, hol) && now.After(hol.leaseEnd)
		if silent && hol.published != nil {
			hol.published = nil
			kee.registry++
		}
		if silent && now.Sub(hol.seen) > memory && len(hol.releases) == 0 && kee.cfg.Table.Owned(hol.name) == 0 {
			delete(kee.holders, hol.name)
			continue
		}
		kept = append(kept, hol)
	}
	clear(kee.order[len(kept):])
	kee.order = kept
}

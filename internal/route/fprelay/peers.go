package fprelay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// Distance is the location of a VM or upstream relative to a VM.
type Distance uint8

// The distances, in order of preference.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

func distanceBetween(one, other *fpstate.EntryVM) Distance {
	switch {
	case one.GetDataCentre() == other.GetDataCentre():
		return SameDataCentre
	case one.GetRegion() == other.GetRegion():
		return SameRegion
	default:
		return OtherRegion
	}
}

const (
	// minHoldDown and maxHoldDown bound how long a peer is not asked after it could not be reached or had no paths itself. The
	// time doubles with each failure in a row.
	minHoldDown = 200 * time.Millisecond
	maxHoldDown = 2 * time.Second
	// minStrandedHoldDown and maxStrandedHoldDown are the same for a peer that has lost its own paths, which may take longer.
	minStrandedHoldDown = time.Second
	maxStrandedHoldDown = 4 * time.Second
	// maxStrandedRefusals is the number of refusals in a row from which on a proven peer, too, counts as one without paths.
	maxStrandedRefusals = 8
	// busyHoldDown is how long a peer without room is not asked.
	busyHoldDown = 100 * time.Millisecond
	// provenFor is how long after its last success a peer counts as proven. Others get few requests at a time.
	provenFor = 2 * time.Second
	// silentAfter is how long a peer with requests in flight may give no answer until it no longer counts as proven. A frozen VM
	// gives none.
	silentAfter = 500 * time.Millisecond
	// enoughProven is the number of proven peers from which on others are not tried. On a full link each refusal costs time.
	enoughProven = 3
	// maxUnproven is the number of requests in flight at a peer that is not proven, unless no other peer is left.
	maxUnproven = 2
)

// Failure is why a peer did not relay a request.
type Failure uint8

// The failures.
const (
	// Unreachable means that the peer could not be reached, or was lost with the request.
	Unreachable Failure = iota
	// Stranded means that the peer has lost its own paths to most upstreams, or that these have ended.
	Stranded
	// Busy means that the peer has no room.
	Busy
)

// Peer is another entry VM that may relay requests. It is used through Peers.
type Peer struct {
	entry    *fpstate.EntryVM
	distance Distance
	// The mutex of Peers guards the fields below.
	inFlight int
	// answeredAt is when the peer last answered, or when the first of the requests in flight was sent.
	answeredAt time.Time
	provenAt   time.Time
	heldUntil  time.Time
	holdDown   time.Duration
	// strandedRefusals counts the failures of the kind Stranded since the last success.
	strandedRefusals int
}

// VM returns the name of the VM.
func (pee *Peer) VM() string { return pee.entry.GetVm() }

// Address returns the IP number and port of the VM's listener for relayed requests.
func (pee *Peer) Address() string { return pee.entry.GetAddress() }

// DataCentre returns the data centre of the VM.
func (pee *Peer) DataCentre() string { return pee.entry.GetDataCentre() }

// Region returns the region of the VM.
func (pee *Peer) Region() string { return pee.entry.GetRegion() }

// Distance returns the location of the VM relative to this one.
func (pee *Peer) Distance() Distance { return pee.distance }

// Peers holds the entry VMs that this one may ask to relay requests. Use NewPeers to create one. It is safe for concurrent use.
type Peers struct {
	own *fpstate.EntryVM

	mutex  sync.Mutex
	digest uint64
	all    []*Peer
}

// NewPeers returns an empty list for the entry VM own.
func NewPeers(own *fpstate.EntryVM) *Peers {
	return &Peers{
		own: own,
	}
}

// Update replaces the list and returns the peers that are no longer in it. What is known of the others stays.
func (prs *Peers) Update(entries []*fpstate.EntryVM, digest uint64) []*Peer {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	old := map[string]*Peer{}
	for _, pee := range prs.all {
		old[key(pee.entry)] = pee
	}
	prs.digest = digest
	prs.all = nil
	for _, ent := range entries {
		pee := old[key(ent)]
		delete(old, key(ent))
		if pee == nil {
			pee = &Peer{}
		}
		pee.entry = ent
		pee.distance = distanceBetween(prs.own, ent)
		prs.all = append(prs.all, pee)
	}
	var removed []*Peer
	for _, pee := range old {
		removed = append(removed, pee)
	}
	return removed
}

// Digest returns the digest with which the list was last updated, or 0.
func (prs *Peers) Digest() uint64 {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	return prs.digest
}

// Len returns the number of peers, and of those that may be asked now.
func (prs *Peers) Len(now time.Time) (all, usable int) {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	for _, pee := range prs.all {
		if !now.Before(pee.heldUntil) {
			usable++
		}
	}
	return len(prs.all), usable
}

// Choose returns the peer to ask, or nil: a near one before a far one, and of two random ones that with fewer requests of this VM
// in flight. excluded peers are not returned.
func (prs *Peers) Choose(now time.Time, excluded func(*Peer) bool) *Peer {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	usable := func(pee *Peer) bool { return !now.Before(pee.heldUntil) && !excluded(pee) }
	nearest := prs.nearest(func(pee *Peer) bool { return usable(pee) && pee.proven(now) })
	if len(nearest) < enoughProven {
		nearest = prs.nearest(func(pee *Peer) bool { return usable(pee) && (pee.proven(now) || pee.inFlight < maxUnproven) })
	}
	if len(nearest) == 0 {
		nearest = prs.nearest(func(pee *Peer) bool { return usable(pee) && !pee.silent(now) })
	}
	if len(nearest) == 0 {
		return nil
	}
	one, other := nearest[rand.IntN(len(nearest))], nearest[rand.IntN(len(nearest))]
	if other.inFlight < one.inFlight {
		return other
	}
	return one
}

// nearest returns those of the usable peers that are nearest. The caller holds the mutex.
func (prs *Peers) nearest(usable func(*Peer) bool) []*Peer {
	var nearest []*Peer
	for _, pee := range prs.all {
		if len(nearest) > 0 && pee.distance > nearest[0].distance || !usable(pee) {
			continue
		}
		if len(nearest) > 0 && pee.distance < nearest[0].distance {
			nearest = nearest[:0]
		}
		nearest = append(nearest, pee)
	}
	return nearest
}

// proven reports whether the peer has lately relayed a request and is not silent.
func (pee *Peer) proven(now time.Time) bool {
	return now.Sub(pee.provenAt) < provenFor && !pee.silent(now)
}

// Silent reports whether a peer has requests in flight and has not answered for a while.
func (prs *Peers) Silent(pee *Peer, now time.Time) bool {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	return pee.silent(now)
}

// silent reports whether the peer has requests in flight and has not answered for a while.
func (pee *Peer) silent(now time.Time) bool {
	return pee.inFlight > 0 && now.Sub(pee.answeredAt) > silentAfter
}

// Begin counts a request that is sent to a peer.
func (prs *Peers) Begin(pee *Peer, now time.Time) {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	if pee.inFlight == 0 {
		pee.answeredAt = now
	}
	pee.inFlight++
}

// End counts the end of a request at a peer.
func (prs *Peers) End(pee *Peer) {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	pee.inFlight--
}

// Succeed records that a peer has relayed a request to an upstream.
func (prs *Peers) Succeed(pee *Peer, now time.Time) {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	pee.provenAt, pee.answeredAt, pee.holdDown, pee.heldUntil = now, now, 0, time.Time{}
	pee.strandedRefusals = 0
}

// Fail records that a peer has not relayed a request. It holds the peer down and returns true, unless the peer is stranded and relays
// other requests.
func (prs *Peers) Fail(pee *Peer, now time.Time, fai Failure) (held bool) {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	if fai == Busy {
		pee.heldUntil = now.Add(busyHoldDown)
		return true
	}
	if now.Before(pee.heldUntil) {
		return true // requests that were in flight together fail together
	}
	if fai == Stranded {
		pee.strandedRefusals++
		if pee.proven(now) && pee.strandedRefusals < maxStrandedRefusals {
			return false
		}
	}
	shortest, longest := minHoldDown, maxHoldDown
	if fai == Stranded {
		shortest, longest = minStrandedHoldDown, maxStrandedHoldDown
	}
	pee.holdDown = min(longest, max(shortest, 2*pee.holdDown))
	pee.heldUntil = now.Add(pee.holdDown)
	pee.provenAt = time.Time{}
	return true
}

package fpforward

import (
	"math"
	"sync"
	"time"
)

const (
	// requestOverhead is the expected size in bytes of the headers of a request and its answer in one direction.
	requestOverhead = 1000
	// linkWindow is the time constant of the mean by which the use of the link is measured.
	linkWindow = time.Second
	// maxRelayedUse is the fraction of a slow link up to which a VM relays small requests. While it relays, maxLargeUse is that up
	// to which it takes bundles and uploads, its own callers' and others'. Small requests come first: they are many and use little
	// of the link.
	maxRelayedUse = 0.9
	maxLargeUse   = 0.5
	// helpingFor is how long after a relayed request a VM counts as one that relays.
	helpingFor = time.Second
)

// linkMeter measures how much of a VM's own network link its requests use. All bytes pass it twice, once in each direction, so that
// one number describes both. The zero value is the meter of a link whose rate does not matter.
type linkMeter struct {
	// rate is that of the link in bytes per second, or 0.
	rate float64

	mutex sync.Mutex
	level float64 // bytes, decaying with linkWindow
	at    time.Time
}

// slowRate returns the rate of a link in bytes per second if it is slow, and 0 otherwise.
func slowRate(link float64) float64 {
	if link >= slowLinkRate {
		return 0
	}
	return max(0, link)
}

// add counts bytes that pass the link.
func (lim *linkMeter) add(now time.Time, bytes int) {
	if lim.rate == 0 {
		return
	}
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	lim.decay(now)
	lim.level += float64(bytes)
}

// decay lets the counted bytes decay until now. The caller holds the mutex.
func (lim *linkMeter) decay(now time.Time) {
	if elapsed := now.Sub(lim.at); elapsed > 0 {
		lim.level *= math.Exp(-float64(elapsed) / float64(linkWindow))
		lim.at = now
	}
}

// hasRoom reports whether the link can take further bytes within a fraction of its rate.
func (lim *linkMeter) hasRoom(now time.Time, bytes int, fraction float64) bool {
	if lim.rate == 0 {
		return true
	}
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	lim.decay(now)
	return lim.level+float64(bytes) <= fraction*lim.rate*linkWindow.Seconds()
}

// perSecond returns the mean number of bytes that have passed the link in a second lately.
func (lim *linkMeter) perSecond(now time.Time) float64 {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	lim.decay(now)
	return lim.level / linkWindow.Seconds()
}

// linkHasRoom reports whether the link has room for a request while this VM relays requests of others.
func (exc *exchange) linkHasRoom(now time.Time) bool {
	if !exc.isLarge() {
		return !exc.relayed || exc.fwd.link.hasRoom(now, requestOverhead, maxRelayedUse)
	}
	if exc.isBundle() {
		return !exc.relayed && !exc.fwd.relayRoom.helping(now) || exc.fwd.link.hasRoom(now, bundleBytes, maxLargeUse)
	}
	// The body of an own caller's upload passes the link also if the request is refused, and again with each retry.
	return !exc.relayed || exc.fwd.link.hasRoom(now, int(max(0, exc.request.ContentLength)), maxLargeUse)
}

// countAnswer counts the bytes of an answer and of the headers.
func (exc *exchange) countAnswer(rep *reply) {
	exc.fwd.link.add(time.Now(), requestOverhead+max(len(rep.body), int(rep.length)))
}

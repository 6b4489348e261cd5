package fpforward

import (
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// linkTarget is the fraction of a slow link that uploads and everything else use together. Above it, packets queue, and small
	// answers and the opening of connections are delayed.
	linkTarget = 0.85
	// minUploadFraction is the fraction of the link that uploads may always use.
	minUploadFraction = 0.15
	// transferFraction is the fraction of the time until the deadline within which the body of an upload must pass the link in both
	// directions. The rest is for the work of the upstream. A refused upload comes back with its body, which takes the link of another
	// VM: with half of the objective, fewer requests of all kinds were served in a burst of uploads.
	transferFraction = 0.8
	// typicalUpload is the size in bytes that is assumed for a body of unknown length.
	typicalUpload = 64 << 10
)

// uploadLink admits uploads to a slow link. A body passes the link twice, from the caller and to the upstream, and takes it from
// small requests for much longer than these take. An upload that the link can't carry in time is refused before its body is read.
// The zero value admits all uploads.
type uploadLink struct {
	// rate is that of the link in bytes per second, or 0 if it is not slow.
	rate float64
	// in and out pace the bodies. They are nil if the link is not slow.
	in, out *rate.Limiter

	mutex sync.Mutex
	// receiving and sending are the bytes of admitted bodies that have not passed the link from the caller, and to the upstream.
	receiving, sending int64
	// limit is the rate that the pacers have, in bytes per second.
	limit float64
	// used are the bytes of bodies that have passed the link lately.
	used linkMeter
}

// init sets the rate of a link in bytes per second; 0 means that it is not slow.
func (upl *uploadLink) init(link float64) {
	if link <= 0 {
		return
	}
	upl.rate = link
	upl.used.rate = link
	upl.limit = pacedFraction * link
	upl.in = rate.NewLimiter(rate.Limit(upl.limit), pacedBurst)
	upl.out = rate.NewLimiter(rate.Limit(upl.limit), pacedBurst)
}

// enabled reports whether the link is slow.
func (upl *uploadLink) enabled() bool { return upl.in != nil }

// adjust sets the rate of uploads: what all other bytes, given in bytes per second, leave of linkTarget, and at most a fraction of the
// link.
func (upl *uploadLink) adjust(others, most float64) {
	limit := upl.rate * min(most, max(minUploadFraction, linkTarget-others/upl.rate))
	upl.mutex.Lock()
	defer upl.mutex.Unlock()
	upl.limit = limit
	upl.in.SetLimit(rate.Limit(limit))
	upl.out.SetLimit(rate.Limit(limit))
}

// admit reports whether a body of a length in bytes can pass the link in both directions within a time, and reserves the link for it.
// While the link carries no other body, it may take until left, which is the time until the deadline. Otherwise, it returns the time until
// it could.
func (upl *uploadLink) admit(length int64, within, left time.Duration) (ok bool, wait time.Duration) {
	upl.mutex.Lock()
	defer upl.mutex.Unlock()
	took := upl.passTime(upl.receiving+length) + upl.passTime(upl.sending+length)
	if upl.receiving+upl.sending == 0 {
		within = max(within, left)
	}
	if took > within {
		return false, took - within
	}
	upl.receiving += length
	upl.sending += length
	return true, 0
}

// passTime returns the time in which a number of bytes passes the link in one direction. The caller holds the mutex.
func (upl *uploadLink) passTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / upl.limit * float64(time.Second))
}

// received and sent release the reservation of a body in one direction.
func (upl *uploadLink) received(length int64) {
	upl.mutex.Lock()
	defer upl.mutex.Unlock()
	upl.receiving -= length
}

func (upl *uploadLink) sent(length int64) {
	upl.mutex.Lock()
	defer upl.mutex.Unlock()
	upl.sending -= length
}

// pending returns the bytes of admitted bodies that have not passed the link, in both directions together.
func (upl *uploadLink) pending() int64 {
	upl.mutex.Lock()
	defer upl.mutex.Unlock()
	return upl.receiving + upl.sending
}

// reservation is the part of a link that an admitted upload holds. The zero value holds none.
type reservation struct {
	// received and sent release it in one direction. Calls after the first have no effect.
	received, sent func()
}

// release releases a reservation in both directions.
func (res reservation) release() {
	if res.received != nil {
		res.received()
		res.sent()
	}
}

// admitUpload admits an upload of an own caller to a slow link. The reservation has to be released. The error is of kind Overloaded.
func (exc *exchange) admitUpload(now time.Time) (reservation, error) {
	upl := &exc.fwd.uploads
	if !upl.enabled() || !exc.isUpload() {
		return reservation{}, nil
	}
	most := pacedFraction
	if exc.fwd.relayRoom.helping(now) {
		most = pacedHelpingFraction
	}
	upl.adjust(max(0, exc.fwd.link.perSecond(now)-upl.used.perSecond(now)), most)
	if exc.relayed {
		return reservation{}, nil // its caller's VM has admitted it, and linkHasRoom bounds those of others
	}
	length := exc.request.ContentLength
	if length < 0 {
		length = typicalUpload
	}
	within := time.Duration(transferFraction * float64(exc.deadline.Sub(now)))
	ok, wait := upl.admit(length, within, exc.deadline.Sub(now))
	if !ok {
		exc.fwd.counters.add("uploadsRefusedByLink")
		exc.rateWait = wait
		return reservation{}, fperror.New(fperror.Overloaded, "the link can't carry a body of %d bytes within %v", length, within)
	}
	return reservation{
		received: sync.OnceFunc(func() { upl.received(length) }),
		sent:     sync.OnceFunc(func() { upl.sent(length) }),
	}, nil
}

// endReader calls a function at the end of a reader.
type endReader struct {
	from io.Reader
	end  func()
}

func (red *endReader) Read(buf []byte) (int, error) {
	num, err := red.from.Read(buf)
	if err == io.EOF {
		red.end()
	}
	return num, err
}

// pacedUpload returns a reader that reads an upload's body no faster than a limiter of the link allows.
func (exc *exchange) pacedUpload(red *pacedReader) io.Reader {
	if !exc.isUpload() || !exc.fwd.uploads.enabled() {
		return red.from
	}
	return red
}

package fpforward

import (
	"context"
	"io"
	"time"

	"golang.org/x/time/rate"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// bundleBytes is the expected size in bytes of a bundle, somewhat above the mean of 90 kB.
	bundleBytes = 150e3
	// minBundles and maxBundles bound the limit for bundles in flight on one VM.
	minBundles = 2
	maxBundles = 256
	// pacedFraction is the fraction of a slow link that bundles use, and uploads at most, in each direction.
	pacedFraction = 0.7
	// pacedHelpingFraction is that fraction while the VM relays requests of others, which leaves room for their small ones.
	pacedHelpingFraction = 0.35
	// pacedBurst is the number of paced bytes that pass at once. On a link of 5 Mbit/s they take about 26 ms, for which a
	// small answer behind them waits.
	pacedBurst = 16 << 10
	// slowLinkRate is the rate in bytes per second below which a link counts as slow, and bundles and uploads are paced.
	// On a faster link a bundle of the mean size takes less than 15 ms.
	slowLinkRate = 50e6 / 8
	// maxBufferedSlowAnswer is the number of bytes of a bundle that are buffered on a slow link. The rest is streamed,
	// because receiving all of it before sending it would double the time.
	maxBufferedSlowAnswer = 16 << 10
	// bundleWaitFraction is the fraction of the route's objective that a bundle may wait for a permit.
	bundleWaitFraction = 0.25
)

// isBundle reports whether the route is for bundles, whose answers are expected to be large.
func (exc *exchange) isBundle() bool { return exc.route.GetKind() == fpstate.Kind_KIND_BUNDLE }

// bundleLimit returns the number of bundles that may be in flight on a link with a rate in bytes per second: as many as
// fill it for about a second. More of them would delay small answers and the calls between VMs too long. A rate of 0 means
// that it is not known.
func bundleLimit(link float64) int {
	if link <= 0 {
		return maxBundles
	}
	return min(maxBundles, max(minBundles, int(link/bundleBytes)))
}

// acquireBundlePermit waits for a permit if the request is for a bundle. The returned function releases it. The error is of
// kind Overloaded.
func (exc *exchange) acquireBundlePermit(ctx context.Context) (func(), error) {
	if !exc.isBundle() {
		return func() {}, nil
	}
	release := func() { <-exc.fwd.bundlePermits }
	select {
	case exc.fwd.bundlePermits <- struct{}{}:
		return release, nil
	default:
	}
	timer := time.NewTimer(time.Duration(bundleWaitFraction * float64(exc.route.GetObjective().AsDuration())))
	defer timer.Stop()
	select {
	case exc.fwd.bundlePermits <- struct{}{}:
		return release, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, fperror.New(fperror.Overloaded, "%d bundles are in flight", cap(exc.fwd.bundlePermits))
}

// pacers limit the rate of bundles from and to callers and upstreams, so that small answers are not delayed.
// in limits what the VM receives, and out what it sends. The zero value paces nothing.
type pacers struct {
	in, out *rate.Limiter
}

func newPacers(link float64) pacers {
	if link <= 0 || link >= slowLinkRate {
		return pacers{}
	}
	return pacers{
		in:  rate.NewLimiter(rate.Limit(pacedFraction*link), pacedBurst),
		out: rate.NewLimiter(rate.Limit(pacedFraction*link), pacedBurst),
	}
}

// setFraction sets the fraction of a slow link that bundles use.
func (pac pacers) setFraction(link, fraction float64) {
	if !pac.enabled() {
		return
	}
	pac.in.SetLimit(rate.Limit(fraction * link))
	pac.out.SetLimit(rate.Limit(fraction * link))
}

// enabled reports whether the link is slow, so that bundles and uploads are paced.
func (pac pacers) enabled() bool { return pac.in != nil }

// pacedReader reads no faster than its limiter allows. An error of the limiter is of kind DeadlineExceeded.
type pacedReader struct {
	ctx     context.Context
	from    io.Reader
	limiter *rate.Limiter
}

func (red *pacedReader) Read(buf []byte) (int, error) {
	num, err := red.from.Read(buf[:min(len(buf), pacedBurst)])
	if errWait := red.limiter.WaitN(red.ctx, num); errWait != nil && err == nil {
		err = fperror.Wrap(fperror.DeadlineExceeded, errWait, "the paced link has no capacity before the deadline")
	}
	return num, err
}

// pacedWriter writes no faster than its limiter allows.
type pacedWriter struct {
	ctx     context.Context
	to      io.Writer
	limiter *rate.Limiter
}

func (wri *pacedWriter) Write(buf []byte) (int, error) {
	written := 0
	for written < len(buf) {
		chunk := buf[written:min(len(buf), written+pacedBurst)]
		if err := wri.limiter.WaitN(wri.ctx, len(chunk)); err != nil {
			return written, err
		}
		num, err := wri.to.Write(chunk)
		written += num
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// isPaced reports whether the request is for a bundle on a slow link.
func (exc *exchange) isPaced() bool { return exc.isBundle() && exc.fwd.pacers.enabled() }

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
	// bundleBytes is the size in bytes that a bundle is expected to have, somewhat above the mean of 90 kB.
	bundleBytes = 150e3
	// leastBundles and mostBundles bound the bundles in flight on one VM.
	minBundles = 2
	maxBundles = 256
	// pacedShare is the part of a thin link that bundles use together, in each direction.
	pacedFraction = 0.7
	// pacedBurst is the number of bytes of bundles that pass at once: a few hundredths of a second of a link of 5 Mbit/s,
	// which is what a small answer then waits behind them.
	pacedBurst = 16 << 10
	// thinLink is the rate in bytes per second below which bundles are paced. Above it a bundle takes less than 15 ms.
	slowLinkRate = 50e6 / 8
	// thinKeptAnswer is the size in bytes up to which the answer of a bundle is kept on a thin link. The rest is passed on
	// as it comes, because receiving all of it first would take as long again.
	maxBufferedSlowAnswer = 16 << 10
	// bundleWaitShare is the part of the objective that a bundle may wait for its place.
	bundleWaitFraction = 0.25
)

// bundle reports whether the answer is expected to be large.
func (exc *exchange) isBundle() bool { return exc.route.GetKind() == fpstate.Kind_KIND_BUNDLE }

// bundlePlaces returns the number of bundles that may be in flight: about a second of the link. More of them would fill the
// link for so long that small answers and the calls between VMs come too late.
func bundleLimit(link float64) int {
	if link <= 0 {
		return maxBundles
	}
	return min(maxBundles, max(minBundles, int(link/bundleBytes)))
}

// enterBundle waits for a place if the request is for a bundle. The function that it returns gives the place back. The error
// is of kind Overloaded.
func (exc *exchange) acquireBundleSlot(ctx context.Context) (func(), error) {
	if !exc.isBundle() {
		return func() {}, nil
	}
	release := func() { <-exc.fwd.bundleSlots }
	select {
	case exc.fwd.bundleSlots <- struct{}{}:
		return release, nil
	default:
	}
	timer := time.NewTimer(time.Duration(bundleWaitFraction * float64(exc.route.GetObjective().AsDuration())))
	defer timer.Stop()
	select {
	case exc.fwd.bundleSlots <- struct{}{}:
		return release, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, fperror.New(fperror.Overloaded, "%d bundles are in flight", cap(exc.fwd.bundleSlots))
}

// pacers spread the bytes of bundles over time, so that small answers find room between them. The zero value paces nothing.
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

// thin reports whether bundles are paced.
func (pac pacers) enabled() bool { return pac.in != nil }

// pacedReader reads no faster than its limiter allows.
type pacedReader struct {
	ctx     context.Context
	from    io.Reader
	limiter *rate.Limiter
}

func (red *pacedReader) Read(buf []byte) (int, error) {
	num, err := red.from.Read(buf[:min(len(buf), pacedBurst)])
	if errWait := red.limiter.WaitN(red.ctx, num); errWait != nil && err == nil {
		err = fperror.Wrap(fperror.DeadlineExceeded, errWait, "the link has no room in time")
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

// paced reports whether the request is for a bundle on a thin link.
func (exc *exchange) isPaced() bool { return exc.isBundle() && exc.fwd.pacers.enabled() }

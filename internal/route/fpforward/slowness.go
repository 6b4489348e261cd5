package fpforward

import (
	"time"

	"github.com/foxtailpulley/foxtailpulley/platform"
)

const (
	// slownessHalfLife is the age at which the newest figure has half its weight against the mean of the figures. Machines that slow
	// down change their speed every 400 ms.
	slownessHalfLife = 400 * time.Millisecond
	// slownessWeight is the weight of one figure in their moving mean.
	slownessWeight = 0.1
)

// slowness is the processing time of an upstream as a multiple of the usual one, by the figures in its load reports. The zero
// value is that of an upstream that has stated none.
type slowness struct {
	// newest is the last figure, as a multiple, and at is when it came. mean is the moving mean of the figures.
	newest, mean float64
	at           time.Time
}

// record records the figure of a load report, if it has one.
func (slo *slowness) record(now time.Time, loa platform.Load) {
	if loa.Slowness <= 0 {
		return
	}
	slo.newest = float64(loa.Slowness) / platform.UsualSlowness
	if slo.at.IsZero() {
		slo.mean = slo.newest
	}
	slo.mean += slownessWeight * (slo.newest - slo.mean)
	slo.at = now
}

// factor returns the expected multiple at a time. It decays to the mean and not to 1, because an upstream may always state more
// or less than 100.
func (slo *slowness) factor(now time.Time) float64 {
	if slo.at.IsZero() {
		return 1
	}
	return slo.mean + (slo.newest-slo.mean)*decay(max(0, now.Sub(slo.at)), slownessHalfLife)
}

package fpforward

import (
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fproute"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// The reasons to exclude an upstream, as named in counters and log lines.
const (
	excludedByHomes      = "homes"
	excludedByEvacuation = "evacuation"
)

// homes returns the regions in which the request may run and to whose VMs its body may be sent. The set is empty for all.
func (exc *exchange) homes() fproute.Regions { return fproute.Homes(exc.route) }

// inHomes reports whether the route allows the region of an upstream.
func (exc *exchange) inHomes(ups *fpstate.Upstream) bool {
	homes := exc.homes()
	return len(homes) == 0 || homes.Allows(exc.fwd.cfg.Region(ups.GetDataCentre()))
}

// exclusion returns the reason for which the request must not be sent to an upstream, or "".
func (exc *exchange) exclusion(vie *view, now time.Time, mem *member) string {
	switch {
	case !exc.inHomes(mem.upstream):
		return excludedByHomes
	case vie.evacuated(now, mem.upstream.GetDataCentre(), exc.hasKey(vie)):
		return excludedByEvacuation
	}
	return ""
}

// checkExclusion returns an error of kind NoUpstream if the request must not be sent to an upstream.
func (exc *exchange) checkExclusion(mem *member) error {
	reason := exc.exclusion(exc.fwd.view.Load(), time.Now(), mem)
	if reason == "" {
		return nil
	}
	exc.tried[mem] = true
	return exc.exclusionError(reason, mem)
}

// exclusionError returns the error for a request that must not be sent to an upstream for a reason.
func (exc *exchange) exclusionError(reason string, mem *member) error {
	exc.excluded = reason
	ups := mem.upstream
	if reason == excludedByHomes {
		return fperror.New(fperror.NoUpstream, "upstream %s in data centre %s is outside the allowed regions %v", ups.GetId(), ups.GetDataCentre(), exc.homes())
	}
	return fperror.New(fperror.NoUpstream, "data centre %s of upstream %s is evacuated", ups.GetDataCentre(), ups.GetId())
}

// countExcluded returns the number of upstreams of the service that must not get the request, and the reason for one of them: an
// evacuation before homes, because it ends sooner than a configuration changes.
func (exc *exchange) countExcluded(vie *view) (count int, reason string) {
	if len(exc.homes()) == 0 && !vie.evacuating {
		return 0, ""
	}
	now := time.Now()
	for _, mem := range vie.services[exc.service] {
		one := exc.exclusion(vie, now, mem)
		if one == "" {
			continue
		}
		count++
		if reason != excludedByEvacuation {
			reason = one
		}
	}
	return count, reason
}

// checkAvailable returns an error of kind NoUpstream if the service has upstreams, and the request must not be sent to any of them.
func (exc *exchange) checkAvailable(vie *view) error {
	count, reason := exc.countExcluded(vie)
	if count == 0 || count < len(vie.services[exc.service]) {
		return nil
	}
	exc.excluded = reason
	return fperror.New(fperror.NoUpstream, "none of %d upstreams of service %s may get the request: %s", count, exc.service, reason)
}

// noUpstreamError returns the error for a request without a key that no upstream can take.
func (exc *exchange) noUpstreamError(vie *view) error {
	count, reason := exc.countExcluded(vie)
	exc.excluded = reason
	if count == 0 {
		return fperror.New(fperror.NoUpstream, "none of %d upstreams of service %s can be used", len(vie.services[exc.service]), exc.service)
	}
	return fperror.New(fperror.NoUpstream, "none of %d upstreams of service %s can be used, and %d are excluded: %s",
		len(vie.services[exc.service]), exc.service, count, reason)
}

// checkRelayed returns an error of kind NoUpstream if a request of another VM must not be relayed: this VM or the upstream is outside
// the regions that its route allows, or the data centre of the upstream is evacuated.
func (exc *exchange) checkRelayed(vie *view, mem *member) error {
	if homes := exc.homes(); !homes.Allows(exc.fwd.region) {
		exc.excluded = excludedByHomes
		return fperror.New(fperror.NoUpstream, "this VM, in region %s, is outside the allowed regions %v", exc.fwd.region, homes)
	}
	if reason := exc.exclusion(vie, time.Now(), mem); reason != "" {
		return exc.exclusionError(reason, mem)
	}
	return nil
}

// hasKey reports whether the request is for a key, also if another VM has sent it.
func (exc *exchange) hasKey(vie *view) bool {
	return exc.keyed || exc.relayed && exc.info.Keyed && vie.table != nil && vie.table.Service(exc.service).GetKeyed()
}

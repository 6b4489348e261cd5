package fpcontrol

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// probeTimeout bounds a probe of an upstream's address. The longest round trip takes 60 ms, and opening a connection another one.
const probeTimeout = 300 * time.Millisecond

// checkAnnouncement returns an error of kind NoUpstream if an announcement contradicts a running upstream, as far as this VM knows,
// and must not have any effect: it gives the same incarnation another service or address, or it names a service that the
// configuration doesn't have, and an id or an address that is in use.
func (con *Control) checkAnnouncement(ups *fpstate.Upstream) error {
	old := con.directory.Upstream(ups.GetId())
	sameIdentity := old.GetService() == ups.GetService() && old.GetAddress() == ups.GetAddress()
	known := old != nil && !old.GetGone()
	switch {
	case known && sameIdentity:
		return nil
	case known && old.GetBorn() == ups.GetBorn():
		return fperror.New(fperror.NoUpstream, "upstream %s runs service %q at %s, and announces service %q at %s",
			ups.GetId(), old.GetService(), old.GetAddress(), ups.GetService(), ups.GetAddress())
	case con.findService(ups.GetService()) != nil:
		return nil
	case known || con.formerAt(ups) != nil:
		return fperror.New(fperror.NoUpstream, "the configuration has no service %q, and the id %s or the address %s is in use",
			ups.GetService(), ups.GetId(), ups.GetAddress())
	default:
		return nil
	}
}

// admitAnnouncement returns an error of kind NoUpstream if an announcement must not be committed: checkAnnouncement refuses it, or the
// upstream that has its address under another id isn't known to have ended. The announcement alone doesn't show that, because
// anyone may send it.
func (con *Control) admitAnnouncement(ctx context.Context, ups *fpstate.Upstream) error {
	if err := con.checkAnnouncement(ups); err != nil {
		return err
	}
	former := con.formerAt(ups)
	if former == nil || con.findService(former.GetService()) == nil && con.directory.Configuration() != nil {
		return nil // the former upstream gets neither requests nor orders
	}
	ended, err := con.replaced(ctx, former, ups)
	con.cfg.Log.Info("address announced by another upstream", zap.String("address", ups.GetAddress()), zap.String("upstream", ups.GetId()),
		zap.String("former", former.GetId()), zap.Bool("formerEnded", ended), zap.Error(err))
	if !ended {
		return fperror.New(fperror.NoUpstream, "upstream %s has not left address %s, which upstream %s announces", former.GetId(), ups.GetAddress(), ups.GetId())
	}
	con.mutex.Lock()
	defer con.mutex.Unlock()
	if con.keeper != nil {
		con.keeper.RecordEnded(former)
	}
	return nil
}

// replaced reports whether an upstream has ended because another one, which announces its address, answers there.
func (con *Control) replaced(ctx context.Context, former, next *fpstate.Upstream) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return con.probe(ctx, former, con.findService(next.GetService()).GetHealthPath())
}

// misdirected reports whether an order would reach another upstream than its own, which has ended. It asks only if another one has
// announced the address, because an upstream without keys may answer an order with any failure.
func (con *Control) misdirected(ctx context.Context, ups *fpstate.Upstream) bool {
	other := con.directory.AtAddress(ups.GetAddress())
	if other == nil || other.GetId() == ups.GetId() {
		return false
	}
	ended, err := con.replaced(ctx, ups, other)
	return err == nil && ended
}

// formerAt returns the upstream that an announcement would remove, because it has the same address under another id, or nil.
func (con *Control) formerAt(ups *fpstate.Upstream) *fpstate.Upstream {
	former := con.directory.AtAddress(ups.GetAddress())
	if former.GetId() == ups.GetId() || former.GetBorn() > ups.GetBorn() {
		return nil
	}
	return former
}

// findService returns a service of the newest configuration, or nil.
func (con *Control) findService(name string) *fpstate.Service {
	for _, ser := range con.directory.Configuration().GetServices() {
		if ser.GetName() == name {
			return ser
		}
	}
	return nil
}

package fpentry

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgrant"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpbalance"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fplimit"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpserve"
)

// TestLeavingUpstreamIsNotChosen guards against calls without a key to an upstream that says in its answers that it leaves, and against
// a statement that outlives its incarnation.
func TestLeavingUpstreamIsNotChosen(t *testing.T) {
	ent := &Entry{
		cfg: Config{
			Log:           zap.NewNop(),
			RegionOf:      func(string) string { return "r" },
			Configuration: func() (fpgrant.Position, *fpoperator.Configuration) { return fpgrant.Position{}, nil },
		},
		services: map[string]*service{},
	}
	ent.link.Store(fplimit.NewLink(fplimit.LinkConfig{}))
	ser := ent.service("s")
	update := func(incarnation uint64) *fpcontract.Upstream {
		one := &fpcontract.Upstream{
			Name:        "one",
			Incarnation: incarnation,
			Service:     "s",
			Concurrency: 4,
		}
		ser.members = []*fpcontract.Upstream{one}
		ent.updateService(ser)
		return one
	}
	chosen := func() bool {
		name, err := ser.balancer.Choose(time.Now(), fpbalance.Call{})
		return err == nil && name == "one"
	}
	one := update(1)
	if !chosen() {
		t.Fatal("an upstream that is well is not chosen")
	}
	ent.observeLeaving(&fpserve.Target{
		Upstream: one,
	})
	if chosen() {
		t.Error("an upstream that leaves is chosen")
	}
	update(1)
	if chosen() {
		t.Error("an upstream that leaves is chosen after another announcement of the incarnation")
	}
	update(2)
	if !chosen() {
		t.Error("the next incarnation of an upstream that has left is not chosen")
	}
}

package fpentry

import (
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpbalance"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fplimit"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprate"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpretry"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fphealth"
)

// service is the state that an entry VM keeps of the upstreams of one service.
type service struct {
	name     string
	balancer *fpbalance.Balancer
	retrier  *fpretry.Retrier
	health   *fphealth.Set
	drained  map[string]bool
	ejected  map[string]bool
	// leaving holds the incarnations that have said in an answer that they leave.
	leaving map[string]uint64
	members []*fpcontract.Upstream
}

// upstreamLimiter is the concurrency limiter of one incarnation of an upstream.
type upstreamLimiter struct {
	incarnation uint64
	limiter     *fplimit.Limiter
}

// newRand returns a source with a random seed, so that entry VMs draw different numbers.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// service returns the state of a service and creates it if necessary. The caller holds the mutex.
func (ent *Entry) service(name string) *service {
	if ser := ent.services[name]; ser != nil {
		return ser
	}
	_, cfg := ent.cfg.Configuration()
	ser := &service{
		name: name,
		balancer: fpbalance.New(fpbalance.Config{
			VM:            ent.cfg.VM,
			DataCentre:    ent.cfg.DataCentre,
			Region:        ent.cfg.Region,
			TakeLinkBytes: ent.takeLinkBytes,
			Rand:          newRand(),
		}),
		retrier: fpretry.New(fpretry.Config{
			RetryRatio: cfg.GetRetryBudget(),
			Rand:       newRand(),
		}),
		health: fphealth.NewSet(fphealth.Config{
			Rand: newRand(),
		}),
		drained: drainedSet(cfg),
		ejected: map[string]bool{},
		leaving: map[string]uint64{},
	}
	ent.services[name] = ser
	return ser
}

// takeLinkBytes takes a call's bytes from the budget of the link between regions, and reports whether the budget had them.
func (ent *Entry) takeLinkBytes(now time.Time, bundle bool, bytes int64) bool {
	traffic := fplimit.Small
	if bundle {
		traffic = fplimit.Bundle
	}
	return ent.link.Load().Take(now, traffic, bytes)
}

// updateServices gives each service its list of upstreams and removes the limiters of upstreams that are in no list. The
// caller holds the mutex.
func (ent *Entry) updateServices(cfg *fpoperator.Configuration) {
	known := map[string]bool{}
	for _, one := range cfg.GetServices() {
		ser := ent.service(one.GetName())
		ser.members = ent.registry.Service(ser.name)
		ent.updateService(ser)
		for _, ups := range ser.members {
			known[ups.GetName()] = true
		}
	}
	for name := range ent.limiters {
		if !known[name] {
			ent.forgetRate(name)
			delete(ent.limiters, name)
		}
	}
}

func (ent *Entry) updateService(ser *service) {
	list := make([]fpbalance.Upstream, len(ser.members))
	incarnations := make(map[string]uint64, len(ser.members))
	for num, ups := range ser.members {
		incarnations[ups.GetName()] = ups.GetIncarnation()
		list[num] = fpbalance.Upstream{
			Name:        ups.GetName(),
			Incarnation: ups.GetIncarnation(),
			DataCentre:  ups.GetDataCentre(),
			Region:      ent.cfg.RegionOf(ups.GetDataCentre()),
			Concurrency: int(ups.GetConcurrency()),
		}
	}
	ser.balancer.Update(list)
	maps.DeleteFunc(ser.leaving, func(name string, incarnation uint64) bool { return incarnations[name] != incarnation })
	ent.applyHealthChanges(ser, ser.health.Update(time.Now(), incarnations))
	for _, ups := range ser.members {
		ser.setUsable(ups)
	}
}

// setUsable tells the balancer whether an upstream may be chosen: it does not leave, and is not drained by an operator or ejected.
func (ser *service) setUsable(ups *fpcontract.Upstream) {
	name := ups.GetName()
	ser.balancer.SetUsable(name, !ups.GetDraining() && ser.leaving[name] != ups.GetIncarnation() && !ser.drained[name] && !ser.ejected[name])
}

// applyHealthChanges applies changed health states to the choice of upstreams. The caller holds the mutex.
func (ent *Entry) applyHealthChanges(ser *service, changes []fphealth.Change) {
	for _, cha := range changes {
		ent.cfg.Log.Info("health of an upstream changed", zap.String("upstream", cha.Name()), zap.Stringer("state", cha.State()))
		ser.ejected[cha.Name()] = cha.State() == fphealth.Ejected
		if cha.State() == fphealth.Trial {
			ser.balancer.Readmit(cha.Name())
		}
	}
	if len(changes) == 0 {
		return
	}
	for _, ups := range ser.members {
		ser.setUsable(ups)
	}
}

// limiter returns the concurrency limiter of an upstream; a new incarnation gets a new one.
func (ent *Entry) limiter(ups *fpcontract.Upstream) *fplimit.Limiter {
	ent.mutex.Lock()
	defer ent.mutex.Unlock()
	lim := ent.limiters[ups.GetName()]
	if lim == nil || lim.incarnation != ups.GetIncarnation() {
		ent.forgetRate(ups.GetName())
		lim = &upstreamLimiter{
			incarnation: ups.GetIncarnation(),
			limiter: fplimit.New(fplimit.CoreConfig{
				Concurrency: int(ups.GetConcurrency()),
				Rand:        newRand(),
			}),
		}
		ent.limiters[ups.GetName()] = lim
	}
	return lim.limiter
}

// forgetRate removes the request rate of the incarnation of an upstream that has a limiter. The caller holds the mutex.
func (ent *Entry) forgetRate(name string) {
	if lim := ent.limiters[name]; lim != nil {
		ent.rates.Forget(fprate.Incarnation{
			ID:   name,
			Born: lim.incarnation,
		})
	}
}

// findService returns the state of a service, or nil if it is not configured.
func (ent *Entry) findService(name string) *service {
	ent.mutex.Lock()
	defer ent.mutex.Unlock()
	return ent.services[name]
}

package fpentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpbalance"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fphealth"
)

// Intervals and bounds of health probes.
const (
	// healthTick is the time between checks of health states that change with time.
	healthTick = 250 * time.Millisecond
	// probeInterval is the time between two rounds of probes.
	probeInterval = time.Second
	// maxProbes bounds the probes in one interval. A probe of both endpoints takes 550 bytes, so 12 of them a second fit in
	// the 8 KB/s that control traffic may cost a node. Upstreams of other regions are not probed, because the links between
	// regions are slow.
	maxProbes = 12
)

// watchHealth probes the upstreams of this region and updates health states that change with time, until ctx ends.
func (ent *Entry) watchHealth(ctx context.Context) {
	tick := time.NewTicker(healthTick)
	defer tick.Stop()
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		ent.tickHealth()
		if now := time.Now(); now.After(next) {
			next = now.Add(probeInterval)
			ent.probeNearby(ctx)
		}
	}
}

func (ent *Entry) tickHealth() {
	ent.mutex.Lock()
	defer ent.mutex.Unlock()
	for _, ser := range ent.services {
		ent.applyHealthChanges(ser, ser.health.Tick(time.Now()))
	}
}

// probeNearby probes the upstreams of this region round robin, at most maxProbes of them, and waits for the answers.
func (ent *Entry) probeNearby(ctx context.Context) {
	nearby := slices.DeleteFunc(ent.registry.All(), func(ups *fpcontract.Upstream) bool {
		return ent.cfg.RegionOf(ups.GetDataCentre()) != ent.cfg.Region
	})
	var wgr sync.WaitGroup
	for range min(maxProbes, len(nearby)) {
		ups := nearby[ent.probeCount%len(nearby)]
		ent.probeCount++
		wgr.Go(func() { ent.probe(ctx, ups) })
	}
	wgr.Wait()
}

func (ent *Entry) probe(ctx context.Context, ups *fpcontract.Upstream) {
	hea, err := ent.prober.Health(ctx, ups.GetAddress())
	if ctx.Err() != nil {
		return
	}
	ser := ent.findService(ups.GetService())
	if ser == nil {
		return
	}
	ent.mutex.Lock()
	ent.applyHealthChanges(ser, ser.health.Probe(time.Now(), ups.GetName(), fphealth.Probe{
		Answered: err == nil,
		Ready:    hea.GetReady(),
	}))
	ent.mutex.Unlock()
	load, err := ent.prober.Load(ctx, ups.GetAddress())
	if err != nil {
		return
	}
	ser.balancer.Report(time.Now(), ups.GetName(), fpbalance.Report{
		Running: load.GetRunning(),
		Queued:  load.GetQueued(),
	})
}

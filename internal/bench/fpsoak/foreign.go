package fpsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// foreignPause is the longest pause between two foreign announcements, and reusePause that between two ends of workers whose address
	// is used again.
	foreignPause = 600 * time.Millisecond
	reusePause   = 4 * time.Second
	// laterStart is the start time in foreign announcements that claim to be newer than a worker.
	laterStart = 1 << 40
)

// foreignChanges turn the announcement of a running worker into one of another writer.
var foreignChanges = []func(ups *fpstate.Upstream, num int){
	func(ups *fpstate.Upstream, num int) {
		ups.Id, ups.Born, ups.Service = foreignID(num), laterStart, "unknown"
	},
	func(ups *fpstate.Upstream, num int) { ups.Id, ups.Born = foreignID(num), laterStart },
	func(ups *fpstate.Upstream, num int) { ups.Id, ups.Leaving = foreignID(num), true },
	func(ups *fpstate.Upstream, _ int) { ups.Service = "unknown" },
	func(ups *fpstate.Upstream, _ int) { ups.Service, ups.Born = "unknown", laterStart },
}

func foreignID(num int) string { return fmt.Sprintf("foreign-%d", num) }

// announceForeign sends announcements of another writer, which contradict running workers, until ctx ends.
func (fle *fleet) announceForeign(ctx context.Context) {
	ran := rand.New(rand.NewPCG(fle.cfg.Seed, 1<<38))
	for num := 0; ctx.Err() == nil; num++ {
		wait(ctx, time.Duration(ran.Int64N(int64(foreignPause))))
		prw := fle.randomKeyed(ran)
		if prw == nil {
			continue
		}
		worker := prw.worker.Upstream()
		ups := &fpstate.Upstream{
			Id:          worker.GetId(),
			Born:        worker.GetBorn(),
			Service:     worker.GetService(),
			Address:     worker.GetAddress(),
			DataCentre:  worker.GetDataCentre(),
			Concurrency: worker.GetConcurrency(),
		}
		foreignChanges[num%len(foreignChanges)](ups, num)
		control := fle.controls[ran.IntN(len(fle.controls))].control
		// A VM that is down misses the announcement.
		_ = fle.controlClient.Announce(ctx, control, ups, laterStart)
	}
}

// reuseAddresses ends one keyed worker after the other and starts the next one at its address at once, until ctx ends.
func (fle *fleet) reuseAddresses(ctx context.Context) {
	ran := rand.New(rand.NewPCG(fle.cfg.Seed, 1<<37))
	for {
		wait(ctx, reusePause/2+time.Duration(ran.Int64N(int64(reusePause/2))))
		if ctx.Err() != nil {
			return
		}
		prw := fle.randomKeyed(ran)
		if prw == nil {
			continue
		}
		fle.removeWorker(prw)
		if err := fle.addWorkerAt(ctx, keyedService, prw.proxy.address()); err != nil {
			fle.record.addViolation("a worker could not be started: %v", err)
		}
	}
}

package fpentry

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fptable"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Delays of a poller.
const (
	// minPollInterval bounds the rate of polls while there are updates all the time.
	minPollInterval = 5 * time.Millisecond
	// busyHold replaces PollHold while the VM has requests in flight on slots that are moving, so that the leader learns
	// without delay when they have ended.
	busyHold = 10 * time.Millisecond
	// pollRetryDelay is the mean delay after a failed poll.
	pollRetryDelay = 50 * time.Millisecond
)

// poll keeps the table of one group valid until ctx ends.
func (ent *Entry) poll(ctx context.Context, group string) {
	for ctx.Err() == nil {
		began := time.Now()
		if ent.pollOnce(ctx, group) {
			wait(ctx, minPollInterval-time.Since(began))
			continue
		}
		ent.count("pollFailed")
		wait(ctx, time.Duration(rand.Int64N(int64(2*pollRetryDelay))))
	}
}

// pollOnce polls a group once and reports whether the answer was applied.
func (ent *Entry) pollOnce(ctx context.Context, group string) bool {
	version, _ := ent.cfg.Configuration()
	pol := ent.table.Poll(group)
	req := pol.Request()
	req.Vm = ent.cfg.VM
	req.Incarnation = ent.cfg.Incarnation
	req.DataCentre = ent.cfg.DataCentre
	req.Configuration = version.Version()
	req.Registry, req.RegistryTerm = ent.registry.Version(group)
	req.Hold = durationpb.New(ent.pollHold(req))
	res, err := ent.cfg.Poll(ctx, req)
	if err != nil {
		return false
	}
	changed, err := ent.applyAnswer(group, pol, res)
	if err != nil {
		ent.count("tableRefused")
		return false
	}
	if changed {
		ent.updateUpstreams()
	}
	ent.quarantine.Replace(group, res.GetQuarantined())
	if res.GetConfiguration() != nil {
		ent.cfg.Configure(res.GetConfigurationVersion(), res.GetConfiguration())
	}
	return true
}

// applyAnswer updates the table and the list of upstreams as one step, and reports whether the list changed. Otherwise a
// slot that went back to an upstream after its restart could be combined with the address of the earlier process.
func (ent *Entry) applyAnswer(group string, pol *fptable.Poll, res *fpwire.PollResponse) (bool, error) {
	ent.tableMutex.Lock()
	defer ent.tableMutex.Unlock()
	if _, err := ent.table.Apply(pol, res); err != nil {
		return false, err
	}
	return ent.registry.Apply(group, res), nil
}

// pollHold returns how long the leader may hold a poll.
func (ent *Entry) pollHold(req *fpwire.PollRequest) time.Duration {
	if len(req.GetBusy()) > 0 {
		return busyHold
	}
	return ent.cfg.PollHold
}

// wait waits for the duration or until ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	tim := time.NewTimer(duration)
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-ctx.Done():
	}
}

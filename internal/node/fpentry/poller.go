package fpentry

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fptable"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Pauses of a poller.
const (
	// minPollInterval bounds the rate of polls when news arrives all the time.
	minPollInterval = 5 * time.Millisecond
	// busyHold replaces the hold while the VM has requests in flight on slots that move, so that the leader learns of their
	// end at once.
	busyHold = 10 * time.Millisecond
	// retryPoll is the mean pause after a poll that no leader answered.
	retryPoll = 50 * time.Millisecond
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
		wait(ctx, time.Duration(rand.Int64N(int64(2*retryPoll))))
	}
}

func (ent *Entry) pollOnce(ctx context.Context, group string) bool {
	version, _ := ent.cfg.Configuration()
	pol := ent.table.Poll(group)
	req := pol.Request()
	req.Vm = ent.cfg.VM
	req.Incarnation = ent.cfg.Incarnation
	req.DataCentre = ent.cfg.DataCentre
	req.Configuration = version.Version()
	req.Registry, req.RegistryTerm = ent.registry.Version(group)
	req.Hold = durationpb.New(ent.hold(req))
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
		ent.upstreamsChanged()
	}
	ent.quarantine.Replace(group, res.GetQuarantined())
	if res.GetConfiguration() != nil {
		ent.cfg.Configure(res.GetConfigurationVersion(), res.GetConfiguration())
	}
	return true
}

// applyAnswer puts the table and the list of upstreams in force as one step, and reports whether the list changed. A slot
// that went back to an upstream after its restart must not meet the address of the earlier process.
func (ent *Entry) applyAnswer(group string, pol *fptable.Poll, res *fpwire.PollResponse) (bool, error) {
	ent.answers.Lock()
	defer ent.answers.Unlock()
	if _, err := ent.table.Apply(pol, res); err != nil {
		return false, err
	}
	return ent.registry.Apply(group, res), nil
}

func (ent *Entry) hold(req *fpwire.PollRequest) time.Duration {
	if len(req.GetBusy()) > 0 {
		return busyHold
	}
	return ent.cfg.PollHold
}

func wait(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	tim := time.NewTimer(span)
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-ctx.Done():
	}
}

package fpentry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/api/schema/fpoption"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpbalance"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fplimit"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpretry"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpserve"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fptable"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// defaultMaxDeadline bounds the deadlines of a service whose configuration names no bound.
const defaultMaxDeadline = 30 * time.Second

// expectedBytes is the size that a small call is charged for on the link when its body has no known length.
const expectedBytes = 4 << 10

func (ent *Entry) maxDeadline(name string) time.Duration {
	_, cfg := ent.cfg.Configuration()
	for _, ser := range cfg.GetServices() {
		if ser.GetName() == name && ser.GetMaxDeadline() != nil {
			return ser.GetMaxDeadline().AsDuration()
		}
	}
	return defaultMaxDeadline
}

// ownerPatience is how long a keyed call waits for the address of its owner, which a new leader publishes when it has heard
// from the upstream.
const ownerPatience = time.Second

// route returns the owner of a keyed call.
func (ent *Entry) route(ctx context.Context, cal *fpserve.Call) (*fpserve.Target, error) {
	end := time.Now().Add(ownerPatience)
	for {
		fli, err := ent.flight(ctx, cal)
		if err != nil {
			return nil, err
		}
		ups, err := ent.ownerOf(fli)
		if err == nil {
			return keyedTarget(fli, ups), nil
		}
		fli.Done(0)
		if !fperror.Is(err, fperror.NoOwner) || ctx.Err() != nil || time.Now().After(end) {
			return nil, err
		}
		wait(ctx, tablePause)
	}
}

func keyedTarget(fli *fptable.Flight, ups *fpcontract.Upstream) *fpserve.Target {
	return &fpserve.Target{
		Upstream: ups,
		Group:    fli.Place().Group,
		Slot:     fli.Place().Slot,
		Epoch:    fli.Epoch(),
		Check:    fli.Check,
		Changed:  fli.Changed,
		Done:     func(busy time.Duration, _ error) { fli.Done(busy) },
	}
}

// ownerOf returns the process that owns the slot of a flight, by the list of upstreams that belongs to the table.
func (ent *Entry) ownerOf(fli *fptable.Flight) (*fpcontract.Upstream, error) {
	ent.answers.RLock()
	defer ent.answers.RUnlock()
	if err := fli.Check(); err != nil {
		return nil, err
	}
	ups := ent.registry.Upstream(fli.Owner())
	if ups == nil {
		return nil, fperror.New(fperror.NoOwner, "the address of the owner %s is not known", fli.Owner())
	}
	return ups, nil
}

// tablePatience is how long a call that was tried before waits for a table and an owner. When all connections go silent at
// once, the table expires and slots may move.
const tablePatience = 2 * time.Second

// tablePause is the pause between two looks at an expired table.
const tablePause = 10 * time.Millisecond

// flight looks up the owner of a keyed call. A call that was tried before may have run, so a refusal would leave its outcome
// unknown to the caller; it waits for a table and an owner instead. All other calls are refused at once as not run.
func (ent *Entry) flight(ctx context.Context, cal *fpserve.Call) (*fptable.Flight, error) {
	end := time.Now().Add(tablePatience)
	for {
		fli, err := ent.table.Route(ctx, cal.Method().Service().Name(), cal.Key(), cal.Home(), cal.Deadline())
		passes := fperror.Is(err, fperror.TableExpired) || fperror.Is(err, fperror.NoOwner)
		if !passes || len(cal.Tried()) == 0 || ctx.Err() != nil || time.Now().After(end) {
			return fli, err
		}
		wait(ctx, tablePause)
	}
}

// choose returns an upstream for a call without a key.
func (ent *Entry) choose(_ context.Context, cal *fpserve.Call) (*fpserve.Target, error) {
	name := cal.Method().Service().Name()
	ser := ent.find(name)
	if ser == nil {
		return nil, fperror.New(fperror.NoUpstream, "the service %s is not configured", name)
	}
	chosen, err := ser.balancer.Choose(time.Now(), fpbalance.Call{
		Bundle: cal.Method().Bundle(),
		Bytes:  max(cal.Size(), expectedBytes),
		Tried:  cal.Tried(),
	})
	if err != nil {
		return nil, err
	}
	ups := ent.registry.Upstream(chosen)
	if ups == nil {
		err := fperror.New(fperror.NoUpstream, "the address of %s is not known", chosen)
		ser.balancer.Done(time.Now(), chosen, err, 0)
		return nil, err
	}
	return &fpserve.Target{
		Upstream: ups,
		Done: func(busy time.Duration, err error) {
			ser.balancer.Done(time.Now(), chosen, err, busy)
		},
	}, nil
}

// admit waits for a place on the upstream and learns from the result.
func (ent *Entry) admit(ctx context.Context, cal *fpserve.Call, tar *fpserve.Target) (func(fpserve.Result), error) {
	done, err := ent.limiter(tar.Upstream).Admit(ctx, fplimit.Call{
		Caller:   cal.Caller(),
		Priority: priority(cal.Method().Priority()),
		Bundle:   cal.Method().Bundle(),
		Deadline: cal.Deadline(),
	})
	if err != nil {
		return nil, err
	}
	var once atomic.Bool
	return func(res fpserve.Result) {
		if !once.CompareAndSwap(false, true) {
			return
		}
		done(fplimit.Result{
			Err:      res.Err,
			PushBack: res.PushBack,
		})
		if res.Sent || fperror.Is(res.Err, fperror.ConnectFailed) {
			ent.observe(cal, tar, res.Err)
		}
	}, nil
}

func (ent *Entry) observe(cal *fpserve.Call, tar *fpserve.Target, err error) {
	ent.mutex.Lock()
	defer ent.mutex.Unlock()
	if ser := ent.services[cal.Method().Service().Name()]; ser != nil {
		ent.healthChanged(ser, ser.health.Observe(time.Now(), tar.Upstream.GetName(), err))
	}
}

func priority(pri fpoption.Priority) fplimit.Priority {
	switch pri {
	case fpoption.Priority_PRIORITY_LOW:
		return fplimit.Low
	case fpoption.Priority_PRIORITY_HIGH:
		return fplimit.High
	default:
		return fplimit.Normal
	}
}

// retry asks for permission to try again.
func (ent *Entry) retry(cal *fpserve.Call, err error, pushBack time.Duration) (time.Duration, bool) {
	ser := ent.find(cal.Method().Service().Name())
	if ser == nil {
		return 0, false
	}
	kin := fperror.KindOf(err)
	if cal.Method().Keyed() && waitsForOwner(kin, len(cal.Tried())) {
		return pauseForOwner(len(cal.Tried())), true
	}
	if isFirstSilence(cal, err) {
		return 0, true
	}
	losses := 0
	if kin == fperror.UpstreamLost {
		losses = len(cal.Tried())
	}
	dec := ser.retrier.Decide(time.Now(), fpretry.Failure{
		Kind:       kin,
		Idempotent: cal.Method().Idempotent(),
		Tries:      max(1, len(cal.Tried())),
		Losses:     losses,
		Deadline:   cal.Deadline(),
		PushBack:   pushBack,
	})
	return dec.After(), dec.Retry()
}

// isFirstSilence reports whether an idempotent request was lost with its first connection, because that went silent. Such a
// request is moved once outside the budget: all connections may go silent together, and the budget allows one request in ten.
func isFirstSilence(cal *fpserve.Call, err error) bool {
	return cal.Method().Idempotent() && len(cal.Tried()) == 1 && errors.Is(err, fpserve.ErrSilent)
}

// Bounds of the mean pause of a keyed call whose owner cannot be reached or has no lease, or whose slot moves. It doubles
// with each try.
const (
	minOwnerPause = 40 * time.Millisecond
	maxOwnerPause = 320 * time.Millisecond
)

func pauseForOwner(tries int) time.Duration {
	mean := minOwnerPause << min(max(tries-1, 0), 3)
	return mean/2 + time.Duration(rand.Int64N(int64(min(mean, maxOwnerPause))))
}

// maxFenced is how often a keyed call is sent again to an owner that has not got its grant yet. The pauses add up to about
// 1.9 s, in which a lease that ended is granted again.
const maxFenced = 8

// waitsForOwner reports whether a keyed call waits, within its deadline, for its owner to come back, for a new owner, or for
// a new owner's grant. These tries take nothing from the budget, because an upstream gets at most a few of them.
func waitsForOwner(kin fperror.Kind, tries int) bool {
	switch kin {
	case fperror.ConnectFailed, fperror.NoOwner:
		return true
	case fperror.UpstreamFenced:
		return tries <= maxFenced
	default:
		return false
	}
}

func (ent *Entry) succeeded(cal *fpserve.Call) {
	if ser := ent.find(cal.Method().Service().Name()); ser != nil {
		ser.retrier.Success(time.Now())
	}
}

// claimPatience is how long a claim waits for its group to have a leader. An election takes up to 600 ms.
const claimPatience = time.Second

// claimPause is the pause between two tries to commit a claim.
const claimPause = 25 * time.Millisecond

// claim commits a claim in the group that homes the slot of what the caller sends on every resend. The attempt in the claim
// makes it safe to submit it again when its answer was lost.
func (ent *Entry) claim(ctx context.Context, cal *fpserve.Call, cla *fpwire.Claim) (*fpwire.ClaimResult, error) {
	pla, err := ent.table.Locate(cal.Method().Service().Name(), cal.ClaimKey(), cal.Home())
	if err != nil {
		return nil, err
	}
	cla.Slot = pla.Slot
	cla.Holder = ent.cfg.VM
	cla.HolderIncarnation = ent.cfg.Incarnation
	cmd := &fpwire.Command{
		Kind: &fpwire.Command_Claim{
			Claim: cla,
		},
	}
	end := time.Now().Add(claimPatience)
	var unknown error
	for {
		res, err := ent.cfg.Submit(ctx, pla.Group, cmd)
		if !isTransient(err) {
			return res.GetClaim(), err
		}
		if fperror.Is(err, fperror.CommitUnknown) {
			unknown = err
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return nil, claimFailure(err, unknown)
		}
		wait(ctx, claimPause)
	}
}

// claimFailure returns the error of a claim that was given up. Once the outcome of a try is unknown, the claim may be
// committed, whatever came of later tries.
func claimFailure(last, unknown error) error {
	if unknown != nil {
		return unknown
	}
	return fperror.Wrap(fperror.ClaimUnavailable, last, "the claim cannot be committed")
}

// isTransient reports whether a command may get through when it is submitted again.
func isTransient(err error) bool {
	if err == nil {
		return false
	}
	switch fperror.KindOf(err) {
	case fperror.NoQuorum, fperror.NotLeader, fperror.CommitUnknown:
		return true
	default:
		return false
	}
}

func (ent *Entry) settle(ctx context.Context, cal *fpserve.Call, set *fpwire.Settle) error {
	pla, err := ent.table.Locate(cal.Method().Service().Name(), cal.ClaimKey(), cal.Home())
	if err != nil {
		return err
	}
	set.Holder = ent.cfg.VM
	set.HolderIncarnation = ent.cfg.Incarnation
	_, err = ent.cfg.Submit(ctx, pla.Group, &fpwire.Command{
		Kind: &fpwire.Command_Settle{
			Settle: set,
		},
	})
	return err
}

// reportCrash reports to the group that homes the request's identity, so that reports from all entry VMs meet.
func (ent *Entry) reportCrash(ctx context.Context, cal *fpserve.Call, tar *fpserve.Target) (bool, error) {
	suspect := cal.Suspect()
	ent.quarantine.Suspect(time.Now(), suspect, fpquarantine.Crash{
		Upstream:    tar.Upstream.GetName(),
		Incarnation: tar.Upstream.GetIncarnation(),
	})
	pla, err := ent.table.Locate(cal.Method().Service().Name(), []byte(suspect), "")
	if err != nil {
		return false, err
	}
	res, err := ent.cfg.Submit(ctx, pla.Group, &fpwire.Command{
		Kind: &fpwire.Command_ReportCrash{
			ReportCrash: &fpwire.ReportCrash{
				Digest:              suspect,
				Upstream:            tar.Upstream.GetName(),
				UpstreamIncarnation: tar.Upstream.GetIncarnation(),
			},
		},
	})
	return res.GetQuarantined(), err
}

func (ent *Entry) isQuarantined(cal *fpserve.Call) bool {
	return ent.quarantine.Check(time.Now(), cal.Suspect()) != nil
}

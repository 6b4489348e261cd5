package fpentry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/api/schema/fpoption"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpbalance"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fplimit"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprate"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpretry"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpserve"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fptable"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// defaultMaxDeadline bounds the deadlines of requests to a service whose configuration sets no bound.
const defaultMaxDeadline = 30 * time.Second

// minChargedBytes is the least size of a call that is charged to the budget of the link between regions. It also applies to
// bodies of unknown length.
const minChargedBytes = 4 << 10

func (ent *Entry) maxDeadline(name string) time.Duration {
	_, cfg := ent.cfg.Configuration()
	for _, ser := range cfg.GetServices() {
		if ser.GetName() == name && ser.GetMaxDeadline() != nil {
			return ser.GetMaxDeadline().AsDuration()
		}
	}
	return defaultMaxDeadline
}

// ownerAddressTimeout is how long a keyed call waits for the address of its owner, which a new leader publishes once the
// upstream has announced itself there.
const ownerAddressTimeout = time.Second

// route returns the owner of a keyed call. It waits for the owner's address if that is unknown.
func (ent *Entry) route(ctx context.Context, cal *fpserve.Call) (*fpserve.Target, error) {
	end := time.Now().Add(ownerAddressTimeout)
	for {
		ifr, err := ent.lookUpOwner(ctx, cal)
		if err != nil {
			return nil, err
		}
		ups, err := ent.ownerOf(ifr)
		if err == nil {
			return keyedTarget(ifr, ups), nil
		}
		ifr.Done(0)
		if !fperror.Is(err, fperror.NoOwner) || ctx.Err() != nil || time.Now().After(end) {
			return nil, err
		}
		wait(ctx, tableRetryInterval)
	}
}

func keyedTarget(ifr *fptable.InFlightRequest, ups *fpcontract.Upstream) *fpserve.Target {
	return &fpserve.Target{
		Upstream: ups,
		Group:    ifr.Location().Group,
		Slot:     ifr.Location().Slot,
		Epoch:    ifr.Epoch(),
		Check:    ifr.Check,
		Changed:  ifr.Changed,
		Done:     func(busy time.Duration, _ error) { ifr.Done(busy) },
	}
}

// ownerOf returns the upstream process that owns the slot of a request in flight. It reads the list of upstreams that
// belongs to the table.
func (ent *Entry) ownerOf(ifr *fptable.InFlightRequest) (*fpcontract.Upstream, error) {
	ent.tableMutex.RLock()
	defer ent.tableMutex.RUnlock()
	if err := ifr.Check(); err != nil {
		return nil, err
	}
	ups := ent.registry.Upstream(ifr.Owner())
	if ups == nil {
		return nil, fperror.New(fperror.NoOwner, "the address of the slot owner %s is not known", ifr.Owner())
	}
	return ups, nil
}

// tableTimeout is how long a call waits for a valid table and an owner after its first attempt. When all connections go
// silent at once, the table expires and slots may move.
const tableTimeout = 2 * time.Second

// tableRetryInterval is the time between lookups of an owner while a call waits for it.
const tableRetryInterval = 10 * time.Millisecond

// lookUpOwner looks up the owner of a keyed call. A call with an earlier attempt may have run, so a refusal would leave its
// outcome unknown to the caller; it waits for a valid table and an owner instead. All other calls are refused at once, as
// not run.
func (ent *Entry) lookUpOwner(ctx context.Context, cal *fpserve.Call) (*fptable.InFlightRequest, error) {
	end := time.Now().Add(tableTimeout)
	for {
		ifr, err := ent.table.Route(ctx, cal.Method().Service().Name(), cal.Key(), cal.Home(), cal.Deadline())
		transient := fperror.Is(err, fperror.TableExpired) || fperror.Is(err, fperror.NoOwner)
		if !transient || len(cal.TriedUpstreams()) == 0 || ctx.Err() != nil || time.Now().After(end) {
			return ifr, err
		}
		wait(ctx, tableRetryInterval)
	}
}

// choose returns an upstream for a call without a key, and counts the call on it until Target.Done.
func (ent *Entry) choose(_ context.Context, cal *fpserve.Call) (*fpserve.Target, error) {
	name := cal.Method().Service().Name()
	ser := ent.findService(name)
	if ser == nil {
		return nil, fperror.New(fperror.NoUpstream, "the service %s is not configured", name)
	}
	chosen, err := ser.balancer.Choose(time.Now(), fpbalance.Call{
		Bundle:   cal.Method().Bundle(),
		Bytes:    max(cal.Size(), minChargedBytes),
		Excluded: cal.TriedUpstreams(),
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

// admit waits for a permit to send the call to the upstream. The result of the call updates the upstream's concurrency limit
// and health.
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
	key, urgent := rateKey(tar.Upstream), cal.Method().Priority() == fpoption.Priority_PRIORITY_HIGH
	if ok, after := ent.rates.Take(ctx, key, urgent, false); !ok {
		err := fperror.New(fperror.Overloaded, "upstream %s gets no more calls than the rate that it names", tar.Upstream.GetName())
		done(fplimit.Result{
			Err: err,
		})
		return nil, fpserve.WithRetryAfter(err, after)
	}
	var once atomic.Bool
	return func(res fpserve.Result) {
		if !once.CompareAndSwap(false, true) {
			return
		}
		if !res.Sent {
			ent.rates.Return(key, urgent)
		}
		done(fplimit.Result{
			Err:      res.Err,
			PushBack: res.PushBack,
		})
		if res.Sent || fperror.Is(res.Err, fperror.ConnectFailed) {
			ent.observeHealth(cal, tar, res.Err)
		}
	}, nil
}

// rateKey returns the key of an upstream in the limiter of request rates.
func rateKey(ups *fpcontract.Upstream) fprate.Incarnation {
	return fprate.Incarnation{
		ID:   ups.GetName(),
		Born: ups.GetIncarnation(),
	}
}

// observeRate records the request rate that an upstream names in an answer, or that it names none.
func (ent *Entry) observeRate(tar *fpserve.Target, sent time.Time, rate string, named bool) {
	if named {
		ent.rates.Observe(rateKey(tar.Upstream), sent, rate)
		return
	}
	ent.rates.ObserveNone(rateKey(tar.Upstream), sent)
}

// observeLeaving records that an upstream says in an answer that it leaves. This incarnation gets no more calls without a key from this
// VM. It serves the slots that it owns until they have been moved away.
func (ent *Entry) observeLeaving(tar *fpserve.Target) {
	ent.mutex.Lock()
	defer ent.mutex.Unlock()
	ser, ups := ent.services[tar.Upstream.GetService()], tar.Upstream
	if ser == nil || ser.leaving[ups.GetName()] == ups.GetIncarnation() {
		return
	}
	ser.leaving[ups.GetName()] = ups.GetIncarnation()
	ser.setUsable(ups)
	ent.cfg.Log.Info("an upstream says that it leaves", zap.String("upstream", ups.GetName()), zap.Uint64("incarnation", ups.GetIncarnation()))
}

// observeHealth passes the result of an attempt to the health state of the upstream.
func (ent *Entry) observeHealth(cal *fpserve.Call, tar *fpserve.Target, err error) {
	ent.mutex.Lock()
	defer ent.mutex.Unlock()
	if ser := ent.services[cal.Method().Service().Name()]; ser != nil {
		ent.applyHealthChanges(ser, ser.health.Observe(time.Now(), tar.Upstream.GetName(), err))
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

// retry reports whether a failed call may be sent again, and after which delay. pushBack is the delay that the upstream
// asked for.
func (ent *Entry) retry(cal *fpserve.Call, err error, pushBack time.Duration) (time.Duration, bool) {
	ser := ent.findService(cal.Method().Service().Name())
	if ser == nil {
		return 0, false
	}
	kin := fperror.KindOf(err)
	if delay, ok := retryFreely(failure{
		keyed:      cal.Method().Keyed(),
		idempotent: cal.Method().Idempotent(),
		attempts:   len(cal.TriedUpstreams()),
		uncertain:  cal.UncertainAttempts(),
		err:        err,
	}); ok {
		return delay, true
	}
	lostConnections := 0
	if kin == fperror.UpstreamLost {
		lostConnections = len(cal.TriedUpstreams())
	}
	dec := ser.retrier.Decide(time.Now(), fpretry.Failure{
		Kind:            kin,
		Idempotent:      cal.Method().Idempotent(),
		Attempts:        max(1, len(cal.TriedUpstreams())),
		LostConnections: lostConnections,
		Deadline:        cal.Deadline(),
		PushBack:        pushBack,
	})
	return dec.After(), dec.Retry()
}

// failure is a failed attempt of a call.
type failure struct {
	keyed      bool
	idempotent bool
	attempts   int // so far
	uncertain  int // attempts that may have run
	err        error
}

// retryFreely reports whether a call is sent again without using the retry budget, and after which delay.
//
// A keyed call waits for its owner, also when it was not forwarded because the slot began to move, or the table expired, while it waited for a
// connection. An idempotent call whose connection went silent, or which its upstream stopped, is sent again once: all connections may go
// silent together, the calls of all slots of an upstream are stopped together, and the budget allows one retry in ten calls.
func retryFreely(fai failure) (time.Duration, bool) {
	kin := fperror.KindOf(fai.err)
	firstLoss := fai.idempotent && fai.uncertain == 1
	switch {
	case fai.keyed && (waitsForOwner(kin, fai.attempts) || errors.Is(fai.err, fpserve.ErrStaleTarget)),
		firstLoss && kin == fperror.UpstreamStopped:
		return ownerRetryDelay(fai.attempts), true
	case firstLoss && errors.Is(fai.err, fpserve.ErrSilent):
		return 0, true
	default:
		return 0, false
	}
}

// Bounds of the mean delay before a keyed call is sent again whose owner cannot be reached or has no lease, or whose slot
// moves. The delay doubles with each attempt.
const (
	minOwnerDelay = 40 * time.Millisecond
	maxOwnerDelay = 320 * time.Millisecond
)

// ownerRetryDelay returns the delay before the next attempt at the owner, with jitter of half the mean each way.
func ownerRetryDelay(attempts int) time.Duration {
	mean := minOwnerDelay << min(max(attempts-1, 0), 3)
	return mean/2 + time.Duration(rand.Int64N(int64(min(mean, maxOwnerDelay))))
}

// maxFencedAttempts is how often a keyed call is sent again to an owner that has not received its grant yet. The delays add
// up to about 1.9 s, in which a lease that ended is granted again.
const maxFencedAttempts = 8

// waitsForOwner reports whether a keyed call waits, within its deadline, until its owner can be reached again, a new owner
// exists, or a new owner has its grant. These attempts use no retry budget, because an upstream gets only a few of them.
func waitsForOwner(kin fperror.Kind, attempts int) bool {
	switch kin {
	case fperror.ConnectFailed, fperror.NoOwner:
		return true
	case fperror.UpstreamFenced:
		return attempts <= maxFencedAttempts
	default:
		return false
	}
}

// recordSuccess adds a complete answer to the retry budget of the service.
func (ent *Entry) recordSuccess(cal *fpserve.Call) {
	if ser := ent.findService(cal.Method().Service().Name()); ser != nil {
		ser.retrier.Success(time.Now())
	}
}

// claimTimeout is how long a claim waits until its group has a leader. An election takes up to 600 ms.
const claimTimeout = time.Second

// claimRetryInterval is the time between two attempts to commit a claim.
const claimRetryInterval = 25 * time.Millisecond

// claim commits a claim in the home group of the slot. The slot is derived from what the caller sends unchanged with every
// retry. The attempt in the claim makes it safe to submit the claim again after its answer was lost.
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
	end := time.Now().Add(claimTimeout)
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
			return nil, claimError(err, unknown)
		}
		wait(ctx, claimRetryInterval)
	}
}

// claimError returns the error of a claim that is not submitted again. last is the error of the last attempt, and unknown
// that of an attempt whose commit is uncertain, or nil. After such an attempt the claim may be committed, whatever the
// errors of later attempts were.
func claimError(last, unknown error) error {
	if unknown != nil {
		return unknown
	}
	return fperror.Wrap(fperror.ClaimUnavailable, last, "the claim cannot be committed")
}

// isTransient reports whether a command may succeed when it is submitted again.
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

// settle commits the outcome of a claimed call in the home group of the claim.
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

// reportCrash reports to the home group of the request's identity that the upstream crashed while the request was in flight,
// and returns whether the request is quarantined. The reports of all entry VMs go to the same group.
func (ent *Entry) reportCrash(ctx context.Context, cal *fpserve.Call, tar *fpserve.Target) (bool, error) {
	suspect := cal.SuspectID()
	ent.quarantine.RecordCrash(time.Now(), suspect, fpquarantine.Crash{
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

// isQuarantined reports whether the request is quarantined and may not be forwarded.
func (ent *Entry) isQuarantined(cal *fpserve.Call) bool {
	return ent.quarantine.Check(time.Now(), cal.SuspectID()) != nil
}

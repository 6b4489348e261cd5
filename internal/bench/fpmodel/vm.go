package fpmodel

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpload"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpbalance"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fplimit"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpretry"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fphealth"
)

// RetryPolicy states how a VM retries failed requests.
type RetryPolicy uint8

const (
	// BudgetedRetries leaves the decision to fpretry, with its retry budget.
	BudgetedRetries RetryPolicy = iota
	// NaiveRetries retries at once after any failure, with up to naiveMaxAttempts attempts of at most
	// naiveAttemptTimeout. It is the baseline of the experiments.
	NaiveRetries
	// NoRetries never retries.
	NoRetries
)

const (
	naiveMaxAttempts    = 4
	naiveAttemptTimeout = time.Second
	// maxAdmissionAttempts bounds the upstreams whose limiters are asked for one attempt. A refusal by a limiter of this VM
	// costs nothing, and the limiter of another upstream may admit the request.
	maxAdmissionAttempts = 3
	// pollInterval is the time between two polls of an upstream's load and health.
	pollInterval = 250 * time.Millisecond
	// assumedCallBytes is the assumed size of a small call with its answer.
	assumedCallBytes = 2 << 10
)

// Options select the policies of a VM and disable some of its decisions.
type Options struct {
	// Policy is the policy of the balancer.
	Policy fpbalance.Policy
	// SubsetSize is passed to the balancer as fpbalance.Config.SubsetSize.
	SubsetSize int
	Retries    RetryPolicy
	// NoLimits disables fplimit: every request is sent at once.
	NoLimits bool
	// NoHealth disables the effect of fphealth: no upstream is ejected.
	NoHealth bool
	// NoBundleRules treats bundles as small calls.
	NoBundleRules bool
}

// VMConfig configures a VM.
type VMConfig struct {
	Name      string
	Location  Location
	Upstreams []fpbalance.Upstream
	Options   Options
	// LinkRate is the VM's budget of the link between regions in bytes per second.
	LinkRate int64
	// Seed seeds the random decisions.
	Seed uint64
	// Attempt sends a request to an upstream. The kind of its error decides on retries and health.
	Attempt func(ctx context.Context, upstream string, req fpload.Request) error
	// ReadLoad reads the load of an upstream. An error counts as a failed health probe.
	ReadLoad func(ctx context.Context, upstream string) (*fpcontract.Load, error)
}

// VM is a model of an entry VM: its balancer, limiters, retries and health checks. Functions of VMConfig replace the
// network. Use NewVM to create one.
type VM struct {
	cfg     VMConfig
	balance *fpbalance.Balancer
	retry   *fpretry.Retrier
	health  *fphealth.Set

	mut    sync.Mutex
	limits map[string]*fplimit.Limiter
	names  []string
}

// NewVM returns a VM that knows its upstreams and has not polled them yet.
func NewVM(cfg VMConfig) *VM {
	link := fplimit.NewLink(fplimit.LinkConfig{
		Rate: cfg.LinkRate,
	})
	vma := &VM{
		cfg: cfg,
		balance: fpbalance.New(fpbalance.Config{
			Policy:     cfg.Options.Policy,
			SubsetSize: cfg.Options.SubsetSize,
			VM:         cfg.Name,
			DataCentre: cfg.Location.DataCentre,
			Region:     cfg.Location.Region,
			TakeLinkBytes: func(now time.Time, bundle bool, bytes int64) bool {
				if bundle {
					return link.Take(now, fplimit.Bundle, bytes)
				}
				return link.Take(now, fplimit.Small, bytes)
			},
			Rand: rand.New(rand.NewPCG(cfg.Seed, 4)),
		}),
		limits: map[string]*fplimit.Limiter{},
		retry: fpretry.New(fpretry.Config{
			Rand: rand.New(rand.NewPCG(cfg.Seed, 5)),
		}),
		health: fphealth.NewSet(fphealth.Config{
			Rand: rand.New(rand.NewPCG(cfg.Seed, 6)),
		}),
	}
	vma.SetUpstreams(cfg.Upstreams)
	return vma
}

// SetUpstreams replaces the list of upstreams. Limiters of known upstreams are kept, also with a new incarnation.
func (vma *VM) SetUpstreams(ups []fpbalance.Upstream) {
	vma.balance.Update(ups)
	known := map[string]uint64{}
	vma.mut.Lock()
	vma.names = nil
	for _, up := range ups {
		known[up.Name] = up.Incarnation
		vma.names = append(vma.names, up.Name)
		if vma.limits[up.Name] == nil {
			vma.limits[up.Name] = fplimit.New(fplimit.CoreConfig{
				Concurrency: up.Concurrency,
				Rand:        rand.New(rand.NewPCG(vma.cfg.Seed, xxhash.Sum64String(up.Name))),
			})
		}
	}
	slices.Sort(vma.names)
	vma.mut.Unlock()
	vma.applyHealthChanges(vma.health.Update(time.Now(), known))
}

// Health returns the VM's view of the health of its upstreams.
func (vma *VM) Health() *fphealth.Set { return vma.health }

// Limit returns the limiter of an upstream, or nil if the VM has never known it.
func (vma *VM) Limit(name string) *fplimit.Limiter {
	vma.mut.Lock()
	defer vma.mut.Unlock()
	return vma.limits[name]
}

// Names returns the names of the upstreams in alphabetical order.
func (vma *VM) Names() []string {
	vma.mut.Lock()
	defer vma.mut.Unlock()
	return vma.names
}

// StartPolling starts a goroutine that polls the load and health of all upstreams until ctx ends. It returns a channel that
// is closed at the end of the goroutine.
func (vma *VM) StartPolling(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			for _, name := range vma.Names() {
				vma.pollUpstream(ctx, name)
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}()
	return done
}

// pollUpstream reads load and health of one upstream and reports them to the balancer and the health checks.
func (vma *VM) pollUpstream(ctx context.Context, name string) {
	load, err := vma.cfg.ReadLoad(ctx, name)
	now := time.Now()
	if err == nil {
		vma.balance.Report(now, name, fpbalance.Report{
			Running: load.GetRunning(),
			Queued:  load.GetQueued(),
		})
	}
	vma.applyHealthChanges(vma.health.Probe(now, name, fphealth.Probe{
		Answered: err == nil,
		Ready:    err == nil,
	}))
}

// applyHealthChanges passes changes of health to the balancer.
func (vma *VM) applyHealthChanges(changes []fphealth.Change) {
	if vma.cfg.Options.NoHealth {
		return
	}
	for _, cha := range changes {
		switch cha.State() {
		case fphealth.Ejected:
			vma.balance.SetUsable(cha.Name(), false)
		case fphealth.Trial:
			vma.balance.Readmit(cha.Name())
		case fphealth.Healthy:
			vma.balance.SetUsable(cha.Name(), true)
		}
	}
}

// Send forwards a request, with retries, and returns the answer to its caller.
func (vma *VM) Send(ctx context.Context, req fpload.Request) fpload.Answer {
	var tried []string
	lostConnections := 0
	for attempts := 1; ; attempts++ {
		name, err := vma.attempt(ctx, req, tried)
		if err == nil {
			vma.retry.Success(time.Now())
			return fpload.Answer{
				Upstream: name,
			}
		}
		if fperror.Is(err, fperror.UpstreamLost) {
			lostConnections++
		}
		if name != "" {
			tried = append(tried, name)
		}
		if !vma.waitForRetry(ctx, req, err, attempts, lostConnections) {
			return errorAnswer(err)
		}
	}
}

// errorAnswer returns the answer to the caller of a request that ended with an error. It has status Refused if the kind of
// the error states that the request did not run.
func errorAnswer(err error) fpload.Answer {
	kin := fperror.KindOf(err)
	ans := fpload.Answer{
		Status: fpload.Failed,
		Kind:   kin.String(),
	}
	if kin.Answer().Outcome() == fperror.NotRun {
		ans.Status = fpload.Refused
	}
	return ans
}

// waitForRetry reports whether a failed request must be retried after the given number of attempts and lost connections. It
// waits for the backoff before it returns true.
func (vma *VM) waitForRetry(ctx context.Context, req fpload.Request, err error, attempts, lostConnections int) bool {
	switch vma.cfg.Options.Retries {
	case NoRetries:
		return false
	case NaiveRetries:
		return attempts < naiveMaxAttempts && ctx.Err() == nil
	}
	now := time.Now()
	dec := vma.retry.Decide(now, fpretry.Failure{
		Kind:            fperror.KindOf(err),
		Idempotent:      true,
		Attempts:        attempts,
		LostConnections: lostConnections,
		Deadline:        req.Deadline,
	})
	if !dec.Retry() {
		return false
	}
	timer := time.NewTimer(dec.After())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt makes one attempt and returns the name of the upstream it was sent to, or an empty string if it was not sent.
func (vma *VM) attempt(ctx context.Context, req fpload.Request, tried []string) (string, error) {
	name, done, err := vma.admit(ctx, req, tried)
	if err != nil {
		return "", err
	}
	began := time.Now()
	if vma.cfg.Options.Retries == NaiveRetries {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, naiveAttemptTimeout)
		defer cancel()
	}
	err = vma.cfg.Attempt(ctx, name, req)
	now := time.Now()
	done(fplimit.Result{
		Err: err,
	})
	if req.Key == "" {
		vma.balance.Done(now, name, err, now.Sub(began))
	}
	vma.applyHealthChanges(vma.health.Observe(now, name, err))
	return name, err
}

// admit chooses an upstream and waits until its limiter admits the request. It returns the name of the upstream and the
// function that must be called with the result of the attempt.
func (vma *VM) admit(ctx context.Context, req fpload.Request, tried []string) (string, func(fplimit.Result), error) {
	var lastRefusal error
	excluded := slices.Clone(tried)
	for range maxAdmissionAttempts {
		name, err := vma.choose(req, excluded)
		if err != nil {
			if lastRefusal != nil {
				return "", nil, lastRefusal
			}
			return "", nil, err
		}
		if vma.cfg.Options.NoLimits {
			return name, func(fplimit.Result) {}, nil
		}
		done, err := vma.Limit(name).Admit(ctx, fplimit.Call{
			Caller:   req.Caller,
			Bundle:   vma.isBundle(req),
			Deadline: req.Deadline,
		})
		if err == nil {
			return name, done, nil
		}
		lastRefusal = err
		if req.Key != "" {
			break
		}
		vma.balance.Done(time.Now(), name, err, 0)
		excluded = append(excluded, name)
	}
	return "", nil, lastRefusal
}

// isBundle reports whether the rules for bundles apply to a request.
func (vma *VM) isBundle(req fpload.Request) bool {
	return req.Bundle && !vma.cfg.Options.NoBundleRules
}

// choose returns the name of the owner of the request's key, or of the balancer's choice for a request without a key.
func (vma *VM) choose(req fpload.Request, excluded []string) (string, error) {
	if req.Key != "" {
		names := vma.Names()
		return names[xxhash.Sum64String(req.Key)%uint64(len(names))], nil
	}
	cal := fpbalance.Call{
		Bundle:   vma.isBundle(req),
		Bytes:    assumedCallBytes,
		Excluded: excluded,
	}
	return vma.balance.Choose(time.Now(), cal)
}

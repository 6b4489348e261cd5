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

// Retries is how a VM retries.
type Retries uint8

const (
	// Budgeted retries are decided by fpretry.
	Budgeted Retries = iota
	// Naive retries are sent at once, up to naiveTries attempts of at most naiveTimeout, after any failure. They are the
	// baseline.
	Naive
	// NoRetries makes every failure final.
	NoRetries
)

const (
	naiveTries   = 4
	naiveTimeout = time.Second
	// localTries bounds the upstreams whose limiters are asked for one attempt. A refusal by the own limiter has cost
	// nothing, so another upstream may have room.
	localTries = 3
	// pollEvery is the time between two reads of an upstream's load and health.
	pollEvery = 250 * time.Millisecond
	// callBytes is the assumed size of a small call with its answer.
	callBytes = 2 << 10
)

// Options choose the decisions of a VM.
type Options struct {
	Policy  fpbalance.Policy
	Subset  int
	Retries Retries
	// NoLimits leaves fplimit out: every request is sent at once.
	NoLimits bool
	// NoHealth leaves fphealth out.
	NoHealth bool
	// NoBundleRules treats bundles as small calls.
	NoBundleRules bool
}

// VMConfig configures a VM.
type VMConfig struct {
	Name      string
	Place     Place
	Upstreams []fpbalance.Upstream
	Options   Options
	// LinkRate is the budget of the link between regions in bytes per second.
	LinkRate int64
	Seed     uint64
	// Attempt sends a request to an upstream.
	Attempt func(ctx context.Context, upstream string, req fpload.Request) error
	// Read reads the load and the health of an upstream.
	Read func(ctx context.Context, upstream string) (*fpcontract.Load, error)
}

// VM is an entry VM reduced to its decisions.
type VM struct {
	cfg     VMConfig
	balance *fpbalance.Balancer
	retry   *fpretry.Retrier
	health  *fphealth.Set

	mut    sync.Mutex
	limits map[string]*fplimit.Limiter
	names  []string
}

// NewVM returns a VM that knows its upstreams and has no answers from them yet.
func NewVM(cfg VMConfig) *VM {
	link := fplimit.NewLink(fplimit.LinkConfig{
		Rate: cfg.LinkRate,
	})
	vma := &VM{
		cfg: cfg,
		balance: fpbalance.New(fpbalance.Config{
			Policy:     cfg.Options.Policy,
			Subset:     cfg.Options.Subset,
			VM:         cfg.Name,
			DataCentre: cfg.Place.DataCentre,
			Region:     cfg.Place.Region,
			TakeLink: func(now time.Time, bundle bool, bytes int64) bool {
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

// SetUpstreams replaces the list of upstreams.
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
	vma.apply(vma.health.Update(time.Now(), known))
}

// Health returns the VM's view of the health of its upstreams.
func (vma *VM) Health() *fphealth.Set { return vma.health }

// Limit returns the limiter of an upstream.
func (vma *VM) Limit(name string) *fplimit.Limiter {
	vma.mut.Lock()
	defer vma.mut.Unlock()
	return vma.limits[name]
}

// Names returns the names of the upstreams in order.
func (vma *VM) Names() []string {
	vma.mut.Lock()
	defer vma.mut.Unlock()
	return vma.names
}

// Poll reads load and health of all upstreams until ctx ends. The returned channel is then closed.
func (vma *VM) Poll(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(pollEvery)
		defer ticker.Stop()
		for {
			for _, name := range vma.Names() {
				vma.readOne(ctx, name)
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

// readOne reads load and health of one upstream.
func (vma *VM) readOne(ctx context.Context, name string) {
	load, err := vma.cfg.Read(ctx, name)
	now := time.Now()
	if err == nil {
		vma.balance.Report(now, name, fpbalance.Report{
			Running: load.GetRunning(),
			Queued:  load.GetQueued(),
		})
	}
	vma.apply(vma.health.Probe(now, name, fphealth.Probe{
		Answered: err == nil,
		Ready:    err == nil,
	}))
}

// apply hands changes of health to the balancer.
func (vma *VM) apply(changes []fphealth.Change) {
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

// Send forwards a request and returns what its caller gets.
func (vma *VM) Send(ctx context.Context, req fpload.Request) fpload.Answer {
	var tried []string
	losses := 0
	for tries := 1; ; tries++ {
		name, err := vma.attempt(ctx, req, tried)
		if err == nil {
			vma.retry.Success(time.Now())
			return fpload.Answer{
				Upstream: name,
			}
		}
		if fperror.Is(err, fperror.UpstreamLost) {
			losses++
		}
		if name != "" {
			tried = append(tried, name)
		}
		if !vma.again(ctx, req, err, tries, losses) {
			return refusal(err)
		}
	}
}

// refusal returns what the caller of a request that ended with an error gets.
func refusal(err error) fpload.Answer {
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

// again decides whether a failed request is tried again, and waits for the backoff.
func (vma *VM) again(ctx context.Context, req fpload.Request, err error, tries, losses int) bool {
	switch vma.cfg.Options.Retries {
	case NoRetries:
		return false
	case Naive:
		return tries < naiveTries && ctx.Err() == nil
	}
	now := time.Now()
	dec := vma.retry.Decide(now, fpretry.Failure{
		Kind:       fperror.KindOf(err),
		Idempotent: true,
		Tries:      tries,
		Losses:     losses,
		Deadline:   req.Deadline,
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

// attempt makes one attempt and returns the upstream that it was sent to, or nothing when it was not sent.
func (vma *VM) attempt(ctx context.Context, req fpload.Request, tried []string) (string, error) {
	name, done, err := vma.admit(ctx, req, tried)
	if err != nil {
		return "", err
	}
	began := time.Now()
	if vma.cfg.Options.Retries == Naive {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, naiveTimeout)
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
	vma.apply(vma.health.Observe(now, name, err))
	return name, err
}

// admit chooses an upstream and waits for its limiter.
func (vma *VM) admit(ctx context.Context, req fpload.Request, tried []string) (string, func(fplimit.Result), error) {
	var refused error
	left := slices.Clone(tried)
	for range localTries {
		name, err := vma.choose(req, left)
		if err != nil {
			if refused != nil {
				return "", nil, refused
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
		refused = err
		if req.Key != "" {
			break
		}
		vma.balance.Done(time.Now(), name, err, 0)
		left = append(left, name)
	}
	return "", nil, refused
}

// isBundle reports whether the rules for bundles apply to a request.
func (vma *VM) isBundle(req fpload.Request) bool {
	return req.Bundle && !vma.cfg.Options.NoBundleRules
}

// choose returns the owner of the request's key, or the choice of the balancer.
func (vma *VM) choose(req fpload.Request, left []string) (string, error) {
	if req.Key != "" {
		names := vma.Names()
		return names[xxhash.Sum64String(req.Key)%uint64(len(names))], nil
	}
	cal := fpbalance.Call{
		Bundle: vma.isBundle(req),
		Bytes:  callBytes,
		Tried:  left,
	}
	return vma.balance.Choose(time.Now(), cal)
}

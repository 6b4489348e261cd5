package fprate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// upstreamKey identifies the upstream of the simulation.
var upstreamKey = Incarnation{
	ID:   "u",
	Born: 1,
}

// simulation is a pool, a number of limiters, and an upstream that names a rate, in the time of a synctest bubble. The mutex of
// the bubble's goroutines is mutex.
type simulation struct {
	ran     *rand.Rand
	pool    *Pool
	vms     []*simulatedVM
	mutex   chan struct{} // a semaphore of one, because a bubble does not wait for sync.Mutex
	rates   []namedRate
	arrived []arrival
}

// namedRate is the rate that the upstream names from a time on; text is empty if it names none.
type namedRate struct {
	from      time.Time
	text      string
	perSecond float64
}

// arrival is a request that has reached the upstream. informed states that the VM had passed on an answer with a rate half a second
// before.
type arrival struct {
	at       time.Time
	informed bool
}

// simulatedVM is an entry VM with its callers.
type simulatedVM struct {
	name       string
	limiter    *Limiter
	delay      time.Duration // one way to the leader
	demand     float64       // requests per second
	cut        bool          // from the leader
	informedAt time.Time
	refused    int
	waits      []time.Duration
}

func newSimulation(seed uint64, vms int, demand func(num int) float64) *simulation {
	sim := &simulation{
		ran:   rand.New(rand.NewPCG(seed, 1)),
		pool:  NewPool(),
		mutex: make(chan struct{}, 1),
	}
	for num := range vms {
		sim.vms = append(sim.vms, &simulatedVM{
			name: fmt.Sprint("vm-", num),
			limiter: NewLimiter(LimiterConfig{
				Entries: func() uint32 { return uint32(vms) },
			}),
			delay:  time.Duration(1+sim.ran.IntN(30)) * time.Millisecond,
			demand: demand(num),
		})
	}
	sim.name("", 0)
	return sim
}

func (sim *simulation) locked(run func()) {
	sim.mutex <- struct{}{}
	defer func() { <-sim.mutex }()
	run()
}

// name makes the upstream name a rate in all later answers, or none if text is empty.
func (sim *simulation) name(text string, perSecond float64) {
	sim.locked(func() {
		sim.rates = append(sim.rates, namedRate{
			from:      time.Now(),
			text:      text,
			perSecond: perSecond,
		})
	})
}

// run lets callers send requests for a time. The requests of a VM arrive at random.
func (sim *simulation) run(length time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	ended := make(chan struct{})
	for num, svm := range sim.vms {
		ran := rand.New(rand.NewPCG(uint64(num), sim.ran.Uint64()))
		go func() { sim.callers(ctx, svm, ran); ended <- struct{}{} }()
		go func() { sim.report(ctx, svm); ended <- struct{}{} }()
	}
	for range 2 * len(sim.vms) {
		<-ended
	}
}

func (sim *simulation) callers(ctx context.Context, svm *simulatedVM, ran *rand.Rand) {
	for svm.demand > 0 && pause(ctx, time.Duration(ran.ExpFloat64()/svm.demand*float64(time.Second))) {
		travel := time.Duration(1+ran.IntN(30)) * time.Millisecond
		go sim.request(svm, travel, ran.IntN(2) == 0)
	}
}

// request sends one request and passes its answer on.
func (sim *simulation) request(svm *simulatedVM, travel time.Duration, urgent bool) {
	ok, wait := svm.limiter.Take(context.Background(), upstreamKey, urgent, true)
	if !ok {
		sim.locked(func() {
			svm.refused++
			svm.waits = append(svm.waits, wait)
		})
		return
	}
	sent := time.Now()
	time.Sleep(travel)
	var rate namedRate
	sim.locked(func() {
		sim.arrived = append(sim.arrived, arrival{
			at:       time.Now(),
			informed: !svm.informedAt.IsZero() && time.Since(svm.informedAt) > 500*time.Millisecond,
		})
	})
	time.Sleep(50 * time.Millisecond)
	sim.locked(func() { rate = sim.rates[len(sim.rates)-1] })
	time.Sleep(travel)
	if rate.text == "" {
		svm.limiter.ObserveNone(upstreamKey, sent)
		return
	}
	svm.limiter.Observe(upstreamKey, sent, rate.text)
	sim.locked(func() {
		if svm.informedAt.IsZero() {
			svm.informedAt = time.Now()
		}
	})
}

// report calls the leader as an entry VM does, until ctx ends.
func (sim *simulation) report(ctx context.Context, svm *simulatedVM) {
	const interval = 300 * time.Millisecond
	for pause(ctx, CallGap(uint32(len(sim.vms)))) {
		select {
		case <-ctx.Done():
		case <-time.After(interval - CallGap(uint32(len(sim.vms)))):
		case <-svm.limiter.Wanted():
		}
		cal := svm.limiter.NewCall(time.Now())
		time.Sleep(svm.delay)
		var cut bool
		sim.locked(func() { cut = svm.cut })
		if cut {
			time.Sleep(400 * time.Millisecond)
			continue
		}
		now := time.Now()
		for inc, sta := range cal.Statements {
			sim.pool.Merge(now, inc, sta)
		}
		grants, statements := sim.pool.Acquire(now, svm.name, uint32(len(sim.vms)), cal.Asks), sim.pool.Statements()
		time.Sleep(svm.delay)
		svm.limiter.Finish(cal, time.Now(), grants, statements)
	}
}

func pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// allowed returns the requests that the upstream takes in a span: one and a half times what it named, and 5. It is negative
// if it named no rate for a part of the span.
func (sim *simulation) allowed(from, to time.Time) float64 {
	sum := 0.0
	for pos, one := range sim.rates {
		end := to
		if pos+1 < len(sim.rates) {
			end = sim.rates[pos+1].from
		}
		span := min(end.Sub(from), end.Sub(one.from), to.Sub(from), to.Sub(one.from))
		if span > 0 && one.text == "" {
			return -1
		}
		sum += max(0, span.Seconds()) * one.perSecond
	}
	return 1.5*sum + 5
}

// check fails the test if in some 4 s the upstream has got more requests than it takes.
func (sim *simulation) check(t *testing.T, what string) {
	t.Helper()
	const window = 4 * time.Second
	var times []time.Time
	for _, arr := range sim.arrived {
		if arr.informed {
			times = append(times, arr.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for pos, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		if allowed := sim.allowed(at.Add(-window), at); allowed >= 0 && float64(pos-first+1) > allowed {
			t.Errorf("%s: %d requests in 4 s, allowed %.1f", what, pos-first+1, allowed)
			return
		}
	}
}

// arrivals returns the number of requests that have arrived in the last length of time.
func (sim *simulation) arrivals(length time.Duration) int {
	count := 0
	for _, arr := range sim.arrived {
		if time.Since(arr.at) <= length {
			count++
		}
	}
	return count
}

// TestRateSumOverVMs guards against a rate that each VM keeps alone: the sum over the VMs exceeds it, or much of it is unused
// because its callers reach few VMs. VMs lose the leader, the leader changes, and the rate falls, rises and ends.
func TestRateSumOverVMs(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			ran := rand.New(rand.NewPCG(seed, 2))
			vms := []int{1, 9, 64}[ran.IntN(3)]
			rate := []float64{0, 0.5, 3.7, 14.3, 60}[ran.IntN(5)]
			total := 2*rate + 40
			oneVM := ran.IntN(2) == 0
			sim := newSimulation(seed, vms, func(num int) float64 {
				switch {
				case !oneVM:
					return total / float64(vms)
				case num == 0:
					return total
				}
				return 0.1
			})
			what := fmt.Sprintf("seed %d: %d VMs, %g a second, all callers at one: %t", seed, vms, rate, oneVM)
			sim.run(time.Second)
			sim.name(fmt.Sprint(rate), rate)
			sim.run(12 * time.Second)
			t.Logf("%s: %d of %g", what, sim.arrivals(8*time.Second), 8*rate)
			if got, want := sim.arrivals(8*time.Second), int(0.8*8*rate)-2; got < want {
				t.Errorf("%s: %d requests in 8 s, want %d of the %g that the rate allows", what, got, want, 8*rate)
			}
			for num, svm := range sim.vms {
				svm.cut = num%2 == ran.IntN(2)
			}
			sim.run(6 * time.Second)
			for _, svm := range sim.vms {
				svm.cut = false
			}
			sim.pool.StartTerm(time.Now(), 2)
			sim.run(4 * time.Second)
			sim.name(fmt.Sprint(2*rate), 2*rate)
			sim.run(5 * time.Second)
			sim.name(fmt.Sprint(rate), rate)
			sim.run(6 * time.Second)
			sim.check(t, what)
			sim.name("", 0)
			sim.run(15 * time.Second)
			if got := float64(sim.arrivals(2 * time.Second)); got < total {
				t.Errorf("%s: %g requests in 2 s after the limit has ended, of %g", what, got, 2*total)
			}
			time.Sleep(time.Second) // the last requests end
		})
	}
}

// Package fphealth tracks the health of a service's upstreams by the outcomes of requests and by probes, and ejects
// upstreams that fail. Set is the state machine, and Prober reads the health and load endpoints of upstreams.
package fphealth

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// smoothingFactor is the weight of the latest outcome in the exponential moving average of the failure ratio.
	smoothingFactor = 0.2
	// ejectThreshold is the failure ratio above which an upstream is ejected. With smoothingFactor, that takes 5
	// failures in a row after a period without failures.
	ejectThreshold = 0.6
	// failedProbesToEject is the number of consecutive failed probes that eject an upstream which has answered no
	// request in the meantime.
	failedProbesToEject = 3
	// successesToReadmit is the number of consecutive answers that end a trial.
	successesToReadmit = 5
	// baseEjectionTime and maxEjectionTime bound the duration of an ejection, which doubles with each ejection.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// failedProbeEjectionTime is the minimum duration of an ejection while probes fail.
	failedProbeEjectionTime = 5 * time.Second
	// ejectionResetAfter is the time in state Healthy after which the next ejection lasts baseEjectionTime again.
	ejectionResetAfter = time.Minute
	// maxEjectedDivisor limits the ejected upstreams: at most 1/maxEjectedDivisor of all may be ejected at once.
	maxEjectedDivisor = 3
)

// State is the health state of an upstream.
type State uint8

// The states.
const (
	// Healthy upstreams receive requests.
	Healthy State = iota
	// Ejected upstreams receive no requests.
	Ejected
	// Trial upstreams were ejected and receive requests again, but only as many as a new upstream.
	Trial
)

// String returns the name of the state as used in logs and dumps.
func (sta State) String() string {
	switch sta {
	case Ejected:
		return "ejected"
	case Trial:
		return "trial"
	default:
		return "healthy"
	}
}

// Change is a change of an upstream's health state.
type Change struct {
	name  string
	state State
}

// Name returns the name of the upstream.
func (cha Change) Name() string { return cha.name }

// State returns the new state.
func (cha Change) State() State { return cha.state }

// Probe is the result of one probe of the health endpoint.
type Probe struct {
	// Answered states that the endpoint returned a valid answer in time.
	Answered bool
	// Ready is the readiness that the upstream reported.
	Ready bool
}

// Config configures a Set.
type Config struct {
	// Rand is the source of jitter for the durations of ejections. Nil: a source with seed 1.
	Rand *rand.Rand
}

// Set holds the health of the upstreams of one service as seen by one VM. It is safe for concurrent use.
type Set struct {
	mut     sync.Mutex
	ran     *rand.Rand
	members map[string]*member
}

// member is the health of one upstream.
type member struct {
	incarnation      uint64
	state            State
	failureRatio     float64 // moving average of 0 (answer) and 1 (failure)
	successes        int     // consecutive answers to requests
	failedProbes     int     // consecutive failed probes
	probeSucceeded   bool    // a probe has succeeded, so that failed probes count
	lastAnswer       time.Time
	firstFailedProbe time.Time     // time of the first of the consecutive failed probes
	ejectedUntil     time.Time     // end of the ejection
	ejectionTime     time.Duration // duration of the latest ejection without jitter
	healthySince     time.Time     // when the upstream last became healthy
}

// NewSet returns a set without upstreams.
func NewSet(cfg Config) *Set {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return &Set{
		ran:     cfg.Rand,
		members: map[string]*member{},
	}
}

// Update replaces the list of upstreams, a map from names to incarnations, and returns the resulting changes. A new
// incarnation of an upstream starts as healthy, because the failures were those of another process.
func (set *Set) Update(now time.Time, ups map[string]uint64) []Change {
	set.mut.Lock()
	defer set.mut.Unlock()
	var out []Change
	for name, incarnation := range ups {
		mem, ok := set.members[name]
		if ok && mem.incarnation == incarnation {
			continue
		}
		if ok && mem.state != Healthy {
			out = append(out, Change{
				name:  name,
				state: Healthy,
			})
		}
		set.members[name] = &member{
			incarnation:  incarnation,
			healthySince: now,
		}
	}
	for name := range set.members {
		if _, ok := ups[name]; !ok {
			delete(set.members, name)
		}
	}
	return append(out, set.tick(now)...)
}

// Observe records the outcome of an attempt to send a request and returns the resulting changes. err is nil for an
// answer, or an error of an fperror kind. A refusal by an upstream counts as an answer, because an upstream that
// refuses is alive. The end of a request by its caller says nothing about the upstream's health. An unknown upstream is
// ignored.
func (set *Set) Observe(now time.Time, name string, err error) []Change {
	set.mut.Lock()
	defer set.mut.Unlock()
	mem, ok := set.members[name]
	if !ok {
		return nil
	}
	switch signalOf(err) {
	case success:
		return set.recordSuccess(now, name, mem)
	case failure:
		return set.recordFailure(now, name, mem)
	default:
		return nil
	}
}

// signal is what the outcome of an attempt indicates about an upstream's health.
type signal uint8

const (
	noSignal signal = iota
	success
	failure
)

// signalOf maps the outcome of an attempt to a signal.
func signalOf(err error) signal {
	if err == nil {
		return success
	}
	switch fperror.KindOf(err) {
	case fperror.UpstreamShed, fperror.UpstreamFenced, fperror.UpstreamDraining:
		return success
	case fperror.ConnectFailed, fperror.UpstreamLost, fperror.AnswerTruncated, fperror.DeadlineExceeded:
		return failure
	default:
		return noSignal
	}
}

// Probe records the result of a probe and returns the resulting changes. Failed probes eject an upstream only if an
// earlier probe succeeded and no request was answered since the first failed probe: a health endpoint may be wrong,
// while answered requests prove that the upstream works. An unknown upstream is ignored.
func (set *Set) Probe(now time.Time, name string, pro Probe) []Change {
	set.mut.Lock()
	defer set.mut.Unlock()
	mem, ok := set.members[name]
	if !ok {
		return nil
	}
	if pro.Answered && pro.Ready {
		mem.failedProbes = 0
		mem.probeSucceeded = true
		return set.tick(now)
	}
	if mem.failedProbes == 0 {
		mem.firstFailedProbe = now
	}
	mem.failedProbes++
	answeredSince := mem.lastAnswer.After(mem.firstFailedProbe)
	if mem.state != Ejected && mem.probeSucceeded && mem.failedProbes >= failedProbesToEject && !answeredSince {
		return append(set.eject(now, name, mem), set.tick(now)...)
	}
	return set.tick(now)
}

// Tick returns the changes that are due at the given time, such as ends of ejections. It is to be called periodically.
func (set *Set) Tick(now time.Time) []Change {
	set.mut.Lock()
	defer set.mut.Unlock()
	return set.tick(now)
}

// State returns the state of an upstream; an unknown upstream is healthy.
func (set *Set) State(name string) State {
	set.mut.Lock()
	defer set.mut.Unlock()
	if mem, ok := set.members[name]; ok {
		return mem.state
	}
	return Healthy
}

// EjectedCount returns the number of ejected upstreams.
func (set *Set) EjectedCount() int {
	set.mut.Lock()
	defer set.mut.Unlock()
	return set.ejectedCount()
}

// Package fphealth judges the health of a service's upstreams from the answers of requests and from probes. Set is the
// state machine, and Prober reads the health and load endpoints of upstreams.
package fphealth

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// failureWeight is the weight of one signal in the moving share of failures.
	failureWeight = 0.2
	// ejectAbove is the share of failures above which an upstream is ejected. With failureWeight it takes 5 failures in
	// a row after a healthy time.
	ejectAbove = 0.6
	// badProbes is the number of bad probes in a row that eject an upstream that has given no answer meanwhile.
	badProbes = 3
	// trialAnswers is the number of answers in a row that end a trial.
	trialAnswers = 5
	// firstPause and maxPause bound the time of an ejection, which doubles each time.
	firstPause = time.Second
	maxPause   = 30 * time.Second
	// badProbePause replaces a shorter pause while probes fail.
	badProbePause = 5 * time.Second
	// forgiveAfter is the healthy time after which the next ejection starts with firstPause again.
	forgiveAfter = time.Minute
	// maxEjectedPart is the part of the upstreams that may be ejected at once, as a divisor.
	maxEjectedPart = 3
)

// State is the state of an upstream.
type State uint8

// The states.
const (
	// Healthy upstreams get requests.
	Healthy State = iota
	// Ejected upstreams get no requests.
	Ejected
	// Trial upstreams were ejected and get requests again, with the share of a newcomer.
	Trial
)

// String returns the name of the state in logs and counters.
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

// Change is a change of an upstream's state.
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
	// Answered states that the endpoint gave a valid answer in time.
	Answered bool
	// Ready is the upstream's own statement.
	Ready bool
}

// Config configures a Set.
type Config struct {
	// Rand jitters the time of ejections. Unset: a source with seed 1.
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
	incarnation uint64
	state       State
	failures    float64 // moving share of failures
	good        int     // answers in a row
	bad         int     // bad probes in a row
	probedWell  bool    // some probe was good, so a bad one means something
	answered    time.Time
	firstBad    time.Time // the first of the bad probes in a row
	until       time.Time // end of the ejection
	pause       time.Duration
	healthy     time.Time // start of the healthy time
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

// Update replaces the list of upstreams, given as names with incarnations. A new incarnation of an upstream starts
// healthy, because the failures were those of another process.
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
			incarnation: incarnation,
			healthy:     now,
		}
	}
	for name := range set.members {
		if _, ok := ups[name]; !ok {
			delete(set.members, name)
		}
	}
	return append(out, set.tick(now)...)
}

// Observe takes the end of an attempt: nil for an answer, or an error of an fperror kind. Refusals by an upstream are
// answers here, because an upstream that refuses is alive; the end of a caller says nothing.
func (set *Set) Observe(now time.Time, name string, err error) []Change {
	set.mut.Lock()
	defer set.mut.Unlock()
	mem, ok := set.members[name]
	if !ok {
		return nil
	}
	switch signalOf(err) {
	case good:
		return set.succeed(now, name, mem)
	case bad:
		return set.fail(now, name, mem)
	default:
		return nil
	}
}

// signal is what the end of an attempt says about health.
type signal uint8

const (
	none signal = iota
	good
	bad
)

// signalOf maps the end of an attempt to a signal.
func signalOf(err error) signal {
	if err == nil {
		return good
	}
	switch fperror.KindOf(err) {
	case fperror.UpstreamShed, fperror.UpstreamFenced, fperror.UpstreamDraining:
		return good
	case fperror.ConnectFailed, fperror.UpstreamLost, fperror.AnswerTruncated, fperror.DeadlineExceeded:
		return bad
	default:
		return none
	}
}

// Probe takes the result of a probe. A bad probe counts only if an earlier one was good and no request was answered
// since: endpoints mislead, answers to requests do not.
func (set *Set) Probe(now time.Time, name string, pro Probe) []Change {
	set.mut.Lock()
	defer set.mut.Unlock()
	mem, ok := set.members[name]
	if !ok {
		return nil
	}
	if pro.Answered && pro.Ready {
		mem.bad = 0
		mem.probedWell = true
		return set.tick(now)
	}
	if mem.bad == 0 {
		mem.firstBad = now
	}
	mem.bad++
	proven := mem.answered.After(mem.firstBad)
	if mem.state != Ejected && mem.probedWell && mem.bad >= badProbes && !proven {
		return append(set.eject(now, name, mem), set.tick(now)...)
	}
	return set.tick(now)
}

// Tick returns the changes that the passage of time brings.
func (set *Set) Tick(now time.Time) []Change {
	set.mut.Lock()
	defer set.mut.Unlock()
	return set.tick(now)
}

// State returns the state of an upstream; an unknown one is healthy.
func (set *Set) State(name string) State {
	set.mut.Lock()
	defer set.mut.Unlock()
	if mem, ok := set.members[name]; ok {
		return mem.state
	}
	return Healthy
}

// Ejected returns the number of ejected upstreams.
func (set *Set) Ejected() int {
	set.mut.Lock()
	defer set.mut.Unlock()
	return set.ejected()
}

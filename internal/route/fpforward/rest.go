package fpforward

import (
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprate"
)

const (
	// maxRest bounds the time for which an upstream is left alone because it asks for it. It may ask again.
	maxRest = 30 * time.Second
	// restJitterFraction is the fraction of a rest by which its end varies at random, up to maxRestJitter. Otherwise, all VMs that
	// were asked together would come back together.
	restJitterFraction = 0.1
	maxRestJitter      = 300 * time.Millisecond
	// restTrialWait is the time until the next request to an upstream whose rest has ended, while the first one is in flight.
	restTrialWait = 50 * time.Millisecond
)

// parseRests returns the longest of the times that an upstream names, in seconds, and the number of those that have no meaning:
// empty, negative, not decimal, not finite, a date, or longer than 32 characters. A time above maxRest counts as maxRest.
func parseRests(texts []string) (longest time.Duration, invalid int) {
	for _, text := range texts {
		seconds, ok := fprate.Parse(text)
		if !ok {
			invalid++
			continue
		}
		longest = max(longest, time.Duration(min(seconds, maxRest.Seconds())*float64(time.Second)))
	}
	return longest, invalid
}

// observeRest records the rest that an upstream asks this VM for when it turns a request away. It reports whether it asks for any.
func (exc *exchange) observeRest(mem *member, rep *reply) bool {
	if rep == nil || len(rep.answer.Rests) == 0 || rep.answer.Attempt != exc.info.Attempt {
		return false
	}
	length, invalid := parseRests(rep.answer.Rests)
	for range invalid {
		exc.fwd.counters.add("restInvalid")
	}
	if length <= 0 {
		return false
	}
	exc.fwd.counters.add("rests")
	mem.rest(time.Now(), length, exc.fwd.random())
	return true
}

// rest leaves the upstream alone for a time. The later end of several rests holds. random, in [0, 1), spreads the end.
func (mem *member) rest(now time.Time, length time.Duration, random float64) {
	jitter := min(maxRestJitter, time.Duration(restJitterFraction*float64(length)))
	until := now.Add(length + time.Duration(random*float64(jitter)))
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.restTrial = true
	if until.After(mem.restUntil) {
		mem.restUntil = until
	}
}

// restRemaining returns the time until the upstream may get the next request, or 0. After a rest it gets one request at a time until
// it has answered one. The caller holds the mutex.
func (mem *member) restRemaining(now time.Time) time.Duration {
	if rest := mem.restUntil.Sub(now); rest > 0 {
		return rest
	}
	if mem.restTrial && mem.inFlight > 0 {
		return restTrialWait
	}
	return 0
}

// checkRest returns an error of kind Overloaded if the upstream has asked for rest since it was chosen.
func (exc *exchange) checkRest(mem *member) error {
	mem.mutex.Lock()
	rest := mem.restRemaining(time.Now())
	mem.mutex.Unlock()
	if rest <= 0 {
		return nil
	}
	exc.tried[mem] = true
	return exc.restError(mem, rest)
}

// restError returns the error for a request that cannot be sent because its upstream rests. The caller is told when the rest ends.
func (exc *exchange) restError(mem *member, rest time.Duration) error {
	exc.rateWait = rest
	return fperror.New(fperror.Overloaded, "upstream %s has asked this VM for rest, for another %v", mem.upstream.GetId(), rest)
}

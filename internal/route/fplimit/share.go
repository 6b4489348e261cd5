package fplimit

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the time after which a caller's past usage of the upstream counts half.
	usageHalfLife = time.Second
	// overShareRatio is the ratio of a caller's usage to the mean usage of all active callers above which its requests
	// wait behind those of others. Callers of equal load stay below it, so that their requests are ordered by deadline.
	overShareRatio = 1.25
	// maxCallers bounds the callers with an account of their own.
	maxCallers = 1024
	// overflowCaller is the name of the account that all callers beyond maxCallers share.
	overflowCaller = "\x00other"
	// negligibleSeconds is the usage in busy seconds below which the account of an idle caller may be removed.
	negligibleSeconds = 0.0001
)

// account is the usage of the upstream by one caller.
type account struct {
	name        string
	busySeconds float64 // total duration of attempts, decayed until updated
	updated     time.Time
	running     int // number of requests
	waiting     int // number of requests
}

// busySecondsAt returns the usage at an instant, with its decay.
func (acc *account) busySecondsAt(now time.Time) float64 {
	age := now.Sub(acc.updated)
	if age <= 0 {
		return acc.busySeconds
	}
	return acc.busySeconds * math.Exp2(-float64(age)/float64(usageHalfLife))
}

// isOverShare reports whether the caller's usage is above its fair share, given the mean usage of all active callers in
// busy seconds.
func (acc *account) isOverShare(now time.Time, meanBusy float64) bool {
	return acc.busySecondsAt(now) > overShareRatio*meanBusy
}

// charge adds the duration of an attempt to the usage.
func (acc *account) charge(now time.Time, busy time.Duration) {
	acc.busySeconds = acc.busySecondsAt(now) + busy.Seconds()
	acc.updated = now
}

// accountSet holds the accounts of all callers of one upstream.
type accountSet struct {
	byCaller map[string]*account
}

// get returns the caller's account and creates it if needed. If there are too many accounts, it returns the shared one.
func (set *accountSet) get(now time.Time, caller string) *account {
	if acc, ok := set.byCaller[caller]; ok {
		return acc
	}
	if len(set.byCaller) >= maxCallers {
		set.removeIdle(now)
	}
	if len(set.byCaller) >= maxCallers {
		caller = overflowCaller
		if acc, ok := set.byCaller[caller]; ok {
			return acc
		}
	}
	acc := &account{
		name:    caller,
		updated: now,
	}
	set.byCaller[caller] = acc
	return acc
}

// removeIdle removes the accounts of callers without running or waiting requests whose usage has become negligible.
func (set *accountSet) removeIdle(now time.Time) {
	for name, acc := range set.byCaller {
		if acc.running == 0 && acc.waiting == 0 && acc.busySecondsAt(now) < negligibleSeconds {
			delete(set.byCaller, name)
		}
	}
}

// active returns the number of callers with requests that run or wait, and their mean usage in busy seconds.
func (set *accountSet) active(now time.Time) (int, float64) {
	count := 0
	sum := 0.0
	for _, acc := range set.byCaller {
		if acc.running > 0 || acc.waiting > 0 {
			count++
			sum += acc.busySecondsAt(now)
		}
	}
	if count == 0 {
		return 0, 0
	}
	return count, sum / float64(count)
}

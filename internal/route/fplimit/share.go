package fplimit

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the time in which a caller's past use of the upstream loses half its weight.
	usageHalfLife = time.Second
	// overShare is the ratio of a caller's use to the mean use of all active callers above which its requests wait
	// behind those of others. Callers of equal load stay below it, so that deadlines order their requests.
	overShare = 1.25
	// maxCallers bounds the callers that are told apart; the others share one entry.
	maxCallers = 1024
	// otherCallers is the entry of callers beyond maxCallers.
	otherCallers = "\x00other"
	// forgetBelow is the use in seconds below which an idle caller is forgotten.
	forgetBelow = 0.0001
)

// account is one caller's use of the upstream.
type account struct {
	name    string
	used    float64 // busy seconds, decayed
	at      time.Time
	running int
	waiting int
}

// usedAt returns the decayed use at a time.
func (acc *account) usedAt(now time.Time) float64 {
	age := now.Sub(acc.at)
	if age <= 0 {
		return acc.used
	}
	return acc.used * math.Exp2(-float64(age)/float64(usageHalfLife))
}

// over reports whether the caller is above its share, given the mean use of all active callers.
func (acc *account) over(now time.Time, meanUse float64) bool {
	return acc.usedAt(now) > overShare*meanUse
}

// charge adds busy time.
func (acc *account) charge(now time.Time, busy time.Duration) {
	acc.used = acc.usedAt(now) + busy.Seconds()
	acc.at = now
}

// shares holds the accounts of all callers of one upstream.
type shares struct {
	accounts map[string]*account
}

// account returns the caller's account, which is created if needed.
func (sha *shares) account(now time.Time, caller string) *account {
	if acc, ok := sha.accounts[caller]; ok {
		return acc
	}
	if len(sha.accounts) >= maxCallers {
		sha.forget(now)
	}
	if len(sha.accounts) >= maxCallers {
		caller = otherCallers
		if acc, ok := sha.accounts[caller]; ok {
			return acc
		}
	}
	acc := &account{
		name: caller,
		at:   now,
	}
	sha.accounts[caller] = acc
	return acc
}

// forget removes idle accounts with next to no use.
func (sha *shares) forget(now time.Time) {
	for name, acc := range sha.accounts {
		if acc.running == 0 && acc.waiting == 0 && acc.usedAt(now) < forgetBelow {
			delete(sha.accounts, name)
		}
	}
}

// active returns the number of callers with requests that run or wait, and their mean use.
func (sha *shares) active(now time.Time) (int, float64) {
	count := 0
	sum := 0.0
	for _, acc := range sha.accounts {
		if acc.running > 0 || acc.waiting > 0 {
			count++
			sum += acc.usedAt(now)
		}
	}
	if count == 0 {
		return 0, 0
	}
	return count, sum / float64(count)
}

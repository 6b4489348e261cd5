package fpfence

import (
	"context"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fpclock"
)

// maxTokens is the number of latest tokens whose time of issue is stored. Tokens are issued a few times a second and a lease
// lasts about a second, so a lease that counts from an older token would have ended already.
const maxTokens = 64

// tokens records when each of the latest tokens was issued. Tokens are numbered from 1.
type tokens struct {
	latest uint64
	issued [maxTokens]fpclock.Moment
}

// issue returns a new token.
func (tok *tokens) issue(now fpclock.Moment) uint64 {
	tok.latest++
	tok.issued[tok.latest%maxTokens] = now
	return tok.latest
}

// issuedAt returns when a token was issued. It returns false for a token that was never issued or is too old.
func (tok *tokens) issuedAt(token uint64) (fpclock.Moment, bool) {
	if token == 0 || token > tok.latest || tok.latest-token >= maxTokens {
		return fpclock.Moment{}, false
	}
	return tok.issued[token%maxTokens], true
}

// lease is the time for which a grant is valid. It starts when the upstream issued the token that the grant echoes. The leader
// counts from its later receipt of that token, so the lease ends on the upstream before it ends on the leader.
type lease struct {
	issued   fpclock.Moment
	duration time.Duration
}

// remaining returns the time until the lease ends. It is 0 or negative after the end.
func (lea lease) remaining(now fpclock.Moment) time.Duration {
	if lea.duration <= 0 {
		return 0
	}
	return lea.duration - lea.issued.Elapsed(now)
}

// extend replaces the lease unless it lasts longer than the next one.
func (lea *lease) extend(next lease, now fpclock.Moment) {
	if next.remaining(now) > lea.remaining(now) {
		*lea = next
	}
}

// hasLease reports whether a grant has a lease that lasts longer than cancelMargin. After a pause of the process no grant has
// one. The caller holds the mutex.
func (fen *Fence) hasLease(gra *grant, now fpclock.Moment) bool {
	return !fen.paused(now) && gra.lease.remaining(now) > cancelMargin
}

// paused reports whether the last check of the leases is older than pauseLimit, which means that the process was suspended. The
// caller holds the mutex.
func (fen *Fence) paused(now fpclock.Moment) bool {
	return !fen.lastCheck.IsZero() && fen.lastCheck.Elapsed(now) > pauseLimit
}

// checkLoop checks the leases at checkInterval until ctx ends.
func (fen *Fence) checkLoop(ctx context.Context) {
	tic := time.NewTicker(checkInterval)
	defer tic.Stop()
	for {
		fen.checkLeases()
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// checkLeases clears the grants whose lease has ended and cancels their requests. After a pause of the process it does so for
// all grants.
func (fen *Fence) checkLeases() {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	now := fen.cfg.now()
	paused := fen.paused(now)
	fen.lastCheck = now
	for name, gra := range fen.groups {
		if paused {
			gra.lease = lease{}
		}
		if !fen.hasLease(gra, now) {
			gra.clear()
			fen.tracker.stopAll(func(act *activeRequest) bool { return act.group == name })
		}
	}
}

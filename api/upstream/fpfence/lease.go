package fpfence

import (
	"context"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fpclock"
)

// maxTokens bounds the issued tokens that are remembered. Tokens are issued a few times a second and a lease lasts about
// a second, so an older token could not extend a lease anyway.
const maxTokens = 64

// tokens remembers when each of the latest tokens was issued. Tokens count up from 1.
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

// at returns when a token was issued.
func (tok *tokens) at(token uint64) (fpclock.Moment, bool) {
	if token == 0 || token > tok.latest || tok.latest-token >= maxTokens {
		return fpclock.Moment{}, false
	}
	return tok.issued[token%maxTokens], true
}

// lease counts from the moment the echoed token was issued. The leader counts from the later moment at which it received
// the token, so this side's lease always ends first.
type lease struct {
	issued fpclock.Moment
	span   time.Duration
}

func (lea lease) remaining(now fpclock.Moment) time.Duration {
	if lea.span <= 0 {
		return 0
	}
	return lea.span - lea.issued.Elapsed(now)
}

// extend takes a new lease unless the one in force lasts longer.
func (lea *lease) extend(next lease, now fpclock.Moment) {
	if next.remaining(now) > lea.remaining(now) {
		*lea = next
	}
}

// leased reports whether the lease of a grant is in force. A process that was paused has no lease. The caller holds the
// mutex.
func (fen *Fence) leased(gra *grant, now fpclock.Moment) bool {
	return !fen.paused(now) && gra.lease.remaining(now) > margin
}

// paused reports whether the leases have not been checked for so long that the process must have stood still. The caller
// holds the mutex.
func (fen *Fence) paused(now fpclock.Moment) bool {
	return !fen.ticked.IsZero() && fen.ticked.Elapsed(now) > pauseLimit
}

// watchLoop checks the leases until ctx ends.
func (fen *Fence) watchLoop(ctx context.Context) {
	tic := time.NewTicker(tick)
	defer tic.Stop()
	for {
		fen.watch()
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// watch cancels the requests of leases that have ended, and of all leases after a pause.
func (fen *Fence) watch() {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	now := fen.cfg.now()
	paused := fen.paused(now)
	fen.ticked = now
	for name, gra := range fen.groups {
		if paused {
			gra.lease = lease{}
		}
		if !fen.leased(gra, now) {
			gra.drop()
			fen.work.cancelAll(func(run *run) bool { return run.group == name })
		}
	}
}

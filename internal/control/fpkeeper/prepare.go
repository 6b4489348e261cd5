package fpkeeper

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// maxPreparation is how long a range may have a new fence before its move is given up because no grant under it was confirmed. It is
// longer than such a grant takes at most.
const maxPreparation = 2 * time.Second

// preparedMove is a move whose range, which is still served, gets a new fence at its holder. When the holder has confirmed it for
// certain, it refuses all earlier grants, and the range is released.
type preparedMove struct {
	ran    *fpstate.Range // with its former fence
	target string         // id of an upstream
}

// prepareMove records a move and returns its range with a new fence at its holder, to be committed.
func (kee *Keeper) prepareMove(service string, ran *fpstate.Range, target string) *fpstate.Range {
	kee.preparedMoves[service] = append(kee.preparedMoves[service], preparedMove{
		ran:    ran,
		target: target,
	})
	next := proto.CloneOf(ran)
	next.Fence = 0
	return next
}

// preparedMoveOf returns the move for which a served range has got a new fence, or nil.
func (kee *Keeper) preparedMoveOf(service string, ran *fpstate.Range) *preparedMove {
	for pos := range kee.preparedMoves[service] {
		if mve := &kee.preparedMoves[service][pos]; mve.prepares(ran) {
			return mve
		}
	}
	return nil
}

// prepares reports whether a range is the one of the move, with its new fence.
func (mve *preparedMove) prepares(ran *fpstate.Range) bool {
	return ran.GetPhase() == fpstate.Phase_PHASE_SERVING && ran.GetFence() > mve.ran.GetFence() && ran.GetFirst() == mve.ran.GetFirst() &&
		ran.GetLast() == mve.ran.GetLast() && incarnationOf(ran) == incarnationOf(mve.ran)
}

// dropPreparedMoves gives up the moves whose ranges were not committed or have changed since, and those that a grant without an answer
// holds up. Without a change in the log, the view shows the ranges of all others.
func (kee *Keeper) dropPreparedMoves(now time.Time, vie View) {
	kee.preparedMoves[vie.Service] = slices.DeleteFunc(kee.preparedMoves[vie.Service], func(mve preparedMove) bool {
		pos := slices.IndexFunc(vie.Ranges, mve.prepares)
		if pos < 0 {
			return true
		}
		lea := kee.lease(now, vie.Ranges[pos])
		return now.Before(lea.uncertainUntil) || now.Sub(lea.firstSeen) > maxPreparation
	})
}

// moveIsReady reports whether a range has a prepared move, and its holder has confirmed the new fence.
func (kee *Keeper) moveIsReady(now time.Time, service string, ran *fpstate.Range) bool {
	lea := kee.lease(now, ran)
	return kee.preparedMoveOf(service, ran) != nil && !now.Before(lea.uncertaintyEnd()) && lea.grantsInFlight == 0
}

// startPreparedMove returns the range of a prepared move in the releasing phase, to be committed.
func (kee *Keeper) startPreparedMove(service string, ran *fpstate.Range) *fpstate.Range {
	next := kee.release(service, ran)
	kee.targets[rangeIDOf(service, next)] = kee.preparedMoveOf(service, ran).target
	return next
}

// releaseOfLeaving returns a range of a leaving holder in the releasing phase. It gets a new fence if a grant may still take effect whose
// answer may have been, or may be, that to an earlier order. A holder that has not answered may have ended, and a grant would only delay
// the end of its hold.
func (kee *Keeper) releaseOfLeaving(now time.Time, service string, ran *fpstate.Range) *fpstate.Range {
	next := kee.release(service, ran)
	lea := kee.lease(now, ran)
	if (now.Before(lea.unprovenUntil) || lea.grantsInFlight > 0) && !now.Before(lea.unansweredEnd()) {
		next.Fence = 0
	}
	return next
}

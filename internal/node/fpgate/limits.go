package fpgate

import (
	"math"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// defaultMaxHeaderBytes is the largest header of a request that is accepted, until a configuration sets another size.
	defaultMaxHeaderBytes = 64 << 10
	// headerTolerance is by how many bytes a header may exceed its limit, as in net/http, because reads are larger than needed.
	headerTolerance = 4 << 10
)

// limits bound what a caller may send and how long it may take.
type limits struct {
	maxHeaderBytes int
	headerTimeout  time.Duration
	idleTimeout    time.Duration
}

// newLimits returns the limits of a configuration; 0 means the default.
func newLimits(lim *fpstate.Limits) limits {
	all := limits{
		maxHeaderBytes: int(min(lim.GetMaxHeaderBytes(), math.MaxInt32)),
		headerTimeout:  lim.GetHeaderTimeout().AsDuration(),
		idleTimeout:    lim.GetIdleTimeout().AsDuration(),
	}
	if all.maxHeaderBytes <= 0 {
		all.maxHeaderBytes = defaultMaxHeaderBytes
	}
	if all.headerTimeout <= 0 {
		all.headerTimeout = defaultHeaderTimeout
	}
	if all.idleTimeout <= 0 {
		all.idleTimeout = defaultIdleTimeout
	}
	return all
}

// readPhase is what the server reads from the connection of a caller.
type readPhase uint8

const (
	// phaseRequest is the phase in which a request is in progress, of which the server may read the body.
	phaseRequest readPhase = iota
	// phaseIdle is the phase in which the server waits for the first bytes of a request, after another one.
	phaseIdle
	// phaseHeader is the phase in which it reads a header, also before the first byte on a new connection.
	phaseHeader
)

// headerProgress is how far the server is with the header of the next request.
type headerProgress struct {
	phase readPhase
	// since is when the phase began.
	since time.Time
	// size is the number of bytes that were read in the phases before the request.
	size int
}

// phaseOf returns the phase that the server begins by setting a read deadline.
func phaseOf(deadline, now time.Time) readPhase {
	const unreachable = serverIdleTimeout / 2
	switch left := deadline.Sub(now); {
	case deadline.IsZero() || left < unreachable:
		return phaseRequest
	case left < serverIdleTimeout+unreachable:
		return phaseIdle
	default:
		return phaseHeader
	}
}

// begin records a read deadline that the server sets.
func (hep *headerProgress) begin(deadline, now time.Time) {
	hep.phase, hep.since = phaseOf(deadline, now), now
	if hep.phase == phaseIdle {
		hep.size = 0
	}
}

// add records that the server has read some bytes.
func (hep *headerProgress) add(count int) {
	if hep.phase != phaseRequest {
		hep.size += count
	}
}

// exceeds reports whether the header is larger than its limit. The server reads on only if the header is incomplete.
func (hep *headerProgress) exceeds(lim limits) bool {
	return hep.phase == phaseHeader && hep.size >= lim.maxHeaderBytes+headerTolerance
}

// deadline returns the read deadline by the limits, or the given one of the server while a request is in progress.
func (hep *headerProgress) deadline(lim limits, ofServer time.Time) time.Time {
	switch hep.phase {
	case phaseIdle:
		return hep.since.Add(lim.idleTimeout)
	case phaseHeader:
		return hep.since.Add(lim.headerTimeout)
	default:
		return ofServer
	}
}

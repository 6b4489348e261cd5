package fpforward

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// maxKeyedEvacuation is how long, from when this VM knows of an evacuation, requests for keys that have not moved yet are sent
	// to the data centre, but at most half of the promised time. A VM in contact knows of it within about a second.
	maxKeyedEvacuation = 2500 * time.Millisecond
	// maxContactGap is the time without contact after which this VM may have missed the start of an evacuation by so much that
	// requests for keys stop at once. Polls take up to 0.7 s.
	maxContactGap = time.Second
)

// evacuation is the state of a data centre as known to this VM.
type evacuation struct {
	active   bool
	modified uint64
	// keyedUntil is until when requests for keys are sent to the data centre while the evacuation is active.
	keyedUntil time.Time
}

// RecordContact records that this VM knows the state as of now from a control VM that is not cut off. Only the goroutine of Update
// may call it.
func (fwd *Forwarder) RecordContact() {
	fwd.contactAt = time.Now()
	fwd.outdated.Store(false)
}

// RecordOutdated records that the first state of this VM may be older than one that was in force. Until RecordContact is called,
// requests run at most once, because the route of a request may have become one for requests that are not idempotent.
func (fwd *Forwarder) RecordOutdated() { fwd.outdated.Store(true) }

// mergeEvacuations returns the evacuations after changes that are learned now. first states that no state was known before.
func (fwd *Forwarder) mergeEvacuations(old map[string]evacuation, changes []*fpstate.Evacuation, first bool) map[string]evacuation {
	if len(changes) == 0 {
		return old
	}
	now := time.Now()
	next := maps.Clone(old)
	if next == nil {
		next = map[string]evacuation{}
	}
	for _, cha := range changes {
		known := next[cha.GetDataCentre()]
		if cha.GetModified() <= known.modified {
			continue
		}
		one := evacuation{
			active:   cha.GetActive(),
			modified: cha.GetModified(),
		}
		switch {
		case !one.active:
		case known.active:
			one.keyedUntil = known.keyedUntil
		case first || now.Sub(fwd.contactAt) > maxContactGap:
			one.keyedUntil = now
		default:
			one.keyedUntil = now.Add(min(maxKeyedEvacuation, fwd.cfg.Promises.Evacuate/2))
		}
		next[cha.GetDataCentre()] = one
		if one.active != known.active {
			fwd.cfg.Log.Info("evacuation of a data centre changed", zap.String("dataCentre", cha.GetDataCentre()), zap.Bool("active", one.active),
				zap.Uint64("index", one.modified), zap.Duration("keyedFor", max(0, one.keyedUntil.Sub(now))))
		}
	}
	return next
}

// evacuated reports whether no request is sent to the upstreams of a data centre.
func (vie *view) evacuated(now time.Time, dataCentre string, keyed bool) bool {
	if !vie.evacuating {
		return false
	}
	one := vie.evacuations[dataCentre]
	return one.active && !(keyed && now.Before(one.keyedUntil))
}

// setEvacuations sets the evacuations of a view that is not in use yet.
func (vie *view) setEvacuations(evacuations map[string]evacuation) {
	vie.evacuations, vie.evacuating = evacuations, false
	for _, one := range evacuations {
		vie.evacuating = vie.evacuating || one.active
	}
}

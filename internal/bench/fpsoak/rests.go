package fpsoak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpworker"
)

const (
	// restLength is the time for which a worker wants no requests from a VM that it turns away. From restDelay after that, it may get
	// restExtra requests of that VM until the end.
	restLength = 2 * time.Second
	restDelay  = 500 * time.Millisecond
	restExtra  = 2
)

// restSpan is the time during which a worker turned all requests away and asked for rest.
type restSpan struct {
	worker   *fpworker.Worker
	from, to time.Time
}

// askForRest makes one worker after the other ask for rest for some time, until ctx ends.
func (fle *fleet) askForRest(ctx context.Context) {
	ran := rand.New(rand.NewPCG(fle.cfg.Seed, 1<<34))
	for ctx.Err() == nil {
		wait(ctx, 2*time.Second)
		fle.mutex.Lock()
		wor := fle.workers[ran.IntN(len(fle.workers))].worker
		fle.mutex.Unlock()
		spa := restSpan{
			worker: wor,
			from:   time.Now(),
		}
		wor.Rest("2")
		wait(ctx, restLength)
		wor.Rest()
		spa.to = time.Now()
		fle.record.mutex.Lock()
		fle.record.restSpans = append(fle.record.restSpans, spa)
		fle.record.mutex.Unlock()
	}
}

// checkRests adds a violation for each worker that asked an entry VM for rest and got more requests of its callers than restExtra
// in it. Spans in which an entry VM had no paths are passed over, because another one sent its requests. excused reports whether an
// entry VM was started between two times.
func (rec *record) checkRests(excused func(entry string, from, to time.Time) bool) {
	rec.mutex.Lock()
	spans, cuts := rec.restSpans, rec.cuts
	entries := map[string]string{}
	for _, att := range rec.attempts {
		entries[att.id] = att.entry
	}
	rec.mutex.Unlock()
	for _, spa := range spans {
		if slices.ContainsFunc(cuts, func(cut pathCut) bool { return cut.from.Before(spa.to) && cut.to.Add(quietTime).After(spa.from) }) {
			continue
		}
		first := map[string]time.Time{}
		count := map[string]int{}
		for _, arr := range spa.worker.ArrivalList() {
			entry := entries[arr.Attempt]
			if entry == "" || arr.At.Before(spa.from) || arr.At.After(spa.to) {
				continue
			}
			if first[entry].IsZero() {
				first[entry] = arr.At
			}
			if arr.At.Sub(first[entry]) > restDelay {
				count[entry]++
			}
		}
		for entry, num := range count {
			if num > restExtra && !excused(entry, spa.from, spa.to) {
				rec.addViolation("worker %s asked %s for rest and got %d more requests", spa.worker.Upstream().GetId(), entry, num)
			}
		}
	}
}

// checkLeaving adds a violation for each request that reached a worker through an entry VM later than maxDrainTime, and the time of a
// request, after that VM had passed on an answer by which the worker said that it leaves.
func (rec *record) checkLeaving(wor *fpworker.Worker, since time.Time, excused func(entry string, from, to time.Time) bool) {
	rec.mutex.Lock()
	attempts := map[string]attempt{}
	for _, att := range rec.attempts {
		attempts[att.id] = att
	}
	cuts := rec.cuts
	rec.mutex.Unlock()
	first := map[string]time.Time{}
	for _, arr := range wor.ArrivalList() {
		att, ok := attempts[arr.Attempt]
		if !ok || arr.At.Before(since) || slices.ContainsFunc(cuts, func(cut pathCut) bool { return cut.to.Add(quietTime).After(since) }) {
			continue
		}
		if passed, ok := first[att.entry]; att.status != 0 && (!ok || att.ended.Before(passed)) {
			first[att.entry] = att.ended
		}
	}
	for _, arr := range wor.ArrivalList() {
		att := attempts[arr.Attempt]
		if passed, ok := first[att.entry]; ok && arr.At.Sub(passed) > maxDrainTime+callerTimeout && !excused(att.entry, passed, arr.At) {
			rec.addViolation("worker %s got attempt %s of %s %v after it had said that it leaves", wor.Upstream().GetId(), arr.Attempt, att.entry, arr.At.Sub(passed))
		}
	}
}

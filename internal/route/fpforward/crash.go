package fpforward

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// crashWindow is the longest time between the break of a connection and the proof that the upstream's process has
	// ended, for the request on that connection to be suspected. The proof is that the address refuses connections, or
	// that a later incarnation is known.
	crashWindow = 2 * time.Second
	// maxInterrupted bounds the requests of one upstream that wait for that proof. An upstream runs and queues fewer requests
	// than that.
	maxInterrupted = 64
	// maxCrashReports bounds the crashes and the cleared suspects of one report, each.
	maxCrashReports = 256
	// maxRepeatedCrashes bounds the crashes of suspects that are reported again, so that there is room for new ones.
	maxRepeatedCrashes = maxCrashReports / 2
	// suspectRetention is how long this VM refuses a request by itself after two crashes. Longer refusals are decided by
	// the control VMs.
	suspectRetention = 10 * time.Second
)

// interruptedRequests are the requests whose connections to one incarnation of an upstream have broken lately.
type interruptedRequests struct {
	mutex    sync.Mutex
	requests []interruptedRequest
}

type interruptedRequest struct {
	digest string
	at     time.Time
}

// add records a request and drops the oldest one if there are too many.
func (itr *interruptedRequests) add(now time.Time, digest string) {
	itr.mutex.Lock()
	defer itr.mutex.Unlock()
	if len(itr.requests) >= maxInterrupted {
		itr.requests = itr.requests[1:]
	}
	itr.requests = append(itr.requests, interruptedRequest{
		digest: digest,
		at:     now,
	})
}

// take removes all requests and returns those whose connections broke within crashWindow before now.
func (itr *interruptedRequests) take(now time.Time) []interruptedRequest {
	itr.mutex.Lock()
	defer itr.mutex.Unlock()
	var recent []interruptedRequest
	for _, irq := range itr.requests {
		if now.Sub(irq.at) <= crashWindow {
			recent = append(recent, irq)
		}
	}
	itr.requests = nil
	return recent
}

// any reports whether there are requests that wait for the proof.
func (itr *interruptedRequests) any() bool {
	itr.mutex.Lock()
	defer itr.mutex.Unlock()
	return len(itr.requests) > 0
}

// crashReports are the crashes and cleared suspects to be reported to the leader of the control VMs.
type crashReports struct {
	mutex   sync.Mutex
	crashes []*fpstate.Crash
	cleared []string
}

// TakeCrashes returns the crashes since the last call, and the digests of the suspected requests that an upstream has
// answered since then.
func (fwd *Forwarder) TakeCrashes() ([]*fpstate.Crash, []string) {
	rep := &fwd.crashes
	rep.mutex.Lock()
	defer rep.mutex.Unlock()
	crashes, cleared := rep.crashes, rep.cleared
	rep.crashes, rep.cleared = nil, nil
	return crashes, cleared
}

// ReturnCrashes adds crashes and cleared suspects again, of which the leader has not taken the report. What came since then is newer.
func (fwd *Forwarder) ReturnCrashes(crashes []*fpstate.Crash, cleared []string) {
	rep := &fwd.crashes
	rep.mutex.Lock()
	defer rep.mutex.Unlock()
	newer := map[string]bool{}
	for _, cra := range rep.crashes {
		newer[cra.GetDigest()] = true
	}
	for _, digest := range rep.cleared {
		newer[digest] = true
	}
	for _, digest := range cleared {
		if !newer[digest] && len(rep.cleared) < maxCrashReports {
			rep.cleared = append(rep.cleared, digest)
		}
	}
	answered := map[string]bool{}
	for _, digest := range rep.cleared {
		answered[digest] = true
	}
	for _, cra := range crashes {
		if !answered[cra.GetDigest()] && len(rep.crashes) < maxCrashReports {
			rep.crashes = append(rep.crashes, cra)
		}
	}
}

// RepeatCrashes reports the crashes of the newest suspects again, to a new leader, which knows only of requests that were refused.
func (fwd *Forwarder) RepeatCrashes() {
	var all []*fpstate.Crash
	fwd.quarantine.SuspectCrashes(maxRepeatedCrashes, func(digest string, cra fpquarantine.Crash) {
		all = append(all, &fpstate.Crash{
			Digest:   digest,
			Upstream: cra.Upstream,
			Born:     cra.Incarnation,
		})
	})
	fwd.ReturnCrashes(all, nil)
}

// recordCrash records that the process of an upstream has ended. The requests that were in flight there become suspects.
func (fwd *Forwarder) recordCrash(mem *member, now time.Time) {
	for _, irq := range mem.interrupted.take(now) {
		digest := irq.digest
		cra := fpquarantine.Crash{
			Upstream:    mem.upstream.GetId(),
			Incarnation: mem.upstream.GetBorn(),
		}
		count := fwd.quarantine.RecordCrash(irq.at, digest, cra)
		fwd.cfg.Log.Info("a request was in flight when an upstream crashed", zap.String("digest", digest),
			zap.String("upstream", cra.Upstream), zap.Uint64("born", cra.Incarnation), zap.Int("crashes", count))
		rep := &fwd.crashes
		rep.mutex.Lock()
		rep.cleared = slices.DeleteFunc(rep.cleared, func(other string) bool { return other == digest })
		if len(rep.crashes) < maxCrashReports {
			rep.crashes = append(rep.crashes, &fpstate.Crash{
				Digest:   digest,
				Upstream: cra.Upstream,
				Born:     cra.Incarnation,
			})
		}
		rep.mutex.Unlock()
	}
}

// digest returns the digest of the request's content. Of a body that is not buffered as a whole, it has the buffered start and the
// length, as far as that is known; the start has the same size on all VMs.
func (exc *exchange) digest() string {
	if exc.contentDigest == "" {
		req := exc.request
		dig := fpquarantine.NewDigest(req.Method + " " + req.Host + req.URL.RequestURI())
		_, _ = dig.Write(exc.body) // it never fails
		if exc.rest != nil {
			_, _ = fmt.Fprintf(dig, "\x00%d", req.ContentLength)
		}
		exc.contentDigest = dig.String()
	}
	return exc.contentDigest
}

// checkQuarantine returns an error of kind Quarantined if upstreams have crashed while they ran requests with the same
// content.
func (exc *exchange) checkQuarantine(now time.Time) error {
	if exc.fwd.quarantine.IsEmpty() {
		return nil
	}
	return exc.fwd.quarantine.Check(now, exc.digest())
}

// onProbation reports whether the request was refused because of crashes that still count. A second attempt could be a further crash.
func (exc *exchange) onProbation() bool {
	return !exc.fwd.quarantine.IsEmpty() && exc.fwd.quarantine.OnProbation(exc.digest())
}

// recordInterruption records that the upstream has closed the connection of the request without an answer, and starts to
// check whether its process has ended. If keep is set, the connection that the check opens is kept for later requests.
func (exc *exchange) recordInterruption(mem *member, now time.Time, keep bool) {
	mem.interrupted.add(now, exc.digest())
	if mem.confirming.CompareAndSwap(false, true) {
		go exc.fwd.confirmCrash(mem, keep)
	}
}

// confirmCrash checks whether the process of an upstream has ended, by opening a connection to it. It returns within
// connectTimeout and changes only the member, the quarantine and the crash reports.
func (fwd *Forwarder) confirmCrash(mem *member, keep bool) {
	defer mem.confirming.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	began := time.Now()
	con, err := mem.connections.Open(ctx)
	if err == nil {
		fwd.paths.recordConnect(mem.distance, time.Since(began))
		fwd.proveDirect(mem, time.Now())
	}
	if err == nil && keep {
		mem.connections.PutUnused(con)
		return
	}
	if err == nil {
		con.Close()
		return
	}
	if !processEnded(err) {
		return
	}
	fwd.losePath(mem, began, err)
	fwd.confirmEnded(mem)
}

// clearSuspect removes the request from the suspects, because an upstream has answered it after it was sent there at a time.
func (exc *exchange) clearSuspect(began time.Time) {
	if exc.fwd.quarantine.IsEmpty() || !exc.fwd.quarantine.Clear(exc.digest(), began) {
		return
	}
	rep := &exc.fwd.crashes
	rep.mutex.Lock()
	defer rep.mutex.Unlock()
	rep.crashes = slices.DeleteFunc(rep.crashes, func(cra *fpstate.Crash) bool { return cra.GetDigest() == exc.digest() })
	if len(rep.cleared) < maxCrashReports {
		rep.cleared = append(rep.cleared, exc.digest())
	}
}

// processEnded reports whether a connection failed because no process listens at the address.
func processEnded(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

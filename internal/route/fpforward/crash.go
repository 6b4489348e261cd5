package fpforward

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// crashWindow is the time between a broken connection and the proof that the upstream's process has ended: its address
	// refuses connections, or a later life is known.
	crashWindow = 2 * time.Second
	// mostBroken bounds the requests of one upstream that wait for that proof. Its places and its queue hold fewer.
	maxInterrupted = 64
	// mostCrashReports bounds the crashes and cleared suspects of one report.
	maxCrashReports = 256
	// suspectTime is how long this VM alone refuses a request after two crashes. The control VMs decide for longer.
	suspectRetention = 10 * time.Second
)

// brokenRequests are the requests whose connections to one life of an upstream have broken lately.
type interruptedRequests struct {
	mutex    sync.Mutex
	requests []interruptedRequest
}

type interruptedRequest struct {
	digest string
	at     time.Time
}

// add notes a request.
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

// take returns the requests that may have crashed an upstream whose process has ended by now.
func (itr *interruptedRequests) take(now time.Time) []string {
	itr.mutex.Lock()
	defer itr.mutex.Unlock()
	var digests []string
	for _, irq := range itr.requests {
		if now.Sub(irq.at) <= crashWindow {
			digests = append(digests, irq.digest)
		}
	}
	itr.requests = nil
	return digests
}

// crashReports are what the leader of the control VMs is to learn of crashes.
type crashReports struct {
	mutex   sync.Mutex
	crashes []*fpstate.Crash
	cleared []string
}

// TakeCrashes returns the crashes, and the suspects that were answered, since the last call.
func (fwd *Forwarder) TakeCrashes() ([]*fpstate.Crash, []string) {
	rep := &fwd.crashes
	rep.mutex.Lock()
	defer rep.mutex.Unlock()
	crashes, cleared := rep.crashes, rep.cleared
	rep.crashes, rep.cleared = nil, nil
	return crashes, cleared
}

// crashed notes that the process of an upstream has ended.
func (fwd *Forwarder) recordCrash(mem *member, now time.Time) {
	for _, digest := range mem.interrupted.take(now) {
		cra := fpquarantine.Crash{
			Upstream:    mem.upstream.GetId(),
			Incarnation: mem.upstream.GetBorn(),
		}
		count := fwd.quarantine.Suspect(now, digest, cra)
		fwd.cfg.Log.Info("a request was in flight when an upstream crashed", zap.String("digest", digest),
			zap.String("upstream", cra.Upstream), zap.Uint64("born", cra.Incarnation), zap.Int("crashes", count))
		rep := &fwd.crashes
		rep.mutex.Lock()
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

// digest identifies the content of the request, whose body is kept as a whole.
func (exc *exchange) digest() string {
	if exc.contentDigest == "" {
		req := exc.request
		dig := fpquarantine.NewDigest(req.Method + " " + req.Host + req.URL.RequestURI())
		_, _ = dig.Write(exc.body) // it never fails
		exc.contentDigest = dig.String()
	}
	return exc.contentDigest
}

// checkCrashes returns an error of kind Quarantined if upstreams have crashed while they ran a request of the same content.
func (exc *exchange) checkQuarantine(now time.Time) error {
	if quarantined, suspects := exc.fwd.quarantine.Len(); quarantined+suspects == 0 || exc.rest != nil {
		return nil
	}
	return exc.fwd.quarantine.Check(now, exc.digest())
}

// brokeOff notes that the upstream has ended the connection of the request without an answer, and finds out whether its process
// has ended. The connection that shows it is kept for later requests if the upstream is known to accept more of them.
func (exc *exchange) recordInterruption(mem *member, now time.Time, keep bool) {
	if exc.rest == nil {
		mem.interrupted.add(now, exc.digest())
	}
	if mem.confirming.CompareAndSwap(false, true) {
		go exc.fwd.confirmCrash(mem, keep)
	}
}

// confirm opens a connection to an upstream that has broken one. It ends within connectTimeout and touches nothing but its member
// and the quarantine.
func (fwd *Forwarder) confirmCrash(mem *member, keep bool) {
	defer mem.confirming.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	lin, err := mem.connections.Open(ctx)
	if err == nil && keep {
		mem.connections.Put(lin, 0)
		return
	}
	if err == nil {
		lin.Close()
		return
	}
	if !processEnded(err) {
		return
	}
	fwd.recordCrash(mem, time.Now())
	if mem.holdDownUnreachable(time.Now()) {
		go fwd.probe(mem)
	}
}

// clearSuspicion notes that an upstream has answered the request.
func (exc *exchange) clearSuspect() {
	if _, suspects := exc.fwd.quarantine.Len(); suspects == 0 || exc.rest != nil || !exc.fwd.quarantine.Clear(exc.digest()) {
		return
	}
	rep := &exc.fwd.crashes
	rep.mutex.Lock()
	defer rep.mutex.Unlock()
	if len(rep.cleared) < maxCrashReports {
		rep.cleared = append(rep.cleared, exc.digest())
	}
}

// processEnded reports whether a connection failed because no process listens at the address.
func processEnded(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

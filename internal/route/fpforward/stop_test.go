package fpforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

const (
	// stopPlayLength is the time between the stop signal and the kill, and stopPlayEnd that until Stop ends what is in flight.
	stopPlayLength = 6 * time.Second
	stopPlayEnd    = stopPlayLength * 85 / 100
	// stopPlayTimeout is the timeout of the routes.
	stopPlayTimeout = 5 * time.Second
)

// stopPlay is a forwarder with two upstreams and no network, in the time of a synctest bubble.
type stopPlay struct {
	forward *Forwarder
	state   *fpstate.State
	index   uint64

	mutex sync.Mutex
	work  time.Duration  // of later requests at an upstream
	lose  int            // number of requests whose connection the upstream closes after that time
	runs  map[string]int // by attempt
}

// newStopPlay returns a forwarder that has had an answer on the route of the path, after 20 ms.
func newStopPlay(t *testing.T, path string) *stopPlay {
	pla := &stopPlay{
		runs: map[string]int{},
		work: 20 * time.Millisecond,
	}
	pla.forward = New(Config{
		Region: func(string) string { return "" },
		Promises: fpgateway.Promises{
			RetryShare:  0.2,
			RetryExtra:  50,
			RetryWindow: 10 * time.Second,
			Stop:        stopPlayLength,
		},
		Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go pla.serve(far)
			return near, nil
		},
		Log: zap.NewNop(),
	})
	sta := &fpstate.State{
		Configuration: &fpstate.Configuration{
			Revision: 1,
			Services: []*fpstate.Service{
				{
					Name: "work",
				},
				{
					Name:  "keys",
					Keyed: true,
				},
			},
		},
	}
	for _, id := range []string{"one", "two", "keys"} {
		service := "work"
		if id == "keys" {
			service = id
		}
		sta.Upstreams = append(sta.Upstreams, &fpstate.Upstream{
			Id:          id,
			Born:        1,
			Service:     service,
			Address:     id + ":80",
			Concurrency: 32,
			Modified:    1,
		})
	}
	for name, kin := range map[string]fpstate.Kind{
		"safe":   fpstate.Kind_KIND_IDEMPOTENT,
		"once":   fpstate.Kind_KIND_ONCE,
		"upload": fpstate.Kind_KIND_UPLOAD,
		"keys":   fpstate.Kind_KIND_ONCE,
	} {
		service := "work"
		if name == "keys" {
			service = name
		}
		sta.Configuration.Routes = append(sta.Configuration.Routes, &fpstate.Route{
			Name:       name,
			Host:       "host",
			PathPrefix: "/" + name + "/",
			Kind:       kin,
			Timeout:    durationpb.New(stopPlayTimeout),
			Objective:  durationpb.New(stopPlayTimeout),
			Targets: []*fpstate.Target{{
				Service: service,
				Weight:  1,
			}},
			MaxAttempts: 2,
		})
	}
	pla.state = sta
	pla.setPhase(fpstate.Phase_PHASE_SERVING)
	if ans := pla.send(t, newStopRequest(path, "before", 0, "")); ans.status != http.StatusOK {
		t.Fatalf("a request before the stop: %+v", ans)
	}
	return pla
}

// setPhase sets the phase of the range of all keys.
func (pla *stopPlay) setPhase(pha fpstate.Phase) {
	pla.index++
	pla.state.KeySpaces = []*fpstate.KeySpace{{
		Service:  "keys",
		Modified: pla.index,
		Ranges: []*fpstate.Range{{
			Last:     1 << 20,
			Upstream: "keys",
			Born:     1,
			Fence:    1,
			Phase:    pha,
			Modified: pla.index,
		}},
	}}
	pla.forward.Update(proto.Clone(pla.state).(*fpstate.State), pla.index, 1)
}

// serve serves the requests of one connection. A run begins with the header of its request.
func (pla *stopPlay) serve(con net.Conn) {
	defer func() { _ = con.Close() }()
	reader := bufio.NewReader(con)
	for {
		_ = con.SetReadDeadline(time.Now().Add(2 * stopPlayLength))
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := platform.DecodeRequest(req.Header).Attempt
		pla.mutex.Lock()
		pla.runs[attempt]++
		work, lost := pla.work, pla.lose > 0
		if lost {
			pla.lose--
		}
		pla.mutex.Unlock()
		_, _ = io.Copy(io.Discard, req.Body)
		time.Sleep(work)
		if lost {
			return
		}
		head := platform.AnswerLines(platform.Answer{
			Attempt: attempt,
			Signed:  true,
		})
		if _, err := io.WriteString(con, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=20\r\nContent-Length: 2\r\n"+head+"\r\nok"); err != nil {
			return
		}
	}
}

// stop begins the stop of the VM, after which upstreams work on new requests for the given time.
func (pla *stopPlay) stop(work time.Duration) {
	pla.mutex.Lock()
	defer pla.mutex.Unlock()
	pla.work = work
	pla.forward.Stop(time.Now().Add(stopPlayEnd))
}

// newStopRequest returns a request with a timeout, or 0, and a body.
func newStopRequest(path, attempt string, timeout time.Duration, body string) *http.Request {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	req := httptest.NewRequest(method, "http://host"+path, strings.NewReader(body))
	platform.EncodeRequest(req.Header, platform.Request{
		Attempt: attempt,
		Timeout: timeout,
		Keyed:   true,
		Key:     1,
	})
	return req
}

// stopAnswer is what a caller got.
type stopAnswer struct {
	status, runs int
	after        string
	took         time.Duration
}

// send serves a request and returns the answer.
func (pla *stopPlay) send(t *testing.T, req *http.Request) stopAnswer {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	context.AfterFunc(t.Context(), cancel)
	rec := httptest.NewRecorder()
	began := time.Now()
	pla.forward.ServeHTTP(rec, req.WithContext(ctx))
	pla.mutex.Lock()
	defer pla.mutex.Unlock()
	return stopAnswer{
		status: rec.Code,
		runs:   pla.runs[platform.DecodeRequest(req.Header).Attempt],
		after:  rec.Header().Get("Retry-After"),
		took:   time.Since(began),
	}
}

// check checks the answer to a request that was sent some time after the stop signal and may take until timeout: a request that has
// reached the upstream is given up only at its deadline or, if it was sent in the first half of the stop, in the last sixth. Another one
// is refused at once, and may be sent to another VM at once.
func (ans stopAnswer) check(t *testing.T, sentAt, timeout time.Duration) {
	t.Helper()
	switch end := sentAt + ans.took; {
	case ans.status == http.StatusOK:
	case ans.runs == 0:
		if ans.status != http.StatusServiceUnavailable || ans.after != "0.000" || ans.took > 50*time.Millisecond {
			t.Errorf("sent %v after the signal, timeout %v: got %+v, want a refusal at once with Retry-After 0", sentAt, timeout, ans)
		}
	case ans.took < timeout && (sentAt > stopPlayLength/2 || end < stopPlayLength*5/6):
		t.Errorf("sent %v after the signal, timeout %v: given up %v after the signal with the upstream at work: %+v", sentAt, timeout, end, ans)
	}
}

// TestLateRequestsBesideSlowerUpstream guards against requests that are passed on late in a planned stop, because answers took less time
// until then, and are given up at its end with the upstream at work.
func TestLateRequestsBesideSlowerUpstream(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/upload/"} {
		for _, work := range []time.Duration{20 * time.Millisecond, 2500 * time.Millisecond, 10 * time.Second} {
			t.Run(fmt.Sprint(path, work), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					for _, timeout := range []time.Duration{500 * time.Millisecond, 3 * time.Second, stopPlayTimeout} {
						for sentAt := time.Duration(0); sentAt < stopPlayEnd; sentAt += 100 * time.Millisecond {
							pla := newStopPlay(t, path)
							pla.stop(work)
							time.Sleep(sentAt)
							ans := pla.send(t, newStopRequest(path, "late", timeout, ""))
							ans.check(t, sentAt, timeout)
							inTime := sentAt+timeout <= stopPlayEnd || sentAt < stopPlayLength/2 && path != "/upload/"
							if work < timeout/10 && inTime && ans.status != http.StatusOK {
								t.Errorf("sent %v after the signal, timeout %v: got %+v, want an answer", sentAt, timeout, ans)
							}
						}
					}
					time.Sleep(5 * stopPlayLength) // the upstreams end
				})
			})
		}
	}
}

// TestRetryLateInStop guards against a request that has reached an upstream, lost its connection there late in a planned stop, and gets no
// second attempt, though its outcome is unknown without one.
func TestRetryLateInStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pla := newStopPlay(t, "/safe/")
		pla.lose = 1
		pla.stop(500 * time.Millisecond)
		time.Sleep(stopPlayLength/2 - 250*time.Millisecond)
		if ans := pla.send(t, newStopRequest("/safe/", "late", 0, "")); ans.status != http.StatusOK || ans.runs != 2 {
			t.Errorf("got %+v, want an answer of the second run", ans)
		}
		time.Sleep(5 * stopPlayLength) // the upstream ends
	})
}

// TestWaitForOwnerInStop guards against a request that waits for the owner of its key until late in a planned stop, when it can't be
// answered any more, instead of being sent to another VM.
func TestWaitForOwnerInStop(t *testing.T) {
	for name, tes := range map[string]struct {
		sentAt, timeout, ownerAt, want time.Duration
		status                         int
	}{
		"deadline after the end": {
			sentAt:  stopPlayLength / 6,
			timeout: stopPlayTimeout,
			want:    stopPlayLength / 3,
			status:  http.StatusServiceUnavailable,
		},
		"deadline after the end, owner": {
			sentAt:  stopPlayLength / 6,
			timeout: stopPlayTimeout,
			ownerAt: stopPlayLength / 4,
			want:    stopPlayLength/12 + 20*time.Millisecond,
			status:  http.StatusOK,
		},
		"deadline before the end, owner": {
			sentAt:  stopPlayLength / 3,
			timeout: stopPlayLength / 3,
			ownerAt: stopPlayLength * 7 / 12,
			want:    stopPlayLength/4 + 20*time.Millisecond,
			status:  http.StatusOK,
		},
		"second half": {
			sentAt:  stopPlayLength * 2 / 3,
			timeout: stopPlayTimeout,
			status:  http.StatusServiceUnavailable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pla := newStopPlay(t, "/keys/")
				pla.setPhase(fpstate.Phase_PHASE_RELEASING)
				pla.stop(20 * time.Millisecond)
				if tes.ownerAt > 0 {
					time.AfterFunc(tes.ownerAt, func() { pla.setPhase(fpstate.Phase_PHASE_SERVING) })
				}
				time.Sleep(tes.sentAt)
				ans := pla.send(t, newStopRequest("/keys/", "late", tes.timeout, ""))
				if ans.status != tes.status || ans.took < tes.want || ans.took > tes.want+10*time.Millisecond {
					t.Errorf("got %+v, want status %d after %v", ans, tes.status, tes.want)
				}
				if ans.status == http.StatusServiceUnavailable && (ans.runs > 0 || ans.after != "0.000") {
					t.Errorf("got %+v, want a refusal of a request that has not run, with Retry-After 0", ans)
				}
				time.Sleep(5 * stopPlayLength) // the upstream ends
			})
		})
	}
}

// TestIncompleteBodyInStop guards against a request that is passed on early in a planned stop while its body is still arriving, because
// answers took little time, and is given up at the end with an unknown outcome.
func TestIncompleteBodyInStop(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/upload/"} {
		for _, sized := range []bool{false, true} {
			t.Run(fmt.Sprint(path, sized), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					pla := newStopPlay(t, path)
					pla.stop(20 * time.Millisecond)
					time.Sleep(stopPlayLength / 4)
					body, sender := io.Pipe()
					go func() {
						_, _ = sender.Write(make([]byte, maxBufferedUpload+1)) // the rest does not come
						time.Sleep(stopPlayLength)
						_ = sender.Close()
					}()
					req := newStopRequest(path, "late", 0, "x")
					req.Body, req.ContentLength = body, -1
					if sized {
						req.ContentLength = 2 * maxBufferedUpload
					}
					ans := pla.send(t, req)
					_ = body.Close()
					if ans.status != http.StatusServiceUnavailable || ans.after != "0.000" || ans.runs > 0 || ans.took > 10*time.Millisecond {
						t.Errorf("got %+v, want a refusal at once with Retry-After 0", ans)
					}
					time.Sleep(5 * stopPlayLength) // the upstream ends
				})
			})
		}
	}
}

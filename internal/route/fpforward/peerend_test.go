package fpforward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpcut"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprelay"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// relayEntry returns the entry VM whose relay listens at a server.
func relayEntry(vm string, server *httptest.Server, dataCentre string) *fpstate.EntryVM {
	return &fpstate.EntryVM{
		Vm:         vm,
		Address:    strings.TrimPrefix(server.URL, "http://"),
		DataCentre: dataCentre,
		Region:     "east",
	}
}

// TestPeerEndsBesideWork guards against idempotent requests that get an error of the router's own while their upstream is at work, because
// the peer that relays them ends, although another one reaches the upstream; and against a second run of requests that may run once.
func TestPeerEndsBesideWork(t *testing.T) {
	for _, path := range []string{"/safe/", "/keyed/", "/once/"} {
		for name, end := range map[string]func(par *relayPair){
			"end of its stop": func(par *relayPair) { par.helper.forward.Stop(time.Now()) },
			"killed": func(par *relayPair) {
				_ = par.relay.Listener.Close()
				par.relay.CloseClientConnections()
			},
		} {
			t.Run(fmt.Sprint(path, " ", name), func(t *testing.T) {
				t.Parallel()
				par := newRelayPair(t)
				par.workTime = 200 * time.Millisecond
				service := "work"
				if path == "/keyed/" {
					service = "keys"
				}
				wor := par.addWorker(service, nil)
				other := newHarnessWith(t, func(cfg *Config) { cfg.VM = "other" })
				other.update(&fpstate.State{
					Upstreams: []*fpstate.Upstream{wor.Upstream()},
				})
				otherRelay := httptest.NewServer(http.HandlerFunc(other.forward.ServeRelayed))
				t.Cleanup(otherRelay.Close)
				par.forward.SetRelays([]*fpstate.EntryVM{relayEntry("helper", par.relay, "east-1"), relayEntry("other", otherRelay, "east-2")}, 2)
				par.setOwners(par.workers)
				par.paths.Cut(fpcut.Refused, nil)
				status := make(chan int)
				go func() {
					if path == "/keyed/" {
						status <- par.getKeyed(par.harness, 0)
					} else {
						status <- par.get(par.harness, path)
					}
				}()
				for wor.Running() == 0 {
					time.Sleep(time.Millisecond)
				}
				if !strings.Contains(par.helper.metrics(), "relayedInFlight 1") {
					t.Errorf("the helper relays nothing:\n%s", par.helper.metrics())
				}
				end(par)
				got, runs := <-status, len(wor.Runs())
				if path == "/once/" && (got != http.StatusBadGateway && got != http.StatusGatewayTimeout || runs != 1) {
					t.Errorf("status %d after %d runs, want 502 or 504 after one", got, runs)
				}
				if path != "/once/" && got != http.StatusOK {
					t.Errorf("status %d after %d runs", got, runs)
				}
			})
		}
	}
}

// TestUnknownRelayReasonMaySayThatItRan guards against a second send of a request that may run once, after a peer of a later version has
// refused it for a reason that this one doesn't know, and against a promise that it hasn't run.
func TestUnknownRelayReasonMaySayThatItRan(t *testing.T) {
	par := newRelayPair(t)
	par.addWorker("work", nil)
	var asked atomic.Int64
	later := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		wri.Header().Set(relayRefusalHeader, "later")
		wri.WriteHeader(http.StatusBadGateway)
	}))
	t.Cleanup(later.Close)
	par.forward.SetRelays([]*fpstate.EntryVM{relayEntry("later", later, "east-1"), relayEntry("helper", par.relay, "east-2")}, 2)
	par.paths.Cut(fpcut.Refused, nil)
	if status := par.get(par.harness, "/once/"); status != http.StatusBadGateway || asked.Load() != 1 || par.totalRuns() > 0 {
		t.Errorf("status %d, %d requests to the peer and %d runs, want 502, one, and none", status, asked.Load(), par.totalRuns())
	}
}

// TestCheckInStopClosesConnection guards against a request that may run once and gets 502 without having run, because it is sent on a
// connection on which a peer in its planned stop has answered a check, when the peer closes its idle connections.
func TestCheckInStopClosesConnection(t *testing.T) {
	par := newRelayPair(t)
	wor := par.addWorker("work", nil)
	mem := par.forward.view.Load().active[incarnation{
		id:   wor.Upstream().GetId(),
		born: 1,
	}]
	pee := par.forward.peers.Choose(time.Now(), func(*fprelay.Peer) bool { return false })
	pol := par.forward.peerPools.pool(pee)
	for _, stopping := range []bool{false, true} {
		if stopping {
			par.helper.forward.Stop(time.Now().Add(time.Minute))
		}
		if reason, err := par.forward.askPeer(t.Context(), pee, mem); reason != "" || err != nil {
			t.Errorf("stopping %t: refused for %q, error %v", stopping, reason, err)
		}
		con := pol.Get(time.Now(), "", true)
		if (con == nil) != stopping {
			t.Errorf("stopping %t: connection kept: %t", stopping, con != nil)
		}
		if con != nil {
			pol.PutUnused(con)
		}
	}
}

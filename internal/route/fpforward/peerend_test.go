package fpforward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpcut"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

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
				entry := func(vm string, server *httptest.Server, dataCentre string) *fpstate.EntryVM {
					return &fpstate.EntryVM{
						Vm:         vm,
						Address:    strings.TrimPrefix(server.URL, "http://"),
						DataCentre: dataCentre,
						Region:     "east",
					}
				}
				par.forward.SetRelays([]*fpstate.EntryVM{entry("helper", par.relay, "east-1"), entry("other", otherRelay, "east-2")}, 2)
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

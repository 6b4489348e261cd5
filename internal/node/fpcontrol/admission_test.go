package fpcontrol

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpkeeper"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// TestAnnouncementOfAnotherWriter guards against a running upstream that is taken for ended, loses its keys and is shut out for the rest
// of its life: another writer announces its address under another id, or its id with another service or address.
func TestAnnouncementOfAnotherWriter(t *testing.T) {
	var id atomic.Value // of the upstream that answers
	id.Store("one")
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if platform.DecodeTarget(req.Header) != id.Load() {
			wri.WriteHeader(http.StatusMisdirectedRequest)
		}
	}))
	defer srv.Close()
	clu := newCluster(t, 3)
	clu.waitForVoters(3)
	clu.put(1)
	one := &fpstate.Upstream{
		Id:          "one",
		Born:        10,
		Service:     "s",
		Address:     srv.Listener.Addr().String(),
		Concurrency: 4,
	}
	announce := func(ups *fpstate.Upstream, sequence uint64) error {
		var err error
		for _, vm := range clu.seeds {
			if err = clu.operator.Announce(t.Context(), vm, ups, sequence); err == nil {
				break
			}
		}
		return err
	}
	clu.waitFor("the announcement is accepted", func() bool { return announce(one, 1) == nil })
	clu.waitFor("all VMs know the upstream", func() bool {
		for _, run := range clu.vms {
			if run.control.directory.Upstream("one") == nil || run.control.directory.Configuration() == nil {
				return false
			}
		}
		return true
	})
	for name, change := range map[string]func(ups *fpstate.Upstream){
		"another id, unknown service": func(ups *fpstate.Upstream) { ups.Id, ups.Service, ups.Born = "odd", "unknown", 20 },
		"another id":                  func(ups *fpstate.Upstream) { ups.Id, ups.Born = "odd", 20 },
		"another id, same start":      func(ups *fpstate.Upstream) { ups.Id = "odd" },
		"unknown service":             func(ups *fpstate.Upstream) { ups.Service = "unknown" },
		"later start, unknown service": func(ups *fpstate.Upstream) {
			ups.Service, ups.Born = "unknown", 20
		},
		"another address": func(ups *fpstate.Upstream) { ups.Address = "127.0.0.1:1" },
	} {
		odd := proto.CloneOf(one)
		change(odd)
		if err := announce(odd, 1<<60); err == nil {
			t.Errorf("%s: the announcement was accepted", name)
		}
	}
	if err := announce(one, 2); err != nil {
		t.Errorf("the next announcement of the upstream was refused: %v", err)
	}
	for vm, run := range clu.vms {
		got := run.control.directory.Upstream("one")
		if got.GetGone() || got.GetBorn() != 10 || got.GetService() != "s" || got.GetAddress() != one.GetAddress() {
			t.Errorf("VM %s has %v", vm, got)
		}
	}
	id.Store("two")
	two := proto.CloneOf(one)
	two.Id, two.Born = "two", 30
	clu.waitFor("the next upstream at the address is accepted", func() bool { return announce(two, 1) == nil })
	clu.waitFor("the former one has left", func() bool { return clu.vms[clu.seeds[0]].control.directory.Upstream("one").GetGone() })
}

// TestKeysOfReplacedUpstreamGoOnAtOnce guards against keys that wait for the end of a hold although another upstream, of a service without
// keys, has the address of their holder and says so: it answers orders with status 400.
func TestKeysOfReplacedUpstreamGoOnAtOnce(t *testing.T) {
	var id atomic.Value // of the upstream at the address
	id.Store("one")
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		platform.EncodeInstance(wri.Header(), id.Load().(string))
		if req.Method == http.MethodPost && id.Load() != "one" {
			wri.WriteHeader(http.StatusBadRequest)
		}
	}))
	defer srv.Close()
	spare := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer spare.Close()
	clu := newCluster(t, 3)
	clu.waitForVoters(3)
	document := `{"version":5,"routes":[],"services":[{"name":"s","sharded":true,"health_path":"/health"},{"name":"other","health_path":"/health"}]}`
	clu.waitFor("the configuration is accepted", func() bool {
		return clu.operator.Put(t.Context(), clu.seeds[0], []byte(document)) == nil
	})
	clu.waitForRevision(5)
	announce := func(name, service, address string, born uint64) {
		t.Helper()
		clu.waitFor("the announcement is accepted", func() bool {
			return clu.operator.Announce(t.Context(), clu.seeds[0], &fpstate.Upstream{
				Id:          name,
				Born:        born,
				Service:     service,
				Address:     address,
				Concurrency: 4,
			}, 1) == nil
		})
	}
	heldBy := func(name string) uint32 {
		count := uint32(0)
		for _, ran := range clu.vms[clu.seeds[0]].control.directory.Ranges("s") {
			if ran.GetUpstream() == name && ran.GetPhase() == fpstate.Phase_PHASE_SERVING {
				count += ran.GetLast() - ran.GetFirst() + 1
			}
		}
		return count
	}
	announce("one", "s", srv.Listener.Addr().String(), 1)
	announce("spare", "s", spare.Listener.Addr().String(), 1)
	clu.waitFor("both hold keys", func() bool { return heldBy("one")+heldBy("spare") == 1<<16 && heldBy("one") > 0 })
	id.Store("two")
	replaced := time.Now()
	announce("two", "other", srv.Listener.Addr().String(), 2)
	clu.waitFor("the other upstream holds all keys", func() bool { return heldBy("spare") == 1<<16 })
	if took := time.Since(replaced); took > fpkeeper.DefaultHold/2 {
		t.Errorf("the keys went on after %v, want them before the end of the hold", took)
	}
}

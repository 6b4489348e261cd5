package fpcontrol

import (
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// oddUpstreams are announcements that an earlier build may have stored: with a port out of range, an address that is none, too large
// numbers, and long names.
func oddUpstreams(service string) []*fpstate.Upstream {
	return []*fpstate.Upstream{
		{
			Id:      "port-out-of-range",
			Born:    1,
			Service: service,
			Address: "127.0.0.1:99999",
		},
		{
			Id:          "no-address",
			Born:        math.MaxUint64,
			Service:     service,
			Address:     "\x00 [::1",
			Concurrency: math.MaxUint32,
		},
		{
			Id:      strings.Repeat("long", 1<<10),
			Service: service,
			Address: strings.Repeat("[", 1<<16),
			Version: strings.Repeat("{", 1<<16),
		},
	}
}

// TestStoredOddUpstreams guards against odd announcements in the log that end the control VMs, also at a restart, or keep them from
// placing keys.
func TestStoredOddUpstreams(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer upstream.Close()
	clu := newCluster(t, 3)
	clu.waitForVoters(3)
	leader := clu.waitForPlacement()
	for _, ups := range oddUpstreams("s") {
		buf, err := proto.Marshal(&fpstate.Command{
			Body: &fpstate.Command_Announce{
				Announce: ups,
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := leader.proposeCommand(t.Context(), buf); err != nil {
			t.Fatal(err)
		}
	}
	for _, vm := range clu.seeds {
		clu.stop(vm)
		clu.start(vm, false)
	}
	clu.waitForVoters(3)
	document := `{"version":5,"routes":[],"services":[{"name":"s","sharded":true}]}`
	clu.waitFor("the configuration is accepted", func() bool {
		return clu.operator.Put(t.Context(), clu.seeds[0], []byte(document)) == nil
	})
	one := &fpstate.Upstream{
		Id:          "one",
		Born:        1,
		Service:     "s",
		Address:     strings.TrimPrefix(upstream.URL, "http://"),
		Concurrency: 2,
	}
	clu.waitFor("the announcement is accepted", func() bool { return clu.operator.Announce(t.Context(), clu.seeds[0], one, 1) == nil })
	clu.waitFor("the upstream serves all keys", func() bool {
		served := uint32(0)
		for _, ran := range clu.vms[clu.seeds[0]].control.directory.Ranges("s") {
			if ran.GetUpstream() == "one" && ran.GetPhase() == fpstate.Phase_PHASE_SERVING {
				served += ran.GetLast() - ran.GetFirst() + 1
			}
		}
		return served == 1<<16
	})
}

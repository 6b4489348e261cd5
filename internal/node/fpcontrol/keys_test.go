package fpcontrol

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// TestLapsesOfLease guards against a leader that cuts its orders and starts the placement of keys anew each time that its
// lease ends for a moment in one term, so that no order is ever answered.
func TestLapsesOfLease(t *testing.T) {
	var answered, broken atomic.Int64
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		const work = 600 * time.Millisecond
		select {
		case <-time.After(work):
			answered.Add(1)
		case <-req.Context().Done():
			broken.Add(1)
		}
	}))
	defer upstream.Close()
	clu := newAdjustedCluster(t, 3, func(con *Control) {
		lead := con.lead
		con.lead = func(ctx context.Context) (fpgroup.Leadership, error) {
			const period, lapse = 750, 250 // milliseconds
			lea, err := lead(ctx)
			if err == nil && time.Now().UnixMilli()%period < lapse {
				return fpgroup.Leadership{}, fperror.New(fperror.NoQuorum, "the lease has ended for a moment")
			}
			return lea, err
		}
	})
	clu.awaitVoters(3)
	document := `{"version":5,"routes":[],"services":[{"name":"s","sharded":true}]}`
	clu.await("the configuration is accepted", func() bool {
		return clu.operate.Put(t.Context(), clu.seeds[0], []byte(document)) == nil
	})
	ups := &fpstate.Upstream{
		Id:          "one",
		Born:        1,
		Service:     "s",
		Address:     strings.TrimPrefix(upstream.URL, "http://"),
		Concurrency: 2,
	}
	clu.await("the upstream is taken", func() bool { return clu.operate.Announce(t.Context(), clu.seeds[0], ups, 1) == nil })
	clu.await(fmt.Sprintf("upstream %s serves all keys", ups.GetId()), func() bool {
		for _, run := range clu.vms {
			ranges := run.control.directory.Ranges("s")
			if len(ranges) == 1 && ranges[0].GetPhase() == fpstate.Phase_PHASE_SERVING {
				return true
			}
		}
		return false
	})
	clu.await("three grants are answered", func() bool { return answered.Load() >= 3 })
	if broken.Load() > 0 {
		t.Errorf("%d of %d orders were cut", broken.Load(), broken.Load()+answered.Load())
	}
}

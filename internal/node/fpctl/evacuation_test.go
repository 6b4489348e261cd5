package fpctl_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fpctl"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
)

// fakeControl is a control VM that refuses a number of orders.
type fakeControl struct {
	fpstateconnect.UnimplementedStateServiceHandler
	refusals atomic.Int64
	kind     fperror.Kind
	orders   atomic.Int64
}

func (fak *fakeControl) Evacuate(context.Context, *connect.Request[fpstate.EvacuateRequest]) (*connect.Response[fpstate.EvacuateResponse], error) {
	fak.orders.Add(1)
	if fak.refusals.Add(-1) >= 0 {
		return nil, refusal(fak.kind, "refused")
	}
	return connect.NewResponse(&fpstate.EvacuateResponse{
		Done: true,
	}), nil
}

func (*fakeControl) Status(context.Context, *connect.Request[fpstate.StatusRequest]) (*connect.Response[fpstate.StatusResponse], error) {
	return connect.NewResponse(&fpstate.StatusResponse{
		Vm:       "10.0.0.1:7000",
		Leader:   "10.0.0.2:7000",
		Members:  []string{"10.0.0.1:7000", "10.0.0.2:7000"},
		Index:    42,
		Revision: 7,
		Level:    1,
		Evacuations: []*fpstate.Evacuation{{
			DataCentre: "east",
			Active:     true,
			Modified:   40,
		}, {
			DataCentre: "west",
			Modified:   31,
		}},
		Upstreams: []*fpstate.UpstreamCount{{
			DataCentre: "east",
			Service:    "sales",
			Active:     7,
			Leaving:    1,
		}},
		Quarantines: []*fpstate.Quarantine{{
			Digest:   "body:60303ae2",
			Lifted:   true,
			Modified: 38,
			Crashes: []*fpstate.Incarnation{{
				Upstream: "sales-1",
				Born:     5,
			}, {
				Upstream: "sales-2",
				Born:     6,
			}},
		}, {
			Digest:   "body:9f86d081",
			Modified: 41,
		}},
	}), nil
}

func (*fakeControl) Release(context.Context, *connect.Request[fpstate.ReleaseRequest]) (*connect.Response[fpstate.ReleaseResponse], error) {
	return connect.NewResponse(&fpstate.ReleaseResponse{}), nil
}

// runControl runs a command against control VMs and returns the exit code and the output.
func runControl(t *testing.T, addresses []string, args ...string) (code int, output string) {
	t.Helper()
	var out bytes.Buffer
	pro := &fpctl.Program{
		Stdout: &out,
		Stderr: &out,
	}
	code = pro.Main(t.Context(), append(args, "--control", strings.Join(addresses, ",")))
	return code, out.String()
}

func (fak *fakeControl) start(t *testing.T) string {
	t.Helper()
	_, handler := fpstateconnect.NewStateServiceHandler(fak)
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// TestEvacuationIsRepeated guards against an order that fails for good while the control VMs elect a leader or one of them is lost, and
// against one that is repeated although it can never succeed.
func TestEvacuationIsRepeated(t *testing.T) {
	for name, one := range map[string]struct {
		kind     fperror.Kind
		refusals int64
		code     int
		orders   int64
		args     []string
	}{
		"accepted":        {orders: 1},
		"election":        {kind: fperror.NoQuorum, refusals: 2, orders: 3},
		"unknown outcome": {kind: fperror.CommitUnknown, refusals: 1, orders: 2},
		"unknown name":    {kind: fperror.InvalidRequest, refusals: 9, orders: 1, code: fpctl.ExitInvalid},
		"no quorum":       {kind: fperror.NoQuorum, refusals: 9, orders: 1, code: fpctl.ExitUnavailable, args: []string{"--timeout", "1ms"}},
		"never known":     {kind: fperror.CommitUnknown, refusals: 9, orders: 1, code: fpctl.ExitUnknown, args: []string{"--timeout", "1ms"}},
	} {
		for _, command := range []string{"start", "end"} {
			fak := &fakeControl{
				kind: one.kind,
			}
			fak.refusals.Store(one.refusals)
			addresses := []string{fak.start(t)}
			if one.code == fpctl.ExitOK {
				addresses = append([]string{unusedAddress(t)}, addresses...)
			}
			code, output := runControl(t, addresses, append([]string{"evacuation", command, "east"}, one.args...)...)
			if code != one.code || fak.orders.Load() != one.orders {
				t.Errorf("%s, %s: exit code %d after %d orders\n%s", name, command, code, fak.orders.Load(), output)
			}
		}
	}
	if code, output := runControl(t, []string{unusedAddress(t)}, "evacuation", "end", "east", "--timeout", "1ms"); code != fpctl.ExitUnavailable {
		t.Errorf("exit code %d without a control VM\n%s", code, output)
	}
}

// TestControlOutput compares the output of the commands for control VMs with its golden files.
func TestControlOutput(t *testing.T) {
	for name, args := range map[string][]string{
		"evacuation-start":     {"evacuation", "start", "east"},
		"evacuation-end-json":  {"evacuation", "end", "east", "--json"},
		"evacuation-list":      {"evacuation", "list"},
		"evacuation-list-json": {"evacuation", "list", "--json"},
		"refusal-list":         {"refusal", "list"},
		"refusal-list-json":    {"refusal", "list", "--json"},
		"refusal-end":          {"refusal", "end", "body:9f86d081"},
		"state":                {"state"},
	} {
		_, got := runControl(t, []string{(&fakeControl{}).start(t)}, args...)
		path := filepath.Join("testdata", name+".golden")
		if *update {
			if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if got != string(want) {
			t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
		}
	}
}

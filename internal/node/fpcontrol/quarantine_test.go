package fpcontrol

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
)

// TestQuarantineCountsCrashesOfAllVMs guards against a request that crashes upstreams and is never refused, because it reaches
// another entry VM each time and none of them sees two crashes. It also guards against a request that stays refused after an
// upstream has answered it or after a change of the leader.
func TestQuarantineCountsCrashesOfAllVMs(t *testing.T) {
	now := time.Now()
	crash := func(upstream string) []*fpstate.Crash {
		return []*fpstate.Crash{{
			Digest:   "bad",
			Upstream: upstream,
			Born:     1,
		}}
	}
	var qua quarantine
	qua.startLeadership(nil)
	qua.report(now, crash("one"), nil)
	if due := qua.takeDue(now); len(due) != 0 {
		t.Errorf("got %v after one crash, want no change", due)
	}
	qua.report(now, crash("two"), nil)
	due := qua.takeDue(now)
	if len(due) != 1 || due[0].GetLifted() {
		t.Fatalf("got %v after two crashes, want a quarantine", due)
	}
	qua.finish(due[0], nil)
	qua.report(now, nil, []string{"bad"})
	if due := qua.takeDue(now); len(due) != 1 || !due[0].GetLifted() {
		t.Errorf("got %v after an answer, want a lifted quarantine", due)
	}
	qua.startLeadership(refusedSince(now, "bad"))
	if due := qua.takeDue(now.Add(time.Second)); len(due) != 0 {
		t.Errorf("got %v from a new leader after 1 s, want no change", due)
	}
	if due := qua.takeDue(now.Add(time.Minute)); len(due) != 1 || !due[0].GetLifted() {
		t.Errorf("got %v from a new leader after 1 min, want a lifted quarantine", due)
	}
}

// refusedSince returns the records of requests that are refused since a time.
func refusedSince(since time.Time, digests ...string) []fpdirectory.QuarantineRecord {
	var all []fpdirectory.QuarantineRecord
	for _, digest := range digests {
		all = append(all, fpdirectory.QuarantineRecord{
			Quarantine: &fpstate.Quarantine{
				Digest: digest,
			},
			Since: since,
		})
	}
	return all
}

// TestNewestQuarantineIsCommitted guards against an older decision on a request that reaches the log after a newer one: a request
// that crashes upstreams is let through, or one that doesn't is refused. It also guards against a decision that is lost when its
// commit fails.
func TestNewestQuarantineIsCommitted(t *testing.T) {
	now := time.Now()
	unknown := fperror.New(fperror.CommitUnknown, "the command is not committed yet")
	var qua quarantine
	qua.startLeadership(refusedSince(now, "bad"))
	qua.report(now, nil, []string{"bad"})
	lifted := qua.takeDue(now)
	if len(lifted) != 1 || !lifted[0].GetLifted() {
		t.Fatalf("got %v after an answer, want a lifted quarantine", lifted)
	}
	for _, upstream := range []string{"one", "two"} {
		qua.report(now, []*fpstate.Crash{{
			Digest:   "bad",
			Upstream: upstream,
			Born:     1,
		}}, nil)
	}
	if due := qua.takeDue(now); len(due) != 0 {
		t.Errorf("got %v while an older decision is being committed, want none", due)
	}
	qua.finish(lifted[0], unknown)
	for range 2 {
		due := qua.takeDue(now)
		if len(due) != 1 || due[0].GetLifted() {
			t.Fatalf("got %v after two crashes, want a quarantine", due)
		}
		qua.finish(due[0], unknown)
	}
	due := qua.takeDue(now)
	if len(due) != 1 {
		t.Fatalf("got %v, want the decision again, which is not committed yet", due)
	}
	qua.finish(due[0], nil)
	if due := qua.takeDue(now); len(due) != 0 {
		t.Errorf("got %v after the commit, want none", due)
	}
}

// interceptProposals lets decide see each command before it is proposed. A command for which decide returns an error is not proposed.
func interceptProposals(con *Control, decide func(ctx context.Context, com *fpstate.Command) error) {
	propose := con.proposeCommand
	con.proposeCommand = func(ctx context.Context, command []byte) (fpgroup.Position, []byte, error) {
		com := &fpstate.Command{}
		err := proto.Unmarshal(command, com)
		if err == nil {
			err = decide(ctx, com)
		}
		if err != nil {
			return fpgroup.Position{}, nil, err
		}
		return propose(ctx, command)
	}
}

// waitForPlacement waits until a VM places keys, and returns it.
func (clu *cluster) waitForPlacement() *Control {
	clu.t.Helper()
	var found *Control
	clu.waitFor("a VM places keys", func() bool {
		for _, run := range clu.vms {
			con := run.control
			con.mutex.Lock()
			if con.keeper != nil {
				found = con
			}
			con.mutex.Unlock()
		}
		return found != nil
	})
	return found
}

// reportCrashes reports two crashes during each request.
func reportCrashes(con *Control, digests ...string) {
	req := &fpstate.ReportRequest{}
	for _, digest := range digests {
		for _, upstream := range []string{"one", "two"} {
			req.Crashes = append(req.Crashes, &fpstate.Crash{
				Digest:   digest,
				Upstream: upstream,
				Born:     1,
			})
		}
	}
	con.handleReport(req)
}

// TestOldQuarantineIsNotRepeated guards against a request that stays refused although an upstream has answered it: the commit of
// the refusal failed, and was repeated after the newer decision.
func TestOldQuarantineIsNotRepeated(t *testing.T) {
	var failed atomic.Bool
	clu := newConfiguredCluster(t, 3, func(con *Control) {
		interceptProposals(con, func(_ context.Context, com *fpstate.Command) error {
			if com.GetQuarantine().GetDigest() == "bad" && failed.CompareAndSwap(false, true) {
				con.handleReport(&fpstate.ReportRequest{
					Cleared: []string{"bad"},
				})
				return fperror.New(fperror.NoQuorum, "the command is not proposed")
			}
			return nil
		})
	})
	clu.waitForVoters(3)
	con := clu.waitForPlacement()
	reportCrashes(con, "bad")
	clu.waitFor("the first commit fails", failed.Load)
	// Commits of the same digest are in order, so a commit of another one after two plans shows that they have ended.
	time.Sleep(2 * planInterval)
	reportCrashes(con, "other")
	clu.waitFor("another request is refused", func() bool { return slices.Contains(con.directory.Quarantined(), "other") })
	if got := con.directory.Quarantined(); slices.Contains(got, "bad") {
		t.Errorf("%v are refused, want only the other request", got)
	}
}

// TestSlowQuarantinesKeepRenewals guards against keys that are lost while the commits of quarantines and departures are slow,
// because no renewals are sent until they have ended.
func TestSlowQuarantinesKeepRenewals(t *testing.T) {
	var grants atomic.Int64
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { grants.Add(1) }))
	defer upstream.Close()
	clu := newConfiguredCluster(t, 3, func(con *Control) {
		interceptProposals(con, func(ctx context.Context, com *fpstate.Command) error {
			if com.GetQuarantine() == nil && com.GetDepart() == nil {
				return nil
			}
			<-ctx.Done()
			return fperror.New(fperror.CommitUnknown, "the command is not committed yet")
		})
	})
	clu.waitForVoters(3)
	document := `{"version":5,"routes":[],"services":[{"name":"s","sharded":true}]}`
	clu.waitFor("the configuration is accepted", func() bool {
		return clu.operator.Put(t.Context(), clu.seeds[0], []byte(document)) == nil
	})
	ups := &fpstate.Upstream{
		Id:          "one",
		Born:        1,
		Service:     "s",
		Address:     strings.TrimPrefix(upstream.URL, "http://"),
		Concurrency: 2,
	}
	clu.waitFor("the announcement is accepted", func() bool { return clu.operator.Announce(t.Context(), clu.seeds[0], ups, 1) == nil })
	con := clu.waitForPlacement()
	clu.waitFor("a grant is answered", func() bool { return grants.Load() > 0 })
	reportCrashes(con, "a", "b", "c", "d", "e", "f", "g", "h")
	time.Sleep(planInterval)
	before := grants.Load()
	time.Sleep(4 * time.Second)
	if got := grants.Load() - before; got < 2 {
		t.Errorf("%d renewals in 4 s, want at least 2", got)
	}
}

// TestOperatorReleasesRequest guards against a request that stays refused although its upstreams have been mended.
func TestOperatorReleasesRequest(t *testing.T) {
	clu := newCluster(t, 3)
	clu.waitForVoters(3)
	con := clu.waitForPlacement()
	reportCrashes(con, "bad")
	clu.waitFor("the request is refused", func() bool { return slices.Contains(con.directory.Quarantined(), "bad") })
	for vm, run := range clu.vms {
		if run.control == con {
			continue
		}
		cli := fpstateconnect.NewStateServiceClient(http.DefaultClient, "http://"+vm)
		release := func(digest string) error {
			_, err := cli.Release(t.Context(), connect.NewRequest(&fpstate.ReleaseRequest{
				Digest: digest,
			}))
			return err
		}
		if err := release("unknown"); connect.CodeOf(err) != fperror.InvalidRequest.Answer().Code() {
			t.Errorf("the release of an unknown request: %v", err)
		}
		clu.waitFor("the request is released", func() bool { return release("bad") == nil })
		break
	}
	if con.directory.Quarantine("bad") != nil {
		t.Error("the request is refused or its crashes count after its release")
	}
	reportCrashes(con, "bad")
	clu.waitFor("the request is refused after further crashes", func() bool { return slices.Contains(con.directory.Quarantined(), "bad") })
}

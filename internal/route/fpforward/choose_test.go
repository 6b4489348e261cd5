package fpforward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// newTestExchange returns an exchange of a route to a service with a number of upstreams, and the upstreams. It uses no
// network.
func newTestExchange(upstreams int) (*exchange, []*member) {
	fwd := New(Config{
		DataCentre: "east-1",
		Region:     func(string) string { return "east" },
	})
	sta := &fpstate.State{
		Configuration: &fpstate.Configuration{
			Revision: 1,
			Services: []*fpstate.Service{{
				Name: "work",
			}},
		},
	}
	for num := range upstreams {
		sta.Upstreams = append(sta.Upstreams, &fpstate.Upstream{
			Id:          fmt.Sprintf("upstream-%02d", num),
			Born:        1,
			Service:     "work",
			DataCentre:  "east-1",
			Concurrency: 4,
			Modified:    1,
		})
	}
	fwd.Update(sta, 1, 1)
	exc := &exchange{
		fwd:      fwd,
		route:    &fpstate.Route{},
		service:  "work",
		start:    time.Now(),
		deadline: time.Now().Add(time.Minute),
		tried:    map[*member]bool{},
	}
	return exc, fwd.view.Load().services["work"]
}

// countChoices returns how often each upstream is chosen in num choices.
func countChoices(t *testing.T, exc *exchange, num int) map[*member]int {
	t.Helper()
	count := map[*member]int{}
	for range num {
		cho, err := exc.chooseAny()
		if err != nil {
			t.Fatal(err)
		}
		count[cho.member]++
	}
	return count
}

// TestUpstreamsWithoutAnswers guards against an upstream that is preferred because it has not answered yet, although it is too
// busy to answer. Entry VMs with few requests each know many such upstreams.
func TestUpstreamsWithoutAnswers(t *testing.T) {
	exc, members := newTestExchange(10)
	now := time.Now()
	for _, mem := range members[:8] {
		mem.recordAnswer(now, platform.Answer{}, 400*time.Millisecond, false)
	}
	count := countChoices(t, exc, 1000)
	if unknown := count[members[8]] + count[members[9]]; unknown > 400 {
		t.Errorf("2 of 10 upstreams that have not answered got %d of 1000 requests", unknown)
	}
	members[9].beginRequest()
	members[9].recordOverdue(now, 2*time.Second)
	members[9].endRequest()
	if got := countChoices(t, exc, 1000)[members[9]]; got > 10 {
		t.Errorf("an upstream that let a request wait for 2 s got %d of 1000 requests", got)
	}
}

// TestNewUpstreamIsExplored guards against a new upstream that never gets a request while the others are idle, and against one
// that gets too many before its first answer.
func TestNewUpstreamIsExplored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		exc, members := newTestExchange(9)
		for _, mem := range members {
			mem.recordAnswer(time.Now(), platform.Answer{}, 50*time.Millisecond, false)
		}
		time.Sleep(2 * startupPeriod)
		exc.fwd.Update(&fpstate.State{
			Upstreams: []*fpstate.Upstream{{
				Id:          "upstream-joined",
				Born:        1,
				Service:     "work",
				DataCentre:  "east-1",
				Concurrency: 4,
				Modified:    2,
			}},
		}, 2, 1)
		members = exc.fwd.view.Load().services["work"]
		time.Sleep(coldStartTime + exploreSpread)
		exc.deadline = time.Now().Add(time.Minute)
		cho, err := exc.chooseAny()
		if err != nil || cho.member != members[9] {
			t.Fatalf("the new upstream was not chosen, error %v", err)
		}
		cho.member.beginRequest()
		cho.member.endRequest()
		if got := countChoices(t, exc, 100)[members[9]]; got > 30 {
			t.Errorf("a new upstream got %d of 100 requests after its first one and before an answer, want at most 30; its share is 10", got)
		}
	})
}

// TestSlowUpstreamGetsLess guards against a slow upstream that gets as many requests as a fast one.
func TestSlowUpstreamGetsLess(t *testing.T) {
	exc, members := newTestExchange(2)
	now := time.Now()
	for range 50 {
		members[0].recordAnswer(now, platform.Answer{}, 60*time.Millisecond, false)
		members[1].recordAnswer(now, platform.Answer{}, 160*time.Millisecond, false)
	}
	if got := countChoices(t, exc, 1000)[members[1]]; got > 50 {
		t.Errorf("an idle upstream that takes 2.7 times as long got %d of 1000 requests", got)
	}
}

// TestStaleLoadReportFades guards against an old load report that keeps an upstream from being chosen for long.
func TestStaleLoadReportFades(t *testing.T) {
	_, members := newTestExchange(1)
	now := time.Now()
	busy := platform.Answer{
		HasLoad: true,
		Load: platform.Load{
			Running: 4,
			Waiting: 12,
			Slots:   4,
		},
	}
	members[0].recordAnswer(now, busy, 100*time.Millisecond, false)
	fresh := members[0].state(now).load
	old := members[0].state(now.Add(10 * reportHalfLife)).load
	if fresh < 15 || old > 5 {
		t.Errorf("got load %g at once and %g after %v, want at least 15 and at most 5", fresh, old, 10*reportHalfLife)
	}
}

// TestOverdueEstimateFades guards against an owner of keys that was too busy and has recovered, whose requests are refused for
// good: without requests, no answers correct its estimated time.
func TestOverdueEstimateFades(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, members := newTestExchange(1)
		mem := members[0]
		mem.recordAnswer(time.Now(), platform.Answer{}, 100*time.Millisecond, false)
		for range 5 {
			mem.recordOverdue(time.Now(), 2*time.Second)
		}
		if got := mem.state(time.Now()).expectedTime(); got < time.Second {
			t.Errorf("the expected time is %v right after five requests without an answer in 2 s, want at least 1 s", got)
		}
		time.Sleep(5 * silenceHalfLife)
		if got := mem.state(time.Now()).expectedTime(); got > 300*time.Millisecond {
			t.Errorf("the expected time is %[2]v after %[1]v, want at most 300 ms; an answer took 100 ms", 5*silenceHalfLife, got)
		}
	})
}

// TestFailingUpstreamIsAvoided guards against an upstream that fails half of its requests and gets as many as one that does
// not fail.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	exc, members := newTestExchange(2)
	now := time.Now()
	for num := range 60 {
		members[0].recordAnswer(now, platform.Answer{}, 100*time.Millisecond, false)
		members[1].recordAnswer(now, platform.Answer{}, 100*time.Millisecond, num%2 == 0)
	}
	if got := countChoices(t, exc, 1000)[members[1]]; got > 50 {
		t.Errorf("an upstream that fails half of its requests got %d of 1000 requests", got)
	}
}

// TestDistanceCost guards against bundles that cross the slow link between regions while an upstream of the own data centre
// has few requests, and against small requests that don't cross it although the near upstream has many.
func TestDistanceCost(t *testing.T) {
	exc, members := newTestExchange(2)
	now := time.Now()
	for _, mem := range members {
		mem.recordAnswer(now, platform.Answer{}, 100*time.Millisecond, false)
	}
	members[1].distance = otherRegion
	exc.route = &fpstate.Route{
		Kind: fpstate.Kind_KIND_BUNDLE,
	}
	for range 5 {
		members[0].beginRequest()
	}
	if got := countChoices(t, exc, 500)[members[1]]; got > 0 {
		t.Errorf("%d of 500 bundles crossed the link", got)
	}
	exc.route = &fpstate.Route{}
	for range 15 {
		members[0].beginRequest()
	}
	if got := countChoices(t, exc, 500)[members[1]]; got < 400 {
		t.Errorf("%d of 500 small requests crossed the link, though 20 requests are at the near upstream", got)
	}
}

// TestOwnDataCentreIsPreferred guards against requests that leave the data centre because of random differences between
// equally busy upstreams, and against requests that wait beyond their objective for an upstream nearby.
func TestOwnDataCentreIsPreferred(t *testing.T) {
	exc, members := newTestExchange(3)
	now := time.Now()
	for _, mem := range members {
		mem.recordAnswer(now, platform.Answer{}, 400*time.Millisecond, false)
	}
	members[1].distance = sameRegion
	members[2].distance = sameRegion
	exc.route = &fpstate.Route{
		Objective: durationpb.New(1500 * time.Millisecond),
	}
	if got := countChoices(t, exc, 500)[members[0]]; got < 475 {
		t.Errorf("%d of 500 requests stayed in the data centre, whose upstream is as idle as the others", got)
	}
	for range 12 {
		members[0].beginRequest()
	}
	if got := countChoices(t, exc, 500)[members[0]]; got > 25 {
		t.Errorf("%d of 500 requests went to the upstream nearby, which has 12 requests in flight", got)
	}
}

// TestSlowUpstreamIsExplored guards against an upstream that was slow once and gets no more requests, and against one that
// gets too many while it is slow.
func TestSlowUpstreamIsExplored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		exc, members := newTestExchange(3)
		exc.route = &fpstate.Route{
			Objective: durationpb.New(1500 * time.Millisecond),
		}
		for _, mem := range members {
			mem.recordAnswer(time.Now(), platform.Answer{}, 400*time.Millisecond, false)
		}
		slow := members[2]
		slow.recordAnswer(time.Now(), platform.Answer{}, 2*time.Second, false)
		count := 0
		const requests = 600
		for range requests {
			time.Sleep(100 * time.Millisecond)
			exc.deadline = time.Now().Add(time.Minute)
			cho, err := exc.chooseAny()
			if err != nil {
				t.Fatal(err)
			}
			cho.member.beginRequest()
			cho.member.scheduleExploration(exc.fwd.exploreDelay())
			cho.member.endRequest()
			if cho.member == slow {
				count++
			}
		}
		if count < 20 || count > requests/10 {
			t.Errorf("an upstream that is slower than the others got %d of %d requests in 60 s", count, requests)
		}
	})
}

// TestOverdueFirstRequestIsForgotten guards against the owner of a key that gets no more requests of a VM, because the first one to it got
// no answer before its deadline.
func TestOverdueFirstRequestIsForgotten(t *testing.T) {
	mem := &member{
		upstream: &fpstate.Upstream{
			Concurrency: 4,
		},
	}
	now := time.Now()
	mem.recordOverdue(now, time.Second)
	if got := mem.state(now.Add(20 * time.Second)).expectedTime(); got > 2*defaultMeanTime {
		t.Errorf("20 s after a request without an answer in 1 s, the expected time is %v", got)
	}
}

package fpbalance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpbalance"
)

var start = time.Unix(1000, 0)

// testUpstreams returns count upstreams in each of the data centres a1 and a2 (region a) and b1 (region b).
func testUpstreams(count int) []fpbalance.Upstream {
	var out []fpbalance.Upstream
	for _, location := range []struct{ dataCentre, region string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}} {
		for i := range count {
			out = append(out, fpbalance.Upstream{
				Name:        fmt.Sprint(location.dataCentre, "-", i),
				DataCentre:  location.dataCentre,
				Region:      location.region,
				Concurrency: 2,
			})
		}
	}
	return out
}

// newBalancer returns the balancer of a VM in a1 whose upstreams have their full weight. link states whether the link between
// regions has budget.
func newBalancer(pol fpbalance.Policy, link bool) *fpbalance.Balancer {
	bal := fpbalance.New(fpbalance.Config{
		Policy:        pol,
		VM:            "vm",
		DataCentre:    "a1",
		Region:        "a",
		TakeLinkBytes: func(time.Time, bool, int64) bool { return link },
	})
	bal.Update(testUpstreams(2))
	for _, up := range testUpstreams(2) {
		for range 100 {
			bal.Done(start, up.Name, nil, time.Millisecond)
		}
	}
	return bal
}

// TestPrefersNearUpstreams guards against a call that goes farther than needed, that crosses the link without budget, or that
// goes to an upstream twice, under every policy.
func TestPrefersNearUpstreams(t *testing.T) {
	for _, pol := range fpbalance.Policies() {
		for _, link := range []bool{false, true} {
			bal := newBalancer(pol, link)
			var cal fpbalance.Call
			seen := map[string]bool{}
			chosen := ""
			for {
				name, err := bal.Choose(start, cal)
				if err != nil {
					want := fperror.Overloaded
					if link {
						want = fperror.NoUpstream
					}
					if !fperror.Is(err, want) {
						t.Errorf("%v: %v", pol, err)
					}
					break
				}
				if seen[name] {
					t.Fatalf("%v: %s was tried and is chosen again", pol, name)
				}
				seen[name] = true
				cal.Excluded = append(cal.Excluded, name)
				chosen += name[:2] + " "
			}
			want := "a1 a1 a2 a2 "
			if link {
				want += "b1 b1 "
			}
			if chosen != want {
				t.Errorf("%v with link %v: order %q, want %q", pol, link, chosen, want)
			}
		}
	}
}

// TestSpillsWhenSaturated guards against calls that stay in a saturated data centre or region while a farther one is idle.
func TestSpillsWhenSaturated(t *testing.T) {
	bal := newBalancer(fpbalance.PowerOfTwo, true)
	chosen := map[string]int{}
	for range 12 { // 2 units on each of 6 upstreams
		name, err := bal.Choose(start, fpbalance.Call{})
		if err != nil {
			t.Fatal(err)
		}
		chosen[name[:2]]++
	}
	if chosen["a1"] < 4 || chosen["a2"] < 3 || chosen["b1"] < 2 {
		t.Errorf("12 calls on 12 units went to %v", chosen)
	}
}

// TestUpstreamsReservedFromBundles guards against bundles on all upstreams of a region, and against VMs that disagree about
// the upstreams without bundles.
func TestUpstreamsReservedFromBundles(t *testing.T) {
	used := map[string]bool{}
	for _, dataCentre := range []string{"a1", "a2"} {
		bal := fpbalance.New(fpbalance.Config{
			VM:         dataCentre,
			DataCentre: dataCentre,
			Region:     "a",
		})
		bal.Update(testUpstreams(2))
		for range 1000 {
			name, err := bal.Choose(start, fpbalance.Call{
				Bundle: true,
			})
			if err != nil {
				continue
			}
			used[name] = true
			bal.Done(start, name, nil, time.Millisecond)
		}
	}
	if len(used) == 0 || len(used) > 3 {
		t.Errorf("bundles of two VMs use %v of 4 upstreams", used)
	}
}

// TestNewUpstreamRampsUp guards against a new upstream that gets more than one request before its first answer, its full share
// soon after it, or never its full share.
func TestNewUpstreamRampsUp(t *testing.T) {
	for _, pol := range fpbalance.Policies() {
		bal := newBalancer(pol, false)
		list := testUpstreams(2)
		list[0].Incarnation++
		bal.Update(list)
		count := 0
		for range 100 {
			name, err := bal.Choose(start, fpbalance.Call{})
			if err != nil {
				t.Fatal(err)
			}
			if name == "a1-0" {
				count++
			} else {
				bal.Done(start, name, nil, time.Millisecond)
			}
		}
		if count > 1 {
			t.Errorf("%v: %d requests before the first answer", pol, count)
		}
		bal.Done(start, "a1-0", nil, time.Millisecond)
		share := func(calls int) float64 {
			got := 0
			for range calls {
				name, _ := bal.Choose(start, fpbalance.Call{})
				if name == "a1-0" {
					got++
				}
				bal.Done(start, name, nil, time.Millisecond)
			}
			return float64(got) / float64(calls)
		}
		if early := share(40); early > 0.4 {
			t.Errorf("%v: share %.2f right after the first answer", pol, early)
		}
		share(1000)
		if late := share(1000); late < 0.4 {
			t.Errorf("%v: share %.2f after the ramp", pol, late)
		}
	}
}

// TestSubsetIsStable guards against a subset of the wrong size, and against one that changes more than needed when an upstream
// leaves.
func TestSubsetIsStable(t *testing.T) {
	used := func(list []fpbalance.Upstream) map[string]bool {
		bal := fpbalance.New(fpbalance.Config{
			SubsetSize:    3,
			VM:            "vm",
			DataCentre:    "a1",
			Region:        "a",
			TakeLinkBytes: func(time.Time, bool, int64) bool { return true },
		})
		bal.Update(list)
		names := map[string]bool{}
		var cal fpbalance.Call
		for {
			name, err := bal.Choose(start, cal)
			if err != nil {
				return names
			}
			names[name] = true
			cal.Excluded = append(cal.Excluded, name)
		}
	}
	list := testUpstreams(4)
	before := used(list)
	if len(before) != 3 {
		t.Fatalf("subset of 3 uses %v", before)
	}
	for i, up := range list {
		after := used(append(append([]fpbalance.Upstream{}, list[:i]...), list[i+1:]...))
		kept := 0
		for name := range after {
			if before[name] {
				kept++
			}
		}
		want := 3
		if before[up.Name] {
			want = 2
		}
		if kept != want {
			t.Errorf("%s left: %d of the subset kept, want %d", up.Name, kept, want)
		}
	}
}

// BenchmarkChoose measures Choose and Done with 3,000 upstreams, as in section 2 of the design.
func BenchmarkChoose(b *testing.B) {
	bal := fpbalance.New(fpbalance.Config{
		DataCentre: "a1",
		Region:     "a",
	})
	bal.Update(testUpstreams(1000))
	now := start
	for b.Loop() {
		now = now.Add(time.Microsecond)
		name, err := bal.Choose(now, fpbalance.Call{})
		if err != nil {
			b.Fatal(err)
		}
		bal.Done(now, name, nil, time.Millisecond)
	}
}

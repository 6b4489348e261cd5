package fpregistry_test

import (
	"fmt"
	"testing"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpregistry"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

func pollResponse(term, version uint64, upstreams ...*fpcontract.Upstream) *fpwire.PollResponse {
	return &fpwire.PollResponse{
		Term:             term,
		Registry:         version,
		UpstreamsChanged: true,
		Upstreams:        upstreams,
	}
}

func upstream(name string, incarnation uint64) *fpcontract.Upstream {
	return &fpcontract.Upstream{
		Name:        name,
		Incarnation: incarnation,
		Service:     "demo.Stock",
	}
}

// TestOlderListsIgnored guards against a late answer, of an older term or an older version, that restores upstreams
// which have left.
func TestOlderListsIgnored(t *testing.T) {
	var reg fpregistry.Registry
	reg.Apply("oslo", pollResponse(2, 5, upstream("b", 1), upstream("a", 1)))
	if reg.Apply("oslo", pollResponse(1, 9, upstream("old", 1))) || reg.Apply("oslo", pollResponse(2, 4)) {
		t.Error("an older list was applied")
	}
	if reg.Apply("oslo", &fpwire.PollResponse{Term: 3}) {
		t.Error("an answer without a list was applied as an empty list")
	}
	if version, term := reg.Version("oslo"); version != 5 || term != 2 {
		t.Errorf("version %d of term %d, want version 5 of term 2", version, term)
	}
	if !reg.Apply("oslo", pollResponse(3, 1, upstream("c", 1))) || reg.Upstream("a") != nil || reg.Upstream("c") == nil {
		t.Error("the list of a newer term was not applied")
	}
}

// TestNewestIncarnation guards against an older incarnation that replaces a newer one from the list of another group.
func TestNewestIncarnation(t *testing.T) {
	for _, order := range [][]string{{"bergen", "oslo"}, {"oslo", "bergen"}} {
		var reg fpregistry.Registry
		for _, name := range order {
			incarnation := map[string]uint64{"bergen": 7, "oslo": 6}[name]
			reg.Apply(name, pollResponse(1, 1, upstream("a", incarnation)))
		}
		if got := reg.Upstream("a").GetIncarnation(); got != 7 || len(reg.Service("demo.Stock")) != 1 {
			t.Errorf("lists applied in the order %v: incarnation %d, want 7 once", order, got)
		}
	}
}

func ExampleRegistry() {
	var reg fpregistry.Registry
	reg.Apply("oslo", pollResponse(1, 1, upstream("b", 1), upstream("a", 1)))
	for _, ups := range reg.Service("demo.Stock") {
		fmt.Println(ups.GetName())
	}
	// Output:
	// a
	// b
}

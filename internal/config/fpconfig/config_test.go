package fpconfig

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

func home(group string, first, last uint32) *fpoperator.Home {
	return &fpoperator.Home{
		Group:     group,
		FirstSlot: first,
		LastSlot:  last,
	}
}

func service(name string, slots uint32, homes ...*fpoperator.Home) *fpoperator.Service {
	return &fpoperator.Service{
		Name:  name,
		Slots: slots,
		Homes: homes,
	}
}

func config(services ...*fpoperator.Service) *fpoperator.Configuration {
	return &fpoperator.Configuration{
		Services: services,
	}
}

// TestValidatorReportsAllFaults guards against a fault that hides another one or is reported for the wrong field.
func TestValidatorReportsAllFaults(t *testing.T) {
	bad := service("a", 10, home("g", 0, 3), home("x", 3, 5), home("g", 7, 10), home("g", 8, 8))
	bad.MinGain = math.NaN()
	bad.HoldDown = durationpb.New(2 * time.Hour)
	bad.MaxDeadline = durationpb.New(time.Millisecond)
	next := config(bad, service("a", MaxSlots+1), service("", 1, home("g", 0, 0)))
	next.ClaimRetention = &durationpb.Duration{Seconds: 1, Nanos: -1}
	next.MaxClaims = MaxClaims + 1
	next.RetryBudget = -0.1
	next.DrainedUpstreams = []string{"u", "u"}
	next.DrainedVms = []string{""}
	val := Validator{
		Groups: []string{"g"},
		Schema: func(_ string, names []string) []Fault {
			return []Fault{{
				Field: "schema",
				Value: fmt.Sprint(len(names)),
			}}
		},
	}
	var got []string
	for _, fau := range val.Faults(nil, next) {
		got = append(got, fau.Field)
		if fau.Field != "schema" && (fau.Value == "" || fau.Accepted == "") {
			t.Errorf("incomplete fault %v", fau)
		}
	}
	want := []string{
		"claimRetention", "maxClaims", "retryBudget", "drainedUpstreams[1]", "drainedVms[0]", "services[0].minGain",
		"services[0].holdDown", "services[0].maxDeadline", "services[0].homes[1].group", "services[0].homes[2].lastSlot",
		"services[0].homes[1].firstSlot", "services[0].homes", "services[0].homes", "services[1].name",
		"services[1].slots", "services[1].homes", "services[2].name", "schema",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got faults of\n%v\nwant\n%v", got, want)
	}
	if err := AsError(val.Faults(nil, next)); !fperror.Is(err, fperror.InvalidConfiguration) {
		t.Errorf("got error %v, want one of kind InvalidConfiguration", err)
	}
	good := config(service("a", 10, home("g", 4, 9), home("g", 0, 3)))
	if list := (Validator{Groups: []string{"g"}}).Faults(nil, good); len(list) != 0 {
		t.Errorf("faults of a valid configuration: %v", list)
	}
}

func configure(request string, expected Version, cfg *fpoperator.Configuration) *fpwire.Configure {
	return &fpwire.Configure{
		RequestId:     request,
		Expected:      expected.Wire(),
		Configuration: cfg,
		Operator:      "op-" + request,
	}
}

// TestStateApply guards against accepting two requests with the same expected version, against another outcome for a resent
// request, and against changes of slots and homes, also by removing and adding a service. It restores a snapshot in between.
func TestStateApply(t *testing.T) {
	sta := &State{}
	initial := config(service("a", 10, home("g", 0, 9)))
	first := Version{Term: 2, Index: 5}
	check := func(name string, out Outcome, accepted Version, kind string) {
		t.Helper()
		if out.Accepted != accepted || out.Kind != kind {
			t.Errorf("%s: got %+v, want version %+v, kind %q", name, out, accepted, kind)
		}
	}
	check("first", sta.Apply(first, configure("r1", Version{}, initial)), first, "")
	refused := sta.Apply(Version{Term: 2, Index: 6}, configure("r2", Version{}, initial))
	check("equal expected version", refused, Version{}, "versionConflict")
	if !strings.Contains(refused.Message, `(2, 5) of operator "op-r1"`) {
		t.Errorf("the conflict does not name the accepted request: %s", refused.Message)
	}
	check("same index of another term", sta.Apply(Version{Term: 3, Index: 5}, configure("r3", Version{Term: 1, Index: 5}, initial)),
		Version{}, "versionConflict")
	second := Version{Term: 3, Index: 7}
	check("removal", sta.Apply(second, configure("r4", first, config())), second, "")
	data, err := sta.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	sta = &State{}
	if err := sta.Restore(data); err != nil {
		t.Fatal(err)
	}
	if again, _ := sta.Snapshot(); !bytes.Equal(again, data) {
		t.Error("the snapshot of a restored state differs from the one it was restored from")
	}
	check("resend of the accepted request", sta.Apply(Version{Term: 3, Index: 8}, configure("r1", Version{}, initial)), first, "")
	check("resend of the refused request", sta.Apply(Version{Term: 3, Index: 9}, configure("r2", second, initial)), Version{}, "versionConflict")
	check("other homes of a removed service", sta.Apply(Version{Term: 3, Index: 10},
		configure("r5", second, config(service("a", 10, home("h", 0, 9))))), Version{}, "invalidConfiguration")
	check("other slots of a removed service", sta.Apply(Version{Term: 3, Index: 11},
		configure("r6", second, config(service("a", 11, home("g", 0, 10))))), Version{}, "invalidConfiguration")
	third := Version{Term: 3, Index: 12}
	check("removed service added unchanged", sta.Apply(third, configure("r7", second, initial)), third, "")
	check("other homes", sta.Apply(Version{Term: 3, Index: 13},
		configure("r8", third, config(service("a", 10, home("h", 0, 9))))), Version{}, "invalidConfiguration")
	check("no request id", sta.Apply(Version{Term: 3, Index: 14}, configure("", third, initial)), Version{}, "invalidRequest")
	if sta.Version() != third || sta.Configuration() != initial {
		t.Errorf("version %+v or the configuration is not the one accepted last", sta.Version())
	}
}

// TestChangedHomes guards against commands that miss a change of a group's homes, or that repeat unchanged homes in another
// order.
func TestChangedHomes(t *testing.T) {
	old := config(service("a", 10, home("g", 0, 4), home("h", 5, 9)), service("b", 4, home("g", 0, 3)))
	next := config(service("a", 10, home("g", 2, 4), home("g", 0, 1), home("h", 5, 9)), service("c", 4, home("g", 0, 3)))
	var got []string
	for _, set := range ChangedHomes(old, next, "g") {
		got = append(got, fmt.Sprint(set.GetService(), len(set.GetHomes())))
	}
	if want := []string{"b0", "c1"}; !slices.Equal(got, want) {
		t.Errorf("commands %v, want %v", got, want)
	}
	if HomeOf(next.GetServices()[0], 7) != "h" || HomeOf(next.GetServices()[0], 10) != "" {
		t.Error("HomeOf returned the wrong group")
	}
}

package fplayout

import (
	"flag"
	"math"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write docs/LAYOUTS.md")

const pageFile = "../../../docs/LAYOUTS.md"

// TestPage checks that docs/LAYOUTS.md is what the code generates. With the flag -update it writes the page first.
func TestPage(t *testing.T) {
	want := Page(DefaultRates())
	if *update {
		if err := os.WriteFile(pageFile, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(pageFile)
	if err != nil || string(got) != want {
		t.Errorf("docs/LAYOUTS.md is outdated (%v); run with -update", err)
	}
}

// TestServes checks the groups that each data centre serves under each cut. The expected rows are worked out by hand: a
// component needs 3 of 5 or 2 of 3 voters, and an upstream in the group's scope.
func TestServes(t *testing.T) {
	const regionRows = `
none | region a, region b | region a, region b | region a, region b | region a, region b
a1 lost | | region a, region b | region a, region b | region a, region b
a1 cut off | | region a, region b | region a, region b | region a, region b
regions cut | region a | region a | region b | region b
all cut from all | | | |`
	want := map[string]string{
		"one global group": `
none | all | all | all | all
a1 lost | | all | all | all
a1 cut off | | all | all | all
regions cut | all | all | |
all cut from all | | | |`,
		"group per region (2+2+1)": regionRows,
		"group per region (1+1+1)": regionRows,
		"group per data centre (2+1)": `
none | a1, a2, b1, b2 | a1, a2, b1, b2 | a1, a2, b1, b2 | a1, a2, b1, b2
a1 lost | | a2, b1, b2 | a2, b1, b2 | a2, b1, b2
a1 cut off | a1 | a2, b1, b2 | a2, b1, b2 | a2, b1, b2
regions cut | a1, a2 | a1, a2 | b1, b2 | b1, b2
all cut from all | a1 | a2 | b1 | b2`,
	}
	for _, lay := range Layouts() {
		var got strings.Builder
		for _, cut := range Cuts() {
			got.WriteString("\n" + cut.Name)
			for _, cen := range Centres() {
				got.WriteString(" | " + strings.Join(lay.ServedGroups(cut, cen), ", "))
			}
		}
		if stripSpaces(got.String()) != stripSpaces(want[lay.Name]) {
			t.Errorf("%s serves%s\nwant%s", lay.Name, got.String(), want[lay.Name])
		}
	}
}

func stripSpaces(text string) string { return strings.ReplaceAll(text, " ", "") }

// TestServedInOneComponent guards against a group that is served in two components of a cut network, which would break the
// exclusive ownership of keys.
func TestServedInOneComponent(t *testing.T) {
	for _, lay := range Layouts() {
		for _, cut := range Cuts() {
			for _, gro := range lay.Groups {
				serving := 0
				for _, com := range cut.Components {
					if servedIn(gro, com) {
						serving++
					}
				}
				if serving > 1 {
					t.Errorf("layout %q, cut %q: group %q is served in %d components, want at most 1", lay.Name, cut.Name, gro.Name, serving)
				}
			}
		}
	}
}

// TestCosts checks the costs of single faults against figures worked out by hand for 4 keys, one per data centre.
func TestCosts(t *testing.T) {
	rat := DefaultRates()
	rat.Keys = 4
	layouts := Layouts()
	for _, tst := range []struct {
		name string
		got  float64
		want float64
	}{
		{"region, centre lost: one key for 2 s", layouts[1].centreLostCost(rat, A1), 2},
		{"centre, centre lost: one key for 30 min", layouts[3].centreLostCost(rat, A1), 1800},
		{"region, centre cut off: half a key for 300 s, half for 2 s", layouts[1].centreCutOffCost(rat, A1), 151},
		{"centre, centre cut off: half a key for 300 s", layouts[3].centreCutOffCost(rat, A1), 150},
		{"global, regions cut: two keys for 300 s", layouts[0].cutCost(rat, Cuts()[3]), 600},
		{"region, regions cut", layouts[1].cutCost(rat, Cuts()[3]), 0},
		{"region, all cut", layouts[1].cutCost(rat, Cuts()[4]), 1200},
		{"centre, all cut", layouts[3].cutCost(rat, Cuts()[4]), 0},
	} {
		if math.Abs(tst.got-tst.want) > 1e-9 {
			t.Errorf("%s: %v key-seconds, want %v", tst.name, tst.got, tst.want)
		}
	}
}

package fplayout

import (
	"flag"
	"math"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write docs/LAYOUTS.md")

const page = "../../../docs/LAYOUTS.md"

// TestPage guards against a page that differs from what the code computes.
func TestPage(t *testing.T) {
	want := Page(DefaultRates())
	if *update {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil || string(got) != want {
		t.Errorf("docs/LAYOUTS.md is outdated (%v); run with -update", err)
	}
}

// TestServes guards each row of the table of served keys. The expected rows are worked out by hand from the numbers of
// voters: a part needs 3 of 5 or 2 of 3 voters, and an upstream in scope.
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
				got.WriteString(" | " + strings.Join(lay.Serves(cut, cen), ", "))
			}
		}
		if strip(got.String()) != strip(want[lay.Name]) {
			t.Errorf("%s serves%s\nwant%s", lay.Name, got.String(), want[lay.Name])
		}
	}
}

func strip(text string) string { return strings.ReplaceAll(text, " ", "") }

// TestOnePart guards against a group that is served in two parts of a cut network.
func TestOnePart(t *testing.T) {
	for _, lay := range Layouts() {
		for _, cut := range Cuts() {
			for _, gro := range lay.Groups {
				parts := 0
				for _, part := range cut.Parts {
					if servedIn(gro, part) {
						parts++
					}
				}
				if parts > 1 {
					t.Errorf("%s, %s: %s is served in %d parts", lay.Name, cut.Name, gro.Name, parts)
				}
			}
		}
	}
}

// TestCosts guards the arithmetic with figures worked out by hand for 4 keys.
func TestCosts(t *testing.T) {
	rat := DefaultRates()
	rat.Keys = 4
	all := Layouts()
	for _, one := range []struct {
		name string
		got  float64
		want float64
	}{
		{"region, centre lost: one key for 2 s", all[1].lost(rat, A1), 2},
		{"centre, centre lost: one key for 30 min", all[3].lost(rat, A1), 1800},
		{"region, centre cut off: half a key for 300 s, half for 2 s", all[1].cutOff(rat, A1), 151},
		{"centre, centre cut off: half a key for 300 s", all[3].cutOff(rat, A1), 150},
		{"global, regions cut: two keys for 300 s", all[0].unserved(rat, Cuts()[3]), 600},
		{"region, regions cut", all[1].unserved(rat, Cuts()[3]), 0},
		{"region, all cut", all[1].unserved(rat, Cuts()[4]), 1200},
		{"centre, all cut", all[3].unserved(rat, Cuts()[4]), 0},
	} {
		if math.Abs(one.got-one.want) > 1e-9 {
			t.Errorf("%s: %v key-seconds, want %v", one.name, one.got, one.want)
		}
	}
}

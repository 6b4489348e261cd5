package fplayout

import (
	"fmt"
	"strings"
	"time"
)

// Page returns the text of docs/LAYOUTS.md, computed with the given rates.
func Page(rat Rates) string {
	var out strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&out, format+"\n", args...) }
	line("# Layouts of groups")
	line("")
	line("This page is the output of `go test ./internal/control/fplayout -run TestPage -update`. All figures are computed, not")
	line("measured. The model has two regions of two data centres (a1, a2; b1, b2) and spreads the keys evenly over them.")
	line("")
	line("## What each data centre still serves")
	line("")
	line("A group's keys are served in the part of the network that holds a quorum of its voters and an upstream of its scope.")
	line("Unkeyed idempotent services continue everywhere in every cut.")
	line("")
	line("| layout | cut | a1 | a2 | b1 | b2 |")
	line("|---|---|---|---|---|---|")
	for _, lay := range Layouts() {
		for _, cut := range Cuts() {
			line("%s", strings.Join(tableRow(lay, cut), ""))
		}
	}
	line("")
	line("## Key-seconds not served")
	line("")
	line("Millions of key-seconds for one fault, then for a year with the rates in the second column.")
	line("")
	writeCosts(line, rat)
	line("")
	writeAssumptions(line, rat)
	writeRecommendation(line, rat)
	return out.String()
}

func tableRow(lay Layout, cut Cut) []string {
	cells := []string{"| " + lay.Name + " | " + cut.Name + " |"}
	for _, cen := range Centres() {
		text := strings.Join(lay.ServedGroups(cut, cen), ", ")
		switch {
		case cut.component(cen) == nil:
			text = "lost"
		case text == "":
			text = "no keys"
		}
		cells = append(cells, " "+text+" |")
	}
	return cells
}

func writeCosts(line func(string, ...any), rat Rates) {
	layouts := Layouts()
	head, rule := "| fault | a year |", "|---|---|"
	for _, lay := range layouts {
		head += " " + lay.Name + " |"
		rule += "---|"
	}
	line("%s", head)
	line("%s", rule)
	for i, first := range layouts[0].Costs(rat) {
		rate := fmt.Sprintf("%.3g", first.PerYear)
		if first.Fault == "quorum lost to single VM failures" {
			rate = "differs"
		}
		text := fmt.Sprintf("| %s | %s |", first.Fault, rate)
		for _, lay := range layouts {
			cos := lay.Costs(rat)[i]
			text += fmt.Sprintf(" %.4g; %.4g |", cos.KeySeconds/1e6, cos.Yearly()/1e6)
		}
		line("%s", text)
	}
	text := "| all | |"
	for _, lay := range layouts {
		text += fmt.Sprintf(" %.4g |", lay.Yearly(rat)/1e6)
	}
	line("%s", text)
}

func writeAssumptions(line func(string, ...any), rat Rates) {
	line("Rates from section 2 of the design page: %.2g keys, %.0f nodes, %.0f failures a day, a rack or switch every month or",
		rat.Keys, rat.Nodes, rat.FailuresPerDay)
	line("two (%.0f a year), a data centre every other month (%.0f a year), region partitions several times a year (%.0f).",
		rat.RacksPerYear, rat.CentresPerYear, rat.RegionCutsPerYear)
	line("")
	line("Assumptions, since the design page gives no figure: %.0f cuts of one data centre a year, as many as losses; %.2g cuts",
		rat.CentreCutsPerYear, rat.AllCutsPerYear)
	line("of all from all; a cut lasts %v; an operator takes over a group without quorum after %v; a VM is repaired after",
		rat.CutDuration, rat.OperatorTakeOver)
	line("%v; %.0f nodes share a rack; %.0f%% of the callers near a data centre are cut off with it, the others go around. The", rat.VMRepair,
		rat.NodesPerRack, 100*rat.CallersInsideFraction)
	line("keys of a lost owner are unserved for %v. The loss of a single control VM takes no key out of", rat.Recovery)
	line("service, because tables and leases outlast an election.")
	line("")
}

func writeRecommendation(line func(string, ...any), rat Rates) {
	layouts := Layouts()
	region, centre := layouts[1], layouts[3]
	line("## Default")
	line("")
	line("The default is **%s**: %.4g million key-seconds a year against %.4g for %s.", region.Name,
		region.Yearly(rat)/1e6, centre.Yearly(rat)/1e6, centre.Name)
	line("%s costs %.4g; its losses come from VM failures that coincide, and it needs 3 voters", layouts[2].Name,
		layouts[2].Yearly(rat)/1e6)
	line("a group instead of 5. The choice between region and data centre depends on three assumptions:")
	line("")
	line("| callers cut off with their data centre | operator takes over after | cuts a year from which a group per data centre is better |")
	line("|---|---|---|")
	for _, fraction := range []float64{0.5, 0.75, 1} {
		for _, takeOver := range []time.Duration{rat.OperatorTakeOver / 6, rat.OperatorTakeOver} {
			varied := rat
			varied.CallersInsideFraction = fraction
			varied.OperatorTakeOver = takeOver
			line("| %.0f%% | %v | %.4g |", 100*fraction, takeOver, BreakEven(region, centre, varied))
		}
	}
	line("")
	line("So a deployment whose callers sit inside its data centres, whose data centres are cut off more often than they are lost,")
	line("and whose operators act within minutes is better served by %s. Both are shipped.", centre.Name)
}

package fplayout

import (
	"math"
	"time"
)

// Rates holds the rates and durations of faults.
type Rates struct {
	// From section 2 of the design page.
	Keys              float64
	Nodes             float64
	FailuresPerDay    float64 // of nodes
	RacksPerYear      float64
	CentresPerYear    float64
	RegionCutsPerYear float64
	Recovery          time.Duration // of the keys of a lost owner
	// Assumed; the page names none.
	NodesPerRack       float64
	CentreCutsPerYear  float64
	AllCutsPerYear     float64
	CutDuration        time.Duration
	OperatorTakeOver   time.Duration // until the keys of a group without quorum are served again
	VMRepair           time.Duration
	CallersInsideShare float64 // of the callers of a data centre that cannot go around when it is cut off
}

// DefaultRates returns the rates of the design page and the assumptions of docs/LAYOUTS.md.
func DefaultRates() Rates {
	return Rates{
		Keys:               2.9e9,
		Nodes:              4000,
		FailuresPerDay:     6,
		RacksPerYear:       8,
		CentresPerYear:     6,
		RegionCutsPerYear:  6,
		Recovery:           2 * time.Second,
		NodesPerRack:       20,
		CentreCutsPerYear:  6,
		AllCutsPerYear:     0.1,
		CutDuration:        5 * time.Minute,
		OperatorTakeOver:   30 * time.Minute,
		VMRepair:           10 * time.Minute,
		CallersInsideShare: 0.5,
	}
}

// Cost is the mean number of key-seconds not served by one fault of a kind, and its rate.
type Cost struct {
	Fault      string
	PerYear    float64
	KeySeconds float64 // of one fault
}

// Yearly returns the key-seconds not served in a year.
func (cos Cost) Yearly() float64 { return cos.PerYear * cos.KeySeconds }

// Costs returns the costs of a layout.
func (lay Layout) Costs(rat Rates) []Cost {
	perNode := rat.Keys / rat.Nodes * rat.Recovery.Seconds()
	return []Cost{
		{
			Fault:      "upstream lost",
			PerYear:    rat.FailuresPerDay * 365,
			KeySeconds: perNode,
		},
		{
			Fault:      "rack lost",
			PerYear:    rat.RacksPerYear,
			KeySeconds: perNode * rat.NodesPerRack,
		},
		lay.votersLost(rat),
		{
			Fault:      "data centre lost",
			PerYear:    rat.CentresPerYear,
			KeySeconds: lay.mean(rat, lay.lost),
		},
		{
			Fault:      "data centre cut off",
			PerYear:    rat.CentreCutsPerYear,
			KeySeconds: lay.mean(rat, lay.cutOff),
		},
		{
			Fault:      "all cut from all",
			PerYear:    rat.AllCutsPerYear,
			KeySeconds: lay.unserved(rat, Cuts()[4]),
		},
		{
			Fault:      "regions cut",
			PerYear:    rat.RegionCutsPerYear,
			KeySeconds: lay.unserved(rat, Cuts()[3]),
		},
	}
}

// mean returns the mean of a cost over the data centres.
func (lay Layout) mean(rat Rates, one func(Rates, Centre) float64) float64 {
	sum := 0.0
	for _, cen := range Centres() {
		sum += one(rat, cen)
	}
	return sum / float64(len(Centres()))
}

func others(gone Centre) []Centre {
	var rest []Centre
	for _, cen := range Centres() {
		if cen != gone {
			rest = append(rest, cen)
		}
	}
	return rest
}

// lost returns the key-seconds of the loss of one data centre. Callers are outside and reach the other data centres.
func (lay Layout) lost(rat Rates, gone Centre) float64 {
	share := rat.Keys / float64(len(Centres()))
	sum := 0.0
	for _, cen := range Centres() {
		switch {
		case !servedIn(lay.Home(cen), others(gone)):
			sum += share * rat.OperatorTakeOver.Seconds()
		case cen == gone:
			sum += share * rat.Recovery.Seconds()
		}
	}
	return sum
}

// cutOff returns the key-seconds of cutting off one data centre. Some of its callers are cut off with it, the others
// reach the rest.
func (lay Layout) cutOff(rat Rates, off Centre) float64 {
	share := rat.Keys / float64(len(Centres()))
	long, sum := rat.CutDuration.Seconds(), 0.0
	for _, cen := range Centres() {
		home := lay.Home(cen)
		inside, outside := 0.0, 1.0
		if cen == off {
			inside = rat.CallersInsideShare
			outside = 1 - inside
		}
		if !servedIn(home, []Centre{off}) {
			sum += share * inside * long
		}
		switch {
		case !servedIn(home, others(off)):
			sum += share * outside * long
		case cen == off:
			sum += share * outside * rat.Recovery.Seconds()
		}
	}
	return sum
}

// unserved returns the key-seconds of a cut in which every caller stays with its data centre.
func (lay Layout) unserved(rat Rates, cut Cut) float64 {
	share := rat.Keys / float64(len(Centres()))
	sum := 0.0
	for _, cen := range Centres() {
		if !servedIn(lay.Home(cen), cut.part(cen)) {
			sum += share * rat.CutDuration.Seconds()
		}
	}
	return sum
}

// votersLost returns the cost of losing a quorum to single failures of VMs: each further voter of the group must fail
// while the earlier ones are under repair. One lost VM costs nothing.
func (lay Layout) votersLost(rat Rates) Cost {
	perVM := rat.FailuresPerDay * 365 / rat.Nodes
	overlap := perVM * rat.VMRepair.Hours() / (365 * 24)
	rate, lost := 0.0, 0.0
	for _, gro := range lay.Groups {
		voters := gro.votes(Centres())
		one := float64(voters) * perVM
		for failed := 1; failed <= voters-gro.quorum(); failed++ {
			one *= float64(voters-failed) * overlap
		}
		rate += one
		lost += one * rat.Keys * float64(len(gro.Scope)) / float64(len(Centres())) * rat.OperatorTakeOver.Seconds()
	}
	return Cost{
		Fault:      "quorum lost to single VM failures",
		PerYear:    rate,
		KeySeconds: lost / rate,
	}
}

// Yearly returns the key-seconds not served in a year by all faults.
func (lay Layout) Yearly(rat Rates) float64 {
	sum := 0.0
	for _, cos := range lay.Costs(rat) {
		sum += cos.Yearly()
	}
	return sum
}

// BreakEven returns the number of cuts of single data centres per year from which the second layout costs less than the
// first, or infinity.
func BreakEven(first, second Layout, rat Rates) float64 {
	rat.CentreCutsPerYear = 0
	base := second.Yearly(rat) - first.Yearly(rat)
	rat.CentreCutsPerYear = 1
	slope := base - (second.Yearly(rat) - first.Yearly(rat))
	if slope <= 0 {
		return math.Inf(1)
	}
	return base / slope
}

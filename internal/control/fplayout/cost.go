package fplayout

import (
	"math"
	"time"
)

// Rates holds the sizes, fault rates and durations from which costs are computed. Nodes, FailuresPerDay and VMRepair must be
// positive.
type Rates struct {
	// The design page gives these in its section 2.
	Keys              float64
	Nodes             float64
	FailuresPerDay    float64       // node failures
	RacksPerYear      float64       // lost racks or switches
	CentresPerYear    float64       // lost data centres
	RegionCutsPerYear float64       // network cuts between the regions
	Recovery          time.Duration // until the keys of a lost owner are served again
	// The design page gives no figures for these; they are assumptions.
	NodesPerRack          float64
	CentreCutsPerYear     float64 // cuts of one data centre from all others
	AllCutsPerYear        float64 // cuts of every data centre from every other
	CutDuration           time.Duration
	OperatorTakeOver      time.Duration // until the keys of a group without quorum are served again
	VMRepair              time.Duration
	CallersInsideFraction float64 // 0 to 1, of a data centre's callers: those that reach no other when it is cut off
}

// DefaultRates returns the rates of the design page and the assumptions of docs/LAYOUTS.md.
func DefaultRates() Rates {
	return Rates{
		Keys:                  2.9e9,
		Nodes:                 4000,
		FailuresPerDay:        6,
		RacksPerYear:          8,
		CentresPerYear:        6,
		RegionCutsPerYear:     6,
		Recovery:              2 * time.Second,
		NodesPerRack:          20,
		CentreCutsPerYear:     6,
		AllCutsPerYear:        0.1,
		CutDuration:           5 * time.Minute,
		OperatorTakeOver:      30 * time.Minute,
		VMRepair:              10 * time.Minute,
		CallersInsideFraction: 0.5,
	}
}

// Cost is the rate of one kind of fault and the mean number of key-seconds that one such fault leaves unserved.
type Cost struct {
	Fault      string
	PerYear    float64
	KeySeconds float64 // of one fault
}

// Yearly returns the unserved key-seconds per year.
func (cos Cost) Yearly() float64 { return cos.PerYear * cos.KeySeconds }

// Costs returns the cost of each kind of fault, in the same order for every layout.
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
		lay.quorumLostCost(rat),
		{
			Fault:      "data centre lost",
			PerYear:    rat.CentresPerYear,
			KeySeconds: lay.meanCost(rat, lay.centreLostCost),
		},
		{
			Fault:      "data centre cut off",
			PerYear:    rat.CentreCutsPerYear,
			KeySeconds: lay.meanCost(rat, lay.centreCutOffCost),
		},
		{
			Fault:      "all cut from all",
			PerYear:    rat.AllCutsPerYear,
			KeySeconds: lay.cutCost(rat, Cuts()[4]),
		},
		{
			Fault:      "regions cut",
			PerYear:    rat.RegionCutsPerYear,
			KeySeconds: lay.cutCost(rat, Cuts()[3]),
		},
	}
}

// meanCost returns the mean of a cost over the data centres, in key-seconds.
func (lay Layout) meanCost(rat Rates, cost func(Rates, Centre) float64) float64 {
	sum := 0.0
	for _, cen := range Centres() {
		sum += cost(rat, cen)
	}
	return sum / float64(len(Centres()))
}

func otherCentres(excluded Centre) []Centre {
	var rest []Centre
	for _, cen := range Centres() {
		if cen != excluded {
			rest = append(rest, cen)
		}
	}
	return rest
}

// centreLostCost returns the key-seconds that the loss of one data centre leaves unserved. Its callers are assumed to be
// outside of it and to reach the other data centres.
func (lay Layout) centreLostCost(rat Rates, lostCentre Centre) float64 {
	keysPerCentre := rat.Keys / float64(len(Centres()))
	sum := 0.0
	for _, cen := range Centres() {
		switch {
		case !servedIn(lay.Home(cen), otherCentres(lostCentre)):
			sum += keysPerCentre * rat.OperatorTakeOver.Seconds()
		case cen == lostCentre:
			sum += keysPerCentre * rat.Recovery.Seconds()
		}
	}
	return sum
}

// centreCutOffCost returns the key-seconds left unserved while one data centre is cut off from the others. The fraction
// CallersInsideFraction of its callers reaches only this data centre, the other callers reach all others.
func (lay Layout) centreCutOffCost(rat Rates, off Centre) float64 {
	keysPerCentre := rat.Keys / float64(len(Centres()))
	cutSeconds, sum := rat.CutDuration.Seconds(), 0.0
	for _, cen := range Centres() {
		home := lay.Home(cen)
		inside, outside := 0.0, 1.0
		if cen == off {
			inside = rat.CallersInsideFraction
			outside = 1 - inside
		}
		if !servedIn(home, []Centre{off}) {
			sum += keysPerCentre * inside * cutSeconds
		}
		switch {
		case !servedIn(home, otherCentres(off)):
			sum += keysPerCentre * outside * cutSeconds
		case cen == off:
			sum += keysPerCentre * outside * rat.Recovery.Seconds()
		}
	}
	return sum
}

// cutCost returns the key-seconds that a cut leaves unserved if every caller reaches only the component of its own data
// centre.
func (lay Layout) cutCost(rat Rates, cut Cut) float64 {
	keysPerCentre := rat.Keys / float64(len(Centres()))
	sum := 0.0
	for _, cen := range Centres() {
		if !servedIn(lay.Home(cen), cut.component(cen)) {
			sum += keysPerCentre * rat.CutDuration.Seconds()
		}
	}
	return sum
}

// quorumLostCost returns the cost of losing a quorum to independent VM failures: each further voter of the group must fail
// while the earlier ones are under repair. The loss of a single VM costs nothing.
func (lay Layout) quorumLostCost(rat Rates) Cost {
	perVM := rat.FailuresPerDay * 365 / rat.Nodes
	// The expected number of failures of one VM while another is under repair.
	overlapRatio := perVM * rat.VMRepair.Hours() / (365 * 24)
	rate, keySeconds := 0.0, 0.0
	for _, gro := range lay.Groups {
		voters := gro.votes(Centres())
		groupRate := float64(voters) * perVM
		for failed := 1; failed <= voters-gro.quorum(); failed++ {
			groupRate *= float64(voters-failed) * overlapRatio
		}
		rate += groupRate
		keySeconds += groupRate * rat.Keys * float64(len(gro.Scope)) / float64(len(Centres())) * rat.OperatorTakeOver.Seconds()
	}
	return Cost{
		Fault:      "quorum lost to single VM failures",
		PerYear:    rate,
		KeySeconds: keySeconds / rate,
	}
}

// Yearly returns the unserved key-seconds per year, summed over all kinds of faults.
func (lay Layout) Yearly(rat Rates) float64 {
	sum := 0.0
	for _, cos := range lay.Costs(rat) {
		sum += cos.Yearly()
	}
	return sum
}

// BreakEven returns the number of cuts of single data centres per year above which the second layout costs less than the
// first. It returns positive infinity if such cuts do not make the second layout cheaper. The rate of these cuts in rat
// is ignored.
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

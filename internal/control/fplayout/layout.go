// Package fplayout computes what each layout of groups still serves under each kind of fault, and the key-seconds that
// are not served in a year. The page docs/LAYOUTS.md is its output.
package fplayout

import "slices"

// Centre is a data centre, named by its region and its number there.
type Centre string

// The data centres of the model: two regions of two, as in the current deployments.
const (
	A1 Centre = "a1"
	A2 Centre = "a2"
	B1 Centre = "b1"
	B2 Centre = "b2"
)

// Centres returns the data centres of the model.
func Centres() []Centre { return []Centre{A1, A2, B1, B2} }

// Group is a consensus group with its voters and the data centres whose upstreams it grants slots to.
type Group struct {
	Name   string
	Voters map[Centre]int
	Scope  []Centre
}

// votes returns the number of voters in the given data centres.
func (gro Group) votes(part []Centre) int {
	sum := 0
	for _, cen := range part {
		sum += gro.Voters[cen]
	}
	return sum
}

// quorum returns the smallest majority of the voters.
func (gro Group) quorum() int { return gro.votes(Centres())/2 + 1 }

// Layout is a set of groups. The keys whose callers are near a data centre are homed in the group that has the data
// centre in its scope.
type Layout struct {
	Name   string
	Groups []Group
}

// Home returns the group of the keys whose callers are near the data centre.
func (lay Layout) Home(cen Centre) Group {
	for _, gro := range lay.Groups {
		if slices.Contains(gro.Scope, cen) {
			return gro
		}
	}
	return Group{}
}

// Layouts returns the layouts that are compared.
func Layouts() []Layout {
	return []Layout{
		{
			Name: "one global group",
			Groups: []Group{{
				Name: "all",
				Voters: map[Centre]int{
					A1: 2,
					A2: 1,
					B1: 1,
					B2: 1,
				},
				Scope: Centres(),
			}},
		},
		perRegion("group per region (2+2+1)", 2),
		perRegion("group per region (1+1+1)", 1),
		perCentre(),
	}
}

func perRegion(name string, each int) Layout {
	return Layout{
		Name: name,
		Groups: []Group{
			{
				Name: "region a",
				Voters: map[Centre]int{
					A1: each,
					A2: each,
					B1: 1,
				},
				Scope: []Centre{A1, A2},
			},
			{
				Name: "region b",
				Voters: map[Centre]int{
					B1: each,
					B2: each,
					A1: 1,
				},
				Scope: []Centre{B1, B2},
			},
		},
	}
}

func perCentre() Layout {
	lay := Layout{
		Name: "group per data centre (2+1)",
	}
	siblings := map[Centre]Centre{
		A1: A2,
		A2: A1,
		B1: B2,
		B2: B1,
	}
	for _, cen := range Centres() {
		lay.Groups = append(lay.Groups, Group{
			Name: string(cen),
			Voters: map[Centre]int{
				cen:           2,
				siblings[cen]: 1,
			},
			Scope: []Centre{cen},
		})
	}
	return lay
}

// Cut is a division of the data centres into parts that cannot reach each other. A lost data centre is in no part.
type Cut struct {
	Name  string
	Parts [][]Centre
}

// Cuts returns the divisions that are compared.
func Cuts() []Cut {
	return []Cut{
		{
			Name:  "none",
			Parts: [][]Centre{Centres()},
		},
		{
			Name:  "a1 lost",
			Parts: [][]Centre{{A2, B1, B2}},
		},
		{
			Name:  "a1 cut off",
			Parts: [][]Centre{{A1}, {A2, B1, B2}},
		},
		{
			Name:  "regions cut",
			Parts: [][]Centre{{A1, A2}, {B1, B2}},
		},
		{
			Name:  "all cut from all",
			Parts: [][]Centre{{A1}, {A2}, {B1}, {B2}},
		},
	}
}

// part returns the part that contains the data centre, or nil when it is lost.
func (cut Cut) part(cen Centre) []Centre {
	for _, part := range cut.Parts {
		if slices.Contains(part, cen) {
			return part
		}
	}
	return nil
}

// Serves returns the groups whose keys the data centre serves for longer than the lease after the cut: its part holds a
// quorum of the voters and an upstream in the group's scope.
func (lay Layout) Serves(cut Cut, cen Centre) []string {
	part := cut.part(cen)
	var names []string
	for _, gro := range lay.Groups {
		if servedIn(gro, part) {
			names = append(names, gro.Name)
		}
	}
	return names
}

func servedIn(gro Group, part []Centre) bool {
	inScope := slices.ContainsFunc(part, func(cen Centre) bool { return slices.Contains(gro.Scope, cen) })
	return inScope && gro.votes(part) >= gro.quorum()
}

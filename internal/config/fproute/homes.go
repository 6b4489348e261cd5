package fproute

import (
	"slices"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// Regions is a set of regions. An empty set stands for all regions.
type Regions []string

// Allows reports whether a region is in the set. A data centre that the settings assign to no region, "", is only in the set of
// all regions.
func (reg Regions) Allows(region string) bool {
	return len(reg) == 0 || region != "" && slices.Contains(reg, region)
}

// Homes returns the regions in which the requests of a route may run and to whose VMs their bodies may be sent.
func Homes(rou *fpstate.Route) Regions { return rou.GetAllowedRegions() }

// KeyHomes returns the regions for the keys of a service: those that all of its routes allow or, if there is no such region, those
// that any of them allows. Routes that send the service no requests, because its weight is 0, don't count.
func KeyHomes(cfg *fpstate.Configuration, service string) Regions {
	var common, anyOf Regions
	for _, rou := range cfg.GetRoutes() {
		homes := Homes(rou)
		if len(homes) == 0 || !sendsTo(rou, service) {
			continue
		}
		if len(anyOf) == 0 {
			common = slices.Clone(homes)
		} else {
			common = slices.DeleteFunc(common, func(region string) bool { return !slices.Contains(homes, region) })
		}
		for _, region := range homes {
			if !slices.Contains(anyOf, region) {
				anyOf = append(anyOf, region)
			}
		}
	}
	if len(common) > 0 {
		return common
	}
	return anyOf
}

// sendsTo reports whether a route sends requests to a service.
func sendsTo(rou *fpstate.Route, service string) bool {
	return slices.ContainsFunc(rou.GetTargets(), func(tar *fpstate.Target) bool {
		return tar.GetService() == service && tar.GetWeight() > 0
	})
}

// Package fpmodel combines the packages that decide how requests are forwarded (fpbalance, fplimit, fpretry, fphealth) into
// model entry VMs for experiments. These forward to workers in the same process, in real or simulated time, or to stand-ins
// on loopback.
package fpmodel

import (
	"fmt"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpbalance"
)

// Location is a data centre and its region.
type Location struct {
	DataCentre string
	Region     string
}

// Deployment is one of the deployments of section 2 of the design, reduced to one service without keys.
type Deployment struct {
	Name string
	// Locations are the data centres over which VMs and workers are distributed evenly.
	Locations []Location
	// Workers is the number of workers of the service, Concurrency the number of requests that each runs at once.
	Workers     int
	Concurrency int
	// MaxConnections is the number of connections that each worker accepts, ConnectTime the time that a worker takes to
	// accept one. Both apply only to stand-ins on loopback.
	MaxConnections int
	ConnectTime    time.Duration
	// VMs is the number of entry VMs.
	VMs int
	// ServiceTime is the mean service time of a small call. Section 2 does not state it; it is an assumption.
	ServiceTime time.Duration
}

const (
	// assumedServiceTime is the assumed mean service time of a small call.
	assumedServiceTime = 10 * time.Millisecond
	// interDataCentreLatency, within a region, and interRegionLatency are the one-way latencies of section 2.
	interDataCentreLatency = 500 * time.Microsecond
	interRegionLatency     = 30 * time.Millisecond
	// intraDataCentreLatency is the assumed one-way latency within a data centre.
	intraDataCentreLatency = 100 * time.Microsecond
	// linkBytesPerSecond is the rate of the link between regions: 30 Mbit/s.
	linkBytesPerSecond = 30_000_000 / 8
)

// Haugland returns the Haugland deployment with its service bryter.
func Haugland() Deployment {
	return Deployment{
		Name: "Haugland bryter",
		Locations: []Location{
			{DataCentre: "bergen-a", Region: "vestland"},
			{DataCentre: "bergen-b", Region: "vestland"},
			{DataCentre: "oslo-a", Region: "ostland"},
			{DataCentre: "oslo-b", Region: "ostland"},
		},
		Workers:        8,
		Concurrency:    3,
		MaxConnections: 110,
		ConnectTime:    time.Millisecond,
		VMs:            10,
		ServiceTime:    assumedServiceTime,
	}
}

// Cwtsh returns the Cwtsh deployment with its service blaendal.
func Cwtsh() Deployment {
	return Deployment{
		Name: "Cwtsh blaendal",
		Locations: []Location{
			{DataCentre: "caerdydd", Region: "de-cymru"},
			{DataCentre: "abertawe", Region: "de-cymru"},
			{DataCentre: "bangor", Region: "gogledd"},
			{DataCentre: "wrecsam", Region: "gogledd"},
		},
		Workers:        8,
		Concurrency:    4,
		MaxConnections: 130,
		ConnectTime:    time.Millisecond,
		VMs:            10,
		ServiceTime:    assumedServiceTime,
	}
}

// SaturationRate returns the rate in small calls per second at which all workers run as many requests as their concurrency
// allows.
func (dep Deployment) SaturationRate() float64 {
	return float64(dep.Workers*dep.Concurrency) / dep.ServiceTime.Seconds()
}

// Upstreams returns the workers as upstreams of a balancer, distributed evenly over the locations.
func (dep Deployment) Upstreams() []fpbalance.Upstream {
	out := make([]fpbalance.Upstream, 0, dep.Workers)
	for i := range dep.Workers {
		loc := dep.Locations[i%len(dep.Locations)]
		out = append(out, fpbalance.Upstream{
			Name:        fmt.Sprintf("%s-%d", loc.DataCentre, i/len(dep.Locations)),
			Incarnation: 1,
			DataCentre:  loc.DataCentre,
			Region:      loc.Region,
			Concurrency: dep.Concurrency,
		})
	}
	return out
}

// latency returns the one-way latency between two locations.
func latency(from, to Location) time.Duration {
	switch {
	case from.DataCentre == to.DataCentre:
		return intraDataCentreLatency
	case from.Region == to.Region:
		return interDataCentreLatency
	default:
		return interRegionLatency
	}
}

// Package fpmodel joins the decision packages into entry VMs for experiments. The entry VMs forward to workers in the
// same process, on real or simulated time, or to stand-ins on loopback.
package fpmodel

import (
	"fmt"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpbalance"
)

// Place is a data centre in its region.
type Place struct {
	DataCentre string
	Region     string
}

// Deployment is one of the deployments of section 2 of the design, reduced to one service without keys.
type Deployment struct {
	Name   string
	Places []Place
	// Workers is the number of workers of the service, Concurrency that of requests that each runs at once.
	Workers     int
	Concurrency int
	// Connections is the number of connections that each worker accepts, ConnectCost the time to open one.
	Connections int
	ConnectCost time.Duration
	// VMs is the number of entry VMs.
	VMs int
	// Service is the mean service time, which section 2 does not give; it is an assumption of the experiments.
	Service time.Duration
}

const (
	// assumedService is the mean service time of a small call.
	assumedService = 10 * time.Millisecond
	// betweenDataCentres and betweenRegions are one-way latencies of section 2.
	betweenDataCentres = 500 * time.Microsecond
	betweenRegions     = 30 * time.Millisecond
	// withinDataCentre is an assumption.
	withinDataCentre = 100 * time.Microsecond
	// linkRate is the byte rate of the link between regions: 30 Mbit/s.
	linkRate = 30_000_000 / 8
)

// Haugland returns the service bryter of the Haugland deployment.
func Haugland() Deployment {
	return Deployment{
		Name: "Haugland bryter",
		Places: []Place{
			{DataCentre: "bergen-a", Region: "vestland"},
			{DataCentre: "bergen-b", Region: "vestland"},
			{DataCentre: "oslo-a", Region: "ostland"},
			{DataCentre: "oslo-b", Region: "ostland"},
		},
		Workers:     8,
		Concurrency: 3,
		Connections: 110,
		ConnectCost: time.Millisecond,
		VMs:         10,
		Service:     assumedService,
	}
}

// Cwtsh returns the service blaendal of the Cwtsh deployment.
func Cwtsh() Deployment {
	return Deployment{
		Name: "Cwtsh blaendal",
		Places: []Place{
			{DataCentre: "caerdydd", Region: "de-cymru"},
			{DataCentre: "abertawe", Region: "de-cymru"},
			{DataCentre: "bangor", Region: "gogledd"},
			{DataCentre: "wrecsam", Region: "gogledd"},
		},
		Workers:     8,
		Concurrency: 4,
		Connections: 130,
		ConnectCost: time.Millisecond,
		VMs:         10,
		Service:     assumedService,
	}
}

// Saturation returns the rate in requests per second at which every unit of concurrency is busy.
func (dep Deployment) Saturation() float64 {
	return float64(dep.Workers*dep.Concurrency) / dep.Service.Seconds()
}

// Upstreams returns the workers, spread evenly over the places.
func (dep Deployment) Upstreams() []fpbalance.Upstream {
	out := make([]fpbalance.Upstream, 0, dep.Workers)
	for i := range dep.Workers {
		pla := dep.Places[i%len(dep.Places)]
		out = append(out, fpbalance.Upstream{
			Name:        fmt.Sprintf("%s-%d", pla.DataCentre, i/len(dep.Places)),
			Incarnation: 1,
			DataCentre:  pla.DataCentre,
			Region:      pla.Region,
			Concurrency: dep.Concurrency,
		})
	}
	return out
}

// latency returns the one-way latency between two places.
func latency(one, two Place) time.Duration {
	switch {
	case one.DataCentre == two.DataCentre:
		return withinDataCentre
	case one.Region == two.Region:
		return betweenDataCentres
	default:
		return betweenRegions
	}
}

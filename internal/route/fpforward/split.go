package fpforward

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// splitter spreads requests over services by smooth weighted round robin: each choice goes to the service that is furthest
// behind its share. The shares hold over a few requests, not only on average. The zero value is ready to use.
type splitter struct {
	targets []*fpstate.Target
	credit  []float64
}

// next returns the service for the next request. At least one target must have a weight above 0.
func (spl *splitter) next(targets []*fpstate.Target) string {
	same := slices.EqualFunc(spl.targets, targets, func(one, other *fpstate.Target) bool { return proto.Equal(one, other) })
	if !same {
		spl.targets = targets
		spl.credit = make([]float64, len(targets))
	}
	sum, best := 0.0, -1
	for pos, tar := range targets {
		sum += tar.GetWeight()
		spl.credit[pos] += tar.GetWeight()
		if tar.GetWeight() > 0 && (best < 0 || spl.credit[pos] > spl.credit[best]) {
			best = pos
		}
	}
	spl.credit[best] -= sum
	return targets[best].GetService()
}

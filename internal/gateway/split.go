package gateway

import (
	"math"
	"math/rand/v2"
	"sync/atomic"

	"tealpond/internal/clusterconfig"
)

// splitSequence gives the numbers by which requests of a split route go to its services:
// multiples of the golden ratio, from a start by lot, without their whole parts. Each
// service gets its share of any few dozen requests in a row nearly to one, where numbers
// drawn one by one would be off by several; and daemons don't go in step.
type splitSequence struct {
	start float64
	count atomic.Uint64
}

func newSplitSequence() *splitSequence { return &splitSequence{start: rand.Float64()} }

// next returns a number from 0 up to 1.
func (s *splitSequence) next() float64 {
	_, fraction := math.Modf(s.start + float64(s.count.Add(1))*(math.Phi-1))
	return fraction
}

// splitSequences makes a sequence for each split route of a configuration, by the route's
// name.
func splitSequences(config *clusterconfig.Config) map[string]*splitSequence {
	sequences := map[string]*splitSequence{}
	for i := range config.Routes {
		if route := &config.Routes[i]; len(route.Split) > 0 {
			sequences[route.Name] = newSplitSequence()
		}
	}
	return sequences
}

// serviceFor returns the service of a route's next request.
func (p *Proxy) serviceFor(route *clusterconfig.Route) string {
	sequence := p.routing.Load().splits[route.Name]
	if sequence == nil {
		// The route isn't split, or is no longer there.
		return route.ServiceFor(rand.Float64())
	}
	return route.ServiceFor(sequence.next())
}

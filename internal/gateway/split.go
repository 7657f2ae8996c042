package gateway

import (
	"math"
	"math/rand/v2"
	"sync/atomic"

	"tealpond/internal/clusterconfig"
)

// splitSequence generates the numbers that assign requests of a split route to its services:
// the fractional parts of multiples of the golden ratio, from a random offset. Among any few
// dozen consecutive requests each service gets its share to within about one request, where
// independent random numbers would be off by several. The random offset keeps daemons from
// following the same sequence.
type splitSequence struct {
	offset float64
	count  atomic.Uint64
}

func newSplitSequence() *splitSequence { return &splitSequence{offset: rand.Float64()} }

// next returns a number in [0, 1).
func (s *splitSequence) next() float64 {
	_, fraction := math.Modf(s.offset + float64(s.count.Add(1))*(math.Phi-1))
	return fraction
}

// splitSequences returns a sequence for each split route of a configuration, by route name.
func splitSequences(config *clusterconfig.Config) map[string]*splitSequence {
	sequences := map[string]*splitSequence{}
	for i := range config.Routes {
		if route := &config.Routes[i]; len(route.Split) > 0 {
			sequences[route.Name] = newSplitSequence()
		}
	}
	return sequences
}

// serviceFor returns the service for the next request of a route.
func (p *Proxy) serviceFor(route *clusterconfig.Route) string {
	sequence := p.routing.Load().splits[route.Name]
	if sequence == nil {
		// The route is not split or no longer exists.
		return route.ServiceFor(rand.Float64())
	}
	return route.ServiceFor(sequence.next())
}
